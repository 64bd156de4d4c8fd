//! Errors of the fields of a host.

use super::field::Field;
use crate::endpoints::SourceLocation;
use std::error::Error;
use std::fmt;

/// An error of a field of a host, with its location.
#[derive(Clone, Debug)]
pub(in super::super) struct FieldProblem {
    pub location: SourceLocation,
    pub field: Field,
    /// The host and its field or variable, such as `s3.cell`.
    pub path: String,
    pub error: FieldError,
}

/// An error of a field. In a diagnostic, the message follows the path of the field.
#[derive(Clone, Debug, PartialEq)]
pub(in super::super) enum FieldError {
    Missing,
    /// The variable that is mapped to the field is not set.
    MissingVariable(String),
    Encrypted,
    /// The value is a list or map; holds the description of its kind.
    NotScalar(&'static str),
    Template(String),
    UnknownState(String),
    UnknownProtocol(String),
    /// Not a whole number from 0 to the maximum.
    InvalidCell {
        text: String,
        max: u32,
    },
    InvalidPort(String),
    /// Not a number from 0 to the maximum.
    InvalidNumber {
        text: String,
        max: f64,
    },
    InvalidAddress(String),
    /// The port field differs from the port in the address.
    PortMismatch {
        port: u16,
        address_port: u16,
    },
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing => f.write_str("is missing"),
            Self::MissingVariable(name) => write!(f, "is missing: {name} is not set"),
            Self::Encrypted => f.write_str("is encrypted; Ansible Vault values are not supported"),
            Self::NotScalar(kind) => write!(f, "must be a single value, not {kind}"),
            Self::Template(text) => write!(f, "is a template, and templates are not evaluated: {text}"),
            Self::UnknownState(text) => {
                write!(f, "{text:?} is not a valid state; expected ready, draining or absent")
            }
            Self::UnknownProtocol(text) => {
                write!(f, "{text:?} is not a valid protocol; expected frames or flight")
            }
            Self::InvalidCell { text, max } => write!(f, "{text:?} is not a whole number from 0 to {max}"),
            Self::InvalidPort(text) => write!(f, "{text:?} is not a port from 1 to 65535"),
            Self::InvalidNumber { text, max } => write!(f, "{text:?} is not a number from 0 to {max}"),
            Self::InvalidAddress(text) => write!(f, "{text:?} is not a valid address"),
            Self::PortMismatch { port, address_port } => {
                write!(f, "is {port}, but the address has port {address_port}")
            }
        }
    }
}

impl Error for FieldError {}
