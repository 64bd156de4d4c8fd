//! What is wrong with a field of a host.

use super::field::Field;
use crate::endpoints::SourceLocation;
use std::error::Error;
use std::fmt;

/// A problem with a field of a host, and where it is.
#[derive(Clone, Debug)]
pub(in super::super) struct FieldProblem {
    pub location: SourceLocation,
    pub field: Field,
    /// The host and its field or variable, such as `s3.cell`.
    pub path: String,
    pub error: FieldError,
}

/// What is wrong with a field. The text follows the path of the field in a diagnostic.
#[derive(Clone, Debug, PartialEq)]
pub(in super::super) enum FieldError {
    Missing,
    /// The variable that is mapped to the field is not set.
    MissingVariable(String),
    Encrypted,
    /// A list or map; with its kind.
    NotScalar(&'static str),
    Template(String),
    UnknownState(String),
    UnknownProtocol(String),
    /// No whole number up to the maximum.
    InvalidCell {
        text: String,
        max: u32,
    },
    InvalidPort(String),
    /// No number up to the maximum.
    InvalidNumber {
        text: String,
        max: f64,
    },
    InvalidAddress(String),
    /// The port is another one than that of the address.
    PortMismatch {
        port: u16,
        address_port: u16,
    },
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing => f.write_str("is missing"),
            Self::MissingVariable(name) => write!(f, "is missing: there is no {name}"),
            Self::Encrypted => f.write_str("is encrypted, and vaults are not opened"),
            Self::NotScalar(kind) => write!(f, "must be a single value, not {kind}"),
            Self::Template(text) => write!(f, "needs a template engine: {text}"),
            Self::UnknownState(text) => write!(f, "{text:?} is none of ready, draining and absent"),
            Self::UnknownProtocol(text) => write!(f, "{text:?} is neither frames nor flight"),
            Self::InvalidCell { text, max } => write!(f, "{text:?} is no whole number from 0 to {max}"),
            Self::InvalidPort(text) => write!(f, "{text:?} is no port from 1 to 65535"),
            Self::InvalidNumber { text, max } => write!(f, "{text:?} is no number from 0 to {max}"),
            Self::InvalidAddress(text) => write!(f, "{text:?} is no address"),
            Self::PortMismatch { port, address_port } => {
                write!(f, "is {port}, but the address says {address_port}")
            }
        }
    }
}

impl Error for FieldError {}
