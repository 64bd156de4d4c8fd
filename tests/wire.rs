//! The adapter, on lines written for it.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(lines: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sailmux-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // A bad line ends the adapter early; the rest of the input is then of no interest.
    let _ = child.stdin.take().expect("piped").write_all(lines.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

fn text(lines: &str) -> Vec<String> {
    let output = run(lines);
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

fn up(who: u32) -> String {
    let facts = FACTS.replace('\n', "");
    format!("{{\"cmd\":\"up\",\"who\":{who},\"entropy\":{who},\"facts\":{facts}}}\n")
}

fn list(buffer: u32, names: [&str; 2]) -> String {
    let row = |i: usize| {
        format!(r#"{{"searcher":"{}","setNo":{i},"heft":1,"state":"up","sku":"k","rackZone":"z"}}"#, names[i])
    };
    format!("{{\"cmd\":\"inventory\",\"buffer\":{buffer},\"rowsIn\":[{},{}]}}\n", row(0), row(1))
}

fn targets(who: u32) -> String {
    format!("{{\"cmd\":\"targets\",\"who\":{who},\"scope\":\"disk\",\"serial\":1,\"buffer\":0}}\n")
}

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
fn empty_batch_is_answered() {
    assert_eq!(text(&format!("{ROUND}{COMMIT}")), [r#"{"cmd":"yield","batch":1}"#]);
}

#[test]
fn list_numbers_are_resolved_in_event_order() {
    let lines = [ROUND, &up(1), &list(0, ["a", "b"]), &targets(1), &up(2), &list(0, ["c", "d"]), &targets(2)];
    let out = text(&format!("{}{}{}{COMMIT}", lines.concat(), query(1, "q1"), query(2, "q2")));
    let sent = |part: &str, to: &str| {
        let [part, to] = [format!("\"corr\":\"{part}\""), format!("\"searcher\":\"{to}\"")];
        out.iter().any(|l| l.contains("callOut") && l.contains(&part) && l.contains(&to))
    };
    assert!(sent("q1-p", "a"), "{out:?}");
    assert!(sent("q2-p", "c"), "{out:?}");
}

#[test]
fn halt_and_up_in_one_batch_forget_everything() {
    let start = [ROUND, &up(1), &list(0, ["a", "b"]), &targets(1), &query(1, "q1")].concat();
    let again = ["{\"cmd\":\"halt\",\"who\":1}\n", &up(1), &targets(1)].concat();
    let late = "{\"cmd\":\"attemptEnd\",\"who\":1,\"corr\":\"q1-p\",\"sendNo\":0,\"searcher\":\"a\",\
                \"verdict\":\"ok\",\"tookMs\":3,\"terminal\":true}\n";
    let out = text(&format!("{start}{again}{late}{COMMIT}"));
    assert!(!out.iter().any(|l| l.contains("replyNow")), "{out:?}");
}

#[test]
fn actions_do_not_depend_on_who_shares_the_process() {
    let start =
        |who: u32| [up(who), list(0, ["a", "b"]), targets(who), query(who, &format!("q{who}"))].concat();
    let together = text(&format!("{ROUND}{}{}{COMMIT}", start(1), start(2)));
    for who in [1, 2] {
        let alone = text(&format!("{ROUND}{}{COMMIT}", start(who)));
        let own = |l: &&String| l.contains(&format!("\"who\":{who},"));
        assert_eq!(
            together.iter().filter(own).collect::<Vec<_>>(),
            alone.iter().filter(own).collect::<Vec<_>>()
        );
        assert!(alone.len() > 2);
    }
}

#[test]
fn malformed_lines_end_the_adapter_with_a_message() {
    for line in ["nonsense", "{\"cmd\":\"round\"}", "{\"cmd\":\"neverHeardOf\"}"] {
        let output = run(&format!("{line}\n"));
        assert!(!output.status.success(), "{line}");
        assert!(String::from_utf8_lossy(&output.stderr).contains("line 1"), "{line}");
    }
}

/// No messages between aggregators are used: one that is garbled, from nobody known, or old changes nothing.
#[test]
fn messages_between_aggregators_are_ignored() {
    let inbox =
        |octets: &str| format!("{{\"cmd\":\"inbox\",\"who\":1,\"neighbour\":77,\"octets\":\"{octets}\"}}\n");
    let quiet = [ROUND, &up(1), &list(0, ["a", "b"]), &targets(1), &query(1, "q1"), COMMIT].concat();
    let noisy = [
        ROUND,
        &up(1),
        &inbox("!!"),
        &list(0, ["a", "b"]),
        &targets(1),
        &inbox("aGkgNw=="),
        &query(1, "q1"),
        &inbox(""),
        COMMIT,
    ]
    .concat();
    assert_eq!(text(&quiet), text(&noisy));
}
