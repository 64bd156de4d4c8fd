//! State shared by the processes of one aggregator: merging of overrides, damaged snapshots, and process slots.

use proptest::prelude::*;
use sailmux::endpoints::{Endpoint, EndpointState};
use sailmux::hot_restart::{
    MAX_OVERRIDES, Override, OverrideSubject, Overrides, ProcessStatus, RequestIdTable, SharedDirectory,
    StoredOverrides, TooManyOverrides, request_id_fingerprint, snapshot,
};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

fn leaf_server(name: impl AsRef<str>) -> OverrideSubject {
    OverrideSubject::LeafServer(name.as_ref().into())
}

fn subject() -> impl Strategy<Value = OverrideSubject> {
    prop_oneof![Just(OverrideSubject::Aggregator), "[a-d]".prop_map(leaf_server)]
}

/// Overrides with close and equal times, as concurrent processes record them.
fn overrides() -> impl Strategy<Value = Overrides> {
    let item = (subject(), any::<bool>(), 0u32..6).prop_map(|(subject, active, time)| {
        let given_at = f64::from(time);
        (subject, Override { active, given_at, active_since: if active { given_at } else { 0.0 } })
    });
    proptest::collection::vec(item, 0..8).prop_map(|items| items.into_iter().collect())
}

fn merge(left: &Overrides, right: &Overrides) -> Overrides {
    let mut merged = left.clone();
    merged.merge(right);
    merged
}

proptest! {
    #[test]
    fn merging_is_commutative_associative_and_idempotent(a in overrides(), b in overrides(), c in overrides()) {
        prop_assert_eq!(merge(&a, &b), merge(&b, &a));
        prop_assert_eq!(merge(&merge(&a, &b), &c), merge(&a, &merge(&b, &c)));
        prop_assert_eq!(merge(&a, &a), a.clone());
        let mut merged_twice = merge(&a, &b);
        prop_assert!(!merged_twice.merge(&b), "a repeated merge changes nothing");
    }

    #[test]
    fn the_last_command_wins_even_if_the_clock_steps_back(
        commands in proptest::collection::vec((subject(), any::<bool>(), 0u32..9), 1..20),
    ) {
        let mut overrides = Overrides::default();
        for (subject, active, now) in commands {
            let was_active = overrides.is_active(&subject);
            let changed = overrides.set(subject.clone(), active, f64::from(now)).expect("below the limit");
            prop_assert_eq!(overrides.is_active(&subject), active);
            prop_assert_eq!(changed, was_active != active, "a repeated command changes nothing");
        }
    }

    #[test]
    fn a_snapshot_decodes_to_the_encoded_overrides(overrides in overrides()) {
        prop_assert_eq!(snapshot::decode(&snapshot::encode(&overrides)), Ok(overrides));
    }

    #[test]
    fn a_truncated_or_damaged_snapshot_is_never_used(
        overrides in overrides(),
        position in any::<prop::sample::Index>(),
        bit in 0u8..8,
    ) {
        let bytes = snapshot::encode(&overrides);
        let position = position.index(bytes.len());
        prop_assert!(snapshot::decode(&bytes[..position]).is_err(), "truncated at {}", position);
        let mut damaged = bytes.clone();
        damaged[position] ^= 1 << bit;
        if let Ok(decoded) = snapshot::decode(&damaged) {
            // A flipped bit in the header may give another spelling of the same number.
            prop_assert_eq!(decoded, overrides);
        }
    }
}

#[test]
fn a_reenabled_leaf_server_counts_as_started_then_unless_it_restarted_while_disabled() {
    let mut overrides = Overrides::default();
    let subject = leaf_server("a");
    overrides.set(subject.clone(), true, 100.0).expect("below the limit");
    overrides.set(subject.clone(), false, 900.0).expect("below the limit");
    let reenabled = *overrides.get(&subject).expect("recorded");
    assert_eq!(reenabled, Override { active: false, given_at: 900.0, active_since: 100.0 });
    for (reported, expected) in [(0.0, 900.0), (50.0, 900.0), (400.0, 400.0)] {
        let mut endpoint = Endpoint {
            name: "a".into(),
            address: "h:1".into(),
            zone: "z".into(),
            cell: 0,
            weight: 1.0,
            state: EndpointState::Ready,
            started_at_unix: reported,
        };
        reenabled.apply_to(&mut endpoint);
        assert_eq!(endpoint.started_at_unix, expected, "reported start {reported}");
    }
}

#[test]
fn overrides_are_limited_and_old_inactive_ones_are_removed() {
    let mut overrides = Overrides::default();
    for i in 0..MAX_OVERRIDES {
        overrides.set(leaf_server(format!("n{i}")), true, 1.0).expect("below the limit");
    }
    assert_eq!(overrides.set(leaf_server("one-too-many"), true, 2.0), Err(TooManyOverrides));
    for i in 0..MAX_OVERRIDES {
        overrides.set(leaf_server(format!("n{i}")), false, 3.0).expect("below the limit");
    }
    overrides.forget_before(4.0);
    assert_eq!(overrides.iter().count(), 0);
}

#[test]
fn processes_merge_overrides_in_one_directory_and_see_which_others_run() {
    let parent = std::env::temp_dir().join(format!("sailmux-hot-restart-{}", std::process::id()));
    let directory = SharedDirectory::open(&parent, "n0", "127.0.0.1:1").expect("directory created");
    let other_aggregator = SharedDirectory::open(&parent, "n1", "127.0.0.1:1").expect("directory created");

    let mut first_overrides = Overrides::default();
    first_overrides.set(leaf_server("a"), true, 1.0).expect("below the limit");
    let mut second_overrides = Overrides::default();
    second_overrides.set(OverrideSubject::Aggregator, true, 2.0).expect("below the limit");
    directory.merge_overrides(&first_overrides, 0.0).expect("file written");
    let both = directory.merge_overrides(&second_overrides, 0.0).expect("file written").merged;
    assert!(both.is_active(&OverrideSubject::Aggregator));
    assert!(both.is_active(&leaf_server("a")));
    assert_eq!(directory.read_overrides().expect("file read"), StoredOverrides::Present(both));
    assert_eq!(other_aggregator.read_overrides().expect("file read"), StoredOverrides::Missing);

    let mut first = directory.acquire_slot().expect("slot file created").expect("a free slot");
    let second = directory.acquire_slot().expect("slot file created").expect("a free slot");
    let status = ProcessStatus { ready: true, overrides_digest: 7 };
    first.publish(&status).expect("file written");
    let siblings = directory.siblings(Some(second.number()));
    let statuses: Vec<_> = siblings.into_iter().map(|sibling| sibling.status).collect();
    assert_eq!(statuses, [Some(status)]);
    drop(first);
    assert_eq!(directory.siblings(Some(second.number())), [], "a dropped slot is free");
    std::fs::remove_dir_all(&parent).expect("directory removed");
}

/// Guards against a request id that a process takes although a sibling has it, or refuses although it was released.
#[test]
fn processes_refuse_request_ids_that_a_sibling_has_taken() {
    let path = scratch_file("request-ids");
    let (old, new) = (open_ids(&path), open_ids(&path));
    let id = request_id_fingerprint("9b1f03aa5c7e2d41");
    assert!(old.insert(id).expect("written"));
    assert!(!new.insert(id).expect("read"), "taken by the other process");
    new.remove(id).expect("written");
    assert!(new.insert(id).expect("written"), "released");
    drop(old);
    assert!(!open_ids(&path).insert(id).expect("read"), "a process that starts later knows it too");
}

/// Guards against a table that grows, or that forgets the newest ids instead of the oldest.
#[test]
fn the_table_of_request_ids_has_a_fixed_size_and_forgets_the_oldest() {
    let path = scratch_file("request-ids");
    let table = open_ids(&path);
    let size = || std::fs::metadata(&path).expect("a file").len();
    let size_at_start = size();
    for number in 0..40_000 {
        assert!(table.insert(request_id_fingerprint(&format!("q{number}"))).expect("written"), "{number}");
    }
    assert_eq!(size(), size_at_start);
    for number in 38_000..40_000 {
        assert!(!table.insert(request_id_fingerprint(&format!("q{number}"))).expect("read"), "{number}");
    }
    // A file of another length, such as one that was cut off, is brought to its size again.
    std::fs::write(&path, b"cut off").expect("written");
    assert!(open_ids(&path).insert(request_id_fingerprint("q")).expect("written"));
    assert_eq!(size(), size_at_start);
}

/// A path in a new directory below Cargo's directory for temporary files.
fn scratch_file(name: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let unique = format!("hot-restart-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(unique);
    std::fs::create_dir_all(&dir).expect("a directory");
    dir.join(name)
}

fn open_ids(path: &Path) -> RequestIdTable {
    RequestIdTable::open(path).expect("opened")
}
