//! An aggregator that reads its endpoints from an inventory file in YAML or CSV instead of discovery.

mod common;

use common::process::*;
use std::fs;

const FILE_NAMES: [&str; 2] = ["nodes.yaml", "nodes.csv"];

fn inventory_content(file: &str, server: &LeafServer) -> String {
    let port = server.address.port();
    if file.ends_with("csv") {
        return format!("name,host,port,cell,zone\n# the only server\ns0,127.0.0.1,{port},0,z\n");
    }
    format!(
        "all:\n  vars: {{zone: z}}\n  children:\n    index:\n      vars: {{cell: 0}}\n      hosts:\n        \
         s0: {{ansible_host: 127.0.0.1, port: {port}}}\n"
    )
}

#[test]
fn changed_list_is_applied_and_invalid_list_is_ignored() {
    for file in FILE_NAMES {
        let first = LeafServer::new();
        let second = LeafServer::new();
        let path = scratch_dir("inventory").join(file);
        fs::write(&path, inventory_content(file, &first)).expect("write succeeds");
        let operator = Some(format!("inventory:\n  file: {}\n", path.display()));
        let mut aggregator = Setup { operator, ..Setup::new(&[]) }.start();
        let mut client = Client::connect(aggregator.address);
        let mut query_through = |id: &str, server: &LeafServer| {
            client.send(query(id, "9000m", &[0]));
            let mut link = server.accept();
            let part = link.next_part();
            link.answer(&part, "good", "v");
            assert_eq!(client.response().status, 200);
            link
        };
        let mut link = query_through("q1", &first);
        // With a changed address, the old connection is closed and the next part goes to the new address.
        fs::write(&path, inventory_content(file, &second)).expect("write succeeds");
        assert_eq!(link.next_frame(), None);
        drop(query_through("q2", &second));
        let invalid = inventory_content(file, &first).replace("cell: 0", "cell: no").replace(",0,z", ",no,z");
        fs::write(&path, invalid).expect("write succeeds");
        assert!(aggregator.wait_for_log("s0.cell").contains("the previous list stays in force"), "{file}");
        query_through("q3", &second);
        assert_eq!(aggregator.counters()["lists_taken"], 2);
    }
}

#[test]
fn rejection_within_a_second_of_another_is_logged() {
    // Guards against a rejection that is never logged because another one was logged less than a second before.
    let server = LeafServer::new();
    let path = scratch_dir("inventory").join("nodes.yaml");
    let valid = inventory_content("nodes.yaml", &server);
    fs::write(&path, &valid).expect("write succeeds");
    let operator = Some(format!("inventory:\n  file: {}\n", path.display()));
    let mut aggregator = Setup { operator, ..Setup::new(&[]) }.start();
    // An empty file is what a reader sees between the truncation and the write of a writer.
    fs::write(&path, "").expect("write succeeds");
    aggregator.wait_for_log("contains no leaf servers");
    fs::write(&path, valid.replace("cell: 0", "cell: no")).expect("write succeeds");
    assert!(aggregator.wait_for_log("s0.cell").contains("the previous list stays in force"));
}

#[test]
fn invalid_inventory_fails_startup_and_reports_file_and_field() {
    use std::io::Read;
    for (file, text, field) in [
        ("n.yaml", "all: {hosts: {s0: {cell: 0}}}", "s0.port"),
        ("n.yaml", "all: {hosts: [s0]}", "all.hosts"),
        ("n.csv", "name,port\ns0,1\n", "s0.cell"),
        ("n.csv", "name,port,cell\ns0,1,0\ns0,1,0\n", "n.csv:3: name"),
    ] {
        let path = scratch_dir("inventory").join(file);
        fs::write(&path, text).expect("write succeeds");
        let operator = format!("inventory:\n  file: {}\n", path.display());
        let mut child = spawn(&Setup::new(&[]).config(), Some(&operator));
        let mut stderr = String::new();
        child.stderr.take().expect("stderr is piped").read_to_string(&mut stderr).expect("stderr is UTF-8");
        assert!(!child.wait().expect("process exits").success());
        assert!(stderr.contains(file) && stderr.contains(field), "{field}: {stderr}");
    }
}
