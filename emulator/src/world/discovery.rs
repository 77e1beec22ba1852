//! Service discovery: when changes of backends reach the ingresses, and how they pass the shipped membership
//! policy and the operators' maintenance list.

use super::event::EventKind;
use super::ingresses::KnownState;
use super::{CATALOGUE_DELAY_MS, EPOCH_MS, World, backend_name};
use crate::script::DiscoverySource;
use std::collections::BTreeSet;
use weldhub::Event;
use weldhub::entries::{BackendList, ServiceEntry, backend_id};
use weldhub::interface::{BackendEntry, BackendId, BackendState, CellId, KindId, ListKind, ZoneId};
use weldhub::membership::members::HealthUpdate;
use weldhub::membership::{Observation, Reason};

impl World<'_> {
    /// Returns the list entry of a backend in `state`.
    pub(super) fn service_entry(&self, index: usize, state: BackendState) -> ServiceEntry {
        let backend = &self.backends[index];
        let entry = BackendEntry {
            backend: backend_id(&backend_name(index)),
            state,
            weight: 1.0,
            zone: ZoneId(backend.zone),
            cell: CellId(backend.cell),
            kind: KindId(backend.kind),
            last_start: Some(self.published_starts[index]).filter(|at| *at >= 0.0).map(|at| EPOCH_MS + at),
        };
        // A placeholder: the emulator opens no sockets.
        let address =
            (state != BackendState::Gone).then(|| ([127, 0, 0, 1], 1 + (index % 65_535) as u16).into());
        ServiceEntry { entry, address }
    }

    /// Passes a list from discovery to an ingress, without the backends that operators have disabled there.
    pub(super) fn list_received(&mut self, ingress: usize, kind: ListKind, entries: Vec<ServiceEntry>) {
        if kind == ListKind::Failed {
            return self.dispatch(ingress, Event::BackendList(kind, Vec::new()));
        }
        let complete = kind != ListKind::Changes;
        let list =
            self.ingresses[ingress].maintenance.apply_list(BackendList { generation: 0, complete, entries });
        self.apply_list(ingress, kind, list);
    }

    /// Records the states in a list as known to an ingress, and passes the list to its decision module.
    pub(super) fn apply_list(&mut self, ingress: usize, kind: ListKind, list: BackendList) {
        let (now, node) = (self.now, &mut self.ingresses[ingress]);
        if kind != ListKind::Changes {
            // A backend that a complete list does not name is gone.
            let named: BTreeSet<BackendId> = list.entries.iter().map(|e| e.entry.backend).collect();
            for (_, known) in node.known_states.iter_mut().filter(|(id, _)| !named.contains(id)) {
                if known.state == BackendState::Ready {
                    *known = KnownState { state: BackendState::Gone, since: now };
                }
            }
        }
        for e in &list.entries {
            if let (Some(backend), Some(start)) =
                (self.backend_by_id.get(&e.entry.backend), e.entry.last_start)
            {
                self.cold.record_notification(ingress, *backend, start - EPOCH_MS);
            }
            let known = node
                .known_states
                .entry(e.entry.backend)
                .or_insert(KnownState { state: e.entry.state, since: now });
            if (known.state == BackendState::Ready) != (e.entry.state == BackendState::Ready) {
                known.since = now;
            }
            known.state = e.entry.state;
        }
        let entries = list.entries.iter().map(|e| e.entry).collect();
        self.dispatch(ingress, Event::BackendList(kind, entries));
    }

    /// Discovery learns the state of a backend, and passes it on to each ingress after a delay. News of an
    /// earlier incarnation is ignored.
    pub(super) fn publish(&mut self, backend: usize, state: BackendState, incarnation: u64) {
        if self.backend_incarnations[backend] != incarnation {
            return;
        }
        self.published_starts[backend] = self.backends[backend].started_at;
        match state {
            BackendState::Gone => drop(self.published.remove(&backend)),
            _ => drop(self.published.insert(backend, state)),
        }
        let by = self.script.discovery.by;
        for ingress in 0..self.ingresses.len() {
            let delay = self.draw(self.script.discovery.spread);
            let incarnation = self.ingresses[ingress].incarnation;
            match by {
                DiscoverySource::Consul => {
                    self.schedule_after(delay, EventKind::CompleteListRead(ingress, incarnation))
                }
                _ => {
                    let entry = self.service_entry(backend, state);
                    self.schedule_after(
                        delay,
                        EventKind::ListArrives(ingress, incarnation, ListKind::Changes, vec![entry]),
                    );
                }
            }
        }
    }

    /// The complete list arrives at an ingress: directly, or with Consul as health observations through the
    /// membership policy.
    pub(super) fn complete_list_read(&mut self, ingress: usize, incarnation: u32) {
        if !self.ingresses[ingress].is_live(incarnation) {
            return;
        }
        self.ingresses[ingress].subscribed = true;
        let published: Vec<(usize, BackendState)> =
            self.published.iter().map(|(backend, state)| (*backend, *state)).collect();
        let entries = published.into_iter().map(|(backend, state)| self.service_entry(backend, state));
        if self.script.discovery.by != DiscoverySource::Consul {
            let entries = entries.collect();
            return self.list_received(ingress, ListKind::Full, entries);
        }
        let observations = entries.map(|entry| Observation {
            name: String::new(),
            reason: if entry.entry.state == BackendState::Ready { Reason::Passing } else { Reason::Critical },
            entry,
            create_index: 0,
        });
        let (observations, now) = (observations.collect(), self.now);
        let members = &mut self.ingresses[ingress].members;
        let changes = match members.apply_health(now, observations) {
            HealthUpdate::Complete(changes) => changes,
            HealthUpdate::NeedsConfirmation(changes) => {
                let round = members.unconfirmed_round().unwrap_or(0);
                self.schedule_after(
                    CATALOGUE_DELAY_MS,
                    EventKind::CatalogueAnswered(ingress, incarnation, round),
                );
                changes
            }
        };
        self.report_changes(ingress, changes);
    }

    /// Passes on the changes that the membership policy reports, and schedules its next deadline.
    pub(super) fn report_changes(&mut self, ingress: usize, changes: Vec<Observation>) {
        let incarnation = self.ingresses[ingress].incarnation;
        if !changes.is_empty() {
            self.list_received(ingress, ListKind::Changes, changes.into_iter().map(|s| s.entry).collect());
        }
        if let Some(at) = self.ingresses[ingress].members.next_hold_down_end() {
            self.schedule_at(at, EventKind::MembershipDue(ingress, incarnation));
        }
    }

    /// Discovery will learn the state of a backend after `delay` milliseconds, unless its process ends first.
    pub(super) fn schedule_publication(&mut self, backend: usize, state: BackendState, delay: f64) {
        let incarnation = self.backend_incarnations[backend];
        self.schedule_after(delay, EventKind::StatePublished(backend, state, incarnation));
    }

    /// A list pushed by discovery, or the failure of a query, arrives at an ingress.
    pub(super) fn list_arrives(
        &mut self,
        ingress: usize,
        incarnation: u32,
        kind: ListKind,
        entries: Vec<ServiceEntry>,
    ) {
        let node = &self.ingresses[ingress];
        // Delays vary, so an entry may arrive after a later one: only those that still hold are passed on.
        let current = |e: &ServiceEntry| {
            let backend = self.backend_by_id.get(&e.entry.backend).copied();
            backend.and_then(|backend| self.published.get(&backend).copied()).unwrap_or(BackendState::Gone)
                == e.entry.state
        };
        if node.is_live(incarnation) && (node.subscribed || kind == ListKind::Failed) {
            let entries = entries.into_iter().filter(current).collect();
            self.list_received(ingress, kind, entries);
        }
    }

    /// Consul's catalogue confirms or refutes a mass withdrawal at an ingress.
    pub(super) fn catalogue_answered(&mut self, ingress: usize, incarnation: u32, round: u64) {
        if self.ingresses[ingress].is_live(incarnation) {
            let registered = self.published.keys().map(|s| backend_id(&backend_name(*s))).collect();
            let changes = self.ingresses[ingress].members.apply_catalogue(self.now, round, &registered);
            self.report_changes(ingress, changes);
        }
    }

    /// An operator disables a backend at an ingress, or enables it again.
    pub(super) fn set_backend_disabled(&mut self, ingress: usize, backend: usize, disabled: bool) {
        let name = backend_name(backend);
        let maintenance = &mut self.ingresses[ingress].maintenance;
        let change = if disabled { maintenance.disable(&name) } else { maintenance.enable(&name) };
        if let (true, Ok(Some(change))) = (self.ingresses[ingress].up, change) {
            self.apply_list(ingress, ListKind::Changes, change);
        }
    }
}
