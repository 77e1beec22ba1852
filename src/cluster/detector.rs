//! The failure detector: one member is probed in each round, directly and then through others.

use super::packet::{Body, Claim, State};
use super::view::Source;
use super::{Action, Cluster, MAX_HEALTH_SCORE};
use crate::interface::Millis;
use std::net::SocketAddr;

/// The number of other members asked to probe a member that does not answer directly.
const INDIRECT_PROBES: usize = 3;
/// The view is compared with that of a random member once in this number of rounds.
const SYNC_ROUNDS: u32 = 20;
/// A dead member is pinged once in this number of rounds, so that the end of a partition is noticed.
const RECONNECT_ROUNDS: u32 = 4;
/// A seed is asked again once in this number of rounds while too few members have answered.
const REJOIN_ROUNDS: u32 = 4;
/// The number of answers needed after a stall before the view counts as known again.
const REJOIN_ACKS: usize = 3;
/// The amount that a stall adds to the health score.
const STALL_PENALTY: u32 = 2;
/// After a stall, suspicions are extended by its length, up to this number of suspicion timeouts.
const MAX_EXTENSION: f64 = 10.0;
/// The highest factor by which a high health score lengthens rounds and the wait for a direct answer.
const MAX_SLOWDOWN: f64 = 3.0;

/// The probe of the current round.
#[derive(Debug, Clone)]
pub(super) struct Probe {
    /// The name of the member that is probed.
    target: String,
    /// The sequence number of the ping, which the answer repeats.
    seq: u32,
    /// Whether the member has answered.
    answered: bool,
    /// When other members are asked to probe it, in milliseconds.
    indirect_at: Millis,
    /// Whether other members were asked.
    indirect_sent: bool,
    /// The number of those members that have got no answer from it either.
    nacks: u32,
}

impl Probe {
    fn awaits_indirect(&self) -> bool {
        !self.answered && !self.indirect_sent
    }
}

impl Cluster {
    /// Returns when `tick` has to be called next, in milliseconds.
    pub fn due(&self) -> Millis {
        let indirect = self.probe.iter().filter(|probe| probe.awaits_indirect());
        let indirect = indirect.map(|probe| probe.indirect_at);
        let suspicions = self.members.not_alive().filter_map(|member| member.suspicion);
        let suspicions = suspicions.map(|suspicion| suspicion.expires_at);
        indirect.chain(suspicions).chain(self.nacks_due()).fold(self.round_at, f64::min)
    }

    /// Does what is due now: probes members, ends suspicions and answers ping requests.
    pub fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.detect_stall(now, actions);
        if self.left {
            self.round_at = now + self.timing.probe_interval;
            return;
        }
        self.expire_suspicions(now, actions);
        self.probe_indirectly(now, actions);
        self.send_nacks(now, actions);
        if now >= self.round_at {
            self.end_round(now, actions);
            self.begin_round(now, actions);
        }
    }

    /// Detects that this process was stalled, by how late it runs. Must be called before anything else is
    /// done with `now`.
    pub fn detect_stall(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let gap = now - self.last_run;
        let late = now - self.due().max(self.last_run);
        self.last_run = self.last_run.max(now);
        if late <= self.timing.stall_threshold {
            return;
        }
        // Answers that are missing because of the stall say nothing about the other members.
        self.probe = None;
        self.relays.clear();
        self.round_at = now;
        self.worsen_health(STALL_PENALTY);
        let timeout = self.timing.suspicion_timeout;
        let extension = gap.min(MAX_EXTENSION * timeout).max(timeout);
        self.members.extend_suspicions(now + extension);
        self.acks_needed = self.members.live().count().min(REJOIN_ACKS);
        actions.push(Action::Stalled(gap));
        self.request_view(actions);
    }

    /// Asks one random member for its view, and pings some others.
    fn request_view(&mut self, actions: &mut Vec<Action>) {
        let addresses = self.shuffled_live_addresses();
        for (i, address) in addresses.into_iter().take(2 * REJOIN_ACKS).enumerate() {
            let seq = self.next_seq();
            let body = if i == 0 { Body::Join(0) } else { Body::Ping(seq) };
            self.send(address, body, actions);
        }
    }

    /// Asks other members to probe the target of this round once its direct answer is late.
    fn probe_indirectly(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let late = |probe: &&mut Probe| probe.awaits_indirect() && now >= probe.indirect_at;
        let Some(probe) = self.probe.as_mut().filter(late) else { return };
        probe.indirect_sent = true;
        let (target, seq) = (probe.target.clone(), probe.seq);
        let Some(address) = self.members.get(&target).map(|member| member.identity.address) else { return };
        let others = self.members.alive().filter(|member| member.identity.name != target);
        let mut helpers: Vec<SocketAddr> = others.map(|member| member.identity.address).collect();
        self.rng.shuffle(&mut helpers);
        for helper in helpers.into_iter().take(INDIRECT_PROBES) {
            self.send(helper, Body::PingRequest(seq, address), actions);
        }
        self.send(address, Body::Ping(seq), actions);
    }

    /// Handles the answer to a probe.
    pub(super) fn receive_ack(&mut self, seq: u32, actions: &mut Vec<Action>) {
        self.relay_ack(seq, actions);
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == seq && !probe.answered) {
            probe.answered = true;
            if let Some(member) = self.members.get_mut(&probe.target) {
                member.missed_probe = false;
            }
            self.health_score = self.health_score.saturating_sub(1);
        }
        self.acks_needed = self.acks_needed.saturating_sub(1);
    }

    /// Handles the report of a helper that the target has not answered it in time.
    pub(super) fn receive_nack(&mut self, seq: u32) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == seq) {
            probe.nacks += 1;
        }
    }

    fn end_round(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.expire_relays(now);
        if let Some(probe) = self.probe.take().filter(|probe| !probe.answered) {
            self.fail_probe(now, probe, actions);
        }
        self.ping_confirmed_suspects(actions);
        self.members.forget(now, self.timing.retention, 2 * usize::from(self.fleet.size));
    }

    /// Handles a probe without an answer: the target is probed once more, or is suspected.
    fn fail_probe(&mut self, now: Millis, probe: Probe, actions: &mut Vec<Action>) {
        let healthy = self.health_score == 0;
        if probe.nacks == 0 {
            // The helpers have not answered either, so the fault may be on this side.
            self.worsen_health(1);
        }
        let Some(member) = self.members.get_mut(&probe.target) else { return };
        if !member.state.is_live() {
            return;
        }
        // A member is probed once more first if other members do answer this instance. Otherwise a random
        // loss of datagrams would become a suspicion that spreads to the whole fleet.
        let may_retry = (probe.nacks > 0 || healthy) && member.state == State::Alive;
        if may_retry && !member.missed_probe {
            member.missed_probe = true;
            self.probe_order.push_front(probe.target);
            return;
        }
        let claim = Claim { state: State::Suspect, ..member.claim() };
        self.apply_claim(now, claim, Source::Local, actions);
    }

    /// Pings each suspect that this instance itself has probed, so that it receives the claim and can refute
    /// it.
    fn ping_confirmed_suspects(&mut self, actions: &mut Vec<Action>) {
        let suspects = self
            .members
            .not_alive()
            .filter(|member| member.suspicion.is_some_and(|suspicion| suspicion.confirmed));
        let addresses: Vec<SocketAddr> = suspects.map(|member| member.identity.address).collect();
        for address in addresses {
            self.ping(address, actions);
        }
    }

    fn begin_round(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let slowdown = f64::from(1 + self.health_score).min(MAX_SLOWDOWN);
        self.round_at = now + self.timing.probe_interval * slowdown;
        self.rounds = self.rounds.wrapping_add(1);
        self.request_sync(actions);
        if self.rounds.is_multiple_of(RECONNECT_ROUNDS) {
            self.ping_dead_member(actions);
        }
        let Some(target) = self.next_probe_target() else { return };
        let Some(address) = self.members.get(&target).map(|member| member.identity.address) else { return };
        let seq = self.next_seq();
        let indirect_at = now + self.timing.ack_timeout * slowdown;
        self.probe =
            Some(Probe { target, seq, answered: false, indirect_at, indirect_sent: false, nacks: 0 });
        self.send(address, Body::Ping(seq), actions);
    }

    /// Asks a seed for its view until a member has sent one, or while answers are still needed after a stall.
    /// Otherwise compares views with a random member once in `SYNC_ROUNDS` rounds.
    fn request_sync(&mut self, actions: &mut Vec<Action>) {
        let alone = self.members.live().next().is_none();
        let rejoin = self.acks_needed > 0 && self.rounds % REJOIN_ROUNDS == 1;
        if alone || !self.synced || rejoin {
            if let Some(seed) = self.rng.choice(&self.seeds).copied() {
                self.send(seed, Body::Join(0), actions);
            }
        } else if self.rounds.is_multiple_of(SYNC_ROUNDS) {
            let alive: Vec<SocketAddr> = self.members.alive().map(|member| member.identity.address).collect();
            if let Some(address) = self.rng.choice(&alive).copied() {
                let checksums = self.bucket_checksums();
                self.send(address, Body::Compare(checksums), actions);
            }
        }
    }

    fn ping_dead_member(&mut self, actions: &mut Vec<Action>) {
        let dead = self.members.not_alive().filter(|member| member.state == State::Dead);
        let addresses: Vec<SocketAddr> = dead.map(|member| member.identity.address).collect();
        if let Some(address) = self.rng.choice(&addresses).copied() {
            self.ping(address, actions);
        }
    }

    /// Returns the name of the next live member in the probe order, which is shuffled again after each pass.
    fn next_probe_target(&mut self) -> Option<String> {
        while let Some(name) = self.probe_order.pop_front() {
            if self.members.is_live(&name) {
                return Some(name);
            }
        }
        let mut names: Vec<String> = self.members.live().map(|member| member.identity.name.clone()).collect();
        self.rng.shuffle(&mut names);
        self.probe_order = names.into();
        self.probe_order.pop_front()
    }

    /// Pings a member outside the rounds; a missing answer has no consequences.
    fn ping(&mut self, address: SocketAddr, actions: &mut Vec<Action>) {
        let seq = self.next_seq();
        self.send(address, Body::Ping(seq), actions);
    }

    /// Returns a new sequence number.
    pub(super) fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    /// Raises the health score, so that this instance is slower to suspect others.
    pub(super) fn worsen_health(&mut self, by: u32) {
        self.health_score = (self.health_score + by).min(MAX_HEALTH_SCORE);
    }
}
