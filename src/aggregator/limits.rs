//! Limits on the number of open connections.

/// File descriptors reserved for listeners, discovery and files.
const RESERVED_DESCRIPTORS: usize = 32;

/// Limits on open connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of connections to leaf servers.
    pub leaf_connections: usize,
    /// Number of client connections above which idle ones are closed.
    pub client_connections: usize,
    /// Maximum number of client connections that are idle after an answer.
    pub idle_client_connections: usize,
}

impl Limits {
    /// Divides the file descriptors that the process may open: a quarter for leaf servers, a fixed reserve, and nine
    /// tenths of the rest for clients. The remaining tenth allows for connections that are being closed. Idle clients
    /// may use a sixth of all descriptors; otherwise clients that send a single request and keep the connection would
    /// leave no capacity for new ones.
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

    /// The limits for each process of an aggregator that consists of several processes.
    pub fn divided_among(self, processes: usize) -> Self {
        let per_process = |total: usize| (total / processes.max(1)).max(1);
        Limits {
            leaf_connections: per_process(self.leaf_connections),
            client_connections: per_process(self.client_connections),
            idle_client_connections: per_process(self.idle_client_connections),
        }
    }

    /// Maximum number of client connections open at once, including those that are being closed. Above
    /// `client_connections`, so that a further connection is accepted and an idle one closed for it.
    pub fn max_client_connections(self) -> usize {
        self.client_connections + (self.client_connections / 9).max(1)
    }
}
