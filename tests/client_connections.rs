//! Tests of the HTTP server for clients, on real sockets: requests, their limits, and limits on connections.

mod common;

use common::leaf_setups::*;
use common::process::*;
use std::time::Duration;

#[test]
fn complete_answer_contains_the_values_unchanged() {
    let leaves = [LeafServer::new(), LeafServer::new()];
    let aggregator = with_leaves(&[&leaves[0], &leaves[1]]).start();
    let mut client = Client::connect(aggregator.address);
    client.send(query("q1", "9000m", &[0, 1]));
    let values = ["5be2a07c19f04d63", "a\"b\\c\u{e9}\u{1}"];
    for (leaf, (i, value)) in leaves.iter().zip(values.iter().enumerate()) {
        let mut connection = leaf.accept();
        let (letter, rest) = connection.next_frame().expect("a call");
        let (line, text) = rest.split_once('\n').expect("a line");
        let fields: Vec<&str> = line.split(' ').collect();
        assert_eq!((letter, fields[0], fields[1]), ('m', format!("q1.{i}").as_str(), i.to_string().as_str()));
        let timeout: u32 =
            fields[2].strip_prefix("d=").and_then(|millis| millis.parse().ok()).expect("a timeout");
        assert!((1..=9000).contains(&timeout) && fields[3] == "8" && text == "c41e77d0", "{rest}");
        connection.answer(fields[0], "good", value);
        std::mem::forget(connection);
    }
    let reply = client.response();
    let body = r#"{"total":true,"answers":[{"range":0,"blob":"5be2a07c19f04d63"},{"range":1,"blob":"a\"b\\cé\u0001"}]}"#;
    assert_eq!((reply.status, reply.body.as_str()), (200, body));
    assert_eq!(client.request("GET /healthz HTTP/1.1\r\n\r\n").status, 200, "the connection stays open");
}

/// A client's idempotency key is sent with every attempt of every part. A key with characters that delimit fields of a
/// frame is rejected.
#[test]
fn idempotency_key_is_sent_with_every_attempt() {
    let (a, b) = (LeafServer::new(), LeafServer::new());
    let aggregator = with_two_replicas(&a, &b).start();
    let keyed = |id: &str, key: &str| {
        query(id, "9000m", &[0]).replace("Req-Owner", &format!("Idempotency-Key: {key}\r\nReq-Owner"))
    };
    let mut client = Client::connect(aggregator.address);
    client.send(keyed("q1", "9e38e3142cc1013f72f4750c5a12be11"));
    for outcome in ["bad", "good"] {
        let mut connection = accept_first(&[&a, &b]);
        let (letter, rest) = connection.next_frame().expect("a call");
        let options = rest.split(' ').nth(2).expect("a list of options");
        assert!(
            letter == 'm'
                && options.starts_with("d=")
                && options.ends_with(",k=9e38e3142cc1013f72f4750c5a12be11")
        );
        connection.answer("q1.0", outcome, "v");
        std::mem::forget(connection);
    }
    assert_eq!(client.response().status, 200);
    for invalid in ["a b", "a,d=1", "a=b", "\u{e9}"] {
        assert_eq!(
            Client::connect(aggregator.address).request(keyed("q2", invalid)).status,
            400,
            "{invalid:?}"
        );
    }
}

#[test]
fn chunked_request_body_is_accepted() {
    let leaf = LeafServer::new();
    let aggregator = with_leaves(&[&leaf]).start();
    let request = query("q1", "9000000u", &[0]);
    let (head, body) = request.split_once("\r\n\r\n").expect("a body");
    let head = head.replace(&format!("Content-Length: {}", body.len()), "Transfer-Encoding: chunked");
    let (first_chunk, second_chunk) = body.split_at(9);
    let mut client = Client::connect(aggregator.address);
    client.send(format!("{head}\r\n\r\n9\r\n{first_chunk}\r\n"));
    client.send(format!("{:x}\r\n{second_chunk}\r\n0\r\n\r\n", second_chunk.len()));
    let mut connection = leaf.accept();
    let part = connection.next_part();
    connection.answer(&part, "good", "v");
    assert_eq!(client.response().status, 200);
}

#[test]
fn malformed_requests_get_a_4xx_and_are_counted() {
    let leaf = LeafServer::new();
    let aggregator = with_leaves(&[&leaf]).start();
    let valid = query("q1", "900m", &[0]);
    let long = "x".repeat(70_000);
    let cases = [
        ("\0\u{1}\r\n\r\n".to_owned(), 400),
        (format!("GET / HTTP/1.1\r\nA: {long}\r\n\r\n"), 431),
        ("GET /nowhere HTTP/1.1\r\n\r\n".to_owned(), 404),
        ("GET /api/1 HTTP/1.1\r\n\r\n".to_owned(), 405),
        ("POST /api/1 HTTP/1.1\r\nContent-Length: 70000\r\n\r\n".to_owned(), 413),
        ("POST /api/1 HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned(), 400),
        (valid.replace("\r\n\r\n", "\r\nContent-Length: 1\r\n\r\n"), 400),
        ("POST /api/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n".to_owned(), 400),
        (valid.replace("Req-Deadline: 900m", "Req-Deadline: soon"), 400),
        (valid.replace("Req-Id: q1", "Req-Id: q 1"), 400),
        (valid.replace("Req-Kind: c", "Req-Kind: d"), 400),
        (valid.replace("{\"ranges\"", "[\"ranges\""), 400),
        (query("q1", "900m", &[]), 400),
        (query("q1", "900m", &[0, 0]), 400),
        (query("q1", "900m", &[7]), 400),
        (valid.replace("\"range\":0", "\"range\":-1"), 400),
        (valid.replace("\"portion\":1", "\"portion\":-1"), 400),
        (valid.replace("\"portion\":1", "\"portion\":2"), 400),
        (
            query("q1", "900m", &[0, 1])
                .replace("\"range\":1,\"portion\":0.5", "\"range\":1,\"portion\":0.2"),
            400,
        ),
        (query("q1", "900m", &[0, 1]).replace("0.5}", "0.0}").replacen("0.0}", "1.0}", 1), 400),
        (valid.replace("Content-Length: ", "Content-Length: -"), 400),
        (valid.replace("Req-Id: q1", "Req-Id: q1\r\nReq-Id: q2"), 400),
        (valid.replace("Req-Id: q1\r\n", ""), 400),
        (valid.replace("Req-Deadline: 900m", "Req-Deadline: NaNm"), 400),
        (
            "POST /api/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"
                .to_owned(),
            400,
        ),
    ];
    for (request, status) in &cases {
        let reply = Client::connect(aggregator.address).request(request);
        assert_eq!(reply.status, *status, "{request:.200}");
    }
    let counters = aggregator.counters();
    assert_eq!((counters["queries_malformed"], counters["queries_taken"]), (cases.len() as u64, 0));
}

#[test]
fn slow_client_does_not_delay_others() {
    let leaf = LeafServer::new();
    let aggregator = with_leaves(&[&leaf]).start();
    let mut slow = Client::connect(aggregator.address);
    slow.send("POST /api/1 HTTP/1.1\r\n");
    assert_eq!(Client::connect(aggregator.address).request("GET /healthz HTTP/1.1\r\n\r\n").status, 200);
}

/// A client that sends nothing or an incomplete request is closed or answered within the timeouts. A client that is still
/// sending an oversized request receives its error.
#[test]
fn incomplete_and_oversized_requests_are_rejected_in_time() {
    let leaf = LeafServer::new();
    let aggregator = with_leaves(&[&leaf]).start();
    let started = std::time::Instant::now();
    let mut client_without_request = Client::connect(aggregator.address);
    let mut incomplete_head = Client::connect(aggregator.address);
    incomplete_head.send("POST /api/1 HTTP/1.1\r\nA: ");
    let mut incomplete_body = Client::connect(aggregator.address);
    incomplete_body.send("POST /api/1 HTTP/1.1\r\nContent-Length: 9\r\n\r\n{");
    for head in ["Content-Length: 8388608", "Transfer-Encoding: chunked"] {
        let mut huge = Client::connect(aggregator.address);
        huge.send(format!("POST /api/1 HTTP/1.1\r\n{head}\r\n\r\n"));
        // The aggregator reads and discards the complete body, so that the client receives the response.
        (0..128).for_each(|_| huge.send(format!("10000\r\n{}\r\n", "x".repeat(0x10000))));
        assert_eq!(huge.response().status, 413);
        huge.wait_until_closed();
    }
    client_without_request.wait_until_closed();
    assert_eq!((incomplete_head.response().status, incomplete_body.response().status), (408, 408));
    assert!(started.elapsed() < Duration::from_secs(3), "{:?}", started.elapsed());
}

/// When capacity runs short, idle clients that have been answered are closed before a client that has just connected,
/// whose first request would be lost.
#[test]
fn new_client_is_not_closed_to_free_capacity() {
    let leaf = LeafServer::new();
    let config = with_leaves(&[&leaf]).config().replace("\"sockets\":1024", "\"sockets\":64");
    let aggregator = Aggregator::start(&config, None);
    let request_metrics =
        |client: &mut Client| assert_eq!(client.request("GET /metrics HTTP/1.1\r\n\r\n").status, 200);
    let mut new_client = Client::connect(aggregator.address);
    let mut others: Vec<Client> = Vec::new();
    for i in 0..60 {
        others.push(Client::connect(aggregator.address));
        request_metrics(&mut others[i]);
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(aggregator.counters()["clients_shed"] >= 40);
    request_metrics(&mut new_client);
    others[0].wait_until_closed();
    // Clients that never send a request do not delay others either.
    others.extend((0..40).map(|_| Client::connect(aggregator.address)));
    request_metrics(&mut Client::connect(aggregator.address));
}

/// Clients that send a single request and keep their connection are closed, the longest idle first.
#[test]
fn longest_idle_client_is_closed_when_capacity_runs_short() {
    let config = with_leaves(&[]).config().replace("\"sockets\":1024", "\"sockets\":120");
    let aggregator = Aggregator::start(&config, None);
    let mut clients: Vec<Client> = (0..22).map(|_| Client::connect(aggregator.address)).collect();
    for client in &mut clients {
        assert_eq!(client.request("GET /metrics HTTP/1.1\r\n\r\n").status, 200);
    }
    let limit_exceeded_at = std::time::Instant::now();
    clients[0].wait_until_closed();
    clients[1].wait_until_closed();
    assert!(limit_exceeded_at.elapsed() < Duration::from_secs(1), "closed before the idle timeout");
    assert_eq!(clients[21].request("GET /metrics HTTP/1.1\r\n\r\n").status, 200);
}
