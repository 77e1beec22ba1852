//! Clients: when the requests of customers arrive, which ingress each try goes to, and when a client retries.

use super::event::EventKind;
use super::ingresses::{Ingress, IngressRequest};
use super::{ANSWER_MARGIN_MS, ATTEMPT_MARGIN_MS, EPOCH_MS, MAX_MARGIN_SHARE, World};
use crate::score::Score;
use crate::script::{ClientPolicy, RepeatSafety};
use weldhub::Event;
use weldhub::interface::{ClassId, CustomerId, IngressId, PlanId, Request, RequestId};
use weldhub_client::ingresses::{HealthSignal, Ingresses};
use weldhub_client::policy::{RetryBudget, RetryDecision, RetryState, TryOutcome};
use weldhub_client::{IngressPolicy, RetryPolicy, RetrySafety};

/// The most instances of the client library. Customers share them in turn.
const MAX_CLIENTS: usize = 200;
/// The first flood of a customer that floods begins within this time, in milliseconds.
const FIRST_FLOOD_WITHIN_MS: f64 = 15_000.0;
/// The shortest flood, in milliseconds.
const MIN_FLOOD_MS: f64 = 800.0;
/// The longest flood is this much longer than the shortest, in milliseconds.
const FLOOD_RANGE_MS: f64 = 4000.0;
/// The shortest time between two floods of a customer, in milliseconds.
const MIN_FLOOD_GAP_MS: f64 = 8000.0;
/// The longest time between two floods is this much longer than the shortest, in milliseconds.
const FLOOD_GAP_RANGE_MS: f64 = 20_000.0;
/// The most ingresses that a request remembers as tried.
const MAX_REMEMBERED_TRIES: usize = 8;

/// An instance of the client library, with its view of the ingresses.
pub(super) struct Client {
    pub(super) ingresses: Ingresses,
    pub(super) budget: RetryBudget,
}

/// A customer of the script.
pub(super) struct Customer {
    pub(super) id: u64,
    /// The index of its plan.
    pub(super) plan: usize,
    /// The usual arrival rate, in requests per second.
    pub(super) rate: f64,
    /// The factor on `rate` during a flood.
    pub(super) flood_factor: f64,
    pub(super) flooding: bool,
    /// When the present flood ends or the next one begins, in milliseconds.
    pub(super) flood_changes_at: f64,
    /// The number of ingresses that its requests go to.
    pub(super) spread: u16,
    /// The first ingress of its set; the others follow it by index.
    pub(super) first_ingress: u16,
    /// The relative preference for each ingress of the set.
    pub(super) weights: Vec<f64>,
    /// The index of its instance of the client library.
    pub(super) client: usize,
}

/// A request of a customer, over all its tries.
pub(super) struct ClientRequest {
    pub(super) customer: usize,
    pub(super) class: usize,
    pub(super) units: u32,
    /// When it arrived at the client, in milliseconds.
    pub(super) arrived_at: f64,
    /// Its worth if it arrived inside the quota, 0 otherwise.
    pub(super) worth: f64,
    /// Whether the last try whose attempt reached a backend was inside the quota.
    pub(super) within_quota: bool,
    pub(super) tries: u32,
    /// The ingress of the try in flight.
    pub(super) pending_ingress: Option<usize>,
    pub(super) tried: Vec<usize>,
    pub(super) done: bool,
    /// When the client's timeout of the last try expires, in milliseconds.
    pub(super) try_deadline: f64,
    /// The retry policy of the client library; `None` for clients without it.
    pub(super) retry_state: Option<RetryState>,
}

impl World<'_> {
    /// Creates customers of each plan until their usage inside the quotas adds up to the load of the script,
    /// and schedules their first requests.
    pub(super) fn create_customers(&mut self) {
        let script = self.script;
        let load = &script.load;
        let mean_units = self.mean_units();
        let requests_per_second = load.level * script.warm_capacity() / script.mean_work() * 1000.0;
        let shares: f64 = script.plans.iter().map(|p| p.share).sum();
        let [near_quota, over_quota, flooding] = load.kinds;
        for (plan_index, plan) in script.plans.iter().enumerate() {
            let mut units_left = requests_per_second * mean_units * plan.share / shares;
            while units_left > 0.0 {
                let draw = self.rng.f64();
                // The usual usage in quotas, the factor of floods, and the usage inside the quota if it
                // differs from the usual one.
                let (usual, flood_factor, inside) = match draw {
                    d if d < near_quota => (0.85 + 0.15 * self.rng.f64(), 1.0, None),
                    d if d < near_quota + over_quota => {
                        let times = 1.5 + self.rng.f64() * (load.floods[0] - 1.5).max(0.0);
                        (times, 1.0, Some(1.0))
                    }
                    d if d < near_quota + over_quota + flooding => {
                        let usual = 0.2 + 0.4 * self.rng.f64();
                        let factor = (2.0 + self.rng.f64() * (load.floods[1] - 2.0).max(0.0)) / usual;
                        (usual, factor, Some(usual + 0.1))
                    }
                    _ => (0.2 + 0.4 * self.rng.f64(), 1.0, None),
                };
                let rate = plan.rate * usual / mean_units;
                units_left -= plan.rate * inside.unwrap_or(usual);
                let max_spread = load.spread[1].min(script.ingresses.count);
                let spread = self.rng.u16(load.spread[0].min(max_spread)..=max_spread);
                let first_ingress = self.draw_first_ingress();
                // Customer ids of the platform are below 2^33.
                let id = self.rng.u64(0..1 << 33);
                let customer = self.customers.len();
                let flood_changes_at =
                    if flood_factor > 1.0 { self.rng.f64() * FIRST_FLOOD_WITHIN_MS } else { f64::INFINITY };
                let weights = self.draw_customer_weights(spread);
                self.customers.push(Customer {
                    id,
                    plan: plan_index,
                    rate,
                    flood_factor,
                    flooding: false,
                    flood_changes_at,
                    spread,
                    first_ingress,
                    weights,
                    client: customer % MAX_CLIENTS,
                });
                self.schedule_next_arrival(customer);
                let shift = self.draw(load.shifts) * self.rng.f64();
                self.schedule_after(shift, EventKind::CustomerShifts(customer));
            }
        }
        let ingress_count = self.ingresses.len();
        let client = |_| Client {
            ingresses: Ingresses::new(ingress_count, IngressPolicy::default(), 0.0),
            budget: RetryBudget::new(&RetryPolicy::default()),
        };
        if load.clients == ClientPolicy::Library {
            self.clients = (0..MAX_CLIENTS.min(self.customers.len())).map(client).collect();
        }
    }

    /// Returns the mean size of a request, in units.
    pub(super) fn mean_units(&self) -> f64 {
        let total: f64 = self.size_weights.iter().sum();
        self.size_weights.iter().enumerate().map(|(i, w)| (i + 1) as f64 * w).sum::<f64>() / total
    }

    /// Draws the preferences of a customer for `spread` ingresses.
    pub(super) fn draw_customer_weights(&mut self, spread: u16) -> Vec<f64> {
        (0..spread).map(|_| 0.1 + self.rng.f64().powi(2)).collect()
    }

    /// Schedules the next request of a customer, or the beginning or end of a flood if that comes first.
    pub(super) fn schedule_next_arrival(&mut self, index: usize) {
        let customer = &self.customers[index];
        let surge = if self.now < self.surge_until { self.surge_factor } else { 1.0 };
        let rate = customer.rate * if customer.flooding { customer.flood_factor } else { 1.0 } * surge;
        let flood_changes_at = customer.flood_changes_at;
        let gap = -(1.0 - self.rng.f64()).ln() * 1000.0 / rate.max(1e-9);
        // The gap is drawn again at the new rate when a flood begins or ends: a Poisson process has no
        // memory.
        if self.now + gap > flood_changes_at {
            let flooding = !self.customers[index].flooding;
            let lasts = if flooding {
                MIN_FLOOD_MS + FLOOD_RANGE_MS * self.rng.f64()
            } else {
                MIN_FLOOD_GAP_MS + FLOOD_GAP_RANGE_MS * self.rng.f64()
            };
            let customer = &mut self.customers[index];
            (customer.flooding, customer.flood_changes_at) = (flooding, flood_changes_at + lasts);
            self.schedule_at(flood_changes_at, EventKind::RequestArrives(usize::MAX - index));
        } else if self.now + gap < self.script.length {
            self.schedule_after(gap, EventKind::RequestArrives(index));
        }
    }

    /// A request of a customer arrives: draws its class and size, starts the first try and schedules the next
    /// request.
    pub(super) fn request_arrives(&mut self, customer: usize) {
        let script = self.script;
        let shares: Vec<f64> = script.classes.iter().map(|class| class.share).collect();
        let class_index = self.draw_weighted(&shares);
        let size_weights = std::mem::take(&mut self.size_weights);
        let units = self.draw_weighted(&size_weights) as u32 + 1;
        self.size_weights = size_weights;
        let (id, plan) = (self.customers[customer].id, self.customers[customer].plan);
        let worth = self.score.record_demand(self.now, id, plan, class_index, f64::from(units), script);
        self.current_second().asked += worth;
        let class = &script.classes[class_index];
        let retry_state = (script.load.clients == ClientPolicy::Library).then(|| {
            let retry_safety = match class.repeat {
                RepeatSafety::Safe => RetrySafety::Safe,
                RepeatSafety::Keyed { window } => RetrySafety::Keyed { window },
                RepeatSafety::Unsafe => RetrySafety::Unsafe,
            };
            RetryState::new(retry_safety, self.now + class.give_up)
        });
        let request = self.client_requests.len();
        self.client_requests.push(ClientRequest {
            customer,
            class: class_index,
            units,
            arrived_at: self.now,
            worth,
            within_quota: false,
            tries: 0,
            pending_ingress: None,
            tried: Vec::new(),
            done: false,
            try_deadline: 0.0,
            retry_state,
        });
        self.totals.requests += 1;
        self.start_try(request);
        self.schedule_next_arrival(customer);
    }

    /// Starts the next try of a request at an ingress of the customer's set, which the client library picks,
    /// or the customer's preferences among the ingresses that are not known to be down.
    pub(super) fn start_try(&mut self, request_index: usize) {
        if self.client_requests[request_index].done {
            return;
        }
        let (customer, class) =
            (self.client_requests[request_index].customer, self.client_requests[request_index].class);
        let give_up = self.script.classes[class].give_up;
        let (spread, first_ingress, ingress_count) =
            (self.customers[customer].spread, self.customers[customer].first_ingress, self.ingresses.len());
        let known_down = |ingress: &Ingress, now: f64| !ingress.up && now >= ingress.known_down_at;
        let ingress = if self.client_requests[request_index].retry_state.is_some() {
            let Self { clients, client_requests, rng, customers, .. } = self;
            let client = &mut clients[customers[customer].client];
            let set = client.ingresses.ingress_set(usize::from(spread), usize::from(first_ingress));
            let tried = &client_requests[request_index].tried;
            let Some(ingress) = client.ingresses.pick(self.now, set, tried, &mut || rng.f64()) else {
                return;
            };
            client.ingresses.try_started(ingress);
            ingress
        } else {
            let mut weights = self.customers[customer].weights.clone();
            for (k, weight) in weights.iter_mut().enumerate() {
                let ingress = (usize::from(first_ingress) + k) % ingress_count;
                *weight *= self.ingress_weights[ingress];
                if known_down(&self.ingresses[ingress], self.now) {
                    *weight = 0.0;
                }
            }
            if weights.iter().sum::<f64>() <= 0.0 {
                weights.fill(1.0);
            }
            (usize::from(first_ingress) + self.draw_weighted(&weights)) % ingress_count
        };
        let timeout = if self.client_requests[request_index].retry_state.is_some() {
            self.client_requests[request_index].arrived_at + give_up - self.now
        } else {
            give_up * self.draw(self.script.load.try_share)
        };
        let request = &mut self.client_requests[request_index];
        (request.tries, request.pending_ingress, request.try_deadline) =
            (request.tries + 1, Some(ingress), self.now + timeout);
        request.tried.push(ingress);
        let try_number = request.tries;
        if let Some(retry_state) = &mut request.retry_state {
            let budget = &mut self.clients[self.customers[customer].client].budget;
            retry_state.try_sent(self.now, &RetryPolicy::default(), budget);
        }
        self.totals.tries += 1;
        let delay = self.draw(self.script.network.client);
        let incarnation = self.ingresses[ingress].incarnation;
        self.schedule_after(timeout, EventKind::TryTimesOut(request_index, try_number));
        if !self.ingresses[ingress].up {
            self.schedule_after(
                2.0 * delay,
                EventKind::TryAnswered(request_index, try_number, TryOutcome::NotSent),
            );
        } else {
            self.client_requests[request_index].tried.truncate(MAX_REMEMBERED_TRIES);
            self.schedule_after(
                delay,
                EventKind::TryArrives(request_index, try_number, ingress, incarnation),
            );
        }
    }

    /// A try arrives at an ingress and is passed to its decision module as a request.
    pub(super) fn try_arrives(
        &mut self,
        request_index: usize,
        try_number: u32,
        ingress: usize,
        incarnation: u32,
    ) {
        let delay = self.draw(self.script.network.client);
        if !self.ingresses[ingress].is_live(incarnation) {
            return self.schedule_after(
                delay,
                EventKind::TryAnswered(request_index, try_number, TryOutcome::ConnectionLost),
            );
        }
        if self.client_requests[request_index].done || self.client_requests[request_index].tries != try_number
        {
            return;
        }
        let (customer, class, units) = (
            self.client_requests[request_index].customer,
            self.client_requests[request_index].class,
            f64::from(self.client_requests[request_index].units),
        );
        // The ingress learns how long the client still waits.
        let time_left = self.client_requests[request_index].try_deadline - self.now;
        if time_left <= 1.0 {
            return;
        }
        self.last_request_id += 1;
        let id = self.last_request_id;
        let less_margin = |margin: f64| time_left - margin.min(time_left * MAX_MARGIN_SHARE);
        let deadline = self.now + less_margin(ATTEMPT_MARGIN_MS);
        let ingress_request = IngressRequest {
            client_request: request_index,
            try_number,
            deadline,
            attempts_started: 0,
            in_flight: Vec::new(),
            open: true,
            reached_backend: false,
            maybe_executed: None,
        };
        self.ingresses[ingress].requests.insert(id, ingress_request);
        self.schedule_after(less_margin(ANSWER_MARGIN_MS), EventKind::AnswerDue(ingress, incarnation, id));
        let customer = &self.customers[customer];
        let request = Request {
            id: RequestId(id),
            class: ClassId(class),
            plan: PlanId(customer.plan),
            customer: CustomerId(customer.id),
            time_left: deadline - self.now,
            units,
            spread: customer.spread,
            first_ingress: IngressId(customer.first_ingress),
            is_retry: false,
            identity: None,
        };
        self.ingresses[ingress].try_counts.arrived += 1;
        let before = self.ingresses[ingress].decisions.view(EPOCH_MS + self.now);
        self.dispatch(ingress, Event::Request(request));
        // A try that was rejected on arrival is counted by whether its units exceeded the free capacity.
        let rejected = self.ingresses[ingress]
            .requests
            .get(&id)
            .is_none_or(|request| !request.open && request.attempts_started == 0);
        if rejected && self.client_requests[request_index].worth > 0.0 {
            let lacks_capacity = before.in_flight - before.silent_units + units > before.capacity;
            let counts = &mut self.ingresses[ingress].try_counts;
            if lacks_capacity {
                counts.rejected_for_capacity += 1;
                self.current_second().no_room += 1;
            } else {
                counts.rejected_otherwise += 1;
                self.current_second().no_way += 1;
            }
        }
    }

    /// The outcome of a try reaches the client, which ends the request or schedules the next try.
    pub(super) fn try_answered(&mut self, request_index: usize, try_number: u32, outcome: TryOutcome) {
        if self.client_requests[request_index].done
            || self.client_requests[request_index].tries != try_number
            || self.client_requests[request_index].pending_ingress.is_none()
        {
            return;
        }
        let script = self.script;
        let (class_index, arrived_at) =
            (self.client_requests[request_index].class, self.client_requests[request_index].arrived_at);
        let class = &script.classes[class_index];
        let Some(ingress) = self.client_requests[request_index].pending_ingress.take() else { return };
        let customer = self.client_requests[request_index].customer;
        if self.client_requests[request_index].retry_state.is_some() {
            let signal = match outcome {
                TryOutcome::NotSent => HealthSignal::Unreachable,
                outcome if outcome.may_have_run() => HealthSignal::Failed,
                _ => HealthSignal::Answered,
            };
            let Self { clients, rng, customers, .. } = self;
            let client = &mut clients[customers[customer].client];
            client.ingresses.try_ended(self.now, ingress, signal, &mut || rng.f64());
        }
        if outcome == TryOutcome::Served {
            self.client_requests[request_index].done = true;
            self.tallies[class_index].record_served(self.now - arrived_at);
            if self.client_requests[request_index].within_quota && self.now - arrived_at <= class.aim {
                let (plan, units) =
                    (self.customers[customer].plan, f64::from(self.client_requests[request_index].units));
                let worth = Score::request_worth(plan, class_index, units, script);
                self.score.record_served(arrived_at, plan, class_index, worth);
                let second = ((arrived_at / 1000.0) as usize).min(self.seconds.len().saturating_sub(1));
                if let Some(second) = self.seconds.get_mut(second) {
                    second.served += worth;
                }
            }
            return;
        }
        let retry_at = match &mut self.client_requests[request_index].retry_state {
            Some(retry_state) => {
                let rng = &mut self.rng;
                let budget = &mut self.clients[self.customers[customer].client].budget;
                let policy = RetryPolicy::default();
                match retry_state.try_ended(self.now, outcome, &policy, budget, &mut || rng.f64()) {
                    RetryDecision::RetryAt(at) => Some(at),
                    RetryDecision::Stop(_) => None,
                }
            }
            None => {
                // Retries after any outcome, unless an unsafe request may have been executed.
                let safe = class.repeat != RepeatSafety::Unsafe || !outcome.may_have_run();
                let backoff = self.draw(script.load.backoff);
                let in_time = self.now + backoff < arrived_at + class.give_up;
                let retries_left = self.client_requests[request_index].tries <= script.load.retries;
                (safe && in_time && retries_left).then_some(self.now + backoff)
            }
        };
        match retry_at {
            Some(at) => self.schedule_at(at, EventKind::TryStarts(request_index)),
            None => {
                self.client_requests[request_index].done = true;
                let end = if matches!(outcome, TryOutcome::Rejected { .. }) { 1 } else { 2 };
                self.tallies[class_index].outcomes[end] += 1;
            }
        }
    }

    /// The client's timeout of a try expires: the client closes the request at the ingress.
    pub(super) fn try_times_out(&mut self, request_index: usize, try_number: u32) {
        let request = &self.client_requests[request_index];
        if !request.done && request.tries == try_number && request.pending_ingress.is_some() {
            let ingress = request.pending_ingress.unwrap_or(0);
            let mut open = self.ingresses[ingress].requests.iter().filter(|(_, request)| {
                request.client_request == request_index && request.try_number == try_number && request.open
            });
            let id = open.next().map(|(id, _)| *id);
            self.try_answered(request_index, try_number, TryOutcome::TimedOut);
            if let Some(id) = id
                && let Some(request) = self.ingresses[ingress].requests.get_mut(&id)
            {
                request.open = false;
                if request.in_flight.is_empty() {
                    self.ingresses[ingress].requests.remove(&id);
                }
                self.dispatch(ingress, Event::ClientLeft(RequestId(id)));
            }
        }
    }

    /// Draws new preferences of a customer for its ingresses, and schedules the next change.
    pub(super) fn shift_customer(&mut self, customer: usize) {
        let spread = self.customers[customer].spread;
        self.customers[customer].weights = self.draw_customer_weights(spread);
        let interval = self.draw(self.script.load.shifts);
        self.schedule_after(interval, EventKind::CustomerShifts(customer));
    }
}
