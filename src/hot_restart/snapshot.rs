//! The stored form of overrides: a header line `sailmux-orders VERSION LENGTH CRC32`, then LENGTH bytes of JSON.
//!
//! The names in the file predate those in the code and are part of the format. A file of another format version is
//! rejected; its content is never guessed.

use super::{Override, OverrideSubject, Overrides};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The format version that is written and read.
pub const FORMAT_VERSION: u32 = 1;
/// The first word of the header.
const MAGIC: &str = "sailmux-orders";
/// Maximum length of a file in bytes: enough for [`MAX_OVERRIDES`](super::MAX_OVERRIDES) names of 512 bytes.
pub const MAX_BYTES: usize = 4 << 20;

/// Why bytes are not a usable snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// The bytes do not begin with the header of a snapshot.
    NotASnapshot,
    /// The snapshot has this format version, which this program does not read.
    UnsupportedVersion(u32),
    /// The body is shorter or longer than the header states.
    LengthMismatch {
        /// Length in bytes that the header states.
        expected: usize,
        /// Length of the body in bytes.
        found: usize,
    },
    /// The body does not match the checksum in the header.
    ChecksumMismatch,
    /// The body is not the expected JSON; holds the parser's message.
    InvalidJson(String),
    /// A time in the body is negative or not finite.
    InvalidTime,
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotASnapshot => write!(f, "is not a file of stored overrides"),
            Self::UnsupportedVersion(version) => {
                write!(f, "has format version {version}, this program reads version {FORMAT_VERSION}")
            }
            Self::LengthMismatch { expected, found } => {
                write!(f, "has a body of {found} bytes, expected {expected}")
            }
            Self::ChecksumMismatch => write!(f, "does not match its checksum"),
            Self::InvalidJson(message) => write!(f, "cannot be read: {message}"),
            Self::InvalidTime => write!(f, "cannot be read: a time is negative or not finite"),
        }
    }
}

impl std::error::Error for SnapshotError {}

#[derive(Serialize, Deserialize)]
struct StoredBody {
    #[serde(rename = "orders")]
    overrides: Vec<StoredOverride>,
}

#[derive(Serialize, Deserialize)]
struct StoredOverride {
    /// The leaf server's name; `None` for the aggregator itself.
    #[serde(rename = "node")]
    leaf_server: Option<String>,
    #[serde(rename = "out")]
    active: bool,
    #[serde(rename = "at")]
    given_at: f64,
    #[serde(rename = "since")]
    since: f64,
}

impl StoredOverride {
    fn new(subject: &OverrideSubject, record: &Override) -> Self {
        let leaf_server = match subject {
            OverrideSubject::Aggregator => None,
            OverrideSubject::LeafServer(name) => Some(name.to_string()),
        };
        StoredOverride {
            leaf_server,
            active: record.active,
            given_at: record.given_at,
            since: record.active_since,
        }
    }

    fn has_valid_times(&self) -> bool {
        is_valid_time(self.given_at) && is_valid_time(self.since)
    }

    fn into_subject_and_override(self) -> (OverrideSubject, Override) {
        let subject = match self.leaf_server {
            None => OverrideSubject::Aggregator,
            Some(name) => OverrideSubject::LeafServer(name.into()),
        };
        (subject, Override { active: self.active, given_at: self.given_at, active_since: self.since })
    }
}

fn is_valid_time(time: f64) -> bool {
    time.is_finite() && time >= 0.0
}

/// Encodes overrides as a snapshot.
pub fn encode(overrides: &Overrides) -> Vec<u8> {
    let stored = overrides.iter().map(|(subject, record)| StoredOverride::new(subject, record));
    let body = StoredBody { overrides: stored.collect() };
    // Serializing these types to memory does not fail.
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let header = format!("{MAGIC} {FORMAT_VERSION} {} {:08x}\n", body.len(), crc32fast::hash(&body));
    [header.as_bytes(), &body].concat()
}

/// Decodes a snapshot.
///
/// # Errors
/// Why the bytes cannot be used; a partial result is never returned.
pub fn decode(bytes: &[u8]) -> Result<Overrides, SnapshotError> {
    let header_end = bytes.iter().position(|byte| *byte == b'\n').ok_or(SnapshotError::NotASnapshot)?;
    let header = Header::parse(&bytes[..header_end])?;
    let body = &bytes[header_end + 1..];
    if body.len() != header.body_length {
        return Err(SnapshotError::LengthMismatch { expected: header.body_length, found: body.len() });
    }
    if crc32fast::hash(body) != header.checksum {
        return Err(SnapshotError::ChecksumMismatch);
    }
    let body: StoredBody =
        serde_json::from_slice(body).map_err(|error| SnapshotError::InvalidJson(error.to_string()))?;
    if !body.overrides.iter().all(StoredOverride::has_valid_times) {
        return Err(SnapshotError::InvalidTime);
    }
    Ok(body.overrides.into_iter().map(StoredOverride::into_subject_and_override).collect())
}

struct Header {
    body_length: usize,
    checksum: u32,
}

impl Header {
    fn parse(line: &[u8]) -> Result<Self, SnapshotError> {
        let line = std::str::from_utf8(line).map_err(|_| SnapshotError::NotASnapshot)?;
        let mut fields = line.split(' ');
        let mut next_field = || fields.next().ok_or(SnapshotError::NotASnapshot);
        if next_field()? != MAGIC {
            return Err(SnapshotError::NotASnapshot);
        }
        let version: u32 = next_field()?.parse().map_err(|_| SnapshotError::NotASnapshot)?;
        if version != FORMAT_VERSION {
            return Err(SnapshotError::UnsupportedVersion(version));
        }
        let body_length = next_field()?.parse().map_err(|_| SnapshotError::NotASnapshot)?;
        let checksum = u32::from_str_radix(next_field()?, 16).map_err(|_| SnapshotError::NotASnapshot)?;
        Ok(Header { body_length, checksum })
    }
}

/// A digest of overrides, by which processes compare those in force; equal overrides have equal digests.
pub fn digest(overrides: &Overrides) -> u32 {
    crc32fast::hash(&encode(overrides))
}
