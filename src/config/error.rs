//! The errors of loading a configuration.

use crate::diagnostic::Diagnostics;
use crate::json::FieldError;
use std::fmt;
use std::io;

/// Why a configuration cannot be used. The message names the file and, if one is invalid, the field.
#[derive(Debug)]
pub enum ConfigError {
    /// This required environment variable is not set.
    Missing(&'static str),
    /// The file of this path cannot be read.
    Unreadable(String, io::Error),
    /// The file of this path does not have the expected format; with a message.
    Malformed(String, String),
    /// A field in the file of this path is missing or has an invalid value.
    Field(String, FieldError),
    /// All problems of an operator file or of inventories.
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
