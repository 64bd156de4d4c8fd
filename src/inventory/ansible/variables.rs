//! Variables, and the layers that set them for a host.

use crate::endpoints::SourceLocation;
use crate::yaml::Node;
use std::collections::BTreeMap;
use std::collections::btree_map;
use std::fmt;
use std::rc::Rc;

/// A variable's value and where it is set.
#[derive(Clone, Debug)]
pub(in super::super) struct Variable {
    pub value: Rc<Node>,
    pub location: SourceLocation,
}

/// The variables that one map or row of a file sets, by name.
#[derive(Clone, Debug, Default)]
pub(in super::super) struct VariableMap {
    by_name: BTreeMap<String, Variable>,
}

impl VariableMap {
    pub fn new() -> Self {
        VariableMap::default()
    }

    /// Sets a variable and replaces an earlier value.
    pub fn insert(&mut self, name: String, value: Rc<Node>, location: SourceLocation) {
        self.by_name.insert(name, Variable { value, location });
    }

    /// Sets a variable unless it is set already.
    pub fn insert_default(&mut self, name: &str, value: Rc<Node>, location: SourceLocation) {
        self.by_name.entry(name.to_owned()).or_insert(Variable { value, location });
    }

    pub fn get(&self, name: &str) -> Option<&Variable> {
        self.by_name.get(name)
    }

    pub fn iter(&self) -> btree_map::Iter<'_, String, Variable> {
        self.by_name.iter()
    }
}

/// The kind of source that sets a variable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Layer {
    /// The `vars` of the named group in an inventory file.
    Group(String),
    /// A file in `group_vars` for the named group.
    GroupVars(String),
    /// The host's own entry in an inventory file.
    Host,
    /// A file in `host_vars` for the host.
    HostVars,
}

impl fmt::Display for Layer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Group(name) => write!(f, "group {name}"),
            Self::GroupVars(name) => write!(f, "group_vars/{name}"),
            Self::Host => f.write_str("host"),
            Self::HostVars => f.write_str("host_vars"),
        }
    }
}

/// The variables that one file sets for a host in one layer.
pub(super) struct LayerVariables<'a> {
    pub layer: Layer,
    pub variables: &'a VariableMap,
}

/// All variables of a host, looked up by precedence.
pub(in super::super) struct HostVariables<'a> {
    /// Layers in descending order of precedence.
    layers: Vec<&'a VariableMap>,
}

impl<'a> HostVariables<'a> {
    pub(super) fn new(layers: Vec<&'a VariableMap>) -> Self {
        HostVariables { layers }
    }

    /// The value of the layer with the highest precedence that sets the variable.
    pub fn get(&self, name: &str) -> Option<&'a Variable> {
        self.layers.iter().find_map(|variables| variables.get(name))
    }
}
