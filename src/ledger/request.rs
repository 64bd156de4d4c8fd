//! Requests of operators to the owner of a ledger, and the files in which they travel. A command that finds an
//! aggregator owning the ledger leaves its request as a file in the directory and waits for a file with the reply;
//! [`Store::process_requests`](super::Store::process_requests) is the other end.
//!
//! A request may be met again after a crash, so each is idempotent: a correction has an idempotency key, a closed
//! period stays closed, an export covers what is new.

use super::UnixMs;
use super::export_format::Format;
use super::period::{ParsePeriodError, Period};
use super::record::{Correction, QuotaShare};
use serde_json::{Value, json};
use std::error::Error;
use std::fmt;

/// Longest text of a request, in bytes.
const MAX_TEXT_BYTES: usize = 1024;

const REQUEST_PREFIX: &str = "request-";
const REQUEST_SUFFIX: &str = ".json";

/// A request to the owner of a ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Correct what was billed.
    Correct(Correction),
    /// Close a period.
    Close(Period),
    /// Export what is new in a period.
    Export(Period, Format),
}

/// Why the content of a request file was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The file is not UTF-8, or too long.
    NotText,
    /// The content is not JSON; with the parser's message.
    NotJson(String),
    /// A field is missing, is no text, or is too long.
    InvalidText(&'static str),
    /// A field is missing or is no whole number.
    InvalidNumber(&'static str),
    /// A period is invalid.
    InvalidPeriod(ParsePeriodError),
    /// There is no such export format.
    UnknownFormat(String),
    /// There is no such request.
    UnknownRequest(String),
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotText => f.write_str("is no text, or too long"),
            Self::NotJson(message) => f.write_str(message),
            Self::InvalidText(field) => write!(f, "{field} must be a text of at most 1,024 bytes"),
            Self::InvalidNumber(field) => write!(f, "{field} must be a whole number"),
            Self::InvalidPeriod(error) => write!(f, "{error}"),
            Self::UnknownFormat(name) => write!(f, "{name} is no form of export"),
            Self::UnknownRequest(name) => write!(f, "{name} is nothing that a ledger does"),
        }
    }
}

impl Error for RequestError {}

impl From<ParsePeriodError> for RequestError {
    fn from(error: ParsePeriodError) -> Self {
        RequestError::InvalidPeriod(error)
    }
}

/// The name of a request's file; `id` must be unique in the directory.
pub fn request_file_name(id: &str) -> String {
    format!("{REQUEST_PREFIX}{id}{REQUEST_SUFFIX}")
}

/// The name of the file with the reply to a request.
pub fn reply_file_name(id: &str) -> String {
    format!("reply-{id}.json")
}

/// Whether a file is a request, complete or still being written by the command that makes it.
pub(super) fn is_request(name: &str) -> bool {
    name.starts_with(REQUEST_PREFIX)
}

/// The id of the complete request in a file of that name.
pub(super) fn request_id(name: &str) -> Option<&str> {
    name.strip_prefix(REQUEST_PREFIX)?.strip_suffix(REQUEST_SUFFIX)
}

impl Request {
    /// The content of a request file: one JSON object and a line feed.
    pub fn to_json(&self) -> String {
        let object = match self {
            Request::Correct(correction) => json!({
                "do": "correct",
                "id": correction.id,
                "tenant": correction.tenant,
                "class": correction.class,
                "corrects": correction.corrected_period,
                "beyond": correction.share == QuotaShare::OverQuota,
                "queries": correction.queries,
                "parts": correction.parts,
                "work": correction.work,
                "by": correction.author,
                "why": correction.reason,
            }),
            Request::Close(period) => json!({ "do": "close", "period": period.to_string() }),
            Request::Export(period, format) => {
                json!({ "do": "export", "period": period.to_string(), "format": format.as_str() })
            }
        };
        format!("{object}\n")
    }

    /// Reads the content of a request file; a correction is made at `now`.
    ///
    /// # Errors
    /// The text is no JSON, or a field of it is missing or invalid.
    pub fn from_json(text: &str, now: UnixMs) -> Result<Self, RequestError> {
        let value = serde_json::from_str(text).map_err(|error| RequestError::NotJson(error.to_string()))?;
        let fields = Fields(value);
        match fields.text("do")?.as_str() {
            "correct" => Ok(Request::Correct(fields.correction(now)?)),
            "close" => Ok(Request::Close(fields.text("period")?.parse()?)),
            "export" => {
                let name = fields.text("format")?;
                let format = Format::from_name(&name).ok_or(RequestError::UnknownFormat(name))?;
                Ok(Request::Export(fields.text("period")?.parse()?, format))
            }
            other => Err(RequestError::UnknownRequest(other.to_owned())),
        }
    }
}

/// The fields of a request as they were read.
struct Fields(Value);

impl Fields {
    fn text(&self, name: &'static str) -> Result<String, RequestError> {
        match self.0[name].as_str() {
            Some(text) if text.len() <= MAX_TEXT_BYTES => Ok(text.to_owned()),
            _ => Err(RequestError::InvalidText(name)),
        }
    }

    fn number(&self, name: &'static str) -> Result<i64, RequestError> {
        self.0[name].as_i64().ok_or(RequestError::InvalidNumber(name))
    }

    fn correction(&self, now: UnixMs) -> Result<Correction, RequestError> {
        Ok(Correction {
            at: now,
            id: self.text("id")?,
            tenant: self.text("tenant")?,
            class: self.text("class")?,
            corrected_period: self.text("corrects")?,
            share: if self.0["beyond"] == true { QuotaShare::OverQuota } else { QuotaShare::WithinQuota },
            queries: self.number("queries")?,
            parts: self.number("parts")?,
            work: self.number("work")?,
            author: self.text("by")?,
            reason: self.text("why")?,
        })
    }
}

/// What a request achieved. Its text is what the command line prints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A correction is in the ledger.
    Corrected {
        /// The sequence number of its record.
        sequence: u64,
        /// The period in which it is billed.
        period: Period,
    },
    /// A period is closed.
    Closed(Period),
    /// An export is in place.
    Exported {
        /// The name of its file.
        file: String,
        /// SHA-256 of its bytes, in hex.
        hash: String,
    },
    /// Nothing changed in the period since its last export.
    NothingToExport(Period),
}

impl fmt::Display for RequestOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Corrected { sequence, period } => {
                write!(f, "correction {sequence}, billed in {period}")
            }
            Self::Closed(period) => write!(f, "{period} is closed"),
            Self::Exported { file, hash } => write!(f, "{file}  sha256 {hash}"),
            Self::NothingToExport(period) => write!(f, "nothing is new in {period} since its last export"),
        }
    }
}

/// The reply to a request, for the operator who made it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It was done; with the text of its [`RequestOutcome`].
    Done(String),
    /// It was rejected; with the reason.
    Rejected(String),
}

impl Reply {
    /// The content of a reply file: one JSON object and a line feed.
    pub fn to_json(&self) -> String {
        let object = match self {
            Reply::Done(text) => json!({ "done": text }),
            Reply::Rejected(reason) => json!({ "refused": reason }),
        };
        format!("{object}\n")
    }

    /// Reads the content of a reply file.
    ///
    /// # Errors
    /// The text is no JSON.
    pub fn from_json(text: &str) -> Result<Self, serde_json::Error> {
        let value: Value = serde_json::from_str(text)?;
        if let Some(text) = value["done"].as_str() {
            return Ok(Reply::Done(text.to_owned()));
        }
        Ok(Reply::Rejected(value["refused"].as_str().unwrap_or_default().to_owned()))
    }
}
