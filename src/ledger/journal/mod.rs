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
mod scanner;

pub use damage::{Damage, DamageKind};
pub(super) use field::{FieldReader, put_bytes, put_number, put_signed, put_text};
pub(super) use frame::read_frame;
pub(super) use scanner::{ScanError, SegmentScanner, SegmentSource};

use super::record::Record;

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

/// Reads a segment that is in memory. Only the last segment of a ledger may have a torn tail.
///
/// # Errors
/// The segment is damaged before its torn tail.
pub fn scan(bytes: &[u8], first_sequence: u64, is_last: bool) -> Result<ScannedSegment, Damage> {
    let mut scanner = SegmentScanner::new(bytes.len(), first_sequence, is_last);
    let mut records = Vec::new();
    loop {
        match scanner.next(bytes) {
            Ok(Some(record)) => records.push(record),
            Ok(None) => break,
            Err(ScanError::Damaged(damage)) => return Err(damage),
            Err(ScanError::Io(_)) => unreachable!("memory is always readable"),
        }
    }
    let (readable_bytes, torn_bytes) = (scanner.readable_bytes(), scanner.torn_bytes());
    Ok(ScannedSegment { records, readable_bytes, torn_bytes })
}
