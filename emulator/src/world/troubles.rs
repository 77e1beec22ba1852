//! The troubles of a script: crashes, restarts, partitions and surges.

use super::event::EventKind;
use super::settings::ingress_settings;
use super::{EPOCH_MS, World, backend_name};
use crate::backend::{Backend, LoadReport};
use crate::script::{TroubleKind, UniformRange};
use weldhub::Event;
use weldhub::entries::backend_id;
use weldhub::interface::{BackendState, ListKind, Outcome};

impl World<'_> {
    /// Ends the process of a backend. Connections with attempts in flight are reset.
    pub(super) fn stop_backend(&mut self, backend: usize) {
        if !self.backends[backend].up {
            return;
        }
        let in_flight = self.backends[backend].stop(self.now, &self.script.servers);
        self.backend_incarnations[backend] += 1;
        for attempt in in_flight {
            let ingress = self.attempts[attempt].ingress;
            let hop = self.draw_hop(self.ingresses[ingress].zone, self.backends[backend].zone);
            self.schedule_after(hop, EventKind::ReplyArrives(attempt, Outcome::Reset, LoadReport::default()));
        }
    }

    /// Chooses `count` of the indices below `len` at random, in random order.
    pub(super) fn choose(&mut self, len: usize, count: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..len).collect();
        self.rng.shuffle(&mut all);
        all.truncate(count);
        all
    }

    /// Returns how many of `len` make up a share, at least 1.
    pub(super) fn count_of_share(share: f64, len: usize) -> usize {
        ((share * len as f64).round() as usize).clamp(1, len.max(1))
    }

    /// Begins the trouble with this index in the script.
    pub(super) fn begin_trouble(&mut self, index: usize) {
        let now = self.now;
        let ingress_count = self.ingresses.len();
        match self.script.troubles[index].kind.clone() {
            TroubleKind::CrashIngresses { share, down } => {
                for ingress in self.choose(ingress_count, Self::count_of_share(share, ingress_count)) {
                    let down = self.draw(down);
                    self.schedule_at(now, EventKind::IngressDies(ingress, down));
                }
            }
            TroubleKind::RollIngresses { share, at_once, over, down } => {
                self.restart_in_groups(share, at_once, over, down)
            }
            TroubleKind::UpgradeIngresses => self.upgrade_ingresses(),
            TroubleKind::ReplaceBackends { share, at_once, over, grace } => {
                for (backend, at) in self.schedule_in_groups(share, at_once, over) {
                    self.schedule_at(at, EventKind::BackendReplaced(backend, grace));
                }
            }
            TroubleKind::RemoveBackends { share, at_once, over, grace } => {
                for (backend, at) in self.schedule_in_groups(share, at_once, over) {
                    self.schedule_at(at, EventKind::BackendRemoved(backend, grace));
                }
            }
            TroubleKind::RestartBackends { share, at_once, over, down, told } => {
                for (backend, at) in self.schedule_in_groups(share, at_once, over) {
                    let (down, known_after) = (self.draw(down), self.draw(told));
                    self.schedule_at(at, EventKind::BackendStops(backend));
                    self.schedule_at(at + down, EventKind::BackendRestarts(backend, known_after));
                }
            }
            TroubleKind::DisableBackends { servers, lasting } => self.disable_backends(servers, lasting),
            TroubleKind::SlowBackends { times, lasting } => {
                for backend in 0..self.backends.len() {
                    self.schedule_at(now, EventKind::BackendSlowed(backend, times));
                    self.schedule_after(lasting, EventKind::BackendSlowed(backend, 1.0 / times));
                }
            }
            TroubleKind::DegradeBackends { servers, times, errors, lasting } => {
                self.degrade_backends(servers, times, errors, lasting)
            }
            TroubleKind::PartitionHall { hall, lasting } => {
                self.partitioned_zones.insert(hall);
                self.schedule_after(lasting, EventKind::PartitionHeals(hall));
            }
            TroubleKind::CounterOutage { lasting } => {
                if let Some(counter) = &mut self.counter {
                    counter.unavailable_until = now + lasting;
                }
            }
            TroubleKind::CounterReplaced => {
                if let Some(counter) = &mut self.counter {
                    counter.clear();
                }
            }
            TroubleKind::PeerMessageLoss { loss, lasting } => {
                (self.peer_loss, self.peer_loss_until) = (loss, now + lasting)
            }
            TroubleKind::ShiftCustomers { share } => {
                let customer_count = self.customers.len();
                for customer in self.choose(customer_count, Self::count_of_share(share, customer_count)) {
                    let spread = self.customers[customer].spread;
                    self.customers[customer].weights = self.draw_customer_weights(spread);
                }
            }
            TroubleKind::LoadSurge { times, lasting } => {
                (self.surge_factor, self.surge_until) = (times, now + lasting)
            }
        }
    }

    /// Restarts a share of the ingresses, in groups of the share `at_once` that follow each other over `over`
    /// milliseconds. Each is down for a time drawn from `down`.
    fn restart_in_groups(&mut self, share: f64, at_once: f64, over: f64, down: UniformRange) {
        let ingress_count = self.ingresses.len();
        let group = Self::count_of_share(at_once, ingress_count);
        let chosen = self.choose(ingress_count, Self::count_of_share(share, ingress_count));
        let groups = chosen.len().div_ceil(group).max(1);
        for (k, ingress) in chosen.into_iter().enumerate() {
            let (at, down) = (self.now + over * (k / group) as f64 / groups as f64, self.draw(down));
            self.schedule_at(at, EventKind::IngressDies(ingress, down));
        }
    }

    /// Hands the state of each running ingress over to a new process.
    fn upgrade_ingresses(&mut self) {
        let (now, ingress_count) = (self.now, self.ingresses.len());
        for ingress in 0..ingress_count {
            let seed = self.rng.u64(..);
            let successor = (self.factory)(ingress_settings(self.script, ingress as u16), seed);
            if let (true, Ok(mut decisions)) = (self.ingresses[ingress].up, successor) {
                let bytes = self.ingresses[ingress].decisions.hand_over();
                let mut actions = Vec::new();
                decisions.handle(EPOCH_MS + now, Event::Start, &mut actions);
                decisions.inherit(&bytes);
                self.ingresses[ingress].decisions = decisions;
                let list = self.ingresses[ingress].maintenance.discovered_list();
                self.apply_list(ingress, ListKind::Full, list);
            }
        }
    }

    /// An operator disables some backends at every ingress, restarts them meanwhile, so that they return
    /// cold, and enables them again after `lasting` milliseconds.
    fn disable_backends(&mut self, count: u32, lasting: f64) {
        let ingress_count = self.ingresses.len();
        let live: Vec<usize> = (0..self.backends.len()).filter(|s| self.backends[*s].up).collect();
        for at in self.choose(live.len(), count as usize) {
            let backend = live[at];
            for ingress in 0..ingress_count {
                // The operator reaches the ingresses one by one, within 10 to 100 ms.
                let (disable_delay, enable_delay) =
                    (10.0 + 90.0 * self.rng.f64(), 10.0 + 90.0 * self.rng.f64());
                self.schedule_after(disable_delay, EventKind::BackendDisabled(ingress, backend, true));
                self.schedule_after(
                    lasting + enable_delay,
                    EventKind::BackendDisabled(ingress, backend, false),
                );
            }
            self.schedule_after(lasting * 0.4, EventKind::BackendStops(backend));
            self.schedule_after(lasting * 0.5, EventKind::BackendStarts(backend));
        }
    }

    /// Makes some backends slower by `factor`, with another error rate, for `lasting` milliseconds.
    fn degrade_backends(&mut self, count: u32, factor: f64, error_rate: f64, lasting: f64) {
        let now = self.now;
        for backend in self.choose(self.backends.len(), count as usize) {
            let usual = self.backends[backend].error_rate;
            self.schedule_at(now, EventKind::BackendSlowed(backend, factor));
            self.schedule_at(now, EventKind::ErrorRateChanges(backend, error_rate));
            self.schedule_after(lasting, EventKind::BackendSlowed(backend, 1.0 / factor));
            self.schedule_after(lasting, EventKind::ErrorRateChanges(backend, usual));
        }
    }

    /// Replaces a backend: it drains for `grace` milliseconds, and a cold backend of the same kind starts
    /// beside it.
    pub(super) fn replace_backend(&mut self, replaced: usize, grace: f64) {
        if !self.drain_backend(replaced, grace) {
            return;
        }
        let delay = self.draw(self.script.discovery.add);
        let old = &self.backends[replaced];
        let kind = &self.script.kinds[usize::from(old.kind)];
        let (zone, cell, kind_index) = (old.zone, old.cell, old.kind);
        let speed = self.draw(kind.speed);
        let mut new = Backend::new(kind.cores, speed, kind.slots, kind.queue, self.now);
        (new.zone, new.cell, new.kind, new.error_rate) = (zone, cell, kind_index, kind.errors);
        new.start(self.now);
        new.slowdown = self.backends[replaced].slowdown;
        new.mean_work = self.backends[replaced].mean_work;
        let index = self.backends.len();
        self.backends.push(new);
        self.backend_incarnations.push(0);
        self.visible_reports.push(LoadReport::default());
        self.published_starts.push(self.now);
        self.backend_by_id.insert(backend_id(&backend_name(index)), index);
        self.schedule_publication(index, BackendState::Ready, delay);
        self.schedule_after(1.0, EventKind::LoadReportDue(index));
    }

    /// Restarts a backend that died, unless overload crashed it. Discovery learns of the start after
    /// `known_after` milliseconds.
    pub(super) fn restart_backend(&mut self, backend: usize, known_after: f64) {
        if !self.backends[backend].up && !self.backends[backend].draining && !self.backends[backend].crashed {
            self.backends[backend].start(self.now);
            self.schedule_publication(backend, BackendState::Ready, known_after);
        }
    }
}
