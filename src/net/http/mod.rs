//! The HTTP/1.1 server for clients: reads requests, passes them to the aggregator as events, and writes its replies.
//! Malformed requests are rejected here; every other decision is the aggregator's.

mod listener;
mod request;
mod request_error;
mod request_head;
mod response;
mod session;

pub(super) use listener::HttpSessions;
