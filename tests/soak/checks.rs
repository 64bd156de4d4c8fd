//! Checks of the rules on what clients and leaf servers have observed.

use super::client::LATE_ANSWER;
use super::observations::{Attempt, Observations, Request, RequestEnd};
use super::plan::{Effect, Plan};
use std::collections::BTreeMap;
use std::time::Duration;

/// Delay by sockets that the rules tolerate.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// Time after a client's disconnect from which no attempt of its query may start.
const MAX_DELAY_AFTER_DISCONNECT: Duration = Duration::from_millis(100);
/// Time after a drain is published in which a leaf server may still receive parts: the default grace period.
const DRAIN_GRACE: Duration = Duration::from_secs(1);
const MAX_ATTEMPTS: usize = 3;

type Attempts = BTreeMap<String, Vec<Attempt>>;

/// All violations of the rules in one run.
pub fn rule_violations(plan: &Plan, observations: &Observations) -> Vec<String> {
    let requests = observations.requests.lock().expect("lock not poisoned");
    let attempts = observations.attempts.lock().expect("lock not poisoned");
    let slack =
        SOCKET_SLACK + *observations.longest_stall.lock().expect("lock not poisoned") + pause_slack(plan);
    let mut violations: Vec<String> = observations.refused.lock().expect("lock not poisoned").clone();
    for request in requests.iter() {
        check_end(plan, request, &attempts, slack, &mut violations);
        check_no_attempts_after_disconnect(request, &attempts, slack, &mut violations);
    }
    for (part, part_attempts) in attempts.iter() {
        check_repeats(plan, part, part_attempts, slack, &mut violations);
    }
    check_drains(observations, &attempts, slack, &mut violations);
    violations
}

/// Total time of the pauses: a paused aggregator is late by that much.
fn pause_slack(plan: &Plan) -> Duration {
    let pauses = plan.steps.iter().filter(|(_, step)| matches!(step, super::plan::Step::Pause { .. }));
    super::PAUSE * pauses.count() as u32
}

fn is_forwarded(request: &Request, attempts: &Attempts) -> bool {
    request.shards.iter().any(|shard| attempts.contains_key(&format!("{}.{shard}", request.id)))
}

/// Each request gets one final answer in time, or its connection was closed between requests before it was read.
fn check_end(
    plan: &Plan,
    request: &Request,
    attempts: &Attempts,
    slack: Duration,
    violations: &mut Vec<String>,
) {
    let took = request.ended_at - request.sent_at;
    match &request.end {
        RequestEnd::Answered { status, body } => {
            if took > plan.deadline + LATE_ANSWER + slack {
                violations.push(format!("lost: answered after {took:?}: {request:?}"));
            }
            let is_final = matches!(status, 200 | 429 | 500..);
            if !is_final {
                violations.push(format!("lost: status {status} for a valid request: {request:?}"));
            }
            let mut parts = request.shards.iter().map(|shard| format!("value-of-{}.{shard}\"", request.id));
            if *status == 200 && !parts.all(|value| body.contains(&value)) {
                violations.push(format!("dishonest: a complete answer lacks a part: {request:?}"));
            }
        }
        RequestEnd::Closed => {
            let may_close = request.reused_connection || plan.idle_connections > 0;
            if !may_close || is_forwarded(request, attempts) {
                violations.push(format!("lost: closed without an answer: {request:?}"));
            }
        }
        RequestEnd::Truncated => violations.push(format!("lost: truncated answer: {request:?}")),
        RequestEnd::Unanswered => violations.push(format!("lost: never answered: {request:?}")),
        RequestEnd::Disconnected => {}
    }
}

fn check_no_attempts_after_disconnect(
    request: &Request,
    attempts: &Attempts,
    slack: Duration,
    violations: &mut Vec<String>,
) {
    if request.end != RequestEnd::Disconnected {
        return;
    }
    for shard in &request.shards {
        let part_attempts = attempts.get(&format!("{}.{shard}", request.id));
        for attempt in part_attempts.into_iter().flatten() {
            let late = attempt.arrived_at.saturating_duration_since(request.ended_at);
            if late > MAX_DELAY_AFTER_DISCONNECT + slack {
                violations
                    .push(format!("attempt started {late:?} after its client had disconnected: {request:?}"));
            }
        }
    }
}

/// A part is repeated only as its class allows, and never while another attempt is in flight.
fn check_repeats(
    plan: &Plan,
    part: &str,
    part_attempts: &[Attempt],
    slack: Duration,
    violations: &mut Vec<String>,
) {
    if part_attempts.len() > MAX_ATTEMPTS {
        violations.push(format!("{} attempts of {part}", part_attempts.len()));
    }
    for pair in part_attempts.windows(2) {
        let [earlier, later] = pair else { continue };
        if earlier.ended_at.is_none_or(|ended_at| ended_at > later.arrived_at + slack) {
            violations.push(format!("concurrent attempts of {part}: {earlier:?}, {later:?}"));
        }
    }
    let Some(first) = part_attempts.iter().find(|attempt| !attempt.rejected) else { return };
    for later in part_attempts.iter().filter(|attempt| attempt.arrived_at > first.arrived_at) {
        let age = later.arrived_at - first.arrived_at;
        let is_duplicate = match plan.effect {
            Effect::Retryable => false,
            Effect::Dedup { window } => age > window + slack,
            Effect::Fragile => true,
        };
        if is_duplicate {
            violations.push(format!("duplicate: {part} repeated after {age:?}, effect {:?}", plan.effect));
        }
    }
}

fn check_drains(
    observations: &Observations,
    attempts: &Attempts,
    slack: Duration,
    violations: &mut Vec<String>,
) {
    for (leaf, sent_at) in observations.drains.lock().expect("lock not poisoned").iter() {
        for (part, part_attempts) in attempts {
            for attempt in part_attempts.iter().filter(|attempt| attempt.leaf == *leaf) {
                let late = attempt.arrived_at.saturating_duration_since(*sent_at);
                if late > DRAIN_GRACE + slack {
                    violations.push(format!(
                        "drain: {part} to leaf server {leaf} {late:?} after its drain was published"
                    ));
                }
            }
        }
    }
}
