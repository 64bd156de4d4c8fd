//! The bench's wire: framing, names to indices, one balancer per instance. No decisions.

use miniserde::json::{self, Value};
use miniserde::{Deserialize, Serialize};
use sailmux::Balancer;
use sailmux::balancer::*;
use sailmux::config::{index_of, parse_platform_settings as settings};
use sailmux::json::Field;
use std::collections::{BTreeMap, HashMap};
use std::error::Error;
use std::io::{BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

type Fallible<T> = Result<T, Box<dyn Error>>;

/// A line of the wire: its name, and the fields that any of them may have.
#[derive(Deserialize)]
struct Line {
    cmd: String,
    who: Option<u32>,
    #[serde(rename = "momentMs")]
    moment_ms: Option<f64>,
    batch: Option<u64>,
    buffer: Option<u32>,
    #[serde(rename = "rowsIn")]
    rows_in: Option<Vec<Row>>,
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
    stats: Option<Stats>,
}

#[derive(Deserialize)]
struct Row {
    searcher: String,
    #[serde(rename = "lastStartMs")]
    last_start_ms: Option<f64>,
    #[serde(rename = "setNo")]
    set_no: Option<u32>,
    heft: Option<f64>,
    state: String,
    #[serde(rename = "rackZone")]
    rack_zone: Option<String>,
}

#[derive(Deserialize)]
struct Stats {
    pending: Option<f64>,
    busy_reqs: Option<f64>,
    cpu_share: Option<f64>,
}

impl From<Stats> for LoadReport {
    fn from(s: Stats) -> Self {
        LoadReport { queue: s.pending, inflight: s.busy_reqs, utilization: s.cpu_share }
    }
}

/// A field that a line of its name must have.
fn need<T>(field: Option<T>, name: &str) -> Fallible<T> {
    field.ok_or_else(|| format!("{name} is missing").into())
}

fn outcome(word: &str) -> Fallible<Outcome> {
    Ok(match word {
        "ok" => Outcome::Ok,
        "error" => Outcome::Error,
        "full" => Outcome::Rejected,
        "timeout" => Outcome::Timeout,
        "connect_failed" => Outcome::ConnectFailed,
        "reset" => Outcome::Reset,
        "cancelled" => Outcome::Cancelled,
        "moot" => Outcome::NotSent,
        other => return Err(format!("unknown outcome {other:?}").into()),
    })
}

/// Names to numbers in the order met, and back.
#[derive(Default)]
struct Names {
    ids: HashMap<String, u64>,
    names: Vec<String>,
}

impl Names {
    fn intern(&mut self, name: &str) -> u64 {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = self.names.len() as u64;
        self.ids.insert(name.to_owned(), id);
        self.names.push(name.to_owned());
        id
    }
    fn get(&self, name: &str) -> Option<u64> {
        self.ids.get(name).copied()
    }
    fn name(&self, id: u64) -> &str {
        &self.names[id as usize]
    }
}

struct Arriving {
    group: u64,
    event: Event,
}

struct Instance {
    who: u32,
    balancer: Balancer,
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    requests: Names,
    replicas: Names,
    groups: HashMap<u64, QueryId>,
    arriving: Option<Arriving>,
    actions: Vec<Action>,
    failed: bool,
}

impl Instance {
    fn new(who: u32, entropy: u64, facts: &Value) -> Fallible<Self> {
        let site = settings(&Field::root(facts))?;
        Ok(Instance {
            who,
            balancer: Balancer::new(site.balancer, entropy)?,
            classes: site.classes,
            tenants: site.tenants,
            zones: site.zones,
            requests: Names::default(),
            replicas: Names::default(),
            groups: HashMap::new(),
            arriving: None,
            actions: Vec::new(),
            failed: false,
        })
    }

    /// Hands over a query once all its parts are in.
    fn flush(&mut self, now: f64, out: &mut impl Write) -> Fallible<()> {
        match self.arriving.take() {
            Some(arriving) => self.feed(now, arriving.event, out),
            None => Ok(()),
        }
    }

    fn event(&mut self, now: f64, event: Event, out: &mut impl Write) -> Fallible<()> {
        self.flush(now, out)?;
        self.feed(now, event, out)
    }

    fn feed(&mut self, now: f64, event: Event, out: &mut impl Write) -> Fallible<()> {
        if self.failed {
            return Ok(());
        }
        let (balancer, actions) = (&mut self.balancer, &mut self.actions);
        if let Err(panic) = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, actions))) {
            let text = panic.downcast_ref::<&str>().map(|s| (*s).to_owned());
            let text = text.or_else(|| panic.downcast_ref::<String>().cloned());
            self.failed = true;
            self.actions.clear();
            let what = text.as_deref().unwrap_or("panic");
            return put(out, "bug", &[("who", &self.who), ("what", &what)]);
        }
        for action in self.actions.drain(..) {
            let who = &self.who;
            let (request, replica) =
                (|id| self.requests.name(id), |id: &ReplicaId| self.replicas.name(u64::from(id.0)));
            match &action {
                Action::Send { part, replica: to, timeout, .. } => {
                    let (corr, searcher) = (request(part.0), replica(to));
                    let fields: [Named<'_>; 4] =
                        [("who", who), ("corr", &corr), ("tryForMs", timeout), ("searcher", &searcher)];
                    put(out, "callOut", &fields)
                }
                Action::Cancel { part, attempt } => {
                    put(out, "dropAttempt", &[("who", who), ("corr", &request(part.0)), ("sendNo", attempt)])
                }
                Action::Answer { query, complete: whole } => {
                    put(out, "replyNow", &[("who", who), ("corr", &request(query.0)), ("whole", whole)])
                }
                Action::Reject { query, retry_after } => put(
                    out,
                    "bounce",
                    &[("who", who), ("corr", &request(query.0)), ("coolDownMs", retry_after)],
                ),
                Action::Fail { query } => {
                    put(out, "dropRequest", &[("who", who), ("corr", &request(query.0))])
                }
                Action::HealthCheck { replica: to } => {
                    put(out, "ping", &[("who", who), ("searcher", &replica(to))])
                }
                Action::WatchEndpoints => put(out, "follow", &[("who", who), ("whole", &true)]),
                Action::SetTimer { at } => {
                    put(out, "setTimer", &[("who", who), ("timeMs", at), ("cookie", &"sweep")])
                }
                Action::Log(event) => {
                    put(out, "journalLine", &[("who", who), ("what", &journal_line(*event))])
                }
            }?;
        }
        Ok(())
    }

    fn work_item(&mut self, now: f64, item: Line, out: &mut impl Write) -> Fallible<()> {
        let id = self.requests.intern(&need(item.corr, "corr")?);
        let (group, slab) = (need(item.group_no, "groupNo")?, need(item.slab, "slab")?);
        if slab < 0.0 {
            self.flush(now, out)?;
            let qos = need(item.qos, "qos")?;
            let class = self.classes.iter().position(|c| *c == qos).ok_or("unknown class")?;
            let tenant = match &item.party {
                Some(Value::String(party)) => self.tenants.iter().position(|t| t == party),
                _ => None,
            };
            self.groups.insert(group, QueryId(id));
            self.arriving = Some(Arriving {
                group,
                event: Event::Query {
                    query: QueryId(id),
                    class,
                    tenant,
                    time_left: need(item.time_budget_ms, "timeBudgetMs")?,
                    is_retry: item.retry.unwrap_or(false),
                    parts: Vec::new(),
                },
            });
            return Ok(());
        }
        let part = PartSpec {
            part: PartId(id),
            shard: slab as u32,
            weight: item.size_or_weight.unwrap_or(0.0),
            cost_hint: item.cost_guess_ms,
        };
        if self.arriving.as_ref().is_none_or(|a| a.group != group) {
            self.flush(now, out)?;
            let Some(&query) = self.groups.get(&group) else { return Ok(()) };
            let event = Event::SecondStep { query, parts: Vec::new() };
            self.arriving = Some(Arriving { group, event });
        }
        if let Some(a) = &mut self.arriving
            && let Event::Query { parts, .. } | Event::SecondStep { parts, .. } = &mut a.event
        {
            parts.push(part);
        }
        Ok(())
    }

    fn targets(&mut self, now: f64, scope: &str, rows: &[Row], out: &mut impl Write) -> Fallible<()> {
        if scope == "error" {
            return self.event(now, Event::EndpointListFailed, out);
        }
        let mut entries = Vec::with_capacity(rows.len());
        for row in rows {
            entries.push(ReplicaEntry {
                replica: ReplicaId(u32::try_from(self.replicas.intern(&row.searcher))?),
                cell: row.set_no.unwrap_or(0),
                weight: row.heft.unwrap_or(1.0),
                state: match row.state.as_str() {
                    "up" => ReplicaState::Up,
                    "draining" => ReplicaState::Draining,
                    "removed" => ReplicaState::Removed,
                    other => return Err(format!("unknown state {other:?}").into()),
                },
                started_at: row.last_start_ms.filter(|at| *at != 0.0),
                zone: index_of(&self.zones, row.rack_zone.as_deref().unwrap_or("")),
            });
        }
        self.event(now, Event::EndpointList { complete: scope != "diff", entries }, out)
    }
}

/// The text of a log event in the simulator's journal.
fn journal_line(event: LogEvent) -> String {
    match event {
        LogEvent::AllHoldersOutliers { shard } => format!("all holders suspect: {shard}"),
        LogEvent::LoadSheddingStarted { class } => format!("shedding, first of class: {class}"),
        LogEvent::LoadSheddingStopped => "shedding over, refused: 0".to_owned(),
        LogEvent::ReplicaEjected(replica) => format!("replica suspected: {}", replica.0),
        LogEvent::ReplicaRestored(replica) => format!("replica back: {}", replica.0),
    }
}

/// A field of an action.
type Named<'a> = (&'a str, &'a dyn Serialize);

fn put(out: &mut impl Write, cmd: &str, fields: &[Named<'_>]) -> Fallible<()> {
    write!(out, "{{\"cmd\":\"{cmd}\"")?;
    for (name, value) in fields {
        write!(out, ",\"{name}\":{}", json::to_string(*value))?;
    }
    out.write_all(b"}\n")?;
    Ok(())
}

/// Runs until the input ends.
///
/// # Errors
/// A line that cannot be read, or an output that cannot be written.
pub fn run(input: impl BufRead, mut out: impl Write) -> Fallible<()> {
    std::panic::set_hook(Box::new(|info| eprintln!("sailmux-simhost: {info}")));
    let mut host = Host::default();
    for (number, line) in input.lines().enumerate() {
        let line = line?;
        if !line.trim().is_empty() {
            let parsed = json::from_str(&line).map_err(|_| "is no line of the wire".into());
            let done = parsed.and_then(|line| host.line(line, &mut out));
            done.map_err(|e: Box<dyn Error>| format!("line {}: {e}", number + 1))?;
        }
    }
    Ok(())
}

/// All instances of this process; they share nothing but the lists that the wire numbers.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Instance>,
    lists: HashMap<u32, Vec<Row>>,
    now: f64,
    batch: u64,
}

impl Host {
    fn line(&mut self, line: Line, out: &mut impl Write) -> Fallible<()> {
        let now = self.now;
        match line.cmd.as_str() {
            "round" => {
                (self.now, self.batch) = (need(line.moment_ms, "momentMs")?, need(line.batch, "batch")?);
                return Ok(());
            }
            "commit" => {
                for instance in self.instances.values_mut() {
                    instance.flush(now, out)?;
                }
                put(out, "yield", &[("batch", &self.batch)])?;
                return Ok(out.flush()?);
            }
            "inventory" => {
                self.lists.insert(need(line.buffer, "buffer")?, need(line.rows_in, "rowsIn")?);
                return Ok(());
            }
            _ => {}
        }
        let who = need(line.who, "who")?;
        match line.cmd.as_str() {
            "up" => {
                let (entropy, facts) = (need(line.entropy, "entropy")?, need(line.facts, "facts")?);
                self.instances.insert(who, Instance::new(who, entropy, &facts)?);
                return Ok(());
            }
            "halt" => {
                self.instances.remove(&who);
                return Ok(());
            }
            _ => {}
        }
        let Some(i) = self.instances.get_mut(&who) else { return Ok(()) };
        match line.cmd.as_str() {
            "opened" | "inbox" => Ok(()),
            "targets" => {
                let rows = line.buffer.and_then(|b| self.lists.get(&b)).map_or(&[][..], Vec::as_slice);
                i.targets(now, &need(line.scope, "scope")?, rows, out)
            }
            "workItem" => i.work_item(now, line, out),
            "attemptEnd" => {
                let outcome = outcome(&need(line.verdict, "verdict")?)?;
                let corr = need(line.corr, "corr")?;
                let Some(part) = i.requests.get(&corr).map(PartId) else { return Ok(()) };
                let (attempt, took) = (need(line.send_no, "sendNo")?, need(line.took_ms, "tookMs")?);
                let report = line.stats.map(LoadReport::from);
                i.event(now, Event::AttemptEnded { part, attempt, outcome, elapsed: took, report }, out)
            }
            "timedOutClient" => {
                let query = i.requests.get(&need(line.corr, "corr")?).map(QueryId);
                query.map_or(Ok(()), |query| i.event(now, Event::ClientDisconnected { query }, out))
            }
            "wakeup" => i.event(now, Event::Timer, out),
            "pong" => {
                let outcome = outcome(&need(line.verdict, "verdict")?)?;
                let Some(id) = i.replicas.get(&need(line.searcher, "searcher")?) else { return Ok(()) };
                let (replica, took) = (ReplicaId(u32::try_from(id)?), need(line.took_ms, "tookMs")?);
                let report = line.stats.map(LoadReport::from);
                i.event(now, Event::HealthCheckEnded { replica, outcome, elapsed: took, report }, out)
            }
            other => Err(format!("unknown message {other:?}").into()),
        }
    }
}
