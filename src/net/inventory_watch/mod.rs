//! Watches inventory files on a separate thread: detects changes, waits until a file is stable, reads it, and sends its
//! endpoint list to the event loop, which is never blocked by disk I/O or parsing. [`FilePoller`] decides when a file is
//! opened, read or rejected.

mod change_notifier;

use super::messages::{AggregatorStopped, EventSender};
use crate::aggregator::Event;
use crate::clock::Clock;
use crate::config::operator::{Inventory, InventoryFile};
use crate::diagnostic::Diagnostics;
use crate::endpoints::{self, FileCheck, FileList, FilePoller, PollDecision};
use crate::inventory::{self, Bundle, FileSignature, LoadedFiles};
use change_notifier::ChangeNotifier;
use std::collections::VecDeque;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tracing::{debug, info, warn};

/// Maximum number of lists of a file that stay in memory: the one in force, one held back, and the newest.
const MAX_RETAINED_LISTS: usize = 3;

/// Metadata of an inventory's files as found by one poll; `None` if the inventory does not exist.
type Signature = Option<Vec<FileSignature>>;

/// The lists of all files as they were read at startup.
pub(super) fn initial_lists(inventory: &Inventory) -> Vec<Arc<FileList>> {
    inventory.files.iter().map(|file| file.list.clone()).collect()
}

/// Path of the file in which an operator confirms an inventory's held-back list, for example through
/// `sailmux inventory confirm`.
pub fn confirmation_path(inventory: &Path) -> PathBuf {
    let mut path = inventory.as_os_str().to_owned();
    path.push(".confirm");
    path.into()
}

/// Starts the watcher's thread, which ends after the event loop has ended.
///
/// # Errors
/// The thread cannot be started.
pub(super) fn start(inventory: Inventory, events: EventSender, clock: Clock) -> std::io::Result<()> {
    let mut files = Vec::new();
    for (number, file) in inventory.files.into_iter().enumerate() {
        files.push(WatchedFile::new(number as u16, file));
    }
    let watcher = InventoryWatcher { events, clock, settle_time: inventory.settle, files };
    let mode = inventory.watch;
    let poll_interval = inventory.poll;
    let run = move || {
        let notifier = ChangeNotifier::start(mode, poll_interval);
        // Returns only after the event loop has ended.
        let Err(AggregatorStopped) = watcher.run(notifier);
    };
    thread::Builder::new().name("inventory".to_owned()).spawn(run)?;
    Ok(())
}

/// An inventory with its polling state and its last lists.
struct WatchedFile {
    number: u16,
    file: InventoryFile,
    poller: FilePoller<Signature>,
    /// The last lists. The event loop drops its references first, so that this thread frees lists that may be large.
    retained_lists: VecDeque<Arc<FileList>>,
}

impl WatchedFile {
    fn new(number: u16, file: InventoryFile) -> Self {
        WatchedFile {
            number,
            poller: FilePoller::new(file.list.digest.clone()),
            retained_lists: VecDeque::from([file.list.clone()]),
            file,
        }
    }

    fn retain(&mut self, list: Arc<FileList>) {
        self.retained_lists.push_back(list);
        if self.retained_lists.len() > MAX_RETAINED_LISTS {
            self.retained_lists.pop_front();
        }
    }
}

/// A file that was opened because its signature changed, or because an unchanged signature may hide a change.
struct OpenedFile {
    /// Index into [`InventoryWatcher::files`].
    index: usize,
    signature: Signature,
    content: Result<LoadedFiles, Diagnostics>,
}

/// Whether all files that were opened are stable.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stability {
    Stable,
    /// A file is being written and must be opened again without waiting for the next interval.
    Unstable,
}

struct InventoryWatcher {
    events: EventSender,
    clock: Clock,
    /// Time for which a file must stay unchanged before it is read.
    settle_time: Duration,
    files: Vec<WatchedFile>,
}

impl InventoryWatcher {
    fn run(mut self, mut notifier: ChangeNotifier) -> Result<std::convert::Infallible, AggregatorStopped> {
        loop {
            notifier.watch(self.files.iter().map(|watched| watched.file.path.as_path()));
            if self.poll()? == Stability::Stable {
                notifier.wait(self.next_interval(notifier.max_interval()));
            }
        }
    }

    /// Time until the next poll, at most `max`.
    fn next_interval(&self, max: Duration) -> Duration {
        let max_millis = max.as_secs_f64() * 1e3;
        let intervals = self.files.iter().map(|watched| watched.poller.next_poll_after(max_millis));
        Duration::from_secs_f64(intervals.fold(max_millis, f64::min) / 1e3)
    }

    /// Polls all files once.
    fn poll(&mut self) -> Result<Stability, AggregatorStopped> {
        let opened_files = self.open_changed_files();
        if !opened_files.is_empty() {
            thread::sleep(self.settle_time);
        }
        let mut stability = Stability::Stable;
        for opened in opened_files {
            if self.process_opened(opened)? == Stability::Unstable {
                stability = Stability::Unstable;
            }
        }
        self.send_due_problems()?;
        self.send_confirmations()?;
        Ok(stability)
    }

    fn open_changed_files(&mut self) -> Vec<OpenedFile> {
        let now = self.clock.now();
        let mut opened_files = Vec::new();
        for (index, watched) in self.files.iter_mut().enumerate() {
            let InventoryFile { path, options, .. } = &watched.file;
            let confirmation = fs::read_to_string(confirmation_path(path)).unwrap_or_default();
            if let Some(digest) = confirmation.split_whitespace().next() {
                watched.poller.on_confirmation_found(now, digest);
            }
            let signature = inventory::signature(path);
            if watched.poller.must_open(now, &signature) {
                let content = inventory::load_files(path, options);
                opened_files.push(OpenedFile { index, signature, content });
            }
        }
        opened_files
    }

    /// Reads an opened file if it is stable and has changed, and sends its list or its problem to the event loop.
    fn process_opened(&mut self, opened: OpenedFile) -> Result<Stability, AggregatorStopped> {
        let OpenedFile { index, signature, content } = opened;
        let watched = &mut self.files[index];
        let number = watched.number;
        let (check, bundle) = check(content);
        let mut decision = watched.poller.on_checked(self.clock.now(), signature, check);
        if let (PollDecision::Read, Some(bundle)) = (&decision, bundle) {
            match inventory::read(&bundle, &watched.file.options) {
                Ok(list) => {
                    let list = Arc::new(list);
                    watched.poller.on_submitted(list.digest.clone());
                    watched.retain(list.clone());
                    self.send(endpoints::Input::File(number, list))?;
                    return Ok(Stability::Stable);
                }
                Err(problems) => {
                    decision = watched.poller.on_rejected(self.clock.now(), summarize(&problems));
                }
            }
        }
        match decision {
            PollDecision::ReadAgain => {
                debug!(file = %watched.file.path.display(), "file is being written");
                Ok(Stability::Unstable)
            }
            PollDecision::Reject(problem) => {
                self.send(endpoints::Input::FileRejected(number, problem))?;
                Ok(Stability::Stable)
            }
            PollDecision::Nothing | PollDecision::Read => Ok(Stability::Stable),
        }
    }

    /// Sends the delayed problem reports that are due.
    fn send_due_problems(&mut self) -> Result<(), AggregatorStopped> {
        for index in 0..self.files.len() {
            let watched = &mut self.files[index];
            if let Some(problem) = watched.poller.take_due_problem(self.clock.now()) {
                let number = watched.number;
                self.send(endpoints::Input::FileRejected(number, problem))?;
            }
        }
        Ok(())
    }

    /// Sends the confirmations that are due, and removes their files.
    fn send_confirmations(&mut self) -> Result<(), AggregatorStopped> {
        for index in 0..self.files.len() {
            let watched = &mut self.files[index];
            let Some(digest) = watched.poller.take_due_confirmation(self.clock.now()) else { continue };
            let number = watched.number;
            let path = confirmation_path(&watched.file.path);
            // A confirmation whose file cannot be removed is sent again, which has no effect.
            if let Err(error) = fs::remove_file(&path) {
                warn!(file = %path.display(), problem = %error, "confirmation file cannot be removed");
            }
            info!(file = %watched.file.path.display(), digest = &*digest, "confirmation read");
            self.send(endpoints::Input::FileConfirmed(number, digest))?;
        }
        Ok(())
    }

    fn send(&self, input: endpoints::Input) -> Result<(), AggregatorStopped> {
        let wall_clock_offset = self.clock.wall_clock_offset();
        self.events.blocking_send(Event::EndpointSourceChanged { input, wall_clock_offset })
    }
}

/// The result of opening a file, and its content if it is stable.
fn check(content: Result<LoadedFiles, Diagnostics>) -> (FileCheck, Option<Bundle>) {
    let mut gathered = match content {
        Ok(gathered) => gathered,
        Err(problems) => return (FileCheck::Unreadable(summarize(&problems)), None),
    };
    let is_stable = gathered.is_stable();
    let granularity = Duration::from_secs_f64(FilePoller::<Signature>::timestamp_granularity() / 1e3);
    let recently_modified = gathered.modified_within(granularity);
    if !is_stable {
        return (FileCheck::BeingWritten, None);
    }
    let digest = inventory::digest(&gathered.bundle);
    (FileCheck::Stable { digest, recently_modified }, Some(gathered.bundle))
}

/// The first problem, and the number of further ones.
fn summarize(problems: &Diagnostics) -> String {
    let first = problems.0.first().map(ToString::to_string).unwrap_or_default();
    match problems.0.len() {
        0 | 1 => first,
        count => format!("{first} (and {} more)", count - 1),
    }
}
