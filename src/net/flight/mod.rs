//! Arrow Flight on both sides: gateways that pull an answer as a stream, and leaf servers that answer a part as one.

mod answer;
mod http2_channel;
mod leaf_call;
pub(super) mod leaf_client;
mod observed_socket;
pub(super) mod server;
mod ticket;
mod write_progress;

/// Host and port of a leaf server that answers by Flight; none where its address is no Flight location.
pub(super) fn location(address: &str) -> Option<String> {
    let authority = address.strip_prefix("grpc+tcp://").or_else(|| address.strip_prefix("grpc://"))?;
    Some(authority.to_owned())
}
