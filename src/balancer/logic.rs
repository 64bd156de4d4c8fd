//! All decisions of the aggregator. Interface (settings, events, actions, ids): `balancer`.
//!
//! Ordinary path: each part draws two distinct holders of its shard and goes to the less busy. Every guard
//! below acts through the busyness, or on who may be drawn; `docs/design.md` tells when.

use super::state::{Attempt, Balancer, Part, Query, Quotas, Recent, Replica, Tally, never_ran, sane};
use super::*;

// Constants: each a ratio, or a multiple of a setting or of something observed.
/// Sweeps come every so many ticks: far finer than any latency that matters, far coarser than a tick.
const SWEEP_TICKS: f64 = 4.0;
/// A timer overdue by so many sweeps is no jitter.
const STALL_SWEEPS: f64 = 3.0;
/// Recent latencies kept: enough for a steady 90th percentile, few enough to follow a change in seconds.
pub(super) const SAMPLES: usize = 64;
/// From so many on they are believed.
const ENOUGH: usize = SAMPLES / 8;
/// Queries that a tenant's unused quota saves up for, at most.
pub(super) const QUOTA_MOST: f64 = 8.0;
/// Typical latency, as a share of the shortest aim, until some answers are in.
const TYPICAL_START: f64 = 0.15;
/// The tail is where a part is late but not yet hopeless: one in ten.
const TAIL: f64 = 0.9;
/// Tail latency, as a multiple of the typical one, until enough answers are in; later a lower bound is 1.
const TAIL_START: f64 = 2.5;
/// Weight of one more answer in a moving average: about the last seven count.
const EWMA: f64 = 0.25;
/// A replica this many times slower than its peers counts as busier; below it, noise of the parts.
const SLOW_TOLERATED: f64 = 1.5;
/// A replica this many times slower than its peers is suspect: beyond the spread of sound parts.
const SLOW_SUSPECT: f64 = 4.0;
/// Failed parts still counting as outstanding that make a replica suspect.
const GHOSTS_SUSPECT: f64 = 2.0;
/// A part that failed other than by a full queue counts as so many: one is enough to make a suspect.
const GHOSTS_FAILED: f64 = 3.0;
/// An error that comes within this share of the typical time was no work: it counts as one part, and never
/// alone makes a suspect. What such a server does serve is needed where its peers are full.
const AT_ONCE: f64 = 0.25;
/// Less than this of a failed part is forgotten: dust would lose every tie in a quiet fleet, for good.
const GHOST_LEAST: f64 = 0.25;
/// Slowness seen is capped here, so that its fading takes a bounded time.
const SLOW_MAX: f64 = 12.0;
/// Health evidence halves in this many longest aims without news: then a real part tries again. Where this
/// aggregator seldom hears of a server, it halves in so many of the gaps between two answers instead.
const FORGET_AIMS: f64 = 1.5;
const FORGET_GAPS: f64 = 2.0;
/// Reports fade to the mean of the others over this many typical latencies: the queue has turned over.
const REPORT_FADE: f64 = 4.0;
/// Costs that differ by less than this many parts count as a tie where crossing zones has a price.
const ZONE_TIE: f64 = 1.2;
/// Beyond this share of its cores in use a server's queue can't be told from it.
const USED_MOST: f64 = 0.9;
/// What reports foretold is judged over so many answers; they are believed until they have varied by so much,
/// squared.
const TOLD_ANSWERS: f64 = 1024.0;
const TOLD_FIRST: f64 = 8.0;
/// A report is fresh for this many typical latencies: few rounds of parts have begun since.
const FRESH: f64 = 2.0;
/// A probe is waited for this many times as long as three in four take, and at most this share of the typical
/// latency: the delay must stay small next to what a better choice saves.
const PROBE_PATIENCE: f64 = 2.0;
const PROBE_SHARE: f64 = 0.25;
/// A query looks by probes for sure where the tail takes this share of the shortest aim, or this share of the
/// attempts ends badly; half of that is no need. At least this share looks: so that the times stay known.
const LOOK_TAIL: f64 = 0.6;
const LOOK_BAD: f64 = 0.12;
const LOOK_LEAST: f64 = 0.1;
/// A probe a part that costs more of the result than this never pays: two a part cost more than they gain.
const LOOK_WORTH: f64 = 0.02;
/// Self-imposed extra attempts for each part sent while answers are quick; the share falls to the least as
/// the typical latency nears this share of the shortest aim, for then all are slow and copies make it worse.
const EXTRA_SHARE: f64 = 0.2;
const EXTRA_UNTIL: f64 = 0.4;
const EXTRA_LEAST: f64 = 0.1;
/// And some for light traffic, per window.
const EXTRA_FREE: f64 = 2.0;
/// Share of the stated budget open to copies, and to queries that may be answered from less: the
/// failed parts of the others are lost without.
const UNFORCED_EXTRAS: f64 = 0.5;
/// A further attempt starts when the time left is this many tails: enough for one more, with a margin.
const HEDGE_TAILS: f64 = 2.0;
/// Where no second copy may go out, a silent attempt is given up after so many tails at the soonest: work
/// called off half done is done anew elsewhere, and in slow times that is what makes them slower.
const PATIENT_TAILS: f64 = 6.0;
/// A cold replica gets its ramp's share of this many times what a warm peer serves: all aggregators together
/// then stay near its capacity even where peers are full, as peers serve no more than theirs. Where the
/// settings let it bear little, so many times that: it is one of two drawn among several, and seldom wins
/// each draw.
const COLD_OF_PEER: f64 = 3.0;
const COLD_OF_BORNE: f64 = 1.2;
/// An answer that is late is worked for where it keeps this share of its worth. Below it the same work earns
/// more with queries that are still in time.
const LATE_LEAST: f64 = 0.2;
/// A query is let in where its chance to be in time is this good, or its mean part is predicted to take less
/// than the other share of the aim: then it is not queues that spoil it, and refusing cures nothing.
const CHANCE_LEAST: f64 = 0.4;
const QUEUED_LEAST: f64 = 0.25;
/// Chances are believed as far as those of the queries let in lately came true; so many that did are taken
/// for granted, and this halves over so many longest aims. Below this share predicted times count for
/// nothing, and a chance has to be as good as the last.
const HOPE_PRIOR: f64 = 3.0;
const HOPE_AIMS: f64 = 2.0;
const HOPE_LEAST: f64 = 0.7;
const HOPE_CHANCE: f64 = 0.6;
/// What all parts did counts as this many parts of a shard.
const SHARD_PRIOR: f64 = 4.0;
/// How well parts did against what was expected is forgotten over this many longest aims.
const RATIO_AIMS: f64 = 4.0;
/// Parts of a query share their fate to a degree: n of them count as n to the power of one less this alone.
const SHARED_FATE: f64 = 0.25;
/// Parts predicted to take no more than this share of the aim find hardly a queue: there is room to spare.
const IDLE_MOST: f64 = 0.125;
/// Below this chance a query is turned away in any case: its parts would be work for nothing.
const CHANCE_DOOMED: f64 = 0.02;
/// Times of first tries differ by less than this, the network's delay.
const FIRST_TIME_SAME: f64 = 0.02;
/// Share of recent tries that makes a time common.
const FIRST_TIME_COMMON: f64 = 0.2;
/// The second step is left at most this share of the aim.
const SECOND_MOST: f64 = 0.5;
/// A query of as many parts as this share of the servers sends one ahead, for this share of its aim at most.
const AHEAD_FROM: f64 = 0.5;
const AHEAD_MOST: f64 = 0.3;
/// Share of the most that may be held which is open to queries of no worth.
const OPEN_BASE: f64 = 0.8;
/// Sums of weights may fall this short.
const ROUNDING: f64 = 5e-5;

/// How an attempt ended, how long it took, and the report that came with it.
type End = (Outcome, f64, Option<LoadReport>);

impl Balancer {
    /// A balancer that knows nothing but its settings; those that make no sense are named in the error.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let aims = settings.classes.iter().map(|c| c.latency_objective);
        let longest_aim = aims.clone().fold(0.0, f64::max);
        let shortest_aim = aims.fold(f64::INFINITY, f64::min);
        let typical = TYPICAL_START * shortest_aim;
        Ok(Balancer {
            latencies: Recent::new(SAMPLES),
            probe_times: Recent::new(SAMPLES),
            ratios: Recent::new(2 * SAMPLES),
            units: Recent::new(SAMPLES),
            first_times: vec![Recent::new(SAMPLES); settings.classes.len()],
            quotas: Quotas::new(settings.tenants.iter().map(|t| t.quota_per_s), QUOTA_MOST),
            longest_aim,
            shortest_aim,
            typical,
            tail: typical * TAIL_START,
            probe_time: f64::INFINITY,
            unit: typical,
            watching: !settings.discovery_is_polled,
            ..Balancer::blank(settings, seed)
        })
    }

    /// Tells the module of one event; what is to be done is appended to `actions`, in order. Events about ids
    /// not held are ignored. `now` must not run backwards; if it does, the latest time seen stands.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.now = sane(now, self.now.max(0.0)).max(self.now);
        // Its own timer far overdue: this aggregator stood still; what came meanwhile looks late or silent.
        // What was out then tells nothing of the servers. Harm: after a stall the evidence is a little older.
        if self
            .timer
            .is_some_and(|t| self.now - t > STALL_SWEEPS * SWEEP_TICKS * self.set.timer_granularity.max(1.0))
        {
            self.woke = self.now;
        }
        match event {
            Event::EndpointList { complete, entries } => self.on_list(complete, &entries),
            Event::EndpointListFailed => {
                self.watching = !self.set.discovery_is_polled;
                let wait = self.set.max_poll_interval / 8.0 * (1.0 + self.draw.uniform());
                self.watch_at = self.now + wait;
            }
            Event::Query { query, class, tenant, time_left, is_retry: retry, parts } => {
                self.on_query(query, class, tenant, (time_left, retry), &parts, actions);
            }
            Event::SecondStep { query, parts } => {
                if self.queries.get(&query).is_some_and(|q| q.second && q.parts.is_empty()) {
                    self.add_parts(query, &parts);
                    self.tend(query, actions);
                }
            }
            Event::AttemptEnded { part, attempt, outcome, elapsed: took, report } => {
                self.on_end(part, attempt as usize, (outcome, took, report), actions);
            }
            Event::ClientDisconnected { query } => self.close(query, actions),
            Event::HealthCheckEnded { replica, outcome, elapsed: took, report } => {
                self.on_probed(replica, outcome, took, report);
                for id in std::mem::take(&mut self.waiting) {
                    self.tend(id, actions);
                }
            }
            Event::Timer => {}
        }
        if self.timer.is_none_or(|t| self.now >= t) {
            self.sweep(actions);
            let at = self.now + SWEEP_TICKS * self.set.timer_granularity.max(1.0);
            self.timer = Some(at);
            actions.push(Action::SetTimer { at });
        }
    }

    // ---- The list and slow start ----------------------------------------------------------------------

    fn on_list(&mut self, complete: bool, entries: &[ReplicaEntry]) {
        let first = self.replicas.is_empty();
        self.watching |= self.asked; // the old list known at the start is no subscription
        if complete {
            self.replicas.values_mut().for_each(|r| r.up = false);
        }
        for e in entries {
            let now = self.now;
            let r = self.replicas.entry(e.replica).or_insert_with(Replica::unknown);
            let was_up = r.up;
            r.up = e.state == ReplicaState::Up;
            (r.cell, r.zone) = (e.cell, e.zone);
            r.weight = if e.weight.is_finite() && e.weight > 0.0 { e.weight } else { 1.0 };
            let started = e.started_at.filter(|t| t.is_finite() && *t > 0.0).map(|t| t.min(now));
            // A start that is news wipes what was known of the process before. A server that a change shows
            // for the first time, with no start told, is taken as started now: the list may have lost it.
            let unseen = !complete && !first && !was_up && r.up && started.is_none() && r.started.is_none();
            if started.is_some() && started != r.started || unseen {
                (r.ghosts, r.streak, r.slow, r.probation, r.report) = (0.0, 0.0, 1.0, false, None);
                r.started = if unseen { Some(now) } else { started };
            }
        }
        self.reindex();
    }

    /// What a warm replica is seen to serve for this aggregator. It is remembered for as long as servers take
    /// to get warm: where all warm holders hang or reject, that would keep the cold ones out as well.
    fn note_peers(&mut self, dt: f64) {
        let warm = self.replicas.values().filter(|r| r.up && self.ramp(r) >= 1.0).count() as f64;
        let keep = (-dt / (3.0 * self.longest_aim)).exp();
        if warm > 0.0 && dt > 0.0 {
            self.peer_now = keep * self.peer_now + (1.0 - keep) * self.warm_oks / warm / dt;
            self.peer_rate =
                self.peer_now.max(self.peer_rate * (-dt / self.set.slow_start_window.max(1.0)).exp());
        }
        self.warm_oks = 0.0;
    }

    /// May a replica be drawn now? A warm one may; a cold one by chance, as often as its ramp's share of what
    /// a warm peer serves comes to since the last chance. Uneven aggregators, few or many, so send a share of
    /// one peer's capacity together: nothing is saved up, and nobody waits for a whole part's worth.
    fn open(&mut self, id: ReplicaId) -> bool {
        let r = &self.replicas[&id];
        let ramp = self.ramp(r);
        if ramp >= 1.0 {
            return true;
        }
        let times = COLD_OF_PEER.min(COLD_OF_BORNE * self.set.overload_factor);
        let rate = times * ramp * self.peer_rate * (r.weight / self.mean_weight).min(1.0);
        let since = r.began().map_or(r.chance_at, |t| t.max(r.chance_at));
        let chance = rate * (self.now - since).min(self.longest_aim);
        if let Some(r) = self.replicas.get_mut(&id) {
            r.chance_at = self.now;
        }
        self.draw.uniform() < chance
    }

    // ---- Pick -----------------------------------------------------------------------------------------

    /// Busyness: own calls out, parts that failed lately, and the reported queue, fading with its age to the
    /// mean of the others, so that a frozen or false report cannot rule for long; it counts as far as reports
    /// have foretold lately how long answers take.
    fn busy(&self, id: ReplicaId) -> f64 {
        let Some(r) = self.replicas.get(&id) else { return 0.0 };
        r.calls.len() as f64 + self.faded(r).0 + self.trust() * self.reported(r)
    }

    fn reported(&self, r: &Replica) -> f64 {
        let mean = self.reports.without(r.report.filter(|_| r.up).map(|r| r.0));
        r.report.map_or(mean, |(v, at)| {
            mean + (v - mean) * (-(self.now - at) / (REPORT_FADE * self.typical)).exp()
        })
    }

    /// How far reports are believed: as far as answers took longer where more was told, part for part. Stops
    /// reports that are older than the work they count, which come in fresh and tell a queue that has gone.
    fn trust(&self) -> f64 {
        self.foretold.slope(TOLD_FIRST).clamp(0.0, 1.0)
    }

    fn cost(&self, id: ReplicaId) -> f64 {
        let Some(r) = self.replicas.get(&id) else { return f64::INFINITY };
        let slow = (self.slowness(r) / SLOW_TOLERATED).max(1.0);
        (self.busy(id) + 1.0) * slow * self.mean_weight / r.weight
    }

    /// Two distinct draws, the less busy wins. Where probes tell, the two drawn are asked first, unless their
    /// reports are fresh; until they have told, or have been silent for too long, there is no choice yet.
    /// Among many servers a report found by rotation is too old. Harm: the wait, and the probes' price.
    fn pick(&mut self, part: PartId, actions: &mut Vec<Action>) -> Option<ReplicaId> {
        let p = self.parts.get(&part)?;
        let query = p.query;
        let up = |id: ReplicaId| self.replicas.get(&id).is_some_and(|r| r.up);
        let told = p.drawn.filter(|(a, b)| up(*a) && up(*b));
        let (a, b) = match told {
            Some(drawn) => drawn,
            None => {
                let drawn = self.draw_two(part, actions)?;
                if self.queries.get(&query).is_some_and(|q| q.looks) {
                    self.probe(drawn.0, actions);
                    self.probe(drawn.1, actions);
                }
                self.parts.get_mut(&part)?.drawn = Some(drawn);
                drawn
            }
        };
        if self.asked_now(a) || self.asked_now(b) {
            if !self.waiting.contains(&query) {
                self.waiting.push(query);
            }
            return None;
        }
        self.parts.get_mut(&part)?.drawn = None;
        Some(self.less_busy(a, b))
    }

    /// Is a probe out to it that may yet come in time?
    fn asked_now(&self, id: ReplicaId) -> bool {
        self.replicas.get(&id).is_some_and(|r| r.probing && self.now - r.probed_at < self.patience())
    }

    fn patience(&self) -> f64 {
        let most = PROBE_SHARE * self.typical;
        (PROBE_PATIENCE * self.probe_time)
            .clamp(2.0 * self.set.timer_granularity, most.max(2.0 * self.set.timer_granularity))
    }

    /// Exceptions to drawing among all holders: those tried before by this part and cold ones out of luck
    /// are not drawn; a sound holder, if any is left, is one of the two drawn. Both are the same if only one
    /// is left.
    fn draw_two(&mut self, part: PartId, actions: &mut Vec<Action>) -> Option<(ReplicaId, ReplicaId)> {
        let p = self.parts.get(&part)?;
        let idle = |id: &ReplicaId| !p.live().any(|a| a.replica == *id);
        let holders: Vec<ReplicaId> = self.holders(p.shard).into_iter().filter(idle).collect();
        let mut all: Vec<ReplicaId> = holders.iter().copied().filter(|id| self.open(*id)).collect();
        if all.is_empty() {
            let told = |id: &ReplicaId| self.ramp_from(self.replicas[id].started) < 1.0;
            all = holders.into_iter().filter(|id| !told(id) && self.replicas[id].calls.is_empty()).collect();
        }
        let p = self.parts.get(&part)?;
        let fresh: Vec<ReplicaId> = all.iter().copied().filter(|id| !p.tried(*id)).collect();
        // Tried ones only after a typical time: a full holder beside cold ones would use up all attempts.
        if fresh.is_empty() && p.attempts.last().is_some_and(|a| self.now < a.sent + self.typical) {
            return None;
        }
        let mut pool = if fresh.is_empty() { all } else { fresh };
        let sound: Vec<ReplicaId> =
            pool.iter().copied().filter(|id| !self.suspect(&self.replicas[id])).collect();
        if sound.is_empty() && pool.len() > 1 {
            actions.push(Action::Log(LogEvent::AllHoldersOutliers { shard: p.shard }));
        }
        if sound.len() >= 2 {
            pool = sound.clone();
        }
        let i = match sound.as_slice() {
            [only] => pool.iter().position(|id| id == only)?,
            _ if pool.is_empty() => return None,
            _ => self.draw.below(pool.len()),
        };
        let j = self.draw.other(i, pool.len());
        Some((pool[i], pool[j]))
    }

    /// A suspect loses by its busyness alone. Stops the herd: a lone sound holder that won every draw took
    /// the parts of its whole set, was slow next, and handed the herd on.
    fn less_busy(&mut self, a: ReplicaId, b: ReplicaId) -> ReplicaId {
        let (ca, cb) = (self.cost(a), self.cost(b));
        if self.set.cross_zone_cost > 0.0 && (ca - cb).abs() < ZONE_TIE {
            let home = |id: ReplicaId| self.replicas[&id].zone == self.set.zone;
            if home(a) != home(b) {
                return if home(a) { a } else { b };
            }
        }
        // A probe that is overdue decides ties alone: else one lost probe would move a set's whole load.
        let overdue = |id: ReplicaId| {
            let r = &self.replicas[&id];
            r.probing && self.now - r.probed_at.max(self.woke) >= self.patience()
        };
        let (late_a, late_b) = (overdue(a), overdue(b));
        let coin = self.draw.below(2) == 0;
        let tie = if late_a == late_b { coin } else { late_b };
        if ca < cb || ca == cb && tie { a } else { b }
    }

    // ---- Attempts and hedges --------------------------------------------------------------------------

    fn send(&mut self, part: PartId, replica: ReplicaId, actions: &mut Vec<Action>) {
        let busy = self.busy(replica);
        let told = self.replicas.get(&replica).map_or(0.0, |r| self.reported(r));
        let Some(p) = self.parts.get_mut(&part) else { return };
        let Some(q) = self.queries.get(&p.query) else { return };
        let Some(r) = self.replicas.get_mut(&replica) else { return };
        let call = r.book(self.now, self.set.parts_per_call.max(1));
        // Without second copies a silent replica is left only by a time-out; with them none is needed, and
        // overdue work is dropped where the site does so.
        let left = (q.end_at - self.now).max(self.set.timer_granularity);
        let again = q.max_attempts.saturating_sub(p.attempts.len() as u32 + 1);
        let repeats = q.class.idempotency != Idempotency::NotIdempotent && again > 0;
        // What is typical must be known: patience with a silent server at the start would be for nothing.
        let patient = if self.latencies.len() < ENOUGH { 0.0 } else { self.tail * PATIENT_TAILS };
        let timeout = match q.second_copies || !repeats {
            true => left,
            false => left.min((left / f64::from(again + 1)).max(patient)),
        };
        match p.attempts.is_empty() {
            true => self.sent.add(self.now, 1),
            false => self.extras.add(self.now, 1),
        }
        let by = p.repeats_until(q.class.idempotency, self.set.timer_granularity);
        p.attempts.push(Attempt { replica, sent: self.now, call, busy, told, end: None, worked: true });
        actions.push(Action::Send { part, replica, timeout, send_by: by });
    }

    /// May this part have another attempt, by its class's effect and the limits?
    fn may_send(&self, p: &Part) -> bool {
        let Some(q) = self.queries.get(&p.query) else { return false };
        if p.over || p.ok || p.attempts.len() >= q.max_attempts.max(1) as usize {
            return false;
        }
        let out = p.live().count();
        if out > 1 || out == 1 && !q.second_copies {
            return false;
        }
        let once = q.class.idempotency == Idempotency::NotIdempotent && p.maybe_ran().is_some();
        !once
            && p.repeats_until(q.class.idempotency, self.set.timer_granularity).is_none_or(|by| self.now < by)
    }

    /// Is an extra attempt within the budget, stated and self-imposed? The window is counted a tick safe
    /// at both ends. Stops storms: when all is slow every part is late, and copies would add to it. A part
    /// that has been worked on nowhere so far is no more than a first one: only the stated budget binds it.
    fn may_extra(&self, free: bool, most: f64) -> bool {
        let room = 1.0 - self.typical / (EXTRA_UNTIL * self.shortest_aim);
        let share = EXTRA_SHARE * room.max(EXTRA_LEAST);
        let own = RetryBudget { free_attempts: EXTRA_FREE, share, window: self.longest_aim };
        let (own, stated) = (Some(own).filter(|_| !free), self.set.retry_budget);
        [(own, &self.sent, 1.0), (stated, &self.taken, most)].into_iter().all(|(b, base, most)| {
            let Some(b) = b else { return true };
            let since = self.now - b.window;
            let made = self.extras.since(since - self.set.timer_granularity) + 1.0;
            made <= most * (b.free_attempts + b.share * base.since(since + self.set.timer_granularity))
        })
    }

    /// Is a part out for so long that another attempt is due? Not before the tail of the latencies seen, and
    /// only when the time left to the aim gets short for another attempt: early copies are work wasted, late
    /// ones worthless.
    fn late(&self, p: &Part, q: &Query, held: bool) -> bool {
        let Some(last) = p.live().last() else { return false };
        let age = self.now - last.sent.max(self.woke);
        let left = if self.now < q.aim_at { q.aim_at - self.now } else { q.end_at - self.now };
        age >= self.tail && (held || left <= HEDGE_TAILS * self.tail)
    }

    /// Has a part that is late a holder left that is not slow itself? Stops copies where all holders of a
    /// shard are full, as under a hot key: there they keep the queues past every time-out. Harm: a part at a
    /// bad holder whose peers were slow a short while ago waits for it.
    fn elsewhere(&self, p: &Part) -> bool {
        self.holders(p.shard).iter().filter(|id| !p.tried(**id)).any(|id| {
            let r = &self.replicas[id];
            !self.suspect(r) && self.slowness(r) <= SLOW_TOLERATED
        })
    }

    /// Looks after one query: answers it, ends it, or sends what it needs.
    fn tend(&mut self, id: QueryId, actions: &mut Vec<Action>) {
        let Some(q) = self.queries.get(&id) else { return };
        if q.second && q.parts.is_empty() {
            if self.now >= q.end_at {
                self.finish(id, actions);
            }
            return;
        }
        let class = &q.class;
        let need = if q.second { 1.0 } else { class.complete_coverage } - ROUNDING;
        let floor = class.minimum_coverage.min(need + ROUNDING) - ROUNDING;
        let (mut ok, mut possible, mut firm, mut out) = (0.0, 0.0, 0.0, 0);
        let (mut unsent, mut failed, mut overdue) = (Vec::new(), Vec::new(), Vec::new());
        for pid in &q.parts {
            let Some(p) = self.parts.get(pid) else { continue };
            let live = p.live().count();
            if p.ok {
                ok += p.weight;
            } else if live > 0 {
                out += 1;
                if live < 2 && self.late(p, q, need < 1.0 - 2.0 * ROUNDING) && self.elsewhere(p) {
                    overdue.push(*pid);
                } else {
                    firm += p.weight;
                }
            } else if p.attempts.is_empty() {
                unsent.push(*pid);
            } else if self.may_send(p) {
                failed.push(*pid);
            } else {
                continue;
            }
            possible += p.weight;
        }
        let enough = ok >= need || ok >= floor && possible < need && out == 0;
        let partial_due = floor + ROUNDING < need
            && ok >= floor
            && self.now + 2.0 * self.set.timer_granularity + self.second_time(class, q.second) >= q.aim_at
            && class.partial_value_factor * ok / need >= class.late_value_factor;
        if enough || partial_due || possible < floor || self.now >= q.end_at {
            return self.finish(id, actions);
        }
        let mut order: Vec<(f64, PartId)> = Vec::new();
        for pid in unsent {
            let shard = self.parts[&pid].shard;
            order.push((self.expect(shard) / self.unit + self.draw.uniform(), pid));
        }
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        // A query that asks most servers sends one part ahead, the others once it is in. Stops queries that
        // kill whoever begins a part from felling the fleet at once; covers bad data and releases. Harm: that
        // part's time, bounded by a share of the aim; so not for queries that only a few servers notice.
        let wide = q.parts.len() as f64 >= AHEAD_FROM * self.replicas.len() as f64;
        let ahead = wide
            && !q.second
            && ok == 0.0
            && q.aim_at - self.now > (1.0 - AHEAD_MOST) * class.latency_objective;
        let resets = |p: &&PartId| self.parts[*p].attempts.iter().any(|a| a.end == Some(Outcome::Reset));
        if ahead && failed.len() > 1 && q.parts.iter().filter(resets).count() > 1 {
            return self.finish(id, actions);
        }
        let mut have = ok + firm;
        for (_, pid) in order {
            if have >= need || ahead && have > 0.0 {
                break;
            }
            have += self.ask(pid, actions);
        }
        for pid in failed.into_iter().chain(overdue) {
            if have >= need {
                return;
            }
            let p = &self.parts[&pid];
            let (idle, weight) = (p.live().next().is_none(), p.weight);
            let most = if idle && floor + ROUNDING >= need { 1.0 } else { UNFORCED_EXTRAS };
            if self.may_send(p) && self.may_extra(!p.worked(), most) {
                have += self.ask(pid, actions);
            } else if idle && possible - weight < floor && !self.may_extra(true, 1.0) {
                // Out of budget for a part it cannot do without: the client, told now, may still be in time.
                return self.finish(id, actions);
            }
        }
    }

    /// Sends a part where the draw says, now or when probes have told; the weight that is now on its way.
    fn ask(&mut self, part: PartId, actions: &mut Vec<Action>) -> f64 {
        let Some(r) = self.pick(part, actions) else {
            let p = &self.parts[&part];
            return if p.drawn.is_some() { p.weight } else { 0.0 };
        };
        // By now probes have told: with a part that no holder can serve in time the rest is work for nothing.
        // Stops waste at shards with one full holder left. Harm: a report of too much, until it fades.
        let (query, shard) = (self.parts[&part].query, self.parts[&part].shard);
        let q = &self.queries[&query];
        let class = &q.class;
        if class.minimum_coverage < class.complete_coverage - ROUNDING {
            if self.against_others(shard) < CHANCE_LEAST {
                return 0.0; // the others may still make an answer
            }
        } else if self.told((q.end_at - self.now) / self.expect(shard)) < CHANCE_DOOMED {
            self.finish(query, actions);
            return f64::INFINITY;
        }
        self.send(part, r, actions);
        self.parts[&part].weight
    }

    /// Time to leave for a class's second step: a first answer too late to go on earns nothing.
    fn second_time(&self, class: &Class, begun: bool) -> f64 {
        let needed = if class.second_step_parts > 0 && !begun { HEDGE_TAILS * self.tail } else { 0.0 };
        needed.min(SECOND_MOST * class.latency_objective)
    }

    fn on_end(&mut self, id: PartId, attempt: usize, end: End, actions: &mut Vec<Action>) {
        let (outcome, took, report) = end;
        let at_once = self.at_once;
        let Some(p) = self.parts.get_mut(&id) else { return };
        let Some(a) = p.attempts.get_mut(attempt).filter(|a| a.end.is_none()) else { return };
        a.end = Some(outcome);
        let (replica, call, clean) = (a.replica, a.call, a.sent >= self.woke);
        let (busy, told) = (a.busy, a.told);
        let took = sane(took, self.now - a.sent).max(0.0);
        a.worked = !never_ran(outcome) && (outcome != Outcome::Error || took >= at_once);
        let (query, over, shard) = (p.query, p.over, p.shard);
        let came = outcome == Outcome::Ok && !over && !p.ok;
        if came {
            p.ok = true;
            let first = p.attempts[0].sent;
            if first >= self.woke {
                self.ratios.push((self.now - first) / p.expected);
            }
        }
        let done = over && p.live().next().is_none();
        let answered = p.ok;
        let own = self.replicas.get_mut(&replica).map_or(0, |r| r.unbook(call)) as f64;
        self.judge(replica, outcome, took, busy, clean);
        if clean && told != 0.0 && outcome == Outcome::Ok {
            let longer = took / self.unit - busy - 1.0 + self.trust() * told;
            self.foretold.add(told, longer.clamp(-SLOW_MAX, SLOW_MAX), TOLD_ANSWERS);
        }
        if came {
            self.record(shard, self.queries.get(&query).is_some_and(|q| self.now <= q.aim_at));
        }
        self.note_report(replica, report, own, 0.0);
        if done {
            self.parts.remove(&id);
        }
        if answered {
            self.cancel(id, actions);
        }
        self.tend(query, actions);
    }

    /// Cancels what is still out of a part, where that is allowed.
    fn cancel(&self, id: PartId, actions: &mut Vec<Action>) {
        let Some(p) = self.parts.get(&id).filter(|_| self.set.cancellation_allowed) else { return };
        let out = p.attempts.iter().zip(0u32..).filter(|(a, _)| a.end.is_none());
        actions.extend(out.map(|(_, attempt)| Action::Cancel { part: id, attempt }));
    }

    // ---- Health ---------------------------------------------------------------------------------------

    /// Ghosts and slowness as they stand now: both fade without news.
    fn faded(&self, r: &Replica) -> (f64, f64) {
        let gap = FORGET_GAPS / self.peer_rate.max(f64::MIN_POSITIVE);
        let half = gap.clamp(FORGET_AIMS * self.longest_aim, 4.0 * FORGET_AIMS * self.longest_aim);
        let k = (-(self.now - r.health_at).max(0.0) / half).exp2();
        let ghosts = r.ghosts * k;
        (if ghosts < GHOST_LEAST { 0.0 } else { ghosts }, 1.0 + (r.slow - 1.0) * k)
    }

    /// A replica with its evidence faded to now.
    fn refreshed(&mut self, id: ReplicaId) -> Option<&mut Replica> {
        let (ghosts, slow) = self.faded(self.replicas.get(&id)?);
        let r = self.replicas.get_mut(&id)?;
        (r.ghosts, r.slow, r.health_at) = (ghosts, slow, self.now);
        Some(r)
    }

    /// How many times slower than its peers a replica is, by what it answered and by how long it has been
    /// silent with parts out; one lost part among answers is no silence. The measure is the median of all
    /// recent answers: when all are slow, none is.
    fn slowness(&self, r: &Replica) -> f64 {
        let oldest = r.calls.values().next().map_or(0.0, |c| self.now - c.0.max(r.ok_at).max(self.woke));
        self.faded(r).1.max((oldest / self.typical).min(SLOW_MAX))
    }

    /// Suspects are silent, slow, failing, or were so and have one trial part out. Stops a shard's parts from
    /// going to two bad holders of three; covers hangs, stalls, slow and failing servers, lost machines.
    /// Harm: a sound server left out for a while; it returns as the evidence fades.
    fn suspect(&self, r: &Replica) -> bool {
        self.slowness(r) > SLOW_SUSPECT
            || self.faded(r).0 > GHOSTS_SUSPECT
            || r.probation && !r.calls.is_empty()
    }

    /// Takes the evidence of one attempt. A failed one counts as outstanding for a while more, longer in
    /// a row: an instant failer keeps nothing out and would win every draw.
    fn judge(&mut self, id: ReplicaId, outcome: Outcome, took: f64, busy: f64, clean: bool) {
        let Some(warm) = self.replicas.get(&id).map(|r| self.ramp(r) >= 1.0) else { return };
        let (now, ratio) = (self.now, (took / self.typical).min(SLOW_MAX));
        if outcome != Outcome::NotSent {
            let bad = outcome != Outcome::Ok || ratio > SLOW_SUSPECT;
            self.bad += (f64::from(u8::from(bad)) - self.bad) / SAMPLES as f64;
        }
        let (typical, at_once) = (self.typical, self.at_once);
        let Some(r) = self.refreshed(id) else { return };
        match outcome {
            Outcome::Ok => {
                r.ok_at = now;
                r.streak = (r.streak / 2.0).floor();
                r.probation &= ratio > SLOW_SUSPECT;
                if clean {
                    r.slow += EWMA * (ratio - r.slow);
                    self.units.push(took / (busy + 1.0));
                    self.latencies.push(took);
                }
                self.warm_oks += f64::from(u8::from(warm));
            }
            Outcome::Cancelled | Outcome::Timeout if !clean => {}
            Outcome::Cancelled | Outcome::Timeout => {
                r.slow = r.slow.max(ratio.min((now - r.ok_at) / typical));
            }
            Outcome::NotSent => {}
            Outcome::Error | Outcome::Rejected | Outcome::ConnectFailed | Outcome::Reset => {
                // No connection twice over: the process is gone and comes back cold, seconds before any list
                // tells. Stops a burst onto it; covers crashes, lost machines and zones, restart loops.
                // Harm: after a mere network fault a sound replica warms up again. Never the reason that
                // nobody is left to ask (see `pick`).
                let gone = matches!(outcome, Outcome::ConnectFailed | Outcome::Reset);
                if gone && r.streak >= 1.0 {
                    r.lost_at = Some(now);
                }
                if outcome == Outcome::Error && took < at_once {
                    r.ghosts = r.ghosts.max((r.ghosts + 1.0).min(GHOSTS_SUSPECT));
                    return;
                }
                r.streak = (r.streak + 1.0).min(SLOW_MAX);
                let each = if outcome == Outcome::Rejected { 1.0 } else { GHOSTS_FAILED };
                r.ghosts = (r.ghosts + each * r.streak).min(SLOW_MAX);
            }
        }
    }

    fn note_report(&mut self, id: ReplicaId, report: Option<LoadReport>, own: f64, least: f64) {
        let Some(r) = self.replicas.get_mut(&id) else { return };
        let Some(report) = report else { return };
        let sense = |v: &f64| v.is_finite() && *v >= 0.0;
        let others = report.inflight.filter(sense).map(|v| v - own);
        // Where no queue is told the use of cores stands in, by what waits at random arrivals.
        let used = report.utilization.filter(sense).map(|u| u / (1.0 - u.min(USED_MOST)));
        if let Some(v) = report.queue.filter(sense).or(others).or(used) {
            let v = v.max(least);
            if r.up {
                self.reports.change(r.report.map(|r| r.0), v);
            }
            r.report = Some((v, self.now));
        }
    }

    // ---- Answers and admission ------------------------------------------------------------------------

    fn add_parts(&mut self, query: QueryId, specs: &[PartSpec]) {
        self.taken.add(self.now, specs.len());
        for s in specs {
            let part = Part::new(query, s.shard, sane(s.weight, 0.0).max(0.0), self.expect(s.shard));
            if let Some(q) = self.queries.get_mut(&query)
                && !self.parts.contains_key(&s.part)
            {
                q.parts.push(s.part);
                self.parts.insert(s.part, part);
                self.open += 1;
            }
        }
    }

    /// Worth of a query per part, against the best class; a tenant's traffic over its share is worth little.
    fn worth(&mut self, class: usize, tenant: Option<usize>, parts: usize) -> f64 {
        let work = if self.set.weight_by_work { 1.0 } else { parts.max(1) as f64 };
        let density = self.set.classes[class].priority_weight / work;
        let old = self.density[class];
        let own = if old == 0.0 { density } else { old + EWMA * (density - old) };
        self.density[class] = own;
        let best = self.density.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
        // How much of a tenant's traffic comes to this aggregator is not known: proportions are judged.
        let over = tenant.is_some_and(|t| !self.quotas.take(t));
        (own / best).min(1.0) * if over { self.set.over_quota_weight } else { 1.0 }
    }

    fn on_query(
        &mut self,
        id: QueryId,
        class: usize,
        tenant: Option<usize>,
        (time_left, retry): (f64, bool),
        specs: &[PartSpec],
        actions: &mut Vec<Action>,
    ) {
        if self.queries.contains_key(&id) {
            return;
        }
        self.taken.add(self.now, 1);
        let Some(c) = self.set.classes.get(class) else {
            return actions.push(Action::Fail { query: id });
        };
        let hints: f64 = specs.iter().filter_map(|s| s.cost_hint).filter(|h| h.is_finite()).sum();
        let left = sane(time_left, c.deadline).clamp(0.0, c.deadline);
        let last = self.now + left - (SWEEP_TICKS + 1.0) * self.set.timer_granularity.max(1.0);
        let aim = c.latency_objective + c.objective_stretch * hints.max(0.0);
        let aim = aim - self.waited(class, (left, retry), aim, specs);
        let c = &self.set.classes[class];
        let late = aim < self.typical;
        let late_value = if late { c.late_value_factor } else { 1.0 };
        let aim_at = (self.now + aim).min(last);
        let end_at = if c.late_value_factor >= LATE_LEAST { last } else { aim_at };
        let urge = (self.tail / (LOOK_TAIL * self.shortest_aim)).max(self.bad / LOOK_BAD);
        let pays = self.set.health_check_cost <= LOOK_WORTH;
        let looks = pays && self.draw.uniform() < (2.0 * urge - 1.0).max(LOOK_LEAST);
        let copies = self.set.hedging_allowed;
        let query = Query::new(*c, (self.set.max_attempts, copies), looks, (aim_at, end_at));
        self.queries.insert(id, query);
        self.open += 1;
        self.add_parts(id, specs);
        let worth = self.worth(class, tenant, specs.len()) * late_value;
        let aim = if late { self.set.classes[class].latency_objective } else { aim };
        let time = aim.min(last - self.now) - self.second_time(&self.set.classes[class], false);
        let (predicted, chance) = self.outlook(id, class, time);
        let crowded =
            self.open as f64 > f64::from(self.set.max_in_flight) * (OPEN_BASE + (1.0 - OPEN_BASE) * worth);
        let believed = self.believed();
        let least = match predicted > QUEUED_LEAST * aim {
            _ if believed < HOPE_LEAST => HOPE_CHANCE,
            true => CHANCE_LEAST,
            false => CHANCE_DOOMED,
        };
        let shed = crowded || believed * chance * worth.cbrt() < least;
        if shed {
            self.shed_at = self.now;
            if !std::mem::replace(&mut self.shedding, true) {
                actions.push(Action::Log(LogEvent::LoadSheddingStarted { class }));
            }
        }
        if shed || late_value == 0.0 || specs.is_empty() {
            return self.finish(id, actions);
        }
        if !late && let Some(q) = self.queries.get_mut(&id) {
            q.hope = chance;
        }
        self.tend(id, actions);
    }

    /// How far the chances of queries came true lately, of those that cost work. Stops a mixer that hears
    /// little of each server from letting in what the fullest cannot take: queries tell of all at once.
    /// Harm: once the trouble is over some are turned away until others have come in time.
    fn believed(&self) -> f64 {
        self.hopes.share(self.now, HOPE_AIMS * self.longest_aim, 1.0, HOPE_PRIOR).min(1.0)
    }

    /// Mean latency expected of the parts needed, the quickest ones, and the share of the worth likely to be
    /// earned in time: all of it by the chance that all are in, or what an answer from less would bring.
    fn outlook(&self, id: QueryId, class: usize, aim: f64) -> (f64, f64) {
        let Class {
            complete_coverage: need,
            minimum_coverage: floor,
            partial_value_factor: partial_value,
            ..
        } = self.set.classes[class];
        let parts = self.queries[&id].parts.iter().map(|p| &self.parts[p]);
        let mut parts: Vec<(f64, f64, u32)> = parts.map(|p| (p.expected, p.weight, p.shard)).collect();
        parts.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (mut sum, mut mean, mut share, mut chance, mut n) = (0.0, 0.0, 0.0, 1.0, 0.0f64);
        for (latency, weight, shard) in parts {
            if sum >= need - ROUNDING {
                break;
            }
            (sum, mean, n) = (sum + weight, mean + weight * latency, n + 1.0);
            let told = if latency.is_finite() { self.chance(shard, aim / latency) } else { 0.0 };
            (share, chance) = (share + weight * told / need, chance * told);
        }
        let whole = chance.powf(n.max(1.0).powf(-SHARED_FATE));
        let partial = if floor < need && share * need >= floor { partial_value * share } else { 0.0 };
        (mean / need, whole.max(partial))
    }

    /// The chance of a part at a shard to be in within so many times what it is expected to take: by what all
    /// parts took lately, and by how those of this shard did against the others'.
    fn chance(&self, shard: u32, room: f64) -> f64 {
        (self.told(room) * self.against_others(shard)).min(1.0)
    }

    /// The share of recent parts within so many times what was expected; all while too few are known.
    fn told(&self, room: f64) -> f64 {
        if self.ratios.len() < ENOUGH { 1.0 } else { self.ratios.below(room) }
    }

    /// How many times as often parts of a shard were in time lately as those of all shards. Stops one shard's
    /// trouble, a popular key or lost holders, from being tried on and on, and from being held against those
    /// that need other shards. Harm: a shard that has just recovered is tried less for about one aim.
    fn against_others(&self, shard: u32) -> f64 {
        let share = |t: &Tally, expected| t.share(self.now, self.longest_aim, expected, SHARD_PRIOR);
        let all = share(&self.all_shards, 1.0);
        self.shards.get(&shard).map_or(1.0, |t| share(t, all) / all)
    }

    fn record(&mut self, shard: u32, in_time: bool) {
        let (half, good) = (self.longest_aim, f64::from(u8::from(in_time)));
        self.shards.entry(shard).or_default().add(self.now, half, 1.0, good);
        self.all_shards.add(self.now, half, 1.0, good);
    }

    /// How long the client has waited in earlier tries. First tries have a time in common, cut from the
    /// deadline; a repeat with an uncommon, shorter one has used up the rest of the deadline.
    /// Stops work for answers nobody values any more, the core of a retry storm. Harm: clients that share no
    /// first time and mark no repeats; a time counts as a first one as soon as some of them share it, and
    /// where there is room to spare it is served as a first one (incident ic4638c: impatient clients).
    fn waited(&mut self, class: usize, (left, retry): (f64, bool), aim: f64, specs: &[PartSpec]) -> f64 {
        let times = &mut self.first_times[class];
        let near = times.near(left, FIRST_TIME_SAME * left) as f64;
        let common = times.len() < ENOUGH || near >= FIRST_TIME_COMMON * times.len() as f64;
        if !(self.set.clients_mark_retries && retry) {
            times.push(left);
        }
        let expected = || specs.iter().map(|s| self.expect(s.shard)).sum::<f64>();
        let room = || expected() <= IDLE_MOST * aim * specs.len() as f64;
        let first = common || !retry && (self.set.clients_mark_retries || room());
        if first { 0.0 } else { (self.set.classes[class].deadline - left).max(0.0) }
    }

    /// Expected latency of a part at the least busy holder of its shard; infinite with no holder.
    fn expect(&self, shard: u32) -> f64 {
        let costs = self.holders(shard).into_iter().map(|id| self.cost(id));
        self.unit * costs.fold(f64::INFINITY, f64::min)
    }

    /// Ends a query: with an answer if one may be given, else turned away where that is honest, else failed.
    fn finish(&mut self, id: QueryId, actions: &mut Vec<Action>) {
        let Some(q) = self.queries.get(&id) else { return };
        let class = &q.class;
        let parts = || q.parts.iter().filter_map(|p| self.parts.get(p));
        let ok: f64 = parts().filter(|p| p.ok).map(|p| p.weight).sum();
        let waiting = q.second && q.parts.is_empty();
        let all = parts().all(|p| p.ok);
        let whole = if q.second { all && q.first_whole } else { ok >= class.complete_coverage - ROUNDING };
        let floor = if q.second && class.minimum_coverage >= class.complete_coverage {
            1.0
        } else {
            class.minimum_coverage
        };
        let answered =
            !q.parts.is_empty() && ok >= floor.max(ROUNDING * 4.0) - ROUNDING && parts().any(|p| p.ok);
        // Who was turned away unseen by all has cost nothing.
        if q.hope > 0.0 && parts().any(Part::worked) {
            let worth = if whole { 1.0 } else { class.partial_value_factor * ok / class.complete_coverage };
            let came = if answered && self.now <= q.aim_at { worth } else { 0.0 };
            self.hopes.add(self.now, HOPE_AIMS * self.longest_aim, q.hope, came);
        }
        if answered {
            actions.push(Action::Answer { query: id, complete: whole });
            if !q.second && class.second_step_parts > 0 {
                let Some(q) = self.queries.get_mut(&id) else { return };
                (q.second, q.first_whole, q.hope) = (true, whole, 0.0);
                let parts = std::mem::take(&mut q.parts);
                return self.release(&parts, actions);
            }
        } else {
            let ran = waiting || q.second || parts().any(|p| p.maybe_ran().is_some());
            if class.idempotency == Idempotency::Idempotent || !ran {
                // Who had bad luck may still be in time; who is turned away for load comes back late.
                let late = self.shedding || self.now + self.typical > q.aim_at;
                let wait = if late { f64::INFINITY } else { self.typical };
                let retry_after = self.set.max_retry_after.map(|most| most.min(wait));
                actions.push(Action::Reject { query: id, retry_after });
            } else {
                actions.push(Action::Fail { query: id });
            }
        }
        self.close(id, actions);
    }

    fn close(&mut self, id: QueryId, actions: &mut Vec<Action>) {
        let Some(q) = self.queries.remove(&id) else { return };
        self.open = self.open.saturating_sub(1);
        self.release(&q.parts, actions);
    }

    /// Lets go of parts; what is still out is cancelled where allowed and remembered until its end is told.
    fn release(&mut self, parts: &[PartId], actions: &mut Vec<Action>) {
        for id in parts {
            self.open = self.open.saturating_sub(1);
            self.cancel(*id, actions);
            let Some(p) = self.parts.get_mut(id) else { continue };
            let shard = p.shard;
            let missed =
                p.attempts.first().filter(|_| !p.ok && !p.over).map(|a| a.sent).filter(|t| *t >= self.woke);
            if let Some(sent) = missed {
                // A part not in by now is taken to need as long again.
                self.ratios.push(2.0 * (self.now - sent) / p.expected);
            }
            p.over = true;
            if p.live().next().is_none() {
                self.parts.remove(id);
            }
            if missed.is_some() {
                self.record(shard, false);
            }
        }
    }

    // ---- Probes and timers ----------------------------------------------------------------------------

    fn on_probed(&mut self, id: ReplicaId, outcome: Outcome, took: f64, report: Option<LoadReport>) {
        let Some(r) = self.replicas.get_mut(&id) else { return };
        r.probing = false;
        self.probe_times.push(sane(took, 0.0));
        let own = r.probe_own;
        if outcome == Outcome::Ok {
            // A probe waits as a part does, so its time tells at least so long a queue. Stops servers that
            // report less than they hold from winning the draw; covers frozen reports and stalls.
            let least = ((took - self.probe_time / PROBE_PATIENCE) / self.unit).clamp(0.0, SLOW_MAX);
            self.note_report(id, report, own, least);
        } else {
            // A probe that found nobody counts as a part out, no more: probes can be turned away when busy.
            let Some(r) = self.refreshed(id) else { return };
            r.ghosts = (r.ghosts + 1.0).min(GHOSTS_SUSPECT);
        }
    }

    fn sweep(&mut self, actions: &mut Vec<Action>) {
        let dt = self.now - self.swept;
        self.swept = self.now;
        if self.latencies.len() >= ENOUGH {
            self.typical = self.latencies.quantile(0.5).max(self.set.timer_granularity);
            self.at_once = AT_ONCE * self.typical;
            self.tail = self.latencies.quantile(TAIL).max(self.typical);
            self.unit = self.units.quantile(0.5).max(self.set.timer_granularity);
        }
        if self.probe_times.len() >= ENOUGH {
            self.probe_time = self.probe_times.quantile(0.75);
        }
        self.note_peers(dt);
        // Who turns all away learns nothing new: old evidence goes, and a trial gets in (incident i03dc30).
        if self.draw.uniform() < dt * 2.0 * SAMPLES as f64 / (RATIO_AIMS * self.longest_aim) {
            self.ratios.forget_one();
        }
        if self.shedding && self.now - self.shed_at > self.longest_aim {
            self.shedding = false;
            actions.push(Action::Log(LogEvent::LoadSheddingStopped));
        }
        let budget = self.set.retry_budget.map_or(0.0, |b| b.window);
        let horizon = self.now - budget.max(self.longest_aim) - 4.0 * self.set.timer_granularity;
        for window in [&mut self.taken, &mut self.sent, &mut self.extras] {
            window.forget_before(horizon);
        }
        let ids: Vec<QueryId> = self.queries.keys().copied().collect();
        for id in ids {
            self.tend(id, actions);
        }
        // Who has been gone for longer than any takes to get warm is forgotten: new ones have new names.
        let (now, warm_after) = (self.now, self.set.slow_start_window);
        self.replicas.retain(|_, r| {
            r.left_at = if r.up { None } else { r.left_at.or(Some(now)) };
            r.left_at.is_none_or(|t| now - t < warm_after) || !r.calls.is_empty()
        });
        let ids: Vec<ReplicaId> = self.replicas.keys().copied().collect();
        for id in ids {
            let r = &self.replicas[&id];
            let suspect = self.suspect(r);
            if suspect != r.suspect {
                let event =
                    if suspect { LogEvent::ReplicaEjected(id) } else { LogEvent::ReplicaRestored(id) };
                actions.push(Action::Log(event));
            }
            if let Some(r) = self.replicas.get_mut(&id) {
                r.suspect = suspect;
                r.probation |= suspect;
            }
        }
        if !self.watching && self.now >= self.watch_at {
            (self.asked, self.watch_at) = (true, self.now + self.set.max_poll_interval / 4.0);
            actions.push(Action::WatchEndpoints);
        }
    }

    /// Probes a replica whose report is not fresh.
    fn probe(&mut self, id: ReplicaId, actions: &mut Vec<Action>) {
        if !self.set.health_checks_allowed || self.set.load_report_mode == LoadReportMode::Off {
            return;
        }
        let fresh = self.now - FRESH * self.typical;
        let old = |r: &&mut Replica| r.probed_at <= fresh && r.report.is_none_or(|(_, at)| at <= fresh);
        let Some(r) = self.replicas.get_mut(&id).filter(|r| !r.probing).filter(old) else { return };
        (r.probing, r.probed_at, r.probe_own) = (true, self.now, r.calls.len() as f64);
        actions.push(Action::HealthCheck { replica: id });
    }
}
