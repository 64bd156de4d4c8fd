"""Corrections of last month's bill, made in a month in which the mixer has no queries yet: each has to be in the export."""

import glob
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import ledger_files
import standins
from ledger_load import Deployment

SEGMENT_BYTES = 1 << 20  # segment_mb: 1
LEFT_BYTES = 2600  # room in the segment for what the run itself writes and for two corrections
REASON = "The customer was asked to send these queries again after a fault of our own gateway; agreed by mail. " * 9


def fill_ledger(deployment):
    """Writes last month's entries, so many that the segment is almost full."""
    _, first, last = ledger_files.last_month()
    entries = 12_000
    while True:
        for path in glob.glob(os.path.join(deployment.directory, "*")):
            os.remove(path)
        ledger_files.write(deployment.directory, "n0", entries, first, last, segment_bytes=1 << 30)
        path, = glob.glob(os.path.join(deployment.directory, "seg-*"))
        missing = SEGMENT_BYTES - LEFT_BYTES - os.path.getsize(path)
        if missing < 100:
            return entries
        entries += max(1, missing // 100)


def correct(case, deployment, number):
    result = standins.command(
        case, "ledger", "correct", deployment.directory, "--tenant", "lanyang-law", "--class", "envelope-search",
        "--corrects", deployment.period, f"--queries=-{number}", "--by", "accounts", "--why", f"No {number}: {REASON}")
    case.record("operator", f"correction {number}: {result.stdout.strip()}{result.stderr.strip()}")
    if result.returncode != 0:
        raise standins.CouldNotRun(f"correction {number} was refused: {result.stderr[-300:]}")


def run(case):
    deployment = Deployment(case, "  mode: strict\n  segment_mb: 1\n  grace_hours: 0\n  export: csv\n", 0)
    case.record("ledger", f"{fill_ledger(deployment)} entries of {deployment.period}")
    program = deployment.start()
    deadline = time.monotonic() + 30
    while not glob.glob(os.path.join(deployment.directory, f"*-{deployment.period}-0001.manifest.json")):
        if time.monotonic() > deadline:
            raise standins.CouldNotRun("last month was not exported")
        time.sleep(0.2)
    case.record("ledger", f"{deployment.period} is closed and exported")
    time.sleep(1)
    made = [1, 2, 3, 4, 5, 6] if case.trouble else [1]
    for number in made:
        correct(case, deployment, number)
    time.sleep(12)  # the mixer checks each 10 s for what it can remove
    case.record("ledger", f"files: {' '.join(sorted(os.listdir(deployment.directory)))}")
    if program.process.poll() is not None:
        raise standins.CouldNotRun("the mixer has ended")
    result = standins.command(case, "ledger", "export", deployment.directory, ledger_files.this_month(),
                              "--format", "jsonl")
    if result.returncode != 0:
        raise standins.CouldNotRun(f"the export was refused: {result.stderr[-300:]}")
    case.record("operator", f"export: {result.stdout.strip()}")
    exported = {}
    for path in glob.glob(os.path.join(deployment.directory, f"*-{ledger_files.this_month()}-*.jsonl")):
        with open(path) as lines:
            for row in map(json.loads, lines):
                if row["kind"] == "correction":
                    case.record("export", f"{os.path.basename(path)}: {row['note'][:30]}")
                    exported[-row["asked"]] = exported.get(-row["asked"], 0) + 1
    problems = [f"correction {number} was acknowledged and is in no export" for number in made if number not in exported]
    problems += [f"correction {number} was exported {count} times" for number, count in exported.items() if count > 1]
    again = standins.command(case, "ledger", "export", deployment.directory, ledger_files.this_month(),
                             "--format", "jsonl")
    case.record("operator", f"a further export: {again.stdout.strip()}")
    return case.verdict(problems, f"{len(made)} corrections made, {len(exported)} exported")


standins.play(FOLDER, run)
