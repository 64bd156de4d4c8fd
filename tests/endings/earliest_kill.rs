//! Requests that arrive during a graceful shutdown, against the earliest SIGKILL: each is answered in time or not taken.

use crate::common::flight::ticket;
use crate::common::http2::{Frames, HeaderBlock, message_prefix, ticket_message};
use crate::common::process::*;
use crate::{begin_shutdown, with_leaf_server};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

/// The platform kills a process no sooner than the longest deadline, counted as 3 s where it is longer, and 0.7 s after SIGTERM.
fn earliest_kill(longest_deadline_ms: u32) -> Duration {
    Duration::from_millis(u64::from(longest_deadline_ms.min(3000)) + 700)
}

/// Sends SIGTERM, and returns when.
fn shut_down(aggregator: &mut Aggregator) -> Instant {
    let requested_at = Instant::now();
    begin_shutdown(aggregator);
    requested_at
}

fn sleep_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}

/// A client that has been answered, and the leaf server's connection.
fn answered_client(aggregator: &Aggregator, leaf_server: &LeafServer) -> (Client, LeafConnection) {
    let mut client = Client::connect(aggregator.address);
    client.send(query("first", "9000m", &[0]));
    let mut connection = leaf_server.accept();
    let part = connection.next_part();
    connection.answer(&part, "good", "v");
    assert_eq!(client.response().status, 200);
    (client, connection)
}

// Guards against a request that is completed after SIGTERM, waits for a leaf server that hangs, and is still unanswered at the
// earliest SIGKILL, since it kept the whole time of its client.
#[test]
fn a_request_completed_after_sigterm_is_answered_before_the_earliest_kill() {
    for deadline_ms in [10_000, 1_200, 300] {
        let leaf_server = LeafServer::new();
        let mut aggregator = Setup { deadline_ms, ..with_leaf_server(&leaf_server) }.start();
        let (mut client, _hanging) = answered_client(&aggregator, &leaf_server);
        let requested_at = shut_down(&mut aggregator);
        let request = query("slow", "9000m", &[0]);
        let (start, rest) = request.split_at(request.len() / 2);
        sleep_until(requested_at + Duration::from_millis(550));
        client.send(start);
        sleep_until(requested_at + Duration::from_millis(780));
        client.send(rest);
        let response = client.response();
        let answered_after = requested_at.elapsed();
        assert_ne!(response.status, 200, "{deadline_ms} ms: no leaf server has answered");
        let limit = earliest_kill(deadline_ms);
        assert!(answered_after < limit, "{deadline_ms} ms: {answered_after:?} of {limit:?}");
        drop(client);
        assert!(aggregator.wait_for_exit().success());
    }
}

// Guards against a request that arrives within the grace period with much time left, and outlives the process.
#[test]
fn a_request_in_the_grace_period_is_answered_before_the_earliest_kill() {
    for deadline_ms in [10_000, 600] {
        let leaf_server = LeafServer::new();
        let mut aggregator = Setup { deadline_ms, ..with_leaf_server(&leaf_server) }.start();
        let (mut client, _hanging) = answered_client(&aggregator, &leaf_server);
        let requested_at = shut_down(&mut aggregator);
        sleep_until(requested_at + Duration::from_millis(500));
        client.send(query("second", "9000m", &[0]));
        assert_ne!(client.response().status, 200, "{deadline_ms} ms: no leaf server has answered");
        let answered_after = requested_at.elapsed();
        let limit = earliest_kill(deadline_ms);
        assert!(answered_after < limit, "{deadline_ms} ms: {answered_after:?} of {limit:?}");
        drop(client);
        assert!(aggregator.wait_for_exit().success());
    }
}

// Guards against connections that stay open up to SIGKILL where the longest deadline is short: a request that is completed on
// one of them then has no time for an answer.
#[test]
fn connections_are_closed_before_the_earliest_kill_also_if_deadlines_are_short() {
    for deadline_ms in [10, 100, 200] {
        let leaf_server = LeafServer::new();
        let operator = Some("flight:\n  listen: 127.0.0.1:0\n".to_owned());
        let mut aggregator = Setup { deadline_ms, operator, ..with_leaf_server(&leaf_server) }.start();
        let flight = aggregator.flight_address();
        let mut idle = Client::connect(aggregator.address);
        assert_eq!(idle.request("GET /healthz HTTP/1.1\r\n\r\n").status, 200);
        let mut half_read = Client::connect(aggregator.address);
        let mut half_read_call = TcpStream::connect(&flight).expect("the aggregator accepts");
        let requested_at = shut_down(&mut aggregator);
        let limit = earliest_kill(deadline_ms);
        sleep_until(requested_at + Duration::from_millis(350));
        let request = query("half", "9000m", &[0]);
        half_read.send(&request[..request.len() - 1]);
        let call = Frames::preface().headers(1, &HeaderBlock::do_get()).data(1, &message_prefix(100));
        call.send(&mut half_read_call).expect("the aggregator reads");
        idle.request("GET /healthz HTTP/1.1\r\n\r\n");
        let streams = [
            ("idle", idle.into_stream()),
            ("half-read", half_read.into_stream()),
            ("half-read call", half_read_call),
        ];
        let closes = streams.map(|(name, stream)| (name, background(move || closed_at(stream))));
        for (name, closed_at) in closes {
            let closed_after = closed_at() - requested_at;
            assert!(closed_after < limit, "{deadline_ms} ms, {name}: {closed_after:?} of {limit:?}");
        }
        assert!(aggregator.wait_for_exit().success());
    }
}

// Guards against a call over Flight that is completed after SIGTERM and outlives the process.
#[test]
fn a_flight_call_completed_after_sigterm_is_answered_before_the_earliest_kill() {
    let deadline_ms = 10_000;
    let leaf_server = LeafServer::new();
    let operator = Some("flight:\n  listen: 127.0.0.1:0\n".to_owned());
    let mut aggregator = Setup { deadline_ms, operator, ..with_leaf_server(&leaf_server) }.start();
    let (_client, _hanging) = answered_client(&aggregator, &leaf_server);
    let mut gateway = TcpStream::connect(aggregator.flight_address()).expect("the aggregator accepts");
    let requested_at = shut_down(&mut aggregator);
    let message = ticket_message(&ticket("slow", &[0]));
    let (start, rest) = message.split_at(message.len() / 2);
    let begun = Frames::preface().headers(1, &HeaderBlock::do_get()).data(1, start);
    begun.send(&mut gateway).expect("the aggregator reads");
    sleep_until(requested_at + Duration::from_millis(780));
    Frames::default().last_data(1, rest).send(&mut gateway).expect("the aggregator reads");
    let closed_after = closed_at(gateway) - requested_at;
    assert!(closed_after < earliest_kill(deadline_ms), "{closed_after:?}");
    assert_eq!(aggregator.wait_for_exit().code(), Some(0));
    assert!(
        aggregator.log().iter().any(|line| line.contains("sailmux_queries_taken 2")),
        "the call was read"
    );
}

// Guards against a reply that a strict ledger holds back beyond the earliest SIGKILL while its disk hangs.
#[test]
fn a_reply_held_for_the_ledger_is_sent_before_the_earliest_kill() {
    let deadline_ms = 300;
    let leaf_server = LeafServer::new();
    let directory = scratch_dir("ledger");
    let operator =
        Some(format!("ledger: {{dir: {}, mode: strict, answer_wait_ms: 1000}}\n", directory.display()));
    let mut aggregator = Setup { deadline_ms, operator, ..with_leaf_server(&leaf_server) }.start();
    let (mut client, mut connection) = answered_client(&aggregator, &leaf_server);
    // The ledger's thread reads requests from the directory; it hangs on a pipe that nobody writes to, as on a hung disk.
    let pipe = directory.join("request-hangs.json");
    assert!(Command::new("mkfifo").arg(&pipe).status().expect("mkfifo runs").success());
    thread::sleep(Duration::from_millis(600));
    let requested_at = shut_down(&mut aggregator);
    sleep_until(requested_at + Duration::from_millis(500));
    client.send(query("held", "9000m", &[0]));
    let part = connection.next_part();
    connection.answer(&part, "good", "v");
    assert_eq!(client.response().status, 200);
    let answered_after = requested_at.elapsed();
    assert!(answered_after < earliest_kill(deadline_ms), "{answered_after:?}");
    assert!(answered_after > Duration::from_millis(700), "{answered_after:?}: it was not held");
    drop(client);
    assert!(aggregator.wait_for_exit().success());
}

/// Reads until the aggregator closes the connection, and returns when that was.
fn closed_at(mut stream: TcpStream) -> Instant {
    let _ = stream.read_to_end(&mut Vec::new());
    Instant::now()
}

// Guards against pipelined requests that have been read and are dropped without an answer, since the connection was closed
// after the reply to the first one.
#[test]
fn pipelined_requests_that_have_been_read_are_answered_before_the_close() {
    let leaf_server = LeafServer::new();
    let mut aggregator = with_leaf_server(&leaf_server).start();
    let (mut client, mut connection) = answered_client(&aggregator, &leaf_server);
    let requested_at = shut_down(&mut aggregator);
    sleep_until(requested_at + Duration::from_millis(500));
    client.send((0..3).map(|i| query(&format!("q{i}"), "9000m", &[0])).collect::<String>());
    assert_eq!(connection.next_part(), "q0.0");
    sleep_until(requested_at + Duration::from_millis(700));
    connection.answer("q0.0", "good", "v");
    let mut closes = vec![client.response().header("Connection").is_some()];
    for i in 1..3 {
        assert_eq!(connection.next_part(), format!("q{i}.0"));
        connection.answer(&format!("q{i}.0"), "good", "v");
        let response = client.response();
        assert_eq!(response.status, 200, "request {i}");
        closes.push(response.header("Connection").is_some());
    }
    assert_eq!(closes, [false, false, true], "the last answer announces the close");
    drop(client);
    assert!(aggregator.wait_for_exit().success());
}

// Guards against a client that sends requests without a pause and thereby keeps its connection up to SIGKILL.
#[test]
fn endless_pipelined_requests_do_not_outlast_the_earliest_kill() {
    let deadline_ms = 100;
    let leaf_server = LeafServer::new();
    let mut aggregator = Setup { deadline_ms, ..with_leaf_server(&leaf_server) }.start();
    let (client, _hanging) = answered_client(&aggregator, &leaf_server);
    let mut sender = client.try_clone().into_stream();
    let requested_at = shut_down(&mut aggregator);
    let receive = background(move || closed_at(client.into_stream()));
    for i in 0.. {
        let requests: String = (0..20).map(|n| query(&format!("q{i}-{n}"), "9000m", &[0])).collect();
        if sender.write_all(requests.as_bytes()).is_err() || requested_at.elapsed() > Duration::from_secs(3) {
            break;
        }
        thread::sleep(Duration::from_millis(5));
    }
    let closed_after = receive() - requested_at;
    assert!(closed_after < earliest_kill(deadline_ms), "{closed_after:?}");
    assert!(aggregator.wait_for_exit().success());
}
