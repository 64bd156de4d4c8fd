//! From the files of an inventory to its hosts, and from those to a list of endpoint records.

use super::ansible::Hosts;
use super::completeness::{complete_text, is_truncated_mid_line, without_truncated_lines};
use super::files::{Bundle, BundleFile, Role};
use super::list::endpoint_list;
use super::options::{Format, Options};
use super::table;
use crate::diagnostic::{Diagnostic, Diagnostics};
use crate::endpoints::{EndpointRecord, FileList};
use crate::yaml;

/// Reads an inventory that was gathered.
///
/// # Errors
/// All problems at once.
pub fn read(bundle: &Bundle, options: &Options) -> Result<FileList, Diagnostics> {
    let hosts = hosts(bundle, options)?;
    let mut list = endpoint_list(&hosts, bundle, options)?;
    if !options.accepts_missing_final_newline && bundle.files.iter().any(is_truncated_mid_line) {
        list.truncated_mid_line = true;
        withdraw_uncertain_drains(&mut list, bundle, options);
    }
    Ok(list)
}

/// A name may be cut short in the last line of a file that is truncated mid-line: a host is draining only if complete lines say so.
fn withdraw_uncertain_drains(list: &mut FileList, bundle: &Bundle, options: &Options) {
    let complete_lines = without_truncated_lines(bundle);
    let certain = hosts(&complete_lines, options)
        .and_then(|hosts| endpoint_list(&hosts, &complete_lines, options))
        .unwrap_or_default();
    for record in &mut list.records {
        let is_certain = certain.get(&record.name).is_some_and(EndpointRecord::is_draining);
        if record.is_draining() && !is_certain {
            record.state = None;
        }
    }
}

/// The hosts of an inventory and their variables, before they become endpoint records.
///
/// # Errors
/// All problems at once.
pub fn hosts(bundle: &Bundle, options: &Options) -> Result<Hosts, Diagnostics> {
    let mut problems = Vec::new();
    let mut hosts = Hosts::new(options.bounds);
    for (number, file) in bundle.files.iter().enumerate() {
        if let Err(problem) = read_file(&mut hosts, number as u16, file, options, &mut problems) {
            problems.push(problem);
        }
    }
    hosts.link_groups(bundle, &mut problems);
    if problems.is_empty() { Ok(hosts) } else { Err(Diagnostics(problems)) }
}

/// Adds the hosts and variables of a file. Problems within it are added to `problems`; one with the whole file is an
/// error.
fn read_file(
    hosts: &mut Hosts,
    number: u16,
    file: &BundleFile,
    options: &Options,
    problems: &mut Vec<Diagnostic>,
) -> Result<(), Diagnostic> {
    let text = complete_text(file, options)?;
    if format_of(file, options) == Format::Csv {
        table::read(hosts, number, file, text, options, problems);
        return Ok(());
    }
    // A group nests its hosts and children one level deeper than itself.
    let bounds = yaml::Bounds { depth: options.bounds.depth * 2, values: options.bounds.values };
    let tree = yaml::parse(text, &bounds)
        .map_err(|error| Diagnostic::at(&file.name, error.line, "", error.message))?;
    hosts.add_yaml(number, file, &tree, problems);
    Ok(())
}

/// Files with variables are always YAML.
fn format_of(file: &BundleFile, options: &Options) -> Format {
    match file.role {
        Role::Inventory => options.format.unwrap_or_else(|| Format::of(&file.name)),
        Role::GroupVars(_) | Role::HostVars(_) => Format::Yaml,
    }
}
