//! Shares overrides and readiness with the other processes of this aggregator, on a thread beside the event loop, which
//! never waits for a disk. What is stored and shared, and how, is up to [`crate::hot_restart`].

use super::messages::{AggregatorStopped, EventSender};
use crate::aggregator::{AdminOutcome, Event, Siblings};
use crate::clock::{Clock, Millis};
use crate::hot_restart::{
    ChangeMarker, MergedOverrides, Overrides, ProcessSlot, ProcessStatus, SharedDirectory, Sibling,
    StoredOverrides, snapshot,
};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::io;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tracing::{debug, error, info, warn};

/// Mean interval between polls of the shared directory: one system call while nothing changes, and overrides hold in
/// every process within a second.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Mean interval while there are other processes.
const POLL_INTERVAL_WITH_SIBLINGS: Duration = Duration::from_millis(40);
/// Interval while an admin call waits for other processes.
const POLL_INTERVAL_WITH_CALLS: Duration = Duration::from_millis(5);
/// An admin call waits so long for the other processes, and is answered then: the override is stored already.
const SIBLINGS_TIMEOUT: Duration = Duration::from_millis(600);
/// Overrides that were cancelled so long ago are dropped from the file; every process has read it by then.
const CANCELLED_RETENTION: Millis = 600_000.0;

/// A command for the store's thread.
enum StoreCommand {
    /// Store these, then answer.
    Store { overrides: Overrides, reply: oneshot::Sender<AdminOutcome> },
    /// The overrides of this digest are in force here.
    OverridesApplied { digest: u32 },
    /// Whether this process could serve.
    SetReady { ready: bool },
}

/// The event loop's end of the store.
pub(super) struct HotRestartHandle {
    commands: Sender<StoreCommand>,
    directory: SharedDirectory,
    slot: Option<usize>,
}

impl HotRestartHandle {
    /// Starts the thread on a directory, and gives the overrides that are stored there: they are to be in force before
    /// any client is served.
    ///
    /// # Errors
    /// The directory cannot be read, or the thread cannot be started.
    pub fn start(
        directory: SharedDirectory,
        seed: u64,
        events: EventSender,
        clock: Clock,
    ) -> io::Result<(Self, Overrides)> {
        let overrides = overrides_of(directory.read_overrides()?);
        let digest = snapshot::digest(&overrides);
        let slot = directory.acquire_slot()?;
        if slot.is_none() {
            warn!("no process slot is free: other processes will not see this one");
        }
        let (commands, inbox) = channel();
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
            known_digest: digest,
            siblings: Siblings::default(),
            waiting_calls: Vec::new(),
            events,
            clock,
            random: Pcg64Mcg::seed_from_u64(seed.rotate_left(29)),
        };
        thread::Builder::new().name("overrides".to_owned()).spawn(move || store.run(&inbox))?;
        Ok((handle, overrides))
    }

    /// Stores overrides. The reply comes once they are in force in every live process of this aggregator, or after
    /// [`SIBLINGS_TIMEOUT`].
    pub fn store(&self, overrides: Overrides, reply: oneshot::Sender<AdminOutcome>) {
        let _ = self.commands.send(StoreCommand::Store { overrides, reply });
    }

    /// The other live processes at this moment.
    pub fn current_siblings(&self) -> Siblings {
        summary(&self.directory.siblings(self.slot))
    }

    /// Publishes that the overrides of a digest are in force here.
    pub fn overrides_applied(&self, digest: u32) {
        let _ = self.commands.send(StoreCommand::OverridesApplied { digest });
    }

    /// Publishes whether this process could serve.
    pub fn set_ready(&self, ready: bool) {
        let _ = self.commands.send(StoreCommand::SetReady { ready });
    }
}

fn summary(siblings: &[Sibling]) -> Siblings {
    let is_ready = |sibling: &Sibling| sibling.status.as_ref().is_some_and(|status| status.ready);
    Siblings { others: siblings.len(), any_ready: siblings.iter().any(is_ready) }
}

/// The overrides of a stored file; a damaged one is logged and counts as empty.
fn overrides_of(stored: StoredOverrides) -> Overrides {
    match stored {
        StoredOverrides::Missing => Overrides::default(),
        StoredOverrides::Present(overrides) => {
            let active = overrides.iter().filter(|(_, entry)| entry.active).count();
            debug!(active, "stored overrides read");
            overrides
        }
        StoredOverrides::MovedAside { path, reason } => {
            error!(path = %path.display(), "stored overrides: the file {reason}; moved aside, its overrides are not in force");
            Overrides::default()
        }
    }
}

/// An admin call whose override is stored, until the other processes have it in force.
struct WaitingCall {
    reply: oneshot::Sender<AdminOutcome>,
    deadline: Instant,
}

/// What the thread holds.
struct OverrideStore {
    directory: SharedDirectory,
    slot: Option<ProcessSlot>,
    /// What this process publishes in its slot.
    status: ProcessStatus,
    /// The directory's marker when it was last read.
    change_marker: Option<ChangeMarker>,
    /// Digest of the stored overrides that the aggregator knows.
    known_digest: u32,
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
            warn!("this process's slot: {error}");
        }
    }

    fn store(&mut self, overrides: &Overrides, reply: oneshot::Sender<AdminOutcome>) {
        let now = self.clock.now() + self.clock.wall_clock_offset();
        let MergedOverrides { merged, found } =
            match self.directory.merge_overrides(overrides, now - CANCELLED_RETENTION) {
                Ok(merged) => merged,
                Err(error) => {
                    error!("overrides cannot be stored: {error}; they are in force in this process only");
                    let _ = reply.send(AdminOutcome::Accepted);
                    return;
                }
            };
        if let StoredOverrides::MovedAside { .. } = found {
            overrides_of(found);
        }
        // These are in force here already: the aggregator gave them.
        if merged == *overrides {
            self.known_digest = snapshot::digest(&merged);
            self.status.overrides_digest = self.known_digest;
            self.publish_status();
        }
        self.waiting_calls.push(WaitingCall { reply, deadline: Instant::now() + SIBLINGS_TIMEOUT });
    }

    /// Checks for other processes and for overrides that were given to them.
    fn poll(&mut self) -> Result<(), AggregatorStopped> {
        let change_marker = self.directory.change_marker();
        let has_changed = change_marker != self.change_marker;
        if !has_changed && self.siblings.others == 0 && self.waiting_calls.is_empty() {
            return Ok(());
        }
        let siblings = self.directory.siblings(self.slot.as_ref().map(ProcessSlot::number));
        self.update_siblings(summary(&siblings))?;
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
        let overrides = overrides_of(stored);
        let digest = snapshot::digest(&overrides);
        if digest == self.known_digest {
            return Ok(());
        }
        self.known_digest = digest;
        self.events.blocking_send(Event::OverridesLoaded(overrides, digest))
    }

    /// Answers the admin calls whose overrides are in force everywhere, or that have waited long enough.
    fn answer_calls(&mut self, siblings: &[Sibling]) {
        let in_force_everywhere = self.status.overrides_digest == self.known_digest
            && siblings.iter().all(|sibling| self.has_known_overrides(sibling));
        let now = Instant::now();
        for call in std::mem::take(&mut self.waiting_calls) {
            if in_force_everywhere || call.deadline <= now {
                let _ = call.reply.send(AdminOutcome::Accepted);
            } else {
                self.waiting_calls.push(call);
            }
        }
    }

    fn has_known_overrides(&self, sibling: &Sibling) -> bool {
        sibling.status.as_ref().is_some_and(|status| status.overrides_digest == self.known_digest)
    }
}
