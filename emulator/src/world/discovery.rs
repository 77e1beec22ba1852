//! Discovery: what ingresses are told of backends, and what of it they believe.

use super::event::What;
use super::ingresses::Told;
use super::{CATALOGUE, EPOCH, World, name};
use crate::script::DiscoverySource;
use std::collections::BTreeSet;
use weldhub::Event;
use weldhub::entries::{BackendList, ServiceEntry, backend_id};
use weldhub::interface::{BackendEntry, BackendId, BackendState, CellId, KindId, ListKind, ZoneId};
use weldhub::membership::members::Step;
use weldhub::membership::{Observation, Reason};

impl World<'_> {
    pub(super) fn entry(&self, s: usize, state: BackendState) -> ServiceEntry {
        let server = &self.servers[s];
        let entry = BackendEntry {
            backend: backend_id(&name(s)),
            state,
            weight: 1.0,
            zone: ZoneId(server.hall),
            cell: CellId(server.cell),
            kind: KindId(server.kind),
            last_start: Some(self.known_starts[s]).filter(|at| *at >= 0.0).map(|at| EPOCH + at),
        };
        // An address stands for the real server; nobody connects to it.
        let at = (state != BackendState::Gone).then(|| ([127, 0, 0, 1], 1 + (s % 65_535) as u16).into());
        ServiceEntry { entry, address: at }
    }

    /// An ingress is told a list, through the bans that lie over it.
    pub(super) fn listed(&mut self, i: usize, kind: ListKind, entries: Vec<ServiceEntry>) {
        if kind == ListKind::Failed {
            return self.feed(i, Event::BackendList(kind, Vec::new()));
        }
        let whole = kind != ListKind::Changes;
        let list = self.nodes[i].maintenance.listed(BackendList { generation: 0, complete: whole, entries });
        self.believes(i, kind, list);
    }

    pub(super) fn believes(&mut self, i: usize, kind: ListKind, list: BackendList) {
        let (now, node) = (self.now, &mut self.nodes[i]);
        if kind != ListKind::Changes {
            let named: BTreeSet<BackendId> = list.entries.iter().map(|e| e.entry.backend).collect();
            for (_, told) in node.told.iter_mut().filter(|(id, _)| !named.contains(id)) {
                if told.state == BackendState::Ready {
                    *told = Told { state: BackendState::Gone, since: now };
                }
            }
        }
        for e in &list.entries {
            if let (Some(s), Some(start)) = (self.ids.get(&e.entry.backend), e.entry.last_start) {
                self.cold.record_notification(i, *s, start - EPOCH);
            }
            let told = node.told.entry(e.entry.backend).or_insert(Told { state: e.entry.state, since: now });
            if (told.state == BackendState::Ready) != (e.entry.state == BackendState::Ready) {
                told.since = now;
            }
            told.state = e.entry.state;
        }
        let entries = list.entries.iter().map(|e| e.entry).collect();
        self.feed(i, Event::BackendList(kind, entries));
    }

    /// Discovery has learnt of a change.
    pub(super) fn publishes(&mut self, s: usize, state: BackendState, of: u64) {
        if self.lives[s] != of {
            return;
        }
        self.known_starts[s] = self.servers[s].started;
        match state {
            BackendState::Gone => drop(self.published.remove(&s)),
            _ => drop(self.published.insert(s, state)),
        }
        let by = self.script.discovery.by;
        for i in 0..self.nodes.len() {
            let late = self.draw(self.script.discovery.spread);
            let life = self.nodes[i].life;
            match by {
                DiscoverySource::Consul => self.after(late, What::Asked(i, life)),
                _ => {
                    let entry = self.entry(s, state);
                    self.after(late, What::News(i, life, ListKind::Changes, vec![entry]));
                }
            }
        }
    }

    /// The whole list comes, by whatever was asked.
    pub(super) fn asked(&mut self, i: usize, life: u32) {
        if !self.nodes[i].up || self.nodes[i].life != life {
            return;
        }
        self.nodes[i].subscribed = true;
        let all: Vec<(usize, BackendState)> = self.published.iter().map(|(s, state)| (*s, *state)).collect();
        let entries = all.into_iter().map(|(s, state)| self.entry(s, state));
        if self.script.discovery.by != DiscoverySource::Consul {
            let entries = entries.collect();
            return self.listed(i, ListKind::Full, entries);
        }
        let seen = entries.map(|entry| Observation {
            name: String::new(),
            reason: if entry.entry.state == BackendState::Ready { Reason::Passing } else { Reason::Critical },
            entry,
            registered: 0,
        });
        let (seen, now) = (seen.collect(), self.now);
        let members = &mut self.nodes[i].members;
        let told = match members.health(now, seen) {
            Step::Report(told) => told,
            Step::Confirm(told) => {
                let round = members.unconfirmed_round().unwrap_or(0);
                self.after(CATALOGUE, What::Catalogue(i, life, round));
                told
            }
        };
        self.tells(i, told);
    }

    pub(super) fn tells(&mut self, i: usize, told: Vec<Observation>) {
        let life = self.nodes[i].life;
        if !told.is_empty() {
            self.listed(i, ListKind::Changes, told.into_iter().map(|s| s.entry).collect());
        }
        if let Some(at) = self.nodes[i].members.next_due() {
            self.at(at, What::Due(i, life));
        }
    }

    /// A change of a real server becomes known.
    pub(super) fn announces(&mut self, s: usize, state: BackendState, after: f64) {
        let of = self.lives[s];
        self.after(after, What::Published(s, state, of));
    }

    /// Discovery's news arrives at an ingress.
    pub(super) fn news(&mut self, i: usize, life: u32, kind: ListKind, entries: Vec<ServiceEntry>) {
        let node = &self.nodes[i];
        let current = |e: &ServiceEntry| {
            let s = self.ids.get(&e.entry.backend).copied();
            // Older news than what was told since says nothing.
            s.and_then(|s| self.published.get(&s).copied()).unwrap_or(BackendState::Gone) == e.entry.state
        };
        if node.up && node.life == life && (node.subscribed || kind == ListKind::Failed) {
            let entries = entries.into_iter().filter(current).collect();
            self.listed(i, kind, entries);
        }
    }

    /// The catalogue's answer arrives at an ingress.
    pub(super) fn catalogue(&mut self, i: usize, life: u32, round: u64) {
        if self.nodes[i].up && self.nodes[i].life == life {
            let held = self.published.keys().map(|s| backend_id(&name(*s))).collect();
            let told = self.nodes[i].members.catalogue(self.now, round, &held);
            self.tells(i, told);
        }
    }

    /// An operator disables a real server at an ingress, or enables it again.
    pub(super) fn banned(&mut self, i: usize, s: usize, out: bool) {
        let name = name(s);
        let maintenance = &mut self.nodes[i].maintenance;
        let change = if out { maintenance.disable(&name) } else { maintenance.enable(&name) };
        if let (true, Ok(Some(change))) = (self.nodes[i].up, change) {
            self.believes(i, ListKind::Changes, change);
        }
    }
}
