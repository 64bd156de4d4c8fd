//! Tests of races between work in flight and the end of a client, request, attempt, connection, watch, configuration or
//! process, on the real program. Each test forces its race: by pausing the process, by an unresponsive peer, or by the
//! order of bytes. `docs/design/endings.md` lists the cases.

mod attempts;
mod client_disconnects;
#[path = "../common/mod.rs"]
mod common;
mod discovery;
mod earliest_kill;
mod gateways;
mod leaf_connections;
mod reload;
mod shutdown;

use common::process::*;

/// An aggregator with one leaf server, which holds all queried shards.
fn with_leaf_server(leaf_server: &LeafServer) -> Setup {
    Setup::new(&[listed_endpoint("a", leaf_server.address, 0)])
}

/// Sends and serves a query. The aggregator has handled all earlier input by then.
fn assert_serves(aggregator: &Aggregator, connection: &mut LeafConnection, id: &str) {
    let mut client = send_query(aggregator, id);
    assert_eq!(connection.next_part(), format!("{id}.0"), "no other frame precedes it");
    connection.answer(&format!("{id}.0"), "good", "v");
    assert_eq!(client.response().status, 200);
}

/// A new client that has sent a query for shard 0.
fn send_query(aggregator: &Aggregator, id: &str) -> Client {
    let mut client = Client::connect(aggregator.address);
    client.send(query(id, "9000m", &[0]));
    client
}

/// Sends SIGTERM and waits until the shutdown has begun.
fn begin_shutdown(aggregator: &mut Aggregator) {
    aggregator.signal("-TERM");
    aggregator.wait_for_log("graceful shutdown");
}

/// The configuration with a connect timeout longer than the test.
fn with_long_connect_timeout(config: &str) -> String {
    config.replace("\"dialTimeoutMs\":250", "\"dialTimeoutMs\":5000")
}
