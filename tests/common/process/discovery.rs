//! A stand-in discovery service whose watches a test plays.

use super::leaf_server::accept;
use super::waiting::PATIENCE;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};

/// Discovery's listener; the test plays the service.
pub struct Discovery {
    pub listener: TcpListener,
}

/// An open watch of the aggregator.
pub struct Watch {
    stream: BufReader<TcpStream>,
    /// The request's first line.
    pub request: String,
}

impl Discovery {
    pub fn new() -> Self {
        Discovery { listener: TcpListener::bind("127.0.0.1:0").expect("a port") }
    }

    pub fn address(&self) -> String {
        self.listener.local_addr().expect("bound").to_string()
    }

    /// The next connection, of which nothing has been read.
    pub fn accept_raw(&self) -> TcpStream {
        accept(&[&self.listener])
    }

    /// The next watch, its request read and its response begun.
    pub fn accept(&self) -> Watch {
        let mut stream = BufReader::new(self.accept_raw());
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            stream.read_line(&mut head).expect("a request");
        }
        let head_of_answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.get_mut().write_all(head_of_answer.as_bytes()).expect("the aggregator reads");
        Watch { stream, request: head.lines().next().unwrap_or_default().to_owned() }
    }
}

impl Watch {
    /// Sends a line of the watch.
    pub fn send_event(&mut self, line: &str) {
        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        self.stream.get_mut().write_all(chunk.as_bytes()).expect("the aggregator reads");
    }

    /// Waits until the aggregator closes the watch.
    pub fn wait_until_closed(&mut self) {
        self.stream.get_mut().set_read_timeout(Some(PATIENCE)).expect("set");
        assert_eq!(self.stream.read(&mut [0; 16]).unwrap_or(0), 0);
    }
}
