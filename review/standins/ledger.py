"""Writes a ledger directory as earlier runs of the aggregator would have left it: the clock can't be set back, so the
entries of the last billing period are written here, in the format of docs/design/ledger.md and src/ledger/journal."""

import datetime
import os
import struct
import subprocess
import zlib

from common import ROOT, CannotRun

TAIPEI = datetime.timezone(datetime.timedelta(hours=8))
SAILMUX = os.path.join(ROOT, "target", "release", "sailmux")


def last_period():
    """Name, start and end (Unix milliseconds) of the last billing period that is over."""
    now = datetime.datetime.now(TAIPEI)
    end = now.replace(day=1, hour=0, minute=0, second=0, microsecond=0)
    start = (end - datetime.timedelta(days=1)).replace(day=1)
    return start.strftime("%Y-%m"), int(start.timestamp() * 1000), int(end.timestamp() * 1000)


def number(value):
    data = b""
    while value > 127:
        data += bytes([value & 127 | 128])
        value >>= 7
    return data + bytes([value])


def text(value):
    return number(len(value)) + value.encode()


def signed(value):
    return number((value << 1) if value >= 0 else ((-value << 1) - 1))


class LedgerFiles:
    """Appends records to the newest segment of a directory, and begins a new one when it is full."""

    def __init__(self, directory, segment_bytes):
        os.makedirs(directory, exist_ok=True)
        self.directory, self.segment_bytes = directory, segment_bytes
        self.sequence = 0
        self.path = None
        self.data = b""
        names = sorted(name for name in os.listdir(directory) if name.startswith("seg-"))
        if names:
            self.path = os.path.join(directory, names[-1])
            with open(self.path, "rb") as file:
                self.data = file.read()
            self.sequence = struct.unpack_from("<Q", self.data, 8)[0] - 1
            offset = 16
            while offset < len(self.data):
                offset += 8 + struct.unpack_from("<I", self.data, offset)[0]
                self.sequence += 1

    def append(self, record):
        if self.path is None or len(self.data) >= self.segment_bytes:
            self.flush()
            self.path = os.path.join(self.directory, f"seg-{self.sequence + 1:020}.log")
            self.data = bytearray(b"SMXLEDG\x01" + struct.pack("<Q", self.sequence + 1))
        self.sequence += 1
        checked = struct.pack("<QI", self.sequence, 16) + record
        self.data = bytearray(self.data) if isinstance(self.data, bytes) else self.data
        self.data += struct.pack("<II", len(checked), zlib.crc32(checked)) + checked

    def flush(self):
        if self.path:
            with open(self.path, "wb") as file:
                file.write(self.data)

    def open_run(self, aggregator, epoch, at):
        self.append(b"\x01" + text(aggregator) + number(epoch) + signed(at))

    def entries(self, first, count, at, step_ms, tenant="acme", query_class="search"):
        """`count` queries of one part each that were answered, `step_ms` apart."""
        middle = text(tenant) + b"\x01" + text(query_class)
        last = number(1) + number(1) + number(1) + number(1000) + b"\x00\x00"
        for index in range(first, first + count):
            self.append(b"\x02" + signed(at) + middle + text(f"old-{index}") + last)
            at += step_ms
        return at

    def end_run(self, at):
        self.append(b"\x08" + signed(at))


def command(record, *arguments, check=True):
    """Runs `sailmux ledger ...` and returns what it prints."""
    done = subprocess.run([SAILMUX, "ledger", *arguments], capture_output=True, text=True, timeout=60)
    record.add(f"sailmux ledger {arguments[0]} ...: status {done.returncode}: {(done.stdout + done.stderr)[:300]!r}")
    if check and done.returncode != 0:
        raise CannotRun(f"ledger {arguments[0]} failed: {done.stderr}")
    return done.stdout
