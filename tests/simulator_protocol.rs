//! The simulator adapter, run as a process with messages on standard input and replies on standard output.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the adapter on the given input until it exits.
fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sailmux-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("start the adapter");
    // A malformed line stops the adapter early, so writing the rest of the input may fail.
    let _ = child.stdin.take().expect("standard input is piped").write_all(input.as_bytes());
    child.wait_with_output().expect("wait for the adapter to exit")
}

/// Runs the adapter on the given input; returns its reply lines.
fn replies(input: &str) -> Vec<String> {
    let output = run(input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).expect("replies are valid UTF-8").lines().map(str::to_owned).collect()
}

const SETTINGS: &str = r#"{"categories":[{"aimMs":1500,"effect":"retryable","group":"all","hardLimitMs":3000,
"lateValue":0,"name":"c","stream":false,"windowMs":5000,"worth":1}],"clients":{"marksRetry":true},
"discovery":"pushed","family":"fanout","invariants":{"coldShare":0.2,"warmAfterMs":10000,"mustAskInMs":10000},
"limits":{"cancel":true,"maxAttempts":3,"maxOpen":200,"maxRetryAfterMs":500,"probes":false,"retryAfter":true,
"secondCopies":true},"periodMs":5,"replicasOfMe":2,"report":{"fields":["busy_reqs"],"how":"inline"},
"specifics":{"classPartial":[0.9],"completeFrom":[1],"fetchParts":[0],"floorByClass":[1],"perCall":1,
"positions":2,"shards":2,"width":1},"tariffs":{},"tenants":[],"zone":"z","zones":["z"],"unknownField":7}"#;

fn start_instance(instance: u32) -> String {
    let settings = SETTINGS.replace('\n', "");
    format!("{{\"cmd\":\"up\",\"who\":{instance},\"entropy\":{instance},\"facts\":{settings}}}\n")
}

/// Stores an endpoint list of two replicas, one in each cell.
fn store_list(list_number: u32, names: [&str; 2]) -> String {
    let row = |cell: usize| {
        format!(
            r#"{{"searcher":"{}","setNo":{cell},"heft":1,"state":"up","sku":"k","rackZone":"z"}}"#,
            names[cell]
        )
    };
    format!("{{\"cmd\":\"inventory\",\"buffer\":{list_number},\"rowsIn\":[{},{}]}}\n", row(0), row(1))
}

/// Sends list 0 to an instance.
fn apply_list(instance: u32) -> String {
    format!("{{\"cmd\":\"targets\",\"who\":{instance},\"scope\":\"disk\",\"serial\":1,\"buffer\":0}}\n")
}

/// A query named `name` with one part, `name-p`, for shard 0.
fn query(instance: u32, name: &str) -> String {
    let work_item = |name: &str, shard: i32, weight: u32| {
        format!(
            concat!(
                r#"{{"cmd":"workItem","who":{},"corr":"{}","qos":"c","timeBudgetMs":3000,"#,
                r#""groupNo":1,"slab":{},"sizeOrWeight":{}}}"#,
                "\n"
            ),
            instance, name, shard, weight
        )
    };
    work_item(name, -1, 1) + &work_item(&format!("{name}-p"), 0, 1)
}

const BEGIN_BATCH: &str = "{\"cmd\":\"round\",\"momentMs\":10.5,\"batch\":1}\n";
const COMMIT_BATCH: &str = "{\"cmd\":\"commit\"}\n";

#[test]
fn an_empty_batch_is_acknowledged() {
    assert_eq!(replies(&format!("{BEGIN_BATCH}{COMMIT_BATCH}")), [r#"{"cmd":"yield","batch":1}"#]);
}

#[test]
fn a_list_number_refers_to_the_list_last_stored_under_it() {
    let messages = [
        BEGIN_BATCH,
        &start_instance(1),
        &store_list(0, ["a", "b"]),
        &apply_list(1),
        &start_instance(2),
        &store_list(0, ["c", "d"]),
        &apply_list(2),
    ];
    let lines = replies(&format!("{}{}{}{COMMIT_BATCH}", messages.concat(), query(1, "q1"), query(2, "q2")));
    let is_sent = |part: &str, replica: &str| {
        let [part, replica] = [format!("\"corr\":\"{part}\""), format!("\"searcher\":\"{replica}\"")];
        lines.iter().any(|line| line.contains("callOut") && line.contains(&part) && line.contains(&replica))
    };
    assert!(is_sent("q1-p", "a"), "{lines:?}");
    assert!(is_sent("q2-p", "c"), "{lines:?}");
}

#[test]
fn an_instance_restarted_within_a_batch_ignores_results_of_its_predecessor() {
    let start =
        [BEGIN_BATCH, &start_instance(1), &store_list(0, ["a", "b"]), &apply_list(1), &query(1, "q1")]
            .concat();
    let restart = ["{\"cmd\":\"halt\",\"who\":1}\n", &start_instance(1), &apply_list(1)].concat();
    let late_result = "{\"cmd\":\"attemptEnd\",\"who\":1,\"corr\":\"q1-p\",\"sendNo\":0,\"searcher\":\"a\",\
                \"verdict\":\"ok\",\"tookMs\":3,\"terminal\":true}\n";
    let lines = replies(&format!("{start}{restart}{late_result}{COMMIT_BATCH}"));
    assert!(!lines.iter().any(|line| line.contains("replyNow")), "{lines:?}");
}

#[test]
fn replies_of_an_instance_do_not_depend_on_others_in_the_same_process() {
    let start = |instance: u32| {
        [
            start_instance(instance),
            store_list(0, ["a", "b"]),
            apply_list(instance),
            query(instance, &format!("q{instance}")),
        ]
        .concat()
    };
    let together = replies(&format!("{BEGIN_BATCH}{}{}{COMMIT_BATCH}", start(1), start(2)));
    for instance in [1, 2] {
        let alone = replies(&format!("{BEGIN_BATCH}{}{COMMIT_BATCH}", start(instance)));
        let is_own = |line: &&String| line.contains(&format!("\"who\":{instance},"));
        assert_eq!(
            together.iter().filter(is_own).collect::<Vec<_>>(),
            alone.iter().filter(is_own).collect::<Vec<_>>()
        );
        assert!(alone.len() > 2);
    }
}

#[test]
fn a_malformed_line_stops_the_adapter_with_an_error_that_has_its_number() {
    for line in ["nonsense", "{\"cmd\":\"round\"}", "{\"cmd\":\"unknownCommand\"}"] {
        let output = run(&format!("{line}\n"));
        assert!(!output.status.success(), "{line}");
        assert!(String::from_utf8_lossy(&output.stderr).contains("line 1"), "{line}");
    }
}

/// After a restart the simulator still sends results of the earlier instance's calls. They are ignored, even if fields
/// are missing that a known call's result must have.
#[test]
fn results_of_calls_that_an_instance_never_sent_need_no_further_fields() {
    let start =
        [BEGIN_BATCH, &start_instance(1), &store_list(0, ["a", "b"]), &apply_list(1), &query(1, "q1")]
            .concat();
    let unknown = concat!(
        r#"{"cmd":"attemptEnd","who":1,"corr":"other-p","verdict":"ok"}"#,
        "\n",
        r#"{"cmd":"pong","who":1,"searcher":"other","verdict":"ok"}"#,
        "\n"
    );
    assert_eq!(
        replies(&format!("{start}{unknown}{COMMIT_BATCH}")),
        replies(&format!("{start}{COMMIT_BATCH}"))
    );

    for invalid in [
        r#"{"cmd":"attemptEnd","who":1,"corr":"q1-p","verdict":"ok","tookMs":3}"#,
        r#"{"cmd":"attemptEnd","who":1,"corr":"q1-p","verdict":"ok","sendNo":0}"#,
        r#"{"cmd":"pong","who":1,"searcher":"a","verdict":"ok"}"#,
        r#"{"cmd":"attemptEnd","who":1,"corr":"other-p","verdict":"unknownOutcome"}"#,
        r#"{"cmd":"pong","who":1,"searcher":"other"}"#,
    ] {
        let output = run(&format!("{start}{invalid}\n"));
        assert!(!output.status.success(), "{invalid}");
    }
}

/// The balancer uses no messages from other aggregators. These are malformed, empty or from an unknown sender.
#[test]
fn messages_between_aggregators_change_no_reply() {
    let inbox =
        |octets: &str| format!("{{\"cmd\":\"inbox\",\"who\":1,\"neighbour\":77,\"octets\":\"{octets}\"}}\n");
    let without_inbox = [
        BEGIN_BATCH,
        &start_instance(1),
        &store_list(0, ["a", "b"]),
        &apply_list(1),
        &query(1, "q1"),
        COMMIT_BATCH,
    ]
    .concat();
    let with_inbox = [
        BEGIN_BATCH,
        &start_instance(1),
        &inbox("!!"),
        &store_list(0, ["a", "b"]),
        &apply_list(1),
        &inbox("aGkgNw=="),
        &query(1, "q1"),
        &inbox(""),
        COMMIT_BATCH,
    ]
    .concat();
    assert_eq!(replies(&without_inbox), replies(&with_inbox));
}
