//! Damage to a segment: what cannot be read, and where.

use std::error::Error;
use std::fmt;

/// What of a segment cannot be read, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    /// Bytes from the start of the segment.
    pub offset: usize,
    /// What is wrong there.
    pub kind: DamageKind,
}

/// How a segment is damaged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DamageKind {
    /// The segment is shorter than its header.
    ShortHeader,
    /// The header is of another file format or version.
    UnknownHeader,
    /// A frame is intact, but this version cannot decode its record.
    UnknownRecord,
    /// A frame has another sequence number than the one that follows.
    UnexpectedSequence {
        /// The number in the frame.
        found: u64,
        /// The number that follows.
        expected: u64,
    },
    /// A frame cannot be read, in a segment that was sealed.
    UnreadableRecord,
    /// A frame cannot be read, though it had been synced when a later one was written.
    UnreadableSyncedRecord {
        /// The sequence number of the later one.
        later: u64,
    },
    /// Records before this segment are in no file.
    MissingBefore {
        /// The first missing sequence number.
        first: u64,
        /// The last missing sequence number.
        last: u64,
    },
    /// Records between this segment and the next are in no file.
    MissingAfter {
        /// The first missing sequence number.
        first: u64,
        /// The last missing sequence number.
        last: u64,
    },
}

impl fmt::Display for DamageKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ShortHeader => f.write_str("its head is cut short"),
            Self::UnknownHeader => f.write_str("its head is of another kind or version"),
            Self::UnknownRecord => f.write_str("a record of unknown form"),
            Self::UnexpectedSequence { found, expected } => {
                write!(f, "record {found} where {expected} was to come")
            }
            Self::UnreadableRecord => f.write_str("a record that cannot be read"),
            Self::UnreadableSyncedRecord { later } => {
                write!(f, "a record that cannot be read, though record {later} knew it to be synced")
            }
            Self::MissingBefore { first, last } => write!(f, "records {first} to {last} are missing"),
            Self::MissingAfter { first, last } => {
                write!(f, "records {first} to {last} are missing behind it")
            }
        }
    }
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "damaged at byte {}: {}", self.offset, self.kind)
    }
}

impl Error for Damage {}
