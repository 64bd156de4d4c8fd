//! The bounded queue between the event loop and the ledger's thread.

use super::super::record::{Entry, Record};
use super::lost::LostEntries;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::time::Instant;

/// Capacity of the queue, in records.
const QUEUE_RECORDS: usize = 65_536;
/// The reason of gaps that a full queue causes.
const QUEUE_FULL: &str = "entries came faster than they could be kept";

/// A record and the number of the entry with which it was enqueued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NumberedRecord {
    /// Counted from 1 by [`LedgerHandle::enqueue`].
    pub number: u64,
    /// An entry, or a gap for entries that did not fit.
    pub record: Record,
}

/// The end of the queue where the event loop puts entries. Dropping it ends the ledger's thread.
pub struct LedgerHandle {
    sender: SyncSender<NumberedRecord>,
    /// The number of the newest entry.
    newest: u64,
    lost: LostEntries,
}

/// The end of the queue where the ledger's thread takes entries.
pub struct QueueReceiver {
    receiver: Receiver<NumberedRecord>,
}

/// What came before a deadline.
pub(super) enum Received {
    Record(NumberedRecord),
    /// The deadline passed.
    Nothing,
    /// The queue is empty and its [`LedgerHandle`] was dropped.
    Disconnected,
}

/// A queue from the event loop to the ledger's thread.
pub fn queue() -> (LedgerHandle, QueueReceiver) {
    let (sender, receiver) = sync_channel(QUEUE_RECORDS);
    let handle = LedgerHandle { sender, newest: 0, lost: LostEntries::default() };
    (handle, QueueReceiver { receiver })
}

impl LedgerHandle {
    /// Enqueues an entry and returns its number, without waiting. If the queue is full the entry is lost; a gap that
    /// says so goes ahead of the next entry that fits.
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
    /// The next record, waiting for it until a deadline.
    pub(super) fn receive(&self, deadline: Instant) -> Received {
        let wait = deadline.saturating_duration_since(Instant::now());
        match self.receiver.recv_timeout(wait) {
            Ok(record) => Received::Record(record),
            Err(RecvTimeoutError::Timeout) => Received::Nothing,
            Err(RecvTimeoutError::Disconnected) => Received::Disconnected,
        }
    }

    /// The next record, if there is one.
    pub(super) fn try_receive(&self) -> Option<NumberedRecord> {
        self.receiver.try_recv().ok()
    }
}
