//! Polling logic for a watched inventory file: when to open it, when its content is stable, and which problems to
//! report.
//!
//! The watching thread (`net::inventory_watch`) opens the files and passes the results to a [`FilePoller`], which
//! decides what to do. The poller itself does no I/O.

use super::Millis;
use super::problem_reports::ProblemReports;
use std::sync::Arc;

/// Time before a missing or unreadable file is reported: tools that replace a file may remove it briefly.
const ABSENCE_TOLERANCE: Millis = 500.0;
/// Delay before a recently modified file is read again: two writes may share one modification time.
const REREAD_DELAY: Millis = 40.0;
/// Time for which a confirmation waits for the list that it names.
const CONFIRMATION_TIMEOUT: Millis = 5000.0;

/// Result of opening the files of an inventory and reading them twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileCheck {
    /// A file could not be read; describes the problem.
    Unreadable(String),
    /// The content changed between the two reads.
    BeingWritten,
    /// Both reads returned the same content.
    Stable {
        /// Digest of the content.
        digest: Arc<str>,
        /// Modified so recently that a further write may leave the modification time unchanged.
        recently_modified: bool,
    },
}

/// Next action of the watching thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollDecision {
    /// No action: the content is unchanged, or the file may only be missing briefly.
    Nothing,
    /// Open and read the files again immediately.
    ReadAgain,
    /// Parse the content and submit the list.
    Read,
    /// Report the problem that makes the files unusable.
    Reject(String),
}

/// A confirmation file found beside the inventory.
#[derive(Clone, Debug)]
struct PendingConfirmation {
    digest: Arc<str>,
    found_at: Millis,
}

/// Polling state of one inventory. `Signature` is the file metadata that shows a change without reading the content.
#[derive(Clone, Debug)]
pub struct FilePoller<Signature> {
    /// Signature at the last check that found stable or persistently unreadable files.
    last_signature: Option<Signature>,
    /// Digest of the last submitted list; empty after a problem, so that the next list is submitted even if unchanged.
    submitted_digest: Arc<str>,
    reread_at: Option<Millis>,
    absent_since: Option<Millis>,
    problem_reports: ProblemReports,
    pending_confirmation: Option<PendingConfirmation>,
}

impl<Signature: PartialEq> FilePoller<Signature> {
    /// Creates a poller for an inventory whose list with digest `submitted_digest` was submitted at startup.
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

    /// Whether the files must be opened, given their current signature.
    pub fn must_open(&mut self, now: Millis, signature: &Signature) -> bool {
        let reread_due = self.reread_at.is_some_and(|at| at <= now);
        if reread_due {
            self.reread_at = None;
        }
        reread_due || self.absent_since.is_some() || self.last_signature.as_ref() != Some(signature)
    }

    /// Handles the result of opening the files; `signature` was determined before they were opened.
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

    /// Records that the content was parsed and its list is being submitted.
    pub fn on_submitted(&mut self, digest: Arc<str>) {
        self.submitted_digest = digest;
        self.problem_reports.clear();
    }

    /// Handles content that could not be read or parsed. A repeated problem is not reported; one that occurs too soon
    /// after the last report is returned later by [`Self::take_due_problem`].
    pub fn on_rejected(&mut self, now: Millis, problem: String) -> PollDecision {
        // The next valid list is submitted even if unchanged, because it causes a held-back list to be withdrawn.
        self.submitted_digest = "".into();
        self.problem_reports.record(now, problem).map_or(PollDecision::Nothing, PollDecision::Reject)
    }

    /// The problem of the current content, if its report was delayed and is due now.
    pub fn take_due_problem(&mut self, now: Millis) -> Option<String> {
        self.problem_reports.take_due(now)
    }

    /// Handles a confirmation file, which contains the digest of a list.
    pub fn on_confirmation_found(&mut self, now: Millis, digest: &str) {
        if self.pending_confirmation.is_none() {
            self.pending_confirmation = Some(PendingConfirmation { digest: digest.into(), found_at: now });
        }
    }

    /// The digest of a found confirmation, returned once: when the list with this digest has been submitted, or when it
    /// was not submitted within `CONFIRMATION_TIMEOUT`.
    pub fn take_due_confirmation(&mut self, now: Millis) -> Option<Arc<str>> {
        let submitted = &self.submitted_digest;
        let due = self.pending_confirmation.take_if(|pending| {
            pending.digest == *submitted || now - pending.found_at >= CONFIRMATION_TIMEOUT
        })?;
        Some(due.digest)
    }

    /// Time until the next poll; shorter than the regular `poll_interval` while something is pending.
    pub fn next_poll_after(&self, poll_interval: Millis) -> Millis {
        let poll_soon = self.reread_at.is_some()
            || self.absent_since.is_some()
            || self.pending_confirmation.is_some()
            || self.problem_reports.is_pending();
        if poll_soon { poll_interval.min(REREAD_DELAY) } else { poll_interval }
    }

    /// Time after a modification during which a further write may leave the modification time unchanged.
    pub fn timestamp_granularity() -> Millis {
        2.0 * REREAD_DELAY
    }
}
