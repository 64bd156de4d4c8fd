//! Helpers that read inventories from strings and summarize the results for comparison.

use sailmux::diagnostic::Diagnostics;
use sailmux::endpoints::{Endpoint, EndpointState, FileList};
use sailmux::inventory::*;

/// A bundle of files given by name and content; files under `group_vars/` and `host_vars/` are Ansible variable files.
pub fn bundle(files: &[(&str, &str)]) -> Bundle {
    let mut bundle = Bundle { files: Vec::new() };
    for (name, text) in files {
        bundle.files.push(BundleFile {
            name: (*name).into(),
            relative_path: (*name).to_owned(),
            role: role_of(name),
            content: text.as_bytes().to_vec(),
            checksum: None,
        });
    }
    bundle
}

fn role_of(name: &str) -> Role {
    if let Some(file) = name.strip_prefix("group_vars/") {
        return Role::GroupVars(file.trim_end_matches(".yml").to_owned());
    }
    if let Some(file) = name.strip_prefix("host_vars/") {
        return Role::HostVars(file.trim_end_matches(".yml").to_owned());
    }
    Role::Inventory
}

/// Reads one file with the given options.
pub fn read_with(name: &str, text: &str, options: &Options) -> Result<FileList, Diagnostics> {
    read(&bundle(&[(name, text)]), options)
}

/// Reads one file with the default options.
pub fn read_one(name: &str, text: &str) -> Result<FileList, Diagnostics> {
    read_with(name, text, &Options::default())
}

/// Name, address and cell of each leaf server, followed by `draining` if it is draining.
pub fn summaries(list: &FileList) -> Vec<String> {
    endpoints(list).iter().map(summary).collect()
}

fn summary(server: &Endpoint) -> String {
    let state = if server.state == EndpointState::Draining { " draining" } else { "" };
    format!("{} {} {}{state}", server.name, server.address, server.cell)
}

/// Names of the draining leaf servers, in the order of the list.
pub fn draining_names(list: &FileList) -> Vec<String> {
    let draining = list.records.iter().filter(|record| record.is_draining());
    draining.map(|record| record.name.to_string()).collect()
}

/// The diagnostics of an inventory that must be rejected.
pub fn diagnostics(result: Result<FileList, Diagnostics>) -> Vec<String> {
    let diagnostics = result.expect_err("the inventory must be rejected");
    diagnostics.0.iter().map(ToString::to_string).collect()
}
