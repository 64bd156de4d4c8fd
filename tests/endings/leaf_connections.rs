//! Connections that a leaf server closes, or that are being established while the leaf server drains.

use crate::common::process::*;
use crate::{send_query, with_leaf_server, with_long_connect_timeout};
use std::time::{Duration, Instant};

/// The leaf server closes an idle connection while a part is written to it. The part may have run, and is retried because
/// it is idempotent.
#[test]
fn a_part_crossing_the_servers_close_is_retried() {
    let leaf_server = LeafServer::new();
    let aggregator = with_leaf_server(&leaf_server).start();
    let mut client = send_query(&aggregator, "q1");
    let mut connection = leaf_server.accept();
    assert_eq!(connection.next_part(), "q1.0");
    connection.answer("q1.0", "good", "v");
    assert_eq!(client.response().status, 200);
    aggregator.pause();
    drop(connection);
    client.send(query("q2", "9000m", &[0]));
    aggregator.resume();
    let mut new_connection = leaf_server.accept();
    assert_eq!(new_connection.next_part(), "q2.0");
    new_connection.answer("q2.0", "good", "v");
    assert_eq!(client.response().status, 200);
}

/// A part waits for a connection that is being established when its leaf server starts to drain. It is sent to another
/// leaf server. Nothing is written to the connection, which is established only after the grace period for new parts.
#[test]
fn a_part_waiting_for_a_draining_server_is_sent_elsewhere() {
    for lifecycle in ["Terminating", "Gone"] {
        let (mut slow, other) = (LeafServer::backlogged(), LeafServer::new());
        let discovery = Discovery::new();
        let setup = Setup { discovery: discovery.address(), ..with_leaf_server(&slow.server) };
        let aggregator = Aggregator::start(&with_long_connect_timeout(&setup.config()), None);
        let mut watch = discovery.accept();
        let mut client = send_query(&aggregator, "q");
        aggregator.wait_for_counter("connections_dialled", 1);
        let draining = ListedEndpoint { lifecycle, ..listed_endpoint("a", slow.server.address, 0) };
        watch.send_event(&list(
            2,
            false,
            &[draining, ListedEndpoint { started: 1, ..listed_endpoint("b", other.address, 0) }],
        ));
        aggregator.wait_for_counter("lists_taken", 2);
        let draining_since = Instant::now();
        let mut connection = other.accept();
        assert!(
            draining_since.elapsed() < Duration::from_secs(1),
            "{lifecycle}: sent to another leaf server after {:?}",
            draining_since.elapsed()
        );
        assert_eq!(connection.next_part(), "q.0");
        slow.clear();
        if lifecycle == "Terminating" {
            let mut late_connection = slow.server.accept();
            late_connection
                .stream
                .set_read_timeout(Some(Duration::from_millis(300)))
                .expect("the timeout can be set");
            assert_eq!(late_connection.next_frame(), None, "nothing is written to it");
        } else {
            aggregator.wait_for_counter("connections_closed", 1);
        }
        connection.answer("q.0", "good", "v");
        assert_eq!(client.response().status, 200);
        assert_eq!(aggregator.counters()["attempts_sent"], 1, "{lifecycle}");
    }
}
