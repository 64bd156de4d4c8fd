//! Fake discovery service: a watch for each aggregator, with pushed lists and keep-alive lines; it can stop responding.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Default)]
struct State {
    /// The complete list, sent first on each watch.
    list: String,
    watches: Vec<TcpStream>,
    unresponsive_until: Option<Instant>,
}

impl State {
    fn is_unresponsive(&self) -> bool {
        self.unresponsive_until.is_some_and(|until| Instant::now() < until)
    }

    /// Sends a line on all watches and removes those that have ended.
    fn send(&mut self, line: &str) {
        self.watches.retain_mut(|watch| write_line(watch, line));
    }
}

/// A fake discovery service.
#[derive(Clone)]
pub struct SoakDiscovery {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

fn write_line(watch: &mut TcpStream, line: &str) -> bool {
    write!(watch, "{:x}\r\n{line}\n\r\n", line.len() + 1).is_ok()
}

impl SoakDiscovery {
    pub fn start(list: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let state = Arc::new(Mutex::new(State { list, ..State::default() }));
        let discovery = SoakDiscovery { address, state };
        let acceptor = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let acceptor = acceptor.clone();
                thread::spawn(move || acceptor.open_watch(stream));
            }
        });
        let keep_alive = discovery.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(KEEP_ALIVE_INTERVAL);
                let mut state = keep_alive.state.lock().expect("lock not poisoned");
                if !state.is_unresponsive() {
                    state.send("");
                }
            }
        });
        discovery
    }

    fn open_watch(&self, mut stream: TcpStream) {
        let mut request = Vec::new();
        let mut byte = [0];
        while !request.ends_with(b"\r\n\r\n") {
            if stream.read(&mut byte).unwrap_or(0) == 0 {
                return;
            }
            request.push(byte[0]);
        }
        let mut state = self.state.lock().expect("lock not poisoned");
        if state.is_unresponsive() {
            // The connection stays open, without a response.
            state.watches.push(stream);
            return;
        }
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let list = state.list.clone();
        if stream.write_all(head.as_bytes()).is_ok() && write_line(&mut stream, &list) {
            state.watches.push(stream);
        }
    }

    /// Sends nothing for `length`, on open and on new watches, and then closes all watches.
    pub fn stop_responding(&self, length: Duration) {
        let mut state = self.state.lock().expect("lock not poisoned");
        state.unresponsive_until = Some(Instant::now() + length);
        let state = self.state.clone();
        thread::spawn(move || {
            thread::sleep(length);
            state.lock().expect("lock not poisoned").watches.clear();
        });
    }

    /// Publishes a new list and returns the time by which all watching aggregators should have received it.
    pub fn publish(&self, list: String) -> Instant {
        const MAX_RECONNECT_TIME: Duration = Duration::from_secs(6);
        let mut state = self.state.lock().expect("lock not poisoned");
        state.list.clone_from(&list);
        let now = Instant::now();
        if let Some(until) = state.unresponsive_until.filter(|until| now < *until) {
            return until + MAX_RECONNECT_TIME;
        }
        state.send(&list);
        // A process that has just lost its watch, or is starting, receives the list with its next call.
        now + Duration::from_millis(600)
    }
}
