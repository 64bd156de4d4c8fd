//! The simulator adapter as a process: lines in, lines out.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the adapter on the given input.
fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sailmux-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // A bad line ends the adapter early; the rest of the input is then of no interest.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

/// The lines that the adapter replies to the given input.
fn replies(input: &str) -> Vec<String> {
    let output = run(input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).expect("UTF-8").lines().map(str::to_owned).collect()
}

const FACTS: &str = r#"{"categories":[{"aimMs":1500,"effect":"retryable","group":"all","hardLimitMs":3000,
"lateValue":0,"name":"c","stream":false,"windowMs":5000,"worth":1}],"clients":{"marksRetry":true},
"discovery":"pushed","family":"fanout","invariants":{"coldShare":0.2,"warmAfterMs":10000,"mustAskInMs":10000},
"limits":{"cancel":true,"maxAttempts":3,"maxOpen":200,"maxRetryAfterMs":500,"probes":false,"retryAfter":true,
"secondCopies":true},"periodMs":5,"replicasOfMe":2,"report":{"fields":["busy_reqs"],"how":"inline"},
"specifics":{"classPartial":[0.9],"completeFrom":[1],"fetchParts":[0],"floorByClass":[1],"perCall":1,
"positions":2,"shards":2,"width":1},"tariffs":{},"tenants":[],"zone":"z","zones":["z"],"unheardOf":7}"#;

fn start_instance(who: u32) -> String {
    let facts = FACTS.replace('\n', "");
    format!("{{\"cmd\":\"up\",\"who\":{who},\"entropy\":{who},\"facts\":{facts}}}\n")
}

/// An endpoint list of two replicas, one for each cell.
fn store_list(buffer: u32, names: [&str; 2]) -> String {
    let row = |i: usize| {
        format!(r#"{{"searcher":"{}","setNo":{i},"heft":1,"state":"up","sku":"k","rackZone":"z"}}"#, names[i])
    };
    format!("{{\"cmd\":\"inventory\",\"buffer\":{buffer},\"rowsIn\":[{},{}]}}\n", row(0), row(1))
}

/// Hands list 0 to an instance.
fn apply_list(who: u32) -> String {
    format!("{{\"cmd\":\"targets\",\"who\":{who},\"scope\":\"disk\",\"serial\":1,\"buffer\":0}}\n")
}

/// A query with one part, `ID-p`, of shard 0.
fn query(who: u32, id: &str) -> String {
    let item = |id: &str, slab: i32, size: u32| {
        format!(
            concat!(
                r#"{{"cmd":"workItem","who":{},"corr":"{}","qos":"c","timeBudgetMs":3000,"#,
                r#""groupNo":1,"slab":{},"sizeOrWeight":{}}}"#,
                "\n"
            ),
            who, id, slab, size
        )
    };
    item(id, -1, 1) + &item(&format!("{id}-p"), 0, 1)
}

const ROUND: &str = "{\"cmd\":\"round\",\"momentMs\":10.5,\"batch\":1}\n";
const COMMIT: &str = "{\"cmd\":\"commit\"}\n";

#[test]
fn an_empty_batch_is_acknowledged() {
    assert_eq!(replies(&format!("{ROUND}{COMMIT}")), [r#"{"cmd":"yield","batch":1}"#]);
}

#[test]
fn a_list_number_refers_to_the_list_stored_last_before_the_message() {
    let lines = [
        ROUND,
        &start_instance(1),
        &store_list(0, ["a", "b"]),
        &apply_list(1),
        &start_instance(2),
        &store_list(0, ["c", "d"]),
        &apply_list(2),
    ];
    let out = replies(&format!("{}{}{}{COMMIT}", lines.concat(), query(1, "q1"), query(2, "q2")));
    let sent = |part: &str, to: &str| {
        let [part, to] = [format!("\"corr\":\"{part}\""), format!("\"searcher\":\"{to}\"")];
        out.iter().any(|l| l.contains("callOut") && l.contains(&part) && l.contains(&to))
    };
    assert!(sent("q1-p", "a"), "{out:?}");
    assert!(sent("q2-p", "c"), "{out:?}");
}

#[test]
fn an_instance_restarted_within_a_batch_has_forgotten_its_queries() {
    let start =
        [ROUND, &start_instance(1), &store_list(0, ["a", "b"]), &apply_list(1), &query(1, "q1")].concat();
    let again = ["{\"cmd\":\"halt\",\"who\":1}\n", &start_instance(1), &apply_list(1)].concat();
    let late = "{\"cmd\":\"attemptEnd\",\"who\":1,\"corr\":\"q1-p\",\"sendNo\":0,\"searcher\":\"a\",\
                \"verdict\":\"ok\",\"tookMs\":3,\"terminal\":true}\n";
    let out = replies(&format!("{start}{again}{late}{COMMIT}"));
    assert!(!out.iter().any(|l| l.contains("replyNow")), "{out:?}");
}

#[test]
fn replies_of_an_instance_do_not_depend_on_the_others_in_its_process() {
    let start = |who: u32| {
        [start_instance(who), store_list(0, ["a", "b"]), apply_list(who), query(who, &format!("q{who}"))]
            .concat()
    };
    let together = replies(&format!("{ROUND}{}{}{COMMIT}", start(1), start(2)));
    for who in [1, 2] {
        let alone = replies(&format!("{ROUND}{}{COMMIT}", start(who)));
        let own = |l: &&String| l.contains(&format!("\"who\":{who},"));
        assert_eq!(
            together.iter().filter(own).collect::<Vec<_>>(),
            alone.iter().filter(own).collect::<Vec<_>>()
        );
        assert!(alone.len() > 2);
    }
}

#[test]
fn a_malformed_line_ends_the_adapter_and_is_named() {
    for line in ["nonsense", "{\"cmd\":\"round\"}", "{\"cmd\":\"neverHeardOf\"}"] {
        let output = run(&format!("{line}\n"));
        assert!(!output.status.success(), "{line}");
        assert!(String::from_utf8_lossy(&output.stderr).contains("line 1"), "{line}");
    }
}

/// An instance that was restarted is still told of calls of its predecessor, of which it knows nothing.
#[test]
fn ends_of_calls_that_an_instance_never_sent_need_no_further_fields() {
    let start =
        [ROUND, &start_instance(1), &store_list(0, ["a", "b"]), &apply_list(1), &query(1, "q1")].concat();
    let unknown = concat!(
        r#"{"cmd":"attemptEnd","who":1,"corr":"other-p","verdict":"ok"}"#,
        "\n",
        r#"{"cmd":"pong","who":1,"searcher":"other","verdict":"ok"}"#,
        "\n"
    );
    assert_eq!(replies(&format!("{start}{unknown}{COMMIT}")), replies(&format!("{start}{COMMIT}")));

    for known in [
        r#"{"cmd":"attemptEnd","who":1,"corr":"q1-p","verdict":"ok","tookMs":3}"#,
        r#"{"cmd":"attemptEnd","who":1,"corr":"q1-p","verdict":"ok","sendNo":0}"#,
        r#"{"cmd":"pong","who":1,"searcher":"a","verdict":"ok"}"#,
        r#"{"cmd":"attemptEnd","who":1,"corr":"other-p","verdict":"neverHeardOf"}"#,
        r#"{"cmd":"pong","who":1,"searcher":"other"}"#,
    ] {
        let output = run(&format!("{start}{known}\n"));
        assert!(!output.status.success(), "{known}");
    }
}

/// The balancer uses none: garbled, empty, and from an unknown sender.
#[test]
fn messages_between_aggregators_change_no_reply() {
    let inbox =
        |octets: &str| format!("{{\"cmd\":\"inbox\",\"who\":1,\"neighbour\":77,\"octets\":\"{octets}\"}}\n");
    let quiet =
        [ROUND, &start_instance(1), &store_list(0, ["a", "b"]), &apply_list(1), &query(1, "q1"), COMMIT]
            .concat();
    let noisy = [
        ROUND,
        &start_instance(1),
        &inbox("!!"),
        &store_list(0, ["a", "b"]),
        &apply_list(1),
        &inbox("aGkgNw=="),
        &query(1, "q1"),
        &inbox(""),
        COMMIT,
    ]
    .concat();
    assert_eq!(replies(&quiet), replies(&noisy));
}
