//! The failure detector of one member: combines probing, suspicion, dissemination and the member table.

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
    /// Time has passed. Must be handled several times per probe interval for timeouts to be accurate.
    Tick,
    /// A message has arrived.
    Received {
        /// The sender's update about itself.
        sender: MemberUpdate,
        /// The message.
        message: Message,
    },
}

/// An output of [`Detector::handle`]. Outputs must be executed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to a member.
    Send {
        /// Id of the receiver.
        to: MemberId,
        /// Address of the receiver.
        address: Arc<str>,
        /// The message.
        message: Message,
    },
    /// Send a message to whichever member listens at an address, to join the fleet through it.
    SendToAddress {
        /// Address to send to.
        address: Arc<str>,
        /// The message.
        message: Message,
    },
    /// The table has applied this update, or the local member has refuted one and this is its own new update.
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

/// The failure detector of one member. Owns the member table and the state of probes and suspicions.
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
    /// Creates a detector for the member `local` whose table initially contains `initial_members`. Its random choices
    /// are determined by `seed`.
    pub fn new(
        settings: DetectorSettings,
        local: MemberUpdate,
        initial_members: Vec<MemberUpdate>,
        seed: u64,
        now: Millis,
    ) -> Self {
        let mut table = MemberTable::new(settings.table, local, now);
        for update in initial_members {
            table.apply(now, update);
        }
        let mut random = Pcg64Mcg::seed_from_u64(seed.rotate_left(29));
        // The first probe is at a random time in the interval, so that members started together do not probe in step.
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

    /// Joins the fleet through the members at these addresses, by a full exchange of tables with each. The local
    /// member's own address is skipped.
    pub fn join(&mut self, addresses: &[Arc<str>], outputs: &mut Vec<Output>) {
        for address in addresses {
            if *address == self.table.local().address {
                continue;
            }
            // The first part contains the local member, which is enough to join; the reply has the complete table.
            let Some(members) = self.table_parts().into_iter().next() else { continue };
            let message = Message::Sync { reply_requested: true, members };
            self.counters.messages_sent += 1;
            outputs.push(Output::SendToAddress { address: address.clone(), message });
        }
    }

    /// Leaves the fleet: marks the local member as left and sends that update to all live members.
    pub fn leave(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        let update = self.table.leave(now);
        self.updates.push(update.clone());
        let peers: Vec<Peer> = self.table.live_peers().map(Peer::of).collect();
        for peer in peers {
            self.send(peer, Message::Gossip { updates: vec![update.clone()] }, outputs);
        }
    }

    /// Returns the member table.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Returns the local health score, from 0 (healthy) to [`DetectorSettings::max_local_health`]. It rises whenever this
    /// member refutes an update and falls whenever one of its probes is answered.
    pub fn local_health(&self) -> u32 {
        self.local_health.score()
    }

    /// Returns the counters since the detector was created.
    pub fn counters(&self) -> DetectorCounters {
        self.counters
    }

    /// Handles an input; appends the resulting outputs to `outputs`.
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
        self.declare_expired_suspects_dead(now, outputs);
        if now >= self.next_sync_at && self.settings.sync_interval_factor > 0 {
            self.sync_with_random_member(now, outputs);
        }
        self.probing.expire_relayed(now, self.settings.probe_interval);
        self.table.remove_dead(now);
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
        let mut helpers: Vec<Peer> = self.table.live_peers().filter(is_helper).map(Peer::of).collect();
        helpers.sort_by_key(|helper| helper.id);
        shuffle(&mut helpers, &mut self.random);
        helpers.truncate(self.settings.indirect_probes);
        for helper in helpers {
            let updates = self.piggyback();
            self.send(helper, Message::PingRequest { sequence, target, updates }, outputs);
        }
    }

    /// Handles a probe that was not answered: starts a suspicion of the target, or confirms one.
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

    fn declare_expired_suspects_dead(&mut self, now: Millis, outputs: &mut Vec<Output>) {
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
        let peers: Vec<Peer> = self.table.live_peers().map(Peer::of).collect();
        if peers.is_empty() {
            return;
        }
        let peer = &peers[random_index(peers.len(), &mut self.random)];
        for (part, members) in self.table_parts().into_iter().enumerate() {
            let message = Message::Sync { reply_requested: part == 0, members };
            self.send(Peer { id: peer.id, address: peer.address.clone() }, message, outputs);
        }
    }

    /// Returns the table in parts of at most `max_sync_members` members each, with the local member first.
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
            self.local_health.decrease_score();
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
                // Confirmations are disseminated too, so that they shorten the suspicion timeout at other members.
                if self.suspicions.confirm(&update, self.settings.indirect_probes.max(1)) {
                    self.updates.push(update);
                }
            }
            ApplyResult::Refuted => {
                self.counters.refutations += 1;
                self.local_health.increase_score();
                let local = self.table.local().clone();
                outputs.push(Output::Changed(local.clone()));
                self.updates.push(local);
            }
            ApplyResult::TableFull => {}
        }
    }

    /// Returns updates to piggyback on a message to any member.
    fn piggyback(&mut self) -> Vec<MemberUpdate> {
        let members = self.table.live_count() as f64;
        let rounds = (members + 1.0).log10().ceil().max(1.0) as u32;
        let max_times_sent = self.settings.retransmit_factor * rounds;
        self.updates.next_batch(self.settings.max_piggybacked_updates, max_times_sent)
    }

    /// Returns updates to piggyback on a probe. If the target is suspected, the suspicion comes first, so that the target
    /// can refute it at once (Lifeguard's buddy system).
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

/// Returns a random interval, uniform between 0.5 and 1.5 times the mean.
fn jittered(mean: Millis, random: &mut Pcg64Mcg) -> Millis {
    (0.5 + uniform(random)) * mean
}
