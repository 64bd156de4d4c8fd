//! Why a command failed.

use crate::diagnostic::Diagnostics;
use std::error::Error;

/// Why a command failed; the exit code is 1.
#[derive(Debug)]
pub(super) enum Failure {
    /// The lines to print to standard error.
    Messages(Vec<String>),
    /// The reason has already been printed to standard output as a part of the result.
    Reported,
}

impl Failure {
    /// A failure with one line for standard error.
    pub fn message(text: impl Into<String>) -> Self {
        Failure::Messages(vec![text.into()])
    }

    /// A failure with a line for each problem.
    pub fn diagnostics(problems: Diagnostics) -> Self {
        Failure::Messages(problems.0.iter().map(ToString::to_string).collect())
    }

    /// The lines to print to standard error.
    pub fn lines(&self) -> &[String] {
        match self {
            Failure::Messages(lines) => lines,
            Failure::Reported => &[],
        }
    }
}

impl<E: Error> From<E> for Failure {
    fn from(error: E) -> Self {
        Failure::message(error.to_string())
    }
}
