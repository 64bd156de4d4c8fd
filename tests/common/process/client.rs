//! Clients of the HTTP API: a single connection, or a steady load.

use super::waiting::{WAIT_TIMEOUT, wait_until};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// A response of the aggregator.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        let name = format!("{name}: ");
        self.head.lines().find_map(|line| line.strip_prefix(name.as_str()))
    }
}

/// A client's connection.
pub struct Client {
    stream: BufReader<TcpStream>,
}

/// A query as clients send it; the deadline is a duration in milliseconds such as `9000m`.
pub fn query(id: &str, deadline: &str, shards: &[u32]) -> String {
    let range = |shard: &u32| format!(r#"{{"range":{shard},"portion":{}}}"#, 1.0 / shards.len() as f64);
    let ranges: Vec<String> = shards.iter().map(range).collect();
    let body = format!(r#"{{"ranges":[{}],"predicate":"c41e77d0"}}"#, ranges.join(","));
    format!(
        "POST /api/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: api.internal\r\nReq-Id: {id}\r\nReq-Kind: c\r\n\
         Req-Owner: acme\r\nReq-Deadline: {deadline}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A query with a payload of its own.
pub fn query_with_payload(id: &str, deadline: &str, shards: &[u32], payload: &str) -> String {
    let request = query(id, deadline, shards);
    let (head, body) = request.split_once("\r\n\r\n").expect("a body");
    let body_with_payload = body.replace("c41e77d0", payload);
    let length = |body: &str| format!("Content-Length: {}", body.len());
    let head = head.replace(&length(body), &length(&body_with_payload));
    format!("{head}\r\n\r\n{body_with_payload}")
}

impl Client {
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("the aggregator accepts");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
        Client { stream: BufReader::new(stream) }
    }

    pub fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.get_mut().write_all(bytes.as_ref()).expect("the aggregator reads");
    }

    /// A second handle to the same connection.
    pub fn try_clone(&self) -> Self {
        Client { stream: BufReader::new(self.stream.get_ref().try_clone().expect("cloned")) }
    }

    /// Sends until all is sent, or until nothing more has been accepted for a while.
    pub fn send_as_much_as_possible(&mut self, bytes: &[u8]) {
        let stream = self.stream.get_mut();
        stream.set_write_timeout(Some(Duration::from_millis(300))).expect("set");
        let _ = stream.write_all(bytes);
    }

    pub fn request(&mut self, bytes: impl AsRef<[u8]>) -> Response {
        self.send(bytes);
        self.response()
    }

    /// Returns the response, or `None` if the connection ends before its first byte.
    pub fn try_request(&mut self, bytes: impl AsRef<[u8]>) -> Option<Response> {
        self.stream.get_mut().write_all(bytes.as_ref()).ok()?;
        let ended = self.stream.fill_buf().ok()?.is_empty();
        (!ended).then(|| self.response())
    }

    pub fn response(&mut self) -> Response {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            assert_ne!(
                self.stream.read_line(&mut head).expect("a response before the timeout"),
                0,
                "connection closed after {head:?}"
            );
        }
        let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
        let mut response = Response { status, head, body: String::new() };
        let length = response
            .header("Content-Length")
            .or(response.header("content-length"))
            .and_then(|length| length.parse().ok())
            .unwrap_or(0);
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body).expect("the complete body");
        response.body = String::from_utf8(body).expect("valid UTF-8");
        response
    }

    /// Closes the connection and waits until the kernel has closed the aggregator's side too, whether or not the aggregator
    /// has read the end of the stream.
    pub fn disconnect(self) {
        let ports = |stream: &TcpStream| {
            (stream.peer_addr().expect("open").port(), stream.local_addr().expect("open").port())
        };
        let (remote, local) = ports(self.stream.get_ref());
        drop(self);
        // `sl local remote state ...`, all in hex; state 01 is ESTABLISHED: neither side has closed the connection.
        let open = |line: &str| {
            let port =
                |i: usize| u16::from_str_radix(line.split_whitespace().nth(i)?.rsplit(':').next()?, 16).ok();
            let open = line.split_whitespace().nth(3) == Some("01");
            Some(port(1)? == remote && port(2)? == local && open)
        };
        wait_until("the kernel has registered a client's disconnect", || {
            let table = std::fs::read_to_string("/proc/net/tcp").expect("readable");
            !table.lines().any(|line| open(line) == Some(true))
        });
    }

    /// The connection itself. All responses must have been read.
    pub fn into_stream(self) -> TcpStream {
        self.stream.into_inner()
    }

    /// Waits until the aggregator closes the connection.
    pub fn wait_until_closed(&mut self) {
        let mut rest = Vec::new();
        let end = self.stream.read_to_end(&mut rest);
        assert!(
            rest.is_empty(),
            "received {:?} before the connection closed",
            String::from_utf8_lossy(&rest)
        );
        assert!(end.is_ok() || end.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset));
    }
}

/// Starts clients that open a connection for each query and clients that reuse theirs, until `running` is false; each
/// returns the number of its queries and of those that were not answered with 200.
pub fn load(
    address: SocketAddr,
    running: &Arc<AtomicBool>,
    clients: usize,
) -> Vec<thread::JoinHandle<(u64, u64)>> {
    let client = |number: usize| {
        let running = running.clone();
        thread::spawn(move || {
            let mut sent = 0;
            let mut failed = 0;
            let mut open_connection = None;
            while running.load(Ordering::SeqCst) {
                sent += 1;
                let reuses_connection = number.is_multiple_of(2);
                let mut client = open_connection.take().unwrap_or_else(|| Client::connect(address));
                match client.try_request(query(&format!("c{number}-{sent}"), "5000m", &[0])) {
                    Some(reply) => {
                        failed += u64::from(reply.status != 200);
                        let closes = reply.header("Connection") == Some("close");
                        open_connection = (reuses_connection && !closes).then_some(client);
                    }
                    // A request may cross the close of an idle connection: it is retried once on a new one.
                    None if reuses_connection => {
                        let reply = Client::connect(address).try_request(query(
                            &format!("d{number}-{sent}"),
                            "5000m",
                            &[0],
                        ));
                        failed += u64::from(reply.is_none_or(|reply| reply.status != 200));
                    }
                    None => failed += 1,
                }
            }
            (sent, failed)
        })
    };
    (0..clients).map(client).collect()
}
