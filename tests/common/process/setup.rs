//! The setup of an aggregator: the endpoint list, the platform's configuration, and addresses.

use super::program::{Aggregator, scratch_dir};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::OnceLock;
use tokio::net::TcpSocket;

/// An endpoint of discovery's list.
#[derive(Clone)]
pub struct ListedEndpoint {
    pub name: &'static str,
    pub address: String,
    pub cell: u32,
    pub lifecycle: &'static str,
    /// Start time as Unix time in milliseconds; 0 if unknown.
    pub started: u64,
}

/// An endpoint with the lifecycle `Ready` and an unknown start time.
pub fn listed_endpoint(name: &'static str, address: impl ToString, cell: u32) -> ListedEndpoint {
    ListedEndpoint { name, address: address.to_string(), cell, lifecycle: "Ready", started: 0 }
}

/// An endpoint list as discovery sends it; `reset` marks it as complete.
pub fn list(generation: u64, reset: bool, leaf_servers: &[ListedEndpoint]) -> String {
    let row = |listed: &ListedEndpoint| {
        format!(
            r#"{{"instanceId":"{}","hostPort":"{}","zone":"z","machineType":"k","cell":{},"lifecycle":"{}","weight":1.0,"startedAtMs":{}}}"#,
            listed.name, listed.address, listed.cell, listed.lifecycle, listed.started
        )
    };
    let rows: Vec<String> = leaf_servers.iter().map(row).collect();
    format!(r#"{{"generation":{generation},"reset":{reset},"instances":[{}]}}"#, rows.join(","))
}

/// An address that refuses connections while this process runs: the socket is bound but never listens. A released port
/// could be assigned to the next aggregator here, which would then count calls that were meant for discovery.
pub fn unreachable_address() -> SocketAddr {
    static BOUND: OnceLock<TcpSocket> = OnceLock::new();
    let bind = || {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
        socket
    };
    BOUND.get_or_init(bind).local_addr().expect("bound")
}

/// A port on which several processes of one aggregator can listen: the socket is bound but never listens here.
pub fn shared_port() -> TcpSocket {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseport(true).expect("set");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    socket
}

/// The setup of an aggregator.
#[derive(Clone)]
pub struct Setup {
    pub known_list: String,
    pub discovery: String,
    pub max_attempts: u32,
    pub deadline_ms: u32,
    pub keepalive_ms: u32,
    pub calls_per_connection: u32,
    pub health_checks: bool,
    pub operator: Option<String>,
    pub listen: SocketAddr,
    /// Whether the configuration has an admin address.
    pub has_admin_address: bool,
    /// The directory for temporary files that processes of one aggregator share; `None` gives each process its own.
    pub tmp_dir: Option<PathBuf>,
}

impl Setup {
    /// An aggregator with these leaf servers in its configuration and an unreachable discovery service.
    pub fn new(leaf_servers: &[ListedEndpoint]) -> Self {
        Setup {
            known_list: list(1, true, leaf_servers),
            discovery: unreachable_address().to_string(),
            max_attempts: 3,
            deadline_ms: 10_000,
            keepalive_ms: 30_000,
            calls_per_connection: 32,
            health_checks: false,
            operator: None,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            has_admin_address: false,
            tmp_dir: None,
        }
    }

    /// A setup for several processes of one aggregator: they share the address and the directory, and each has its own admin
    /// address.
    pub fn shared(self, port: &TcpSocket) -> Self {
        let listen = port.local_addr().expect("bound");
        Setup { listen, has_admin_address: true, tmp_dir: Some(scratch_dir("tmp")), ..self }
    }

    /// The configuration as the platform writes it.
    pub fn config(&self) -> String {
        let Setup {
            known_list: known,
            discovery,
            max_attempts,
            deadline_ms: hard_limit_ms,
            keepalive_ms,
            calls_per_connection,
            health_checks: probes,
            listen,
            has_admin_address: managed,
            ..
        } = self;
        let management = if *managed { r#","management":"127.0.0.1:0""# } else { "" };
        let report_mode = if *probes { "on_probe" } else { "off" };
        format!(
            r#"{{"name":"n0","listen":"{listen}"{management},"discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},
"settings":{{"categories":[{{"aimMs":{hard_limit_ms},"effect":"retryable","hardLimitMs":{hard_limit_ms},
"lateValue":0,"name":"c","worth":1}}],"clients":{{"marksRetry":false}},"discovery":"pushed",
"invariants":{{"coldShare":0.3,"warmAfterMs":10000,"mustAskInMs":10000}},
"limits":{{"cancel":true,"maxAttempts":{max_attempts},"maxOpen":2000,"maxRetryAfterMs":2000,"probes":{probes},
"retryAfter":true,"secondCopies":false,"dialTimeoutMs":250,"keepaliveMs":{keepalive_ms},
"streamsPerConn":{calls_per_connection}}},
"periodMs":5,"replicasOfMe":1,"report":{{"how":"{report_mode}"}},"specifics":{{"classPartial":[0.9],"completeFrom":[1],
"fetchParts":[0],"floorByClass":[1],"perCall":1,"positions":3,"shards":3,"width":1}},
"tenants":[{{"name":"acme","quotaPerS":10}}],"zone":"z","zones":["z"]}}}}"#
        )
    }

    /// Starts a process and waits until it accepts clients.
    pub fn start(&self) -> Aggregator {
        Aggregator::start_in(&self.config(), self.operator.as_deref(), self.tmp_dir.as_deref())
    }
}
