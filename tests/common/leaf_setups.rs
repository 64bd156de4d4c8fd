//! Setups of an aggregator with a few leaf servers that the test controls.

use super::process::{LeafServer, ListedEndpoint, Setup, listed_endpoint};

/// An aggregator with one leaf server per cell, for the first cells of three.
pub fn with_leaves(leaves: &[&LeafServer]) -> Setup {
    const NAMES: [&str; 3] = ["s0", "s1", "s2"];
    let mut entries: Vec<ListedEndpoint> = Vec::new();
    for (cell, leaf) in leaves.iter().enumerate() {
        entries.push(listed_endpoint(NAMES[cell], leaf.address, cell as u32));
    }
    Setup::new(&entries)
}

/// An aggregator with two leaf servers that both hold shard 0.
pub fn with_two_replicas(a: &LeafServer, b: &LeafServer) -> Setup {
    Setup::new(&[listed_endpoint("a", a.address, 0), listed_endpoint("b", b.address, 0)])
}
