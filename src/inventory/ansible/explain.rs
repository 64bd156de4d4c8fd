//! Explains a host's variables: which value takes precedence, and which values it overrides.

use super::hosts::Hosts;
use super::variables::Layer;
use crate::endpoints::SourceLocation;
use crate::yaml::{Entry, Kind, Node};
use std::collections::BTreeMap;

/// Maximum length of a printed value, in characters.
const MAX_VALUE_CHARS: usize = 120;
/// Maximum number of elements that are printed of a list or map.
const MAX_ELEMENTS: usize = 16;
/// Maximum depth of nested lists and maps that are printed.
const MAX_DEPTH: usize = 2;

/// One of the values of a variable and where it is set.
#[derive(Clone, Debug)]
pub struct ExplainedValue {
    /// The value on a single line, shortened to at most 120 characters.
    pub text: String,
    /// The layer that sets the value.
    pub layer: Layer,
    /// File and line that set the value.
    pub location: SourceLocation,
}

/// A variable of a host with all values that the layers give it.
#[derive(Clone, Debug)]
pub struct ExplainedVariable {
    /// The variable's name.
    pub variable: String,
    /// The values in descending order of precedence: the first one is effective.
    pub values: Vec<ExplainedValue>,
}

impl Hosts {
    /// All variables of a host with all their values, sorted by name; empty if there is no such host.
    pub fn explain(&self, host: &str) -> Vec<ExplainedVariable> {
        let mut values_by_name: BTreeMap<&str, Vec<ExplainedValue>> = BTreeMap::new();
        for layer in self.layers(host) {
            for (name, variable) in layer.variables.iter() {
                values_by_name.entry(name).or_default().push(ExplainedValue {
                    text: summary(&variable.value, 0),
                    layer: layer.layer.clone(),
                    location: variable.location,
                });
            }
        }
        let to_explained =
            |(name, values): (&str, _)| ExplainedVariable { variable: name.to_owned(), values };
        values_by_name.into_iter().map(to_explained).collect()
    }
}

/// Formats a value on a single line, shortened.
fn summary(node: &Node, depth: usize) -> String {
    let text = match &node.kind {
        Kind::Scalar { text, .. } if node.tag == "vault" => format!("(encrypted, {} bytes)", text.len()),
        Kind::Scalar { text, .. } => text.replace(['\n', '\r'], " "),
        _ if depth > MAX_DEPTH => "…".to_owned(),
        Kind::List(elements) => {
            let elements = elements.iter().take(MAX_ELEMENTS);
            let texts: Vec<String> = elements.map(|element| summary(element, depth + 1)).collect();
            format!("[{}]", texts.join(", "))
        }
        Kind::Map(entries) => {
            let entry_text = |entry: &Entry| format!("{}: {}", entry.name, summary(&entry.value, depth + 1));
            let texts: Vec<String> = entries.iter().take(MAX_ELEMENTS).map(entry_text).collect();
            format!("{{{}}}", texts.join(", "))
        }
    };
    if text.chars().count() <= MAX_VALUE_CHARS {
        return text;
    }
    text.chars().take(MAX_VALUE_CHARS).chain(['…']).collect()
}
