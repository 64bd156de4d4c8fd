//! The HTTP/1.1 server for clients: reads requests, passes them to the aggregator as events, and writes its replies.
//! It rejects what is no valid request by itself; it decides nothing else.

mod listener;
mod request;
mod response;
mod session;

pub(super) use listener::{ClientCapacity, accept_clients};
