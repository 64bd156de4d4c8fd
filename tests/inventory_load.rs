//! Inventories rewritten in every way under load: a draining leaf server gets nothing new after 1 s, parts go only to
//! holders of their shard, and each query gets one complete answer.

mod common;

use common::fleet::*;
use common::process::*;
use std::collections::BTreeSet;
use std::fs;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Two servers drain one after the other, each for long enough that a late part would show.
fn check_drains(way: WriteMethod, file: &str, more: &str) {
    let mut run = InventoryRun::start(way, file, 9, 3, more);
    for name in ["s00", "s04"] {
        let drain_time = run.drain(name);
        assert!(
            drain_time < Duration::from_secs(1),
            "{way:?}, {file}: {drain_time:?} from the last byte to the effect"
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
fn file_whose_writer_pauses_halfway_is_applied() {
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
fn file_that_is_missing_for_a_while_is_applied() {
    check_drains(WriteMethod::RemoveAndRewrite, "n.yaml", "");
    check_drains(WriteMethod::RemoveAndRewrite, "n.csv", "  watch: poll\n");
}

#[test]
fn notifications_without_polling_detect_renamed_and_edited_files() {
    check_drains(WriteMethod::Rename, "n.csv", "  watch: notify\n");
    check_drains(WriteMethod::InPlace, "n.yaml", "  watch: notify\n");
}

/// Lines are written one by one with short pauses: many intermediate states are valid lists that lose few servers.
#[test]
fn file_that_grows_line_by_line_is_applied_once_it_is_unchanged() {
    use std::io::Write;
    let path = scratch_dir("grows").join("n.csv");
    let row = |i: usize| format!("s{i:02},127.0.0.1,{},{}\n", 9000 + i, i % 3);
    let write = |rows: usize| {
        let mut file = fs::File::create(&path).expect("made");
        file.write_all(b"name,host,port,cell\n").expect("written");
        for i in 0..rows {
            file.write_all(row(i).as_bytes()).expect("written");
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
    // One server is removed and added as the file is rewritten; no list may remove more.
    let removes_few = |line: &&String| line.contains("gone=0 ") || line.contains("gone=1 ");
    let lost =
        aggregator.log().iter().filter(|l| l.contains("list applied")).filter(|line| !removes_few(line));
    assert_eq!(lost.count(), 0, "{:#?}", aggregator.log());
}

/// Nobody can read a symbolic link to itself; only root can read a file without permissions.
#[test]
fn unreadable_file_keeps_the_last_list() {
    use std::os::unix::fs::{PermissionsExt, symlink};
    let mut run = InventoryRun::start(WriteMethod::Rename, "n.csv", 6, 2, "");
    let path = run.writer.path();
    let rights = |mode| fs::set_permissions(&path, fs::Permissions::from_mode(mode)).expect("set");
    fs::remove_file(&path).expect("removed");
    symlink(&path, &path).expect("linked");
    assert!(run.aggregator.wait_for_new_log("the previous list stays in force").contains("n.csv"));
    fs::remove_file(&path).expect("removed");
    fs::write(&path, run.text()).expect("written");
    rights(0);
    if fs::read(&path).is_err() {
        assert!(run.aggregator.wait_for_new_log("the previous list stays in force").contains("n.csv"));
    }
    rights(0o644);
    let drain_time = run.drain("s03");
    assert!(drain_time < Duration::from_secs(1), "{drain_time:?}");
    sleep(Duration::from_millis(1100));
    run.finish();
}

/// A version every 50 ms, of which three of four are invalid; a server drains meanwhile.
#[test]
fn drain_among_many_invalid_files_takes_effect() {
    for way in [WriteMethod::Rename, WriteMethod::InPlace] {
        let mut run = InventoryRun::start(way, "n.csv", 9, 3, "");
        let begun = Instant::now();
        let mut drained = None;
        while begun.elapsed() < Duration::from_secs(4) {
            if drained.is_none() && begun.elapsed() > Duration::from_millis(1500) {
                run.draining.insert("s03".to_owned());
            }
            let valid = run.text();
            let broken =
                [valid[..valid.len() / 2].to_owned(), valid.replace(",ready", ",wild"), String::new()];
            for (i, text) in
                [valid, broken[0].clone(), broken[1].clone(), broken[2].clone()].iter().enumerate()
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
        let refused = run.aggregator.counters()["lists_refused"];
        assert!((1..=6).contains(&refused), "{way:?}: {refused} refusals told, one a second at most");
        run.finish();
    }
}

#[test]
fn link_replaced_every_50_ms_with_sighup_meanwhile() {
    let mut run = InventoryRun::start(WriteMethod::SymlinkSwap, "n.yaml", 9, 3, "");
    let names: Vec<String> = run.fleet.addresses.keys().cloned().collect();
    for i in 0..60 {
        // Each server drains for two versions; in the last one all are ready.
        run.draining = if i < 59 { BTreeSet::from([names[i / 2 % 9].clone()]) } else { BTreeSet::new() };
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
fn server_that_changes_its_cell_gets_no_part_of_the_old_one() {
    // s09 moves from cell 0 to cell 1: what it gets after the list was applied must be of its new shard.
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
fn list_that_loses_too_many_servers_is_held_back_until_confirmed() {
    let mut run = InventoryRun::start(WriteMethod::Rename, "n.csv", 9, 2, "");
    let complete = run.text();
    let short: String = complete.lines().take(5).map(|l| format!("{l}\n")).collect();
    run.writer.write(&short.replacen("0,ready", "0,draining", 1));
    let line = run.aggregator.wait_for_new_log("list held back");
    assert!(line.contains("5 of 9 nodes would be lost at once") && line.contains("WARN"), "{line}");
    // Its drains have taken effect; the servers that it lacks still serve.
    sleep(Duration::from_millis(200));
    let before = run.fleet.parts();
    sleep(Duration::from_millis(200));
    assert!(run.fleet.parts() > before);
    // The command says which list it confirms; the aggregator applies that one only.
    let path = run.writer.path();
    let confirm = || {
        std::process::Command::new(binary())
            .args(["inventory", "confirm"])
            .arg(&path)
            .output()
            .expect("it runs")
    };
    let out = confirm();
    assert!(out.status.success(), "{out:?}");
    let line = run.aggregator.wait_for_new_log("confirmed=true");
    assert!(line.contains("nodes=4") && line.contains("gone=5"), "{line}");
    let gone = fs::metadata(path.with_extension("csv.confirm"));
    assert!(gone.is_err(), "a confirmation is read once");
    run.writer.write(&complete);
    run.aggregator.wait_for_new_log("added=5");
    run.finish();
}

#[test]
fn draining_or_gone_in_any_source_prevails() {
    let (fleet, discovery) = (LeafFleet::new(6), Discovery::new());
    let dir = scratch_dir("several");
    fs::write(dir.join("n.yaml"), fleet.inventory("n.yaml", &BTreeSet::new())).expect("written");
    fs::write(dir.join("drains.csv"), "name,state\n").expect("written");
    let operator = format!(
        "inventory:\n  discovery: true\n  files:\n    - path: {0}/n.yaml\n    - path: {0}/drains.csv\n      partial: true\n",
        dir.display()
    );
    let known = fleet.listed_endpoints();
    let setup = Setup { operator: Some(operator), discovery: discovery.address(), ..Setup::new(&known) };
    let mut aggregator = setup.start();
    let mut watch = discovery.accept();
    watch.send_event(&list(2, true, &known));
    let load = Load::start(aggregator.address, 2);
    // A file drains a server that is ready by discovery.
    fs::write(dir.join("drains.csv"), "name,state\ns00,draining\n").expect("written");
    fleet.record_drain("s00");
    aggregator.wait_for_new_log("drained=1");
    // Discovery removes a server that is ready by the files: it stays removed.
    let gone = ListedEndpoint { lifecycle: "Gone", ..known[4].clone() };
    watch.send_event(&list(3, false, &[gone]));
    fleet.record_drain("s04");
    sleep(Duration::from_millis(300));
    fs::write(dir.join("n.yaml"), fleet.inventory("n.yaml", &BTreeSet::from(["s05".to_owned()])))
        .expect("written");
    fleet.record_drain("s05");
    aggregator.wait_for_new_log("drained=1");
    // Discovery lists the draining server as ready again: the drain by the file prevails.
    watch.send_event(&list(4, false, &[known[0].clone()]));
    sleep(Duration::from_millis(1200));
    let (answered, wrong) = load.stop();
    assert!(answered > 50 && wrong.is_empty(), "{wrong:?}");
    assert!(fleet.broken_rules().is_empty(), "{:?}", fleet.broken_rules());
    // Of cell 2 only s02 is left, of cell 1 only s01: both serve by discovery alone.
    fs::remove_file(dir.join("n.yaml")).expect("removed");
    assert!(aggregator.wait_for_new_log("the previous list stays in force").contains("n.yaml"));
    assert_eq!(Client::connect(aggregator.address).request(query("last", "5000m", &[0, 1, 2])).status, 200);
}
