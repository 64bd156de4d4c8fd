//! A seeded soak test of real processes. Each seed determines the settings, the faults and their times; clients and leaf
//! servers record what they observe, and the rules are checked on these records alone. `SEED=7` runs one seed,
//! `SEEDS=1..51` a range.

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
use plan::{Effect, LEAF_SERVERS, LOAD_TIME, Plan, SeededRng, Step};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Seeds that CI runs.
const CI_SEEDS: std::ops::Range<u64> = 1..9;
/// Duration of a pause of a process: below the 0.15 s that the specification tolerates.
const PAUSE: Duration = Duration::from_millis(120);
/// A process that still runs after SIGTERM is killed once the deadline, or `SHORTEST_KILL_DEADLINE` if that is longer, and
/// this time have passed.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
const SHORTEST_KILL_DEADLINE: Duration = Duration::from_secs(3);
const READY_WITHIN: Duration = Duration::from_secs(10);
const LEAF_NAMES: [&str; LEAF_SERVERS] = ["s0", "s1", "s2", "s3", "s4", "s5"];
/// Maximum resident memory of a process after a run of some seconds.
const MAX_MEMORY_KB: u64 = 64 * 1024;

/// The processes and records of the run of one seed.
struct Soak {
    plan: Plan,
    observations: Arc<Observations>,
    leaves: Vec<SoakLeaf>,
    draining: Vec<usize>,
    discovery: SoakDiscovery,
    /// The setup of the first aggregator and its successor, with the port that they share.
    shared: Setup,
    _shared_port: tokio::net::TcpSocket,
    aggregators: Vec<Aggregator>,
    /// Processes that no client connects to, and when they received SIGTERM.
    short_lived: Vec<(Aggregator, Instant)>,
    targets: Arc<Mutex<Vec<Target>>>,
    violations: Vec<String>,
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
            violations: Vec::new(),
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
            self.violations.push(format!("ready after {:?}", started_at.elapsed()));
        }
        let target = Target { address: aggregator.address, terminated_at: None };
        self.targets.lock().expect("lock not poisoned").push(target);
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

    /// Replaces the first aggregator, unless it has already received SIGTERM.
    fn hot_restart(&mut self) {
        if self.targets.lock().expect("lock not poisoned")[0].terminated_at.is_some() {
            return;
        }
        let shared = self.shared.clone();
        let mut successor = self.spawn(&shared);
        successor.wait_for_log("to=\"ready\"");
        self.send_signal(0, "-TERM");
        let target = Target { address: successor.address, terminated_at: None };
        self.targets.lock().expect("lock not poisoned").push(target);
        self.aggregators.push(successor);
    }

    /// Runs the plan under load and returns the violations of the rules.
    fn run(mut self, seed: u64) -> Vec<String> {
        let running = Arc::new(AtomicBool::new(true));
        let idle_connections: Vec<TcpStream> = (0..self.plan.idle_connections)
            .filter_map(|_| TcpStream::connect(self.aggregators[0].address).ok())
            .collect();
        let clients = self.start_clients(seed, &running);
        let began_at = Instant::now();
        for (at, step) in self.plan.steps.clone() {
            thread::sleep((began_at + at).saturating_duration_since(Instant::now()));
            self.execute(step);
        }
        thread::sleep((began_at + LOAD_TIME).saturating_duration_since(Instant::now()));
        self.terminate_remaining();
        let terminated = self.targets.lock().expect("lock not poisoned").clone();
        for (number, target) in terminated.iter().enumerate() {
            let kill_at = self.kill_at(target.terminated_at.expect("SIGTERM was sent"));
            if !exits_by(&mut self.aggregators[number], kill_at) {
                self.violations
                    .push(format!("aggregator {number} did not exit by itself before it was killed"));
            }
        }
        for (mut aggregator, terminated_at) in std::mem::take(&mut self.short_lived) {
            if !exits_by(&mut aggregator, self.kill_at(terminated_at)) {
                self.violations.push(
                    "a process that received SIGTERM during its start did not exit by itself".to_owned(),
                );
            }
        }
        running.store(false, Ordering::SeqCst);
        for client in clients {
            client.join().expect("client threads do not panic");
        }
        drop(idle_connections);
        let stall = *self.observations.longest_stall.lock().expect("lock not poisoned");
        let requests = self.observations.requests.lock().expect("lock not poisoned").len();
        let parts = self.observations.attempts.lock().expect("lock not poisoned").len();
        println!("seed {seed}: {requests} requests, {parts} parts, longest stall {stall:?}");
        self.violations.extend(checks::rule_violations(&self.plan, &self.observations));
        self.violations
    }

    fn start_clients(&self, seed: u64, running: &Arc<AtomicBool>) -> Vec<thread::JoinHandle<()>> {
        let mut threads = Vec::new();
        for number in 0..self.plan.clients {
            let client = SoakClient {
                number,
                rng: SeededRng::new(seed * 1000 + number as u64),
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
            observations.measure_stalls(|| running.load(Ordering::SeqCst));
        }));
        threads
    }

    fn execute(&mut self, step: Step) {
        match step {
            Step::LeafFault { leaf, fault, length } => self.leaves[leaf].inject_fault(fault, length),
            Step::Drain { leaf } => {
                self.draining.push(leaf);
                let sent_at = self.discovery.publish(endpoint_list(2, &self.leaves, &self.draining));
                self.observations.drains.lock().expect("lock not poisoned").insert(leaf, sent_at);
            }
            Step::DiscoveryUnresponsive { length } => self.discovery.stop_responding(length),
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

    /// Sends a signal to an aggregator if it runs. Before SIGTERM, the time is recorded for the clients.
    fn send_signal(&mut self, aggregator: usize, signal: &str) {
        if !self.aggregators[aggregator].is_running() {
            return;
        }
        if signal == "-TERM" {
            let mut targets = self.targets.lock().expect("lock not poisoned");
            targets[aggregator].terminated_at.get_or_insert_with(Instant::now);
        }
        self.aggregators[aggregator].signal(signal);
    }

    /// Sends SIGTERM to the aggregators that still run, after a check of their memory.
    fn terminate_remaining(&mut self) {
        for number in 0..self.aggregators.len() {
            if self.targets.lock().expect("lock not poisoned")[number].terminated_at.is_none() {
                let memory = self.aggregators[number].memory_kb();
                if memory > MAX_MEMORY_KB {
                    self.violations.push(format!("memory: {memory} KB"));
                }
                self.send_signal(number, "-TERM");
            }
        }
    }

    fn kill_at(&self, terminated_at: Instant) -> Instant {
        terminated_at + self.plan.deadline.max(SHORTEST_KILL_DEADLINE) + KILL_AFTER_DEADLINE
    }
}

/// Whether an aggregator exits by itself before `kill_at`; otherwise it is killed.
fn exits_by(aggregator: &mut Aggregator, kill_at: Instant) -> bool {
    while Instant::now() < kill_at && aggregator.is_running() {
        thread::sleep(Duration::from_millis(5));
    }
    let has_exited = !aggregator.is_running();
    if !has_exited {
        aggregator.kill();
    }
    has_exited
}

/// The endpoint list: two leaf servers for each cell.
fn endpoint_list(generation: u64, leaves: &[SoakLeaf], draining: &[usize]) -> String {
    let mut entries = Vec::new();
    for (number, leaf) in leaves.iter().enumerate() {
        let lifecycle = if draining.contains(&number) { "Terminating" } else { "Ready" };
        entries.push(ListedEndpoint {
            lifecycle,
            ..listed_endpoint(LEAF_NAMES[number], leaf.address, number as u32 % 3)
        });
    }
    list(generation, true, &entries)
}

/// The seeds to run: from the environment, or those of CI.
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

/// Guards against violations of the rules that clients rely on during restarts, reloads, drains and leaf server faults in
/// any order.
#[test]
fn no_rule_is_broken_under_seeded_faults() {
    let mut failed = Vec::new();
    for seed in seeds() {
        let violations = Soak::start(seed).run(seed);
        println!("seed {seed}: {} violations", violations.len());
        if !violations.is_empty() {
            failed.push(format!("SEED={seed}: {violations:#?}"));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
