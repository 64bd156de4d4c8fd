//! Frames of HTTP/2 and gRPC, for peers that a well-behaved library cannot play.

use std::io::Write;
use std::net::TcpStream;

const CONNECTION_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;
const CANCEL: u32 = 8;

/// A header block in which every field is a literal.
#[derive(Clone, Default)]
pub struct HeaderBlock(Vec<u8>);

impl HeaderBlock {
    /// The fields of a `DoGet` call.
    pub fn do_get() -> Self {
        HeaderBlock::default()
            .with(":method", "POST")
            .with(":scheme", "http")
            .with(":path", "/arrow.flight.protocol.FlightService/DoGet")
            .with(":authority", "aggregator")
            .with("te", "trailers")
            .with("content-type", "application/grpc")
            .with("grpc-timeout", "9000m")
    }

    /// Adds a field; names and values must be shorter than 127 bytes.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        const LITERAL_WITHOUT_INDEXING: u8 = 0;
        self.0.push(LITERAL_WITHOUT_INDEXING);
        for text in [name, value] {
            self.0.push(text.len() as u8);
            self.0.extend(text.as_bytes());
        }
        self
    }
}

/// The frames that a peer sends, in order.
#[derive(Clone, Default)]
pub struct Frames(Vec<u8>);

impl Frames {
    /// The connection preface with empty settings.
    pub fn preface() -> Self {
        let mut frames = Frames(CONNECTION_PREFACE.to_vec());
        frames.push(SETTINGS, 0, 0, &[]);
        frames
    }

    pub fn headers(mut self, stream: u32, block: &HeaderBlock) -> Self {
        self.push(HEADERS, END_HEADERS, stream, &block.0);
        self
    }

    /// Data of a stream that goes on.
    pub fn data(mut self, stream: u32, data: &[u8]) -> Self {
        self.push(DATA, 0, stream, data);
        self
    }

    /// The last data of a stream.
    pub fn last_data(mut self, stream: u32, data: &[u8]) -> Self {
        self.push(DATA, END_STREAM, stream, data);
        self
    }

    /// Cancels a stream.
    pub fn cancel(mut self, stream: u32) -> Self {
        self.push(RST_STREAM, 0, stream, &CANCEL.to_be_bytes());
        self
    }

    pub fn append(mut self, other: &Frames) -> Self {
        self.0.extend(&other.0);
        self
    }

    /// The encoded frames.
    pub fn into_bytes(self) -> Vec<u8> {
        self.0
    }

    /// Sends the frames; an error means that the aggregator has closed the connection.
    pub fn send(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        stream.write_all(&self.0)
    }

    fn push(&mut self, kind: u8, flags: u8, stream: u32, payload: &[u8]) {
        let length = (payload.len() as u32).to_be_bytes();
        self.0.extend(&length[1..]);
        self.0.extend([kind, flags]);
        self.0.extend(stream.to_be_bytes());
        self.0.extend(payload);
    }
}

/// The start of a gRPC message: the prefix with the message's length, without the message.
pub fn message_prefix(length: u32) -> Vec<u8> {
    const UNCOMPRESSED: u8 = 0;
    let mut prefix = vec![UNCOMPRESSED];
    prefix.extend(length.to_be_bytes());
    prefix
}

/// A gRPC message with a Flight ticket.
pub fn ticket_message(ticket: &str) -> Vec<u8> {
    const TICKET_FIELD: u8 = 0x0a;
    let mut message = vec![TICKET_FIELD];
    let mut length = ticket.len();
    while length > 0x7f {
        message.push((length & 0x7f) as u8 | 0x80);
        length >>= 7;
    }
    message.push(length as u8);
    message.extend(ticket.as_bytes());
    let mut encoded = message_prefix(message.len() as u32);
    encoded.extend(message);
    encoded
}
