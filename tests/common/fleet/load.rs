//! A steady load of queries that checks every answer.

use super::super::process::{Client, query};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Clients that send queries one after another until they are stopped; each query must get one complete answer.
pub struct Load {
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<(u64, Vec<String>)>>,
}

impl Load {
    /// Starts `clients` clients with one connection each.
    pub fn start(address: SocketAddr, clients: usize) -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let stop = Arc::new(AtomicBool::new(false));
        let client = |_| {
            let stop = stop.clone();
            thread::spawn(move || {
                let mut client = Client::connect(address);
                let mut answered = 0;
                let mut wrong = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("load{}", NEXT.fetch_add(1, Ordering::Relaxed));
                    let reply = client.request(query(&id, "5000m", &[0, 1, 2]));
                    answered += 1;
                    if reply.status != 200 || !reply.body.contains(r#""total":true"#) {
                        wrong.push(format!("{id}: {} {}", reply.status, reply.body));
                    }
                    thread::sleep(Duration::from_millis(2));
                }
                (answered, wrong)
            })
        };
        Load { clients: (0..clients).map(client).collect(), stop }
    }

    /// Stops the clients and returns the number of answered queries and a description of each incomplete answer.
    pub fn stop(self) -> (u64, Vec<String>) {
        self.stop.store(true, Ordering::Relaxed);
        let mut all_answered = 0;
        let mut all_wrong = Vec::new();
        for client in self.clients {
            let (answered, wrong) = client.join().expect("each query has one answer");
            all_answered += answered;
            all_wrong.extend(wrong);
        }
        (all_answered, all_wrong)
    }
}
