//! The binary format of records: frames in segments.
//!
//! A segment begins with `SMXLEDG`, the format version and the segment's first sequence number. A frame consists of its
//! length, a CRC-32 of the rest, the sequence number, the length of the segment that was known to be synced when the
//! frame was written, and the record. The synced length distinguishes a torn tail from damage to synced data: if a
//! frame is unreadable but a later one was written after its offset had been synced, the disk lost synced data.

mod damage;
mod field;
mod frame;
mod record;

pub use damage::{Damage, DamageKind};
pub(super) use field::{FieldReader, put_bytes, put_number, put_signed, put_text};
pub(super) use frame::read_frame;

use super::record::Record;
use frame::Frame;

/// Magic number at the start of a segment; the last byte is the format version.
pub const MAGIC: [u8; 8] = *b"SMXLEDG\x01";
/// Length of a segment's header in bytes: [`MAGIC`] and the first sequence number.
pub const HEADER_BYTES: usize = 16;

/// A record read from a segment.
#[derive(Clone, Debug)]
pub struct ScannedRecord {
    /// Sequence number of the record.
    pub sequence: u64,
    /// The decoded record.
    pub record: Record,
    /// End of its frame, as an offset in the segment in bytes.
    pub end: usize,
}

/// The content of a segment.
#[derive(Clone, Debug, Default)]
pub struct ScannedSegment {
    /// The records, in the order of their sequence numbers.
    pub records: Vec<ScannedRecord>,
    /// Length of the readable part, in bytes.
    pub readable_bytes: usize,
    /// Length of the torn tail after the readable part, in bytes.
    pub torn_bytes: usize,
}

/// Creates the header of a segment.
pub fn segment_header(first_sequence: u64) -> [u8; HEADER_BYTES] {
    let mut header = [0; HEADER_BYTES];
    header[..8].copy_from_slice(&MAGIC);
    header[8..].copy_from_slice(&first_sequence.to_le_bytes());
    header
}

/// Appends the frame of a record. `synced_bytes` is the length of the segment that is known to be synced.
pub fn encode(output: &mut Vec<u8>, sequence: u64, synced_bytes: u32, record: &Record) {
    let start = output.len();
    output.extend([0; 8]);
    output.extend(sequence.to_le_bytes());
    output.extend(synced_bytes.to_le_bytes());
    record::encode_record(output, record);
    let length = (output.len() - start - 8) as u32;
    let checksum = crc32fast::hash(&output[start + 8..]);
    output[start..start + 4].copy_from_slice(&length.to_le_bytes());
    output[start + 4..start + 8].copy_from_slice(&checksum.to_le_bytes());
}

/// Reads a segment. Only the last segment of a ledger may have a torn tail.
///
/// # Errors
/// The segment is damaged before its torn tail.
pub fn scan(bytes: &[u8], first_sequence: u64, is_last: bool) -> Result<ScannedSegment, Damage> {
    if let Some(kind) = header_damage(bytes, first_sequence) {
        // The header of the last segment may not have been synced; then nothing after it was synced either.
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

/// Decodes the record of a frame, which must have the expected sequence number.
fn expected_record(frame: &Frame<'_>, expected: u64) -> Result<Record, DamageKind> {
    if frame.sequence != expected {
        return Err(DamageKind::UnexpectedSequence { found: frame.sequence, expected });
    }
    record::decode_record(frame.record).ok_or(DamageKind::UnknownRecord)
}

/// Checks whether everything from an unreadable frame on may be a torn tail: it may in the last segment, if no later
/// frame was written after that offset had been synced.
fn check_torn_tail(bytes: &[u8], offset: usize, sequence: u64, is_last: bool) -> Result<(), Damage> {
    if !is_last {
        return Err(Damage { offset, kind: DamageKind::UnreadableRecord });
    }
    match frame::find_later_synced_frame(bytes, offset, sequence) {
        Some(later) => Err(Damage { offset, kind: DamageKind::UnreadableSyncedRecord { later } }),
        None => Ok(()),
    }
}
