//! An aggregator under load whose inventory is rewritten.

use super::super::process::{Aggregator, Setup};
use super::inventory_writer::{InventoryWriter, WriteMethod};
use super::leaf_fleet::LeafFleet;
use super::load::Load;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// An aggregator under load, with a fleet of leaf servers and an inventory that is written by one method.
pub struct InventoryRun {
    pub fleet: LeafFleet,
    pub writer: InventoryWriter,
    pub aggregator: Aggregator,
    pub load: Load,
    pub draining: BTreeSet<String>,
    file: String,
}

impl InventoryRun {
    /// `more_settings` are lines under `inventory` in the operator file.
    pub fn start(
        method: WriteMethod,
        file: &str,
        leaf_servers: u32,
        clients: usize,
        more_settings: &str,
    ) -> Self {
        let fleet = LeafFleet::new(leaf_servers);
        let mut writer = InventoryWriter::new(method, file);
        let draining = BTreeSet::new();
        writer.write(&fleet.inventory(file, &draining));
        let operator = format!("inventory:\n  file: {}\n{more_settings}", writer.path().display());
        let aggregator = Setup { operator: Some(operator), ..Setup::new(&[]) }.start();
        let load = Load::start(aggregator.address, clients);
        InventoryRun { fleet, writer, aggregator, load, draining, file: file.to_owned() }
    }

    /// The inventory in its current state.
    pub fn text(&self) -> String {
        self.fleet.inventory(&self.file, &self.draining)
    }

    /// Drains a leaf server, waits until the aggregator logs it, and returns the time since the last byte was written.
    pub fn drain(&mut self, name: &str) -> Duration {
        self.draining.insert(name.to_owned());
        let text = self.text();
        self.writer.write(&text);
        self.fleet.record_drain(name);
        let written = Instant::now();
        self.aggregator.wait_for_new_log("drained=1");
        written.elapsed()
    }

    /// Cancels a drain.
    pub fn ready(&mut self, name: &str) {
        self.draining.remove(name);
        self.fleet.record_ready(name);
        let text = self.text();
        self.writer.write(&text);
        // If the half-written drain was held back and the rest was not read before this write, the list has not changed.
        self.aggregator.wait_for_either_log("readied=1", "held-back list withdrawn");
    }

    /// Stops the load, checks that no rule was violated, and returns the numbers of queries and of parts.
    pub fn finish(self) -> (u64, u64) {
        let (answered, wrong) = self.load.stop();
        assert!(
            wrong.is_empty(),
            "{} of {answered} queries without a complete answer: {:#?}",
            wrong.len(),
            &wrong[..wrong.len().min(5)]
        );
        let broken = self.fleet.rule_violations();
        assert!(broken.is_empty(), "{} rule violations: {:#?}", broken.len(), &broken[..broken.len().min(5)]);
        (answered, self.fleet.parts())
    }
}
