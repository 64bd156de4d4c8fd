//! Arrow Flight on both sides: gateways that pull an answer as a stream, and nodes that answer a part as one.

pub(super) mod front;
pub(super) mod node;
mod socket;

/// The host and port of a node that answers by Flight, where its address is a Flight location.
pub(super) fn location(address: &str) -> Option<String> {
    let rest = address.strip_prefix("grpc+tcp://").or_else(|| address.strip_prefix("grpc://"))?;
    Some(rest.to_owned())
}
