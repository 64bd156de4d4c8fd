//! Ansible's YAML inventories.

use crate::support::*;
use sailmux::inventory::*;
use std::time::{Duration, Instant};

#[test]
fn host_ranges_are_expanded_and_malformed_ranges_rejected() {
    for (pattern, expected) in [
        ("s[01:03].tpe", "s01.tpe s02.tpe s03.tpe"),
        ("s[0:3]", "s0 s1 s2 s3"),
        ("s[:2]", "s0 s1 s2"),
        ("[a:c]x", "ax bx cx"),
        ("s[1:9:4]", "s1 s5 s9"),
        ("r[1:2]n[a:b]", "r1na r1nb r2na r2nb"),
        ("s[8:11]", "s8 s9 s10 s11"),
        ("plain", "plain"),
    ] {
        assert_eq!(expand(pattern, 100).expect(pattern).join(" "), expected);
    }
    for pattern in [
        "s[1]",
        "s[1:",
        "s[3:1]",
        "s[a:9]",
        "s[1:2:0]",
        "s[01:100]",
        "s[0:1000]",
        "s]",
        "s[a:C]",
        "s[0:99]t[0:99]",
        "s[1:]",
    ] {
        assert!(expand(pattern, 100).is_err(), "{pattern}");
    }
}

pub const GROUPS: &str = "
x-defaults: &d {port: 9000, state: ready}
all:
  vars: {zone: all, weight: 1}
  children:
    index:
      vars: {<<: *d, zone: index}
      children:
        cell1:
          vars: {cell: 1}
          hosts:
            s[1:2]:
            s3: {state: draining, ansible_host: 10.0.0.3}
        cell0:
          vars:
            cell: 0
            zone: zero
          hosts:
            s0: {port: 9100}
    monitored:
      vars: {ntp: [a, b], greeting: 'hello {{ inventory_hostname }}'}
      hosts: {s0: , s1: }
";

#[test]
fn variables_of_a_child_group_take_precedence_over_its_parents() {
    let list = read_one("n.yaml", GROUPS).expect("groups");
    let expected = ["s0 s0:9100 0", "s1 s1:9000 1", "s2 s2:9000 1", "s3 10.0.0.3:9000 1 draining"];
    assert_eq!(summaries(&list), expected);
    let zones: Vec<String> = endpoints(&list).iter().map(|server| server.zone.to_string()).collect();
    assert_eq!(zones, ["zero", "index", "index", "index"]);
}

/// Files in ascending order of precedence; each sets `zone` to its position.
const LAYERS: [(&str, &str); 10] = [
    (
        "n.yaml",
        "all: {vars: {zone: '1'}, hosts: {s0: {port: 1, cell: 0}}, children: {b: {hosts: {s0: }}, a: {hosts: {s0: }}}}\n",
    ),
    ("n2.yaml", "a: {vars: {zone: '2'}}\n"),
    ("n3.yaml", "b: {vars: {zone: '3'}}\n"),
    ("n4.yaml", "a: {vars: {zone: '4', ansible_group_priority: 10}}\n"),
    ("group_vars/all.yml", "zone: '5'\n"),
    ("group_vars/b.yml", "zone: '6'\n"),
    ("group_vars/a.yml", "zone: '7'\n"),
    ("n5.yaml", "b: {hosts: {s0: {zone: '8'}}}\n"),
    ("n6.yaml", "a: {hosts: {s0: {zone: '9'}}}\n"),
    ("host_vars/s0.yml", "zone: '10'\n"),
];

#[test]
fn each_layer_of_variables_overrides_the_previous_one() {
    for count in 1..=LAYERS.len() {
        let list = read(&bundle(&LAYERS[..count]), &Options::default()).expect("layers");
        assert_eq!(&*endpoints(&list)[0].zone, count.to_string());
    }
}

#[test]
fn explain_lists_the_values_of_a_variable_by_precedence() {
    let hosts = hosts(&bundle(&LAYERS), &Options::default()).expect("layers");
    let explained = hosts.explain("s0");
    let zone = explained.iter().find(|variable| variable.variable == "zone").expect("a zone");
    let values: Vec<&str> = zone.values.iter().map(|value| value.text.as_str()).collect();
    assert_eq!(values, ["10", "9", "8", "7", "6", "5", "4", "2", "3", "1"]);
    assert_eq!(zone.values[0].layer, Layer::HostVars);
}

#[test]
fn invalid_input_is_rejected_with_file_line_host_and_variable() {
    for (text, expected) in [
        (
            "all:\n  hosts:\n    s0:\n      port: 1\n      cell: '{{ rack }}'\n",
            "n.yaml:5: s0.cell: is a template, and templates are not evaluated",
        ),
        ("all:\n  hosts:\n    s0: {port: 1, cell: !vault abc}\n", "n.yaml:3: s0.cell: is encrypted"),
        ("all:\n  hosts:\n    s0: {port: [1], cell: 0}\n", "n.yaml:3: s0.port: must be a single value"),
        (
            "all:\n  host:\n    s0: {port: 1, cell: 0}\n",
            "n.yaml:2: all.host: must be hosts, vars or children",
        ),
        (
            "all:\n  hosts:\n    s0: {port: 1, cell: 0}\n    s0: {port: 2, cell: 0}\n",
            "n.yaml:4: s0 is defined twice, first on line 3",
        ),
        ("a:\n  children:\n    b:\nb:\n  children:\n    a:\n", "is its own descendant"),
        (
            "all:\n  hosts:\n    s[3:1]: {port: 1, cell: 0}\n",
            "n.yaml:3: all.hosts.s[3:1]: [3:1] has its end before its beginning",
        ),
        ("all: {hosts: {}}\n", "n.yaml: contains no leaf servers"),
        ("", "n.yaml: contains no leaf servers"),
        ("all:\n  hosts:\n    s0: {port: 1, cell: 0}\n---\nall:\n", "n.yaml:4: a second document"),
        (
            "all:\n  hosts:\n    s0: {port: 1, cell: 0, address: 'a:2'}\n",
            "s0.port: is 1, but the address has port 2",
        ),
    ] {
        let found = diagnostics(read_one("n.yaml", text));
        assert!(found.iter().any(|message| message.contains(expected)), "{expected}: {found:#?}");
    }
}

/// Each anchored list contains nine aliases of the previous one, so the expanded size grows exponentially.
fn alias_bomb() -> String {
    let mut text = String::from("a0: &a0 {x: 1}\n");
    for level in 1..40 {
        let aliases = vec![format!("*a{}", level - 1); 9].join(", ");
        text += &format!("a{level}: &a{level} [{aliases}]\n");
    }
    text
}

/// Each map merges the previous one, so the expanded size grows quadratically.
fn merge_chain() -> String {
    let mut text = String::from("x-0: &m0 {k0: 1}\n");
    for level in 1..4000 {
        text += &format!("x-{level}: &m{level} {{<<: *m{}, k{level}: 1}}\n", level - 1);
    }
    text
}

fn deep_groups() -> String {
    let mut text = String::from("all:");
    for level in 0..60 {
        let indent = "  ".repeat(2 * level + 1);
        text += &format!("\n{indent}children:\n{indent}  g:");
    }
    text
}

/// Many groups that list the same range of hosts.
fn repeated_ranges() -> String {
    let mut text = String::from("x-h: &h {'s[0:4000]': }\n");
    for group in 0..3000 {
        text += &format!("g{group}: {{hosts: *h}}\n");
    }
    text
}

#[test]
fn inventories_that_expand_beyond_the_bounds_are_rejected_in_bounded_time() {
    let options = Options { bounds: Bounds { hosts: 5000, ..Bounds::default() }, ..Options::default() };
    for (case, text) in [
        ("aliases", alias_bomb()),
        ("merges", merge_chain()),
        ("depth", "a: ".to_owned() + &"[".repeat(100_000)),
        ("groups within groups", deep_groups()),
        ("range of hosts", "all:\n  hosts:\n    s[0:99999]: {port: 1, cell: 0}\n".to_owned()),
        ("repeated ranges", repeated_ranges()),
    ] {
        let start = Instant::now();
        assert!(read_with("n.yaml", &text, &options).is_err(), "{case}");
        assert!(start.elapsed() < Duration::from_secs(20), "{case} took {:?}", start.elapsed());
    }
}
