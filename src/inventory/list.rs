//! From hosts with variables to a list of endpoint records.

use super::ansible::Hosts;
use super::files::{Bundle, Role};
use super::mapping::Field;
use super::options::Options;
use crate::diagnostic::{Diagnostic, Diagnostics};
use crate::endpoints::{Endpoint, EndpointRecord, EndpointState, FileList, SharedAddress, shared_addresses};
use crate::hex;
use sha2::{Digest, Sha256};
use std::sync::Arc;

/// Bytes of the SHA-256 that name an inventory's content.
const DIGEST_BYTES: usize = 8;

/// A name for an inventory's content: the start of a SHA-256 of all its files, in hex. Operators confirm a list by it.
pub fn digest(bundle: &Bundle) -> Arc<str> {
    let mut hash = Sha256::new();
    for file in &bundle.files {
        hash.update(file.relative_path.as_bytes());
        hash.update((file.content.len() as u64).to_be_bytes());
        hash.update(&file.content);
    }
    hex::encode(&hash.finalize()[..DIGEST_BYTES]).into()
}

/// The endpoint records of all hosts, in the order of their names.
pub(super) fn endpoint_list(
    hosts: &Hosts,
    bundle: &Bundle,
    options: &Options,
) -> Result<FileList, Diagnostics> {
    let mut problems = Vec::new();
    let mut records = map_hosts(hosts, bundle, options, &mut problems);
    records.sort_by(|a, b| a.name.cmp(&b.name));
    report_shared_addresses(&records, bundle, &mut problems);
    if records.is_empty() && !options.partial && problems.is_empty() {
        let file = bundle.files.iter().find(|file| file.role == Role::Inventory);
        let name = file.map_or("", |file| &*file.name);
        problems.push(Diagnostic::for_file(name, "names no leaf server"));
    }
    if !problems.is_empty() {
        return Err(Diagnostics(problems));
    }
    Ok(FileList {
        records,
        files: bundle.files.iter().map(|file| file.name.clone()).collect(),
        digest: digest(bundle),
        truncated_mid_line: false,
        partial: options.partial,
    })
}

fn map_hosts(
    hosts: &Hosts,
    bundle: &Bundle,
    options: &Options,
    problems: &mut Vec<Diagnostic>,
) -> Vec<EndpointRecord> {
    let candidates = Field::ALL.map(|field| options.mapping.candidates(field));
    let mut records = Vec::new();
    for host in hosts.names() {
        match options.mapping.record(hosts, &host, &candidates, options.partial) {
            Ok(record) => records.extend(record),
            Err(found) => {
                let diagnostics = found.into_iter().map(|problem| {
                    let file = bundle.file_name(problem.location);
                    Diagnostic::at(file, problem.location.line, problem.path, problem.error.to_string())
                });
                problems.extend(diagnostics);
            }
        }
    }
    records
}

fn report_shared_addresses(records: &[EndpointRecord], bundle: &Bundle, problems: &mut Vec<Diagnostic>) {
    for SharedAddress { first, second } in shared_addresses(records) {
        let address = second.address.as_ref().map_or("", |address| &*address.value);
        let message = format!("{address} is the address of {} too", first.name);
        let file = bundle.file_name(second.location);
        let field = format!("{}.address", second.name);
        problems.push(Diagnostic::at(file, second.location.line, field, message));
    }
}

/// The endpoints of a list as they would be without other sources, in the order of their names.
pub fn endpoints(list: &FileList) -> Vec<Endpoint> {
    list.records.iter().filter_map(endpoint).collect()
}

/// The endpoint of a record; `None` if it lacks an address or a cell, which another source must add.
fn endpoint(record: &EndpointRecord) -> Option<Endpoint> {
    Some(Endpoint {
        name: record.name.clone(),
        address: record.address.as_ref()?.value.clone(),
        zone: record.zone.as_ref().map_or_else(|| "".into(), |zone| zone.value.clone()),
        cell: record.cell.as_ref()?.value,
        weight: record.weight.as_ref().map_or(1.0, |weight| weight.value),
        state: record.state.as_ref().map_or(EndpointState::Ready, |state| state.value),
        started_at_unix: record.started_at_unix.as_ref().map_or(0.0, |started| started.value),
    })
}
