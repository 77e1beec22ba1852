//! Ingresses: what their limiters are told and what they ask for, how they die and come back.

use super::decide::Decide;
use super::event::What;
use super::settings::settings;
use super::{ASK_FAILS, EPOCH, HARD, World};
use crate::check::Rule;
use crate::script::DiscoverySource;
use crate::server::AttemptAt;
use crate::shared::{Counted, Intake};
use std::collections::HashMap;
use weldhub::interface::{
    BackendId, BackendState, CounterAnswer, CounterName, IngressId, ListKind, Load, MAX_PEER_MESSAGE_BYTES,
    Outcome, RequestId,
};
use weldhub::maintenance::Maintenance;
use weldhub::membership::MembershipPolicy;
use weldhub::membership::members::Members;
use weldhub::{Action, Event};
use weldhub_client::policy::TryOutcome;

pub(super) struct Flow {
    pub(super) asked: usize,
    pub(super) no: u32,
    pub(super) until: f64,
    pub(super) started: u16,
    pub(super) out: Vec<AttemptAt>,
    pub(super) open: bool,
    pub(super) reached: bool,
    pub(super) risky: Option<(f64, u16)>,
}

/// As an ingress was told of a real server: its state, since when, and in which of its lives.
#[derive(Clone, Copy)]
pub(super) struct Told {
    pub(super) state: BackendState,
    pub(super) since: f64,
}

pub(super) struct Node {
    pub(super) brain: Box<dyn Decide>,
    pub(super) life: u32,
    pub(super) up: bool,
    pub(super) up_since: f64,
    pub(super) down_since: f64,
    /// The front knows that it is down from then on.
    pub(super) noticed: f64,
    pub(super) hall: u8,
    pub(super) maintenance: Maintenance,
    pub(super) members: Members,
    pub(super) subscribed: bool,
    pub(super) told: HashMap<BackendId, Told>,
    pub(super) flows: HashMap<u64, Flow>,
    pub(super) idle: HashMap<(BackendId, u64), u32>,
    pub(super) intake: Intake,
    pub(super) calls: HashMap<u64, u64>,
    pub(super) counts: [u64; 3],
}

impl World<'_> {
    pub(super) fn feed(&mut self, i: usize, event: Event) {
        let mut next = std::collections::VecDeque::from([event]);
        let mut acts = Vec::new();
        while let Some(event) = next.pop_front() {
            self.nodes[i].brain.handle(EPOCH + self.now, event, &mut acts);
            for act in std::mem::take(&mut acts) {
                self.carry_out(i, act, &mut next);
            }
        }
    }

    pub(super) fn carry_out(&mut self, i: usize, act: Action, own: &mut std::collections::VecDeque<Event>) {
        let life = self.nodes[i].life;
        match act {
            Action::Send { request, backend: server, timeout: wait, .. } => {
                self.send(i, request.0, server, wait, own)
            }
            Action::Reject(id, after) => self.answer(i, id.0, TryOutcome::Rejected { retry_after: after }),
            Action::Fail(id) => self.answer(i, id.0, TryOutcome::Failed),
            Action::Cancel(id, no) => {
                let flow = self.nodes[i].flows.get(&id.0);
                let found = flow.and_then(|f| f.out.iter().copied().find(|a| self.attempts[*a].no == no.0));
                if let Some(attempt) = found {
                    self.at(self.now, What::GivesUp(attempt, Outcome::Cancelled));
                }
            }
            Action::Probe(server) => {
                own.push_back(Event::ProbeEnded(server, Outcome::NotSent, Load::default()))
            }
            Action::SetTimer(after, key) => self.after(after.max(0.0), What::Timer(i, life, key)),
            Action::SendToPeer(to, bytes) => self.mail(i, usize::from(to.0), bytes),
            Action::AddToCounter(name, amount, keep) => {
                let Some(how) = &self.script.counter else {
                    return own.push_back(Event::CounterAnswered(name, CounterAnswer::NotAdded));
                };
                self.seq += 1;
                let call = self.seq;
                self.nodes[i].calls.insert(call, name.0);
                let timeout = how.timeout;
                let way = self.hop(self.nodes[i].hall, 0);
                self.after(timeout, What::CallEnds(i, life, call, name.0, CounterAnswer::Unknown));
                if !self.cut_between(self.nodes[i].hall, 0) {
                    self.after(way, What::CallComes(i, life, call, name.0, amount, keep));
                }
            }
            Action::Subscribe => {
                let each = 1000.0 / self.script.discovery.asks_per_second;
                let begins = self.discovery_free.max(self.now);
                if begins - self.now > ASK_FAILS {
                    self.after(ASK_FAILS, What::News(i, life, ListKind::Failed, Vec::new()));
                } else {
                    self.discovery_free = begins + each;
                    self.at(begins + each, What::Asked(i, life));
                }
            }
        }
    }

    pub(super) fn mail(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let Some(how) = &self.script.peers else { return };
        if to == from || to >= self.nodes.len() || bytes.len() > MAX_PEER_MESSAGE_BYTES {
            return;
        }
        self.totals.messages += 1;
        let loss = if self.now < self.loss_until.1 { how.loss.max(self.loss_until.0) } else { how.loss };
        let lost = self.rng.f64() < loss || self.cut_between(self.nodes[from].hall, self.nodes[to].hall);
        let delay = self.draw(how.delay);
        if !lost {
            self.after(delay, What::Mail(to, from, bytes));
        }
    }

    pub(super) fn answer(&mut self, i: usize, request: u64, how: TryOutcome) {
        let Some(flow) = self.nodes[i].flows.get_mut(&request) else { return };
        if !std::mem::take(&mut flow.open) {
            return;
        }
        let (n, no, out) = (flow.asked, flow.no, flow.out.clone());
        if out.is_empty() {
            self.nodes[i].flows.remove(&request);
        }
        let way = self.draw(self.script.network.client);
        self.after(way, What::Answered(n, no, how));
    }

    /// An ingress starts: with its last list, and soon with the whole one.
    pub(super) fn begin(&mut self, i: usize) {
        let life = self.nodes[i].life;
        let known = self.nodes[i].maintenance.told();
        self.feed(i, Event::Start);
        let first = if known.entries.is_empty() {
            let all = self.published.iter();
            all.map(|(s, state)| self.entry(*s, *state)).collect()
        } else {
            known.entries
        };
        self.listed(i, ListKind::Cached, first);
        if life > 0 && self.script.discovery.by != DiscoverySource::OnRequest {
            let late = 50.0 + self.draw(self.script.discovery.spread);
            self.after(late, What::Asked(i, life));
        }
    }

    /// An ingress dies.
    pub(super) fn dies(&mut self, i: usize) {
        if !self.nodes[i].up {
            return;
        }
        let notice = self.draw(self.script.ingresses.notice);
        let now = self.now;
        let node = &mut self.nodes[i];
        (node.up, node.down_since, node.noticed, node.life) = (false, now, now + notice, node.life + 1);
        node.idle.clear();
        node.calls.clear();
        let flows = std::mem::take(&mut node.flows);
        let mut flows: Vec<_> = flows.into_iter().collect();
        flows.sort_by_key(|(id, _)| *id);
        for (_, flow) in flows {
            for a in flow.out {
                // Work goes on at the real server, and nobody hears of it.
                if !std::mem::replace(&mut self.attempts[a].over, true) && self.attempts[a].came.is_some() {
                    let c = self.asked[flow.asked].customer;
                    let (id, plan) = (self.customers[c].id, self.customers[c].plan);
                    self.check.out(now, id, plan, false, self.script);
                }
            }
            if flow.open {
                let way = self.draw(self.script.network.client);
                self.after(way, What::Answered(flow.asked, flow.no, TryOutcome::ConnectionLost));
            }
        }
    }

    pub(super) fn returns(&mut self, i: usize) {
        if self.nodes[i].up {
            return;
        }
        let seed = self.rng.u64(..);
        let per_second = self.script.peers.as_ref().map_or(0.0, |p| p.per_second);
        let Ok(brain) = (self.maker)(settings(self.script, i as u16), seed) else { return };
        let now = self.now;
        let node = &mut self.nodes[i];
        (node.brain, node.up, node.noticed, node.subscribed) = (brain, true, f64::INFINITY, false);
        (node.intake, node.counts, node.up_since) = (Intake::new(per_second, now), [0; 3], now);
        node.members = Members::new(MembershipPolicy::default());
        self.begin(i);
    }

    /// A request must have its answer by now, whatever the decisions do.
    pub(super) fn guard(&mut self, i: usize, life: u32, id: u64) {
        let open = self.nodes[i].life == life && self.nodes[i].flows.get(&id).is_some_and(|f| f.open);
        if open {
            let left = self.nodes[i]
                .flows
                .get(&id)
                .map_or(0.0, |f| self.script.classes[self.asked[f.asked].class].give_up);
            if left >= HARD {
                self.check.breach(Rule::Answer, self.now, || {
                    format!("ingress {i} has no answer to request {id} of its own")
                });
            }
            self.answer(i, id, TryOutcome::Failed);
            self.feed(i, Event::ClientLeft(RequestId(id)));
        }
    }

    /// A peer's message arrives at an ingress.
    pub(super) fn mail_comes(&mut self, to: usize, from: usize, bytes: Vec<u8>) {
        let (now, per_second) = (self.now, self.script.peers.as_ref().map_or(0.0, |p| p.per_second));
        if self.nodes[to].up {
            if self.nodes[to].intake.takes(now, per_second) {
                self.feed(to, Event::PeerMessage(IngressId(from as u16), bytes));
            } else {
                self.totals.dropped += 1;
            }
        }
    }

    /// The answer to a call arrives at its ingress.
    pub(super) fn call_ends(&mut self, i: usize, life: u32, call: u64, name: u64, answer: CounterAnswer) {
        if self.nodes[i].life == life && self.nodes[i].calls.remove(&call).is_some() {
            self.feed(i, Event::CounterAnswered(CounterName(name), answer));
        }
    }

    /// A call arrives at the counter.
    pub(super) fn call_comes(&mut self, i: usize, life: u32, call: u64, name: u64, amount: f64, keep: f64) {
        let Some(how) = &self.script.counter else { return };
        let (time, way) = (self.draw(how.time), self.hop(self.nodes[i].hall, 0));
        let Some(counter) = &mut self.counter else { return };
        let (at, answer) = match counter.takes(self.now, name, amount, keep, how, time) {
            Counted::At(total, at) => (at, CounterAnswer::Total(total)),
            Counted::Busy => (self.now, CounterAnswer::NotAdded),
            Counted::Nothing => return,
        };
        if !self.cut_between(self.nodes[i].hall, 0) {
            self.at(at + way, What::CallEnds(i, life, call, name, answer));
        }
    }
}
