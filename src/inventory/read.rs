//! Parses the files of an inventory into hosts, and converts the hosts into a list of endpoint records.

use super::ansible::Hosts;
use super::completeness::{complete_text, is_truncated_mid_line, without_truncated_lines};
use super::files::{Bundle, BundleFile, Role};
use super::list::endpoint_list;
use super::options::{Format, Options};
use super::table;
use crate::diagnostic::{Diagnostic, Diagnostics};
use crate::endpoints::{EndpointRecord, FileList};
use crate::yaml;

/// Parses the loaded files of an inventory into a list of endpoint records.
///
/// # Errors
/// All problems of the inventory, not just the first one.
pub fn read(bundle: &Bundle, options: &Options) -> Result<FileList, Diagnostics> {
    let hosts = hosts(bundle, options)?;
    let mut list = endpoint_list(&hosts, bundle, options)?;
    if !options.accepts_missing_final_newline && bundle.files.iter().any(is_truncated_mid_line) {
        list.truncated_mid_line = true;
        clear_drains_of_truncated_lines(&mut list, bundle, options);
    }
    Ok(list)
}

/// Removes the draining state of hosts that are draining only by a truncated last line, because the name in that line
/// may be truncated and match another host.
fn clear_drains_of_truncated_lines(list: &mut FileList, bundle: &Bundle, options: &Options) {
    let untruncated_bundle = without_truncated_lines(bundle);
    let untruncated_list = hosts(&untruncated_bundle, options)
        .and_then(|hosts| endpoint_list(&hosts, &untruncated_bundle, options))
        .unwrap_or_default();
    for record in &mut list.records {
        let is_confirmed = untruncated_list.get(&record.name).is_some_and(EndpointRecord::is_draining);
        if record.is_draining() && !is_confirmed {
            record.state = None;
        }
    }
}

/// Parses the loaded files of an inventory into hosts with their variables.
///
/// # Errors
/// All problems of the inventory, not just the first one.
pub fn hosts(bundle: &Bundle, options: &Options) -> Result<Hosts, Diagnostics> {
    let mut problems = Vec::new();
    let mut hosts = Hosts::new(options.bounds);
    for (file_index, file) in bundle.files.iter().enumerate() {
        if let Err(problem) = read_file(&mut hosts, file_index as u16, file, options, &mut problems) {
            problems.push(problem);
        }
    }
    hosts.link_groups(bundle, &mut problems);
    if problems.is_empty() { Ok(hosts) } else { Err(Diagnostics(problems)) }
}

/// Adds the hosts and variables of a file. Problems with single entries are appended to `problems`; a problem that
/// prevents parsing the file is returned as an error.
fn read_file(
    hosts: &mut Hosts,
    file_index: u16,
    file: &BundleFile,
    options: &Options,
    problems: &mut Vec<Diagnostic>,
) -> Result<(), Diagnostic> {
    let text = complete_text(file, options)?;
    if format_of(file, options) == Format::Csv {
        table::read(hosts, file_index, file, text, options, problems);
        return Ok(());
    }
    // Each level of groups takes two levels of YAML: the group and its `hosts` or `children`.
    let bounds = yaml::Bounds { depth: options.bounds.depth * 2, values: options.bounds.values };
    let tree = yaml::parse(text, &bounds)
        .map_err(|error| Diagnostic::at(&file.name, error.line, "", error.message))?;
    hosts.add_yaml(file_index, file, &tree, problems);
    Ok(())
}

/// The format of a file. Variable files are always YAML.
fn format_of(file: &BundleFile, options: &Options) -> Format {
    match file.role {
        Role::Inventory => options.format.unwrap_or_else(|| Format::of(&file.name)),
        Role::GroupVars(_) | Role::HostVars(_) => Format::Yaml,
    }
}
