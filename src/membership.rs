//! What of Consul's word is believed: flaps may delay a return and never a drain, and a mass withdrawal needs the
//! catalogue's word. Pure: it is told answers and the time, and says what is to be told on.

use crate::interface::{Millis, ServerId, ServerState};
use crate::net::discovery::ServiceEntry;
use std::collections::{BTreeMap, BTreeSet};

/// How it is done.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Manner {
    /// The hold of the second return within the memory, and the longest: it doubles with each.
    pub hold: [Millis; 2],
    /// Flaps are remembered for so long.
    pub memory: Millis,
    /// A list that lacks more than this part of those that were ready ...
    pub share: f64,
    /// ... and at least so many, needs the catalogue's word.
    pub least: usize,
}

impl Default for Manner {
    fn default() -> Self {
        Self { hold: [1000.0, 30_000.0], memory: 60_000.0, share: 1.0 / 3.0, least: 3 }
    }
}

#[derive(Debug, Clone, PartialEq)]
struct Member {
    /// As it was told on.
    entry: ServiceEntry,
    /// Its returns within the memory, and when it last left.
    flaps: u32,
    left: Millis,
    /// It is well again, and is told so then.
    due: Option<(Millis, ServiceEntry)>,
}

/// What follows an answer.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// These have changed, each by what it is now.
    Tell(Vec<ServiceEntry>),
    /// These are missing: the catalogue is to say whether they are gone. What else changed is told.
    Confirm(Vec<ServiceEntry>),
}

/// The instances of a service.
#[derive(Debug, Default)]
pub struct Members {
    manner: Manner,
    known: BTreeMap<ServerId, Member>,
    /// Those that health lacks and the catalogue has not been asked for.
    missing: BTreeSet<ServerId>,
}

fn ready(entry: &ServiceEntry) -> bool {
    entry.entry.state == ServerState::Ready
}

impl Members {
    /// None yet.
    pub fn new(manner: Manner) -> Self {
        Self { manner, ..Self::default() }
    }

    /// A health answer that holds all instances; of two with one id the first counts.
    pub fn health(&mut self, now: Millis, entries: Vec<ServiceEntry>) -> Step {
        let mut seen = BTreeSet::new();
        let mut told = Vec::new();
        for entry in entries {
            if seen.insert(entry.entry.server) {
                told.extend(self.hears(now, entry));
            }
        }
        self.missing = self.known.keys().filter(|id| !seen.contains(id)).copied().collect();
        let were = self.known.values().filter(|member| ready(&member.entry)).count();
        let lost = self.missing.iter().filter(|id| ready(&self.known[id].entry)).count();
        // Nobody left is the most that can be lost, however few there were.
        let none = lost > 0 && lost == were;
        if none || lost >= self.manner.least && lost as f64 > self.manner.share * were as f64 {
            return Step::Confirm(told);
        }
        told.extend(self.withdraw(&BTreeSet::new()));
        Step::Tell(told)
    }

    /// The catalogue's word on those that are missing: who is not held there is gone.
    pub fn catalogue(&mut self, held: &BTreeSet<ServerId>) -> Vec<ServiceEntry> {
        self.withdraw(held)
    }

    fn withdraw(&mut self, held: &BTreeSet<ServerId>) -> Vec<ServiceEntry> {
        let gone: Vec<ServerId> =
            std::mem::take(&mut self.missing).into_iter().filter(|id| !held.contains(id)).collect();
        let mut told = Vec::new();
        for id in gone {
            if let Some(mut member) = self.known.remove(&id) {
                member.entry.entry.state = ServerState::Gone;
                told.push(member.entry);
            }
        }
        told
    }

    /// What is to be told of an instance that an answer holds.
    fn hears(&mut self, now: Millis, entry: ServiceEntry) -> Option<ServiceEntry> {
        let Manner { hold, memory, .. } = self.manner;
        let Some(member) = self.known.get_mut(&entry.entry.server) else {
            let member = Member { entry: entry.clone(), flaps: 0, left: f64::NEG_INFINITY, due: None };
            self.known.insert(entry.entry.server, member);
            return Some(entry);
        };
        if !ready(&entry) {
            // Never delayed, and it takes a return back that was not told yet: that was a flap, too.
            let back = member.due.take().is_some();
            if back || ready(&member.entry) {
                member.flaps = if now - member.left > memory { 1 } else { member.flaps + 1 };
                member.left = now;
            }
        } else if !ready(&member.entry) && member.flaps > 1 {
            let doubled = hold[0] * f64::from(1u32 << (member.flaps - 2).min(16));
            let at = member.due.as_ref().map_or(now + doubled.min(hold[1]), |(at, _)| *at);
            member.due = Some((at, entry));
            return None;
        }
        let changed = member.entry != entry;
        member.entry = entry.clone();
        changed.then_some(entry)
    }

    /// The returns that are due by now.
    pub fn due(&mut self, now: Millis) -> Vec<ServiceEntry> {
        let mut told = Vec::new();
        for member in self.known.values_mut() {
            if let Some((_, entry)) = member.due.take_if(|(at, _)| *at <= now) {
                member.entry = entry.clone();
                told.push(entry);
            }
        }
        told
    }

    /// When the next return is due.
    pub fn next_due(&self) -> Option<Millis> {
        self.known.values().filter_map(|member| member.due.as_ref().map(|(at, _)| *at)).reduce(f64::min)
    }

    /// How many are known.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::{CellId, KindId, ServerEntry, ZoneId};
    use ServerState::{Draining, Gone, Ready};
    use quickcheck::{Gen, QuickCheck};

    fn entry(n: u64, state: ServerState, port: u16) -> ServiceEntry {
        let (zone, cell, kind) = (ZoneId(0), CellId(0), KindId(0));
        let entry =
            ServerEntry { server: ServerId(n), state, weight: 1.0, zone, cell, kind, last_start: None };
        ServiceEntry { entry, at: Some(([127, 0, 0, 1], port).into()) }
    }

    fn all(n: u64, state: ServerState) -> Vec<ServiceEntry> {
        (0..n).map(|i| entry(i, state, 1)).collect()
    }

    fn told(step: Step) -> Vec<(u64, ServerState)> {
        let (Step::Tell(entries) | Step::Confirm(entries)) = step;
        entries.iter().map(|e| (e.entry.server.0, e.entry.state)).collect()
    }

    #[test]
    fn a_flap_delays_returns_more_and_more_and_no_drain_ever() {
        let mut members = Members::new(Manner::default());
        members.health(0.0, all(1, Ready));
        let mut returns = Vec::new();
        // Health that flaps every second.
        for second in 0..20 {
            let now = 1000.0 * f64::from(second);
            let down = second % 2 == 0;
            let news = told(members.health(now, vec![entry(0, if down { Draining } else { Ready }, 1)]));
            let was_told = members.known[&ServerId(0)].entry.entry.state;
            assert!(!down || was_told == Draining, "told at once");
            returns.extend(news.iter().filter(|(_, state)| *state == Ready).map(|_| now));
            returns.extend(members.due(now).iter().map(|_| now));
        }
        // The first is told at once, then the hold is as long as it is well, and from then on it never is.
        assert!(returns.len() <= 2 && returns[0] == 1000.0, "{returns:?}");
        // Well for long: it comes back once the hold is over.
        assert!(told(members.health(20_000.0, all(1, Ready))).is_empty());
        let at = members.next_due().unwrap();
        assert!(at > 20_000.0 && at <= 52_000.0 && members.due(at - 1.0).is_empty());
        assert_eq!(members.due(at).len(), 1);
        // A minute later it is as one that never flapped.
        members.health(at + 61_000.0, all(1, Draining));
        assert_eq!(told(members.health(at + 61_500.0, all(1, Ready))), [(0, Ready)]);
    }

    #[test]
    fn a_mass_withdrawal_is_the_catalogues_to_say_and_an_explicit_critical_is_obeyed() {
        let mut members = Members::new(Manner::default());
        members.health(0.0, all(9, Ready));
        // Two of nine may go by health alone.
        assert_eq!(told(members.health(1.0, all(7, Ready))), [(7, Gone), (8, Gone)]);
        assert!(matches!(members.health(2.0, all(2, Ready)), Step::Confirm(told) if told.is_empty()));
        // Health lost four that the catalogue still holds; one is gone.
        let held = (0..6).map(ServerId).collect();
        assert_eq!(members.catalogue(&held).iter().map(|e| e.entry.server.0).collect::<Vec<_>>(), [6]);
        assert_eq!(members.len(), 6);
        // The same answer again asks again, and health that has them back changes nothing.
        assert!(matches!(members.health(3.0, all(2, Ready)), Step::Confirm(_)));
        assert!(told(members.health(4.0, all(6, Ready))).is_empty());
        assert!(members.catalogue(&BTreeSet::new()).is_empty(), "what was missing is not");
        assert_eq!(told(members.health(5.0, all(6, Draining))).len(), 6, "a partition, by Consul's own word");
    }

    #[test]
    fn new_addresses_new_ids_and_twice_the_same_id() {
        let mut members = Members::new(Manner::default());
        assert_eq!(told(members.health(0.0, vec![entry(1, Ready, 1), entry(1, Draining, 2)])), [(1, Ready)]);
        let Step::Tell(moved) = members.health(1.0, vec![entry(1, Ready, 2)]) else { panic!() };
        assert_eq!(moved[0].at, Some(([127, 0, 0, 1], 2).into()));
        assert_eq!(told(members.health(2.0, vec![entry(2, Ready, 2)])), [(2, Ready), (1, Gone)]);
    }

    /// Whatever is answered: nobody who was said to be critical, or whose absence was believed, is told as ready.
    #[test]
    fn nothing_is_ready_that_the_last_answer_says_is_not() {
        fn holds(answers: Vec<Vec<(u8, bool)>>) -> bool {
            let (mut members, mut now) = (Members::new(Manner::default()), 0.0);
            let mut believed: BTreeMap<u64, ServerState> = BTreeMap::new();
            answers.into_iter().all(|answer| {
                now += 700.0;
                let state = |well: bool| if well { Ready } else { Draining };
                let entries: Vec<_> =
                    answer.iter().map(|(n, well)| entry(u64::from(n % 12), state(*well), 1)).collect();
                let mut said = BTreeMap::new();
                for e in &entries {
                    said.entry(e.entry.server.0).or_insert(e.entry.state);
                }
                for (id, state) in told(members.health(now, entries)) {
                    believed.insert(id, state);
                }
                for e in members.due(now) {
                    believed.insert(e.entry.server.0, e.entry.state);
                }
                said.iter().all(|(id, state)| *state == Ready || believed.get(id) != Some(&Ready))
            })
        }
        let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(60, 11)).tests(300);
        check.quickcheck(holds as fn(Vec<Vec<(u8, bool)>>) -> bool);
    }
}
