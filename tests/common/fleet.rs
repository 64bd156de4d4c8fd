//! Stand-in index nodes that check the rules from their side, clients that count their answers, and a writer that
//! changes an inventory in every way that tools do. For load tests of the inventory.

use super::process::{Aggregator, Client, LeafServer, Listed, Setup, query, scratch};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, OpenOptions};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::fs::symlink;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Cells, and as many shards: a shard is held by the cell of its number.
pub const CELLS: u32 = 3;
/// A part may reach a node so long after its drain was written.
const GRACE: Duration = Duration::from_secs(1);

/// What the nodes have seen, and which rules were broken.
#[derive(Default)]
pub struct Book {
    pub parts: u64,
    drained: BTreeMap<String, Instant>,
    cells: BTreeMap<String, u32>,
    out: BTreeSet<String>,
    pub broken: Vec<String>,
}

/// Nodes by name, all of them checking against one book.
pub struct Fleet {
    pub addresses: BTreeMap<String, SocketAddr>,
    pub book: Arc<Mutex<Book>>,
}

impl Fleet {
    /// So many nodes, cell by cell in turn; each answers a part after a few milliseconds.
    pub fn new(count: u32) -> Self {
        let book = Arc::new(Mutex::new(Book::default()));
        let mut addresses = BTreeMap::new();
        for i in 0..count {
            let (name, node) = (format!("s{i:02}"), LeafServer::new());
            book.lock().expect("book").cells.insert(name.clone(), i % CELLS);
            addresses.insert(name.clone(), node.address);
            let book = book.clone();
            thread::spawn(move || {
                for stream in node.listener.incoming().map_while(Result::ok) {
                    let (name, book) = (name.clone(), book.clone());
                    thread::spawn(move || serve(&name, stream, &book));
                }
            });
        }
        Fleet { addresses, book }
    }

    /// The nodes as discovery lists them.
    pub fn listed(&self) -> Vec<Listed> {
        let row = |(name, address): (&String, &SocketAddr)| Listed {
            name: name.clone().leak(),
            address: address.to_string(),
            cell: self.cell(name),
            lifecycle: "Ready",
            started: 0,
        };
        self.addresses.iter().map(row).collect()
    }

    /// From now on the node drains: its drain has just been written.
    pub fn drained(&self, name: &str) {
        self.book.lock().expect("book").drained.insert(name.to_owned(), Instant::now());
    }

    /// The drain is about to be taken back.
    pub fn readied(&self, name: &str) {
        self.book.lock().expect("book").drained.remove(name);
    }

    /// The node is listed in another cell from now on: a part for either is right for a while.
    pub fn moved(&self, name: &str, cell: u32) {
        self.book.lock().expect("book").cells.insert(name.to_owned(), cell);
    }

    pub fn cell(&self, name: &str) -> u32 {
        self.book.lock().expect("book").cells[name]
    }

    /// The inventory, with some nodes draining.
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

    pub fn broken(&self) -> Vec<String> {
        self.book.lock().expect("book").broken.clone()
    }

    pub fn parts(&self) -> u64 {
        self.book.lock().expect("book").parts
    }
}

fn serve(name: &str, mut stream: TcpStream, book: &Mutex<Book>) -> Option<()> {
    loop {
        let mut length = [0; 4];
        stream.read_exact(&mut length).ok()?;
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        stream.read_exact(&mut frame).ok()?;
        let rest = String::from_utf8_lossy(&frame[1..]).into_owned();
        match frame[0] {
            b'm' => {
                let line = rest.lines().next()?;
                let (id, shard) = (line.split(' ').next()?, line.split(' ').nth(1)?.parse::<u32>().ok()?);
                {
                    let mut book = book.lock().expect("book");
                    book.parts += 1;
                    let late = book.drained.get(name).map(Instant::elapsed).filter(|late| *late > GRACE);
                    if let Some(late) = late {
                        book.broken
                            .push(format!("{name}: part {id} came {late:?} after its drain was written"));
                    }
                    if book.cells[name] != shard % CELLS {
                        book.broken.push(format!("{name}: part {id} came, whose shard it does not hold"));
                    }
                    if !book.out.insert(id.to_owned()) {
                        book.broken.push(format!("{name}: part {id} is out already"));
                    }
                }
                thread::sleep(Duration::from_millis(1 + u64::from(shard + line.len() as u32) % 4));
                book.lock().expect("book").out.remove(id);
                let answer = format!("{id} good 1 -\n{name}");
                let mut frame = (answer.len() as u32 + 1).to_be_bytes().to_vec();
                frame.push(b'q');
                frame.extend(answer.as_bytes());
                stream.write_all(&frame).ok()?;
            }
            b'n' => drop(book.lock().expect("book").out.remove(&rest)),
            _ => {}
        }
    }
}

/// Clients that ask without a pause until they are stopped; each query must get one answer, and a whole one.
pub struct Load {
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<(u64, Vec<String>)>>,
}

impl Load {
    pub fn start(address: SocketAddr, clients: usize) -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let stop = Arc::new(AtomicBool::new(false));
        let client = |_| {
            let stop = stop.clone();
            thread::spawn(move || {
                let (mut client, mut answered, mut wrong) = (Client::connect(address), 0, Vec::new());
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("load{}", NEXT.fetch_add(1, Ordering::Relaxed));
                    let reply = client.ask(query(&id, "5000m", &[0, 1, 2]));
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

    /// Queries answered, and those that were not answered whole.
    pub fn stop(self) -> (u64, Vec<String>) {
        self.stop.store(true, Ordering::Relaxed);
        let ends = self.clients.into_iter().map(|c| c.join().expect("each query has one answer"));
        ends.fold((0, Vec::new()), |(n, mut all), (answered, wrong)| {
            all.extend(wrong);
            (n + answered, all)
        })
    }
}

/// How a tool writes an inventory.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way {
    /// A new file, renamed over the old one.
    Rename,
    /// The same file, emptied and written anew.
    InPlace,
    /// The same file, half of it, a pause, and the rest.
    Halting,
    /// A link to a directory that is swapped, as `..data` links are.
    Link,
    /// The whole directory is replaced.
    Directory,
    /// The file is removed, and written a while later.
    Gone,
}

pub const WAYS: [Way; 6] = [Way::Rename, Way::InPlace, Way::Halting, Way::Link, Way::Directory, Way::Gone];

/// An inventory that is written in one way.
pub struct Writer {
    pub way: Way,
    base: PathBuf,
    file: String,
    count: u32,
}

impl Writer {
    pub fn new(way: Way, file: &str) -> Self {
        Writer { way, base: scratch("written"), file: file.to_owned(), count: 0 }
    }

    /// Where the mixer finds it.
    pub fn path(&self) -> PathBuf {
        match self.way {
            Way::Directory => self.base.join("live").join(&self.file),
            _ => self.base.join(&self.file),
        }
    }

    /// Writes it; the last byte of it is in its place when this returns.
    pub fn write(&mut self, text: &str) {
        self.count += 1;
        let fresh = self.base.join(format!("fresh{}", self.count));
        match self.way {
            Way::Rename => {
                fs::write(&fresh, text).expect("written");
                fs::rename(&fresh, self.path()).expect("renamed");
            }
            Way::InPlace => fs::write(self.path(), text).expect("written"),
            Way::Halting => {
                let open = OpenOptions::new().write(true).create(true).truncate(true).open(self.path());
                let mut file = open.expect("opened");
                // In the middle of a line, and not at the very end of the list.
                let (half, rest) = text.as_bytes().split_at(text.len() / 2);
                file.write_all(half).expect("written");
                thread::sleep(Duration::from_millis(150));
                file.write_all(rest).expect("written");
            }
            Way::Link => {
                fs::create_dir(&fresh).expect("made");
                fs::write(fresh.join(&self.file), text).expect("written");
                let (data, link) = (self.base.join("..data"), self.base.join("..link"));
                symlink(&fresh, &link).expect("linked");
                fs::rename(&link, &data).expect("renamed");
                if self.count == 1 {
                    symlink(Path::new("..data").join(&self.file), self.path()).expect("linked");
                } else {
                    fs::remove_dir_all(self.base.join(format!("fresh{}", self.count - 1))).expect("removed");
                }
            }
            Way::Directory => {
                fs::create_dir(&fresh).expect("made");
                fs::write(fresh.join(&self.file), text).expect("written");
                let (live, old) = (self.base.join("live"), self.base.join(format!("old{}", self.count)));
                if self.count > 1 {
                    fs::rename(&live, &old).expect("renamed");
                }
                fs::rename(&fresh, &live).expect("renamed");
                let _ = fs::remove_dir_all(old);
            }
            Way::Gone => {
                let _ = fs::remove_file(self.path());
                thread::sleep(Duration::from_millis(120));
                fs::write(&fresh, text).expect("written");
                fs::rename(&fresh, self.path()).expect("renamed");
            }
        }
    }
}

/// A mixer with a fleet and an inventory that is written in one way, under load.
pub struct Run {
    pub fleet: Fleet,
    pub writer: Writer,
    pub mixer: Aggregator,
    pub load: Load,
    pub draining: BTreeSet<String>,
    file: String,
}

impl Run {
    /// `more` stands in the operator's file under `inventory`.
    pub fn start(way: Way, file: &str, nodes: u32, clients: usize, more: &str) -> Self {
        let fleet = Fleet::new(nodes);
        let mut writer = Writer::new(way, file);
        let draining = BTreeSet::new();
        writer.write(&fleet.inventory(file, &draining));
        let operator = format!("inventory:\n  file: {}\n{more}", writer.path().display());
        let mixer = Setup { operator: Some(operator), ..Setup::new(&[]) }.start();
        let load = Load::start(mixer.address, clients);
        Run { fleet, writer, mixer, load, draining, file: file.to_owned() }
    }

    pub fn text(&self) -> String {
        self.fleet.inventory(&self.file, &self.draining)
    }

    /// Drains a node and waits until the mixer says so: how long it took from the last byte.
    pub fn drain(&mut self, name: &str) -> Duration {
        self.draining.insert(name.to_owned());
        let text = self.text();
        self.writer.write(&text);
        self.fleet.drained(name);
        let written = Instant::now();
        self.mixer.told_anew("drained=1");
        written.elapsed()
    }

    /// Takes a drain back.
    pub fn ready(&mut self, name: &str) {
        self.draining.remove(name);
        self.fleet.readied(name);
        let text = self.text();
        self.writer.write(&text);
        // Where half of the drain was held and its rest never seen, the list is as it was.
        self.mixer.told_either("readied=1", "held list withdrawn");
    }

    /// Ends the load; every rule must have held.
    pub fn finish(self) -> (u64, u64) {
        let (answered, wrong) = self.load.stop();
        assert!(
            wrong.is_empty(),
            "{} of {answered} queries: {:#?}",
            wrong.len(),
            &wrong[..wrong.len().min(5)]
        );
        let broken = self.fleet.broken();
        assert!(broken.is_empty(), "{} rules broken: {:#?}", broken.len(), &broken[..broken.len().min(5)]);
        (answered, self.fleet.parts())
    }
}
