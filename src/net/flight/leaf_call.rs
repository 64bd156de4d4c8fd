//! Individual calls to a Flight leaf server: a part or a health check.

use super::http2_channel::Http2Channel;
use crate::aggregator::{CallPart, ConnectionId, Event, PartOutcome};
use crate::balancer::LoadReport;
use crate::net::leaf_connection::parse_load_report;
use crate::net::memory::{MemoryBudget, MemoryExhausted, Reservation};
use crate::net::messages::EventSender;
use arrow_array::cast::AsArray;
use arrow_flight::decode::FlightRecordBatchStream;
use arrow_flight::error::FlightError;
use arrow_flight::flight_service_client::FlightServiceClient;
use arrow_flight::{Action, Ticket};
use bytes::Bytes;
use futures_util::TryStreamExt;
use miniserde::{Serialize, json};
use std::time::Duration;
use tonic::{Code, Request, Status};
use tonic_types::StatusExt;

/// Maximum total size of the rows of a part. Guards against a stream that never ends.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Size of a payload up to which its ticket is not counted towards the memory budget.
const SMALL_PAYLOAD_BYTES: usize = 4 << 10;
/// Maximum size of one message: a value and the encoding around it.
pub(super) const MAX_MESSAGE_BYTES: usize = MAX_VALUE_BYTES + (64 << 10);

/// The Flight client of one connection.
pub(super) type Client = FlightServiceClient<Http2Channel>;

/// The leaf server sent a malformed answer to a part; its connection must not be used any longer.
#[derive(Debug)]
pub(super) struct MalformedAnswer;

/// A part as a JSON ticket; it is serialized with the platform's field names.
#[derive(Serialize)]
struct PartTicket {
    id: String,
    shard: u32,
    #[serde(rename = "wait_ms")]
    timeout_ms: f64,
    #[serde(rename = "predicate")]
    payload: String,
}

/// The reason why a call returned no rows.
enum CallError {
    /// The part was not served; the outcome states why.
    NotServed(PartOutcome),
    MalformedAnswer,
}

impl From<MemoryExhausted> for CallError {
    /// The part may have run.
    fn from(_: MemoryExhausted) -> Self {
        CallError::NotServed(PartOutcome::Truncated)
    }
}

impl From<&Status> for CallError {
    fn from(status: &Status) -> Self {
        CallError::NotServed(outcome_of(status))
    }
}

/// Sends a part and reports its outcome as [`Event::AttemptAnswered`].
///
/// # Errors
/// The answer is malformed; no event is sent then.
pub(super) async fn call(
    client: Client,
    part: CallPart,
    connection: ConnectionId,
    events: EventSender,
    memory: MemoryBudget,
) -> Result<(), MalformedAnswer> {
    let attempt = part.attempt;
    let (outcome, rows) = match fetch_rows(client, &part, &memory).await {
        Ok(rows) => (PartOutcome::Served, rows),
        Err(CallError::NotServed(outcome)) => (outcome, Vec::new()),
        Err(CallError::MalformedAnswer) => return Err(MalformedAnswer),
    };
    let _ = events.send(Event::AttemptAnswered { connection, attempt, outcome, rows, report: None }).await;
    Ok(())
}

/// Returns the rows once the stream has ended successfully: no rows of a truncated stream may reach a client.
async fn fetch_rows(
    mut client: Client,
    part: &CallPart,
    memory: &MemoryBudget,
) -> Result<Vec<Bytes>, CallError> {
    let _ticket_memory = reserve_ticket(part, memory)?;
    let ticket = PartTicket {
        id: format!("{}.{}", part.request_id, part.shard),
        shard: part.shard,
        timeout_ms: part.timeout,
        payload: String::from_utf8_lossy(&part.payload).into_owned(),
    };
    let mut request = Request::new(Ticket { ticket: json::to_string(&ticket).into() });
    request.set_timeout(Duration::from_secs_f64(part.timeout.max(1.0) / 1e3));
    let response = client.do_get(request).await.map_err(|status| CallError::from(&status))?;
    let stream = response.into_inner().map_err(|status| FlightError::Tonic(Box::new(status)));
    let mut batches = FlightRecordBatchStream::new_from_flight_data(stream);
    let mut rows = Vec::new();
    let mut value_bytes = 0;
    loop {
        let batch = match batches.try_next().await {
            Ok(Some(batch)) => batch,
            Ok(None) => return Ok(rows),
            Err(FlightError::Tonic(status)) => return Err(CallError::from(&*status)),
            Err(_) => return Err(CallError::MalformedAnswer),
        };
        let column = batch.column_by_name("blob").and_then(|column| column.as_string_opt::<i32>());
        for row in column.ok_or(CallError::MalformedAnswer)? {
            let row = memory.copy(row.unwrap_or_default().as_bytes())?;
            value_bytes += row.len();
            rows.push(row);
        }
        if value_bytes > MAX_VALUE_BYTES {
            return Err(CallError::MalformedAnswer);
        }
    }
}

/// Reserves memory for the ticket of a large part, which exists as text and as a message until it is sent.
fn reserve_ticket(part: &CallPart, memory: &MemoryBudget) -> Result<Reservation, CallError> {
    let mut reservation = memory.reservation();
    if part.payload.len() > SMALL_PAYLOAD_BYTES {
        let reserved = reservation.resize(2 * part.payload.len());
        // Nothing has been sent.
        reserved.map_err(|_| CallError::NotServed(PartOutcome::Rejected))?;
    }
    Ok(reservation)
}

/// Maps a status to the outcome of the part. A status with a source error was created locally because the stream or
/// connection broke.
fn outcome_of(status: &Status) -> PartOutcome {
    if std::error::Error::source(status).is_some() {
        return PartOutcome::Truncated;
    }
    match status.code() {
        Code::ResourceExhausted => PartOutcome::Rejected,
        // An UNAVAILABLE without retry info may come from a proxy whose upstream connection broke.
        Code::Unavailable if status.get_details_retry_info().is_some() => PartOutcome::Rejected,
        _ => PartOutcome::Failed,
    }
}

/// Checks the leaf server's health and reports the result as [`Event::HealthCheckEnded`].
///
/// # Errors
/// Never fails: a failed check is reported as unhealthy.
pub(super) async fn check_health(
    client: Client,
    connection: ConnectionId,
    events: EventSender,
) -> Result<(), MalformedAnswer> {
    let event = match fetch_load_report(client).await {
        Ok(report) => Event::HealthCheckEnded { connection, healthy: true, report },
        Err(_) => Event::HealthCheckEnded { connection, healthy: false, report: None },
    };
    let _ = events.send(event).await;
    Ok(())
}

/// Requests a load report; `None` if the leaf server sends none or a malformed one.
async fn fetch_load_report(mut client: Client) -> Result<Option<LoadReport>, Status> {
    let action = Action { r#type: "load".to_owned(), body: Bytes::new() };
    let mut results = client.do_action(action).await?.into_inner();
    let Some(result) = results.message().await? else { return Ok(None) };
    Ok(std::str::from_utf8(&result.body).ok().and_then(parse_load_report))
}
