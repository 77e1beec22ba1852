//! Attempts at backends, from an ingress and back.

use super::event::What;
use super::{World, name};
use crate::check::Rule;
use crate::cold::Arrival;
use crate::server::{AttemptAt, Reported, Taken};
use weldhub::Event;
use weldhub::entries::backend_id;
use weldhub::interface::{AttemptEnd, AttemptIndex, BackendId, BackendState, Load, Outcome, RequestId};
use weldhub_client::policy::TryOutcome;

pub(super) struct Attempt {
    pub(super) node: usize,
    pub(super) life: u32,
    pub(super) request: u64,
    pub(super) no: u16,
    pub(super) server: usize,
    /// The real server's life to which its connection leads.
    pub(super) of: u64,
    pub(super) work: f64,
    pub(super) sent: f64,
    pub(super) over: bool,
    pub(super) came: Option<f64>,
}

impl World<'_> {
    pub(super) fn send(
        &mut self,
        i: usize,
        request: u64,
        to: BackendId,
        wait: Option<f64>,
        own: &mut std::collections::VecDeque<Event>,
    ) {
        let now = self.now;
        let script = self.script;
        let Some(flow) = self.nodes[i].flows.get_mut(&request) else { return };
        let no = flow.started;
        flow.started += 1;
        let wait = wait.unwrap_or(f64::INFINITY).min(flow.until - now);
        let (n, risky, open) = (flow.asked, flow.risky, flow.open);
        let end = |outcome| {
            Event::AttemptEnded(AttemptEnd {
                request: RequestId(request),
                attempt: AttemptIndex(no),
                backend: to,
                outcome,
                elapsed: 0.0,
                request_closed: !open,
                metered_use: None,
                settled_units: None,
                load: Load::default(),
            })
        };
        if !open || no >= script.ingresses.max_attempts || wait <= 0.0 {
            return own.push_back(end(Outcome::NotSent));
        }
        let told = self.nodes[i].told.get(&to).copied();
        let late = told.filter(|told| told.state != BackendState::Ready).map(|told| told.since);
        let Some(&s) = self.ids.get(&to) else { return own.push_back(end(Outcome::ConnectFailed)) };
        self.check.sends(now, i, s as u64, late);
        let (class, cell) = (self.asked[n].class, self.servers[s].cell);
        self.check.again(now, script.classes[class].repeat, risky, cell, request);
        // As the client side does it: nothing starts on a real server that is not ready.
        if told.is_none_or(|told| told.state != BackendState::Ready) {
            return own.push_back(end(Outcome::ConnectFailed));
        }
        let units = f64::from(self.asked[n].units);
        let mean = self.mean_units();
        let mut work = script.classes[class].work * units / mean * (0.5 + self.rng.f64());
        let (here, there) = (self.nodes[i].hall, self.servers[s].hall);
        let way = self.hop(here, there);
        let key = (to, self.lives[s]);
        let kept = self.nodes[i].idle.get_mut(&key).filter(|idle| **idle > 0);
        let fresh = kept.map(|idle| *idle -= 1).is_none();
        let mut delay = way;
        if fresh {
            self.totals.connections += 1;
            delay += 2.0 * way + script.servers.handshake;
            work += script.servers.handshake_work;
            if script.network.late_connections > 0.0 && self.rng.f64() < script.network.late_connections {
                delay += self.draw(script.network.late_by);
            }
        }
        let a = self.attempts.len();
        self.attempts.push(Attempt {
            node: i,
            life: self.nodes[i].life,
            request,
            no,
            server: s,
            of: self.lives[s],
            work,
            sent: now,
            over: false,
            came: None,
        });
        if let Some(flow) = self.nodes[i].flows.get_mut(&request) {
            flow.out.push(a);
        }
        self.second().attempts += 1;
        self.after(wait, What::GivesUp(a, Outcome::TimedOut));
        match self.cut_between(here, there) {
            // Nothing says so: a new connection never comes up, an old one stays silent.
            true if fresh => {
                self.after(script.network.connect_timeout, What::GivesUp(a, Outcome::ConnectFailed));
            }
            true => {}
            false => self.after(delay, What::Comes(a)),
        }
    }

    /// The attempt reaches its real server.
    pub(super) fn comes(&mut self, a: AttemptAt) {
        let Attempt { node: i, life, request, server: s, of, work, over, .. } = self.attempts[a];
        if over || self.nodes[i].life != life {
            return;
        }
        let way = self.hop(self.nodes[i].hall, self.servers[s].hall);
        let shown = self.shown[s];
        if !self.servers[s].up || self.lives[s] != of {
            return self.after(way, What::Replies(a, Outcome::ConnectFailed, Reported::default()));
        }
        let script = self.script;
        let Some(flow) = self.nodes[i].flows.get_mut(&request) else { return };
        let (n, first) = (flow.asked, !std::mem::replace(&mut flow.reached, true));
        let c = self.asked[n].customer;
        let (id, plan) = (self.customers[c].id, self.customers[c].plan);
        if first {
            let (class, units) = (self.asked[n].class, f64::from(self.asked[n].units));
            self.check.reaches(self.now, id, plan, units, script);
            self.asked[n].inside = self.judge.sent(self.now, id, plan, class, units, script);
        }
        if self.servers[s].drains {
            return self.after(way, What::Replies(a, Outcome::Rejected, shown));
        }
        let taken = self.servers[s].takes(self.now, a, work, &script.servers);
        let breaks = self.watch_cold(a, taken);
        match taken {
            Taken::Yes => {
                self.attempts[a].came = Some(self.now);
                self.check.out(self.now, id, plan, true, script);
                self.foresee(s);
            }
            Taken::Full => self.after(way, What::Replies(a, Outcome::Rejected, shown)),
            Taken::Falls => {
                if breaks {
                    self.check.breach(Rule::Cold, self.now, || format!("real server {s} was pushed over"));
                }
                self.stops(s);
            }
        }
    }

    /// Notes what a cold backend got; true where it fell by those that were told of its start.
    pub(super) fn watch_cold(&mut self, a: AttemptAt, taken: Taken) -> bool {
        let Attempt { node, server: s, no, work, sent, .. } = self.attempts[a];
        let (now, how, server) = (self.now, &self.script.servers, &self.servers[s]);
        if !server.may_fall(now, how) {
            return false;
        }
        let arrival = Arrival {
            at: now,
            work,
            ingress: node,
            is_retry: no > 0,
            transit_time: now - sent,
            ingress_age: now - self.nodes[node].up_since,
        };
        self.cold.record_arrival(s, server.started, arrival, server.bears(now, how), taken == Taken::Falls)
    }

    pub(super) fn foresee(&mut self, s: usize) {
        if let Some(at) = self.servers[s].next_end(self.now, &self.script.servers) {
            let version = self.servers[s].version;
            self.at(at, What::Works(s, version));
        }
    }

    pub(super) fn works(&mut self, s: usize, version: u64) {
        if self.servers[s].version != version {
            return;
        }
        let ended = self.servers[s].ended(self.now, &self.script.servers);
        for a in ended {
            let Attempt { node: i, over, .. } = self.attempts[a];
            if over {
                continue;
            }
            let outcome =
                if self.rng.f64() < self.servers[s].errors { Outcome::Error } else { Outcome::Served };
            let (here, there) = (self.nodes[i].hall, self.servers[s].hall);
            let lost = self.rng.f64() < self.script.network.lost_answers || self.cut_between(here, there);
            let (way, shown) = (self.hop(here, there), self.shown[s]);
            if !lost {
                self.after(way, What::Replies(a, outcome, shown));
            }
        }
        self.foresee(s);
    }

    pub(super) fn load_of(&mut self, shown: Reported) -> Load {
        if !shown.told || !self.script.servers.reports {
            return Load::default();
        }
        let noise = self.script.servers.report_noise;
        let mut noisy = |x: f64| Some(x * (1.0 + noise * (2.0 * self.rng.f64() - 1.0)));
        Load {
            in_flight: noisy(shown.in_flight),
            queued: noisy(shown.queued),
            latency: noisy(shown.latency),
            ..Load::default()
        }
    }

    /// An attempt has ended for its ingress, by whatever; told once.
    pub(super) fn ends(&mut self, a: AttemptAt, outcome: Outcome, shown: Reported) {
        let Attempt { node: i, life, request, no, server: s, of, sent, over, came, .. } = self.attempts[a];
        if over {
            return;
        }
        self.attempts[a].over = true;
        if came.is_some() && self.nodes[i].life == life {
            let flow = self.nodes[i].flows.get(&request);
            if let Some(c) = flow.map(|flow| self.asked[flow.asked].customer) {
                let (id, plan) = (self.customers[c].id, self.customers[c].plan);
                self.check.out(self.now, id, plan, false, self.script);
            }
        }
        if self.nodes[i].life != life {
            return;
        }
        let to = backend_id(&name(s));
        let kept = matches!(outcome, Outcome::Served | Outcome::Error | Outcome::Rejected);
        if kept && self.lives[s] == of {
            *self.nodes[i].idle.entry((to, of)).or_default() += 1;
        }
        // What was never written whole has never run.
        let outcome = match outcome {
            Outcome::TimedOut if came.is_none() && self.lives[s] != of => Outcome::ConnectFailed,
            outcome => outcome,
        };
        let second = self.second();
        match outcome {
            Outcome::TimedOut => second.timed_out += 1,
            Outcome::Rejected => second.full += 1,
            Outcome::ConnectFailed => second.unreached += 1,
            _ => {}
        }
        if outcome == Outcome::Served {
            self.cold.record_served(s, i, self.now, self.attempts[a].work);
            self.answer(i, request, TryOutcome::Served);
        }
        let cell = self.servers[s].cell;
        let Some(flow) = self.nodes[i].flows.get_mut(&request) else { return };
        flow.out.retain(|out| *out != a);
        if outcome.may_have_run() && flow.risky.is_none_or(|(first, _)| sent < first) {
            flow.risky = Some((sent, cell));
        }
        let closed = !flow.open;
        if closed && flow.out.is_empty() {
            self.nodes[i].flows.remove(&request);
        }
        let load = if kept { self.load_of(shown) } else { Load::default() };
        self.feed(
            i,
            Event::AttemptEnded(AttemptEnd {
                request: RequestId(request),
                attempt: AttemptIndex(no),
                backend: to,
                outcome,
                elapsed: self.now - sent,
                request_closed: closed,
                metered_use: None,
                settled_units: None,
                load,
            }),
        );
    }

    /// An ingress gives an attempt up.
    pub(super) fn gives_up(&mut self, a: AttemptAt, outcome: Outcome) {
        let Attempt { server: s, over, .. } = self.attempts[a];
        if !over {
            self.ends(a, outcome, Reported::default());
            if self.script.servers.drops_cancelled && self.servers[s].drops(a) {
                self.foresee(s);
            }
        }
    }

    /// A real server's load report is due.
    pub(super) fn refresh(&mut self, s: usize) {
        let (every, delay) =
            (self.draw(self.script.servers.report_every), self.draw(self.script.servers.report_delay));
        let shown = self.servers[s].report();
        self.after(delay, What::Shown(s, shown));
        if self.servers[s].up || self.now < self.script.length {
            self.after(every, What::Refresh(s));
        }
    }
}
