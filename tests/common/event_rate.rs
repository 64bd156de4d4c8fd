//! Event rates over a sliding window.

/// The largest number of events in any window. `times` are in ascending order and in the unit of `window`.
pub fn most_within(times: &[f64], window: f64) -> usize {
    let count_from =
        |start: usize| times[start..].iter().take_while(|time| **time <= times[start] + window).count();
    (0..times.len()).map(count_from).max().unwrap_or(0)
}
