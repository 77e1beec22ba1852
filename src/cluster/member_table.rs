//! The table of the other members of the fleet, and its indexes.

use super::packet::{Claim, Identity, State};
use super::suspicion::Suspicion;
use crate::interface::Millis;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Another member of the fleet.
#[derive(Debug, Clone)]
pub(super) struct Member {
    /// The member's process.
    pub(super) identity: Identity,
    /// The member's incarnation, which it raises to refute a suspicion.
    pub(super) incarnation: u32,
    /// The member's state.
    pub(super) state: State,
    /// When the member entered this state, in milliseconds.
    pub(super) since: Millis,
    /// The suspicion, if the member is suspect.
    pub(super) suspicion: Option<Suspicion>,
    /// The number of further datagrams that carry the claim about it.
    pub(super) retransmits: u32,
    /// Whether the last probe got no answer, neither directly nor through other members. Another such probe
    /// makes the member suspect.
    pub(super) missed_probe: bool,
}

impl Member {
    /// Returns the claim that gossips the member's state.
    pub(super) fn claim(&self) -> Claim {
        Claim { member: self.identity.clone(), incarnation: self.incarnation, state: self.state }
    }
}

/// All other known members, by name.
#[derive(Debug, Clone, Default)]
pub(super) struct MemberTable {
    members: BTreeMap<String, Member>,
    /// The name of the live member with each number.
    numbers: BTreeMap<u16, String>,
    /// The names of the members that are suspect, dead or left.
    not_alive: BTreeSet<String>,
    /// The names of the members whose claims are still to be sent, the least sent first.
    gossip_queue: BTreeSet<(Reverse<u32>, String)>,
}

impl MemberTable {
    /// Returns the number of known members, in any state.
    pub(super) fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether no other member is known.
    pub(super) fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the member of this name.
    pub(super) fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Returns the member of this name, for changes that no index depends on.
    pub(super) fn get_mut(&mut self, name: &str) -> Option<&mut Member> {
        self.members.get_mut(name)
    }

    /// Iterates over all members, ordered by name.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Iterates over the members that are alive or suspect, ordered by name.
    pub(super) fn live(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| member.state.is_live())
    }

    /// Iterates over the members that are alive and not suspect, ordered by name.
    pub(super) fn alive(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| member.state == State::Alive)
    }

    /// Iterates over the members that are suspect, dead or left, ordered by name.
    pub(super) fn not_alive(&self) -> impl Iterator<Item = &Member> {
        self.not_alive.iter().filter_map(|name| self.members.get(name))
    }

    /// Returns whether the member of this name is live.
    pub(super) fn is_live(&self, name: &str) -> bool {
        self.get(name).is_some_and(|member| member.state.is_live())
    }

    /// Returns the name of the live member with this number.
    pub(super) fn holder_of(&self, number: u16) -> Option<&str> {
        self.numbers.get(&number).map(String::as_str)
    }

    /// Adds a member that was not known before.
    pub(super) fn add(&mut self, now: Millis, claim: Claim, suspicion: Option<Suspicion>) {
        let name = claim.member.name.clone();
        let member = Member {
            identity: claim.member,
            incarnation: claim.incarnation,
            state: claim.state,
            since: now,
            suspicion,
            retransmits: 0,
            missed_probe: false,
        };
        self.members.insert(name.clone(), member);
        self.update_indexes(&name);
    }

    /// Updates a member from a newer claim. Returns its previous state, or `None` if it is not known.
    pub(super) fn update(
        &mut self,
        now: Millis,
        claim: Claim,
        suspicion: Option<Suspicion>,
    ) -> Option<State> {
        let name = claim.member.name.clone();
        let member = self.members.get_mut(&name)?;
        let previous_number = member.identity.number;
        let previous_state = member.state;
        if previous_state != claim.state {
            member.since = now;
        }
        member.identity = claim.member;
        member.incarnation = claim.incarnation;
        member.state = claim.state;
        member.suspicion = suspicion;
        if self.holder_of(previous_number) == Some(&name) {
            self.numbers.remove(&previous_number);
        }
        self.update_indexes(&name);
        Some(previous_state)
    }

    /// Updates the indexes after a change of the member of this name.
    fn update_indexes(&mut self, name: &str) {
        let Some(member) = self.members.get(name) else { return };
        if member.state.is_live() {
            self.numbers.insert(member.identity.number, name.to_owned());
        }
        if member.state == State::Alive {
            self.not_alive.remove(name);
        } else {
            self.not_alive.insert(name.to_owned());
        }
    }

    /// Sets the number of further datagrams that carry the claim about a member.
    pub(super) fn set_retransmits(&mut self, name: &str, retransmits: u32) {
        let Some(member) = self.members.get_mut(name) else { return };
        let before = std::mem::replace(&mut member.retransmits, retransmits);
        self.gossip_queue.remove(&(Reverse(before), name.to_owned()));
        if retransmits > 0 {
            self.gossip_queue.insert((Reverse(retransmits), name.to_owned()));
        }
    }

    /// Returns up to `limit` names of members whose claims are still to be sent, the least sent first.
    pub(super) fn due_for_gossip(&self, limit: usize) -> Vec<String> {
        self.gossip_queue.iter().take(limit).map(|(_, name)| name.clone()).collect()
    }

    /// Moves the expiry of every suspicion to this time, in milliseconds.
    pub(super) fn extend_suspicions(&mut self, until: Millis) {
        for suspicion in self.members.values_mut().filter_map(|member| member.suspicion.as_mut()) {
            suspicion.expires_at = until;
        }
    }

    /// Removes members that have been dead or left for longer than `retention`, and the oldest of these while
    /// more than `capacity` members are known.
    pub(super) fn forget(&mut self, now: Millis, retention: Millis, capacity: usize) {
        let before = self.members.len();
        self.members.retain(|_, member| member.state.is_live() || now - member.since < retention);
        while self.members.len() > capacity {
            let gone = self.members.values().filter(|member| !member.state.is_live());
            let oldest = gone.min_by(|a, b| a.since.total_cmp(&b.since));
            let Some(name) = oldest.map(|member| member.identity.name.clone()) else { break };
            self.members.remove(&name);
        }
        if self.members.len() < before {
            let members = &self.members;
            self.not_alive.retain(|name| members.contains_key(name));
            self.gossip_queue.retain(|(_, name)| members.contains_key(name));
        }
    }
}
