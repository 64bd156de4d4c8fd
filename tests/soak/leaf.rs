//! A leaf server that answers parts after a while, and does wrong what it is told to.

use super::common::process::LeafConnection;
use super::observations::Observations;
use super::plan::LeafFault;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a part takes.
const WORK: Duration = Duration::from_millis(15);

/// A leaf server.
#[derive(Clone)]
pub struct SoakLeaf {
    number: usize,
    pub address: SocketAddr,
    fault: Arc<Mutex<Option<(LeafFault, Instant)>>>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    observations: Arc<Observations>,
}

/// The parts of one connection that have no end yet: the index of the attempt by the part's id.
type OpenParts = Arc<Mutex<BTreeMap<String, usize>>>;

impl SoakLeaf {
    pub fn start(number: usize, observations: &Arc<Observations>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let leaf = SoakLeaf {
            number,
            address: listener.local_addr().expect("bound"),
            fault: Arc::default(),
            connections: Arc::default(),
            observations: observations.clone(),
        };
        let server = leaf.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                server.connections.lock().expect("whole").push(stream.try_clone().expect("a handle"));
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        leaf
    }

    /// Does something wrong for a while.
    pub fn misbehave(&self, fault: LeafFault, length: Duration) {
        *self.fault.lock().expect("whole") = Some((fault, Instant::now() + length));
        if fault == LeafFault::ResetsConnections {
            for stream in self.connections.lock().expect("whole").drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        }
    }

    fn current_fault(&self) -> Option<LeafFault> {
        let fault = *self.fault.lock().expect("whole");
        fault.filter(|(_, until)| Instant::now() < *until).map(|(fault, _)| fault)
    }

    fn serve(&self, stream: TcpStream) {
        let writer = Arc::new(Mutex::new(LeafConnection { stream: stream.try_clone().expect("a handle") }));
        let mut reader = LeafConnection { stream };
        let open_parts = OpenParts::default();
        while let Some((letter, rest)) = reader.next_frame() {
            let sent = match letter {
                'm' => {
                    self.take_part(&rest, &writer, &open_parts);
                    Ok(())
                }
                'n' => {
                    self.end(&rest, &open_parts, false);
                    Ok(())
                }
                'o' => writer.lock().expect("whole").try_send_frame('o', "good"),
                'p' => writer.lock().expect("whole").try_send_frame('p', "-"),
                other => panic!("no frame of an aggregator: {other}"),
            };
            if sent.is_err() {
                break;
            }
        }
        let parts: Vec<String> = open_parts.lock().expect("whole").keys().cloned().collect();
        for part in parts {
            self.end(&part, &open_parts, false);
        }
    }

    fn take_part(&self, rest: &str, writer: &Arc<Mutex<LeafConnection>>, open_parts: &OpenParts) {
        let part = rest.split(' ').next().expect("an id").to_owned();
        let index = self.observations.begin_attempt(&part, self.number, Instant::now());
        open_parts.lock().expect("whole").insert(part.clone(), index);
        let fault = self.current_fault();
        if fault == Some(LeafFault::Hangs) {
            return;
        }
        let (leaf, writer, open_parts) = (self.clone(), writer.clone(), open_parts.clone());
        thread::spawn(move || {
            thread::sleep(WORK);
            let mut writer = writer.lock().expect("whole");
            let outcome = if fault == Some(LeafFault::Rejects) { "later" } else { "good" };
            let is_open = open_parts.lock().expect("whole").contains_key(&part);
            if !is_open {
                return;
            }
            // It ends before the answer leaves: the aggregator may act on the answer at once.
            leaf.end(&part, &open_parts, outcome == "later");
            if fault == Some(LeafFault::AnswersHalf) {
                writer.send_truncated_frame('q', &format!("{part} good 17 -\nv"));
                let _ = writer.stream.shutdown(std::net::Shutdown::Both);
                return;
            }
            let _ = writer.try_send_frame('q', &format!("{part} {outcome} 17 -\nvalue-of-{part}"));
        });
    }

    fn end(&self, part: &str, open_parts: &OpenParts, rejected: bool) {
        if let Some(index) = open_parts.lock().expect("whole").remove(part) {
            self.observations.end_attempt(part, index, rejected);
        }
    }
}
