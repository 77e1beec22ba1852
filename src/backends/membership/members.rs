//! Evaluates Consul's answers about one service. Flaps delay the return of an instance but never its drain. A
//! mass withdrawal is accepted only after the catalogue confirms it. Connection failures count against an
//! instance only while no current answer says that it is ready.

use super::{MAX_INSTANCES, MembershipPolicy, Observation, Reason};
use crate::interface::{BackendId, BackendState, Millis};
use std::collections::{BTreeMap, BTreeSet};

/// The return of an instance, delayed by a hold-down.
#[derive(Debug, Clone, PartialEq)]
struct PendingReturn {
    /// When the hold-down ends and the return is reported, in milliseconds.
    due_at: Millis,
    /// What is reported then.
    observation: Observation,
}

/// An instance of the service.
#[derive(Debug, Clone, PartialEq, Default)]
struct Member {
    /// What was last reported; `None` if the instance is not listed and only its flaps are remembered.
    reported: Option<Observation>,
    /// How often it has stopped being ready, each time within the flap memory of the time before.
    flaps: u32,
    /// When it last stopped being ready.
    departed_at: Option<Millis>,
    /// Its return, if it is ready again and held down.
    pending_return: Option<PendingReturn>,
    /// How often it was marked unreachable since an answer last listed it.
    unreachable_count: u32,
}

impl Member {
    fn is_ready(&self) -> bool {
        self.reported.as_ref().is_some_and(Observation::is_ready)
    }

    fn is_listed(&self) -> bool {
        self.reported.is_some() || self.pending_return.is_some()
    }

    fn flapped_recently(&self, now: Millis, flap_memory: Millis) -> bool {
        self.departed_at.is_some_and(|at| now - at <= flap_memory)
    }

    /// Records that it is no longer ready.
    fn record_departure(&mut self, now: Millis, flap_memory: Millis) {
        self.flaps = if self.flapped_recently(now, flap_memory) { self.flaps + 1 } else { 1 };
        self.departed_at = Some(now);
    }
}

/// The result of evaluating an answer from the health endpoint.
#[derive(Debug, Clone, PartialEq)]
pub enum HealthUpdate {
    /// All changes are accepted; these are the changed instances.
    Complete(Vec<Observation>),
    /// Too many instances are missing: the catalogue must confirm that they are gone. These are the other
    /// changes, which are accepted.
    NeedsConfirmation(Vec<Observation>),
}

/// The instances of one service.
#[derive(Debug, Default)]
pub struct Members {
    policy: MembershipPolicy,
    instances: BTreeMap<BackendId, Member>,
    /// Instances that the last answer lacks, kept until the catalogue confirms that they are gone.
    missing: BTreeSet<BackendId>,
    /// The last query failed, so no current answer says which instances are ready.
    query_failed: bool,
    /// An operator has changed the query, so instances missing from the next answer are withdrawn on purpose.
    query_changed: bool,
    /// When the last successful answer arrived, in milliseconds.
    answered_at: Option<Millis>,
    /// How many confirmations were requested from the catalogue; identifies the last one.
    confirm_round: u64,
    /// The last requested confirmation has not arrived yet.
    unconfirmed: bool,
}

impl Members {
    /// Creates an empty set of instances.
    pub fn new(policy: MembershipPolicy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Replaces the policy, for later answers.
    pub fn set_policy(&mut self, policy: MembershipPolicy) {
        self.policy = policy;
    }

    /// Notes that an operator has changed the query: the next answer is accepted even if many instances are
    /// missing, unless no ready instance would be left.
    pub fn set_query_changed(&mut self) {
        self.query_changed = true;
    }

    /// Evaluates an answer from the health endpoint, which lists all instances; of entries with the same id
    /// the first counts.
    pub fn apply_health(&mut self, now: Millis, entries: Vec<Observation>) -> HealthUpdate {
        (self.query_failed, self.answered_at) = (false, Some(now));
        let mut seen = BTreeSet::new();
        let mut changes = Vec::new();
        for entry in entries.into_iter().take(MAX_INSTANCES) {
            if seen.insert(entry.id()) {
                changes.extend(self.observe(now, entry));
            }
        }
        let listed = self.instances.iter().filter(|(_, member)| member.is_listed());
        self.missing = listed.map(|(id, _)| *id).filter(|id| !seen.contains(id)).collect();
        let ready_before = self.instances.values().filter(|member| member.is_ready()).count();
        let lost = self.missing.iter().filter(|id| self.instances[id].is_ready()).count();
        // The loss of all ready instances is confirmed however few there were.
        let lost_all = lost > 0 && lost == ready_before;
        let lost_many = lost >= self.policy.withdrawal_minimum
            && lost as f64 > self.policy.withdrawal_share * ready_before as f64;
        self.unconfirmed = lost_all || lost_many && !self.query_changed;
        if self.unconfirmed {
            self.confirm_round += 1;
            return HealthUpdate::NeedsConfirmation(changes);
        }
        self.query_changed = false;
        changes.extend(self.withdraw(now, &BTreeSet::new()));
        HealthUpdate::Complete(changes)
    }

    /// Returns the round of the confirmation that is needed from the catalogue, or `None` if none is.
    pub fn unconfirmed_round(&self) -> Option<u64> {
        self.unconfirmed.then_some(self.confirm_round)
    }

    /// Applies the catalogue's answer to a query of this round: withdraws the missing instances that it lacks
    /// too, whatever the health endpoint has answered since, and returns them. Only an answer to the last
    /// round completes the confirmation. `catalogued` has the instances in the catalogue.
    pub fn apply_catalogue(
        &mut self,
        now: Millis,
        round: u64,
        catalogued: &BTreeSet<BackendId>,
    ) -> Vec<Observation> {
        self.unconfirmed &= round != self.confirm_round;
        self.withdraw(now, catalogued)
    }

    /// Withdraws the missing instances, apart from those to be kept; returns what changes by it.
    fn withdraw(&mut self, now: Millis, keep: &BTreeSet<BackendId>) -> Vec<Observation> {
        let flap_memory = self.policy.flap_memory;
        let (kept, gone) = std::mem::take(&mut self.missing).into_iter().partition(|id| keep.contains(id));
        self.missing = kept;
        let mut changes = Vec::new();
        let gone: BTreeSet<BackendId> = gone;
        for id in gone {
            let Some(member) = self.instances.get_mut(&id) else { continue };
            if member.pending_return.take().is_some() || member.is_ready() {
                member.record_departure(now, flap_memory);
            }
            let last = member.reported.take();
            changes.extend(last.map(|last| last.with_state(BackendState::Gone, Reason::Withdrawn)));
        }
        // Withdrawn instances are kept only as long as their flaps are remembered.
        self.instances.retain(|_, member| member.is_listed() || member.flapped_recently(now, flap_memory));
        changes
    }

    /// Evaluates one instance of an answer. Returns what is to be reported of it, or `None` if nothing has
    /// changed or its return is held down.
    fn observe(&mut self, now: Millis, entry: Observation) -> Option<Observation> {
        let MembershipPolicy { hold_down, flap_memory, .. } = self.policy;
        if self.instances.len() >= 2 * MAX_INSTANCES && !self.instances.contains_key(&entry.id()) {
            return None;
        }
        let member = self.instances.entry(entry.id()).or_default();
        member.unreachable_count = 0;
        if !entry.is_ready() {
            // A drain is never delayed. It also cancels a return that is held down, and counts as another
            // flap.
            if member.pending_return.take().is_some() || member.is_ready() {
                member.record_departure(now, flap_memory);
            }
        } else if !member.is_ready() && member.flaps > 1 && member.flapped_recently(now, flap_memory) {
            let hold_down_end = now + hold_down.after_doublings(member.flaps - 2);
            let due_at = member.pending_return.as_ref().map_or(hold_down_end, |pending| pending.due_at);
            let observation = entry.with_state(BackendState::Ready, Reason::HoldDownEnded);
            member.pending_return = Some(PendingReturn { due_at, observation });
            return None;
        } else {
            member.pending_return = None;
        }
        let changed = member.reported.as_ref().is_none_or(|last| last.entry != entry.entry);
        member.reported = Some(entry.clone());
        changed.then_some(entry)
    }

    /// Notes that a query failed: the instances stay as they are, but connection failures count against them
    /// until the next answer.
    pub fn set_query_failed(&mut self) {
        self.query_failed = true;
    }

    /// Handles connection failures to an instance. Marks it as draining until a hold-down ends, and returns
    /// that. Returns `None`, with no change, if a current answer says that the instance is ready, if it is
    /// the last ready one, or if so many instances are unreachable that this ingress may be cut off itself.
    pub fn mark_unreachable(&mut self, now: Millis, id: BackendId) -> Option<Observation> {
        if !(self.query_failed || self.missing.contains(&id)) {
            return None;
        }
        let ready = self.instances.values().filter(|member| member.is_ready()).count();
        let unreachable = self
            .instances
            .values()
            .filter(|member| member.unreachable_count > 0 && !member.is_ready())
            .count();
        let max_unreachable = ((ready + unreachable) as f64 * self.policy.withdrawal_share).max(1.0);
        let hold_down = self.policy.hold_down;
        let member = self.instances.get_mut(&id).filter(|member| member.is_ready())?;
        if ready < 2 || (unreachable + 1) as f64 > max_unreachable {
            return None;
        }
        let last = member.reported.clone()?;
        let due_at = now + hold_down.after_doublings(member.unreachable_count);
        let observation = last.clone().with_state(BackendState::Ready, Reason::HoldDownEnded);
        member.pending_return = Some(PendingReturn { due_at, observation });
        member.unreachable_count += 1;
        member.reported = Some(last.with_state(BackendState::Draining, Reason::Unreachable));
        member.reported.clone()
    }

    /// Ends the hold-downs that are due; returns the instances that become ready by it.
    pub fn end_hold_downs(&mut self, now: Millis) -> Vec<Observation> {
        let mut returned = Vec::new();
        for member in self.instances.values_mut() {
            if let Some(pending) = member.pending_return.take_if(|pending| pending.due_at <= now) {
                member.reported = Some(pending.observation.clone());
                returned.push(pending.observation);
            }
        }
        returned
    }

    /// Returns when the next hold-down ends, in milliseconds, or `None` if no instance is held down.
    pub fn next_hold_down_end(&self) -> Option<Millis> {
        self.instances
            .values()
            .filter_map(|member| member.pending_return.as_ref().map(|pending| pending.due_at))
            .reduce(f64::min)
    }

    /// Returns when the last successful answer arrived, in milliseconds, or `None` if there was none.
    pub fn answered_at(&self) -> Option<Millis> {
        self.answered_at
    }

    /// Returns the number of listed instances, those held down included.
    pub fn len(&self) -> usize {
        self.instances.values().filter(|member| member.is_listed()).count()
    }

    /// Returns whether no instance is listed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
mod tests;
