//! What processes of one aggregator share: overrides that merge, and their stored form, truncated at every byte.

use proptest::prelude::*;
use sailmux::endpoints::{Endpoint, EndpointState};
use sailmux::hot_restart::{
    MAX_OVERRIDES, Override, OverrideSubject, Overrides, ProcessStatus, SharedDirectory, StoredOverrides,
    TooManyOverrides, snapshot,
};

fn leaf_server(name: impl AsRef<str>) -> OverrideSubject {
    OverrideSubject::LeafServer(name.as_ref().into())
}

fn subject() -> impl Strategy<Value = OverrideSubject> {
    prop_oneof![Just(OverrideSubject::Aggregator), "[a-d]".prop_map(leaf_server)]
}

/// Overrides as several processes record them, at times close to each other.
fn overrides() -> impl Strategy<Value = Overrides> {
    let item = (subject(), any::<bool>(), 0u32..6).prop_map(|(subject, active, time)| {
        let given_at = f64::from(time);
        (subject, Override { active, given_at, active_since: if active { given_at } else { 0.0 } })
    });
    proptest::collection::vec(item, 0..8).prop_map(|items| items.into_iter().collect())
}

fn merged(left: &Overrides, right: &Overrides) -> Overrides {
    let mut merged = left.clone();
    merged.merge(right);
    merged
}

proptest! {
    #[test]
    fn merging_is_commutative_associative_and_idempotent(a in overrides(), b in overrides(), c in overrides()) {
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        prop_assert_eq!(merged(&a, &a), a.clone());
        let mut again = merged(&a, &b);
        prop_assert!(!again.merge(&b), "merging again is no change");
    }

    #[test]
    fn the_last_command_wins_whatever_the_clock_does(
        commands in proptest::collection::vec((subject(), any::<bool>(), 0u32..9), 1..20),
    ) {
        let mut overrides = Overrides::default();
        for (subject, active, now) in commands {
            let was_active = overrides.is_active(&subject);
            let changed = overrides.set(subject.clone(), active, f64::from(now)).expect("few");
            prop_assert_eq!(overrides.is_active(&subject), active);
            prop_assert_eq!(changed, was_active != active, "a repeated command changes nothing");
        }
    }

    #[test]
    fn a_snapshot_decodes_to_what_was_encoded(overrides in overrides()) {
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
            // One flipped bit of the header may write the same number in another way.
            prop_assert_eq!(decoded, overrides);
        }
    }
}

#[test]
fn a_leaf_server_put_back_counts_as_started_then_or_at_a_later_stated_start() {
    let mut overrides = Overrides::default();
    let subject = leaf_server("a");
    overrides.set(subject.clone(), true, 100.0).expect("few");
    overrides.set(subject.clone(), false, 900.0).expect("few");
    let put_back = *overrides.get(&subject).expect("recorded");
    assert_eq!(put_back, Override { active: false, given_at: 900.0, active_since: 100.0 });
    for (stated, expected) in [(0.0, 900.0), (50.0, 900.0), (400.0, 400.0)] {
        let mut endpoint = Endpoint {
            name: "a".into(),
            address: "h:1".into(),
            zone: "z".into(),
            cell: 0,
            weight: 1.0,
            state: EndpointState::Ready,
            started_at_unix: stated,
        };
        put_back.apply_to(&mut endpoint);
        assert_eq!(endpoint.started_at_unix, expected, "stated start {stated}");
    }
}

#[test]
fn overrides_are_bounded_and_old_inactive_ones_are_forgotten() {
    let mut overrides = Overrides::default();
    for i in 0..MAX_OVERRIDES {
        overrides.set(leaf_server(format!("n{i}")), true, 1.0).expect("within the bound");
    }
    assert_eq!(overrides.set(leaf_server("one more"), true, 2.0), Err(TooManyOverrides));
    for i in 0..MAX_OVERRIDES {
        overrides.set(leaf_server(format!("n{i}")), false, 3.0).expect("within the bound");
    }
    overrides.forget_before(4.0);
    assert_eq!(overrides.iter().count(), 0);
}

#[test]
fn processes_merge_overrides_in_one_directory_and_see_which_others_run() {
    let parent = std::env::temp_dir().join(format!("sailmux-hot-restart-{}", std::process::id()));
    let directory = SharedDirectory::open(&parent, "n0", "127.0.0.1:1").expect("created");
    let other_aggregator = SharedDirectory::open(&parent, "n1", "127.0.0.1:1").expect("created");

    let mut first_overrides = Overrides::default();
    first_overrides.set(leaf_server("a"), true, 1.0).expect("few");
    let mut second_overrides = Overrides::default();
    second_overrides.set(OverrideSubject::Aggregator, true, 2.0).expect("few");
    directory.merge_overrides(&first_overrides, 0.0).expect("written");
    let both = directory.merge_overrides(&second_overrides, 0.0).expect("written").merged;
    assert!(both.is_active(&OverrideSubject::Aggregator));
    assert!(both.is_active(&leaf_server("a")));
    assert_eq!(directory.read_overrides().expect("read"), StoredOverrides::Present(both));
    assert_eq!(other_aggregator.read_overrides().expect("read"), StoredOverrides::Missing);

    let mut first = directory.acquire_slot().expect("a file").expect("a free slot");
    let second = directory.acquire_slot().expect("a file").expect("a free slot");
    let status = ProcessStatus { ready: true, overrides_digest: 7 };
    first.publish(&status).expect("written");
    let seen = directory.siblings(Some(second.number()));
    let statuses: Vec<_> = seen.into_iter().map(|sibling| sibling.status).collect();
    assert_eq!(statuses, [Some(status)]);
    drop(first);
    assert_eq!(directory.siblings(Some(second.number())), [], "a slot is free once its process has ended");
    std::fs::remove_dir_all(&parent).expect("removed");
}
