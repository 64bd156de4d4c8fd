//! Submits a request to the ledger's owner. If no process owns the ledger, this one takes ownership and executes the
//! request; otherwise request and reply are exchanged as files.

use super::super::failure::Failure;
use super::super::print;
use super::{LedgerLocation, now};
use crate::ledger::{Options, RealDisk, Reply, Request, Store, reply_file_name, request_file_name};
use std::fs;
use std::io::ErrorKind;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Maximum time to wait for a reply; the owner polls for requests several times a second.
const REPLY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two polls for the reply.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl LedgerLocation {
    /// Submits a request and prints its result.
    pub(super) fn submit(&self, request: Request) -> Result<(), Failure> {
        let book = self.read(|_, _, _| {})?;
        let aggregator = book.position().aggregator;
        match RealDisk::own(&self.dir) {
            Ok(disk) => self.perform(disk, aggregator, request),
            Err(error) if error.kind() == ErrorKind::WouldBlock => self.send(&request),
            Err(error) => Err(error.into()),
        }
    }

    fn perform(&self, disk: RealDisk, aggregator: &str, request: Request) -> Result<(), Failure> {
        // Every record is synced before the command ends, so a kill loses nothing that was acknowledged.
        let options = Options { loss_window_ms: 0, ..Options::default() };
        let (mut store, _) = Store::open(disk, self.calendar()?, options, aggregator, now())?;
        let outcome = store.perform(request, now());
        store.end_run(now())?;
        print(&format!("{}\n", outcome?))
    }

    /// Writes a request as a file for the owner and waits for the reply.
    fn send(&self, request: &Request) -> Result<(), Failure> {
        let id = unique_id();
        let request_path = self.dir.join(request_file_name(&id));
        let reply_path = self.dir.join(reply_file_name(&id));
        let mut temporary_path = request_path.clone().into_os_string();
        temporary_path.push(".tmp");
        fs::write(&temporary_path, request.to_json())?;
        fs::rename(&temporary_path, &request_path)?;
        let deadline = Instant::now() + REPLY_TIMEOUT;
        while Instant::now() < deadline {
            if let Ok(text) = fs::read_to_string(&reply_path) {
                fs::remove_file(&reply_path)?;
                return match Reply::from_json(&text)? {
                    Reply::Done(text) => print(&format!("{text}\n")),
                    Reply::Rejected(reason) => Err(Failure::message(reason)),
                };
            }
            thread::sleep(POLL_INTERVAL);
        }
        let path = request_path.display();
        Err(Failure::message(format!(
            "{path}: no reply within {REPLY_TIMEOUT:?}; the request file remains in place"
        )))
    }
}

/// A unique request id, from the time and the process id.
pub(super) fn unique_id() -> String {
    let nanoseconds = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_nanos());
    format!("{nanoseconds:x}-{:x}", std::process::id())
}
