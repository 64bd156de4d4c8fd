//! A socket that owns an observer while it is open, and passes the results of writes to it.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Observes a socket's writes.
pub(super) trait WriteObserver: Unpin {
    /// Called after each write attempt with its result.
    fn on_write(&self, result: &Poll<io::Result<usize>>);
}

/// A socket and its observer.
pub(super) struct ObservedSocket<O> {
    pub stream: TcpStream,
    pub observer: O,
}

impl<O: WriteObserver> AsyncRead for ObservedSocket<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<O: WriteObserver> AsyncWrite for ObservedSocket<O> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.observer.on_write(&result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
