//! Graceful shutdown with gateways: each answer over Flight arrives completely before the process exits.

use crate::common::flight::*;
use crate::common::process::*;
use crate::{begin_shutdown, with_leaf_server};
use std::thread;
use std::time::Duration;

const DEADLINE: Duration = Duration::from_secs(9);
/// Past the grace period in which connections are accepted as before.
const AFTER_GRACE_PERIOD: Duration = Duration::from_millis(900);
/// Within the 5 s that a client has for reading a response.
const LATE_READ: Duration = Duration::from_secs(3);
/// Below the 64 KiB that the platform allows a body.
const VALUE_BYTES: usize = 48_000;
/// Far below the size of an answer, so that it takes many round trips.
const SMALL_WINDOW_BYTES: u32 = 1_024;

fn start(leaf_server: &LeafServer) -> (Aggregator, String) {
    let operator = Some("flight:\n  listen: 127.0.0.1:0\n".to_owned());
    let mut aggregator = Setup { operator, ..with_leaf_server(leaf_server) }.start();
    let flight = aggregator.flight_address();
    (aggregator, flight)
}

/// Guards against a planned restart that ends the process while answers over Flight are being sent, and cuts them short.
#[test]
fn an_answer_being_sent_to_a_gateway_at_shutdown_arrives_completely() {
    for calls in [1, 3] {
        let leaf_server = LeafServer::new();
        let (mut aggregator, flight) = start(&leaf_server);
        let gateway = Gateway::connect_with_window(&flight, SMALL_WINDOW_BYTES);
        let value = "v".repeat(VALUE_BYTES);
        let mut connection = None;
        let answers: Vec<PendingAnswer> = (0..calls)
            .map(|i| {
                let answer = gateway.start_query(ticket(&format!("q{i}"), &[0]), DEADLINE);
                let connection = connection.get_or_insert_with(|| leaf_server.accept());
                assert_eq!(connection.next_part(), format!("q{i}.0"));
                answer
            })
            .collect();
        begin_shutdown(&mut aggregator);
        thread::sleep(AFTER_GRACE_PERIOD);
        let mut connection = connection.expect("a connection");
        (0..calls).for_each(|i| connection.answer(&format!("q{i}.0"), "good", &value));
        for answer in answers {
            let answer = answer.result().unwrap_or_else(|status| panic!("{calls} calls: {status:?}"));
            assert_eq!((answer.complete.as_str(), answer.rows.len()), ("true", 1));
            assert_eq!(answer.rows[0].1.len(), VALUE_BYTES);
        }
        assert!(aggregator.wait_for_exit().success());
    }
}

/// Guards against a planned restart that drops the answer of a gateway which takes its time to read it.
#[test]
fn an_answer_that_a_gateway_reads_late_at_shutdown_arrives_completely() {
    let leaf_server = LeafServer::new();
    let (mut aggregator, flight) = start(&leaf_server);
    let gateway = Gateway::connect_with_window(&flight, SMALL_WINDOW_BYTES);
    let serve = background(move || {
        let mut connection = leaf_server.accept();
        let part = connection.next_part();
        connection.answer(&part, "good", &"v".repeat(VALUE_BYTES));
    });
    let unread = gateway.leave_unread(ticket("q", &[0]), DEADLINE);
    serve();
    begin_shutdown(&mut aggregator);
    thread::sleep(LATE_READ);
    let answer = gateway.read(unread).expect("the whole answer");
    assert_eq!(answer.rows[0].1.len(), VALUE_BYTES);
    assert!(aggregator.wait_for_exit().success());
}

/// Guards against a failure's status that is lost because the process ends before it is written.
#[test]
fn a_failure_reported_to_a_gateway_at_shutdown_arrives() {
    let leaf_server = LeafServer::new();
    // The deadline of the class is far below the gateway's, which would otherwise give up at the same time.
    let operator = Some("flight:\n  listen: 127.0.0.1:0\n".to_owned());
    let setup = Setup { operator, deadline_ms: 1500, ..with_leaf_server(&leaf_server) };
    let mut aggregator = setup.start();
    let gateway = Gateway::connect(&aggregator.flight_address());
    let answer = gateway.start_query(ticket("q", &[0]), DEADLINE);
    let mut connection = leaf_server.accept();
    assert_eq!(connection.next_part(), "q.0");
    begin_shutdown(&mut aggregator);
    let status = answer.result().err().expect("no leaf server has answered");
    assert!([tonic::Code::Unavailable, tonic::Code::DeadlineExceeded].contains(&status.code()), "{status:?}");
    assert!(aggregator.wait_for_exit().success());
}

/// Guards against queries of gateways that the kernel has accepted and that are reset when the listener closes.
#[test]
fn a_gateway_in_the_listen_queue_is_answered_before_exit() {
    let leaf_server = LeafServer::new();
    let (mut aggregator, flight) = start(&leaf_server);
    begin_shutdown(&mut aggregator);
    aggregator.pause();
    let gateways: Vec<_> = (0..5)
        .map(|i| {
            let address = flight.clone();
            background(move || {
                let gateway = Gateway::connect(&address);
                gateway
                    .start_query(ticket(&format!("q{i}"), &[0]), DEADLINE)
                    .result()
                    .map(|answer| answer.rows)
            })
        })
        .collect();
    thread::sleep(AFTER_GRACE_PERIOD);
    aggregator.resume();
    let mut connection = leaf_server.accept();
    for _ in &gateways {
        let part = connection.next_part();
        connection.answer(&part, "good", "v");
    }
    for answer in gateways {
        assert_eq!(answer().expect("an answer"), [(0, "v".to_owned())]);
    }
    assert!(aggregator.wait_for_exit().success());
}

/// Guards against a shutdown that waits for gateways which have vanished or do not read their answers.
#[test]
fn hung_gateways_do_not_prevent_exit() {
    let leaf_server = LeafServer::new();
    let (mut aggregator, flight) = start(&leaf_server);
    let _silent = SilentGateway::connect(&flight);
    let unreading = Gateway::connect_with_window(&flight, SMALL_WINDOW_BYTES);
    let serve = background(move || {
        let mut connection = leaf_server.accept();
        let part = connection.next_part();
        connection.answer(&part, "good", &"v".repeat(VALUE_BYTES));
    });
    let _unread = unreading.leave_unread(ticket("q", &[0]), DEADLINE);
    serve();
    begin_shutdown(&mut aggregator);
    assert!(aggregator.wait_for_exit().success());
}
