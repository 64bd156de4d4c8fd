"""A planned restart while some leaf servers hang, and clients that write slowly: a request that comes more than 0.7 s after
SIGTERM may not be left unanswered when SIGKILL comes at its earliest."""

import json
import os
import signal
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import standins

KILL_S = 3.0 + 0.7 + 0.05  # the longest deadline, counted as 3 s where it is longer, 0.7 s, and a margin of ours
OWED_FROM_S = 0.7 + 0.05
WRITERS = 8


class HangingLeaf(standins.LeafServer):
    """A leaf server that hangs from some moment on: it accepts and reads, and says nothing."""

    hangs = False

    def send(self, stream, lock, letter, rest):
        if not self.hangs:
            super().send(stream, lock, letter, rest)


class SlowWriter:
    """A client that writes one request in pieces of 40 bytes, from `begin` to `end` after `start_at`, on a connection that
    it has used before."""

    def __init__(self, case, address, number, begin, end):
        self.case, self.number, self.begin, self.end = case, number, begin, end
        self.client = standins.Client(address)
        self.whole_at = self.answered_at = self.ended_at = None
        self.got = "nothing was sent"

    def warm_up(self):
        answer = self.client.ask(f"w-{self.number}", "envelope-search", [1, 2, 4], 3000)
        if not answer.is_whole():
            raise standins.CouldNotRun(f"the warm-up got {answer.status}")

    def run(self, start_at):
        request_id = f"q-{self.number}"
        parts = [{"range": shard, "portion": 0.25} for shard in (0, 1, 2, 3)]
        body = json.dumps({"ranges": parts, "predicate": "c41e77d0"}).encode()
        data = (f"POST /api/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: api.internal\r\nReq-Id: {request_id}\r\n"
                f"Req-Kind: audit-report\r\nReq-Owner: hsinyi-realty\r\nReq-Deadline: 6000m\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        pieces = [data[i:i + 40] for i in range(0, len(data), 40)]
        step = (self.end - self.begin) / (len(pieces) - 1)
        stream = self.client.stream
        try:
            for index, piece in enumerate(pieces):
                time.sleep(max(0.0, start_at + self.begin + index * step - time.monotonic()))
                stream.sendall(piece)
            self.whole_at = time.monotonic() - start_at
            stream.settimeout(10)
            data = stream.recv(65536)
            self.got = data.split(b"\r\n")[0].decode() if data else "the end of the connection"
            if data:
                self.answered_at = time.monotonic() - start_at
        except OSError as error:
            self.got = repr(error)
        self.ended_at = time.monotonic() - start_at
        whole = "never" if self.whole_at is None else f"{self.whole_at:.3f}"
        self.case.record("client", f"{request_id} whole at {whole}, got {self.got} at {self.ended_at:.3f}")


def run(case):
    leaves = [HangingLeaf(case, f"s{i}", i % 3, 0.15) for i in range(12)]
    instances = [leaf.entry() for leaf in leaves]
    discovery = standins.Discovery(case, instances)
    settings = standins.settings([standins.AUDIT_REPORT, standins.ENVELOPE_SEARCH])
    program = standins.Program(case, "mixer",
                               standins.config(standins.free_port(), discovery.address, instances, settings))
    program.wait_ready()

    def usual(number):
        client = standins.Client(program.address)
        for count in range(10):
            answer = client.ask(f"u-{number}-{count}", "audit-report", [(number + count + i) % 9 for i in range(4)], 6000)
            case.record("client", f"u-{number}-{count}: {answer.status} after {answer.took:.3f} s")

    threads = [threading.Thread(target=usual, args=(number,), daemon=True) for number in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(30)
    writers = [SlowWriter(case, program.address, n, 0.45 + 0.01 * n, 0.80 + 0.01 * n) for n in range(WRITERS)]
    for writer in writers:
        writer.warm_up()
    start_at = time.monotonic()
    if case.trouble:
        for leaf in leaves[::3]:
            leaf.hangs = True
        case.record("leaf", "the four leaf servers of cell 0 hang from now on")
        program.signal(signal.SIGTERM)
    threads = [threading.Thread(target=writer.run, args=(start_at,), daemon=True) for writer in writers]
    for thread in threads:
        thread.start()
    if case.trouble:
        code = program.wait_end(max(0.0, start_at + KILL_S - time.monotonic()))
        if code is None:
            program.signal(signal.SIGKILL)
            program.wait_end(5)
    for thread in threads:
        thread.join(20)
    taken = [writer for writer in writers if writer.whole_at is not None]
    owed = [writer for writer in taken if writer.whole_at > (OWED_FROM_S if case.trouble else 0.0)]
    if not owed and not case.trouble:
        raise standins.CouldNotRun("no request was written")
    # Only what SIGKILL found unanswered: a connection that the mixer closed earlier may have crossed the request.
    lost = [writer for writer in owed if writer.answered_at is None and writer.ended_at >= KILL_S - 0.05]
    if not case.trouble:
        lost = [writer for writer in owed if not writer.got.startswith("HTTP/1.1 200")]
    problems = [f"q-{writer.number}, whole {writer.whole_at:.3f} s after SIGTERM, got {writer.got} and no answer"
                for writer in lost]
    return case.verdict(problems, f"{len(taken)} requests written, {len(owed)} of them owed an answer, {len(lost)} lost")


standins.play(FOLDER, run)
