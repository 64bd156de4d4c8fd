//! Setups of an aggregator with a few leaf servers that the test controls.

use super::process::{LeafServer, Listed, Setup, listed};

/// An aggregator with one leaf server per cell, for the first cells of three.
pub fn with_leaves(leaves: &[&LeafServer]) -> Setup {
    const NAMES: [&str; 3] = ["s0", "s1", "s2"];
    let mut entries: Vec<Listed> = Vec::new();
    for (cell, leaf) in leaves.iter().enumerate() {
        entries.push(listed(NAMES[cell], leaf.address, cell as u32));
    }
    Setup::new(&entries)
}

/// An aggregator with two leaf servers that both hold shard 0.
pub fn with_two_holders(a: &LeafServer, b: &LeafServer) -> Setup {
    Setup::new(&[listed("a", a.address, 0), listed("b", b.address, 0)])
}
