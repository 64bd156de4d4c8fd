//! Names of the files in a ledger's directory.

use super::super::request::is_request;

/// The end of the names of files that are being written.
const TEMPORARY_SUFFIX: &str = ".tmp";

/// The segment that begins with that sequence number.
pub(super) fn segment(first_sequence: u64) -> String {
    format!("seg-{first_sequence:020}.log")
}

/// The snapshot of the book after that sequence number.
pub(super) fn snapshot(sequence: u64) -> String {
    format!("snap-{sequence:020}.bin")
}

/// The name under which a file is written before it is renamed to its own.
pub(super) fn temporary(name: &str) -> String {
    format!("{name}{TEMPORARY_SUFFIX}")
}

/// A file that a crash left half written. Requests are written by other processes and are not ours to remove.
pub(super) fn is_temporary(name: &str) -> bool {
    name.ends_with(TEMPORARY_SUFFIX) && !is_request(name)
}

/// The sequence numbers in the names of snapshots, ascending.
pub(super) fn snapshot_sequences(names: &[String]) -> Vec<u64> {
    sequences(names, "snap-", ".bin")
}

/// The first sequence numbers in the names of segments, ascending.
pub(super) fn segment_sequences(names: &[String]) -> Vec<u64> {
    sequences(names, "seg-", ".log")
}

fn sequences(names: &[String], prefix: &str, suffix: &str) -> Vec<u64> {
    let number = |name: &String| name.strip_prefix(prefix)?.strip_suffix(suffix)?.parse().ok();
    let mut numbers: Vec<u64> = names.iter().filter_map(number).collect();
    numbers.sort_unstable();
    numbers
}
