//! Wakes the watcher when a directory changes that an inventory depends on, or after an interval.

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

/// Interval between polls where notifications are relied upon: only to notice that the program has ended.
const INTERVAL_WITH_NOTIFICATIONS: Duration = Duration::from_hours(1);
/// Directories watched below each of `group_vars` and `host_vars`.
const MAX_VARIABLE_DIRECTORIES: usize = 256;

/// A directory that is watched. One that was replaced has another inode.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WatchedDirectory {
    path: PathBuf,
    inode: u64,
}

/// Waits for changes of inventories.
pub(super) struct ChangeNotifier {
    /// None where files are polled alone.
    watcher: Option<RecommendedWatcher>,
    notifications: Receiver<()>,
    watched: BTreeSet<WatchedDirectory>,
    max_interval: Duration,
}

impl ChangeNotifier {
    /// Starts the system's notifications, where the mode uses them and the system has them.
    pub fn start(mode: WatchRecord, poll_interval: Duration) -> Self {
        let (sender, notifications) = channel();
        let watcher = match mode {
            WatchRecord::Poll => None,
            WatchRecord::Auto | WatchRecord::Notify => {
                // Whatever a notification says, the files themselves are polled.
                let watcher = notify::recommended_watcher(move |_: notify::Result<notify::Event>| {
                    let _ = sender.send(());
                });
                watcher
                    .inspect_err(|error| {
                        warn!(problem = %error, "no notifications of changed files; they are polled");
                    })
                    .ok()
            }
        };
        let relies_on_notifications = mode == WatchRecord::Notify && watcher.is_some();
        let max_interval = if relies_on_notifications { INTERVAL_WITH_NOTIFICATIONS } else { poll_interval };
        ChangeNotifier { watcher, notifications, watched: BTreeSet::new(), max_interval }
    }

    /// The longest time between two polls.
    pub fn max_interval(&self) -> Duration {
        self.max_interval
    }

    /// Watches all directories that matter now for these inventories: links may lead elsewhere than before.
    pub fn watch<'p>(&mut self, inventories: impl Iterator<Item = &'p Path>) {
        let Some(watcher) = &mut self.watcher else { return };
        let mut wanted = BTreeSet::new();
        for path in inventories.flat_map(directories_of) {
            if let Ok(metadata) = fs::metadata(&path) {
                wanted.insert(WatchedDirectory { path, inode: metadata.ino() });
            }
        }
        if wanted == self.watched {
            return;
        }
        for directory in self.watched.difference(&wanted) {
            let _ = watcher.unwatch(&directory.path);
        }
        for WatchedDirectory { path, .. } in wanted.difference(&self.watched) {
            if let Err(error) = watcher.watch(path, RecursiveMode::NonRecursive) {
                warn!(place = %path.display(), problem = %error, "no notifications of changes there");
            }
        }
        self.watched = wanted;
    }

    /// Waits for a notification, or for an interval; takes all notifications that have arrived.
    pub fn wait(&self, interval: Duration) {
        if self.watcher.is_none() {
            thread::sleep(interval);
            return;
        }
        match self.notifications.recv_timeout(interval) {
            Ok(()) => while self.notifications.try_recv().is_ok() {},
            Err(RecvTimeoutError::Timeout) => {}
            // The system's notifications have ended: polling must do.
            Err(RecvTimeoutError::Disconnected) => thread::sleep(interval),
        }
    }
}

/// The directories in which a change of an inventory can show.
fn directories_of(inventory: &Path) -> Vec<PathBuf> {
    let mut directories = vec![parent_of(inventory)];
    // Where the path is a link, the file that it leads to may be written in place.
    if let Ok(target) = fs::canonicalize(inventory) {
        directories.push(parent_of(&target));
    }
    let base = if inventory.is_dir() { inventory.to_owned() } else { parent_of(inventory) };
    directories.push(base.clone());
    for name in ["group_vars", "host_vars"] {
        let variables = base.join(name);
        let entries = fs::read_dir(&variables).into_iter().flatten().flatten();
        let below = entries.map(|entry| entry.path()).filter(|path| path.is_dir());
        directories.extend(below.take(MAX_VARIABLE_DIRECTORIES));
        directories.push(variables);
    }
    directories
}

fn parent_of(path: &Path) -> PathBuf {
    let parent = path.parent().filter(|parent| !parent.as_os_str().is_empty());
    parent.unwrap_or(Path::new(".")).to_owned()
}
