//! A socket that carries something along for as long as it is open, and lets it see what becomes of writes.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tonic::transport::server::Connected;

/// What a socket carries.
pub(super) trait Carried: Unpin {
    /// A write has come to this.
    fn written(&self, _poll: &Poll<io::Result<usize>>) {}
}

/// A socket and what it carries.
pub(super) struct Socket<C> {
    pub stream: TcpStream,
    pub carried: C,
}

impl<C: Carried> Connected for Socket<C> {
    type ConnectInfo = ();

    fn connect_info(&self) {}
}

impl<C: Carried> AsyncRead for Socket<C> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<C: Carried> AsyncWrite for Socket<C> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.carried.written(&poll);
        poll
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
