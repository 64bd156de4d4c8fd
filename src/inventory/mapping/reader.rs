//! Reads the endpoint record of a host from its variables.

use super::super::ansible::{HostVariables, Hosts};
use super::address::{Address, Protocol, is_ipv6, parse_port};
use super::error::{FieldError, FieldProblem};
use super::{Field, Mapping};
use crate::endpoints::{EndpointRecord, EndpointState, Located, SourceLocation};
use crate::yaml::Node;
use std::sync::Arc;

/// Maximum cell number.
const MAX_CELL: u32 = 65_535;
/// Maximum weight.
const MAX_WEIGHT: f64 = 1e6;
/// Maximum start time, in milliseconds since the Unix epoch.
const MAX_STARTED_AT_MS: f64 = 1e15;
/// The opening delimiters of Jinja templates: expressions, statements and comments.
const TEMPLATE_DELIMITERS: [&str; 3] = ["{{", "{%", "{#"];

/// Reads the fields of one host and collects their problems.
pub(super) struct RecordReader<'a> {
    mapping: &'a Mapping,
    /// The candidate variables of each field, in the order of [`Field::ALL`].
    candidates: &'a [Vec<String>; Field::ALL.len()],
    variables: HostVariables<'a>,
    host: &'a Arc<str>,
    /// Where the host is first listed.
    location: SourceLocation,
    /// Whether the record supplements that of another source, so that address and cell are optional.
    partial: bool,
    problems: Vec<FieldProblem>,
}

impl<'a> RecordReader<'a> {
    pub fn new(
        mapping: &'a Mapping,
        hosts: &'a Hosts,
        host: &'a Arc<str>,
        candidates: &'a [Vec<String>; Field::ALL.len()],
        partial: bool,
    ) -> Self {
        RecordReader {
            mapping,
            candidates,
            variables: hosts.variables(host),
            host,
            location: hosts.location(host).unwrap_or_default(),
            partial,
            problems: Vec::new(),
        }
    }

    /// Returns the record, or `None` if the state of the host is `absent`.
    pub fn read(mut self) -> Result<Option<EndpointRecord>, Vec<FieldProblem>> {
        let record = self.read_record();
        if self.problems.is_empty() { Ok(record) } else { Err(self.problems) }
    }

    fn read_record(&mut self) -> Option<EndpointRecord> {
        let state = self.field(Field::State, parse_state);
        if state.as_ref().is_some_and(|state| state.value == EndpointState::Gone) {
            return None;
        }
        let cell = self.field(Field::Cell, parse_cell);
        let protocol = self.field(Field::Protocol, Protocol::parse);
        let port = self.field(Field::Port, |text| {
            parse_port(text).ok_or_else(|| FieldError::InvalidPort(text.to_owned()))
        });
        let address = self.field(Field::Address, Address::parse);
        let weight = self.field(Field::Weight, |text| parse_number(text, MAX_WEIGHT));
        let started_at = self.field(Field::StartedAtMs, |text| parse_number(text, MAX_STARTED_AT_MS));
        let zone = self.field(Field::Zone, |text| Ok(Arc::<str>::from(text)));
        if !self.partial && cell.is_none() && !self.has_problem(Field::Cell) {
            self.report_missing(Field::Cell);
        }
        let address = self.full_address(address, port, protocol.map(|protocol| protocol.value));
        Some(EndpointRecord {
            name: self.host.clone(),
            location: self.location,
            address,
            zone,
            cell,
            weight,
            state,
            started_at_unix: started_at,
        })
    }

    /// Combines host, port and protocol into one address.
    fn full_address(
        &mut self,
        address: Option<Located<Address>>,
        port: Option<Located<u16>>,
        protocol: Option<Protocol>,
    ) -> Option<Located<Arc<str>>> {
        if self.has_problem(Field::Address) || self.has_problem(Field::Port) {
            return None;
        }
        if self.partial && address.is_none() {
            return None;
        }
        let port_location = port.as_ref().map_or(self.location, |port| port.location);
        let location = address.as_ref().map_or(port_location, |address| address.location);
        // Without an address, the name of the host is used.
        let address = address.map_or_else(
            || Address { host: self.host.to_string(), port: None, protocol: Protocol::Frames },
            |address| address.value,
        );
        let port = self.resolve_port(address.port, port)?;
        let scheme = match protocol.unwrap_or(address.protocol) {
            Protocol::Frames => "",
            Protocol::Flight => "grpc+tcp://",
        };
        let host = if is_ipv6(&address.host) { format!("[{}]", address.host) } else { address.host };
        Some(Located { value: format!("{scheme}{host}:{port}").into(), location })
    }

    /// The port of the address or of the port field; if both are set, they must be equal.
    fn resolve_port(&mut self, address_port: Option<u16>, port: Option<Located<u16>>) -> Option<u16> {
        match (address_port, port) {
            (Some(address_port), Some(port)) if address_port != port.value => {
                let error = FieldError::PortMismatch { port: port.value, address_port };
                self.report(port.location, Field::Port, error);
                None
            }
            (Some(address_port), _) => Some(address_port),
            (None, Some(port)) => Some(port.value),
            (None, None) => {
                if !self.partial {
                    self.report_missing(Field::Port);
                }
                None
            }
        }
    }

    /// Parses the value of the first candidate variable that is set, or the default of the field.
    fn field<T>(
        &mut self,
        field: Field,
        parse: impl Fn(&str) -> Result<T, FieldError>,
    ) -> Option<Located<T>> {
        let (text, location) = self.field_text(field)?;
        let text = self.map_value(field, text.trim());
        match parse(&text) {
            Ok(value) => Some(Located { value, location }),
            Err(error) => {
                self.report(location, field, error);
                None
            }
        }
    }

    fn field_text(&mut self, field: Field) -> Option<(String, SourceLocation)> {
        let candidates = &self.candidates[field as usize];
        let set = candidates.iter().find_map(|name| Some((name, self.variables.get(name)?)));
        let Some((name, variable)) = set.filter(|(_, variable)| !variable.value.is_null()) else {
            let default = self.mapping.defaults.get(&field)?;
            return Some((default.clone(), self.location));
        };
        match scalar_text(&variable.value) {
            Ok(text) => Some((text, variable.location)),
            Err(error) => {
                // The path contains the variable rather than the field, as the operator has to change the variable.
                let path = format!("{}.{name}", self.host);
                self.problems.push(FieldProblem { location: variable.location, field, path, error });
                None
            }
        }
    }

    /// Replaces a value as the mapping configures it, preferring an exact match to one that ignores case. A value
    /// that is not mapped is returned unchanged.
    fn map_value(&self, field: Field, text: &str) -> String {
        let Some(mapped_values) = self.mapping.values.get(&field) else { return text.to_owned() };
        let ignoring_case = || {
            let mut mapped_values = mapped_values.iter();
            mapped_values.find(|(value, _)| value.eq_ignore_ascii_case(text)).map(|(_, mapped)| mapped)
        };
        mapped_values.get(text).or_else(ignoring_case).cloned().unwrap_or_else(|| text.to_owned())
    }

    fn report_missing(&mut self, field: Field) {
        let error = match self.mapping.fields.get(&field) {
            Some(variable) => FieldError::MissingVariable(variable.clone()),
            None => FieldError::Missing,
        };
        self.report(self.location, field, error);
    }

    fn report(&mut self, location: SourceLocation, field: Field, error: FieldError) {
        let path = format!("{}.{}", self.host, field.name());
        self.problems.push(FieldProblem { location, field, path, error });
    }

    fn has_problem(&self, field: Field) -> bool {
        self.problems.iter().any(|problem| problem.field == field)
    }
}

/// The text of a scalar. An encrypted value or a template is an error.
fn scalar_text(value: &Node) -> Result<String, FieldError> {
    if value.tag == "vault" {
        return Err(FieldError::Encrypted);
    }
    let text = value.as_str().ok_or_else(|| FieldError::NotScalar(value.kind_name()))?;
    if TEMPLATE_DELIMITERS.iter().any(|delimiter| text.contains(delimiter)) {
        return Err(FieldError::Template(text.to_owned()));
    }
    Ok(text.to_owned())
}

fn parse_state(text: &str) -> Result<EndpointState, FieldError> {
    match text {
        "ready" => Ok(EndpointState::Ready),
        "draining" => Ok(EndpointState::Draining),
        "absent" => Ok(EndpointState::Gone),
        other => Err(FieldError::UnknownState(other.to_owned())),
    }
}

fn parse_cell(text: &str) -> Result<u32, FieldError> {
    match text.parse() {
        Ok(cell) if cell <= MAX_CELL => Ok(cell),
        _ => Err(FieldError::InvalidCell { text: text.to_owned(), max: MAX_CELL }),
    }
}

fn parse_number(text: &str, max: f64) -> Result<f64, FieldError> {
    match text.parse::<f64>() {
        Ok(number) if number.is_finite() && (0.0..=max).contains(&number) => Ok(number),
        _ => Err(FieldError::InvalidNumber { text: text.to_owned(), max }),
    }
}
