//! The sockets and threads of the aggregator. Each part of this module turns bytes into [`Event`]s of the
//! sans-IO aggregator, or its [`Effect`]s into bytes; none of them takes a decision about a query.
//!
//! One task, the event loop, holds the aggregator's state. Each connection has a task of its own, so that none can
//! hold up the others; work that waits for a disk runs on threads. `cli` calls [`serve`] and [`serve_on`].
//!
//! [`Event`]: crate::aggregator::Event
//! [`Effect`]: crate::aggregator::Effect

mod admin;
mod chunked;
mod discovery_watch;
mod effects;
mod event_loop;
mod flight;
mod hot_restart;
mod http;
mod inventory_watch;
mod leaf_connection;
mod ledger_writer;
mod listener;
mod messages;
mod query_body;
mod read_buffer;
mod server;

pub use inventory_watch::confirmation_path;
pub use server::{serve, serve_on};
