//! A seeded soak of real processes. One seed draws the settings, the faults and their times; clients and leaf servers
//! write down what they see, and the rules are checked on that alone. `SEED=7` plays one seed, `SEEDS=1..51` many.

mod checks;
mod client;
#[path = "../common/mod.rs"]
mod common;
mod discovery;
mod leaf;
mod observations;
mod plan;

use client::{SoakClient, Target};
use common::process::*;
use discovery::SoakDiscovery;
use leaf::SoakLeaf;
use observations::Observations;
use plan::{Draws, Effect, LEAF_SERVERS, LOAD_TIME, Plan, Step};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Seeds that CI plays.
const CI_SEEDS: std::ops::Range<u64> = 1..9;
/// For how long a paused process stands still: less than the pages' 0.15 s.
const PAUSE: Duration = Duration::from_millis(120);
/// After SIGTERM the kill comes this long after the longest deadline, which counts as `SHORTEST_KILL_DEADLINE` at least.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
const SHORTEST_KILL_DEADLINE: Duration = Duration::from_secs(3);
const READY_WITHIN: Duration = Duration::from_secs(10);
const LEAF_NAMES: [&str; LEAF_SERVERS] = ["s0", "s1", "s2", "s3", "s4", "s5"];
/// Growth of a process's memory that a run of some seconds may leave.
const MAX_MEMORY_KB: u64 = 64 * 1024;

/// What one seed runs.
struct Soak {
    plan: Plan,
    observations: Arc<Observations>,
    leaves: Vec<SoakLeaf>,
    draining: Vec<usize>,
    discovery: SoakDiscovery,
    /// What the first aggregator and its successor are started with, and the port that they share.
    shared: Setup,
    _shared_port: tokio::net::TcpSocket,
    aggregators: Vec<Aggregator>,
    /// Processes that no client knows, and when they were told to end.
    short_lived: Vec<(Aggregator, Instant)>,
    targets: Arc<Mutex<Vec<Target>>>,
    breaks: Vec<String>,
}

impl Soak {
    fn start(seed: u64) -> Self {
        let plan = Plan::draw(seed);
        println!("seed {seed}: {plan:#?}");
        let observations = Arc::new(Observations::new());
        let leaves: Vec<SoakLeaf> =
            (0..LEAF_SERVERS).map(|number| SoakLeaf::start(number, &observations)).collect();
        let discovery = SoakDiscovery::start(endpoint_list(1, &leaves, &[]));
        let port = shared_port();
        let mut soak = Soak {
            shared: Setup::new(&[]).shared(&port),
            _shared_port: port,
            plan,
            observations,
            leaves,
            draining: Vec::new(),
            discovery,
            aggregators: Vec::new(),
            short_lived: Vec::new(),
            targets: Arc::default(),
            breaks: Vec::new(),
        };
        let Setup { listen, has_admin_address, tmp_dir, .. } = soak.shared.clone();
        soak.shared = Setup { listen, has_admin_address, tmp_dir, ..soak.setup() };
        soak.start_aggregator(&soak.shared.clone());
        for _ in 1..soak.plan.aggregators {
            soak.start_aggregator(&soak.setup());
        }
        soak
    }

    fn start_aggregator(&mut self, setup: &Setup) {
        let started_at = Instant::now();
        let aggregator = self.spawn(setup);
        wait_until("an aggregator is ready", || aggregator.healthz() == 200);
        if started_at.elapsed() > READY_WITHIN {
            self.breaks.push(format!("ready after {:?}", started_at.elapsed()));
        }
        let target = Target { address: aggregator.address, terminated_at: None };
        self.targets.lock().expect("whole").push(target);
        self.aggregators.push(aggregator);
    }

    fn setup(&self) -> Setup {
        Setup {
            deadline_ms: self.plan.deadline.as_millis() as u32,
            discovery: self.discovery.address.to_string(),
            known_list: endpoint_list(1, &self.leaves, &[]),
            ..Setup::new(&[])
        }
    }

    fn spawn(&self, setup: &Setup) -> Aggregator {
        let effect = match self.plan.effect {
            Effect::Retryable => "\"effect\":\"retryable\"".to_owned(),
            Effect::Dedup { window } => format!("\"effect\":\"dedup\",\"windowMs\":{}", window.as_millis()),
            Effect::Fragile => "\"effect\":\"fragile\"".to_owned(),
        };
        let config = setup.config().replace("\"effect\":\"retryable\"", &effect);
        Aggregator::start_in(&config, None, setup.tmp_dir.as_deref())
    }

    /// Replaces the first aggregator, unless it was told to end already.
    fn hot_restart(&mut self) {
        if self.targets.lock().expect("whole")[0].terminated_at.is_some() {
            return;
        }
        let shared = self.shared.clone();
        let mut successor = self.spawn(&shared);
        successor.wait_for_log("to=\"ready\"");
        self.send_signal(0, "-TERM");
        let target = Target { address: successor.address, terminated_at: None };
        self.targets.lock().expect("whole").push(target);
        self.aggregators.push(successor);
    }

    /// Plays the plan under load; gives the breaks of the rules.
    fn play(mut self, seed: u64) -> Vec<String> {
        let running = Arc::new(AtomicBool::new(true));
        let crowd: Vec<TcpStream> = (0..self.plan.crowd)
            .filter_map(|_| TcpStream::connect(self.aggregators[0].address).ok())
            .collect();
        let clients = self.start_clients(seed, &running);
        let began_at = Instant::now();
        for (at, step) in self.plan.steps.clone() {
            thread::sleep((began_at + at).saturating_duration_since(Instant::now()));
            self.carry_out(step);
        }
        thread::sleep((began_at + LOAD_TIME).saturating_duration_since(Instant::now()));
        self.terminate_the_others();
        let terminated = self.targets.lock().expect("whole").clone();
        for (number, target) in terminated.iter().enumerate() {
            let kill_at = self.kill_at(target.terminated_at.expect("told to end"));
            if !exits_by(&mut self.aggregators[number], kill_at) {
                self.breaks.push(format!("aggregator {number} has not ended by itself before the kill"));
            }
        }
        for (mut aggregator, terminated_at) in std::mem::take(&mut self.short_lived) {
            if !exits_by(&mut aggregator, self.kill_at(terminated_at)) {
                self.breaks.push("a process told to end as it started has not ended by itself".to_owned());
            }
        }
        running.store(false, Ordering::SeqCst);
        for client in clients {
            client.join().expect("a client fails a request, never itself");
        }
        drop(crowd);
        let stall = *self.observations.longest_stall.lock().expect("whole");
        let requests = self.observations.requests.lock().expect("whole").len();
        let parts = self.observations.attempts.lock().expect("whole").len();
        println!("seed {seed}: {requests} requests, {parts} parts, longest stall {stall:?}");
        self.breaks.extend(checks::broken_rules(&self.plan, &self.observations));
        self.breaks
    }

    fn start_clients(&self, seed: u64, running: &Arc<AtomicBool>) -> Vec<thread::JoinHandle<()>> {
        let mut threads = Vec::new();
        for number in 0..self.plan.clients {
            let client = SoakClient {
                number,
                draws: Draws::new(seed * 1000 + number as u64),
                deadline: self.plan.deadline,
                targets: self.targets.clone(),
                observations: self.observations.clone(),
            };
            let running = running.clone();
            threads.push(thread::spawn(move || client.run(|| running.load(Ordering::SeqCst))));
        }
        let observations = self.observations.clone();
        let running = running.clone();
        threads.push(thread::spawn(move || {
            observations.watch_for_stalls(|| running.load(Ordering::SeqCst));
        }));
        threads
    }

    fn carry_out(&mut self, step: Step) {
        match step {
            Step::LeafFault { leaf, fault, length } => self.leaves[leaf].misbehave(fault, length),
            Step::Drain { leaf } => {
                self.draining.push(leaf);
                let told_at = self.discovery.tell(endpoint_list(2, &self.leaves, &self.draining));
                self.observations.drains.lock().expect("whole").insert(leaf, told_at);
            }
            Step::DiscoverySilent { length } => self.discovery.fall_silent(length),
            Step::Pause { aggregator } => {
                if self.aggregators[aggregator].is_running() {
                    self.aggregators[aggregator].signal("-STOP");
                    thread::sleep(PAUSE);
                    self.aggregators[aggregator].signal("-CONT");
                }
            }
            Step::Signal { aggregator, signal } => self.send_signal(aggregator, signal),
            Step::HotRestart => self.hot_restart(),
            Step::Start => self.start_aggregator(&self.setup()),
            Step::StartAndTerminate => {
                let aggregator = self.spawn(&self.setup());
                aggregator.signal("-TERM");
                self.short_lived.push((aggregator, Instant::now()));
            }
        }
    }

    /// Sends a signal to an aggregator that runs. The clients know of a shutdown from before its signal.
    fn send_signal(&mut self, aggregator: usize, signal: &str) {
        if !self.aggregators[aggregator].is_running() {
            return;
        }
        if signal == "-TERM" {
            let mut targets = self.targets.lock().expect("whole");
            targets[aggregator].terminated_at.get_or_insert_with(Instant::now);
        }
        self.aggregators[aggregator].signal(signal);
    }

    /// Tells the aggregators to end that still run; before that, that they hold no more than they should.
    fn terminate_the_others(&mut self) {
        for number in 0..self.aggregators.len() {
            if self.targets.lock().expect("whole")[number].terminated_at.is_none() {
                let memory = self.aggregators[number].memory_kb();
                if memory > MAX_MEMORY_KB {
                    self.breaks.push(format!("memory: {memory} KB"));
                }
                self.send_signal(number, "-TERM");
            }
        }
    }

    fn kill_at(&self, terminated_at: Instant) -> Instant {
        terminated_at + self.plan.deadline.max(SHORTEST_KILL_DEADLINE) + KILL_AFTER_DEADLINE
    }
}

/// Whether an aggregator ends by itself until the kill; else it is killed.
fn exits_by(aggregator: &mut Aggregator, kill_at: Instant) -> bool {
    while Instant::now() < kill_at && aggregator.is_running() {
        thread::sleep(Duration::from_millis(5));
    }
    let has_ended = !aggregator.is_running();
    if !has_ended {
        aggregator.kill();
    }
    has_ended
}

/// The endpoint list: two leaf servers for each cell.
fn endpoint_list(generation: u64, leaves: &[SoakLeaf], draining: &[usize]) -> String {
    let mut entries = Vec::new();
    for (number, leaf) in leaves.iter().enumerate() {
        let lifecycle = if draining.contains(&number) { "Terminating" } else { "Ready" };
        entries.push(Listed { lifecycle, ..listed(LEAF_NAMES[number], leaf.address, number as u32 % 3) });
    }
    list(generation, true, &entries)
}

/// The seeds to play: those of the environment, or CI's.
fn seeds() -> Vec<u64> {
    let number = |text: &str| text.parse::<u64>().expect("a number");
    if let Ok(seed) = std::env::var("SEED") {
        return vec![number(&seed)];
    }
    if let Ok(range) = std::env::var("SEEDS") {
        let (first, end) = range.split_once("..").expect("a range such as 1..51");
        return (number(first)..number(end)).collect();
    }
    CI_SEEDS.collect()
}

/// Guards the rules that callers rely on through restarts, reloads, drains and faults of leaf servers in any order.
#[test]
fn no_rule_is_broken_under_seeded_faults() {
    let mut failed = Vec::new();
    for seed in seeds() {
        let breaks = Soak::start(seed).play(seed);
        println!("seed {seed}: {} breaks", breaks.len());
        if !breaks.is_empty() {
            failed.push(format!("SEED={seed}: {breaks:#?}"));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
