//! Clients that disconnect while a request of theirs is in flight, pipelined or incomplete.

use crate::common::process::*;
use crate::{assert_serves, send_query, with_leaf_server, with_long_connect_timeout};
use std::thread;
use std::time::{Duration, Instant};

/// A client's FIN arrives after all requests that it pipelined. The attempt in flight is cancelled, and no further
/// pipelined request is forwarded.
#[test]
fn a_disconnect_after_pipelined_requests_is_detected() {
    for pipelined in [4, 40, 400] {
        let leaf_server = LeafServer::new();
        let aggregator = with_leaf_server(&leaf_server).start();
        let mut client = Client::connect(aggregator.address);
        client.send((0..pipelined).map(|i| query(&format!("q{i}"), "9000m", &[0])).collect::<String>());
        let mut connection = leaf_server.accept();
        assert_eq!(connection.next_part(), "q0.0");
        drop(client);
        let disconnected_at = Instant::now();
        assert_eq!(connection.next_frame(), Some(('n', "q0.0".to_owned())), "{pipelined} pipelined");
        assert!(
            disconnected_at.elapsed() < Duration::from_millis(1500),
            "{pipelined}: detected after {:?}",
            disconnected_at.elapsed()
        );
        aggregator.wait_for_counter("clients_gone", 1);
        assert_serves(&aggregator, &mut connection, "next");
        assert_eq!(aggregator.counters()["attempts_sent"], 2, "{pipelined} pipelined");
    }
}

/// Guards against a client whose close is not noticed because it is behind more unread requests than the aggregator keeps, so
/// that its query is retried after it has left.
#[test]
fn a_disconnect_behind_much_unread_data_is_detected() {
    const UNREAD_BYTES: usize = 1 << 20;
    let leaf_server = LeafServer::new();
    let aggregator = with_leaf_server(&leaf_server).start();
    let mut client = Client::connect(aggregator.address);
    client.send(query("q0", "9000m", &[0]));
    let mut connection = leaf_server.accept();
    assert_eq!(connection.next_part(), "q0.0");
    let pipelined: String = (1..UNREAD_BYTES / 200).map(|i| query(&format!("q{i}"), "9000m", &[0])).collect();
    client.send_as_much_as_possible(pipelined.as_bytes());
    drop(client);
    let disconnected_at = Instant::now();
    assert_eq!(connection.next_frame(), Some(('n', "q0.0".to_owned())));
    let elapsed = disconnected_at.elapsed();
    assert!(elapsed < Duration::from_millis(1500), "detected after {elapsed:?}");
    aggregator.wait_for_counter("clients_gone", 1);
    assert_serves(&aggregator, &mut connection, "next");
    assert_eq!(aggregator.counters()["attempts_sent"], 2, "no pipelined request was forwarded");
}

/// A client that pipelines more than the aggregator keeps, and stays, gets an answer to each request that is kept, and then
/// an error that says that the others have not been forwarded.
#[test]
fn a_client_that_pipelines_too_much_gets_answers_and_then_an_error() {
    let leaf_server = AnsweringLeafServer::new();
    let aggregator = Setup::new(&[listed_endpoint("a", leaf_server.address, 0)]).start();
    aggregator.pause();
    let mut client = Client::connect(aggregator.address);
    let pipelined: String = (0..5000).map(|i| query(&format!("q{i}"), "9000m", &[0])).collect();
    let mut writer = client.try_clone();
    let writing = thread::spawn(move || writer.send_as_much_as_possible(pipelined.as_bytes()));
    thread::sleep(Duration::from_millis(200));
    aggregator.resume();
    let mut answered = 0;
    let last = loop {
        let response = client.response();
        if response.status != 200 {
            break response;
        }
        answered += 1;
    };
    writing.join().expect("the aggregator reads or closes");
    assert!((last.status, last.header("Connection")) == (503, Some("close")), "{last:?}");
    assert!(answered >= 100, "only {answered} requests were answered");
    assert_eq!(leaf_server.count(), answered, "each forwarded request is answered");
}

/// Requests that are read only after their clients have disconnected are not forwarded.
#[test]
fn a_request_read_after_its_client_disconnected_is_not_forwarded() {
    let leaf_server = LeafServer::new();
    let aggregator = with_leaf_server(&leaf_server).start();
    let mut first_client = send_query(&aggregator, "before");
    let mut connection = leaf_server.accept();
    let part = connection.next_part();
    connection.answer(&part, "good", "v");
    assert_eq!(first_client.response().status, 200);
    aggregator.pause();
    for (i, pipelined) in [1, 3, 60, 400].into_iter().enumerate() {
        let mut client = Client::connect(aggregator.address);
        client.send(
            (0..pipelined).map(|n| query(&format!("disconnected{i}-{n}"), "9000m", &[0])).collect::<String>(),
        );
        client.disconnect();
    }
    first_client.send(query("last", "9000m", &[0]));
    first_client.disconnect();
    aggregator.resume();
    aggregator.wait_until_clients_disconnected();
    assert_serves(&aggregator, &mut connection, "next");
    assert_eq!(aggregator.counters()["attempts_sent"], 2);
}

/// The disconnect and the answer to the part may be read at the same time. Whichever is read first, no attempt remains in
/// flight after the disconnect is detected: a retry sent because of the answer is cancelled immediately.
#[test]
fn a_disconnect_as_the_part_is_answered_leaves_nothing_in_flight() {
    for outcome in ["good", "bad", "later"] {
        for _ in 0..5 {
            let (a, b) = (LeafServer::new(), LeafServer::new());
            let aggregator =
                Setup::new(&[listed_endpoint("a", a.address, 0), listed_endpoint("b", b.address, 0)]).start();
            let client = send_query(&aggregator, "q");
            let mut connection = accept_first(&[&a, &b]);
            assert_eq!(connection.next_part(), "q.0");
            aggregator.pause();
            client.disconnect();
            connection.answer("q.0", outcome, "v");
            aggregator.resume();
            aggregator.wait_until_clients_disconnected();
            let detected_at = Instant::now();
            if let Some(mut other) = [&a, &b].into_iter().find_map(LeafServer::try_accept) {
                assert!(outcome != "good", "sent again although it was answered");
                other.stream.set_read_timeout(Some(Duration::from_secs(1))).expect("the timeout can be set");
                match other.next_frame() {
                    // The attempt was withdrawn before its connection was established.
                    None => continue,
                    first => {
                        assert_eq!(first.map(|(letter, _)| letter), Some('m'), "{outcome}");
                        assert_eq!(other.next_frame(), Some(('n', "q.0".to_owned())), "{outcome}");
                    }
                }
                assert!(
                    detected_at.elapsed() < Duration::from_millis(1500),
                    "{outcome}: {:?}",
                    detected_at.elapsed()
                );
            }
        }
    }
}

/// A client disconnects while its part waits for a retry at the only holder. The retry is never sent.
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
    // The backoff of a retry is the median latency, which is initially 0.15 of the shortest latency objective of 10 s.
    thread::sleep(Duration::from_millis(1800));
    assert_serves(&aggregator, &mut connection, "next");
    assert_eq!(aggregator.counters()["attempts_sent"], 2);
}

/// The disconnect and the attempt's timeout are due at the same time. An attempt sent because of the timeout is cancelled
/// immediately.
#[test]
fn a_disconnect_as_the_attempt_times_out_leaves_nothing_in_flight() {
    let (a, b) = (LeafServer::new(), LeafServer::new());
    let leaf_servers = [listed_endpoint("a", a.address, 0), listed_endpoint("b", b.address, 0)];
    let aggregator = Setup { deadline_ms: 2400, ..Setup::new(&leaf_servers) }.start();
    let mut client = Client::connect(aggregator.address);
    client.send(query("q", "2400m", &[0]));
    let mut connection = accept_first(&[&a, &b]);
    assert_eq!(connection.next_part(), "q.0");
    aggregator.pause();
    client.disconnect();
    // Longer than an attempt's timeout: a third of the deadline, since three attempts are allowed.
    thread::sleep(Duration::from_millis(900));
    aggregator.resume();
    aggregator.wait_until_clients_disconnected();
    assert_eq!(connection.next_frame(), Some(('n', "q.0".to_owned())));
    if let Some(mut other) = [&a, &b].into_iter().find_map(LeafServer::try_accept) {
        other.stream.set_read_timeout(Some(Duration::from_millis(500))).expect("the timeout can be set");
        let frames: Vec<char> = std::iter::from_fn(|| other.next_frame()).map(|(letter, _)| letter).collect();
        assert!(frames.is_empty() || frames == ['m', 'n'], "{frames:?}");
    }
}

/// A client disconnects while the connection with its part in flight breaks. The cancellation cannot be sent, and the
/// next query is served.
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
        // Nothing is left in flight, and the next query is served on a new connection.
        let mut next = send_query(&aggregator, &format!("next{round}"));
        let mut connection = leaf_server.accept();
        assert_eq!(connection.next_part(), format!("next{round}.0"));
        connection.answer(&format!("next{round}.0"), "good", "v");
        assert_eq!(next.response().status, 200);
        drop(connection);
        aggregator.wait_for_counter("connections_broken", 2 * round + 2);
    }
}

/// The part waits for a connection that is being established. Once it is established, nothing is written to it.
#[test]
fn a_disconnect_while_a_leaf_connection_is_dialled_sends_nothing() {
    let mut slow = LeafServer::backlogged();
    let config = with_long_connect_timeout(&with_leaf_server(&slow.server).config());
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

/// A client disconnects before the end of its request body. Its query is not forwarded, and the next client is served.
#[test]
fn a_disconnect_within_a_body_forwards_nothing() {
    let leaf_server = LeafServer::new();
    let aggregator = with_leaf_server(&leaf_server).start();
    let request = query("half", "9000m", &[0]);
    let mut client = Client::connect(aggregator.address);
    client.send(&request[..request.len() - 1]);
    client.disconnect();
    aggregator.wait_until_clients_disconnected();
    let mut next = send_query(&aggregator, "next");
    let mut connection = leaf_server.accept();
    assert_eq!(connection.next_part(), "next.0");
    connection.answer("next.0", "good", "v");
    assert_eq!(next.response().status, 200);
    assert_eq!(aggregator.counters()["attempts_sent"], 1);
}

/// The deadline of a pipelined request is measured from its arrival, not from the end of the previous request.
#[test]
fn the_deadline_of_a_pipelined_request_runs_from_its_arrival() {
    let leaf_server = LeafServer::new();
    let aggregator = with_leaf_server(&leaf_server).start();
    let mut client = Client::connect(aggregator.address);
    client.send(query("q1", "9000m", &[0]) + &query("q2", "400m", &[0]));
    let sent_at = Instant::now();
    let mut connection = leaf_server.accept();
    assert_eq!(connection.next_part(), "q1.0");
    thread::sleep(Duration::from_millis(450).saturating_sub(sent_at.elapsed()));
    connection.answer("q1.0", "good", "v");
    assert_eq!(client.response().status, 200);
    assert_ne!(client.response().status, 200, "its deadline had passed before it was read");
    assert_serves(&aggregator, &mut connection, "next");
    assert_eq!(aggregator.counters()["attempts_sent"], 2, "it was not forwarded");
}
