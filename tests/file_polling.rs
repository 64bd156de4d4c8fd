//! Tests of the poller of a watched inventory file: when the file is opened, and which problems are reported.

use sailmux::endpoints::*;

fn stable(digest: &str, recently_modified: bool) -> FileCheck {
    FileCheck::Stable { digest: digest.into(), recently_modified }
}

#[test]
fn a_file_is_opened_when_its_signature_changes_and_again_if_recently_modified() {
    let mut poller = FilePoller::new("one".into());
    assert!(poller.must_open(0.0, &1));
    assert_eq!(
        poller.on_checked(0.0, 1, stable("one", false)),
        PollDecision::Nothing,
        "already submitted at startup"
    );
    assert!(!poller.must_open(200.0, &1));
    assert_eq!(poller.next_poll_after(200.0), 200.0);
    assert!(poller.must_open(400.0, &2));
    assert_eq!(poller.on_checked(400.0, 2, FileCheck::BeingWritten), PollDecision::ReadAgain);
    assert!(poller.must_open(425.0, &2), "the content was not stable");
    assert_eq!(poller.on_checked(425.0, 2, stable("two", true)), PollDecision::Read);
    poller.on_submitted("two".into());
    // Recently modified: a further write may leave the modification time unchanged.
    assert!(poller.next_poll_after(200.0) < 50.0);
    assert!(!poller.must_open(426.0, &2));
    assert!(poller.must_open(470.0, &2));
    assert_eq!(poller.on_checked(470.0, 2, stable("two", false)), PollDecision::Nothing);
    assert!(!poller.must_open(700.0, &2));
}

#[test]
fn a_briefly_absent_file_is_not_reported_and_a_persistently_absent_one_is_reported_once() {
    let mut poller = FilePoller::new("one".into());
    let absent = || FileCheck::Unreadable("no such file".into());
    assert_eq!(poller.on_checked(0.0, 1, absent()), PollDecision::Nothing);
    assert_eq!(poller.on_checked(300.0, 1, absent()), PollDecision::Nothing);
    assert_eq!(
        poller.on_checked(400.0, 2, stable("one", false)),
        PollDecision::Nothing,
        "the file has reappeared unchanged"
    );
    assert_eq!(poller.on_checked(600.0, 3, absent()), PollDecision::Nothing, "the absence time starts again");
    assert!(poller.must_open(700.0, &3));
    assert_eq!(poller.on_checked(1100.0, 3, absent()), PollDecision::Reject("no such file".into()));
    assert!(!poller.must_open(9000.0, &3), "not opened before its signature changes");
    // The file reappears unchanged: it is submitted again, since another list may have been held back in the meantime.
    assert_eq!(poller.on_checked(9100.0, 4, stable("one", false)), PollDecision::Read);
}

#[test]
fn changing_problems_are_reported_once_per_second() {
    let mut poller: FilePoller<u32> = FilePoller::new("one".into());
    let reported = (0..100).filter(|number| {
        let problem = format!("line {number} is malformed");
        matches!(poller.on_rejected(f64::from(*number) * 50.0, problem), PollDecision::Reject(_))
    });
    assert_eq!(reported.count(), 5);
}

#[test]
fn a_problem_soon_after_another_is_reported_at_the_end_of_the_interval() {
    // Guards against a problem that is never reported because another was reported less than a second before.
    let mut poller: FilePoller<u32> = FilePoller::new("one".into());
    assert_eq!(poller.on_rejected(0.0, "empty".into()), PollDecision::Reject("empty".into()));
    assert_eq!(poller.on_rejected(100.0, "line 1".into()), PollDecision::Nothing);
    assert_eq!(poller.on_rejected(200.0, "line 2".into()), PollDecision::Nothing);
    assert!(poller.next_poll_after(3_600_000.0) < 50.0, "polled until the report is due");
    assert_eq!(poller.take_due_problem(999.0), None);
    assert_eq!(poller.take_due_problem(1000.0).as_deref(), Some("line 2"), "the current problem");
    assert_eq!(poller.take_due_problem(5000.0), None, "reported once");
    assert_eq!(poller.next_poll_after(200.0), 200.0);
}

#[test]
fn a_problem_resolved_before_its_report_is_due_is_not_reported() {
    let mut poller: FilePoller<u32> = FilePoller::new("one".into());
    poller.on_rejected(0.0, "empty".into());
    poller.on_rejected(100.0, "line 1".into());
    poller.on_rejected(200.0, "empty".into());
    assert_eq!(poller.take_due_problem(1000.0), None, "the current problem has already been reported");
    poller.on_rejected(1100.0, "line 1".into());
    poller.on_rejected(1200.0, "line 2".into());
    poller.on_submitted("two".into());
    assert_eq!(poller.take_due_problem(9000.0), None, "a valid list was submitted");
    poller.on_rejected(9000.0, "line 3".into());
    poller.on_submitted("three".into());
    assert_eq!(poller.on_rejected(9100.0, "line 3".into()), PollDecision::Nothing);
    assert_eq!(
        poller.take_due_problem(10_000.0).as_deref(),
        Some("line 3"),
        "the problem recurred after a valid list"
    );
}

#[test]
fn a_repeated_problem_is_reported_once_until_a_list_is_submitted() {
    let mut poller: FilePoller<u32> = FilePoller::new("one".into());
    assert_eq!(poller.on_rejected(0.0, "x".into()), PollDecision::Reject("x".into()));
    assert_eq!(poller.on_rejected(5000.0, "x".into()), PollDecision::Nothing);
    poller.on_submitted("two".into());
    assert_eq!(
        poller.on_rejected(9000.0, "x".into()),
        PollDecision::Reject("x".into()),
        "a list was submitted in between"
    );
}

#[test]
fn a_confirmation_waits_for_its_list_until_the_timeout() {
    let mut poller: FilePoller<u32> = FilePoller::new("one".into());
    poller.on_confirmation_found(0.0, "two");
    assert_eq!(poller.take_due_confirmation(100.0), None);
    poller.on_submitted("two".into());
    assert_eq!(poller.take_due_confirmation(200.0).as_deref(), Some("two"));
    assert_eq!(poller.take_due_confirmation(200.0), None, "returned once");
    poller.on_confirmation_found(300.0, "nine");
    assert_eq!(poller.take_due_confirmation(5299.0), None);
    assert_eq!(
        poller.take_due_confirmation(5300.0).as_deref(),
        Some("nine"),
        "returned after the timeout, so that the registry reports the mismatch"
    );
}
