//! Shares overrides and readiness with the sibling processes of this aggregator, on a separate thread, so that the event
//! loop is not blocked by disk I/O. [`crate::hot_restart`] defines what is stored and shared, and how.

use super::messages::{AggregatorStopped, EventSender};
use crate::aggregator::{AdminOutcome, Event, Siblings};
use crate::clock::{Clock, Millis};
use crate::hot_restart::{
    ChangeMarker, MergedOverrides, Overrides, ProcessSlot, ProcessStatus, RequestIdTable, SharedDirectory,
    Sibling, StoredOverrides, snapshot,
};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::io;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tracing::{debug, error, info, warn};

/// Mean interval between polls of the shared directory. A poll is one system call while nothing changes, and overrides
/// take effect in every process within a second.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Mean interval between polls while there are sibling processes.
const POLL_INTERVAL_WITH_SIBLINGS: Duration = Duration::from_millis(40);
/// Interval between polls while an admin call waits for sibling processes.
const POLL_INTERVAL_WITH_CALLS: Duration = Duration::from_millis(5);
/// Maximum time for which an admin call waits until its override is in force in the sibling processes. The call is
/// accepted after that too, since the override is already stored.
const SIBLINGS_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after which cancelled overrides are dropped from the file; every process has read the cancellation by then.
const CANCELLED_RETENTION: Millis = 600_000.0;

/// A command for the store's thread.
enum StoreCommand {
    /// Store the overrides, then answer the admin call.
    Store { overrides: Overrides, reply: oneshot::Sender<AdminOutcome> },
    /// The overrides with this digest are in force in this process.
    OverridesApplied { digest: u32 },
    /// This process has become ready or unready.
    SetReady { ready: bool },
}

/// The event loop's handle to the override store's thread.
pub(super) struct HotRestartHandle {
    commands: Sender<StoreCommand>,
    directory: SharedDirectory,
    slot: Option<usize>,
}

impl HotRestartHandle {
    /// Starts the thread on a shared directory, and returns the overrides that are stored there, which must be in force
    /// before any client is served.
    ///
    /// # Errors
    /// The directory cannot be read, or the thread cannot be started.
    pub fn start(
        directory: SharedDirectory,
        seed: u64,
        events: EventSender,
        clock: Clock,
    ) -> io::Result<(Self, Overrides)> {
        let overrides = overrides_from(directory.read_overrides()?);
        let digest = snapshot::digest(&overrides);
        let slot = directory.acquire_slot()?;
        if slot.is_none() {
            warn!("no process slot is free: sibling processes will not detect this process");
        }
        let (commands, command_receiver) = channel();
        let handle = HotRestartHandle {
            commands,
            directory: directory.clone(),
            slot: slot.as_ref().map(ProcessSlot::number),
        };
        let store = OverrideStore {
            directory,
            slot,
            status: ProcessStatus { ready: false, overrides_digest: digest },
            change_marker: None,
            current_digest: digest,
            siblings: Siblings::default(),
            waiting_calls: Vec::new(),
            events,
            clock,
            random: Pcg64Mcg::seed_from_u64(seed.rotate_left(29)),
        };
        thread::Builder::new().name("overrides".to_owned()).spawn(move || store.run(&command_receiver))?;
        Ok((handle, overrides))
    }

    /// Stores overrides. The reply is sent once they are in force in every running process of this aggregator, or after
    /// [`SIBLINGS_TIMEOUT`].
    pub fn store(&self, overrides: Overrides, reply: oneshot::Sender<AdminOutcome>) {
        let _ = self.commands.send(StoreCommand::Store { overrides, reply });
    }

    /// Opens the request ids that the processes share.
    ///
    /// # Errors
    /// The file cannot be opened.
    pub fn request_ids(&self) -> io::Result<RequestIdTable> {
        self.directory.request_ids()
    }

    /// Reads the current state of the sibling processes.
    pub fn current_siblings(&self) -> Siblings {
        summarize(&self.directory.siblings(self.slot))
    }

    /// Publishes that the overrides with a digest are in force in this process.
    pub fn overrides_applied(&self, digest: u32) {
        let _ = self.commands.send(StoreCommand::OverridesApplied { digest });
    }

    /// Publishes whether this process is ready to serve.
    pub fn set_ready(&self, ready: bool) {
        let _ = self.commands.send(StoreCommand::SetReady { ready });
    }
}

fn summarize(siblings: &[Sibling]) -> Siblings {
    let is_ready = |sibling: &Sibling| sibling.status.as_ref().is_some_and(|status| status.ready);
    Siblings { others: siblings.len(), any_ready: siblings.iter().any(is_ready) }
}

/// The overrides in a stored file; a file that cannot be used is logged and counts as empty.
fn overrides_from(stored: StoredOverrides) -> Overrides {
    match stored {
        StoredOverrides::Missing => Overrides::default(),
        StoredOverrides::Present(overrides) => {
            let active = overrides.iter().filter(|(_, entry)| entry.active).count();
            debug!(active, "stored overrides read");
            overrides
        }
        StoredOverrides::MovedAside { path, reason } => {
            error!(path = %path.display(), "stored overrides: the file {reason}; it was moved aside, and its overrides are not in force");
            Overrides::default()
        }
    }
}

/// An admin call whose override is stored, and that waits until it is in force in the sibling processes.
struct WaitingCall {
    reply: oneshot::Sender<AdminOutcome>,
    deadline: Instant,
}

/// The state of the override store's thread.
struct OverrideStore {
    directory: SharedDirectory,
    slot: Option<ProcessSlot>,
    /// The status that this process publishes in its slot.
    status: ProcessStatus,
    /// The directory's change marker when the overrides were last read.
    change_marker: Option<ChangeMarker>,
    /// Digest of the stored overrides that the event loop set or was sent last.
    current_digest: u32,
    siblings: Siblings,
    waiting_calls: Vec<WaitingCall>,
    events: EventSender,
    clock: Clock,
    random: Pcg64Mcg,
}

impl OverrideStore {
    /// Runs until the handle is dropped or the event loop has ended.
    fn run(mut self, commands: &Receiver<StoreCommand>) {
        self.publish_status();
        loop {
            let interval = self.next_interval();
            match commands.recv_timeout(interval) {
                Ok(command) => self.handle(command),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if self.poll().is_err() {
                return;
            }
        }
    }

    /// Jittered, so that processes started together do not poll together.
    fn next_interval(&mut self) -> Duration {
        let random = (self.random.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        let jitter = 0.5 + random;
        if !self.waiting_calls.is_empty() {
            POLL_INTERVAL_WITH_CALLS
        } else if self.siblings.others == 0 {
            POLL_INTERVAL.mul_f64(jitter)
        } else {
            POLL_INTERVAL_WITH_SIBLINGS.mul_f64(jitter)
        }
    }

    fn handle(&mut self, command: StoreCommand) {
        match command {
            StoreCommand::Store { overrides, reply } => self.store(&overrides, reply),
            StoreCommand::OverridesApplied { digest } => {
                self.status.overrides_digest = digest;
                self.publish_status();
            }
            StoreCommand::SetReady { ready } => {
                self.status.ready = ready;
                self.publish_status();
            }
        }
    }

    fn publish_status(&mut self) {
        let Some(slot) = &mut self.slot else { return };
        if let Err(error) = slot.publish(&self.status) {
            warn!("the status in the process slot cannot be updated: {error}");
        }
    }

    fn store(&mut self, overrides: &Overrides, reply: oneshot::Sender<AdminOutcome>) {
        let now = self.clock.now() + self.clock.wall_clock_offset();
        let MergedOverrides { merged, found } =
            match self.directory.merge_overrides(overrides, now - CANCELLED_RETENTION) {
                Ok(merged) => merged,
                Err(error) => {
                    error!("overrides cannot be stored: {error}; they apply to this process only");
                    let _ = reply.send(AdminOutcome::Accepted);
                    return;
                }
            };
        if let StoredOverrides::MovedAside { .. } = found {
            overrides_from(found);
        }
        // These overrides came from the event loop, so they are already in force in this process.
        if merged == *overrides {
            self.current_digest = snapshot::digest(&merged);
            self.status.overrides_digest = self.current_digest;
            self.publish_status();
        }
        self.waiting_calls.push(WaitingCall { reply, deadline: Instant::now() + SIBLINGS_TIMEOUT });
    }

    /// Checks for changes of the sibling processes and for overrides set in them.
    fn poll(&mut self) -> Result<(), AggregatorStopped> {
        let change_marker = self.directory.change_marker();
        let has_changed = change_marker != self.change_marker;
        if !has_changed && self.siblings.others == 0 && self.waiting_calls.is_empty() {
            return Ok(());
        }
        let siblings = self.directory.siblings(self.slot.as_ref().map(ProcessSlot::number));
        self.update_siblings(summarize(&siblings))?;
        if has_changed {
            self.read_overrides(change_marker)?;
        }
        self.answer_calls(&siblings);
        Ok(())
    }

    fn update_siblings(&mut self, siblings: Siblings) -> Result<(), AggregatorStopped> {
        if siblings == self.siblings {
            return Ok(());
        }
        info!(others = siblings.others, ready = siblings.any_ready, "sibling processes changed");
        self.siblings = siblings;
        self.events.blocking_send(Event::SiblingsChanged(siblings))
    }

    fn read_overrides(&mut self, change_marker: Option<ChangeMarker>) -> Result<(), AggregatorStopped> {
        let stored = match self.directory.read_overrides() {
            Ok(stored) => stored,
            Err(error) => {
                warn!("stored overrides cannot be read: {error}");
                return Ok(());
            }
        };
        self.change_marker = change_marker;
        let overrides = overrides_from(stored);
        let digest = snapshot::digest(&overrides);
        if digest == self.current_digest {
            return Ok(());
        }
        self.current_digest = digest;
        self.events.blocking_send(Event::OverridesLoaded(overrides, digest))
    }

    /// Answers the admin calls whose overrides are in force in all processes or whose deadlines have passed.
    fn answer_calls(&mut self, siblings: &[Sibling]) {
        let in_force_in_all = self.status.overrides_digest == self.current_digest
            && siblings.iter().all(|sibling| self.has_current_overrides(sibling));
        let now = Instant::now();
        for call in std::mem::take(&mut self.waiting_calls) {
            if in_force_in_all || call.deadline <= now {
                let _ = call.reply.send(AdminOutcome::Accepted);
            } else {
                self.waiting_calls.push(call);
            }
        }
    }

    fn has_current_overrides(&self, sibling: &Sibling) -> bool {
        sibling.status.as_ref().is_some_and(|status| status.overrides_digest == self.current_digest)
    }
}
