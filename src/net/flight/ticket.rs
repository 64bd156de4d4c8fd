//! Parses a gateway's call: the ticket, which is the query as JSON, and the gRPC deadline of the call.

use crate::aggregator::NewQuery;
use crate::clock::Millis;
use crate::net::query_body::{PartBody, is_valid_request_id};
use miniserde::{Deserialize, json};
use std::fmt;
use tonic::Status;
use tonic::metadata::MetadataMap;

/// Maximum size of a ticket; equals the limit on the body of a query over HTTP.
pub(super) const MAX_TICKET_BYTES: usize = 64 << 10;

/// A ticket: the fields of a query that HTTP clients send in the body and in headers. The platform's field names are
/// mapped to the terms of this code base here.
#[derive(Deserialize)]
pub(super) struct QueryTicket {
    #[serde(rename = "id")]
    request_id: String,
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

/// Why a call is rejected before it reaches the aggregator. The message is sent to the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TicketError {
    TooLong,
    InvalidQuery,
    InvalidTimeout,
}

impl fmt::Display for TicketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLong => "the ticket is over 64 KiB",
            Self::InvalidQuery => "the ticket is no query",
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
    /// Parses a ticket.
    ///
    /// # Errors
    /// The ticket is too long or not a valid query.
    pub fn parse(ticket: &[u8]) -> Result<Self, TicketError> {
        if ticket.len() > MAX_TICKET_BYTES {
            return Err(TicketError::TooLong);
        }
        let text = std::str::from_utf8(ticket).map_err(|_| TicketError::InvalidQuery)?;
        let ticket: QueryTicket = json::from_str(text).map_err(|_| TicketError::InvalidQuery)?;
        if !is_valid_request_id(&ticket.request_id) {
            return Err(TicketError::InvalidQuery);
        }
        Ok(ticket)
    }

    /// Converts the ticket into a query for the aggregator, with the time left until the call's deadline.
    pub fn into_query(self, time_left: Option<Millis>) -> NewQuery {
        NewQuery {
            request_id: self.request_id.into(),
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

/// Parses the `grpc-timeout` of a call, which is a number of at most eight digits and a unit; `None` if it is absent.
///
/// # Errors
/// The timeout is malformed.
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
