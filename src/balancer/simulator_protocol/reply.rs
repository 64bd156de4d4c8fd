//! Converts the balancer's actions to the adapter's output: JSON lines with the protocol's field names. Fields are
//! written in the order in which the struct declares them; a recorded run is compared byte for byte.

use super::error::ProtocolError;
use super::message::InstanceId;
use super::name_interner::NameInterner;
use miniserde::{Serialize, json};
use sailmux::balancer::{Action, LogEvent};
use std::io::Write;

/// Name of the balancer's only timer; the protocol requires one.
const TIMER_NAME: &str = "sweep";

/// Sends an attempt of a part.
#[derive(Serialize)]
struct SendAttempt<'a> {
    cmd: &'static str,
    #[serde(rename = "who")]
    instance: InstanceId,
    #[serde(rename = "corr")]
    part: &'a str,
    #[serde(rename = "tryForMs")]
    timeout_ms: f64,
    #[serde(rename = "searcher")]
    replica: &'a str,
}

/// Cancels an attempt.
#[derive(Serialize)]
struct CancelAttempt<'a> {
    cmd: &'static str,
    #[serde(rename = "who")]
    instance: InstanceId,
    #[serde(rename = "corr")]
    part: &'a str,
    #[serde(rename = "sendNo")]
    attempt: u32,
}

/// Answers a query.
#[derive(Serialize)]
struct AnswerQuery<'a> {
    cmd: &'static str,
    #[serde(rename = "who")]
    instance: InstanceId,
    #[serde(rename = "corr")]
    query: &'a str,
    #[serde(rename = "whole")]
    complete: bool,
}

/// Rejects a query.
#[derive(Serialize)]
struct RejectQuery<'a> {
    cmd: &'static str,
    #[serde(rename = "who")]
    instance: InstanceId,
    #[serde(rename = "corr")]
    query: &'a str,
    #[serde(rename = "coolDownMs")]
    retry_after_ms: Option<f64>,
}

/// Fails a query.
#[derive(Serialize)]
struct FailQuery<'a> {
    cmd: &'static str,
    #[serde(rename = "who")]
    instance: InstanceId,
    #[serde(rename = "corr")]
    query: &'a str,
}

/// Starts a health check.
#[derive(Serialize)]
struct CheckHealth<'a> {
    cmd: &'static str,
    #[serde(rename = "who")]
    instance: InstanceId,
    #[serde(rename = "searcher")]
    replica: &'a str,
}

/// Subscribes to the endpoint list.
#[derive(Serialize)]
struct WatchEndpoints {
    cmd: &'static str,
    #[serde(rename = "who")]
    instance: InstanceId,
    #[serde(rename = "whole")]
    complete: bool,
}

/// Sets a timer.
#[derive(Serialize)]
struct SetTimer {
    cmd: &'static str,
    #[serde(rename = "who")]
    instance: InstanceId,
    #[serde(rename = "timeMs")]
    at_ms: f64,
    #[serde(rename = "cookie")]
    name: &'static str,
}

/// A line for the simulator's journal, or the report of a panic.
#[derive(Serialize)]
struct TextMessage<'a> {
    cmd: &'static str,
    #[serde(rename = "who")]
    instance: InstanceId,
    #[serde(rename = "what")]
    text: &'a str,
}

/// Acknowledges a batch.
#[derive(Serialize)]
struct BatchDone {
    cmd: &'static str,
    batch: u64,
}

/// Writes one instance's actions as replies, with the names that belong to the ids in them.
pub struct ActionWriter<'a, W: Write> {
    /// Receives the JSON lines.
    pub output: &'a mut W,
    /// The instance whose actions are written.
    pub instance: InstanceId,
    /// Names of queries and parts, by their ids.
    pub requests: &'a NameInterner,
    /// Names of replicas, by their ids.
    pub replicas: &'a NameInterner,
}

impl<W: Write> ActionWriter<'_, W> {
    /// Writes an action as one line.
    ///
    /// # Errors
    /// Writing the output fails.
    pub fn write(&mut self, action: &Action) -> Result<(), ProtocolError> {
        let instance = self.instance;
        let requests = self.requests;
        let replicas = self.replicas;
        let output = &mut *self.output;
        match action {
            Action::Send { part, replica, timeout, .. } => {
                let part = requests.name(part.0);
                let replica = replicas.name(u64::from(replica.0));
                write_line(
                    output,
                    &SendAttempt { cmd: "callOut", instance, part, timeout_ms: *timeout, replica },
                )
            }
            Action::Cancel { part, attempt } => {
                let part = requests.name(part.0);
                write_line(output, &CancelAttempt { cmd: "dropAttempt", instance, part, attempt: *attempt })
            }
            Action::Answer { query, complete } => {
                let query = requests.name(query.0);
                write_line(output, &AnswerQuery { cmd: "replyNow", instance, query, complete: *complete })
            }
            Action::Reject { query, retry_after, .. } => {
                let query = requests.name(query.0);
                let retry_after_ms = *retry_after;
                write_line(output, &RejectQuery { cmd: "bounce", instance, query, retry_after_ms })
            }
            Action::Fail { query } => {
                let query = requests.name(query.0);
                write_line(output, &FailQuery { cmd: "dropRequest", instance, query })
            }
            Action::HealthCheck { replica } => {
                let replica = replicas.name(u64::from(replica.0));
                write_line(output, &CheckHealth { cmd: "ping", instance, replica })
            }
            Action::WatchEndpoints => {
                write_line(output, &WatchEndpoints { cmd: "follow", instance, complete: true })
            }
            Action::SetTimer { at } => {
                write_line(output, &SetTimer { cmd: "setTimer", instance, at_ms: *at, name: TIMER_NAME })
            }
            Action::Log(event) => {
                write_line(output, &TextMessage { cmd: "journalLine", instance, text: &journal_text(*event) })
            }
        }
    }
}

/// Reports that the balancer of an instance has panicked.
///
/// # Errors
/// Writing the output fails.
pub fn write_panic(
    output: &mut impl Write,
    instance: InstanceId,
    message: &str,
) -> Result<(), ProtocolError> {
    write_line(output, &TextMessage { cmd: "bug", instance, text: message })
}

/// Acknowledges a batch and flushes the output.
///
/// # Errors
/// Writing the output fails.
pub fn write_batch_done(output: &mut impl Write, batch: u64) -> Result<(), ProtocolError> {
    write_line(output, &BatchDone { cmd: "yield", batch })?;
    output.flush()?;
    Ok(())
}

fn write_line(output: &mut impl Write, reply: &impl Serialize) -> Result<(), ProtocolError> {
    output.write_all(json::to_string(reply).as_bytes())?;
    output.write_all(b"\n")?;
    Ok(())
}

/// The text of a log event in the simulator's journal.
fn journal_text(event: LogEvent) -> String {
    match event {
        LogEvent::AllHoldersOutliers { shard } => format!("all holders suspect: {shard}"),
        LogEvent::LoadSheddingStarted { class } => format!("shedding, first of class: {class}"),
        LogEvent::LoadSheddingStopped => "shedding over, refused: 0".to_owned(),
        LogEvent::ReplicaEjected(replica) => format!("replica suspected: {}", replica.0),
        LogEvent::ReplicaRestored(replica) => format!("replica back: {}", replica.0),
    }
}
