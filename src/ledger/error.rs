//! Errors of ledger operations.

use super::export_format::RenderError;
use super::journal::Damage;
use super::period::{ParsePeriodError, Period};
use std::error::Error;
use std::fmt;
use std::io;

/// Why an operation on a ledger failed.
#[derive(Debug)]
pub enum LedgerError {
    /// A disk operation failed; a retry may succeed.
    Io(io::Error),
    /// A file is damaged or missing: synced records were lost.
    Damaged {
        /// The file's name in the ledger's directory.
        file: String,
        /// The kind of damage and its position in the file.
        damage: Damage,
    },
    /// The period is already closed.
    PeriodClosed(Period),
    /// The period has not ended yet.
    PeriodNotOver(Period),
    /// A correction has no author or no reason.
    CorrectionWithoutReason,
    /// The text is not a valid period.
    InvalidPeriod(ParsePeriodError),
    /// The journal contains an export format that this version does not support.
    UnknownFormat(String),
    /// An export could not be rendered.
    Render(RenderError),
}

impl fmt::Display for LedgerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "{error}"),
            Self::Damaged { file, damage } => write!(f, "{file}: {damage}"),
            Self::PeriodClosed(period) => write!(f, "{period} is closed already"),
            Self::PeriodNotOver(period) => write!(f, "{period} is not over"),
            Self::CorrectionWithoutReason => f.write_str("a correction says by whom and why"),
            Self::InvalidPeriod(error) => write!(f, "{error}"),
            Self::UnknownFormat(name) => write!(f, "{name} is no form of export"),
            Self::Render(error) => write!(f, "{error}"),
        }
    }
}

impl Error for LedgerError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Io(error) => Some(error),
            Self::InvalidPeriod(error) => Some(error),
            Self::Render(error) => Some(error),
            _ => None,
        }
    }
}

impl From<io::Error> for LedgerError {
    fn from(error: io::Error) -> Self {
        LedgerError::Io(error)
    }
}

impl From<ParsePeriodError> for LedgerError {
    fn from(error: ParsePeriodError) -> Self {
        LedgerError::InvalidPeriod(error)
    }
}

impl From<RenderError> for LedgerError {
    fn from(error: RenderError) -> Self {
        LedgerError::Render(error)
    }
}
