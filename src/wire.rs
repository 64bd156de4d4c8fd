//! The bench's wire: framing, names to indices, one balancer per instance. No decisions.

use sailmux::Balancer;
use sailmux::api::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::error::Error;
use std::io::{BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

type Fallible<T> = Result<T, Box<dyn Error>>;

#[derive(Deserialize)]
#[serde(tag = "cmd", rename_all = "camelCase", rename_all_fields = "camelCase")]
enum In {
    Round { moment_ms: f64, batch: u64 },
    Commit,
    Inventory { buffer: u32, rows_in: Vec<Row> },
    Up { who: u32, entropy: u64, facts: Box<Facts> },
    Halt { who: u32 },
    Targets { who: u32, scope: String, buffer: Option<u32> },
    WorkItem(Box<WorkItem>),
    Opened {},
    AttemptEnd { who: u32, corr: String, send_no: u32, verdict: String, took_ms: f64, stats: Option<Stats> },
    TimedOutClient { who: u32, corr: String },
    Wakeup { who: u32 },
    Pong { who: u32, searcher: String, verdict: String, took_ms: f64, stats: Option<Stats> },
    Inbox {},
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WorkItem {
    who: u32,
    corr: String,
    qos: String,
    party: Option<serde_json::Value>,
    time_budget_ms: f64,
    cost_guess_ms: Option<f64>,
    group_no: u64,
    slab: f64,
    #[serde(default)]
    size_or_weight: f64,
    #[serde(default)]
    retry: bool,
}

#[derive(Deserialize, Clone)]
#[serde(rename_all = "camelCase")]
struct Row {
    searcher: String,
    #[serde(default)]
    last_start_ms: f64,
    #[serde(default)]
    set_no: u32,
    #[serde(default = "one")]
    heft: f64,
    state: String,
    #[serde(default)]
    rack_zone: String,
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

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Facts {
    categories: Vec<Category>,
    #[serde(default)]
    clients: Clients,
    discovery: String,
    invariants: Invariants,
    limits: Limits,
    #[serde(default)]
    over_share_worth: f64,
    period_ms: f64,
    replicas_of_me: u32,
    report: Report,
    specifics: Specifics,
    #[serde(default)]
    tariffs: BTreeMap<String, f64>,
    #[serde(default)]
    tenants: Vec<TenantFacts>,
    #[serde(default)]
    worth_by: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    zones: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Category {
    name: String,
    aim_ms: f64,
    #[serde(default)]
    aim_stretch: f64,
    hard_limit_ms: f64,
    effect: String,
    #[serde(default)]
    late_value: f64,
    #[serde(default)]
    window_ms: f64,
    #[serde(default = "one")]
    worth: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase")]
struct Clients {
    #[serde(default)]
    marks_retry: bool,
}

#[derive(Deserialize)]
struct Report {
    how: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Specifics {
    class_partial: Vec<f64>,
    complete_from: Vec<f64>,
    fetch_parts: Vec<f64>,
    floor_by_class: Vec<f64>,
    #[serde(default = "one")]
    per_call: f64,
    positions: u32,
    width: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Limits {
    cancel: bool,
    max_attempts: u32,
    max_open: f64,
    max_retry_after_ms: f64,
    probes: bool,
    retry_after: bool,
    second_copies: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Invariants {
    #[serde(default = "one")]
    cold_share: f64,
    #[serde(default)]
    warm_after_ms: f64,
    #[serde(default)]
    must_ask_in_ms: f64,
    extra_free: Option<f64>,
    budget_share: Option<f64>,
    look_back_ms: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct TenantFacts {
    name: String,
    quota_per_s: f64,
}

fn one() -> f64 {
    1.0
}

#[derive(Serialize)]
#[serde(tag = "cmd", rename_all = "camelCase", rename_all_fields = "camelCase")]
enum Out<'a> {
    #[serde(rename = "callOut")]
    Call {
        who: u32,
        corr: &'a str,
        try_for_ms: f64,
        searcher: &'a str,
    },
    DropAttempt {
        who: u32,
        corr: &'a str,
        send_no: u32,
    },
    ReplyNow {
        who: u32,
        corr: &'a str,
        whole: bool,
    },
    Bounce {
        who: u32,
        corr: &'a str,
        cool_down_ms: Option<f64>,
    },
    DropRequest {
        who: u32,
        corr: &'a str,
    },
    Ping {
        who: u32,
        searcher: &'a str,
    },
    Follow {
        who: u32,
        whole: bool,
    },
    SetTimer {
        who: u32,
        time_ms: f64,
        cookie: &'a str,
    },
    JournalLine {
        who: u32,
        what: &'a str,
    },
    Bug {
        who: u32,
        what: &'a str,
    },
    Yield {
        batch: u64,
    },
}

fn settings(f: &Facts) -> Fallible<Settings> {
    let s = &f.specifics;
    let at = |v: &Vec<f64>, i: usize| v.get(i).copied().ok_or("a per-class setting is too short");
    let mut classes = Vec::new();
    for (i, c) in f.categories.iter().enumerate() {
        let effect = match c.effect.as_str() {
            "retryable" => Effect::Safe,
            "dedup" => Effect::Keyed { window: c.window_ms },
            "fragile" => Effect::Unsafe,
            other => return Err(format!("unknown effect {other:?}").into()),
        };
        classes.push(Class {
            aim: c.aim_ms,
            aim_stretch: c.aim_stretch,
            deadline: c.hard_limit_ms,
            late_value: c.late_value,
            worth: c.worth,
            effect,
            need: at(&s.complete_from, i)?,
            floor: at(&s.floor_by_class, i)?,
            partial_value: at(&s.class_partial, i)?,
            second_step: at(&s.fetch_parts, i)? as u32,
        });
    }
    let v = &f.invariants;
    Ok(Settings {
        classes,
        tenants: f.tenants.iter().map(|t| Tenant { quota_per_s: t.quota_per_s }).collect(),
        over_share_worth: f.over_share_worth,
        worth_by_work: f.worth_by == "work",
        marks_retry: f.clients.marks_retry,
        aggregators: f.replicas_of_me,
        tick: f.period_ms,
        cells: s.positions,
        width: s.width,
        parts_per_call: s.per_call as u32,
        reporting: match f.report.how.as_str() {
            "inline" => Reporting::Inline,
            "on_probe" => Reporting::OnProbe,
            "off" => Reporting::Off,
            other => return Err(format!("unknown way of reporting {other:?}").into()),
        },
        probes: f.limits.probes,
        cancel: f.limits.cancel,
        second_copies: f.limits.second_copies,
        max_attempts: f.limits.max_attempts,
        max_open: f.limits.max_open as u32,
        retry_after: f.limits.retry_after.then_some(f.limits.max_retry_after_ms),
        discovery_on_request: match f.discovery.as_str() {
            "pushed" => false,
            "on_request" => true,
            other => return Err(format!("unknown discovery {other:?}").into()),
        },
        ask_within: v.must_ask_in_ms,
        cold_share: v.cold_share,
        warm_after: v.warm_after_ms,
        retry_budget: match (v.extra_free, v.budget_share, v.look_back_ms) {
            (_, None, _) | (_, _, None) => None,
            (free, Some(share), Some(window)) => {
                Some(RetryBudget { free: free.unwrap_or(0.0), share, window })
            }
        },
        cross_zone_price: f.tariffs.get("crossZone").copied().unwrap_or(0.0),
        zone: zone_index(&f.zones, &f.zone),
    })
}

fn zone_index(zones: &[String], zone: &str) -> u32 {
    zones.iter().position(|z| z == zone).map_or(u32::MAX, |i| i as u32)
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
    fn new(who: u32, entropy: u64, facts: &Facts) -> Fallible<Self> {
        Ok(Instance {
            who,
            balancer: Balancer::new(settings(facts)?, entropy)?,
            classes: facts.categories.iter().map(|c| c.name.clone()).collect(),
            tenants: facts.tenants.iter().map(|t| t.name.clone()).collect(),
            zones: facts.zones.clone(),
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
            return put(out, &Out::Bug { who: self.who, what: text.as_deref().unwrap_or("panic") });
        }
        for action in self.actions.drain(..) {
            let who = self.who;
            let (requests, replicas) = (&self.requests, &self.replicas);
            let line = match &action {
                Action::Send { part, replica, timeout } => Out::Call {
                    who,
                    corr: requests.name(part.0),
                    try_for_ms: *timeout,
                    searcher: replicas.name(u64::from(replica.0)),
                },
                Action::Cancel { part, attempt } => {
                    Out::DropAttempt { who, corr: requests.name(part.0), send_no: *attempt }
                }
                Action::Answer { query, whole } => {
                    Out::ReplyNow { who, corr: requests.name(query.0), whole: *whole }
                }
                Action::Refuse { query, retry_after } => {
                    Out::Bounce { who, corr: requests.name(query.0), cool_down_ms: *retry_after }
                }
                Action::Fail { query } => Out::DropRequest { who, corr: requests.name(query.0) },
                Action::Probe { replica } => Out::Ping { who, searcher: replicas.name(u64::from(replica.0)) },
                Action::WatchList => Out::Follow { who, whole: true },
                Action::SetTimer { at } => Out::SetTimer { who, time_ms: *at, cookie: "sweep" },
                Action::Log { text } => Out::JournalLine { who, what: text },
            };
            put(out, &line)?;
        }
        Ok(())
    }

    fn work_item(&mut self, now: f64, item: &WorkItem, out: &mut impl Write) -> Fallible<()> {
        let id = self.requests.intern(&item.corr);
        if item.slab < 0.0 {
            self.flush(now, out)?;
            let class = self.classes.iter().position(|c| *c == item.qos).ok_or("unknown class")?;
            let party = item.party.as_ref().and_then(serde_json::Value::as_str);
            let tenant = party.and_then(|p| self.tenants.iter().position(|t| t == p));
            self.groups.insert(item.group_no, QueryId(id));
            self.arriving = Some(Arriving {
                group: item.group_no,
                event: Event::Query {
                    query: QueryId(id),
                    class,
                    tenant,
                    time_left: item.time_budget_ms,
                    retry: item.retry,
                    parts: Vec::new(),
                },
            });
            return Ok(());
        }
        let part = PartSpec {
            part: PartId(id),
            shard: item.slab as u32,
            weight: item.size_or_weight,
            cost_hint: item.cost_guess_ms,
        };
        if self.arriving.as_ref().is_none_or(|a| a.group != item.group_no) {
            self.flush(now, out)?;
            let Some(&query) = self.groups.get(&item.group_no) else { return Ok(()) };
            let event = Event::SecondStep { query, parts: Vec::new() };
            self.arriving = Some(Arriving { group: item.group_no, event });
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
            return self.event(now, Event::ListFailed, out);
        }
        let mut entries = Vec::with_capacity(rows.len());
        for row in rows {
            entries.push(ReplicaEntry {
                replica: ReplicaId(u32::try_from(self.replicas.intern(&row.searcher))?),
                cell: row.set_no,
                weight: row.heft,
                state: match row.state.as_str() {
                    "up" => ReplicaState::Up,
                    "draining" => ReplicaState::Draining,
                    "removed" => ReplicaState::Removed,
                    other => return Err(format!("unknown state {other:?}").into()),
                },
                started_at: (row.last_start_ms != 0.0).then_some(row.last_start_ms),
                zone: zone_index(&self.zones, &row.rack_zone),
            });
        }
        self.event(now, Event::Replicas { complete: scope != "diff", entries }, out)
    }
}

fn put(out: &mut impl Write, line: &Out<'_>) -> Fallible<()> {
    serde_json::to_writer(&mut *out, line)?;
    out.write_all(b"\n")?;
    Ok(())
}

/// Runs until the input ends.
///
/// # Errors
/// A line that cannot be read, or an output that cannot be written.
pub fn run(input: impl BufRead, mut out: impl Write) -> Fallible<()> {
    std::panic::set_hook(Box::new(|info| eprintln!("sailmux-simhost: {info}")));
    let mut instances: BTreeMap<u32, Instance> = BTreeMap::new();
    let mut lists: HashMap<u32, Vec<Row>> = HashMap::new();
    let (mut now, mut batch) = (0.0, 0);
    for (number, line) in input.lines().enumerate() {
        let line = line?;
        if line.trim().is_empty() {
            continue;
        }
        let event: In = serde_json::from_str(&line).map_err(|e| format!("line {}: {e}", number + 1))?;
        match event {
            In::Round { moment_ms, batch: b } => (now, batch) = (moment_ms, b),
            In::Commit => {
                for instance in instances.values_mut() {
                    instance.flush(now, &mut out)?;
                }
                put(&mut out, &Out::Yield { batch })?;
                out.flush()?;
            }
            In::Inventory { buffer, rows_in } => drop(lists.insert(buffer, rows_in)),
            In::Up { who, entropy, facts } => {
                drop(instances.insert(who, Instance::new(who, entropy, &facts)?))
            }
            In::Halt { who } => drop(instances.remove(&who)),
            In::Opened {} | In::Inbox {} => {}
            In::Targets { who, scope, buffer } => {
                let rows = buffer.and_then(|b| lists.get(&b)).map_or(&[][..], Vec::as_slice);
                if let Some(i) = instances.get_mut(&who) {
                    i.targets(now, &scope, rows, &mut out)?;
                }
            }
            In::WorkItem(item) => {
                if let Some(i) = instances.get_mut(&item.who) {
                    i.work_item(now, &item, &mut out)?;
                }
            }
            In::AttemptEnd { who, corr, send_no, verdict, took_ms, stats } => {
                let outcome = outcome(&verdict)?;
                let Some(i) = instances.get_mut(&who) else { continue };
                if let Some(part) = i.requests.get(&corr).map(PartId) {
                    let report = stats.map(LoadReport::from);
                    let event = Event::AttemptEnd { part, attempt: send_no, outcome, took: took_ms, report };
                    i.event(now, event, &mut out)?;
                }
            }
            In::TimedOutClient { who, corr } => {
                let Some(i) = instances.get_mut(&who) else { continue };
                if let Some(query) = i.requests.get(&corr).map(QueryId) {
                    i.event(now, Event::ClientGone { query }, &mut out)?;
                }
            }
            In::Wakeup { who } => {
                if let Some(i) = instances.get_mut(&who) {
                    i.event(now, Event::Timer, &mut out)?;
                }
            }
            In::Pong { who, searcher, verdict, took_ms, stats } => {
                let outcome = outcome(&verdict)?;
                let Some(i) = instances.get_mut(&who) else { continue };
                if let Some(id) = i.replicas.get(&searcher) {
                    let replica = ReplicaId(u32::try_from(id)?);
                    let report = stats.map(LoadReport::from);
                    i.event(now, Event::Probed { replica, outcome, took: took_ms, report }, &mut out)?;
                }
            }
        }
    }
    Ok(())
}
