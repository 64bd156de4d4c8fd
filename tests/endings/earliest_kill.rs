//! Requests that arrive during a graceful shutdown, against the earliest SIGKILL: each is answered in time or not taken.

use crate::common::process::*;
use crate::{begin_shutdown, with_leaf_server};
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
