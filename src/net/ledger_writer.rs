//! Starts the ledger's thread and sends entries to it. In strict mode, replies are held here until their entries are
//! durable, for a bounded time. The effect dispatcher owns the [`LedgerWriter`].

use super::messages::EventSender;
use crate::aggregator::{ClientId, Reply};
use crate::clock::{Clock, Millis};
use crate::config::operator;
use crate::ledger::{Entry, LedgerEvent, LedgerHandle, RealDisk, Store, Writer, queue};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tracing::{error, info, warn};

/// Maximum time for which the shutdown waits until the ledger's thread has written its entries.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which the shutdown checks whether the thread has ended.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A reply that has not been sent to its client yet.
pub(super) struct PendingReply {
    pub client: ClientId,
    pub reply: Reply,
    /// Whether the connection is closed after the reply.
    pub close: bool,
}

/// A reply that waits until its ledger entry is durable.
struct HeldReply {
    entry_number: u64,
    deadline: Millis,
    reply: PendingReply,
}

/// The event loop's handle to the ledger's thread.
pub(super) struct LedgerWriter {
    entries: LedgerHandle,
    thread: JoinHandle<()>,
    clock: Clock,
    /// Maximum time for which a reply waits for its entry; `None` if replies do not wait.
    max_reply_wait: Option<Millis>,
    /// No reply waits longer than until then; infinite unless the process is shutting down.
    reply_wait_limit: Millis,
    /// Number of the last entry known to be durable.
    durable_entry: u64,
    /// Number of the last entry of each client whose reply is still to come.
    entry_numbers: HashMap<ClientId, u64>,
    /// In the order of their entries, which is also that of their deadlines.
    held_replies: VecDeque<HeldReply>,
}

impl LedgerWriter {
    /// Opens the ledger and starts its thread.
    ///
    /// # Errors
    /// The ledger cannot be opened, or the thread cannot be started.
    pub fn start(
        settings: operator::Ledger,
        aggregator: &str,
        events: EventSender,
        clock: Clock,
    ) -> io::Result<Self> {
        let wall_clock = clock.clone();
        let unix_now = move || (wall_clock.now() + wall_clock.wall_clock_offset()) as i64;
        let directory = settings.dir.display().to_string();
        let disk = RealDisk::own(&settings.dir)?;
        let (store, recovery) =
            Store::open(disk, settings.calendar, settings.options.clone(), aggregator, unix_now())
                .map_err(|error| io::Error::other(format!("ledger {directory}: {error}")))?;
        info!(
            dir = directory,
            records = recovery.records,
            torn = recovery.torn_bytes,
            exports_finished = recovery.completed_exports,
            "ledger opened"
        );
        let (entries, receiver) = queue();
        let commit_interval =
            if settings.max_answer_wait.is_some() { Duration::ZERO } else { settings.commit_interval };
        let on_event = move |event: LedgerEvent| {
            log_event(&event);
            forward_event(&events, event);
        };
        let writer = Writer::new(store, commit_interval, &settings.options, on_event);
        let run = move || drop(writer.run(receiver, unix_now));
        let thread = thread::Builder::new().name("ledger".to_owned()).spawn(run)?;
        Ok(LedgerWriter {
            entries,
            thread,
            clock,
            max_reply_wait: settings.max_answer_wait.map(|wait| wait.as_secs_f64() * 1e3),
            reply_wait_limit: f64::INFINITY,
            durable_entry: 0,
            entry_numbers: HashMap::new(),
            held_replies: VecDeque::new(),
        })
    }

    /// Sends the entry of a finished query to the ledger's thread; the client's reply follows.
    pub fn record(&mut self, client: ClientId, mut entry: Entry) {
        entry.at += self.clock.wall_clock_offset() as i64;
        let number = self.entries.enqueue(entry);
        if self.max_reply_wait.is_some() {
            self.entry_numbers.insert(client, number);
        }
    }

    /// Holds a reply that must wait for its entry; returns one that need not wait.
    pub fn hold(&mut self, reply: PendingReply) -> Option<PendingReply> {
        let entry_number = self.entry_numbers.remove(&reply.client);
        let Some(entry_number) = entry_number.filter(|number| *number > self.durable_entry) else {
            return Some(reply);
        };
        let Some(max_wait) = self.max_reply_wait else { return Some(reply) };
        let deadline = (self.clock.now() + max_wait).min(self.reply_wait_limit);
        self.held_replies.push_back(HeldReply { entry_number, deadline, reply });
        None
    }

    /// Limits the waits of all replies, also of those that are held already.
    pub fn limit_reply_waits(&mut self, until: Millis) {
        self.reply_wait_limit = until;
        for held in &mut self.held_replies {
            held.deadline = held.deadline.min(until);
        }
    }

    /// Records which entries are durable, from an event of the ledger's thread.
    pub fn update_durable_entry(&mut self, event: &LedgerEvent) {
        if let LedgerEvent::Durable(number) = event {
            self.durable_entry = self.durable_entry.max(*number);
        }
    }

    /// Deadline of the oldest held reply.
    pub fn next_deadline(&self) -> Option<Millis> {
        self.held_replies.front().map(|held| held.deadline)
    }

    /// Removes and returns the held replies whose entries are durable or whose deadlines have passed.
    pub fn release(&mut self, now: Millis) -> Vec<PendingReply> {
        let mut released = Vec::new();
        while let Some(oldest) = self.held_replies.pop_front() {
            let is_durable = oldest.entry_number <= self.durable_entry;
            if !is_durable && oldest.deadline > now {
                self.held_replies.push_front(oldest);
                break;
            }
            if !is_durable {
                warn!(entry = oldest.entry_number, "reply sent before its ledger entry was durable");
            }
            released.push(oldest.reply);
        }
        released
    }

    /// Waits until the thread has written its entries, for at most [`SHUTDOWN_TIMEOUT`].
    pub fn finish(self) {
        drop(self.entries);
        let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
        while !self.thread.is_finished() && Instant::now() < deadline {
            thread::sleep(SHUTDOWN_POLL_INTERVAL);
        }
    }
}

fn log_event(event: &LedgerEvent) {
    match event {
        LedgerEvent::Durable(_) => {}
        LedgerEvent::WriteFailed(problem) => error!(problem, "ledger failed; still serving, entries queued"),
        LedgerEvent::Recovered => info!("ledger writes succeed again"),
        LedgerEvent::EntriesLost(gap) => {
            error!(
                entries = gap.entries,
                from = gap.from,
                to = gap.to,
                reason = gap.reason,
                "ledger entries lost"
            );
        }
        LedgerEvent::PeriodClosed(period) => info!(period, "billing period closed"),
        LedgerEvent::SegmentsRemoved(segments) => info!(segments, "ledger segments removed"),
        LedgerEvent::ExportFinished(name) => info!(name, "billing period exported"),
    }
}

/// Sends an event to the event loop, which may have ended. A `Durable` event is dropped if the queue is full: the event of
/// the next commit covers it.
fn forward_event(events: &EventSender, event: LedgerEvent) {
    match event {
        LedgerEvent::Durable(_) => events.try_send_ledger(event),
        event => {
            let _ = events.blocking_send_ledger(event);
        }
    }
}
