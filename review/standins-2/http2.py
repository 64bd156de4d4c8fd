"""As much of HTTP/2 and gRPC as a Flight leaf server needs. Header blocks are written as literals; those that
are received are not decoded: a call is known by its message."""

import struct
import threading

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, RST_STREAM, SETTINGS, PING, GOAWAY, WINDOW_UPDATE, CONTINUATION = 0, 1, 3, 4, 6, 7, 8, 9
END_STREAM, ACK, END_HEADERS, PADDED = 1, 1, 4, 8


def header_block(fields):
    block = b""
    for name, value in fields:
        block += b"\x00" + bytes([len(name)]) + name.encode() + bytes([len(value)]) + value.encode()
    return block


def grpc_message(data):
    return b"\x00" + struct.pack(">I", len(data)) + data


def bytes_field(number, data):
    """A field of a protobuf message with length-delimited data."""
    length, size = b"", len(data)
    while size >= 0x80:
        length += bytes([size & 0x7F | 0x80])
        size >>= 7
    return bytes([number << 3 | 2]) + length + bytes([size]) + data


def first_bytes_field(message):
    """The content of field 1 of a protobuf message."""
    assert message[0] == 0x0A
    size, shift, position = 0, 0, 1
    while True:
        byte = message[position]
        position += 1
        size |= (byte & 0x7F) << shift
        shift += 7
        if byte < 0x80:
            return message[position:position + size]


class Connection:
    """Frames on a socket. Settings and pings are acknowledged, and windows are opened, as they come."""

    def __init__(self, stream):
        self.stream = stream
        self.lock = threading.Lock()

    def send(self, kind, flags, number, payload=b""):
        with self.lock:
            self.stream.sendall(struct.pack(">I", len(payload))[1:] + bytes([kind, flags])
                                + struct.pack(">I", number) + payload)

    def read_exactly(self, count):
        data = b""
        while len(data) < count:
            piece = self.stream.recv(count - len(data))
            if not piece:
                raise EOFError
            data += piece
        return data

    def read(self):
        """The next frame that concerns a call: its kind, flags, stream and payload."""
        while True:
            head = self.read_exactly(9)
            length = int.from_bytes(head[:3], "big")
            kind, flags = head[3], head[4]
            number = int.from_bytes(head[5:], "big") & 0x7FFFFFFF
            payload = self.read_exactly(length)
            if kind == SETTINGS and not flags & ACK:
                self.send(SETTINGS, ACK, 0)
            elif kind == PING and not flags & ACK:
                self.send(PING, ACK, 0, payload)
            elif kind == DATA and payload:
                self.send(WINDOW_UPDATE, 0, 0, struct.pack(">I", length))
                if not flags & END_STREAM:
                    self.send(WINDOW_UPDATE, 0, number, struct.pack(">I", length))
            if kind == GOAWAY:
                raise EOFError
            if kind in (DATA, HEADERS, RST_STREAM):
                return kind, flags, number, payload
