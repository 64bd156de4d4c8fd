//! The command line: its output and exit codes.

mod common;

use common::process::{Setup, binary, scratch_dir};
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn sailmux(args: &[&str]) -> Output {
    let mut command = Command::new(binary());
    for variable in ["RELAY_CONFIG", "SAILMUX_OPERATOR"] {
        command.env_remove(variable);
    }
    command.args(args).output().expect("sailmux does not run")
}

/// Exit code, standard output and standard error.
fn run(args: &[&str]) -> (i32, String, String) {
    let output = sailmux(args);
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("not UTF-8");
    (output.status.code().expect("killed by a signal"), text(output.stdout), text(output.stderr))
}

fn scratch_file(name: &str, text: &str) -> PathBuf {
    let path = scratch_dir("cli").join(name);
    fs::write(&path, text).expect("file is not writable");
    path
}

fn path_text(path: &Path) -> &str {
    path.to_str().expect("not UTF-8")
}

/// An inventory of six ready leaf servers, two in each of three cells.
const INVENTORY_CSV: &str =
    "name,host,port,cell,state\na0,h,1,0,\nb0,h,2,0,\na1,h,3,1,\nb1,h,4,1,\na2,h,5,2,\nb2,h,6,2,\n";

#[test]
fn exit_code_is_2_for_usage_errors_and_1_for_failures() {
    assert_eq!(run(&["--nonsense"]).0, 2);
    assert_eq!(run(&["inventory", "show"]).0, 2);
    assert_eq!(run(&["inventory", "check", "/nowhere/n.csv"]).0, 1);
    let (code, _, stderr) = run(&["run"]);
    assert!(code == 1 && stderr.contains("RELAY_CONFIG"), "{stderr}");
    assert_eq!(run(&["--help"]).0, 0);
    assert_eq!(run(&["check"]).0, 1);
}

#[test]
fn inventory_check_show_and_diff_print_problems_endpoints_and_changes() {
    let inventory = scratch_file("n.csv", INVENTORY_CSV);
    let (code, stdout, _) = run(&["inventory", "check", path_text(&inventory)]);
    assert!(code == 0 && stdout.contains("n.csv: valid, 6 leaf servers, 0 draining"), "{stdout}");
    let (code, _, stderr) = run(&["inventory", "check", path_text(&inventory), "--cells", "2"]);
    assert!(
        code == 1 && stderr.contains("n.csv:6: a2.cell: 2 is not below 2") && stderr.contains("b2.cell"),
        "{stderr}"
    );
    for (text, expected) in [
        ("name,host,port,cell\n", "contains no leaf servers"),
        ("name,host,port,cell\na,h,1,0\nb,h,1,0\n", "n.csv:3: b.address: h:1 is also the address of a"),
        ("name,host,port,cell\na,h,70000,0\n", "n.csv:2: a.port"),
        ("name,host,port,cell\na,h,1,-3\n", "n.csv:2: a.cell"),
    ] {
        let (code, _, stderr) = run(&["inventory", "check", path_text(&scratch_file("n.csv", text))]);
        assert!(code == 1 && stderr.contains(expected), "{stderr}");
    }
    let (_, stdout, _) = run(&["inventory", "show", path_text(&inventory), "--format", "json"]);
    let object: serde_json::Value = serde_json::from_str(&stdout).expect("not JSON");
    let first = &object["nodes"][0];
    assert_eq!((&first["name"], &first["address"], &first["cell"]), (&"a0".into(), &"h:1".into(), &0.into()));
    assert_eq!(
        (&first["state"], &first["weight"], &first["zone"]),
        (&"ready".into(), &1.0.into(), &"".into())
    );
    for format in ["csv", "yaml", "json"] {
        let (_, stdout, _) = run(&["inventory", "show", path_text(&inventory), "--format", format]);
        let reread = scratch_file(&format!("reread.{format}"), &stdout);
        let (code, stdout, _) = run(&["inventory", "diff", path_text(&inventory), path_text(&reread)]);
        assert_eq!((code, stdout.as_str()), (0, "0 added, 0 gone, 0 drained, 0 readied, 0 changed\n"));
    }
    let (_, table, _) = run(&["inventory", "show", path_text(&inventory)]);
    assert!(table.starts_with("NAME  ADDRESS  CELL") && table.lines().count() == 7, "{table}");
    let changed = scratch_file(
        "m.csv",
        &INVENTORY_CSV.replace("a0,h,1,0,", "a0,h,1,0,draining").replace("b1,h,4", "c1,h,7"),
    );
    let (_, stdout, _) = run(&["inventory", "diff", path_text(&inventory), path_text(&changed)]);
    for expected in
        ["drained  a0", "gone     b1  h:4, cell 1", "added    c1  h:7, cell 1", "1 added, 1 gone, 1 drained"]
    {
        assert!(stdout.contains(expected), "{stdout}");
    }
}

#[test]
fn inventory_plan_prints_changes_and_what_would_be_held_back() {
    let inventory = scratch_file("n.csv", INVENTORY_CSV);
    let next_file = |text: &str| scratch_file("next.csv", text);
    let plan = |next: &Path, options: &[&str]| {
        run(&[
            &["inventory", "plan", path_text(next), "--current", path_text(&inventory), "--cells", "3"],
            options,
        ]
        .concat())
    };
    let (code, stdout, _) = plan(&next_file(&INVENTORY_CSV.replace("a0,h,1,0,", "a0,h,1,0,draining")), &[]);
    assert!(
        code == 0
            && stdout.contains("applied at once")
            && stdout.contains("shard 0 (of each 3): 1 leaf servers"),
        "{stdout}"
    );
    let (code, stdout, _) =
        plan(&next_file(&INVENTORY_CSV.replace("a2,h,5,2,\nb2,h,6,2,\n", "a2,h,5,2,\n")), &[]);
    assert!(code == 0 && stdout.contains("leaf servers: 6 -> 5"), "{stdout}");
    let without_cell_2 = next_file(&INVENTORY_CSV.replace("a2,h,5,2,\nb2,h,6,2,\n", ""));
    let (code, stdout, _) = plan(&without_cell_2, &[]);
    assert!(
        code == 1 && stdout.contains("held back: 2 of 6 leaf servers would be removed at once"),
        "{stdout}"
    );
    let (code, stdout, _) = plan(&without_cell_2, &["--most-lost", "50"]);
    assert!(
        code == 1 && stdout.contains("held back: shard 2 would be left without a leaf server"),
        "{stdout}"
    );
}

#[test]
fn inventory_explain_prints_each_variable_with_file_line_and_layer() {
    let path = scratch_file(
        "n.yaml",
        "all:\n  vars: {zone: far}\n  hosts:\n    s0: {port: 1, cell: 0, zone: near}\n",
    );
    let (code, stdout, _) = run(&["inventory", "explain", path_text(&path), "s0"]);
    assert_eq!(code, 0);
    assert!(stdout.contains("zone = near\n") && stdout.contains("n.yaml:4 (host), overrides:\n"), "{stdout}");
    assert!(stdout.contains("n.yaml:2 (group all): far\n"), "{stdout}");
    assert_eq!(run(&["inventory", "explain", path_text(&path), "s1"]).0, 1);
}

#[test]
fn check_prints_every_problem_of_every_file_at_once() {
    let dir = scratch_dir("check");
    let config = Setup::new(&[])
        .config()
        .replace("8c1f30d27a5be964", "no hex")
        .replace("\"127.0.0.1:0\"", "\"nowhere\"");
    let config = config.replace("\"maxAttempts\":3", "\"maxAttempts\":\"x\"").replace("retryable", "later");
    fs::write(dir.join("config.json"), config).expect("file is not writable");
    fs::write(dir.join("n.csv"), "name,host,port,cell\na,h,0,0\nb,h,2,x\n").expect("file is not writable");
    let operator = "flight:\n  listen: here\nlog: {level: loud, colour: true}\ninventory:\n  poll_ms: 5\n  files:\n    - path: n.csv\n      fields: {adress: X}\n      delimiter: ';;'\n";
    fs::write(dir.join("bad.yaml"), operator).expect("file is not writable");
    fs::write(dir.join("good.yaml"), "inventory: {file: n.csv}\n").expect("file is not writable");
    let path = |name: &str| dir.join(name).to_str().expect("not UTF-8").to_owned();
    let (code, _, stderr) =
        run(&["check", "--config", &path("config.json"), "--operator", &path("bad.yaml")]);
    assert_eq!(code, 1);
    for expected in [
        "config.json: field listen: is not an address and port",
        "config.json: field seed: is not a hexadecimal number",
        "config.json: field settings.limits.maxAttempts: has the wrong type, must be a number",
        "config.json: field settings.categories[0].effect: must be retryable, dedup or fragile, not \"later\"",
        "bad.yaml:2: flight.listen: is not an address and port",
        "bad.yaml:3: log.level: must be one of error, warn",
        "bad.yaml:3: log.colour: is unknown; known fields: format, level",
        "bad.yaml:5: inventory.poll_ms: must be a whole number from 50 to 400",
        "bad.yaml:8: inventory.files[0].fields.adress: is not a field; known fields: name, address",
        "bad.yaml:9: inventory.files[0].delimiter: must be one character",
    ] {
        assert!(stderr.contains(expected), "{expected}:\n{stderr}");
    }
    let (code, _, stderr) = run(&["check", "--operator", &path("good.yaml")]);
    assert!(
        code == 1 && stderr.contains("n.csv:2: a.port") && stderr.contains("n.csv:3: b.cell"),
        "{stderr}"
    );
    fs::write(dir.join("n.csv"), INVENTORY_CSV).expect("file is not writable");
    let (code, stdout, _) = run(&["check", "--operator", &path("good.yaml")]);
    assert!(code == 0 && stdout.contains("n.csv: valid"), "{stdout}");
    // An unknown field prevents the start.
    let output = Command::new(binary())
        .env("RELAY_CONFIG", path("config.json"))
        .env("SAILMUX_OPERATOR", path("bad.yaml"))
        .output()
        .expect("sailmux does not run");
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.code() == Some(1) && stderr.contains("bad.yaml:3: log.colour"), "{stderr}");
}

#[test]
fn schema_has_exactly_the_fields_that_are_read() {
    use sailmux::config::operator::*;
    let (code, stdout, _) = run(&["config", "schema"]);
    assert_eq!(code, 0);
    let schema: serde_json::Value = serde_json::from_str(&stdout).expect("not JSON");
    let definition = |name: &str| match name {
        "OperatorFile" => &schema,
        name => &schema["$defs"][name],
    };
    for (name, fields) in [
        ("OperatorFile", OperatorFile::FIELDS),
        ("InventoryRecord", InventoryRecord::FIELDS),
        ("FileRecord", FileRecord::FIELDS),
        ("GuardRecord", GuardRecord::FIELDS),
        ("BoundsRecord", BoundsRecord::FIELDS),
        ("LogRecord", LogRecord::FIELDS),
    ] {
        let mut expected: Vec<&str> = fields.to_vec();
        let mut properties: Vec<&str> =
            definition(name)["properties"].as_object().expect(name).keys().map(String::as_str).collect();
        expected.sort_unstable();
        properties.sort_unstable();
        assert_eq!(properties, expected, "{name}");
        assert_eq!(definition(name)["additionalProperties"], false, "{name}");
    }
    let poll = &definition("InventoryRecord")["properties"]["poll_ms"];
    assert_eq!(
        (&poll["minimum"], &poll["maximum"], &poll["default"]),
        (&50.into(), &400.into(), &200.into())
    );
}

#[test]
fn demo_prints_a_complete_answer_and_stays_on_loopback() {
    let (code, stdout, _) = run(&["demo", "--once"]);
    assert!(
        code == 0 && stdout.contains(r#""total":true"#) && stdout.contains("answers_whole 1"),
        "{stdout}"
    );
    assert_eq!(run(&["demo", "--once", "--listen", "0.0.0.0:0"]).0, 1);
}

#[test]
fn completions_and_man_page_name_the_commands() {
    for shell in ["bash", "zsh", "fish"] {
        assert!(run(&["completions", shell]).1.contains("inventory"), "{shell}");
    }
    let (_, page, _) = run(&["man"]);
    assert!(page.contains(".TH sailmux") && page.contains("confirm"), "{page}");
}

#[test]
fn log_events_are_json_if_configured() {
    let dir = scratch_dir("log");
    fs::write(dir.join("n.csv"), INVENTORY_CSV).expect("file is not writable");
    let operator = format!("log: {{format: json}}\ninventory: {{file: {}}}\n", dir.join("n.csv").display());
    let mut setup = Setup { operator: Some(operator), ..Setup::new(&[]) };
    setup.max_attempts = 2;
    let mut child = common::process::spawn(&setup.config(), setup.operator.as_deref());
    use std::io::{BufRead, BufReader};
    let lines = BufReader::new(child.stderr.take().expect("standard error is not piped"))
        .lines()
        .map_while(Result::ok);
    let line = lines.take(8).find(|line| line.contains("list applied")).expect("no event was logged");
    let event: serde_json::Value = serde_json::from_str(&line).expect("not JSON");
    assert_eq!((&event["nodes"], &event["level"]), (&6.into(), &"INFO".into()));
    child.kill().expect("process cannot be killed");
    child.wait().expect("process cannot be waited for");
}
