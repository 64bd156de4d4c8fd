//! Attempts whose answer is late, duplicate, unknown or truncated, or whose idempotency window ends.

use crate::common::process::*;
use crate::{assert_serves, send_query, with_leaf_server, with_long_dial_timeout};
use std::thread;
use std::time::{Duration, Instant};

/// A configuration whose class is keyed: its parts may be retried within this window. Dials time out late.
fn with_keyed_class(config: &str, window_ms: u32) -> String {
    let effect = format!("\"effect\":\"dedup\",\"group\":\"all\",\"windowMs\":{window_ms}");
    let config = config.replace("\"effect\":\"retryable\"", &effect);
    with_long_dial_timeout(&config)
}

/// The idempotency window ends while the retry waits for its connection: it is not written when that is up, and the
/// client gets an error at once.
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
    let sent = Instant::now();
    let gone = Listed { lifecycle: "Gone", ..listed("a", a.address, 0) };
    watch.send_event(&list(2, false, &[gone, Listed { started: 1, ..listed("b", b.server.address, 0) }]));
    aggregator.wait_for_counter("lists_taken", 2);
    connection.answer("q.0", "bad", "");
    aggregator.wait_for_counter("connections_dialled", 2);
    thread::sleep((WINDOW + Duration::from_millis(100)).saturating_sub(sent.elapsed()));
    b.clear();
    let mut late = b.server.accept();
    assert_serves(&aggregator, &mut late, "next");
    let reply = client.response();
    assert_eq!(reply.status, 502, "it may have run: no refusal");
    assert_eq!((aggregator.counters()["attempts_sent"], aggregator.counters()["attempts_not_sent"]), (2, 1));
}

/// A cancelled part is sent to the same leaf server again: a late answer to the first attempt is not taken for one to
/// the second, though both have the same id.
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
    // A good answer would do no harm; this one says that the part never ran.
    first.answer("q.0", "later", "");
    aggregator.wait_for_counter("answers_ignored", 1);
    assert_eq!(aggregator.counters()["attempts_rejected"], 0);
    second.answer("q.0", "good", "v");
    assert_eq!(client.response().status, 200);
    assert_eq!(aggregator.counters()["attempts_sent"], 2);
}

/// A client uses a request id that another has just used before it disconnected: it gets no answer to the other's.
#[test]
fn a_reused_request_id_gets_no_answer_to_its_first_use() {
    let leaf_server = LeafServer::new();
    let aggregator = with_leaf_server(&leaf_server).start();
    let first_client = send_query(&aggregator, "same");
    let mut first = leaf_server.accept();
    assert_eq!(first.next_part(), "same.0");
    drop(first_client);
    assert_eq!(first.next_frame(), Some(('n', "same.0".to_owned())));
    aggregator.wait_for_counter("clients_gone", 1);
    let mut client = send_query(&aggregator, "same");
    let mut second = leaf_server.accept();
    assert_eq!(second.next_part(), "same.0");
    first.answer("same.0", "good", "theirs");
    aggregator.wait_for_counter("answers_ignored", 1);
    second.answer("same.0", "good", "ours");
    let reply = client.response();
    assert!(reply.status == 200 && reply.body.contains("ours"), "{reply:?}");
}

/// A second answer to one part, an answer to a part that was never sent, and a truncated answer before a close: each
/// ends at most the connection, and no other query.
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
    for (i, misbehave) in cases.into_iter().enumerate() {
        let leaf_server = LeafServer::new();
        let aggregator = with_leaf_server(&leaf_server).start();
        let mut clients: Vec<Client> = (0..2).map(|_| Client::connect(aggregator.address)).collect();
        clients[0].send(query("one", "9000m", &[0]));
        let mut connection = leaf_server.accept();
        assert_eq!(connection.next_part(), "one.0");
        clients[1].send(query("two", "9000m", &[0]));
        assert_eq!(connection.next_part(), "two.0");
        misbehave(&mut connection);
        let answered = Instant::now();
        let reply = clients[0].response();
        assert!(reply.status == 200 && reply.body.contains("\"v\""), "case {i}: {reply:?}");
        // The other query's attempt may have run and is retried, here on a new connection.
        let mut again = leaf_server.accept();
        assert_eq!(again.next_part(), "two.0", "case {i}");
        let after = answered.elapsed();
        assert!(after < Duration::from_millis(2500), "case {i}: by its timeout alone, after {after:?}");
        again.answer("two.0", "good", "v");
        assert_eq!(clients[1].response().status, 200, "case {i}");
        assert_eq!(aggregator.counters()["attempts_sent"], 3, "case {i}");
    }
}
