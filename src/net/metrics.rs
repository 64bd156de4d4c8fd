//! Metrics of the I/O layer, which follow the aggregator's counters on `/metrics`.

use super::client_end::ClientEndCounters;
use std::fs;

/// The metrics of the I/O layer. Clones share the values.
#[derive(Clone, Default)]
pub(super) struct NetMetrics {
    pub client_ends: ClientEndCounters,
}

impl NetMetrics {
    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = self.client_ends.text();
        if let Some(kilobytes) = resident_kilobytes() {
            text += &gauge("resident_kilobytes", "Resident memory of the process.", kilobytes);
        }
        text
    }
}

fn gauge(name: &str, help: &str, value: u64) -> String {
    format!("# HELP sailmux_{name} {help}\n# TYPE sailmux_{name} gauge\nsailmux_{name} {value}\n")
}

/// Resident memory of this process; `None` if the kernel does not report it.
fn resident_kilobytes() -> Option<u64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let value = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    value.trim().strip_suffix(" kB")?.parse().ok()
}
