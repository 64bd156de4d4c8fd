//! How many connections the process may hold open.

/// Descriptors kept for everything but clients and leaf servers: listeners, Flight gateways, discovery and files.
const RESERVED_DESCRIPTORS: usize = 32;

/// Bounds on open connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections to leaf servers.
    pub leaf_connections: usize,
    /// Client connections beyond which idle ones are closed.
    pub client_connections: usize,
    /// Client connections that may stand idle after an answer.
    pub idle_client_connections: usize,
}

impl Limits {
    /// Divides the descriptors that the process may open: a quarter for leaf servers, a few in reserve, and of the
    /// rest nine tenths for clients; the last tenth allows for connections that are being closed. Idle clients may
    /// take a sixth of all, or clients that ask only once would leave no capacity for the next ones.
    pub fn from_max_descriptors(descriptors: usize) -> Self {
        let leaf_connections = descriptors / 4;
        let client_connections =
            (descriptors - leaf_connections).saturating_sub(RESERVED_DESCRIPTORS) * 9 / 10;
        let idle_client_connections = descriptors / 6;
        Limits {
            leaf_connections: leaf_connections.max(1),
            client_connections: client_connections.max(1),
            idle_client_connections: idle_client_connections.max(1),
        }
    }

    /// The limits of each of several processes that together are one aggregator.
    pub fn divided_among(self, processes: usize) -> Self {
        let per_process = |total: usize| (total / processes.max(1)).max(1);
        Limits {
            leaf_connections: per_process(self.leaf_connections),
            client_connections: per_process(self.client_connections),
            idle_client_connections: per_process(self.idle_client_connections),
        }
    }

    /// Client connections that may be open at once, including those that are being closed.
    pub fn max_client_connections(self) -> usize {
        self.client_connections + self.client_connections / 9
    }
}
