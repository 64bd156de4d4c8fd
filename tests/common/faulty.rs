//! A disk in memory with faults: it stops at any step, loses what was not synced, fills up, fails, or is slow.

use sailmux::ledger::Disk;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::rc::Rc;

/// How a machine goes down.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Down {
    /// The process is killed: what was written stays.
    Kill,
    /// Power is cut: only what was synced stays, and a piece of what was not, as long as the number says.
    Power(usize),
}

#[derive(Clone, Default)]
struct File {
    now: Vec<u8>,
    synced: Vec<u8>,
}

#[derive(Default)]
struct Inner {
    files: Vec<File>,
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    steps: usize,
    /// The step at which the machine goes down.
    stop: Option<usize>,
    stopped: bool,
    /// Writes and syncs fail as long as it stands.
    failing: Option<ErrorKind>,
}

/// Handles to one disk.
#[derive(Clone, Default)]
pub struct FaultyDisk(Rc<RefCell<Inner>>);

impl FaultyDisk {
    /// From now on the machine goes down at that step.
    pub fn stop_at(&self, step: usize) {
        let mut inner = self.0.borrow_mut();
        (inner.steps, inner.stop) = (0, Some(step));
    }

    /// Steps taken since the last [`FaultyDisk::stop_at`].
    pub fn steps(&self) -> usize {
        self.0.borrow().steps
    }

    pub fn stopped(&self) -> bool {
        self.0.borrow().stopped
    }

    pub fn fail(&self, kind: Option<ErrorKind>) {
        self.0.borrow_mut().failing = kind;
    }

    /// The disk as the next process finds it.
    pub fn after(&self, down: Down) -> FaultyDisk {
        let inner = self.0.borrow();
        let names = if down == Down::Kill { &inner.names } else { &inner.synced_names };
        let mut fresh = Inner::default();
        for (name, id) in names {
            let file = &inner.files[*id];
            let kept = match down {
                Down::Kill => file.now.clone(),
                Down::Power(piece) if file.now.starts_with(&file.synced) => {
                    let more = (file.now.len() - file.synced.len()).min(piece);
                    file.now[..file.synced.len() + more].to_vec()
                }
                Down::Power(_) => file.synced.clone(),
            };
            fresh.names.insert(name.clone(), fresh.files.len());
            fresh.files.push(File { now: kept.clone(), synced: kept });
        }
        fresh.synced_names = fresh.names.clone();
        FaultyDisk(Rc::new(RefCell::new(fresh)))
    }

    /// Changes a byte of a file, as a disk that rots.
    pub fn rot(&self, name: &str, at: usize) {
        let mut inner = self.0.borrow_mut();
        let id = inner.names[name];
        inner.files[id].now[at] ^= 0x40;
    }

    fn step(&self) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        inner.steps += 1;
        if inner.stop == Some(inner.steps) {
            inner.stopped = true;
        }
        match inner.failing {
            _ if inner.stopped => Err(io::Error::other("the machine is down")),
            Some(kind) => Err(kind.into()),
            None => Ok(()),
        }
    }
}

impl Disk for FaultyDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.0.borrow().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let inner = self.0.borrow();
        let id = inner.names.get(name).ok_or(ErrorKind::NotFound)?;
        Ok(inner.files[*id].now.clone())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let went = self.step();
        let mut inner = self.0.borrow_mut();
        let id = match inner.names.get(name) {
            Some(id) => *id,
            None => {
                inner.files.push(File::default());
                let id = inner.files.len() - 1;
                inner.names.insert(name.to_owned(), id);
                id
            }
        };
        // What fails may have been written in part.
        let written = if went.is_ok() { bytes.len() } else { bytes.len() / 2 };
        inner.files[id].now.extend(&bytes[..written]);
        went
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.step()?;
        let mut inner = self.0.borrow_mut();
        let id = *inner.names.get(name).ok_or(ErrorKind::NotFound)?;
        inner.files[id].now.truncate(length as usize);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        let mut inner = self.0.borrow_mut();
        let id = *inner.names.get(name).ok_or(ErrorKind::NotFound)?;
        inner.files[id].synced = inner.files[id].now.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        let mut inner = self.0.borrow_mut();
        let id = inner.names.remove(from).ok_or(ErrorKind::NotFound)?;
        inner.names.insert(to.to_owned(), id);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        self.0.borrow_mut().names.remove(name).map(drop).ok_or_else(|| ErrorKind::NotFound.into())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.step()?;
        let mut inner = self.0.borrow_mut();
        inner.synced_names = inner.names.clone();
        Ok(())
    }
}
