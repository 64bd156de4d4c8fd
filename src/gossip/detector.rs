//! The failure detector of one member: wires probing, suspicion, dissemination and the member table.

use super::counters::DetectorCounters;
use super::dissemination::UpdateQueue;
use super::local_health::LocalHealth;
use super::member::{MemberId, MemberStatus, MemberUpdate};
use super::message::Message;
use super::probing::{Probing, random_index, shuffle, uniform};
use super::settings::DetectorSettings;
use super::suspicion::Suspicions;
use super::table::{ApplyResult, MemberTable};
use crate::clock::Millis;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use std::sync::Arc;

/// An input of [`Detector::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed. Expected several times in each probe interval.
    Tick,
    /// A message has arrived.
    Received {
        /// The sender's update about itself.
        sender: MemberUpdate,
        /// The message.
        message: Message,
    },
}

/// An output of the detector, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to a member.
    Send {
        /// The receiver.
        to: MemberId,
        /// Its address.
        address: Arc<str>,
        /// The message.
        message: Message,
    },
    /// Send a message to whichever member listens at an address, to join through it.
    SendToAddress {
        /// The address.
        address: Arc<str>,
        /// The message.
        message: Message,
    },
    /// This update is in force now.
    Changed(MemberUpdate),
}

/// A member's id and address.
struct Peer {
    id: MemberId,
    address: Arc<str>,
}

impl Peer {
    fn of(update: &MemberUpdate) -> Self {
        Peer { id: update.id, address: update.address.clone() }
    }
}

/// The failure detector of one member.
#[derive(Debug)]
pub struct Detector {
    settings: DetectorSettings,
    table: MemberTable,
    random: Pcg64Mcg,
    probing: Probing,
    suspicions: Suspicions,
    local_health: LocalHealth,
    updates: UpdateQueue,
    next_sync_at: Millis,
    counters: DetectorCounters,
}

impl Detector {
    /// A detector for the member `local` that knows the members `known`. Its random choices come from `seed`.
    pub fn new(
        settings: DetectorSettings,
        local: MemberUpdate,
        known: Vec<MemberUpdate>,
        seed: u64,
        now: Millis,
    ) -> Self {
        let mut table = MemberTable::new(settings.table, local, now);
        for update in known {
            table.apply(now, update);
        }
        let mut random = Pcg64Mcg::seed_from_u64(seed.rotate_left(29));
        // Spread over an interval, so that members started together do not probe at the same times.
        let first_probe_at = now + uniform(&mut random) * settings.probe_interval;
        let sync_intervals = f64::from(settings.sync_interval_factor);
        let next_sync_at = now + jittered(settings.probe_interval, &mut random) * sync_intervals;
        Detector {
            settings,
            table,
            random,
            probing: Probing::new(first_probe_at),
            suspicions: Suspicions::default(),
            local_health: LocalHealth::new(settings.max_local_health),
            updates: UpdateQueue::default(),
            next_sync_at,
            counters: DetectorCounters::default(),
        }
    }

    /// Joins through members known by their addresses alone: a full exchange with each.
    pub fn join(&mut self, addresses: &[Arc<str>], outputs: &mut Vec<Output>) {
        for address in addresses {
            if *address == self.table.local().address {
                continue;
            }
            // The first part makes this member known; the reply brings the whole table.
            let Some(members) = self.table_parts().into_iter().next() else { continue };
            let message = Message::Sync { reply_requested: true, members };
            self.counters.messages_sent += 1;
            outputs.push(Output::SendToAddress { address: address.clone(), message });
        }
    }

    /// Leaves the fleet: tells all live members.
    pub fn leave(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        let update = self.table.leave(now);
        self.updates.push(update.clone());
        let peers: Vec<Peer> = self.table.live_others().map(Peer::of).collect();
        for peer in peers {
            self.send(peer, Message::Gossip { updates: vec![update.clone()] }, outputs);
        }
    }

    /// The members as this one knows them.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// The local health score: 0 while this member's probes are answered and nobody suspects it.
    pub fn local_health(&self) -> u32 {
        self.local_health.score()
    }

    /// The counters.
    pub fn counters(&self) -> DetectorCounters {
        self.counters
    }

    /// Handles an input; appends its outputs.
    pub fn handle(&mut self, now: Millis, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::Tick => self.on_tick(now, outputs),
            Input::Received { sender, message } => self.on_received(now, sender, message, outputs),
        }
    }

    fn on_tick(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        self.check_probe_in_flight(now, outputs);
        if self.probing.in_flight.is_none() && now >= self.probing.next_probe_at {
            self.probe_next(now, outputs);
        }
        self.declare_expired_dead(now, outputs);
        if now >= self.next_sync_at && self.settings.sync_interval_factor > 0 {
            self.sync_with_random_member(now, outputs);
        }
        self.probing.expire_relayed(now, self.settings.probe_interval);
        self.table.forget_dead(now);
    }

    fn check_probe_in_flight(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        let Some(probe) = self.probing.in_flight else { return };
        let ack_due_at = probe.sent_at + self.local_health.extended(self.settings.ack_timeout);
        if !probe.acknowledged && !probe.indirect && now >= ack_due_at {
            self.probe_indirectly(probe.target, probe.sequence, outputs);
        }
        let ends_at = probe.sent_at + self.local_health.extended(self.settings.probe_interval);
        if now >= ends_at {
            self.probing.in_flight = None;
            if !probe.acknowledged {
                self.suspect(now, probe.target, outputs);
            }
        }
    }

    fn probe_next(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        self.probing.next_probe_at = now + self.local_health.extended(self.settings.probe_interval);
        let Some(target) = self.probing.next_target(&self.table, &mut self.random) else { return };
        let Some(peer) = self.peer(target) else { return };
        let sequence = self.probing.start(now, target);
        let updates = self.piggyback_for(target);
        self.send(peer, Message::Ping { sequence, updates }, outputs);
    }

    fn probe_indirectly(&mut self, target: MemberId, sequence: u64, outputs: &mut Vec<Output>) {
        self.probing.mark_indirect();
        let is_helper = |update: &&MemberUpdate| update.id != target && update.status == MemberStatus::Alive;
        let mut helpers: Vec<Peer> = self.table.live_others().filter(is_helper).map(Peer::of).collect();
        helpers.sort_by_key(|helper| helper.id);
        shuffle(&mut helpers, &mut self.random);
        helpers.truncate(self.settings.indirect_probes);
        for helper in helpers {
            let updates = self.piggyback();
            self.send(helper, Message::PingRequest { sequence, target, updates }, outputs);
        }
    }

    /// A probe was not answered: raises a suspicion, or confirms one.
    fn suspect(&mut self, now: Millis, target: MemberId, outputs: &mut Vec<Output>) {
        let Some(known) = self.table.update(target) else { return };
        if !known.status.is_live() {
            return;
        }
        let reporter = self.table.local().id;
        let update = MemberUpdate { status: MemberStatus::Suspect, reporter, ..known.clone() };
        self.counters.suspicions += 1;
        self.apply(now, update, outputs);
    }

    fn declare_expired_dead(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        let live_members = self.table.live_count();
        for expired in self.suspicions.take_expired(now, &self.settings, live_members) {
            let Some(known) = self.table.update(expired.member) else { continue };
            if known.status != MemberStatus::Suspect || known.incarnation != expired.incarnation {
                continue;
            }
            let reporter = self.table.local().id;
            let update = MemberUpdate { status: MemberStatus::Dead, reporter, ..known.clone() };
            self.counters.declared_dead += 1;
            self.apply(now, update, outputs);
        }
    }

    fn sync_with_random_member(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        let sync_interval = self.settings.probe_interval * f64::from(self.settings.sync_interval_factor);
        self.next_sync_at = now + jittered(sync_interval, &mut self.random);
        let peers: Vec<Peer> = self.table.live_others().map(Peer::of).collect();
        if peers.is_empty() {
            return;
        }
        let peer = &peers[random_index(peers.len(), &mut self.random)];
        for (part, members) in self.table_parts().into_iter().enumerate() {
            let message = Message::Sync { reply_requested: part == 0, members };
            self.send(Peer { id: peer.id, address: peer.address.clone() }, message, outputs);
        }
    }

    /// The table in parts of at most `max_sync_members`, the local member first.
    fn table_parts(&self) -> Vec<Vec<MemberUpdate>> {
        let local = self.table.local();
        let mut all = vec![local.clone()];
        for member in self.table.members() {
            if member.update.id != local.id {
                all.push(member.update.clone());
            }
        }
        all.chunks(self.settings.max_sync_members.max(1)).map(<[MemberUpdate]>::to_vec).collect()
    }

    fn on_received(
        &mut self,
        now: Millis,
        sender: MemberUpdate,
        message: Message,
        outputs: &mut Vec<Output>,
    ) {
        let peer = Peer::of(&sender);
        self.apply(now, sender, outputs);
        for update in message.updates() {
            self.apply(now, update.clone(), outputs);
        }
        match message {
            Message::Gossip { .. } | Message::Sync { reply_requested: false, .. } => {}
            Message::Sync { reply_requested: true, .. } => {
                for members in self.table_parts() {
                    let reply = Message::Sync { reply_requested: false, members };
                    self.send(Peer { id: peer.id, address: peer.address.clone() }, reply, outputs);
                }
            }
            Message::Ping { sequence, .. } => {
                let updates = self.piggyback();
                self.send(peer, Message::Ack { sequence, updates }, outputs);
            }
            Message::Ack { sequence, .. } => self.on_ack(sequence, outputs),
            Message::PingRequest { sequence, target, .. } => {
                let Some(target_peer) = self.peer(target) else { return };
                let sequence = self.probing.start_relayed(now, peer.id, sequence);
                let updates = self.piggyback_for(target);
                self.send(target_peer, Message::Ping { sequence, updates }, outputs);
            }
        }
    }

    fn on_ack(&mut self, sequence: u64, outputs: &mut Vec<Output>) {
        if self.probing.acknowledge(sequence) {
            self.local_health.improve();
        }
        let Some(relayed) = self.probing.take_relayed(sequence) else { return };
        let Some(requester) = self.peer(relayed.requester) else { return };
        let updates = self.piggyback();
        let message = Message::Ack { sequence: relayed.requester_sequence, updates };
        self.send(requester, message, outputs);
    }

    fn apply(&mut self, now: Millis, update: MemberUpdate, outputs: &mut Vec<Output>) {
        match self.table.apply(now, update.clone()) {
            ApplyResult::Applied => {
                self.suspicions.on_applied(now, &update);
                outputs.push(Output::Changed(update.clone()));
                self.updates.push(update);
            }
            ApplyResult::Stale => {
                // A confirmation is passed on, so that the others' timeouts become shorter too.
                if self.suspicions.confirm(&update, self.settings.indirect_probes.max(1)) {
                    self.updates.push(update);
                }
            }
            ApplyResult::Refuted => {
                self.counters.refutations += 1;
                self.local_health.degrade();
                let local = self.table.local().clone();
                outputs.push(Output::Changed(local.clone()));
                self.updates.push(local);
            }
            ApplyResult::TableFull => {}
        }
    }

    /// Updates for a message to any member.
    fn piggyback(&mut self) -> Vec<MemberUpdate> {
        let members = self.table.live_count() as f64;
        let rounds = (members + 1.0).log10().ceil().max(1.0) as u32;
        let max_times_sent = self.settings.retransmit_factor * rounds;
        self.updates.next_batch(self.settings.max_piggybacked_updates, max_times_sent)
    }

    /// Updates for a probe. A suspected target is told of its suspicion first, so that it can refute it at once
    /// (Lifeguard's buddy system).
    fn piggyback_for(&mut self, target: MemberId) -> Vec<MemberUpdate> {
        let mut updates = self.piggyback();
        if let Some(known) = self.table.update(target)
            && known.status == MemberStatus::Suspect
        {
            updates.retain(|update| update.id != target);
            updates.insert(0, known.clone());
            updates.truncate(self.settings.max_piggybacked_updates.max(1));
        }
        updates
    }

    fn peer(&self, id: MemberId) -> Option<Peer> {
        self.table.update(id).map(Peer::of)
    }

    fn send(&mut self, to: Peer, message: Message, outputs: &mut Vec<Output>) {
        self.counters.messages_sent += 1;
        outputs.push(Output::Send { to: to.id, address: to.address, message });
    }
}

/// An interval of 0.5 to 1.5 times the mean.
fn jittered(mean: Millis, random: &mut Pcg64Mcg) -> Millis {
    (0.5 + uniform(random)) * mean
}
