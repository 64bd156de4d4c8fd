//! Delays between an aggregator's calls to discovery: backoff with jitter, scaled by the size of the fleet, so that a
//! fleet whose watches end simultaneously does not overload a shared discovery service.
//!
//! Two bounds of the platform's protocol limit all delays: a draining leaf server may receive new attempts for 1 s
//! after the announcement, and any change counts as announced after 6 s, whether or not it was fetched.
//!
//! | delay | bound |
//! |---|---|
//! | before the first call, for a large fleet | uniform in 0..0.1 s |
//! | after a call or watch that delivered a list | uniform in 0..0.1 s |
//! | after n failed calls in a row | `base * min(2^n, 4) * (0.5..1.5)`, at most 2 s |
//!
//! The base is 10 ms for each aggregator of the fleet and at least 100 ms; with a local discovery agent it is 100 ms,
//! since the fleet does not share that agent.

use crate::clock::Millis;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// Time after the announcement during which a draining leaf server may receive new attempts (protocol).
const DRAIN_GRACE_PERIOD: Millis = 1000.0;
/// Time after which a change counts as announced even if it was not fetched (protocol).
const PROPAGATION_LIMIT: Millis = 6000.0;

/// Minimum base delay after a failed call.
const MIN_BASE_DELAY: Millis = 100.0;
/// Base delay for each aggregator that shares the discovery service.
const BASE_DELAY_PER_AGGREGATOR: Millis = 10.0;
/// Upper limit of the exponential backoff factor.
const MAX_BACKOFF_FACTOR: f64 = 4.0;
/// Upper limit of the exponent of the backoff factor, which keeps the power of two finite.
const MAX_BACKOFF_EXPONENT: u32 = 16;
/// Jitter multiplies a mean delay by a factor of `MIN_JITTER_FACTOR..MAX_JITTER_FACTOR`.
const MIN_JITTER_FACTOR: f64 = 0.5;
const MAX_JITTER_FACTOR: f64 = 1.5;
/// Maximum delay after failed calls: at least three calls fit before a change counts as announced.
const MAX_DELAY: Millis = PROPAGATION_LIMIT / 3.0;
/// Maximum delay while the current list may be outdated: after a start and after a watch that delivered a list.
const MAX_REFRESH_DELAY: Millis = DRAIN_GRACE_PERIOD / 10.0;

/// Time without data after which a watch is considered broken: discovery sends an empty line every 2 s.
const WATCH_TIMEOUT: Millis = 2500.0;
/// Response timeout of a local agent, which responds without delay. A broken watch, a call that times out and two
/// refused calls with their delays then still fit into [`PROPAGATION_LIMIT`].
const LOCAL_AGENT_RESPONSE_TIMEOUT: Millis = PROPAGATION_LIMIT / 6.0;

/// Delays and timeouts of one aggregator's calls to discovery.
#[derive(Debug)]
pub struct DiscoveryTiming {
    random: Pcg64Mcg,
    base_delay: Millis,
    consecutive_failures: u32,
    /// Whether the first calls are spread in time, since many aggregators may start simultaneously.
    large_fleet: bool,
    response_timeout: Millis,
}

impl DiscoveryTiming {
    /// Timing for a discovery service that `aggregators` aggregators share.
    pub fn shared_discovery(seed: u64, aggregators: u32) -> Self {
        let base_delay = (BASE_DELAY_PER_AGGREGATOR * f64::from(aggregators)).max(MIN_BASE_DELAY);
        DiscoveryTiming {
            // Rotated so that the delays do not correlate with other uses of the seed.
            random: Pcg64Mcg::seed_from_u64(seed.rotate_left(17)),
            base_delay,
            consecutive_failures: 0,
            large_fleet: base_delay > MIN_BASE_DELAY,
            response_timeout: WATCH_TIMEOUT,
        }
    }

    /// Timing for a discovery agent on the aggregator's own machine, in a fleet of `aggregators` aggregators.
    pub fn local_agent(seed: u64, aggregators: u32) -> Self {
        DiscoveryTiming {
            base_delay: MIN_BASE_DELAY,
            response_timeout: LOCAL_AGENT_RESPONSE_TIMEOUT,
            ..Self::shared_discovery(seed, aggregators)
        }
    }

    /// Timeout of a call until the first object of its response, in milliseconds.
    pub fn response_timeout(&self) -> Millis {
        self.response_timeout
    }

    /// Timeout between two lines of a watch that has delivered a list, in milliseconds.
    pub fn watch_timeout(&self) -> Millis {
        WATCH_TIMEOUT
    }

    /// Delay before the first call after a start, in milliseconds.
    pub fn initial_delay(&mut self) -> Millis {
        let max_delay = if self.large_fleet { MAX_REFRESH_DELAY } else { 0.0 };
        self.uniform() * max_delay
    }

    /// Delay in milliseconds after a call or watch has ended; `received_list` is whether it delivered a list.
    pub fn next_delay(&mut self, received_list: bool) -> Millis {
        if received_list {
            self.consecutive_failures = 0;
            return self.uniform() * MAX_REFRESH_DELAY;
        }
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let exponent = self.consecutive_failures.min(MAX_BACKOFF_EXPONENT) as i32;
        let factor = 2f64.powi(exponent).min(MAX_BACKOFF_FACTOR);
        let mean = (self.base_delay * factor).min(MAX_DELAY / MAX_JITTER_FACTOR);
        mean * (MIN_JITTER_FACTOR + self.uniform())
    }

    /// A random number, uniform in 0..1.
    fn uniform(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}
