//! What processes of one mixer share: orders that merge, and their file, torn at every byte.

use proptest::prelude::*;
use sailmux::handover::{Folder, Found, ORDERS_MOST, Order, Orders, Subject, TooMany, Word, snapshot};

fn subject() -> impl Strategy<Value = Subject> {
    prop_oneof![Just(Subject::Mixer), "[a-d]".prop_map(|name| Subject::Node(name.into()))]
}

/// Orders that several processes were given, at times close to each other.
fn orders() -> impl Strategy<Value = Orders> {
    let order = (subject(), any::<bool>(), 0u32..6).prop_map(|(s, out, at)| {
        let at = f64::from(at);
        (s, Order { out, at, since: if out { at } else { 0.0 } })
    });
    proptest::collection::vec(order, 0..8).prop_map(|all| all.into_iter().collect())
}

fn merged(a: &Orders, b: &Orders) -> Orders {
    let mut all = a.clone();
    all.merge(b);
    all
}

proptest! {
    #[test]
    fn merging_is_commutative_associative_and_idempotent(a in orders(), b in orders(), c in orders()) {
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        prop_assert_eq!(merged(&a, &a), a.clone());
        let mut again = merged(&a, &b);
        prop_assert!(!again.merge(&b), "nothing new is no change");
    }

    #[test]
    fn the_last_call_stands_whatever_the_clock_does(calls in proptest::collection::vec((subject(), any::<bool>(), 0u32..9), 1..20)) {
        let mut all = Orders::default();
        for (subject, out, now) in calls {
            let before = all.is_out(&subject);
            let changed = all.give(subject.clone(), out, f64::from(now)).expect("few");
            prop_assert_eq!(all.is_out(&subject), out);
            prop_assert_eq!(changed, before != out, "two calls out need one back");
        }
    }

    #[test]
    fn a_file_is_read_as_it_was_written(a in orders()) {
        prop_assert_eq!(snapshot::decode(&snapshot::encode(&a)), Ok(a));
    }

    #[test]
    fn a_torn_or_changed_file_is_never_believed(a in orders(), at in any::<prop::sample::Index>(), bit in 0u8..8) {
        let whole = snapshot::encode(&a);
        let at = at.index(whole.len());
        prop_assert!(snapshot::decode(&whole[..at]).is_err(), "cut at {}", at);
        let mut changed = whole.clone();
        changed[at] ^= 1 << bit;
        if let Ok(read) = snapshot::decode(&changed) {
            // One bit of the head may say the same number in another way.
            prop_assert_eq!(read, a);
        }
    }
}

#[test]
fn a_name_that_is_back_is_cold_from_the_order_or_from_a_start_told_since() {
    let mut all = Orders::default();
    let node = Subject::Node("a".into());
    all.give(node.clone(), true, 100.0).expect("few");
    all.give(node.clone(), false, 900.0).expect("few");
    let order = *all.get(&node).expect("it stands");
    assert_eq!(order, Order { out: false, at: 900.0, since: 100.0 });
    for (told, counts) in [(0.0, 900.0), (50.0, 900.0), (400.0, 400.0)] {
        let mut entry = sailmux::membership::NodeEntry {
            name: "a".into(),
            address: "h:1".into(),
            zone: "z".into(),
            cell: 0,
            weight: 1.0,
            state: sailmux::membership::NodeState::Ready,
            started_unix: told,
        };
        order.over(&mut entry);
        assert_eq!(entry.started_unix, counts, "started at {told}");
    }
}

#[test]
fn orders_are_bounded_and_those_long_back_are_let_go() {
    let mut all = Orders::default();
    for i in 0..ORDERS_MOST {
        all.give(Subject::Node(format!("n{i}").into()), true, 1.0).expect("room");
    }
    assert_eq!(all.give(Subject::Node("one more".into()), true, 2.0), Err(TooMany));
    for i in 0..ORDERS_MOST {
        all.give(Subject::Node(format!("n{i}").into()), false, 3.0).expect("room");
    }
    all.forget_before(4.0);
    assert_eq!(all.iter().count(), 0);
}

#[test]
fn processes_merge_into_one_file_and_see_who_lives() {
    let below = std::env::temp_dir().join(format!("sailmux-handover-{}", std::process::id()));
    let folder = Folder::open(&below, "n0", "127.0.0.1:1").expect("made");
    let other = Folder::open(&below, "n1", "127.0.0.1:1").expect("made");
    let mut mine = Orders::default();
    mine.give(Subject::Node("a".into()), true, 1.0).expect("few");
    let mut theirs = Orders::default();
    theirs.give(Subject::Mixer, true, 2.0).expect("few");
    folder.merge(&mine, 0.0).expect("written");
    let (both, _) = folder.merge(&theirs, 0.0).expect("written");
    assert!(both.is_out(&Subject::Mixer) && both.is_out(&Subject::Node("a".into())));
    assert_eq!(folder.read().expect("read"), Found::Orders(both));
    assert_eq!(other.read().expect("read"), Found::Nothing, "another mixer's");
    let (mut first, second) = (folder.sit().expect("a file").expect("free"), folder.sit().expect("a file"));
    let second = second.as_ref().map(|seat| seat.number());
    let word = Word { ready: true, orders: 7 };
    first.say(&word).expect("said");
    let seen = folder.others(second);
    assert_eq!(seen.iter().map(|o| o.word.clone()).collect::<Vec<_>>(), [Some(word)]);
    drop(first);
    assert_eq!(folder.others(second), [], "a seat is free once its process has ended");
    std::fs::remove_dir_all(&below).expect("removed");
}
