//! The simulator's messages: parses JSON lines with the protocol's field names into typed messages.
//!
//! Conversion takes up to three steps, because messages for unknown instances and results for unknown ids are ignored
//! without validation of their other fields. [`HostMessage`] needs only the fields that address the message;
//! [`InstanceMessage`] is parsed only if its instance exists; [`UncheckedResult`] is validated only if the instance has
//! the id that it refers to.

use super::error::ProtocolError;
use miniserde::Deserialize;
use miniserde::json::Value;
use sailmux::balancer::{LoadReport, Millis, Outcome};

/// A line as received: the name of its message, and every field that any message may have.
#[derive(Deserialize)]
pub struct RawMessage {
    cmd: String,
    #[serde(rename = "who")]
    instance: Option<u32>,
    #[serde(rename = "momentMs")]
    now_ms: Option<f64>,
    batch: Option<u64>,
    #[serde(rename = "buffer")]
    list_number: Option<u32>,
    #[serde(rename = "rowsIn")]
    rows: Option<Vec<EndpointRow>>,
    #[serde(rename = "entropy")]
    seed: Option<u64>,
    #[serde(rename = "facts")]
    settings: Option<Value>,
    scope: Option<String>,
    #[serde(rename = "corr")]
    request: Option<String>,
    #[serde(rename = "qos")]
    class: Option<String>,
    #[serde(rename = "party")]
    tenant: Option<Value>,
    #[serde(rename = "timeBudgetMs")]
    time_left_ms: Option<f64>,
    #[serde(rename = "costGuessMs")]
    cost_hint_ms: Option<f64>,
    #[serde(rename = "groupNo")]
    group: Option<u64>,
    /// Negative in the first message of a query.
    #[serde(rename = "slab")]
    shard: Option<f64>,
    #[serde(rename = "sizeOrWeight")]
    weight: Option<f64>,
    #[serde(rename = "retry")]
    is_retry: Option<bool>,
    #[serde(rename = "sendNo")]
    attempt: Option<u32>,
    #[serde(rename = "searcher")]
    replica: Option<String>,
    #[serde(rename = "verdict")]
    outcome: Option<String>,
    #[serde(rename = "tookMs")]
    elapsed_ms: Option<f64>,
    #[serde(rename = "stats")]
    load_report: Option<RawLoadReport>,
}

/// A replica in an endpoint list.
#[derive(Deserialize)]
pub struct EndpointRow {
    /// Name of the replica.
    #[serde(rename = "searcher")]
    pub name: String,
    /// Time of its last start; 0 means that it started long ago.
    #[serde(rename = "lastStartMs")]
    pub started_at: Option<Millis>,
    /// Number of its cell; absent means 0.
    #[serde(rename = "setNo")]
    pub cell: Option<u32>,
    /// Its weight relative to other replicas; absent means 1.
    #[serde(rename = "heft")]
    pub weight: Option<f64>,
    /// Keyword of the protocol for its state: `up`, `draining` or `removed`.
    pub state: String,
    /// Name of its zone.
    #[serde(rename = "rackZone")]
    pub zone: Option<String>,
}

#[derive(Deserialize)]
struct RawLoadReport {
    #[serde(rename = "pending")]
    queue: Option<f64>,
    #[serde(rename = "busy_reqs")]
    inflight: Option<f64>,
    #[serde(rename = "cpu_share")]
    utilization: Option<f64>,
}

impl From<RawLoadReport> for LoadReport {
    fn from(raw: RawLoadReport) -> Self {
        LoadReport { queue: raw.queue, inflight: raw.inflight, utilization: raw.utilization }
    }
}

/// The protocol's number for a simulated aggregator.
pub type InstanceId = u32;

/// A message to the adapter itself, or one to be passed on to an instance.
pub enum HostMessage {
    /// Begins a batch of messages.
    BeginBatch {
        /// Simulated time of every message in the batch.
        now: Millis,
        /// Number of the batch, returned in its acknowledgement.
        batch: u64,
    },
    /// Ends the batch, which is then acknowledged.
    CommitBatch,
    /// Stores an endpoint list, to which later messages refer by its number.
    StoreEndpointList {
        /// Number of the list; a list stored earlier under this number is replaced.
        list_number: u32,
        /// The replicas in the list.
        rows: Vec<EndpointRow>,
    },
    /// Starts an instance; one that runs under the same number is replaced.
    StartInstance {
        /// Number of the instance.
        instance: InstanceId,
        /// Seed of its random number generator.
        seed: u64,
        /// Its settings, in the format of the platform.
        settings: Value,
    },
    /// Stops an instance.
    StopInstance(InstanceId),
    /// A message to an instance; ignored if there is no such instance.
    ToInstance(InstanceId, Box<RawMessage>),
}

impl TryFrom<RawMessage> for HostMessage {
    type Error = ProtocolError;

    fn try_from(raw: RawMessage) -> Result<Self, ProtocolError> {
        match raw.cmd.as_str() {
            "round" => Ok(HostMessage::BeginBatch {
                now: required(raw.now_ms, "momentMs")?,
                batch: required(raw.batch, "batch")?,
            }),
            "commit" => Ok(HostMessage::CommitBatch),
            "inventory" => Ok(HostMessage::StoreEndpointList {
                list_number: required(raw.list_number, "buffer")?,
                rows: required(raw.rows, "rowsIn")?,
            }),
            "up" => Ok(HostMessage::StartInstance {
                instance: required(raw.instance, "who")?,
                seed: required(raw.seed, "entropy")?,
                settings: required(raw.settings, "facts")?,
            }),
            "halt" => Ok(HostMessage::StopInstance(required(raw.instance, "who")?)),
            _ => Ok(HostMessage::ToInstance(required(raw.instance, "who")?, Box::new(raw))),
        }
    }
}

/// The scope of an endpoint-list message.
#[derive(Clone, Copy)]
pub enum ListScope {
    /// Discovery failed; there is no list.
    Failed,
    /// Changes to the previous list.
    Changes,
    /// A complete list.
    Complete,
}

/// A message to one instance.
pub enum InstanceMessage {
    /// An endpoint list has arrived, or discovery has failed.
    EndpointList {
        /// Whether the list is complete.
        scope: ListScope,
        /// Number of the stored list; absent means an empty list.
        list_number: Option<u32>,
    },
    /// The first message of a query; its parts follow.
    Query(QueryMessage),
    /// A part of the query that has the same group number.
    Part(PartMessage),
    /// An attempt has ended.
    AttemptEnded {
        /// Name of the part.
        part: String,
        /// Number of the attempt, from 0. Its absence is an error only if the part is known.
        attempt: Option<u32>,
        /// Result, validated only if the id is known.
        result: UncheckedResult,
    },
    /// A health check has ended.
    HealthCheckEnded {
        /// Name of the replica.
        replica: String,
        /// Result, validated only if the id is known.
        result: UncheckedResult,
    },
    /// The client of a query has disconnected.
    ClientDisconnected {
        /// Name of the query.
        query: String,
    },
    /// The timer has expired.
    Timer,
    /// A message that the balancer does not use.
    Ignored,
}

/// A query, without its parts.
pub struct QueryMessage {
    /// Name of the query.
    pub query: String,
    /// Number by which its parts refer to it.
    pub group: u64,
    /// Name of its class.
    pub class: String,
    /// Name of its tenant; `None` if it has no tenant.
    pub tenant: Option<String>,
    /// Time until the client's timeout.
    pub time_left: Millis,
    /// Whether the client has marked it as a retry.
    pub is_retry: bool,
}

/// A part of a query.
pub struct PartMessage {
    /// Name of the part.
    pub part: String,
    /// Group number of its query.
    pub group: u64,
    /// The shard that it queries.
    pub shard: u32,
    /// Its weight relative to the other parts of the same step.
    pub weight: f64,
    /// Estimated execution time, if the client supplied one.
    pub cost_hint: Option<Millis>,
}

/// The result of an attempt or a health check as received. Only its outcome has been validated.
#[derive(Clone, Copy)]
pub struct UncheckedResult {
    outcome: Outcome,
    elapsed: Option<Millis>,
    report: Option<LoadReport>,
}

impl UncheckedResult {
    fn parse(
        outcome: Option<String>,
        elapsed_ms: Option<f64>,
        load_report: Option<RawLoadReport>,
    ) -> Result<Self, ProtocolError> {
        Ok(UncheckedResult {
            outcome: parse_outcome(&required(outcome, "verdict")?)?,
            elapsed: elapsed_ms,
            report: load_report.map(LoadReport::from),
        })
    }

    /// Validates the fields that are needed only if the id is known.
    ///
    /// # Errors
    /// The elapsed time is missing.
    pub fn check(self) -> Result<CallResult, ProtocolError> {
        Ok(CallResult {
            outcome: self.outcome,
            elapsed: required(self.elapsed, "tookMs")?,
            report: self.report,
        })
    }
}

/// The result of an attempt or a health check.
#[derive(Clone, Copy)]
pub struct CallResult {
    /// Outcome of the attempt or health check.
    pub outcome: Outcome,
    /// Time from sending to the result.
    pub elapsed: Millis,
    /// The load report in the response, if there was one.
    pub report: Option<LoadReport>,
}

impl TryFrom<RawMessage> for InstanceMessage {
    type Error = ProtocolError;

    fn try_from(raw: RawMessage) -> Result<Self, ProtocolError> {
        match raw.cmd.as_str() {
            "opened" | "inbox" => Ok(InstanceMessage::Ignored),
            "targets" => Ok(InstanceMessage::EndpointList {
                scope: parse_scope(&required(raw.scope, "scope")?),
                list_number: raw.list_number,
            }),
            "workItem" => parse_work_item(raw),
            "attemptEnd" => Ok(InstanceMessage::AttemptEnded {
                result: UncheckedResult::parse(raw.outcome, raw.elapsed_ms, raw.load_report)?,
                part: required(raw.request, "corr")?,
                attempt: raw.attempt,
            }),
            "pong" => Ok(InstanceMessage::HealthCheckEnded {
                result: UncheckedResult::parse(raw.outcome, raw.elapsed_ms, raw.load_report)?,
                replica: required(raw.replica, "searcher")?,
            }),
            "timedOutClient" => {
                Ok(InstanceMessage::ClientDisconnected { query: required(raw.request, "corr")? })
            }
            "wakeup" => Ok(InstanceMessage::Timer),
            _ => Err(ProtocolError::UnknownKeyword { kind: "message", keyword: raw.cmd }),
        }
    }
}

/// Parses a work item: with a negative shard it is a query, otherwise a part.
fn parse_work_item(raw: RawMessage) -> Result<InstanceMessage, ProtocolError> {
    let name = required(raw.request, "corr")?;
    let group = required(raw.group, "groupNo")?;
    let shard = required(raw.shard, "slab")?;
    if shard < 0.0 {
        return Ok(InstanceMessage::Query(QueryMessage {
            query: name,
            group,
            class: required(raw.class, "qos")?,
            tenant: match raw.tenant {
                Some(Value::String(tenant)) => Some(tenant),
                _ => None,
            },
            time_left: required(raw.time_left_ms, "timeBudgetMs")?,
            is_retry: raw.is_retry.unwrap_or(false),
        }));
    }
    Ok(InstanceMessage::Part(PartMessage {
        part: name,
        group,
        shard: shard as u32,
        weight: raw.weight.unwrap_or(0.0),
        cost_hint: raw.cost_hint_ms,
    }))
}

fn parse_outcome(keyword: &str) -> Result<Outcome, ProtocolError> {
    match keyword {
        "ok" => Ok(Outcome::Ok),
        "error" => Ok(Outcome::Error),
        "full" => Ok(Outcome::Rejected),
        "timeout" => Ok(Outcome::Timeout),
        "connect_failed" => Ok(Outcome::ConnectFailed),
        "reset" => Ok(Outcome::Reset),
        "cancelled" => Ok(Outcome::Cancelled),
        "moot" => Ok(Outcome::NotSent),
        other => Err(ProtocolError::UnknownKeyword { kind: "outcome", keyword: other.to_owned() }),
    }
}

fn parse_scope(keyword: &str) -> ListScope {
    match keyword {
        "error" => ListScope::Failed,
        "diff" => ListScope::Changes,
        _ => ListScope::Complete,
    }
}

/// Returns the value of a required field, or an error with the field's name if it is missing.
pub(super) fn required<T>(field: Option<T>, name: &'static str) -> Result<T, ProtocolError> {
    field.ok_or(ProtocolError::MissingField(name))
}
