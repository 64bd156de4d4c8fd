//! Clients that disconnect while something of theirs is in flight, pipelined or incomplete.

use crate::common::process::*;
use crate::{assert_serves, send_query, with_leaf_server, with_long_dial_timeout};
use std::thread;
use std::time::{Duration, Instant};

/// A client's FIN arrives behind all requests that it pipelined. Its attempt is cancelled, and no pipelined request is
/// forwarded.
#[test]
fn a_disconnect_behind_pipelined_requests_is_noticed() {
    for pipelined in [4, 40, 400] {
        let leaf_server = LeafServer::new();
        let aggregator = with_leaf_server(&leaf_server).start();
        let mut client = Client::connect(aggregator.address);
        client.send((0..pipelined).map(|i| query(&format!("q{i}"), "9000m", &[0])).collect::<String>());
        let mut connection = leaf_server.accept();
        assert_eq!(connection.next_part(), "q0.0");
        drop(client);
        let disconnected = Instant::now();
        assert_eq!(connection.next_frame(), Some(('n', "q0.0".to_owned())), "{pipelined} pipelined");
        assert!(
            disconnected.elapsed() < Duration::from_millis(1500),
            "{pipelined}: noticed after {:?}",
            disconnected.elapsed()
        );
        aggregator.wait_for_counter("clients_gone", 1);
        assert_serves(&aggregator, &mut connection, "next");
        assert_eq!(aggregator.counters()["attempts_sent"], 2, "{pipelined} pipelined");
    }
}

/// Requests that are read only after their clients have disconnected: none is forwarded.
#[test]
fn a_request_read_after_its_client_disconnected_is_not_forwarded() {
    let leaf_server = LeafServer::new();
    let aggregator = with_leaf_server(&leaf_server).start();
    let mut before = send_query(&aggregator, "before");
    let mut connection = leaf_server.accept();
    let part = connection.next_part();
    connection.answer(&part, "good", "v");
    assert_eq!(before.response().status, 200);
    aggregator.pause();
    for (i, pipelined) in [1, 3, 60, 400].into_iter().enumerate() {
        let mut client = Client::connect(aggregator.address);
        client.send(
            (0..pipelined).map(|n| query(&format!("disconnected{i}-{n}"), "9000m", &[0])).collect::<String>(),
        );
        client.disconnect();
    }
    before.send(query("last", "9000m", &[0]));
    before.disconnect();
    aggregator.resume();
    aggregator.wait_until_clients_disconnected();
    assert_serves(&aggregator, &mut connection, "next");
    assert_eq!(aggregator.counters()["attempts_sent"], 2);
}

/// The disconnect and the answer to the part can be read together. Whichever is read first, no attempt stays in flight
/// once the disconnect is known: one that was sent upon the answer is cancelled at once.
#[test]
fn a_disconnect_as_the_part_is_answered_leaves_nothing_in_flight() {
    for outcome in ["good", "bad", "later"] {
        for _ in 0..5 {
            let (a, b) = (LeafServer::new(), LeafServer::new());
            let aggregator = Setup::new(&[listed("a", a.address, 0), listed("b", b.address, 0)]).start();
            let client = send_query(&aggregator, "q");
            let mut connection = accept_first(&[&a, &b]);
            assert_eq!(connection.next_part(), "q.0");
            aggregator.pause();
            client.disconnect();
            connection.answer("q.0", outcome, "v");
            aggregator.resume();
            aggregator.wait_until_clients_disconnected();
            let known = Instant::now();
            if let Some(mut other) = [&a, &b].into_iter().find_map(LeafServer::try_accept) {
                assert!(outcome != "good", "answered, and sent again");
                other.stream.set_read_timeout(Some(Duration::from_secs(1))).expect("set");
                match other.next_frame() {
                    // The dial was for an attempt that was withdrawn before the connection was up.
                    None => continue,
                    first => {
                        assert_eq!(first.map(|(letter, _)| letter), Some('m'), "{outcome}");
                        assert_eq!(other.next_frame(), Some(('n', "q.0".to_owned())), "{outcome}");
                    }
                }
                assert!(known.elapsed() < Duration::from_millis(1500), "{outcome}: {:?}", known.elapsed());
            }
        }
    }
}

/// A client disconnects while its part waits for the time of its retry at the only holder: the retry is never sent.
#[test]
fn a_disconnect_before_a_retry_is_due_cancels_the_retry() {
    let leaf_server = LeafServer::new();
    let aggregator = with_leaf_server(&leaf_server).start();
    let client = send_query(&aggregator, "q");
    let mut connection = leaf_server.accept();
    assert_eq!(connection.next_part(), "q.0");
    connection.answer("q.0", "bad", "");
    aggregator.wait_for_counter("attempts_bad", 1);
    drop(client);
    aggregator.wait_for_counter("clients_gone", 1);
    // A holder is retried after a median latency, at the start 0.15 of the shortest latency objective of 10 s.
    thread::sleep(Duration::from_millis(1800));
    assert_serves(&aggregator, &mut connection, "next");
    assert_eq!(aggregator.counters()["attempts_sent"], 2);
}

/// The disconnect and the attempt's timeout are due together: what the timeout sends is cancelled at once.
#[test]
fn a_disconnect_as_the_attempt_times_out_leaves_nothing_in_flight() {
    let (a, b) = (LeafServer::new(), LeafServer::new());
    let leaf_servers = [listed("a", a.address, 0), listed("b", b.address, 0)];
    let aggregator = Setup { deadline_ms: 2400, ..Setup::new(&leaf_servers) }.start();
    let mut client = Client::connect(aggregator.address);
    client.send(query("q", "2400m", &[0]));
    let mut connection = accept_first(&[&a, &b]);
    assert_eq!(connection.next_part(), "q.0");
    aggregator.pause();
    client.disconnect();
    // A third of the deadline, where three attempts may be made one after the other.
    thread::sleep(Duration::from_millis(900));
    aggregator.resume();
    aggregator.wait_until_clients_disconnected();
    assert_eq!(connection.next_frame(), Some(('n', "q.0".to_owned())));
    if let Some(mut other) = [&a, &b].into_iter().find_map(LeafServer::try_accept) {
        other.stream.set_read_timeout(Some(Duration::from_millis(500))).expect("set");
        let frames: Vec<char> = std::iter::from_fn(|| other.next_frame()).map(|(letter, _)| letter).collect();
        assert!(frames.is_empty() || frames == ['m', 'n'], "{frames:?}");
    }
}

/// A client disconnects as the connection with its part in flight breaks: the cancellation goes nowhere, and the next
/// query is served.
#[test]
fn a_cancellation_on_a_connection_that_breaks_affects_no_other_query() {
    let leaf_server = LeafServer::new();
    let aggregator = with_leaf_server(&leaf_server).start();
    for round in 0..5 {
        let id = format!("q{round}");
        let client = send_query(&aggregator, &id);
        let mut connection = leaf_server.accept();
        assert_eq!(connection.next_part(), format!("{id}.0"));
        aggregator.pause();
        client.disconnect();
        drop(connection);
        aggregator.resume();
        aggregator.wait_until_clients_disconnected();
        aggregator.wait_for_counter("connections_broken", 2 * round + 1);
        // Nothing is in flight: the next query is served on a new connection.
        let mut next = send_query(&aggregator, &format!("next{round}"));
        let mut connection = leaf_server.accept();
        assert_eq!(connection.next_part(), format!("next{round}.0"));
        connection.answer(&format!("next{round}.0"), "good", "v");
        assert_eq!(next.response().status, 200);
        drop(connection);
        aggregator.wait_for_counter("connections_broken", 2 * round + 2);
    }
}

/// The part waits for a connection that is being dialled: when that is up, nothing is written to it.
#[test]
fn a_disconnect_while_a_leaf_connection_is_dialled_sends_nothing() {
    let mut slow = LeafServer::backlogged();
    let config = with_long_dial_timeout(&with_leaf_server(&slow.server).config());
    let aggregator = Aggregator::start(&config, None);
    let client = send_query(&aggregator, "q");
    aggregator.wait_for_counter("connections_dialled", 1);
    drop(client);
    aggregator.wait_for_counter("clients_gone", 1);
    slow.clear();
    let mut connection = slow.server.accept();
    aggregator.wait_for_counter("connections_up", 1);
    assert_serves(&aggregator, &mut connection, "next");
    assert_eq!(aggregator.counters()["attempts_sent"], 1);
}

/// A client disconnects before the end of its body: nothing of it is forwarded, and the next client is served.
#[test]
fn a_disconnect_within_a_body_forwards_nothing() {
    let leaf_server = LeafServer::new();
    let aggregator = with_leaf_server(&leaf_server).start();
    let whole = query("half", "9000m", &[0]);
    let mut client = Client::connect(aggregator.address);
    client.send(&whole[..whole.len() - 1]);
    client.disconnect();
    aggregator.wait_until_clients_disconnected();
    let mut next = send_query(&aggregator, "next");
    let mut connection = leaf_server.accept();
    assert_eq!(connection.next_part(), "next.0");
    connection.answer("next.0", "good", "v");
    assert_eq!(next.response().status, 200);
    assert_eq!(aggregator.counters()["attempts_sent"], 1);
}

/// The deadline of a pipelined request runs from its arrival, not from the end of those before it.
#[test]
fn the_deadline_of_a_pipelined_request_runs_from_its_arrival() {
    let leaf_server = LeafServer::new();
    let aggregator = with_leaf_server(&leaf_server).start();
    let mut client = Client::connect(aggregator.address);
    client.send(query("q1", "9000m", &[0]) + &query("q2", "400m", &[0]));
    let sent = Instant::now();
    let mut connection = leaf_server.accept();
    assert_eq!(connection.next_part(), "q1.0");
    thread::sleep(Duration::from_millis(450).saturating_sub(sent.elapsed()));
    connection.answer("q1.0", "good", "v");
    assert_eq!(client.response().status, 200);
    assert_ne!(client.response().status, 200, "its deadline had passed before it was read");
    assert_serves(&aggregator, &mut connection, "next");
    assert_eq!(aggregator.counters()["attempts_sent"], 2, "it was not forwarded");
}
