//! The event loop: waits for events, timers, admin calls and signals, reduces each event to effects and has them
//! carried out. The only holder of the aggregator's state.

use super::admin::AdminRequest;
use super::discovery_watch::DiscoveryWatchHandle;
use super::effects::EffectDispatcher;
use super::messages::LoopInput;
use crate::aggregator::{Effect, Event, Limits, State, reduce};
use crate::clock::{Clock, Millis};
use crate::config::Config;
use crate::json::KeyPaths;
use std::io;
use std::ops::ControlFlow;
use std::rc::Rc;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};
use tracing::{error, info, trace};

/// Longest wait without an event, for times at which the aggregator has no timer set.
const MAX_WAIT: Millis = 1000.0;

/// The signals that the program handles.
pub(super) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    print_counters: Signal,
    reload: Signal,
}

impl Signals {
    /// Installs the handlers; a signal without a handler would end the program.
    ///
    /// # Errors
    /// The system refuses a handler.
    pub fn install() -> io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            print_counters: signal(SignalKind::user_defined1())?,
            reload: signal(SignalKind::hangup())?,
        })
    }
}

/// What the loop holds.
pub(super) struct EventLoop {
    /// The aggregator's name, for the log.
    pub name: String,
    pub clock: Rc<Clock>,
    pub state: State,
    pub effects: EffectDispatcher,
    pub inputs: mpsc::Receiver<LoopInput>,
    /// Admin calls; closed where there is no admin address.
    pub admin_requests: mpsc::Receiver<AdminRequest>,
    pub signals: Signals,
    /// The keys of the configuration in force, which a reload must have too.
    pub config_keys: KeyPaths,
    /// The watch of discovery, unless inventory files take its place.
    pub discovery_watch: Option<DiscoveryWatchHandle>,
}

/// Why the loop has woken up.
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
                    eprint!("{}", self.state.counters_text());
                    continue;
                }
                wakeup => self.event_of(wakeup),
            };
            let Some(event) = event else { continue };
            self.forget_ended(&event);
            if self.handle(event).is_break() {
                return;
            }
        }
    }

    /// Reduces an event to effects and carries them out; breaks once the aggregator exits.
    pub fn handle(&mut self, event: Event) -> ControlFlow<()> {
        // These lines of the trace are all that is needed to follow what the aggregator did and why.
        trace!("event {event:?}");
        let effects = reduce(&mut self.state, self.clock.now(), event);
        trace_effects(&effects);
        self.effects.dispatch(effects)
    }

    /// Prints the counters and lets the ledger's thread finish.
    pub fn finish(&mut self) {
        self.effects.finish_ledger();
        eprint!("{}", self.state.counters_text());
    }

    async fn next_wakeup(&mut self) -> Wakeup {
        let wake_at = self.next_wake_time();
        tokio::select! {
            // Admin calls first: they are owed an answer within a second whatever the load.
            biased;
            Some(request) = self.admin_requests.recv() => Wakeup::AdminRequest(request),
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

    /// The aggregator's next timer, or the time at which a reply has waited for the ledger long enough.
    fn next_wake_time(&self) -> Instant {
        let timer = self.state.next_timer().unwrap_or_else(|| self.clock.now() + MAX_WAIT);
        let wake_at = match self.effects.next_reply_due() {
            Some(due) => timer.min(due),
            None => timer,
        };
        Instant::from_std(self.clock.instant(wake_at))
    }

    /// The aggregator's event for a wakeup, if it has one.
    fn event_of(&mut self, wakeup: Wakeup) -> Option<Event> {
        match wakeup {
            Wakeup::AdminRequest(request) => {
                let call = self.effects.admin_called(request.reply);
                Some(Event::AdminCommand(call, request.command))
            }
            Wakeup::ShutdownSignal => Some(self.shutdown_requested()),
            Wakeup::Timer => {
                self.effects.release_replies(self.clock.now());
                Some(Event::TimerFired)
            }
            Wakeup::Input(input) => Some(self.event_of_input(input)),
            Wakeup::ReloadSignal => Some(self.reload()),
            Wakeup::InputsClosed | Wakeup::PrintCountersSignal => None,
        }
    }

    fn event_of_input(&mut self, input: LoopInput) -> Event {
        match input {
            LoopInput::Event(event) => event,
            LoopInput::Ledger(event) => {
                self.effects.ledger_event(&event, self.clock.now());
                Event::Ledger(event)
            }
            LoopInput::ClientOpened { client, messages } => {
                self.effects.client_opened(client, messages);
                Event::ClientOpened(client)
            }
        }
    }

    /// Reads at this moment whether a sibling process takes over: the signal may follow close on its readiness.
    fn shutdown_requested(&mut self) -> Event {
        if let Some(siblings) = self.effects.current_siblings() {
            let effects = reduce(&mut self.state, self.clock.now(), Event::SiblingsChanged(siblings));
            let _ = self.effects.dispatch(effects);
        }
        Event::ShutdownRequested
    }

    /// Reads the configuration again; where it is invalid the settings in force stay.
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
            watch.follow(config.discovery, self.state.settings());
        }
        info!("sailmux {name}: configuration reloaded");
        let limits = Limits::from_max_descriptors(config.max_descriptors);
        Event::SettingsReloaded(Box::new(config.settings), limits)
    }

    /// Drops the message queues of a client or connection that has ended.
    fn forget_ended(&mut self, event: &Event) {
        match event {
            Event::ClientClosed(client) => self.effects.client_closed(*client),
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
