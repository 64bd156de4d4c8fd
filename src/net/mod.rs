//! I/O layer of the aggregator: sockets, tasks and threads. The submodules translate received bytes into [`Event`]s of
//! the sans-IO aggregator and its [`Effect`]s into bytes; they make no decisions about queries.
//!
//! One task, the event loop, owns the aggregator's state. Each connection has its own task, so that a slow one does not
//! block the others; blocking disk I/O runs on threads. `cli` calls [`serve`] and [`serve_on`].
//!
//! [`Event`]: crate::aggregator::Event
//! [`Effect`]: crate::aggregator::Effect

mod admin;
mod chunked;
mod client_end;
mod client_listener;
mod discard;
mod discovery_watch;
mod effects;
mod event_loop;
mod flight;
mod hot_restart;
mod http;
mod inventory_watch;
mod leaf_connection;
mod ledger_writer;
mod lingering_close;
mod listener;
mod memory;
mod messages;
mod metrics;
mod query_body;
mod read_buffer;
mod server;
mod shared_request_ids;

pub use inventory_watch::confirmation_path;
pub use server::{serve, serve_on};
