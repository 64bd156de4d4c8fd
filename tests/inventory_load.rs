//! Inventory files that are rewritten by different methods under load. A draining leaf server receives no new parts
//! after 1 s, parts are sent only to replicas of their shard, and each query gets exactly one complete answer.

mod common;

use common::fleet::*;
use common::process::*;
use std::collections::BTreeSet;
use std::fs;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Drains two servers one after the other, each for long enough to detect a part that is sent too late.
fn check_drains(method: WriteMethod, file: &str, settings: &str) {
    let mut run = InventoryRun::start(method, file, 9, 3, settings);
    for name in ["s00", "s04"] {
        let drain_time = run.drain(name);
        assert!(
            drain_time < Duration::from_secs(1),
            "{method:?}, {file}: {drain_time:?} from the last written byte until the drain took effect"
        );
        sleep(Duration::from_millis(1150));
        run.ready(name);
    }
    let (answered, parts) = run.finish();
    assert!(answered > 50 && parts >= answered * 3, "{answered} queries, {parts} parts");
}

#[test]
fn renamed_file_is_applied() {
    check_drains(WriteMethod::Rename, "n.csv", "");
    check_drains(WriteMethod::Rename, "n.yaml", "  watch: poll\n");
}

#[test]
fn file_edited_in_place_is_applied() {
    check_drains(WriteMethod::InPlace, "n.yaml", "");
    check_drains(WriteMethod::InPlace, "n.csv", "  watch: poll\n");
}

#[test]
fn file_whose_writer_pauses_midway_is_applied() {
    check_drains(WriteMethod::Paused, "n.csv", "");
    check_drains(WriteMethod::Paused, "n.yaml", "  watch: poll\n");
}

#[test]
fn replaced_symbolic_link_is_applied() {
    check_drains(WriteMethod::SymlinkSwap, "n.yaml", "");
    check_drains(WriteMethod::SymlinkSwap, "n.csv", "  watch: poll\n");
}

#[test]
fn replaced_directory_is_applied() {
    check_drains(WriteMethod::DirectorySwap, "n.csv", "");
    check_drains(WriteMethod::DirectorySwap, "n.yaml", "  watch: poll\n");
}

#[test]
fn file_that_is_temporarily_missing_is_applied() {
    check_drains(WriteMethod::RemoveAndRewrite, "n.yaml", "");
    check_drains(WriteMethod::RemoveAndRewrite, "n.csv", "  watch: poll\n");
}

#[test]
fn notifications_without_polling_detect_renamed_and_edited_files() {
    check_drains(WriteMethod::Rename, "n.csv", "  watch: notify\n");
    check_drains(WriteMethod::InPlace, "n.yaml", "  watch: notify\n");
}

/// Lines are written one by one with short pauses, so many intermediate states are valid lists that lack few servers.
#[test]
fn file_written_line_by_line_is_applied_once_it_is_stable() {
    use std::io::Write;
    let path = scratch_dir("grows").join("n.csv");
    let row = |i: usize| format!("s{i:02},127.0.0.1,{},{}\n", 9000 + i, i % 3);
    let write = |rows: usize| {
        let mut file = fs::File::create(&path).expect("file is created");
        file.write_all(b"name,host,port,cell\n").expect("write succeeds");
        for i in 0..rows {
            file.write_all(row(i).as_bytes()).expect("write succeeds");
            sleep(Duration::from_millis(4));
        }
    };
    write(60);
    let operator = Some(format!("inventory:\n  file: {}\n  settle_ms: 150\n", path.display()));
    let mut aggregator = Setup { operator, ..Setup::new(&[]) }.start();
    for _ in 0..5 {
        write(61);
        write(60);
    }
    write(62);
    aggregator.wait_for_new_log("nodes=62");
    // The rewritten files differ by one server, so no applied list may remove more than one.
    let removes_at_most_one = |line: &&String| line.contains("gone=0 ") || line.contains("gone=1 ");
    let applied_with_losses = aggregator
        .log()
        .iter()
        .filter(|line| line.contains("list applied"))
        .filter(|line| !removes_at_most_one(line));
    assert_eq!(applied_with_losses.count(), 0, "{:#?}", aggregator.log());
}

/// A symbolic link to itself is unreadable for every user; a file without permissions is readable only for root.
#[test]
fn unreadable_file_keeps_the_previous_list() {
    use std::os::unix::fs::{PermissionsExt, symlink};
    let mut run = InventoryRun::start(WriteMethod::Rename, "n.csv", 6, 2, "");
    let path = run.writer.path();
    let set_mode =
        |mode| fs::set_permissions(&path, fs::Permissions::from_mode(mode)).expect("permissions are set");
    fs::remove_file(&path).expect("file is removed");
    symlink(&path, &path).expect("link is created");
    assert!(run.aggregator.wait_for_new_log("the previous list stays in force").contains("n.csv"));
    fs::remove_file(&path).expect("file is removed");
    fs::write(&path, run.text()).expect("write succeeds");
    set_mode(0);
    if fs::read(&path).is_err() {
        assert!(run.aggregator.wait_for_new_log("the previous list stays in force").contains("n.csv"));
    }
    set_mode(0o644);
    let drain_time = run.drain("s03");
    assert!(drain_time < Duration::from_secs(1), "{drain_time:?}");
    sleep(Duration::from_millis(1100));
    run.finish();
}

/// A new version is written every 50 ms, three of four are invalid, and a server is drained meanwhile.
#[test]
fn drain_among_many_invalid_versions_takes_effect() {
    for method in [WriteMethod::Rename, WriteMethod::InPlace] {
        let mut run = InventoryRun::start(method, "n.csv", 9, 3, "");
        let start = Instant::now();
        let mut drained = None;
        while start.elapsed() < Duration::from_secs(4) {
            if drained.is_none() && start.elapsed() > Duration::from_millis(1500) {
                run.draining.insert("s03".to_owned());
            }
            let valid = run.text();
            let invalid =
                [valid[..valid.len() / 2].to_owned(), valid.replace(",ready", ",wild"), String::new()];
            for (i, text) in
                [valid, invalid[0].clone(), invalid[1].clone(), invalid[2].clone()].iter().enumerate()
            {
                run.writer.write(text);
                if i == 0 && drained.is_none() && !run.draining.is_empty() {
                    run.fleet.record_drain("s03");
                    drained = Some(Instant::now());
                }
                sleep(Duration::from_millis(50));
            }
        }
        let valid = run.text();
        run.writer.write(&valid);
        let rejected = run.aggregator.counters()["lists_refused"];
        assert!(
            (1..=6).contains(&rejected),
            "{method:?}: {rejected} rejections counted, expected at most one per second"
        );
        run.finish();
    }
}

#[test]
fn frequently_replaced_link_with_concurrent_reloads_is_applied() {
    let mut run = InventoryRun::start(WriteMethod::SymlinkSwap, "n.yaml", 9, 3, "");
    let server_names: Vec<String> = run.fleet.addresses.keys().cloned().collect();
    for i in 0..60 {
        // Each server drains for two versions; in the last version all are ready.
        run.draining =
            if i < 59 { BTreeSet::from([server_names[i / 2 % 9].clone()]) } else { BTreeSet::new() };
        let text = run.text();
        run.writer.write(&text);
        if i % 20 == 10 {
            run.aggregator.signal("-HUP");
        }
        sleep(Duration::from_millis(50));
    }
    let drain_time = run.drain("s07");
    assert!(drain_time < Duration::from_secs(1), "{drain_time:?}");
    sleep(Duration::from_millis(1150));
    assert_eq!(run.aggregator.counters()["reloads"], 3);
    run.finish();
}

#[test]
fn server_that_changes_cells_gets_no_part_of_its_old_shard() {
    // s09 moves from cell 0 to cell 1. Parts that it receives after the list is applied must be for its new shard.
    let mut run = InventoryRun::start(WriteMethod::Rename, "n.yaml", 12, 3, "");
    let drained = run.drain("s09");
    assert!(drained < Duration::from_secs(1));
    sleep(Duration::from_millis(300));
    run.fleet.record_move("s09", 1);
    let text = run.text();
    run.writer.write(&text);
    run.aggregator.wait_for_new_log("changed=1");
    run.ready("s09");
    sleep(Duration::from_millis(500));
    run.finish();
}

#[test]
fn list_that_removes_too_many_servers_is_held_back_until_confirmed() {
    let mut run = InventoryRun::start(WriteMethod::Rename, "n.csv", 9, 2, "");
    let complete = run.text();
    let shortened: String = complete.lines().take(5).map(|line| format!("{line}\n")).collect();
    run.writer.write(&shortened.replacen("0,ready", "0,draining", 1));
    let line = run.aggregator.wait_for_new_log("list held back");
    assert!(line.contains("5 of 9 leaf servers would be removed at once") && line.contains("WARN"), "{line}");
    // Drains of the held-back list have taken effect; servers that it lacks still receive parts.
    sleep(Duration::from_millis(200));
    let before = run.fleet.parts();
    sleep(Duration::from_millis(200));
    assert!(run.fleet.parts() > before);
    // The confirmation names a list by its digest; the aggregator applies only that list.
    let path = run.writer.path();
    let confirm = || {
        std::process::Command::new(binary())
            .args(["inventory", "confirm"])
            .arg(&path)
            .output()
            .expect("command runs")
    };
    let output = confirm();
    assert!(output.status.success(), "{output:?}");
    let line = run.aggregator.wait_for_new_log("confirmed=true");
    assert!(line.contains("nodes=4") && line.contains("gone=5"), "{line}");
    let confirmation_file = fs::metadata(path.with_extension("csv.confirm"));
    assert!(confirmation_file.is_err(), "the confirmation file is removed after it is read");
    run.writer.write(&complete);
    run.aggregator.wait_for_new_log("added=5");
    run.finish();
}

#[test]
fn draining_or_removed_in_any_source_takes_precedence() {
    let (fleet, discovery) = (LeafFleet::new(6), Discovery::new());
    let dir = scratch_dir("several");
    fs::write(dir.join("n.yaml"), fleet.inventory("n.yaml", &BTreeSet::new())).expect("write succeeds");
    fs::write(dir.join("drains.csv"), "name,state\n").expect("write succeeds");
    let operator = format!(
        "inventory:\n  discovery: true\n  files:\n    - path: {0}/n.yaml\n    - path: {0}/drains.csv\n      partial: true\n",
        dir.display()
    );
    let listed_servers = fleet.listed_endpoints();
    let setup =
        Setup { operator: Some(operator), discovery: discovery.address(), ..Setup::new(&listed_servers) };
    let mut aggregator = setup.start();
    let mut watch = discovery.accept();
    watch.send_event(&list(2, true, &listed_servers));
    let load = Load::start(aggregator.address, 2);
    // A file drains a server that is ready in discovery.
    fs::write(dir.join("drains.csv"), "name,state\ns00,draining\n").expect("write succeeds");
    fleet.record_drain("s00");
    aggregator.wait_for_new_log("drained=1");
    // Discovery removes a server that is ready in the files: it stays removed.
    let removed = ListedEndpoint { lifecycle: "Gone", ..listed_servers[4].clone() };
    watch.send_event(&list(3, false, &[removed]));
    fleet.record_drain("s04");
    sleep(Duration::from_millis(300));
    fs::write(dir.join("n.yaml"), fleet.inventory("n.yaml", &BTreeSet::from(["s05".to_owned()])))
        .expect("write succeeds");
    fleet.record_drain("s05");
    aggregator.wait_for_new_log("drained=1");
    // Discovery lists the draining server as ready again: the drain in the file takes precedence.
    watch.send_event(&list(4, false, &[listed_servers[0].clone()]));
    sleep(Duration::from_millis(1200));
    let (answered, violations) = load.stop();
    assert!(answered > 50 && violations.is_empty(), "{violations:?}");
    assert!(fleet.rule_violations().is_empty(), "{:?}", fleet.rule_violations());
    // Only s02 is left in cell 2 and only s01 in cell 1; both are now listed by discovery alone.
    fs::remove_file(dir.join("n.yaml")).expect("file is removed");
    assert!(aggregator.wait_for_new_log("the previous list stays in force").contains("n.yaml"));
    assert_eq!(Client::connect(aggregator.address).request(query("last", "5000m", &[0, 1, 2])).status, 200);
}
