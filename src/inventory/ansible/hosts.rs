//! The hosts of an inventory, their groups and their variables.

use super::super::error::HostError;
use super::super::expand::expand;
use super::super::files::Bundle;
use super::super::options::Bounds;
use super::groups::{ALL, Groups};
use super::variables::{HostVariables, Layer, LayerVariables, VariableMap};
use crate::diagnostic::Diagnostic;
use crate::endpoints::SourceLocation;
use crate::yaml::{Kind, Node};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;

/// Maximum number of entries per host, on average over the maximum number of hosts. It bounds inventories in which many
/// groups list the same range of hosts.
const MAX_ENTRIES_PER_HOST: usize = 16;
/// Maximum number of sets of groups whose order of precedence is cached.
const MAX_CACHED_ORDERS: usize = 256;
/// Maximum length of a host name, in bytes.
const MAX_NAME_BYTES: usize = 255;

#[derive(Debug)]
struct Host {
    /// Where the host is first listed.
    location: SourceLocation,
    /// Variables that inventory files set for the host, in the order of the files.
    variables: Vec<Rc<VariableMap>>,
    /// The groups that list the host directly.
    groups: BTreeSet<String>,
}

/// All hosts of an inventory with their variables.
#[derive(Debug)]
pub struct Hosts {
    pub(super) bounds: Bounds,
    pub(super) groups: Groups,
    hosts: BTreeMap<Arc<str>, Host>,
    /// Variables of the files in `group_vars` by group, in the order of the files.
    group_vars: BTreeMap<String, Vec<Rc<VariableMap>>>,
    /// Variables of the files in `host_vars` by host, in the order of the files.
    host_vars: BTreeMap<String, Vec<Rc<VariableMap>>>,
    /// Number of times that hosts were listed, including repetitions.
    entry_count: usize,
    /// Groups in ascending order of precedence, by the set of groups that list a host. Many hosts share a set.
    cached_orders: RefCell<HashMap<BTreeSet<String>, Rc<Vec<String>>>>,
}

impl Hosts {
    pub(in super::super) fn new(bounds: Bounds) -> Self {
        Hosts {
            bounds,
            groups: Groups::new(),
            hosts: BTreeMap::new(),
            group_vars: BTreeMap::new(),
            host_vars: BTreeMap::new(),
            entry_count: 0,
            cached_orders: RefCell::default(),
        }
    }

    /// The names of all hosts, sorted.
    pub fn names(&self) -> Vec<Arc<str>> {
        self.hosts.keys().cloned().collect()
    }

    /// Where a host is first listed; `None` if there is no such host.
    pub fn location(&self, host: &str) -> Option<SourceLocation> {
        self.hosts.get(host).map(|host| host.location)
    }

    /// The groups of a host in ascending order of precedence; empty if there is no such host.
    pub fn groups_of(&self, host: &str) -> Rc<Vec<String>> {
        let Some(host) = self.hosts.get(host) else { return Rc::default() };
        if let Some(order) = self.cached_orders.borrow().get(&host.groups) {
            return order.clone();
        }
        let order = Rc::new(self.groups.by_precedence(&host.groups));
        let mut cached_orders = self.cached_orders.borrow_mut();
        if cached_orders.len() < MAX_CACHED_ORDERS {
            cached_orders.insert(host.groups.clone(), order.clone());
        }
        order
    }

    /// The layers of a host's variables in descending order of precedence.
    pub(super) fn layers(&self, name: &str) -> Vec<LayerVariables<'_>> {
        let mut layers = Vec::new();
        let Some(host) = self.hosts.get(name) else { return layers };
        push_layers(&mut layers, || Layer::HostVars, self.host_vars.get(name));
        push_layers(&mut layers, || Layer::Host, Some(&host.variables));
        let groups = self.groups_of(name);
        // All other files in `group_vars` take precedence over `group_vars/all`.
        let others = groups.iter().rev().filter(|group| *group != ALL);
        let all = groups.iter().filter(|group| *group == ALL);
        for group in others.chain(all) {
            push_layers(&mut layers, || Layer::GroupVars(group.clone()), self.group_vars.get(group));
        }
        for group in groups.iter().rev() {
            let variables = self.groups.get(group).map(|group| &group.variables);
            push_layers(&mut layers, || Layer::Group(group.clone()), variables);
        }
        layers
    }

    /// The effective variables of a host.
    pub(in super::super) fn variables(&self, host: &str) -> HostVariables<'_> {
        let layers = self.layers(host);
        HostVariables::new(layers.into_iter().map(|layer| layer.variables).collect())
    }

    /// Adds the host of a CSV row.
    pub(in super::super) fn add_row(
        &mut self,
        name: &str,
        location: SourceLocation,
        variables: VariableMap,
    ) -> Result<(), HostError> {
        self.add_host(name, location, Some(Rc::new(variables)), None)
    }

    /// Adds the variables of a file in `group_vars`.
    pub(super) fn add_group_vars(&mut self, group: &str, variables: Rc<VariableMap>) {
        self.group_vars.entry(group.to_owned()).or_default().push(variables);
    }

    /// Adds the variables of a file in `host_vars`.
    pub(super) fn add_host_vars(&mut self, host: &str, variables: Rc<VariableMap>) {
        self.host_vars.entry(host.to_owned()).or_default().push(variables);
    }

    /// Adds the hosts of a pattern, which is a name or a range, to a group. A port after the name sets the variable
    /// `ansible_port`.
    pub(super) fn add_pattern(
        &mut self,
        pattern: &str,
        location: SourceLocation,
        variables: Option<Rc<VariableMap>>,
        group: &str,
    ) -> Result<(), HostError> {
        let HostPattern { names, port } = HostPattern::parse(pattern);
        let variables = match port {
            Some(port) => Some(Rc::new(with_port(variables, port, location))),
            None => variables,
        };
        for name in expand(names, self.bounds.hosts)? {
            self.add_host(&name, location, variables.clone(), Some(group))?;
        }
        Ok(())
    }

    /// Adds a host, or adds variables and a group to an existing host.
    pub(super) fn add_host(
        &mut self,
        name: &str,
        location: SourceLocation,
        variables: Option<Rc<VariableMap>>,
        group: Option<&str>,
    ) -> Result<(), HostError> {
        if !is_host_name(name) {
            return Err(HostError::InvalidName);
        }
        self.entry_count += 1;
        let is_new = !self.hosts.contains_key(name);
        if is_new && self.hosts.len() >= self.bounds.hosts {
            return Err(HostError::TooManyHosts(self.bounds.hosts));
        }
        if self.entry_count > self.bounds.hosts.saturating_mul(MAX_ENTRIES_PER_HOST) {
            return Err(HostError::TooManyEntries(self.entry_count - 1));
        }
        if is_new {
            let host = Host { location, variables: Vec::new(), groups: BTreeSet::new() };
            self.hosts.insert(name.into(), host);
        }
        if let Some(host) = self.hosts.get_mut(name) {
            host.variables.extend(variables);
            host.groups.extend(group.map(str::to_owned));
        }
        Ok(())
    }

    /// Computes the order of the groups once all files are read, and reports a cycle of groups.
    pub(in super::super) fn link_groups(&mut self, bundle: &Bundle, problems: &mut Vec<Diagnostic>) {
        if let Err(cycle) = self.groups.link() {
            let file = bundle.file_name(cycle.location);
            let line = cycle.location.line.max(1);
            problems.push(Diagnostic::at(file, line, cycle.group, "is its own descendant"));
        }
    }
}

/// Appends the files of one layer in descending order of precedence: the later file comes first.
fn push_layers<'a>(
    layers: &mut Vec<LayerVariables<'a>>,
    layer: impl Fn() -> Layer,
    files: Option<&'a Vec<Rc<VariableMap>>>,
) {
    for variables in files.into_iter().flatten().rev() {
        layers.push(LayerVariables { layer: layer(), variables });
    }
}

/// A host entry of a group: a name or a range, with an optional port.
struct HostPattern<'a> {
    names: &'a str,
    port: Option<&'a str>,
}

impl<'a> HostPattern<'a> {
    fn parse(pattern: &'a str) -> Self {
        let without_port = HostPattern { names: pattern, port: None };
        let Some((names, port)) = pattern.rsplit_once(':') else { return without_port };
        let is_number = !port.is_empty() && port.bytes().all(|byte| byte.is_ascii_digit());
        // The colon may belong to a range or to an IPv6 address.
        let is_in_range = names.matches('[').count() != names.matches(']').count();
        let is_ipv6 = names.contains("::");
        if !is_number || is_in_range || is_ipv6 {
            return without_port;
        }
        HostPattern { names, port: Some(port) }
    }
}

/// Sets `ansible_port` unless it is set already.
fn with_port(variables: Option<Rc<VariableMap>>, port: &str, location: SourceLocation) -> VariableMap {
    let mut variables = variables.map(|variables| (*variables).clone()).unwrap_or_default();
    let kind = Kind::Scalar { text: port.to_owned(), is_plain: true };
    let value = Rc::new(Node { line: location.line, tag: String::new(), size: 1, kind });
    variables.insert_default("ansible_port", value, location);
    variables
}

fn is_host_name(name: &str) -> bool {
    let is_invalid = |c: char| c.is_whitespace() || c.is_control() || matches!(c, '[' | ']' | ':');
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && !name.contains(is_invalid)
}
