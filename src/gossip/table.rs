//! The member table: stores the latest update about each member and removes dead members after a retention period.

use super::member::{MemberId, MemberStatus, MemberUpdate};
use crate::clock::Millis;
use std::collections::HashMap;

/// An entry of the member table.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The latest update about the member.
    pub update: MemberUpdate,
    /// Time at which that update was applied.
    pub since: Millis,
}

/// Limits of the member table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberTableSettings {
    /// Maximum number of members in the table, including the local one. Updates about further members are dropped.
    pub max_members: usize,
    /// Time for which a dead or left member stays in the table. It must exceed the time that an update takes to reach all
    /// members; otherwise a late update adds the member again.
    pub dead_retention: Millis,
}

/// The result of [`MemberTable::apply`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    /// The update was applied and must be disseminated.
    Applied,
    /// The update was ignored because it is already known or superseded.
    Stale,
    /// The update reported the local member as not alive. The local member has raised its incarnation, and its own update
    /// ([`MemberTable::local`]) must be disseminated.
    Refuted,
    /// The update is about a new member and was dropped because the table is full.
    TableFull,
}

/// The members that one aggregator has received updates about, and the aggregator itself.
#[derive(Debug)]
pub struct MemberTable {
    settings: MemberTableSettings,
    local_id: MemberId,
    members: HashMap<MemberId, Member>,
}

impl MemberTable {
    /// Creates a table that contains only the local member, with status alive.
    pub fn new(settings: MemberTableSettings, local: MemberUpdate, now: Millis) -> Self {
        let local_id = local.id;
        let update = MemberUpdate { status: MemberStatus::Alive, ..local };
        let members = HashMap::from([(local_id, Member { update, since: now })]);
        MemberTable { settings, local_id, members }
    }

    /// Returns the latest update about the local member.
    pub fn local(&self) -> &MemberUpdate {
        &self.members[&self.local_id].update
    }

    /// Returns a member's entry, or `None` if the member is not in the table.
    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Returns the latest update about a member, or `None` if the member is not in the table.
    pub fn update(&self, id: MemberId) -> Option<&MemberUpdate> {
        self.members.get(&id).map(|member| &member.update)
    }

    /// Returns all members, including dead and left ones within the retention period, in no particular order.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the latest updates about live members other than the local one.
    pub fn live_peers(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.members().map(|member| &member.update).filter(|update| {
            let is_local = update.id == self.local_id;
            !is_local && update.status.is_live()
        })
    }

    /// Returns the number of live members, including the local one.
    pub fn live_count(&self) -> usize {
        self.members.values().filter(|member| member.update.status.is_live()).count()
    }

    /// Applies an update if it supersedes the latest one about the same member.
    pub fn apply(&mut self, now: Millis, update: MemberUpdate) -> ApplyResult {
        if update.id == self.local_id {
            return self.apply_to_local(now, &update);
        }
        let is_full = self.members.len() >= self.settings.max_members;
        match self.members.get_mut(&update.id) {
            Some(known) if update.supersedes(&known.update) => {
                *known = Member { update, since: now };
                ApplyResult::Applied
            }
            Some(_) => ApplyResult::Stale,
            None if is_full => ApplyResult::TableFull,
            None => {
                self.members.insert(update.id, Member { update, since: now });
                ApplyResult::Applied
            }
        }
    }

    fn apply_to_local(&mut self, now: Millis, update: &MemberUpdate) -> ApplyResult {
        let local = self.local_mut();
        if local.update.status == MemberStatus::Left {
            return ApplyResult::Stale;
        }
        if update.status == MemberStatus::Alive || update.incarnation < local.update.incarnation {
            return ApplyResult::Stale;
        }
        local.update.incarnation = update.incarnation.saturating_add(1);
        local.since = now;
        ApplyResult::Refuted
    }

    /// Marks the local member as left; returns the update to disseminate.
    pub fn leave(&mut self, now: Millis) -> MemberUpdate {
        let local = self.local_mut();
        local.update.status = MemberStatus::Left;
        local.since = now;
        local.update.clone()
    }

    /// Removes members that have been dead or left for the retention period; returns their number.
    pub fn remove_dead(&mut self, now: Millis) -> usize {
        let before = self.members.len();
        let local_id = self.local_id;
        let dead_retention = self.settings.dead_retention;
        self.members.retain(|id, member| {
            *id == local_id || member.update.status.is_live() || now - member.since < dead_retention
        });
        before - self.members.len()
    }

    fn local_mut(&mut self) -> &mut Member {
        self.members.get_mut(&self.local_id).expect("the local member is always in the table")
    }
}
