//! Starts the ledger's thread and passes entries to it. In strict mode replies wait here until their entry is durable,
//! or for a bounded time. The effect dispatcher owns it.

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

/// How long the program's end waits for the thread to write what it holds.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);
/// How often it checks that.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A reply on its way to a client.
pub(super) struct PendingReply {
    pub client: ClientId,
    pub reply: Reply,
    /// The connection ends after it.
    pub close: bool,
}

/// A reply that waits for its entry.
struct HeldReply {
    entry_number: u64,
    due: Millis,
    reply: PendingReply,
}

/// The event loop's end of the ledger.
pub(super) struct LedgerWriter {
    entries: LedgerHandle,
    thread: JoinHandle<()>,
    clock: Clock,
    /// How long a reply waits for its entry at most; none where it does not wait.
    max_reply_wait: Option<Millis>,
    /// The last entry known to be durable.
    durable_entry: u64,
    /// The entry of each client whose reply is yet to come.
    entry_numbers: HashMap<ClientId, u64>,
    /// In the order of their entries, and of their due times.
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
            torn = recovery.torn,
            exports_finished = recovery.finished,
            "ledger opened"
        );
        let (entries, intake) = queue();
        let commit_interval =
            if settings.max_answer_wait.is_some() { Duration::ZERO } else { settings.commit_interval };
        let on_event = move |event: LedgerEvent| {
            log_event(&event);
            forward_event(&events, event);
        };
        let writer = Writer::new(store, commit_interval, &settings.options, on_event);
        let run = move || drop(writer.run(intake, unix_now));
        let thread = thread::Builder::new().name("ledger".to_owned()).spawn(run)?;
        Ok(LedgerWriter {
            entries,
            thread,
            clock,
            max_reply_wait: settings.max_answer_wait.map(|wait| wait.as_secs_f64() * 1e3),
            durable_entry: 0,
            entry_numbers: HashMap::new(),
            held_replies: VecDeque::new(),
        })
    }

    /// Records the end of a client's query; its reply follows.
    pub fn record(&mut self, client: ClientId, mut entry: Entry) {
        entry.at += self.clock.wall_clock_offset() as i64;
        let number = self.entries.enqueue(entry);
        if self.max_reply_wait.is_some() {
            self.entry_numbers.insert(client, number);
        }
    }

    /// Holds a reply that must wait for its entry; gives back one that need not.
    pub fn hold(&mut self, reply: PendingReply) -> Option<PendingReply> {
        let entry_number = self.entry_numbers.remove(&reply.client);
        let Some(entry_number) = entry_number.filter(|number| *number > self.durable_entry) else {
            return Some(reply);
        };
        let Some(max_wait) = self.max_reply_wait else { return Some(reply) };
        let due = self.clock.now() + max_wait;
        self.held_replies.push_back(HeldReply { entry_number, due, reply });
        None
    }

    /// Takes note of an event of the ledger's thread.
    pub fn record_event(&mut self, event: &LedgerEvent) {
        if let LedgerEvent::Durable(number) = event {
            self.durable_entry = self.durable_entry.max(*number);
        }
    }

    /// When the oldest held reply has waited long enough.
    pub fn next_due(&self) -> Option<Millis> {
        self.held_replies.front().map(|held| held.due)
    }

    /// The replies that need not wait any longer.
    pub fn release(&mut self, now: Millis) -> Vec<PendingReply> {
        let mut released = Vec::new();
        while let Some(oldest) = self.held_replies.pop_front() {
            let is_durable = oldest.entry_number <= self.durable_entry;
            if !is_durable && oldest.due > now {
                self.held_replies.push_front(oldest);
                break;
            }
            if !is_durable {
                warn!(entry = oldest.entry_number, "an answer went out before its ledger entry was durable");
            }
            released.push(oldest.reply);
        }
        released
    }

    /// Lets the thread write what it holds, for [`SHUTDOWN_TIMEOUT`] at most.
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
        LedgerEvent::WriteFailed(problem) => error!(problem, "ledger fails; answers go on, entries wait"),
        LedgerEvent::Recovered => info!("ledger works again"),
        LedgerEvent::EntriesLost(gap) => {
            error!(entries = gap.entries, from = gap.from, to = gap.to, reason = gap.reason, "ledger gap");
        }
        LedgerEvent::PeriodClosed(period) => info!(period, "period closed"),
        LedgerEvent::ExportFinished(name) => info!(name, "period exported"),
    }
}

/// Passes an event to the event loop, which may have ended. A `Durable` that finds the queue full is dropped: the next
/// commit covers it.
fn forward_event(events: &EventSender, event: LedgerEvent) {
    match event {
        LedgerEvent::Durable(_) => events.try_send_ledger(event),
        event => {
            let _ = events.blocking_send_ledger(event);
        }
    }
}
