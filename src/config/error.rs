//! Why a configuration cannot be used.

use crate::diagnostic::Diagnostics;
use crate::json::FieldError;
use std::fmt;
use std::io;

/// Why a configuration cannot be used. The text names the file and, where one is at fault, the field.
#[derive(Debug)]
pub enum ConfigError {
    /// An environment variable that must be set is not.
    Missing(&'static str),
    /// The file of this path cannot be read.
    Unreadable(String, io::Error),
    /// The file of this path is, as a whole, not of the expected format.
    Malformed(String, String),
    /// A field in the file of this path is missing or has a value that cannot be used.
    Field(String, FieldError),
    /// Everything that is wrong with an operator's file or with inventories.
    Diagnostics(Diagnostics),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(variable) => write!(f, "environment variable {variable} is not set"),
            Self::Unreadable(file, error) => write!(f, "{file}: {error}"),
            Self::Malformed(file, message) => write!(f, "{file}: {message}"),
            Self::Field(file, error) => write!(f, "{file}: {error}"),
            Self::Diagnostics(diagnostics) => write!(f, "{diagnostics}"),
        }
    }
}

impl std::error::Error for ConfigError {}
