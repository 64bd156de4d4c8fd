//! A fake leaf server that answers each part after a delay and injects faults on request.

use super::common::process::LeafConnection;
use super::observations::Observations;
use super::plan::LeafFault;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Processing time of a part.
const PART_PROCESSING_TIME: Duration = Duration::from_millis(15);

/// A fake leaf server.
#[derive(Clone)]
pub struct SoakLeaf {
    number: usize,
    pub address: SocketAddr,
    fault: Arc<Mutex<Option<(LeafFault, Instant)>>>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    observations: Arc<Observations>,
}

/// The parts in flight on one connection: the index of the attempt by the part's id.
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
                server
                    .connections
                    .lock()
                    .expect("lock not poisoned")
                    .push(stream.try_clone().expect("a handle"));
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        leaf
    }

    /// Injects a fault for `length`.
    pub fn inject_fault(&self, fault: LeafFault, length: Duration) {
        *self.fault.lock().expect("lock not poisoned") = Some((fault, Instant::now() + length));
        if fault == LeafFault::ResetsConnections {
            for stream in self.connections.lock().expect("lock not poisoned").drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        }
    }

    fn current_fault(&self) -> Option<LeafFault> {
        let fault = *self.fault.lock().expect("lock not poisoned");
        fault.filter(|(_, until)| Instant::now() < *until).map(|(fault, _)| fault)
    }

    fn serve(&self, stream: TcpStream) {
        let writer = Arc::new(Mutex::new(LeafConnection { stream: stream.try_clone().expect("a handle") }));
        let mut reader = LeafConnection { stream };
        let open_parts = OpenParts::default();
        while let Some((letter, rest)) = reader.next_frame() {
            let sent = match letter {
                'm' => {
                    self.receive_part(&rest, &writer, &open_parts);
                    Ok(())
                }
                'n' => {
                    self.end_part(&rest, &open_parts, false);
                    Ok(())
                }
                'o' => writer.lock().expect("lock not poisoned").try_send_frame('o', "good"),
                'p' => writer.lock().expect("lock not poisoned").try_send_frame('p', "-"),
                other => panic!("unexpected frame from an aggregator: {other}"),
            };
            if sent.is_err() {
                break;
            }
        }
        let parts: Vec<String> = open_parts.lock().expect("lock not poisoned").keys().cloned().collect();
        for part in parts {
            self.end_part(&part, &open_parts, false);
        }
    }

    fn receive_part(&self, rest: &str, writer: &Arc<Mutex<LeafConnection>>, open_parts: &OpenParts) {
        let part = rest.split(' ').next().expect("an id").to_owned();
        let index = self.observations.begin_attempt(&part, self.number, Instant::now());
        open_parts.lock().expect("lock not poisoned").insert(part.clone(), index);
        let fault = self.current_fault();
        if fault == Some(LeafFault::Hangs) {
            return;
        }
        let (leaf, writer, open_parts) = (self.clone(), writer.clone(), open_parts.clone());
        thread::spawn(move || {
            thread::sleep(PART_PROCESSING_TIME);
            let mut writer = writer.lock().expect("lock not poisoned");
            let outcome = if fault == Some(LeafFault::Rejects) { "later" } else { "good" };
            let is_open = open_parts.lock().expect("lock not poisoned").contains_key(&part);
            if !is_open {
                return;
            }
            // The end is recorded before the answer is sent: the aggregator may act on the answer at once.
            leaf.end_part(&part, &open_parts, outcome == "later");
            if fault == Some(LeafFault::TruncatesAnswer) {
                writer.send_truncated_frame('q', &format!("{part} good 17 -\nv"));
                let _ = writer.stream.shutdown(std::net::Shutdown::Both);
                return;
            }
            let _ = writer.try_send_frame('q', &format!("{part} {outcome} 17 -\nvalue-of-{part}"));
        });
    }

    fn end_part(&self, part: &str, open_parts: &OpenParts, rejected: bool) {
        if let Some(index) = open_parts.lock().expect("lock not poisoned").remove(part) {
            self.observations.end_attempt(part, index, rejected);
        }
    }
}
