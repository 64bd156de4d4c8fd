"""The parts of HTTP/2 and gRPC that the Flight stand-ins need. Headers are written as literals; of those that are read
only the flags matter here."""

import socket
import struct
import time

from common import read_exactly

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, RST_STREAM, SETTINGS, PING, GOAWAY, WINDOW_UPDATE = 0, 1, 3, 4, 6, 7, 8
END_STREAM, ACK, END_HEADERS = 1, 1, 4


def frame(kind, flags, stream, payload=b""):
    return struct.pack(">I", len(payload))[1:] + bytes([kind, flags]) + struct.pack(">I", stream) + payload


def read_frame(stream):
    head = read_exactly(stream, 9)
    length = int.from_bytes(head[:3], "big")
    number = int.from_bytes(head[5:9], "big") & 0x7FFFFFFF
    return head[3], head[4], number, read_exactly(stream, length)


def string(text):
    data = text.encode()
    assert len(data) < 127
    return bytes([len(data)]) + data


def header_block(headers):
    return b"".join(b"\x00" + string(name) + string(value) for name, value in headers)


def varint(number):
    data = b""
    while number > 127:
        data += bytes([number & 127 | 128])
        number >>= 7
    return data + bytes([number])


def message(data):
    """A gRPC message."""
    return b"\x00" + struct.pack(">I", len(data)) + data


def protobuf_bytes(field, data):
    return varint(field << 3 | 2) + varint(len(data)) + data


class Gateway:
    """A customer's gateway: one HTTP/2 connection, on which it fetches answers with DoGet. What it opens of the window
    reaches the server `round_trip` seconds after the data left it."""

    def __init__(self, port, timeout=10, round_trip=0.0):
        self.round_trip = round_trip
        self.stream = socket.create_connection(("127.0.0.1", port), 2)
        self.stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stream.settimeout(timeout)
        self.port = port
        self.next_stream = 1
        self.going_away = False
        self.stream.sendall(PREFACE + frame(SETTINGS, 0, 0))

    def send(self, ticket, deadline_ms):
        number = self.next_stream
        self.next_stream += 2
        headers = header_block([
            (":method", "POST"), (":scheme", "http"), (":path", "/arrow.flight.protocol.FlightService/DoGet"),
            (":authority", f"127.0.0.1:{self.port}"), ("content-type", "application/grpc"), ("te", "trailers"),
            ("grpc-timeout", f"{deadline_ms}m")])
        body = message(protobuf_bytes(1, ticket.encode()))
        self.stream.sendall(frame(HEADERS, END_HEADERS, number, headers) + frame(DATA, END_STREAM, number, body))
        return number

    def answer(self, number, seconds):
        """How one call ended, and the bytes of its answer."""
        return self.answers([number], seconds)[number]

    def answers(self, numbers, seconds):
        """Reads until the calls have ended. Returns for each how it ended and the bytes of its answer: `whole` is an
        answer with its status, `status` a refusal or failure, `none` no end within the time, anything else an end
        without a status. The window is opened again as data is read."""
        ends, data = {}, {number: b"" for number in numbers}
        end = time.monotonic() + seconds
        while len(ends) < len(numbers):
            try:
                self.stream.settimeout(max(end - time.monotonic(), 0.001))
                kind, flags, stream, payload = read_frame(self.stream)
            except (TimeoutError, socket.timeout):
                rest = "none"
                break
            except (OSError, ConnectionError) as problem:
                rest = f"connection ended ({problem})"
                break
            if kind == SETTINGS and not flags & ACK:
                self.write(frame(SETTINGS, ACK, 0))
            elif kind == PING and not flags & ACK:
                self.write(frame(PING, ACK, 0, payload))
            elif kind == GOAWAY:
                self.going_away = True
            elif stream not in data or stream in ends:
                if kind == DATA and payload:
                    self.write(frame(WINDOW_UPDATE, 0, 0, struct.pack(">I", len(payload))))
            elif kind == DATA:
                data[stream] += payload
                if payload:
                    time.sleep(self.round_trip)
                    size = struct.pack(">I", len(payload))
                    self.write(frame(WINDOW_UPDATE, 0, 0, size) + frame(WINDOW_UPDATE, 0, stream, size))
                if flags & END_STREAM:
                    ends[stream] = "ended without a status"
            elif kind == HEADERS and flags & END_STREAM:
                ends[stream] = "whole" if data[stream] else "status"
            elif kind == RST_STREAM:
                ends[stream] = f"reset ({int.from_bytes(payload, 'big')})"
        return {number: (ends.get(number) or rest, data[number]) for number in numbers}

    def write(self, data):
        try:
            self.stream.sendall(data)
        except OSError:
            pass

    def close(self):
        self.stream.close()
