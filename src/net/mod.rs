//! The sockets: each part of this module only turns bytes into [`Event`]s of the core, and its [`Effect`]s into
//! bytes. One task, [`serve`], holds the core's state; every connection has a task of its own, so that none
//! can hold up the others.

mod chunked;
mod discovery;
mod flight;
mod http;
mod inventory;
mod leaf;
mod ledger;
mod query;

use crate::clock::Clock;
use crate::config::{Config, ConfigError};
use crate::core::{AttemptId, CallPart, ClientId, ConnId, Effect, Event, Limits, Reply, State, reduce};
use crate::ledger::Told;
use crate::logging;
use crate::membership::{self, Pace};
use std::cell::Cell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};
use tracing::{debug, error, info, trace};

pub use inventory::confirmation_path;

/// Events that wait for the core, at most: who brings more waits.
const INBOX: usize = 1024;
/// Orders that wait for a connection's task, at most; one that takes none for so long is lost.
const ORDERS: usize = 256;

/// What the tasks send to the one that holds the core.
pub(crate) enum Input {
    /// A client has come; what it is told goes there.
    Client(ClientId, mpsc::Sender<ToClient>),
    /// News for the core.
    Event(Event),
    /// News of the ledger.
    Ledger(Told),
}

/// What a client's task is told.
pub(crate) enum ToClient {
    /// The reply to its request, and whether the connection ends with it.
    Reply(Reply, bool),
    /// Close once no request is under way.
    Close,
}

/// What a node connection's task is told.
pub(crate) enum ToNode {
    Call(Vec<CallPart>),
    GiveUp(AttemptId),
    Probe,
}

/// The way to the core; the core's end is that of the program.
pub(crate) type ToCore = mpsc::Sender<Input>;

/// Runs the mixer until it has been asked to end and has answered what it held.
///
/// # Errors
/// What keeps the program from starting.
pub async fn serve(config: Config) -> io::Result<()> {
    let listener = TcpListener::bind(config.listen).await?;
    serve_on(listener, config).await
}

/// The same on a listener that is bound already.
///
/// # Errors
/// What keeps the program from starting.
pub async fn serve_on(listener: TcpListener, config: Config) -> io::Result<()> {
    let clock = Rc::new(Clock::system());
    // Taken before anything else: a signal without a handler would end the program.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut report = signal(SignalKind::user_defined1())?;
    let mut reload = signal(SignalKind::hangup())?;
    let limits = Limits::of(config.sockets);
    debug!("{limits:?} {:?}", config.site);
    let inventory = config.operator.inventory;
    let guard = inventory.as_ref().map(|i| i.guard).unwrap_or_default();
    let mut state = State::new(config.site, limits, config.seed, guard).map_err(io::Error::other)?;
    let address = listener.local_addr()?;
    let (to_core, mut inbox) = mpsc::channel(INBOX);
    let accepting = tokio::task::spawn_local(http::accept(listener, to_core.clone(), limits));
    let generation = Rc::new(Cell::new(config.known.generation));
    let wall_ahead = clock.wall_ahead();
    // Files take the place of discovery unless they are set to stand beside it.
    let discovers = inventory.as_ref().is_none_or(|i| i.discovery);
    let known = discovers.then_some(config.known);
    let lists = inventory.as_ref().map(inventory::lists).unwrap_or_default();
    let paths =
        inventory.iter().flat_map(|i| &i.files).map(|f| f.path.display().to_string().into()).collect();
    let mut hub = Hub {
        to_core,
        clients: HashMap::new(),
        conns: HashMap::new(),
        accepting,
        stop_flight: None,
        inventories: paths,
        ledger: None,
    };
    if let Some(set) = config.operator.ledger {
        state.keep_ledger(set.prices.clone());
        hub.ledger = Some(ledger::Keeper::start(set, &config.name, hub.to_core.clone(), (*clock).clone())?);
    }
    let begin = Event::Membership { input: membership::Input::Begin { known, files: lists }, wall_ahead };
    hub.carry_out(reduce(&mut state, clock.now(), begin));
    if let Some(inventory) = inventory {
        inventory::start(inventory, hub.to_core.clone(), (*clock).clone())?;
    }
    let pace = |state: &State| Pace::new(config.seed, state.site().module.aggregators);
    let mut watch =
        discovers.then(|| Watch::start(config.discovery, &generation, pace(&state), &hub.to_core, &clock));
    info!("sailmux {}: serving on {address}", config.name);
    let (stop_flight, stopped) = oneshot::channel();
    if let Some(listen) = config.operator.flight_listen {
        let listener = TcpListener::bind(listen).await?;
        info!("sailmux {}: flight on {}", config.name, listener.local_addr()?);
        tokio::task::spawn_local(flight::front::serve(listener, hub.to_core.clone(), limits, stopped));
        hub.stop_flight = Some(stop_flight);
    }
    let done = loop {
        let wake = state.next_timer().unwrap_or_else(|| clock.now() + 1000.0);
        let wake = hub.ledger.as_ref().and_then(ledger::Keeper::due).map_or(wake, |due| wake.min(due));
        let wake = Instant::from_std(clock.instant(wake));
        let event = tokio::select! {
            input = inbox.recv() => match input {
                Some(Input::Event(event)) => event,
                Some(Input::Ledger(told)) => {
                    hub.ledger_told(&told, clock.now());
                    Event::Ledger(told)
                }
                Some(Input::Client(client, to_client)) => {
                    hub.clients.insert(client, to_client);
                    Event::ClientOpened(client)
                }
                None => break Ok(()),
            },
            () = sleep_until(wake) => {
                hub.release(clock.now());
                Event::Tick
            }
            _ = terminate.recv() => Event::Terminate,
            _ = interrupt.recv() => Event::Terminate,
            _ = report.recv() => {
                eprint!("{}", state.counters_text());
                continue;
            }
            _ = reload.recv() => match reloaded(&state) {
                Ok(new) => {
                    // Discovery may have moved; a watch that stays is left alone.
                    if watch.as_ref().is_some_and(|w| w.address != new.discovery) {
                        watch = Some(Watch::start(new.discovery, &generation, pace(&state), &hub.to_core, &clock));
                    }
                    info!("sailmux {}: the configuration was read anew", config.name);
                    Event::Settings(Box::new(new.site), Limits::of(new.sockets))
                }
                Err(e) => {
                    error!("sailmux {}: {e}; the old settings stand", config.name);
                    Event::SettingsRejected
                }
            },
        };
        match &event {
            Event::ClientClosed(client) => drop(hub.clients.remove(client)),
            Event::Broken { conn, .. } => drop(hub.conns.remove(conn)),
            _ => {}
        }
        // A day can be followed from these two lines: what a mixer was told, and what it did about it.
        trace!("told {event:?}");
        let effects = reduce(&mut state, clock.now(), event);
        effects.iter().for_each(|effect| trace!("does {effect:?}"));
        if hub.carry_out(effects) {
            break Ok(());
        }
    };
    if let Some(keeper) = hub.ledger.take() {
        keeper.end();
    }
    eprint!("{}", state.counters_text());
    done
}

/// The configuration as it stands in its file now, if this mixer can go on with it.
fn reloaded(state: &State) -> Result<Config, ConfigError> {
    let new = Config::reload()?;
    let file = std::env::var("RELAY_CONFIG").unwrap_or_default();
    new.site.may_follow(state.site()).map_err(|e| ConfigError::Field(file, e))?;
    Ok(new)
}

/// A watch of discovery, which ends when this is dropped.
struct Watch {
    address: Arc<str>,
    task: tokio::task::JoinHandle<()>,
}

impl Watch {
    fn start(
        address: Arc<str>,
        generation: &Rc<Cell<u64>>,
        pace: Pace,
        to_core: &ToCore,
        clock: &Rc<Clock>,
    ) -> Self {
        let watching =
            discovery::watch(address.clone(), generation.clone(), pace, to_core.clone(), clock.clone());
        Watch { address, task: tokio::task::spawn_local(watching) }
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Where effects go.
struct Hub {
    to_core: ToCore,
    clients: HashMap<ClientId, mpsc::Sender<ToClient>>,
    conns: HashMap<ConnId, mpsc::Sender<ToNode>>,
    accepting: tokio::task::JoinHandle<()>,
    stop_flight: Option<oneshot::Sender<()>>,
    /// The inventories' paths, for the log.
    inventories: Vec<Arc<str>>,
    /// Use by tenant, where a ledger is kept.
    ledger: Option<ledger::Keeper>,
}

impl Hub {
    /// Carries out effects in order, waiting for nobody; true at the end of all.
    fn carry_out(&mut self, effects: Vec<Effect>) -> bool {
        for effect in effects {
            match effect {
                Effect::Reply { client, reply, close } => {
                    let held = match &mut self.ledger {
                        Some(keeper) => keeper.hold(client, reply, close),
                        None => Some((reply, close)),
                    };
                    if let Some((reply, close)) = held {
                        self.reply(client, reply, close);
                    }
                }
                Effect::Entry(client, entry) => {
                    if let Some(keeper) = &mut self.ledger {
                        keeper.enter(client, entry);
                    }
                }
                Effect::CloseClient(client) => {
                    if let Some(to) = self.clients.get(&client) {
                        let _ = to.try_send(ToClient::Close);
                    }
                }
                Effect::Dial(conn, address) => {
                    let (to_node, orders) = mpsc::channel(ORDERS);
                    self.conns.insert(conn, to_node);
                    let to_core = self.to_core.clone();
                    match flight::location(&address) {
                        Some(at) => tokio::task::spawn_local(flight::node::run(conn, at, orders, to_core)),
                        None => tokio::task::spawn_local(leaf::run(conn, address, orders, to_core)),
                    };
                }
                Effect::Call(conn, parts) => self.order(conn, ToNode::Call(parts)),
                Effect::GiveUp(conn, attempt) => self.order(conn, ToNode::GiveUp(attempt)),
                Effect::Probe(conn) => self.order(conn, ToNode::Probe),
                // Its task ends with its orders, and says so.
                Effect::Close(conn) => drop(self.conns.remove(&conn)),
                Effect::StopAccepting => {
                    self.accepting.abort();
                    self.stop_flight = None;
                }
                Effect::Exit => return true,
                Effect::Log(text) => info!("{text}"),
                Effect::Notice(notice) => logging::notice(&notice, &self.inventories),
            }
        }
        false
    }

    fn reply(&self, client: ClientId, reply: Reply, close: bool) {
        if let Some(to) = self.clients.get(&client) {
            // A client has one reply to come: there is room, or the client's task is gone.
            let _ = to.try_send(ToClient::Reply(reply, close));
        }
    }

    /// Sends the replies that have waited for their entries, or for long enough.
    fn release(&mut self, now: f64) {
        for (client, reply, close) in self.ledger.as_mut().map(|k| k.release(now)).unwrap_or_default() {
            self.reply(client, reply, close);
        }
    }

    fn ledger_told(&mut self, told: &Told, now: f64) {
        if let Some(keeper) = &mut self.ledger {
            keeper.told(told);
        }
        self.release(now);
    }

    fn order(&mut self, conn: ConnId, order: ToNode) {
        // A task that takes no orders any more is ended: the core hears of its break and asks nothing new of it.
        if self.conns.get(&conn).is_some_and(|to| to.try_send(order).is_err()) {
            self.conns.remove(&conn);
        }
    }
}
