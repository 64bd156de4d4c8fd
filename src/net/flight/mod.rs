//! Arrow Flight on both sides: a server from which gateways fetch answers as streams, and a client for leaf servers
//! that return the answer to a part as a stream.

mod answer;
mod call_request;
mod call_tracker;
pub(super) mod gateway;
mod http2_channel;
mod leaf_call;
pub(super) mod leaf_client;
mod message_lengths;
mod observed_socket;
mod server;
mod ticket;
mod write_progress;

/// Returns host and port of a Flight leaf server, or `None` if the address is not a Flight location URI.
pub(super) fn location(address: &str) -> Option<String> {
    let authority = address.strip_prefix("grpc+tcp://").or_else(|| address.strip_prefix("grpc://"))?;
    Some(authority.to_owned())
}
