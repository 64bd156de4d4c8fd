//! Explains a host's variables: which value has precedence, and which ones it overrides.

use super::hosts::Hosts;
use super::variables::Layer;
use crate::endpoints::SourceLocation;
use crate::yaml::{Entry, Kind, Node};
use std::collections::BTreeMap;

/// Longest printed value, in characters.
const MAX_VALUE_CHARS: usize = 120;
/// Elements of a list or map that are printed.
const MAX_ELEMENTS: usize = 16;
/// Depth of nested values that are printed.
const MAX_DEPTH: usize = 2;

/// A value of a variable and where it is set.
#[derive(Clone, Debug)]
pub struct ExplainedValue {
    /// The value as text in one line, shortened.
    pub text: String,
    /// The layer that sets it.
    pub layer: Layer,
    /// Where it is set.
    pub location: SourceLocation,
}

/// One variable of a host.
#[derive(Clone, Debug)]
pub struct ExplainedVariable {
    /// Its name.
    pub variable: String,
    /// Its values. The first one has precedence; each overrides the next.
    pub values: Vec<ExplainedValue>,
}

impl Hosts {
    /// Every variable of a host with all its values, in the order of the names.
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
        let explained = |(name, values): (&str, _)| ExplainedVariable { variable: name.to_owned(), values };
        values_by_name.into_iter().map(explained).collect()
    }
}

/// A value in one line, shortened.
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
