//! Discovery: a watch for each aggregator, with pushed lists and lines that say that nothing changed; it can fall silent.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Default)]
struct State {
    /// The whole list, sent first on each watch.
    list: String,
    watches: Vec<TcpStream>,
    silent_until: Option<Instant>,
}

impl State {
    fn is_silent(&self) -> bool {
        self.silent_until.is_some_and(|until| Instant::now() < until)
    }

    /// Sends a line on all watches; those that have ended are forgotten.
    fn send(&mut self, line: &str) {
        self.watches.retain_mut(|watch| write_line(watch, line));
    }
}

/// A stand-in of discovery.
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
        let accepting = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let accepting = accepting.clone();
                thread::spawn(move || accepting.open_watch(stream));
            }
        });
        let beating = discovery.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(KEEP_ALIVE_INTERVAL);
                let mut state = beating.state.lock().expect("whole");
                if !state.is_silent() {
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
        let mut state = self.state.lock().expect("whole");
        if state.is_silent() {
            // Kept open, without a word.
            state.watches.push(stream);
            return;
        }
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let list = state.list.clone();
        if stream.write_all(head.as_bytes()).is_ok() && write_line(&mut stream, &list) {
            state.watches.push(stream);
        }
    }

    /// Says nothing for a while, on open watches and on new ones, and ends those that it left without a word.
    pub fn fall_silent(&self, length: Duration) {
        let mut state = self.state.lock().expect("whole");
        state.silent_until = Some(Instant::now() + length);
        let silent = self.state.clone();
        thread::spawn(move || {
            thread::sleep(length);
            silent.lock().expect("whole").watches.clear();
        });
    }

    /// Tells a new list; when it counts as told to all that watch.
    pub fn tell(&self, list: String) -> Instant {
        const TOLD_AT_THE_LATEST: Duration = Duration::from_secs(6);
        let mut state = self.state.lock().expect("whole");
        state.list.clone_from(&list);
        let now = Instant::now();
        if let Some(until) = state.silent_until.filter(|until| now < *until) {
            return until + TOLD_AT_THE_LATEST;
        }
        state.send(&list);
        // A process that has just lost its watch, or starts, hears of it with its next call.
        now + Duration::from_millis(600)
    }
}
