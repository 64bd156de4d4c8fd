//! Tests of the balancer through its public interface, by subject.

#[path = "../common/event_rate.rs"]
mod event_rate;
mod harness;

mod admission;
mod answers;
mod endpoint_list;
mod health_checks;
mod invalid_input;
mod invariants;
mod load_reports;
mod outlier_detection;
mod rejections;
mod retries;
mod selection;
mod slow_start;
