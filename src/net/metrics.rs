//! Metrics of the I/O layer, which follow the aggregator's counters on `/metrics`.

use super::client_end::ClientEndCounters;
use super::memory::MemoryBudget;
use std::fs;

/// The metrics of the I/O layer. Clones share the values.
#[derive(Clone)]
pub(super) struct NetMetrics {
    pub client_ends: ClientEndCounters,
    pub memory: MemoryBudget,
}

impl NetMetrics {
    /// Metrics that start at 0, and the budget for `peer_data_bytes` of peers' data.
    pub fn new(peer_data_bytes: usize) -> Self {
        NetMetrics { client_ends: ClientEndCounters::default(), memory: MemoryBudget::new(peer_data_bytes) }
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = self.client_ends.text();
        let memory = self.memory.usage();
        text += &gauge("peer_data_bytes", "Memory reserved for data of peers.", memory.used as u64);
        text += &gauge("peer_data_limit_bytes", "Maximum memory for data of peers.", memory.limit as u64);
        text += &counter("peer_data_refusals", "Reservations refused for lack of memory.", memory.refusals);
        text +=
            &counter("peer_data_evictions", "Slow peers that lost their memory to others.", memory.evictions);
        if let Some(kilobytes) = resident_kilobytes() {
            text += &gauge("resident_kilobytes", "Resident memory of the process.", kilobytes);
        }
        text
    }
}

fn gauge(name: &str, help: &str, value: u64) -> String {
    metric("gauge", name, help, value)
}

fn counter(name: &str, help: &str, value: u64) -> String {
    metric("counter", name, help, value)
}

fn metric(kind: &str, name: &str, help: &str, value: u64) -> String {
    format!("# HELP sailmux_{name} {help}\n# TYPE sailmux_{name} {kind}\nsailmux_{name} {value}\n")
}

/// Resident memory of this process; `None` if the kernel does not report it.
fn resident_kilobytes() -> Option<u64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let value = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    value.trim().strip_suffix(" kB")?.parse().ok()
}
