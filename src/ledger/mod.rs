//! The tenant ledger: one entry for each query with its final answer, durable through crashes and billed exactly once.
//!
//! To those who bill it guarantees that a record never changes: a correction is a record of its own, a closed period
//! stays closed, and an export has one name and one content. To the event loop it guarantees that no answer waits for
//! the disk, except in strict mode and then for a bounded time. Entries that could not be stored are themselves
//! recorded, as a [`Gap`] with its bounds.
//!
//! [`Book`] is the half that decides: it takes records and answers with totals and periods, without clock or file.
//! [`journal`] is the binary format of the records. [`store`] keeps them on a [`Disk`], which tests replace by one with
//! faults. [`Writer`] runs a store on a thread of its own. [`Request`] is how the command line reaches a ledger that a
//! running aggregator owns.

pub mod disk;
pub mod journal;
pub mod store;

mod accounts;
mod book;
mod error;
mod export;
mod export_format;
mod metrics;
mod options;
mod period;
mod price;
mod reconcile;
mod record;
mod request;
mod writer;

pub use accounts::{Account, BillingLine, Totals, Usage};
pub use book::{BilledCorrection, Book, BookPosition, ExportRecord, PeriodState, RecordedGap, SequenceRange};
pub use disk::{Disk, RealDisk};
pub use error::LedgerError;
pub use export::{Export, Manifest, totals_to_json};
pub use export_format::{Format, RenderError, render};
pub use metrics::TenantMetrics;
pub use options::{Options, Recovery};
pub use period::{Calendar, ParsePeriodError, Period, UnknownTimeZone};
pub use price::{ClassPrices, PriceList};
pub use reconcile::{Ledger, Reconciliation, reconcile};
pub use record::{Correction, Entry, Gap, Outcome, QuotaShare, Record};
pub use request::{Reply, Request, RequestError, RequestOutcome, reply_file_name, request_file_name};
pub use store::{Store, read_all};
pub use writer::{LedgerEvent, LedgerHandle, NumberedRecord, QueueReceiver, Writer, queue};

/// Unix time in milliseconds.
pub type UnixMs = i64;
