//! Why a host of an inventory is rejected.

use super::expand::RangeError;
use std::error::Error;
use std::fmt;

/// Why a host of an inventory is rejected. The text follows the place of the host in a diagnostic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostError {
    /// It has no name.
    MissingName,
    /// Its name is empty, too long, or has characters that no host name has.
    InvalidName,
    /// Its name is listed twice where each may be listed once.
    Duplicate(String),
    /// Its name contains an invalid range.
    Range(RangeError),
    /// There are more hosts than this bound.
    TooManyHosts(usize),
    /// Hosts were named in groups this many times before, which is beyond the bound.
    TooManyMentions(usize),
}

impl fmt::Display for HostError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MissingName => f.write_str("is missing"),
            Self::InvalidName => f.write_str("is no name for a host"),
            Self::Duplicate(name) => write!(f, "{name} is there twice"),
            Self::Range(error) => write!(f, "{error}"),
            Self::TooManyHosts(bound) => write!(f, "is one of more than {bound} hosts"),
            Self::TooManyMentions(earlier) => write!(f, "is named after {earlier} others"),
        }
    }
}

impl Error for HostError {}

impl From<RangeError> for HostError {
    fn from(error: RangeError) -> Self {
        HostError::Range(error)
    }
}
