//! Tests of the aggregator's lifecycle, with an old and a new process on a simulated clock; the events are recorded as a
//! timeline. Overrides stored by one process are loaded by the other one 40 ms later, as with the directory that the
//! processes share.

mod common;

use common::process::{Setup, scratch_dir};
use common::timeline::Timeline;
use sailmux::aggregator::*;
use sailmux::config::Config;
use sailmux::endpoints::{AuditEvent, Endpoint, EndpointList, EndpointState, GuardSettings, Input};
use sailmux::hot_restart::{Overrides, snapshot};

/// Time after which the other processes load stored overrides.
const OVERRIDES_POLL_MS: f64 = 40.0;
/// Time step of the simulation.
const STEP_MS: f64 = 10.0;
/// Time on the processes' clock at the start of the timeline.
const CLOCK_START_MS: f64 = 1e9;

struct Process {
    name: &'static str,
    state: State,
    is_running: bool,
    is_ready: bool,
}

/// Overrides stored by a process.
struct StoredOverrides {
    stored_at: f64,
    stored_by: &'static str,
    overrides: Overrides,
}

/// The processes of one aggregator, on a simulated clock that starts at 0.
struct Simulation {
    now: f64,
    timeline: Timeline,
    processes: Vec<Process>,
    stored: Vec<StoredOverrides>,
    admin_calls: u64,
}

fn endpoint(name: &str) -> Endpoint {
    Endpoint {
        name: name.into(),
        address: format!("{name}:1").into(),
        zone: "z".into(),
        cell: 0,
        weight: 1.0,
        state: EndpointState::Ready,
        started_at_unix: 0.0,
    }
}

impl Simulation {
    fn new(names: &[&'static str]) -> Self {
        Simulation {
            now: 0.0,
            timeline: Timeline::new(names),
            processes: Vec::new(),
            stored: Vec::new(),
            admin_calls: 0,
        }
    }

    fn record(&mut self, name: &str, entry: impl Into<String>) {
        self.timeline.add(self.now, name, entry);
    }

    fn process(&mut self, name: &str) -> &mut Process {
        let process = self.processes.iter_mut().find(|process| process.name == name);
        process.expect("a process of that name")
    }

    fn running(&self) -> impl Iterator<Item = &Process> {
        self.processes.iter().filter(|process| process.is_running)
    }

    fn is_running(&self, name: &str) -> bool {
        self.running().any(|process| process.name == name)
    }

    fn start(&mut self, name: &'static str) {
        let path = scratch_dir("lifecycle").join("config.json");
        std::fs::write(&path, Setup::new(&[]).config()).expect("the configuration can be written");
        let settings = Config::from_file(&path).expect("a valid configuration").settings;
        let limits = Limits::new(256, 192_000_000);
        let state = State::new(settings, limits, 7, GuardSettings::default()).expect("valid settings");
        self.processes.push(Process { name, state, is_running: true, is_ready: false });
        self.record(name, "starts");
        let mut overrides = Overrides::default();
        for stored in &self.stored {
            overrides.merge(&stored.overrides);
        }
        self.load_overrides(name, overrides);
        let entries = vec![endpoint("a"), endpoint("b")];
        let known = Some(EndpointList { generation: 1, complete: true, entries });
        let input = Input::Started { initial_list: known, files: Vec::new() };
        self.deliver(name, Event::EndpointSourceChanged { input, wall_clock_offset: 0.0 });
        self.update_siblings();
    }

    /// Sends each process the state of its siblings.
    fn update_siblings(&mut self) {
        let names: Vec<&'static str> = self.running().map(|process| process.name).collect();
        for name in names {
            let others: Vec<&Process> = self.running().filter(|process| process.name != name).collect();
            let any_ready = others.iter().any(|process| process.is_ready);
            let siblings = Siblings { others: others.len(), any_ready };
            self.deliver(name, Event::SiblingsChanged(siblings));
        }
    }

    fn load_overrides(&mut self, name: &'static str, overrides: Overrides) {
        let digest = snapshot::digest(&overrides);
        self.deliver(name, Event::OverridesLoaded(overrides, digest));
    }

    fn deliver(&mut self, name: &'static str, event: Event) {
        assert!(self.is_running(name), "{name} has exited");
        let clock = CLOCK_START_MS + self.now;
        let effects = reduce(&mut self.process(name).state, clock, event);
        for effect in effects {
            self.execute(name, effect);
        }
    }

    fn execute(&mut self, name: &'static str, effect: Effect) {
        match effect {
            Effect::LifecycleChanged { from, to, ready } => {
                self.record(name, format!("{} -> {}", from.name(), to.name()));
                self.process(name).is_ready = ready;
            }
            Effect::StoreOverrides(_, overrides) => {
                self.stored.push(StoredOverrides { stored_at: self.now, stored_by: name, overrides });
            }
            Effect::AnswerAdmin(_, outcome) => self.record(name, format!("answers {outcome:?}")),
            Effect::StopAccepting => {
                self.record(name, "stops accepting");
                self.deliver(name, Event::ListenerClosed);
            }
            Effect::CloseClient(client) => {
                self.record(name, format!("closes client {}", client.0));
                self.deliver(name, Event::ClientClosed(client));
            }
            Effect::EndpointAudit(AuditEvent::OverrideChanged { name: server, active }) => {
                let change = if active { "disabled" } else { "enabled" };
                self.record(name, format!("{server} {change}"));
            }
            Effect::Reply { reply: Reply::Health { ready }, close, .. } => {
                let answer = if ready { "yes" } else { "no" };
                let closing = if close { ", closing" } else { "" };
                self.record(name, format!("healthz {answer}{closing}"));
            }
            Effect::Exit => {
                self.record(name, "exits");
                self.process(name).is_running = false;
            }
            _ => {}
        }
    }

    fn send_admin_command(&mut self, name: &'static str, command: AdminCommand) {
        self.record(name, format!("<- {command:?}").replace('"', ""));
        self.admin_calls += 1;
        self.deliver(name, Event::AdminCommand(AdminCallId(self.admin_calls), command));
    }

    fn open_client(&mut self, name: &'static str, client: u64) {
        self.deliver(name, Event::ClientOpened(ClientId(client)));
    }

    fn check_health(&mut self, name: &'static str, client: u64) {
        self.open_client(name, client);
        self.deliver(name, Event::HealthRequested(ClientId(client)));
        self.deliver(name, Event::ClientClosed(ClientId(client)));
    }

    fn answer_discovery(&mut self, name: &'static str) {
        let list = EndpointList { generation: 1, complete: false, entries: Vec::new() };
        self.deliver(name, Event::EndpointList { list, wall_clock_offset: 0.0 });
    }

    /// Advances the time: timers fire, and processes load the overrides that others have stored.
    fn run_until(&mut self, end: f64) {
        while self.now < end {
            self.now += STEP_MS;
            let names: Vec<&'static str> = self.processes.iter().map(|process| process.name).collect();
            for name in names {
                if self.is_running(name) {
                    self.deliver(name, Event::TimerFired);
                }
                for overrides in self.overrides_due(name) {
                    if self.is_running(name) {
                        self.load_overrides(name, overrides);
                    }
                }
            }
            self.update_siblings();
        }
    }

    fn overrides_due(&self, name: &str) -> Vec<Overrides> {
        let is_due = |stored: &&StoredOverrides| {
            stored.stored_by != name && stored.stored_at + OVERRIDES_POLL_MS == self.now
        };
        self.stored.iter().filter(is_due).map(|stored| stored.overrides.clone()).collect()
    }
}

/// A drain, its cancellation, and a shutdown during another drain.
#[test]
fn a_drain_closes_clients_after_the_grace_period_and_can_be_cancelled() {
    let mut simulation = Simulation::new(&["n0"]);
    simulation.start("n0");
    simulation.answer_discovery("n0");
    simulation.open_client("n0", 1);
    simulation.run_until(100.0);
    simulation.send_admin_command("n0", AdminCommand::Drain);
    simulation.check_health("n0", 90);
    simulation.run_until(400.0);
    simulation.open_client("n0", 2);
    simulation.run_until(1000.0);
    simulation.check_health("n0", 91);
    simulation.send_admin_command("n0", AdminCommand::Drain);
    simulation.send_admin_command("n0", AdminCommand::Resume);
    simulation.check_health("n0", 92);
    simulation.run_until(1200.0);
    simulation.open_client("n0", 3);
    simulation.send_admin_command("n0", AdminCommand::Drain);
    simulation.run_until(1500.0);
    simulation.deliver("n0", Event::ShutdownRequested);
    simulation.send_admin_command("n0", AdminCommand::CheckReady);
    simulation.run_until(2500.0);
    insta::assert_snapshot!(simulation.timeline);
}

/// A new process takes over. Leaf servers are disabled at the old process before and after the new one starts, and one
/// is enabled at the new process.
#[test]
fn a_hot_restart_carries_overrides_in_both_directions() {
    let mut simulation = Simulation::new(&["old", "new"]);
    simulation.start("old");
    simulation.run_until(500.0);
    simulation.send_admin_command("old", AdminCommand::CheckReady);
    simulation.run_until(1100.0);
    simulation.send_admin_command("old", AdminCommand::CheckReady);
    simulation.send_admin_command("old", AdminCommand::Disable("a".into()));
    simulation.send_admin_command("old", AdminCommand::Disable("nobody".into()));
    simulation.open_client("old", 1);
    simulation.run_until(1200.0);
    simulation.start("new");
    simulation.send_admin_command("new", AdminCommand::CheckReady);
    simulation.send_admin_command("old", AdminCommand::Disable("b".into()));
    simulation.run_until(1300.0);
    simulation.answer_discovery("new");
    simulation.send_admin_command("new", AdminCommand::CheckReady);
    simulation.send_admin_command("new", AdminCommand::Enable("a".into()));
    simulation.run_until(1400.0);
    simulation.deliver("old", Event::ShutdownRequested);
    simulation.check_health("old", 90);
    simulation.check_health("new", 91);
    simulation.run_until(2400.0);
    insta::assert_snapshot!(simulation.timeline);
}

/// The new process is not ready when the old one receives the request to shut down.
#[test]
fn without_a_ready_successor_the_old_process_shuts_down_as_if_alone() {
    let mut simulation = Simulation::new(&["old", "new"]);
    simulation.start("old");
    simulation.answer_discovery("old");
    simulation.start("new");
    simulation.run_until(200.0);
    simulation.open_client("old", 1);
    simulation.deliver("old", Event::ShutdownRequested);
    simulation.check_health("old", 90);
    simulation.run_until(1200.0);
    insta::assert_snapshot!(simulation.timeline);
}
