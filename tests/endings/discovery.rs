//! Discovery watches that stop responding, end or move to another address, and discovery that is down at startup.

use crate::common::process::*;
use crate::with_leaf_server;
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// An aggregator with the settings of a large fleet and its open watch, on which an event has been sent.
fn start_with_watch(discovery: &Discovery, leaf_server: &LeafServer) -> (Aggregator, Watch) {
    let setup = Setup { discovery: discovery.address(), ..with_leaf_server(leaf_server) };
    let config = of_large_fleet(&setup.config());
    let aggregator = Aggregator::start(&config, None);
    let mut watch = discovery.accept();
    watch.send_event(&list(2, false, &[]));
    aggregator.wait_for_counter("lists_taken", 2);
    (aggregator, watch)
}

/// The configuration of an aggregator in a fleet of 300 aggregators.
fn of_large_fleet(config: &str) -> String {
    config.replace("\"replicasOfMe\":1", "\"replicasOfMe\":300")
}

/// How discovery handles a request after the watch has ended.
#[derive(Clone, Copy, Debug)]
enum NextResponse {
    /// Accepts the connection and sends nothing.
    NoResponse,
    /// Sends a response head and nothing after it.
    HeadOnly,
    /// Sends a response head and a truncated event.
    TruncatedEvent,
    /// Responds with 503.
    Unavailable,
    /// Closes the connection without a response.
    Reset,
}

/// The watch stops responding, and the next requests fail in various ways. A change of the endpoint list is applied
/// within the 6 s that the protocol allows.
#[test]
fn a_change_is_applied_in_time_after_an_unresponsive_watch_and_failed_requests() {
    use NextResponse::*;
    let cases: [&[NextResponse]; 6] = [
        &[NoResponse],
        &[HeadOnly, Unavailable],
        &[TruncatedEvent, Reset],
        &[Reset, NoResponse, Unavailable],
        &[Unavailable, NoResponse, Reset],
        &[Unavailable, Unavailable, Unavailable],
    ];
    let runs = cases.map(|responses| {
        background(move || {
            let (leaf_server, discovery) = (LeafServer::new(), Discovery::new());
            let (aggregator, _watch) = start_with_watch(&discovery, &leaf_server);
            let unresponsive_since = Instant::now();
            let mut kept_open = Vec::new();
            for response in responses {
                let mut stream = discovery.accept_raw();
                let bytes = match response {
                    NoResponse | Reset => String::new(),
                    HeadOnly => RESPONSE_HEAD.to_owned(),
                    TruncatedEvent => format!("{RESPONSE_HEAD}10\r\n{{\"generation\":3"),
                    Unavailable => "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_owned(),
                };
                stream.write_all(bytes.as_bytes()).expect("the aggregator reads");
                if matches!(response, NoResponse | HeadOnly | TruncatedEvent) {
                    kept_open.push(stream);
                }
            }
            let draining =
                ListedEndpoint { lifecycle: "Terminating", ..listed_endpoint("a", leaf_server.address, 0) };
            discovery.accept().send_event(&list(3, false, &[draining]));
            aggregator.wait_for_counter("lists_taken", 3);
            (responses, unresponsive_since.elapsed())
        })
    });
    for (responses, elapsed) in runs.map(|finish| finish()) {
        assert!(elapsed < Duration::from_secs(6), "{responses:?}: applied only after {elapsed:?}");
    }
}

/// A watch on which only keep-alive lines were sent has not failed: it is reopened as soon as a watch with events.
#[test]
fn a_watch_without_changes_is_reopened_at_once() {
    for _ in 0..5 {
        let (leaf_server, discovery) = (LeafServer::new(), Discovery::new());
        let setup = Setup { discovery: discovery.address(), ..with_leaf_server(&leaf_server) };
        let config = of_large_fleet(&setup.config());
        let aggregator = Aggregator::start(&config.replace("\"pushed\"", "\"on_request\""), None);
        let mut watch = discovery.accept();
        watch.send_event("");
        aggregator.wait_for_counter("list_calls", 1);
        // Gives the aggregator time to read the line before the watch ends.
        thread::sleep(Duration::from_millis(20));
        drop(watch);
        let ended_at = Instant::now();
        discovery.accept();
        assert!(
            ended_at.elapsed() < Duration::from_millis(400),
            "reopened {:?} after the end",
            ended_at.elapsed()
        );
    }
}

/// A reload moves discovery to another address while the old watch still sends events. The list of the new one is complete
/// and has an earlier generation; a leaf server that it does not contain is removed, although the old watch's last event
/// listed it.
#[test]
fn a_complete_list_of_the_new_discovery_replaces_the_old_one() {
    let (a, b) = (LeafServer::new(), LeafServer::new());
    let (old, new) = (Discovery::new(), Discovery::new());
    let setup = Setup { discovery: old.address(), ..with_leaf_server(&a) };
    let aggregator = setup.start();
    let mut first = old.accept();
    first.send_event(&list(70, false, &[]));
    aggregator.wait_for_counter("lists_taken", 2);
    std::fs::write(&aggregator.config, Setup { discovery: new.address(), ..setup }.config())
        .expect("the configuration can be written");
    aggregator.pause();
    first.send_event(&list(
        71,
        false,
        &[ListedEndpoint { started: 1, ..listed_endpoint("a", a.address, 0) }],
    ));
    aggregator.signal("-HUP");
    aggregator.resume();
    let mut second = new.accept();
    second.send_event(&list(5, true, &[ListedEndpoint { started: 1, ..listed_endpoint("b", b.address, 0) }]));
    aggregator.wait_for_counter("reloads", 1);
    // Parts are sent only to b from now on.
    let mut client = Client::connect(aggregator.address);
    wait_until("b is listed", || aggregator.counters()["lists_taken"] >= 3);
    let mut connection = None;
    for i in 0..10 {
        client.send(query(&format!("q{i}"), "9000m", &[0]));
        let connection = connection.get_or_insert_with(|| b.accept());
        let part = connection.next_part();
        connection.answer(&part, "good", "v");
        assert_eq!(client.response().status, 200);
    }
    assert!(a.try_accept().is_none(), "no part is sent to the removed leaf server");
    drop(second);
    assert!(
        new.accept().request.ends_with("after=5 HTTP/1.1"),
        "the watch resumes from the generation of the new discovery"
    );
}

/// An aggregator that starts with an endpoint list becomes ready in time, whether discovery does not respond, is down or
/// sends its response very slowly.
#[test]
fn a_starting_aggregator_is_ready_in_time_without_discovery() {
    let leaf_server = LeafServer::new();
    let unresponsive = Discovery::new();
    let slow = Discovery::new();
    let slow_address = slow.address();
    thread::spawn(move || {
        while let Ok((mut stream, _)) = slow.listener.accept() {
            thread::spawn(move || {
                for byte in RESPONSE_HEAD.bytes().cycle() {
                    if stream.write_all(&[byte]).is_err() {
                        break;
                    }
                    thread::sleep(Duration::from_millis(100));
                }
            });
        }
    });
    for discovery in [unresponsive.address(), unreachable_address().to_string(), slow_address] {
        let started_at = Instant::now();
        let mut aggregator =
            Setup { discovery: discovery.clone(), has_admin_address: true, ..with_leaf_server(&leaf_server) }
                .start();
        wait_until("ready", || {
            aggregator.send_admin_command("GET /-/ready") == 200 && aggregator.healthz() == 200
        });
        assert!(started_at.elapsed() < Duration::from_secs(6), "{discovery}: {:?}", started_at.elapsed());
    }
}
