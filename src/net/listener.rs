//! Binds listening sockets with their socket options.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};

/// Length of a listener's accept queue in the kernel; same as tokio's default.
const ACCEPT_BACKLOG_CONNECTIONS: u32 = 1024;

/// Delay after a failed accept, to avoid a busy loop while the process is out of file descriptors.
pub(super) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Whether a second process may listen on the same address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AddressSharing {
    /// Sibling processes of the same aggregator may listen on the address too, as a hot restart requires.
    SharedWithSiblings,
    /// Only one process may listen, so that a second one started by mistake fails to bind.
    Exclusive,
}

/// Binds a TCP listener to the address.
///
/// # Errors
/// The socket cannot be created, bound or put into listening state.
pub(super) fn bind(address: SocketAddr, sharing: AddressSharing) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    if sharing == AddressSharing::SharedWithSiblings {
        socket.set_reuseport(true)?;
    }
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG_CONNECTIONS)
}
