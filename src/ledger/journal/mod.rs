//! The binary format of records: frames in segments.
//!
//! A segment begins with `SMXLEDG`, the version of the format and its first sequence number. A frame is its length, a
//! CRC-32 of the rest, the sequence number, how many bytes of the segment were known to be synced when it was written,
//! and the record. The synced length tells a torn tail from a damaged middle: if a frame is unreadable, but a later one
//! was written when that place had been synced, then the disk lost synced data.

mod damage;
mod field;
mod frame;
mod record;

pub use damage::{Damage, DamageKind};
pub(super) use field::{FieldReader, put_bytes, put_number, put_signed, put_text};
pub(super) use frame::read_frame;

use super::record::Record;
use frame::Frame;

/// What a segment begins with; the last byte is the version of the format.
pub const MAGIC: [u8; 8] = *b"SMXLEDG\x01";
/// Bytes of a segment's header: [`MAGIC`] and the first sequence number.
pub const HEADER_BYTES: usize = 16;

/// A record of a segment.
#[derive(Clone, Debug)]
pub struct ScannedRecord {
    /// Its sequence number.
    pub sequence: u64,
    /// The record.
    pub record: Record,
    /// The offset behind its frame, in bytes from the segment's start.
    pub end: usize,
}

/// The content of a segment.
#[derive(Clone, Debug, Default)]
pub struct ScannedSegment {
    /// Its records, in order.
    pub records: Vec<ScannedRecord>,
    /// Length of the readable part, in bytes.
    pub readable_bytes: usize,
    /// Length of the torn tail behind it, in bytes.
    pub torn_bytes: usize,
}

/// The header of a segment that begins with that sequence number.
pub fn segment_header(first_sequence: u64) -> [u8; HEADER_BYTES] {
    let mut header = [0; HEADER_BYTES];
    header[..8].copy_from_slice(&MAGIC);
    header[8..].copy_from_slice(&first_sequence.to_le_bytes());
    header
}

/// Appends the frame of a record. `synced_bytes` is the length of its segment that is known to be synced.
pub fn encode(into: &mut Vec<u8>, sequence: u64, synced_bytes: u32, record: &Record) {
    let start = into.len();
    into.extend([0; 8]);
    into.extend(sequence.to_le_bytes());
    into.extend(synced_bytes.to_le_bytes());
    record::encode_record(into, record);
    let length = (into.len() - start - 8) as u32;
    let checksum = crc32fast::hash(&into[start + 8..]);
    into[start..start + 4].copy_from_slice(&length.to_le_bytes());
    into[start + 4..start + 8].copy_from_slice(&checksum.to_le_bytes());
}

/// Reads a segment. Only the last segment of a ledger may have a torn tail.
///
/// # Errors
/// The segment is damaged before its torn tail.
pub fn scan(bytes: &[u8], first_sequence: u64, is_last: bool) -> Result<ScannedSegment, Damage> {
    if let Some(kind) = header_damage(bytes, first_sequence) {
        // The header of the last segment may never have been synced; then nothing behind it was.
        let is_unsynced = bytes.len() < HEADER_BYTES || bytes.iter().all(|byte| *byte == 0);
        if is_last && is_unsynced {
            return Ok(ScannedSegment { torn_bytes: bytes.len(), ..ScannedSegment::default() });
        }
        return Err(Damage { offset: 0, kind });
    }
    let mut scanned = ScannedSegment::default();
    let mut offset = HEADER_BYTES;
    let mut sequence = first_sequence;
    while offset < bytes.len() {
        let Some(frame) = Frame::read(&bytes[offset..]) else {
            check_torn_tail(bytes, offset, sequence, is_last)?;
            scanned.torn_bytes = bytes.len() - offset;
            break;
        };
        let record = expected_record(&frame, sequence).map_err(|kind| Damage { offset, kind })?;
        offset += frame.length;
        scanned.records.push(ScannedRecord { sequence, record, end: offset });
        sequence += 1;
    }
    scanned.readable_bytes = offset;
    Ok(scanned)
}

fn header_damage(bytes: &[u8], first_sequence: u64) -> Option<DamageKind> {
    if bytes.len() < HEADER_BYTES {
        return Some(DamageKind::ShortHeader);
    }
    if bytes[..HEADER_BYTES] != segment_header(first_sequence) {
        return Some(DamageKind::UnknownHeader);
    }
    None
}

/// The record of a frame that has the expected sequence number.
fn expected_record(frame: &Frame<'_>, expected: u64) -> Result<Record, DamageKind> {
    if frame.sequence != expected {
        return Err(DamageKind::UnexpectedSequence { found: frame.sequence, expected });
    }
    record::decode_record(frame.record).ok_or(DamageKind::UnknownRecord)
}

/// Whether everything from an unreadable frame on may be a torn tail: only in the last segment, and only if no later
/// frame was written after that place had been synced.
fn check_torn_tail(bytes: &[u8], offset: usize, sequence: u64, is_last: bool) -> Result<(), Damage> {
    if !is_last {
        return Err(Damage { offset, kind: DamageKind::UnreadableRecord });
    }
    match frame::find_later_synced_frame(bytes, offset, sequence) {
        Some(later) => Err(Damage { offset, kind: DamageKind::UnreadableSyncedRecord { later } }),
        None => Ok(()),
    }
}
