//! The table of members: the latest update about each, and when dead members are forgotten.

use super::member::{MemberId, MemberStatus, MemberUpdate};
use crate::clock::Millis;
use std::collections::HashMap;

/// A member in the table.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The update in force.
    pub update: MemberUpdate,
    /// When it came into force.
    pub since: Millis,
}

/// Bounds of the table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberTableSettings {
    /// Most members in the table, the local one included. Updates about further members are dropped.
    pub max_members: usize,
    /// How long a dead or left member is remembered. Longer than an update travels, so that a late one does not bring
    /// the member back.
    pub forget_after: Millis,
}

/// What became of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    /// It is in force now and must be disseminated.
    Applied,
    /// It is already known, or superseded.
    Stale,
    /// It stated that the local member is not alive. The local member has raised its incarnation; its own update
    /// ([`MemberTable::local`]) must be disseminated.
    Refuted,
    /// It is about a new member, and the table is full.
    TableFull,
}

/// The members that one aggregator knows, itself included.
#[derive(Debug)]
pub struct MemberTable {
    settings: MemberTableSettings,
    local_id: MemberId,
    members: HashMap<MemberId, Member>,
}

impl MemberTable {
    /// A table with the local member alone, which is alive.
    pub fn new(settings: MemberTableSettings, local: MemberUpdate, now: Millis) -> Self {
        let local_id = local.id;
        let update = MemberUpdate { status: MemberStatus::Alive, ..local };
        let members = HashMap::from([(local_id, Member { update, since: now })]);
        MemberTable { settings, local_id, members }
    }

    /// The update in force about the local member.
    pub fn local(&self) -> &MemberUpdate {
        &self.members[&self.local_id].update
    }

    /// A member.
    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// The update in force about a member.
    pub fn update(&self, id: MemberId) -> Option<&MemberUpdate> {
        self.members.get(&id).map(|member| &member.update)
    }

    /// All members, including the dead and left ones that are not forgotten yet.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The updates about the live members other than the local one.
    pub fn live_others(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.members().map(|member| &member.update).filter(|update| {
            let is_local = update.id == self.local_id;
            !is_local && update.status.is_live()
        })
    }

    /// Number of live members, the local one included.
    pub fn live_count(&self) -> usize {
        self.members.values().filter(|member| member.update.status.is_live()).count()
    }

    /// Applies an update if it supersedes what is known.
    pub fn apply(&mut self, now: Millis, update: MemberUpdate) -> ApplyResult {
        if update.id == self.local_id {
            return self.apply_to_local(now, &update);
        }
        let full = self.members.len() >= self.settings.max_members;
        match self.members.get_mut(&update.id) {
            Some(known) if update.supersedes(&known.update) => {
                *known = Member { update, since: now };
                ApplyResult::Applied
            }
            Some(_) => ApplyResult::Stale,
            None if full => ApplyResult::TableFull,
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

    /// Removes the members that have been dead or left for long; returns how many.
    pub fn forget_dead(&mut self, now: Millis) -> usize {
        let before = self.members.len();
        let local_id = self.local_id;
        let forget_after = self.settings.forget_after;
        self.members.retain(|id, member| {
            *id == local_id || member.update.status.is_live() || now - member.since < forget_after
        });
        before - self.members.len()
    }

    fn local_mut(&mut self) -> &mut Member {
        self.members.get_mut(&self.local_id).expect("the local member is always in the table")
    }
}
