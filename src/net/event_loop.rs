//! The event loop: waits for events, timers, admin calls and signals, reduces each event to effects and dispatches
//! these. It is the only owner of the aggregator's state.

use super::admin::{AdminRequest, CallsInProgress};
use super::discovery_watch::DiscoveryWatchHandle;
use super::effects::EffectDispatcher;
use super::messages::LoopInput;
use crate::aggregator::{Effect, Event, Limits, State, reduce};
use crate::clock::{Clock, Millis};
use crate::config::Config;
use crate::json::KeyPaths;
use std::io;
use std::ops::ControlFlow;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};
use tracing::{error, info, trace};

/// Maximum wait for an event while the aggregator has no timer set.
const MAX_WAIT: Millis = 1000.0;

/// Maximum time for which the exit waits for admin calls. A call waits for sibling processes for at most 600 ms.
const ADMIN_CALLS_TIMEOUT: Duration = Duration::from_millis(700);

/// The signals that the program handles.
pub(super) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    print_counters: Signal,
    reload: Signal,
}

impl Signals {
    /// Installs the handlers; a signal without a handler would terminate the process.
    ///
    /// # Errors
    /// A handler cannot be installed.
    pub fn install() -> io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            print_counters: signal(SignalKind::user_defined1())?,
            reload: signal(SignalKind::hangup())?,
        })
    }
}

/// The calls of the admin server.
pub(super) struct AdminCalls {
    /// Calls for the event loop; closed if there is no admin address.
    pub requests: mpsc::Receiver<AdminRequest>,
    pub in_progress: CallsInProgress,
}

/// The aggregator's state, the inputs of the event loop, and the dispatcher of its effects.
pub(super) struct EventLoop {
    /// The aggregator's name, for log lines.
    pub name: String,
    pub clock: Rc<Clock>,
    pub state: State,
    pub effects: EffectDispatcher,
    pub inputs: mpsc::Receiver<LoopInput>,
    pub admin: AdminCalls,
    pub signals: Signals,
    /// Keys of the configuration in force, all of which a reloaded configuration must have.
    pub config_keys: KeyPaths,
    /// `None` if inventory files replace discovery.
    pub discovery_watch: Option<DiscoveryWatchHandle>,
}

/// The reason for an iteration of the event loop.
enum Wakeup {
    AdminRequest(AdminRequest),
    ShutdownSignal,
    Timer,
    Input(LoopInput),
    InputsClosed,
    PrintCountersSignal,
    ReloadSignal,
}

impl EventLoop {
    /// Runs until the aggregator exits.
    pub async fn run(&mut self) {
        loop {
            let event = match self.next_wakeup().await {
                Wakeup::InputsClosed => return,
                Wakeup::PrintCountersSignal => {
                    self.print_metrics();
                    continue;
                }
                wakeup => self.event_for(wakeup),
            };
            let Some(event) = event else { continue };
            self.remove_ended(&event);
            if self.handle(event).is_break() {
                return;
            }
        }
    }

    /// Reduces an event to effects and dispatches them; breaks once the aggregator exits.
    pub fn handle(&mut self, event: Event) -> ControlFlow<()> {
        // The trace of events and effects suffices to reconstruct what the aggregator did and why.
        trace!("event {event:?}");
        let effects = reduce(&mut self.state, self.clock.now(), event);
        trace_effects(&effects);
        self.effects.dispatch(effects)
    }

    /// Answers the admin calls that have arrived, for a bounded time. Called after [`EventLoop::run`].
    pub async fn finish_admin_calls(&mut self) {
        let deadline = Instant::now() + ADMIN_CALLS_TIMEOUT;
        let in_progress = self.admin.in_progress.clone();
        let mut all_answered = pin!(in_progress.all_answered());
        loop {
            tokio::select! {
                biased;
                Some(request) = self.admin.requests.recv() => {
                    if let Some(event) = self.event_for(Wakeup::AdminRequest(request)) {
                        let _ = self.handle(event);
                    }
                }
                () = &mut all_answered => return,
                () = sleep_until(deadline) => return,
            }
        }
    }

    /// Waits until the ledger's thread has written its entries, for a bounded time, and prints the counters.
    pub fn finish(&mut self) {
        self.effects.finish_ledger();
        self.print_metrics();
    }

    fn print_metrics(&self) {
        eprint!("{}{}", self.state.counters_text(), self.effects.metrics_text());
    }

    async fn next_wakeup(&mut self) -> Wakeup {
        let wake_at = self.next_wake_time();
        tokio::select! {
            // Admin calls first: they must be answered within a second under any load.
            biased;
            Some(request) = self.admin.requests.recv() => Wakeup::AdminRequest(request),
            _ = self.signals.terminate.recv() => Wakeup::ShutdownSignal,
            _ = self.signals.interrupt.recv() => Wakeup::ShutdownSignal,
            () = sleep_until(wake_at) => Wakeup::Timer,
            input = self.inputs.recv() => match input {
                Some(input) => Wakeup::Input(input),
                None => Wakeup::InputsClosed,
            },
            _ = self.signals.print_counters.recv() => Wakeup::PrintCountersSignal,
            _ = self.signals.reload.recv() => Wakeup::ReloadSignal,
        }
    }

    /// The time of the aggregator's next timer or of the next held reply's deadline, whichever is earlier.
    fn next_wake_time(&self) -> Instant {
        let timer = self.state.next_timer().unwrap_or_else(|| self.clock.now() + MAX_WAIT);
        let wake_at = match self.effects.next_reply_deadline() {
            Some(deadline) => timer.min(deadline),
            None => timer,
        };
        Instant::from_std(self.clock.instant(wake_at))
    }

    /// The event that a wakeup causes, if any.
    fn event_for(&mut self, wakeup: Wakeup) -> Option<Event> {
        match wakeup {
            Wakeup::AdminRequest(request) => {
                let call = self.effects.register_admin_call(request.reply);
                Some(Event::AdminCommand(call, request.command))
            }
            Wakeup::ShutdownSignal => Some(self.shutdown_requested()),
            Wakeup::Timer => {
                self.effects.release_replies(self.clock.now());
                Some(Event::TimerFired)
            }
            Wakeup::Input(input) => Some(self.event_for_input(input)),
            Wakeup::ReloadSignal => Some(self.reload()),
            Wakeup::InputsClosed | Wakeup::PrintCountersSignal => None,
        }
    }

    fn event_for_input(&mut self, input: LoopInput) -> Event {
        match input {
            LoopInput::Event(event) => event,
            LoopInput::Ledger(event) => {
                self.effects.handle_ledger_event(&event, self.clock.now());
                Event::Ledger(event)
            }
            LoopInput::ClientOpened { client, gateway, messages } => {
                self.effects.add_client(client, messages);
                match gateway {
                    Some(gateway) => Event::CallOpened { call: client, gateway },
                    None => Event::ClientOpened(client),
                }
            }
            LoopInput::GatewayOpened { gateway, messages } => {
                self.effects.add_gateway(gateway, messages);
                Event::GatewayOpened(gateway)
            }
        }
    }

    /// Refreshes the state of the sibling processes before the shutdown: the signal may arrive directly after a sibling
    /// has become ready, which decides whether this is a hot restart.
    fn shutdown_requested(&mut self) -> Event {
        if let Some(siblings) = self.effects.current_siblings() {
            let effects = reduce(&mut self.state, self.clock.now(), Event::SiblingsChanged(siblings));
            let _ = self.effects.dispatch(effects);
        }
        Event::ShutdownRequested
    }

    /// Reads the configuration again; if it is invalid, the previous settings stay in force.
    fn reload(&mut self) -> Event {
        let name = &self.name;
        let config = match Config::reload(&self.config_keys) {
            Ok(config) => config,
            Err(error) => {
                error!("sailmux {name}: {error}; the previous settings stay in force");
                return Event::ReloadRejected;
            }
        };
        self.config_keys = config.setting_keys;
        if let Some(watch) = &mut self.discovery_watch {
            watch.set_address(config.discovery, self.state.settings());
        }
        info!("sailmux {name}: configuration reloaded");
        let limits = Limits::new(config.max_descriptors, config.max_memory_bytes);
        Event::SettingsReloaded(Box::new(config.settings), limits)
    }

    /// Drops the channel to a client, gateway or leaf connection that has ended.
    fn remove_ended(&mut self, event: &Event) {
        match event {
            Event::ClientClosed(client) => self.effects.remove_client(*client),
            Event::GatewayClosed(gateway) => self.effects.remove_gateway(*gateway),
            Event::ConnectionEnded { connection, .. } => self.effects.remove_leaf_connection(*connection),
            _ => {}
        }
    }
}

fn trace_effects(effects: &[Effect]) {
    for effect in effects {
        trace!("effect {effect:?}");
    }
}
