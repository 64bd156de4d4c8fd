//! Limits on open connections and on memory, as shares of what the platform allows the process.

/// File descriptors reserved for listeners, discovery and files.
const RESERVED_DESCRIPTORS: usize = 32;

/// Share of the memory limit that data of peers may use: one part in this many. The rest is for the program, the state of
/// connections and queries, the endpoint list, and the allocator's overhead.
const PEER_DATA_DIVISOR: usize = 8;

/// Memory for the connection of a gateway: the buffers of HTTP/2 and a few calls.
const GATEWAY_CONNECTION_BYTES: usize = 64 << 10;
/// Share of the memory limit for the connections of gateways: one part in this many.
const GATEWAY_DIVISOR: usize = 8;

/// Limits on open connections and memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of connections to leaf servers.
    pub leaf_connections: usize,
    /// Number of client connections above which idle ones are closed.
    pub client_connections: usize,
    /// Number of gateways among them above which idle ones are closed.
    pub gateway_connections: usize,
    /// Maximum number of client connections that are idle after an answer.
    pub idle_client_connections: usize,
    /// Maximum size of the data that peers make the process hold, in bytes.
    pub peer_data_bytes: usize,
}

impl Limits {
    /// Divides the file descriptors that the process may open: a quarter for leaf servers, a fixed reserve, and nine
    /// tenths of the rest for clients. The remaining tenth allows for connections that are being closed. Idle clients
    /// may use a sixth of all descriptors; otherwise clients that send a single request and keep the connection would
    /// leave no capacity for new ones. An eighth of the memory is for data of peers.
    pub fn new(descriptors: usize, memory_bytes: usize) -> Self {
        let leaf_connections = descriptors / 4;
        let client_connections =
            (descriptors - leaf_connections).saturating_sub(RESERVED_DESCRIPTORS) * 9 / 10;
        let idle_client_connections = descriptors / 6;
        let gateway_connections = memory_bytes / GATEWAY_DIVISOR / GATEWAY_CONNECTION_BYTES;
        Limits {
            leaf_connections: leaf_connections.max(1),
            client_connections: client_connections.max(1),
            gateway_connections: gateway_connections.clamp(1, client_connections.max(1)),
            idle_client_connections: idle_client_connections.max(1),
            peer_data_bytes: memory_bytes / PEER_DATA_DIVISOR,
        }
    }

    /// The limits for each process of an aggregator that consists of several processes.
    pub fn divided_among(self, processes: usize) -> Self {
        let per_process = |total: usize| (total / processes.max(1)).max(1);
        Limits {
            leaf_connections: per_process(self.leaf_connections),
            client_connections: per_process(self.client_connections),
            gateway_connections: per_process(self.gateway_connections),
            idle_client_connections: per_process(self.idle_client_connections),
            peer_data_bytes: per_process(self.peer_data_bytes),
        }
    }

    /// Maximum number of client connections open at once, including those that are being closed. Above
    /// `client_connections`, so that a further connection is accepted and an idle one closed for it.
    pub fn max_client_connections(self) -> usize {
        with_margin(self.client_connections)
    }

    /// Maximum number of gateways' connections open at once, including those that are being closed.
    pub fn max_gateway_connections(self) -> usize {
        with_margin(self.gateway_connections)
    }
}

/// A limit on connections with room for those that are being closed.
fn with_margin(connections: usize) -> usize {
    connections + (connections / 9).max(1)
}
