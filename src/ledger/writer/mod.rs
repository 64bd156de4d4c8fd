//! The ledger's thread. It receives entries from a bounded queue, writes them in groups, and reports them as durable
//! once they are synced. The event loop that enqueues them never waits for the disk: entries that cannot be stored in
//! time are recorded as a gap.

mod event;
mod lost;
mod queue;
mod timers;

pub use event::LedgerEvent;
pub use queue::{LedgerHandle, NumberedRecord, QueueReceiver, queue};

use super::UnixMs;
use super::disk::Disk;
use super::error::LedgerError;
use super::export_format::Format;
use super::options::Options;
use super::record::Record;
use super::store::Store;
use lost::LostEntries;
use queue::Received;
use std::collections::VecDeque;
use std::time::{Duration, Instant};
use timers::Timers;

/// Maximum number of records buffered while the disk fails; further entries are recorded as a gap.
const MAX_PENDING_RECORDS: usize = 65_536;
/// Maximum number of records per append.
const MAX_GROUP_RECORDS: usize = 4096;
/// Time between write attempts while the disk fails.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// The stored reason of gaps caused by a failing disk.
const DISK_FAILED: &str = "the disk failed for too long";

/// The state of the ledger's thread.
pub struct Writer<D, F> {
    store: Store<D>,
    /// Event handler, called on the ledger's thread.
    emit: F,
    /// Time between two commits, which limits what a crash can lose; zero commits each group immediately (strict mode).
    commit_interval: Duration,
    /// Time between a period's end and its closing, in milliseconds.
    grace_ms: UnixMs,
    /// The format in which periods are exported when they close; `None` exports on request only.
    export_format: Option<Format>,
    /// Records that are not yet known to be durable.
    pending: VecDeque<NumberedRecord>,
    /// Number of pending records, from the front, that were appended since the last commit.
    appended: usize,
    /// Lost entries that are not yet recorded.
    lost: LostEntries,
    /// Time of the last failed write; `None` while the disk works.
    failed_at: Option<Instant>,
    /// The number of the newest accepted record.
    newest: u64,
}

impl<D: Disk, F: FnMut(LedgerEvent)> Writer<D, F> {
    /// Creates a writer for an open ledger. With a `commit_interval` of zero, each group is committed immediately, as
    /// strict mode requires. `emit` is called on the thread that calls [`Writer::run`].
    pub fn new(store: Store<D>, commit_interval: Duration, options: &Options, emit: F) -> Self {
        Writer {
            store,
            emit,
            commit_interval,
            grace_ms: options.grace_ms,
            export_format: options.export_format,
            pending: VecDeque::new(),
            appended: 0,
            lost: LostEntries::default(),
            failed_at: None,
            newest: 0,
        }
    }

    /// Runs until the [`LedgerHandle`] is dropped, then commits the enqueued records and ends the run. `now` reads the
    /// wall clock.
    pub fn run(mut self, receiver: QueueReceiver, now: impl Fn() -> UnixMs) -> Store<D> {
        let mut timers = Timers::new();
        loop {
            let wake_at = timers.next_wake(self.failed_at.map(|failed_at| failed_at + RETRY_INTERVAL));
            match receiver.receive(wake_at) {
                Received::Record(record) => {
                    self.accept_all(record, &receiver);
                    timers.schedule_commit(self.commit_interval);
                }
                Received::TimedOut => {}
                Received::Disconnected => return self.finish(now()),
            }
            if self.is_flush_due(&timers) {
                timers.clear_commit();
                self.flush();
            }
            if timers.is_request_check_due() {
                timers.restart_request_check();
                self.check_requests(now());
            }
            if timers.is_period_check_due() && self.failed_at.is_none() {
                timers.restart_period_check();
                self.close_due_periods(now());
            }
        }
    }

    /// Accepts a record and all others in the queue, up to the limit of pending records.
    fn accept_all(&mut self, first: NumberedRecord, receiver: &QueueReceiver) {
        self.accept(first);
        while self.pending.len() < MAX_PENDING_RECORDS
            && let Some(next) = receiver.try_receive()
        {
            self.accept(next);
        }
    }

    /// Whether to write now: when a commit is due or, while the disk fails, when the retry interval has passed.
    fn is_flush_due(&self, timers: &Timers) -> bool {
        match self.failed_at {
            Some(failed_at) => failed_at.elapsed() >= RETRY_INTERVAL,
            None => timers.is_commit_due(),
        }
    }

    fn finish(mut self, now: UnixMs) -> Store<D> {
        self.flush();
        if let Err(error) = self.store.end_run(now) {
            self.report_failure(&error);
        }
        self.store
    }

    /// Buffers a record until it is durable; if the buffer is full, the record is lost.
    pub fn accept(&mut self, numbered: NumberedRecord) {
        self.newest = numbered.number;
        if self.pending.len() < MAX_PENDING_RECORDS {
            self.pending.push_back(numbered);
            return;
        }
        match numbered.record {
            Record::Entry(entry) => self.lost.add_entry(entry.at, DISK_FAILED),
            Record::Gap(gap) => self.lost.add_gap(&gap, DISK_FAILED),
            _ => {}
        }
    }

    /// Writes and commits all buffered records.
    pub fn flush(&mut self) {
        match self.try_flush() {
            Ok(()) => {
                if self.failed_at.take().is_some() {
                    (self.emit)(LedgerEvent::Recovered);
                }
                (self.emit)(LedgerEvent::Durable(self.newest));
            }
            Err(error) => {
                // It is unknown which records since the last commit were stored, so all of them are appended again.
                self.appended = 0;
                if self.failed_at.is_none() {
                    self.report_failure(&error);
                }
                self.failed_at = Some(Instant::now());
            }
        }
    }

    fn try_flush(&mut self) -> Result<(), LedgerError> {
        while self.appended < self.pending.len() {
            let unwritten = self.pending.iter().skip(self.appended).take(MAX_GROUP_RECORDS);
            let group: Vec<Record> = unwritten.map(|numbered| numbered.record.clone()).collect();
            self.store.append(&group)?;
            self.appended += group.len();
        }
        if let Some(gap) = self.lost.gap() {
            self.store.record_gap(gap.clone())?;
        }
        self.store.commit()?;
        for numbered in self.pending.drain(..) {
            if let Record::Gap(gap) = numbered.record {
                (self.emit)(LedgerEvent::EntriesLost(gap));
            }
        }
        if let Some(gap) = self.lost.take() {
            (self.emit)(LedgerEvent::EntriesLost(gap));
        }
        self.appended = 0;
        Ok(())
    }

    /// Processes the requests of operators unless the disk fails.
    fn check_requests(&mut self, now: UnixMs) {
        if self.failed_at.is_some() {
            return;
        }
        if let Err(error) = self.store.process_requests(now) {
            self.report_failure(&error);
        }
    }

    /// Closes the periods that are due, exports closed ones if so configured, and compacts the ledger.
    pub fn close_due_periods(&mut self, now: UnixMs) {
        if let Err(error) = self.close_and_export(now) {
            return self.report_failure(&error);
        }
        match self.store.compact() {
            Ok(0) => {}
            Ok(removed) => (self.emit)(LedgerEvent::SegmentsRemoved(removed)),
            Err(error) => self.report_failure(&error),
        }
    }

    fn close_and_export(&mut self, now: UnixMs) -> Result<(), LedgerError> {
        for period in self.store.book().due_periods(now, self.grace_ms) {
            self.store.close(period, now)?;
            (self.emit)(LedgerEvent::PeriodClosed(period.to_string()));
        }
        let Some(format) = self.export_format else { return Ok(()) };
        // Among them are periods whose export a crash has prevented, as it came directly after their closing.
        for period in self.store.book().unexported_closed_periods() {
            if let Some(export) = self.store.export(period, format, now)? {
                (self.emit)(LedgerEvent::ExportFinished(export.name));
            }
        }
        Ok(())
    }

    fn report_failure(&mut self, error: &LedgerError) {
        (self.emit)(LedgerEvent::WriteFailed(error.to_string()));
    }
}
