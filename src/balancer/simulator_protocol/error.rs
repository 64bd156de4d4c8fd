//! Why the simulator's input cannot be used, or its output not written.

use sailmux::balancer::SettingsError;
use sailmux::json::FieldError;
use std::{fmt, io};

/// Why a line cannot be handled. Each ends the adapter.
#[derive(Debug)]
pub enum ProtocolError {
    /// The line is not a JSON object of the protocol.
    Malformed,
    /// A field that this kind of message must have is missing.
    MissingField(&'static str),
    /// A field holds a word that the protocol does not know.
    UnknownWord {
        /// What the word should name.
        kind: &'static str,
        /// The word.
        word: String,
    },
    /// A query is of a class that the facts do not name.
    UnknownClass,
    /// More replicas than the balancer can number.
    TooManyReplicas,
    /// A field of the facts.
    Facts(FieldError),
    /// The facts as a whole.
    Settings(SettingsError),
    /// Input or output failed.
    Io(io::Error),
}

impl fmt::Display for ProtocolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed => write!(f, "is no line of the wire"),
            Self::MissingField(name) => write!(f, "{name} is missing"),
            Self::UnknownWord { kind, word } => write!(f, "unknown {kind} {word:?}"),
            Self::UnknownClass => write!(f, "unknown class"),
            Self::TooManyReplicas => write!(f, "too many replicas"),
            Self::Facts(error) => write!(f, "{error}"),
            Self::Settings(error) => write!(f, "{error}"),
            Self::Io(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for ProtocolError {}

impl From<FieldError> for ProtocolError {
    fn from(error: FieldError) -> Self {
        Self::Facts(error)
    }
}

impl From<SettingsError> for ProtocolError {
    fn from(error: SettingsError) -> Self {
        Self::Settings(error)
    }
}

impl From<io::Error> for ProtocolError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// A [`ProtocolError`] with the line that caused it.
#[derive(Debug)]
pub struct LineError {
    /// The line, from 1.
    pub line: usize,
    /// What is wrong with it.
    pub error: ProtocolError,
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.error)
    }
}

impl std::error::Error for LineError {}
