//! Reads a gateway's call: the ticket, which is the query as JSON, and the call's gRPC deadline.

use crate::aggregator::NewQuery;
use crate::clock::Millis;
use crate::net::query_body::{PartBody, is_valid_name};
use miniserde::{Deserialize, json};
use std::fmt;
use tonic::Status;
use tonic::metadata::MetadataMap;

/// Longest ticket, as for a query over HTTP.
pub(super) const MAX_TICKET_BYTES: usize = 64 << 10;

/// A ticket: the body of a query over HTTP with what HTTP has in headers. The platform's field names are mapped to the
/// field's terms here.
#[derive(Deserialize)]
pub(super) struct QueryTicket {
    #[serde(rename = "id")]
    name: String,
    #[serde(rename = "kind")]
    class: String,
    #[serde(rename = "owner")]
    tenant: Option<String>,
    #[serde(rename = "retry")]
    is_retry: Option<bool>,
    #[serde(rename = "ranges")]
    parts: Vec<PartBody>,
    #[serde(rename = "predicate")]
    payload: String,
}

/// Why a call is rejected before the aggregator sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TicketError {
    TooLong,
    NotAQuery,
    InvalidTimeout,
}

impl fmt::Display for TicketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLong => "the ticket is over 64 KiB",
            Self::NotAQuery => "the ticket is no query",
            Self::InvalidTimeout => "grpc-timeout is no time",
        })
    }
}

impl std::error::Error for TicketError {}

impl From<TicketError> for Status {
    fn from(error: TicketError) -> Self {
        Status::invalid_argument(error.to_string())
    }
}

impl QueryTicket {
    /// Reads a ticket's bytes.
    ///
    /// # Errors
    /// It is too long, or no query.
    pub fn parse(ticket: &[u8]) -> Result<Self, TicketError> {
        if ticket.len() > MAX_TICKET_BYTES {
            return Err(TicketError::TooLong);
        }
        let text = std::str::from_utf8(ticket).map_err(|_| TicketError::NotAQuery)?;
        let ticket: QueryTicket = json::from_str(text).map_err(|_| TicketError::NotAQuery)?;
        if !is_valid_name(&ticket.name) {
            return Err(TicketError::NotAQuery);
        }
        Ok(ticket)
    }

    /// The query as the aggregator takes it.
    pub fn into_query(self, time_left: Option<Millis>) -> NewQuery {
        NewQuery {
            request_id: self.name.into(),
            class: self.class,
            tenant: self.tenant,
            time_left,
            is_retry: self.is_retry.unwrap_or(false),
            payload: self.payload.into(),
            idempotency_key: None,
            parts: self.parts.iter().map(PartBody::to_part).collect(),
        }
    }
}

/// The time left by the call's gRPC deadline, at most eight digits and a unit; none where it has no deadline.
///
/// # Errors
/// The deadline cannot be read.
pub(super) fn time_left(metadata: &MetadataMap) -> Result<Option<Millis>, TicketError> {
    let Some(value) = metadata.get("grpc-timeout") else { return Ok(None) };
    let text = value.to_str().map_err(|_| TicketError::InvalidTimeout)?;
    let unit_start = text.len().saturating_sub(1);
    let (number, unit) = text.split_at_checked(unit_start).ok_or(TicketError::InvalidTimeout)?;
    let unit_millis = match unit {
        "H" => 3_600_000.0,
        "M" => 60_000.0,
        "S" => 1000.0,
        "m" => 1.0,
        "u" => 1e-3,
        "n" => 1e-6,
        _ => return Err(TicketError::InvalidTimeout),
    };
    let number: u32 = number.parse().map_err(|_| TicketError::InvalidTimeout)?;
    Ok(Some(f64::from(number) * unit_millis))
}
