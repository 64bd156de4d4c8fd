//! Records as bytes: frames in segments.
//!
//! A segment begins with `SMXLEDG`, the format's version and the first sequence number. A frame is its length, a CRC-32
//! over the rest, the sequence number, how much of the segment was known to be synced when it was written, the kind and
//! the fields. That last number tells a torn tail from a damaged middle: where a frame cannot be read, but a later one
//! knew it to be synced, the disk has lost what it had kept.

use super::entry::{Correction, Entry, Gap, Outcome, Record, Share};
use std::fmt;

/// What a segment begins with; the last byte is the version of the format.
pub const MAGIC: [u8; 8] = *b"SMXLEDG\x01";
/// Bytes of a segment's head.
pub const HEAD: usize = 16;
/// Bytes of a frame before its fields.
const FRAME: usize = 4 + 4 + 8 + 4 + 1;
/// A frame is no longer than that: against lengths that are noise.
const FRAME_MOST: usize = 64 << 10;

/// What of a segment cannot be read, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    /// Bytes from its start.
    pub offset: usize,
    /// What is wrong.
    pub problem: String,
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "damaged at byte {}: {}", self.offset, self.problem)
    }
}

/// A segment as it was read.
#[derive(Clone, Debug, Default)]
pub struct Scanned {
    /// Records with their sequence numbers and the offsets behind them.
    pub records: Vec<(u64, Record, usize)>,
    /// Bytes that are whole.
    pub good: usize,
    /// Bytes behind them, which are torn.
    pub torn: usize,
}

/// The head of a segment whose first record has that number.
pub fn head(first: u64) -> [u8; HEAD] {
    let mut head = [0; HEAD];
    head[..8].copy_from_slice(&MAGIC);
    head[8..].copy_from_slice(&first.to_le_bytes());
    head
}

/// Adds a frame.
pub fn encode(into: &mut Vec<u8>, seq: u64, synced: u32, record: &Record) {
    let start = into.len();
    into.extend([0; 8]);
    into.extend(seq.to_le_bytes());
    into.extend(synced.to_le_bytes());
    fields(into, record);
    let length = (into.len() - start - 8) as u32;
    let sum = crc32fast::hash(&into[start + 8..]);
    into[start..start + 4].copy_from_slice(&length.to_le_bytes());
    into[start + 4..start + 8].copy_from_slice(&sum.to_le_bytes());
}

/// Reads a segment; only the last one may have a torn tail.
///
/// # Errors
/// Where the middle is damaged.
pub fn scan(bytes: &[u8], first: u64, last: bool) -> Result<Scanned, Damage> {
    let mut scanned = Scanned::default();
    if bytes.len() < HEAD {
        // Its head was never synced, so nothing in it was.
        return match last {
            true => Ok(Scanned { torn: bytes.len(), ..scanned }),
            false => Err(Damage { offset: 0, problem: "its head is cut short".to_owned() }),
        };
    }
    if bytes[..HEAD] != head(first) {
        let empty = last && bytes.iter().all(|b| *b == 0);
        return match empty {
            true => Ok(Scanned { torn: bytes.len(), ..scanned }),
            false => Err(Damage { offset: 0, problem: "its head is of another kind or version".to_owned() }),
        };
    }
    let (mut at, mut seq) = (HEAD, first);
    while at < bytes.len() {
        match frame(&bytes[at..]) {
            Some((length, number, _)) if number == seq => match decode(&bytes[at + FRAME - 1..at + length]) {
                Some(record) => {
                    at += length;
                    scanned.records.push((seq, record, at));
                    seq += 1;
                }
                None => return Err(Damage { offset: at, problem: "a record of unknown form".to_owned() }),
            },
            Some((_, number, _)) => {
                let problem = format!("record {number} where {seq} was to come");
                return Err(Damage { offset: at, problem });
            }
            None if !last => {
                return Err(Damage { offset: at, problem: "a record that cannot be read".to_owned() });
            }
            None => {
                if let Some(later) = known_synced(bytes, at, seq) {
                    let problem =
                        format!("a record that cannot be read, though record {later} knew it to be synced");
                    return Err(Damage { offset: at, problem });
                }
                scanned.torn = bytes.len() - at;
                break;
            }
        }
    }
    scanned.good = at;
    Ok(scanned)
}

/// Length, sequence number and synced bytes of a whole frame at the start of some bytes.
fn frame(bytes: &[u8]) -> Option<(usize, u64, u32)> {
    let word = |at: usize| bytes.get(at..at + 4).and_then(|b| b.try_into().ok()).map(u32::from_le_bytes);
    let length = word(0)? as usize + 8;
    if !(FRAME..=FRAME_MOST).contains(&length) || length > bytes.len() {
        return None;
    }
    let seq = u64::from_le_bytes(bytes[8..16].try_into().ok()?);
    (crc32fast::hash(&bytes[8..length]) == word(4)?).then_some((length, seq, word(16)?))
}

/// A later frame that was written when this place was already synced.
fn known_synced(bytes: &[u8], from: usize, seq: u64) -> Option<u64> {
    // The number is looked at before the sum, or noise would be summed over and over.
    let plausible = |at: usize| {
        let number = bytes.get(at + 8..at + 16).and_then(|b| b.try_into().ok()).map(u64::from_le_bytes);
        number.is_some_and(|n| n > seq && n - seq < 1 << 32)
    };
    (from + 1..bytes.len())
        .filter(|at| plausible(*at))
        .filter_map(|at| frame(&bytes[at..]))
        .find(|(_, _, synced)| *synced as usize > from)
        .map(|(_, number, _)| number)
}

// ---- Fields ---------------------------------------------------------------------------------------------------

pub(super) fn put(into: &mut Vec<u8>, mut number: u64) {
    while number >= 0x80 {
        into.push(number as u8 | 0x80);
        number >>= 7;
    }
    into.push(number as u8);
}

pub(super) fn put_text(into: &mut Vec<u8>, text: &str) {
    put(into, text.len() as u64);
    into.extend(text.as_bytes());
}

/// Signed numbers, the small ones of either sign short.
pub(super) fn put_signed(into: &mut Vec<u8>, number: i64) {
    put(into, ((number << 1) ^ (number >> 63)) as u64);
}

/// Reads fields in order.
pub(super) struct Fields<'a>(pub &'a [u8]);

impl Fields<'_> {
    pub fn byte(&mut self) -> Option<u8> {
        let (first, rest) = self.0.split_first()?;
        self.0 = rest;
        Some(*first)
    }

    pub fn number(&mut self) -> Option<u64> {
        let mut number = 0;
        for shift in (0..64).step_by(7) {
            let byte = self.byte()?;
            number |= u64::from(byte & 0x7f) << shift;
            if byte < 0x80 {
                return Some(number);
            }
        }
        None
    }

    pub fn signed(&mut self) -> Option<i64> {
        let number = self.number()?;
        Some((number >> 1) as i64 ^ -((number & 1) as i64))
    }

    pub fn text(&mut self) -> Option<String> {
        let length = usize::try_from(self.number()?).ok()?;
        let text = self.0.get(..length)?;
        self.0 = &self.0[length..];
        String::from_utf8(text.to_vec()).ok()
    }

    pub fn small(&mut self) -> Option<u32> {
        u32::try_from(self.number()?).ok()
    }

    pub fn share(&mut self) -> Option<Share> {
        match self.byte()? {
            0 => Some(Share::Within),
            1 => Some(Share::Beyond),
            _ => None,
        }
    }
}

fn fields(into: &mut Vec<u8>, record: &Record) {
    match record {
        Record::Open { mixer, epoch, at } => {
            into.push(1);
            put_text(into, mixer);
            put(into, *epoch);
            put_signed(into, *at);
        }
        Record::End { at } => {
            into.push(8);
            put_signed(into, *at);
        }
        Record::Entry(e) => {
            into.push(2);
            put_signed(into, e.at);
            put_text(into, &e.tenant);
            into.push(u8::from(e.known));
            put_text(into, &e.class);
            put_text(into, &e.query);
            put(into, u64::from(e.asked));
            put(into, u64::from(e.served));
            put(into, u64::from(e.attempts));
            put(into, e.work);
            into.push(e.outcome as u8);
            into.push(e.share as u8);
        }
        Record::Gap(g) => {
            into.push(3);
            put_signed(into, g.from);
            put_signed(into, g.to);
            put(into, g.entries);
            put_text(into, &g.reason);
        }
        Record::Correction(c) => {
            into.push(4);
            put_signed(into, c.at);
            for text in [&c.id, &c.tenant, &c.class, &c.corrects, &c.by, &c.why] {
                put_text(into, text);
            }
            into.push(c.share as u8);
            for number in [c.queries, c.parts, c.work] {
                put_signed(into, number);
            }
        }
        Record::Close { period, at } => {
            into.push(5);
            put_text(into, period);
            put_signed(into, *at);
        }
        Record::Intent { name, period, format, after, upto } => {
            into.push(6);
            put_text(into, name);
            put_text(into, period);
            put_text(into, format);
            put(into, *after);
            put(into, *upto);
        }
        Record::Done { name, hash, at } => {
            into.push(7);
            put_text(into, name);
            put_text(into, hash);
            put_signed(into, *at);
        }
    }
}

fn decode(bytes: &[u8]) -> Option<Record> {
    let mut f = Fields(bytes);
    let record = match f.byte()? {
        1 => Record::Open { mixer: f.text()?, epoch: f.number()?, at: f.signed()? },
        2 => Record::Entry(Entry {
            at: f.signed()?,
            tenant: f.text()?,
            known: f.byte()? != 0,
            class: f.text()?,
            query: f.text()?,
            asked: f.small()?,
            served: f.small()?,
            attempts: f.small()?,
            work: f.number()?,
            outcome: *Outcome::ALL.get(usize::from(f.byte()?))?,
            share: f.share()?,
        }),
        3 => Record::Gap(Gap { from: f.signed()?, to: f.signed()?, entries: f.number()?, reason: f.text()? }),
        4 => Record::Correction(Correction {
            at: f.signed()?,
            id: f.text()?,
            tenant: f.text()?,
            class: f.text()?,
            corrects: f.text()?,
            by: f.text()?,
            why: f.text()?,
            share: f.share()?,
            queries: f.signed()?,
            parts: f.signed()?,
            work: f.signed()?,
        }),
        5 => Record::Close { period: f.text()?, at: f.signed()? },
        6 => Record::Intent {
            name: f.text()?,
            period: f.text()?,
            format: f.text()?,
            after: f.number()?,
            upto: f.number()?,
        },
        7 => Record::Done { name: f.text()?, hash: f.text()?, at: f.signed()? },
        8 => Record::End { at: f.signed()? },
        _ => return None,
    };
    f.0.is_empty().then_some(record)
}

/// The frame at the start of some bytes: its length, its number and its record.
pub(super) fn one(bytes: &[u8]) -> Option<(usize, u64, Record)> {
    let (length, seq, _) = frame(bytes)?;
    Some((length, seq, decode(&bytes[FRAME - 1..length])?))
}
