//! Watches inventory files on a thread of its own: notices changes, waits until a file stands still, reads it, and
//! tells the core. The thread that holds the core never waits for a disk or a parser.

use super::{Input, ToCore};
use crate::clock::Clock;
use crate::config::operator::{Inventory, InventoryFile, WatchRecord};
use crate::core::Event;
use crate::inventory::{Gathered, Seen, digest, gather, read, signature};
use crate::membership::{self, FileList};
use crate::problem::Problems;
use notify::{RecommendedWatcher, RecursiveMode, Watcher};
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::thread;
use std::time::{Duration, Instant};
use tracing::{debug, info, warn};

/// A file that is gone, or cannot be read, is told of after so long: tools that replace it leave none for a moment.
const ABSENT: Duration = Duration::from_millis(500);
/// Problems of one file are told at most that often: against a storm of broken files.
const PROBLEMS_EVERY: Duration = Duration::from_secs(1);
/// A file whose stamp is younger than that is read again: two writes may share one grain of its time.
const YOUNG: Duration = Duration::from_millis(40);
/// A confirmation waits so long for the list that it names.
const CONFIRMATION: Duration = Duration::from_secs(5);
/// With the system's notices alone, the thread still looks whether the program is there.
const ALONE: Duration = Duration::from_secs(3600);

/// What one look finds; nothing where the inventory is not there.
type Signature = Option<Vec<Seen>>;

struct Watched {
    number: u16,
    file: InventoryFile,
    /// What the last look found that led to a list or a problem.
    seen: Option<Signature>,
    /// The content last told to the core.
    told: Arc<str>,
    /// It may have changed within the grain of its time.
    again: Option<Instant>,
    absent: Option<Instant>,
    problem: String,
    problem_at: Option<Instant>,
    confirmation: Option<(String, Instant)>,
}

/// Starts the thread; it ends with the core.
pub(crate) fn start(inventory: Inventory, to_core: ToCore, clock: Clock) -> std::io::Result<()> {
    let mut watch = Watch { to_core, clock, settle: inventory.settle, watched: Vec::new() };
    for (number, file) in inventory.files.into_iter().enumerate() {
        let told = file.list.digest.clone();
        let number = number as u16;
        watch.watched.push(Watched {
            number,
            file,
            seen: None,
            told,
            again: None,
            absent: None,
            problem: String::new(),
            problem_at: None,
            confirmation: None,
        });
    }
    let (mode, poll) = (inventory.watch, inventory.poll);
    thread::Builder::new().name("inventory".to_owned()).spawn(move || watch.run(mode, poll)).map(drop)
}

struct Watch {
    to_core: ToCore,
    clock: Clock,
    settle: Duration,
    watched: Vec<Watched>,
}

/// The core has ended.
struct Ended;

impl Watch {
    fn run(mut self, mode: WatchRecord, poll: Duration) {
        let (notices, heard) = channel();
        let mut notifier = match mode {
            WatchRecord::Poll => None,
            WatchRecord::Auto | WatchRecord::Notify => {
                let made = notify::recommended_watcher(move |_: notify::Result<notify::Event>| {
                    // Whatever it says, the files themselves are looked at.
                    let _ = notices.send(());
                });
                made.map_err(|e| warn!(problem = %e, "no notices of changed files; they are looked at")).ok()
            }
        };
        let mut places = BTreeSet::new();
        loop {
            if let Some(notifier) = &mut notifier {
                self.listen(notifier, &mut places);
            }
            match self.look() {
                Ok(true) => {}
                Ok(false) => {
                    let idle = if mode == WatchRecord::Notify && notifier.is_some() { ALONE } else { poll };
                    let soon = self.watched.iter().any(|w| w.again.is_some() || w.absent.is_some());
                    let pending = self.watched.iter().any(|w| w.confirmation.is_some());
                    let wait = if soon || pending { idle.min(YOUNG) } else { idle };
                    if notifier.is_some() {
                        heard_within(&heard, wait);
                    } else {
                        thread::sleep(wait);
                    }
                }
                Err(Ended) => return,
            }
        }
    }

    /// Asks for notices of all places that matter now: links and directories may lead elsewhere than before.
    fn listen(&self, notifier: &mut RecommendedWatcher, places: &mut BTreeSet<(PathBuf, u64)>) {
        use std::os::unix::fs::MetadataExt;
        let mut wanted = BTreeSet::new();
        for watched in &self.watched {
            for place in places_of(&watched.file.path) {
                if let Ok(m) = fs::metadata(&place) {
                    wanted.insert((place, m.ino()));
                }
            }
        }
        if wanted == *places {
            return;
        }
        for (place, _) in places.difference(&wanted) {
            let _ = notifier.unwatch(place);
        }
        for (place, _) in wanted.difference(places) {
            if let Err(e) = notifier.watch(place, RecursiveMode::NonRecursive) {
                warn!(place = %place.display(), problem = %e, "no notices of changes there");
            }
        }
        *places = wanted;
    }

    /// Looks at all files once; true if one is not settled yet, so that the next look comes at once.
    fn look(&mut self) -> Result<bool, Ended> {
        let now = Instant::now();
        let mut opened: Vec<(usize, Signature, Result<Gathered, Problems>)> = Vec::new();
        for (i, watched) in self.watched.iter_mut().enumerate() {
            watched.note_confirmation(now);
            let signature = signature(&watched.file.path);
            let young = watched.again.is_some_and(|at| at <= now);
            if watched.seen.as_ref() != Some(&signature) || young || watched.absent.is_some() {
                watched.again = None;
                let gathered = gather(&watched.file.path, &watched.file.options);
                opened.push((i, signature, gathered));
            }
        }
        if !opened.is_empty() {
            thread::sleep(self.settle);
        }
        let mut unsettled = false;
        for (i, signature, gathered) in opened {
            unsettled |= self.take(i, signature, gathered)?;
        }
        self.confirm(now)?;
        Ok(unsettled)
    }

    /// Takes what was opened, if it has stood still; true if it has not.
    fn take(
        &mut self,
        i: usize,
        signature: Signature,
        gathered: Result<Gathered, Problems>,
    ) -> Result<bool, Ended> {
        let watched = &mut self.watched[i];
        let mut gathered = match gathered {
            Ok(gathered) => gathered,
            Err(problems) => {
                let since = *watched.absent.get_or_insert_with(Instant::now);
                if since.elapsed() >= ABSENT {
                    watched.seen = Some(signature);
                    // Told once; it is looked at again when its signature is another one.
                    watched.absent = None;
                    return self.refuse(i, &problems).map(|()| false);
                }
                return Ok(false);
            }
        };
        watched.absent = None;
        if !gathered.stood_still() {
            debug!(file = %watched.file.path.display(), "file not whole yet");
            return Ok(true);
        }
        watched.seen = Some(signature);
        watched.again = Some(Instant::now() + YOUNG).filter(|_| gathered.is_young(YOUNG * 2));
        let name = digest(&gathered.bundle);
        if name == watched.told {
            watched.problem.clear();
            return Ok(false);
        }
        match read(&gathered.bundle, &watched.file.options) {
            Ok(list) => {
                watched.told = name;
                watched.problem.clear();
                let number = watched.number;
                self.tell(membership::Input::File(number, Arc::new(list))).map(|()| false)
            }
            Err(problems) => self.refuse(i, &problems).map(|()| false),
        }
    }

    fn refuse(&mut self, i: usize, problems: &Problems) -> Result<(), Ended> {
        let watched = &mut self.watched[i];
        // A list that comes back after a broken file is told again, so that a held one may be withdrawn.
        watched.told = "".into();
        let first = problems.0.first().map(ToString::to_string).unwrap_or_default();
        let text = match problems.0.len() {
            0 | 1 => first,
            more => format!("{first} (and {} more)", more - 1),
        };
        let told = watched.problem_at.is_some_and(|at| at.elapsed() < PROBLEMS_EVERY);
        if text == watched.problem || told {
            return Ok(());
        }
        watched.problem.clone_from(&text);
        watched.problem_at = Some(Instant::now());
        let number = watched.number;
        self.tell(membership::Input::Refused(number, text))
    }

    /// Passes on confirmations once the list they name has been told, or has not come for a while.
    fn confirm(&mut self, now: Instant) -> Result<(), Ended> {
        for i in 0..self.watched.len() {
            let watched = &mut self.watched[i];
            let Some((named, since)) = &watched.confirmation else { continue };
            if **named != *watched.told && now.duration_since(*since) < CONFIRMATION {
                continue;
            }
            let (number, named) = (watched.number, Arc::<str>::from(named.as_str()));
            let path = confirmation_path(&watched.file.path);
            watched.confirmation = None;
            // Done with, even where it cannot be removed: then it is passed on again, which changes nothing.
            if let Err(e) = fs::remove_file(&path) {
                warn!(file = %path.display(), problem = %e, "confirmation cannot be removed");
            }
            info!(file = %watched.file.path.display(), digest = &*named, "confirmation read");
            self.tell(membership::Input::Confirmed(number, named))?;
        }
        Ok(())
    }

    fn tell(&self, input: membership::Input) -> Result<(), Ended> {
        let event = Event::Membership { input, wall_ahead: self.clock.wall_ahead() };
        self.to_core.blocking_send(Input::Event(event)).map_err(|_| Ended)
    }
}

impl Watched {
    fn note_confirmation(&mut self, now: Instant) {
        if self.confirmation.is_none()
            && let Ok(text) = fs::read_to_string(confirmation_path(&self.file.path))
            && let Some(named) = text.split_whitespace().next()
        {
            self.confirmation = Some((named.to_owned(), now));
        }
    }
}

/// Where a confirmation of an inventory's list is left.
pub fn confirmation_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".confirm");
    name.into()
}

/// The directories in which a change of an inventory can show.
fn places_of(path: &Path) -> Vec<PathBuf> {
    let parent =
        |p: &Path| p.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new(".")).to_owned();
    let mut places = vec![parent(path)];
    // Where the path is a link, the file that it leads to may be written in place.
    if let Ok(real) = fs::canonicalize(path) {
        places.push(parent(&real));
    }
    let base = if path.is_dir() { path.to_owned() } else { parent(path) };
    places.push(base.clone());
    for vars in ["group_vars", "host_vars"] {
        let dir = base.join(vars);
        let entries = fs::read_dir(&dir).into_iter().flatten().flatten();
        places.extend(entries.map(|e| e.path()).filter(|p| p.is_dir()).take(256));
        places.push(dir);
    }
    places
}

/// Waits for a notice, and takes all that have come.
fn heard_within(heard: &Receiver<()>, wait: Duration) {
    match heard.recv_timeout(wait) {
        Ok(()) => while heard.try_recv().is_ok() {},
        Err(RecvTimeoutError::Timeout) => {}
        // The notifier is gone: looks must do.
        Err(RecvTimeoutError::Disconnected) => thread::sleep(wait),
    }
}

/// The lists of all files as they were found at the start.
pub(crate) fn lists(inventory: &Inventory) -> Vec<Arc<FileList>> {
    inventory.files.iter().map(|f| f.list.clone()).collect()
}
