//! Fake leaf servers that speak the platform's frame protocol: controlled step by step by a test, unreachable, or answering
//! immediately.

use super::waiting::WAIT_TIMEOUT;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use tokio::net::TcpSocket;

/// The listener of a fake leaf server; the test sends its responses.
pub struct LeafServer {
    pub listener: TcpListener,
    pub address: SocketAddr,
}

/// A connection of the aggregator to a leaf server.
pub struct LeafConnection {
    pub stream: TcpStream,
}

impl LeafServer {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        LeafServer { listener, address }
    }

    pub fn accept(&self) -> LeafConnection {
        accept_first(&[self])
    }

    /// A leaf server whose listen queue is full until [`BackloggedLeafServer::clear`]: connecting to it hangs.
    pub fn backlogged() -> BackloggedLeafServer {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let _guard = runtime.enter();
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
        let listener = socket.listen(0).expect("listens").into_std().expect("open");
        let address = listener.local_addr().expect("bound");
        let mut filler = Vec::new();
        // The queue holds one connection more than the backlog; a connect that does not succeed at once never will.
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
            filler.push(stream);
        }
        BackloggedLeafServer { server: LeafServer { listener, address }, filler }
    }

    /// Accepts a connection if one is pending.
    pub fn try_accept(&self) -> Option<LeafConnection> {
        self.listener.set_nonblocking(true).expect("set");
        let (stream, _) = self.listener.accept().ok()?;
        stream.set_nonblocking(false).expect("set");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
        Some(LeafConnection { stream })
    }
}

/// A leaf server whose listen queue is full.
pub struct BackloggedLeafServer {
    pub server: LeafServer,
    filler: Vec<TcpStream>,
}

impl BackloggedLeafServer {
    /// Empties the queue: pending connects succeed when the kernel next retries them, within a second.
    pub fn clear(&mut self) {
        for _ in self.filler.drain(..) {
            drop(self.server.accept());
        }
    }
}

/// Accepts the next connection to any of these leaf servers.
pub fn accept_first(leaf_servers: &[&LeafServer]) -> LeafConnection {
    let listeners: Vec<&TcpListener> = leaf_servers.iter().map(|server| &server.listener).collect();
    LeafConnection { stream: accept(&listeners) }
}

/// Accepts the next connection to any of these listeners.
pub(super) fn accept(listeners: &[&TcpListener]) -> TcpStream {
    let timeout_at = Instant::now() + WAIT_TIMEOUT;
    for listener in listeners {
        listener.set_nonblocking(true).expect("set");
    }
    loop {
        if let Some((stream, _)) = listeners.iter().find_map(|listener| listener.accept().ok()) {
            stream.set_nonblocking(false).expect("set");
            stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
            return stream;
        }
        assert!(Instant::now() < timeout_at, "the aggregator did not connect before the timeout");
        thread::sleep(Duration::from_millis(1));
    }
}

impl LeafConnection {
    /// Reads the next frame as its letter and the rest; `None` at the end of the connection.
    pub fn next_frame(&mut self) -> Option<(char, String)> {
        let mut length = [0; 4];
        self.stream.read_exact(&mut length).ok()?;
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        self.stream.read_exact(&mut frame).ok()?;
        let rest = String::from_utf8(frame.split_off(1)).expect("valid UTF-8");
        Some((char::from(frame[0]), rest))
    }

    /// Whether data is available to read.
    pub fn has_frame(&self) -> bool {
        self.stream.set_nonblocking(true).expect("set");
        let readable = matches!(self.stream.peek(&mut [0]), Ok(1));
        self.stream.set_nonblocking(false).expect("set");
        readable
    }

    /// Sends a frame without its last byte.
    pub fn send_truncated_frame(&mut self, letter: char, rest: &str) {
        let mut frame = (rest.len() as u32 + 2).to_be_bytes().to_vec();
        frame.push(letter as u8);
        frame.extend(rest.as_bytes());
        self.stream.write_all(&frame).expect("the aggregator reads");
    }

    /// Reads the next frame, which must be a part, and returns the part's id.
    pub fn next_part(&mut self) -> String {
        let (letter, rest) = self.next_frame().expect("a frame");
        assert_eq!(letter, 'm', "{rest}");
        rest.split(' ').next().expect("an id").to_owned()
    }

    /// Sends a frame.
    pub fn send_frame(&mut self, letter: char, rest: &str) {
        self.try_send_frame(letter, rest).expect("the aggregator reads");
    }

    /// Sends a frame on a connection that may be closed.
    pub fn try_send_frame(&mut self, letter: char, rest: &str) -> io::Result<()> {
        let mut frame = (rest.len() as u32 + 1).to_be_bytes().to_vec();
        frame.push(letter as u8);
        frame.extend(rest.as_bytes());
        self.stream.write_all(&frame)
    }

    /// Answers a part; `outcome` is `good`, `bad` for an error, or `later` for a rejection.
    pub fn answer(&mut self, part: &str, outcome: &str, value: &str) {
        self.send_frame('q', &format!("{part} {outcome} 17 -\n{value}"));
    }
}

/// A leaf server that answers every part immediately and counts them.
pub struct AnsweringLeafServer {
    pub address: SocketAddr,
    parts: Arc<AtomicU64>,
}

impl AnsweringLeafServer {
    pub fn new() -> Self {
        let server = LeafServer::new();
        let address = server.address;
        let parts = Arc::new(AtomicU64::new(0));
        let counter = parts.clone();
        thread::spawn(move || {
            for stream in server.listener.incoming().map_while(Result::ok) {
                let counter = counter.clone();
                let mut connection = LeafConnection { stream };
                thread::spawn(move || {
                    while let Some((letter, rest)) = connection.next_frame() {
                        match letter {
                            'm' => {
                                counter.fetch_add(1, Ordering::SeqCst);
                                connection.answer(rest.split(' ').next().expect("an id"), "good", "v");
                            }
                            'p' => connection.send_frame('p', "-"),
                            _ => {}
                        }
                    }
                });
            }
        });
        AnsweringLeafServer { address, parts }
    }

    pub fn count(&self) -> u64 {
        self.parts.load(Ordering::SeqCst)
    }
}
