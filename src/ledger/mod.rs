//! The tenant ledger: one entry for each query with its final answer, durable across crashes and billed exactly once.
//!
//! Billing systems can rely on records that never change: a correction is a separate record, a closed period stays
//! closed, and the content of an export with a given name is always the same. The event loop can rely on answers that
//! never wait for the disk, except in strict mode and then for a bounded time. Entries that could not be stored are
//! recorded as a [`Gap`] with their number and time range.
//!
//! [`Book`] holds the state: it applies records and computes totals and periods, without a clock or I/O. [`journal`] is
//! the binary format of the records. [`store`] writes them to a [`Disk`], which tests replace by one that injects
//! faults. [`Writer`] runs a store on its own thread. A [`Request`] is how the command line accesses a ledger that is
//! owned by a running aggregator.

pub mod disk;
pub mod journal;
pub mod store;

mod accounts;
mod arrow_file;
mod book;
mod error;
mod export;
mod export_format;
mod metrics;
mod options;
mod output_file;
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
pub use export::totals_to_json;
pub use export_format::{Format, RenderError};
pub use metrics::TenantMetrics;
pub use options::{Options, Recovery};
pub use period::{Calendar, ParsePeriodError, Period, UnknownTimeZone};
pub use price::{ClassPrices, PriceList};
pub use reconcile::{EntrySource, Ledger, Reconciliation, reconcile};
pub use record::{Correction, Entry, Gap, Outcome, QuotaShare, Record};
pub use request::{Reply, Request, RequestError, RequestOutcome, reply_file_name, request_file_name};
pub use store::{Store, read_all};
pub use writer::{LedgerEvent, LedgerHandle, NumberedRecord, QueueReceiver, Writer, queue};

/// Unix time in milliseconds.
pub type UnixMs = i64;
