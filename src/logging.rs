//! The log: structured events on standard error, as text or as a JSON object a line.

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

/// Starts the log; a second start changes nothing. Of libraries only warnings are written.
pub fn start(record: &LogRecord) {
    let level = match record.level {
        LogLevel::Error => LevelFilter::ERROR,
        LogLevel::Warn => LevelFilter::WARN,
        LogLevel::Info => LevelFilter::INFO,
        LogLevel::Debug => LevelFilter::DEBUG,
        LogLevel::Trace => LevelFilter::TRACE,
    };
    let targets = Targets::new().with_target("sailmux", level).with_default(level.min(LevelFilter::WARN));
    let to = fmt::layer().with_writer(io::stderr).with_target(false).with_ansi(false);
    let started = match record.format {
        LogFormat::Text => registry().with(to.with_filter(targets)).try_init(),
        LogFormat::Json => registry().with(to.json().flatten_event(true).with_filter(targets)).try_init(),
    };
    drop(started);
}

/// Writes what membership tells the operators; `files` are the paths of the inventories, in order.
pub fn notice(notice: &AuditEvent, files: &[Arc<str>]) {
    let file = |source: &SourceId| match source {
        SourceId::File(number) => files.get(usize::from(*number)).map_or("", |f| f),
        SourceId::Known => "known",
        SourceId::Discovery => "discovery",
    };
    match notice {
        AuditEvent::ListApplied { source, digest, summary, difference: d, confirmed } => info!(
            file = file(source),
            digest = &**digest,
            nodes = summary.nodes,
            draining = summary.draining,
            added = d.added,
            gone = d.gone,
            drained = d.drained,
            readied = d.readied,
            changed = d.changed,
            confirmed,
            "list taken"
        ),
        // On the platform these come all the time.
        AuditEvent::DiscoveryApplied { generation, complete, nodes, difference: d } => debug!(
            generation,
            complete,
            nodes,
            added = d.added,
            gone = d.gone,
            drained = d.drained,
            readied = d.readied,
            changed = d.changed,
            "discovery's list taken"
        ),
        AuditEvent::ListHeldBack { source, digest, reason, difference: d } => warn!(
            file = file(source),
            digest = &**digest,
            reason = %reason,
            added = d.added,
            gone = d.gone,
            drained = d.drained,
            readied = d.readied,
            changed = d.changed,
            "list held back, its drains are taken; confirm it by: sailmux inventory confirm {}",
            file(source)
        ),
        AuditEvent::HeldListWithdrawn { source } => info!(file = file(source), "held list withdrawn"),
        AuditEvent::ListRejected { source, problem } => {
            error!(file = file(source), problem, "list refused: {problem}; the old list stands");
        }
        AuditEvent::ConfirmationUnmatched { source, digest } => {
            warn!(file = file(source), digest = &**digest, "confirmation of a list that is not held");
        }
        AuditEvent::OverrideChanged { name, active: true } => {
            info!(node = &**name, "node out by hand");
        }
        AuditEvent::OverrideChanged { name, active: false } => {
            info!(node = &**name, "node back by hand");
        }
        AuditEvent::SharedAddress { address, name } => {
            warn!(address = &**address, node = &**name, "two names for one address");
        }
    }
}

/// Writes a change of the aggregator's state.
pub fn aggregator_event(event: &LogEvent) {
    match event {
        LogEvent::Balancer(event) => balancer_event(*event),
        LogEvent::ShutdownRequested => info!("graceful shutdown: answering the queries in flight"),
        LogEvent::LeafConnectionEnded { replica, reason } => {
            info!(replica = replica.0, reason, "leaf connection ended");
        }
    }
}

fn balancer_event(event: balancer::LogEvent) {
    use balancer::LogEvent;
    match event {
        LogEvent::AllHoldersOutliers { shard } => info!(shard, "every holder of a shard is an outlier"),
        LogEvent::LoadSheddingStarted { class } => info!(class, "load shedding started"),
        LogEvent::LoadSheddingStopped => info!("load shedding stopped"),
        LogEvent::ReplicaEjected(replica) => info!(replica = replica.0, "replica ejected as an outlier"),
        LogEvent::ReplicaRestored(replica) => info!(replica = replica.0, "replica restored"),
    }
}
