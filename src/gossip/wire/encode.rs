//! Encodes datagrams to bytes.

use super::{Datagram, MAGIC, Message, Packet, VERSION, WireError, kind};
use crate::gossip::member::{MemberStatus, MemberUpdate};

/// Initial capacity of the buffer, in bytes; enough for most datagrams.
const INITIAL_CAPACITY: usize = 256;

/// Encodes a datagram without its tag.
pub(super) fn encode_body(datagram: &Datagram) -> Result<Vec<u8>, WireError> {
    let mut writer = Writer { bytes: Vec::with_capacity(INITIAL_CAPACITY) };
    writer.bytes.extend_from_slice(MAGIC);
    writer.u8(VERSION);
    writer.u8(kind_of(&datagram.packet));
    writer.u64(datagram.recipient.0);
    writer.update(&datagram.sender)?;
    match &datagram.packet {
        Packet::Member(message) => writer.message(message)?,
        Packet::TableRequest { sequence } => writer.u64(*sequence),
        Packet::TableReply { sequence, part, parts, local_health, members } => {
            writer.u64(*sequence);
            writer.u16(*part);
            writer.u16(*parts);
            writer.u32(*local_health);
            writer.update_list(members)?;
        }
    }
    Ok(writer.bytes)
}

fn kind_of(packet: &Packet) -> u8 {
    match packet {
        Packet::Member(Message::Ping { .. }) => kind::PING,
        Packet::Member(Message::Ack { .. }) => kind::ACK,
        Packet::Member(Message::Gossip { .. }) => kind::GOSSIP,
        Packet::Member(Message::PingRequest { .. }) => kind::PING_REQUEST,
        Packet::Member(Message::Sync { .. }) => kind::SYNC,
        Packet::TableRequest { .. } => kind::TABLE_REQUEST,
        Packet::TableReply { .. } => kind::TABLE_REPLY,
    }
}

struct Writer {
    bytes: Vec<u8>,
}

impl Writer {
    fn u8(&mut self, value: u8) {
        self.bytes.push(value);
    }

    fn u16(&mut self, value: u16) {
        self.bytes.extend_from_slice(&value.to_be_bytes());
    }

    fn u32(&mut self, value: u32) {
        self.bytes.extend_from_slice(&value.to_be_bytes());
    }

    fn u64(&mut self, value: u64) {
        self.bytes.extend_from_slice(&value.to_be_bytes());
    }

    fn string(&mut self, value: &str) -> Result<(), WireError> {
        self.u8(u8::try_from(value.len()).map_err(|_| WireError::TooLarge(value.len()))?);
        self.bytes.extend_from_slice(value.as_bytes());
        Ok(())
    }

    fn update(&mut self, update: &MemberUpdate) -> Result<(), WireError> {
        self.u64(update.id.0);
        self.u64(update.incarnation);
        self.u8(match update.status {
            MemberStatus::Alive => 0,
            MemberStatus::Suspect => 1,
            MemberStatus::Dead => 2,
            MemberStatus::Left => 3,
        });
        self.u64(update.reporter.0);
        self.string(&update.address)?;
        self.string(&update.zone)
    }

    fn update_list(&mut self, updates: &[MemberUpdate]) -> Result<(), WireError> {
        self.u8(u8::try_from(updates.len()).map_err(|_| WireError::TooLarge(updates.len()))?);
        for update in updates {
            self.update(update)?;
        }
        Ok(())
    }

    fn message(&mut self, message: &Message) -> Result<(), WireError> {
        match message {
            Message::Ping { sequence, updates } | Message::Ack { sequence, updates } => {
                self.u64(*sequence);
                self.update_list(updates)
            }
            Message::Gossip { updates } => self.update_list(updates),
            Message::PingRequest { sequence, target, updates } => {
                self.u64(*sequence);
                self.u64(target.0);
                self.update_list(updates)
            }
            Message::Sync { reply_requested, members } => {
                self.u8(u8::from(*reply_requested));
                self.update_list(members)
            }
        }
    }
}
