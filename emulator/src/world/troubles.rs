//! Troubles of the script: what happens to ingresses, backends and halls.

use super::event::What;
use super::settings::settings;
use super::{EPOCH, World, name};
use crate::script::{TroubleKind, UniformRange};
use crate::server::{Reported, Server};
use weldhub::Event;
use weldhub::entries::backend_id;
use weldhub::interface::{BackendState, ListKind, Outcome};

impl World<'_> {
    /// A real server's process ends.
    pub(super) fn stops(&mut self, s: usize) {
        if !self.servers[s].up {
            return;
        }
        let held = self.servers[s].dies(self.now, &self.script.servers);
        self.lives[s] += 1;
        for a in held {
            let i = self.attempts[a].node;
            let way = self.hop(self.nodes[i].hall, self.servers[s].hall);
            self.after(way, What::Replies(a, Outcome::Reset, Reported::default()));
        }
    }

    pub(super) fn chosen(&mut self, of: usize, many: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..of).collect();
        self.rng.shuffle(&mut all);
        all.truncate(many);
        all
    }

    pub(super) fn part_of(share: f64, all: usize) -> usize {
        ((share * all as f64).round() as usize).clamp(1, all.max(1))
    }

    pub(super) fn trouble(&mut self, k: usize) {
        let now = self.now;
        let nodes = self.nodes.len();
        match self.script.troubles[k].kind.clone() {
            TroubleKind::CrashIngresses { share, down } => {
                for i in self.chosen(nodes, Self::part_of(share, nodes)) {
                    let down = self.draw(down);
                    self.at(now, What::Down(i, down));
                }
            }
            TroubleKind::RollIngresses { share, at_once, over, down } => {
                self.roll(share, at_once, over, down)
            }
            TroubleKind::UpgradeIngresses => self.upgrade_all(),
            TroubleKind::ReplaceBackends { share, at_once, over, grace } => {
                for (s, at) in self.in_groups(share, at_once, over) {
                    self.at(at, What::Retires(s, grace));
                }
            }
            TroubleKind::RemoveBackends { share, at_once, over, grace } => {
                for (s, at) in self.in_groups(share, at_once, over) {
                    self.at(at, What::Leaves(s, grace));
                }
            }
            TroubleKind::RestartBackends { share, at_once, over, down, told } => {
                for (s, at) in self.in_groups(share, at_once, over) {
                    let (down, told) = (self.draw(down), self.draw(told));
                    self.at(at, What::Stops(s));
                    self.at(at + down, What::Restarted(s, told));
                }
            }
            TroubleKind::DisableBackends { servers, lasting } => self.take_out_by_hand(servers, lasting),
            TroubleKind::SlowBackends { times, lasting } => {
                for s in 0..self.servers.len() {
                    self.at(now, What::Slows(s, times));
                    self.after(lasting, What::Slows(s, 1.0 / times));
                }
            }
            TroubleKind::DegradeBackends { servers, times, errors, lasting } => {
                self.turn_bad(servers, times, errors, lasting)
            }
            TroubleKind::PartitionHall { hall, lasting } => {
                self.cut.insert(hall);
                self.after(lasting, What::Healed(hall));
            }
            TroubleKind::CounterOutage { lasting } => {
                if let Some(counter) = &mut self.counter {
                    counter.lost_until = now + lasting;
                }
            }
            TroubleKind::CounterReplaced => {
                if let Some(counter) = &mut self.counter {
                    counter.replaced();
                }
            }
            TroubleKind::PeerMessageLoss { loss, lasting } => self.loss_until = (loss, now + lasting),
            TroubleKind::ShiftCustomers { share } => {
                for c in self.chosen(self.customers.len(), Self::part_of(share, self.customers.len())) {
                    let spread = self.customers[c].spread;
                    self.customers[c].weights = self.weights(spread);
                }
            }
            TroubleKind::LoadSurge { times, lasting } => self.surge = (times, now + lasting),
        }
    }

    /// Ingresses are restarted one group after the other.
    fn roll(&mut self, share: f64, at_once: f64, over: f64, down: UniformRange) {
        let nodes = self.nodes.len();
        let group = Self::part_of(at_once, nodes);
        let all = self.chosen(nodes, Self::part_of(share, nodes));
        let groups = all.len().div_ceil(group).max(1);
        for (k, i) in all.into_iter().enumerate() {
            let (at, down) = (self.now + over * (k / group) as f64 / groups as f64, self.draw(down));
            self.at(at, What::Down(i, down));
        }
    }

    /// All ingresses hand over to new processes.
    fn upgrade_all(&mut self) {
        let (now, nodes) = (self.now, self.nodes.len());
        for i in 0..nodes {
            let seed = self.rng.u64(..);
            let made = (self.maker)(settings(self.script, i as u16), seed);
            if let (true, Ok(mut brain)) = (self.nodes[i].up, made) {
                let bytes = self.nodes[i].brain.hand_over();
                let mut acts = Vec::new();
                brain.handle(EPOCH + now, Event::Start, &mut acts);
                brain.inherit(&bytes);
                self.nodes[i].brain = brain;
                let list = self.nodes[i].maintenance.told();
                self.believes(i, ListKind::Full, list);
            }
        }
    }

    /// An operator takes real servers out at every ingress, restarts them, and puts them back.
    fn take_out_by_hand(&mut self, servers: u32, lasting: f64) {
        let nodes = self.nodes.len();
        let alive: Vec<usize> = (0..self.servers.len()).filter(|s| self.servers[*s].up).collect();
        for at in self.chosen(alive.len(), servers as usize) {
            let s = alive[at];
            for i in 0..nodes {
                let (out, back) = (10.0 + 90.0 * self.rng.f64(), 10.0 + 90.0 * self.rng.f64());
                self.after(out, What::Banned(i, s, true));
                self.after(lasting + back, What::Banned(i, s, false));
            }
            // It is restarted meanwhile, and comes back cold.
            self.after(lasting * 0.4, What::Stops(s));
            self.after(lasting * 0.5, What::Ready(s));
        }
    }

    /// Some real servers are slow and fail requests.
    fn turn_bad(&mut self, servers: u32, times: f64, errors: f64, lasting: f64) {
        let now = self.now;
        for s in self.chosen(self.servers.len(), servers as usize) {
            let usual = self.servers[s].errors;
            self.at(now, What::Slows(s, times));
            self.at(now, What::Errs(s, errors));
            self.after(lasting, What::Slows(s, 1.0 / times));
            self.after(lasting, What::Errs(s, usual));
        }
    }

    /// A real server is replaced: it drains, its successor starts cold beside it.
    pub(super) fn retires(&mut self, s: usize, grace: f64) {
        if !self.drains(s, grace) {
            return;
        }
        let add = self.draw(self.script.discovery.add);
        let old = &self.servers[s];
        let kind = &self.script.kinds[usize::from(old.kind)];
        let (hall, cell, of) = (old.hall, old.cell, old.kind);
        let speed = self.draw(kind.speed);
        let mut new = Server::new(kind.cores, speed, kind.slots, kind.queue, self.now);
        (new.hall, new.cell, new.kind, new.errors) = (hall, cell, of, kind.errors);
        new.starts(self.now);
        new.slow = self.servers[s].slow;
        new.mean_work = self.servers[s].mean_work;
        let at = self.servers.len();
        self.servers.push(new);
        self.lives.push(0);
        self.shown.push(Reported::default());
        self.known_starts.push(self.now);
        self.ids.insert(backend_id(&name(at)), at);
        self.announces(at, BackendState::Ready, add);
        self.after(1.0, What::Refresh(at));
    }

    /// A real server that died is back; discovery knows of its start later.
    pub(super) fn restarted(&mut self, s: usize, told: f64) {
        if !self.servers[s].up && !self.servers[s].drains && !self.servers[s].fallen {
            self.servers[s].starts(self.now);
            self.announces(s, BackendState::Ready, told);
        }
    }
}
