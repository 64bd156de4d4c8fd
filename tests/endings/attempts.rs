//! Attempts with a late, duplicate, unknown or truncated answer, and attempts whose idempotency window ends.

use crate::common::process::*;
use crate::{assert_serves, send_query, with_leaf_server, with_long_connect_timeout};
use std::thread;
use std::time::{Duration, Instant};

/// The configuration with a keyed class, whose parts may be retried within the given window, and a long connect timeout.
fn with_keyed_class(config: &str, window_ms: u32) -> String {
    let effect = format!("\"effect\":\"dedup\",\"group\":\"all\",\"windowMs\":{window_ms}");
    let config = config.replace("\"effect\":\"retryable\"", &effect);
    with_long_connect_timeout(&config)
}

/// The idempotency window ends while the retry waits for its connection. The retry is not written once the connection is
/// established, and the client gets an error.
#[test]
fn a_retry_is_not_written_after_the_idempotency_window() {
    const WINDOW: Duration = Duration::from_millis(700);
    let (a, mut b) = (LeafServer::new(), LeafServer::backlogged());
    let discovery = Discovery::new();
    let setup = Setup { discovery: discovery.address(), ..with_leaf_server(&a) };
    let aggregator = Aggregator::start(&with_keyed_class(&setup.config(), WINDOW.as_millis() as u32), None);
    let mut watch = discovery.accept();
    let mut client = send_query(&aggregator, "q");
    let mut connection = a.accept();
    assert_eq!(connection.next_part(), "q.0");
    let sent_at = Instant::now();
    let gone = ListedEndpoint { lifecycle: "Gone", ..listed_endpoint("a", a.address, 0) };
    watch.send_event(&list(
        2,
        false,
        &[gone, ListedEndpoint { started: 1, ..listed_endpoint("b", b.server.address, 0) }],
    ));
    aggregator.wait_for_counter("lists_taken", 2);
    connection.answer("q.0", "bad", "");
    aggregator.wait_for_counter("connections_dialled", 2);
    thread::sleep((WINDOW + Duration::from_millis(100)).saturating_sub(sent_at.elapsed()));
    b.clear();
    let mut late_connection = b.server.accept();
    assert_serves(&aggregator, &mut late_connection, "next");
    let reply = client.response();
    assert_eq!(reply.status, 502, "not rejected, since the part may have run");
    assert_eq!((aggregator.counters()["attempts_sent"], aggregator.counters()["attempts_not_sent"]), (2, 1));
}

/// A cancelled part is sent to the same leaf server again. A late answer to the first attempt is not used for the second,
/// although both have the same id.
#[test]
fn a_late_answer_is_not_taken_for_the_next_attempt() {
    let leaf_server = LeafServer::new();
    let aggregator = Setup { deadline_ms: 2400, ..with_leaf_server(&leaf_server) }.start();
    let mut client = Client::connect(aggregator.address);
    client.send(query("q", "2400m", &[0]));
    let mut first = leaf_server.accept();
    assert_eq!(first.next_part(), "q.0");
    assert_eq!(first.next_frame(), Some(('n', "q.0".to_owned())));
    let mut second = leaf_server.accept();
    assert_eq!(second.next_part(), "q.0");
    // Using a served answer would do no harm, but a rejection means that the part has not run.
    first.answer("q.0", "later", "");
    aggregator.wait_for_counter("answers_ignored", 1);
    assert_eq!(aggregator.counters()["attempts_rejected"], 0);
    second.answer("q.0", "good", "v");
    assert_eq!(client.response().status, 200);
    assert_eq!(aggregator.counters()["attempts_sent"], 2);
}

/// Guards against a query that runs twice because its id comes again after its client has left, and against an answer to the
/// first use that reaches the second client: the id is refused.
#[test]
fn a_request_id_does_not_run_again_after_its_client_has_left() {
    let leaf_server = LeafServer::new();
    let aggregator = with_leaf_server(&leaf_server).start();
    let first_client = send_query(&aggregator, "same");
    let mut connection = leaf_server.accept();
    assert_eq!(connection.next_part(), "same.0");
    drop(first_client);
    assert_eq!(connection.next_frame(), Some(('n', "same.0".to_owned())));
    aggregator.wait_for_counter("clients_gone", 1);
    let reply = Client::connect(aggregator.address).request(query("same", "9000m", &[0]));
    assert_eq!((reply.status, reply.body.as_str()), (400, "the id is in use\n"));
    connection.answer("same.0", "good", "first value");
    aggregator.wait_for_counter("answers_ignored", 1);
    let reply = Client::connect(aggregator.address).request(query("same", "9000m", &[0]));
    assert_eq!(reply.status, 400, "it has run");
    assert_serves(&aggregator, &mut connection, "next");
    let reply = Client::connect(aggregator.address).request(query("next", "9000m", &[0]));
    assert_eq!(reply.status, 400, "an answered query has run too");
    assert_eq!(aggregator.counters()["attempts_sent"], 2);
}

/// Guards against an id that is refused although nothing of its first use was sent, so that a repeat is harmless.
#[test]
fn a_request_id_that_was_rejected_may_come_again() {
    let leaf_server = LeafServer::new();
    let aggregator = with_leaf_server(&leaf_server).start();
    let too_late = Client::connect(aggregator.address).request(query("same", "0m", &[0]));
    assert_eq!(too_late.status, 503);
    let mut client = send_query(&aggregator, "same");
    let mut connection = leaf_server.accept();
    assert_eq!(connection.next_part(), "same.0");
    connection.answer("same.0", "good", "v");
    assert_eq!(client.response().status, 200);
}

/// A duplicate answer, an answer to a part that was never sent, or a truncated answer before a close may end the
/// connection, but no other query.
#[test]
fn duplicate_unknown_or_truncated_answers_end_no_other_query() {
    type Misbehaviour = fn(&mut LeafConnection);
    let cases: [Misbehaviour; 3] = [
        |connection| {
            connection.answer("one.0", "good", "v");
            connection.answer("one.0", "good", "w");
        },
        |connection| {
            connection.answer("one.0", "good", "v");
            connection.answer("never.0", "good", "w");
        },
        |connection| {
            connection.answer("one.0", "good", "v");
            connection.send_truncated_frame('q', "two.0 good 17 -");
            connection.stream.shutdown(std::net::Shutdown::Write).expect("open");
        },
    ];
    for (case, misbehave) in cases.into_iter().enumerate() {
        let leaf_server = LeafServer::new();
        let aggregator = with_leaf_server(&leaf_server).start();
        let mut clients: Vec<Client> = (0..2).map(|_| Client::connect(aggregator.address)).collect();
        clients[0].send(query("one", "9000m", &[0]));
        let mut connection = leaf_server.accept();
        assert_eq!(connection.next_part(), "one.0");
        clients[1].send(query("two", "9000m", &[0]));
        assert_eq!(connection.next_part(), "two.0");
        misbehave(&mut connection);
        let answered_at = Instant::now();
        let reply = clients[0].response();
        assert!(reply.status == 200 && reply.body.contains("\"v\""), "case {case}: {reply:?}");
        // The other query's attempt may have run; it is retried on a new connection.
        let mut new_connection = leaf_server.accept();
        assert_eq!(new_connection.next_part(), "two.0", "case {case}");
        let elapsed = answered_at.elapsed();
        assert!(elapsed < Duration::from_millis(2500), "case {case}: retried only after {elapsed:?}");
        new_connection.answer("two.0", "good", "v");
        assert_eq!(clients[1].response().status, 200, "case {case}");
        assert_eq!(aggregator.counters()["attempts_sent"], 3, "case {case}");
    }
}
