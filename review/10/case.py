"""A planned restart while an operator exports last month's bill: what clients were answered has to be in the ledger."""

import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import standins
from ledger_load import Deployment, Load

ENTRIES = 3_000_000  # 24 queries a second over 3 mixers make 20 million in a month


def run(case):
    deployment = Deployment(case, "  mode: group\n", ENTRIES, memory_mb=4096)
    program = deployment.start()
    load = Load(case, program.address)
    time.sleep(2)
    export = deployment.start_export(deployment.period)
    deployment.wait_intent()
    time.sleep(0.3)
    if case.trouble:
        if export.poll() is not None:
            raise standins.CouldNotRun("the export was over before the restart")
        program.signal(signal.SIGTERM)
    elif export.wait(40) != 0:
        raise standins.CouldNotRun("the export failed")
    if not case.trouble:
        time.sleep(0.5)
        program.signal(signal.SIGTERM)
    # The longest deadline, counted as 3 s, and 0.7 s: SIGKILL comes no sooner.
    code = program.wait_end(3.7)
    if code is None:
        program.signal(signal.SIGKILL)
        program.wait_end(5)
    load.stop()
    export.kill()
    answered = load.whole()
    successor = deployment.start()
    successor.signal(signal.SIGTERM)
    if successor.wait_end(20) is None:
        raise standins.CouldNotRun("the second run has not ended")
    recorded, gaps = deployment.recorded()
    for gap in gaps:
        case.record("ledger", gap)
    if len(answered) < 50:
        raise standins.CouldNotRun(f"only {len(answered)} queries were answered")
    problems = [f"{name} was answered and is not in the ledger" for name in answered if name not in recorded]
    problems += [f"{name} is in the ledger {count} times" for name, count in recorded.items() if count != 1]
    return case.verdict(problems, f"{len(answered)} answered, {len(recorded)} recorded, {len(problems)} differ, "
                                  f"the mixer ended by itself: {code is not None}, gaps: {len(gaps)}")


standins.play(FOLDER, run)
