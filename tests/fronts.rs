//! The same faults over HTTP and Flight, on either side, must end in the same outcomes and answer counts.

mod common;

use common::flight::*;
use common::process::*;
use std::collections::HashMap;
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug, PartialEq)]
enum Wire {
    Plain,
    Flight,
}

/// What a client ends up with, whichever front it used.
#[derive(Debug, PartialEq)]
enum Outcome {
    Answered(bool, Vec<(u32, String)>),
    Refused,
    Unusable,
    Failed,
}

/// A node of either kind, played by the test.
enum AnyNode {
    /// With its connections, and the parts given up on them.
    Plain(Node, Vec<Link>, Vec<String>),
    Flight(FlightNode),
}

/// A part that came to a node, and what may be done with it.
enum Part {
    Plain(usize, String),
    Flight(Asked),
}

impl AnyNode {
    fn new(wire: Wire) -> Self {
        match wire {
            Wire::Plain => AnyNode::Plain(Node::new(), Vec::new(), Vec::new()),
            Wire::Flight => AnyNode::Flight(FlightNode::new()),
        }
    }

    fn listed(&self, name: &'static str, cell: u32) -> Listed {
        match self {
            AnyNode::Plain(node, ..) => listed(name, node.address, cell),
            AnyNode::Flight(node) => node.listed(name, cell),
        }
    }

    fn try_part(&mut self) -> Option<Part> {
        match self {
            AnyNode::Flight(node) => node.try_part().map(Part::Flight),
            AnyNode::Plain(node, links, given_up) => {
                links.extend(node.try_accept());
                let ready = links.iter().position(Link::has_frame)?;
                match links[ready].frame()? {
                    ('p', _) => {
                        links[ready].put('p', "inflight=7,qps=3");
                        None
                    }
                    ('m', rest) => Some(Part::Plain(ready, rest.split(' ').next()?.to_owned())),
                    (_, id) => {
                        given_up.push(id);
                        None
                    }
                }
            }
        }
    }

    fn play(&mut self, part: Part, play: Play) {
        match (self, part) {
            (AnyNode::Plain(_, links, _), Part::Plain(i, id)) => match play {
                Play::Good(value) => links[i].answer(&id, "good", value),
                Play::Bad => links[i].answer(&id, "bad", ""),
                Play::Later => links[i].answer(&id, "later", ""),
                Play::Spoilt => links[i].put('q', "noise"),
                // Half an answer, and no more.
                Play::Cut(value) => {
                    links[i].put_cut('q', &format!("{id} good 1 -\n{value}"));
                    links.remove(i);
                }
            },
            (AnyNode::Flight(node), Part::Flight(asked)) => {
                let cut = matches!(play, Play::Cut(_));
                asked.play(play);
                if cut {
                    // The row must be on its way before the end.
                    std::thread::sleep(Duration::from_millis(50));
                    node.cut();
                }
            }
            _ => unreachable!("a node gets parts of its own kind"),
        }
    }

    /// Waits until the mixer has called the part off.
    fn given_up(&mut self, part: Part) {
        match (self, part) {
            (AnyNode::Plain(_, _, known), Part::Plain(_, id)) if known.contains(&id) => {}
            (AnyNode::Plain(_, links, _), Part::Plain(i, id)) => {
                assert_eq!(links[i].frame(), Some(('n', id)));
            }
            (_, Part::Flight(asked)) => asked.dropped.recv_timeout(PATIENCE).expect("called off"),
            _ => unreachable!("a node gets parts of its own kind"),
        }
    }
}

/// The next part at any of some nodes, and at which.
fn next(nodes: &mut [AnyNode]) -> (usize, Part) {
    let end = Instant::now() + PATIENCE;
    loop {
        let found = nodes.iter_mut().enumerate().find_map(|(i, n)| Some((i, n.try_part()?)));
        if let Some(found) = found {
            return found;
        }
        assert!(Instant::now() < end, "no part comes");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// A client of either kind with a query out.
enum Asking {
    Plain(Client),
    Flight(Box<Gateway>, Pull),
}

fn ask(mixer: &mut Mixer, front: Wire, id: &str, shards: &[u32], deadline: u64) -> Asking {
    match front {
        Wire::Plain => {
            let mut client = Client::connect(mixer.address);
            client.send(query(id, &format!("{deadline}m"), shards));
            Asking::Plain(client)
        }
        Wire::Flight => {
            let gateway = Gateway::connect(&mixer.flight());
            let pull = gateway.pull(ticket(id, shards), Duration::from_millis(deadline));
            Asking::Flight(Box::new(gateway), pull)
        }
    }
}

impl Asking {
    fn outcome(self) -> Outcome {
        match self {
            Asking::Plain(mut client) => {
                let reply = client.response();
                match reply.status {
                    200 => {
                        let total = reply.body.starts_with(r#"{"total":true"#);
                        let hits = reply.body.split("{\"range\":").skip(1).map(|hit| {
                            let (range, rest) = hit.split_once(",\"blob\":\"").expect("a hit");
                            (
                                range.parse().expect("a number"),
                                rest.split('"').next().unwrap_or("").to_owned(),
                            )
                        });
                        Outcome::Answered(total, hits.collect())
                    }
                    503 => {
                        assert!(reply.header("Retry-After").is_some(), "{reply:?}");
                        Outcome::Refused
                    }
                    400 => Outcome::Unusable,
                    _ => Outcome::Failed,
                }
            }
            Asking::Flight(_gateway, pull) => match pull.result() {
                Ok((total, rows)) => Outcome::Answered(total == "true", rows),
                Err(status) => match status.code() {
                    tonic::Code::Unavailable => {
                        use tonic_types::StatusExt;
                        assert!(status.get_details_retry_info().is_some(), "{status:?}");
                        Outcome::Refused
                    }
                    tonic::Code::InvalidArgument => Outcome::Unusable,
                    _ => Outcome::Failed,
                },
            },
        }
    }

    fn leave(self) {
        if let Asking::Flight(_gateway, pull) = self {
            pull.cancel();
        }
    }
}

/// Runs a story over all four pairs of front and node wire: outcomes and counters must not differ.
fn everywhere(hard_limit_ms: u32, story: impl Fn(&mut Mixer, Wire, &mut [AnyNode]) -> Vec<Outcome>) {
    let mut first: Option<(Vec<Outcome>, HashMap<String, u64>)> = None;
    for (front, wire) in [
        (Wire::Plain, Wire::Plain),
        (Wire::Plain, Wire::Flight),
        (Wire::Flight, Wire::Plain),
        (Wire::Flight, Wire::Flight),
    ] {
        // Both hold shard 0.
        let mut nodes = [AnyNode::new(wire), AnyNode::new(wire)];
        let operator = Some("flight:\n  listen: 127.0.0.1:0\n".to_owned());
        let listed = [nodes[0].listed("a", 0), nodes[1].listed("b", 0)];
        let mut mixer = Setup { operator, hard_limit_ms, ..Setup::new(&listed) }.start();
        let outcomes = story(&mut mixer, front, &mut nodes);
        let mut counters = mixer.counters();
        // Connections are the wires' own, and a watch without discovery is tried now and again.
        counters.retain(|name, _| {
            ["queries", "parts", "answers", "attempts"].iter().any(|kind| name.starts_with(kind))
        });
        match &first {
            None => first = Some((outcomes, counters)),
            Some((same, counts)) => {
                assert_eq!(&outcomes, same, "front {front:?}, nodes {wire:?}");
                assert_eq!(&counters, counts, "front {front:?}, nodes {wire:?}");
            }
        }
    }
}

fn answered(value: &str) -> Outcome {
    Outcome::Answered(true, vec![(0, value.to_owned())])
}

#[test]
fn an_answer_is_passed_on() {
    everywhere(10_000, |mixer, front, nodes| {
        let asking = ask(mixer, front, "q1", &[0], 9000);
        let (at, part) = next(nodes);
        nodes[at].play(part, Play::Good("v"));
        let outcome = asking.outcome();
        assert_eq!(outcome, answered("v"));
        vec![outcome]
    });
}

#[test]
fn errors_and_rejections_are_tried_elsewhere() {
    everywhere(10_000, |mixer, front, nodes| {
        let asking = ask(mixer, front, "q1", &[0], 9000);
        for play in [Play::Later, Play::Good("v")] {
            let (at, part) = next(nodes);
            nodes[at].play(part, play);
        }
        let outcomes = vec![asking.outcome()];
        assert_eq!((&outcomes[0], mixer.counters()["attempts_rejected"]), (&answered("v"), 1));
        outcomes
    });
    everywhere(10_000, |mixer, front, nodes| {
        let asking = ask(mixer, front, "q1", &[0], 9000);
        for play in [Play::Bad, Play::Good("v")] {
            let (at, part) = next(nodes);
            nodes[at].play(part, play);
        }
        let outcomes = vec![asking.outcome()];
        assert_eq!((&outcomes[0], mixer.counters()["attempts_bad"]), (&answered("v"), 1));
        outcomes
    });
}

/// A stream cut halfway through a part: it may have run, and none of its rows reach the client.
#[test]
fn a_cut_answer_is_a_reset() {
    everywhere(10_000, |mixer, front, nodes| {
        let asking = ask(mixer, front, "q1", &[0], 9000);
        let (at, part) = next(nodes);
        nodes[at].play(part, Play::Cut("half"));
        let (at, part) = next(nodes);
        nodes[at].play(part, Play::Good("whole"));
        let outcome = asking.outcome();
        assert_eq!((&outcome, mixer.counters()["attempts_reset"]), (&answered("whole"), 1));
        vec![outcome]
    });
}

/// It may have run, and the connection is of no further use.
#[test]
fn a_spoilt_answer_is_a_failed_attempt() {
    everywhere(10_000, |mixer, front, nodes| {
        let asking = ask(mixer, front, "q1", &[0], 9000);
        let (at, part) = next(nodes);
        nodes[at].play(part, Play::Spoilt);
        let (at, part) = next(nodes);
        nodes[at].play(part, Play::Good("whole"));
        let outcome = asking.outcome();
        let counters = mixer.counters();
        assert_eq!((&outcome, counters["attempts_bad"]), (&answered("whole"), 1));
        assert_eq!(counters["connections_spoilt"], 1);
        vec![outcome]
    });
}

#[test]
fn three_failures_are_a_refusal_at_once() {
    everywhere(10_000, |mixer, front, nodes| {
        let asking = ask(mixer, front, "q1", &[0], 9000);
        for _ in 0..3 {
            let (at, part) = next(nodes);
            nodes[at].play(part, Play::Bad);
        }
        let outcome = asking.outcome();
        assert_eq!((&outcome, mixer.counters()["attempts_sent"]), (&Outcome::Refused, 3));
        vec![outcome]
    });
}

/// A node that says nothing is given up before the next is asked.
#[test]
fn a_silent_node_is_given_up() {
    everywhere(2400, |mixer, front, nodes| {
        let asking = ask(mixer, front, "q1", &[0], 2400);
        let (at, silent) = next(nodes);
        let (other, part) = next(nodes);
        assert_ne!(at, other);
        nodes[at].given_up(silent);
        nodes[other].play(part, Play::Good("v"));
        let outcome = asking.outcome();
        assert_eq!((&outcome, mixer.counters()["attempts_timed_out"]), (&answered("v"), 1));
        vec![outcome]
    });
}

#[test]
fn a_client_that_cancels_has_its_parts_called_off() {
    everywhere(10_000, |mixer, front, nodes| {
        let asking = ask(mixer, front, "q1", &[0], 9000);
        let (at, part) = next(nodes);
        asking.leave();
        nodes[at].given_up(part);
        mixer.wait_for("clients_gone", 1);
        assert_eq!(mixer.counters()["attempts_cancelled"], 1);
        vec![]
    });
}

#[test]
fn a_query_for_an_unknown_shard_is_unusable() {
    everywhere(10_000, |mixer, front, _| {
        let outcome = ask(mixer, front, "q1", &[7], 9000).outcome();
        assert_eq!(outcome, Outcome::Unusable);
        vec![outcome]
    });
}

#[test]
fn flight_info_names_the_ticket_and_bad_tickets_are_turned_down() {
    let node = Node::new();
    let operator = Some("flight:\n  listen: 127.0.0.1:0\n".to_owned());
    let mut mixer = Setup { operator, ..Setup::new(&[listed("a", node.address, 0)]) }.start();
    let gateway = Gateway::connect(&mixer.flight());
    let good = ticket("q1", &[0]);
    let info = gateway.info(&good).expect("an answer");
    assert_eq!(info.endpoint[0].ticket.as_ref().expect("a ticket").ticket, good.as_bytes());
    for bad in ["{", &ticket("q 1", &[0])] {
        let status = gateway.pull(bad.to_owned(), PATIENCE).result().expect_err("no query");
        assert_eq!(status.code(), tonic::Code::InvalidArgument);
    }
    assert_eq!(mixer.counters()["queries_malformed"], 2);
}

/// The module asks some of the nodes it has drawn for their load, over either wire.
#[test]
fn probes_for_load_are_answered() {
    for wire in [Wire::Plain, Wire::Flight] {
        let mut nodes = [AnyNode::new(wire)];
        let mixer = Setup { probes: true, ..Setup::new(&[nodes[0].listed("a", 0)]) }.start();
        let mut client = Client::connect(mixer.address);
        let end = Instant::now() + PATIENCE;
        for i in 0.. {
            client.send(query(&format!("q{i}"), "9000m", &[0]));
            let (_, part) = next(&mut nodes);
            nodes[0].play(part, Play::Good("v"));
            assert_eq!(client.response().status, 200);
            if mixer.counters()["probes_answered"] > 0 {
                break;
            }
            assert!(Instant::now() < end, "no probe was answered over {wire:?}");
        }
        assert_eq!(mixer.counters()["probes_failed"], 0, "{wire:?}");
    }
}

/// Gateways' connections are bounded, and one that ends makes room for the next.
#[test]
fn gateways_beyond_the_limit_wait_for_room() {
    let operator = Some("flight:\n  listen: 127.0.0.1:0\n".to_owned());
    let setup = Setup { operator, ..Setup::new(&[]) };
    let config = setup.config().replace("\"sockets\":1024", "\"sockets\":16");
    let mut mixer = Mixer::start(&config, setup.operator.as_deref());
    let flight = mixer.flight();
    let first = Gateway::connect(&flight);
    let waiting = background(move || Gateway::connect(&flight).info(&ticket("q2", &[0])).is_ok());
    assert!(first.info(&ticket("q1", &[0])).is_ok());
    drop(first);
    assert!(waiting());
}

#[test]
fn a_bad_operator_file_stops_the_start_and_is_named() {
    use std::io::Read;
    let mut child = spawn(&Setup::new(&[]).config(), Some("flight:\n  listen: nowhere\n"));
    let mut words = String::new();
    child.stderr.take().expect("piped").read_to_string(&mut words).expect("text");
    assert!(!child.wait().expect("it ends").success());
    assert!(words.contains("operator.yaml") && words.contains("flight.listen"), "{words}");
}
