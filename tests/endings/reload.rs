//! Reloading the settings while a query is in flight.

use crate::common::process::*;
use crate::{send_query, with_leaf_server};

/// Classes are removed and reordered and a tenant is renamed while a query is in flight. That query keeps the settings
/// with which it started. Later queries use the new settings, and removed names get a 4xx.
#[test]
fn a_query_in_flight_keeps_its_settings_when_classes_and_tenants_are_renamed() {
    let leaf_server = LeafServer::new();
    let setup = with_leaf_server(&leaf_server);
    let class = |name: &str, effect: &str| {
        format!(
            "{{\"aimMs\":9000,\"effect\":{effect},\"hardLimitMs\":9000,\"lateValue\":0,\"name\":\"{name}\",\"worth\":1}}"
        )
    };
    let config_with = |classes: &[String], tenant: &str| {
        let config = setup.config().replace("\"acme\"", &format!("\"{tenant}\""));
        let start = config.find("\"categories\":[").expect("a list of classes");
        let end = start + config[start..].find("],").expect("the end of the list");
        let per_class = |value: &str| vec![value; classes.len()].join(",");
        (config[..start].to_owned() + "\"categories\":[" + &classes.join(",") + &config[end..])
            .replace("\"classPartial\":[0.9]", &format!("\"classPartial\":[{}]", per_class("0.9")))
            .replace("\"completeFrom\":[1]", &format!("\"completeFrom\":[{}]", per_class("1")))
            .replace("\"fetchParts\":[0]", &format!("\"fetchParts\":[{}]", per_class("0")))
            .replace("\"floorByClass\":[1]", &format!("\"floorByClass\":[{}]", per_class("1")))
    };
    let query_of = |id: &str, class: &str, tenant: &str| {
        query(id, "9000m", &[0]).replace("Req-Kind: c", &format!("Req-Kind: {class}")).replace("acme", tenant)
    };
    // The query in flight has a non-idempotent class; the reload gives its name and position to idempotent ones.
    let before = config_with(&[class("plain", "\"retryable\""), class("once", "\"fragile\"")], "acme");
    let aggregator = Aggregator::start(&before, None);
    let mut in_flight = Client::connect(aggregator.address);
    in_flight.send(query_of("in_flight", "once", "acme"));
    let mut connection = leaf_server.accept();
    assert_eq!(connection.next_part(), "in_flight.0");
    let after = config_with(&[class("once", "\"retryable\""), class("new", "\"retryable\"")], "other");
    std::fs::write(&aggregator.config, &after).expect("the configuration can be written");
    aggregator.signal("-HUP");
    aggregator.wait_for_counter("reloads", 1);
    for (id, class, tenant, status) in
        [("a", "plain", "other", 400), ("b", "new", "acme", 400), ("c", "nothing", "other", 400)]
    {
        let reply = Client::connect(aggregator.address).request(query_of(id, class, tenant));
        assert_eq!(reply.status, status, "{class} of {tenant}");
    }
    assert_eq!(aggregator.counters()["queries_malformed"], 3);
    // Under the new settings of its class it would be retried.
    connection.answer("in_flight.0", "bad", "");
    assert_eq!(in_flight.response().status, 502);
    let mut client = Client::connect(aggregator.address);
    client.send(query_of("d", "new", "other"));
    assert_eq!(connection.next_part(), "d.0");
    connection.answer("d.0", "bad", "");
    assert_eq!(connection.next_part(), "d.0", "parts of its class may be retried");
    connection.answer("d.0", "good", "v");
    assert_eq!(client.response().status, 200);
}

/// If the settings list no tenants, any tenant is accepted.
#[test]
fn any_tenant_is_accepted_if_the_settings_list_none() {
    let leaf_server = LeafServer::new();
    let config = with_leaf_server(&leaf_server).config();
    let config = config.replace("\"tenants\":[{\"name\":\"acme\",\"quotaPerS\":10}]", "\"tenants\":[]");
    let aggregator = Aggregator::start(&config, None);
    let mut client = send_query(&aggregator, "q");
    let mut connection = leaf_server.accept();
    let part = connection.next_part();
    connection.answer(&part, "good", "v");
    assert_eq!(client.response().status, 200);
}
