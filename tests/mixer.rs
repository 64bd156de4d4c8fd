//! The mixer on sockets: the real program, with the test as its clients, nodes and discovery.

mod common;

use common::process::*;
use std::io::Write;
use std::time::Duration;

/// A mixer with one node for each of the three cells, or fewer.
fn with_nodes(nodes: &[&Node]) -> Setup {
    const NAMES: [&str; 3] = ["s0", "s1", "s2"];
    let listed: Vec<Listed> =
        nodes.iter().enumerate().map(|(i, n)| listed(NAMES[i], n.address, i as u32)).collect();
    Setup::new(&listed)
}

/// A mixer with two nodes that both hold the only shard asked.
fn with_twins(a: &Node, b: &Node) -> Setup {
    Setup::new(&[listed("a", a.address, 0), listed("b", b.address, 0)])
}

#[test]
fn whole_answer_carries_the_values_as_given() {
    let nodes = [Node::new(), Node::new()];
    let mixer = with_nodes(&[&nodes[0], &nodes[1]]).start();
    let mut client = Client::connect(mixer.address);
    client.send(query("q1", "9000m", &[0, 1]));
    let values = ["5be2a07c19f04d63", "a\"b\\c\u{e9}\u{1}"];
    for (node, (i, value)) in nodes.iter().zip(values.iter().enumerate()) {
        let mut link = node.accept();
        let (letter, rest) = link.frame().expect("a call");
        let (line, text) = rest.split_once('\n').expect("a line");
        let words: Vec<&str> = line.split(' ').collect();
        assert_eq!((letter, words[0], words[1]), ('m', format!("q1.{i}").as_str(), i.to_string().as_str()));
        let wait: u32 = words[2].strip_prefix("d=").and_then(|d| d.parse().ok()).expect("a time to wait");
        assert!((1..=9000).contains(&wait) && words[3] == "8" && text == "c41e77d0", "{rest}");
        link.answer(words[0], "good", value);
        std::mem::forget(link);
    }
    let reply = client.response();
    let body = r#"{"total":true,"answers":[{"range":0,"blob":"5be2a07c19f04d63"},{"range":1,"blob":"a\"b\\cé\u0001"}]}"#;
    assert_eq!((reply.status, reply.body.as_str()), (200, body));
    assert_eq!(client.ask("GET /healthz HTTP/1.1\r\n\r\n").status, 200, "the connection is kept");
}

/// A client's idempotency key goes with every attempt of every part, and what would break a frame's line is turned away.
#[test]
fn an_idempotency_key_is_passed_on_with_every_attempt() {
    let (a, b) = (Node::new(), Node::new());
    let mixer = with_twins(&a, &b).start();
    let keyed = |id: &str, key: &str| {
        query(id, "9000m", &[0]).replace("Req-Owner", &format!("Idempotency-Key: {key}\r\nReq-Owner"))
    };
    let mut client = Client::connect(mixer.address);
    client.send(keyed("q1", "9e38e3142cc1013f72f4750c5a12be11"));
    for end in ["bad", "good"] {
        let mut link = first_of(&[&a, &b]);
        let (letter, rest) = link.frame().expect("a call");
        let list = rest.split(' ').nth(2).expect("a list");
        assert!(
            letter == 'm' && list.starts_with("d=") && list.ends_with(",k=9e38e3142cc1013f72f4750c5a12be11")
        );
        link.answer("q1.0", end, "v");
        std::mem::forget(link);
    }
    assert_eq!(client.response().status, 200);
    for bad in ["a b", "a,d=1", "a=b", "\u{e9}"] {
        assert_eq!(Client::connect(mixer.address).ask(keyed("q2", bad)).status, 400, "{bad:?}");
    }
}

#[test]
fn a_chunked_body_is_taken() {
    let node = Node::new();
    let mixer = with_nodes(&[&node]).start();
    let whole = query("q1", "9000000u", &[0]);
    let (head, body) = whole.split_once("\r\n\r\n").expect("a body");
    let head = head.replace(&format!("Content-Length: {}", body.len()), "Transfer-Encoding: chunked");
    let (a, b) = body.split_at(9);
    let mut client = Client::connect(mixer.address);
    client.send(format!("{head}\r\n\r\n9\r\n{a}\r\n"));
    client.send(format!("{:x}\r\n{b}\r\n0\r\n\r\n", b.len()));
    let mut link = node.accept();
    let part = link.part();
    link.answer(&part, "good", "v");
    assert_eq!(client.response().status, 200);
}

#[test]
fn malformed_requests_get_a_4xx_and_are_counted() {
    let node = Node::new();
    let mixer = with_nodes(&[&node]).start();
    let good = query("q1", "900m", &[0]);
    let long = "x".repeat(70_000);
    let cases = [
        ("\0\u{1}\r\n\r\n".to_owned(), 400),
        (format!("GET / HTTP/1.1\r\nA: {long}\r\n\r\n"), 431),
        ("GET /nowhere HTTP/1.1\r\n\r\n".to_owned(), 404),
        ("GET /api/1 HTTP/1.1\r\n\r\n".to_owned(), 405),
        ("POST /api/1 HTTP/1.1\r\nContent-Length: 70000\r\n\r\n".to_owned(), 413),
        ("POST /api/1 HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned(), 400),
        (good.replace("\r\n\r\n", "\r\nContent-Length: 1\r\n\r\n"), 400),
        ("POST /api/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n".to_owned(), 400),
        (good.replace("Req-Deadline: 900m", "Req-Deadline: soon"), 400),
        (good.replace("Req-Id: q1", "Req-Id: q 1"), 400),
        (good.replace("Req-Kind: c", "Req-Kind: d"), 400),
        (good.replace("{\"ranges\"", "[\"ranges\""), 400),
        (query("q1", "900m", &[]), 400),
        (query("q1", "900m", &[0, 0]), 400),
        (query("q1", "900m", &[7]), 400),
        (good.replace("\"range\":0", "\"range\":-1"), 400),
        (good.replace("\"portion\":1", "\"portion\":-1"), 400),
        (good.replace("\"portion\":1", "\"portion\":2"), 400),
        (
            query("q1", "900m", &[0, 1])
                .replace("\"range\":1,\"portion\":0.5", "\"range\":1,\"portion\":0.2"),
            400,
        ),
        (query("q1", "900m", &[0, 1]).replace("0.5}", "0.0}").replacen("0.0}", "1.0}", 1), 400),
        (good.replace("Content-Length: ", "Content-Length: -"), 400),
        (good.replace("Req-Id: q1", "Req-Id: q1\r\nReq-Id: q2"), 400),
        (good.replace("Req-Id: q1\r\n", ""), 400),
        (good.replace("Req-Deadline: 900m", "Req-Deadline: NaNm"), 400),
        (
            "POST /api/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"
                .to_owned(),
            400,
        ),
    ];
    for (request, status) in &cases {
        let reply = Client::connect(mixer.address).ask(request);
        assert_eq!(reply.status, *status, "{request:.200}");
    }
    let counters = mixer.counters();
    assert_eq!((counters["queries_malformed"], counters["queries_taken"]), (cases.len() as u64, 0));
}

/// The node must know that the first attempt is over before the second leaves: never two out at once.
#[test]
fn a_give_up_is_written_before_the_next_attempt_leaves() {
    let (a, b) = (Node::new(), Node::new());
    let mixer = Setup { hard_limit_ms: 2400, ..with_twins(&a, &b) }.start();
    let mut client = Client::connect(mixer.address);
    client.send(query("q1", "2400m", &[0]));
    let mut links = [first_of(&[&a, &b]), first_of(&[&a, &b])];
    // The second attempt is here: the first link must hold its part and the give-up already.
    links[0].stream.set_nonblocking(true).expect("set");
    assert_eq!(links[0].part(), "q1.0");
    assert_eq!(links[0].frame(), Some(('n', "q1.0".to_owned())));
    assert_eq!(links[1].part(), "q1.0");
    // A late answer to what was given up is nobody's: only the second one counts.
    links[0].answer("q1.0", "good", "late");
    mixer.wait_for("attempts_timed_out", 1);
    links[1].answer("q1.0", "good", "in time");
    let reply = client.response();
    assert_eq!((reply.status, reply.body.contains("in time")), (200, true), "{reply:?}");
}

#[test]
fn every_end_of_an_attempt_is_told_apart() {
    type Play = fn(&mut Link, &str);
    let cases: [(&str, Play); 11] = [
        ("attempts_bad", |link, part| link.answer(part, "bad", "")),
        ("attempts_rejected", |link, part| link.answer(part, "later", "")),
        ("attempts_reset", |link, _| drop(link.stream.shutdown(std::net::Shutdown::Both))),
        ("attempts_bad", |link, _| link.put('x', "no such letter")),
        ("attempts_bad", |link, _| link.put('r', "what was that")),
        ("attempts_bad", |link, part| link.put('q', &format!("{part} fine 17 -\nv"))),
        ("attempts_bad", |link, part| link.put('q', &format!("{part} good x -\nv"))),
        ("attempts_bad", |link, part| link.put('q', &format!("{part} good 17 - v"))),
        ("attempts_bad", |link, part| link.put('q', &format!("z{part} good 17 -\nv"))),
        // A length that does not fit, and 3 GB.
        ("attempts_bad", |link, part| link.put_cut('q', &format!("{part} good 17 -\nv"))),
        ("attempts_bad", |link, _| link.stream.write_all(&[0xc0, 0, 0, 0, b'q']).expect("the mixer reads")),
    ];
    for (counter, play) in cases {
        let (a, b) = (Node::new(), Node::new());
        let mixer = with_twins(&a, &b).start();
        let mut client = Client::connect(mixer.address);
        client.send(query("q1", "9000m", &[0]));
        let mut first = first_of(&[&a, &b]);
        let part = first.part();
        play(&mut first, &part);
        let mut second = first_of(&[&a, &b]);
        let part = second.part();
        second.answer(&part, "good", "v");
        assert_eq!(client.response().status, 200);
        let counters = mixer.counters();
        assert_eq!(
            (counters[counter], counters["attempts_good"], counters["attempts_sent"]),
            (1, 1, 2),
            "{counter}"
        );
    }
}

#[test]
fn a_refused_connection_proves_that_the_part_never_ran() {
    let node = Node::new();
    let mixer = Setup::new(&[listed("a", nobody(), 0), listed("b", node.address, 0)]).start();
    let serve = background(move || {
        let mut link = node.accept();
        while let Some((_, rest)) = link.frame() {
            link.answer(rest.split(' ').next().unwrap_or_default(), "good", "v");
        }
    });
    let mut client = Client::connect(mixer.address);
    for i in 0..20 {
        assert_eq!(client.ask(query(&format!("q{i}"), "9000m", &[0])).status, 200);
    }
    let counters = mixer.counters();
    assert_eq!((counters["attempts_sent"], counters["attempts_reset"]), (20, 0));
    assert!(counters["attempts_not_connected"] > 0);
    assert!(counters["connections_failed"] > 0);
    drop(mixer);
    serve();
}

#[test]
fn three_attempts_at_most_and_one_final_answer_at_once() {
    let node = Node::new();
    let mixer = with_nodes(&[&node]).start();
    let mut client = Client::connect(mixer.address);
    client.send(query("q1", "9000m", &[0]));
    let mut link = node.accept();
    for _ in 0..3 {
        let part = link.part();
        link.answer(&part, "bad", "");
    }
    let reply = client.response();
    let wait: f64 = reply.header("Retry-After").and_then(|w| w.parse().ok()).expect("advice");
    assert!(reply.status == 503 && wait > 0.0, "{reply:?}");
    assert_eq!(mixer.counters()["attempts_sent"], 3);
}

#[test]
fn a_client_that_leaves_has_its_parts_given_up() {
    let node = Node::new();
    let mixer = with_nodes(&[&node]).start();
    let mut client = Client::connect(mixer.address);
    client.send(query("q1", "9000m", &[0]));
    let mut link = node.accept();
    assert_eq!(link.part(), "q1.0");
    drop(client);
    assert_eq!(link.frame(), Some(('n', "q1.0".to_owned())));
    mixer.wait_for("clients_gone", 1);
    assert_eq!(mixer.counters()["attempts_cancelled"], 1);
}

#[test]
fn a_connection_carries_no_more_calls_than_allowed() {
    let node = Node::new();
    let setup = Setup { calls_per_connection: 1, ..with_nodes(&[&node]) };
    let mixer = setup.start();
    let mut clients = [Client::connect(mixer.address), Client::connect(mixer.address)];
    for (i, client) in clients.iter_mut().enumerate() {
        client.send(query(&format!("q{i}"), "9000m", &[0]));
    }
    for _ in 0..2 {
        let mut link = node.accept();
        let part = link.part();
        link.answer(&part, "good", "v");
        std::mem::forget(link);
    }
    assert!(clients.iter_mut().all(|c| c.response().status == 200));
}

#[test]
fn an_idle_connection_is_closed_before_the_node_does() {
    let node = Node::new();
    let mixer = Setup { keepalive_ms: 700, ..with_nodes(&[&node]) }.start();
    let mut client = Client::connect(mixer.address);
    client.send(query("q1", "9000m", &[0]));
    let mut link = node.accept();
    let part = link.part();
    link.answer(&part, "good", "v");
    assert_eq!(client.response().status, 200);
    assert_eq!(link.frame(), None, "closed by the mixer");
    assert_eq!(mixer.counters()["connections_closed"], 1);
}

/// A node that reads nothing holds up nobody, and what waits for it is bounded.
#[test]
fn a_stalled_node_does_not_block_the_mixer() {
    let (stalled, node) = (Node::new(), Node::new());
    let mixer = Setup { calls_per_connection: 1000, ..with_nodes(&[&stalled, &node]) }.start();
    let mut waiting = Vec::new();
    for i in 0..150 {
        let text = "x".repeat(60_000);
        let mut client = Client::connect(mixer.address);
        let big = query(&format!("big{i}"), "5000m", &[0]).replace("c41e77d0", &text);
        let length = format!("Content-Length: {}", big.split_once("\r\n\r\n").expect("a body").1.len());
        let old = big.lines().find(|l| l.starts_with("Content-Length")).expect("told").to_owned();
        client.send(big.replace(&old, &length));
        waiting.push(client);
    }
    let mut client = Client::connect(mixer.address);
    client.send(query("small", "9000m", &[1]));
    let mut link = node.accept();
    let part = link.part();
    link.answer(&part, "good", "v");
    assert_eq!(client.response().status, 200);
    mixer.wait_for("connections_closed", 1);
    for mut client in waiting {
        assert_eq!(client.response().status, 503);
    }
}

#[test]
fn a_draining_node_gets_nothing_new() {
    let (a, b) = (Node::new(), Node::new());
    let discovery = Discovery::new();
    let setup = Setup { discovery: discovery.address(), ..with_twins(&a, &b) };
    let mixer = setup.start();
    let mut watch = discovery.accept();
    assert_eq!(watch.request, "GET /v1/servers?watch=1&after=1 HTTP/1.1");
    let draining = Listed { lifecycle: "Terminating", ..listed("a", a.address, 0) };
    watch.tell("");
    watch.tell(&list(2, false, &[draining]));
    mixer.wait_for("lists_taken", 2);
    let serve = background(move || {
        let mut link = b.accept();
        for _ in 0..10 {
            let part = link.part();
            link.answer(&part, "good", "v");
        }
    });
    let mut client = Client::connect(mixer.address);
    for i in 0..10 {
        assert_eq!(client.ask(query(&format!("q{i}"), "9000m", &[0])).status, 200);
    }
    serve();
    assert_eq!(mixer.counters()["attempts_sent"], 10);
}

/// A watch that falls silent, one that ends, and one that starts again with the whole list.
#[test]
fn the_watch_is_asked_for_again_from_where_it_was() {
    let (a, b) = (Node::new(), Node::new());
    let discovery = Discovery::new();
    let mixer = Setup { discovery: discovery.address(), ..with_nodes(&[&a]) }.start();
    let mut first = discovery.accept();
    first.tell(&list(7, false, &[]));
    first.given_up();
    let second = discovery.accept();
    assert!(second.request.contains("after=7"), "{}", second.request);
    drop(second);
    let mut third = discovery.accept();
    // The list is whole: node a is gone, and its place is b's.
    third.tell(&list(3, true, &[listed("b", b.address, 0)]));
    mixer.wait_for("lists_taken", 3);
    let mut client = Client::connect(mixer.address);
    client.send(query("q1", "9000m", &[0]));
    let mut link = b.accept();
    let part = link.part();
    link.answer(&part, "good", "v");
    assert_eq!(client.response().status, 200);
    let counters = mixer.counters();
    assert!(counters["watches_lost"] >= 2);
    // Each watch that was lost had been asked for.
    assert!(counters["list_calls"] >= counters["watches_lost"], "{counters:?}");
}

#[test]
fn terminated_it_still_accepts_answers_and_then_exits() {
    let node = Node::new();
    let mut mixer = with_nodes(&[&node]).start();
    let mut idle = Client::connect(mixer.address);
    assert_eq!(idle.ask("GET /healthz HTTP/1.1\r\n\r\n").status, 200);
    let mut held = Client::connect(mixer.address);
    held.send(query("q1", "9000m", &[0]));
    let mut link = node.accept();
    let first = link.part();
    mixer.signal("-TERM");
    mixer.told("graceful shutdown");
    assert_eq!(idle.ask("GET /healthz HTTP/1.1\r\n\r\n").status, 503, "served as ever for a while");
    let mut late = Client::connect(mixer.address);
    late.send(query("q2", "9000m", &[0]));
    let second = link.part();
    assert_eq!(Client::connect(mixer.address).ask("GET /healthz HTTP/1.1\r\n\r\n").status, 503);
    link.answer(&second, "good", "v");
    let reply = late.response();
    assert_eq!((reply.status, reply.header("Connection")), (200, None));
    idle.closed();
    late.closed();
    link.answer(&first, "good", "v");
    let reply = held.response();
    assert_eq!((reply.status, reply.header("Connection")), (200, Some("close")));
    held.closed();
    assert!(mixer.ended().success());
    mixer.told("sailmux_answers_whole 2");
}

#[test]
fn a_bad_configuration_stops_the_start_and_is_named() {
    use std::io::Read;
    let good = with_nodes(&[]).config();
    let cases = [
        (good.replace("\"maxOpen\":2000", "\"maxOpen\":\"many\""), "settings.limits.maxOpen"),
        (good.replace("\"seed\":\"8c1f30d27a5be964\"", "\"seed\":\"xyz\""), "field seed"),
        (good.replace("127.0.0.1:0", "nowhere"), "field listen"),
        (good.replace("\"aimMs\"", "\"aims\""), "settings.categories[0].aimMs"),
        (good.replace("\"width\":1", "\"width\":9"), "layout"),
        ("{".to_owned(), "JSON"),
    ];
    for (config, named) in cases {
        let mut child = spawn(&config, None);
        let mut words = String::new();
        child.stderr.take().expect("piped").read_to_string(&mut words).expect("text");
        assert!(!child.wait().expect("it ends").success());
        assert!(words.contains("config.json") && words.contains(named), "{named}: {words}");
    }
}

#[test]
fn a_client_that_trickles_is_not_waited_for_by_others() {
    let node = Node::new();
    let mixer = with_nodes(&[&node]).start();
    let mut slow = Client::connect(mixer.address);
    slow.send("POST /api/1 HTTP/1.1\r\n");
    assert_eq!(Client::connect(mixer.address).ask("GET /healthz HTTP/1.1\r\n\r\n").status, 200);
}

/// Discovery moves while a query is held; then the file breaks, and the settings in force stand.
#[test]
fn a_new_configuration_is_taken_while_queries_are_held() {
    let (a, b) = (Node::new(), Node::new());
    let (old, new) = (Discovery::new(), Discovery::new());
    let setup = Setup { discovery: old.address(), ..with_nodes(&[&a]) };
    let mut mixer = setup.start();
    let mut first = old.accept();
    first.tell(&list(7, false, &[]));
    mixer.wait_for("lists_taken", 2);
    let mut held = Client::connect(mixer.address);
    held.send(query("q1", "9000m", &[0]));
    let mut link = a.accept();
    let part = link.part();
    let moved = Setup { discovery: new.address(), ..setup }.config();
    std::fs::write(&mixer.config, &moved).expect("written");
    mixer.signal("-HUP");
    first.given_up();
    let mut second = new.accept();
    assert!(second.request.contains("after=7"), "{}", second.request);
    // It started long ago: a node taken as cold is drawn by chance alone, which may take longer than the test.
    let warm = Listed { started: 1, ..listed("b", b.address, 1) };
    second.tell(&list(8, false, &[warm]));
    mixer.wait_for("lists_taken", 3);
    link.answer(&part, "good", "v");
    assert_eq!(held.response().status, 200);
    for (bad, why) in [
        (moved.replace("\"maxOpen\":2000", "\"maxOpen\":\"many\""), "settings.limits.maxOpen"),
        (moved.replace("\"hardLimitMs\":10000", "\"hardLimitMs\":0"), "class 0"),
        (moved.replace("\"maxAttempts\":3", "\"maxAttempts\":0"), "max_attempts"),
        (moved.replace("\"lateValue\":0,", ""), "settings.categories[].lateValue"),
        (
            moved.replace("\"periodMs\"", "\"tariffs\":{\"probe\":\"dear\"},\"periodMs\""),
            "settings.tariffs.probe",
        ),
    ] {
        std::fs::write(&mixer.config, bad).expect("written");
        mixer.signal("-HUP");
        assert!(mixer.told_anew("config.json: field ").contains(why), "{why}");
    }
    held.send(query("q2", "9000m", &[1]));
    let mut link = b.accept();
    let part = link.part();
    link.answer(&part, "good", "v");
    assert_eq!(held.response().status, 200);
    assert_eq!((mixer.counters()["reloads"], mixer.counters()["reloads_rejected"]), (1, 5));
}

/// A node reads no give-up on a full connection, and may be at work on what was given up until it says more.
#[test]
fn a_give_up_never_waits_behind_a_full_connection() {
    let node = Node::new();
    let mixer = Setup { calls_per_connection: 3, ..with_nodes(&[&node]) }.start();
    let ask = |id: &str| {
        let mut client = Client::connect(mixer.address);
        client.send(query(id, "9000m", &[0]));
        client
    };
    let leaver = ask("q0");
    let mut full = node.accept();
    assert_eq!(full.part(), "q0.0");
    let _stays = ask("q1");
    assert_eq!(full.part(), "q1.0");
    let _second = ask("q2");
    let mut other = node.accept();
    assert_eq!(other.part(), "q2.0", "one place of three stays free");
    drop(leaver);
    assert_eq!(full.frame(), Some(('n', "q0.0".to_owned())));
    mixer.wait_for("attempts_cancelled", 1);
    let _third = ask("q3");
    assert_eq!(other.part(), "q3.0", "the place of what was given up stays taken");
    full.answer("q0.0", "good", "late");
    mixer.wait_for("answers_ignored", 1);
    let _fourth = ask("q4");
    assert_eq!(full.part(), "q4.0", "an answer frees it");
}

/// Noise round a good answer takes nothing from it: not in its report, nor right behind it.
#[test]
fn a_good_answer_counts_whatever_comes_with_it() {
    for (report, behind, read) in [
        ("inflight=7, util = what", "", 1),
        // As nodes name them where the settings' `report.fields` does: unread, all choices would be blind.
        ("served_ps=31.5,busy_reqs=9", "", 1),
        ("cpu_share=0.5", "", 1),
        ("inflight=NaN,queue=-3,util=inf", "", 0),
        ("\u{1} \t=,,", "", 0),
        ("-", "\u{0}\u{0}\u{0}\u{5}qnoise", 0),
        ("-", "\u{7f}noise that names a length", 0),
    ] {
        let (a, b) = (Node::new(), Node::new());
        let mixer = with_twins(&a, &b).start();
        let mut client = Client::connect(mixer.address);
        client.send(query("q1", "9000m", &[0]));
        let mut link = first_of(&[&a, &b]);
        let part = link.part();
        let rest = format!("{part} good 17 {report}\nv");
        let mut bytes = (rest.len() as u32 + 1).to_be_bytes().to_vec();
        bytes.extend(format!("q{rest}{behind}").as_bytes());
        link.stream.write_all(&bytes).expect("the mixer reads");
        assert_eq!(client.response().status, 200, "{report:?} {behind:?}");
        if !behind.is_empty() {
            assert_eq!(link.frame(), None, "of no further use");
        }
        let counters = mixer.counters();
        assert_eq!((counters["attempts_good"], counters["attempts_bad"]), (1, 0), "{report:?} {behind:?}");
        assert_eq!(counters["reports_read"], read, "{report:?}");
    }
}

/// Who says nothing, or never says all of it, is answered or closed soon; the error reaches who sends on.
#[test]
fn bad_clients_are_told_while_they_send() {
    let node = Node::new();
    let mixer = with_nodes(&[&node]).start();
    let begun = std::time::Instant::now();
    let mut silent = Client::connect(mixer.address);
    let mut half = Client::connect(mixer.address);
    half.send("POST /api/1 HTTP/1.1\r\nA: ");
    let mut body = Client::connect(mixer.address);
    body.send("POST /api/1 HTTP/1.1\r\nContent-Length: 9\r\n\r\n{");
    for head in ["Content-Length: 8388608", "Transfer-Encoding: chunked"] {
        let mut huge = Client::connect(mixer.address);
        huge.send(format!("POST /api/1 HTTP/1.1\r\n{head}\r\n\r\n"));
        // All of it is taken off this client's hands, though it is of no use.
        (0..128).for_each(|_| huge.send(format!("10000\r\n{}\r\n", "x".repeat(0x10000))));
        assert_eq!(huge.response().status, 413);
        huge.closed();
    }
    silent.closed();
    assert_eq!((half.response().status, body.response().status), (408, 408));
    assert!(begun.elapsed() < Duration::from_secs(3), "{:?}", begun.elapsed());
}

/// Where places run short, who had an answer goes before who came ahead and has yet to ask: its request would be lost.
#[test]
fn a_crowd_does_not_push_out_who_has_yet_to_ask() {
    let node = Node::new();
    let config = with_nodes(&[&node]).config().replace("\"sockets\":1024", "\"sockets\":64");
    let mixer = Mixer::start(&config, None);
    let ask = |client: &mut Client| assert_eq!(client.ask("GET /metrics HTTP/1.1\r\n\r\n").status, 200);
    let mut ahead = Client::connect(mixer.address);
    let mut crowd: Vec<Client> = Vec::new();
    for i in 0..60 {
        crowd.push(Client::connect(mixer.address));
        ask(&mut crowd[i]);
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(mixer.counters()["clients_shed"] >= 40);
    ask(&mut ahead);
    crowd[0].closed();
    // One that never asks anything holds no one up either.
    crowd.extend((0..40).map(|_| Client::connect(mixer.address)));
    ask(&mut Client::connect(mixer.address));
}

/// Nodes under ever new names replace each other: what is known of the old ones goes.
#[test]
fn nodes_that_left_for_good_are_forgotten() {
    let nodes: Vec<Node> = (0..3).map(|_| Node::new()).collect();
    let discovery = Discovery::new();
    let setup = Setup { discovery: discovery.address(), ..with_nodes(&[&nodes[0]]) };
    let config = setup.config().replace("\"warmAfterMs\":10000", "\"warmAfterMs\":1");
    let mixer = Mixer::start(&config, None);
    let mut watch = discovery.accept();
    for (i, name) in ["b", "c"].into_iter().enumerate() {
        watch.tell(&list(i as u64 + 2, true, &[listed(name, nodes[i + 1].address, 0)]));
        mixer.wait_for("lists_taken", i as u64 + 2);
        std::thread::sleep(Duration::from_millis(50));
        watch.tell(&list(i as u64 + 2, false, &[]));
        mixer.wait_for("nodes_forgotten", i as u64 + 1);
        let mut client = Client::connect(mixer.address);
        client.send(query(name, "9000m", &[0]));
        let mut link = nodes[i + 1].accept();
        let part = link.part();
        link.answer(&part, "good", "v");
        assert_eq!(client.response().status, 200);
    }
}

/// Clients that ask once and keep their connection give their places back, the longest idle first.
#[test]
fn who_asked_once_gives_its_place_back() {
    let config = with_nodes(&[]).config().replace("\"sockets\":1024", "\"sockets\":120");
    let mixer = Mixer::start(&config, None);
    let mut clients: Vec<Client> = (0..22).map(|_| Client::connect(mixer.address)).collect();
    for client in &mut clients {
        assert_eq!(client.ask("GET /metrics HTTP/1.1\r\n\r\n").status, 200);
    }
    let shed = std::time::Instant::now();
    clients[0].closed();
    clients[1].closed();
    assert!(shed.elapsed() < Duration::from_secs(1), "before they would be closed as idle");
    assert_eq!(clients[21].ask("GET /metrics HTTP/1.1\r\n\r\n").status, 200);
}
