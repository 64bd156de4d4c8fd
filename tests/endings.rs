//! What ends while something is owed: clients, requests, attempts, connections, watches, settings and the mixer itself, on
//! the real program. Each test forces its crossing: by a paused process, a peer that holds still, an order of bytes.
//! `docs/design/endings.md` has a row for each.

mod common;

use common::process::*;
use std::time::{Duration, Instant};

/// A mixer with one node, which holds every shard asked here.
fn with_node(node: &LeafServer) -> Setup {
    Setup::new(&[listed("a", node.address, 0)])
}

/// Asks and serves one query: what came before it has been dealt with by then.
fn served(mixer: &Aggregator, link: &mut LeafConnection, id: &str) {
    let mut client = Client::connect(mixer.address);
    client.send(query(id, "9000m", &[0]));
    assert_eq!(link.part(), format!("{id}.0"), "nothing else comes before it");
    link.answer(&format!("{id}.0"), "good", "v");
    assert_eq!(client.response().status, 200);
}

// ---- The client ends ----------------------------------------------------------------------------------

/// A client's end stands behind all that it sent ahead. What it waits for is given up, and nothing that it sent ahead
/// is ever sent on.
#[test]
fn a_client_that_sent_ahead_and_left_is_noticed() {
    for ahead in [4, 40, 400] {
        let node = LeafServer::new();
        let mixer = with_node(&node).start();
        let mut client = Client::connect(mixer.address);
        client.send((0..ahead).map(|i| query(&format!("q{i}"), "9000m", &[0])).collect::<String>());
        let mut link = node.accept();
        assert_eq!(link.part(), "q0.0");
        drop(client);
        let left = Instant::now();
        assert_eq!(link.frame(), Some(('n', "q0.0".to_owned())), "{ahead} sent ahead");
        assert!(left.elapsed() < Duration::from_millis(1500), "{ahead}: noticed after {:?}", left.elapsed());
        mixer.wait_for("clients_gone", 1);
        served(&mixer, &mut link, "next");
        assert_eq!(mixer.counters()["attempts_sent"], 2, "{ahead} sent ahead");
    }
}

/// Requests that are read only after their clients have gone: nobody waits for them, none is sent on.
#[test]
fn a_request_read_after_its_client_has_gone_is_not_sent_on() {
    let node = LeafServer::new();
    let mixer = with_node(&node).start();
    let mut before = Client::connect(mixer.address);
    before.send(query("before", "9000m", &[0]));
    let mut link = node.accept();
    let part = link.part();
    link.answer(&part, "good", "v");
    assert_eq!(before.response().status, 200);
    mixer.pause();
    for (i, ahead) in [1, 3, 60, 400].into_iter().enumerate() {
        let mut client = Client::connect(mixer.address);
        client.send((0..ahead).map(|n| query(&format!("gone{i}-{n}"), "9000m", &[0])).collect::<String>());
        client.leave();
    }
    before.send(query("resting", "9000m", &[0]));
    before.leave();
    mixer.resume();
    mixer.is_left_alone();
    served(&mixer, &mut link, "next");
    assert_eq!(mixer.counters()["attempts_sent"], 2);
}

/// Its end and the answer to its part lie there together. Whichever is read first, no attempt is out once the end is
/// known: one that left on the answer is given up at once.
#[test]
fn a_client_that_leaves_as_its_part_is_answered_leaves_nothing_behind() {
    for end in ["good", "bad", "later"] {
        for _ in 0..5 {
            let (a, b) = (LeafServer::new(), LeafServer::new());
            let mixer = Setup::new(&[listed("a", a.address, 0), listed("b", b.address, 0)]).start();
            let mut client = Client::connect(mixer.address);
            client.send(query("q", "9000m", &[0]));
            let mut link = first_of(&[&a, &b]);
            assert_eq!(link.part(), "q.0");
            mixer.pause();
            client.leave();
            link.answer("q.0", end, "v");
            mixer.resume();
            mixer.is_left_alone();
            let known = Instant::now();
            if let Some(mut other) = [&a, &b].into_iter().find_map(|node| node.try_accept()) {
                assert!(end != "good", "served, and sent again");
                other.stream.set_read_timeout(Some(Duration::from_secs(1))).expect("set");
                match other.frame() {
                    // The dial was for an attempt that was taken back before it was up.
                    None => continue,
                    first => {
                        assert_eq!(first.map(|(letter, _)| letter), Some('m'), "{end}");
                        assert_eq!(other.frame(), Some(('n', "q.0".to_owned())), "{end}");
                    }
                }
                assert!(known.elapsed() < Duration::from_millis(1500), "{end}: {:?}", known.elapsed());
            }
        }
    }
}

/// It leaves while its part waits for the time of a further attempt, at the only holder there is: that never comes.
#[test]
fn a_client_that_leaves_before_a_retry_is_due_gets_none() {
    let node = LeafServer::new();
    let mixer = with_node(&node).start();
    let mut client = Client::connect(mixer.address);
    client.send(query("q", "9000m", &[0]));
    let mut link = node.accept();
    assert_eq!(link.part(), "q.0");
    link.answer("q.0", "bad", "");
    mixer.wait_for("attempts_bad", 1);
    drop(client);
    mixer.wait_for("clients_gone", 1);
    // A holder is asked again after a typical time, at the start 0.15 of the shortest aim of 10 s.
    std::thread::sleep(Duration::from_millis(1800));
    served(&mixer, &mut link, "next");
    assert_eq!(mixer.counters()["attempts_sent"], 2);
}

/// Its end and its attempt's time-out lie there together: what the time-out sends is given up at once.
#[test]
fn a_client_that_leaves_as_its_attempt_times_out_leaves_nothing_behind() {
    let (a, b) = (LeafServer::new(), LeafServer::new());
    let nodes = [listed("a", a.address, 0), listed("b", b.address, 0)];
    let mixer = Setup { hard_limit_ms: 2400, ..Setup::new(&nodes) }.start();
    let mut client = Client::connect(mixer.address);
    client.send(query("q", "2400m", &[0]));
    let mut link = first_of(&[&a, &b]);
    assert_eq!(link.part(), "q.0");
    mixer.pause();
    client.leave();
    // A third of the time, where three attempts may be made one after the other.
    std::thread::sleep(Duration::from_millis(900));
    mixer.resume();
    mixer.is_left_alone();
    assert_eq!(link.frame(), Some(('n', "q.0".to_owned())));
    if let Some(mut other) = [&a, &b].into_iter().find_map(|node| node.try_accept()) {
        other.stream.set_read_timeout(Some(Duration::from_millis(500))).expect("set");
        let frames: Vec<char> = std::iter::from_fn(|| other.frame()).map(|(letter, _)| letter).collect();
        assert!(frames.is_empty() || frames == ['m', 'n'], "{frames:?}");
    }
}

/// It leaves as the connection that its part is out on ends: the give-up goes nowhere, and the next one is served.
#[test]
fn a_give_up_on_a_connection_that_ends_is_nobodys_loss() {
    let node = LeafServer::new();
    let mixer = with_node(&node).start();
    for round in 0..5 {
        let id = format!("q{round}");
        let mut client = Client::connect(mixer.address);
        client.send(query(&id, "9000m", &[0]));
        let mut link = node.accept();
        assert_eq!(link.part(), format!("{id}.0"));
        mixer.pause();
        client.leave();
        drop(link);
        mixer.resume();
        mixer.is_left_alone();
        mixer.wait_for("connections_broken", 2 * round + 1);
        // Nothing is out: a mixer that holds nothing answers the next one on a connection of its own.
        let mut next = Client::connect(mixer.address);
        next.send(query(&format!("next{round}"), "9000m", &[0]));
        let mut link = node.accept();
        assert_eq!(link.part(), format!("next{round}.0"));
        link.answer(&format!("next{round}.0"), "good", "v");
        assert_eq!(next.response().status, 200);
        drop(link);
        mixer.wait_for("connections_broken", 2 * round + 2);
    }
}

/// Its part waits for a connection that is not up yet: when it comes up, nothing is written to it.
#[test]
fn a_client_that_leaves_while_a_connection_comes_up_sends_nothing() {
    let mut slow = LeafServer::backlogged();
    let config = with_node(&slow.node).config().replace("\"dialTimeoutMs\":250", "\"dialTimeoutMs\":5000");
    let mixer = Aggregator::start(&config, None);
    let mut client = Client::connect(mixer.address);
    client.send(query("q", "9000m", &[0]));
    mixer.wait_for("connections_dialled", 1);
    drop(client);
    mixer.wait_for("clients_gone", 1);
    slow.clear();
    let mut link = slow.node.accept();
    mixer.wait_for("connections_up", 1);
    served(&mixer, &mut link, "next");
    assert_eq!(mixer.counters()["attempts_sent"], 1);
}

/// The time of a request that was sent ahead runs from when it came, not from when those before it were done.
#[test]
fn the_time_of_a_request_sent_ahead_runs_from_its_coming() {
    let node = LeafServer::new();
    let mixer = with_node(&node).start();
    let mut client = Client::connect(mixer.address);
    client.send(query("q1", "9000m", &[0]) + &query("q2", "400m", &[0]));
    let sent = Instant::now();
    let mut link = node.accept();
    assert_eq!(link.part(), "q1.0");
    std::thread::sleep(Duration::from_millis(450).saturating_sub(sent.elapsed()));
    link.answer("q1.0", "good", "v");
    assert_eq!(client.response().status, 200);
    assert_ne!(client.response().status, 200, "its time was over before it was read");
    served(&mixer, &mut link, "next");
    assert_eq!(mixer.counters()["attempts_sent"], 2, "it was not sent on");
}

// ---- The mixer ends -----------------------------------------------------------------------------------

/// The kernel has taken connections while the mixer stood still past the moment in which it closes its listener: all that
/// wait there are answered all the same. A second order to end changes nothing.
#[test]
fn a_connection_that_only_the_kernel_has_taken_is_answered_before_the_end() {
    for round in 0..3 {
        let node = LeafServer::new();
        let mut mixer = with_node(&node).start();
        mixer.signal("-TERM");
        mixer.told("graceful shutdown");
        mixer.signal("-TERM");
        mixer.pause();
        let mut clients: Vec<Client> = (0..20).map(|_| Client::connect(mixer.address)).collect();
        for (i, client) in clients.iter_mut().enumerate() {
            client.send(query(&format!("q{i}"), "9000m", &[0]));
        }
        std::thread::sleep(Duration::from_millis(700));
        mixer.resume();
        let mut link = node.accept();
        for _ in 0..clients.len() {
            let part = link.part();
            link.answer(&part, "good", "v");
        }
        assert!(clients.iter_mut().all(|c| c.response().status == 200), "round {round}");
        drop(clients);
        assert!(mixer.ended().success());
    }
}

/// All places for clients are taken when the mixer is to end, and one more stands in the kernel's queue: it gets a
/// place as the others are done, and its answer.
#[test]
fn a_client_in_the_queue_of_a_full_mixer_is_answered_before_the_end() {
    const PLACES: usize = 15;
    let node = LeafServer::new();
    let config = with_node(&node).config().replace("\"sockets\":1024", "\"sockets\":64");
    let mut mixer = Aggregator::start(&config, None);
    let mut clients: Vec<Client> = Vec::new();
    let mut link = None;
    for i in 0..PLACES {
        let mut client = Client::connect(mixer.address);
        client.send(query(&format!("q{i}"), "9000m", &[0]));
        clients.push(client);
        assert_eq!(link.get_or_insert_with(|| node.accept()).part(), format!("q{i}.0"));
    }
    let mut queued = Client::connect(mixer.address);
    queued.send(query("queued", "9000m", &[0]));
    mixer.signal("-TERM");
    mixer.told("graceful shutdown");
    // Past the time for which the mixer serves as ever: it has stopped to accept by then.
    std::thread::sleep(Duration::from_millis(900));
    let mut link = link.expect("a connection");
    for (i, client) in clients.iter_mut().enumerate() {
        link.answer(&format!("q{i}.0"), "good", "v");
        assert_eq!(client.response().status, 200);
    }
    drop(clients);
    assert_eq!(link.part(), "queued.0");
    link.answer("queued.0", "good", "v");
    assert_eq!(queued.response().status, 200);
    drop(queued);
    assert!(mixer.ended().success());
}

/// A request lands on a resting connection in the moment in which the mixer, as it ends, closes that: it is answered, or
/// never sent on, and never both closed and sent on.
#[test]
fn a_request_that_crosses_the_close_of_a_resting_connection_is_answered_or_not_sent_on() {
    for after_ms in [600, 640, 650, 660, 700, 760] {
        let node = LeafServer::new();
        let mut mixer = with_node(&node).start();
        let mut client = Client::connect(mixer.address);
        client.send(query("first", "9000m", &[0]));
        let mut link = node.accept();
        let part = link.part();
        link.answer(&part, "good", "v");
        assert_eq!(client.response().status, 200);
        mixer.signal("-TERM");
        mixer.told("graceful shutdown");
        std::thread::sleep(Duration::from_millis(after_ms));
        let answered = {
            let serve = background(move || match link.frame() {
                Some(('m', rest)) => {
                    link.answer(rest.split(' ').next().expect("an id"), "good", "v");
                    link.frame();
                    true
                }
                _ => false,
            });
            let reply = client.try_ask(query("crossing", "9000m", &[0]));
            drop(client);
            let sent_on = serve();
            assert!(!sent_on || reply.is_some(), "{after_ms} ms: sent on, and not answered");
            reply
        };
        assert!(answered.is_none_or(|r| r.status == 200), "{after_ms} ms");
        assert!(mixer.ended().success());
    }
}

// ---- An attempt ends ----------------------------------------------------------------------------------

/// A settings text whose class is keyed: its parts may be repeated within so many milliseconds.
fn keyed(config: &str, window_ms: u32) -> String {
    let effect = format!("\"effect\":\"dedup\",\"group\":\"all\",\"windowMs\":{window_ms}");
    let config = config.replace("\"effect\":\"retryable\"", &effect);
    config.replace("\"dialTimeoutMs\":250", "\"dialTimeoutMs\":5000")
}

/// The window for repeats runs out while the further attempt waits for its connection: it is not written when that comes
/// up, and the client is told at once.
#[test]
fn a_repeat_is_not_written_once_its_window_is_over() {
    const WINDOW: Duration = Duration::from_millis(700);
    let (a, mut b) = (LeafServer::new(), LeafServer::backlogged());
    let discovery = Discovery::new();
    let setup = Setup { discovery: discovery.address(), ..with_node(&a) };
    let mixer = Aggregator::start(&keyed(&setup.config(), WINDOW.as_millis() as u32), None);
    let mut watch = discovery.accept();
    let mut client = Client::connect(mixer.address);
    client.send(query("q", "9000m", &[0]));
    let mut link = a.accept();
    assert_eq!(link.part(), "q.0");
    let sent = Instant::now();
    let gone = Listed { lifecycle: "Gone", ..listed("a", a.address, 0) };
    watch.tell(&list(2, false, &[gone, Listed { started: 1, ..listed("b", b.node.address, 0) }]));
    mixer.wait_for("lists_taken", 2);
    link.answer("q.0", "bad", "");
    mixer.wait_for("connections_dialled", 2);
    std::thread::sleep((WINDOW + Duration::from_millis(100)).saturating_sub(sent.elapsed()));
    b.clear();
    let mut late = b.node.accept();
    served(&mixer, &mut late, "next");
    let reply = client.response();
    assert_eq!(reply.status, 502, "it may have run: no refusal");
    assert_eq!((mixer.counters()["attempts_sent"], mixer.counters()["attempts_not_sent"]), (2, 1));
}

/// What was given up at a node is sent there again: a late answer to the first attempt is not taken for the second one's,
/// though both go by one name.
#[test]
fn a_late_answer_is_not_taken_for_the_next_attempts() {
    let node = LeafServer::new();
    let mixer = Setup { hard_limit_ms: 2400, ..with_node(&node) }.start();
    let mut client = Client::connect(mixer.address);
    client.send(query("q", "2400m", &[0]));
    let mut first = node.accept();
    assert_eq!(first.part(), "q.0");
    assert_eq!(first.frame(), Some(('n', "q.0".to_owned())));
    let mut second = node.accept();
    assert_eq!(second.part(), "q.0");
    // A good one would do no harm; this one says that it never ran.
    first.answer("q.0", "later", "");
    mixer.wait_for("answers_ignored", 1);
    assert_eq!(mixer.counters()["attempts_rejected"], 0);
    second.answer("q.0", "good", "v");
    assert_eq!(client.response().status, 200);
    assert_eq!(mixer.counters()["attempts_sent"], 2);
}

/// A client takes a name that another has just used and left: it gets no answer that was meant for the other.
#[test]
fn a_name_used_again_gets_no_answer_to_the_first_of_that_name() {
    let node = LeafServer::new();
    let mixer = with_node(&node).start();
    let mut leaver = Client::connect(mixer.address);
    leaver.send(query("same", "9000m", &[0]));
    let mut first = node.accept();
    assert_eq!(first.part(), "same.0");
    drop(leaver);
    assert_eq!(first.frame(), Some(('n', "same.0".to_owned())));
    mixer.wait_for("clients_gone", 1);
    let mut client = Client::connect(mixer.address);
    client.send(query("same", "9000m", &[0]));
    let mut second = node.accept();
    assert_eq!(second.part(), "same.0");
    first.answer("same.0", "good", "theirs");
    mixer.wait_for("answers_ignored", 1);
    second.answer("same.0", "good", "ours");
    let reply = client.response();
    assert!(reply.status == 200 && reply.body.contains("ours"), "{reply:?}");
}

/// An answer that comes twice, one to what was never sent, and half a line before a close: each ends the connection or
/// nothing, and none of them another query.
#[test]
fn answers_twice_unasked_or_half_there_end_no_other_query() {
    type Play = fn(&mut LeafConnection);
    let plays: [Play; 3] = [
        |link| {
            link.answer("one.0", "good", "v");
            link.answer("one.0", "good", "w");
        },
        |link| {
            link.answer("one.0", "good", "v");
            link.answer("never.0", "good", "w");
        },
        |link| {
            link.answer("one.0", "good", "v");
            link.put_cut('q', "two.0 good 17 -");
            link.stream.shutdown(std::net::Shutdown::Write).expect("open");
        },
    ];
    for (i, play) in plays.into_iter().enumerate() {
        let node = LeafServer::new();
        let mixer = with_node(&node).start();
        let mut clients: Vec<Client> = (0..2).map(|_| Client::connect(mixer.address)).collect();
        clients[0].send(query("one", "9000m", &[0]));
        let mut link = node.accept();
        assert_eq!(link.part(), "one.0");
        clients[1].send(query("two", "9000m", &[0]));
        assert_eq!(link.part(), "two.0");
        play(&mut link);
        let played = Instant::now();
        let reply = clients[0].response();
        assert!(reply.status == 200 && reply.body.contains("\"v\""), "play {i}: {reply:?}");
        // The other one's attempt may have run, and is repeated elsewhere: here on a new connection.
        let mut again = node.accept();
        assert_eq!(again.part(), "two.0", "play {i}");
        let after = played.elapsed();
        assert!(after < Duration::from_millis(2500), "play {i}: by its time-out alone, after {after:?}");
        again.answer("two.0", "good", "v");
        assert_eq!(clients[1].response().status, 200, "play {i}");
        assert_eq!(mixer.counters()["attempts_sent"], 3, "play {i}");
    }
}

// ---- A watch ends -------------------------------------------------------------------------------------

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A mixer of a large fleet that watches a discovery, and the open watch, which has told something.
fn watching(discovery: &Discovery, node: &LeafServer) -> (Aggregator, Watch) {
    let setup = Setup { discovery: discovery.address(), ..with_node(node) };
    let config = setup.config().replace("\"replicasOfMe\":1", "\"replicasOfMe\":300");
    let mixer = Aggregator::start(&config, None);
    let mut watch = discovery.accept();
    watch.tell(&list(2, false, &[]));
    mixer.wait_for("lists_taken", 2);
    (mixer, watch)
}

/// What a call after the watch has ended meets.
#[derive(Clone, Copy, Debug)]
enum Meets {
    /// Accepted, and not a word.
    Silence,
    /// A head, and nothing after it.
    HeadAlone,
    /// A head and half an object.
    HalfAnObject,
    Refusal,
    Reset,
}

/// The watch falls silent, and the calls that follow meet what may go wrong with a call. What discovery had by then is in
/// force within the 6 s by which it counts as told.
#[test]
fn a_change_is_known_in_time_whatever_the_calls_after_a_silent_watch_meet() {
    use Meets::*;
    let chains: [&[Meets]; 6] = [
        &[Silence],
        &[HeadAlone, Refusal],
        &[HalfAnObject, Reset],
        &[Reset, Silence, Refusal],
        &[Refusal, Silence, Reset],
        &[Refusal, Refusal, Refusal],
    ];
    let plays = chains.map(|chain| {
        background(move || {
            let (node, discovery) = (LeafServer::new(), Discovery::new());
            let (mixer, _watch) = watching(&discovery, &node);
            let silent = Instant::now();
            let mut held = Vec::new();
            for meets in chain {
                let mut stream = discovery.accept_raw();
                let words = match meets {
                    Silence | Reset => String::new(),
                    HeadAlone => HEAD.to_owned(),
                    HalfAnObject => format!("{HEAD}10\r\n{{\"generation\":3"),
                    Refusal => "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_owned(),
                };
                std::io::Write::write_all(&mut stream, words.as_bytes()).expect("the mixer reads");
                if matches!(meets, Silence | HeadAlone | HalfAnObject) {
                    held.push(stream);
                }
            }
            let draining = Listed { lifecycle: "Terminating", ..listed("a", node.address, 0) };
            discovery.accept().tell(&list(3, false, &[draining]));
            mixer.wait_for("lists_taken", 3);
            (chain, silent.elapsed())
        })
    });
    for (chain, after) in plays.map(|play| play()) {
        assert!(after < Duration::from_secs(6), "{chain:?}: known {after:?} after the silence");
    }
}

/// A watch that only said that it lives has lived: the next call comes as soon as after one that told something.
#[test]
fn a_watch_that_had_nothing_to_tell_is_opened_anew_at_once() {
    for _ in 0..5 {
        let (node, discovery) = (LeafServer::new(), Discovery::new());
        let setup = Setup { discovery: discovery.address(), ..with_node(&node) };
        let config = setup.config().replace("\"replicasOfMe\":1", "\"replicasOfMe\":300");
        let mixer = Aggregator::start(&config.replace("\"pushed\"", "\"on_request\""), None);
        let mut watch = discovery.accept();
        watch.tell("");
        mixer.wait_for("list_calls", 1);
        // It has read the line, or it would find the end first.
        std::thread::sleep(Duration::from_millis(20));
        drop(watch);
        let ended = Instant::now();
        discovery.accept();
        assert!(ended.elapsed() < Duration::from_millis(400), "asked {:?} after the end", ended.elapsed());
    }
}

/// A new configuration moves discovery while the old watch has lines on the way; the new one's list goes back to an
/// earlier generation and is whole: what it does not name is gone, though the old one told of it.
#[test]
fn the_new_discoverys_list_stands_over_the_old_ones_last_line() {
    let (a, b) = (LeafServer::new(), LeafServer::new());
    let (old, new) = (Discovery::new(), Discovery::new());
    let setup = Setup { discovery: old.address(), ..with_node(&a) };
    let mixer = setup.start();
    let mut first = old.accept();
    first.tell(&list(70, false, &[]));
    mixer.wait_for("lists_taken", 2);
    std::fs::write(&mixer.config, Setup { discovery: new.address(), ..setup }.config()).expect("written");
    mixer.pause();
    first.tell(&list(71, false, &[Listed { started: 1, ..listed("a", a.address, 0) }]));
    mixer.signal("-HUP");
    mixer.resume();
    let mut second = new.accept();
    second.tell(&list(5, true, &[Listed { started: 1, ..listed("b", b.address, 0) }]));
    mixer.wait_for("reloads", 1);
    // Only b is asked from now on, ten times over.
    let mut client = Client::connect(mixer.address);
    until("b is listed", || mixer.counters()["lists_taken"] >= 3);
    let mut link = None;
    for i in 0..10 {
        client.send(query(&format!("q{i}"), "9000m", &[0]));
        let link = link.get_or_insert_with(|| b.accept());
        let part = link.part();
        link.answer(&part, "good", "v");
        assert_eq!(client.response().status, 200);
    }
    assert!(a.try_accept().is_none(), "nothing went to what is gone");
    drop(second);
    assert!(new.accept().request.ends_with("after=5 HTTP/1.1"), "from where the new one stood");
}

// ---- Settings end -------------------------------------------------------------------------------------

/// Classes are dropped and change places, a tenant gets another name, while a query is held: it goes on by the rules and
/// under the name that it began with. What comes after goes by the new ones, and names that are gone get a 4xx.
#[test]
fn names_that_change_while_a_query_is_held_serve_no_other() {
    let node = LeafServer::new();
    let setup = with_node(&node);
    let class = |name: &str, effect: &str| {
        format!(
            "{{\"aimMs\":9000,\"effect\":{effect},\"hardLimitMs\":9000,\"lateValue\":0,\"name\":\"{name}\",\"worth\":1}}"
        )
    };
    let with = |classes: &[String], tenant: &str| {
        let config = setup.config().replace("\"acme\"", &format!("\"{tenant}\""));
        let from = config.find("\"categories\":[").expect("there");
        let to = from + config[from..].find("],").expect("ends");
        let many = |figure: &str| vec![figure; classes.len()].join(",");
        (config[..from].to_owned() + "\"categories\":[" + &classes.join(",") + &config[to..])
            .replace("\"classPartial\":[0.9]", &format!("\"classPartial\":[{}]", many("0.9")))
            .replace("\"completeFrom\":[1]", &format!("\"completeFrom\":[{}]", many("1")))
            .replace("\"fetchParts\":[0]", &format!("\"fetchParts\":[{}]", many("0")))
            .replace("\"floorByClass\":[1]", &format!("\"floorByClass\":[{}]", many("1")))
    };
    let of = |id: &str, class: &str, tenant: &str| {
        query(id, "9000m", &[0]).replace("Req-Kind: c", &format!("Req-Kind: {class}")).replace("acme", tenant)
    };
    // The one held is of an unsafe class, whose place a safe one takes.
    let before = with(&[class("plain", "\"retryable\""), class("once", "\"fragile\"")], "acme");
    let mixer = Aggregator::start(&before, None);
    let mut held = Client::connect(mixer.address);
    held.send(of("held", "once", "acme"));
    let mut link = node.accept();
    assert_eq!(link.part(), "held.0");
    let after = with(&[class("once", "\"retryable\""), class("new", "\"retryable\"")], "other");
    std::fs::write(&mixer.config, &after).expect("written");
    mixer.signal("-HUP");
    mixer.wait_for("reloads", 1);
    for (id, class, tenant, status) in
        [("a", "plain", "other", 400), ("b", "new", "acme", 400), ("c", "nothing", "other", 400)]
    {
        let reply = Client::connect(mixer.address).ask(of(id, class, tenant));
        assert_eq!(reply.status, status, "{class} of {tenant}");
    }
    assert_eq!(mixer.counters()["queries_malformed"], 3);
    // Repeated it would be under the rules of the class that has its name and its place now.
    link.answer("held.0", "bad", "");
    assert_eq!(held.response().status, 502);
    let mut client = Client::connect(mixer.address);
    client.send(of("d", "new", "other"));
    assert_eq!(link.part(), "d.0");
    link.answer("d.0", "bad", "");
    assert_eq!(link.part(), "d.0", "its class may be repeated");
    link.answer("d.0", "good", "v");
    assert_eq!(client.response().status, 200);
}

/// Where the settings name no tenants, any name of one will do.
#[test]
fn without_tenants_every_owner_is_served() {
    let node = LeafServer::new();
    let config = with_node(&node).config();
    let config = config.replace("\"tenants\":[{\"name\":\"acme\",\"quotaPerS\":10}]", "\"tenants\":[]");
    let mixer = Aggregator::start(&config, None);
    let mut client = Client::connect(mixer.address);
    client.send(query("q", "9000m", &[0]));
    let mut link = node.accept();
    let part = link.part();
    link.answer(&part, "good", "v");
    assert_eq!(client.response().status, 200);
}

// ---- The mixer ends, and starts ------------------------------------------------------------------------

/// A request of which half has come when the mixer is to end is read on and answered, also where its rest comes after the
/// order to close that connection.
#[test]
fn a_request_half_read_when_the_end_is_asked_for_is_answered() {
    for rest_after_ms in [0, 720] {
        let node = LeafServer::new();
        let mut mixer = with_node(&node).start();
        let whole = query("q", "9000m", &[0]);
        let cuts = [20, whole.len() - 90, whole.len() - 1];
        let of = |cut: usize| whole.replace("Req-Id: q", &format!("Req-Id: q{cut}"));
        let mut clients: Vec<Client> = Vec::new();
        for cut in cuts {
            let mut client = Client::connect(mixer.address);
            client.send(&of(cut)[..cut]);
            clients.push(client);
        }
        mixer.wait_for("clients_opened", cuts.len() as u64);
        mixer.signal("-TERM");
        mixer.told("graceful shutdown");
        std::thread::sleep(Duration::from_millis(rest_after_ms));
        let mut link = None;
        for (client, cut) in clients.iter_mut().zip(cuts) {
            client.send(&of(cut)[cut..]);
            let link = link.get_or_insert_with(|| node.accept());
            let part = link.part();
            link.answer(&part, "good", "v");
            assert_eq!(client.response().status, 200, "cut at {cut}, the rest after {rest_after_ms} ms");
        }
        drop(clients);
        assert!(mixer.ended().success());
    }
}

/// Its leaf server hangs just then, another client never reads its answer, a third never asks: each query has its end by
/// its time, and the process its own.
#[test]
fn nobody_who_hangs_keeps_the_mixer_from_its_end() {
    let node = LeafServer::new();
    let mut mixer = with_node(&node).start();
    let mut hung = Client::connect(mixer.address);
    hung.send(query("hung", "1500m", &[0]));
    let mut link = node.accept();
    assert_eq!(link.part(), "hung.0");
    let mut unread = Client::connect(mixer.address);
    unread.send(query("unread", "9000m", &[0]));
    assert_eq!(link.part(), "unread.0");
    let _silent = Client::connect(mixer.address);
    mixer.signal("-TERM");
    mixer.told("graceful shutdown");
    link.answer("unread.0", "good", &"v".repeat(60_000));
    let asked = Instant::now();
    assert_ne!(hung.response().status, 200, "answered though not served");
    assert!(asked.elapsed() < Duration::from_millis(2000), "{:?}", asked.elapsed());
    drop(hung);
    assert!(mixer.ended().success());
    drop(unread);
}

/// The order to end comes while the mixer has yet to hear of any leaf server, and in one moment with new settings.
#[test]
fn an_end_asked_for_while_starting_or_reloading_is_an_end() {
    let discovery = Discovery::new();
    let mut starting = Setup { discovery: discovery.address(), ..Setup::new(&[]) }.start();
    starting.signal("-TERM");
    assert!(starting.ended().success());
    let node = LeafServer::new();
    let mut reloading = with_node(&node).start();
    let mut held = Client::connect(reloading.address);
    held.send(query("held", "9000m", &[0]));
    let mut link = node.accept();
    assert_eq!(link.part(), "held.0");
    reloading.pause();
    reloading.signal("-HUP");
    reloading.signal("-TERM");
    reloading.resume();
    reloading.told("graceful shutdown");
    link.answer("held.0", "good", "v");
    assert_eq!(held.response().status, 200);
    drop(held);
    assert!(reloading.ended().success());
}

/// A mixer that starts with a list is ready soon, whatever discovery does.
#[test]
fn a_start_is_ready_in_time_though_discovery_is_not() {
    let node = LeafServer::new();
    let silent = Discovery::new();
    let trickling = Discovery::new();
    let address = trickling.address();
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = trickling.listener.accept() {
            std::thread::spawn(move || {
                for byte in HEAD.bytes().cycle() {
                    if std::io::Write::write_all(&mut stream, &[byte]).is_err() {
                        break;
                    }
                    std::thread::sleep(Duration::from_millis(100));
                }
            });
        }
    });
    for discovery in [silent.address(), nobody().to_string(), address] {
        let begun = Instant::now();
        let mut mixer = Setup { discovery: discovery.clone(), managed: true, ..with_node(&node) }.start();
        until("ready", || mixer.operate("GET /-/ready") == 200 && mixer.healthz() == 200);
        assert!(begun.elapsed() < Duration::from_secs(6), "{discovery}: {:?}", begun.elapsed());
    }
}

// ---- A connection to a leaf server ends ---------------------------------------------------------------

/// The server closes a resting connection in the moment in which a part is put on it: the part may have run, and goes out
/// once more where that is harmless.
#[test]
fn a_part_that_crosses_the_servers_close_goes_out_again() {
    let node = LeafServer::new();
    let mixer = with_node(&node).start();
    let mut client = Client::connect(mixer.address);
    client.send(query("q1", "9000m", &[0]));
    let mut link = node.accept();
    assert_eq!(link.part(), "q1.0");
    link.answer("q1.0", "good", "v");
    assert_eq!(client.response().status, 200);
    mixer.pause();
    drop(link);
    client.send(query("q2", "9000m", &[0]));
    mixer.resume();
    let mut again = node.accept();
    assert_eq!(again.part(), "q2.0");
    again.answer("q2.0", "good", "v");
    assert_eq!(client.response().status, 200);
}

/// Half a body, and the client goes: nothing of it is sent on, and the next client is served.
#[test]
fn a_client_that_leaves_half_a_body_in_leaves_nothing_behind() {
    let node = LeafServer::new();
    let mixer = with_node(&node).start();
    let whole = query("half", "9000m", &[0]);
    let mut client = Client::connect(mixer.address);
    client.send(&whole[..whole.len() - 1]);
    client.leave();
    mixer.is_left_alone();
    let mut next = Client::connect(mixer.address);
    next.send(query("next", "9000m", &[0]));
    let mut link = node.accept();
    assert_eq!(link.part(), "next.0");
    link.answer("next.0", "good", "v");
    assert_eq!(next.response().status, 200);
    assert_eq!(mixer.counters()["attempts_sent"], 1);
}

/// A part waits for a connection that takes long to come up; meanwhile its server is told to drain. When the connection
/// comes up, later than anything new may go there, nothing is written to it: the part goes elsewhere before.
#[test]
fn what_waits_for_a_server_that_drains_goes_elsewhere() {
    for lifecycle in ["Terminating", "Gone"] {
        let (mut slow, other) = (LeafServer::backlogged(), LeafServer::new());
        let discovery = Discovery::new();
        let setup = Setup { discovery: discovery.address(), ..with_node(&slow.node) };
        let mixer = Aggregator::start(
            &setup.config().replace("\"dialTimeoutMs\":250", "\"dialTimeoutMs\":5000"),
            None,
        );
        let mut watch = discovery.accept();
        let mut client = Client::connect(mixer.address);
        client.send(query("q", "9000m", &[0]));
        mixer.wait_for("connections_dialled", 1);
        let leaving = Listed { lifecycle, ..listed("a", slow.node.address, 0) };
        watch.tell(&list(2, false, &[leaving, Listed { started: 1, ..listed("b", other.address, 0) }]));
        mixer.wait_for("lists_taken", 2);
        let told = Instant::now();
        let mut link = other.accept();
        assert!(told.elapsed() < Duration::from_secs(1), "{lifecycle}: elsewhere after {:?}", told.elapsed());
        assert_eq!(link.part(), "q.0");
        slow.clear();
        if lifecycle == "Terminating" {
            let mut late = slow.node.accept();
            late.stream.set_read_timeout(Some(Duration::from_millis(300))).expect("set");
            assert_eq!(late.frame(), None, "nothing is written to it");
        } else {
            mixer.wait_for("connections_closed", 1);
        }
        link.answer("q.0", "good", "v");
        assert_eq!(client.response().status, 200);
        assert_eq!(mixer.counters()["attempts_sent"], 1, "{lifecycle}");
    }
}
