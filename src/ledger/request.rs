//! Requests of operators to the process that owns a ledger, and the files in which they are sent. If an aggregator owns
//! the ledger, a command writes its request to a file in the ledger's directory and waits for a reply file.
//! [`Store::process_requests`](super::Store::process_requests) is the receiving side.
//!
//! A request may be processed again after a crash, so each is idempotent: a correction has an idempotency key, a closed
//! period stays closed, and an export covers only records that were not exported before.

use super::UnixMs;
use super::export_format::Format;
use super::period::{ParsePeriodError, Period};
use super::record::{Correction, QuotaShare};
use serde_json::{Value, json};
use std::error::Error;
use std::fmt;

/// Maximum length of a text field of a request, in bytes.
const MAX_TEXT_BYTES: usize = 1024;

const REQUEST_PREFIX: &str = "request-";
const REQUEST_SUFFIX: &str = ".json";

/// A request to the owner of a ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Record a correction.
    Correct(Correction),
    /// Close a period that has ended.
    Close(Period),
    /// Export the records of a period that were not exported before.
    Export(Period, Format),
}

/// Why the content of a request file was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The file is not valid UTF-8 or is too long.
    InvalidFile,
    /// The content is not valid JSON; holds the parser's message.
    NotJson(String),
    /// A field is missing, is not a string, or is too long; holds the field's name.
    InvalidText(&'static str),
    /// A field is missing or is not an integer; holds the field's name.
    InvalidNumber(&'static str),
    /// The period is malformed.
    InvalidPeriod(ParsePeriodError),
    /// The export format is unknown.
    UnknownFormat(String),
    /// The kind of request is unknown.
    UnknownRequest(String),
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidFile => f.write_str("is no text, or too long"),
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

/// The file name of a request; `id` must be unique in the directory.
pub fn request_file_name(id: &str) -> String {
    format!("{REQUEST_PREFIX}{id}{REQUEST_SUFFIX}")
}

/// The file name of the reply to a request.
pub fn reply_file_name(id: &str) -> String {
    format!("reply-{id}.json")
}

/// Whether a file holds a request, either complete or still being written by a command.
pub(super) fn is_request(name: &str) -> bool {
    name.starts_with(REQUEST_PREFIX)
}

/// The id of a complete request, from its file name; `None` for other files.
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

    /// Parses the content of a request file; `now` becomes the time of a correction.
    ///
    /// # Errors
    /// The text is not valid JSON, or a field is missing or invalid.
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

/// The parsed JSON object of a request.
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

/// The result of a successful request. The command line prints its `Display` text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The correction is in the ledger.
    Corrected {
        /// The sequence number of its record.
        sequence: u64,
        /// The period in which it is billed.
        period: Period,
    },
    /// The period was closed.
    Closed(Period),
    /// The export is complete and durable.
    Exported {
        /// The file name of the export.
        file: String,
        /// SHA-256 of the file, in hex.
        hash: String,
    },
    /// The period has not changed since its last export.
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
    /// The request succeeded; holds the text of its [`RequestOutcome`].
    Done(String),
    /// The request was rejected; holds the reason.
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

    /// Parses the content of a reply file.
    ///
    /// # Errors
    /// The text is not valid JSON.
    pub fn from_json(text: &str) -> Result<Self, serde_json::Error> {
        let value: Value = serde_json::from_str(text)?;
        if let Some(text) = value["done"].as_str() {
            return Ok(Reply::Done(text.to_owned()));
        }
        Ok(Reply::Rejected(value["refused"].as_str().unwrap_or_default().to_owned()))
    }
}
