//! Clients: when customers ask, by which ingress, and how tries follow each other.

use super::event::What;
use super::ingresses::{Flow, Node};
use super::{EPOCH, SLACK, SLACK_PART, World};
use crate::judge::Judge;
use crate::script::{ClientPolicy, RepeatSafety};
use weldhub::Event;
use weldhub::interface::{ClassId, CustomerId, IngressId, PlanId, Request, RequestId};
use weldhub_client::ingresses::{HealthSignal, Ingresses};
use weldhub_client::policy::{RetryBudget, RetryDecision, RetryState, TryOutcome};
use weldhub_client::{IngressPolicy, RetryPolicy, RetrySafety as Again};

pub(super) struct Asker {
    pub(super) ingresses: Ingresses,
    pub(super) budget: RetryBudget,
}

pub(super) struct Customer {
    pub(super) id: u64,
    pub(super) plan: usize,
    /// Requests a second as a rule, in a flood, and when that ends or the next begins.
    pub(super) rate: f64,
    pub(super) flood: f64,
    pub(super) flooding: bool,
    pub(super) turns: f64,
    pub(super) spread: u16,
    pub(super) first: u16,
    pub(super) weights: Vec<f64>,
    pub(super) asker: usize,
}

pub(super) struct Asked {
    pub(super) customer: usize,
    pub(super) class: usize,
    pub(super) units: u32,
    pub(super) at: f64,
    pub(super) worth: f64,
    /// Its last try that was sent on was inside the quota.
    pub(super) inside: bool,
    pub(super) tries: u32,
    /// The try that is on its way, and where.
    pub(super) live: Option<usize>,
    pub(super) tried: Vec<usize>,
    pub(super) done: bool,
    /// When the client gives the try up.
    pub(super) until: f64,
    pub(super) call: Option<RetryState>,
}

impl World<'_> {
    /// Customers enough for the load.
    pub(super) fn people(&mut self) {
        let script = self.script;
        let load = &script.load;
        let mean_units = self.mean_units();
        let requests = load.level * script.warm_capacity() / script.mean_work() * 1000.0;
        let shares: f64 = script.plans.iter().map(|p| p.share).sum();
        let [near, heavy, floods] = load.kinds;
        for (p, plan) in script.plans.iter().enumerate() {
            let mut left = requests * mean_units * plan.share / shares;
            while left > 0.0 {
                let draw = self.rng.f64();
                let (own, flood, inside) = match draw {
                    d if d < near => (0.85 + 0.15 * self.rng.f64(), 1.0, None),
                    d if d < near + heavy => {
                        let times = 1.5 + self.rng.f64() * (load.floods[0] - 1.5).max(0.0);
                        (times, 1.0, Some(1.0))
                    }
                    d if d < near + heavy + floods => {
                        let own = 0.2 + 0.4 * self.rng.f64();
                        (own, (2.0 + self.rng.f64() * (load.floods[1] - 2.0).max(0.0)) / own, Some(own + 0.1))
                    }
                    _ => (0.2 + 0.4 * self.rng.f64(), 1.0, None),
                };
                let rate = plan.rate * own / mean_units;
                left -= plan.rate * inside.unwrap_or(own);
                let most = load.spread[1].min(script.ingresses.count);
                let spread = self.rng.u16(load.spread[0].min(most)..=most);
                let first = self.first_of_set();
                // As ids on the platform: any number below 2^33.
                let id = self.rng.u64(0..1 << 33);
                let c = self.customers.len();
                let turns = if flood > 1.0 { self.rng.f64() * 15_000.0 } else { f64::INFINITY };
                let weights = self.weights(spread);
                let asker = c % 200;
                self.customers.push(Customer {
                    id,
                    plan: p,
                    rate,
                    flood,
                    flooding: false,
                    turns,
                    spread,
                    first,
                    weights,
                    asker,
                });
                self.next_arrival(c);
                let shift = self.draw(load.shifts) * self.rng.f64();
                self.after(shift, What::Shift(c));
            }
        }
        let many = self.nodes.len();
        let asker = |_| Asker {
            ingresses: Ingresses::new(many, IngressPolicy::default(), 0.0),
            budget: RetryBudget::new(&RetryPolicy::default()),
        };
        if load.clients == ClientPolicy::Library {
            self.askers = (0..200.min(self.customers.len())).map(asker).collect();
        }
    }

    pub(super) fn mean_units(&self) -> f64 {
        let all: f64 = self.units.iter().sum();
        self.units.iter().enumerate().map(|(i, w)| (i + 1) as f64 * w).sum::<f64>() / all
    }

    pub(super) fn weights(&mut self, spread: u16) -> Vec<f64> {
        (0..spread).map(|_| 0.1 + self.rng.f64().powi(2)).collect()
    }

    pub(super) fn next_arrival(&mut self, c: usize) {
        let customer = &self.customers[c];
        let surge = if self.now < self.surge.1 { self.surge.0 } else { 1.0 };
        let rate = customer.rate * if customer.flooding { customer.flood } else { 1.0 } * surge;
        let turns = customer.turns;
        let gap = -(1.0 - self.rng.f64()).ln() * 1000.0 / rate.max(1e-9);
        // A flood that begins or ends meanwhile draws anew: a Poisson process has no memory.
        if self.now + gap > turns {
            let flooding = !self.customers[c].flooding;
            let lasts =
                if flooding { 800.0 + 4000.0 * self.rng.f64() } else { 8000.0 + 20_000.0 * self.rng.f64() };
            let customer = &mut self.customers[c];
            (customer.flooding, customer.turns) = (flooding, turns + lasts);
            self.at(turns, What::Arrives(usize::MAX - c));
        } else if self.now + gap < self.script.length {
            self.after(gap, What::Arrives(c));
        }
    }

    pub(super) fn arrives(&mut self, c: usize) {
        let script = self.script;
        let shares: Vec<f64> = script.classes.iter().map(|class| class.share).collect();
        let class = self.pick(&shares);
        let sizes = std::mem::take(&mut self.units);
        let units = self.pick(&sizes) as u32 + 1;
        self.units = sizes;
        let (id, plan) = (self.customers[c].id, self.customers[c].plan);
        let worth = self.judge.asked(self.now, id, plan, class, f64::from(units), script);
        self.second().asked += worth;
        let kind = &script.classes[class];
        let call = (script.load.clients == ClientPolicy::Library).then(|| {
            let effect = match kind.repeat {
                RepeatSafety::Safe => Again::Safe,
                RepeatSafety::Keyed { window } => Again::Keyed { window },
                RepeatSafety::Unsafe => Again::Unsafe,
            };
            RetryState::new(effect, self.now + kind.give_up)
        });
        let n = self.asked.len();
        self.asked.push(Asked {
            customer: c,
            class,
            units,
            at: self.now,
            worth,
            inside: false,
            tries: 0,
            live: None,
            tried: Vec::new(),
            done: false,
            until: 0.0,
            call,
        });
        self.totals.requests += 1;
        self.tries(n);
        self.next_arrival(c);
    }

    pub(super) fn tries(&mut self, n: usize) {
        if self.asked[n].done {
            return;
        }
        let (c, class) = (self.asked[n].customer, self.asked[n].class);
        let give_up = self.script.classes[class].give_up;
        let (spread, first, many) = (self.customers[c].spread, self.customers[c].first, self.nodes.len());
        let known_dead = |node: &Node, now: f64| !node.up && now >= node.noticed;
        let i = if self.asked[n].call.is_some() {
            let Self { askers, asked, rng, customers, .. } = self;
            let asker = &mut askers[customers[c].asker];
            let set = asker.ingresses.ingress_set(usize::from(spread), usize::from(first));
            let Some(i) = asker.ingresses.pick(self.now, set, &asked[n].tried, &mut || rng.f64()) else {
                return;
            };
            asker.ingresses.try_started(i);
            i
        } else {
            let mut weights = self.customers[c].weights.clone();
            for (k, weight) in weights.iter_mut().enumerate() {
                let at = (usize::from(first) + k) % many;
                *weight *= self.pulls[at];
                if known_dead(&self.nodes[at], self.now) {
                    *weight = 0.0;
                }
            }
            if weights.iter().sum::<f64>() <= 0.0 {
                weights.fill(1.0);
            }
            (usize::from(first) + self.pick(&weights)) % many
        };
        let left = if self.asked[n].call.is_some() {
            self.asked[n].at + give_up - self.now
        } else {
            give_up * self.draw(self.script.load.try_share)
        };
        let asked = &mut self.asked[n];
        (asked.tries, asked.live, asked.until) = (asked.tries + 1, Some(i), self.now + left);
        asked.tried.push(i);
        let no = asked.tries;
        if let Some(call) = &mut asked.call {
            let budget = &mut self.askers[self.customers[c].asker].budget;
            call.try_sent(self.now, &RetryPolicy::default(), budget);
        }
        self.totals.tries += 1;
        let way = self.draw(self.script.network.client);
        let life = self.nodes[i].life;
        self.after(left, What::TryEnds(n, no));
        let node = &self.nodes[i];
        if !node.up {
            self.after(2.0 * way, What::Answered(n, no, TryOutcome::NotSent));
        } else {
            // The ingress is told the whole time, from when the client sent it.
            self.asked[n].tried.truncate(8);
            self.after(way, What::Reaches(n, no, i, life));
        }
    }

    pub(super) fn reaches(&mut self, n: usize, no: u32, i: usize, life: u32) {
        let way = self.draw(self.script.network.client);
        if !self.nodes[i].up || self.nodes[i].life != life {
            return self.after(way, What::Answered(n, no, TryOutcome::ConnectionLost));
        }
        if self.asked[n].done || self.asked[n].tries != no {
            return;
        }
        let (c, class, units) = (self.asked[n].customer, self.asked[n].class, f64::from(self.asked[n].units));
        // Each is told how long its client waits.
        let left = self.asked[n].until - self.now;
        if left <= 1.0 {
            return;
        }
        self.next_request += 1;
        let id = self.next_request;
        let parts = |slack: f64| left - slack.min(left * SLACK_PART);
        let until = self.now + parts(SLACK.0);
        let flow = Flow {
            asked: n,
            no,
            until,
            started: 0,
            out: Vec::new(),
            open: true,
            reached: false,
            risky: None,
        };
        self.nodes[i].flows.insert(id, flow);
        self.after(parts(SLACK.1), What::Guard(i, life, id));
        let customer = &self.customers[c];
        let request = Request {
            id: RequestId(id),
            class: ClassId(class),
            plan: PlanId(customer.plan),
            customer: CustomerId(customer.id),
            time_left: until - self.now,
            units,
            spread: customer.spread,
            first_ingress: IngressId(customer.first),
            is_retry: false,
        };
        self.nodes[i].counts[0] += 1;
        let before = self.nodes[i].brain.view(EPOCH + self.now);
        self.feed(i, Event::Request(request));
        // Refused in the same turn: what was full?
        let refused = self.nodes[i].flows.get(&id).is_none_or(|flow| !flow.open && flow.started == 0);
        if refused && self.asked[n].worth > 0.0 {
            let room = before.in_flight - before.silent_units + units > before.capacity;
            self.nodes[i].counts[if room { 1 } else { 2 }] += 1;
            let second = self.second();
            if room {
                second.no_room += 1;
            } else {
                second.no_way += 1;
            }
        }
    }

    pub(super) fn answered(&mut self, n: usize, no: u32, how: TryOutcome) {
        if self.asked[n].done || self.asked[n].tries != no || self.asked[n].live.is_none() {
            return;
        }
        let script = self.script;
        let (class, at) = (self.asked[n].class, self.asked[n].at);
        let kind = &script.classes[class];
        let Some(i) = self.asked[n].live.take() else { return };
        let c = self.asked[n].customer;
        if self.asked[n].call.is_some() {
            let went = match how {
                TryOutcome::NotSent => HealthSignal::Unreachable,
                how if how.may_have_run() => HealthSignal::Failed,
                _ => HealthSignal::Answered,
            };
            let Self { askers, rng, customers, .. } = self;
            askers[customers[c].asker].ingresses.try_ended(self.now, i, went, &mut || rng.f64());
        }
        if how == TryOutcome::Served {
            self.asked[n].done = true;
            self.tallies[class].record_served(self.now - at);
            if self.asked[n].inside && self.now - at <= kind.aim {
                let (plan, units) = (self.customers[c].plan, f64::from(self.asked[n].units));
                let worth = Judge::worth(plan, class, units, script);
                self.judge.served(at, plan, class, worth);
                let step = ((at / 1000.0) as usize).min(self.seconds.len().saturating_sub(1));
                if let Some(second) = self.seconds.get_mut(step) {
                    second.served += worth;
                }
            }
            return;
        }
        let again = match &mut self.asked[n].call {
            Some(call) => {
                let rng = &mut self.rng;
                let budget = &mut self.askers[self.customers[c].asker].budget;
                match call.try_ended(self.now, how, &RetryPolicy::default(), budget, &mut || rng.f64()) {
                    RetryDecision::RetryAt(at) => Some(at),
                    RetryDecision::Stop(_) => None,
                }
            }
            None => {
                // Asks again whatever came, unless the move may have been made.
                let harmless = kind.repeat != RepeatSafety::Unsafe || !how.may_have_run();
                let wait = self.draw(script.load.backoff);
                let time = self.now + wait < at + kind.give_up;
                let more = self.asked[n].tries <= script.load.retries;
                (harmless && time && more).then_some(self.now + wait)
            }
        };
        match again {
            Some(at) => self.at(at, What::Tries(n)),
            None => {
                self.asked[n].done = true;
                let end = if matches!(how, TryOutcome::Rejected { .. }) { 1 } else { 2 };
                self.tallies[class].outcomes[end] += 1;
            }
        }
    }

    /// A try has taken as long as its client waits.
    pub(super) fn try_ends(&mut self, n: usize, no: u32) {
        let asked = &self.asked[n];
        if !asked.done && asked.tries == no && asked.live.is_some() {
            // The client goes: nobody waits for the answer any more.
            let i = asked.live.unwrap_or(0);
            let mut left = self.nodes[i].flows.iter().filter(|(_, f)| f.asked == n && f.no == no && f.open);
            let id = left.next().map(|(id, _)| *id);
            self.answered(n, no, TryOutcome::TimedOut);
            if let Some(id) = id
                && let Some(flow) = self.nodes[i].flows.get_mut(&id)
            {
                flow.open = false;
                if flow.out.is_empty() {
                    self.nodes[i].flows.remove(&id);
                }
                self.feed(i, Event::ClientLeft(RequestId(id)));
            }
        }
    }

    /// A customer's requests shift between its ingresses.
    pub(super) fn shifts(&mut self, c: usize) {
        let spread = self.customers[c].spread;
        self.customers[c].weights = self.weights(spread);
        let next = self.draw(self.script.load.shifts);
        self.after(next, What::Shift(c));
    }
}
