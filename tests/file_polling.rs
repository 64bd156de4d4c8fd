//! The poller of a watched inventory file: when the file is opened, and what is reported of it.

use sailmux::endpoints::*;

fn stable(digest: &str, recently_modified: bool) -> FileCheck {
    FileCheck::Stable { digest: digest.into(), recently_modified }
}

#[test]
fn a_file_is_opened_when_its_signature_changes_and_again_while_it_is_recently_modified() {
    let mut poller = FilePoller::new("one".into());
    assert!(poller.must_open(0.0, &1));
    assert_eq!(
        poller.on_checked(0.0, 1, stable("one", false)),
        PollDecision::Nothing,
        "submitted at the start"
    );
    assert!(!poller.must_open(200.0, &1));
    assert_eq!(poller.next_poll_after(200.0), 200.0);
    assert!(poller.must_open(400.0, &2));
    assert_eq!(poller.on_checked(400.0, 2, FileCheck::BeingWritten), PollDecision::ReadAgain);
    assert!(poller.must_open(425.0, &2), "it was not stable");
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
fn a_file_absent_for_a_moment_is_not_reported_and_one_that_stays_absent_is_reported_once() {
    let mut poller = FilePoller::new("one".into());
    let absent = || FileCheck::Unreadable("no such file".into());
    assert_eq!(poller.on_checked(0.0, 1, absent()), PollDecision::Nothing);
    assert_eq!(poller.on_checked(300.0, 1, absent()), PollDecision::Nothing);
    assert_eq!(
        poller.on_checked(400.0, 2, stable("one", false)),
        PollDecision::Nothing,
        "it is back unchanged"
    );
    assert_eq!(poller.on_checked(600.0, 3, absent()), PollDecision::Nothing, "the time counts anew");
    assert!(poller.must_open(700.0, &3));
    assert_eq!(poller.on_checked(1100.0, 3, absent()), PollDecision::Reject("no such file".into()));
    assert!(!poller.must_open(9000.0, &3), "not before its signature changes");
    // Back unchanged: submitted again, since another list may be held back meanwhile.
    assert_eq!(poller.on_checked(9100.0, 4, stable("one", false)), PollDecision::Read);
}

#[test]
fn changing_problems_are_reported_once_a_second() {
    let mut poller: FilePoller<u32> = FilePoller::new("one".into());
    let reported = (0..100).filter(|i| {
        let problem = format!("line {i} is broken");
        matches!(poller.on_rejected(f64::from(*i) * 50.0, problem), PollDecision::Reject(_))
    });
    assert_eq!(reported.count(), 5);
}

#[test]
fn a_problem_soon_after_another_is_reported_when_the_interval_is_over() {
    // Guards against a problem that is never reported because another one came less than a second before.
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
fn a_problem_that_has_gone_before_its_report_is_due_is_not_reported() {
    let mut poller: FilePoller<u32> = FilePoller::new("one".into());
    poller.on_rejected(0.0, "empty".into());
    poller.on_rejected(100.0, "line 1".into());
    poller.on_rejected(200.0, "empty".into());
    assert_eq!(poller.take_due_problem(1000.0), None, "the current problem is reported already");
    poller.on_rejected(1100.0, "line 1".into());
    poller.on_rejected(1200.0, "line 2".into());
    poller.on_submitted("two".into());
    assert_eq!(poller.take_due_problem(9000.0), None, "a list was read");
    poller.on_rejected(9000.0, "line 3".into());
    poller.on_submitted("three".into());
    assert_eq!(poller.on_rejected(9100.0, "line 3".into()), PollDecision::Nothing);
    assert_eq!(poller.take_due_problem(10_000.0).as_deref(), Some("line 3"), "broken again");
}

#[test]
fn a_repeated_problem_is_reported_once_until_a_list_is_read() {
    let mut poller: FilePoller<u32> = FilePoller::new("one".into());
    assert_eq!(poller.on_rejected(0.0, "x".into()), PollDecision::Reject("x".into()));
    assert_eq!(poller.on_rejected(5000.0, "x".into()), PollDecision::Nothing);
    poller.on_submitted("two".into());
    assert_eq!(
        poller.on_rejected(9000.0, "x".into()),
        PollDecision::Reject("x".into()),
        "a list came between"
    );
}

#[test]
fn a_confirmation_waits_for_its_list_until_a_timeout() {
    let mut poller: FilePoller<u32> = FilePoller::new("one".into());
    poller.on_confirmation_found(0.0, "two");
    assert_eq!(poller.take_due_confirmation(100.0), None);
    poller.on_submitted("two".into());
    assert_eq!(poller.take_due_confirmation(200.0).as_deref(), Some("two"));
    assert_eq!(poller.take_due_confirmation(200.0), None, "passed on once");
    poller.on_confirmation_found(300.0, "nine");
    assert_eq!(poller.take_due_confirmation(5299.0), None);
    assert_eq!(
        poller.take_due_confirmation(5300.0).as_deref(),
        Some("nine"),
        "passed on, for the registry to report"
    );
}
