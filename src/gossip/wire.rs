//! Members' datagrams: a closed binary form, bounded in size, each sealed by HMAC-SHA256 under the fleet's key.
//!
//! ```text
//! "SMG" version:u8 kind:u8 to:u64 from:News body… mac:[u8; 16]
//! News = id:u64 incarnation:u64 status:u8 said_by:u64 address:(len:u8 bytes) zone:(len:u8 bytes)
//! ```
//! All integers are big-endian. `to` is the member the sender meant (0: whoever listens there, as for a join), so
//! that a process restarted under an old address does not answer for its old self. The seal is the first 16 bytes of
//! HMAC-SHA256 over all that goes before it. Sans-IO: bytes in, values out.

use super::detector::Message;
use super::table::{MemberId, News, Status};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::fmt;
use std::sync::Arc;

const MAGIC: &[u8; 3] = b"SMG";
const VERSION: u8 = 1;
const SEAL: usize = 16;
/// The fewest bytes a datagram can have: head, `to`, the shortest news and the seal.
const LEAST: usize = 3 + 1 + 1 + 8 + 27 + SEAL;
/// Bytes of the key at least.
pub const KEY_LEAST: usize = 16;

/// What travels: a member's message, or an operator's look at a member's table and its answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Packet {
    /// Between members.
    Member(Message),
    /// An operator asks for the table; `from` is the asker's own stand-in news.
    Look {
        /// The asker's number, given back.
        seq: u64,
    },
    /// One part of a member's answer to a look.
    Seen {
        /// The asker's number.
        seq: u64,
        /// This part, from 0.
        part: u16,
        /// Parts in all.
        parts: u16,
        /// The member's local health multiplier.
        health: u32,
        /// Members as the member knows them, itself among them.
        members: Vec<News>,
    },
}

/// A datagram, opened.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// Whom the sender meant; 0 for whoever listens there.
    pub to: MemberId,
    /// The sender as it says of itself.
    pub from: News,
    /// What it says.
    pub packet: Packet,
}

/// Why a datagram was not taken, or could not be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireError {
    /// It ends before its fields do.
    Short,
    /// It is not one of ours.
    Magic,
    /// A version this program does not read.
    Version(u8),
    /// A kind of message that does not exist.
    Kind(u8),
    /// A status that does not exist.
    Status(u8),
    /// A name or address that is not UTF-8.
    Text,
    /// Bytes beyond its last field.
    Trailing,
    /// The seal does not match: another key, or bytes changed on the way.
    Seal,
    /// More bytes than the bound, or a list or text longer than its length field can say.
    TooLarge(usize),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Short => write!(f, "the datagram ends within a field"),
            WireError::Magic => write!(f, "the datagram is not a member's"),
            WireError::Version(v) => write!(f, "version {v} is not read here (only {VERSION})"),
            WireError::Kind(k) => write!(f, "there is no kind {k}"),
            WireError::Status(s) => write!(f, "there is no status {s}"),
            WireError::Text => write!(f, "a name is not UTF-8"),
            WireError::Trailing => write!(f, "bytes follow the last field"),
            WireError::Seal => write!(f, "the seal does not match the key"),
            WireError::TooLarge(n) => write!(f, "{n} bytes or items are beyond the bound"),
        }
    }
}

impl std::error::Error for WireError {}

/// The fleet's key and the bound of a datagram.
#[derive(Clone)]
pub struct Sealer {
    mac: Hmac<Sha256>,
    most: usize,
}

impl fmt::Debug for Sealer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Sealer").field("most", &self.most).finish_non_exhaustive()
    }
}

impl Sealer {
    /// A sealer for datagrams of at most `most` bytes.
    ///
    /// # Errors
    /// A key shorter than [`KEY_LEAST`] bytes.
    pub fn new(key: &[u8], most: usize) -> Result<Self, WireError> {
        if key.len() < KEY_LEAST {
            return Err(WireError::Short);
        }
        let mac = <Hmac<Sha256> as KeyInit>::new_from_slice(key).map_err(|_| WireError::Short)?;
        Ok(Sealer { mac, most: most.max(LEAST) })
    }

    /// The datagram's bound.
    pub fn most(&self) -> usize {
        self.most
    }

    /// Writes and seals a datagram.
    ///
    /// # Errors
    /// `TooLarge` where it would pass the bound or a length field.
    pub fn seal(&self, envelope: &Envelope) -> Result<Vec<u8>, WireError> {
        let mut out = Vec::with_capacity(256);
        out.extend_from_slice(MAGIC);
        out.push(VERSION);
        let (kind, seq) = match &envelope.packet {
            Packet::Member(Message::Ping { seq, .. }) => (1, *seq),
            Packet::Member(Message::Ack { seq, .. }) => (2, *seq),
            Packet::Member(Message::Gossip { .. }) => (3, 0),
            Packet::Member(Message::PingReq { seq, .. }) => (4, *seq),
            Packet::Member(Message::Sync { .. }) => (5, 0),
            Packet::Look { seq } => (6, *seq),
            Packet::Seen { seq, .. } => (7, *seq),
        };
        out.push(kind);
        out.extend_from_slice(&envelope.to.0.to_be_bytes());
        news_out(&mut out, &envelope.from)?;
        match &envelope.packet {
            Packet::Member(Message::Ping { news, .. } | Message::Ack { news, .. }) => {
                out.extend_from_slice(&seq.to_be_bytes());
                list_out(&mut out, news)?;
            }
            Packet::Member(Message::Gossip { news }) => list_out(&mut out, news)?,
            Packet::Member(Message::PingReq { target, news, .. }) => {
                out.extend_from_slice(&seq.to_be_bytes());
                out.extend_from_slice(&target.0.to_be_bytes());
                list_out(&mut out, news)?;
            }
            Packet::Member(Message::Sync { answer, members }) => {
                out.push(u8::from(*answer));
                list_out(&mut out, members)?;
            }
            Packet::Look { .. } => out.extend_from_slice(&seq.to_be_bytes()),
            Packet::Seen { part, parts, health, members, .. } => {
                out.extend_from_slice(&seq.to_be_bytes());
                out.extend_from_slice(&part.to_be_bytes());
                out.extend_from_slice(&parts.to_be_bytes());
                out.extend_from_slice(&health.to_be_bytes());
                list_out(&mut out, members)?;
            }
        }
        let mut mac = self.mac.clone();
        mac.update(&out);
        out.extend_from_slice(&mac.finalize().into_bytes()[..SEAL]);
        if out.len() > self.most {
            return Err(WireError::TooLarge(out.len()));
        }
        Ok(out)
    }

    /// Checks the seal and reads a datagram.
    ///
    /// # Errors
    /// What is wrong with it; nothing of it is taken then.
    pub fn open(&self, bytes: &[u8]) -> Result<Envelope, WireError> {
        if bytes.len() > self.most {
            return Err(WireError::TooLarge(bytes.len()));
        }
        if bytes.len() < LEAST {
            return Err(WireError::Short);
        }
        if &bytes[..3] != MAGIC {
            return Err(WireError::Magic);
        }
        if bytes[3] != VERSION {
            return Err(WireError::Version(bytes[3]));
        }
        let (body, seal) = bytes.split_at(bytes.len() - SEAL);
        let mut mac = self.mac.clone();
        mac.update(body);
        mac.verify_truncated_left(seal).map_err(|_| WireError::Seal)?;
        let mut r = Reader { bytes: &body[5..] };
        let kind = body[4];
        let to = MemberId(r.u64()?);
        let from = r.news()?;
        let packet = match kind {
            1 => Packet::Member(Message::Ping { seq: r.u64()?, news: r.list()? }),
            2 => Packet::Member(Message::Ack { seq: r.u64()?, news: r.list()? }),
            3 => Packet::Member(Message::Gossip { news: r.list()? }),
            4 => Packet::Member(Message::PingReq {
                seq: r.u64()?,
                target: MemberId(r.u64()?),
                news: r.list()?,
            }),
            5 => Packet::Member(Message::Sync { answer: r.u8()? != 0, members: r.list()? }),
            6 => Packet::Look { seq: r.u64()? },
            7 => Packet::Seen {
                seq: r.u64()?,
                part: r.u16()?,
                parts: r.u16()?,
                health: r.u32()?,
                members: r.list()?,
            },
            other => return Err(WireError::Kind(other)),
        };
        if !r.bytes.is_empty() {
            return Err(WireError::Trailing);
        }
        Ok(Envelope { to, from, packet })
    }
}

fn news_out(out: &mut Vec<u8>, news: &News) -> Result<(), WireError> {
    out.extend_from_slice(&news.id.0.to_be_bytes());
    out.extend_from_slice(&news.incarnation.to_be_bytes());
    out.push(match news.status {
        Status::Alive => 0,
        Status::Suspect => 1,
        Status::Dead => 2,
        Status::Left => 3,
    });
    out.extend_from_slice(&news.said_by.0.to_be_bytes());
    text_out(out, &news.address)?;
    text_out(out, &news.zone)
}

fn text_out(out: &mut Vec<u8>, text: &str) -> Result<(), WireError> {
    let length = u8::try_from(text.len()).map_err(|_| WireError::TooLarge(text.len()))?;
    out.push(length);
    out.extend_from_slice(text.as_bytes());
    Ok(())
}

fn list_out(out: &mut Vec<u8>, news: &[News]) -> Result<(), WireError> {
    let count = u8::try_from(news.len()).map_err(|_| WireError::TooLarge(news.len()))?;
    out.push(count);
    news.iter().try_for_each(|n| news_out(out, n))
}

struct Reader<'a> {
    bytes: &'a [u8],
}

impl Reader<'_> {
    fn take(&mut self, n: usize) -> Result<&[u8], WireError> {
        if self.bytes.len() < n {
            return Err(WireError::Short);
        }
        let (head, rest) = self.bytes.split_at(n);
        self.bytes = rest;
        Ok(head)
    }

    fn u8(&mut self) -> Result<u8, WireError> {
        Ok(self.take(1)?[0])
    }

    fn u16(&mut self) -> Result<u16, WireError> {
        Ok(u16::from_be_bytes(self.take(2)?.try_into().map_err(|_| WireError::Short)?))
    }

    fn u32(&mut self) -> Result<u32, WireError> {
        Ok(u32::from_be_bytes(self.take(4)?.try_into().map_err(|_| WireError::Short)?))
    }

    fn u64(&mut self) -> Result<u64, WireError> {
        Ok(u64::from_be_bytes(self.take(8)?.try_into().map_err(|_| WireError::Short)?))
    }

    fn text(&mut self) -> Result<Arc<str>, WireError> {
        let n = usize::from(self.u8()?);
        std::str::from_utf8(self.take(n)?).map(Arc::from).map_err(|_| WireError::Text)
    }

    fn news(&mut self) -> Result<News, WireError> {
        let id = MemberId(self.u64()?);
        let incarnation = self.u64()?;
        let status = match self.u8()? {
            0 => Status::Alive,
            1 => Status::Suspect,
            2 => Status::Dead,
            3 => Status::Left,
            other => return Err(WireError::Status(other)),
        };
        let said_by = MemberId(self.u64()?);
        Ok(News { id, address: self.text()?, zone: self.text()?, incarnation, status, said_by })
    }

    fn list(&mut self) -> Result<Vec<News>, WireError> {
        let count = self.u8()?;
        (0..count).map(|_| self.news()).collect()
    }
}
