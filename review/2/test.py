"""A planned restart while a gateway fetches answers. Does each query that was taken get a whole final answer?"""

import json
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from common import BROKEN, HELD, Aggregator, CannotRun, Discovery, LeafServer, free_port, run_case, settings
from http2 import Gateway

DEADLINE_MS = 5000
SHARDS = 8
VALUE_BYTES = 5_000
# Calls that the gateway has in flight at once on its connection.
CALLS = 3
# BRIEF: a part of the heavier class is "200 to 270 ms of work".
WORK_S = 0.25
# The site file has clients 0.53 to 1.1 ms away, one way.
ROUND_TRIP_S = 0.002
TERM_AFTER_S = 1.0
SEND_FOR_S = 3.0


def ticket(name):
    ranges = [{"range": shard, "portion": 1 / SHARDS} for shard in range(SHARDS)]
    return json.dumps({"id": name, "kind": "search", "owner": "acme", "ranges": ranges, "predicate": "c41e77d0"})


def case(record, folder, trouble):
    leaf = LeafServer(record, "s0", 0, delay=WORK_S, value=lambda part: (part + "-") * (VALUE_BYTES // (len(part) + 1)))
    discovery = Discovery([leaf.listed()])
    flight = free_port()
    aggregator = Aggregator(record, folder, discovery.address, [leaf.listed()], settings(shards=SHARDS),
                            operator=f"flight:\n  listen: 127.0.0.1:{flight}\n")
    try:
        aggregator.wait_until_ready()
        gateway = Gateway(flight, round_trip=ROUND_TRIP_S)
        start = time.monotonic()
        terminated, connected = False, True
        lost, sent = [], 0
        while connected and time.monotonic() < start + SEND_FOR_S and not gateway.going_away:
            if trouble and not terminated and time.monotonic() >= start + TERM_AFTER_S:
                aggregator.signal(signal.SIGTERM)
                terminated = True
            names = {}
            try:
                for _ in range(CALLS):
                    name = f"q{sent}"
                    names[gateway.send(ticket(name), DEADLINE_MS)] = name
                    sent += 1
                    record.add(f"gateway: {name} written")
            except OSError as problem:
                record.add(f"gateway: a query could not be written ({problem})")
            for number, (end, data) in gateway.answers(list(names), DEADLINE_MS / 1000 + 0.5).items():
                name = names[number]
                ran = sum(1 for part in leaf.ran if part.startswith(name + "."))
                record.add(f"gateway: {name}: {end}, {len(data)} bytes; {ran} of {SHARDS} parts have run")
                if end in ("whole", "status"):
                    continue
                connected = False
                # A query that crosses the end of a resting connection unread is not lost: its parts have not run.
                if ran > 0 or end == "none":
                    lost.append(name)
        if trouble:
            status = aggregator.wait(8)
            record.add(f"exit status of the aggregator: {status}")
        if sent < 3 * CALLS:
            raise CannotRun("too few queries were sent")
        record.add(f"{sent} queries, taken and without a whole final answer: {lost}")
        return BROKEN if lost else HELD
    finally:
        aggregator.end()


run_case(FOLDER, case)
