//! Runs the same faults over HTTP and Flight, for clients and for leaf servers: outcomes and counters must be equal.

mod common;

use common::flight::*;
use common::process::*;
use std::collections::HashMap;
use std::io::Read;
use std::time::{Duration, Instant};
use tonic_types::StatusExt;

/// Interval at which the leaf servers are polled for parts.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Protocol {
    /// HTTP for clients, the platform's frames for leaf servers.
    Platform,
    Flight,
}

/// Outcome of a query, independent of the client's protocol.
#[derive(Debug, PartialEq)]
enum Outcome {
    Answered { complete: bool, rows: Vec<(u32, String)> },
    Rejected,
    BadRequest,
    Failed,
}

/// A leaf server that uses the platform's frames.
struct FrameLeaf {
    leaf: LeafServer,
    connections: Vec<LeafConnection>,
    /// Names of the parts that the aggregator has cancelled.
    cancelled: Vec<String>,
}

/// A leaf server of either protocol, controlled by the test.
enum AnyLeaf {
    Platform(FrameLeaf),
    Flight(FlightLeaf),
}

/// A part that a leaf server has received.
enum Part {
    Platform { connection: usize, name: String },
    Flight(FlightPart),
}

impl FrameLeaf {
    fn new() -> Self {
        FrameLeaf { leaf: LeafServer::new(), connections: Vec::new(), cancelled: Vec::new() }
    }

    /// Handles the next frame, if any; returns a part if the frame contains one.
    fn try_part(&mut self) -> Option<Part> {
        self.connections.extend(self.leaf.try_accept());
        let connection = self.connections.iter().position(LeafConnection::has_frame)?;
        match self.connections[connection].next_frame()? {
            ('p', _) => {
                self.connections[connection].send_frame('p', "inflight=7,qps=3");
                None
            }
            ('m', rest) => Some(Part::Platform { connection, name: rest.split(' ').next()?.to_owned() }),
            (_, name) => {
                self.cancelled.push(name);
                None
            }
        }
    }

    fn respond(&mut self, connection: usize, name: &str, response: LeafResponse) {
        let leaf_connection = &mut self.connections[connection];
        match response {
            LeafResponse::Served(value) => leaf_connection.answer(name, "good", value),
            LeafResponse::Failed => leaf_connection.answer(name, "bad", ""),
            LeafResponse::Rejected => leaf_connection.answer(name, "later", ""),
            LeafResponse::Malformed => leaf_connection.send_frame('q', "noise"),
            LeafResponse::Truncated(value) => {
                leaf_connection.send_truncated_frame('q', &format!("{name} good 1 -\n{value}"));
                self.connections.remove(connection);
            }
        }
    }

    fn await_cancellation(&mut self, connection: usize, name: String) {
        if !self.cancelled.contains(&name) {
            assert_eq!(self.connections[connection].next_frame(), Some(('n', name)));
        }
    }
}

impl AnyLeaf {
    fn new(protocol: Protocol) -> Self {
        match protocol {
            Protocol::Platform => AnyLeaf::Platform(FrameLeaf::new()),
            Protocol::Flight => AnyLeaf::Flight(FlightLeaf::new()),
        }
    }

    fn listed_endpoint(&self, name: &'static str, cell: u32) -> ListedEndpoint {
        match self {
            AnyLeaf::Platform(frames) => listed_endpoint(name, frames.leaf.address, cell),
            AnyLeaf::Flight(leaf) => leaf.listed_endpoint(name, cell),
        }
    }

    fn try_part(&mut self) -> Option<Part> {
        match self {
            AnyLeaf::Platform(frames) => frames.try_part(),
            AnyLeaf::Flight(leaf) => leaf.try_part().map(Part::Flight),
        }
    }

    fn respond(&mut self, part: Part, response: LeafResponse) {
        match (self, part) {
            (AnyLeaf::Platform(frames), Part::Platform { connection, name }) => {
                frames.respond(connection, &name, response);
            }
            (AnyLeaf::Flight(leaf), Part::Flight(part)) => {
                let is_truncated = matches!(response, LeafResponse::Truncated(_));
                part.respond(response);
                if is_truncated {
                    // Gives the row time to be sent before the connection is closed.
                    std::thread::sleep(Duration::from_millis(50));
                    leaf.close_connections();
                }
            }
            _ => unreachable!("a leaf server gets parts of its own protocol"),
        }
    }

    /// Waits until the aggregator has cancelled the part.
    fn await_cancellation(&mut self, part: Part) {
        match (self, part) {
            (AnyLeaf::Platform(frames), Part::Platform { connection, name }) => {
                frames.await_cancellation(connection, name);
            }
            (_, Part::Flight(part)) => part.cancelled.recv_timeout(WAIT_TIMEOUT).expect("not cancelled"),
            _ => unreachable!("a leaf server gets parts of its own protocol"),
        }
    }
}

/// Waits for the next part at any of the leaf servers; returns the leaf server's index and the part.
fn next_part(leaves: &mut [AnyLeaf]) -> (usize, Part) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        for (index, leaf) in leaves.iter_mut().enumerate() {
            if let Some(part) = leaf.try_part() {
                return (index, part);
            }
        }
        assert!(Instant::now() < deadline, "no part arrived within the timeout");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Waits for the next part at any of the leaf servers and responds to it.
fn respond_next(leaves: &mut [AnyLeaf], response: LeafResponse) {
    let (index, part) = next_part(leaves);
    leaves[index].respond(part, response);
}

/// A client of either protocol with a query in flight.
enum PendingQuery {
    Platform(Client),
    /// The gateway is kept because its connection must outlive the request.
    Flight(Box<Gateway>, PendingAnswer),
}

fn send_query(
    aggregator: &mut Aggregator,
    protocol: Protocol,
    name: &str,
    shards: &[u32],
    deadline_ms: u64,
) -> PendingQuery {
    match protocol {
        Protocol::Platform => {
            let mut client = Client::connect(aggregator.address);
            client.send(query(name, &format!("{deadline_ms}m"), shards));
            PendingQuery::Platform(client)
        }
        Protocol::Flight => {
            let gateway = Gateway::connect(&aggregator.flight_address());
            let pending_answer =
                gateway.start_query(ticket(name, shards), Duration::from_millis(deadline_ms));
            PendingQuery::Flight(Box::new(gateway), pending_answer)
        }
    }
}

impl PendingQuery {
    fn outcome(self) -> Outcome {
        match self {
            PendingQuery::Platform(mut client) => http_outcome(&client.response()),
            PendingQuery::Flight(_gateway, pending_answer) => flight_outcome(pending_answer.result()),
        }
    }

    /// Cancels the query: an HTTP client closes its connection, a gateway cancels its call.
    fn cancel(self) {
        if let PendingQuery::Flight(_gateway, pending_answer) = self {
            pending_answer.cancel();
        }
    }
}

fn http_outcome(response: &Response) -> Outcome {
    match response.status {
        200 => {
            let complete = response.body.starts_with(r#"{"total":true"#);
            let rows = response.body.split("{\"range\":").skip(1).map(parse_row).collect();
            Outcome::Answered { complete, rows }
        }
        503 => {
            assert!(response.header("Retry-After").is_some(), "{response:?}");
            Outcome::Rejected
        }
        400 => Outcome::BadRequest,
        _ => Outcome::Failed,
    }
}

/// Parses a row of an answer's JSON; `text` starts with the shard number.
fn parse_row(text: &str) -> (u32, String) {
    let (shard, rest) = text.split_once(",\"blob\":\"").expect("row has no value");
    (shard.parse().expect("shard is not a number"), rest.split('"').next().unwrap_or("").to_owned())
}

fn flight_outcome(result: Result<GatewayAnswer, tonic::Status>) -> Outcome {
    let status = match result {
        Ok(answer) => return Outcome::Answered { complete: answer.complete == "true", rows: answer.rows },
        Err(status) => status,
    };
    match status.code() {
        tonic::Code::Unavailable => {
            assert!(status.get_details_retry_info().is_some(), "{status:?}");
            Outcome::Rejected
        }
        tonic::Code::InvalidArgument => Outcome::BadRequest,
        _ => Outcome::Failed,
    }
}

fn flight_enabled() -> Option<String> {
    Some("flight:\n  listen: 127.0.0.1:0\n".to_owned())
}

/// Runs a scenario with all pairs of client and leaf protocols and compares outcomes and counters with the first pair.
fn for_all_protocol_pairs(
    hard_limit_ms: u32,
    scenario: impl Fn(&mut Aggregator, Protocol, &mut [AnyLeaf]) -> Vec<Outcome>,
) {
    let mut first: Option<(Vec<Outcome>, HashMap<String, u64>)> = None;
    for (client_protocol, leaf_protocol) in [
        (Protocol::Platform, Protocol::Platform),
        (Protocol::Platform, Protocol::Flight),
        (Protocol::Flight, Protocol::Platform),
        (Protocol::Flight, Protocol::Flight),
    ] {
        // Both leaf servers hold shard 0.
        let mut leaves = [AnyLeaf::new(leaf_protocol), AnyLeaf::new(leaf_protocol)];
        let listed = [leaves[0].listed_endpoint("a", 0), leaves[1].listed_endpoint("b", 0)];
        let setup = Setup { operator: flight_enabled(), deadline_ms: hard_limit_ms, ..Setup::new(&listed) };
        let mut aggregator = setup.start();
        let outcomes = scenario(&mut aggregator, client_protocol, &mut leaves);
        let mut counters = aggregator.counters();
        // Connection counters differ by protocol, and the discovery watch, which has no server here, keeps retrying.
        counters.retain(|name, _| {
            ["queries", "parts", "answers", "attempts"].iter().any(|kind| name.starts_with(kind))
        });
        match &first {
            None => first = Some((outcomes, counters)),
            Some((expected_outcomes, expected_counters)) => {
                let protocols = format!("client {client_protocol:?}, leaf {leaf_protocol:?}");
                assert_eq!(&outcomes, expected_outcomes, "{protocols}");
                assert_eq!(&counters, expected_counters, "{protocols}");
            }
        }
    }
}

fn answered(value: &str) -> Outcome {
    Outcome::Answered { complete: true, rows: vec![(0, value.to_owned())] }
}

#[test]
fn answer_is_returned_to_the_client() {
    for_all_protocol_pairs(10_000, |aggregator, protocol, leaves| {
        let pending = send_query(aggregator, protocol, "q1", &[0], 9000);
        respond_next(leaves, LeafResponse::Served("v"));
        let outcome = pending.outcome();
        assert_eq!(outcome, answered("v"));
        vec![outcome]
    });
}

#[test]
fn rejected_part_is_retried_elsewhere() {
    for_all_protocol_pairs(10_000, |aggregator, protocol, leaves| {
        let pending = send_query(aggregator, protocol, "q1", &[0], 9000);
        respond_next(leaves, LeafResponse::Rejected);
        respond_next(leaves, LeafResponse::Served("v"));
        let outcome = pending.outcome();
        assert_eq!(outcome, answered("v"));
        assert_eq!(aggregator.counters()["attempts_rejected"], 1);
        vec![outcome]
    });
}

#[test]
fn failed_part_is_retried_elsewhere() {
    for_all_protocol_pairs(10_000, |aggregator, protocol, leaves| {
        let pending = send_query(aggregator, protocol, "q1", &[0], 9000);
        respond_next(leaves, LeafResponse::Failed);
        respond_next(leaves, LeafResponse::Served("v"));
        let outcome = pending.outcome();
        assert_eq!(outcome, answered("v"));
        assert_eq!(aggregator.counters()["attempts_bad"], 1);
        vec![outcome]
    });
}

/// The connection breaks in the middle of an answer: the part may have been executed, and none of its rows may reach
/// the client.
#[test]
fn truncated_answer_counts_as_a_reset() {
    for_all_protocol_pairs(10_000, |aggregator, protocol, leaves| {
        let pending = send_query(aggregator, protocol, "q1", &[0], 9000);
        respond_next(leaves, LeafResponse::Truncated("half"));
        respond_next(leaves, LeafResponse::Served("whole"));
        let outcome = pending.outcome();
        assert_eq!(outcome, answered("whole"));
        assert_eq!(aggregator.counters()["attempts_reset"], 1);
        vec![outcome]
    });
}

/// The part may have been executed, and the connection cannot be used any longer.
#[test]
fn malformed_answer_is_a_failed_attempt() {
    for_all_protocol_pairs(10_000, |aggregator, protocol, leaves| {
        let pending = send_query(aggregator, protocol, "q1", &[0], 9000);
        respond_next(leaves, LeafResponse::Malformed);
        respond_next(leaves, LeafResponse::Served("whole"));
        let outcome = pending.outcome();
        assert_eq!(outcome, answered("whole"));
        let counters = aggregator.counters();
        assert_eq!(counters["attempts_bad"], 1);
        assert_eq!(counters["connections_spoilt"], 1);
        vec![outcome]
    });
}

#[test]
fn query_is_rejected_at_once_after_three_failed_attempts() {
    for_all_protocol_pairs(10_000, |aggregator, protocol, leaves| {
        let pending = send_query(aggregator, protocol, "q1", &[0], 9000);
        for _ in 0..3 {
            respond_next(leaves, LeafResponse::Failed);
        }
        let outcome = pending.outcome();
        assert_eq!(outcome, Outcome::Rejected);
        assert_eq!(aggregator.counters()["attempts_sent"], 3);
        vec![outcome]
    });
}

#[test]
fn part_is_cancelled_at_an_unresponsive_leaf_and_retried_elsewhere() {
    for_all_protocol_pairs(2400, |aggregator, protocol, leaves| {
        let pending = send_query(aggregator, protocol, "q1", &[0], 2400);
        let (unresponsive_leaf, unanswered_part) = next_part(leaves);
        let (other_leaf, part) = next_part(leaves);
        assert_ne!(unresponsive_leaf, other_leaf);
        leaves[unresponsive_leaf].await_cancellation(unanswered_part);
        leaves[other_leaf].respond(part, LeafResponse::Served("v"));
        let outcome = pending.outcome();
        assert_eq!(outcome, answered("v"));
        assert_eq!(aggregator.counters()["attempts_timed_out"], 1);
        vec![outcome]
    });
}

#[test]
fn client_cancellation_cancels_its_parts() {
    for_all_protocol_pairs(10_000, |aggregator, protocol, leaves| {
        let pending = send_query(aggregator, protocol, "q1", &[0], 9000);
        let (leaf, part) = next_part(leaves);
        pending.cancel();
        leaves[leaf].await_cancellation(part);
        aggregator.wait_for_counter("clients_gone", 1);
        assert_eq!(aggregator.counters()["attempts_cancelled"], 1);
        vec![]
    });
}

#[test]
fn query_for_an_unknown_shard_is_a_bad_request() {
    for_all_protocol_pairs(10_000, |aggregator, protocol, _| {
        let outcome = send_query(aggregator, protocol, "q1", &[7], 9000).outcome();
        assert_eq!(outcome, Outcome::BadRequest);
        vec![outcome]
    });
}

#[test]
fn flight_info_contains_the_ticket_and_invalid_tickets_are_rejected() {
    let leaf = LeafServer::new();
    let setup = Setup { operator: flight_enabled(), ..Setup::new(&[listed_endpoint("a", leaf.address, 0)]) };
    let mut aggregator = setup.start();
    let gateway = Gateway::connect(&aggregator.flight_address());
    let valid = ticket("q1", &[0]);
    let info = gateway.info(&valid).expect("flight info request failed");
    assert_eq!(info.endpoint[0].ticket.as_ref().expect("endpoint has no ticket").ticket, valid.as_bytes());
    for invalid in ["{", &ticket("q 1", &[0])] {
        let result = gateway.start_query(invalid.to_owned(), WAIT_TIMEOUT).result();
        assert_eq!(result.err().expect("invalid ticket was accepted").code(), tonic::Code::InvalidArgument);
    }
    assert_eq!(aggregator.counters()["queries_malformed"], 2);
}

#[test]
fn health_checks_are_answered_over_both_protocols() {
    for protocol in [Protocol::Platform, Protocol::Flight] {
        let mut leaves = [AnyLeaf::new(protocol)];
        let aggregator =
            Setup { health_checks: true, ..Setup::new(&[leaves[0].listed_endpoint("a", 0)]) }.start();
        let mut client = Client::connect(aggregator.address);
        let deadline = Instant::now() + WAIT_TIMEOUT;
        // Only some of the replica choices trigger a health check.
        for i in 0.. {
            client.send(query(&format!("q{i}"), "9000m", &[0]));
            respond_next(&mut leaves, LeafResponse::Served("v"));
            assert_eq!(client.response().status, 200);
            if aggregator.counters()["probes_answered"] > 0 {
                break;
            }
            assert!(Instant::now() < deadline, "no health check was answered over {protocol:?}");
        }
        assert_eq!(aggregator.counters()["probes_failed"], 0, "{protocol:?}");
    }
}

#[test]
fn gateways_beyond_the_limit_wait_until_one_disconnects() {
    let setup = Setup { operator: flight_enabled(), ..Setup::new(&[]) };
    let config = setup.config().replace("\"sockets\":1024", "\"sockets\":16");
    let mut aggregator = Aggregator::start(&config, setup.operator.as_deref());
    let flight = aggregator.flight_address();
    let first = Gateway::connect(&flight);
    let waiting = background(move || Gateway::connect(&flight).info(&ticket("q2", &[0])).is_ok());
    assert!(first.info(&ticket("q1", &[0])).is_ok());
    drop(first);
    assert!(waiting());
}

#[test]
fn invalid_operator_file_fails_the_start_and_names_the_field() {
    let mut child = spawn(&Setup::new(&[]).config(), Some("flight:\n  listen: nowhere\n"));
    let mut log = String::new();
    child.stderr.take().expect("stderr is piped").read_to_string(&mut log).expect("stderr is UTF-8");
    assert!(!child.wait().expect("process has exited").success());
    assert!(log.contains("operator.yaml") && log.contains("flight.listen"), "{log}");
}
