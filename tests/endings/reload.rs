//! Settings that are reloaded while a query is in flight.

use crate::common::process::*;
use crate::{send_query, with_leaf_server};

/// Classes are removed and reordered and a tenant is renamed while a query is in flight: that query keeps the rules and
/// names it began with. Later ones go by the new settings, and removed names get a 4xx.
#[test]
fn classes_and_tenants_renamed_while_a_query_is_in_flight_keep_its_rules() {
    let leaf_server = LeafServer::new();
    let setup = with_leaf_server(&leaf_server);
    let class = |name: &str, effect: &str| {
        format!(
            "{{\"aimMs\":9000,\"effect\":{effect},\"hardLimitMs\":9000,\"lateValue\":0,\"name\":\"{name}\",\"worth\":1}}"
        )
    };
    let config_with = |classes: &[String], tenant: &str| {
        let config = setup.config().replace("\"acme\"", &format!("\"{tenant}\""));
        let from = config.find("\"categories\":[").expect("there");
        let to = from + config[from..].find("],").expect("ends");
        let many = |figure: &str| vec![figure; classes.len()].join(",");
        (config[..from].to_owned() + "\"categories\":[" + &classes.join(",") + &config[to..])
            .replace("\"classPartial\":[0.9]", &format!("\"classPartial\":[{}]", many("0.9")))
            .replace("\"completeFrom\":[1]", &format!("\"completeFrom\":[{}]", many("1")))
            .replace("\"fetchParts\":[0]", &format!("\"fetchParts\":[{}]", many("0")))
            .replace("\"floorByClass\":[1]", &format!("\"floorByClass\":[{}]", many("1")))
    };
    let query_of = |id: &str, class: &str, tenant: &str| {
        query(id, "9000m", &[0]).replace("Req-Kind: c", &format!("Req-Kind: {class}")).replace("acme", tenant)
    };
    // The query in flight is of a non-idempotent class, whose name and position an idempotent one takes.
    let before = config_with(&[class("plain", "\"retryable\""), class("once", "\"fragile\"")], "acme");
    let aggregator = Aggregator::start(&before, None);
    let mut in_flight = Client::connect(aggregator.address);
    in_flight.send(query_of("in_flight", "once", "acme"));
    let mut connection = leaf_server.accept();
    assert_eq!(connection.next_part(), "in_flight.0");
    let after = config_with(&[class("once", "\"retryable\""), class("new", "\"retryable\"")], "other");
    std::fs::write(&aggregator.config, &after).expect("written");
    aggregator.signal("-HUP");
    aggregator.wait_for_counter("reloads", 1);
    for (id, class, tenant, status) in
        [("a", "plain", "other", 400), ("b", "new", "acme", 400), ("c", "nothing", "other", 400)]
    {
        let reply = Client::connect(aggregator.address).request(query_of(id, class, tenant));
        assert_eq!(reply.status, status, "{class} of {tenant}");
    }
    assert_eq!(aggregator.counters()["queries_malformed"], 3);
    // Under the rules of the class that now has its name and position it would be retried.
    connection.answer("in_flight.0", "bad", "");
    assert_eq!(in_flight.response().status, 502);
    let mut client = Client::connect(aggregator.address);
    client.send(query_of("d", "new", "other"));
    assert_eq!(connection.next_part(), "d.0");
    connection.answer("d.0", "bad", "");
    assert_eq!(connection.next_part(), "d.0", "its class may be retried");
    connection.answer("d.0", "good", "v");
    assert_eq!(client.response().status, 200);
}

/// Where the settings name no tenants, any tenant is accepted.
#[test]
fn without_tenants_every_owner_is_served() {
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
