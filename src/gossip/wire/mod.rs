//! Datagrams between members: a binary form, bounded in size, authenticated with the fleet's key.
//!
//! ```text
//! "SMG" version:u8 kind:u8 recipient:u64 sender:Update body... tag:[u8; 16]
//! Update = id:u64 incarnation:u64 status:u8 reporter:u64 address:Text zone:Text
//! Text   = length:u8 bytes (UTF-8)
//! List   = count:u8 Update...
//! ```
//!
//! Integers are big-endian. The tag is the first 16 bytes of an HMAC-SHA256 over all bytes before it. Sans-IO: bytes
//! in, values out.

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
/// Bytes before the body: magic, version and kind.
const HEADER_BYTES: usize = MAGIC.len() + 2;
/// The shortest update: two empty texts.
const MIN_UPDATE_BYTES: usize = 8 + 8 + 1 + 8 + 1 + 1;
/// The shortest datagram: header, recipient, the shortest update, tag.
const MIN_DATAGRAM_BYTES: usize = HEADER_BYTES + 8 + MIN_UPDATE_BYTES + TAG_BYTES;

/// The kind of a packet, as the byte in the header.
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
    /// An operator's tool asks for the table. The sender's update is a placeholder, since the tool is no member.
    TableRequest {
        /// The tool's sequence number, returned in the reply.
        sequence: u64,
    },
    /// A part of the reply to a table request.
    TableReply {
        /// The sequence number of the request.
        sequence: u64,
        /// The number of this part, from 0.
        part: u16,
        /// Number of parts.
        parts: u16,
        /// The sender's local health score.
        local_health: u32,
        /// Members as the sender knows them, itself included.
        members: Vec<MemberUpdate>,
    },
}

/// A decoded datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    /// The intended receiver; 0 for whoever listens at the address, as for a join. A process restarted at an old
    /// address thus does not answer for the old one.
    pub recipient: MemberId,
    /// The sender's update about itself.
    pub sender: MemberUpdate,
    /// The content.
    pub packet: Packet,
}

/// Why a datagram could not be decoded or encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireError {
    /// The key has less than [`MIN_KEY_BYTES`] bytes.
    KeyTooShort,
    /// It ends within a field.
    Truncated,
    /// It does not begin with the magic bytes.
    WrongMagic,
    /// It has a version that this program does not read.
    UnsupportedVersion(u8),
    /// Its kind does not exist.
    UnknownKind(u8),
    /// A member's status does not exist.
    UnknownStatus(u8),
    /// A text is not UTF-8.
    InvalidUtf8,
    /// Bytes follow its last field.
    TrailingBytes,
    /// The tag does not match: another key, or changed bytes.
    AuthenticationFailed,
    /// It is longer than the bound, or a list or text is longer than its length field allows; the length.
    TooLarge(usize),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::KeyTooShort => write!(f, "the key has less than {MIN_KEY_BYTES} bytes"),
            Self::Truncated => write!(f, "the datagram ends within a field"),
            Self::WrongMagic => write!(f, "the datagram is not a member's"),
            Self::UnsupportedVersion(version) => {
                write!(f, "version {version} is not read here (only {VERSION})")
            }
            Self::UnknownKind(kind) => write!(f, "there is no kind {kind}"),
            Self::UnknownStatus(status) => write!(f, "there is no status {status}"),
            Self::InvalidUtf8 => write!(f, "a name is not UTF-8"),
            Self::TrailingBytes => write!(f, "bytes follow the last field"),
            Self::AuthenticationFailed => write!(f, "the tag does not match the key"),
            Self::TooLarge(length) => write!(f, "{length} bytes or items are beyond the bound"),
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
        // Without the key.
        f.debug_struct("DatagramCodec")
            .field("max_datagram_bytes", &self.max_datagram_bytes)
            .finish_non_exhaustive()
    }
}

impl DatagramCodec {
    /// A codec for datagrams of at most `max_datagram_bytes`, or of the least possible bound if that is larger.
    ///
    /// # Errors
    /// [`WireError::KeyTooShort`].
    pub fn new(key: &[u8], max_datagram_bytes: usize) -> Result<Self, WireError> {
        Ok(DatagramCodec {
            authenticator: Authenticator::new(key)?,
            max_datagram_bytes: max_datagram_bytes.max(MIN_DATAGRAM_BYTES),
        })
    }

    /// Most bytes of a datagram.
    pub fn max_datagram_bytes(&self) -> usize {
        self.max_datagram_bytes
    }

    /// Encodes a datagram.
    ///
    /// # Errors
    /// [`WireError::TooLarge`].
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
    /// What is wrong with it; nothing of it is returned then.
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
