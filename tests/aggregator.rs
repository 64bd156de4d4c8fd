//! Tests of the aggregator's state machine without sockets: endpoint list changes while parts are in flight, send
//! deadlines, connections that stall or break, query validation and metric names.

mod common;

use common::process::{Setup, scratch_dir};
use sailmux::aggregator::*;
use sailmux::config::Config;
use sailmux::endpoints::{FileList, GuardSettings, Input};
use sailmux::inventory::{Bundle, BundleFile, Options, Role, read};
use std::sync::Arc;

/// Start of the simulated time, in milliseconds.
const START: f64 = 1e6;
/// Two leaf servers for cell 0, two for cell 1 and one for cell 2.
const FIVE_SERVERS: &str = "a,h,1,0\nb,h,2,0\nc,h,3,1\nd,h,4,1\ne,h,5,2\n";

fn inventory_list(rows: &str) -> Arc<FileList> {
    let file = BundleFile {
        name: "n.csv".into(),
        relative_path: "n.csv".into(),
        role: Role::Inventory,
        content: format!("name,host,port,cell\n{rows}").into(),
        checksum: None,
    };
    Arc::new(read(&Bundle { files: vec![file] }, &Options::default()).expect("a valid inventory"))
}

fn change_endpoints(state: &mut State, now: f64, input: Input) -> Vec<Effect> {
    reduce(state, now, Event::EndpointSourceChanged { input, wall_clock_offset: 0.0 })
}

/// Memory in bytes that limits no connections.
const AMPLE_MEMORY: usize = 1 << 30;

/// An aggregator with the given leaf servers and configuration.
fn aggregator_with_config(servers: &str, config: &str) -> State {
    let path = scratch_dir("aggregator").join("config.json");
    std::fs::write(&path, config).expect("the configuration can be written");
    let settings = Config::from_file(&path).expect("a valid configuration").settings;
    let limits = Limits::new(1024, AMPLE_MEMORY);
    let mut state = State::new(settings, limits, 7, GuardSettings::default()).expect("valid settings");
    let files = vec![inventory_list(servers)];
    change_endpoints(&mut state, START, Input::Started { initial_list: None, files });
    state
}

/// An aggregator with the given leaf servers and one setting of its configuration replaced.
fn aggregator_with_setting(servers: &str, setting: &str, replacement: &str) -> State {
    let config = Setup::new(&[]).config();
    assert!(config.contains(setting), "{setting}");
    aggregator_with_config(servers, &config.replace(setting, replacement))
}

fn aggregator() -> State {
    aggregator_with_config(FIVE_SERVERS, &Setup::new(&[]).config())
}

/// A valid query with one part, for shard 0.
fn query(request_id: &str) -> NewQuery {
    NewQuery {
        request_id: request_id.into(),
        class: "c".into(),
        tenant: None,
        time_left: Some(9000.0),
        is_retry: false,
        payload: "t".into(),
        idempotency_key: None,
        parts: vec![NewPart { shard: 0, weight: 1.0, cost_hint: None }],
    }
}

fn send_query(state: &mut State, now: f64, client: u64, query: NewQuery) -> Vec<Effect> {
    reduce(state, now, Event::ClientOpened(ClientId(client)));
    reduce(state, now, Event::QueryReceived(ClientId(client), query))
}

/// An aggregator with a query for shard 0 whose part waits for a connection; returns the connection and its address.
fn aggregator_with_waiting_part() -> (State, ConnectionId, String) {
    let mut state = aggregator();
    let new = NewQuery { time_left: Some(5000.0), ..query("q") };
    let effects = send_query(&mut state, START + 1.0, 1, new);
    let (connection, address) = opened_connections(&effects).pop().expect("a connection");
    (state, connection, address)
}

/// The connections opened by the effects, with their addresses.
fn opened_connections(effects: &[Effect]) -> Vec<(ConnectionId, String)> {
    let connect = |effect: &Effect| match effect {
        Effect::Connect(connection, address) => Some((*connection, address.to_string())),
        _ => None,
    };
    effects.iter().filter_map(connect).collect()
}

fn call_count(effects: &[Effect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, Effect::SendCall(..))).count()
}

/// The first attempt sent by the effects.
fn sent_attempt(effects: &[Effect]) -> AttemptId {
    let first_attempt = |effect: &Effect| match effect {
        Effect::SendCall(_, parts) => Some(parts[0].attempt),
        _ => None,
    };
    effects.iter().find_map(first_attempt).expect("a call")
}

fn is_closed(effects: &[Effect], connection: ConnectionId) -> bool {
    effects.iter().any(|effect| matches!(effect, Effect::CloseConnection(closed) if *closed == connection))
}

fn has_complete_answer(effects: &[Effect]) -> bool {
    let is_complete =
        |effect: &Effect| matches!(effect, Effect::Reply { reply: Reply::Answer { complete: true, .. }, .. });
    effects.iter().any(is_complete)
}

fn has_failed(effects: &[Effect]) -> bool {
    effects.iter().any(|effect| matches!(effect, Effect::Reply { reply: Reply::Failed, .. }))
}

/// A leaf server's answer without a load report.
fn answer(connection: ConnectionId, attempt: AttemptId, outcome: PartOutcome) -> Event {
    let rows = if outcome == PartOutcome::Served { vec!["v".into()] } else { vec![] };
    Event::AttemptAnswered { connection, attempt, outcome, rows, report: None }
}

#[test]
fn a_part_that_waits_for_a_leaf_server_whose_cell_changes_goes_to_another_one() {
    let (mut state, connection, address) = aggregator_with_waiting_part();
    let row_in_cell = |cell: u32| format!("{},{cell}", address.replace(':', ","));
    let moved = FIVE_SERVERS.replace(&row_in_cell(0), &row_in_cell(1));
    let mut effects = change_endpoints(&mut state, START + 2.0, Input::File(0, inventory_list(&moved)));
    effects.extend(reduce(&mut state, START + 3.0, Event::Connected(connection)));
    assert_eq!(call_count(&effects), 0, "the moved leaf server no longer holds the shard");
    // The balancer sends the part to the other holder, immediately or after a backoff.
    let mut now = START + 3.0;
    while opened_connections(&effects).is_empty() && now < START + 2000.0 {
        now += 5.0;
        effects.extend(reduce(&mut state, now, Event::TimerFired));
    }
    let (other_connection, other_address) = opened_connections(&effects).pop().expect("another connection");
    assert_ne!(other_address, address);
    let effects = reduce(&mut state, now + 1.0, Event::Connected(other_connection));
    assert_eq!(call_count(&effects), 1);
}

#[test]
fn a_leaf_server_that_changes_its_name_and_address_answers_what_is_in_flight() {
    for (replaced_address, old_row, new_row) in [("h:1", "a,h,1,0", "z,h,9,0"), ("h:2", "b,h,2,0", "y,h,8,0")]
    {
        let (mut state, connection, address) = aggregator_with_waiting_part();
        let effects = reduce(&mut state, START + 2.0, Event::Connected(connection));
        assert_eq!(call_count(&effects), 1);
        let attempt = sent_attempt(&effects);
        reduce(&mut state, START + 2.5, Event::Written(connection, 1));
        let replaced = FIVE_SERVERS.replace(old_row, new_row);
        let effects = change_endpoints(&mut state, START + 3.0, Input::File(0, inventory_list(&replaced)));
        assert!(!is_closed(&effects, connection), "a part is in flight on the connection");
        let served = answer(connection, attempt, PartOutcome::Served);
        let effects = reduce(&mut state, START + 9.0, served);
        assert!(has_complete_answer(&effects), "{effects:?}");
        let is_replaced = address == replaced_address;
        assert_eq!(
            is_closed(&effects, connection),
            is_replaced,
            "closed after draining only if the leaf server was replaced"
        );
    }
}

#[test]
fn endpoint_lists_held_back_or_rejected_are_counted_and_audited() {
    let (mut state, ..) = aggregator_with_waiting_part();
    let effects = change_endpoints(&mut state, START + 2.0, Input::File(0, inventory_list("a,h,1,0\n")));
    assert!(effects.iter().any(|effect| matches!(effect, Effect::EndpointAudit(_))));
    change_endpoints(&mut state, START + 3.0, Input::FileRejected(0, "torn".into()));
    let counters = state.counters();
    assert_eq!(counters.endpoint_lists_held_back, 1);
    assert_eq!(counters.endpoint_lists_rejected, 1);
    assert_eq!(counters.endpoint_lists_confirmed, 0);
    assert_eq!(state.endpoints().endpoints().len(), 5);
}

/// A retry is passed to the writer of a connection that writes nothing. When the idempotency window ends, the connection
/// is closed and the query fails, so that the retry cannot be sent later.
#[test]
fn a_retry_that_is_not_written_within_the_idempotency_window_is_withdrawn() {
    const KEYED: &str = "\"effect\":\"dedup\",\"group\":\"all\",\"windowMs\":200";
    let mut state = aggregator_with_setting("a,h,1,0\nb,h,2,0\n", "\"effect\":\"retryable\"", KEYED);
    let effects = send_query(&mut state, START + 1.0, 1, query("q"));
    let (first, _) = opened_connections(&effects).pop().expect("a connection");
    let attempt = sent_attempt(&reduce(&mut state, START + 2.0, Event::Connected(first)));
    reduce(&mut state, START + 2.0, Event::Written(first, 1));
    let failed = answer(first, attempt, PartOutcome::Failed);
    let effects = reduce(&mut state, START + 100.0, failed);
    let (second, _) = opened_connections(&effects).pop().expect("another connection");
    assert_eq!(call_count(&reduce(&mut state, START + 101.0, Event::Connected(second))), 1);
    let mut now = START + 101.0;
    let mut effects = Vec::new();
    while now < START + 210.0 {
        assert!(!is_closed(&effects, second), "closed at {now}, within the idempotency window");
        now += 5.0;
        effects = reduce(&mut state, now, Event::TimerFired);
        if is_closed(&effects, second) {
            break;
        }
    }
    assert!(now < START + 205.0 && is_closed(&effects, second), "withdrawn at {now}: {effects:?}");
    assert!(has_failed(&effects), "the client gets its error immediately: {effects:?}");
}

/// Several messages wait on a connection that writes slowly. The connection is closed unless each of them is written
/// within the connect timeout: a part must not be sent long after its leaf server began to drain.
#[test]
fn no_message_waits_on_a_connection_for_longer_than_the_connect_timeout() {
    let mut state = aggregator_with_setting("a,h,1,0\n", "\"streamsPerConn\":32", "\"streamsPerConn\":100");
    let effects = send_query(&mut state, START, 1, query("q1"));
    let (connection, _) = opened_connections(&effects).pop().expect("a connection");
    for client in 2..=8 {
        send_query(&mut state, START, client, query(&format!("q{client}")));
    }
    assert_eq!(call_count(&reduce(&mut state, START + 1.0, Event::Connected(connection))), 8);
    let mut effects = reduce(&mut state, START + 100.0, Event::Written(connection, 1));
    effects.extend(reduce(&mut state, START + 200.0, Event::Written(connection, 2)));
    effects.extend(reduce(&mut state, START + 250.0, Event::TimerFired));
    assert!(!is_closed(&effects, connection), "the third message has waited for 249 ms");
    let effects = reduce(&mut state, START + 252.0, Event::TimerFired);
    assert!(is_closed(&effects, connection), "the third message has waited for 251 ms");
}

/// A connection breaks while a message is written to it. If the message was not written completely, the part has not run
/// and is retried even if it is not idempotent. If it was, the part may have run and is not retried.
#[test]
fn a_part_on_a_broken_connection_is_retried_only_if_it_was_not_written_completely() {
    for written in [false, true] {
        let servers = "a,h,1,0\nb,h,2,0\n";
        let mut state =
            aggregator_with_setting(servers, "\"effect\":\"retryable\"", "\"effect\":\"fragile\"");
        let effects = send_query(&mut state, START + 1.0, 1, query("q"));
        let (connection, _) = opened_connections(&effects).pop().expect("a connection");
        assert_eq!(call_count(&reduce(&mut state, START + 2.0, Event::Connected(connection))), 1);
        if written {
            reduce(&mut state, START + 2.0, Event::Written(connection, 1));
        }
        let ended = Event::ConnectionEnded { connection, reason: None, protocol_error: false };
        let effects = reduce(&mut state, START + 3.0, ended);
        assert_eq!(has_failed(&effects), written, "{effects:?}");
        assert_eq!(opened_connections(&effects).is_empty(), written, "{effects:?}");
        let counters = state.counters();
        assert_eq!(counters.attempts_reset, u64::from(written));
        assert_eq!(counters.attempts_connect_failed, u64::from(!written));
    }
}

/// The client receives the message of the first check that fails.
#[test]
fn an_invalid_query_is_answered_with_the_reason() {
    let part = |shard: u32, weight: f64| NewPart { shard, weight, cost_hint: None };
    let with_parts = |parts: &[NewPart]| NewQuery { parts: parts.to_vec(), ..query("q") };
    let cases = [
        (NewQuery { class: "none".into(), parts: vec![], ..query("q") }, "unknown class"),
        (NewQuery { tenant: Some("nobody".into()), ..query("q") }, "unknown tenant"),
        (with_parts(&[]), "no parts"),
        (with_parts(&[part(1, 0.5), part(0, 0.5), part(1, f64::NAN)]), "a shard is named twice"),
        (with_parts(&[part(u32::MAX, 1.0)]), "no such shard"),
        (with_parts(&[part(0, f64::NAN)]), "a figure makes no sense"),
        (with_parts(&[part(0, 2.0), part(1, -1.0)]), "a figure makes no sense"),
        (NewQuery { time_left: Some(f64::INFINITY), ..query("q") }, "a figure makes no sense"),
        (with_parts(&[part(0, 1.0), part(1, 0.0)]), "the weights are no shares of one"),
        (with_parts(&[part(0, 0.5), part(1, 0.48)]), "the weights are no shares of one"),
        (query("in flight"), "the id is in use"),
    ];
    let mut state = aggregator();
    send_query(&mut state, START + 1.0, 1, query("in flight"));
    for (client, (invalid, expected)) in (2..).zip(cases) {
        let effects = send_query(&mut state, START + 2.0, client, invalid);
        let reply = effects.iter().find_map(|effect| match effect {
            Effect::Reply { reply, .. } => Some(reply.clone()),
            _ => None,
        });
        let Some(Reply::BadRequest(error)) = reply else { panic!("{expected}: {effects:?}") };
        assert_eq!(error.to_string(), expected);
    }
    assert_eq!(state.counters().queries_malformed, 11);
    assert_eq!(state.counters().queries_received, 1);
}

/// Dashboards depend on the metric names, which must not change with the names in the code.
#[test]
fn metrics_keep_their_published_names_and_order() {
    let text = aggregator().counters_text();
    let names = text.lines().filter(|line| !line.starts_with('#')).filter_map(|line| line.split(' ').next());
    let (names, labelled): (Vec<&str>, Vec<&str>) = names.partition(|name| !name.contains('{'));
    assert!(text.contains("# TYPE sailmux_rejections counter\nsailmux_rejections{"), "{text}");
    let rejections = PUBLISHED_REJECTION_REASONS.split_whitespace();
    let rejections = rejections.map(|reason| format!("sailmux_rejections{{reason=\"{reason}\"}}"));
    assert_eq!(labelled, rejections.collect::<Vec<_>>());
    let expected: Vec<String> =
        PUBLISHED_METRICS.split_whitespace().map(|name| format!("sailmux_{name}")).collect();
    assert_eq!(names, expected);
    for name in names {
        assert!(text.contains(&format!("# TYPE {name} counter\n{name} ")), "{name}");
    }
}

const PUBLISHED_REJECTION_REASONS: &str = "no_parts in_flight_limit low_chance unreliable_chance too_late \
    deadline_reached parts_lost crashes_replicas part_too_late retry_budget";
const PUBLISHED_METRICS: &str = "
    clients_opened clients_closed clients_shed gateways_opened gateways_closed queries_taken parts_taken
    queries_malformed
    answers_whole answers_partial queries_refused queries_failed queries_expired clients_gone
    attempts_sent attempts_cold attempts_good attempts_bad attempts_rejected attempts_timed_out
    attempts_not_connected attempts_reset attempts_cancelled attempts_not_sent answers_ignored
    list_calls probes_sent probes_answered probes_failed reports_read reports_missing
    outlier_draws connections_dialled connections_failed connections_up connections_broken connections_spoilt
    connections_closed lists_taken lists_held lists_refused lists_confirmed nodes_forgotten
    lists_unreadable watches_lost ledger_entries ledger_lost ledger_failures ledger_periods_closed
    ledger_exports operations operations_refused reloads reloads_rejected
";

#[test]
fn a_query_whose_deadline_passes_in_a_stall_is_ended_by_the_balancer() {
    // Guards against a 504 instead of a 503 or a partial answer when all timers of a stall are due at the same time.
    let (mut state, connection, _) = aggregator_with_waiting_part();
    reduce(&mut state, START + 2.0, Event::Connected(connection));
    let mut now = START + 2.0;
    while now < START + 4960.0 {
        now += 5.0;
        reduce(&mut state, now, Event::TimerFired);
    }
    let effects = reduce(&mut state, START + 5100.0, Event::TimerFired);
    let reply = effects.iter().find_map(|effect| match effect {
        Effect::Reply { reply, .. } => Some(reply),
        _ => None,
    });
    assert!(matches!(reply, Some(Reply::Rejected { .. })), "{reply:?}");
}

fn closed_gateways(effects: &[Effect]) -> Vec<u64> {
    let gateway = |effect: &Effect| match effect {
        Effect::CloseGateway(gateway) => Some(gateway.0),
        _ => None,
    };
    effects.iter().filter_map(gateway).collect()
}

fn exits(effects: &[Effect]) -> bool {
    effects.iter().any(|effect| matches!(effect, Effect::Exit))
}

#[test]
fn a_shutdown_waits_for_gateways() {
    // Guards against an exit while answers are still being written to gateways.
    let mut state = aggregator();
    state.add_listener();
    let (gateway, call) = (GatewayId(1), ClientId(1 << 63));
    reduce(&mut state, START + 1.0, Event::GatewayOpened(gateway));
    reduce(&mut state, START + 1.0, Event::CallOpened { call, gateway });
    reduce(&mut state, START + 2.0, Event::ShutdownRequested);
    let effects = reduce(&mut state, START + 700.0, Event::TimerFired);
    assert_eq!(closed_gateways(&effects), [1], "a call in flight ends by itself");
    let effects = reduce(&mut state, START + 900.0, Event::TimerFired);
    assert!(closed_gateways(&effects).is_empty(), "it is being closed already");
    for event in [Event::ClientClosed(call), Event::ListenerClosed, Event::ListenerClosed] {
        assert!(!exits(&reduce(&mut state, START + 901.0, event)), "the answer may not be written yet");
    }
    assert!(exits(&reduce(&mut state, START + 902.0, Event::GatewayClosed(gateway))));
}

#[test]
fn a_shutdown_waits_for_every_listener() {
    // Guards against an exit while one listener still accepts the connections in its queue.
    let mut state = aggregator();
    state.add_listener();
    reduce(&mut state, START + 2.0, Event::ShutdownRequested);
    reduce(&mut state, START + 700.0, Event::TimerFired);
    assert!(!exits(&reduce(&mut state, START + 701.0, Event::ListenerClosed)));
    assert!(exits(&reduce(&mut state, START + 702.0, Event::ListenerClosed)));
}

#[test]
fn calls_of_a_gateway_count_as_one_connection() {
    // Guards against a gateway with many calls whose aggregator closes the connections of other clients.
    let mut state = aggregator();
    let limit = Limits::new(1024, AMPLE_MEMORY).client_connections as u64;
    reduce(&mut state, START, Event::GatewayOpened(GatewayId(0)));
    for call in 0..limit {
        let event = Event::CallOpened { call: ClientId((1 << 63) + call), gateway: GatewayId(0) };
        reduce(&mut state, START, event);
    }
    for client in 1..limit {
        let effects = reduce(&mut state, START + 1.0, Event::ClientOpened(ClientId(client)));
        assert!(effects.is_empty(), "{client}: {effects:?}");
    }
    let effects = reduce(&mut state, START + 1.0, Event::ClientOpened(ClientId(limit)));
    assert!(matches!(effects[..], [Effect::CloseClient(_)]), "{effects:?}");
}

#[test]
fn idle_gateways_are_closed_when_a_sibling_process_takes_half_of_the_limits() {
    // Guards against idle gateways that keep all capacity after a reload or hot restart has reduced it.
    let mut state = aggregator();
    let limit = Limits::new(1024, AMPLE_MEMORY).client_connections as u64;
    for gateway in 0..limit {
        reduce(&mut state, START + gateway as f64, Event::GatewayOpened(GatewayId(gateway)));
    }
    let busy = Event::CallOpened { call: ClientId(1 << 63), gateway: GatewayId(0) };
    reduce(&mut state, START + 1000.0, busy);
    let siblings = Siblings { others: 1, any_ready: false };
    let effects = reduce(&mut state, START + 1000.0, Event::SiblingsChanged(siblings));
    let longest_idle: Vec<u64> = (1..=limit - limit / 2).collect();
    assert_eq!(closed_gateways(&effects), longest_idle);
}

#[test]
fn idle_gateways_beyond_the_memory_for_their_connections_are_closed() {
    // Guards against gateways' buffers that exceed the memory limit while descriptors are left.
    let limits = Limits::new(1024, 32_000_000);
    assert!(limits.gateway_connections < limits.client_connections / 2);
    let mut state = aggregator();
    let settings = Box::new(state.settings().clone());
    reduce(&mut state, START, Event::SettingsReloaded(settings, limits));
    let limit = limits.gateway_connections as u64;
    for gateway in 0..limit {
        let effects = reduce(&mut state, START + gateway as f64, Event::GatewayOpened(GatewayId(gateway)));
        assert!(closed_gateways(&effects).is_empty(), "{gateway} of {limit}");
    }
    let client_effects = reduce(&mut state, START + 1000.0, Event::ClientOpened(ClientId(1)));
    assert!(client_effects.is_empty(), "HTTP clients are not counted: {client_effects:?}");
    let effects = reduce(&mut state, START + 1000.0, Event::GatewayOpened(GatewayId(limit)));
    assert_eq!(closed_gateways(&effects), [0], "the longest idle gateway");
}

#[test]
fn a_gateway_that_has_just_connected_is_not_told_to_leave() {
    // Guards against a gateway that connects again and again while all others have calls in flight.
    let mut state = aggregator();
    let limit = Limits::new(1024, AMPLE_MEMORY).client_connections as u64;
    for gateway in 0..limit {
        reduce(&mut state, START, Event::GatewayOpened(GatewayId(gateway)));
        let call = ClientId((1 << 63) + gateway);
        reduce(&mut state, START, Event::CallOpened { call, gateway: GatewayId(gateway) });
    }
    let effects = reduce(&mut state, START + 1.0, Event::GatewayOpened(GatewayId(limit)));
    assert!(closed_gateways(&effects).is_empty());
    let effects = reduce(&mut state, START + 2.0, Event::GatewayOpened(GatewayId(limit + 1)));
    assert_eq!(closed_gateways(&effects), [limit], "it has sent nothing, and another needs its place");
}

// Guards against a client that waited in the listen queue, is accepted after the shutdown's deadline for connections, and keeps
// its connection up to SIGKILL.
#[test]
fn a_client_accepted_after_the_shutdown_deadline_is_told_to_leave_at_once() {
    const START: f64 = 1e6;
    let mut state = aggregator();
    reduce(&mut state, START, Event::ShutdownRequested);
    let client = ClientId(7);
    let closes_now = |effects: &[Effect]| {
        effects.iter().any(|effect| matches!(effect, Effect::CloseClientNow(closed) if *closed == client))
    };
    // The longest deadline counts as 3 s at most; with 0.7 s that is the earliest SIGKILL.
    assert!(!closes_now(&reduce(&mut state, START + 3000.0, Event::ClientOpened(client))));
    reduce(&mut state, START + 3000.0, Event::ClientClosed(client));
    assert!(closes_now(&reduce(&mut state, START + 3600.0, Event::ClientOpened(client))));
}
