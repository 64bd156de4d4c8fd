//! Wakes the inventory watcher when a directory that an inventory depends on changes, or after an interval.

use crate::config::operator::WatchRecord;
use notify::{RecommendedWatcher, RecursiveMode, Watcher};
use std::collections::BTreeSet;
use std::fs;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::thread;
use std::time::Duration;
use tracing::warn;

/// Poll interval while notifications are relied upon; these polls only serve to notice that the event loop has ended.
const INTERVAL_WITH_NOTIFICATIONS: Duration = Duration::from_hours(1);
/// Maximum number of directories watched below each of `group_vars` and `host_vars`.
const MAX_VARIABLE_DIRECTORIES: usize = 256;

/// A watched directory. The inode distinguishes a replaced directory from the former one at the same path.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WatchedDirectory {
    path: PathBuf,
    inode: u64,
}

/// Waits for changes to inventories.
pub(super) struct ChangeNotifier {
    /// `None` if files are only polled.
    watcher: Option<RecommendedWatcher>,
    notifications: Receiver<()>,
    watched: BTreeSet<WatchedDirectory>,
    max_interval: Duration,
}

impl ChangeNotifier {
    /// Starts file system notifications if the mode uses them and the operating system provides them.
    pub fn start(mode: WatchRecord, poll_interval: Duration) -> Self {
        let (sender, notifications) = channel();
        let watcher = match mode {
            WatchRecord::Poll => None,
            WatchRecord::Auto | WatchRecord::Notify => {
                // A notification only triggers a poll; its content is ignored.
                let watcher = notify::recommended_watcher(move |_: notify::Result<notify::Event>| {
                    let _ = sender.send(());
                });
                watcher
                    .inspect_err(|error| {
                        warn!(problem = %error, "file system notifications are not available; inventory files are polled");
                    })
                    .ok()
            }
        };
        let relies_on_notifications = mode == WatchRecord::Notify && watcher.is_some();
        let max_interval = if relies_on_notifications { INTERVAL_WITH_NOTIFICATIONS } else { poll_interval };
        ChangeNotifier { watcher, notifications, watched: BTreeSet::new(), max_interval }
    }

    /// Maximum interval between two polls.
    pub fn max_interval(&self) -> Duration {
        self.max_interval
    }

    /// Updates the watched directories to those that the inventories depend on now: the target of a symbolic link may
    /// have changed.
    pub fn watch<'p>(&mut self, inventories: impl Iterator<Item = &'p Path>) {
        let Some(watcher) = &mut self.watcher else { return };
        let mut required = BTreeSet::new();
        for path in inventories.flat_map(directories_to_watch) {
            if let Ok(metadata) = fs::metadata(&path) {
                required.insert(WatchedDirectory { path, inode: metadata.ino() });
            }
        }
        if required == self.watched {
            return;
        }
        for directory in self.watched.difference(&required) {
            let _ = watcher.unwatch(&directory.path);
        }
        for WatchedDirectory { path, .. } in required.difference(&self.watched) {
            if let Err(error) = watcher.watch(path, RecursiveMode::NonRecursive) {
                warn!(directory = %path.display(), problem = %error, "directory cannot be watched for changes");
            }
        }
        self.watched = required;
    }

    /// Waits for a notification, for at most `interval`; consumes all notifications that have arrived.
    pub fn wait(&self, interval: Duration) {
        if self.watcher.is_none() {
            thread::sleep(interval);
            return;
        }
        match self.notifications.recv_timeout(interval) {
            Ok(()) => while self.notifications.try_recv().is_ok() {},
            Err(RecvTimeoutError::Timeout) => {}
            // The source of notifications has ended: only polling is left.
            Err(RecvTimeoutError::Disconnected) => thread::sleep(interval),
        }
    }
}

/// The directories whose entries change when an inventory changes.
fn directories_to_watch(inventory: &Path) -> Vec<PathBuf> {
    let mut directories = vec![parent_directory(inventory)];
    // If the path is a symbolic link, its target may be written in place.
    if let Ok(target) = fs::canonicalize(inventory) {
        directories.push(parent_directory(&target));
    }
    let base = if inventory.is_dir() { inventory.to_owned() } else { parent_directory(inventory) };
    directories.push(base.clone());
    for name in ["group_vars", "host_vars"] {
        let variables = base.join(name);
        let entries = fs::read_dir(&variables).into_iter().flatten().flatten();
        let subdirectories = entries.map(|entry| entry.path()).filter(|path| path.is_dir());
        directories.extend(subdirectories.take(MAX_VARIABLE_DIRECTORIES));
        directories.push(variables);
    }
    directories
}

fn parent_directory(path: &Path) -> PathBuf {
    let parent = path.parent().filter(|parent| !parent.as_os_str().is_empty());
    parent.unwrap_or(Path::new(".")).to_owned()
}
