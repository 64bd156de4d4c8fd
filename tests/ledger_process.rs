//! The ledger of aggregator processes that are killed under load, and of export commands that are killed.

mod common;

use common::fleet::*;
use common::process::*;
use sailmux::ledger::{Calendar, Entry, Outcome, RealDisk, Record, read_all};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::thread;
use std::time::Duration;

/// The delays before each kill in milliseconds; printed, so that a failed run can be repeated.
fn kill_delays(rounds: u64) -> Vec<u64> {
    let all: Vec<u64> = (0..rounds).map(|i| 60 + (i * 101 + 31) % 240).collect();
    println!("killed after {all:?} ms");
    all
}

/// Sends queries until the aggregator is gone and says when the first is answered; the ids that were answered, in order,
/// with their status.
fn query_until_killed(address: SocketAddr, tenant: &str, first_answer: &Sender<()>) -> Vec<(String, u16)> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let mut answered = Vec::new();
    let Ok(stream) = TcpStream::connect(address) else { return answered };
    let mut stream = BufReader::new(stream);
    loop {
        let id = format!("k{}", NEXT.fetch_add(1, Ordering::Relaxed));
        let text = query(&id, "5000m", &[0, 1, 2]).replace("acme", tenant);
        if stream.get_mut().write_all(text.as_bytes()).is_err() {
            return answered;
        }
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if stream.read_line(&mut head).unwrap_or(0) == 0 {
                return answered;
            }
        }
        let length = head.lines().find_map(|l| l.strip_prefix("Content-Length: ")?.parse().ok()).unwrap_or(0);
        if stream.read_exact(&mut vec![0; length]).is_err() {
            return answered;
        }
        let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
        answered.push((id, status));
        if answered.len() == 1 {
            first_answer.send(()).expect("the test waits for it");
        }
    }
}

fn entries(dir: &Path) -> (Vec<Entry>, usize) {
    let mut all = Vec::new();
    let calendar = Calendar::new("Asia/Taipei").expect("a zone");
    let book = read_all(&RealDisk::open_read_only(dir), &calendar, |_, record, _| {
        if let Record::Entry(e) = record {
            all.push(e.clone());
        }
    });
    (all, book.expect("whole").gaps().len())
}

struct LedgerSetup {
    fleet: LeafFleet,
    setup: Setup,
    dir: std::path::PathBuf,
}

fn ledger_setup(mode: &str) -> LedgerSetup {
    let fleet = LeafFleet::new(6);
    let known = fleet.listed_endpoints();
    let dir = scratch_dir("ledger");
    let operator = Some(format!(
        "ledger: {{dir: {}, mode: {mode}, prices: {{c: {{query: 500, part: 250}}}}}}\n",
        dir.display()
    ));
    LedgerSetup { setup: Setup { operator, ..Setup::new(&known) }, fleet, dir }
}

/// Starts an aggregator, queries it from three clients and kills it a delay after each had its first answer; the answers
/// to each client of each round. The third client names a tenant that the settings do not know: it is rejected, and nothing is entered for it.
fn rounds(ledger: &LedgerSetup, delays_ms: &[u64]) -> Vec<Vec<(String, u16)>> {
    let round = |after: &u64| {
        let mut aggregator = ledger.setup.start();
        let address = aggregator.address;
        let (first_answer, first_answers) = channel();
        let ask = |tenant: &'static str| {
            let first_answer = first_answer.clone();
            thread::spawn(move || query_until_killed(address, tenant, &first_answer))
        };
        let clients = ["acme", "acme", "stranger"].map(ask);
        for _ in &clients {
            first_answers.recv_timeout(WAIT_TIMEOUT).expect("each client has a first answer");
        }
        thread::sleep(Duration::from_millis(*after));
        aggregator.kill();
        let [a, b, stranger] = clients.map(|c| c.join().expect("no panic"));
        assert!(!stranger.is_empty() && stranger.iter().all(|(_, status)| *status == 400), "{stranger:?}");
        [a, b]
    };
    delays_ms.iter().flat_map(round).collect()
}

#[test]
fn strict_mode_enters_every_answer_once_however_often_the_aggregator_is_killed() {
    let ledger = ledger_setup("strict");
    let answered: BTreeMap<String, u16> = rounds(&ledger, &kill_delays(12)).into_iter().flatten().collect();
    let (entries, gaps) = entries(&ledger.dir);
    let mut by_name: BTreeMap<&str, &Entry> = BTreeMap::new();
    for e in &entries {
        assert!(by_name.insert(&e.query, e).is_none(), "{} stands twice", e.query);
    }
    assert!(answered.len() > 100, "{} answers", answered.len());
    for (id, status) in &answered {
        let e = by_name.get(id.as_str()).unwrap_or_else(|| panic!("{id} was answered and is not entered"));
        let wanted =
            if *status == 200 { (Outcome::Complete, 3, 1250) } else { (e.outcome, e.parts_served, 0) };
        assert_eq!((e.outcome, e.parts_served, e.work), wanted, "{id}: {status}");
    }
    assert_eq!(gaps, 0);
    // Those that no client saw were answered when the kill came: one a client and round at most.
    assert!(
        entries.len() <= answered.len() + 12 * 3,
        "{} entries, {} answers",
        entries.len(),
        answered.len()
    );
    assert!(ledger.fleet.broken_rules().is_empty(), "{:?}", ledger.fleet.broken_rules());
    let ours = |e: &Entry| e.tenant_is_known && e.tenant == "acme";
    assert!(entries.iter().all(ours), "strangers were turned away with a 4xx: nothing of theirs is entered");
}

#[test]
fn group_mode_loses_only_the_last_entries_before_a_kill_and_records_a_gap() {
    let ledger = ledger_setup("group");
    let rounds = rounds(&ledger, &kill_delays(8));
    let (entries, gaps) = entries(&ledger.dir);
    let names: BTreeSet<&str> = entries.iter().map(|e| e.query.as_str()).collect();
    assert_eq!(names.len(), entries.len(), "none stands twice");
    for answered in &rounds {
        // What is missing of a client's answers is their end.
        let there = |(id, _): &(String, u16)| names.contains(id.as_str());
        let first = answered.iter().position(|a| !there(a)).unwrap_or(answered.len());
        assert!(
            !answered[first..].iter().any(there),
            "{} is missing, later ones are there",
            answered[first].0
        );
    }
    assert_eq!(gaps, 7, "each start but the first says that something may be missing");
}

#[test]
fn graceful_shutdown_enters_every_answer_and_leaves_no_gap() {
    let ledger = ledger_setup("group");
    let mut ids = Vec::new();
    for _ in 0..2 {
        let mut aggregator = ledger.setup.start();
        let mut client = Client::connect(aggregator.address);
        for _ in 0..20 {
            let id = format!("e{}", ids.len());
            assert_eq!(client.request(query(&id, "5000m", &[0, 1])).status, 200);
            ids.push(id);
        }
        let text = client.request("GET /metrics HTTP/1.1\r\n\r\n").body;
        let labels = r#"{tenant="acme",class="c",share="within",outcome="whole"}"#;
        for wanted in [
            format!("sailmux_tenant_queries_total{labels} 20"),
            format!("sailmux_tenant_parts_total{labels} 40"),
        ] {
            assert!(text.contains(&wanted), "{wanted}: {text}");
        }
        drop(client);
        aggregator.signal("-TERM");
        assert!(aggregator.wait_for_exit().success());
    }
    let (entries, gaps) = entries(&ledger.dir);
    assert_eq!(entries.iter().map(|e| e.query.clone()).collect::<Vec<_>>(), ids);
    assert_eq!(gaps, 0);
    // A second process is told that the directory is owned; those who only look are not.
    let _aggregator = ledger.setup.start();
    let out =
        spawn(&ledger.setup.config(), ledger.setup.operator.as_deref()).wait_with_output().expect("it ends");
    assert!(
        !out.status.success() && String::from_utf8_lossy(&out.stderr).contains("another process owns"),
        "{out:?}"
    );
    // What is to be written is asked of the owner.
    let ask = |args: &[&str]| {
        let out =
            Command::new(binary()).arg("ledger").arg(args[0]).arg(&ledger.dir).args(&args[1..]).output();
        let out = out.expect("it runs");
        (out.status.code(), String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned())
    };
    let made = [
        "correct",
        "--tenant",
        "acme",
        "--class",
        "c",
        "--corrects",
        "2026-11",
        "--queries",
        "-1",
        "--by",
        "me",
    ];
    let (code, words) = ask(&[&made[..], &["--why", "a test"]].concat());
    assert!(code == Some(0) && words.starts_with("correction "), "{words}");
    let (code, words) = ask(&[&made[..], &["--why", " "]].concat());
    assert!(code == Some(1) && words.contains("by whom and why"), "{words}");
    let (code, words) = ask(&["close", "2999-01"]);
    assert!(code == Some(1) && words.contains("2999-01 is not over"), "{words}");
    let show = Command::new(binary()).args(["ledger", "show"]).arg(&ledger.dir).output().expect("it runs");
    let table = String::from_utf8_lossy(&show.stdout).into_owned();
    assert!(table.contains("acme") && table.contains("40.000"), "40 queries of 500 + 2 * 250 each: {table}");
}

/// Export commands are killed at dozens of points in time; a billing system that imports each name once has each entry
/// once.
#[test]
fn exports_killed_at_any_time_bill_every_entry_once() {
    let ledger = ledger_setup("strict");
    let mut imported: BTreeMap<String, Vec<u8>> = BTreeMap::new();
    let period = {
        use std::time::{SystemTime, UNIX_EPOCH};
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_millis() as i64;
        Calendar::new("Asia/Taipei").expect("a zone").period(now).to_string()
    };
    let import = |imported: &mut BTreeMap<String, Vec<u8>>| {
        for file in std::fs::read_dir(&ledger.dir).expect("a directory").map_while(Result::ok) {
            let name = file.file_name().into_string().expect("text");
            if name.ends_with(".csv") {
                let bytes = std::fs::read(file.path()).expect("read");
                assert_eq!(
                    *imported.entry(name.clone()).or_insert_with(|| bytes.clone()),
                    bytes,
                    "{name} changed"
                );
            }
        }
    };
    let mut killed = 0;
    for round in 0..6 {
        rounds(&ledger, &[80 + 20 * round]);
        for step in 0..8u64 {
            let mut export = Command::new(binary())
                .args(["ledger", "export", ledger.dir.to_str().expect("text"), &period])
                .stdout(Stdio::null())
                .stderr(Stdio::null())
                .spawn()
                .expect("it runs");
            thread::sleep(Duration::from_micros(3100 * step + 311 * round));
            killed += u32::from(export.try_wait().expect("waited").is_none());
            let _ = export.kill();
            export.wait().expect("it ended");
            import(&mut imported);
        }
    }
    let last = Command::new(binary())
        .args(["ledger", "export"])
        .arg(&ledger.dir)
        .arg(&period)
        .output()
        .expect("it runs");
    assert!(last.status.success(), "{last:?}");
    import(&mut imported);
    let (entries, _) = entries(&ledger.dir);
    let rows = imported
        .values()
        .flat_map(|b| String::from_utf8_lossy(b).lines().skip(1).map(str::to_owned).collect::<Vec<_>>());
    let mut billed: Vec<String> = rows.map(|r| r.split(',').nth(6).expect("a query").to_owned()).collect();
    billed.sort();
    let mut wanted: Vec<String> = entries.iter().map(|e| e.query.clone()).collect();
    wanted.sort();
    println!("{killed} of 48 exports killed, {} exports, {} entries", imported.len(), wanted.len());
    assert_eq!(billed, wanted);
    assert!(killed >= 6, "{killed} kills came in time");
    let verify =
        Command::new(binary()).args(["ledger", "verify"]).arg(&ledger.dir).output().expect("it runs");
    assert!(verify.status.success(), "{verify:?}");
}
