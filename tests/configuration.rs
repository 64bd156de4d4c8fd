//! Configuration: the mapping of the platform's field names to settings, endpoint lists, the operator file, and the
//! fields and lines in errors.

use miniserde::json::Value;
use sailmux::balancer::{Idempotency, LoadReportMode};
use sailmux::config::operator::{LogFormat, LogLevel, WatchRecord};
use sailmux::config::{Operator, parse_endpoint_list, parse_platform_settings};
use sailmux::endpoints::EndpointState;
use sailmux::inventory::{Field as EndpointField, Format};
use sailmux::json::{Field, FieldError};
use sailmux::ledger::ClassPrices;
use std::path::Path;
use std::time::Duration;

/// Every field that is read, with distinct values so that a mix-up of fields is detected.
const SETTINGS: &str = r#"{
    "categories": [
        {"name": "search", "aimMs": 101, "aimStretch": 0.5, "hardLimitMs": 102, "lateValue": 0.25, "worth": 3,
         "effect": "retryable"},
        {"name": "order", "aimMs": 103, "hardLimitMs": 104, "effect": "dedup", "windowMs": 105},
        {"name": "audit", "aimMs": 106, "hardLimitMs": 107, "effect": "fragile"}
    ],
    "tenants": [{"name": "acme", "quotaPerS": 11}],
    "zones": ["near", "far"], "zone": "far",
    "overShareWorth": 0.12, "worthBy": "work", "clients": {"marksRetry": true}, "replicasOfMe": 13, "periodMs": 14,
    "specifics": {"positions": 16, "width": 15, "perCall": 17, "shards": 18, "completeFrom": [0.9, 0.91, 0.92],
        "floorByClass": [0.5, 0.51, 0.52], "classPartial": [0.6, 0.61, 0.62], "fetchParts": [1, 2, 3]},
    "report": {"how": "on_probe"}, "discovery": "on_request",
    "limits": {"probes": true, "cancel": false, "secondCopies": true, "maxAttempts": 19, "maxOpen": 20,
        "retryAfter": true, "maxRetryAfterMs": 21, "streamsPerConn": 22, "dialTimeoutMs": 23, "keepaliveMs": 24},
    "invariants": {"mustAskInMs": 25, "coldShare": 0.26, "warmAfterMs": 27, "overloadFactor": 28, "extraFree": 29,
        "budgetShare": 0.3, "lookBackMs": 31, "drainGraceMs": 32},
    "tariffs": {"crossZone": 0.33, "probe": 0.34}
}"#;

fn json(text: &str) -> Value {
    miniserde::json::from_str(text).expect("valid JSON")
}

/// The error for the settings after a replacement in their text.
fn error_with(original: &str, replacement: &str) -> FieldError {
    assert!(SETTINGS.contains(original), "{original}");
    let value = json(&SETTINGS.replace(original, replacement));
    parse_platform_settings(&Field::root(&value)).expect_err("rejected settings")
}

#[test]
fn fields_of_a_class_are_mapped() {
    let value = json(SETTINGS);
    let settings = parse_platform_settings(&Field::root(&value)).expect("valid settings");
    assert_eq!(settings.classes, ["search", "order", "audit"]);
    let class = &settings.balancer.classes[0];
    assert_eq!((class.latency_objective, class.objective_stretch, class.deadline), (101.0, 0.5, 102.0));
    assert_eq!((class.late_value_factor, class.priority_weight), (0.25, 3.0));
    assert_eq!((class.complete_coverage, class.minimum_coverage), (0.9, 0.5));
    assert_eq!((class.partial_value_factor, class.second_step_parts), (0.6, 1));
    let idempotency: Vec<_> = settings.balancer.classes.iter().map(|class| class.idempotency).collect();
    let keyed = Idempotency::Keyed { window: 105.0 };
    assert_eq!(idempotency, [Idempotency::Idempotent, keyed, Idempotency::NotIdempotent]);
    let second = &settings.balancer.classes[1];
    assert_eq!((second.complete_coverage, second.minimum_coverage), (0.91, 0.51));
    assert_eq!((second.partial_value_factor, second.second_step_parts), (0.61, 2));
    assert_eq!((second.objective_stretch, second.late_value_factor, second.priority_weight), (0.0, 0.0, 1.0));
}

#[test]
fn fields_of_the_balancer_are_mapped() {
    let value = json(SETTINGS);
    let settings = parse_platform_settings(&Field::root(&value)).expect("valid settings").balancer;
    assert_eq!(settings.tenants[0].quota_per_s, 11.0);
    assert_eq!((settings.over_quota_weight, settings.weight_by_work), (0.12, true));
    assert!(settings.clients_mark_retries);
    assert_eq!((settings.aggregators, settings.timer_granularity), (13, 14.0));
    assert_eq!((settings.cells, settings.width, settings.parts_per_call), (16, 15, 17));
    assert_eq!(settings.load_report_mode, LoadReportMode::OnHealthCheck);
    assert!(settings.health_checks_allowed && !settings.cancellation_allowed && settings.hedging_allowed);
    assert_eq!((settings.max_attempts, settings.max_in_flight), (19, 20));
    assert_eq!(settings.max_retry_after, Some(21.0));
    assert!(settings.discovery_is_polled);
    assert_eq!(settings.max_poll_interval, 25.0);
    assert_eq!((settings.slow_start_share, settings.slow_start_window), (0.26, 27.0));
    assert_eq!(settings.overload_factor, 28.0);
    let budget = settings.retry_budget.expect("a retry budget");
    assert_eq!((budget.free_attempts, budget.share, budget.window), (29.0, 0.3, 31.0));
    assert_eq!((settings.cross_zone_cost, settings.health_check_cost), (0.33, 0.34));
    assert_eq!(settings.zone, 1);
}

#[test]
fn fields_of_the_aggregator_are_mapped() {
    let value = json(SETTINGS);
    let settings = parse_platform_settings(&Field::root(&value)).expect("valid settings");
    assert_eq!(settings.tenants, ["acme"]);
    assert_eq!(settings.zones, ["near", "far"]);
    assert_eq!((settings.shards, settings.calls_per_connection), (Some(18), 22));
    assert_eq!((settings.connect_timeout, settings.idle_timeout, settings.drain_grace), (23.0, 24.0, 32.0));
    assert_eq!((settings.layout().cells, settings.layout().width), (16, 15));
}

#[test]
fn a_retry_budget_needs_both_share_and_window() {
    for field in ["\"budgetShare\": 0.3, ", "\"lookBackMs\": 31, "] {
        let value = json(&SETTINGS.replace(field, ""));
        let settings = parse_platform_settings(&Field::root(&value)).expect("valid settings");
        assert!(settings.balancer.retry_budget.is_none(), "without {field}");
    }
}

#[test]
fn an_error_names_the_field_with_its_path() {
    for (original, replacement, field) in [
        ("\"aimMs\": 101, ", "", "categories[0].aimMs"),
        ("\"dedup\"", "\"unknown\"", "categories[1].effect"),
        ("[0.5, 0.51, 0.52]", "[0.5]", "specifics.floorByClass"),
        ("\"quotaPerS\": 11", "\"quotaPerS\": \"x\"", "tenants[0].quotaPerS"),
        ("[\"near\", \"far\"]", "[\"near\", 2]", "zones[1]"),
        ("\"on_probe\"", "\"unknown\"", "report.how"),
        ("\"on_request\"", "\"unknown\"", "discovery"),
        ("\"maxAttempts\": 19", "\"maxAttempts\": 1.5", "limits.maxAttempts"),
        ("\"secondCopies\": true", "\"secondCopies\": 1", "limits.secondCopies"),
        ("\"lookBackMs\": 31", "\"lookBackMs\": []", "invariants.lookBackMs"),
        ("\"replicasOfMe\": 13", "\"replicasOfMe\": 5000000000", "replicasOfMe"),
    ] {
        assert_eq!(error_with(original, replacement).field, field);
    }
}

#[test]
fn settings_that_contradict_each_other_are_rejected() {
    let error = error_with("\"width\": 15", "\"width\": 17");
    assert_eq!(error.message, "the layout needs 1 <= width <= cells");
}

#[test]
fn collected_errors_name_every_invalid_field_in_order() {
    let text =
        SETTINGS.replace("\"fragile\"", "\"unknown\"").replace("\"periodMs\": 14", "\"periodMs\": null");
    let value = json(&text.replace("\"probe\": 0.34", "\"probe\": \"x\""));
    let (root, errors) = Field::collecting_errors(&value);
    let _ = parse_platform_settings(&root);
    let fields: Vec<String> = errors.take().into_iter().map(|error| error.field).collect();
    assert_eq!(fields, ["categories[2].effect", "periodMs", "tariffs.probe"]);
}

#[test]
fn fields_of_an_endpoint_list_are_mapped() {
    let value = json(
        r#"{"generation": 7, "reset": true, "instances": [
            {"instanceId": "a", "hostPort": "h:1", "zone": "z", "cell": 2, "weight": 1.5, "lifecycle": "Terminating",
             "startedAtMs": 3},
            {"instanceId": "b", "hostPort": "h:2", "lifecycle": "Ready"},
            {"instanceId": "c", "hostPort": "h:3", "lifecycle": "Gone"}]}"#,
    );
    let list = parse_endpoint_list(&Field::root(&value)).expect("a valid list");
    assert!(list.generation == 7 && list.complete);
    let first = &list.entries[0];
    assert_eq!((&*first.name, &*first.address, &*first.zone), ("a", "h:1", "z"));
    assert_eq!((first.cell, first.weight, first.started_at_unix), (2, 1.5, 3.0));
    let states: Vec<EndpointState> = list.entries.iter().map(|endpoint| endpoint.state).collect();
    assert_eq!(states, [EndpointState::Draining, EndpointState::Ready, EndpointState::Gone]);
    let second = &list.entries[1];
    assert_eq!((&*second.zone, second.cell, second.weight), ("", 0, 1.0));
}

#[test]
fn sections_of_the_operator_file_are_resolved() {
    let text = "
flight: {listen: '127.0.0.1:8815'}
inventory:
  files:
    - path: n.csv
      format: csv
      delimiter: ';'
      fields: {zone: Site}
      final_newline: optional
    - {path: /abs/drains.csv, partial: true}
  watch: poll
  poll_ms: 100
  guard: {most_lost_percent: 50, confirm_after_s: 2}
ledger: {dir: ledger-data, mode: strict, answer_wait_ms: 40, segment_mb: 2, grace_hours: 1, prices: {c: {query: 5}}}
log: {format: json, level: debug}
";
    let operator = Operator::parse("/etc/sailmux/operator.yaml", text).expect("a valid operator file");
    assert_eq!(operator.flight_listen, "127.0.0.1:8815".parse().ok());
    assert!(operator.log.format == LogFormat::Json && operator.log.level == LogLevel::Debug);

    let inventory = operator.inventory.expect("an inventory");
    let paths: Vec<&Path> = inventory.files.iter().map(|file| file.path.as_path()).collect();
    assert_eq!(paths, [Path::new("/etc/sailmux/n.csv"), Path::new("/abs/drains.csv")]);
    assert!(!inventory.discovery && inventory.watch == WatchRecord::Poll);
    assert_eq!((inventory.poll, inventory.settle), (Duration::from_millis(100), Duration::from_millis(25)));
    assert_eq!((inventory.guard.max_removed_fraction, inventory.guard.confirm_after), (0.5, Some(2000.0)));
    let options = &inventory.files[0].options;
    assert!(options.format == Some(Format::Csv) && options.delimiter == Some(b';'));
    assert_eq!(options.mapping.fields[&EndpointField::Zone], "Site");
    assert!(options.accepts_missing_final_newline && !options.partial && inventory.files[1].options.partial);

    let ledger = operator.ledger.expect("a ledger");
    assert_eq!(ledger.dir, Path::new("/etc/sailmux/ledger-data"));
    assert_eq!(
        (ledger.max_answer_wait, ledger.commit_interval),
        (Some(Duration::from_millis(40)), Duration::from_millis(50))
    );
    assert_eq!((ledger.options.segment_bytes, ledger.options.grace_ms), (2 << 20, 3_600_000));
    assert_eq!(ledger.prices.classes["c"], ClassPrices { query: 5, part: 1000 });
}

#[test]
fn an_empty_operator_file_turns_everything_off() {
    let operator = Operator::parse("operator.yaml", "").expect("a valid operator file");
    assert!(operator.flight_listen.is_none() && operator.inventory.is_none() && operator.ledger.is_none());
    assert!(operator.log.format == LogFormat::Text && operator.log.level == LogLevel::Info);
}

#[test]
fn errors_across_sections_of_the_operator_file_are_reported_with_line_and_field() {
    let text = "
inventory:
  file: a.csv
  files:
    - partial: true
      fields: {nope: x}
  guard:
    most_lost_percent: 101
ledger:
  time_zone: Mars
  colour: red
";
    let diagnostics = Operator::parse("operator.yaml", text).expect_err("a rejected operator file").0;
    let found: Vec<(Option<u32>, &str)> =
        diagnostics.iter().map(|diagnostic| (diagnostic.line, diagnostic.field.as_str())).collect();
    let expected = [
        (Some(8), "inventory.guard.most_lost_percent"),
        (Some(11), "ledger.colour"),
        (Some(3), "inventory.file"),
        (Some(5), "inventory.files[0].path"),
        (Some(6), "inventory.files[0].fields.nope"),
        (Some(10), "ledger.time_zone"),
    ];
    assert_eq!(found, expected);
}
