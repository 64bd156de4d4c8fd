//! Variables, and the layers in which a host has them.

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

/// Variables by name, as one place of a file sets them.
#[derive(Clone, Debug, Default)]
pub(in super::super) struct VariableMap {
    by_name: BTreeMap<String, Variable>,
}

impl VariableMap {
    pub fn new() -> Self {
        VariableMap::default()
    }

    /// Sets a variable; an earlier value is replaced.
    pub fn insert(&mut self, name: String, value: Rc<Node>, location: SourceLocation) {
        self.by_name.insert(name, Variable { value, location });
    }

    /// Sets a variable that is not set yet.
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

/// Where a variable is set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Layer {
    /// A group in an inventory file.
    Group(String),
    /// A file of `group_vars`.
    GroupVars(String),
    /// The host in an inventory file.
    Host,
    /// A file of `host_vars`.
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

/// The variables of one layer of a host.
pub(super) struct LayerVariables<'a> {
    pub layer: Layer,
    pub variables: &'a VariableMap,
}

/// All variables of a host, for look-ups.
pub(in super::super) struct HostVariables<'a> {
    /// The strongest layer first.
    layers: Vec<&'a VariableMap>,
}

impl<'a> HostVariables<'a> {
    pub(super) fn new(layers: Vec<&'a VariableMap>) -> Self {
        HostVariables { layers }
    }

    /// The variable of the strongest layer that sets it.
    pub fn get(&self, name: &str) -> Option<&'a Variable> {
        self.layers.iter().find_map(|variables| variables.get(name))
    }
}
