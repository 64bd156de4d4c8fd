"""A sound Flight leaf server, as the project's README describes one: a part comes as a `DoGet` with a JSON ticket, the
answer is a stream with a text column `blob`, and the action `load` is the health check."""

import json
import threading

import http2
import standins

# A stream of one row with the columns `range` and `blob`, as the mixer's own Flight front writes it to gateways; a leaf
# server's value of 16 hex digits takes the place of VALUE.
VALUE = b"3499056e1ddb3051"
STREAM = bytes.fromhex(
    "00000000f712f4011000000000000a000e000c000b0004000a000000140000000000000104000a000c000000080004000a00000008000000"
    "38000000010000000c00000008000c000800040008000000080000001000000004000000747275650000000005000000746f74616c000000"
    "02000000540000001400000010001400100000000f0004000000080010000000180000000c00000000000005100000000000000004000400"
    "0400000004000000626c6f620000000010001600100000000f0004000000080010000000180000001c000000000000021800000000000600"
    "080004000600000020000000000000000500000072616e6765000000000000018f12c801100000000c001a0018001700040008000c000000"
    "20000000c000000000000000000000000000000304000a0018000c00080004000a0000003c00000010000000010000000000000000000000"
    "0200000001000000000000000000000000000000010000000000000000000000000000000000000005000000000000000000000000000000"
    "0000000000000000000000000400000000000000400000000000000000000000000000004000000000000000080000000000000080000000"
    "000000001000000000000000c23ec00100000000000000000000000000000000000000000000000000000000000000000000000000000000"
    "0000000000000000000000000000000000000000000000000000000010000000000000000000000000000000000000000000000000000000"
    "0000000000000000000000000000000000000000000000000000000000000000333439393035366531646462333035310000000000000000"
    "00000000000000000000000000000000000000000000000000000000000000000000000000000000")


class FlightLeafServer:
    """`serve(ticket)` is called on a thread of its own for each part, and returns the value; None: no answer."""

    def __init__(self, case, name, cell, serve):
        self.case, self.name, self.cell, self.serve_part = case, name, cell, serve
        listener = standins.Listener(self.serve)
        self.address = f"grpc+tcp://{listener.address}"

    def entry(self):
        return standins.entry(self.name, self.address, self.cell)

    def serve(self, stream):
        connection = http2.Connection(stream)
        assert connection.read_exactly(len(http2.PREFACE)) == http2.PREFACE
        connection.send(http2.SETTINGS, 0, 0)
        messages = {}
        while True:
            kind, flags, number, payload = connection.read()
            if kind == http2.DATA:
                messages[number] = messages.get(number, b"") + payload
            elif kind == http2.RST_STREAM:
                self.case.record("part", f"{self.name}: call {number} is cancelled")
            if flags & http2.END_STREAM and kind != http2.RST_STREAM:
                message = messages.pop(number, b"")
                threading.Thread(target=self.answer, args=(connection, number, message[5:]), daemon=True).start()

    def answer(self, connection, number, message):
        content = http2.first_bytes_field(message)
        if content == b"load":
            data = http2.grpc_message(http2.bytes_field(1, b"inflight=1"))
        else:
            ticket = json.loads(content)
            self.case.record("part", f"{self.name} gets {content.decode()}")
            value = self.serve_part(ticket)
            if value is None:
                return
            data = STREAM.replace(VALUE, value.encode())
        head = http2.header_block([(":status", "200"), ("content-type", "application/grpc")])
        try:
            connection.send(http2.HEADERS, http2.END_HEADERS, number, head)
            connection.send(http2.DATA, 0, number, data)
            trailers = http2.header_block([("grpc-status", "0")])
            connection.send(http2.HEADERS, http2.END_HEADERS | http2.END_STREAM, number, trailers)
        except OSError:
            pass
