//! Damage to a segment of the journal.

use std::error::Error;
use std::fmt;

/// Damage to a segment, with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    /// Offset in the segment, in bytes.
    pub offset: usize,
    /// The kind of damage at that offset.
    pub kind: DamageKind,
}

/// The kind of damage to a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DamageKind {
    /// The segment is shorter than its header.
    ShortHeader,
    /// The header has an unknown file format, version or first sequence number.
    UnknownHeader,
    /// A frame is intact, but its record has a kind or encoding that this version does not support.
    UnknownRecord,
    /// A frame's sequence number does not follow that of the previous frame.
    UnexpectedSequence {
        /// The sequence number in the frame.
        found: u64,
        /// The next sequence number in order.
        expected: u64,
    },
    /// A frame in a sealed segment is unreadable.
    UnreadableRecord,
    /// A frame is unreadable although it had been synced before a later frame was written.
    UnreadableSyncedRecord {
        /// The sequence number of the later frame.
        later: u64,
    },
    /// Records before this segment are missing.
    MissingBefore {
        /// The first missing sequence number.
        first: u64,
        /// The last missing sequence number.
        last: u64,
    },
    /// Records between this segment and the next one are missing.
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
