"""Stand-ins for the peers of the aggregator, written from the operators' pages, and helpers that the cases share.

Standard library only. Every address is on loopback and every port is a free one.
"""

import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.temporary = None

    def add(self, text):
        if self.temporary:
            text = text.replace(self.temporary, "TMP")
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
            self.file.flush()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def read_exactly(stream, count):
    data = b""
    while len(data) < count:
        piece = stream.recv(count - len(data))
        if not piece:
            raise ConnectionError("end of stream")
        data += piece
    return data


def listen():
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", 0))
    listener.listen(128)
    return listener


def in_thread(work, *arguments):
    thread = threading.Thread(target=work, args=arguments, daemon=True)
    thread.start()
    return thread


def accept_forever(listener, serve):
    def run():
        while True:
            try:
                stream, _ = listener.accept()
            except OSError:
                return
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            in_thread(serve, stream)

    in_thread(run)


class LeafServer:
    """A leaf server that speaks frames. It answers each part after `delay` seconds with a value made for that part.

    `ran` counts the parts that it has run, by the id of the part.
    """

    def __init__(self, record, name, cell, delay=0.0, value=None):
        self.record, self.name, self.cell, self.delay = record, name, cell, delay
        self.value = value or (lambda part: "v-" + part)
        self.ran = {}
        self.listener = listen()
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        accept_forever(self.listener, self.serve)

    def serve(self, stream):
        lock = threading.Lock()
        try:
            while True:
                (length,) = struct.unpack(">I", read_exactly(stream, 4))
                frame = read_exactly(stream, length)
                letter, rest = frame[:1], frame[1:]
                if letter == b"p":
                    self.send(stream, lock, b"p", b"inflight=0,qps=1")
                elif letter == b"o":
                    self.send(stream, lock, b"o", b"good")
                elif letter == b"m":
                    while rest:
                        line, rest = rest.split(b"\n", 1)
                        part, _shard, _list, size = line.decode().split(" ")
                        rest = rest[int(size):]
                        in_thread(self.run_part, stream, lock, part)
        except (OSError, ConnectionError):
            stream.close()

    def run_part(self, stream, lock, part):
        time.sleep(self.delay)
        self.ran[part] = self.ran.get(part, 0) + 1
        self.record.add(f"leaf server {self.name} ran {part}")
        try:
            self.send(stream, lock, b"q", f"{part} good 17 -\n{self.value(part)}".encode())
        except OSError:
            pass

    def send(self, stream, lock, letter, rest):
        with lock:
            stream.sendall(struct.pack(">I", len(rest) + 1) + letter + rest)

    def listed(self):
        return {"instanceId": self.name, "hostPort": self.address, "zone": "z1", "machineType": "small",
                "cell": self.cell, "lifecycle": "Ready", "weight": 1.0, "startedAtMs": 0}


class Discovery:
    """The agent: answers a watch with the whole list and then an empty line every 2 s."""

    def __init__(self, instances):
        self.text = json.dumps({"generation": 5, "reset": True, "instances": instances}) + "\n"
        self.listener = listen()
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        accept_forever(self.listener, self.serve)

    def serve(self, stream):
        try:
            head = b""
            while b"\r\n\r\n" not in head:
                piece = stream.recv(4096)
                if not piece:
                    return
                head += piece
            stream.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            text = self.text
            while True:
                stream.sendall(f"{len(text):x}\r\n{text}\r\n".encode())
                text = "\n"
                time.sleep(2)
        except OSError:
            pass


def settings(classes=None, shards=1, cells=1, max_attempts=3, keepalive_ms=30000):
    """Settings as the platform gives them: one cell a shard, one aggregator."""
    classes = classes or [category()]
    count = len(classes)
    return {
        "categories": classes, "clients": {"marksRetry": False}, "discovery": "pushed", "family": "fanout",
        "invariants": {"coldShare": 0.3, "drainGraceMs": 1000, "fallMs": 1000, "graceToAnswerMs": 20,
                       "mustAskInMs": 10000, "overloadFactor": 2.5, "warmAfterMs": 10000},
        "kinds": ["small"], "layers": ["leaves"],
        "limits": {"cancel": True, "maxAttempts": max_attempts, "maxOpen": 400, "maxRetryAfterMs": 2000,
                   "probes": True, "retryAfter": True, "secondCopies": False, "dialTimeoutMs": 250,
                   "keepaliveMs": keepalive_ms, "streamsPerConn": 32, "peerMessages": False},
        "me": 0, "overShareWorth": 0.1, "periodMs": 5, "replicasOfMe": 1,
        "report": {"how": "on_probe", "fields": ["served_ps", "busy_reqs"]},
        "specifics": {"classPartial": [0.9] * count, "completeFrom": [1] * count, "fetchParts": [0] * count,
                      "floorByClass": [1] * count, "perCall": 1, "positions": cells, "shards": shards, "width": 1},
        "tenants": [{"name": "acme", "quotaPerS": 1000, "portion": 1.0}], "stage": 0,
        "tariffs": {"probe": 0.01, "waste": 0.16}, "weightKind": "off", "worthBy": "request",
        "zone": "z1", "zones": ["z1"],
    }


def category(name="search", deadline_ms=5000, effect="retryable", **more):
    return {"name": name, "aimMs": 2000, "hardLimitMs": deadline_ms, "lateValue": 0.5, "worth": 1, "effect": effect,
            "group": "all", "windowMs": 5000, "stream": False, **more}


class Aggregator:
    """The program as the deploy file's `run` starts it, in a process group of its own."""

    def __init__(self, record, folder, discovery, known, program_settings, operator=None, management=None,
                 listen_port=None, temporary=None, name="n0"):
        self.record = record
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            command = tomllib.load(file)["run"]
        if not os.path.exists(os.path.join(ROOT, "target", "release", "sailmux")):
            raise CannotRun("the program is not built")
        self.folder = tempfile.mkdtemp(prefix="n-", dir=folder)
        self.port = listen_port or free_port()
        config = {"name": name, "listen": f"127.0.0.1:{self.port}", "discovery": discovery,
                  "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                  "known": {"generation": 4, "reset": True, "instances": known}, "settings": program_settings}
        if management:
            config["management"] = f"127.0.0.1:{management}"
        path = os.path.join(self.folder, "config.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        environment = {key: value for key, value in os.environ.items()
                       if not key.startswith("RELAY_") and key != "SAILMUX_OPERATOR"}
        environment["RELAY_CONFIG"] = path
        environment["TMPDIR"] = temporary or self.folder
        if operator:
            operator_path = os.path.join(self.folder, "operator.yaml")
            with open(operator_path, "w", encoding="utf-8") as file:
                file.write(operator)
            environment["SAILMUX_OPERATOR"] = operator_path
        self.log_path = os.path.join(self.folder, "log.txt")
        with open(self.log_path, "wb") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment,
                                            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        record.add(f"aggregator started as process {self.process.pid} on port {self.port}")

    def wait_until_ready(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CannotRun(f"the aggregator ended at its start: {self.log()[-600:]}")
            try:
                with socket.create_connection(("127.0.0.1", self.port), 1) as stream:
                    stream.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    stream.settimeout(1)
                    if stream.recv(64).startswith(b"HTTP/1.1 200"):
                        self.record.add("aggregator ready")
                        return
            except OSError:
                pass
            time.sleep(0.05)
        raise CannotRun("the aggregator was not ready in time")

    def signal(self, number):
        self.record.add(f"signal {signal.Signals(number).name} to process {self.process.pid}")
        self.process.send_signal(number)

    def wait(self, seconds):
        """The exit status, or None if it still runs."""
        try:
            return self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return file.read()

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Client:
    """A client of the platform's protocol, with one connection."""

    def __init__(self, port, timeout=10):
        self.stream = socket.create_connection(("127.0.0.1", port), 2)
        self.stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stream.settimeout(timeout)
        self.buffer = b""

    def send(self, request_id, shards, kind="search", owner="acme", deadline_ms=5000, headers=(),
             predicate="c41e77d0"):
        ranges = [{"range": shard, "portion": 1.0 / len(shards)} for shard in shards]
        body = json.dumps({"ranges": ranges, "predicate": predicate})
        lines = ["POST /api/7f3a9c21e0b4d655 HTTP/1.1", "Host: api.internal", f"Req-Id: {request_id}",
                 f"Req-Kind: {kind}", f"Req-Owner: {owner}", f"Req-Deadline: {deadline_ms}m",
                 f"Content-Length: {len(body)}", *headers, "", body]
        self.stream.sendall("\r\n".join(lines).encode())

    def response(self):
        """Status and body; raises ConnectionError if the connection ends before a whole answer."""
        while b"\r\n\r\n" not in self.buffer:
            self.fill()
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        length = 0
        for line in head.decode().split("\r\n")[1:]:
            name, _, text = line.partition(":")
            if name.lower() == "content-length":
                length = int(text)
        while len(self.buffer) < length:
            self.fill()
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        return int(head.split(b" ")[1]), body.decode()

    def fill(self):
        piece = self.stream.recv(65536)
        if not piece:
            raise ConnectionError("the connection ended")
        self.buffer += piece

    def request(self, *arguments, **named):
        self.send(*arguments, **named)
        return self.response()

    def close(self):
        self.stream.close()


def run_case(folder, case):
    """Runs `case(record, temporary folder, with trouble)` and exits with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.add("with the disruption" if trouble else "without the disruption")
    temporary = record.temporary = tempfile.mkdtemp(prefix="sailmux-review-")

    def stop(*_):
        raise CannotRun("stopped from outside, or out of time")

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    try:
        result = case(record, temporary, trouble)
    except CannotRun as problem:
        record.add(f"could not run: {problem}")
        result = CANNOT_RUN
    except Exception as problem:  # a fault of the test is no fault of the program
        record.add(f"could not run: {type(problem).__name__}: {problem}")
        result = CANNOT_RUN
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
    record.add({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", CANNOT_RUN: "no result"}[result])
    sys.stdout.flush()
    os._exit(result)
