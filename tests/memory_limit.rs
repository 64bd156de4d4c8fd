//! Peers that fill the memory of the real program: each test guards the platform's memory limit, at the least memory that the
//! platform assigns.

mod common;

use common::flight::{FlightLeaf, LeafResponse, ticket};
use common::hostile::*;
use common::http2::{Frames, HeaderBlock, message_prefix, ticket_message};
use common::process::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Number of hostile clients, which connect at once.
const CLIENTS: usize = 500;
/// Time for which the hostile clients stay; within it they are owed an error or a close.
const HOSTILE_PERIOD: Duration = Duration::from_secs(3);
/// The head of a valid query, without its framing.
const QUERY_HEAD: &str = "POST /api/1 HTTP/1.1\r\nReq-Id: hostile\r\nReq-Kind: c\r\nReq-Deadline: 900m\r\n";

/// Clients that connect at once and then send, each on its own connection, until the aggregator stops reading.
struct HostileClients(Vec<TcpStream>);

impl HostileClients {
    fn connect(address: SocketAddr) -> Self {
        let connect = |_| {
            let stream = TcpStream::connect(address).expect("accepted");
            stream.set_write_timeout(Some(Duration::from_millis(100))).expect("set");
            stream
        };
        HostileClients((0..CLIENTS).map(connect).collect())
    }

    /// Sends the same bytes on each connection. A connection that is closed meanwhile is left out.
    fn send(&mut self, bytes: &[u8]) {
        for stream in &mut self.0 {
            let _ = stream.write_all(bytes);
        }
    }
}

/// Plays hostile clients that each send `bytes` in pieces of `piece_bytes`, beside a well-behaved client.
fn play(bytes: &[u8], piece_bytes: usize) {
    let leaf_server = AnsweringLeafServer::new();
    let mut aggregator = start(&answering(&leaf_server));
    let mut clients = HostileClients::connect(aggregator.address);
    let address = aggregator.address;
    let others = thread::spawn(move || assert_others_are_served(address, HOSTILE_PERIOD));
    for piece in bytes.chunks(piece_bytes) {
        clients.send(piece);
    }
    others.join().expect("the other clients are served");
    assert_within_memory_limit(&mut aggregator);
}

/// Guards against half-sent bodies of hundreds of clients that exceed the memory limit together.
#[test]
fn clients_that_stop_half_way_through_a_body_do_not_exceed_the_memory_limit() {
    let _exclusive = exclusively();
    let body = "x".repeat(40_000);
    let request = format!("{QUERY_HEAD}Content-Length: 65000\r\n\r\n{body}");
    play(request.as_bytes(), usize::MAX);
}

/// Guards against hundreds of clients that write large requests slowly and exceed the memory limit together.
#[test]
fn clients_that_write_slowly_do_not_exceed_the_memory_limit() {
    let _exclusive = exclusively();
    let body = "x".repeat(60_000);
    let request = format!("{QUERY_HEAD}Content-Length: 65000\r\n\r\n{body}");
    play(request.as_bytes(), 1500);
}

/// Guards against bodies in the smallest chunks, whose encoded form exceeds the memory limit.
#[test]
fn bodies_in_chunks_of_one_byte_do_not_exceed_the_memory_limit() {
    let _exclusive = exclusively();
    let chunks = "1\r\nx\r\n".repeat(18_000);
    let request = format!("{QUERY_HEAD}Transfer-Encoding: chunked\r\n\r\n{chunks}");
    play(request.as_bytes(), usize::MAX);
}

/// Guards against heads of very many short fields that are kept while the body is awaited.
#[test]
fn heads_of_many_short_fields_do_not_exceed_the_memory_limit() {
    let _exclusive = exclusively();
    let short = "a:\r\n".repeat(55);
    let long = format!("b: {}\r\n", "x".repeat(15_000));
    let body = "x".repeat(40_000);
    let request = format!("{QUERY_HEAD}{short}{long}Transfer-Encoding: chunked\r\n\r\n9c40\r\n{body}");
    play(request.as_bytes(), usize::MAX);
}

/// Guards against large queries that wait for a leaf server and exceed the memory limit together. Each gets its answer or an
/// error in time.
#[test]
fn large_queries_in_flight_do_not_exceed_the_memory_limit() {
    let _exclusive = exclusively();
    let hanging = LeafServer::new();
    let answering = AnsweringLeafServer::new();
    let setup =
        Setup::new(&[listed_endpoint("a", answering.address, 0), listed_endpoint("b", hanging.address, 1)]);
    let mut aggregator = start(&setup);
    let payload = "x".repeat(60_000);
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let mut client = Client::connect(aggregator.address);
        client.send(query_with_payload(&format!("large-{number}"), "2500m", &[1], &payload));
        clients.push(client);
    }
    query_repeatedly(aggregator.address, Duration::from_secs(1));
    for mut client in clients {
        assert!(client.response().status >= 500);
    }
    assert_within_memory_limit(&mut aggregator);
}

/// Guards against gateways with many calls that each stop half way through a ticket.
#[test]
fn gateways_that_stop_half_way_through_tickets_do_not_exceed_the_memory_limit() {
    let _exclusive = exclusively();
    let leaf_server = AnsweringLeafServer::new();
    let (mut aggregator, flight) = start_with_flight(&leaf_server);
    let mut half = message_prefix(60_000);
    half.extend([b'x'; 4000]);
    let mut frames = Frames::preface();
    for stream in (1..32).step_by(2) {
        frames = frames.headers(stream, &HeaderBlock::do_get()).data(stream, &half);
    }
    play_gateways(&mut aggregator, flight, &frames);
}

/// Guards against gateways with many calls of very many short header fields.
#[test]
fn gateways_with_many_short_header_fields_do_not_exceed_the_memory_limit() {
    let _exclusive = exclusively();
    let leaf_server = AnsweringLeafServer::new();
    let (mut aggregator, flight) = start_with_flight(&leaf_server);
    let block = (0..300).fold(HeaderBlock::do_get(), |block, _| block.with("a", ""));
    let mut frames = Frames::preface();
    for stream in (1..32).step_by(2) {
        frames = frames.headers(stream, &block);
    }
    play_gateways(&mut aggregator, flight, &frames);
}

/// Plays hostile gateways that each send these frames, beside a well-behaved client and followed by a well-behaved gateway.
fn play_gateways(aggregator: &mut Aggregator, flight: SocketAddr, frames: &Frames) {
    let address = aggregator.address;
    let others = thread::spawn(move || assert_others_are_served(address, HOSTILE_PERIOD));
    let mut streams = Vec::new();
    for _ in 0..CLIENTS {
        let mut stream = TcpStream::connect(flight).expect("accepted");
        stream.set_write_timeout(Some(Duration::from_millis(100))).expect("set");
        let _ = frames.send(&mut stream);
        streams.push(stream);
    }
    others.join().expect("the other clients are served");
    assert_within_memory_limit(aggregator);
    drop(streams);
    let gateway = common::flight::Gateway::connect(&flight.to_string());
    let answer = gateway.start_query(ticket("after", &[0]), Duration::from_secs(9)).result();
    assert!(answer.is_ok(), "{:?}", answer.err());
}

/// Guards against gateways that cancel calls at full speed, so that what is kept for each call accumulates.
#[test]
fn a_gateway_that_cancels_its_calls_at_full_speed_does_not_exceed_the_memory_limit() {
    let _exclusive = exclusively();
    let leaf_server = AnsweringLeafServer::new();
    let (mut aggregator, flight) = start_with_flight(&leaf_server);
    let address = aggregator.address;
    let others = thread::spawn(move || assert_others_are_served(address, HOSTILE_PERIOD));
    let end = Instant::now() + HOSTILE_PERIOD;
    let mut number = 0;
    while Instant::now() < end {
        let mut stream = TcpStream::connect(flight).expect("accepted");
        stream.set_write_timeout(Some(Duration::from_secs(1))).expect("set");
        if Frames::preface().send(&mut stream).is_err() {
            continue;
        }
        for batch in 0..100 {
            let mut frames = Frames::default();
            for i in 0..50 {
                number += 1;
                let call = (batch * 50 + i) * 2 + 1;
                let message = ticket_message(&ticket(&format!("cancelled-{number}"), &[0]));
                frames = frames.headers(call, &HeaderBlock::do_get()).last_data(call, &message).cancel(call);
            }
            if frames.send(&mut stream).is_err() {
                break;
            }
        }
    }
    others.join().expect("the other clients are served");
    assert_within_memory_limit(&mut aggregator);
}

/// Starts an aggregator that watches a discovery service controlled by the test.
fn start_with_discovery(leaf_server: &AnsweringLeafServer) -> (Aggregator, Discovery) {
    let discovery = Discovery::new();
    let aggregator = start(&Setup { discovery: discovery.address(), ..answering(leaf_server) });
    (aggregator, discovery)
}

/// Guards against names that discovery changes all the time and that are never forgotten.
#[test]
fn ever_new_names_from_discovery_do_not_exceed_the_memory_limit() {
    let _exclusive = exclusively();
    const NAMES_PER_LIST: usize = 100;
    let leaf_server = AnsweringLeafServer::new();
    let (mut aggregator, discovery) = start_with_discovery(&leaf_server);
    let mut watch = discovery.accept();
    let entry = |generation: u64, number: usize, lifecycle: &str| {
        format!(
            r#"{{"instanceId":"s{generation}-{number}","hostPort":"127.0.0.1:1","zone":"z","machineType":"k","cell":2,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
        )
    };
    let end = Instant::now() + Duration::from_secs(6);
    for generation in 2.. {
        if Instant::now() >= end {
            break;
        }
        let new = (0..NAMES_PER_LIST).map(|number| entry(generation, number, "Ready"));
        let old = (0..NAMES_PER_LIST).map(|number| entry(generation - 1, number, "Gone"));
        let rows: Vec<String> = new.chain(old).collect();
        let rows = rows.join(",");
        let list = format!(r#"{{"generation":{generation},"reset":false,"instances":[{rows}]}}"#);
        if !watch.try_send_event(&list) {
            watch = discovery.accept();
        }
    }
    assert_others_are_served(aggregator.address, Duration::from_millis(500));
    assert_within_memory_limit(&mut aggregator);
}

/// Guards against lists whose names are as long as a line may be.
#[test]
fn long_names_from_discovery_do_not_exceed_the_memory_limit() {
    let _exclusive = exclusively();
    let leaf_server = AnsweringLeafServer::new();
    let (mut aggregator, discovery) = start_with_discovery(&leaf_server);
    let mut watch = discovery.accept();
    for generation in 2..200 {
        let entry = |number: usize| {
            let padding = "p".repeat(30_000);
            format!(
                r#"{{"instanceId":"s{generation}-{number}-{padding}","hostPort":"127.0.0.1:1","zone":"z","machineType":"k","cell":2,"lifecycle":"Ready","weight":1.0,"startedAtMs":0}}"#
            )
        };
        let rows: Vec<String> = (0..20).map(entry).collect();
        let list = format!(r#"{{"generation":{generation},"reset":false,"instances":[{}]}}"#, rows.join(","));
        if !watch.try_send_event(&list) {
            break;
        }
    }
    assert_others_are_served(aggregator.address, Duration::from_millis(500));
    assert_within_memory_limit(&mut aggregator);
}

/// Guards against a line of discovery that is short as text and large as a tree of values.
#[test]
fn nested_and_empty_values_from_discovery_do_not_exceed_the_memory_limit() {
    let _exclusive = exclusively();
    let nested = format!("{}{}", "[".repeat(1_900_000), "]".repeat(1_900_000));
    let empty = format!("[{}{{}}]", "{},".repeat(1_200_000));
    for instances in [nested, empty] {
        let leaf_server = AnsweringLeafServer::new();
        let (mut aggregator, discovery) = start_with_discovery(&leaf_server);
        let mut watch = discovery.accept();
        watch.try_send_event(&format!(r#"{{"generation":2,"reset":true,"instances":{instances}}}"#));
        aggregator.wait_for_counter("watches_lost", 1);
        assert_others_are_served(aggregator.address, Duration::from_millis(500));
        assert_within_memory_limit(&mut aggregator);
    }
}

/// Guards against leaf servers that stop within large frames, one on each connection.
#[test]
fn frames_that_leaf_servers_never_finish_do_not_exceed_the_memory_limit() {
    let _exclusive = exclusively();
    const LEAF_SERVERS: usize = 200;
    let leaf_servers: Vec<LeafServer> = (0..LEAF_SERVERS).map(|_| LeafServer::new()).collect();
    let answering = AnsweringLeafServer::new();
    let names: Vec<&'static str> =
        (0..LEAF_SERVERS).map(|number| &*Box::leak(format!("hostile-{number}").into_boxed_str())).collect();
    let mut endpoints = vec![listed_endpoint("a", answering.address, 0)];
    for (leaf_server, name) in leaf_servers.iter().zip(names) {
        endpoints.push(listed_endpoint(name, leaf_server.address, 1));
    }
    let mut aggregator = start(&Setup::new(&endpoints));
    for leaf_server in leaf_servers {
        thread::spawn(move || {
            let mut frame = 80_000_u32.to_be_bytes().to_vec();
            frame.extend("x".repeat(79_000).as_bytes());
            let mut connections = Vec::new();
            while let Ok((mut stream, _)) = leaf_server.listener.accept() {
                let _ = stream.write_all(&frame);
                connections.push(stream);
            }
        });
    }
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let mut client = Client::connect(aggregator.address);
        client.send(query(&format!("hostile-{number}"), "2000m", &[1]));
        clients.push(client);
    }
    query_repeatedly(aggregator.address, Duration::from_secs(1));
    for mut client in clients {
        assert!(client.response().status >= 500);
    }
    assert_within_memory_limit(&mut aggregator);
}

/// Guards against timers and statistics that are kept for queries that have ended.
#[test]
fn a_client_with_small_queries_at_full_speed_does_not_make_memory_grow() {
    let _exclusive = exclusively();
    let leaf_server = AnsweringLeafServer::new();
    let mut aggregator = start(&Setup { deadline_ms: 60_000, ..answering(&leaf_server) });
    let flood = |aggregator: &Aggregator, name: &str, batches: usize| {
        let mut client = Client::connect(aggregator.address);
        for batch in 0..batches {
            let id = |number| format!("{name}-{batch}-{number}");
            client.send((0..40).map(|number| query(&id(number), "60000m", &[0])).collect::<String>());
            (0..40).for_each(|_| assert_eq!(client.response().status, 200));
        }
    };
    flood(&aggregator, "first", 250);
    let before = aggregator.memory_kb();
    flood(&aggregator, "second", 500);
    let growth = aggregator.memory_kb().saturating_sub(before);
    // 20,000 queries: less than what is remembered of each one's id.
    assert!(growth <= 1024, "{growth} kB more after 20,000 queries");
    assert_within_memory_limit(&mut aggregator);
}

/// Answers every part with a value of this size.
fn answer_with(leaf_server: LeafServer, value_bytes: usize) {
    thread::spawn(move || {
        for stream in leaf_server.listener.incoming().map_while(Result::ok) {
            let mut connection = LeafConnection { stream };
            thread::spawn(move || {
                let value = "v".repeat(value_bytes);
                while let Some((letter, rest)) = connection.next_frame() {
                    let part = rest.split(' ').next().expect("a part");
                    if letter == 'm'
                        && connection.try_send_frame('q', &format!("{part} good 17 -\n{value}")).is_err()
                    {
                        return;
                    }
                }
            });
        }
    });
}

/// Sends `CLIENTS` queries at once, waits until others have been served for a while, and expects that each gets its final
/// answer by its deadline.
fn play_queries(aggregator: &mut Aggregator, shards: &[u32], payload: &str) {
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let mut client = Client::connect(aggregator.address);
        client.send(query_with_payload(&format!("hostile-{number}"), "2500m", shards, payload));
        clients.push(client);
    }
    query_repeatedly(aggregator.address, Duration::from_secs(1));
    for mut client in clients {
        assert!(client.response().status >= 500);
    }
    assert_within_memory_limit(aggregator);
}

/// Guards against large values that are kept while their queries wait for other parts.
#[test]
fn large_values_of_waiting_queries_do_not_exceed_the_memory_limit() {
    let _exclusive = exclusively();
    let (large, hanging) = (LeafServer::new(), LeafServer::new());
    let answering = AnsweringLeafServer::new();
    let mut aggregator = start(&Setup::new(&[
        listed_endpoint("a", answering.address, 0),
        listed_endpoint("b", large.address, 1),
        listed_endpoint("c", hanging.address, 2),
    ]));
    answer_with(large, 60_000);
    play_queries(&mut aggregator, &[1, 2], "p");
}

/// Guards against copies of a large payload, one for each part, for leaf servers that do not read.
#[test]
fn copies_of_payloads_for_leaf_servers_that_do_not_read_do_not_exceed_the_memory_limit() {
    let _exclusive = exclusively();
    let hanging = [LeafServer::new(), LeafServer::new()];
    let answering = AnsweringLeafServer::new();
    let mut aggregator = start(&Setup::new(&[
        listed_endpoint("a", answering.address, 0),
        listed_endpoint("b", hanging[0].address, 1),
        listed_endpoint("c", hanging[1].address, 2),
    ]));
    play_queries(&mut aggregator, &[1, 2], &"x".repeat(60_000));
}

/// Guards against Flight leaf servers that send large values and never end their streams.
#[test]
fn streams_that_flight_leaf_servers_never_end_do_not_exceed_the_memory_limit() {
    let _exclusive = exclusively();
    let leaf_server = FlightLeaf::new();
    let answering = AnsweringLeafServer::new();
    let mut aggregator = start(&Setup::new(&[
        listed_endpoint("a", answering.address, 0),
        leaf_server.listed_endpoint("b", 1),
    ]));
    let value: &'static str = Box::leak("v".repeat(500_000).into_boxed_str());
    let running = Arc::new(AtomicBool::new(true));
    let leaf_running = running.clone();
    let answers = thread::spawn(move || {
        while leaf_running.load(Ordering::SeqCst) {
            match leaf_server.try_part() {
                Some(part) => part.respond(LeafResponse::Truncated(value)),
                None => thread::sleep(Duration::from_millis(1)),
            }
        }
    });
    play_queries(&mut aggregator, &[1], "p");
    running.store(false, Ordering::SeqCst);
    answers.join().expect("no panic");
}
