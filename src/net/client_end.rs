//! Why client connections end: the reasons, their counters for `/metrics`, and the log line.

use crate::aggregator::ClientId;
use std::cell::Cell;
use std::rc::Rc;
use tracing::debug;

/// Why a client's HTTP connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientEnd {
    /// The client closed it, or it failed.
    Disconnected,
    /// No request came within the idle timeout, or the aggregator closed it while it was idle.
    Idle,
    /// The client or the aggregator asked for the end after a response.
    Finished,
    /// A request was malformed.
    Malformed,
    /// A request was not complete in time.
    RequestTimeout,
    /// There was no memory for a request.
    MemoryExhausted,
    /// The client pipelined more requests than are kept.
    PipelineTooLong,
    /// The client did not read a response in time.
    UnreadResponse,
}

impl ClientEnd {
    const ALL: [ClientEnd; 8] = [
        ClientEnd::Disconnected,
        ClientEnd::Idle,
        ClientEnd::Finished,
        ClientEnd::Malformed,
        ClientEnd::RequestTimeout,
        ClientEnd::MemoryExhausted,
        ClientEnd::PipelineTooLong,
        ClientEnd::UnreadResponse,
    ];

    /// The name in metrics and in the log.
    const fn label(self) -> &'static str {
        match self {
            ClientEnd::Disconnected => "disconnected",
            ClientEnd::Idle => "idle",
            ClientEnd::Finished => "finished",
            ClientEnd::Malformed => "malformed",
            ClientEnd::RequestTimeout => "request timeout",
            ClientEnd::MemoryExhausted => "memory exhausted",
            ClientEnd::PipelineTooLong => "pipeline too long",
            ClientEnd::UnreadResponse => "unread response",
        }
    }
}

/// Numbers of ended connections by reason. Clones share the numbers.
#[derive(Clone, Default)]
pub(super) struct ClientEndCounters(Rc<[Cell<u64>; ClientEnd::ALL.len()]>);

impl ClientEndCounters {
    /// Counts and logs the end of a client's connection.
    pub fn record(&self, client: ClientId, end: ClientEnd) {
        debug!(client = client.0, reason = end.label(), "client connection ended");
        let count = &self.0[end as usize];
        count.set(count.get() + 1);
    }

    /// The counters in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = "# HELP sailmux_client_ends Client connections over HTTP ended, by reason.\n\
                        # TYPE sailmux_client_ends counter\n"
            .to_owned();
        for end in ClientEnd::ALL {
            let count = self.0[end as usize].get();
            text += &format!("sailmux_client_ends{{reason=\"{}\"}} {count}\n", end.label());
        }
        text
    }
}
