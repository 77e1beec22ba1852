//! The view of the fleet: which members are known, and how claims change them.

use super::member_table::Member;
use super::packet::{Claim, Identity, State};
use super::{Action, Cluster};
use crate::interface::Millis;

/// The source of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Source {
    /// A probe by this instance.
    Local,
    /// Gossip, which this instance passes on.
    Gossip,
    /// An answer to this instance's request for a view; the other members know these claims already.
    Reply,
}

/// The version of what is known of a member, ordered by its start, then by its incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Version {
    /// When the process started, in Unix milliseconds.
    pub started_at: u64,
    /// The member's incarnation.
    pub incarnation: u32,
}

impl Cluster {
    /// Iterates over the other known members, each with its state and when it entered that state, in
    /// milliseconds.
    pub fn members(&self) -> impl Iterator<Item = (&Identity, State, Millis)> {
        self.members.iter().map(|member| (&member.identity, member.state, member.since))
    }

    /// Returns the version of what is known of the member of this name, or `None` if it is not known.
    pub fn version(&self, name: &str) -> Option<Version> {
        let version = |member: &Member| Version {
            started_at: member.identity.started_at,
            incarnation: member.incarnation,
        };
        self.members.get(name).map(version)
    }

    /// Returns whether the ingress of each number is live, this instance included. Returns `None` while the
    /// view is not reliable: after the start and after a stall, as long as other members are known but too
    /// few of them have answered.
    pub fn live_ingresses(&self) -> Option<Vec<bool>> {
        if self.acks_needed > 0 && !self.members.is_empty() {
            return None;
        }
        let mut live = vec![false; usize::from(self.fleet.size)];
        let others = self.members.live().map(|member| member.identity.number);
        for number in others.chain([self.local.number]) {
            if let Some(is_live) = live.get_mut(usize::from(number)) {
                *is_live = true;
            }
        }
        Some(live)
    }

    /// Applies a claim to the view, unless something newer is known.
    pub(super) fn apply_claim(
        &mut self,
        now: Millis,
        claim: Claim,
        source: Source,
        actions: &mut Vec<Action>,
    ) {
        if claim.member.name == self.local.name {
            self.answer_claim_about_self(&claim);
        } else if !self.is_acceptable(&claim) {
            self.counts.rejected += 1;
        } else if self.members.get(&claim.member.name).is_some() {
            self.update_member(now, claim, source, actions);
        } else if claim.state.is_live() {
            self.add_member(now, claim, source, actions);
        }
    }

    /// Handles a claim about this instance: refutes that it is not alive, or that a later process has its
    /// name.
    fn answer_claim_about_self(&mut self, claim: &Claim) {
        if self.left || claim.member.address != self.local.address {
            return;
        }
        if claim.member.started_at > self.local.started_at {
            // The clock of the previous process was ahead. This process still has to count as the later
            // start.
            self.local.started_at = claim.member.started_at.saturating_add(1);
            self.own_retransmits = self.retransmit_limit();
            return;
        }
        let current =
            claim.member.started_at == self.local.started_at && claim.incarnation >= self.incarnation;
        if current && claim.state != State::Alive {
            self.incarnation = claim.incarnation.saturating_add(1);
            self.own_retransmits = self.retransmit_limit();
            self.worsen_health(1);
            self.counts.refuted += 1;
        }
    }

    /// Returns whether the claimed member's number is in the fleet and no other live member has it.
    fn is_acceptable(&self, claim: &Claim) -> bool {
        let number = claim.member.number;
        if number >= self.fleet.size || number == self.local.number {
            return false;
        }
        let held_by_other = self.members.holder_of(number).is_some_and(|name| name != claim.member.name);
        !(claim.state.is_live() && held_by_other)
    }

    fn add_member(&mut self, now: Millis, claim: Claim, source: Source, actions: &mut Vec<Action>) {
        let retransmits = self.retransmits_of(&claim, source);
        let suspicion = (claim.state == State::Suspect).then(|| self.new_suspicion(now, source));
        let name = claim.member.name.clone();
        actions.push(Action::StateChanged(claim.member.clone(), None, claim.state));
        let place = self.rng.usize(..=self.probe_order.len());
        self.probe_order.insert(place, name.clone());
        self.members.add(now, claim, suspicion);
        self.members.set_retransmits(&name, retransmits);
    }

    fn update_member(&mut self, now: Millis, claim: Claim, source: Source, actions: &mut Vec<Action>) {
        let retransmits = self.retransmits_of(&claim, source);
        let suspicion = self.new_suspicion(now, source);
        let Some(member) = self.members.get_mut(&claim.member.name) else { return };
        let same_process = member.identity.address == claim.member.address
            || member.identity.started_at == claim.member.started_at;
        if member.state.is_live() && !same_process {
            // Two processes use one name; the known one keeps it.
            self.counts.rejected += 1;
            return;
        }
        if !claim.overrides(member.identity.started_at, member.incarnation, member.state) {
            let both_suspect = member.state == State::Suspect && claim.state == State::Suspect;
            if both_suspect && source == Source::Local {
                let confirmed = member.suspicion.filter(|suspicion| suspicion.confirmed);
                member.suspicion = confirmed.or(Some(suspicion));
            }
            return;
        }
        let (identity, state) = (claim.member.clone(), claim.state);
        let suspicion = (state == State::Suspect).then_some(suspicion);
        let before = self.members.update(now, claim, suspicion);
        if before != Some(state) {
            actions.push(Action::StateChanged(identity.clone(), before, state));
        }
        self.members.set_retransmits(&identity.name, retransmits);
    }

    /// Returns the number of datagrams that pass a claim on: none if the other members know it already.
    fn retransmits_of(&self, claim: &Claim, source: Source) -> u32 {
        if source == Source::Reply && claim.state == State::Alive { 0 } else { self.retransmit_limit() }
    }
}
