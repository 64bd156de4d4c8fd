"""Stand-ins of this review, from the users' pages: clients, leaf servers (frames) and the discovery agent; and the
harness that starts the program with the deploy file's `run`, keeps the record and ends what it started.

Every address is a loopback address. Times are those of the monotonic clock, in seconds from the start of the case."""

import hashlib
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case could not be played, so that it says nothing about the rule."""


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def part_value(request_id, shard):
    """The value that a leaf server makes for a part."""
    return hashlib.sha256(f"{request_id}.{shard}".encode()).hexdigest()[:16]


class Case:
    """One run of a case: its folder for temporary files, its record and the processes that it started."""

    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.tmp = tempfile.mkdtemp(prefix="review-")
        self.started_at = time.monotonic()
        self.record_file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()
        self.programs = []
        self.commands = []
        self.record("case", f"{os.path.basename(folder)}, TROUBLE={int(self.trouble)}")

    def now(self):
        return time.monotonic() - self.started_at

    def record(self, kind, words):
        with self.lock:
            if not self.record_file.closed:
                self.record_file.write(f"{self.now():9.3f} {kind:<9} {words}\n")

    def verdict(self, problems, summary):
        for problem in problems[:40]:
            self.record("broken", problem)
        words = "rule broken" if problems else "rule held"
        line = f"{words}: {summary}" + (f"; first: {problems[0]}" if problems else "")
        self.record("verdict", line)
        print(line)
        return BROKEN if problems else HELD

    def close(self):
        for program in self.programs:
            program.kill()
        for command in self.commands:
            command.kill()
            command.wait()
        shutil.rmtree(self.tmp, ignore_errors=True)
        with self.lock:
            self.record_file.close()


def play(folder, run):
    """Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    case = Case(folder)

    def stopped(*_):
        raise CouldNotRun("the time of the case is over")

    signal.signal(signal.SIGTERM, stopped)
    try:
        code = run(case)
    except CouldNotRun as error:
        case.record("verdict", f"could not run: {error}")
        print(f"could not run: {error}")
        code = COULD_NOT_RUN
    except Exception as error:  # any fault of the case itself says nothing about the rule
        case.record("verdict", f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        code = COULD_NOT_RUN
    finally:
        case.close()
    sys.stdout.flush()
    os._exit(code)


def run_command():
    """The line `run` of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as deploy:
        return re.search(r'^run = "(.*)"', deploy.read(), re.M).group(1)


def clean_environment():
    names = ("RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_MANAGEMENT", "SAILMUX_OPERATOR")
    return {name: value for name, value in os.environ.items() if name not in names}


class Program:
    """One process of the program under test."""

    def __init__(self, case, name, config, operator=None):
        self.case = case
        self.name = name
        folder = tempfile.mkdtemp(prefix=f"{name}-", dir=case.tmp)
        path = os.path.join(folder, "config.json")
        with open(path, "w") as file:
            json.dump(config, file)
        environment = dict(clean_environment(), RELAY_CONFIG=path, TMPDIR=folder)
        if operator is not None:
            environment["SAILMUX_OPERATOR"] = os.path.join(case.tmp, "operator.yaml")
            with open(environment["SAILMUX_OPERATOR"], "w") as file:
                file.write(operator)
        self.log_path = os.path.join(folder, "log")
        self.log = open(self.log_path, "w")
        self.process = subprocess.Popen(["/bin/sh", "-c", run_command()], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        host, port = config["listen"].split(":")
        self.address = (host, int(port))
        case.programs.append(self)
        case.record("program", f"{name} started")

    def wait_ready(self, timeout=30.0):
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise CouldNotRun(f"{self.name} ended with {self.process.returncode}: {self.log_text()[-500:]}")
            try:
                with socket.create_connection(self.address, timeout=1) as stream:
                    stream.sendall(b"GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                    if b" 200 " in stream.recv(4096).split(b"\r\n")[0] + b" ":
                        self.case.record("program", f"{self.name} ready")
                        return
            except OSError:
                pass
            time.sleep(0.05)
        raise CouldNotRun(f"{self.name} is not ready")

    def signal(self, number):
        self.case.record("program", f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def wait_end(self, timeout):
        try:
            code = self.process.wait(timeout)
        except subprocess.TimeoutExpired:
            return None
        self.case.record("program", f"{self.name} ended with {code}")
        return code

    def log_text(self):
        with open(self.log_path, errors="replace") as file:
            return file.read()

    def kill(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def command(case, *arguments, timeout=60):
    """Runs a command of the program, such as `ledger verify DIR`."""
    program = os.path.join(ROOT, "target", "release", "sailmux")
    result = subprocess.run([program, *arguments], cwd=ROOT, env=clean_environment(), capture_output=True,
                            text=True, timeout=timeout)
    case.record("command", f"{' '.join(arguments[:2])}: exit {result.returncode}")
    return result


def settings(classes, **changes):
    """Settings of a small deployment: three cells, nine shards; the figures are those of the users' site tpe-search."""
    count = len(classes)
    return {
        "categories": classes, "clients": {"marksRetry": False}, "discovery": "pushed", "family": "fanout",
        "goal": {"whole": 0.35, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.35},
        "invariants": {"coldShare": 0.27, "drainGraceMs": 1000.0, "fallMs": 1000.0, "graceToAnswerMs": 20.0,
                       "mustAskInMs": 10000.0, "overloadFactor": 2.5, "warmAfterMs": 17000.0},
        "kinds": ["small-2c"], "layers": ["search-fleet"],
        "limits": {"cancel": True, "cpuUsPerRequest": 0.0, "cpuUsPerS": 400000, "dialTimeoutMs": 250.0,
                   "keepaliveMs": 30000.0, "maxAttempts": 3, "maxOpen": 400, "maxRetryAfterMs": 2000.0,
                   "peerMessages": False, "probes": True, "retryAfter": True, "secondCopies": False,
                   "streamsPerConn": 32},
        "me": 0, "overShareWorth": 0.1, "periodMs": 5.0, "replicasOfMe": 2,
        "report": {"fields": ["served_ps", "busy_reqs"], "how": "on_probe"},
        "specifics": {"classPartial": [0.9] * count, "completeFrom": [1.0] * count, "fetchParts": [0] * count,
                      "floorByClass": [1.0] * count, "overheadMs": 0.0, "perCall": 1, "positions": 3, "shards": 9,
                      "warmKeys": False, "width": 1},
        "stage": 0,
        "tariffs": {"connection": 0.0, "crossZone": 0.0, "discovery": 0.0, "handshake": 0.0, "lateFail": 0.03,
                    "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "waste": 0.16},
        "tenants": [{"name": "hsinyi-realty", "portion": 0.49, "quotaPerS": 14.0},
                    {"name": "kaohsiung-hr", "portion": 0.28, "quotaPerS": 8.0},
                    {"name": "lanyang-law", "portion": 0.23, "quotaPerS": 7.0}],
        "weightKind": "off", "worthBy": "request", "zone": "tpe-1", "zones": ["tpe-1"], **changes}


ENVELOPE_SEARCH = {"aimMs": 2000.0, "effect": "retryable", "group": "all", "hardLimitMs": 5000.0, "lateValue": 0.1,
                   "name": "envelope-search", "stream": False, "windowMs": 5000.0, "worth": 1.0}
AUDIT_REPORT = {"aimMs": 3000.0, "effect": "retryable", "group": "all", "hardLimitMs": 6000.0, "lateValue": 0.0,
                "name": "audit-report", "stream": False, "windowMs": 5000.0, "worth": 5.0}


def entry(name, address, cell):
    return {"instanceId": name, "hostPort": address, "zone": "tpe-1", "machineType": "small-2c", "cell": cell,
            "lifecycle": "Ready", "weight": 1.0, "startedAtMs": 0}


def config(port, discovery, instances, the_settings):
    return {"name": "n0", "listen": f"127.0.0.1:{port}", "discovery": discovery, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"generation": 41, "reset": True, "instances": instances}, "settings": the_settings}


class Listener:
    """Accepts connections on a loopback port, each on a thread of its own."""

    def __init__(self, serve):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen(256)
        self.address = "127.0.0.1:%d" % self.socket.getsockname()[1]
        self.serve = serve
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                stream, _ = self.socket.accept()
            except OSError:
                return
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.run, args=(stream,), daemon=True).start()

    def run(self, stream):
        try:
            self.serve(stream)
        except (OSError, EOFError):
            pass
        finally:
            stream.close()


def read_exactly(stream, count):
    data = b""
    while len(data) < count:
        piece = stream.recv(count - len(data))
        if not piece:
            raise EOFError
        data += piece
    return data


class Discovery:
    """The discovery agent: it answers at once with the list, and an empty line each 2 s."""

    def __init__(self, case, instances):
        self.case = case
        self.text = json.dumps({"generation": 42, "reset": True, "instances": instances})
        self.address = Listener(self.serve).address

    def serve(self, stream):
        stream.recv(65536)
        stream.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
        line = self.text.encode() + b"\n"
        while True:
            stream.sendall(b"%x\r\n%s\r\n" % (len(line), line))
            time.sleep(2)
            line = b"\n"


class LeafServer:
    """A sound leaf server that speaks frames. It serves each part after `work` seconds."""

    def __init__(self, case, name, cell, work):
        self.case, self.name, self.cell, self.work = case, name, cell, work
        self.address = Listener(self.serve).address

    def entry(self):
        return entry(self.name, self.address, self.cell)

    def serve(self, stream):
        lock = threading.Lock()
        cancelled = set()
        while True:
            length, = struct.unpack(">I", read_exactly(stream, 4))
            frame = read_exactly(stream, length)
            letter, rest = frame[:1], frame[1:]
            if letter == b"m":
                self.read_call(stream, lock, cancelled, rest)
            elif letter == b"n":
                cancelled.add(rest.decode())
            elif letter == b"p":
                self.send(stream, lock, b"p", b"served_ps=5,busy_reqs=1")
            elif letter == b"o":
                self.send(stream, lock, b"o", b"good")

    def read_call(self, stream, lock, cancelled, rest):
        while rest:
            line, rest = rest.split(b"\n", 1)
            name, shard, options, length = line.decode().split(" ")
            rest = rest[int(length):]
            cancelled.discard(name)
            self.case.record("part", f"{self.name} gets {name} {options}")
            request_id = name[:name.rindex(".")]
            answer = f"{name} good 1 served_ps=5,busy_reqs=1\n{part_value(request_id, shard)}".encode()

            def serve(name=name, answer=answer):
                if name not in cancelled:
                    try:
                        self.send(stream, lock, b"q", answer)
                    except OSError:
                        pass

            timer = threading.Timer(self.work, serve)
            timer.daemon = True
            timer.start()

    def send(self, stream, lock, letter, rest):
        with lock:
            stream.sendall(struct.pack(">I", len(rest) + 1) + letter + rest)


class Answer:
    """What a client got: the status (None if the connection ended), the body, and the seconds that it took."""

    def __init__(self, status, body, took):
        self.status, self.body, self.took = status, body, took

    def is_whole(self):
        return self.status == 200 and self.body.get("total") is True


class Client:
    """A client with one connection that it keeps and opens anew when the mixer has closed it."""

    def __init__(self, address):
        self.address = address
        self.stream = None
        self.used = False

    def connect(self):
        self.stream = socket.create_connection(self.address, timeout=10)
        self.stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.used = False

    def close(self):
        if self.stream is not None:
            self.stream.close()
        self.stream = None

    def ask(self, request_id, kind, shards, deadline_ms, owner="hsinyi-realty", key=None, wait=15.0):
        """Sends a query and waits for its answer, also beyond its time. A connection that the mixer closed between two
        requests is replaced once, as the pages say."""
        parts = [{"range": shard, "portion": 1.0 / len(shards)} for shard in shards]
        body = json.dumps({"ranges": parts, "predicate": "c41e77d0"}).encode()
        head = (f"POST /api/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: api.internal\r\nReq-Id: {request_id}\r\n"
                f"Req-Kind: {kind}\r\nReq-Owner: {owner}\r\nReq-Deadline: {deadline_ms}m\r\n")
        if key is not None:
            head += f"Idempotency-Key: {key}\r\n"
        data = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        for _ in range(2):
            if self.stream is None:
                self.connect()
            was_used = self.used
            self.stream.settimeout(wait)
            sent_at = time.monotonic()
            try:
                self.stream.sendall(data)
                status, body_read, closes = self.read_answer()
            except socket.timeout:
                self.close()
                return Answer(None, {"error": "no answer"}, time.monotonic() - sent_at)
            except (OSError, EOFError):
                self.close()
                if was_used:
                    continue
                return Answer(None, {"error": "connection ended"}, time.monotonic() - sent_at)
            took = time.monotonic() - sent_at
            self.used = True
            if closes:
                self.close()
            return Answer(status, body_read, took)
        return Answer(None, {"error": "connection ended"}, 0.0)

    def read_answer(self):
        data = b""
        while b"\r\n\r\n" not in data:
            piece = self.stream.recv(65536)
            if not piece:
                raise EOFError
            data += piece
        head, rest = data.split(b"\r\n\r\n", 1)
        lines = head.decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:])
        length = int(headers["content-length"])
        rest += read_exactly(self.stream, length - len(rest)) if len(rest) < length else b""
        status = int(lines[0].split(" ")[1])
        body = json.loads(rest) if status == 200 else {"text": rest.decode(errors="replace")}
        return status, body, headers.get("connection") == "close"
