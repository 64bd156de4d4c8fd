//! The ledger of aggregator processes that are killed under load, and export commands that are killed.

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

/// The delay before each kill in milliseconds, printed so that a failed run can be reproduced.
fn kill_delays(rounds: u64) -> Vec<u64> {
    let delays_ms: Vec<u64> = (0..rounds).map(|round| 60 + (round * 101 + 31) % 240).collect();
    println!("killed after {delays_ms:?} ms");
    delays_ms
}

/// Sends queries until the connection breaks and signals the first answer. Returns the ids of the answered queries with
/// their HTTP status, in order.
fn query_until_killed(address: SocketAddr, tenant: &str, first_answer: &Sender<()>) -> Vec<(String, u16)> {
    static NEXT_ID: AtomicU64 = AtomicU64::new(0);
    let mut answered = Vec::new();
    let Ok(stream) = TcpStream::connect(address) else { return answered };
    let mut stream = BufReader::new(stream);
    loop {
        let id = format!("k{}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
        let request = query(&id, "5000m", &[0, 1, 2]).replace("acme", tenant);
        if stream.get_mut().write_all(request.as_bytes()).is_err() {
            return answered;
        }
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if stream.read_line(&mut head).unwrap_or(0) == 0 {
                return answered;
            }
        }
        let length =
            head.lines().find_map(|line| line.strip_prefix("Content-Length: ")?.parse().ok()).unwrap_or(0);
        if stream.read_exact(&mut vec![0; length]).is_err() {
            return answered;
        }
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("HTTP status");
        answered.push((id, status));
        if answered.len() == 1 {
            first_answer.send(()).expect("the test waits for the first answer");
        }
    }
}

/// The entries of a ledger and its number of gaps.
fn entries_and_gap_count(dir: &Path) -> (Vec<Entry>, usize) {
    let mut all = Vec::new();
    let calendar = Calendar::new("Asia/Taipei").expect("valid time zone");
    let book = read_all(&RealDisk::open_read_only(dir), &calendar, |_, record, _| {
        if let Record::Entry(entry) = record {
            all.push(entry.clone());
        }
    });
    (all, book.expect("readable").gaps().len())
}

struct LedgerSetup {
    fleet: LeafFleet,
    setup: Setup,
    dir: std::path::PathBuf,
}

fn ledger_setup(mode: &str) -> LedgerSetup {
    let fleet = LeafFleet::new(6);
    let listed = fleet.listed_endpoints();
    let dir = scratch_dir("ledger");
    let operator = Some(format!(
        "ledger: {{dir: {}, mode: {mode}, prices: {{c: {{query: 500, part: 250}}}}}}\n",
        dir.display()
    ));
    LedgerSetup { setup: Setup { operator, ..Setup::new(&listed) }, fleet, dir }
}

/// In each round, starts an aggregator, queries it from three clients and kills it after a delay from the first answer
/// to each client. Returns the answers to the first two clients in each round. The third client uses a tenant that is
/// not configured: its queries are rejected and not recorded.
fn kill_rounds(ledger: &LedgerSetup, delays_ms: &[u64]) -> Vec<Vec<(String, u16)>> {
    let run_round = |delay_ms: &u64| {
        let mut aggregator = ledger.setup.start();
        let address = aggregator.address;
        let (first_answer, first_answers) = channel();
        let start_client = |tenant: &'static str| {
            let first_answer = first_answer.clone();
            thread::spawn(move || query_until_killed(address, tenant, &first_answer))
        };
        let clients = ["acme", "acme", "stranger"].map(start_client);
        for _ in &clients {
            first_answers.recv_timeout(WAIT_TIMEOUT).expect("each client receives a first answer");
        }
        thread::sleep(Duration::from_millis(*delay_ms));
        aggregator.kill();
        let [first, second, unknown] = clients.map(|client| client.join().expect("no panic"));
        assert!(!unknown.is_empty() && unknown.iter().all(|(_, status)| *status == 400), "{unknown:?}");
        [first, second]
    };
    delays_ms.iter().flat_map(run_round).collect()
}

#[test]
fn strict_mode_records_every_answer_once_when_the_aggregator_is_killed_repeatedly() {
    let ledger = ledger_setup("strict");
    let answered: BTreeMap<String, u16> =
        kill_rounds(&ledger, &kill_delays(12)).into_iter().flatten().collect();
    let (entries, gaps) = entries_and_gap_count(&ledger.dir);
    let mut entries_by_query: BTreeMap<&str, &Entry> = BTreeMap::new();
    for entry in &entries {
        assert!(entries_by_query.insert(&entry.query, entry).is_none(), "{} is recorded twice", entry.query);
    }
    assert!(answered.len() > 100, "{} answers", answered.len());
    for (id, status) in &answered {
        let entry =
            entries_by_query.get(id.as_str()).unwrap_or_else(|| panic!("{id} was answered but not recorded"));
        let expected = if *status == 200 {
            (Outcome::Complete, 3, 1250)
        } else {
            (entry.outcome, entry.parts_served, 0)
        };
        assert_eq!((entry.outcome, entry.parts_served, entry.work), expected, "{id}: {status}");
    }
    assert_eq!(gaps, 0);
    // Entries without a received answer are of queries in flight at a kill: at most one per client and round.
    assert!(
        entries.len() <= answered.len() + 12 * 3,
        "{} entries, {} answers",
        entries.len(),
        answered.len()
    );
    assert!(ledger.fleet.rule_violations().is_empty(), "{:?}", ledger.fleet.rule_violations());
    let is_of_known_tenant = |entry: &Entry| entry.tenant_is_known && entry.tenant == "acme";
    assert!(
        entries.iter().all(is_of_known_tenant),
        "queries of an unknown tenant get status 400 and are not recorded"
    );
}

#[test]
fn group_mode_loses_only_the_last_entries_before_a_kill_and_records_a_gap() {
    let ledger = ledger_setup("group");
    let answers = kill_rounds(&ledger, &kill_delays(8));
    let (entries, gaps) = entries_and_gap_count(&ledger.dir);
    let recorded: BTreeSet<&str> = entries.iter().map(|entry| entry.query.as_str()).collect();
    assert_eq!(recorded.len(), entries.len(), "no duplicates");
    for answered in &answers {
        // Only the last answers to a client may be missing.
        let is_recorded = |(id, _): &(String, u16)| recorded.contains(id.as_str());
        let first_missing = answered.iter().position(|answer| !is_recorded(answer)).unwrap_or(answered.len());
        assert!(
            !answered[first_missing..].iter().any(is_recorded),
            "{} is missing, but later answers are recorded",
            answered[first_missing].0
        );
    }
    assert_eq!(gaps, 7, "each start except the first records that entries may be missing");
}

#[test]
fn graceful_shutdown_records_every_answer_and_leaves_no_gap() {
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
        let metrics = client.request("GET /metrics HTTP/1.1\r\n\r\n").body;
        let labels = r#"{tenant="acme",class="c",share="within",outcome="whole"}"#;
        for expected in [
            format!("sailmux_tenant_queries_total{labels} 20"),
            format!("sailmux_tenant_parts_total{labels} 40"),
        ] {
            assert!(metrics.contains(&expected), "{expected}: {metrics}");
        }
        drop(client);
        aggregator.signal("-TERM");
        assert!(aggregator.wait_for_exit().success());
    }
    let (entries, gaps) = entries_and_gap_count(&ledger.dir);
    assert_eq!(entries.iter().map(|entry| entry.query.clone()).collect::<Vec<_>>(), ids);
    assert_eq!(gaps, 0);
    // A second aggregator fails because the directory is owned; commands that only read are allowed.
    let _aggregator = ledger.setup.start();
    let output =
        spawn(&ledger.setup.config(), ledger.setup.operator.as_deref()).wait_with_output().expect("output");
    assert!(
        !output.status.success() && String::from_utf8_lossy(&output.stderr).contains("another process owns"),
        "{output:?}"
    );
    // Commands that write send a request to the owner.
    let run_command = |args: &[&str]| {
        let output =
            Command::new(binary()).arg("ledger").arg(args[0]).arg(&ledger.dir).args(&args[1..]).output();
        let output = output.expect("command runs");
        (output.status.code(), String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned())
    };
    let correct_args = [
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
    let (code, output) = run_command(&[&correct_args[..], &["--why", "a test"]].concat());
    assert!(code == Some(0) && output.starts_with("correction "), "{output}");
    let (code, output) = run_command(&[&correct_args[..], &["--why", " "]].concat());
    assert!(code == Some(1) && output.contains("by whom and why"), "{output}");
    let (code, output) = run_command(&["close", "2999-01"]);
    assert!(code == Some(1) && output.contains("2999-01 is not over"), "{output}");
    let show = Command::new(binary()).args(["ledger", "show"]).arg(&ledger.dir).output().expect("output");
    let table = String::from_utf8_lossy(&show.stdout).into_owned();
    assert!(table.contains("acme") && table.contains("40.000"), "40 queries of 500 + 2 * 250 each: {table}");
}

/// Kills export commands after dozens of different delays. A billing system that imports each export name once must
/// have each entry exactly once.
#[test]
fn export_commands_killed_at_any_time_export_every_entry_once() {
    let ledger = ledger_setup("strict");
    let mut imported: BTreeMap<String, Vec<u8>> = BTreeMap::new();
    let period = {
        use std::time::{SystemTime, UNIX_EPOCH};
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("time after 1970").as_millis() as i64;
        Calendar::new("Asia/Taipei").expect("valid time zone").period(now).to_string()
    };
    let import = |imported: &mut BTreeMap<String, Vec<u8>>| {
        for file in std::fs::read_dir(&ledger.dir).expect("directory is readable").map_while(Result::ok) {
            let name = file.file_name().into_string().expect("UTF-8");
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
        kill_rounds(&ledger, &[80 + 20 * round]);
        for attempt in 0..8u64 {
            let mut export = Command::new(binary())
                .args(["ledger", "export", ledger.dir.to_str().expect("UTF-8"), &period])
                .stdout(Stdio::null())
                .stderr(Stdio::null())
                .spawn()
                .expect("command runs");
            thread::sleep(Duration::from_micros(3100 * attempt + 311 * round));
            killed += u32::from(export.try_wait().expect("process status").is_none());
            let _ = export.kill();
            export.wait().expect("process exits");
            import(&mut imported);
        }
    }
    let final_export = Command::new(binary())
        .args(["ledger", "export"])
        .arg(&ledger.dir)
        .arg(&period)
        .output()
        .expect("command runs");
    assert!(final_export.status.success(), "{final_export:?}");
    import(&mut imported);
    let (entries, _) = entries_and_gap_count(&ledger.dir);
    let rows = imported.values().flat_map(|bytes| {
        String::from_utf8_lossy(bytes).lines().skip(1).map(str::to_owned).collect::<Vec<_>>()
    });
    let mut billed: Vec<String> =
        rows.map(|row| row.split(',').nth(6).expect("query column").to_owned()).collect();
    billed.sort();
    let mut expected: Vec<String> = entries.iter().map(|entry| entry.query.clone()).collect();
    expected.sort();
    println!("{killed} of 48 exports killed, {} exports, {} entries", imported.len(), expected.len());
    assert_eq!(billed, expected);
    assert!(killed >= 6, "only {killed} exports were killed before they ended");
    let verify =
        Command::new(binary()).args(["ledger", "verify"]).arg(&ledger.dir).output().expect("command runs");
    assert!(verify.status.success(), "{verify:?}");
}
