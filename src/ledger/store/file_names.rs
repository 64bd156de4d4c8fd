//! File names in a ledger's directory.

use super::super::request::is_request;

/// File name suffix of files that are being written.
const TEMPORARY_SUFFIX: &str = ".tmp";

/// The file name of the segment that begins with a sequence number.
pub(super) fn segment(first_sequence: u64) -> String {
    format!("seg-{first_sequence:020}.log")
}

/// The file name of the snapshot that includes all records up to a sequence number.
pub(super) fn snapshot(sequence: u64) -> String {
    format!("snap-{sequence:020}.bin")
}

/// The temporary name of a file, which is renamed when it is complete.
pub(super) fn temporary(name: &str) -> String {
    format!("{name}{TEMPORARY_SUFFIX}")
}

/// Whether a file was left incomplete by a crash. Request files do not count: other processes may be writing them.
pub(super) fn is_temporary(name: &str) -> bool {
    name.ends_with(TEMPORARY_SUFFIX) && !is_request(name)
}

/// The sequence numbers of all snapshots, ascending.
pub(super) fn snapshot_sequences(names: &[String]) -> Vec<u64> {
    sequences(names, "snap-", ".bin")
}

/// The first sequence numbers of all segments, ascending.
pub(super) fn segment_sequences(names: &[String]) -> Vec<u64> {
    sequences(names, "seg-", ".log")
}

fn sequences(names: &[String], prefix: &str, suffix: &str) -> Vec<u64> {
    let number = |name: &String| name.strip_prefix(prefix)?.strip_suffix(suffix)?.parse().ok();
    let mut numbers: Vec<u64> = names.iter().filter_map(number).collect();
    numbers.sort_unstable();
    numbers
}
