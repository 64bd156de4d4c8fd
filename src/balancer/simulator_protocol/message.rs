//! The simulator's messages: JSON lines with the protocol's field names, converted to typed messages in the field's
//! terms.
//!
//! Conversion has up to three steps, since messages about what is unknown are ignored without a check of their other
//! fields. [`HostMessage`] needs the fields of the envelope alone; [`InstanceMessage`] is converted only once its
//! instance is known to exist; [`UncheckedResult`] is checked only once the instance is found to have had the id.

use super::error::ProtocolError;
use miniserde::Deserialize;
use miniserde::json::Value;
use sailmux::balancer::{LoadReport, Millis, Outcome};

/// A line: the name of its message, and the fields that any message may have.
#[derive(Deserialize)]
pub struct RawMessage {
    cmd: String,
    who: Option<u32>,
    #[serde(rename = "momentMs")]
    moment_ms: Option<f64>,
    batch: Option<u64>,
    buffer: Option<u32>,
    #[serde(rename = "rowsIn")]
    rows_in: Option<Vec<EndpointRow>>,
    entropy: Option<u64>,
    facts: Option<Value>,
    scope: Option<String>,
    corr: Option<String>,
    qos: Option<String>,
    party: Option<Value>,
    #[serde(rename = "timeBudgetMs")]
    time_budget_ms: Option<f64>,
    #[serde(rename = "costGuessMs")]
    cost_guess_ms: Option<f64>,
    #[serde(rename = "groupNo")]
    group_no: Option<u64>,
    slab: Option<f64>,
    #[serde(rename = "sizeOrWeight")]
    size_or_weight: Option<f64>,
    retry: Option<bool>,
    #[serde(rename = "sendNo")]
    send_no: Option<u32>,
    searcher: Option<String>,
    verdict: Option<String>,
    #[serde(rename = "tookMs")]
    took_ms: Option<f64>,
    stats: Option<RawLoadReport>,
}

/// One replica in an endpoint list.
#[derive(Deserialize)]
pub struct EndpointRow {
    /// The replica's name.
    #[serde(rename = "searcher")]
    pub name: String,
    /// When it last started; 0 for long ago.
    #[serde(rename = "lastStartMs")]
    pub started_at: Option<Millis>,
    /// Its cell.
    #[serde(rename = "setNo")]
    pub cell: Option<u32>,
    /// Its weight; only ratios matter.
    #[serde(rename = "heft")]
    pub weight: Option<f64>,
    /// The protocol's word for its state.
    pub state: String,
    /// Its zone's name.
    #[serde(rename = "rackZone")]
    pub zone: Option<String>,
}

#[derive(Deserialize)]
struct RawLoadReport {
    pending: Option<f64>,
    busy_reqs: Option<f64>,
    cpu_share: Option<f64>,
}

impl From<RawLoadReport> for LoadReport {
    fn from(raw: RawLoadReport) -> Self {
        LoadReport { queue: raw.pending, inflight: raw.busy_reqs, utilization: raw.cpu_share }
    }
}

/// The number of an instance in the protocol.
pub type InstanceId = u32;

/// A message as the host handles it.
pub enum HostMessage {
    /// A batch begins.
    BeginBatch {
        /// The simulated time of all its messages.
        now: Millis,
        /// Its number.
        batch: u64,
    },
    /// The batch is complete and is to be acknowledged.
    CommitBatch,
    /// An endpoint list, to which later messages refer by its number.
    StoreEndpointList {
        /// Its number.
        number: u32,
        /// Its rows.
        rows: Vec<EndpointRow>,
    },
    /// An instance starts, in place of an earlier one of that number.
    StartInstance {
        /// Its number.
        instance: InstanceId,
        /// Seed of its random source.
        seed: u64,
        /// Its settings in the platform's form.
        facts: Value,
    },
    /// An instance stops.
    StopInstance(InstanceId),
    /// A message to an instance, if it exists.
    ToInstance(InstanceId, Box<RawMessage>),
}

impl TryFrom<RawMessage> for HostMessage {
    type Error = ProtocolError;

    fn try_from(raw: RawMessage) -> Result<Self, ProtocolError> {
        match raw.cmd.as_str() {
            "round" => Ok(HostMessage::BeginBatch {
                now: required(raw.moment_ms, "momentMs")?,
                batch: required(raw.batch, "batch")?,
            }),
            "commit" => Ok(HostMessage::CommitBatch),
            "inventory" => Ok(HostMessage::StoreEndpointList {
                number: required(raw.buffer, "buffer")?,
                rows: required(raw.rows_in, "rowsIn")?,
            }),
            "up" => Ok(HostMessage::StartInstance {
                instance: required(raw.who, "who")?,
                seed: required(raw.entropy, "entropy")?,
                facts: required(raw.facts, "facts")?,
            }),
            "halt" => Ok(HostMessage::StopInstance(required(raw.who, "who")?)),
            _ => Ok(HostMessage::ToInstance(required(raw.who, "who")?, Box::new(raw))),
        }
    }
}

/// What an endpoint-list message says.
#[derive(Clone, Copy)]
pub enum ListScope {
    /// The list could not be had.
    Failed,
    /// Only changes.
    Changes,
    /// The whole list.
    Complete,
}

/// A message to one instance.
pub enum InstanceMessage {
    /// An endpoint list, by the number under which it is stored.
    EndpointList {
        /// What it says.
        scope: ListScope,
        /// The stored list; none has no rows.
        number: Option<u32>,
    },
    /// The first message of a query; its parts follow.
    Query(QueryMessage),
    /// A part of the query of the same group.
    Part(PartMessage),
    /// An attempt has ended.
    AttemptEnded {
        /// The part's name.
        part: String,
        /// Which of its attempts, from 0. Missing is an error only if the part is known.
        attempt: Option<u32>,
        /// How it ended.
        result: UncheckedResult,
    },
    /// A health check has ended.
    HealthCheckEnded {
        /// The replica's name.
        replica: String,
        /// How it ended.
        result: UncheckedResult,
    },
    /// The client of a query has disconnected.
    ClientDisconnected {
        /// The query's name.
        query: String,
    },
    /// A timer has come due.
    Timer,
    /// Of no use to the balancer.
    Ignored,
}

/// A query, without its parts.
pub struct QueryMessage {
    /// Its name.
    pub query: String,
    /// The number by which its parts refer to it.
    pub group: u64,
    /// Its class's name.
    pub class: String,
    /// Its tenant's name, if any.
    pub tenant: Option<String>,
    /// Time until the client gives up.
    pub time_left: Millis,
    /// The client marked it as a retry.
    pub is_retry: bool,
}

/// A part of a query.
pub struct PartMessage {
    /// Its name.
    pub part: String,
    /// The number of its query.
    pub group: u64,
    /// The shard that it asks.
    pub shard: u32,
    /// Its weight among the parts of its step.
    pub weight: f64,
    /// Rough expected work, if stated.
    pub cost_hint: Option<Millis>,
}

/// The result of an attempt or a health check, as it came. Its outcome has been checked.
#[derive(Clone, Copy)]
pub struct UncheckedResult {
    outcome: Outcome,
    elapsed: Option<Millis>,
    report: Option<LoadReport>,
}

impl UncheckedResult {
    fn parse(
        verdict: Option<String>,
        took_ms: Option<f64>,
        stats: Option<RawLoadReport>,
    ) -> Result<Self, ProtocolError> {
        Ok(UncheckedResult {
            outcome: parse_outcome(&required(verdict, "verdict")?)?,
            elapsed: took_ms,
            report: stats.map(LoadReport::from),
        })
    }

    /// Checks the fields that matter only for a known id.
    ///
    /// # Errors
    /// The duration is missing.
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
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Millis,
    /// The load report that came with it.
    pub report: Option<LoadReport>,
}

impl TryFrom<RawMessage> for InstanceMessage {
    type Error = ProtocolError;

    fn try_from(raw: RawMessage) -> Result<Self, ProtocolError> {
        match raw.cmd.as_str() {
            "opened" | "inbox" => Ok(InstanceMessage::Ignored),
            "targets" => Ok(InstanceMessage::EndpointList {
                scope: parse_scope(&required(raw.scope, "scope")?),
                number: raw.buffer,
            }),
            "workItem" => parse_work_item(raw),
            "attemptEnd" => Ok(InstanceMessage::AttemptEnded {
                result: UncheckedResult::parse(raw.verdict, raw.took_ms, raw.stats)?,
                part: required(raw.corr, "corr")?,
                attempt: raw.send_no,
            }),
            "pong" => Ok(InstanceMessage::HealthCheckEnded {
                result: UncheckedResult::parse(raw.verdict, raw.took_ms, raw.stats)?,
                replica: required(raw.searcher, "searcher")?,
            }),
            "timedOutClient" => {
                Ok(InstanceMessage::ClientDisconnected { query: required(raw.corr, "corr")? })
            }
            "wakeup" => Ok(InstanceMessage::Timer),
            _ => Err(ProtocolError::UnknownWord { kind: "message", word: raw.cmd }),
        }
    }
}

/// A work item of a negative slab is a query, each other one a part.
fn parse_work_item(raw: RawMessage) -> Result<InstanceMessage, ProtocolError> {
    let name = required(raw.corr, "corr")?;
    let group = required(raw.group_no, "groupNo")?;
    let slab = required(raw.slab, "slab")?;
    if slab < 0.0 {
        return Ok(InstanceMessage::Query(QueryMessage {
            query: name,
            group,
            class: required(raw.qos, "qos")?,
            tenant: match raw.party {
                Some(Value::String(tenant)) => Some(tenant),
                _ => None,
            },
            time_left: required(raw.time_budget_ms, "timeBudgetMs")?,
            is_retry: raw.retry.unwrap_or(false),
        }));
    }
    Ok(InstanceMessage::Part(PartMessage {
        part: name,
        group,
        shard: slab as u32,
        weight: raw.size_or_weight.unwrap_or(0.0),
        cost_hint: raw.cost_guess_ms,
    }))
}

fn parse_outcome(word: &str) -> Result<Outcome, ProtocolError> {
    match word {
        "ok" => Ok(Outcome::Ok),
        "error" => Ok(Outcome::Error),
        "full" => Ok(Outcome::Rejected),
        "timeout" => Ok(Outcome::Timeout),
        "connect_failed" => Ok(Outcome::ConnectFailed),
        "reset" => Ok(Outcome::Reset),
        "cancelled" => Ok(Outcome::Cancelled),
        "moot" => Ok(Outcome::NotSent),
        other => Err(ProtocolError::UnknownWord { kind: "outcome", word: other.to_owned() }),
    }
}

fn parse_scope(word: &str) -> ListScope {
    match word {
        "error" => ListScope::Failed,
        "diff" => ListScope::Changes,
        _ => ListScope::Complete,
    }
}

/// The field, which a message of its kind must have.
pub(super) fn required<T>(field: Option<T>, name: &'static str) -> Result<T, ProtocolError> {
    field.ok_or(ProtocolError::MissingField(name))
}
