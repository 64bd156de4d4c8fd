//! The bounded queue between the event loop and the ledger's thread.

use super::super::record::{Entry, Record};
use super::lost::LostEntries;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::time::Instant;

/// Capacity of the queue, in records.
const QUEUE_CAPACITY: usize = 65_536;
/// The stored reason of gaps caused by a full queue.
const QUEUE_FULL: &str = "entries came faster than they could be kept";

/// A record and the number under which it was enqueued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NumberedRecord {
    /// Entry number, counted from 1 by [`LedgerHandle::enqueue`]; a gap has the number of the entry that follows it.
    pub number: u64,
    /// An entry, or a gap for entries that did not fit into the queue.
    pub record: Record,
}

/// The sending end of the queue, used by the event loop. Dropping it ends the ledger's thread.
pub struct LedgerHandle {
    sender: SyncSender<NumberedRecord>,
    /// The number of the newest entry.
    newest: u64,
    lost: LostEntries,
}

/// The receiving end of the queue, used by the ledger's thread.
pub struct QueueReceiver {
    receiver: Receiver<NumberedRecord>,
}

/// The result of waiting for a record until a deadline.
pub(super) enum Received {
    Record(NumberedRecord),
    /// The deadline passed.
    TimedOut,
    /// The queue is empty and its [`LedgerHandle`] was dropped.
    Disconnected,
}

/// Creates the queue from the event loop to the ledger's thread.
pub fn queue() -> (LedgerHandle, QueueReceiver) {
    let (sender, receiver) = sync_channel(QUEUE_CAPACITY);
    let handle = LedgerHandle { sender, newest: 0, lost: LostEntries::default() };
    (handle, QueueReceiver { receiver })
}

impl LedgerHandle {
    /// Enqueues an entry without waiting and returns its number. If the queue is full, the entry is lost, and a gap is
    /// enqueued ahead of the next entry that fits.
    pub fn enqueue(&mut self, entry: Entry) -> u64 {
        self.newest += 1;
        let at = entry.at;
        if let Some(gap) = self.lost.gap()
            && self.try_send(Record::Gap(gap.clone()))
        {
            self.lost.take();
        }
        let is_sent = self.lost.is_empty() && self.try_send(Record::Entry(entry));
        if !is_sent {
            self.lost.add_entry(at, QUEUE_FULL);
        }
        self.newest
    }

    fn try_send(&self, record: Record) -> bool {
        self.sender.try_send(NumberedRecord { number: self.newest, record }).is_ok()
    }
}

impl QueueReceiver {
    /// Waits for the next record until a deadline.
    pub(super) fn receive(&self, deadline: Instant) -> Received {
        let wait = deadline.saturating_duration_since(Instant::now());
        match self.receiver.recv_timeout(wait) {
            Ok(record) => Received::Record(record),
            Err(RecvTimeoutError::Timeout) => Received::TimedOut,
            Err(RecvTimeoutError::Disconnected) => Received::Disconnected,
        }
    }

    /// Returns the next record if there is one.
    pub(super) fn try_receive(&self) -> Option<NumberedRecord> {
        self.receiver.try_recv().ok()
    }
}
