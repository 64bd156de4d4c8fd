"""A small deployment that keeps a tenant ledger: 12 leaf servers, discovery, one mixer, and clients that ask all the
time. Shared by the cases about the ledger."""

import os
import subprocess
import threading
import time

import ledger_files
import standins

TENANTS = ["hsinyi-realty", "kaohsiung-hr", "lanyang-law"]


class Deployment:
    def __init__(self, case, ledger, entries, work=0.06, memory_mb=192):
        """`ledger` are lines for the operator file; `entries` is the number of entries of last month."""
        self.case = case
        self.directory = os.path.join(case.tmp, "ledger")
        self.period, first, last = ledger_files.last_month()
        if entries:
            records = ledger_files.write(self.directory, "n0", entries, first, last)
            case.record("ledger", f"{records} records of {self.period}, as an earlier run left them")
        leaves = [standins.LeafServer(case, f"s{i}", i % 3, work) for i in range(12)]
        instances = [leaf.entry() for leaf in leaves]
        discovery = standins.Discovery(case, instances)
        settings = standins.settings([standins.AUDIT_REPORT, standins.ENVELOPE_SEARCH])
        self.config = standins.config(standins.free_port(), discovery.address, instances, settings)
        self.config["limits"]["memory_mb"] = memory_mb
        self.operator = "ledger:\n  dir: ledger\n" + ledger
        self.starts = 0

    def launch(self):
        self.starts += 1
        return standins.Program(self.case, f"mixer-{self.starts}", self.config, self.operator)

    def start(self):
        program = self.launch()
        program.wait_ready(45)
        return program

    def start_export(self, period):
        """Asks the mixer, which owns the ledger, for the export, as an operator does."""
        path = os.path.join(standins.ROOT, "target", "release", "sailmux")
        self.case.record("operator", f"ledger export {period}")
        export = subprocess.Popen([path, "ledger", "export", self.directory, period, "--format", "csv"],
                                  cwd=standins.ROOT, env=standins.clean_environment(), stdin=subprocess.DEVNULL,
                                  stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        self.case.commands.append(export)
        return export


class Load:
    """Clients that ask one after another, each on its connection, until they are told to stop."""

    def __init__(self, case, address, clients=8, pause=0.15, deadline_ms=3000):
        self.case, self.address, self.pause, self.deadline_ms = case, address, pause, deadline_ms
        self.answers = {}
        self.stopping = False
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=self.run, args=(i,), daemon=True) for i in range(clients)]
        for thread in self.threads:
            thread.start()

    def run(self, number):
        client = standins.Client(self.address)
        count = 0
        while not self.stopping:
            count += 1
            request_id = f"q-{number}-{count:05}"
            shards = [(number + count + i) % 9 for i in range(4)]
            sent_at = self.case.now()
            try:
                answer = client.ask(request_id, "envelope-search", shards, self.deadline_ms,
                                    TENANTS[number % 3])
            except OSError as error:
                self.case.record("client", f"{request_id} could not connect: {error}")
                return
            with self.lock:
                self.answers[request_id] = (sent_at, answer)
            self.case.record("client", f"{request_id} sent at {sent_at:.3f}, {answer.status} after {answer.took:.3f} s")
            time.sleep(self.pause)

    def stop(self):
        self.stopping = True
        for thread in self.threads:
            thread.join(20)
