//! The member table: precedence of updates by incarnation, refutation, and bounded memory.

use proptest::prelude::*;
use sailmux::gossip::{ApplyResult, MemberId, MemberStatus, MemberTable, MemberTableSettings, MemberUpdate};

const SETTINGS: MemberTableSettings = MemberTableSettings { max_members: 64, dead_retention: 30_000.0 };

fn update(id: u64, incarnation: u64, status: MemberStatus) -> MemberUpdate {
    MemberUpdate {
        id: MemberId(id),
        address: format!("127.0.0.1:{}", 7000 + id).into(),
        zone: "a".into(),
        incarnation,
        status,
        reporter: MemberId(id),
    }
}

/// A table whose local member has id 0.
fn new_table() -> MemberTable {
    MemberTable::new(SETTINGS, update(0, 0, MemberStatus::Alive), 0.0)
}

/// The incarnation and status that the table has for a member.
fn incarnation_and_status(table: &MemberTable, id: u64) -> Option<(u64, MemberStatus)> {
    table.update(MemberId(id)).map(|update| (update.incarnation, update.status))
}

fn status() -> impl Strategy<Value = MemberStatus> {
    prop_oneof![
        Just(MemberStatus::Alive),
        Just(MemberStatus::Suspect),
        Just(MemberStatus::Dead),
        Just(MemberStatus::Left)
    ]
}

/// Updates about members 1 to 5, and some about the local member.
fn updates() -> impl Strategy<Value = Vec<MemberUpdate>> {
    prop::collection::vec((0u64..6, 0u64..5, status()), 1..60).prop_map(|rows| {
        rows.into_iter().map(|(id, incarnation, status)| update(id, incarnation, status)).collect()
    })
}

fn shuffled(updates: &[MemberUpdate], seed: u64) -> Vec<MemberUpdate> {
    let mut shuffled = updates.to_vec();
    for i in (1..shuffled.len()).rev() {
        let random = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(i as u64) >> 33;
        shuffled.swap(i, random as usize % (i + 1));
    }
    shuffled
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// Tables that receive the same updates in any order agree on every member but the local one: the highest
    /// incarnation wins and, at equal incarnation, the later status.
    #[test]
    fn any_order_of_the_same_updates_gives_the_same_table(updates in updates(), seed in any::<u64>()) {
        let mut in_order = new_table();
        for update in &updates {
            in_order.apply(1.0, update.clone());
        }
        let mut out_of_order = new_table();
        for update in shuffled(&updates, seed) {
            out_of_order.apply(1.0, update);
        }
        for id in 1..6 {
            let about_member = updates.iter().filter(|update| update.id == MemberId(id));
            let expected = about_member.map(|update| (update.incarnation, update.status)).max();
            prop_assert_eq!(incarnation_and_status(&in_order, id), expected);
            prop_assert_eq!(incarnation_and_status(&out_of_order, id), expected);
        }
    }

    /// Updates of the same or an older incarnation do not make a dead or left member live again.
    #[test]
    fn no_old_update_revives_a_dead_member(
        incarnation in 0u64..10,
        final_status in prop_oneof![Just(MemberStatus::Dead), Just(MemberStatus::Left)],
        late_updates in prop::collection::vec((0u64..10, status()), 0..30),
    ) {
        let mut table = new_table();
        table.apply(0.0, update(1, incarnation, final_status));
        let mut received_newer = false;
        for (late_incarnation, status) in late_updates {
            let result = table.apply(1.0, update(1, late_incarnation, status));
            received_newer |= late_incarnation > incarnation;
            let current = table.update(MemberId(1)).expect("in the table").status;
            prop_assert!(
                received_newer || current >= MemberStatus::Dead,
                "{:?} at incarnation {} revived the member: {:?}", status, late_incarnation, result
            );
        }
    }

    /// Whatever updates arrive about the local member, it stays alive, with an incarnation above that of every update
    /// that reported it as suspect, dead or left.
    #[test]
    fn the_local_member_refutes_updates_about_itself(
        received in prop::collection::vec((0u64..8, status()), 1..30),
    ) {
        let mut table = new_table();
        let mut highest_refuted = None;
        for (incarnation, status) in received {
            let result = table.apply(1.0, update(0, incarnation, status));
            if status != MemberStatus::Alive {
                prop_assert!(incarnation < table.local().incarnation, "not refuted: {:?}", result);
                highest_refuted = highest_refuted.max(Some(incarnation));
            }
            prop_assert_eq!(table.local().status, MemberStatus::Alive);
        }
        if let Some(highest_refuted) = highest_refuted {
            prop_assert!(table.local().incarnation > highest_refuted);
        }
    }
}

#[test]
fn a_suspicion_of_the_local_member_is_refuted_by_a_higher_incarnation() {
    let mut table = new_table();
    let suspicion = update(0, 0, MemberStatus::Suspect);
    assert_eq!(table.apply(5.0, suspicion.clone()), ApplyResult::Refuted);
    assert_eq!(table.local().incarnation, 1);
    assert_eq!(table.local().status, MemberStatus::Alive);
    // The refutation supersedes the suspicion at all members.
    assert!(table.local().supersedes(&suspicion));
    // An old suspicion that arrives late changes nothing.
    assert_eq!(table.apply(6.0, suspicion), ApplyResult::Stale);
    assert_eq!(table.local().incarnation, 1);
}

#[test]
fn a_process_restarted_at_the_same_address_is_a_new_member() {
    let mut table = new_table();
    let old = update(1, 3, MemberStatus::Alive);
    let new = MemberUpdate { id: MemberId(2), incarnation: 0, ..old.clone() };
    assert_eq!(table.apply(0.0, old), ApplyResult::Applied);
    assert_eq!(table.apply(1.0, update(1, 3, MemberStatus::Dead)), ApplyResult::Applied);
    assert_eq!(table.apply(2.0, new), ApplyResult::Applied);
    assert_eq!(incarnation_and_status(&table, 1), Some((3, MemberStatus::Dead)));
    assert_eq!(incarnation_and_status(&table, 2), Some((0, MemberStatus::Alive)));
    assert_eq!(table.live_count(), 2);
}

/// Ten thousand members join and are declared dead: the table never exceeds its limit, and keeps only live and recently
/// dead members.
#[test]
fn the_table_stays_within_its_limit_for_any_number_of_ids() {
    let mut table = new_table();
    let mut rejected = 0;
    let mut max_member_count = 0;
    for id in 1..10_000u64 {
        let now = id as f64 * 100.0;
        if table.apply(now, update(id, 0, MemberStatus::Alive)) == ApplyResult::TableFull {
            rejected += 1;
        }
        table.apply(now, update(id, 0, MemberStatus::Dead));
        table.remove_dead(now);
        max_member_count = max_member_count.max(table.members().count());
    }
    // One death per 100 ms and a retention of 30 s would need 300 entries; the table rejects those beyond its limit.
    assert!(rejected > 0);
    assert_eq!(max_member_count, SETTINGS.max_members);
    table.remove_dead(1e9);
    assert_eq!(table.members().count(), 1);
    assert_eq!(table.live_count(), 1);
}

#[test]
fn a_member_that_left_does_not_refute() {
    let mut table = new_table();
    let leave_update = table.leave(3.0);
    assert_eq!(leave_update.status, MemberStatus::Left);
    assert_eq!(table.apply(4.0, update(0, 5, MemberStatus::Dead)), ApplyResult::Stale);
    assert_eq!(table.local().status, MemberStatus::Left);
}
