//! The binary format of datagrams between members, bounded in size and authenticated with the fleet's key.
//!
//! ```text
//! "SMG" version:u8 kind:u8 recipient:u64 sender:Update body... tag:[u8; 16]
//! Update = id:u64 incarnation:u64 status:u8 reporter:u64 address:String zone:String
//! String = length:u8 bytes (UTF-8)
//! List   = count:u8 Update...
//! ```
//!
//! Integers are big-endian. The tag is the first 16 bytes of an HMAC-SHA256 over all bytes before it. Sans-IO: the
//! codec converts between bytes and values and does no input or output.

mod authentication;
mod decode;
mod encode;

use super::member::{MemberId, MemberUpdate};
use super::message::Message;
use authentication::{Authenticator, TAG_BYTES};
use std::fmt;

pub use authentication::MIN_KEY_BYTES;

const MAGIC: &[u8; 3] = b"SMG";
const VERSION: u8 = 1;
/// Length of the header: magic bytes, version and kind.
const HEADER_BYTES: usize = MAGIC.len() + 2;
/// Length of the shortest update, with an empty address and an empty zone.
const MIN_UPDATE_BYTES: usize = 8 + 8 + 1 + 8 + 1 + 1;
/// Length of the shortest datagram: header, recipient, the shortest update and the tag.
const MIN_DATAGRAM_BYTES: usize = HEADER_BYTES + 8 + MIN_UPDATE_BYTES + TAG_BYTES;

/// Packet kinds, as encoded in the header.
mod kind {
    pub const PING: u8 = 1;
    pub const ACK: u8 = 2;
    pub const GOSSIP: u8 = 3;
    pub const PING_REQUEST: u8 = 4;
    pub const SYNC: u8 = 5;
    pub const TABLE_REQUEST: u8 = 6;
    pub const TABLE_REPLY: u8 = 7;
}

/// The content of a datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum Packet {
    /// A message between members.
    Member(Message),
    /// A request for the member table by an operator's tool. The sender's update is a placeholder, because the tool is
    /// not a member.
    TableRequest {
        /// Sequence number chosen by the tool, returned in the reply.
        sequence: u64,
    },
    /// A part of the reply to a table request.
    TableReply {
        /// Sequence number of the request.
        sequence: u64,
        /// Index of this part, from 0.
        part: u16,
        /// Total number of parts of the reply.
        parts: u16,
        /// The sender's local health score.
        local_health: u32,
        /// Members in the sender's table, including the sender.
        members: Vec<MemberUpdate>,
    },
}

/// A decoded datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    /// Id of the intended receiver; 0 addresses whichever member listens at the address, as in a join. The id keeps a
    /// process restarted at the same address from answering for its predecessor.
    pub recipient: MemberId,
    /// The sender's update about itself.
    pub sender: MemberUpdate,
    /// Content of the datagram.
    pub packet: Packet,
}

/// The reason why a datagram cannot be encoded or decoded, or a codec cannot be created.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireError {
    /// The key is shorter than [`MIN_KEY_BYTES`].
    KeyTooShort,
    /// The datagram ends within a field, or is shorter than the shortest valid one.
    Truncated,
    /// The datagram does not begin with the magic bytes.
    WrongMagic,
    /// The datagram's version is not supported; holds that version.
    UnsupportedVersion(u8),
    /// The packet kind is not defined; holds its byte.
    UnknownKind(u8),
    /// A member's status is not defined; holds its byte.
    UnknownStatus(u8),
    /// A string is not valid UTF-8.
    InvalidUtf8,
    /// Bytes follow the last field.
    TrailingBytes,
    /// The tag does not match: the sender uses another key, or the bytes were changed.
    AuthenticationFailed,
    /// The datagram exceeds the size limit, or a list or string is longer than its length field allows; holds the length.
    TooLarge(usize),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::KeyTooShort => write!(f, "the key is shorter than {MIN_KEY_BYTES} bytes"),
            Self::Truncated => write!(f, "the datagram is truncated"),
            Self::WrongMagic => write!(f, "the datagram does not begin with the magic bytes"),
            Self::UnsupportedVersion(version) => {
                write!(f, "unsupported version {version} (supported: {VERSION})")
            }
            Self::UnknownKind(kind) => write!(f, "unknown packet kind {kind}"),
            Self::UnknownStatus(status) => write!(f, "unknown member status {status}"),
            Self::InvalidUtf8 => write!(f, "a string is not valid UTF-8"),
            Self::TrailingBytes => write!(f, "unexpected bytes after the last field"),
            Self::AuthenticationFailed => write!(f, "authentication failed: the tag does not match"),
            Self::TooLarge(length) => write!(f, "too large: {length} bytes or items exceed the limit"),
        }
    }
}

impl std::error::Error for WireError {}

/// Encodes and decodes datagrams with the fleet's key.
#[derive(Clone)]
pub struct DatagramCodec {
    authenticator: Authenticator,
    max_datagram_bytes: usize,
}

impl fmt::Debug for DatagramCodec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The key is left out, so that it cannot reach a log.
        f.debug_struct("DatagramCodec")
            .field("max_datagram_bytes", &self.max_datagram_bytes)
            .finish_non_exhaustive()
    }
}

impl DatagramCodec {
    /// Creates a codec for datagrams of at most `max_datagram_bytes`. A value below the length of the shortest datagram is
    /// raised to that length.
    ///
    /// # Errors
    /// [`WireError::KeyTooShort`] if the key has fewer than [`MIN_KEY_BYTES`] bytes.
    pub fn new(key: &[u8], max_datagram_bytes: usize) -> Result<Self, WireError> {
        Ok(DatagramCodec {
            authenticator: Authenticator::new(key)?,
            max_datagram_bytes: max_datagram_bytes.max(MIN_DATAGRAM_BYTES),
        })
    }

    /// Returns the maximum length of a datagram, in bytes, including the tag.
    pub fn max_datagram_bytes(&self) -> usize {
        self.max_datagram_bytes
    }

    /// Encodes a datagram and appends its tag.
    ///
    /// # Errors
    /// [`WireError::TooLarge`] if the datagram, a list or a string exceeds its limit.
    pub fn encode(&self, datagram: &Datagram) -> Result<Vec<u8>, WireError> {
        let mut bytes = encode::encode_body(datagram)?;
        let tag = self.authenticator.tag(&bytes);
        bytes.extend_from_slice(&tag);
        if bytes.len() > self.max_datagram_bytes {
            return Err(WireError::TooLarge(bytes.len()));
        }
        Ok(bytes)
    }

    /// Authenticates and decodes a datagram.
    ///
    /// # Errors
    /// The datagram is malformed, not authentic or too large.
    pub fn decode(&self, bytes: &[u8]) -> Result<Datagram, WireError> {
        if bytes.len() > self.max_datagram_bytes {
            return Err(WireError::TooLarge(bytes.len()));
        }
        if bytes.len() < MIN_DATAGRAM_BYTES {
            return Err(WireError::Truncated);
        }
        if !bytes.starts_with(MAGIC) {
            return Err(WireError::WrongMagic);
        }
        let version = bytes[MAGIC.len()];
        if version != VERSION {
            return Err(WireError::UnsupportedVersion(version));
        }
        let (authenticated, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
        self.authenticator.verify(authenticated, tag)?;
        let kind = bytes[MAGIC.len() + 1];
        decode::decode_body(kind, &authenticated[HEADER_BYTES..])
    }
}
