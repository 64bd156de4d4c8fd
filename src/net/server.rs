//! Startup and shutdown: builds the aggregator's state, starts listeners, watches and threads in order, and runs the
//! event loop until the aggregator exits.

use super::admin::{self, ADMIN_QUEUE_LENGTH, CallsInProgress};
use super::client_listener::{Capacities, ListenerCapacity, SessionStarter, accept_clients};
use super::discovery_watch::{DiscoveryWatchContext, DiscoveryWatchHandle};
use super::effects::{EffectDispatcher, EffectTargets};
use super::event_loop::{AdminCalls, EventLoop, Signals};
use super::flight::gateway::GatewaySessions;
use super::hot_restart::HotRestartHandle;
use super::http::HttpSessions;
use super::inventory_watch;
use super::ledger_writer::LedgerWriter;
use super::listener::{self, AddressSharing};
use super::messages::{EventSender, event_queue};
use super::metrics::NetMetrics;
use super::shared_request_ids::RequestIdFile;
use crate::aggregator::{Event, Limits, State};
use crate::clock::Clock;
use crate::config::Config;
use crate::config::operator;
use crate::endpoints::{self, EndpointList};
use crate::hot_restart::{Overrides, SharedDirectory, snapshot};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tracing::{debug, error, info};

/// Runs the aggregator until it has shut down gracefully. `sailmux run` calls it.
///
/// # Errors
/// Any error that prevents startup, for example an address that cannot be bound.
pub async fn serve(config: Config) -> io::Result<()> {
    let sharing = match config.admin_address {
        Some(_) => AddressSharing::SharedWithSiblings,
        None => AddressSharing::Exclusive,
    };
    serve_on(listener::bind(config.listen, sharing)?, config).await
}

/// Runs the aggregator on a client listener that is already bound. `sailmux demo` calls it.
///
/// # Errors
/// Any error that prevents startup, for example a ledger that cannot be opened.
pub async fn serve_on(listener: TcpListener, config: Config) -> io::Result<()> {
    let mut event_loop = start(listener, config).await?;
    event_loop.run().await;
    event_loop.finish_admin_calls().await;
    event_loop.finish();
    Ok(())
}

/// Starts the tasks and threads around the event loop, each after those that it depends on.
async fn start(listener: TcpListener, config: Config) -> io::Result<EventLoop> {
    let clock = Rc::new(Clock::system());
    let signals = Signals::install()?;
    let limits = Limits::new(config.max_descriptors, config.max_memory_bytes);
    let (events, inputs) = event_queue();
    let InitialOverrides { hot_restart, overrides } = load_overrides(&config, &events, &clock);
    debug!("{limits:?} {:?}", config.settings);
    let operator::Operator { inventory, ledger, flight_listen, .. } = config.operator;
    let guard = inventory.as_ref().map(|inventory| inventory.guard).unwrap_or_default();
    let mut state = State::new(config.settings, limits, config.seed, guard).map_err(io::Error::other)?;
    share_request_ids(&mut state, hot_restart.as_ref());
    let address = listener.local_addr()?;
    let admin = start_admin(config.admin_address, &config.name)?;
    let ledger = match ledger {
        Some(settings) => {
            state.enable_ledger(settings.prices.clone());
            Some(LedgerWriter::start(settings, &config.name, events.clone(), (*clock).clone())?)
        }
        None => None,
    };
    let capacities = Capacities::new(limits);
    let (http_capacity, flight_capacity) = (capacities.http(), capacities.flight());
    let metrics = NetMetrics::new(limits.peer_data_bytes);
    let effects = EffectDispatcher::new(EffectTargets {
        events: events.clone(),
        capacities,
        hot_restart,
        ledger,
        inventory_paths: inventory_paths(inventory.as_ref()),
        metrics: metrics.clone(),
    });
    let mut event_loop = EventLoop {
        name: config.name,
        clock,
        state,
        effects,
        inputs,
        admin,
        signals,
        config_keys: config.setting_keys,
        discovery_watch: None,
    };
    let digest = snapshot::digest(&overrides);
    let _ = event_loop.handle(Event::OverridesLoaded(overrides, digest));
    let discovery = DiscoveryStart {
        address: config.discovery,
        initial_list: config.known_endpoints,
        seed: config.seed,
        max_memory_bytes: config.max_memory_bytes,
    };
    start_endpoint_sources(&mut event_loop, &events, inventory, discovery)?;
    let http = HttpSessions::new(events.clone(), metrics.clone());
    start_listener(&mut event_loop, listener, http, &events, http_capacity);
    info!("sailmux {}: serving on {address}", event_loop.name);
    if let Some(address) = flight_listen {
        let gateways = GatewaySessions::new(events.clone(), metrics.memory);
        start_flight(&mut event_loop, address, gateways, &events, flight_capacity).await?;
    }
    Ok(event_loop)
}

/// Binds the Flight server's address and accepts gateways on it.
async fn start_flight(
    event_loop: &mut EventLoop,
    address: SocketAddr,
    gateways: GatewaySessions,
    events: &EventSender,
    capacity: ListenerCapacity,
) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    info!("sailmux {}: Flight server on {}", event_loop.name, listener.local_addr()?);
    event_loop.state.add_listener();
    start_listener(event_loop, listener, gateways, events, capacity);
    Ok(())
}

/// Accepts clients of one protocol until the aggregator stops accepting.
fn start_listener(
    event_loop: &mut EventLoop,
    listener: TcpListener,
    sessions: impl SessionStarter + 'static,
    events: &EventSender,
    capacity: ListenerCapacity,
) {
    let (stop, stopped) = oneshot::channel();
    event_loop.effects.add_listener(stop);
    tokio::task::spawn_local(accept_clients(listener, sessions, events.clone(), capacity, stopped));
}

/// The overrides that were stored before this process started, and the handle that stores further ones.
struct InitialOverrides {
    /// `None` without an admin address, through which overrides are set, or if overrides cannot be stored.
    hot_restart: Option<HotRestartHandle>,
    overrides: Overrides,
}

/// Opens the directory that all processes of this aggregator share, and reads the overrides stored there.
fn load_overrides(config: &Config, events: &EventSender, clock: &Clock) -> InitialOverrides {
    let not_stored = InitialOverrides { hot_restart: None, overrides: Overrides::default() };
    if config.admin_address.is_none() {
        return not_stored;
    }
    let Some(parent) = std::env::var_os("TMPDIR") else { return not_stored };
    let parent = Path::new(&parent);
    let opened = SharedDirectory::open(parent, &config.name, &config.listen.to_string())
        .and_then(|directory| HotRestartHandle::start(directory, config.seed, events.clone(), clock.clone()));
    match opened {
        Ok((handle, overrides)) => InitialOverrides { hot_restart: Some(handle), overrides },
        Err(error) => {
            error!(
                "overrides cannot be stored below {}: {error}; they apply to this process only",
                parent.display()
            );
            not_stored
        }
    }
}

/// Lets the aggregator refuse request ids that a sibling process has taken.
fn share_request_ids(state: &mut State, hot_restart: Option<&HotRestartHandle>) {
    let Some(hot_restart) = hot_restart else { return };
    match hot_restart.request_ids() {
        Ok(table) => state.share_request_ids(Box::new(RequestIdFile::new(table))),
        Err(error) => error!("request ids cannot be shared with sibling processes: {error}"),
    }
}

/// Starts the admin server if it has an address. Without one the returned queue is closed.
fn start_admin(address: Option<SocketAddr>, name: &str) -> io::Result<AdminCalls> {
    let (sender, requests) = mpsc::channel(ADMIN_QUEUE_LENGTH);
    let in_progress = CallsInProgress::default();
    if let Some(address) = address {
        let listener = listener::bind(address, AddressSharing::Exclusive)?;
        info!("sailmux {name}: admin interface on {}", listener.local_addr()?);
        tokio::task::spawn_local(admin::serve(listener, sender, in_progress.clone()));
    }
    Ok(AdminCalls { requests, in_progress })
}

/// Parameters that the discovery watch starts with.
struct DiscoveryStart {
    address: Arc<str>,
    /// The initial endpoint list, from the configuration; in force until discovery sends a newer one.
    initial_list: EndpointList,
    seed: u64,
    max_memory_bytes: usize,
}

/// Passes the initial endpoint lists to the aggregator and watches their sources. Inventory files replace discovery
/// unless discovery is configured as an additional source.
fn start_endpoint_sources(
    event_loop: &mut EventLoop,
    events: &EventSender,
    inventory: Option<operator::Inventory>,
    discovery: DiscoveryStart,
) -> io::Result<()> {
    let uses_discovery = inventory.as_ref().is_none_or(|inventory| inventory.discovery);
    let generation = discovery.initial_list.generation;
    let input = endpoints::Input::Started {
        initial_list: uses_discovery.then_some(discovery.initial_list),
        files: inventory.as_ref().map(inventory_watch::initial_lists).unwrap_or_default(),
    };
    let wall_clock_offset = event_loop.clock.wall_clock_offset();
    let _ = event_loop.handle(Event::EndpointSourceChanged { input, wall_clock_offset });
    if let Some(inventory) = inventory {
        inventory_watch::start(inventory, events.clone(), (*event_loop.clock).clone())?;
    }
    if uses_discovery {
        let context = DiscoveryWatchContext {
            generation: Rc::new(Cell::new(generation)),
            seed: discovery.seed,
            events: events.clone(),
            clock: event_loop.clock.clone(),
            max_memory_bytes: discovery.max_memory_bytes,
        };
        let watch = DiscoveryWatchHandle::start(discovery.address, context, event_loop.state.settings());
        event_loop.discovery_watch = Some(watch);
    }
    Ok(())
}

/// The inventory files' paths, for log lines.
fn inventory_paths(inventory: Option<&operator::Inventory>) -> Vec<Arc<str>> {
    let files = inventory.into_iter().flat_map(|inventory| &inventory.files);
    files.map(|file| file.path.display().to_string().into()).collect()
}
