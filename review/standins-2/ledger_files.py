"""Writes the directory of a tenant ledger as an earlier run of the program leaves it: sealed segments, the journal's
frames, and the end of a graceful run. The form is that of `src/ledger/journal`; `sailmux ledger verify` reads it."""

import datetime
import os
import struct
import zlib

MAGIC = b"SMXLEDG\x01"
KIND_OPEN, KIND_ENTRY, KIND_END = 1, 2, 8
TAIPEI = datetime.timezone(datetime.timedelta(hours=8))


def number(value):
    out = bytearray()
    while value >= 0x80:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    out.append(value)
    return bytes(out)


def signed(value):
    return number((value << 1) ^ (value >> 63))


def text(value):
    data = value.encode()
    return number(len(data)) + data


def frame(sequence, synced, record):
    checked = struct.pack("<QI", sequence, synced) + record
    return struct.pack("<II", len(checked), zlib.crc32(checked)) + checked


def last_month():
    """The billing period before the current one, as its name and its first and last millisecond."""
    now = datetime.datetime.now(TAIPEI)
    end = now.replace(day=1, hour=0, minute=0, second=0, microsecond=0)
    start = (end - datetime.timedelta(days=1)).replace(day=1)
    return f"{start.year:04}-{start.month:02}", int(start.timestamp() * 1000), int(end.timestamp() * 1000) - 1


def this_month():
    now = datetime.datetime.now(TAIPEI)
    return f"{now.year:04}-{now.month:02}"


def write(directory, aggregator, entries, first_at, last_at, segment_bytes=8 << 20, query_prefix="old"):
    """Writes `entries` entries of answered queries, evenly spread over the times given."""
    os.makedirs(directory, exist_ok=True)
    tenants = ["hsinyi-realty", "kaohsiung-hr", "lanyang-law"]
    heads, tails = [], []
    for tenant in tenants:
        heads.append(text(tenant) + b"\x01" + text("envelope-search"))
        tails.append(number(4) + number(4) + number(4) + number(4000) + bytes([0, 0]))
    sequence = 0
    segment = None
    length = 0

    def append(record):
        nonlocal sequence, segment, length
        if segment is None or length >= segment_bytes:
            if segment is not None:
                segment.close()
            segment = open(os.path.join(directory, f"seg-{sequence + 1:020}.log"), "wb", buffering=1 << 20)
            segment.write(MAGIC + struct.pack("<Q", sequence + 1))
            length = 16
        sequence += 1
        data = frame(sequence, min(length, 16), record)
        segment.write(data)
        length += len(data)

    append(bytes([KIND_OPEN]) + text(aggregator) + number(1) + signed(first_at))
    step = (last_at - first_at) / max(1, entries)
    for index in range(entries):
        at = first_at + int(index * step)
        which = index % 3
        query = text(f"{query_prefix}-{index:012x}")
        append(bytes([KIND_ENTRY]) + signed(at) + heads[which] + query + tails[which])
    append(bytes([KIND_END]) + signed(last_at))
    segment.close()
    return sequence
