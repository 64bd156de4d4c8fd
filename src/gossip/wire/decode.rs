//! Decodes datagrams from bytes.

use super::{Datagram, Message, Packet, WireError, kind};
use crate::gossip::member::{MemberId, MemberStatus, MemberUpdate};
use std::sync::Arc;

/// Decodes the bytes between the header and the tag.
pub(super) fn decode_body(kind: u8, bytes: &[u8]) -> Result<Datagram, WireError> {
    let mut reader = Reader { remaining: bytes };
    let recipient = MemberId(reader.u64()?);
    let sender = reader.update()?;
    let packet = reader.packet(kind)?;
    if !reader.remaining.is_empty() {
        return Err(WireError::TrailingBytes);
    }
    Ok(Datagram { recipient, sender, packet })
}

struct Reader<'a> {
    remaining: &'a [u8],
}

impl<'a> Reader<'a> {
    fn bytes(&mut self, length: usize) -> Result<&'a [u8], WireError> {
        let (bytes, remaining) = self.remaining.split_at_checked(length).ok_or(WireError::Truncated)?;
        self.remaining = remaining;
        Ok(bytes)
    }

    fn array<const LENGTH: usize>(&mut self) -> Result<[u8; LENGTH], WireError> {
        let (bytes, remaining) = self.remaining.split_first_chunk().ok_or(WireError::Truncated)?;
        self.remaining = remaining;
        Ok(*bytes)
    }

    fn u8(&mut self) -> Result<u8, WireError> {
        self.array().map(u8::from_be_bytes)
    }

    fn u16(&mut self) -> Result<u16, WireError> {
        self.array().map(u16::from_be_bytes)
    }

    fn u32(&mut self) -> Result<u32, WireError> {
        self.array().map(u32::from_be_bytes)
    }

    fn u64(&mut self) -> Result<u64, WireError> {
        self.array().map(u64::from_be_bytes)
    }

    fn string(&mut self) -> Result<Arc<str>, WireError> {
        let length = usize::from(self.u8()?);
        let string = std::str::from_utf8(self.bytes(length)?).map_err(|_| WireError::InvalidUtf8)?;
        Ok(string.into())
    }

    fn status(&mut self) -> Result<MemberStatus, WireError> {
        match self.u8()? {
            0 => Ok(MemberStatus::Alive),
            1 => Ok(MemberStatus::Suspect),
            2 => Ok(MemberStatus::Dead),
            3 => Ok(MemberStatus::Left),
            other => Err(WireError::UnknownStatus(other)),
        }
    }

    /// Struct fields are evaluated, and so read, in the order in which they are listed here.
    fn update(&mut self) -> Result<MemberUpdate, WireError> {
        Ok(MemberUpdate {
            id: MemberId(self.u64()?),
            incarnation: self.u64()?,
            status: self.status()?,
            reporter: MemberId(self.u64()?),
            address: self.string()?,
            zone: self.string()?,
        })
    }

    fn update_list(&mut self) -> Result<Vec<MemberUpdate>, WireError> {
        let count = self.u8()?;
        (0..count).map(|_| self.update()).collect()
    }

    /// The fields of each kind are evaluated, and so read, in the order in which they are listed here.
    fn packet(&mut self, kind: u8) -> Result<Packet, WireError> {
        let packet = match kind {
            kind::PING => {
                Packet::Member(Message::Ping { sequence: self.u64()?, updates: self.update_list()? })
            }
            kind::ACK => Packet::Member(Message::Ack { sequence: self.u64()?, updates: self.update_list()? }),
            kind::GOSSIP => Packet::Member(Message::Gossip { updates: self.update_list()? }),
            kind::PING_REQUEST => Packet::Member(Message::PingRequest {
                sequence: self.u64()?,
                target: MemberId(self.u64()?),
                updates: self.update_list()?,
            }),
            kind::SYNC => Packet::Member(Message::Sync {
                reply_requested: self.u8()? != 0,
                members: self.update_list()?,
            }),
            kind::TABLE_REQUEST => Packet::TableRequest { sequence: self.u64()? },
            kind::TABLE_REPLY => Packet::TableReply {
                sequence: self.u64()?,
                part: self.u16()?,
                parts: self.u16()?,
                local_health: self.u32()?,
                members: self.update_list()?,
            },
            unknown => return Err(WireError::UnknownKind(unknown)),
        };
        Ok(packet)
    }
}
