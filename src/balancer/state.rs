//! What the module remembers of replicas, parts and queries, and its seeded draws. No decisions.

use super::logic::{QUOTA_MOST, SAMPLES};
use super::*;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};

/// The decision module of one aggregator. What it does is in `logic`.
pub struct Balancer {
    pub(crate) set: Settings,
    pub(crate) draw: Draw,
    pub(crate) now: f64,
    pub(crate) replicas: BTreeMap<ReplicaId, Replica>,
    pub(crate) cells: Vec<Vec<ReplicaId>>,
    pub(crate) mean_weight: f64,
    pub(crate) queries: BTreeMap<QueryId, Query>,
    pub(crate) parts: BTreeMap<PartId, Part>,
    pub(crate) latencies: Recent,
    pub(crate) typical: f64,
    pub(crate) tail: f64,
    /// What ends sooner can have done no work; 0 until it is known what is typical.
    pub(crate) at_once: f64,
    pub(crate) unit: f64,
    pub(crate) longest_aim: f64,
    pub(crate) shortest_aim: f64,
    pub(crate) taken: Window,
    pub(crate) sent: Window,
    pub(crate) extras: Window,
    pub(crate) density: Vec<f64>,
    pub(crate) quotas: Quotas,
    /// Parts a millisecond that a warm replica serves for this aggregator: now, and at its lately seen best.
    pub(crate) peer_now: f64,
    pub(crate) peer_rate: f64,
    pub(crate) warm_oks: f64,
    pub(crate) swept: f64,
    pub(crate) timer: Option<f64>,
    /// The end of the last time this aggregator stood still.
    pub(crate) woke: f64,
    /// How long probes took lately.
    pub(crate) probe_times: Recent,
    pub(crate) probe_time: f64,
    /// Queries with parts that wait for a probe.
    pub(crate) waiting: Vec<QueryId>,
    /// Share of recent attempts that ended badly.
    pub(crate) bad: f64,
    pub(crate) reports: Mean,
    /// How much longer answers took than what was known otherwise had them take, in parts, by what reports
    /// had told.
    pub(crate) foretold: Fit,
    pub(crate) watching: bool,
    pub(crate) asked: bool,
    pub(crate) watch_at: f64,
    pub(crate) shedding: bool,
    /// By class: the time that recent tries had, marked repeats left out.
    pub(crate) first_times: Vec<Recent>,
    /// How long parts took lately, copies and all, over what was expected.
    pub(crate) ratios: Recent,
    /// By shard: how many of its parts were in time lately.
    pub(crate) shards: BTreeMap<u32, Tally>,
    pub(crate) all_shards: Tally,
    /// The chances that queries were let in by lately, and what of them came true.
    pub(crate) hopes: Tally,
    /// How long answers took lately, for each part then in the way.
    pub(crate) units: Recent,
    pub(crate) shed_at: f64,
    pub(crate) open: usize,
}

impl Balancer {
    /// One that has met nothing yet.
    pub(crate) fn blank(set: Settings, seed: u64) -> Self {
        let classes = set.classes.len();
        Balancer {
            draw: Draw::new(seed),
            now: f64::NEG_INFINITY,
            replicas: BTreeMap::new(),
            cells: Vec::new(),
            mean_weight: 1.0,
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            latencies: Recent::new(0),
            typical: 0.0,
            tail: 0.0,
            at_once: 0.0,
            unit: 0.0,
            longest_aim: 0.0,
            shortest_aim: 0.0,
            taken: Window::default(),
            sent: Window::default(),
            extras: Window::default(),
            density: vec![0.0; classes],
            quotas: Quotas::default(),
            peer_now: 0.0,
            peer_rate: 0.0,
            warm_oks: 0.0,
            swept: 0.0,
            timer: None,
            woke: f64::NEG_INFINITY,
            probe_times: Recent::new(0),
            probe_time: 0.0,
            waiting: Vec::new(),
            bad: 0.0,
            reports: Mean::default(),
            foretold: Fit::default(),
            watching: false,
            asked: false,
            watch_at: 0.0,
            shedding: false,
            first_times: Vec::new(),
            ratios: Recent::new(0),
            shards: BTreeMap::new(),
            all_shards: Tally::default(),
            hopes: Tally::default(),
            units: Recent::new(0),
            shed_at: f64::NEG_INFINITY,
            open: 0,
            set,
        }
    }

    /// Takes new settings in the place of the old. `was` tells which class of the old each of the new ones is, if
    /// any. Queries that are held go on by the rules they began under.
    pub fn reconfigure(&mut self, settings: Settings, was: &[Option<usize>]) -> Result<(), SettingsError> {
        settings.validate()?;
        let aims = settings.classes.iter().map(|c| c.latency_objective);
        self.longest_aim = aims.clone().fold(0.0, f64::max);
        self.shortest_aim = aims.fold(f64::INFINITY, f64::min);
        self.quotas = Quotas::new(settings.tenants.iter().map(|t| t.quota_per_s), QUOTA_MOST);
        let old = |i: usize| was.get(i).copied().flatten();
        let classes = 0..settings.classes.len();
        let times = |i| old(i).and_then(|was| self.first_times.get(was).cloned());
        self.first_times =
            classes.clone().map(|i| times(i).unwrap_or_else(|| Recent::new(SAMPLES))).collect();
        let density = |i| old(i).and_then(|was| self.density.get(was).copied()).unwrap_or(0.0);
        self.density = classes.map(density).collect();
        self.set = settings;
        self.reindex();
        Ok(())
    }

    /// Was the last query of a known tenant within that tenant's quota, as this module judged it?
    pub fn last_query_within_quota(&self) -> bool {
        self.quotas.within
    }

    /// Is a replica still getting warm?
    pub fn is_warming_up(&self, replica: ReplicaId) -> bool {
        self.replicas.get(&replica).is_some_and(|r| self.ramp(r) < 1.0)
    }

    /// Who is up in which cell, and the means over those.
    pub(crate) fn reindex(&mut self) {
        self.cells = vec![Vec::new(); self.set.cells as usize];
        let mut weights = Mean::default();
        self.reports = Mean::default();
        for (id, r) in self.replicas.iter().filter(|(_, r)| r.up) {
            weights.change(None, r.weight);
            if let Some(cell) = self.cells.get_mut(r.cell as usize) {
                cell.push(*id);
            }
            if let Some((v, _)) = r.report {
                self.reports.change(None, v);
            }
        }
        self.mean_weight = weights.without(None).max(f64::MIN_POSITIVE);
    }

    /// Share of its capacity that a replica has, by its age: 1 once warm.
    pub(crate) fn ramp(&self, r: &Replica) -> f64 {
        self.ramp_from(r.began())
    }

    /// As the settings state it, for a process begun at a time.
    pub(crate) fn ramp_from(&self, started: Option<f64>) -> f64 {
        let Some(started) = started else { return 1.0 };
        let age = (self.now - started) / self.set.slow_start_window.max(1.0);
        if age >= 1.0 {
            1.0
        } else {
            (self.set.slow_start_share + (1.0 - self.set.slow_start_share) * age).clamp(0.01, 1.0)
        }
    }

    /// The replicas that are up in the cells that hold a shard.
    pub(crate) fn holders(&self, shard: u32) -> Vec<ReplicaId> {
        let n = u64::from(self.set.cells);
        let cell = |j: u32| ((u64::from(shard) + u64::from(j)) % n) as usize;
        (0..self.set.width).flat_map(|j| self.cells.get(cell(j)).into_iter().flatten().copied()).collect()
    }
}

#[derive(Default)]
pub struct Replica {
    pub cell: u32,
    pub zone: u32,
    pub weight: f64,
    pub up: bool,
    pub started: Option<f64>,
    /// When it was last found gone, by own evidence.
    pub lost_at: Option<f64>,
    /// When it was found to have left the list.
    pub left_at: Option<f64>,
    /// Calls out: when sent, and parts still out on each.
    pub calls: BTreeMap<u64, (f64, u32)>,
    pub next_call: u64,
    pub ghosts: f64,
    pub streak: f64,
    pub ok_at: f64,
    pub slow: f64,
    pub health_at: f64,
    pub probation: bool,
    pub suspect: bool,
    pub report: Option<(f64, f64)>,
    /// When a draw last gave it a chance while it was cold.
    pub chance_at: f64,
    pub probed_at: f64,
    pub probing: bool,
    pub probe_own: f64,
}

impl Replica {
    /// A replica nothing is known of.
    pub fn unknown() -> Self {
        let never = f64::NEG_INFINITY;
        Replica { slow: 1.0, ok_at: never, probed_at: never, chance_at: never, ..Replica::default() }
    }

    /// When its process began, as told or as found.
    pub fn began(&self) -> Option<f64> {
        self.started.into_iter().chain(self.lost_at).reduce(f64::max)
    }

    /// A part goes out at a time, on a call shared with those of the same time while it has room.
    pub fn book(&mut self, now: f64, per_call: u32) -> u64 {
        let open = self.calls.iter().next_back().filter(|(_, c)| c.0 == now && c.1 < per_call).map(|c| *c.0);
        let call = open.unwrap_or_else(|| {
            self.next_call += 1;
            self.next_call
        });
        self.calls.entry(call).or_insert((now, 0)).1 += 1;
        call
    }

    /// A part of a call has ended; the calls still out.
    pub fn unbook(&mut self, call: u64) -> usize {
        if let Some(c) = self.calls.get_mut(&call) {
            c.1 -= 1;
            if c.1 == 0 {
                self.calls.remove(&call);
            }
        }
        self.calls.len()
    }
}

pub struct Attempt {
    pub replica: ReplicaId,
    pub sent: f64,
    pub call: u64,
    pub busy: f64,
    /// What reports had told of the replica.
    pub told: f64,
    pub end: Option<Outcome>,
    /// It may have cost a server work.
    pub worked: bool,
}

pub struct Part {
    pub query: QueryId,
    pub shard: u32,
    pub weight: f64,
    pub attempts: Vec<Attempt>,
    pub ok: bool,
    pub over: bool,
    /// The two drawn for the next attempt, while their probes are waited for.
    pub drawn: Option<(ReplicaId, ReplicaId)>,
    /// How long it was expected to take when its query came.
    pub expected: f64,
}

impl Part {
    pub fn new(query: QueryId, shard: u32, weight: f64, expected: f64) -> Self {
        let (attempts, drawn) = (vec![], None);
        Part { query, shard, weight, attempts, ok: false, over: false, drawn, expected }
    }
    pub fn live(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|a| a.end.is_none())
    }
    /// Was it sent to this replica before?
    pub fn tried(&self, replica: ReplicaId) -> bool {
        self.attempts.iter().any(|a| a.replica == replica)
    }
    /// May it have cost a server work?
    pub fn worked(&self) -> bool {
        self.attempts.iter().any(|a| a.worked)
    }
    /// When the first attempt was sent that may have run.
    pub fn maybe_ran(&self) -> Option<f64> {
        let never = |a: &&Attempt| matches!(a.end, Some(o) if never_ran(o));
        self.attempts.iter().find(|a| !never(a)).map(|a| a.sent)
    }
    /// Until when repeats of it are dropped, and so may leave, less the tick by which times are rounded: only where an
    /// attempt may have run and its class is keyed.
    pub fn repeats_until(&self, effect: Idempotency, tick: Millis) -> Option<Millis> {
        let Idempotency::Keyed { window } = effect else { return None };
        self.maybe_ran().map(|at| at + window - tick)
    }
}

pub fn never_ran(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
}

pub struct Query {
    /// Its draws are asked by probes.
    pub looks: bool,
    /// Its class's rules, the attempts a part may have, and whether two at once, as they were when it came.
    pub class: Class,
    pub max_attempts: u32,
    pub second_copies: bool,
    /// Its chance by which it was let in.
    pub hope: f64,
    pub aim_at: f64,
    pub end_at: f64,
    pub parts: Vec<PartId>,
    pub second: bool,
    pub first_whole: bool,
}

impl Query {
    pub fn new(
        class: Class,
        (max_attempts, second_copies): (u32, bool),
        looks: bool,
        (aim_at, end_at): (f64, f64),
    ) -> Self {
        let (hope, parts) = (0.0, vec![]);
        let (second, first_whole) = (false, false);
        Query { looks, class, max_attempts, second_copies, hope, aim_at, end_at, parts, second, first_whole }
    }
}

/// The number itself, or a fallback where it is none.
pub fn sane(x: f64, fallback: f64) -> f64 {
    if x.is_finite() { x } else { fallback }
}

/// Seeded draws by a fixed algorithm.
pub struct Draw(Pcg64Mcg);

impl Draw {
    pub fn new(seed: u64) -> Self {
        Draw(Pcg64Mcg::seed_from_u64(seed))
    }
    /// In `0.0..1.0`.
    pub fn uniform(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
    /// Another one in `0..n`, or the same if it is the only one.
    pub fn other(&mut self, i: usize, n: usize) -> usize {
        if n < 2 { i } else { (i + 1 + self.below(n - 1)) % n }
    }
    /// In `0..n`.
    pub fn below(&mut self, n: usize) -> usize {
        ((u128::from(self.0.next_u64()) * n as u128) >> 64) as usize
    }
}

/// The latest figures of a kind, up to a number of them.
#[derive(Clone)]
pub struct Recent {
    figures: VecDeque<f64>,
    most: usize,
}

impl Recent {
    pub fn new(most: usize) -> Self {
        Recent { figures: VecDeque::new(), most }
    }
    pub fn push(&mut self, figure: f64) {
        if self.figures.len() >= self.most {
            self.figures.pop_front();
        }
        self.figures.push_back(figure);
    }
    pub fn forget_one(&mut self) {
        self.figures.pop_front();
    }
    pub fn len(&self) -> usize {
        self.figures.len()
    }
    /// How many lie within a distance of a figure.
    pub fn near(&self, figure: f64, distance: f64) -> usize {
        self.figures.iter().filter(|f| (*f - figure).abs() <= distance).count()
    }
    /// The share of figures below one; all of them while there are none.
    pub fn below(&self, figure: f64) -> f64 {
        let below = self.figures.iter().filter(|f| **f < figure).count();
        if self.figures.is_empty() { 1.0 } else { below as f64 / self.figures.len() as f64 }
    }
    /// The figure below which this share lies; there must be some.
    pub fn quantile(&self, share: f64) -> f64 {
        let mut sorted: Vec<f64> = self.figures.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        sorted[((sorted.len() as f64 * share) as usize).min(sorted.len() - 1)]
    }
}

/// Quotas in proportion: each query met brings every tenant its share of one, saved up to a number of them.
#[derive(Default)]
pub struct Quotas {
    shares: Vec<f64>,
    saved: Vec<f64>,
    most: f64,
    /// The last query taken was within its tenant's quota.
    within: bool,
}

impl Quotas {
    pub fn new(rates: impl Iterator<Item = f64>, most: f64) -> Self {
        let rates: Vec<f64> = rates.map(|r| sane(r, 0.0).max(0.0)).collect();
        let all = rates.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        let shares: Vec<f64> = rates.iter().map(|r| r / all).collect();
        Quotas { saved: vec![most; shares.len()], shares, most, within: true }
    }
    /// Counts a tenant's query; was it within the tenant's quota? An unknown tenant has none to exceed.
    pub fn take(&mut self, tenant: usize) -> bool {
        for (saved, share) in self.saved.iter_mut().zip(&self.shares) {
            *saved = (*saved + share).min(self.most);
        }
        let Some(saved) = self.saved.get_mut(tenant) else { return true };
        let within = *saved >= 1.0;
        *saved = (*saved - 1.0).max(0.0);
        self.within = within;
        within
    }
}

/// Tries and how many of them were good, both halving over a time.
#[derive(Default)]
pub struct Tally {
    tried: f64,
    good: f64,
    at: f64,
}

impl Tally {
    pub fn add(&mut self, now: f64, half: f64, tried: f64, good: f64) {
        let keep = self.kept(now, half);
        self.tried = keep * self.tried + tried;
        self.good = keep * self.good + good;
        self.at = now;
    }
    /// The share of good ones, where so many tries were as good as expected beside those counted.
    pub fn share(&self, now: f64, half: f64, expected: f64, weight: f64) -> f64 {
        let keep = self.kept(now, half);
        (keep * self.good + weight * expected) / (keep * self.tried + weight)
    }
    fn kept(&self, now: f64, half: f64) -> f64 {
        (-(now - self.at).max(0.0) / half).exp2()
    }
}

/// A running mean.
#[derive(Default)]
pub struct Mean {
    sum: f64,
    count: f64,
}

impl Mean {
    /// A figure comes in the place of an old one, or in addition.
    pub fn change(&mut self, old: Option<f64>, new: f64) {
        self.sum += new - old.unwrap_or(0.0);
        self.count += f64::from(u8::from(old.is_none()));
    }
    /// The mean of the others; none being zero.
    pub fn without(&self, own: Option<f64>) -> f64 {
        let count = self.count - f64::from(u8::from(own.is_some()));
        if count > 0.0 { (self.sum - own.unwrap_or(0.0)).max(0.0) / count } else { 0.0 }
    }
}

/// A line fitted to recent pairs of figures.
#[derive(Default)]
pub struct Fit {
    count: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Fit {
    /// One more pair, of which about as many as told count.
    pub fn add(&mut self, x: f64, y: f64, recent: f64) {
        let keep = 1.0 - 1.0 / recent;
        for (sum, new) in [
            (&mut self.count, 1.0),
            (&mut self.x, x),
            (&mut self.y, y),
            (&mut self.xx, x * x),
            (&mut self.xy, x * y),
        ] {
            *sum = keep * *sum + new;
        }
    }
    /// How much the second figure grows with the first; taken as 1 until the first has varied by this much.
    pub fn slope(&self, prior: f64) -> f64 {
        let count = self.count.max(1.0);
        let (varied, together) = (self.xx - self.x * self.x / count, self.xy - self.x * self.y / count);
        (together + prior) / (varied.max(0.0) + prior)
    }
}

/// Counts over sliding windows.
#[derive(Default)]
pub struct Window(VecDeque<(f64, f64)>);

impl Window {
    pub fn add(&mut self, at: f64, count: usize) {
        self.0.push_back((at, count as f64));
    }
    /// The count at or after a time.
    pub fn since(&self, at: f64) -> f64 {
        self.0.iter().rev().take_while(|c| c.0 >= at).map(|c| c.1).sum()
    }
    pub fn forget_before(&mut self, at: f64) {
        while self.0.front().is_some_and(|c| c.0 < at) {
            self.0.pop_front();
        }
    }
}
