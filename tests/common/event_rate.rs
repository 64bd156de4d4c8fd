//! How many events happen within a span of time.

/// The largest number of events in any window; times in ascending order, in the unit of the window.
pub fn most_within(times: &[f64], window: f64) -> usize {
    let from = |i: usize| times[i..].iter().take_while(|t| **t <= times[i] + window).count();
    (0..times.len()).map(from).max().unwrap_or(0)
}
