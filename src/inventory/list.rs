//! Converts hosts with variables into a list of endpoint records.

use super::ansible::Hosts;
use super::files::{Bundle, Role};
use super::mapping::Field;
use super::options::Options;
use crate::diagnostic::{Diagnostic, Diagnostics};
use crate::endpoints::{Endpoint, EndpointRecord, EndpointState, FileList, SharedAddress, shared_addresses};
use crate::hex;
use sha2::{Digest, Sha256};
use std::sync::Arc;

/// Number of bytes of the SHA-256 that form the digest.
const DIGEST_BYTES: usize = 8;

/// Identifies the content of an inventory: the first 8 bytes of the SHA-256 of all its files, in hex. To confirm a list
/// that is held back, operators refer to its digest.
pub fn digest(bundle: &Bundle) -> Arc<str> {
    let mut hash = Sha256::new();
    for file in &bundle.files {
        hash.update(file.relative_path.as_bytes());
        hash.update((file.content.len() as u64).to_be_bytes());
        hash.update(&file.content);
    }
    hex::encode(&hash.finalize()[..DIGEST_BYTES]).into()
}

/// The endpoint records of all hosts, sorted by name.
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
        problems.push(Diagnostic::for_file(name, "contains no leaf servers"));
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
        let message = format!("{address} is also the address of {}", first.name);
        let file = bundle.file_name(second.location);
        let field = format!("{}.address", second.name);
        problems.push(Diagnostic::at(file, second.location.line, field, message));
    }
}

/// The endpoints that a list gives without other sources, sorted by name. Records without an address or a cell are left
/// out.
pub fn endpoints(list: &FileList) -> Vec<Endpoint> {
    list.records.iter().filter_map(endpoint).collect()
}

/// The endpoint of a record with defaults for missing fields; `None` if the record lacks an address or a cell, which
/// another source must provide.
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
