//! What is believed of Consul's answers about one service: flaps delay a return and never a drain, a mass withdrawal is
//! confirmed by the catalogue, and of an instance that no answer vouches for, failed connections count.

use super::{MAX_INSTANCES, MembershipPolicy, Observation, Reason};
use crate::interface::{BackendId, BackendState, Millis};
use std::collections::{BTreeMap, BTreeSet};

/// A return that is held down.
#[derive(Debug, Clone, PartialEq)]
struct PendingReturn {
    /// When it is reported.
    at: Millis,
    observation: Observation,
}

/// What is known of an instance.
#[derive(Debug, Clone, PartialEq, Default)]
struct Member {
    /// As it was last reported; none where it is not on the list, and only remembered for its flaps.
    reported: Option<Observation>,
    /// How often it departed within the memory of flaps.
    flaps: u32,
    /// When it departed last.
    departed_at: Option<Millis>,
    /// It is ready again, and its return is held down.
    pending_return: Option<PendingReturn>,
    /// How often it was found unreachable since an answer last had it.
    unreachable_count: u32,
}

impl Member {
    fn ready(&self) -> bool {
        self.reported.as_ref().is_some_and(Observation::ready)
    }

    fn listed(&self) -> bool {
        self.reported.is_some() || self.pending_return.is_some()
    }

    fn flapped_recently(&self, now: Millis, flap_memory: Millis) -> bool {
        self.departed_at.is_some_and(|at| now - at <= flap_memory)
    }

    /// It is ready no longer.
    fn departs(&mut self, now: Millis, flap_memory: Millis) {
        self.flaps = if self.flapped_recently(now, flap_memory) { self.flaps + 1 } else { 1 };
        self.departed_at = Some(now);
    }
}

/// What follows from an answer.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Report these instances, which have changed.
    Report(Vec<Observation>),
    /// More are missing than is believed: the catalogue is to confirm that they are gone. Report what else has changed.
    Confirm(Vec<Observation>),
}

/// The instances of a service.
#[derive(Debug, Default)]
pub struct Members {
    policy: MembershipPolicy,
    instances: BTreeMap<BackendId, Member>,
    /// Those that the last answer lacks and that are kept until the catalogue confirms.
    missing: BTreeSet<BackendId>,
    /// The last query failed: no answer vouches for any instance.
    query_failed: bool,
    /// The operator has changed the query: what the next answer lacks is meant to go.
    query_changed: bool,
    /// When the last good answer came.
    answered_at: Option<Millis>,
    /// How often the catalogue was asked to confirm.
    confirm_round: u64,
    /// It has not answered yet.
    unconfirmed: bool,
}

impl Members {
    /// No instances yet.
    pub fn new(policy: MembershipPolicy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Goes by another policy from now on.
    pub fn set_policy(&mut self, policy: MembershipPolicy) {
        self.policy = policy;
    }

    /// The operator has changed the query: the next answer is believed even if it lacks many, unless it is empty.
    pub fn query_has_changed(&mut self) {
        self.query_changed = true;
    }

    /// Takes in an answer about health, which has all instances; of two with one id the first counts.
    pub fn health(&mut self, now: Millis, entries: Vec<Observation>) -> Step {
        (self.query_failed, self.answered_at) = (false, Some(now));
        let mut seen = BTreeSet::new();
        let mut told = Vec::new();
        for entry in entries.into_iter().take(MAX_INSTANCES) {
            if seen.insert(entry.id()) {
                told.extend(self.observe(now, entry));
            }
        }
        let listed = self.instances.iter().filter(|(_, member)| member.listed());
        self.missing = listed.map(|(id, _)| *id).filter(|id| !seen.contains(id)).collect();
        let were = self.instances.values().filter(|member| member.ready()).count();
        let lost = self.missing.iter().filter(|id| self.instances[id].ready()).count();
        // Nobody left is the most that can be lost, however few there were.
        let none = lost > 0 && lost == were;
        let many = lost >= self.policy.withdrawal_minimum
            && lost as f64 > self.policy.withdrawal_share * were as f64;
        self.unconfirmed = none || many && !self.query_changed;
        if self.unconfirmed {
            self.confirm_round += 1;
            return Step::Confirm(told);
        }
        self.query_changed = false;
        told.extend(self.withdraw(now, &BTreeSet::new()));
        Step::Report(told)
    }

    /// The round in which the catalogue is to confirm; none where nothing is unconfirmed.
    pub fn unconfirmed_round(&self) -> Option<u64> {
        self.unconfirmed.then_some(self.confirm_round)
    }

    /// Takes in the catalogue's answer to a question of this round: missing instances that it lacks are gone, whatever
    /// answers about health came since. Only an answer of the last round settles that the others stay.
    pub fn catalogue(&mut self, now: Millis, round: u64, held: &BTreeSet<BackendId>) -> Vec<Observation> {
        self.unconfirmed &= round != self.confirm_round;
        self.withdraw(now, held)
    }

    fn withdraw(&mut self, now: Millis, held: &BTreeSet<BackendId>) -> Vec<Observation> {
        let flap_memory = self.policy.flap_memory;
        let (kept, gone) = std::mem::take(&mut self.missing).into_iter().partition(|id| held.contains(id));
        self.missing = kept;
        let mut told = Vec::new();
        let gone: BTreeSet<BackendId> = gone;
        for id in gone {
            let Some(member) = self.instances.get_mut(&id) else { continue };
            if member.pending_return.take().is_some() || member.ready() {
                member.departs(now, flap_memory);
            }
            told.extend(
                member.reported.take().map(|was| was.with_state(BackendState::Gone, Reason::Withdrawn)),
            );
        }
        // Those that are gone are remembered for their flaps only, and not for ever.
        self.instances.retain(|_, member| member.listed() || member.flapped_recently(now, flap_memory));
        told
    }

    /// What is to be reported of an instance that an answer has.
    fn observe(&mut self, now: Millis, entry: Observation) -> Option<Observation> {
        let MembershipPolicy { hold_down, flap_memory, .. } = self.policy;
        if self.instances.len() >= 2 * MAX_INSTANCES && !self.instances.contains_key(&entry.id()) {
            return None;
        }
        let member = self.instances.entry(entry.id()).or_default();
        member.unreachable_count = 0;
        if !entry.ready() {
            // Never delayed. It also cancels a return that was held down: that was a flap too.
            if member.pending_return.take().is_some() || member.ready() {
                member.departs(now, flap_memory);
            }
        } else if !member.ready() && member.flaps > 1 && member.flapped_recently(now, flap_memory) {
            let ends = now + hold_down.after(member.flaps - 2);
            let at = member.pending_return.as_ref().map_or(ends, |pending| pending.at);
            let observation = entry.with_state(BackendState::Ready, Reason::Back);
            member.pending_return = Some(PendingReturn { at, observation });
            return None;
        } else {
            member.pending_return = None;
        }
        let changed = member.reported.as_ref().is_none_or(|told| told.entry != entry.entry);
        member.reported = Some(entry.clone());
        changed.then_some(entry)
    }

    /// A query failed: what is known stays, and instances are judged by their traffic too.
    pub fn query_has_failed(&mut self) {
        self.query_failed = true;
    }

    /// Connections to an instance fail. What is to be reported of it: nothing where an answer vouches for it, or where so
    /// many fail that this side may be cut off; otherwise that it drains, until a hold-down is over.
    pub fn unreachable(&mut self, now: Millis, id: BackendId) -> Option<Observation> {
        if !(self.query_failed || self.missing.contains(&id)) {
            return None;
        }
        let ready = self.instances.values().filter(|member| member.ready()).count();
        let out = self.instances.values().filter(|m| m.unreachable_count > 0 && !m.ready()).count();
        let most = ((ready + out) as f64 * self.policy.withdrawal_share).max(1.0);
        let hold_down = self.policy.hold_down;
        let member = self.instances.get_mut(&id).filter(|member| member.ready())?;
        if ready < 2 || (out + 1) as f64 > most {
            return None;
        }
        let was = member.reported.clone()?;
        let at = now + hold_down.after(member.unreachable_count);
        let observation = was.clone().with_state(BackendState::Ready, Reason::Back);
        member.pending_return = Some(PendingReturn { at, observation });
        member.unreachable_count += 1;
        member.reported = Some(was.with_state(BackendState::Draining, Reason::Unreachable));
        member.reported.clone()
    }

    /// The returns whose hold-down is over by now.
    pub fn due(&mut self, now: Millis) -> Vec<Observation> {
        let mut returned = Vec::new();
        for member in self.instances.values_mut() {
            if let Some(pending) = member.pending_return.take_if(|pending| pending.at <= now) {
                member.reported = Some(pending.observation.clone());
                returned.push(pending.observation);
            }
        }
        returned
    }

    /// When the next hold-down is over.
    pub fn next_due(&self) -> Option<Millis> {
        self.instances
            .values()
            .filter_map(|member| member.pending_return.as_ref().map(|pending| pending.at))
            .reduce(f64::min)
    }

    /// When the last good answer came.
    pub fn answered_at(&self) -> Option<Millis> {
        self.answered_at
    }

    /// How many instances are listed.
    pub fn len(&self) -> usize {
        self.instances.values().filter(|member| member.listed()).count()
    }

    /// Whether none is listed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
mod tests;
