//! The adapter's replies: JSON lines with the protocol's names, made from the balancer's actions. The order of a
//! struct's fields is their order on the line.

use super::error::ProtocolError;
use super::message::InstanceId;
use super::names::Names;
use miniserde::{Serialize, json};
use sailmux::balancer::{Action, LogEvent};
use std::io::Write;

/// The one timer that the balancer sets; the protocol asks for a name.
const TIMER_NAME: &str = "sweep";

/// Sends an attempt of a part.
#[derive(Serialize)]
struct SendAttempt<'a> {
    cmd: &'static str,
    who: InstanceId,
    corr: &'a str,
    #[serde(rename = "tryForMs")]
    timeout_ms: f64,
    #[serde(rename = "searcher")]
    replica: &'a str,
}

/// Cancels an attempt.
#[derive(Serialize)]
struct CancelAttempt<'a> {
    cmd: &'static str,
    who: InstanceId,
    corr: &'a str,
    #[serde(rename = "sendNo")]
    attempt: u32,
}

/// Answers a query.
#[derive(Serialize)]
struct AnswerQuery<'a> {
    cmd: &'static str,
    who: InstanceId,
    corr: &'a str,
    #[serde(rename = "whole")]
    complete: bool,
}

/// Rejects a query.
#[derive(Serialize)]
struct RejectQuery<'a> {
    cmd: &'static str,
    who: InstanceId,
    corr: &'a str,
    #[serde(rename = "coolDownMs")]
    retry_after_ms: Option<f64>,
}

/// Fails a query.
#[derive(Serialize)]
struct FailQuery<'a> {
    cmd: &'static str,
    who: InstanceId,
    corr: &'a str,
}

/// Starts a health check.
#[derive(Serialize)]
struct CheckHealth<'a> {
    cmd: &'static str,
    who: InstanceId,
    #[serde(rename = "searcher")]
    replica: &'a str,
}

/// Subscribes to the endpoint list.
#[derive(Serialize)]
struct WatchEndpoints {
    cmd: &'static str,
    who: InstanceId,
    #[serde(rename = "whole")]
    complete: bool,
}

/// Sets a timer.
#[derive(Serialize)]
struct SetTimer {
    cmd: &'static str,
    who: InstanceId,
    #[serde(rename = "timeMs")]
    at_ms: f64,
    #[serde(rename = "cookie")]
    name: &'static str,
}

/// Writes to the simulator's journal, or reports a panic.
#[derive(Serialize)]
struct Note<'a> {
    cmd: &'static str,
    who: InstanceId,
    #[serde(rename = "what")]
    text: &'a str,
}

/// Acknowledges a batch.
#[derive(Serialize)]
struct BatchDone {
    cmd: &'static str,
    batch: u64,
}

/// Where one instance's replies go, and the names that they need.
pub struct ActionWriter<'a, W: Write> {
    /// The output.
    pub output: &'a mut W,
    /// The instance.
    pub instance: InstanceId,
    /// Names of queries and parts.
    pub requests: &'a Names,
    /// Names of replicas.
    pub replicas: &'a Names,
}

impl<W: Write> ActionWriter<'_, W> {
    /// Writes the reply for an action.
    ///
    /// # Errors
    /// The output cannot be written.
    pub fn write(&mut self, action: &Action) -> Result<(), ProtocolError> {
        let who = self.instance;
        let requests = self.requests;
        let replicas = self.replicas;
        let output = &mut *self.output;
        match action {
            Action::Send { part, replica, timeout, .. } => {
                let corr = requests.name(part.0);
                let replica = replicas.name(u64::from(replica.0));
                write_line(output, &SendAttempt { cmd: "callOut", who, corr, timeout_ms: *timeout, replica })
            }
            Action::Cancel { part, attempt } => {
                let corr = requests.name(part.0);
                write_line(output, &CancelAttempt { cmd: "dropAttempt", who, corr, attempt: *attempt })
            }
            Action::Answer { query, complete } => {
                let corr = requests.name(query.0);
                write_line(output, &AnswerQuery { cmd: "replyNow", who, corr, complete: *complete })
            }
            Action::Reject { query, retry_after, .. } => {
                let corr = requests.name(query.0);
                let retry_after_ms = *retry_after;
                write_line(output, &RejectQuery { cmd: "bounce", who, corr, retry_after_ms })
            }
            Action::Fail { query } => {
                let corr = requests.name(query.0);
                write_line(output, &FailQuery { cmd: "dropRequest", who, corr })
            }
            Action::HealthCheck { replica } => {
                let replica = replicas.name(u64::from(replica.0));
                write_line(output, &CheckHealth { cmd: "ping", who, replica })
            }
            Action::WatchEndpoints => {
                write_line(output, &WatchEndpoints { cmd: "follow", who, complete: true })
            }
            Action::SetTimer { at } => {
                write_line(output, &SetTimer { cmd: "setTimer", who, at_ms: *at, name: TIMER_NAME })
            }
            Action::Log(event) => {
                write_line(output, &Note { cmd: "journalLine", who, text: &journal_text(*event) })
            }
        }
    }
}

/// Reports that the balancer of an instance has panicked.
///
/// # Errors
/// The output cannot be written.
pub fn write_panic(
    output: &mut impl Write,
    instance: InstanceId,
    message: &str,
) -> Result<(), ProtocolError> {
    write_line(output, &Note { cmd: "bug", who: instance, text: message })
}

/// Acknowledges a batch, and sends all replies on their way.
///
/// # Errors
/// The output cannot be written.
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
