//! Tests of the connections to leaf servers, on real sockets: calls, cancellations, outcomes of attempts and limits.

mod common;

use common::leaf_setups::*;
use common::process::*;
use std::io::Write;
use std::time::{Duration, Instant};

/// The cancellation of the first attempt must be written before the second one is sent, so that leaf servers never
/// process both at the same time.
#[test]
fn cancellation_is_written_before_the_next_attempt_is_sent() {
    let (a, b) = (LeafServer::new(), LeafServer::new());
    let aggregator = Setup { deadline_ms: 2400, ..with_two_replicas(&a, &b) }.start();
    let mut client = Client::connect(aggregator.address);
    client.send(query("q1", "2400m", &[0]));
    let mut connections = [accept_first(&[&a, &b]), accept_first(&[&a, &b])];
    // The second attempt has arrived, so the first part and its cancellation must already be readable.
    connections[0].stream.set_nonblocking(true).expect("set");
    assert_eq!(connections[0].next_part(), "q1.0");
    assert_eq!(connections[0].next_frame(), Some(('n', "q1.0".to_owned())));
    assert_eq!(connections[1].next_part(), "q1.0");
    // A late answer to the cancelled attempt is ignored; only the answer to the second one is used.
    connections[0].answer("q1.0", "good", "late");
    aggregator.wait_for_counter("attempts_timed_out", 1);
    connections[1].answer("q1.0", "good", "in time");
    let reply = client.response();
    assert_eq!((reply.status, reply.body.contains("in time")), (200, true), "{reply:?}");
}

#[test]
fn each_failed_outcome_of_an_attempt_has_its_own_counter() {
    type Response = fn(&mut LeafConnection, &str);
    let cases: [(&str, Response); 11] = [
        ("attempts_bad", |connection, part| connection.answer(part, "bad", "")),
        ("attempts_rejected", |connection, part| connection.answer(part, "later", "")),
        ("attempts_reset", |connection, _| drop(connection.stream.shutdown(std::net::Shutdown::Both))),
        ("attempts_bad", |connection, _| connection.send_frame('x', "no such letter")),
        ("attempts_bad", |connection, _| connection.send_frame('r', "what was that")),
        ("attempts_bad", |connection, part| connection.send_frame('q', &format!("{part} fine 17 -\nv"))),
        ("attempts_bad", |connection, part| connection.send_frame('q', &format!("{part} good x -\nv"))),
        ("attempts_bad", |connection, part| connection.send_frame('q', &format!("{part} good 17 - v"))),
        ("attempts_bad", |connection, part| connection.send_frame('q', &format!("z{part} good 17 -\nv"))),
        // A wrong frame length, and a length of 3 GB.
        ("attempts_bad", |connection, part| {
            connection.send_truncated_frame('q', &format!("{part} good 17 -\nv"));
        }),
        ("attempts_bad", |connection, _| {
            connection.stream.write_all(&[0xc0, 0, 0, 0, b'q']).expect("the aggregator reads");
        }),
    ];
    for (counter, respond) in cases {
        let (a, b) = (LeafServer::new(), LeafServer::new());
        let aggregator = with_two_replicas(&a, &b).start();
        let mut client = Client::connect(aggregator.address);
        client.send(query("q1", "9000m", &[0]));
        let mut first = accept_first(&[&a, &b]);
        let part = first.next_part();
        respond(&mut first, &part);
        let mut second = accept_first(&[&a, &b]);
        let part = second.next_part();
        second.answer(&part, "good", "v");
        assert_eq!(client.response().status, 200);
        let counters = aggregator.counters();
        assert_eq!(
            (counters[counter], counters["attempts_good"], counters["attempts_sent"]),
            (1, 1, 2),
            "{counter}"
        );
    }
}

#[test]
fn part_is_sent_elsewhere_after_a_refused_connection() {
    let leaf = LeafServer::new();
    let aggregator =
        Setup::new(&[listed_endpoint("a", unreachable_address(), 0), listed_endpoint("b", leaf.address, 0)])
            .start();
    let serve = background(move || {
        let mut connection = leaf.accept();
        while let Some((_, rest)) = connection.next_frame() {
            connection.answer(rest.split(' ').next().unwrap_or_default(), "good", "v");
        }
    });
    let mut client = Client::connect(aggregator.address);
    for i in 0..20 {
        assert_eq!(client.request(query(&format!("q{i}"), "9000m", &[0])).status, 200);
    }
    let counters = aggregator.counters();
    assert_eq!((counters["attempts_sent"], counters["attempts_reset"]), (20, 0));
    assert!(counters["attempts_not_connected"] > 0);
    assert!(counters["connections_failed"] > 0);
    drop(aggregator);
    serve();
}

#[test]
fn query_is_rejected_at_once_after_three_failed_attempts() {
    let leaf = LeafServer::new();
    let aggregator = with_leaves(&[&leaf]).start();
    let mut client = Client::connect(aggregator.address);
    client.send(query("q1", "9000m", &[0]));
    let mut connection = leaf.accept();
    for _ in 0..3 {
        let part = connection.next_part();
        connection.answer(&part, "bad", "");
    }
    let reply = client.response();
    let retry_after: f64 =
        reply.header("Retry-After").and_then(|value| value.parse().ok()).expect("a Retry-After header");
    assert!(reply.status == 503 && retry_after > 0.0, "{reply:?}");
    assert_eq!(aggregator.counters()["attempts_sent"], 3);
}

#[test]
fn client_disconnect_cancels_its_attempts() {
    let leaf = LeafServer::new();
    let aggregator = with_leaves(&[&leaf]).start();
    let mut client = Client::connect(aggregator.address);
    client.send(query("q1", "9000m", &[0]));
    let mut connection = leaf.accept();
    assert_eq!(connection.next_part(), "q1.0");
    drop(client);
    assert_eq!(connection.next_frame(), Some(('n', "q1.0".to_owned())));
    aggregator.wait_for_counter("clients_gone", 1);
    assert_eq!(aggregator.counters()["attempts_cancelled"], 1);
}

#[test]
fn connection_carries_no_more_parts_than_allowed() {
    let leaf = LeafServer::new();
    let setup = Setup { calls_per_connection: 1, ..with_leaves(&[&leaf]) };
    let aggregator = setup.start();
    let mut clients = [Client::connect(aggregator.address), Client::connect(aggregator.address)];
    for (i, client) in clients.iter_mut().enumerate() {
        client.send(query(&format!("q{i}"), "9000m", &[0]));
    }
    for _ in 0..2 {
        let mut connection = leaf.accept();
        let part = connection.next_part();
        connection.answer(&part, "good", "v");
        std::mem::forget(connection);
    }
    assert!(clients.iter_mut().all(|client| client.response().status == 200));
}

#[test]
fn idle_leaf_connection_is_closed_by_the_aggregator() {
    let leaf = LeafServer::new();
    let aggregator = Setup { keepalive_ms: 700, ..with_leaves(&[&leaf]) }.start();
    let mut client = Client::connect(aggregator.address);
    client.send(query("q1", "9000m", &[0]));
    let mut connection = leaf.accept();
    let part = connection.next_part();
    connection.answer(&part, "good", "v");
    assert_eq!(client.response().status, 200);
    assert_eq!(connection.next_frame(), None, "closed by the aggregator");
    assert_eq!(aggregator.counters()["connections_closed"], 1);
}

/// A leaf server that does not read must not delay others, and the queue of messages for it is bounded.
#[test]
fn stalled_leaf_does_not_block_the_aggregator() {
    let (stalled, leaf) = (LeafServer::new(), LeafServer::new());
    let aggregator = Setup { calls_per_connection: 1000, ..with_leaves(&[&stalled, &leaf]) }.start();
    let mut waiting_clients = Vec::new();
    for i in 0..150 {
        let payload = "x".repeat(60_000);
        let mut client = Client::connect(aggregator.address);
        let request = query(&format!("big{i}"), "5000m", &[0]).replace("c41e77d0", &payload);
        let new_length =
            format!("Content-Length: {}", request.split_once("\r\n\r\n").expect("a body").1.len());
        let old_length =
            request.lines().find(|line| line.starts_with("Content-Length")).expect("a length").to_owned();
        client.send(request.replace(&old_length, &new_length));
        waiting_clients.push(client);
    }
    let mut client = Client::connect(aggregator.address);
    client.send(query("small", "9000m", &[1]));
    let mut connection = leaf.accept();
    let part = connection.next_part();
    connection.answer(&part, "good", "v");
    assert_eq!(client.response().status, 200);
    aggregator.wait_for_counter("connections_closed", 1);
    for mut client in waiting_clients {
        assert_eq!(client.response().status, 503);
    }
}

/// A leaf server reads no cancellations on a connection at its limit of calls, and may continue to work on a cancelled
/// attempt until it answers.
#[test]
fn cancellation_is_not_delayed_by_a_full_connection() {
    let leaf = LeafServer::new();
    let aggregator = Setup { calls_per_connection: 3, ..with_leaves(&[&leaf]) }.start();
    let send_query = |id: &str| {
        let mut client = Client::connect(aggregator.address);
        client.send(query(id, "9000m", &[0]));
        client
    };
    let disconnecting = send_query("q0");
    let mut full = leaf.accept();
    assert_eq!(full.next_part(), "q0.0");
    let _first = send_query("q1");
    assert_eq!(full.next_part(), "q1.0");
    let _second = send_query("q2");
    let mut other = leaf.accept();
    assert_eq!(other.next_part(), "q2.0", "a full connection keeps one call of three free");
    drop(disconnecting);
    assert_eq!(full.next_frame(), Some(('n', "q0.0".to_owned())));
    aggregator.wait_for_counter("attempts_cancelled", 1);
    let _third = send_query("q3");
    assert_eq!(other.next_part(), "q3.0", "a cancelled attempt counts as a call until it is answered");
    full.answer("q0.0", "good", "late");
    aggregator.wait_for_counter("answers_ignored", 1);
    let _fourth = send_query("q4");
    assert_eq!(full.next_part(), "q4.0", "an answer to the cancelled attempt frees its call");
}

/// Malformed data in the load report of a served answer, or right after the answer, must not affect the answer.
#[test]
fn served_answer_is_used_despite_malformed_data_around_it() {
    for (report, trailing_bytes, reports_read) in [
        ("inflight=7, util = what", "", 1),
        // Field names from the settings' `report.fields`; without them the balancer would have no load reports.
        ("served_ps=31.5,busy_reqs=9", "", 1),
        ("cpu_share=0.5", "", 1),
        ("inflight=NaN,queue=-3,util=inf", "", 0),
        ("\u{1} \t=,,", "", 0),
        ("-", "\u{0}\u{0}\u{0}\u{5}qnoise", 0),
        ("-", "\u{7f}noise that names a length", 0),
    ] {
        let (a, b) = (LeafServer::new(), LeafServer::new());
        let aggregator = with_two_replicas(&a, &b).start();
        let mut client = Client::connect(aggregator.address);
        client.send(query("q1", "9000m", &[0]));
        let mut connection = accept_first(&[&a, &b]);
        let part = connection.next_part();
        let rest = format!("{part} good 17 {report}\nv");
        let mut bytes = (rest.len() as u32 + 1).to_be_bytes().to_vec();
        bytes.extend(format!("q{rest}{trailing_bytes}").as_bytes());
        connection.stream.write_all(&bytes).expect("the aggregator reads");
        assert_eq!(client.response().status, 200, "{report:?} {trailing_bytes:?}");
        if !trailing_bytes.is_empty() {
            assert_eq!(connection.next_frame(), None, "closed after the malformed bytes");
        }
        let counters = aggregator.counters();
        assert_eq!(
            (counters["attempts_good"], counters["attempts_bad"]),
            (1, 0),
            "{report:?} {trailing_bytes:?}"
        );
        assert_eq!(counters["reports_read"], reports_read, "{report:?}");
    }
}

/// Guards against a 504 instead of a 503 when the aggregator is paused while a query's deadline passes.
#[test]
fn a_query_whose_deadline_passes_while_the_aggregator_is_paused_is_rejected() {
    let leaf = LeafServer::new();
    let aggregator = with_leaves(&[&leaf]).start();
    let mut client = Client::connect(aggregator.address);
    client.send(query("q", "1000m", &[0]));
    let sent_at = Instant::now();
    leaf.accept().next_part();
    let stopped_at = sent_at + Duration::from_millis(900);
    std::thread::sleep(stopped_at.saturating_duration_since(Instant::now()));
    aggregator.pause();
    std::thread::sleep(Duration::from_millis(200));
    aggregator.resume();
    assert_eq!(client.response().status, 503);
}
