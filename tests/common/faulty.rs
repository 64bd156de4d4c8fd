//! An in-memory disk for the ledger with fault injection: it crashes at a given step, loses unsynced data, or fails with
//! an error.

use sailmux::ledger::Disk;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::rc::Rc;

/// How a machine crashes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Crash {
    /// The process is killed: all written data remains.
    Kill,
    /// Power is lost: only synced data remains, plus this number of bytes of the unsynced data.
    Power(usize),
}

#[derive(Clone, Default)]
struct File {
    written: Vec<u8>,
    synced: Vec<u8>,
}

#[derive(Default)]
struct DiskState {
    files: Vec<File>,
    /// Indices into `files`.
    names: BTreeMap<String, usize>,
    /// The names that remain after a power loss.
    synced_names: BTreeMap<String, usize>,
    /// Number of operations so far: each change and each sync is one step.
    steps: usize,
    /// The step at which the machine crashes.
    crash_step: Option<usize>,
    has_crashed: bool,
    /// The error with which every step fails; `None` if steps succeed.
    failing: Option<ErrorKind>,
}

/// A handle to a disk; clones share the same disk.
#[derive(Clone, Default)]
pub struct FaultyDisk(Rc<RefCell<DiskState>>);

impl FaultyDisk {
    /// Sets the step, counted from now, at which the machine crashes.
    pub fn crash_at(&self, step: usize) {
        let mut state = self.0.borrow_mut();
        state.steps = 0;
        state.crash_step = Some(step);
    }

    /// Number of steps since the last [`FaultyDisk::crash_at`].
    pub fn steps(&self) -> usize {
        self.0.borrow().steps
    }

    /// Whether the machine has crashed.
    pub fn has_crashed(&self) -> bool {
        self.0.borrow().has_crashed
    }

    /// Makes every later step fail with this error, or succeed if `None`.
    pub fn fail(&self, kind: Option<ErrorKind>) {
        self.0.borrow_mut().failing = kind;
    }

    /// The disk as the next process finds it after a crash of this kind.
    pub fn after(&self, crash: Crash) -> FaultyDisk {
        let state = self.0.borrow();
        let names = if crash == Crash::Kill { &state.names } else { &state.synced_names };
        let mut recovered = DiskState::default();
        for (name, index) in names {
            let file = &state.files[*index];
            let content = match crash {
                Crash::Kill => file.written.clone(),
                Crash::Power(unsynced_bytes) if file.written.starts_with(&file.synced) => {
                    let torn_bytes = (file.written.len() - file.synced.len()).min(unsynced_bytes);
                    file.written[..file.synced.len() + torn_bytes].to_vec()
                }
                Crash::Power(_) => file.synced.clone(),
            };
            recovered.names.insert(name.clone(), recovered.files.len());
            recovered.files.push(File { written: content.clone(), synced: content });
        }
        recovered.synced_names = recovered.names.clone();
        FaultyDisk(Rc::new(RefCell::new(recovered)))
    }

    /// Flips one bit of the byte at `offset` of a file.
    pub fn flip_bit(&self, name: &str, offset: usize) {
        let mut state = self.0.borrow_mut();
        let index = state.names[name];
        state.files[index].written[offset] ^= 0x40;
    }

    fn step(&self) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.steps += 1;
        if state.crash_step == Some(state.steps) {
            state.has_crashed = true;
        }
        match state.failing {
            _ if state.has_crashed => Err(io::Error::other("simulated crash")),
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
        let state = self.0.borrow();
        let index = state.names.get(name).ok_or(ErrorKind::NotFound)?;
        Ok(state.files[*index].written.clone())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let step = self.step();
        let mut state = self.0.borrow_mut();
        let index = if let Some(index) = state.names.get(name) {
            *index
        } else {
            state.files.push(File::default());
            let index = state.files.len() - 1;
            state.names.insert(name.to_owned(), index);
            index
        };
        // A failed write may have been partial.
        let written = if step.is_ok() { bytes.len() } else { bytes.len() / 2 };
        state.files[index].written.extend(&bytes[..written]);
        step
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.step()?;
        let mut state = self.0.borrow_mut();
        let index = *state.names.get(name).ok_or(ErrorKind::NotFound)?;
        state.files[index].written.truncate(length as usize);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        let mut state = self.0.borrow_mut();
        let index = *state.names.get(name).ok_or(ErrorKind::NotFound)?;
        let file = &mut state.files[index];
        file.synced.clone_from(&file.written);
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        let mut state = self.0.borrow_mut();
        let index = state.names.remove(from).ok_or(ErrorKind::NotFound)?;
        state.names.insert(to.to_owned(), index);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        self.0.borrow_mut().names.remove(name).map(drop).ok_or_else(|| ErrorKind::NotFound.into())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        self.step()?;
        let mut state = self.0.borrow_mut();
        state.synced_names = state.names.clone();
        Ok(())
    }
}
