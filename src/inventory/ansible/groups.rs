//! Groups of hosts and their order of precedence. A group may have several parents.

use super::variables::VariableMap;
use crate::endpoints::SourceLocation;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

/// Ansible's implicit group of all hosts, the parent of every group without another parent.
pub(super) const ALL: &str = "all";

/// A group of hosts.
#[derive(Debug, Default)]
pub(super) struct Group {
    /// Variables that inventory files set for the group, in the order of the files.
    pub variables: Vec<Rc<VariableMap>>,
    /// Value of `ansible_group_priority`; 0 if it is not set.
    pub priority: i64,
    parents: BTreeSet<String>,
    /// Length of the longest path from [`ALL`]; 0 until [`Groups::link`] computes it.
    depth: usize,
    /// Location of the first occurrence of the group.
    location: SourceLocation,
}

/// The groups form a cycle: `group` is its own descendant.
pub(super) struct GroupCycle {
    pub group: String,
    pub location: SourceLocation,
}

/// All groups by name.
#[derive(Debug)]
pub(super) struct Groups {
    by_name: BTreeMap<String, Group>,
}

impl Groups {
    pub fn new() -> Self {
        Groups { by_name: BTreeMap::from([(ALL.to_owned(), Group::default())]) }
    }

    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    pub fn get(&self, name: &str) -> Option<&Group> {
        self.by_name.get(name)
    }

    /// Returns the group with that name and adds `parent` to its parents; a group that does not exist is created.
    pub fn declare(&mut self, name: &str, location: SourceLocation, parent: Option<&str>) -> &mut Group {
        let group = self.by_name.entry(name.to_owned()).or_default();
        // Lines count from 1, so line 0 means that the group is new.
        if group.location.line == 0 && name != ALL {
            group.location = location;
        }
        group.parents.extend(parent.map(str::to_owned));
        group
    }

    /// The given groups, their ancestors and [`ALL`] in ascending order of precedence.
    pub fn by_precedence(&self, direct: &BTreeSet<String>) -> Vec<String> {
        let mut names: BTreeSet<&str> = BTreeSet::from([ALL]);
        let mut unvisited: Vec<&str> = direct.iter().map(String::as_str).collect();
        while let Some(name) = unvisited.pop() {
            if names.insert(name)
                && let Some(group) = self.by_name.get(name)
            {
                unvisited.extend(group.parents.iter().map(String::as_str));
            }
        }
        let rank = |name: &str| self.by_name.get(name).map_or((0, 0), |group| (group.depth, group.priority));
        let mut order: Vec<&str> = names.into_iter().collect();
        order.sort_by(|a, b| rank(a).cmp(&rank(b)).then(a.cmp(b)));
        order.into_iter().map(str::to_owned).collect()
    }

    /// Computes the depth of each group. Called once all files are read.
    pub fn link(&mut self) -> Result<(), GroupCycle> {
        let mut children: HashMap<String, Vec<String>> = HashMap::new();
        let mut unvisited_parents: HashMap<String, usize> = HashMap::new();
        for (name, group) in &mut self.by_name {
            if name == ALL {
                continue;
            }
            if group.parents.is_empty() {
                group.parents.insert(ALL.to_owned());
            }
            unvisited_parents.insert(name.clone(), group.parents.len());
            for parent in &group.parents {
                children.entry(parent.clone()).or_default().push(name.clone());
            }
        }
        let visited = self.set_depths(children, &mut unvisited_parents);
        let all_has_parents = self.by_name.get(ALL).is_some_and(|group| !group.parents.is_empty());
        if visited == self.by_name.len() && !all_has_parents {
            return Ok(());
        }
        let in_cycle = unvisited_parents.iter().filter(|(_, parents)| **parents > 0).map(|(name, _)| name);
        let group = in_cycle.min().map_or_else(|| ALL.to_owned(), String::clone);
        let location = self.by_name.get(&group).map_or(SourceLocation::default(), |group| group.location);
        Err(GroupCycle { group, location })
    }

    /// Sets the depths in topological order and returns the number of visited groups. Groups in cycles and their
    /// descendants are not visited.
    fn set_depths(
        &mut self,
        mut children: HashMap<String, Vec<String>>,
        unvisited_parents: &mut HashMap<String, usize>,
    ) -> usize {
        let mut ready = VecDeque::from([ALL.to_owned()]);
        let mut visited = 0;
        while let Some(name) = ready.pop_front() {
            visited += 1;
            let depth = self.by_name.get(&name).map_or(0, |group| group.depth);
            for child in children.remove(&name).unwrap_or_default() {
                if let Some(group) = self.by_name.get_mut(&child) {
                    group.depth = group.depth.max(depth + 1);
                }
                let Some(parents) = unvisited_parents.get_mut(&child) else { continue };
                *parents -= 1;
                if *parents == 0 {
                    ready.push_back(child);
                }
            }
        }
        visited
    }
}
