//! Errors of the adapter: invalid input, or a failure to read or write.

use sailmux::balancer::SettingsError;
use sailmux::json::FieldError;
use std::{fmt, io};

/// The reason why a line cannot be handled. Every one stops the adapter.
#[derive(Debug)]
pub enum ProtocolError {
    /// The line is not a JSON object with the protocol's field types.
    Malformed,
    /// A field required for this kind of message is missing; holds the field's name.
    MissingField(&'static str),
    /// A field holds a keyword that the protocol does not define.
    UnknownKeyword {
        /// The kind of value that the keyword stands for, such as `state`.
        kind: &'static str,
        /// The keyword as received.
        keyword: String,
    },
    /// A query's class is not in the settings.
    UnknownClass,
    /// There are more replicas than [`ReplicaId`](sailmux::balancer::ReplicaId) can number.
    TooManyReplicas,
    /// A field of the settings is missing or invalid.
    InvalidSettingsField(FieldError),
    /// The settings contradict each other or are out of range.
    InvalidSettings(SettingsError),
    /// Reading the input or writing the output failed.
    Io(io::Error),
}

impl fmt::Display for ProtocolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed => write!(f, "is no line of the wire"),
            Self::MissingField(name) => write!(f, "{name} is missing"),
            Self::UnknownKeyword { kind, keyword } => write!(f, "unknown {kind} {keyword:?}"),
            Self::UnknownClass => write!(f, "unknown class"),
            Self::TooManyReplicas => write!(f, "too many replicas"),
            Self::InvalidSettingsField(error) => write!(f, "{error}"),
            Self::InvalidSettings(error) => write!(f, "{error}"),
            Self::Io(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for ProtocolError {}

impl From<FieldError> for ProtocolError {
    fn from(error: FieldError) -> Self {
        Self::InvalidSettingsField(error)
    }
}

impl From<SettingsError> for ProtocolError {
    fn from(error: SettingsError) -> Self {
        Self::InvalidSettings(error)
    }
}

impl From<io::Error> for ProtocolError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// A [`ProtocolError`] with the number of the line that caused it.
#[derive(Debug)]
pub struct LineError {
    /// Line number in the input, from 1.
    pub line: usize,
    /// The reason why the line could not be handled.
    pub error: ProtocolError,
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.error)
    }
}

impl std::error::Error for LineError {}
