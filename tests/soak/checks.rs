//! The rules, checked on what clients and leaf servers have seen.

use super::client::LATE_ANSWER;
use super::observations::{Attempt, Observations, Request, RequestEnd};
use super::plan::{Effect, Plan};
use std::collections::BTreeMap;
use std::time::Duration;

/// The pages' allowance on sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// Nothing may begin this long after its client has left.
const AFTER_CLIENT_LEFT: Duration = Duration::from_millis(100);
/// How long after it is told something new may still go to a draining leaf server: the pages' default.
const DRAIN_GRACE: Duration = Duration::from_secs(1);
const MAX_ATTEMPTS: usize = 3;

type Attempts = BTreeMap<String, Vec<Attempt>>;

/// All breaks of a rule in one run.
pub fn broken_rules(plan: &Plan, observations: &Observations) -> Vec<String> {
    let requests = observations.requests.lock().expect("whole");
    let attempts = observations.attempts.lock().expect("whole");
    let slack = SOCKET_SLACK + *observations.longest_stall.lock().expect("whole") + pause_slack(plan);
    let mut breaks: Vec<String> = observations.refused.lock().expect("whole").clone();
    for request in requests.iter() {
        check_end(plan, request, &attempts, slack, &mut breaks);
        check_nothing_after_leaving(request, &attempts, slack, &mut breaks);
    }
    for (part, of_part) in attempts.iter() {
        check_repeats(plan, part, of_part, slack, &mut breaks);
    }
    check_drains(observations, &attempts, slack, &mut breaks);
    breaks
}

/// An aggregator that stands still is late by that.
fn pause_slack(plan: &Plan) -> Duration {
    let pauses = plan.steps.iter().filter(|(_, step)| matches!(step, super::plan::Step::Pause { .. }));
    super::PAUSE * pauses.count() as u32
}

fn is_forwarded(request: &Request, attempts: &Attempts) -> bool {
    request.shards.iter().any(|shard| attempts.contains_key(&format!("{}.{shard}", request.id)))
}

/// Each request has one final answer in its time, or its connection was closed unread between requests.
fn check_end(plan: &Plan, request: &Request, attempts: &Attempts, slack: Duration, breaks: &mut Vec<String>) {
    let took = request.ended_at - request.sent_at;
    match &request.end {
        RequestEnd::Answered { status, body } => {
            if took > plan.deadline + LATE_ANSWER + slack {
                breaks.push(format!("lost: answered after {took:?}: {request:?}"));
            }
            let is_final = matches!(status, 200 | 429 | 500..);
            if !is_final {
                breaks.push(format!("lost: status {status} for a good request: {request:?}"));
            }
            let mut parts = request.shards.iter().map(|shard| format!("value-of-{}.{shard}\"", request.id));
            if *status == 200 && !parts.all(|value| body.contains(&value)) {
                breaks.push(format!("dishonest: a whole answer lacks a part: {request:?}"));
            }
        }
        RequestEnd::Closed => {
            let may_close = request.reused_connection || plan.crowd > 0;
            if !may_close || is_forwarded(request, attempts) {
                breaks.push(format!("lost: closed without an answer: {request:?}"));
            }
        }
        RequestEnd::Truncated => breaks.push(format!("lost: half an answer: {request:?}")),
        RequestEnd::Unanswered => breaks.push(format!("lost: never answered: {request:?}")),
        RequestEnd::Left => {}
    }
}

fn check_nothing_after_leaving(
    request: &Request,
    attempts: &Attempts,
    slack: Duration,
    breaks: &mut Vec<String>,
) {
    if request.end != RequestEnd::Left {
        return;
    }
    for shard in &request.shards {
        let of_part = attempts.get(&format!("{}.{shard}", request.id));
        for attempt in of_part.into_iter().flatten() {
            let late = attempt.arrived_at.saturating_duration_since(request.ended_at);
            if late > AFTER_CLIENT_LEFT + slack {
                breaks.push(format!("begun {late:?} after its client had left: {request:?}"));
            }
        }
    }
}

/// Nothing runs more often than its class allows, and no second copy while one is out.
fn check_repeats(plan: &Plan, part: &str, of_part: &[Attempt], slack: Duration, breaks: &mut Vec<String>) {
    if of_part.len() > MAX_ATTEMPTS {
        breaks.push(format!("{} attempts of {part}", of_part.len()));
    }
    for pair in of_part.windows(2) {
        let [earlier, later] = pair else { continue };
        if earlier.ended_at.is_none_or(|ended_at| ended_at > later.arrived_at + slack) {
            breaks.push(format!("second copy of {part}: {earlier:?}, {later:?}"));
        }
    }
    let Some(first) = of_part.iter().find(|attempt| !attempt.rejected) else { return };
    for later in of_part.iter().filter(|attempt| attempt.arrived_at > first.arrived_at) {
        let age = later.arrived_at - first.arrived_at;
        let is_duplicate = match plan.effect {
            Effect::Retryable => false,
            Effect::Dedup { window } => age > window + slack,
            Effect::Fragile => true,
        };
        if is_duplicate {
            breaks.push(format!("duplicate: {part} again after {age:?}, effect {:?}", plan.effect));
        }
    }
}

fn check_drains(observations: &Observations, attempts: &Attempts, slack: Duration, breaks: &mut Vec<String>) {
    for (leaf, told_at) in observations.drains.lock().expect("whole").iter() {
        for (part, of_part) in attempts {
            for attempt in of_part.iter().filter(|attempt| attempt.leaf == *leaf) {
                let late = attempt.arrived_at.saturating_duration_since(*told_at);
                if late > DRAIN_GRACE + slack {
                    breaks.push(format!("drain: {part} to leaf server {leaf} {late:?} after it was told"));
                }
            }
        }
    }
}
