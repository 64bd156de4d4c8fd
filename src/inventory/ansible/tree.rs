//! Reads the YAML files of an inventory: groups with hosts, variables and children; host lists in the format of
//! `inventory show --format json`; and variable files.

use super::super::error::HostError;
use super::super::files::{BundleFile, Role};
use super::hosts::Hosts;
use super::variables::VariableMap;
use crate::diagnostic::Diagnostic;
use crate::endpoints::SourceLocation;
use crate::yaml::{Entry, Node};
use std::collections::BTreeSet;
use std::fmt;
use std::rc::Rc;

/// Maximum number of groups of an inventory.
const MAX_GROUPS: usize = 4096;
/// Top-level entries with this prefix are ignored: they may have any content, such as YAML anchors.
const EXTENSION_PREFIX: &str = "x-";
/// The variable that sets the order of precedence of groups with the same depth.
const GROUP_PRIORITY: &str = "ansible_group_priority";

impl Hosts {
    /// Adds the content of a YAML file and appends its problems to `problems`.
    pub(in super::super) fn add_yaml(
        &mut self,
        file_index: u16,
        file: &BundleFile,
        tree: &Rc<Node>,
        problems: &mut Vec<Diagnostic>,
    ) {
        let mut reader = TreeReader { hosts: self, file_index, file_name: &file.name, problems };
        match &file.role {
            Role::Inventory => reader.read_inventory(tree),
            Role::GroupVars(group) => {
                if let Some(variables) = reader.read_variables("", tree) {
                    reader.hosts.add_group_vars(group, variables);
                }
            }
            Role::HostVars(host) => {
                if let Some(variables) = reader.read_variables("", tree) {
                    reader.hosts.add_host_vars(host, variables);
                }
            }
        }
    }
}

/// An error in the structure of a YAML inventory.
enum TreeError {
    NotGroups,
    NotGroup,
    NotHosts,
    NotVariables,
    UnknownGroupField,
    TooDeep,
    TooManyGroups,
    InvalidPriority,
    Host(HostError),
}

impl fmt::Display for TreeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotGroups => f.write_str("must be a map of groups"),
            Self::NotGroup => f.write_str("must be a map with hosts, vars or children"),
            Self::NotHosts => f.write_str("must be a map of hosts"),
            Self::NotVariables => f.write_str("must be a map of variables"),
            Self::UnknownGroupField => f.write_str("must be hosts, vars or children"),
            Self::TooDeep => f.write_str("is nested too deeply"),
            Self::TooManyGroups => write!(f, "exceeds the maximum of {MAX_GROUPS} groups"),
            Self::InvalidPriority => f.write_str("must be a whole number"),
            Self::Host(error) => write!(f, "{error}"),
        }
    }
}

/// A group in a file and its position in the tree of groups.
struct GroupNode<'a> {
    entry: &'a Entry,
    /// Dotted path of fields from the root of the file, such as `all.children.index`.
    path: String,
    parent: Option<&'a str>,
    depth: usize,
}

/// Reads one YAML file.
struct TreeReader<'a> {
    hosts: &'a mut Hosts,
    file_index: u16,
    file_name: &'a str,
    problems: &'a mut Vec<Diagnostic>,
}

impl TreeReader<'_> {
    fn report(&mut self, line: u32, path: &str, error: TreeError) {
        self.problems.push(Diagnostic::at(self.file_name, line, path, error.to_string()));
    }

    fn location(&self, line: u32) -> SourceLocation {
        SourceLocation { file: self.file_index, line }
    }

    fn read_inventory(&mut self, tree: &Node) {
        if tree.is_null() {
            return;
        }
        let Some(entries) = tree.map() else {
            return self.report(tree.line, "inventory", TreeError::NotGroups);
        };
        if let Some(rows) = host_list(entries) {
            return self.read_host_list(rows);
        }
        for entry in entries {
            // Ansible ignores every entry that is not a group. Here only entries with the extension prefix are ignored,
            // so that a malformed group is reported instead of silently losing its hosts.
            if !entry.name.starts_with(EXTENSION_PREFIX) {
                self.read_group(&GroupNode { entry, path: entry.name.clone(), parent: None, depth: 0 });
            }
        }
    }

    /// Reads a host list in the format of `inventory show --format json`.
    fn read_host_list(&mut self, rows: &[Rc<Node>]) {
        let mut names = BTreeSet::new();
        for (index, row) in rows.iter().enumerate() {
            let path = format!("nodes[{index}]");
            let Some(variables) = self.read_variables(&path, row) else { continue };
            if let Err(error) = self.add_listed_host(row.line, variables, &mut names) {
                self.report(row.line, &format!("{path}.name"), TreeError::Host(error));
            }
        }
    }

    fn add_listed_host(
        &mut self,
        line: u32,
        variables: Rc<VariableMap>,
        names: &mut BTreeSet<String>,
    ) -> Result<(), HostError> {
        let name = variables.get("name").and_then(|name| name.value.as_str());
        let name = name.ok_or(HostError::MissingName)?.to_owned();
        if !names.insert(name.clone()) {
            return Err(HostError::Duplicate(name));
        }
        let location = self.location(line);
        self.hosts.add_host(&name, location, Some(variables), None)
    }

    fn read_group(&mut self, group: &GroupNode<'_>) {
        let Entry { name, line, value } = group.entry;
        if group.depth > self.hosts.bounds.depth {
            return self.report(*line, &group.path, TreeError::TooDeep);
        }
        if self.hosts.groups.len() >= MAX_GROUPS {
            return self.report(*line, &group.path, TreeError::TooManyGroups);
        }
        let location = self.location(*line);
        self.hosts.groups.declare(name, location, group.parent);
        if value.is_null() {
            return;
        }
        let Some(fields) = value.map() else {
            return self.report(value.line, &group.path, TreeError::NotGroup);
        };
        for field in fields {
            if field.value.is_null() {
                continue;
            }
            let path = format!("{}.{}", group.path, field.name);
            match field.name.as_str() {
                "vars" => self.read_group_variables(name, &path, field),
                "children" => self.read_children(group, &path, field),
                "hosts" => self.read_group_hosts(name, &path, field),
                _ => self.report(field.line, &path, TreeError::UnknownGroupField),
            }
        }
    }

    fn read_group_variables(&mut self, group: &str, path: &str, field: &Entry) {
        let Some(variables) = self.read_variables(path, &field.value) else { return };
        let mut priority = None;
        if let Some(variable) = variables.get(GROUP_PRIORITY) {
            priority = variable.value.as_str().and_then(|text| text.parse().ok());
            if priority.is_none() {
                let path = format!("{path}.{GROUP_PRIORITY}");
                self.report(variable.location.line, &path, TreeError::InvalidPriority);
            }
        }
        let location = self.location(field.line);
        let group = self.hosts.groups.declare(group, location, None);
        group.priority = priority.unwrap_or(group.priority);
        group.variables.push(variables);
    }

    fn read_children(&mut self, group: &GroupNode<'_>, path: &str, field: &Entry) {
        let Some(children) = field.value.map() else {
            return self.report(field.line, path, TreeError::NotGroups);
        };
        for child in children {
            self.read_group(&GroupNode {
                entry: child,
                path: format!("{path}.{}", child.name),
                parent: Some(&group.entry.name),
                depth: group.depth + 1,
            });
        }
    }

    fn read_group_hosts(&mut self, group: &str, path: &str, field: &Entry) {
        let Some(hosts) = field.value.map() else {
            return self.report(field.line, path, TreeError::NotHosts);
        };
        for host in hosts {
            let path = format!("{path}.{}", host.name);
            let mut variables = None;
            if !host.value.is_null() {
                variables = self.read_variables(&path, &host.value);
                if variables.is_none() {
                    continue;
                }
            }
            let location = self.location(host.line);
            if let Err(error) = self.hosts.add_pattern(&host.name, location, variables, group) {
                self.report(host.line, &path, TreeError::Host(error));
            }
        }
    }

    /// Reads the variables of a map. Reports a problem and returns `None` if the node is not a map.
    fn read_variables(&mut self, path: &str, node: &Node) -> Option<Rc<VariableMap>> {
        if node.is_null() {
            return Some(Rc::default());
        }
        let Some(fields) = node.map() else {
            self.report(node.line, path, TreeError::NotVariables);
            return None;
        };
        let mut variables = VariableMap::new();
        for field in fields {
            variables.insert(field.name.clone(), field.value.clone(), self.location(field.line));
        }
        Some(Rc::new(variables))
    }
}

/// Returns the hosts if the only entry of the file is the list `nodes`.
fn host_list(entries: &[Entry]) -> Option<&[Rc<Node>]> {
    match entries {
        [only] if only.name == "nodes" => only.value.list(),
        _ => None,
    }
}
