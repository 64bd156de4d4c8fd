//! Reads a segment record by record. Only a window of the segment is in memory, so that reading takes the same memory for
//! a segment of any size.

use super::frame::{self, Frame, MAX_FRAME_BYTES};
use super::record::decode_record;
use super::{Damage, DamageKind, HEADER_BYTES, Record, ScannedRecord, segment_header};
use std::io;

/// Number of bytes that are read at a time.
const READ_BYTES: usize = 256 << 10;

/// Why a segment cannot be read.
#[derive(Debug)]
pub(in super::super) enum ScanError {
    /// A read failed.
    Io(io::Error),
    /// The segment is damaged before its torn tail.
    Damaged(Damage),
}

impl From<io::Error> for ScanError {
    fn from(error: io::Error) -> Self {
        ScanError::Io(error)
    }
}

impl From<Damage> for ScanError {
    fn from(damage: Damage) -> Self {
        ScanError::Damaged(damage)
    }
}

/// The bytes of a segment.
pub(in super::super) trait SegmentSource {
    /// Reads bytes from `offset` on and returns their number, which is 0 only at the end of the segment.
    ///
    /// # Errors
    /// The segment cannot be read.
    fn read_at(&self, offset: usize, buffer: &mut [u8]) -> io::Result<usize>;
}

impl SegmentSource for [u8] {
    fn read_at(&self, offset: usize, buffer: &mut [u8]) -> io::Result<usize> {
        let rest = self.get(offset..).unwrap_or_default();
        let count = rest.len().min(buffer.len());
        buffer[..count].copy_from_slice(&rest[..count]);
        Ok(count)
    }
}

/// The position in a segment that is being read.
pub(in super::super) struct SegmentScanner {
    /// Length of the segment in bytes when reading began. What is appended later is not read.
    length: usize,
    /// Only the last segment of a ledger may have a torn tail.
    is_last: bool,
    /// Sequence number of the next record.
    sequence: u64,
    /// Offset of the next frame, in bytes; 0 before the header has been read.
    offset: usize,
    window: Vec<u8>,
    /// Offset of the window in the segment, in bytes.
    window_start: usize,
    torn_bytes: usize,
}

impl SegmentScanner {
    /// Starts to read a segment of `length` bytes whose first record has the number `first_sequence`.
    pub fn new(length: usize, first_sequence: u64, is_last: bool) -> Self {
        SegmentScanner {
            length,
            is_last,
            sequence: first_sequence,
            offset: 0,
            window: Vec::new(),
            window_start: 0,
            torn_bytes: 0,
        }
    }

    /// Length of the part read so far, in bytes.
    pub fn readable_bytes(&self) -> usize {
        self.offset
    }

    /// Length of the torn tail, in bytes; 0 until the end has been reached.
    pub fn torn_bytes(&self) -> usize {
        self.torn_bytes
    }

    /// The sequence number that the next record must have.
    pub fn next_sequence(&self) -> u64 {
        self.sequence
    }

    /// Reads the next record; `None` at the end of the readable part.
    ///
    /// # Errors
    /// A read failed, or the segment is damaged before its torn tail.
    pub fn next(
        &mut self,
        source: &(impl SegmentSource + ?Sized),
    ) -> Result<Option<ScannedRecord>, ScanError> {
        if self.offset == 0 && !self.read_header(source)? {
            return Ok(None);
        }
        if self.torn_bytes > 0 || self.offset >= self.length {
            return Ok(None);
        }
        self.fill(source, self.offset, MAX_FRAME_BYTES)?;
        let Some(frame) = Frame::read(&self.window[self.offset - self.window_start..]) else {
            self.check_torn_tail(source)?;
            self.torn_bytes = self.length - self.offset;
            return Ok(None);
        };
        let offset = self.offset;
        let sequence = self.sequence;
        let record = expected_record(&frame, sequence).map_err(|kind| Damage { offset, kind })?;
        self.offset += frame.length;
        self.sequence += 1;
        Ok(Some(ScannedRecord { sequence, record, end: self.offset }))
    }

    /// Reads the header; returns whether the segment has one. That of the last segment may not have been synced.
    fn read_header(&mut self, source: &(impl SegmentSource + ?Sized)) -> Result<bool, ScanError> {
        self.fill(source, 0, HEADER_BYTES)?;
        let kind = if self.window.len() < HEADER_BYTES {
            DamageKind::ShortHeader
        } else if self.window[..HEADER_BYTES] == segment_header(self.sequence) {
            self.offset = HEADER_BYTES;
            return Ok(true);
        } else {
            DamageKind::UnknownHeader
        };
        // If the header was not synced, nothing after it was synced either.
        if self.is_last && (self.length < HEADER_BYTES || self.is_zero(source)?) {
            self.torn_bytes = self.length;
            return Ok(false);
        }
        Err(Damage { offset: 0, kind }.into())
    }

    fn is_zero(&mut self, source: &(impl SegmentSource + ?Sized)) -> io::Result<bool> {
        let mut offset = 0;
        while offset < self.length {
            self.fill(source, offset, 1)?;
            if self.window.iter().any(|byte| *byte != 0) {
                return Ok(false);
            }
            offset = self.window_start + self.window.len();
        }
        Ok(true)
    }

    /// Checks whether everything from an unreadable frame on may be a torn tail: it may in the last segment, if no later
    /// frame was written after that offset had been synced.
    fn check_torn_tail(&mut self, source: &(impl SegmentSource + ?Sized)) -> Result<(), ScanError> {
        let offset = self.offset;
        if !self.is_last {
            return Err(Damage { offset, kind: DamageKind::UnreadableRecord }.into());
        }
        for candidate in offset + 1..self.length {
            self.fill(source, candidate, MAX_FRAME_BYTES)?;
            let bytes = &self.window[candidate - self.window_start..];
            if let Some(later) = frame::later_synced_frame(bytes, offset, self.sequence) {
                return Err(Damage { offset, kind: DamageKind::UnreadableSyncedRecord { later } }.into());
            }
        }
        Ok(())
    }

    /// Moves the window so that it begins at or before `offset` and has at least `count` bytes from there on, or all that
    /// there are.
    fn fill(
        &mut self,
        source: &(impl SegmentSource + ?Sized),
        offset: usize,
        count: usize,
    ) -> io::Result<()> {
        let end = self.window_start + self.window.len();
        if end >= self.length.min(offset + count) {
            return Ok(());
        }
        self.window.drain(..(offset - self.window_start).min(self.window.len()));
        self.window_start = offset;
        let mut filled = self.window.len();
        self.window.resize(count.max(READ_BYTES).min(self.length - offset), 0);
        while filled < self.window.len() {
            let read = source.read_at(offset + filled, &mut self.window[filled..])?;
            if read == 0 {
                // The segment has been truncated meanwhile.
                self.window.truncate(filled);
                self.length = offset + filled;
            }
            filled += read;
        }
        Ok(())
    }
}

/// Decodes the record of a frame, which must have the expected sequence number.
fn expected_record(frame: &Frame<'_>, expected: u64) -> Result<Record, DamageKind> {
    if frame.sequence != expected {
        return Err(DamageKind::UnexpectedSequence { found: frame.sequence, expected });
    }
    decode_record(frame.record).ok_or(DamageKind::UnknownRecord)
}
