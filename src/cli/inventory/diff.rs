//! `sailmux inventory diff`: prints the changes between two inventories.

use super::super::failure::Failure;
use super::super::print;
use super::changes::{ChangesByName, changes_text};
use super::source::Source;
use crate::endpoints::{Change, Endpoint, FileList};
use crate::inventory;
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::sync::Arc;

#[derive(clap::Args)]
pub(in crate::cli) struct Diff {
    /// The old inventory: a file or directory
    old: PathBuf,
    #[command(flatten)]
    source: Source,
}

impl Diff {
    pub(super) fn run(self) -> Result<(), Failure> {
        let old = self.source.list(&self.old)?;
        let new = self.source.list(&self.source.path)?;
        print(&changes_text(&changes_between(&old, &new)))
    }
}

fn changes_between(old: &FileList, new: &FileList) -> ChangesByName {
    let mut old = endpoints_by_name(old);
    let mut new = endpoints_by_name(new);
    let names: BTreeSet<Arc<str>> = old.keys().chain(new.keys()).cloned().collect();
    let mut changes = ChangesByName::new();
    for name in names {
        let change = Change { before: old.remove(&name), after: new.remove(&name) };
        if change.before != change.after {
            changes.insert(name, change);
        }
    }
    changes
}

fn endpoints_by_name(list: &FileList) -> BTreeMap<Arc<str>, Endpoint> {
    let endpoints = inventory::endpoints(list).into_iter();
    endpoints.map(|endpoint| (endpoint.name.clone(), endpoint)).collect()
}
