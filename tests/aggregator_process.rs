//! Tests of the aggregator process: endpoint lists from discovery, configuration, reload and shutdown.

mod common;

use common::leaf_setups::*;
use common::process::*;
use std::time::Duration;

#[test]
fn draining_leaf_gets_no_new_parts() {
    let (a, b) = (LeafServer::new(), LeafServer::new());
    let discovery = Discovery::new();
    let setup = Setup { discovery: discovery.address(), ..with_two_replicas(&a, &b) };
    let aggregator = setup.start();
    let mut watch = discovery.accept();
    assert_eq!(watch.request, "GET /v1/servers?watch=1&after=1 HTTP/1.1");
    let draining = ListedEndpoint { lifecycle: "Terminating", ..listed_endpoint("a", a.address, 0) };
    watch.send_event("");
    watch.send_event(&list(2, false, &[draining]));
    aggregator.wait_for_counter("lists_taken", 2);
    let serve = background(move || {
        let mut connection = b.accept();
        for _ in 0..10 {
            let part = connection.next_part();
            connection.answer(&part, "good", "v");
        }
    });
    let mut client = Client::connect(aggregator.address);
    for i in 0..10 {
        assert_eq!(client.request(query(&format!("q{i}"), "9000m", &[0])).status, 200);
    }
    serve();
    assert_eq!(aggregator.counters()["attempts_sent"], 10);
}

/// One watch sends nothing more, the next one is closed by discovery, and the third begins with a complete list.
#[test]
fn discovery_watch_resumes_from_the_last_generation() {
    let (a, b) = (LeafServer::new(), LeafServer::new());
    let discovery = Discovery::new();
    let aggregator = Setup { discovery: discovery.address(), ..with_leaves(&[&a]) }.start();
    let mut first = discovery.accept();
    first.send_event(&list(7, false, &[]));
    first.wait_until_closed();
    let second = discovery.accept();
    assert!(second.request.contains("after=7"), "{}", second.request);
    drop(second);
    let mut third = discovery.accept();
    // The list is complete, so leaf server a is removed; b holds its shard.
    third.send_event(&list(3, true, &[listed_endpoint("b", b.address, 0)]));
    aggregator.wait_for_counter("lists_taken", 3);
    let mut client = Client::connect(aggregator.address);
    client.send(query("q1", "9000m", &[0]));
    let mut connection = b.accept();
    let part = connection.next_part();
    connection.answer(&part, "good", "v");
    assert_eq!(client.response().status, 200);
    let counters = aggregator.counters();
    assert!(counters["watches_lost"] >= 2);
    // Each lost watch counts as a poll.
    assert!(counters["list_calls"] >= counters["watches_lost"], "{counters:?}");
}

/// Leaf servers with new names replace each other; the records of the old ones are dropped.
#[test]
fn records_of_removed_leaf_servers_are_dropped() {
    let leaves: Vec<LeafServer> = (0..3).map(|_| LeafServer::new()).collect();
    let discovery = Discovery::new();
    let setup = Setup { discovery: discovery.address(), ..with_leaves(&[&leaves[0]]) };
    let config = setup.config().replace("\"warmAfterMs\":10000", "\"warmAfterMs\":1");
    let aggregator = Aggregator::start(&config, None);
    let mut watch = discovery.accept();
    for (i, name) in ["b", "c"].into_iter().enumerate() {
        watch.send_event(&list(i as u64 + 2, true, &[listed_endpoint(name, leaves[i + 1].address, 0)]));
        aggregator.wait_for_counter("lists_taken", i as u64 + 2);
        std::thread::sleep(Duration::from_millis(50));
        watch.send_event(&list(i as u64 + 2, false, &[]));
        aggregator.wait_for_counter("nodes_forgotten", i as u64 + 1);
        let mut client = Client::connect(aggregator.address);
        client.send(query(name, "9000m", &[0]));
        let mut connection = leaves[i + 1].accept();
        let part = connection.next_part();
        connection.answer(&part, "good", "v");
        assert_eq!(client.response().status, 200);
    }
}

#[test]
fn sigterm_answers_queries_in_flight_and_exits() {
    let leaf = LeafServer::new();
    let mut aggregator = with_leaves(&[&leaf]).start();
    let mut idle_client = Client::connect(aggregator.address);
    assert_eq!(idle_client.request("GET /healthz HTTP/1.1\r\n\r\n").status, 200);
    let mut in_flight = Client::connect(aggregator.address);
    in_flight.send(query("q1", "9000m", &[0]));
    let mut connection = leaf.accept();
    let first = connection.next_part();
    aggregator.signal("-TERM");
    aggregator.wait_for_log("graceful shutdown");
    assert_eq!(
        idle_client.request("GET /healthz HTTP/1.1\r\n\r\n").status,
        503,
        "clients are still served during the grace period"
    );
    let mut late_client = Client::connect(aggregator.address);
    late_client.send(query("q2", "9000m", &[0]));
    let second = connection.next_part();
    assert_eq!(Client::connect(aggregator.address).request("GET /healthz HTTP/1.1\r\n\r\n").status, 503);
    connection.answer(&second, "good", "v");
    let reply = late_client.response();
    assert_eq!((reply.status, reply.header("Connection")), (200, None));
    idle_client.wait_until_closed();
    late_client.wait_until_closed();
    connection.answer(&first, "good", "v");
    let reply = in_flight.response();
    assert_eq!((reply.status, reply.header("Connection")), (200, Some("close")));
    in_flight.wait_until_closed();
    assert!(aggregator.wait_for_exit().success());
    aggregator.wait_for_log("sailmux_answers_whole 2");
}

#[test]
fn invalid_configuration_fails_the_start_and_names_the_field() {
    use std::io::Read;
    let valid_config = with_leaves(&[]).config();
    let cases = [
        (valid_config.replace("\"maxOpen\":2000", "\"maxOpen\":\"many\""), "settings.limits.maxOpen"),
        (valid_config.replace("\"seed\":\"8c1f30d27a5be964\"", "\"seed\":\"xyz\""), "field seed"),
        (valid_config.replace("127.0.0.1:0", "nowhere"), "field listen"),
        (valid_config.replace("\"aimMs\"", "\"aims\""), "settings.categories[0].aimMs"),
        (valid_config.replace("\"width\":1", "\"width\":9"), "layout"),
        ("{".to_owned(), "JSON"),
    ];
    for (config, field) in cases {
        let mut child = spawn(&config, None);
        let mut errors = String::new();
        child.stderr.take().expect("stderr is piped").read_to_string(&mut errors).expect("stderr is UTF-8");
        assert!(!child.wait().expect("the process exits").success());
        assert!(errors.contains("config.json") && errors.contains(field), "{field}: {errors}");
    }
}

/// A reload moves discovery to another address while a query is in flight. Later reloads with an invalid file leave the
/// settings in force unchanged.
#[test]
fn sighup_reloads_the_configuration_while_queries_are_in_flight() {
    let (a, b) = (LeafServer::new(), LeafServer::new());
    let (old, new) = (Discovery::new(), Discovery::new());
    let setup = Setup { discovery: old.address(), ..with_leaves(&[&a]) };
    let mut aggregator = setup.start();
    let mut first = old.accept();
    first.send_event(&list(7, false, &[]));
    aggregator.wait_for_counter("lists_taken", 2);
    let mut in_flight = Client::connect(aggregator.address);
    in_flight.send(query("q1", "9000m", &[0]));
    let mut connection = a.accept();
    let part = connection.next_part();
    let moved = Setup { discovery: new.address(), ..setup }.config();
    std::fs::write(&aggregator.config, &moved).expect("the configuration can be written");
    aggregator.signal("-HUP");
    first.wait_until_closed();
    let mut second = new.accept();
    assert!(second.request.contains("after=7"), "{}", second.request);
    // Started long ago: a leaf server that is warming up is drawn only occasionally, which may take longer than the test.
    let warm = ListedEndpoint { started: 1, ..listed_endpoint("b", b.address, 1) };
    second.send_event(&list(8, false, &[warm]));
    aggregator.wait_for_counter("lists_taken", 3);
    connection.answer(&part, "good", "v");
    assert_eq!(in_flight.response().status, 200);
    for (invalid, expected) in [
        (moved.replace("\"maxOpen\":2000", "\"maxOpen\":\"many\""), "settings.limits.maxOpen"),
        (moved.replace("\"hardLimitMs\":10000", "\"hardLimitMs\":0"), "class 0"),
        (moved.replace("\"maxAttempts\":3", "\"maxAttempts\":0"), "max_attempts"),
        (moved.replace("\"lateValue\":0,", ""), "settings.categories[].lateValue"),
        (
            moved.replace("\"periodMs\"", "\"tariffs\":{\"probe\":\"dear\"},\"periodMs\""),
            "settings.tariffs.probe",
        ),
    ] {
        std::fs::write(&aggregator.config, invalid).expect("the configuration can be written");
        aggregator.signal("-HUP");
        assert!(aggregator.wait_for_new_log("config.json: field ").contains(expected), "{expected}");
    }
    in_flight.send(query("q2", "9000m", &[1]));
    let mut connection = b.accept();
    let part = connection.next_part();
    connection.answer(&part, "good", "v");
    assert_eq!(in_flight.response().status, 200);
    assert_eq!((aggregator.counters()["reloads"], aggregator.counters()["reloads_rejected"]), (1, 5));
}
