//! A fake discovery service whose watches the test controls.

use super::leaf_server::accept;
use super::waiting::WAIT_TIMEOUT;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};

/// The listener of a fake discovery service; the test sends its responses.
pub struct Discovery {
    pub listener: TcpListener,
}

/// An open watch of the aggregator.
pub struct Watch {
    stream: BufReader<TcpStream>,
    /// The first line of the request.
    pub request: String,
}

impl Discovery {
    pub fn new() -> Self {
        Discovery { listener: TcpListener::bind("127.0.0.1:0").expect("a port") }
    }

    pub fn address(&self) -> String {
        self.listener.local_addr().expect("bound").to_string()
    }

    /// Accepts the next connection without reading from it.
    pub fn accept_raw(&self) -> TcpStream {
        accept(&[&self.listener])
    }

    /// Accepts the next watch, reads its request and sends the response headers.
    pub fn accept(&self) -> Watch {
        let mut stream = BufReader::new(self.accept_raw());
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            stream.read_line(&mut head).expect("a request");
        }
        let response_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.get_mut().write_all(response_head.as_bytes()).expect("the aggregator reads");
        Watch { stream, request: head.lines().next().unwrap_or_default().to_owned() }
    }
}

impl Watch {
    /// Sends a line as one chunk of the watch's response.
    pub fn send_event(&mut self, line: &str) {
        assert!(self.try_send_event(line), "the aggregator reads");
    }

    /// Sends a line on a watch that may be closed; returns whether it is still open.
    pub fn try_send_event(&mut self, line: &str) -> bool {
        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        self.stream.get_mut().write_all(chunk.as_bytes()).is_ok()
    }

    /// Waits until the aggregator closes the watch.
    pub fn wait_until_closed(&mut self) {
        self.stream.get_mut().set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
        assert_eq!(self.stream.read(&mut [0; 16]).unwrap_or(0), 0);
    }
}
