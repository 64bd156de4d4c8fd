//! From a host's variables to an endpoint record: which variable is which field, and which of the tools' words stand
//! for which value.

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

/// How the tools' variables and words are read. The operator's file sets it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Mapping {
    /// The column or variable of a field.
    pub fields: BTreeMap<Field, String>,
    /// For a field, the meaning of the tools' words.
    pub values: BTreeMap<Field, BTreeMap<String, String>>,
    /// The value of a field whose variable is not set.
    pub defaults: BTreeMap<Field, String>,
}

impl Mapping {
    /// The variables that may hold a field; the first one that is set counts.
    pub fn candidates(&self, field: Field) -> Vec<String> {
        match self.fields.get(&field) {
            Some(variable) => vec![variable.clone()],
            None => field.default_variables().iter().map(|name| (*name).to_owned()).collect(),
        }
    }

    /// The endpoint record of a host; `None` if its state is `absent`. `candidates` are those of each field, in the
    /// order of [`Field::ALL`].
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
