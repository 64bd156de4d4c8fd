//! When a watched inventory file is opened, when its content is stable, and what is reported of it.
//!
//! The watching thread (`net::inventory_watch`) opens the files and reports what it found to a [`FilePoller`], which
//! decides what to do. The poller itself opens nothing.

use super::Millis;
use super::problem_reports::ProblemReports;
use std::sync::Arc;

/// For how long a missing or unreadable file is not reported: tools that replace a file may remove it for a moment.
const ABSENCE_TOLERANCE: Millis = 500.0;
/// After how long a recently modified file is read again: two writes may share one modification time.
const REREAD_DELAY: Millis = 40.0;
/// How long a confirmation waits for the list that it names.
const CONFIRMATION_TIMEOUT: Millis = 5000.0;

/// What was found when the files were opened and read twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileCheck {
    /// They could not be read; the problem.
    Unreadable(String),
    /// They changed between the two reads.
    BeingWritten,
    /// Both reads found the same.
    Stable {
        /// Digest of the content.
        digest: Arc<str>,
        /// Modified so recently that a further change may not show in the modification time.
        recently_modified: bool,
    },
}

/// What the watching thread does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollDecision {
    /// Nothing: the content is unchanged, or the file may be back in a moment.
    Nothing,
    /// Open the files again at once.
    ReadAgain,
    /// Parse the content and submit the list.
    Read,
    /// Report that the files cannot be used, and why.
    Reject(String),
}

/// A confirmation file found beside the inventory.
#[derive(Clone, Debug)]
struct PendingConfirmation {
    digest: Arc<str>,
    found_at: Millis,
}

/// Polling state of one inventory. `Signature` is what a check of its file names finds without reading content.
#[derive(Clone, Debug)]
pub struct FilePoller<Signature> {
    /// As of the last check that found stable or persistently unreadable files.
    last_signature: Option<Signature>,
    /// Of the last submitted list; empty after a problem, so that the next list is submitted in any case.
    submitted_digest: Arc<str>,
    reread_at: Option<Millis>,
    absent_since: Option<Millis>,
    problem_reports: ProblemReports,
    pending_confirmation: Option<PendingConfirmation>,
}

impl<Signature: PartialEq> FilePoller<Signature> {
    /// Polls an inventory whose content of digest `submitted_digest` was submitted at the start.
    pub fn new(submitted_digest: Arc<str>) -> Self {
        FilePoller {
            last_signature: None,
            submitted_digest,
            reread_at: None,
            absent_since: None,
            problem_reports: ProblemReports::default(),
            pending_confirmation: None,
        }
    }

    /// Whether the files must be opened, given the signature found now.
    pub fn must_open(&mut self, now: Millis, signature: &Signature) -> bool {
        let reread_due = self.reread_at.is_some_and(|at| at <= now);
        if reread_due {
            self.reread_at = None;
        }
        reread_due || self.absent_since.is_some() || self.last_signature.as_ref() != Some(signature)
    }

    /// Takes the result of opening the files, with the signature found before.
    pub fn on_checked(&mut self, now: Millis, signature: Signature, check: FileCheck) -> PollDecision {
        match check {
            FileCheck::Unreadable(problem) => {
                let absent_since = *self.absent_since.get_or_insert(now);
                if now - absent_since < ABSENCE_TOLERANCE {
                    return PollDecision::Nothing;
                }
                // Reported once; the files are opened again when their signature changes.
                self.last_signature = Some(signature);
                self.absent_since = None;
                self.on_rejected(now, problem)
            }
            FileCheck::BeingWritten => {
                self.absent_since = None;
                PollDecision::ReadAgain
            }
            FileCheck::Stable { digest, recently_modified } => {
                self.last_signature = Some(signature);
                self.absent_since = None;
                self.reread_at = recently_modified.then_some(now + REREAD_DELAY);
                if digest == self.submitted_digest {
                    self.problem_reports.clear();
                    return PollDecision::Nothing;
                }
                PollDecision::Read
            }
        }
    }

    /// The content was parsed; its list is submitted now.
    pub fn on_submitted(&mut self, digest: Arc<str>) {
        self.submitted_digest = digest;
        self.problem_reports.clear();
    }

    /// The content could not be read or parsed. A repeated problem is not reported; one that comes too soon after the
    /// last report is left to [`Self::take_due_problem`].
    pub fn on_rejected(&mut self, now: Millis, problem: String) -> PollDecision {
        // The next good list is submitted even if unchanged: it withdraws a list that is held back.
        self.submitted_digest = "".into();
        self.problem_reports.record(now, problem).map_or(PollDecision::Nothing, PollDecision::Reject)
    }

    /// The problem of the current content, if its report had to wait and is due now.
    pub fn take_due_problem(&mut self, now: Millis) -> Option<String> {
        self.problem_reports.take_due(now)
    }

    /// A confirmation file that names a list's digest was found.
    pub fn on_confirmation_found(&mut self, now: Millis, digest: &str) {
        if self.pending_confirmation.is_none() {
            self.pending_confirmation = Some(PendingConfirmation { digest: digest.into(), found_at: now });
        }
    }

    /// The digest to confirm now, once: when the list that it names was submitted, or has not appeared in time.
    pub fn take_due_confirmation(&mut self, now: Millis) -> Option<Arc<str>> {
        let submitted = &self.submitted_digest;
        let due = self.pending_confirmation.take_if(|pending| {
            pending.digest == *submitted || now - pending.found_at >= CONFIRMATION_TIMEOUT
        })?;
        Some(due.digest)
    }

    /// Time until the next check, where `poll_interval` is the usual one.
    pub fn next_poll_after(&self, poll_interval: Millis) -> Millis {
        let check_soon = self.reread_at.is_some()
            || self.absent_since.is_some()
            || self.pending_confirmation.is_some()
            || self.problem_reports.is_pending();
        if check_soon { poll_interval.min(REREAD_DELAY) } else { poll_interval }
    }

    /// For how long after a modification a further one may leave the modification time unchanged.
    pub fn timestamp_granularity() -> Millis {
        2.0 * REREAD_DELAY
    }
}
