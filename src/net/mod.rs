//! The sockets: each part of this module only turns bytes into [`Event`]s of the core, and its [`Effect`]s into
//! bytes. One task, [`serve`], holds the core's state; every connection has a task of its own, so that none
//! can hold up the others.

mod admin;
mod chunked;
mod discovery_watch;
mod flight;
mod hot_restart;
mod http;
mod inventory_watch;
mod leaf_connection;
mod ledger_writer;
mod query;
mod read_buffer;

use crate::aggregator::{
    AdminCallId, AdminOutcome, AttemptId, CallPart, ClientId, ConnectionId, Effect, Event, Limits, Reply,
    State, reduce,
};
use crate::clock::Clock;
use crate::config::Config;
use crate::endpoints::{self, DiscoveryTiming};
use crate::hot_restart::{Overrides, SharedDirectory, snapshot};
use crate::ledger::LedgerEvent;
use crate::logging;
use std::cell::Cell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::{Instant, sleep_until};
use tracing::{debug, error, info, trace, warn};

pub use inventory_watch::confirmation_path;

/// Events that wait for the core, at most: who brings more waits.
const INBOX: usize = 1024;
/// Orders that wait for a connection's task, at most; one that takes none for so long is lost.
const ORDERS: usize = 256;

/// Connections that the kernel holds for the listener, as tokio has it.
const BACKLOG: u32 = 1024;
/// Operators' calls that wait for the core.
const CALLS: usize = 64;

/// The core has ended.
pub(crate) struct Gone;

/// What the tasks send to the one that holds the core.
pub(crate) enum Input {
    /// A client has come; what it is told goes there.
    Client(ClientId, mpsc::Sender<ToClient>),
    /// News for the core.
    Event(Event),
    /// News of the ledger.
    Ledger(LedgerEvent),
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
    serve_on(listen(config.listen, config.admin_address.is_some())?, config).await
}

/// Listens at an address. Where the mixer has a second address another process of it may come to listen beside this
/// one; elsewhere a second one started by mistake must fail.
fn listen(address: SocketAddr, beside_others: bool) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    if beside_others {
        socket.set_reuseport(true)?;
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// The orders kept for this mixer, and the way to keep more; none where there is no second address to give any.
fn keep_orders(config: &Config, to_core: &ToCore, clock: &Clock) -> (Option<hot_restart::Keeper>, Overrides) {
    let below = std::env::var_os("TMPDIR").filter(|_| config.admin_address.is_some());
    let Some(below) = below else { return (None, Overrides::default()) };
    let started = SharedDirectory::open(Path::new(&below), &config.name, &config.listen.to_string())
        .and_then(|folder| hot_restart::Keeper::start(folder, config.seed, to_core.clone(), clock.clone()));
    match started {
        Ok((keeper, orders)) => (Some(keeper), orders),
        Err(e) => {
            error!("orders cannot be kept below {}: {e}; they hold in this process alone", below.display());
            (None, Overrides::default())
        }
    }
}

/// The same on a listener that is bound already.
///
/// # Errors
/// What keeps the program from starting.
pub async fn serve_on(listener: TcpListener, mut config: Config) -> io::Result<()> {
    let clock = Rc::new(Clock::system());
    // Taken before anything else: a signal without a handler would end the program.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut report = signal(SignalKind::user_defined1())?;
    let mut reload = signal(SignalKind::hangup())?;
    let limits = Limits::for_descriptors(config.max_descriptors);
    let mut shape = std::mem::take(&mut config.shape);
    let (to_core, mut inbox) = mpsc::channel(INBOX);
    let (keeper, orders) = keep_orders(&config, &to_core, &clock);
    debug!("{limits:?} {:?}", config.settings);
    let inventory = config.operator.inventory;
    let guard = inventory.as_ref().map(|i| i.guard).unwrap_or_default();
    let mut state = State::new(config.settings, limits, config.seed, guard).map_err(io::Error::other)?;
    let address = listener.local_addr()?;
    let room = Arc::new(Semaphore::new(limits.max_client_connections()));
    let (stop_accepting, stop) = oneshot::channel();
    let (call, mut calls) = mpsc::channel(CALLS);
    let mut managing = None;
    if let Some(at) = config.admin_address {
        let listener = listen(at, false)?;
        info!("sailmux {}: operators on {}", config.name, listener.local_addr()?);
        managing = Some(tokio::task::spawn_local(admin::serve(listener, call)));
    }
    let generation = Rc::new(Cell::new(config.known_endpoints.generation));
    let wall_ahead = clock.wall_ahead();
    // Files take the place of discovery unless they are set to stand beside it.
    let discovers = inventory.as_ref().is_none_or(|i| i.discovery);
    let known = discovers.then_some(config.known_endpoints);
    let lists = inventory.as_ref().map(inventory_watch::lists).unwrap_or_default();
    let paths =
        inventory.iter().flat_map(|i| &i.files).map(|f| f.path.display().to_string().into()).collect();
    let mut hub = Hub {
        to_core,
        clients: HashMap::new(),
        conns: HashMap::new(),
        stop_accepting: Some(stop_accepting),
        room: (room.clone(), limits.max_client_connections()),
        calls: HashMap::new(),
        next_call: 0,
        keeper,
        stop_flight: None,
        inventories: paths,
        ledger: None,
    };
    if let Some(set) = config.operator.ledger {
        state.keep_ledger(set.prices.clone());
        hub.ledger =
            Some(ledger_writer::Keeper::start(set, &config.name, hub.to_core.clone(), (*clock).clone())?);
    }
    let digest = snapshot::digest(&orders);
    hub.carry_out(reduce(&mut state, clock.now(), Event::OverridesLoaded(orders, digest)));
    let begin =
        Event::EndpointSource { input: endpoints::Input::Started { known, files: lists }, wall_ahead };
    hub.carry_out(reduce(&mut state, clock.now(), begin));
    if let Some(inventory) = inventory {
        inventory_watch::start(inventory, hub.to_core.clone(), (*clock).clone())?;
    }
    let pace = |state: &State| {
        let site = &state.settings().balancer;
        let of = if site.discovery_is_polled {
            DiscoveryTiming::shared_discovery
        } else {
            DiscoveryTiming::local_agent
        };
        of(config.seed, site.aggregators)
    };
    let mut watch =
        discovers.then(|| Watch::start(config.discovery, &generation, pace(&state), &hub.to_core, &clock));
    tokio::task::spawn_local(http::accept(listener, hub.to_core.clone(), room, stop));
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
        let wake = hub.ledger.as_ref().and_then(ledger_writer::Keeper::due).map_or(wake, |due| wake.min(due));
        let wake = Instant::from_std(clock.instant(wake));
        let event = tokio::select! {
            // Operators first: they are owed an answer within a second whatever the load.
            biased;
            Some((operation, answer)) = calls.recv(), if managing.is_some() => {
                Event::AdminCommand(hub.called(answer), operation)
            }
            _ = terminate.recv() => hub.asked_to_end(&mut state, clock.now()),
            _ = interrupt.recv() => hub.asked_to_end(&mut state, clock.now()),
            () = sleep_until(wake) => {
                hub.release(clock.now());
                Event::TimerFired
            }
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
            _ = report.recv() => {
                eprint!("{}", state.counters_text());
                continue;
            }
            _ = reload.recv() => match Config::reload(&shape) {
                Ok(new) => {
                    shape = new.shape;
                    // Discovery may have moved; a watch that stays is left alone.
                    if watch.as_ref().is_some_and(|w| w.address != new.discovery) {
                        watch = Some(Watch::start(new.discovery, &generation, pace(&state), &hub.to_core, &clock));
                    }
                    info!("sailmux {}: the configuration was read anew", config.name);
                    Event::SettingsReloaded(Box::new(new.settings), Limits::for_descriptors(new.max_descriptors))
                }
                Err(e) => {
                    error!("sailmux {}: {e}; the old settings stand", config.name);
                    Event::ReloadRejected
                }
            },
        };
        match &event {
            Event::ClientClosed(client) => drop(hub.clients.remove(client)),
            Event::ConnectionEnded { connection: conn, .. } => drop(hub.conns.remove(conn)),
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

/// A watch of discovery, which ends when this is dropped.
struct Watch {
    address: Arc<str>,
    task: tokio::task::JoinHandle<()>,
}

impl Watch {
    fn start(
        address: Arc<str>,
        generation: &Rc<Cell<u64>>,
        pace: DiscoveryTiming,
        to_core: &ToCore,
        clock: &Rc<Clock>,
    ) -> Self {
        let watching =
            discovery_watch::watch(address.clone(), generation.clone(), pace, to_core.clone(), clock.clone());
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
    conns: HashMap<ConnectionId, mpsc::Sender<ToNode>>,
    stop_accepting: Option<oneshot::Sender<()>>,
    /// Places for clients, and how many there are.
    room: (Arc<Semaphore>, usize),
    /// Operators' calls that wait for their answer.
    calls: HashMap<AdminCallId, oneshot::Sender<AdminOutcome>>,
    next_call: u64,
    keeper: Option<hot_restart::Keeper>,
    stop_flight: Option<oneshot::Sender<()>>,
    /// The inventories' paths, for the log.
    inventories: Vec<Arc<str>>,
    /// Use by tenant, where a ledger is kept.
    ledger: Option<ledger_writer::Keeper>,
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
                Effect::LedgerEntry(client, entry) => {
                    if let Some(keeper) = &mut self.ledger {
                        keeper.enter(client, entry);
                    }
                }
                Effect::CloseClient(client) => {
                    if let Some(to) = self.clients.get(&client) {
                        let _ = to.try_send(ToClient::Close);
                    }
                }
                Effect::Connect(conn, address) => {
                    let (to_node, orders) = mpsc::channel(ORDERS);
                    self.conns.insert(conn, to_node);
                    let to_core = self.to_core.clone();
                    match flight::location(&address) {
                        Some(at) => tokio::task::spawn_local(flight::node::run(conn, at, orders, to_core)),
                        None => {
                            tokio::task::spawn_local(leaf_connection::run(conn, address, orders, to_core))
                        }
                    };
                }
                Effect::SendCall(conn, parts) => self.order(conn, ToNode::Call(parts)),
                Effect::SendCancellation(conn, attempt) => self.order(conn, ToNode::GiveUp(attempt)),
                Effect::SendHealthCheck(conn) => self.order(conn, ToNode::Probe),
                // Its task ends with its orders, and says so.
                Effect::CloseConnection(conn) => drop(self.conns.remove(&conn)),
                Effect::StopAccepting => {
                    self.stop_accepting = None;
                    self.stop_flight = None;
                }
                Effect::SetClientCapacity(places) => self.make_room(places),
                Effect::AnswerAdmin(call, verdict) => {
                    if let Some(answer) = self.calls.remove(&call) {
                        let _ = answer.send(verdict);
                    }
                }
                Effect::StoreOverrides(call, orders) => {
                    let Some(answer) = self.calls.remove(&call) else { continue };
                    match &self.keeper {
                        Some(keeper) => keeper.keep(orders, answer),
                        None => drop(answer.send(AdminOutcome::Accepted)),
                    }
                }
                Effect::OverridesApplied(digest) => {
                    if let Some(keeper) = &self.keeper {
                        keeper.in_force(digest);
                    }
                }
                Effect::LifecycleChanged { from, to, ready } => {
                    info!(from, to, "life of this mixer");
                    if let Some(keeper) = &self.keeper {
                        keeper.ready(ready);
                    }
                }
                Effect::Exit => return true,
                Effect::Log(event) => logging::aggregator_event(&event),
                Effect::EndpointAudit(notice) => logging::notice(&notice, &self.inventories),
            }
        }
        false
    }

    /// The end is near; who goes on is looked up at this moment, since the order may follow close on a successor's yes.
    fn asked_to_end(&mut self, state: &mut State, now: f64) -> Event {
        if let Some(beside) = self.keeper.as_ref().map(hot_restart::Keeper::beside) {
            let effects = reduce(state, now, Event::SiblingsChanged(beside));
            self.carry_out(effects);
        }
        Event::ShutdownRequested
    }

    /// An operator's call has come; its number.
    fn called(&mut self, answer: oneshot::Sender<AdminOutcome>) -> AdminCallId {
        let call = AdminCallId(self.next_call);
        self.next_call += 1;
        self.calls.insert(call, answer);
        call
    }

    /// Clients that may be open at once from now on; those above go as the core closes them.
    fn make_room(&mut self, places: usize) {
        let (room, now) = &mut self.room;
        if places > *now {
            room.add_permits(places - *now);
            *now = places;
        } else {
            *now -= room.forget_permits(*now - places);
            if *now > places {
                warn!(open = *now, places, "more clients are open than there is room for now");
            }
        }
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

    fn ledger_told(&mut self, told: &LedgerEvent, now: f64) {
        if let Some(keeper) = &mut self.ledger {
            keeper.told(told);
        }
        self.release(now);
    }

    fn order(&mut self, conn: ConnectionId, order: ToNode) {
        // A task that takes no orders any more is ended: the core hears of its break and asks nothing new of it.
        if self.conns.get(&conn).is_some_and(|to| to.try_send(order).is_err()) {
            self.conns.remove(&conn);
        }
    }
}
