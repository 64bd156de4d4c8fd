//! Frames: how one record is delimited and checked.

use super::super::record::Record;
use super::record::decode_record;

/// Bytes before the record's fields: length, checksum, sequence number, synced length and record kind.
const FRAME_HEADER_BYTES: usize = 4 + 4 + 8 + 4 + 1;
/// Offset of the record's kind, with which its encoding begins.
const RECORD_OFFSET: usize = FRAME_HEADER_BYTES - 1;
/// A longer frame is taken for noise.
const MAX_FRAME_BYTES: usize = 64 << 10;
/// A later frame's sequence number is at most this far ahead; a larger one is taken for noise.
const MAX_SEQUENCE_GAP: u64 = 1 << 32;

/// An intact frame.
pub(super) struct Frame<'a> {
    /// Bytes of the whole frame.
    pub length: usize,
    pub sequence: u64,
    /// Bytes of the segment that were known to be synced when the frame was written.
    pub synced_bytes: u32,
    /// The encoded record.
    pub record: &'a [u8],
}

impl<'a> Frame<'a> {
    /// The frame at the start of some bytes, if it is complete and its checksum is right.
    pub(super) fn read(bytes: &'a [u8]) -> Option<Self> {
        let length = read_u32(bytes, 0)? as usize + 8;
        if !(FRAME_HEADER_BYTES..=MAX_FRAME_BYTES).contains(&length) {
            return None;
        }
        let checked = bytes.get(8..length)?;
        if crc32fast::hash(checked) != read_u32(bytes, 4)? {
            return None;
        }
        Some(Frame {
            length,
            sequence: read_u64(bytes, 8)?,
            synced_bytes: read_u32(bytes, 16)?,
            record: &bytes[RECORD_OFFSET..length],
        })
    }
}

/// A record that was read from the start of some bytes.
pub(in super::super) struct FramedRecord {
    /// Bytes of its frame.
    pub length: usize,
    pub sequence: u64,
    pub record: Record,
}

/// The record at the start of some bytes, if its frame is intact. Snapshots store corrections and gaps this way.
pub(in super::super) fn read_frame(bytes: &[u8]) -> Option<FramedRecord> {
    let frame = Frame::read(bytes)?;
    let record = decode_record(frame.record)?;
    Some(FramedRecord { length: frame.length, sequence: frame.sequence, record })
}

/// The sequence number of a frame behind `offset` that was written after `offset` had been synced.
pub(super) fn find_later_synced_frame(bytes: &[u8], offset: usize, sequence: u64) -> Option<u64> {
    for candidate in offset + 1..bytes.len() {
        // Compared before the checksum is computed, or noise would be hashed over and over.
        let is_plausible = read_u64(bytes, candidate + 8)
            .is_some_and(|number| number > sequence && number - sequence < MAX_SEQUENCE_GAP);
        if !is_plausible {
            continue;
        }
        if let Some(frame) = Frame::read(&bytes[candidate..])
            && frame.synced_bytes as usize > offset
        {
            return Some(frame.sequence);
        }
    }
    None
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    let bytes = bytes.get(at..at + 4)?;
    bytes.try_into().ok().map(u32::from_le_bytes)
}

fn read_u64(bytes: &[u8], at: usize) -> Option<u64> {
    let bytes = bytes.get(at..at + 8)?;
    bytes.try_into().ok().map(u64::from_le_bytes)
}
