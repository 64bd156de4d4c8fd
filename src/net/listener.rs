//! Binds the client and admin listeners with their socket options.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};

/// Connections that the kernel queues for a listener; tokio's own default.
const ACCEPT_BACKLOG_CONNECTIONS: u32 = 1024;

/// Pause after a failed accept, against spinning while descriptors are short.
pub(super) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Whether a second process may listen on the same address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AddressSharing {
    /// Another process of the same aggregator may listen beside this one, for a hot restart.
    SharedWithSiblings,
    /// A second process fails to bind, as one started by mistake must.
    Exclusive,
}

/// Binds a listener.
///
/// # Errors
/// The address cannot be bound.
pub(super) fn bind(address: SocketAddr, sharing: AddressSharing) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    if sharing == AddressSharing::SharedWithSiblings {
        socket.set_reuseport(true)?;
    }
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG_CONNECTIONS)
}
