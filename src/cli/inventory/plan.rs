//! `sailmux inventory plan`: prints what applying an inventory would change, and whether it would be held back.

use super::super::failure::Failure;
use super::super::print;
use super::changes::changes_text;
use super::source::Source;
use crate::config::operator::Inventory;
use crate::endpoints::{EndpointList, EndpointRegistry, FileList, GuardSettings, Input, ShardLayout};
use std::path::{Path, PathBuf};
use std::sync::Arc;

#[derive(clap::Args)]
pub(in crate::cli) struct Plan {
    #[command(flatten)]
    source: Source,
    /// The inventory in force; default: the inventories in the operator file
    #[arg(long, value_name = "PATH")]
    current: Option<PathBuf>,
    /// Number of cells that hold each shard
    #[arg(long, default_value_t = 1, value_name = "N")]
    width: u32,
    /// Percentage of the leaf servers that may be removed at once; default: as in the operator file
    #[arg(long, value_name = "PERCENT", value_parser = clap::value_parser!(u8).range(0..=100))]
    most_lost: Option<u8>,
}

/// An inventory in force.
struct CurrentFile {
    path: PathBuf,
    list: Arc<FileList>,
}

impl Plan {
    pub(super) fn run(self) -> Result<(), Failure> {
        let candidate = self.source.list(&self.source.path)?;
        let operator = self.source.operator()?;
        let configured = operator.as_ref().and_then(|operator| operator.inventory.as_ref());
        let current = self.current_files(configured)?;
        let layout = self.layout(&candidate, &current);
        let mut registry = EndpointRegistry::new(layout, self.guard(configured));
        let replaced = file_number(&current, &self.source.path);
        let known = configured.is_some_and(|inventory| inventory.discovery).then(EndpointList::default);
        let files = current.into_iter().map(|file| file.list).collect();
        registry.handle(0.0, Input::Started { initial_list: known, files }, &mut Vec::new());

        let plan = registry.plan(replaced, &candidate);
        let mut text = changes_text(&plan.changes);
        text.push_str(&format!("leaf servers: {} -> {}\n", plan.counts.before, plan.counts.after));
        for (shard, holders) in plan.ready_endpoints_by_shard.iter().enumerate() {
            let cells = layout.cells;
            text.push_str(&format!("shard {shard} (of each {cells}): {holders} leaf servers are ready\n"));
        }
        let Some(reason) = plan.hold_reason else {
            text.push_str("applied at once\n");
            return print(&text);
        };
        text.push_str(&format!("held back: {reason}; drains would be applied at once\n"));
        print(&text)?;
        Err(Failure::Reported)
    }

    /// The inventories in force: the one from the command line, or those from the operator file.
    fn current_files(&self, configured: Option<&Inventory>) -> Result<Vec<CurrentFile>, Failure> {
        let paths: Vec<&PathBuf> = match (&self.current, configured) {
            (Some(path), _) => vec![path],
            (None, Some(inventory)) => inventory.files.iter().map(|file| &file.path).collect(),
            (None, None) => {
                return Err(Failure::message(
                    "no inventory to compare with: specify the inventory in force with --current or --operator",
                ));
            }
        };
        let mut files = Vec::new();
        for path in paths {
            files.push(CurrentFile { path: path.clone(), list: Arc::new(self.source.list(path)?) });
        }
        Ok(files)
    }

    /// The layout of shards; if the number of cells is unknown, it is derived from the highest cell of any list.
    fn layout(&self, candidate: &FileList, current: &[CurrentFile]) -> ShardLayout {
        let lists = current.iter().map(|file| &*file.list).chain([candidate]);
        let cells = lists.flat_map(|list| &list.records).filter_map(|record| record.cell.as_ref());
        let listed_cells = cells.map(|cell| cell.value + 1).max().unwrap_or(1);
        ShardLayout { cells: self.source.cells().unwrap_or(listed_cells), width: self.width }
    }

    fn guard(&self, configured: Option<&Inventory>) -> GuardSettings {
        let mut guard = configured.map(|inventory| inventory.guard).unwrap_or_default();
        if let Some(percent) = self.most_lost {
            guard.max_removed_fraction = f64::from(percent) / 100.0;
        }
        guard
    }
}

/// The number of the file that a candidate replaces: the file with the same path, or else the first.
fn file_number(current: &[CurrentFile], path: &Path) -> u16 {
    current.iter().position(|file| file.path == path).unwrap_or(0) as u16
}
