//! Fake leaf servers that check the rules on the parts they receive: none after the grace period of a drain, none for a
//! shard of another cell, none that is already in flight.

use super::super::process::{LeafConnection, LeafServer, ListedEndpoint};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Number of cells and of shards; the cell with the number of a shard holds it.
pub const CELLS: u32 = 3;

/// Time after its drain was written in which a leaf server may still receive parts.
const DRAIN_GRACE_PERIOD: Duration = Duration::from_secs(1);

/// What the leaf servers have observed, and the violations of the rules.
#[derive(Default)]
pub struct Observations {
    parts: u64,
    /// When each drain was written, by leaf server.
    drained_at: BTreeMap<String, Instant>,
    cells: BTreeMap<String, u32>,
    in_flight: BTreeSet<String>,
    rule_violations: Vec<String>,
}

/// Fake leaf servers by name, which share their observations.
pub struct LeafFleet {
    pub addresses: BTreeMap<String, SocketAddr>,
    observations: Arc<Mutex<Observations>>,
}

impl LeafFleet {
    /// Starts `count` leaf servers, assigned to the cells in turn; each answers a part after a few milliseconds.
    pub fn new(count: u32) -> Self {
        let observations = Arc::new(Mutex::new(Observations::default()));
        let mut addresses = BTreeMap::new();
        for number in 0..count {
            let name = format!("s{number:02}");
            let server = LeafServer::new();
            lock(&observations).cells.insert(name.clone(), number % CELLS);
            addresses.insert(name.clone(), server.address);
            let observations = observations.clone();
            thread::spawn(move || {
                for stream in server.listener.incoming().map_while(Result::ok) {
                    let name = name.clone();
                    let observations = observations.clone();
                    thread::spawn(move || serve(&name, LeafConnection { stream }, &observations));
                }
            });
        }
        LeafFleet { addresses, observations }
    }

    /// The endpoints as discovery lists them.
    pub fn listed_endpoints(&self) -> Vec<ListedEndpoint> {
        let row = |(name, address): (&String, &SocketAddr)| ListedEndpoint {
            name: name.clone().leak(),
            address: address.to_string(),
            cell: self.cell(name),
            lifecycle: "Ready",
            started: 0,
        };
        self.addresses.iter().map(row).collect()
    }

    /// Records that the drain of a leaf server has just been written.
    pub fn record_drain(&self, name: &str) {
        lock(&self.observations).drained_at.insert(name.to_owned(), Instant::now());
    }

    /// Records that the drain of a leaf server is about to be cancelled.
    pub fn record_ready(&self, name: &str) {
        lock(&self.observations).drained_at.remove(name);
    }

    /// Records that a leaf server is about to be listed in another cell.
    pub fn record_move(&self, name: &str, cell: u32) {
        lock(&self.observations).cells.insert(name.to_owned(), cell);
    }

    /// The cell in which a leaf server is listed.
    pub fn cell(&self, name: &str) -> u32 {
        lock(&self.observations).cells[name]
    }

    /// The inventory as CSV or YAML, depending on the file name, with some leaf servers draining.
    pub fn inventory(&self, file: &str, draining: &BTreeSet<String>) -> String {
        let state = |name: &str| if draining.contains(name) { "draining" } else { "ready" };
        let mut text = if file.ends_with("csv") {
            "name,host,port,cell,state\n".to_owned()
        } else {
            "all:\n  vars: {host: 127.0.0.1}\n  hosts:\n".to_owned()
        };
        for (name, address) in &self.addresses {
            let (port, cell, state) = (address.port(), self.cell(name), state(name));
            text += &if file.ends_with("csv") {
                format!("{name},127.0.0.1,{port},{cell},{state}\n")
            } else {
                format!("    {name}:\n      port: {port}\n      cell: {cell}\n      state: {state}\n")
            };
        }
        text
    }

    /// A description of each violation of a rule.
    pub fn rule_violations(&self) -> Vec<String> {
        lock(&self.observations).rule_violations.clone()
    }

    /// Number of received parts.
    pub fn parts(&self) -> u64 {
        lock(&self.observations).parts
    }
}

impl Observations {
    /// Checks a part that has arrived at a leaf server.
    fn part_arrived(&mut self, server: &str, part: &str, shard: u32) {
        self.parts += 1;
        let since_drain = self.drained_at.get(server).map(Instant::elapsed);
        if let Some(late) = since_drain.filter(|elapsed| *elapsed > DRAIN_GRACE_PERIOD) {
            self.rule_violations
                .push(format!("{server}: part {part} arrived {late:?} after the drain was written"));
        }
        if self.cells[server] != shard % CELLS {
            self.rule_violations
                .push(format!("{server}: part {part} is for a shard that the server does not hold"));
        }
        if !self.in_flight.insert(part.to_owned()) {
            self.rule_violations.push(format!("{server}: part {part} is already in flight"));
        }
    }
}

fn lock(observations: &Mutex<Observations>) -> MutexGuard<'_, Observations> {
    observations.lock().expect("lock not poisoned")
}

/// Answers the parts of one connection until it ends.
fn serve(name: &str, mut connection: LeafConnection, observations: &Mutex<Observations>) -> Option<()> {
    loop {
        let (letter, rest) = connection.next_frame()?;
        match letter {
            'm' => {
                let line = rest.lines().next()?;
                let mut fields = line.split(' ');
                let part = fields.next()?;
                let shard: u32 = fields.next()?.parse().ok()?;
                lock(observations).part_arrived(name, part, shard);
                // One to four milliseconds, depending on the part.
                thread::sleep(Duration::from_millis(1 + u64::from(shard + line.len() as u32) % 4));
                lock(observations).in_flight.remove(part);
                connection.try_send_frame('q', &format!("{part} good 1 -\n{name}")).ok()?;
            }
            'n' => drop(lock(observations).in_flight.remove(&rest)),
            _ => {}
        }
    }
}
