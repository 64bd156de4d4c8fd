//! Maps a host's variables to the fields of an endpoint record, and the values that other tools use to the values of
//! those fields.

mod address;
mod error;
mod field;
mod reader;

pub use field::Field;

use super::ansible::Hosts;
use crate::endpoints::EndpointRecord;
use error::FieldProblem;
use reader::RecordReader;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Mapping of variables and their values to endpoint fields, as the operator file configures it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Mapping {
    /// The column or variable that holds a field, in place of the default names.
    pub fields: BTreeMap<Field, String>,
    /// For a field, the replacement of each value that a tool uses, such as `Active` by `ready`.
    pub values: BTreeMap<Field, BTreeMap<String, String>>,
    /// The value of a field whose variable is not set or null.
    pub defaults: BTreeMap<Field, String>,
}

impl Mapping {
    /// The variables that may hold a field, in the order in which they are tried; the first one that is set is used.
    pub fn candidates(&self, field: Field) -> Vec<String> {
        match self.fields.get(&field) {
            Some(variable) => vec![variable.clone()],
            None => field.default_variables().iter().map(|name| (*name).to_owned()).collect(),
        }
    }

    /// The endpoint record of a host; `None` if its state is `absent`. `candidates` holds the result of
    /// [`Mapping::candidates`] for each field, in the order of [`Field::ALL`].
    pub(super) fn record(
        &self,
        hosts: &Hosts,
        host: &Arc<str>,
        candidates: &[Vec<String>; Field::ALL.len()],
        partial: bool,
    ) -> Result<Option<EndpointRecord>, Vec<FieldProblem>> {
        RecordReader::new(self, hosts, host, candidates, partial).read()
    }
}
