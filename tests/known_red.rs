//! CI skips exactly the tests listed in `KNOWN-RED.txt`: the script that reads the file accepts only complete entries.

use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

/// Number of script runs so far, for unique directory names: tests run concurrently in one process.
static RUN_COUNT: AtomicU32 = AtomicU32::new(0);

/// Runs the script on a file with this text. Returns whether it succeeds, and its standard output.
fn read_known_red(text: &str) -> (bool, String) {
    let number = RUN_COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("known-red-{}-{number}", std::process::id());
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&dir).expect("directory is not writable");
    let (file, list) = (dir.join("KNOWN-RED.txt"), dir.join("list"));
    std::fs::write(&file, text).expect("file is not writable");
    std::fs::write(&list, "one: test\ntwo: test\nmod::three: test\nfour: test\ntwice: test\ntwice: test\n")
        .expect("file is not writable");
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/known-red");
    let output = Command::new(script).arg(file).arg(list).output().expect("the script does not run");
    (output.status.success(), String::from_utf8(output.stdout).expect("not UTF-8"))
}

#[test]
fn names_of_complete_entries_are_printed() {
    assert_eq!(read_known_red(""), (true, String::new()));
    let two = "one; cargo test one, seed 7; the connection attempt never times out; issue 30\n\
               mod::three; cargo test three; a late answer; issue 27\n";
    assert_eq!(read_known_red(two), (true, "one\nmod::three\n".to_owned()));
    let four = "one; c; a; issue 1\ntwo; c; b; issue 1\nmod::three; c; c; issue 1\nfour; c; d; issue 1\n";
    assert_eq!(read_known_red(four), (true, "one\ntwo\nmod::three\nfour\n".to_owned()));
    let unterminated = "one; cargo test one; no newline at the end; issue 30";
    assert_eq!(read_known_red(unterminated), (true, "one\n".to_owned()));
}

#[test]
fn incomplete_unknown_and_ambiguous_entries_are_rejected() {
    for text in [
        "one\n",
        "one; cargo test one; no issue\n",
        "one; cargo test one; issue 30\n",
        "one; ; observed failure; issue 30\n",
        "one; cargo test one; ; issue 30\n",
        "one; cargo test one; observed failure; issue thirty\n",
        "five; cargo test five; no such test; issue 30\n",
        "on; cargo test on; prefix of a name; issue 30\n",
        ".*; cargo test; not a name; issue 30\n",
        "twice; cargo test twice; two tests with one name; issue 30\n",
        "one; cargo test one; observed failure; issue 30\n\n",
    ] {
        assert!(!read_known_red(text).0, "{text:?}");
    }
}
