//! Discovery's watches that fall silent, end or move, and discovery that is missing at the start.

use crate::common::process::*;
use crate::with_leaf_server;
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// An aggregator of a large fleet and its open watch, which has sent an event.
fn start_with_watch(discovery: &Discovery, leaf_server: &LeafServer) -> (Aggregator, Watch) {
    let setup = Setup { discovery: discovery.address(), ..with_leaf_server(leaf_server) };
    let config = of_large_fleet(&setup.config());
    let aggregator = Aggregator::start(&config, None);
    let mut watch = discovery.accept();
    watch.send_event(&list(2, false, &[]));
    aggregator.wait_for_counter("lists_taken", 2);
    (aggregator, watch)
}

/// The configuration of an aggregator in a fleet of three hundred.
fn of_large_fleet(config: &str) -> String {
    config.replace("\"replicasOfMe\":1", "\"replicasOfMe\":300")
}

/// What happens to a call after the watch has ended.
#[derive(Clone, Copy, Debug)]
enum NextCall {
    /// Accepted, and nothing is sent.
    Silence,
    /// A head, and nothing after it.
    HeadAlone,
    /// A head and half an object.
    HalfAnObject,
    Refusal,
    Reset,
}

/// The watch falls silent, and the next calls fail in every way. The list of that time is in force within the 6 s that
/// the protocol allows.
#[test]
fn a_change_is_known_in_time_whatever_the_calls_after_a_silent_watch_meet() {
    use NextCall::*;
    let cases: [&[NextCall]; 6] = [
        &[Silence],
        &[HeadAlone, Refusal],
        &[HalfAnObject, Reset],
        &[Reset, Silence, Refusal],
        &[Refusal, Silence, Reset],
        &[Refusal, Refusal, Refusal],
    ];
    let runs = cases.map(|calls| {
        background(move || {
            let (leaf_server, discovery) = (LeafServer::new(), Discovery::new());
            let (aggregator, _watch) = start_with_watch(&discovery, &leaf_server);
            let silent = Instant::now();
            let mut kept_open = Vec::new();
            for call in calls {
                let mut stream = discovery.accept_raw();
                let response = match call {
                    Silence | Reset => String::new(),
                    HeadAlone => RESPONSE_HEAD.to_owned(),
                    HalfAnObject => format!("{RESPONSE_HEAD}10\r\n{{\"generation\":3"),
                    Refusal => "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_owned(),
                };
                stream.write_all(response.as_bytes()).expect("the aggregator reads");
                if matches!(call, Silence | HeadAlone | HalfAnObject) {
                    kept_open.push(stream);
                }
            }
            let draining = Listed { lifecycle: "Terminating", ..listed("a", leaf_server.address, 0) };
            discovery.accept().send_event(&list(3, false, &[draining]));
            aggregator.wait_for_counter("lists_taken", 3);
            (calls, silent.elapsed())
        })
    });
    for (calls, after) in runs.map(|finish| finish()) {
        assert!(after < Duration::from_secs(6), "{calls:?}: known {after:?} after the silence");
    }
}

/// A watch with keep-alive lines alone has not failed: the next call is made as soon as after one with events.
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
        // So that the aggregator has read the line before the end.
        thread::sleep(Duration::from_millis(20));
        drop(watch);
        let ended = Instant::now();
        discovery.accept();
        assert!(ended.elapsed() < Duration::from_millis(400), "asked {:?} after the end", ended.elapsed());
    }
}

/// A reload moves discovery while the old watch still sends; the new one's list is complete and of an earlier generation:
/// what it does not name is removed, though the old one's last event listed it.
#[test]
fn the_new_discoverys_list_replaces_the_old_ones_last_event() {
    let (a, b) = (LeafServer::new(), LeafServer::new());
    let (old, new) = (Discovery::new(), Discovery::new());
    let setup = Setup { discovery: old.address(), ..with_leaf_server(&a) };
    let aggregator = setup.start();
    let mut first = old.accept();
    first.send_event(&list(70, false, &[]));
    aggregator.wait_for_counter("lists_taken", 2);
    std::fs::write(&aggregator.config, Setup { discovery: new.address(), ..setup }.config())
        .expect("written");
    aggregator.pause();
    first.send_event(&list(71, false, &[Listed { started: 1, ..listed("a", a.address, 0) }]));
    aggregator.signal("-HUP");
    aggregator.resume();
    let mut second = new.accept();
    second.send_event(&list(5, true, &[Listed { started: 1, ..listed("b", b.address, 0) }]));
    aggregator.wait_for_counter("reloads", 1);
    // Only b gets parts from now on.
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
    assert!(a.try_accept().is_none(), "no part went to the removed leaf server");
    drop(second);
    assert!(new.accept().request.ends_with("after=5 HTTP/1.1"), "from the new one's generation");
}

/// An aggregator that starts with a list is ready soon, whether discovery is silent, down or trickles its response.
#[test]
fn a_starting_aggregator_is_ready_in_time_without_discovery() {
    let leaf_server = LeafServer::new();
    let silent = Discovery::new();
    let trickling = Discovery::new();
    let address = trickling.address();
    thread::spawn(move || {
        while let Ok((mut stream, _)) = trickling.listener.accept() {
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
    for discovery in [silent.address(), unreachable_address().to_string(), address] {
        let begun = Instant::now();
        let mut aggregator =
            Setup { discovery: discovery.clone(), has_admin_address: true, ..with_leaf_server(&leaf_server) }
                .start();
        wait_until("ready", || {
            aggregator.send_admin_command("GET /-/ready") == 200 && aggregator.healthz() == 200
        });
        assert!(begun.elapsed() < Duration::from_secs(6), "{discovery}: {:?}", begun.elapsed());
    }
}
