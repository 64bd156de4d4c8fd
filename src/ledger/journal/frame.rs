//! Frames, each of which delimits a record and protects it with a checksum.

use super::super::record::Record;
use super::record::decode_record;

/// Length of the frame header in bytes: length, checksum, sequence number, synced length and record kind.
const FRAME_HEADER_BYTES: usize = 4 + 4 + 8 + 4 + 1;
/// Offset of the encoded record, which begins with its kind.
const RECORD_OFFSET: usize = FRAME_HEADER_BYTES - 1;
/// Maximum length of a frame; a larger length field is treated as garbage.
pub(super) const MAX_FRAME_BYTES: usize = 64 << 10;
/// Maximum distance of a later frame's sequence number; a larger one is treated as garbage.
const MAX_SEQUENCE_GAP: u64 = 1 << 32;

/// An intact frame.
pub(super) struct Frame<'a> {
    /// Length of the frame with its header, in bytes.
    pub length: usize,
    pub sequence: u64,
    /// Length of the segment that was known to be synced when the frame was written, in bytes.
    pub synced_bytes: u32,
    /// The encoded record.
    pub record: &'a [u8],
}

impl<'a> Frame<'a> {
    /// Reads the frame at the start of `bytes`; `None` if it is incomplete or its checksum does not match.
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

/// A decoded record with the length of its frame.
pub(in super::super) struct FramedRecord {
    /// Length of the frame, in bytes.
    pub length: usize,
    pub sequence: u64,
    pub record: Record,
}

/// Decodes the record at the start of `bytes`; `None` if its frame is damaged. Snapshots store corrections and gaps as
/// frames.
pub(in super::super) fn read_frame(bytes: &[u8]) -> Option<FramedRecord> {
    let frame = Frame::read(bytes)?;
    let record = decode_record(frame.record)?;
    Some(FramedRecord { length: frame.length, sequence: frame.sequence, record })
}

/// The sequence number of the frame at the start of `bytes` if it was written when the bytes at `offset`, at which the
/// record `sequence` is expected, had already been synced.
pub(super) fn later_synced_frame(bytes: &[u8], offset: usize, sequence: u64) -> Option<u64> {
    // Checked first, so that a checksum is not computed at every offset of garbage.
    let number = read_u64(bytes, 8)?;
    if number <= sequence || number - sequence >= MAX_SEQUENCE_GAP {
        return None;
    }
    let frame = Frame::read(bytes)?;
    (frame.synced_bytes as usize > offset).then_some(frame.sequence)
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let bytes = bytes.get(offset..offset + 4)?;
    bytes.try_into().ok().map(u32::from_le_bytes)
}

fn read_u64(bytes: &[u8], offset: usize) -> Option<u64> {
    let bytes = bytes.get(offset..offset + 8)?;
    bytes.try_into().ok().map(u64::from_le_bytes)
}
