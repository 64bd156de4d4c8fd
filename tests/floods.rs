//! One peer that sends small or unsound messages at full speed on one connection, to the real program: others get their answers in
//! time, and memory stays within the limit.

mod common;

use common::flight::ticket;
use common::hostile::*;
use common::http2::{Frames, HeaderBlock, ticket_message};
use common::process::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Duration of a flood.
const FLOOD_PERIOD: Duration = Duration::from_secs(3);
/// Number of messages that are written at once.
const BATCH: u64 = 50;

/// A peer that sends at full speed until it is stopped.
struct Flood {
    running: Arc<AtomicBool>,
    sender: JoinHandle<u64>,
}

impl Flood {
    /// Connects, sends `greeting`, and then sends what `message` returns for each number. What the aggregator sends is read and
    /// dropped. A connection that is closed is opened again.
    fn start(
        address: SocketAddr,
        greeting: Vec<u8>,
        message: impl Fn(u64) -> Vec<u8> + Send + 'static,
    ) -> Self {
        let running = Arc::new(AtomicBool::new(true));
        let is_running = running.clone();
        let sender = thread::spawn(move || {
            let mut number = 0;
            while is_running.load(Ordering::SeqCst) {
                let mut stream = connect_and_drain(address);
                let mut written = stream.write_all(&greeting);
                let mut number_on_connection = 0;
                while written.is_ok() && is_running.load(Ordering::SeqCst) {
                    let batch: Vec<u8> = (0..BATCH).flat_map(|i| message(number_on_connection + i)).collect();
                    number_on_connection += BATCH;
                    written = stream.write_all(&batch);
                }
                number += number_on_connection;
            }
            number
        });
        Flood { running, sender }
    }

    /// Ends the flood and returns the number of messages sent.
    fn stop(self) -> u64 {
        self.running.store(false, Ordering::SeqCst);
        self.sender.join().expect("no panic")
    }
}

fn connect_and_drain(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("accepted");
    stream.set_write_timeout(Some(Duration::from_secs(1))).expect("set");
    let mut reader = stream.try_clone().expect("cloned");
    thread::spawn(move || {
        let mut buffer = vec![0; 1 << 16];
        while reader.read(&mut buffer).is_ok_and(|bytes| bytes > 0) {}
    });
    stream
}

/// Floods an aggregator over HTTP, beside a well-behaved client.
fn flood_http(message: impl Fn(u64) -> String + Send + 'static) {
    let _exclusive = exclusively();
    let leaf_server = AnsweringLeafServer::new();
    let mut aggregator = start(&answering(&leaf_server));
    let flood = Flood::start(aggregator.address, Vec::new(), move |number| message(number).into_bytes());
    assert_others_are_served(aggregator.address, FLOOD_PERIOD);
    let sent = flood.stop();
    println!("{sent} messages, {} kB at most", aggregator.peak_memory_kb());
    assert_within_memory_limit(&mut aggregator);
}

/// Floods an aggregator over Flight, beside a well-behaved client and followed by a well-behaved gateway.
fn flood_flight(message: impl Fn(u64) -> Frames + Send + 'static) {
    let _exclusive = exclusively();
    let leaf_server = AnsweringLeafServer::new();
    let (mut aggregator, flight) = start_with_flight(&leaf_server);
    let flood =
        Flood::start(flight, Frames::preface().into_bytes(), move |number| message(number).into_bytes());
    assert_others_are_served(aggregator.address, FLOOD_PERIOD);
    let sent = flood.stop();
    println!("{sent} messages, {} kB at most", aggregator.peak_memory_kb());
    let gateway = common::flight::Gateway::connect(&flight.to_string());
    assert!(gateway.start_query(ticket("after", &[0]), Duration::from_secs(9)).result().is_ok());
    assert_within_memory_limit(&mut aggregator);
}

/// The id of the stream of a call.
fn stream(number: u64) -> u32 {
    2 * number as u32 + 1
}

/// Guards against valid queries under ever new ids at full speed that delay others or make memory grow.
#[test]
fn small_queries_at_full_speed_delay_nobody() {
    flood_http(|number| query(&format!("flood-{number}"), "2000m", &[0]));
}

/// Guards against queries without time left at full speed, which are rejected at once.
#[test]
fn expired_queries_at_full_speed_delay_nobody() {
    flood_http(|number| query(&format!("flood-{number}"), "1u", &[0]));
}

/// Guards against unsound queries at full speed under ever new names of classes and tenants.
#[test]
fn ever_new_class_and_tenant_names_at_full_speed_delay_nobody() {
    flood_http(|number| {
        let request = query(&format!("flood-{number}"), "2000m", &[0]);
        if number.is_multiple_of(2) {
            request.replace("Req-Kind: c", &format!("Req-Kind: class-{number}"))
        } else {
            request.replace("Req-Owner: acme", &format!("Req-Owner: tenant-{number}"))
        }
    });
}

/// Guards against the same id again and again at full speed.
#[test]
fn one_request_id_at_full_speed_delays_nobody() {
    flood_http(|_| query("flood", "2000m", &[0]));
}

/// Guards against requests that are no queries at full speed; each ends its connection.
#[test]
fn malformed_requests_at_full_speed_delay_nobody() {
    flood_http(|number| format!("POST /api/{number} HTTP/1.1\r\nContent-Length: 2\r\n\r\n{{}}"));
}

/// Guards against requests for the counters at full speed.
#[test]
fn requests_for_counters_at_full_speed_delay_nobody() {
    flood_http(|_| "GET /metrics HTTP/1.1\r\n\r\n".to_owned());
}

/// Guards against a gateway with valid calls under ever new ids at full speed.
#[test]
fn small_calls_at_full_speed_delay_nobody() {
    flood_flight(|number| {
        let message = ticket_message(&ticket(&format!("flood-{number}"), &[0]));
        Frames::default().headers(stream(number), &HeaderBlock::do_get()).last_data(stream(number), &message)
    });
}

/// Guards against a gateway whose calls have no ticket, at full speed.
#[test]
fn unsound_calls_at_full_speed_delay_nobody() {
    flood_flight(|number| {
        let message = ticket_message(&format!("{{\"id\":\"flood-{number}\"}}"));
        Frames::default().headers(stream(number), &HeaderBlock::do_get()).last_data(stream(number), &message)
    });
}

/// Guards against a gateway that sends empty frames of one call at full speed.
#[test]
fn empty_frames_at_full_speed_delay_nobody() {
    flood_flight(|number| {
        let frames = Frames::default();
        let frames = if number == 0 { frames.headers(1, &HeaderBlock::do_get()) } else { frames };
        frames.data(1, b"")
    });
}

/// Guards against a leaf server that sends answers to health checks that nobody asked for, at full speed.
#[test]
fn unsolicited_frames_of_a_leaf_server_delay_nobody() {
    let _exclusive = exclusively();
    let (answering, hostile) = (AnsweringLeafServer::new(), LeafServer::new());
    let mut aggregator = start(&Setup::new(&[
        listed_endpoint("a", answering.address, 0),
        listed_endpoint("b", hostile.address, 1),
    ]));
    let running = Arc::new(AtomicBool::new(true));
    let is_running = running.clone();
    let mut client = Client::connect(aggregator.address);
    client.send(query("hostile", "9000m", &[1]));
    let mut connection = hostile.accept();
    assert_eq!(connection.next_part(), "hostile.1");
    let flood = thread::spawn(move || {
        let batch = b"\0\0\0\x02p-".repeat(1000);
        while is_running.load(Ordering::SeqCst) && connection.stream.write_all(&batch).is_ok() {}
    });
    assert_others_are_served(aggregator.address, FLOOD_PERIOD);
    running.store(false, Ordering::SeqCst);
    flood.join().expect("no panic");
    assert_within_memory_limit(&mut aggregator);
}

/// Guards against a log line for each part of a shard whose replicas are all outliers, which floods the log while the leaf servers
/// hang. How often it happens is counted.
#[test]
fn a_shard_with_outliers_alone_is_logged_once_a_second() {
    let _exclusive = exclusively();
    let hangs = Arc::new(AtomicBool::new(false));
    let leaf_servers = [LeafServer::new(), LeafServer::new()];
    let endpoints =
        [listed_endpoint("a", leaf_servers[0].address, 0), listed_endpoint("b", leaf_servers[1].address, 0)];
    for leaf_server in leaf_servers {
        answer_until(leaf_server, hangs.clone());
    }
    let mut aggregator = start(&Setup { deadline_ms: 400, ..Setup::new(&endpoints) });
    let send_queries = |name: &str, period: Duration| {
        let started = Instant::now();
        for batch in 0.. {
            let mut clients: Vec<Client> = (0..10).map(|_| Client::connect(aggregator.address)).collect();
            for (number, client) in clients.iter_mut().enumerate() {
                client.send(query(&format!("{name}-{batch}-{number}"), "300m", &[0]));
            }
            for client in &mut clients {
                client.response();
            }
            if started.elapsed() >= period {
                return;
            }
        }
    };
    send_queries("answered", Duration::from_secs(1));
    hangs.store(true, Ordering::SeqCst);
    let started = Instant::now();
    send_queries("hanging", FLOOD_PERIOD);
    let seconds = started.elapsed().as_secs() + 1;
    let draws = aggregator.counters()["outlier_draws"];
    let lines = aggregator.log().iter().filter(|line| line.contains("all replicas of a shard are outliers"));
    let lines = lines.count() as u64;
    assert!(draws > 2 * seconds, "all replicas were outliers only {draws} times");
    assert!((1..=seconds).contains(&lines), "{lines} lines in {seconds} s for {draws} draws");
}

/// Answers every part at once until `hangs` is set; from then on, parts are only read.
fn answer_until(leaf_server: LeafServer, hangs: Arc<AtomicBool>) {
    thread::spawn(move || {
        for stream in leaf_server.listener.incoming().map_while(Result::ok) {
            let hangs = hangs.clone();
            let mut connection = LeafConnection { stream };
            thread::spawn(move || {
                while let Some((letter, rest)) = connection.next_frame() {
                    if letter == 'm' && !hangs.load(Ordering::SeqCst) {
                        connection.answer(rest.split(' ').next().expect("a part"), "good", "v");
                    }
                }
            });
        }
    });
}
