//! Errors that reject a host of an inventory.

use super::expand::RangeError;
use std::error::Error;
use std::fmt;

/// The reason why a host of an inventory is rejected. In a diagnostic, the message follows the path of the host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostError {
    /// The entry has no name.
    MissingName,
    /// The name is empty, longer than 255 bytes, or contains whitespace, control characters, brackets or colons.
    InvalidName,
    /// The name is listed more than once in a host list.
    Duplicate(String),
    /// The name contains an invalid range.
    Range(RangeError),
    /// The inventory has more hosts than this maximum.
    TooManyHosts(usize),
    /// Too many entries list hosts; holds the number of entries before this one.
    TooManyEntries(usize),
}

impl fmt::Display for HostError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MissingName => f.write_str("is missing"),
            Self::InvalidName => f.write_str("is not a valid host name"),
            Self::Duplicate(name) => write!(f, "{name} is listed twice"),
            Self::Range(error) => write!(f, "{error}"),
            Self::TooManyHosts(bound) => write!(f, "exceeds the maximum of {bound} hosts"),
            Self::TooManyEntries(earlier) => {
                write!(f, "exceeds the maximum number of host entries: {earlier} entries precede it")
            }
        }
    }
}

impl Error for HostError {}

impl From<RangeError> for HostError {
    fn from(error: RangeError) -> Self {
        HostError::Range(error)
    }
}
