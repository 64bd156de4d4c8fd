//! Formats a list of endpoints as a table for a terminal, or in file formats that [`super::read()`] accepts.

use super::columns::columns;
use crate::endpoints::{Endpoint, EndpointState};
use serde_json::{Value, json};
use std::fmt::Write;

/// Output format of a list of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Aligned columns for a terminal.
    Table,
    /// A JSON object with the array `nodes`.
    Json,
    /// CSV with a header.
    Csv,
    /// Ansible's YAML inventory.
    Yaml,
}

/// Column names of the table and CSV formats.
const COLUMNS: [&str; 7] = ["name", "address", "cell", "zone", "state", "weight", "started_at_ms"];

/// The name of a state in inventory files.
fn state_name(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Ready => "ready",
        EndpointState::Draining => "draining",
        EndpointState::Gone => "absent",
    }
}

/// Formats endpoints as text, in the given order.
pub fn print(endpoints: &[Endpoint], format: Format) -> String {
    match format {
        Format::Table => print_table(endpoints),
        Format::Json => print_json(endpoints),
        Format::Csv => print_csv(endpoints),
        Format::Yaml => print_yaml(endpoints),
    }
}

fn print_json(endpoints: &[Endpoint]) -> String {
    let objects: Vec<Value> = endpoints.iter().map(object).collect();
    format!("{:#}\n", json!({ "nodes": objects }))
}

fn object(endpoint: &Endpoint) -> Value {
    let mut object = json!({
        "name": &*endpoint.name,
        "address": &*endpoint.address,
        "cell": endpoint.cell,
        "zone": &*endpoint.zone,
        "state": state_name(endpoint.state),
        "weight": endpoint.weight,
    });
    // A start time of 0 means that it is unknown.
    if let Some(fields) = object.as_object_mut().filter(|_| endpoint.started_at_unix > 0.0) {
        fields.insert("started_at_ms".to_owned(), json!(endpoint.started_at_unix));
    }
    object
}

/// The cells of an endpoint's row, in the order of [`COLUMNS`].
fn cells(endpoint: &Endpoint) -> [String; 7] {
    let is_start_known = endpoint.started_at_unix > 0.0;
    [
        endpoint.name.to_string(),
        endpoint.address.to_string(),
        endpoint.cell.to_string(),
        endpoint.zone.to_string(),
        state_name(endpoint.state).to_owned(),
        endpoint.weight.to_string(),
        if is_start_known { endpoint.started_at_unix.to_string() } else { String::new() },
    ]
}

fn print_table(endpoints: &[Endpoint]) -> String {
    let mut rows = vec![COLUMNS.map(str::to_uppercase)];
    rows.extend(endpoints.iter().map(cells));
    columns(&rows)
}

fn print_csv(endpoints: &[Endpoint]) -> String {
    // Every cell is quoted because a name may start with `#`, which would mark a comment.
    let mut writer = csv::WriterBuilder::new().quote_style(csv::QuoteStyle::Always).from_writer(Vec::new());
    let mut rows = vec![COLUMNS.map(str::to_owned)];
    rows.extend(endpoints.iter().map(cells));
    let written = rows.iter().try_for_each(|row| writer.write_record(row));
    debug_assert!(written.is_ok(), "writing into memory cannot fail");
    String::from_utf8(writer.into_inner().unwrap_or_default()).unwrap_or_default()
}

fn print_yaml(endpoints: &[Endpoint]) -> String {
    let mut text = String::from("all:\n  hosts:\n");
    for endpoint in endpoints {
        let mut variables = object(endpoint);
        if let Some(fields) = variables.as_object_mut() {
            fields.remove("name");
        }
        // Writing into a string cannot fail.
        let _ = writeln!(text, "    {}: {variables}", json!(&*endpoint.name));
    }
    text
}
