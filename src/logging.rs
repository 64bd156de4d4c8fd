//! The log: structured events on standard error, as text or as one JSON object for each line.
//!
//! The other modules pass typed events; only this module defines their messages and field names in the log. Operators
//! search for both (`docs/operate/`), so both are kept stable.

use crate::aggregator::LogEvent;
use crate::balancer;
use crate::config::operator::{LogFormat, LogLevel, LogRecord};
use crate::endpoints::{AuditEvent, SourceId};
use std::io;
use std::sync::Arc;
use tracing::level_filters::LevelFilter;
use tracing::{debug, error, info, warn};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{Layer, fmt, registry};

/// Starts the log of the process; a second call has no effect. Of libraries, only warnings and errors are logged.
pub fn start(record: &LogRecord) {
    let level = level_filter(record.level);
    let targets = Targets::new().with_target("sailmux", level).with_default(level.min(LevelFilter::WARN));
    let layer = fmt::layer().with_writer(io::stderr).with_target(false).with_ansi(false);
    let started = match record.format {
        LogFormat::Text => registry().with(layer.with_filter(targets)).try_init(),
        LogFormat::Json => {
            let layer = layer.json().flatten_event(true);
            registry().with(layer.with_filter(targets)).try_init()
        }
    };
    // Fails only if the log has been started before.
    drop(started);
}

fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::ERROR,
        LogLevel::Warn => LevelFilter::WARN,
        LogLevel::Info => LevelFilter::INFO,
        LogLevel::Debug => LevelFilter::DEBUG,
        LogLevel::Trace => LevelFilter::TRACE,
    }
}

/// Logs a change of the endpoint lists. `inventory_files` are the paths of the inventories, indexed by the number of
/// the source.
pub fn endpoint_event(event: &AuditEvent, inventory_files: &[Arc<str>]) {
    let file = |source: &SourceId| source_name(*source, inventory_files);
    match event {
        AuditEvent::ListApplied { source, digest, summary, difference, confirmed } => info!(
            file = file(source),
            digest = &**digest,
            nodes = summary.endpoints,
            draining = summary.draining,
            added = difference.added,
            gone = difference.removed,
            drained = difference.started_draining,
            readied = difference.stopped_draining,
            changed = difference.changed,
            confirmed,
            "list applied"
        ),
        // At debug level, since discovery sends lists continually.
        AuditEvent::DiscoveryApplied { generation, complete, endpoint_count, difference } => debug!(
            generation,
            complete,
            nodes = endpoint_count,
            added = difference.added,
            gone = difference.removed,
            drained = difference.started_draining,
            readied = difference.stopped_draining,
            changed = difference.changed,
            "discovery list applied"
        ),
        AuditEvent::ListHeldBack { source, digest, reason, difference } => warn!(
            file = file(source),
            digest = &**digest,
            reason = %reason,
            added = difference.added,
            gone = difference.removed,
            drained = difference.started_draining,
            readied = difference.stopped_draining,
            changed = difference.changed,
            "list held back, only its drains are applied; confirm it with: sailmux inventory confirm {}",
            file(source)
        ),
        AuditEvent::HeldListWithdrawn { source } => info!(file = file(source), "held-back list withdrawn"),
        AuditEvent::ListRejected { source, problem } => {
            error!(
                file = file(source),
                problem, "list rejected: {problem}; the previous list stays in force"
            );
        }
        AuditEvent::ConfirmationUnmatched { source, digest } => {
            warn!(file = file(source), digest = &**digest, "confirmation does not match a held-back list");
        }
        AuditEvent::OverrideChanged { name, active: true } => {
            info!(leaf_server = &**name, "leaf server disabled");
        }
        AuditEvent::OverrideChanged { name, active: false } => {
            info!(leaf_server = &**name, "leaf server enabled");
        }
        AuditEvent::SharedAddress { address, name } => {
            warn!(address = &**address, leaf_server = &**name, "two leaf servers have the same address");
        }
    }
}

/// The path of an inventory, or the name of another source.
fn source_name(source: SourceId, inventory_files: &[Arc<str>]) -> &str {
    match source {
        SourceId::File(number) => match inventory_files.get(usize::from(number)) {
            Some(path) => path,
            None => "",
        },
        SourceId::InitialList => "known",
        SourceId::Discovery => "discovery",
    }
}

/// Logs a change of the aggregator's state.
pub fn aggregator_event(event: &LogEvent) {
    match event {
        LogEvent::Balancer(event) => balancer_event(*event),
        LogEvent::QueryRejected { request_id, class, reason } => {
            debug!(query = &**request_id, class = &**class, reason = reason.label(), "query rejected");
        }
        LogEvent::ShutdownRequested { replies_within } => {
            info!(replies_within_ms = replies_within, "graceful shutdown: answering the queries in flight");
        }
        LogEvent::QueryDuringShutdown { request_id, answer_within } => {
            debug!(query = &**request_id, answer_within_ms = answer_within, "query during shutdown");
        }
        LogEvent::LeafConnectionEnded { replica, reason } => {
            info!(replica = replica.0, reason, "leaf connection ended");
        }
    }
}

fn balancer_event(event: balancer::LogEvent) {
    use balancer::LogEvent;
    match event {
        LogEvent::AllHoldersOutliers { shard } => info!(shard, "all replicas of a shard are outliers"),
        LogEvent::LoadSheddingStarted { class } => info!(class, "load shedding started"),
        LogEvent::LoadSheddingStopped => info!("load shedding stopped"),
        LogEvent::ReplicaEjected(replica) => info!(replica = replica.0, "replica ejected as an outlier"),
        LogEvent::ReplicaRestored(replica) => info!(replica = replica.0, "replica restored"),
    }
}
