//! All decisions of an ingress: which requests are admitted, which backends they are sent to, and what
//! follows when an attempt fails.
//!
//! The interface (settings, events and actions) is in `src/interface.rs`; `docs/design.md` gives the reasons.
//! A request is checked against the customer's token bucket, its in-flight limit, its reservation and the
//! shared capacity, in this order.

use crate::interface::*;
use crate::peer_messages::{QuotaMessage, QuotaRequest, decode_report_lines};
use crate::quota_messages::{counter_attempt_step, counter_ttl};
use crate::quota_pool::{PoolTerms, has_pool};
use crate::state::*;
use crate::window::{TokenBucket, poisson_below};
use std::collections::BTreeSet;

/// The order of candidate backends, smallest first: whether the backend is passed over, whether those of
/// other zones, kinds or weights come first, and its cost.
type CandidateRank = (bool, bool, f64);

/// Time constant of demand: covers a few requests of a small customer, but less than a shift of traffic.
const DEMAND_TAU: Millis = 3000.0;
/// Fraction of the peers' message limit that reports may use, so that a late burst of them is not dropped.
const REPORT_MESSAGE_SHARE: f64 = 0.8;
/// The shortest time between usage reports: reports that are more frequent carry nothing new.
const MIN_REPORT_INTERVAL: Millis = 25.0;
/// The longest time between usage reports: reports that are less frequent are of no use to a token bucket.
const MAX_REPORT_INTERVAL: Millis = 200.0;
/// Report intervals without a report after which a peer is silent: two lost in a row may be chance.
const MISSED_REPORTS_LIMIT: f64 = 6.0;
/// Factor by which a failed counter call lowers the fraction of tries that call the counter.
const CALL_SHARE_DECREASE: f64 = 0.7;
/// The most that a fast counter call adds to the fraction of tries that call the counter; a slow call lowers
/// that by five times this fraction of itself.
const CALL_SHARE_INCREASE: f64 = 0.02;
/// The least fraction of tries that call the counter.
const MIN_CALL_SHARE: f64 = CALL_SHARE_INCREASE;
/// The least time left for a try to wait for the counter, in time-outs of a call.
const MIN_TIME_LEFT_TIMEOUTS: f64 = 3.0;
/// Fraction of the time-out over which a call is slow: calls queue then, and fewer are made before any fails.
const SLOW_CALL_SHARE: f64 = 0.4;
/// Fraction of their rates that the other ingresses are assumed to use.
const ASSUMED_RATE_USE: f64 = 0.5;
/// Assumed attempts in flight for each one that a rate and a mean duration account for.
const ASSUMED_IN_FLIGHT_FACTOR: f64 = 1.3;
/// Time in which other ingresses may grant their demand before this one is notified.
const UNREPORTED_DEMAND_TIME: Millis = 300.0;
/// Fraction of its aim after which a try may come back that was rejected for lack of information.
const UNINFORMED_RETRY_AIM_SHARE: f64 = 0.1;
/// Time constant of the fraction of counted tries that fit, which is used for the other tries of their plan.
const COUNTED_FIT_TAU: Millis = 20_000.0;
/// How a customer's unused units are lent and borrowed. The slices hold whole bursts in addition to the pool.
pub(crate) const POOL: PoolTerms = PoolTerms {
    max_burst_share: 0.25,
    lease: CREDIT_LIFETIME,
    short_pause: 400.0,
    min_lend_interval: 4000.0,
    max_lend_interval: 16_000.0,
    min_lend_requests: 1.0,
};
/// Number of ingresses up to which a fleet is small, and each ingress has minimums of its own. In a larger
/// fleet the minimums shrink so that their sum stays.
pub(crate) const SMALL_FLEET_INGRESSES: f64 = 12.0;
/// Capacity, in requests of the size at hand, below which a request that only partly fits gets a chance.
const SMALL_CAPACITY_REQUESTS: f64 = SMALL_FLEET_INGRESSES;
/// Time after which an unanswered quota request is sent once more, then dropped: most round trips take less.
pub(crate) const QUOTA_ANSWER_TIMEOUT: Millis = 120.0;
/// Quota requests in a row without an answer after which a quota owner is skipped.
const OWNER_LOST_AFTER: u32 = 3;
/// Time for which such an owner is skipped.
const OWNER_SKIP_TIME: Millis = 2000.0;
/// Time within which units granted in advance must be used: the customer loses those that expire.
const CREDIT_LIFETIME: Millis = 1000.0;
/// Fraction of a quota owner's message limit that the quota requests for one customer may use.
const QUOTA_REQUEST_SHARE: f64 = 0.3;
/// Fraction of a burst that an owner assumes in the bucket of an unknown customer: the bucket of a heavy
/// customer is empty, most others are full.
const INITIAL_BUCKET_SHARE: f64 = 0.6;
/// The shortest time for which an ingress sends no quota requests after a denial.
const MIN_DENIAL_PAUSE: Millis = 30.0;
/// The longest time for which an ingress sends no quota requests after a denial.
const MAX_DENIAL_PAUSE: Millis = 3000.0;
/// Time constant of quota requests, and of latency pressure while answers are rare.
const SHORT_TAU: Millis = 1000.0;
/// Initial capacity in units for each ready backend, over all ingresses.
const INITIAL_UNITS_PER_BACKEND: f64 = 4.0;
/// The least capacity, in mean requests for each ready backend over all ingresses; keeps answers coming to
/// learn from.
const MIN_REQUESTS_PER_BACKEND: f64 = 4.0;
/// Fraction of the capacity that is reserved for the class with the highest worth for its work. Other classes
/// are kept out of it in proportion to how much less they are worth.
const WORTH_HEADROOM: f64 = 0.4;
/// Factor by which a cut reduces the capacity.
const CAPACITY_DECREASE_FACTOR: f64 = 0.85;
/// Weight of the latency pressure that peers report; this ingress's own has the rest.
const PEER_PRESSURE_WEIGHT: f64 = 0.8;
/// Latency pressure (mean fraction of their aims that answers take) over which the capacity is cut. Idle
/// backends take far less.
const PRESSURE_THRESHOLD: f64 = 0.3;
/// Estimated time that attempts in flight need to end, in aims, over which the capacity is cut.
const STALL_AIM_MULTIPLE: f64 = 1.0;
/// Upper bound of that estimate, as a multiple of the mean age of the units in flight.
const MAX_MEAN_AGE_MULTIPLE: f64 = 3.0;
/// Weight of one answer or load report in the moving averages.
pub(crate) const SAMPLE_WEIGHT: f64 = 0.1;
/// Fraction of the capacity up to which requests beyond the quota are admitted, if they are worth anything.
const EXCESS_CAPACITY_SHARE: f64 = 0.5;
/// Expected latency of a class before its first answer, as a fraction of its aim.
const INITIAL_LATENCY_AIM_SHARE: f64 = 0.25;
/// Time-out of a repeatable attempt, in expected latencies.
const ATTEMPT_TIMEOUT_LATENCIES: f64 = 8.0;
/// The least such time-out, as a fraction of the class's aim.
const ATTEMPT_TIMEOUT_AIM_SHARE: f64 = 0.8;
/// Fraction of attempts that time out over which answers are assumed to get lost.
const LOST_ANSWERS_THRESHOLD: f64 = 0.06;
/// Factor by which attempt time-outs shrink while answers get lost.
const LOST_ANSWERS_TIMEOUT_FACTOR: f64 = 0.55;
/// Retries that each request adds to the retry budget.
const RETRY_BUDGET_PER_REQUEST: f64 = 0.15;
/// The most retries that the budget saves up.
const MAX_RETRY_BUDGET: f64 = 20.0;
/// Time constant with which the observed latencies of a backend, a zone or a kind of machine fade.
const SLOWNESS_TAU: Millis = 6000.0;
/// Number of backends that are compared for each attempt (power of d choices).
const MAX_CANDIDATES: usize = 6;
/// Number of backends that are sampled to find these.
const MAX_SAMPLES: usize = 24;
/// Load of an idle backend in its cost, in attempts in flight by weight: small, so that one more weighs much.
const IDLE_LOAD: f64 = 0.4;
/// Number of warm backends that an ingress of a large fleet prefers while any of them is healthy.
const PREFERRED_BACKENDS: f64 = 16.0;
/// Factor by which a backend in another zone must be better if crossing zones has a cost.
const CROSS_ZONE_FACTOR: f64 = 1.25;
/// When a failing backend is ejected, and for how long.
const EJECTION: EjectionPolicy = EjectionPolicy { after_failures: 3, min_time: 500.0, max_time: 4000.0 };
/// The most backends that are passed over, as a fraction of all (a zone and some more): beyond it the fault
/// is not the backends' own.
const MAX_PASSED_OVER_SHARE: f64 = 0.75;
/// Time without any answer after which a backend with work in flight is silent, in expected latencies.
const SILENCE_LATENCIES: f64 = 6.0;
/// Latency of a backend, in expected latencies, over which it is an outlier and says nothing of the others.
const OUTLIER_LATENCIES: f64 = 2.0;
/// Time for which a backend must be unreachable to count as restarted, and so as cold, when it answers again.
const ASSUMED_RESTART_AFTER: Millis = 400.0;
/// Latency, in expected latencies, up to which a cold backend served without delay.
const MAX_UNDELAYED_LATENCIES: f64 = 1.3;
/// The most that one attempt counts in the latency of a zone or a kind of machine, in expected latencies.
const MAX_ATTEMPT_LATENCIES: f64 = 8.0;
/// Latency of a zone or a kind of machine of which all attempts fail, in expected latencies.
const ALL_FAILED_LATENCIES: f64 = 32.0;
/// Time after which a customer without requests is forgotten.
const CUSTOMER_RETENTION: Millis = 60_000.0;
/// Time after which a failed subscription is retried: an earlier retry would add to what made it fail.
const SUBSCRIBE_RETRY_PAUSE: Millis = 1000.0;

impl Limiter {
    /// Returns the limiter of an ingress. The seed must be a new one at every start.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let usage_source = match &settings {
            s if s.peers && s.peer_messages_per_second > 0.0 => UsageSource::Peers,
            s if s.counter => UsageSource::Counter,
            s if s.meter_period > 0.0 => UsageSource::Meter,
            _ => UsageSource::None,
        };
        let mut limiter = Self::empty(settings, usage_source, seed);
        (limiter.retry_budget, limiter.call_share) =
            (MAX_RETRY_BUDGET * limiter.small_fleet_scale(), limiter.small_fleet_scale().sqrt());
        Ok(limiter)
    }

    /// Handles an event at `now` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        let now = now + self.clock_shift;
        match event {
            Event::Start => {
                (self.started_at, self.capacity_cut_at) = (now, now);
                if self.settings.list_on_request {
                    actions.push(Action::Subscribe);
                }
                actions.push(Action::SetTimer(self.next_tick_delay(), TICK_TIMER));
            }
            Event::BackendList(kind, entries) => self.on_backend_list(now, kind, entries, actions),
            Event::Request(request) => self.on_request(now, request, actions),
            Event::StreamStarted(id, index) => self.on_stream_started(id, index),
            Event::AttemptEnded(end) => self.on_attempt_ended(now, end, actions),
            Event::ClientLeft(id) => actions.extend(self.on_client_left(id)),
            Event::PeerMessage(from, bytes) => self.on_peer_message(now, from, &bytes, actions),
            Event::Timer(TICK_TIMER) => self.on_tick(now, actions),
            Event::Timer(SUBSCRIBE_TIMER) if self.settings.list_on_request => actions.push(Action::Subscribe),
            Event::Timer(QUOTA_ANSWER_TIMER) => self.on_quota_timeout(now, actions),
            Event::Timer(_) | Event::ProbeEnded(..) => {}
            Event::CounterAnswered(name, answer) => {
                self.on_counter_answer(now, CustomerId(name.0), answer, actions)
            }
        }
    }

    /// Returns the factor by which the minimums of each ingress shrink in a large fleet, so that their sum
    /// stays that of a small one.
    fn small_fleet_scale(&self) -> f64 {
        SMALL_FLEET_INGRESSES / SMALL_FLEET_INGRESSES.max(f64::from(self.settings.ingress_count))
    }

    /// Returns the interval at which the peers' message limit admits the usage reports of all ingresses.
    fn unclamped_report_interval(&self) -> Millis {
        let receivers = f64::from(self.settings.ingress_count.max(2) - 1);
        1000.0 * receivers / (self.settings.peer_messages_per_second.max(1.0) * REPORT_MESSAGE_SHARE)
    }

    /// Returns the interval between usage reports, in milliseconds.
    pub(crate) fn report_interval(&self) -> Millis {
        self.unclamped_report_interval().clamp(MIN_REPORT_INTERVAL, MAX_REPORT_INTERVAL)
    }

    /// Returns whether each customer's quota is kept by an owner, as usage reports to all peers would be too
    /// rare or exceed their message limit.
    fn uses_quota_owners(&self) -> bool {
        self.usage_source == UsageSource::Peers && self.unclamped_report_interval() > MAX_REPORT_INTERVAL
    }

    /// Returns the ingress that owns the customer's quota, or the next candidate while that one does not
    /// answer; `None` if there is none.
    fn quota_owner(&self, now: Millis, request: &Request) -> Option<IngressId> {
        let candidates = request.owner_candidates(self.settings.ingress_count);
        let is_available =
            |id: &IngressId| self.is_live(*id) && self.peers.get(id).is_none_or(|p| p.skipped_until <= now);
        candidates.into_iter().find(|id| *id == self.settings.ingress || is_available(id))
    }

    /// Applies a backend list or its changes.
    fn on_backend_list(
        &mut self,
        now: Millis,
        kind: ListKind,
        entries: Vec<BackendEntry>,
        actions: &mut Vec<Action>,
    ) {
        if kind == ListKind::Failed {
            actions.push(Action::SetTimer(SUBSCRIBE_RETRY_PAUSE, SUBSCRIBE_TIMER));
            return;
        }
        if kind != ListKind::Changes {
            let listed: BTreeSet<BackendId> = entries.iter().map(|e| e.backend).collect();
            for backend in self.backends.values_mut().filter(|b| !listed.contains(&b.entry.backend)) {
                backend.entry.state = BackendState::Gone;
            }
        }
        for entry in entries {
            // Prevents a backend that returns, on a stale list or a fresh one, from being taken for warm.
            let first_seen = self.list_received.then_some(now);
            let listed_start = entry.last_start.map(|at| at + self.clock_shift);
            let started_at =
                listed_start.or(first_seen).filter(|at| now - at < self.settings.cold.warm_after);
            let backend =
                self.backends.entry(entry.backend).or_insert_with(|| Backend::new(entry, started_at, now));
            let restarted = entry.last_start.is_some() && entry.last_start != backend.entry.last_start;
            if restarted || (backend.entry.state == BackendState::Gone && entry.state == BackendState::Ready)
            {
                backend.started_at = started_at;
                backend.reset(now);
            }
            backend.entry = entry;
        }
        self.rebuild_ready();
        self.refresh_backend_sets(now);
    }

    /// Updates the cold, warm and preferred backends and their total capacity.
    fn refresh_backend_sets(&mut self, now: Millis) {
        let is_cold = |id: &&BackendId| self.backends.get(id).is_some_and(|b| self.warmth(now, b) < 1.0);
        self.cold = self.ready.iter().filter(is_cold).copied().collect();
        // Prevents a capacity that was right for all backends from staying when most have gone: the list
        // shows it before late answers do. The capacity grows again as they warm up.
        let ready_capacity =
            self.ready.iter().filter_map(|id| self.backends.get(id)).map(|b| self.warmth(now, b)).sum();
        let previous = std::mem::replace(&mut self.ready_capacity, ready_capacity);
        if previous > 0.0 && ready_capacity > 0.0 {
            self.capacity = self.capacity.map(|capacity| capacity * ready_capacity / previous);
        }
        self.count_warm(now);
        // Prevents ingresses of a large fleet, each of which rarely sends to any given backend, from needing
        // a new connection for every other request. Each backend is preferred by the same number of
        // ingresses, so the load stays even.
        let max_distance = f64::from(self.settings.ingress_count) * PREFERRED_BACKENDS
            / self.warm.count.max(PREFERRED_BACKENDS);
        let small_fleet = f64::from(self.settings.ingress_count) <= SMALL_FLEET_INGRESSES;
        let distance =
            |id: BackendId| f64::from(self.settings.ingress.ring_distance(id, self.settings.ingress_count));
        let is_preferred =
            |id: &&BackendId| !small_fleet && !self.cold.contains(id) && distance(**id) < max_distance;
        self.preferred = self.ready.iter().filter(is_preferred).copied().collect();
    }

    /// Returns the expected latency of a request of these units, in milliseconds.
    fn expected_latency(&self, class: ClassId, units: f64) -> Millis {
        let stats = &self.class_stats[class.0];
        let initial = self.settings.classes[class.0].aim * INITIAL_LATENCY_AIM_SHARE;
        stats.latency.value_or(initial) * (units / stats.units.value_or(units).max(0.01)).clamp(0.2, 5.0)
    }

    /// Returns the cost by which backends are compared: latency times load.
    fn selection_cost(&self, now: Millis, backend: &Backend) -> f64 {
        // Prevents a backend that becomes silent from being preferred for its last good answers.
        let latency = backend
            .slowness(now, SLOWNESS_TAU)
            .max(0.2)
            .max(backend.longest_wait(now) * OUTLIER_LATENCIES / SILENCE_LATENCIES);
        // Prevents a backend that reports no load, as its answers never arrive, from looking idle.
        let (in_flight, load_factor) = (
            backend.in_flight.len() as f64,
            1.0 / (1.3 - backend.utilization.value_or(self.mean_utilization.value_or(0.3))),
        );
        let crosses_zone = self.settings.cross_zone_cost && backend.entry.zone != self.settings.zone;
        latency
            * load_factor
            * (IDLE_LOAD + in_flight / backend.weight())
            * if crosses_zone { CROSS_ZONE_FACTOR } else { 1.0 }
    }

    /// Returns whether a backend is ejected, has its trial attempt after that in flight, or is silent.
    pub(crate) fn is_passed_over(&self, now: Millis, backend: &Backend) -> bool {
        let on_trial =
            backend.ejections > 0 && backend.consecutive_failures > 0 && !backend.in_flight.is_empty();
        backend.ejected_until > now || on_trial || backend.silence(now) > SILENCE_LATENCIES
    }

    /// Returns the backend for the next attempt of a request; `None` if none accepts it.
    fn pick_backend(&mut self, now: Millis, open: &OpenRequest) -> Option<BackendId> {
        let retry_safety = self.settings.classes[open.request.class.0].retry_safety;
        let of_attempt = |i: usize| self.backends.get(&open.attempts[i].backend).map(|backend| backend.entry);
        let prior_backend = open.prior_run.map(|run| run.backend);
        let first = prior_backend.or_else(|| open.first_maybe_run.and_then(of_attempt));
        let in_scope =
            |id: &&BackendId| retry_safety.allows_backend(first.as_ref(), &self.backends[*id].entry);
        let allowed =
            open.first_run_at().map(|_| self.ready.iter().filter(in_scope).copied().collect::<Vec<_>>());
        if allowed.is_none()
            && let Some(id) = self.pick_cold(now, open)
        {
            return Some(id);
        }
        if let Some(mut allowed) = allowed {
            return self.best_candidate(now, open, &mut allowed, false, true);
        }
        let mut preferred = std::mem::take(&mut self.preferred);
        let found = self.best_candidate(now, open, &mut preferred, true, false);
        self.preferred = preferred;
        found.or_else(|| {
            let mut ready = std::mem::take(&mut self.ready);
            let found = self.best_candidate(now, open, &mut ready, true, true);
            self.ready = ready;
            found
        })
    }

    /// Returns the best of the candidates, which are sampled in random order. Cold ones are left out if
    /// `skip_cold`. Only if the candidates are all there are (`complete`) may it be one that is passed over.
    fn best_candidate(
        &mut self,
        now: Millis,
        open: &OpenRequest,
        candidates: &mut [BackendId],
        skip_cold: bool,
        complete: bool,
    ) -> Option<BackendId> {
        let (mut best, mut compared, mut unhealthy_count): (Option<(CandidateRank, BackendId)>, _, _) =
            (None, 0, 0);
        // Samples before ranking: no pass over all backends for each request.
        for i in 0..candidates.len().min(MAX_SAMPLES) {
            let j = i + self.rng.below(candidates.len() - i);
            candidates.swap(i, j);
            let backend = &self.backends[&candidates[i]];
            let tried = open.attempts.iter().any(|a| a.backend == candidates[i]);
            let cold = self.warmth(now, backend) < 1.0;
            let unhealthy = self.is_passed_over(now, backend) && !self.widespread_trouble;
            if (tried && candidates.len() > 1)
                || (cold && (skip_cold || !self.try_slow_start_admit(now, candidates[i], open.request.units)))
            {
                continue;
            }
            let backend = &self.backends[&candidates[i]];
            // Prevents slow or failing zones and kinds of machine from getting as much as others, and all
            // ingresses from choosing the backends with the largest weights: the random order accounts for
            // both.
            let deferred = !cold
                && self.rng.unit() > self.relative_speed(now, backend, open.request.class, SLOWNESS_TAU);
            // A cold backend has no cost: its tokens are taken already.
            let rank = (unhealthy, deferred, if cold { 0.0 } else { self.selection_cost(now, backend) });
            if best.is_none_or(|(best_rank, _)| rank < best_rank) {
                best = Some((rank, candidates[i]));
            }
            (compared, unhealthy_count) =
                (compared + usize::from(!unhealthy && !deferred), unhealthy_count + u8::from(unhealthy));
            if compared == MAX_CANDIDATES || (cold && !unhealthy) {
                break;
            }
        }
        // Prevents the ejection of the whole fleet: if nearly all backends look unhealthy, the fault is not
        // their own.
        let all_unhealthy =
            f64::from(unhealthy_count) > MAX_PASSED_OVER_SHARE * candidates.len().min(MAX_SAMPLES) as f64;
        best.filter(|((unhealthy, ..), _)| !unhealthy || (complete && all_unhealthy)).map(|(_, id)| id)
    }

    /// Returns a cold backend that may get the request now. Cold backends come first: the few ingresses that
    /// send to one have too few requests to fill its slice otherwise.
    fn pick_cold(&mut self, now: Millis, open: &OpenRequest) -> Option<BackendId> {
        let cold = std::mem::take(&mut self.cold);
        let start = self.rng.below(cold.len());
        let admits = |limiter: &mut Self, id: BackendId| {
            let tried = open.attempts.iter().any(|a| a.backend == id) && limiter.ready.len() != 1;
            let is_healthy = limiter
                .backends
                .get(&id)
                .is_some_and(|b| limiter.widespread_trouble || !limiter.is_passed_over(now, b));
            !tried && is_healthy && limiter.try_slow_start_admit(now, id, open.request.units)
        };
        let found = (0..cold.len()).map(|i| cold[(start + i) % cold.len()]).find(|id| admits(self, *id));
        self.cold = cold;
        found
    }

    /// Returns the customer of a request, which is created or updated.
    fn customer_entry(&mut self, now: Millis, request: &Request) -> &mut Customer {
        let plan = self.plan(request.plan);
        let (started, spread) = (self.unknown_since(), request.spread.clamp(1, self.settings.ingress_count));
        let (ingresses, min_slice) =
            (f64::from(spread), self.settings.max_request_units.max(1.0).min(plan.burst));
        // An unknown bucket is not assumed full. In a large fleet a slice need not hold a whole request: a
        // random part stands for it.
        let random_part = request.units * self.rng.unit();
        let slice = if ingresses > SMALL_FLEET_INGRESSES {
            plan.burst / ingresses + random_part
        } else {
            (plan.burst / ingresses).max(min_slice)
        };
        // The ceiling holds only what an earlier process cannot have drawn, as that kept to the quota.
        let ceiling = (plan.ceiling_burst - plan.burst).max(0.0) / ingresses;
        let fresh = Customer::new(request, spread, (slice, ceiling), started, now);
        let customer = self.customers.entry(request.customer).or_insert_with(|| fresh.clone());
        customer.update(now, fresh);
        customer
    }

    /// Returns whether the use at the other ingresses is known well enough to rely on.
    fn knows_remote_usage(&self, now: Millis, customer: &Customer) -> bool {
        let max_age = self.report_interval() * MISSED_REPORTS_LIMIT;
        customer.spread <= 1
            || match self.usage_source {
                UsageSource::Peers => self.has_current_reports(customer, now - max_age),
                // While not all tries can call the counter, an earlier total is out of date.
                UsageSource::Counter => customer.counter.has_current_total(now, self.call_share >= 1.0),
                UsageSource::Meter => customer.metered_elsewhere.per_second(now, DEMAND_TAU) > 0.0,
                UsageSource::None => false,
            }
    }

    /// Returns this ingress's share of the customer's recent demand; the even share if the use elsewhere is
    /// unknown.
    fn demand_share(&self, now: Millis, customer: &Customer) -> f64 {
        let even = customer.even_share();
        let own = customer.demand.per_second(now, DEMAND_TAU);
        let others = customer.demand_elsewhere(now, DEMAND_TAU);
        if self.uses_pool(customer.plan, customer.spread)
            || customer.spread <= 1
            || !self.knows_remote_usage(now, customer)
        {
            even
        } else if own + others > 0.0 {
            own / (own + others)
        } else {
            even
        }
    }

    /// Returns the units that the customer may draw here. Usage reports correct them for what the others
    /// drew.
    fn available_units(&mut self, now: Millis, id: CustomerId) -> f64 {
        let Some(customer) = self.customers.get(&id) else { return 0.0 };
        let (plan, live_ingresses) = (self.plan(customer.plan), self.live_ingresses_of(customer));
        let (usage_known, share) = (self.knows_remote_usage(now, customer), self.demand_share(now, customer));
        let pooled = self.uses_pool(customer.plan, customer.spread);
        // Prevents ingresses that see the same units from granting them all before they are notified of each
        // other: what others may draw meanwhile stays in the bucket, so that a second grant still finds its
        // units.
        let max_unreported = f64::from(self.usage_source == UsageSource::Peers)
            * self.settings.max_request_units.max(1.0).min(plan.burst / 3.0);
        let unreported = (customer.demand_elsewhere(now, DEMAND_TAU) * UNREPORTED_DEMAND_TIME / 1000.0)
            .min(max_unreported);
        let rate = if self.usage_source == UsageSource::Meter { plan.rate * share } else { plan.rate };
        let Some(customer) = self.customers.get_mut(&id) else { return 0.0 };
        customer.live_ingresses = live_ingresses;
        let (bucket, slice) = customer.fill(now, rate, &plan, self.settings.max_request_units.max(1.0));
        if pooled {
            return customer.pooled_units();
        }
        if usage_known { (bucket - unreported).max(slice).min(bucket) } else { slice.min(bucket) }
    }

    /// Returns the units left in this ingress's even slice of the hard ceiling; infinity if there is none.
    fn ceiling_units(&mut self, now: Millis, id: CustomerId, plan: &Plan) -> f64 {
        match self.customers.get_mut(&id) {
            Some(customer) if plan.ceiling_rate > 0.0 => {
                let ingresses = f64::from(customer.spread.max(1));
                customer.ceiling.fill(now, plan.ceiling_rate / ingresses, plan.ceiling_burst / ingresses)
            }
            _ => f64::INFINITY,
        }
    }

    /// Returns the estimated capacity of all ready backends for this ingress, in units in flight.
    pub(crate) fn capacity(&self) -> f64 {
        // The initial capacity is enough for a few requests, as what the backends can do is not known yet.
        let initial = INITIAL_UNITS_PER_BACKEND * self.ready_capacity.max(1.0) * self.small_fleet_scale();
        self.capacity
            .unwrap_or(initial.max(2.0 * self.settings.max_request_units.max(1.0)))
            .max(self.min_capacity())
    }

    /// Returns the latency pressure: the mean fraction of their aims that answers take. Prevents ingresses
    /// that see few answers each from cutting their capacities by chance: what many peers see of the same
    /// backends weighs more while it is recent.
    pub(crate) fn pressure(&self, now: Millis) -> f64 {
        let own = self.own_pressure.value_or(0.0);
        let weight = if now - self.peer_pressure_at < SHORT_TAU { PEER_PRESSURE_WEIGHT } else { 0.0 };
        own + (self.peer_pressure.value_or(own) - own) * weight
    }

    /// Returns the least capacity, in units in flight: this ingress's part of a minimum for the whole fleet.
    fn min_capacity(&self) -> f64 {
        let per_backend =
            self.mean_units().map_or(INITIAL_UNITS_PER_BACKEND, |units| units * MIN_REQUESTS_PER_BACKEND);
        (self.ready.len() as f64).max(1.0) * per_backend / f64::from(self.settings.ingress_count)
    }

    /// Steps 2 and 3 of admission: returns whether the request fits its customer's reservation or the shared
    /// capacity.
    fn has_room(&mut self, now: Millis, request: &Request) -> bool {
        let capacity = self.capacity();
        // Prevents units at silent backends from using up the capacity, and reservations from exceeding it.
        let in_flight = self.in_flight - self.silent_units.min(self.in_flight * MAX_PASSED_OVER_SHARE);
        let scale = (capacity / self.reserved.max(1e-9)).min(1.0);
        let Some(customer) = self.customers.get(&request.customer) else { return false };
        let reservation = self.reservation(self.demand_share(now, customer), customer, request.class) * scale;
        // The shared capacity must hold the units in flight and the request; a request that fits only partly
        // gets a proportional chance where the capacity is small.
        let units_factor =
            if capacity < SMALL_CAPACITY_REQUESTS * request.units { self.rng.unit() } else { 1.0 };
        // Leaves room in overload for classes of higher worth: the rest of the capacity is full with others
        // by then.
        let limit = capacity * (1.0 - WORTH_HEADROOM * (1.0 - self.relative_worth(request.class)));
        customer.units_in_flight + request.units <= reservation
            || in_flight + request.units * units_factor <= limit
    }

    /// Returns a customer's reservation in units in flight: what its share of the rate keeps in flight.
    fn reservation(&self, share: f64, customer: &Customer, class: ClassId) -> f64 {
        let plan = self.plan(customer.plan);
        if plan.rate > 0.0 {
            return plan.rate * share * self.mean_latency(class) / 1000.0;
        }
        // A plan without a rate reserves half of its share of the in-flight limit.
        plan.max_in_flight * share / 2.0 * self.class_stats[class.0].units.value_or(1.0)
    }

    /// Decides whether a request is admitted, on the given evidence about its quota.
    fn admit(&mut self, now: Millis, request: &Request, evidence: QuotaEvidence) -> AdmissionDecision {
        let plan = self.plan(request.plan);
        let available = self.available_units(now, request.customer);
        let ceiling = self.ceiling_units(now, request.customer, &plan);
        let latency = self.mean_latency(request.class);
        let Some(customer) = self.customers.get(&request.customer) else {
            return AdmissionDecision::Rejected(0.0);
        };
        let (share, units) = (self.demand_share(now, customer), request.units);
        let even = 1.0 / f64::from(customer.spread.max(1));
        // Prevents the ingresses together from exceeding a hard ceiling, whatever use they are notified of.
        if ceiling < units {
            return AdmissionDecision::Rejected(1000.0 * (units - ceiling) / (plan.ceiling_rate * even));
        }
        // The quota owner has counted a granted request, and there was capacity before it was asked.
        if evidence == QuotaEvidence::Granted {
            return AdmissionDecision::WithinQuota;
        }
        let within_quota = evidence != QuotaEvidence::Denied
            && (plan.rate <= 0.0 || available >= units || evidence == QuotaEvidence::Likely);
        let serves_excess = plan.ceiling_rate <= 0.0 && plan.excess_worth > plan.excess_cost;
        if !within_quota && !serves_excess {
            let refill = 1000.0 * (units - available) / (plan.rate * share.max(0.05));
            // A client that is rejected for lack of information may come back while an answer is still of use
            // to it.
            let uninformed = evidence == QuotaEvidence::LocalOnly
                && self.usage_source == UsageSource::Counter
                && self.call_share < 1.0;
            let max_wait = if uninformed {
                self.settings.classes[request.class.0].aim * UNINFORMED_RETRY_AIM_SHARE
            } else {
                f64::INFINITY
            };
            return AdmissionDecision::Rejected(refill.max(customer.denied_until - now).min(max_wait));
        }
        // 1. The in-flight limit. A small share of it must not round to nothing.
        if plan.max_in_flight > 0.0 && within_quota {
            let limit_share = plan.max_in_flight * share.max(even);
            let others =
                self.in_flight_elsewhere(customer, now - self.report_interval() * MISSED_REPORTS_LIMIT);
            // Prevents shares that are rounded up from exceeding the limit together: attempts that peers have
            // in flight, or may have started since their reports, count.
            let available_in_flight = plan.max_in_flight - others;
            let unreported = self.report_interval() / MIN_REPORT_INTERVAL;
            let (usage_known, in_flight) =
                (self.knows_remote_usage(now, customer), customer.attempts_in_flight);
            let rate =
                if plan.rate > 0.0 { plan.rate * (1.0 - even) * ASSUMED_RATE_USE } else { f64::INFINITY };
            let elsewhere = rate * self.attempt_duration.value_or(latency) / 1000.0;
            let limit = match self.usage_source {
                UsageSource::Peers if usage_known => {
                    limit_share.ceil().min(available_in_flight).max(available_in_flight - unreported)
                }
                UsageSource::Counter if usage_known && counter_attempt_step(&plan, customer.spread) > 0.0 => {
                    available_in_flight
                }
                // Admits the request if, with what the rate lets the others have in flight, serving it more
                // likely earns than costs.
                UsageSource::Counter if even * SMALL_FLEET_INGRESSES < 1.0 && elsewhere.is_finite() => {
                    let fit_probability =
                        poisson_below(plan.max_in_flight - in_flight, elsewhere * ASSUMED_IN_FLIGHT_FACTOR);
                    if fit_probability > plan.break_even_probability() {
                        plan.max_in_flight
                    } else {
                        limit_share
                    }
                }
                // In a large fleet, a probability stands for a share below one attempt.
                _ if even * SMALL_FLEET_INGRESSES < 1.0 && limit_share < 1.0 => {
                    f64::from(self.rng.unit() < limit_share)
                }
                _ => limit_share.round().max(1.0),
            };
            if in_flight + 1.0 > limit {
                return AdmissionDecision::Rejected(latency);
            }
        }
        if !within_quota {
            let has_room = self.in_flight + units <= self.capacity() * EXCESS_CAPACITY_SHARE;
            return if has_room {
                AdmissionDecision::BeyondQuota
            } else {
                AdmissionDecision::Rejected(latency)
            };
        }
        // 2. and 3. The reservation, then the shared capacity.
        if self.has_room(now, request) {
            AdmissionDecision::WithinQuota
        } else {
            AdmissionDecision::Rejected(latency)
        }
    }

    /// Handles a client's request: it is decided at once, or held for the answer of a quota owner or the
    /// counter.
    fn on_request(&mut self, now: Millis, mut request: Request, actions: &mut Vec<Action>) {
        request.sanitize();
        if request.class.0 >= self.settings.classes.len() || self.requests.contains_key(&request.id) {
            actions.push(Action::Reject(request.id, None));
            return;
        }
        self.retry_budget = (self.retry_budget + RETRY_BUDGET_PER_REQUEST)
            .min((MAX_RETRY_BUDGET * self.small_fleet_scale()).max(1.0));
        self.forget_excess_customers();
        let customer = self.customer_entry(now, &request);
        customer.demand.add(now, request.units, DEMAND_TAU);
        customer.unreported_demand += request.units;
        self.unreported.insert(request.customer);
        let mut open = OpenRequest::new(request, now);
        open.prior_run = request.identity.and_then(|identity| self.prior_runs.get(identity));
        if !open.may_repeat(now, &self.settings.classes[request.class.0].retry_safety) {
            actions.push(Action::Fail(request.id));
            return;
        }
        let evidence = if self.uses_quota_owners() {
            self.request_quota(now, &mut open, actions)
        } else {
            self.hold_for_counter(now, &request, actions)
        };
        match evidence {
            Some(evidence) => self.finish_admission(now, open, evidence, actions),
            None => drop(self.requests.insert(request.id, open)),
        }
    }

    /// Returns the evidence on a request's quota, or `None` if its owner was asked and the answer is pending.
    /// Prevents ingresses that each see few requests of a customer from granting its quota many times over.
    /// If the owner is silent, the even slice remains.
    fn request_quota(
        &mut self,
        now: Millis,
        open: &mut OpenRequest,
        actions: &mut Vec<Action>,
    ) -> Option<QuotaEvidence> {
        let request = open.request;
        let plan = self.plan(request.plan);
        let (spread, in_flight, denied_until) = self
            .customers
            .get(&request.customer)
            .map(|c| (c.spread, c.attempts_in_flight, c.denied_until))?;
        let has_quota = spread > 1 && (plan.rate > 0.0 || plan.max_in_flight > 0.0);
        if !has_quota || self.ceiling_units(now, request.customer, &plan) < request.units {
            return Some(QuotaEvidence::LocalOnly);
        }
        // Prevents quota requests whose answer cannot help: the request is rejected at once.
        let limit_reached = plan.max_in_flight > 0.0 && in_flight >= plan.max_in_flight;
        if now < denied_until || limit_reached || !self.has_room(now, &request) {
            return Some(QuotaEvidence::Denied);
        }
        let customer = self.customers.get_mut(&request.customer)?;
        if now < customer.credit_until && customer.credit >= request.units {
            customer.credit -= request.units;
            customer.unreported_use += request.units;
            return Some(QuotaEvidence::Granted);
        }
        let drawn = customer.unreported_use;
        let Some(owner) = self.quota_owner(now, &request) else { return Some(QuotaEvidence::LocalOnly) };
        self.last_quota_seq = (self.last_quota_seq + 1) & 0x3fff;
        let seq = self.last_quota_seq;
        open.grant = (plan.max_in_flight > 0.0).then_some((owner, seq));
        if owner == self.settings.ingress {
            let (granted, pause) = self.decide_quota(now, (owner, seq), &request.quota_request(), drawn);
            let customer = self.customers.get_mut(&request.customer)?;
            (customer.unreported_use, customer.denied_until) = (0.0, if granted { 0.0 } else { now + pause });
            return Some(if granted { QuotaEvidence::Granted } else { QuotaEvidence::Denied });
        }
        if request.time_left < 2.0 * QUOTA_ANSWER_TIMEOUT + self.mean_latency(request.class) {
            open.grant = None;
            return Some(QuotaEvidence::LocalOnly);
        }
        self.send_quota_request(now, &request, (owner, seq), false, actions);
        None
    }

    /// Decides a quota request as the owner. Returns whether it is granted, and the units granted in advance
    /// or the time in milliseconds for which no further quota request is to be sent. `drawn` is the credit
    /// used since the last one.
    pub(crate) fn decide_quota(
        &mut self,
        now: Millis,
        grant: (IngressId, u64),
        request: &QuotaRequest,
        drawn: f64,
    ) -> (bool, f64) {
        let plan = self.plan(request.plan);
        // Absurd numbers must not increase a quota.
        let units = request.units.clamp(0.25, self.settings.max_request_units.max(1.0));
        let drawn = drawn.max(-self.settings.max_request_units);
        let expires_at = now + self.settings.classes[request.class.0].aim;
        self.forget_excess_quotas();
        let bucket = TokenBucket::new(
            (plan.burst * INITIAL_BUCKET_SHARE).max(self.settings.max_request_units).min(plan.burst),
            self.unknown_since(),
        );
        let quota = self
            .owned_quotas
            .entry(request.customer)
            .or_insert_with(|| OwnedQuota::new(bucket, MIN_DENIAL_PAUSE));
        quota.last_seen = now;
        quota.request_rate.add(now, 1.0, SHORT_TAU);
        let level = quota.bucket.fill(now, plan.rate, plan.burst) - drawn;
        quota.bucket.level = level.clamp(-plan.burst, plan.burst);
        quota.granted.retain(|_, expires_at| *expires_at > now);
        if quota.granted.contains_key(&grant) {
            return (true, 0.0);
        }
        let (level, request_rate) = (quota.bucket.level, quota.request_rate.per_second(now, SHORT_TAU));
        // Prevents more quota requests than the message limit allows. Every quota request counts, not denials
        // alone: an owner that grants most of them denies too few to notice the end of a flood.
        let max_rate = (self.settings.peer_messages_per_second * QUOTA_REQUEST_SHARE).max(1.0);
        quota.denial_pause = (quota.denial_pause * if request_rate > max_rate { 1.1 } else { 0.9 })
            .clamp(MIN_DENIAL_PAUSE, MAX_DENIAL_PAUSE);
        let fits = plan.rate <= 0.0 || level >= units;
        if fits && (plan.max_in_flight <= 0.0 || (quota.granted.len() as f64) < plan.max_in_flight) {
            quota.bucket.level -= units;
            quota.granted.insert(grant, expires_at);
            let credit = (level - units - plan.burst / 2.0).max(0.0) / 2.0 / request_rate.max(1.0);
            return (true, if plan.max_in_flight > 0.0 { 0.0 } else { credit });
        }
        let refill = if fits { 0.0 } else { 1000.0 * (units - level) / plan.rate };
        (false, quota.denial_pause.max(refill).min(MAX_DENIAL_PAUSE))
    }

    /// Sends an unanswered quota request once more, then decides without the owner.
    fn on_quota_timeout(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let overdue: Vec<_> = self
            .pending_quota_requests
            .extract_if(.., |_, pending| now - pending.sent_at >= QUOTA_ANSWER_TIMEOUT - 1.0)
            .collect();
        for (seq, pending) in overdue {
            let Some(mut open) = self.requests.remove(&pending.request) else { continue };
            // Prevents blaming a peer for a stall of this process.
            if now - pending.sent_at < 2.0 * QUOTA_ANSWER_TIMEOUT {
                self.peers
                    .entry(pending.owner)
                    .or_default()
                    .record_unanswered(OWNER_LOST_AFTER, now + OWNER_SKIP_TIME);
            }
            let time_left = open.deadline - now - self.mean_latency(open.request.class);
            let owner = self.quota_owner(now, &open.request).filter(|owner| *owner == pending.owner);
            if let (Some(owner), false, true) =
                (owner, pending.resent, time_left > 2.0 * QUOTA_ANSWER_TIMEOUT)
            {
                let request = open.request;
                self.requests.insert(request.id, open);
                self.send_quota_request(now, &request, (owner, seq), true, actions);
            } else {
                open.grant = None;
                self.finish_admission(now, open, QuotaEvidence::LocalOnly, actions);
            }
        }
    }

    /// Applies the answer of a quota owner and decides the request.
    pub(crate) fn on_quota_answer(
        &mut self,
        now: Millis,
        (owner, seq): (IngressId, u64),
        granted: bool,
        credit_or_pause: f64,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) =
            self.pending_quota_requests.get(&seq).filter(|pending| pending.owner == owner).copied()
        else {
            return;
        };
        self.pending_quota_requests.remove(&seq);
        self.peers.insert(owner, Peer::default());
        let Some(mut open) = self.requests.remove(&pending.request) else { return };
        let jitter = 0.5 + self.rng.unit();
        if let Some(customer) = self.customers.get_mut(&open.request.customer) {
            if granted {
                let credit = if now < customer.credit_until { customer.credit } else { 0.0 };
                (customer.credit, customer.credit_until) =
                    (credit.max(credit_or_pause), now + CREDIT_LIFETIME);
            } else {
                customer.denied_until = now + credit_or_pause.min(MAX_DENIAL_PAUSE) * jitter;
            }
        }
        open.grant = open.grant.filter(|_| granted);
        self.finish_admission(
            now,
            open,
            if granted { QuotaEvidence::Granted } else { QuotaEvidence::Denied },
            actions,
        );
    }

    /// Returns the evidence on a request's quota, or `None` if it is held for the answer of a counter call.
    /// Prevents ingresses that each see a part of a customer's requests from granting the same units, where
    /// only the counter knows of the others.
    fn hold_for_counter(
        &mut self,
        now: Millis,
        request: &Request,
        actions: &mut Vec<Action>,
    ) -> Option<QuotaEvidence> {
        let plan = self.plan(request.plan);
        let has_quota = plan.rate > 0.0 || plan.max_in_flight > 0.0;
        let too_late = request.time_left < MIN_TIME_LEFT_TIMEOUTS * self.settings.counter_timeout;
        // Prevents calls for tries that the ceiling or a lack of capacity rejects: floods would use up all
        // calls.
        let no_room = self.in_flight + request.units > self.capacity()
            || self.ceiling_units(now, request.customer, &plan) < request.units;
        if self.usage_source != UsageSource::Counter || !has_quota || too_late || no_room {
            return Some(QuotaEvidence::LocalOnly);
        }
        let (evidence, probability, relevance) = self.estimate_fit(now, request);
        let customer = self.customers.get_mut(&request.customer)?;
        // A call is no help either while the last answer holds, or if this ingress alone has reached the
        // in-flight limit.
        if now < customer.denied_until
            || (plan.max_in_flight > 0.0 && customer.attempts_in_flight >= plan.max_in_flight)
        {
            return Some(QuotaEvidence::Denied);
        }
        let sparse = is_sparse(&plan, customer.spread);
        let (_, slice) = customer.fill(now, plan.rate, &plan, self.settings.max_request_units.max(1.0));
        if customer.spread <= 1 {
            return Some(QuotaEvidence::LocalOnly);
        }
        let fits_locally =
            if sparse { slice } else { customer.pooled_units() } >= request.units || plan.rate <= 0.0;
        if !fits_locally && !sparse && customer.pool.is_short(now) {
            return Some(QuotaEvidence::LocalOnly);
        }
        // Prevents more calls than the counter can answer, which would all fail: they are made where the
        // answer decides.
        let call_share = match (fits_locally, sparse) {
            (true, true) => self.call_share.powi(2),
            // A slice that holds the try admits it without a call, which helps only while calls are
            // plentiful.
            (true, false) => self.call_share.powi(4),
            (false, _) => 2.0 * self.call_share,
        };
        let call_share = if sparse {
            (call_share * relevance.max(self.call_share)).clamp(MIN_CALL_SHARE, 1.0)
        } else {
            call_share
        };
        if self.rng.unit() >= call_share {
            return Some(if sparse { evidence } else { QuotaEvidence::LocalOnly });
        }
        let represented_tries =
            if sparse { 1.0 + probability * (1.0 - call_share) / call_share } else { 0.0 };
        customer.counter.held.push((request.id, request.units * represented_tries.min(1.0)));
        customer.counter.add_pending(request.units * represented_tries, 1.0);
        if has_pool(&plan, customer.spread) && customer.counter.sent_amounts.is_none() {
            // The pool is used first while calls are plentiful, which leaves the slice for when they are not.
            customer.pool.borrow(if fits_locally {
                request.units
            } else {
                request.units - customer.pooled_units()
            });
        }
        Self::call_counter(now, request.customer, customer, &plan, actions);
        None
    }

    /// Estimates, from the counted tries that fit, whether a try without a call fits. Returns the evidence,
    /// its probability, and how much a call would decide, from 0 to 1. Prevents customers whom each ingress
    /// sees once a day from being rejected for slices far below one request. It could do harm where a few
    /// customers cause most of the demand.
    fn estimate_fit(&mut self, now: Millis, request: &Request) -> (QuotaEvidence, f64, f64) {
        let break_even = self.plan(request.plan).break_even_probability();
        let fit_share = self.counted_fit.get(&(request.plan, request.is_retry));
        let fit_share = fit_share.map_or(break_even, |share| share.value(now, break_even, COUNTED_FIT_TAU));
        // Only up to the spare capacity: under pressure, tries that are known to fit come first.
        let spare = ((PRESSURE_THRESHOLD - self.own_pressure.value_or(0.0)) * 2.0 / PRESSURE_THRESHOLD)
            .clamp(0.0, 1.0);
        let probability = ((fit_share - break_even) / (1.0 - break_even)).max(0.0).powi(2) * spare;
        let relevance = if fit_share > break_even {
            (1.0 - fit_share) / (1.0 - break_even)
        } else {
            fit_share / break_even
        };
        (
            if self.rng.unit() < probability { QuotaEvidence::Likely } else { QuotaEvidence::LocalOnly },
            probability,
            relevance,
        )
    }

    /// Decides a request, then sends its first attempt or rejects it.
    fn finish_admission(
        &mut self,
        now: Millis,
        mut open: OpenRequest,
        evidence: QuotaEvidence,
        actions: &mut Vec<Action>,
    ) {
        let (request, counted) = (open.request, evidence == QuotaEvidence::Counted);
        let plan = self.plan(request.plan);
        open.counted = counted;
        let decision = self.admit(now, &request, evidence);
        let within_quota = decision == AdmissionDecision::WithinQuota;
        let sparse = self.usage_source == UsageSource::Counter
            && is_sparse(&plan, request.spread.min(self.settings.ingress_count));
        if counted && sparse {
            self.counted_fit.entry((request.plan, request.is_retry)).or_default().add(
                now,
                within_quota,
                COUNTED_FIT_TAU,
            );
        }
        let wait = match decision {
            AdmissionDecision::Rejected(wait) => wait,
            _ if self.send_attempt(now, &mut open, actions) => {
                self.requests.insert(request.id, open);
                return self.draw(&request, within_quota, sparse);
            }
            _ => self.mean_latency(request.class),
        };
        if evidence == QuotaEvidence::Granted {
            self.release_grant(&open, actions);
        }
        match self.customers.get_mut(&request.customer) {
            Some(customer) if counted && !sparse => customer.counter.add_pending(0.0, -1.0),
            Some(customer) if counted => customer.denied_until = now + wait.min(MAX_DENIAL_PAUSE),
            Some(customer) if evidence == QuotaEvidence::Granted => customer.unreported_use -= request.units,
            _ => {}
        }
        let harmless = self.settings.classes[request.class.0].retry_safety.allows_any_backend();
        actions.push(match open.prior_run {
            Some(_) if !harmless => Action::Fail(request.id),
            _ => Action::Reject(request.id, self.retry_after(wait)),
        });
    }

    /// Sends an attempt of a request and returns whether a backend was found.
    fn send_attempt(&mut self, now: Millis, open: &mut OpenRequest, actions: &mut Vec<Action>) -> bool {
        let Some(id) = self.pick_backend(now, open) else { return false };
        let class = &self.settings.classes[open.request.class.0];
        let expected = self.expected_latency(open.request.class, open.request.units);
        let time_left = open.deadline - now;
        let timeout_factor = if self.timeout_share.value_or(0.0) > LOST_ANSWERS_THRESHOLD {
            LOST_ANSWERS_TIMEOUT_FACTOR
        } else {
            1.0
        };
        let repeatable_timeout = (expected * ATTEMPT_TIMEOUT_LATENCIES)
            .max(class.aim * ATTEMPT_TIMEOUT_AIM_SHARE)
            * timeout_factor;
        let can_retry = self.retry_budget >= 1.0
            && self.pressure(now) < PRESSURE_THRESHOLD
            && repeatable_timeout + expected < time_left;
        let attempts_left = open.attempts.len() + 1 < usize::from(self.settings.max_attempts);
        let may_repeat = class.retry_safety != RetrySafety::Unsafe && can_retry && attempts_left;
        // Prevents an answer that never arrives from blocking an attempt of a customer with an in-flight
        // limit.
        let capped =
            timeout_factor < 1.0 && self.plan(open.request.plan).max_in_flight > 0.0 && class.aim < time_left;
        let timeout = if may_repeat { Some(repeatable_timeout) } else { capped.then_some(class.aim) };
        let send_within = open.send_within(now, &class.retry_safety);
        let index = AttemptIndex(u16::try_from(open.attempts.len()).unwrap_or(u16::MAX));
        let units = open.request.units;
        if let (Some(identity), Some(backend)) = (open.request.identity, self.backends.get(&id)) {
            self.prior_runs.record(identity, (open.request.id, index), backend.entry, now);
        }
        if let Some(backend) = self.backends.get_mut(&id) {
            backend.in_flight.insert((open.request.id, index), (now, units, expected));
        }
        (self.in_flight, self.sent_at_sum) = (self.in_flight + units, self.sent_at_sum + units * now);
        self.customers
            .entry(open.request.customer)
            .and_modify(|customer| customer.attempt_sent(units, open.counted && !open.attempts.is_empty()));
        open.attempts.push(Attempt { backend: id, sent_at: now, in_flight: true, streaming: false });
        actions.push(Action::Send { request: open.request.id, backend: id, timeout, send_within });
        true
    }

    /// Handles the end of an attempt: retries the request, or answers it.
    fn on_attempt_ended(&mut self, now: Millis, end: AttemptEnd, actions: &mut Vec<Action>) {
        let index = usize::from(end.attempt.0);
        let Some(mut open) = self.requests.remove(&end.request) else { return };
        let Some(attempt) = open.attempts.get_mut(index).filter(|a| a.in_flight) else {
            self.requests.insert(end.request, open);
            return;
        };
        // The units are freed whatever the outcome.
        attempt.in_flight = false;
        let units = if attempt.streaming { 0.0 } else { open.request.units };
        self.sent_at_sum -= units * attempt.sent_at;
        let (request, plan) = (open.request, self.plan(open.request.plan));
        self.in_flight -= units;
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            customer.attempt_ended(request.units);
            // A limit that is shared with other ingresses depends on the attempts in flight: they must be
            // notified of ends too.
            if plan.max_in_flight > 0.0 {
                self.unreported.insert(request.customer);
                customer.counter.pending[ATTEMPTS] -= f64::from(open.counted);
            }
            customer.record_usage(now, request.units, &end, plan.rate, DEMAND_TAU);
        }
        self.record_outcome(now, &request, &end);
        if let Some(identity) = request.identity.filter(|_| end.outcome.never_ran()) {
            self.prior_runs.never_ran(identity, (request.id, end.attempt));
        }
        if end.outcome.may_have_run() && open.first_maybe_run.is_none_or(|first| index < first) {
            open.first_maybe_run = Some(index);
        }
        open.closed |= end.request_closed;
        if open.attempts.iter().any(|a| a.in_flight) {
            self.requests.insert(request.id, open);
            return;
        }
        if open.closed {
            return self.release_grant(&open, actions);
        }
        let retry_safety = self.settings.classes[request.class.0].retry_safety;
        let allowed = open.may_repeat(now, &retry_safety);
        let has_time = open.deadline - now > self.expected_latency(request.class, request.units) / 2.0;
        let may_retry =
            open.attempts.len() < usize::from(self.settings.max_attempts) && self.retry_budget >= 1.0;
        if allowed && has_time && may_retry && self.send_attempt(now, &mut open, actions) {
            self.retry_budget -= 1.0;
            self.requests.insert(request.id, open);
            return;
        }
        self.release_grant(&open, actions);
        // A rejection promises that nothing ran, or that a repeat does no harm.
        let reject = open.first_run_at().is_none()
            || (retry_safety.allows_any_backend() && open.deadline > now && allowed);
        let retry_after = self.retry_after(self.mean_latency(request.class));
        actions.push(if reject { Action::Reject(request.id, retry_after) } else { Action::Fail(request.id) });
    }

    /// Records what an outcome says about the backend and about the capacity of all backends.
    fn record_outcome(&mut self, now: Millis, request: &Request, end: &AttemptEnd) {
        let expected = self.expected_latency(request.class, request.units).max(1.0);
        let aim = self.settings.classes[request.class.0].aim;
        let (served, failed) = (end.outcome == Outcome::Served, end.outcome.may_have_run());
        let (mut uninformative, mut overtaken, rejected) = (false, false, end.outcome == Outcome::Rejected);
        let unreachable = end.outcome == Outcome::ConnectFailed;
        let (cold, window) = (self.settings.cold, self.settings.cold.overload_window.max(1.0));
        let conclusive = !matches!(end.outcome, Outcome::NotSent | Outcome::Cancelled);
        // Work that is finished by cold, draining or gone backends does not show what a warm one can do.
        let is_warm = |b: &Backend| b.entry.state == BackendState::Ready && self.warmth(now, b) >= 1.0;
        if let Some(backend) = self.backends.get(&end.backend).filter(|b| served && is_warm(b)) {
            self.warm_backend_served(now, backend.entry.kind, request.units);
        }
        if let Some(backend) = self.backends.get_mut(&end.backend) {
            let ratio = served.then(|| (end.elapsed / expected).min(MAX_ATTEMPT_LATENCIES));
            for group in backend.groups().into_iter().filter(|_| conclusive) {
                let latency = self.group_latency.entry((group, request.class)).or_default();
                latency.add(now, ratio, ALL_FAILED_LATENCIES, SAMPLE_WEIGHT, SLOWNESS_TAU);
            }
            uninformative =
                backend.is_outlier(now, end.outcome, SILENCE_LATENCIES, OUTLIER_LATENCIES, SLOWNESS_TAU);
            overtaken = backend.remove_attempt((request.id, end.attempt), end.outcome);
            if conclusive && end.outcome != Outcome::TimedOut {
                backend.last_answer_at = now;
            }
            if let Some(utilization) = backend.record_load(&end.load, SAMPLE_WEIGHT) {
                self.mean_utilization.add(utilization, SAMPLE_WEIGHT);
            }
            if served || end.outcome == Outcome::TimedOut {
                backend.record_latency(
                    (end.elapsed / expected).clamp(0.05, 20.0),
                    2.0 * SAMPLE_WEIGHT,
                    now,
                    SLOWNESS_TAU,
                );
            }
            // A warm backend needs no slow start state: it is reset when the backend starts cold.
            if !cold.is_warm(backend.started_at, now) {
                backend.slow_start.record_ended(now - end.elapsed.min(expected), request.units, window);
                // Lets a backend that can do more get more, where the warm ones served little or are dead.
                if served && end.elapsed < MAX_UNDELAYED_LATENCIES * expected {
                    backend.slow_start.record_served(now, request.units, window);
                }
            }
            if served {
                // Prevents overloading a backend that died and returned before the list said so.
                backend.record_served(now, ASSUMED_RESTART_AFTER);
            } else if (failed && end.outcome != Outcome::Cancelled) || unreachable || rejected {
                // Silence alone is no evidence of a restart: after a healed partition a whole zone would
                // count as cold.
                if unreachable {
                    backend.record_unreachable(now);
                }
                backend.record_failure(now, uninformative || unreachable, EJECTION);
            }
        }
        self.timeout_share.add(f64::from(end.outcome == Outcome::TimedOut), SAMPLE_WEIGHT / 2.0);
        self.attempt_duration.add(end.elapsed, SAMPLE_WEIGHT / 2.0);
        if served {
            self.class_stats[request.class.0].record(end.elapsed, request.units, SAMPLE_WEIGHT);
        }
        uninformative = (uninformative || overtaken) && !self.widespread_trouble;
        // Uses the mean of all answers: a few long ones would keep a count of answers low.
        if conclusive && !unreachable && !uninformative {
            let aim_share = if rejected { 1.0 } else { (end.elapsed / aim).min(1.0) };
            // Weighted by time where answers are rare: prevents ingresses of a large fleet from noticing a
            // fault when it is over.
            self.record_pressure(now, aim_share, SHORT_TAU, [SAMPLE_WEIGHT / 2.0, SAMPLE_WEIGHT]);
        }
        // Prevents a capacity that rises or stays while attempts hang: Little's law estimates the time that
        // attempts in flight need to end, bounded by their age for sudden bursts.
        self.ended_units.add(now, request.units, SHORT_TAU);
        let drain_time =
            self.in_flight * 1000.0 / self.ended_units.per_second_over(now, SHORT_TAU, now - self.started_at);
        let stall =
            drain_time.min(MAX_MEAN_AGE_MULTIPLE * (now - self.sent_at_sum / self.in_flight.max(1e-9))) / aim;
        let (capacity, pressure) = (self.capacity(), self.pressure(now));
        let cut_interval = self.mean_latency(request.class).min(aim * PRESSURE_THRESHOLD);
        if (pressure > PRESSURE_THRESHOLD || stall > STALL_AIM_MULTIPLE)
            && !uninformative
            && now - self.capacity_cut_at > cut_interval
        {
            // Based on what is in flight rather than on an estimate that was never used, which prevents a
            // capacity that stays too high.
            let used =
                capacity.min((self.in_flight + request.units).max(2.0 * self.settings.max_request_units));
            self.capacity = Some((used * CAPACITY_DECREASE_FACTOR).max(self.min_capacity()));
            self.capacity_cut_at = now;
        } else if served
            && pressure.max(stall) < PRESSURE_THRESHOLD
            && self.in_flight + request.units > capacity / 2.0
        {
            self.capacity = Some(capacity + 1.0);
        }
    }

    /// Handles a tick: sends usage reports and counter calls, lends unused units and updates derived state.
    fn on_tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer(self.next_tick_delay(), TICK_TIMER));
        if self.usage_source == UsageSource::Peers && !self.uses_quota_owners() {
            actions.extend(self.build_reports());
        }
        self.lend_unused(now, actions);
        for id in std::mem::take(&mut self.unreported) {
            let Some(customer) = self.customers.get_mut(&id) else { continue };
            let plan = self.settings.plans.get(customer.plan.0).cloned().unwrap_or_default();
            let attempts_changed = customer.counter.pending[ATTEMPTS] != 0.0 && customer.spread > 1;
            if attempts_changed
                && self.usage_source == UsageSource::Counter
                && counter_attempt_step(&plan, customer.spread) > 0.0
            {
                Self::call_counter(now, id, customer, &plan, actions);
            }
        }
        self.refresh_backend_sets(now);
        let unhealthy = self.ready.iter().filter(|id| self.is_passed_over(now, &self.backends[*id])).count();
        let silent_backends = self.backends.values().filter(|b| b.silence(now) > SILENCE_LATENCIES);
        self.silent_units = silent_backends.map(Backend::units_in_flight).sum();
        self.widespread_trouble = unhealthy as f64 > MAX_PASSED_OVER_SHARE * self.ready.len() as f64;
        let max_reservation = |customer| {
            let (share, classes) = (self.demand_share(now, customer), 0..self.class_stats.len());
            classes.map(|class| self.reservation(share, customer, ClassId(class))).fold(0.0, f64::max)
        };
        self.reserved =
            self.customers.values().filter(|c| now - c.last_seen < DEMAND_TAU).map(max_reservation).sum();
        let retention = CUSTOMER_RETENTION.max(2.0 * self.settings.longest_refill());
        self.customers.retain(|_, c| c.attempts_in_flight > 0.0 || now - c.last_seen < retention);
        self.owned_quotas.retain(|_, quota| now - quota.last_seen < retention);
    }

    /// Handles a message from a peer: a quota message or a usage report.
    fn on_peer_message(&mut self, now: Millis, from: IngressId, bytes: &[u8], actions: &mut Vec<Action>) {
        let Some((incarnation, rest)) = bytes.split_first() else { return };
        if from == self.settings.ingress || from.0 >= self.settings.ingress_count {
            return;
        }
        if self.uses_quota_owners() {
            return self.on_quota_message(now, from, QuotaMessage::decode(bytes), actions);
        }
        let max_overflow_seconds = 2.0 * self.report_interval() / 1000.0;
        for (id, drawn) in self.apply_report(now, from, *incarnation, decode_report_lines(rest), DEMAND_TAU) {
            let Some(customer) = self.customers.get_mut(&id) else { continue };
            let (rate, burst) =
                self.settings.plans.get(customer.plan.0).map_or((0.0, 0.0), |p| (p.rate, p.burst));
            customer.bucket.overflow = customer.bucket.overflow.min(rate * max_overflow_seconds);
            customer.bucket.reconcile(now, rate, burst, drawn);
        }
    }

    /// Handles the answer of a counter call and decides the requests that were held for it.
    fn on_counter_answer(
        &mut self,
        now: Millis,
        id: CustomerId,
        answer: CounterAnswer,
        actions: &mut Vec<Action>,
    ) {
        let (own, customer_id) = (self.settings.ingress, id);
        let Some(customer) = self.customers.get_mut(&id) else { return };
        let Some([units, attempts]) = customer.counter.sent_amounts.take() else { return };
        let plan = self.settings.plans.get(customer.plan.0).cloned().unwrap_or_default();
        match answer {
            CounterAnswer::Total(total) if total.is_finite() && is_sparse(&plan, customer.spread) => {
                // Prevents a first total, without an earlier one to compare it with, from admitting every
                // request.
                let window_units = plan.burst + plan.rate * counter_ttl(&plan, customer.spread) / 2000.0;
                let left = window_units - customer.counter.apply_sparse_total(now, total, [units, attempts]);
                customer.bucket = TokenBucket::new(left.clamp(0.0, plan.burst), now);
            }
            CounterAnswer::Total(total) if total.is_finite() => {
                let step = counter_attempt_step(&plan, customer.spread);
                let (owed, others) = customer.counter.apply_total(now, total, attempts, step);
                customer.peer_usage.entry(own).or_default().in_flight = others;
                customer.pool.counted(now, owed, POOL.max_burst_share * plan.burst, &POOL);
            }
            CounterAnswer::NotAdded => customer.call_not_counted([units, attempts]),
            _ => customer.call_unknown(),
        }
        // Prevents blaming the counter for a stall of this process: an answer later than its time-out was not
        // read at once.
        let waited = (now - customer.counter.sent_at) / self.settings.counter_timeout.max(1.0);
        self.call_share = match answer {
            CounterAnswer::Total(_) if waited > SLOW_CALL_SHARE && waited < 1.2 => {
                self.call_share * (1.0 - 5.0 * CALL_SHARE_INCREASE)
            }
            CounterAnswer::Total(_) => {
                self.call_share + CALL_SHARE_INCREASE * (1.0 - waited / SLOW_CALL_SHARE).max(0.0)
            }
            _ => self.call_share * CALL_SHARE_DECREASE,
        }
        .clamp(MIN_CALL_SHARE, 1.0);
        let answered = matches!(answer, CounterAnswer::Total(_)) || !is_sparse(&plan, customer.spread);
        for (id, units) in std::mem::take(&mut customer.counter.held) {
            if let Some(open) = self.requests.remove(&id) {
                let evidence =
                    if answered { QuotaEvidence::Counted } else { self.estimate_fit(now, &open.request).0 };
                self.finish_admission(now, open, evidence, actions);
            } else if let Some(customer) = self.customers.get_mut(&customer_id) {
                // The client has left: the units that were added for its request are removed.
                customer.counter.add_pending(units, -1.0);
            }
        }
    }
}

/// Returns whether an ingress's slice of a burst is under one unit. Such a plan has no pool, as there is
/// nothing to lend; each total of what all ingresses draw is used by itself.
pub(crate) fn is_sparse(plan: &Plan, spread: u16) -> bool {
    plan.rate > 0.0 && plan.burst < f64::from(spread)
}
