//! Tests of gateways' Flight connections on the real program: which are closed when capacity runs short, and in a drain.

mod common;

use common::flight::*;
use common::leaf_setups::with_leaves;
use common::process::*;
use std::thread;
use std::time::Duration;

/// Deadline of the queries, in which a gateway must get its final answer.
const DEADLINE: Duration = Duration::from_secs(9);
/// Time after a drain command within which the operators want idle connections closed.
const DRAIN_LIMIT: Duration = Duration::from_secs(4);
/// With 64 descriptors, 14 client connections are open before idle ones are closed, and at most 15 at once.
const FEW_DESCRIPTORS: usize = 64;
const MAX_CONNECTIONS: usize = 15;

/// An aggregator with a Flight server, and the descriptors that the platform allows it.
fn start(leaf_servers: &[&LeafServer], descriptors: usize) -> (Aggregator, String) {
    let setup = Setup { has_admin_address: true, ..with_leaves(leaf_servers) };
    let config = setup.config().replace("\"sockets\":1024", &format!("\"sockets\":{descriptors}"));
    let mut aggregator = Aggregator::start(&config, Some("flight:\n  listen: 127.0.0.1:0\n"));
    let flight = aggregator.flight_address();
    (aggregator, flight)
}

/// Answers the parts of all queries, in the order in which they come.
fn serve_all(leaf_server: LeafServer) {
    thread::spawn(move || {
        let mut connection = leaf_server.accept();
        while let Some((letter, rest)) = connection.next_frame() {
            if letter == 'm' {
                connection.answer(rest.split(' ').next().expect("a name"), "good", "v");
            }
        }
    });
}

fn assert_answered(answer: &PendingAnswer, name: &str) {
    let answer = answer.result().unwrap_or_else(|status| panic!("{name}: {status:?}"));
    assert_eq!(answer.rows, [(0, "v".to_owned())], "{name}");
}

/// Guards against gateways that keep idle connections and leave the queries of later gateways without an answer.
#[test]
fn gateways_that_keep_idle_connections_leave_later_ones_served() {
    let leaf_server = LeafServer::new();
    let (_aggregator, flight) = start(&[&leaf_server], 1024);
    serve_all(leaf_server);
    let mut gateways = Vec::new();
    for i in 0..24 {
        let gateway = Gateway::connect(&flight);
        let answer = gateway.start_query(ticket(&format!("q{i}"), &[0]), DEADLINE);
        assert_answered(&answer, &format!("gateway {i}"));
        gateways.push(gateway);
    }
}

/// Guards against gateways that vanish without a word and occupy the capacity for clients of both protocols.
#[test]
fn silent_gateways_are_closed_when_capacity_runs_short() {
    let leaf_server = LeafServer::new();
    let (aggregator, flight) = start(&[&leaf_server], FEW_DESCRIPTORS);
    serve_all(leaf_server);
    let mut silent: Vec<SilentGateway> =
        (0..MAX_CONNECTIONS + 5).map(|_| SilentGateway::connect(&flight)).collect();
    let gateway = Gateway::connect(&flight);
    assert_answered(&gateway.start_query(ticket("q", &[0]), DEADLINE), "the gateway after the silent ones");
    assert_eq!(aggregator.healthz(), 200);
    silent[0].wait_until_closed(DEADLINE);
}

/// Guards against a gateway that is let in only when another disconnects, although there are idle ones to close. Those with
/// calls in flight stay.
#[test]
fn a_gateway_beyond_the_capacity_waits_only_for_calls_in_flight() {
    let leaf_server = LeafServer::new();
    let (aggregator, flight) = start(&[&leaf_server], FEW_DESCRIPTORS);
    let mut connection = None;
    let mut calls = Vec::new();
    for i in 0..MAX_CONNECTIONS {
        let gateway = Gateway::connect(&flight);
        let answer = gateway.start_query(ticket(&format!("q{i}"), &[0]), DEADLINE);
        assert_eq!(connection.get_or_insert_with(|| leaf_server.accept()).next_part(), format!("q{i}.0"));
        calls.push((gateway, answer));
    }
    let waiting = thread::spawn(move || {
        let gateway = Gateway::connect(&flight);
        gateway.start_query(ticket("waiting", &[0]), DEADLINE).result().map(|answer| answer.rows)
    });
    thread::sleep(Duration::from_millis(300));
    assert!(!waiting.is_finished(), "no connection is idle yet");
    let mut connection = connection.expect("a connection");
    connection.answer("q0.0", "good", "v");
    assert_answered(&calls[0].1, "q0");
    assert_eq!(connection.next_part(), "waiting.0");
    connection.answer("waiting.0", "good", "v");
    assert_eq!(waiting.join().expect("no panic").expect("an answer"), [(0, "v".to_owned())]);
    // The first gateway, and for the client that asks for the counters the last one.
    aggregator.wait_for_counter("gateways_closed", 2);
    assert_eq!(aggregator.counters()["gateways_closed"], 2, "those with calls in flight stay connected");
}

/// Guards against a drained aggregator that keeps the idle connections of gateways. A call in flight is answered first.
#[test]
fn a_drained_aggregator_closes_idle_gateways() {
    let leaf_server = LeafServer::new();
    let (mut aggregator, flight) = start(&[&leaf_server], 1024);
    let mut idle = SilentGateway::connect(&flight);
    let gateway = Gateway::connect(&flight);
    let answer = gateway.start_query(ticket("q", &[0]), DEADLINE);
    let mut connection = leaf_server.accept();
    assert_eq!(connection.next_part(), "q.0");
    assert_eq!(aggregator.send_admin_command("POST /-/drain"), 200);
    idle.wait_until_closed(DRAIN_LIMIT);
    connection.answer("q.0", "good", "v");
    assert_answered(&answer, "the call in flight");
    aggregator.wait_for_counter("gateways_closed", 2);
}
