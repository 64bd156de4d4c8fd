//! Truncated inventory files.

use crate::support::*;
use sailmux::endpoints::{Endpoint, EndpointRegistry, FileList, GuardSettings, Input, ShardLayout};
use sailmux::inventory::*;
use std::sync::Arc;

const MARKED: &str = "name,host,port,cell\ns0,h,1,0\ns1,h,2,1\n# end\n";

#[test]
fn prefix_without_the_required_end_marker_is_rejected() {
    let options = Options { end_marker: Some("# end".into()), ..Options::default() };
    assert!(read_with("n.csv", MARKED, &options).is_ok());
    for length in 0..MARKED.len() - 1 {
        let is_accepted = read_with("n.csv", &MARKED[..length], &options).is_ok();
        assert_eq!(is_accepted, MARKED[..length].ends_with("# end"), "prefix of {length} bytes");
    }
}

#[test]
fn file_with_missing_or_different_checksum_is_rejected() {
    let options = Options { checksum: true, ..Options::default() };
    let mut bundle = bundle(&[("n.csv", MARKED)]);
    assert!(read(&bundle, &options).is_err(), "the checksum is missing");
    bundle.files[0].checksum = Some("d1f4  n.csv\n".into());
    let found = diagnostics(read(&bundle, &options));
    let after_is = found[0].split("is ").nth(1).expect("the file's checksum");
    let checksum = after_is.split(',').next().expect("the file's checksum");
    bundle.files[0].checksum = Some(format!("{checksum}  n.csv\n"));
    assert!(read(&bundle, &options).is_ok());
    bundle.files[0].content.pop();
    assert!(read(&bundle, &options).is_err());
}

const HOSTS: usize = 12;
const DRAINING_HOST: usize = 4;

fn csv_of_hosts() -> String {
    let mut text = String::from("name,host,port,cell,state\n");
    for host in 0..HOSTS {
        let state = if host == DRAINING_HOST { "draining" } else { "" };
        text += &format!("s{host},10.0.0.{host},90{host:02},{},{state}\n", host % 3);
    }
    text
}

fn yaml_of_hosts() -> String {
    let mut text = String::from("all:\n  hosts:\n");
    for host in 0..HOSTS {
        text += &format!("    s{host}:\n      host: 10.0.0.{host}\n      port: 90{host:02}\n");
        text += &format!("      cell: {}\n", host % 3);
        if host == DRAINING_HOST {
            text += "      state: draining\n";
        }
    }
    text
}

fn without_drains(text: &str) -> String {
    text.replace(",draining", ",").replace("      state: draining\n", "")
}

fn sorted_endpoints(list: &FileList) -> Vec<Endpoint> {
    let mut endpoints = endpoints(list);
    endpoints.sort_by(|a, b| a.name.cmp(&b.name));
    endpoints
}

/// A registry that starts with `old` and then receives `list`.
fn registry_after(old: &FileList, list: &FileList) -> EndpointRegistry {
    let mut registry = EndpointRegistry::new(ShardLayout { cells: 3, width: 1 }, GuardSettings::default());
    let mut events = Vec::new();
    let started = Input::Started { initial_list: None, files: vec![Arc::new(old.clone())] };
    registry.handle(0.0, started, &mut events);
    registry.handle(1.0, Input::File(0, Arc::new(list.clone())), &mut events);
    registry
}

/// Number of prefixes of a file by outcome.
#[derive(Default)]
struct PrefixCounts {
    rejected: u32,
    held_back: u32,
    /// Applied although they are neither the old nor the new list.
    applied_shorter: u32,
    /// Those of `applied_shorter` that end within a line.
    applied_within_line: u32,
}

/// Applies every prefix of the new file to a registry with the old list. The effective list must be the old list, the
/// new list, or a shorter list that is valid in itself, which no guard can distinguish from an intended one. Shorter
/// lists are counted.
fn read_all_prefixes(name: &str, text: &str) -> PrefixCounts {
    let old = read_one(name, &without_drains(text)).expect("the old list");
    let new = read_one(name, text).expect("the new list");
    let mut counts = PrefixCounts::default();
    for length in 0..=text.len() {
        let prefix = &text[..length];
        let Ok(list) = read_one(name, prefix) else {
            counts.rejected += 1;
            continue;
        };
        let registry = registry_after(&old, &list);
        let effective: Vec<Endpoint> = registry.endpoints().values().map(|e| e.endpoint.clone()).collect();
        if registry.held_back(0).is_some() {
            counts.held_back += 1;
            assert_only_drains_applied(&effective, &old, &new, &format!("{name} prefix of {length} bytes"));
        } else if effective != sorted_endpoints(&new) && effective != sorted_endpoints(&old) {
            counts.applied_shorter += 1;
            counts.applied_within_line += u32::from(!prefix.ends_with('\n'));
            assert_eq!(effective, sorted_endpoints(&list));
        }
    }
    counts
}

/// Checks that the effective list differs from the old list only by drains of the new list.
fn assert_only_drains_applied(effective: &[Endpoint], old: &FileList, new: &FileList, case: &str) {
    let drains = draining_names(new);
    for (current, before) in effective.iter().zip(sorted_endpoints(old)) {
        let same_but_state = Endpoint { state: before.state, ..current.clone() } == before;
        let state_allowed =
            current.state == before.state || drains.iter().any(|name| **name == *current.name);
        assert!(same_but_state && state_allowed, "{case}: {current:?}");
    }
}

#[test]
fn only_prefixes_that_are_valid_lists_are_applied() {
    for (name, text) in [("n.csv", csv_of_hosts()), ("n.yaml", yaml_of_hosts())] {
        let counts = read_all_prefixes(name, &text);
        println!(
            "{name}: {} prefixes, {} rejected, {} held back, {} applied as shorter lists",
            text.len() + 1,
            counts.rejected,
            counts.held_back,
            counts.applied_shorter
        );
        assert_eq!(counts.applied_within_line, 0, "{name}: a list truncated within a line was applied");
        assert!(counts.applied_shorter <= 40, "{name}: {} shorter lists applied", counts.applied_shorter);
    }
}

#[test]
fn truncated_name_in_the_last_line_drains_no_server() {
    let text = "state,host,port,cell,name\n,h,1,0,s1\ndraining,h,2,0,s2\ndraining,h,12,0,s12\n";
    let drains = |text: &str| draining_names(&read_one("n.csv", text).expect("a list"));
    assert_eq!(drains(text), ["s12", "s2"]);
    let truncated = text.replace(",h,1,0,s1\n", "").replace("s12\n", "s1");
    assert_eq!(drains(&truncated), ["s2"], "the truncated name may denote s1 or s12");
}
