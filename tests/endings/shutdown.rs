//! Graceful shutdown: every request that has reached the aggregator or its kernel is answered, and the process exits.

use crate::common::process::*;
use crate::{begin_shutdown, send_query, with_leaf_server};
use std::thread;
use std::time::{Duration, Instant};

/// The kernel accepts connections while the process is paused, until after the time at which the listener should close.
/// All of them are answered. A second SIGTERM has no effect.
#[test]
fn a_connection_in_the_listen_queue_is_answered_before_exit() {
    for round in 0..3 {
        let leaf_server = LeafServer::new();
        let mut aggregator = with_leaf_server(&leaf_server).start();
        begin_shutdown(&mut aggregator);
        aggregator.signal("-TERM");
        aggregator.pause();
        let mut clients: Vec<Client> = (0..20).map(|_| Client::connect(aggregator.address)).collect();
        for (i, client) in clients.iter_mut().enumerate() {
            client.send(query(&format!("q{i}"), "9000m", &[0]));
        }
        thread::sleep(Duration::from_millis(700));
        aggregator.resume();
        let mut connection = leaf_server.accept();
        for _ in 0..clients.len() {
            let part = connection.next_part();
            connection.answer(&part, "good", "v");
        }
        assert!(clients.iter_mut().all(|client| client.response().status == 200), "round {round}");
        drop(clients);
        assert!(aggregator.wait_for_exit().success());
    }
}

/// The limit on client connections is reached at SIGTERM, and one more client waits in the listen queue. It is accepted
/// and answered once other clients have disconnected.
#[test]
fn a_queued_client_of_a_full_aggregator_is_answered_before_exit() {
    const MAX_CLIENTS: usize = 15;
    let leaf_server = LeafServer::new();
    let config = with_leaf_server(&leaf_server).config().replace("\"sockets\":1024", "\"sockets\":64");
    let mut aggregator = Aggregator::start(&config, None);
    let mut clients: Vec<Client> = Vec::new();
    let mut connection = None;
    for i in 0..MAX_CLIENTS {
        let client = send_query(&aggregator, &format!("q{i}"));
        clients.push(client);
        assert_eq!(connection.get_or_insert_with(|| leaf_server.accept()).next_part(), format!("q{i}.0"));
    }
    let mut queued = send_query(&aggregator, "queued");
    begin_shutdown(&mut aggregator);
    // Past the grace period in which connections are accepted as before.
    thread::sleep(Duration::from_millis(900));
    let mut connection = connection.expect("a connection");
    for (i, client) in clients.iter_mut().enumerate() {
        connection.answer(&format!("q{i}.0"), "good", "v");
        assert_eq!(client.response().status, 200);
    }
    drop(clients);
    assert_eq!(connection.next_part(), "queued.0");
    connection.answer("queued.0", "good", "v");
    assert_eq!(queued.response().status, 200);
    drop(queued);
    assert!(aggregator.wait_for_exit().success());
}

/// A request arrives on an idle connection while the aggregator closes it during shutdown. The request is answered or not
/// forwarded, but never forwarded without an answer.
#[test]
fn a_request_crossing_the_close_of_an_idle_connection_is_answered_or_not_forwarded() {
    for after_ms in [600, 640, 650, 660, 700, 760] {
        let leaf_server = LeafServer::new();
        let mut aggregator = with_leaf_server(&leaf_server).start();
        let mut client = send_query(&aggregator, "first");
        let mut connection = leaf_server.accept();
        let part = connection.next_part();
        connection.answer(&part, "good", "v");
        assert_eq!(client.response().status, 200);
        begin_shutdown(&mut aggregator);
        thread::sleep(Duration::from_millis(after_ms));
        let reply = {
            let serve = background(move || match connection.next_frame() {
                Some(('m', rest)) => {
                    connection.answer(rest.split(' ').next().expect("an id"), "good", "v");
                    connection.next_frame();
                    true
                }
                _ => false,
            });
            let reply = client.try_request(query("crossing", "9000m", &[0]));
            drop(client);
            let forwarded = serve();
            assert!(!forwarded || reply.is_some(), "{after_ms} ms: forwarded, but not answered");
            reply
        };
        assert!(reply.is_none_or(|response| response.status == 200), "{after_ms} ms");
        assert!(aggregator.wait_for_exit().success());
    }
}

/// A request that has arrived partially at SIGTERM is answered, even if the rest arrives after idle connections are
/// closed.
#[test]
fn a_half_read_request_at_shutdown_is_answered() {
    for rest_after_ms in [0, 720] {
        let leaf_server = LeafServer::new();
        let mut aggregator = with_leaf_server(&leaf_server).start();
        let request = query("q", "9000m", &[0]);
        let split_points = [20, request.len() - 90, request.len() - 1];
        let request_split_at =
            |split_point: usize| request.replace("Req-Id: q", &format!("Req-Id: q{split_point}"));
        let mut clients: Vec<Client> = Vec::new();
        for split_point in split_points {
            let mut client = Client::connect(aggregator.address);
            client.send(&request_split_at(split_point)[..split_point]);
            clients.push(client);
        }
        aggregator.wait_for_counter("clients_opened", split_points.len() as u64);
        begin_shutdown(&mut aggregator);
        thread::sleep(Duration::from_millis(rest_after_ms));
        let mut connection = None;
        for (client, split_point) in clients.iter_mut().zip(split_points) {
            client.send(&request_split_at(split_point)[split_point..]);
            let connection = connection.get_or_insert_with(|| leaf_server.accept());
            let part = connection.next_part();
            connection.answer(&part, "good", "v");
            assert_eq!(
                client.response().status,
                200,
                "split at {split_point}, the rest after {rest_after_ms} ms"
            );
        }
        drop(clients);
        assert!(aggregator.wait_for_exit().success());
    }
}

/// The leaf server never answers one query, a second client never reads its answer, and a third never sends a request.
/// Each query ends by its deadline, and the process exits.
#[test]
fn hung_peers_do_not_prevent_exit() {
    let leaf_server = LeafServer::new();
    let mut aggregator = with_leaf_server(&leaf_server).start();
    let mut unanswered_client = Client::connect(aggregator.address);
    unanswered_client.send(query("hung", "1500m", &[0]));
    let mut connection = leaf_server.accept();
    assert_eq!(connection.next_part(), "hung.0");
    let unreading_client = send_query(&aggregator, "unread");
    assert_eq!(connection.next_part(), "unread.0");
    let _idle_client = Client::connect(aggregator.address);
    begin_shutdown(&mut aggregator);
    connection.answer("unread.0", "good", &"v".repeat(60_000));
    let waiting_since = Instant::now();
    assert_ne!(unanswered_client.response().status, 200, "no leaf server has served it");
    assert!(waiting_since.elapsed() < Duration::from_secs(2), "{:?}", waiting_since.elapsed());
    drop(unanswered_client);
    assert!(aggregator.wait_for_exit().success());
    drop(unreading_client);
}

/// SIGTERM arrives before the aggregator has an endpoint list, or together with SIGHUP.
#[test]
fn sigterm_while_starting_or_reloading_shuts_down() {
    let discovery = Discovery::new();
    let mut starting = Setup { discovery: discovery.address(), ..Setup::new(&[]) }.start();
    starting.signal("-TERM");
    assert!(starting.wait_for_exit().success());
    let leaf_server = LeafServer::new();
    let mut reloading = with_leaf_server(&leaf_server).start();
    let mut waiting_client = send_query(&reloading, "waiting");
    let mut connection = leaf_server.accept();
    assert_eq!(connection.next_part(), "waiting.0");
    reloading.pause();
    reloading.signal("-HUP");
    reloading.signal("-TERM");
    reloading.resume();
    reloading.wait_for_log("graceful shutdown");
    connection.answer("waiting.0", "good", "v");
    assert_eq!(waiting_client.response().status, 200);
    drop(waiting_client);
    assert!(reloading.wait_for_exit().success());
}
