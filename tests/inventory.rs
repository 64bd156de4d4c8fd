//! An inventory in YAML and in CSV in the place of discovery.

mod common;

use common::process::*;
use std::fs;

const FILES: [&str; 2] = ["nodes.yaml", "nodes.csv"];

fn inventory(file: &str, node: &Node) -> String {
    let port = node.address.port();
    if file.ends_with("csv") {
        return format!("name,host,port,cell,zone\n# the only one\ns0,127.0.0.1,{port},0,z\n");
    }
    format!(
        "all:\n  vars: {{zone: z}}\n  children:\n    index:\n      vars: {{cell: 0}}\n      hosts:\n        \
         s0: {{ansible_host: 127.0.0.1, port: {port}}}\n"
    )
}

#[test]
fn the_list_is_taken_and_taken_again_and_a_bad_one_changes_nothing() {
    for file in FILES {
        let (a, b) = (Node::new(), Node::new());
        let path = scratch("inventory").join(file);
        fs::write(&path, inventory(file, &a)).expect("written");
        let operator = Some(format!("inventory:\n  file: {}\n", path.display()));
        let mut mixer = Setup { operator, ..Setup::new(&[]) }.start();
        let mut client = Client::connect(mixer.address);
        let mut ask = |id: &str, node: &Node| {
            client.send(query(id, "9000m", &[0]));
            let mut link = node.accept();
            let part = link.part();
            link.answer(&part, "good", "v");
            assert_eq!(client.response().status, 200);
            link
        };
        let mut link = ask("q1", &a);
        // The node has moved: its old connection is closed, and the next part goes to the new place.
        fs::write(&path, inventory(file, &b)).expect("written");
        assert_eq!(link.frame(), None);
        drop(ask("q2", &b));
        let bad = inventory(file, &a).replace("cell: 0", "cell: no").replace(",0,z", ",no,z");
        fs::write(&path, bad).expect("written");
        assert!(mixer.told("s0.cell").contains("the old list stands"), "{file}");
        ask("q3", &b);
        assert_eq!(mixer.counters()["lists_taken"], 2);
    }
}

#[test]
fn a_bad_inventory_stops_the_start_and_is_named() {
    use std::io::Read;
    for (file, text, field) in [
        ("n.yaml", "all: {hosts: {s0: {cell: 0}}}", "s0.port"),
        ("n.yaml", "all: {hosts: [s0]}", "all.hosts"),
        ("n.csv", "name,port\ns0,1\n", "s0.cell"),
        ("n.csv", "name,port,cell\ns0,1,0\ns0,1,0\n", "n.csv:3: name"),
    ] {
        let path = scratch("inventory").join(file);
        fs::write(&path, text).expect("written");
        let operator = format!("inventory:\n  file: {}\n", path.display());
        let mut child = spawn(&Setup::new(&[]).config(), Some(&operator));
        let mut words = String::new();
        child.stderr.take().expect("piped").read_to_string(&mut words).expect("text");
        assert!(!child.wait().expect("it ends").success());
        assert!(words.contains(file) && words.contains(field), "{field}: {words}");
    }
}
