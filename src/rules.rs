//! All decisions of a gateway: who is let in, where to, and what follows when an attempt ends badly.
//!
//! The interface, its settings, events and actions, is in `src/interface.rs`; `docs/design.md` tells the why.
//! The ordinary path: the customer's rate bucket, then its in-flight limit, its reservation, the shared room.

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
    /// A gateway's limiter; the seed is to be a fresh one at every start.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let source = match &settings {
            s if s.peers && s.peer_messages_per_second > 0.0 => UsageSource::Peers,
            s if s.counter => UsageSource::Counter,
            s if s.meter_period > 0.0 => UsageSource::Meter,
            _ => UsageSource::None,
        };
        let mut this = Self::empty(settings, source, seed);
        (this.retry_budget, this.call_share) =
            (MAX_RETRY_BUDGET * this.small_fleet_scale(), this.small_fleet_scale().sqrt());
        Ok(this)
    }

    /// Takes in what happened at `now` and adds what is to be done to `acts`.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
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
            Event::StreamStarted(id, no) => self.on_stream_started(id, no),
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

    /// The part of a floor for each gateway that keeps the sum of all within that of a few.
    fn small_fleet_scale(&self) -> f64 {
        SMALL_FLEET_INGRESSES / SMALL_FLEET_INGRESSES.max(f64::from(self.settings.ingress_count))
    }

    /// The interval at which the peers' mail limit takes in reports of all.
    fn unclamped_report_interval(&self) -> Millis {
        let listeners = f64::from(self.settings.ingress_count.max(2) - 1);
        1000.0 * listeners / (self.settings.peer_messages_per_second.max(1.0) * REPORT_MESSAGE_SHARE)
    }

    pub(crate) fn report_interval(&self) -> Millis {
        self.unclamped_report_interval().clamp(MIN_REPORT_INTERVAL, MAX_REPORT_INTERVAL)
    }

    /// Reports to all would come too late or flood the mail: each customer's quota is then kept by a home.
    fn uses_quota_owners(&self) -> bool {
        self.usage_source == UsageSource::Peers && self.unclamped_report_interval() > MAX_REPORT_INTERVAL
    }

    /// The gateway of the set that keeps the customer's quota, or the next in line while that is silent.
    fn quota_owner(&self, now: Millis, request: &Request) -> Option<IngressId> {
        let in_line = request.owner_candidates(self.settings.ingress_count);
        let well =
            |id: &IngressId| self.is_live(*id) && self.peers.get(id).is_none_or(|p| p.skipped_until <= now);
        in_line.into_iter().find(|id| *id == self.settings.ingress || well(id))
    }

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
            let named: BTreeSet<BackendId> = entries.iter().map(|e| e.backend).collect();
            for backend in self.backends.values_mut().filter(|s| !named.contains(&s.entry.backend)) {
                backend.entry.state = BackendState::Gone;
            }
        }
        for entry in entries {
            // Prevents a server that comes back, on a stale list or a fresh one, from being taken for warm.
            let late_comer = self.list_received.then_some(now);
            let fresh = entry.last_start.or(late_comer).filter(|at| now - at < self.settings.cold.warm_after);
            let backend =
                self.backends.entry(entry.backend).or_insert_with(|| Backend::new(entry, fresh, now));
            let restarted = entry.last_start.is_some() && entry.last_start != backend.entry.last_start;
            if restarted || (backend.entry.state == BackendState::Gone && entry.state == BackendState::Ready)
            {
                backend.started_at = fresh;
                backend.reset(now);
            }
            backend.entry = entry;
        }
        self.rebuild_ready();
        self.refresh_backend_sets(now);
    }

    /// The ready servers that are cold; those that are warm, and their weights.
    fn refresh_backend_sets(&mut self, now: Millis) {
        let cold = |id: &&BackendId| self.backends.get(id).is_some_and(|s| self.warmth(now, s) < 1.0);
        self.cold = self.ready.iter().filter(cold).copied().collect();
        // Prevents a room that was right for all from staying when most have gone: the list tells it before
        // late answers do. It comes back as they warm.
        let able =
            self.ready.iter().filter_map(|id| self.backends.get(id)).map(|s| self.warmth(now, s)).sum();
        let before = std::mem::replace(&mut self.ready_capacity, able);
        if before > 0.0 && able > 0.0 {
            self.capacity = self.capacity.map(|capacity| capacity * able / before);
        }
        self.count_warm(now);
        // Prevents many gateways, each of which meets a server once in a while, from a handshake for every
        // other request. Each server is near to as many of them, so the load stays even.
        let near = f64::from(self.settings.ingress_count) * PREFERRED_BACKENDS
            / self.warm.count.max(PREFERRED_BACKENDS);
        let few = f64::from(self.settings.ingress_count) <= SMALL_FLEET_INGRESSES;
        let place =
            |id: BackendId| f64::from(self.settings.ingress.ring_distance(id, self.settings.ingress_count));
        let is_near = |id: &&BackendId| !few && !self.cold.contains(id) && place(**id) < near;
        self.preferred = self.ready.iter().filter(is_near).copied().collect();
    }

    fn expected_latency(&self, class: ClassId, units: f64) -> Millis {
        let seen = &self.class_stats[class.0];
        let guess = self.settings.classes[class.0].aim * INITIAL_LATENCY_AIM_SHARE;
        seen.latency.value_or(guess) * (units / seen.units.value_or(units).max(0.01)).clamp(0.2, 5.0)
    }

    fn selection_cost(&self, now: Millis, backend: &Backend) -> f64 {
        // Prevents a server that goes silent from being preferred for its last good answers.
        let slow = backend
            .slowness(now, SLOWNESS_TAU)
            .max(0.2)
            .max(backend.longest_wait(now) * OUTLIER_LATENCIES / SILENCE_LATENCIES);
        // Prevents a server that tells nothing, as its answers never come, from looking idler.
        let (own, busy) = (
            backend.in_flight.len() as f64,
            1.0 / (1.3 - backend.utilization.value_or(self.mean_utilization.value_or(0.3))),
        );
        let far = self.settings.cross_zone_cost && backend.entry.zone != self.settings.zone;
        slow * busy * (IDLE_LOAD + own / backend.weight()) * if far { CROSS_ZONE_FACTOR } else { 1.0 }
    }

    /// Whether a server is ejected, is on trial after that with work out, or has gone silent.
    pub(crate) fn is_passed_over(&self, now: Millis, backend: &Backend) -> bool {
        let trial =
            backend.ejections > 0 && backend.consecutive_failures > 0 && !backend.in_flight.is_empty();
        backend.ejected_until > now || trial || backend.silence(now) > SILENCE_LATENCIES
    }

    fn pick_backend(&mut self, now: Millis, open: &OpenRequest) -> Option<BackendId> {
        let effect = self.settings.classes[open.request.class.0].retry_safety;
        let home =
            open.first_maybe_run.and_then(|i| self.backends.get(&open.attempts[i].backend)).map(|s| s.entry);
        let in_group = |id: &&BackendId| effect.allows_backend(home.as_ref(), &self.backends[*id].entry);
        let group =
            open.first_maybe_run.map(|_| self.ready.iter().filter(in_group).copied().collect::<Vec<_>>());
        if group.is_none()
            && let Some(id) = self.pick_cold(now, open)
        {
            return Some(id);
        }
        if let Some(mut group) = group {
            return self.best_candidate(now, open, &mut group, (false, true));
        }
        let mut near = std::mem::take(&mut self.preferred);
        let found = self.best_candidate(now, open, &mut near, (true, false));
        self.preferred = near;
        found.or_else(|| {
            let mut ready = std::mem::take(&mut self.ready);
            let found = self.best_candidate(now, open, &mut ready, (true, true));
            self.ready = ready;
            found
        })
    }

    /// The best of some servers, looked at in any order; `own` ones have had their turns asked for. Where
    /// these are not all there are, none that looks bad.
    fn best_candidate(
        &mut self,
        now: Millis,
        open: &OpenRequest,
        from: &mut [BackendId],
        (own, all): (bool, bool),
    ) -> Option<BackendId> {
        let (mut best, mut choices, mut bads): (Option<(CandidateRank, BackendId)>, _, _) = (None, 0, 0);
        // Sampled before ranking: no pass over all servers for each request.
        for k in 0..from.len().min(MAX_SAMPLES) {
            let other = k + self.rng.below(from.len() - k);
            from.swap(k, other);
            let backend = &self.backends[&from[k]];
            let tried = open.attempts.iter().any(|a| a.backend == from[k]);
            let cold = self.warmth(now, backend) < 1.0;
            let bad = self.is_passed_over(now, backend) && !self.widespread_trouble;
            if (tried && from.len() > 1)
                || (cold && (own || !self.try_slow_start_admit(now, from[k], open.request.units)))
            {
                continue;
            }
            let backend = &self.backends[&from[k]];
            // Prevents zones and kinds that are slow, or fail a class, from being sent as much as others, and
            // all gateways from running after the largest weights: candidates stand for both.
            let last = !cold
                && self.rng.unit() > self.relative_speed(now, backend, open.request.class, SLOWNESS_TAU);
            // A cold backend has no cost: its tokens are taken already.
            let cost = (bad, last, if cold { 0.0 } else { self.selection_cost(now, backend) });
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, from[k]));
            }
            (choices, bads) = (choices + usize::from(!bad && !last), bads + u8::from(bad));
            if choices == MAX_CANDIDATES || (cold && !bad) {
                break;
            }
        }
        // Prevents the ejection of the whole fleet: when nearly all look bad, the trouble is shared.
        let all_bad = f64::from(bads) > MAX_PASSED_OVER_SHARE * from.len().min(MAX_SAMPLES) as f64;
        best.filter(|((bad, ..), _)| !bad || (all && all_bad)).map(|(_, id)| id)
    }

    /// A cold server whose turn it is. They come first: the few gateways that fill one see too little to do
    /// so by the way.
    fn pick_cold(&mut self, now: Millis, open: &OpenRequest) -> Option<BackendId> {
        let cold = std::mem::take(&mut self.cold);
        let start = self.rng.below(cold.len());
        let fits = |this: &mut Self, id: BackendId| {
            let tried = open.attempts.iter().any(|a| a.backend == id) && this.ready.len() != 1;
            let well = this
                .backends
                .get(&id)
                .is_some_and(|s| this.widespread_trouble || !this.is_passed_over(now, s));
            !tried && well && this.try_slow_start_admit(now, id, open.request.units)
        };
        let found = (0..cold.len()).map(|i| cold[(start + i) % cold.len()]).find(|id| fits(self, *id));
        self.cold = cold;
        found
    }

    fn customer_entry(&mut self, now: Millis, request: &Request) -> &mut Customer {
        let plan = self.plan(request.plan);
        let (started, spread) = (self.started_at, request.spread.clamp(1, self.settings.ingress_count));
        let (n, least) = (f64::from(spread), self.settings.max_request_units.max(1.0).min(plan.burst));
        // An unknown store is not a full one, nor is a whole request each gateway's part where they are many.
        let chance = request.units * self.rng.unit();
        let store =
            if n > SMALL_FLEET_INGRESSES { plan.burst / n + chance } else { (plan.burst / n).max(least) };
        // A ceiling holds what a life before may not have drawn: it kept the quota.
        let ceiling = (plan.ceiling_burst - plan.burst).max(0.0) / n;
        let fresh = Customer::new(request, spread, (store, ceiling), started, now);
        let customer = self.customers.entry(request.customer).or_insert_with(|| fresh.clone());
        customer.update(now, fresh);
        customer
    }

    /// Whether the use at the others is known well enough to go by it.
    fn knows_remote_usage(&self, now: Millis, customer: &Customer) -> bool {
        let silence = self.report_interval() * MISSED_REPORTS_LIMIT;
        customer.spread <= 1
            || match self.usage_source {
                UsageSource::Peers => self.has_current_reports(customer, now - silence),
                // Where not every try can call, a total of long ago is no news.
                UsageSource::Counter => customer.counter.has_current_total(now, self.call_share >= 1.0),
                UsageSource::Meter => customer.metered_elsewhere.per_second(now, DEMAND_TAU) > 0.0,
                UsageSource::None => false,
            }
    }

    /// This gateway's part of the customer's recent demand.
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

    /// What the customer's bucket holds here; each report settles what the others really drew.
    fn available_units(&mut self, now: Millis, id: CustomerId) -> f64 {
        let Some(customer) = self.customers.get(&id) else { return 0.0 };
        let (plan, living) = (self.plan(customer.plan), self.live_ingresses_of(customer));
        let (hears, part) = (self.knows_remote_usage(now, customer), self.demand_share(now, customer));
        let pooled = self.uses_pool(customer.plan, customer.spread);
        // Prevents gateways that see the same units from all granting them before they hear of each other:
        // what others may draw meanwhile stays in the store, so that a second grant still finds its units.
        let most = f64::from(self.usage_source == UsageSource::Peers)
            * self.settings.max_request_units.max(1.0).min(plan.burst / 3.0);
        let ahead = (customer.demand_elsewhere(now, DEMAND_TAU) * UNREPORTED_DEMAND_TIME / 1000.0).min(most);
        let rate = if self.usage_source == UsageSource::Meter { plan.rate * part } else { plan.rate };
        let Some(customer) = self.customers.get_mut(&id) else { return 0.0 };
        customer.live_ingresses = living;
        let (store, slice) = customer.fill(now, rate, &plan, self.settings.max_request_units.max(1.0));
        if pooled {
            return customer.pooled_units();
        }
        if hears { (store - ahead).max(slice).min(store) } else { slice.min(store) }
    }

    /// This gateway's even slice of the hard ceiling; infinite where there is none.
    fn ceiling_units(&mut self, now: Millis, id: CustomerId, plan: &Plan) -> f64 {
        match self.customers.get_mut(&id) {
            Some(c) if plan.ceiling_rate > 0.0 => {
                let n = f64::from(c.spread.max(1));
                c.ceiling.fill(now, plan.ceiling_rate / n, plan.ceiling_burst / n)
            }
            _ => f64::INFINITY,
        }
    }

    pub(crate) fn capacity(&self) -> f64 {
        // To begin with there is room for a few requests: what all can do is not known yet.
        let start = INITIAL_UNITS_PER_BACKEND * self.ready_capacity.max(1.0) * self.small_fleet_scale();
        self.capacity
            .unwrap_or(start.max(2.0 * self.settings.max_request_units.max(1.0)))
            .max(self.min_capacity())
    }

    /// How much of their aims answers take. Prevents gateways that see few answers each from cutting their
    /// rooms by chance: what many peers see of the same back end counts for more, while it is fresh.
    pub(crate) fn pressure(&self, now: Millis) -> f64 {
        let own = self.own_pressure.value_or(0.0);
        let fresh = if now - self.peer_pressure_at < SHORT_TAU { PEER_PRESSURE_WEIGHT } else { 0.0 };
        own + (self.peer_pressure.value_or(own) - own) * fresh
    }

    /// The least capacity: a floor for all gateways together.
    fn min_capacity(&self) -> f64 {
        let least =
            self.mean_units().map_or(INITIAL_UNITS_PER_BACKEND, |units| units * MIN_REQUESTS_PER_BACKEND);
        (self.ready.len() as f64).max(1.0) * least / f64::from(self.settings.ingress_count)
    }

    /// Steps 2 and 3: whether the request fits its customer's reservation or the shared room.
    fn has_room(&mut self, now: Millis, request: &Request) -> bool {
        let capacity = self.capacity();
        // Prevents silent servers from pinning the tokens, and reservations from passing the capacity.
        let in_flight = self.in_flight - self.silent_units.min(self.in_flight * MAX_PASSED_OVER_SHARE);
        let fit = (capacity / self.reserved.max(1e-9)).min(1.0);
        let Some(customer) = self.customers.get(&request.customer) else { return false };
        let reservation = self.reservation(self.demand_share(now, customer), customer, request.class) * fit;
        // sum(inflight - request) + W <= capacity - sum(request); a chance for the part of one that fits.
        let chance = if capacity < SMALL_CAPACITY_REQUESTS * request.units { self.rng.unit() } else { 1.0 };
        // Work of more worth finds room in overload: the rest of the room is full for others by then.
        let room = capacity * (1.0 - WORTH_HEADROOM * (1.0 - self.relative_worth(request.class)));
        customer.units_in_flight + request.units <= reservation || in_flight + request.units * chance <= room
    }

    fn reservation(&self, part: f64, customer: &Customer, class: ClassId) -> f64 {
        let plan = self.plan(customer.plan);
        if plan.rate > 0.0 {
            return plan.rate * part * self.mean_latency(class) / 1000.0;
        }
        // A plan without a rate has no rate slice: half its slice of attempts is its own.
        plan.max_in_flight * part / 2.0 * self.class_stats[class.0].units.value_or(1.0)
    }

    fn admit(&mut self, now: Millis, request: &Request, known: QuotaEvidence) -> AdmissionDecision {
        let plan = self.plan(request.plan);
        let available = self.available_units(now, request.customer);
        let ceiling = self.ceiling_units(now, request.customer, &plan);
        let latency = self.mean_latency(request.class);
        let Some(customer) = self.customers.get(&request.customer) else {
            return AdmissionDecision::Rejected(0.0);
        };
        let (part, weight) = (self.demand_share(now, customer), request.units);
        let even = 1.0 / f64::from(customer.spread.max(1));
        // Prevents the gateways together from passing a hard ceiling, whatever has been heard.
        if ceiling < weight {
            return AdmissionDecision::Rejected(1000.0 * (weight - ceiling) / (plan.ceiling_rate * even));
        }
        // What a home has granted was counted there, and there was room before it was asked.
        if known == QuotaEvidence::Granted {
            return AdmissionDecision::WithinQuota;
        }
        let inside = known != QuotaEvidence::Denied
            && (plan.rate <= 0.0 || available >= weight || known == QuotaEvidence::Likely);
        let soft = plan.ceiling_rate <= 0.0 && plan.excess_worth > plan.excess_cost;
        if !inside && !soft {
            let refill = 1000.0 * (weight - available) / (plan.rate * part.max(0.05));
            // Who was turned away for want of news may come again while an answer is still of use.
            let unknown = known == QuotaEvidence::LocalOnly
                && self.usage_source == UsageSource::Counter
                && self.call_share < 1.0;
            let soon = if unknown {
                self.settings.classes[request.class.0].aim * UNINFORMED_RETRY_AIM_SHARE
            } else {
                f64::INFINITY
            };
            return AdmissionDecision::Rejected(refill.max(customer.denied_until - now).min(soon));
        }
        // 1. The in-flight limit; a small cap must not round to nothing.
        if plan.max_in_flight > 0.0 && inside {
            let share = plan.max_in_flight * part.max(even);
            let others =
                self.in_flight_elsewhere(customer, now - self.report_interval() * MISSED_REPORTS_LIMIT);
            // Prevents floors that together pass the cap: what peers have out, or may have begun, counts.
            let left = plan.max_in_flight - others;
            let unheard = self.report_interval() / MIN_REPORT_INTERVAL;
            let (hears, out) = (self.knows_remote_usage(now, customer), customer.attempts_in_flight);
            let rate =
                if plan.rate > 0.0 { plan.rate * (1.0 - even) * ASSUMED_RATE_USE } else { f64::INFINITY };
            let elsewhere = rate * self.attempt_duration.value_or(latency) / 1000.0;
            let limit = match self.usage_source {
                UsageSource::Peers if hears => share.ceil().min(left).max(left - unheard),
                UsageSource::Counter if hears && counter_attempt_step(&plan, customer.spread) > 0.0 => left,
                // By what the others' rate lets them have out it is more likely to fit than not to pay.
                UsageSource::Counter if even * SMALL_FLEET_INGRESSES < 1.0 && elsewhere.is_finite() => {
                    let fits = poisson_below(plan.max_in_flight - out, elsewhere * ASSUMED_IN_FLIGHT_FACTOR);
                    if fits > plan.break_even_probability() { plan.max_in_flight } else { share }
                }
                // Over many gateways a chance stands for the part of one.
                _ if even * SMALL_FLEET_INGRESSES < 1.0 && share < 1.0 => f64::from(self.rng.unit() < share),
                _ => share.round().max(1.0),
            };
            if out + 1.0 > limit {
                return AdmissionDecision::Rejected(latency);
            }
        }
        if !inside {
            let room = self.in_flight + weight <= self.capacity() * EXCESS_CAPACITY_SHARE;
            return if room { AdmissionDecision::BeyondQuota } else { AdmissionDecision::Rejected(latency) };
        }
        // 2. and 3. The reservation, then the shared room.
        if self.has_room(now, request) {
            AdmissionDecision::WithinQuota
        } else {
            AdmissionDecision::Rejected(latency)
        }
    }

    fn on_request(&mut self, now: Millis, mut request: Request, actions: &mut Vec<Action>) {
        request.sanitize();
        if request.class.0 >= self.settings.classes.len() || self.requests.contains_key(&request.id) {
            actions.push(Action::Reject(request.id, None));
            return;
        }
        self.retry_budget = (self.retry_budget + RETRY_BUDGET_PER_REQUEST)
            .min((MAX_RETRY_BUDGET * self.small_fleet_scale()).max(1.0));
        let customer = self.customer_entry(now, &request);
        customer.demand.add(now, request.units, DEMAND_TAU);
        customer.unreported_demand += request.units;
        self.unreported.insert(request.customer);
        let mut open = OpenRequest::new(request, now);
        let known = if self.uses_quota_owners() {
            self.request_quota(now, &mut open, actions)
        } else {
            self.hold_for_counter(now, &request, actions)
        };
        match known {
            Some(known) => self.finish_admission(now, open, known, actions),
            None => drop(self.requests.insert(request.id, open)),
        }
    }

    /// Asks the customer's home; none while the answer is awaited. Prevents gateways that each see too little
    /// of a customer from granting a quota many times over; a silent home leaves the even slice.
    fn request_quota(
        &mut self,
        now: Millis,
        open: &mut OpenRequest,
        actions: &mut Vec<Action>,
    ) -> Option<QuotaEvidence> {
        let request = open.request;
        let plan = self.plan(request.plan);
        let (spread, out, quiet) = self
            .customers
            .get(&request.customer)
            .map(|c| (c.spread, c.attempts_in_flight, c.denied_until))?;
        let quota = spread > 1 && (plan.rate > 0.0 || plan.max_in_flight > 0.0);
        if !quota || self.ceiling_units(now, request.customer, &plan) < request.units {
            return Some(QuotaEvidence::LocalOnly);
        }
        // Prevents asks whose answer cannot help: the refusal goes out at once.
        let full = plan.max_in_flight > 0.0 && out >= plan.max_in_flight;
        if now < quiet || full || !self.has_room(now, &request) {
            return Some(QuotaEvidence::Denied);
        }
        let customer = self.customers.get_mut(&request.customer)?;
        if now < customer.credit_until && customer.credit >= request.units {
            customer.credit -= request.units;
            customer.unreported_use += request.units;
            return Some(QuotaEvidence::Granted);
        }
        let unasked = customer.unreported_use;
        let Some(home) = self.quota_owner(now, &request) else { return Some(QuotaEvidence::LocalOnly) };
        self.last_quota_seq = (self.last_quota_seq + 1) & 0x3fff;
        let seq = self.last_quota_seq;
        open.grant = (plan.max_in_flight > 0.0).then_some((home, seq));
        if home == self.settings.ingress {
            let (granted, quiet) = self.decide_quota(now, (home, seq), &request.quota_request(), unasked);
            let customer = self.customers.get_mut(&request.customer)?;
            (customer.unreported_use, customer.denied_until) = (0.0, if granted { 0.0 } else { now + quiet });
            return Some(if granted { QuotaEvidence::Granted } else { QuotaEvidence::Denied });
        }
        if request.time_left < 2.0 * QUOTA_ANSWER_TIMEOUT + self.mean_latency(request.class) {
            open.grant = None;
            return Some(QuotaEvidence::LocalOnly);
        }
        self.send_quota_request(now, &request, (home, seq), false, actions);
        None
    }

    /// A home's word: whether a request is inside, and the units granted ahead or the time to ask no more.
    pub(crate) fn decide_quota(
        &mut self,
        now: Millis,
        who: (IngressId, u64),
        of: &QuotaRequest,
        unasked: f64,
    ) -> (bool, f64) {
        let plan = self.plan(of.plan);
        // Huge or odd figures must not change a quota for the better.
        let units = of.units.clamp(0.25, self.settings.max_request_units.max(1.0));
        let unasked = unasked.max(-self.settings.max_request_units);
        let end = now + self.settings.classes[of.class.0].aim;
        let store = TokenBucket::new(
            (plan.burst * INITIAL_BUCKET_SHARE).max(self.settings.max_request_units).min(plan.burst),
            self.started_at,
        );
        let quota =
            self.owned_quotas.entry(of.customer).or_insert_with(|| OwnedQuota::new(store, MIN_DENIAL_PAUSE));
        quota.last_seen = now;
        quota.request_rate.add(now, 1.0, SHORT_TAU);
        let level = quota.bucket.fill(now, plan.rate, plan.burst) - unasked;
        quota.bucket.level = level.clamp(-plan.burst, plan.burst);
        quota.granted.retain(|_, end| *end > now);
        if quota.granted.contains_key(&who) {
            return (true, 0.0);
        }
        let (level, asked) = (quota.bucket.level, quota.request_rate.per_second(now, SHORT_TAU));
        // Prevents a flood of asks beyond what the mail limit bears. Every ask tells: a home that grants most
        // of them denies too few to learn from these alone that the flood is over.
        let most = (self.settings.peer_messages_per_second * QUOTA_REQUEST_SHARE).max(1.0);
        quota.denial_pause = (quota.denial_pause * if asked > most { 1.1 } else { 0.9 })
            .clamp(MIN_DENIAL_PAUSE, MAX_DENIAL_PAUSE);
        let fits = plan.rate <= 0.0 || level >= units;
        if fits && (plan.max_in_flight <= 0.0 || (quota.granted.len() as f64) < plan.max_in_flight) {
            quota.bucket.level -= units;
            quota.granted.insert(who, end);
            let ahead = (level - units - plan.burst / 2.0).max(0.0) / 2.0 / asked.max(1.0);
            return (true, if plan.max_in_flight > 0.0 { 0.0 } else { ahead });
        }
        let refill = if fits { 0.0 } else { 1000.0 * (units - level) / plan.rate };
        (false, quota.denial_pause.max(refill).min(MAX_DENIAL_PAUSE))
    }

    /// An ask is put once more, then done without.
    fn on_quota_timeout(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let due: Vec<_> = self
            .pending_quota_requests
            .extract_if(.., |_, a| now - a.sent_at >= QUOTA_ANSWER_TIMEOUT - 1.0)
            .collect();
        for (seq, asked) in due {
            let Some(mut open) = self.requests.remove(&asked.request) else { continue };
            // Prevents judging a peer by one's own standstill.
            if now - asked.sent_at < 2.0 * QUOTA_ANSWER_TIMEOUT {
                self.peers
                    .entry(asked.owner)
                    .or_default()
                    .record_unanswered(OWNER_LOST_AFTER, now + OWNER_SKIP_TIME);
            }
            let left = open.deadline - now - self.mean_latency(open.request.class);
            let home = self.quota_owner(now, &open.request).filter(|home| *home == asked.owner);
            if let (Some(home), false, true) = (home, asked.resent, left > 2.0 * QUOTA_ANSWER_TIMEOUT) {
                let request = open.request;
                self.requests.insert(request.id, open);
                self.send_quota_request(now, &request, (home, seq), true, actions);
            } else {
                open.grant = None;
                self.finish_admission(now, open, QuotaEvidence::LocalOnly, actions);
            }
        }
    }

    pub(crate) fn on_quota_answer(
        &mut self,
        now: Millis,
        of: (IngressId, u64),
        granted: bool,
        more: f64,
        actions: &mut Vec<Action>,
    ) {
        let (from, seq) = of;
        let Some(asked) = self.pending_quota_requests.get(&seq).filter(|a| a.owner == from).copied() else {
            return;
        };
        self.pending_quota_requests.remove(&seq);
        self.peers.insert(from, Peer::default());
        let Some(mut open) = self.requests.remove(&asked.request) else { return };
        let jitter = 0.5 + self.rng.unit();
        if let Some(customer) = self.customers.get_mut(&open.request.customer) {
            if granted {
                let ahead = if now < customer.credit_until { customer.credit } else { 0.0 };
                (customer.credit, customer.credit_until) = (ahead.max(more), now + CREDIT_LIFETIME);
            } else {
                customer.denied_until = now + more.min(MAX_DENIAL_PAUSE) * jitter;
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

    /// Where only the counter tells of the others, a try waits for its call's answer: none. Prevents gateways
    /// that each see a part from granting the same units.
    fn hold_for_counter(
        &mut self,
        now: Millis,
        request: &Request,
        actions: &mut Vec<Action>,
    ) -> Option<QuotaEvidence> {
        let plan = self.plan(request.plan);
        let quota = plan.rate > 0.0 || plan.max_in_flight > 0.0;
        let short = request.time_left < MIN_TIME_LEFT_TIMEOUTS * self.settings.counter_timeout;
        // Prevents calls for tries that the ceiling or the full room turns away: floods would use them up.
        let shut = self.in_flight + request.units > self.capacity()
            || self.ceiling_units(now, request.customer, &plan) < request.units;
        if self.usage_source != UsageSource::Counter || !quota || short || shut {
            return Some(QuotaEvidence::LocalOnly);
        }
        let (known, likely, decides) = self.estimate_fit(now, request);
        let customer = self.customers.get_mut(&request.customer)?;
        // Nor does a call help where the last answer holds, or all that the cap allows is out here.
        if now < customer.denied_until
            || (plan.max_in_flight > 0.0 && customer.attempts_in_flight >= plan.max_in_flight)
        {
            return Some(QuotaEvidence::Denied);
        }
        let single = is_sparse(&plan, customer.spread);
        let (_, slice) = customer.fill(now, plan.rate, &plan, self.settings.max_request_units.max(1.0));
        if customer.spread <= 1 {
            return Some(QuotaEvidence::LocalOnly);
        }
        let own = if single { slice } else { customer.pooled_units() } >= request.units || plan.rate <= 0.0;
        if !own && !single && customer.pool.is_short(now) {
            return Some(QuotaEvidence::LocalOnly);
        }
        // Prevents more calls than the counter takes in from all failing: they go where the answer decides.
        let part = match (own, single) {
            (true, true) => self.call_share.powi(2),
            // A slice that holds the try lets it in without a call: it gains only while calls are plenty.
            (true, false) => self.call_share.powi(4),
            (false, _) => 2.0 * self.call_share,
        };
        let part =
            if single { (part * decides.max(self.call_share)).clamp(MIN_CALL_SHARE, 1.0) } else { part };
        if self.rng.unit() >= part {
            return Some(if single { known } else { QuotaEvidence::LocalOnly });
        }
        let stands_for = if single { 1.0 + likely * (1.0 - part) / part } else { 0.0 };
        customer.counter.held.push((request.id, request.units * stands_for.min(1.0)));
        customer.counter.add_pending(request.units * stands_for, 1.0);
        if has_pool(&plan, customer.spread) && customer.counter.sent_amounts.is_none() {
            // The pool goes first while calls are many: what stays in the slice is there when they are few.
            customer.pool.borrow(if own { request.units } else { request.units - customer.pooled_units() });
        }
        Self::call_counter(now, request.customer, customer, &plan, actions);
        None
    }

    /// What the calls that fit tell of a try without one, its chance and how much a call would decide.
    /// Prevents customers that each gateway sees once a day from being refused for slices far below one
    /// request. It could harm where a few customers ask most of what is asked.
    fn estimate_fit(&mut self, now: Millis, request: &Request) -> (QuotaEvidence, f64, f64) {
        let even = self.plan(request.plan).break_even_probability();
        let fit = self.counted_fit.get(&(request.plan, request.is_retry));
        let fit = fit.map_or(even, |f| f.value(now, even, COUNTED_FIT_TAU));
        // Only what the back end has room for: where it is pressed, tries that are known to fit come first.
        let free = ((PRESSURE_THRESHOLD - self.own_pressure.value_or(0.0)) * 2.0 / PRESSURE_THRESHOLD)
            .clamp(0.0, 1.0);
        let likely = ((fit - even) / (1.0 - even)).max(0.0).powi(2) * free;
        let decides = if fit > even { (1.0 - fit) / (1.0 - even) } else { fit / even };
        (
            if self.rng.unit() < likely { QuotaEvidence::Likely } else { QuotaEvidence::LocalOnly },
            likely,
            decides,
        )
    }

    fn finish_admission(
        &mut self,
        now: Millis,
        mut open: OpenRequest,
        known: QuotaEvidence,
        actions: &mut Vec<Action>,
    ) {
        let (request, counted) = (open.request, known == QuotaEvidence::Counted);
        let plan = self.plan(request.plan);
        open.counted = counted;
        let verdict = self.admit(now, &request, known);
        let inside = verdict == AdmissionDecision::WithinQuota;
        let single = self.usage_source == UsageSource::Counter
            && is_sparse(&plan, request.spread.min(self.settings.ingress_count));
        if counted && single {
            self.counted_fit.entry((request.plan, request.is_retry)).or_default().add(
                now,
                inside,
                COUNTED_FIT_TAU,
            );
        }
        let wait = match verdict {
            AdmissionDecision::Rejected(wait) => wait,
            _ if self.send_attempt(now, &mut open, actions) => {
                self.requests.insert(request.id, open);
                return self.draw(&request, inside, single);
            }
            _ => self.mean_latency(request.class),
        };
        if known == QuotaEvidence::Granted {
            self.release_grant(&open, actions);
        }
        match self.customers.get_mut(&request.customer) {
            Some(customer) if counted && !single => customer.counter.add_pending(0.0, -1.0),
            Some(customer) if counted => customer.denied_until = now + wait.min(MAX_DENIAL_PAUSE),
            Some(customer) if known == QuotaEvidence::Granted => customer.unreported_use -= request.units,
            _ => {}
        }
        actions.push(Action::Reject(request.id, self.retry_after(wait)));
    }

    fn send_attempt(&mut self, now: Millis, open: &mut OpenRequest, actions: &mut Vec<Action>) -> bool {
        let Some(id) = self.pick_backend(now, open) else { return false };
        let class = &self.settings.classes[open.request.class.0];
        let usual = self.expected_latency(open.request.class, open.request.units);
        let left = open.deadline - now;
        let hurry = if self.timeout_share.value_or(0.0) > LOST_ANSWERS_THRESHOLD {
            LOST_ANSWERS_TIMEOUT_FACTOR
        } else {
            1.0
        };
        let patience = (usual * ATTEMPT_TIMEOUT_LATENCIES).max(class.aim * ATTEMPT_TIMEOUT_AIM_SHARE) * hurry;
        let well =
            self.retry_budget >= 1.0 && self.pressure(now) < PRESSURE_THRESHOLD && patience + usual < left;
        let more = open.attempts.len() + 1 < usize::from(self.settings.max_attempts);
        let again = class.retry_safety != RetrySafety::Unsafe && well && more;
        // Prevents an answer that never comes from pinning a capped customer's attempts.
        let capped = hurry < 1.0 && self.plan(open.request.plan).max_in_flight > 0.0 && class.aim < left;
        let wait = if again { Some(patience) } else { capped.then_some(class.aim) };
        let within = open.send_within(now, &class.retry_safety);
        let no = AttemptIndex(u16::try_from(open.attempts.len()).unwrap_or(u16::MAX));
        let units = open.request.units;
        if let Some(backend) = self.backends.get_mut(&id) {
            backend.in_flight.insert((open.request.id, no), (now, units, usual));
        }
        (self.in_flight, self.sent_at_sum) = (self.in_flight + units, self.sent_at_sum + units * now);
        self.customers
            .entry(open.request.customer)
            .and_modify(|c| c.attempt_sent(units, open.counted && !open.attempts.is_empty()));
        open.attempts.push(Attempt { backend: id, sent_at: now, in_flight: true, streaming: false });
        actions.push(Action::Send {
            request: open.request.id,
            backend: id,
            timeout: wait,
            send_within: within,
        });
        true
    }

    fn on_attempt_ended(&mut self, now: Millis, end: AttemptEnd, actions: &mut Vec<Action>) {
        let no = usize::from(end.attempt.0);
        let Some(mut open) = self.requests.remove(&end.request) else { return };
        let Some(attempt) = open.attempts.get_mut(no).filter(|a| a.in_flight) else {
            self.requests.insert(end.request, open);
            return;
        };
        attempt.in_flight = false; // Tokens return however an attempt ends.
        let held = if attempt.streaming { 0.0 } else { open.request.units };
        self.sent_at_sum -= held * attempt.sent_at;
        let (request, plan) = (open.request, self.plan(open.request.plan));
        self.in_flight -= held;
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            customer.attempt_ended(request.units);
            // A cap shared with others goes by what is out: tell them of the end, not of sends alone.
            if plan.max_in_flight > 0.0 {
                self.unreported.insert(request.customer);
                customer.counter.pending[ATTEMPTS] -= f64::from(open.counted);
            }
            customer.record_usage(now, request.units, &end, plan.rate, DEMAND_TAU);
        }
        self.record_outcome(now, &request, &end);
        if end.outcome.may_have_run() && open.first_maybe_run.is_none_or(|first| no < first) {
            open.first_maybe_run = Some(no);
        }
        open.closed |= end.request_closed;
        if open.attempts.iter().any(|a| a.in_flight) {
            self.requests.insert(request.id, open);
            return;
        }
        if open.closed {
            return self.release_grant(&open, actions);
        }
        let effect = self.settings.classes[request.class.0].retry_safety;
        let allowed = open
            .first_maybe_run
            .is_none_or(|first| effect.allows_after(now + 1.0 - open.attempts[first].sent_at));
        let time = open.deadline - now > self.expected_latency(request.class, request.units) / 2.0;
        let more = open.attempts.len() < usize::from(self.settings.max_attempts) && self.retry_budget >= 1.0;
        if allowed && time && more && self.send_attempt(now, &mut open, actions) {
            self.retry_budget -= 1.0;
            self.requests.insert(request.id, open);
            return;
        }
        self.release_grant(&open, actions);
        // A refusal promises that nothing ran, or that a repeat does no harm.
        let harmless =
            matches!(effect, RetrySafety::Safe | RetrySafety::Keyed { scope: DedupScope::All, .. });
        let refuse = open.first_maybe_run.is_none() || (harmless && open.deadline > now && allowed);
        let advice = self.retry_after(self.mean_latency(request.class));
        actions.push(if refuse { Action::Reject(request.id, advice) } else { Action::Fail(request.id) });
    }

    /// What an outcome tells of the server and of the back end as a whole.
    fn record_outcome(&mut self, now: Millis, request: &Request, end: &AttemptEnd) {
        let usual = self.expected_latency(request.class, request.units).max(1.0);
        let aim = self.settings.classes[request.class.0].aim;
        let (served, failed) = (end.outcome == Outcome::Served, end.outcome.may_have_run());
        let (mut silent, mut overtaken, full) = (false, false, end.outcome == Outcome::Rejected);
        let unreached = end.outcome == Outcome::ConnectFailed;
        let (cold, window) = (self.settings.cold, self.settings.cold.overload_window.max(1.0));
        let judged = !matches!(end.outcome, Outcome::NotSent | Outcome::Cancelled);
        // Work that cold, drained or gone ones finish says nothing of what a warm one takes.
        let warm = |s: &Backend| s.entry.state == BackendState::Ready && self.warmth(now, s) >= 1.0;
        if let Some(backend) = self.backends.get(&end.backend).filter(|s| served && warm(s)) {
            self.warm_backend_served(now, backend.entry.kind, request.units);
        }
        if let Some(backend) = self.backends.get_mut(&end.backend) {
            let times = served.then(|| (end.elapsed / usual).min(MAX_ATTEMPT_LATENCIES));
            for scope in backend.groups().into_iter().filter(|_| judged) {
                let takes = self.group_latency.entry((scope, request.class)).or_default();
                takes.add(now, times, ALL_FAILED_LATENCIES, SAMPLE_WEIGHT, SLOWNESS_TAU);
            }
            silent = backend.is_outlier(now, end.outcome, SILENCE_LATENCIES, OUTLIER_LATENCIES, SLOWNESS_TAU);
            overtaken = backend.remove_attempt((request.id, end.attempt), end.outcome);
            if judged && end.outcome != Outcome::TimedOut {
                backend.last_answer_at = now;
            }
            if let Some(busy) = backend.record_load(&end.load, SAMPLE_WEIGHT) {
                self.mean_utilization.add(busy, SAMPLE_WEIGHT);
            }
            if served || end.outcome == Outcome::TimedOut {
                backend.record_latency(
                    (end.elapsed / usual).clamp(0.05, 20.0),
                    2.0 * SAMPLE_WEIGHT,
                    now,
                    SLOWNESS_TAU,
                );
            }
            // A warm backend needs no account: it begins anew where it starts cold.
            if !cold.is_warm(backend.started_at, now) {
                backend.slow_start.record_ended(now - end.elapsed.min(usual), request.units, window);
                // One that could do more does not idle where the warm ones served little, or are dead.
                if served && end.elapsed < MAX_UNDELAYED_LATENCIES * usual {
                    backend.slow_start.record_served(now, request.units, window);
                }
            }
            if served {
                // Prevents pushing over a server that died and came back before the list said so.
                backend.record_served(now, ASSUMED_RESTART_AFTER);
            } else if (failed && end.outcome != Outcome::Cancelled) || unreached || full {
                // Silence alone is no evidence of a restart: a healed link would make a whole zone cold.
                if unreached {
                    backend.record_unreachable(now);
                }
                backend.record_failure(now, silent || unreached, EJECTION);
            }
        }
        self.timeout_share.add(f64::from(end.outcome == Outcome::TimedOut), SAMPLE_WEIGHT / 2.0);
        self.attempt_duration.add(end.elapsed, SAMPLE_WEIGHT / 2.0);
        if served {
            self.class_stats[request.class.0].record(end.elapsed, request.units, SAMPLE_WEIGHT);
        }
        silent = (silent || overtaken) && !self.widespread_trouble;
        // The mean latency decides: a few long attempts keep a count of answers low.
        if judged && !unreached && !silent {
            let taken = if full { 1.0 } else { (end.elapsed / aim).min(1.0) };
            // By time where answers are few: prevents many gateways from learning of a trouble after it.
            self.record_pressure(now, taken, SHORT_TAU, [SAMPLE_WEIGHT / 2.0, SAMPLE_WEIGHT]);
        }
        // Prevents a room that rises or stays while attempts hang: Little's law, and age for sudden bursts.
        self.ended_units.add(now, request.units, SHORT_TAU);
        let little =
            self.in_flight * 1000.0 / self.ended_units.per_second_over(now, SHORT_TAU, now - self.started_at);
        let waits =
            little.min(MAX_MEAN_AGE_MULTIPLE * (now - self.sent_at_sum / self.in_flight.max(1e-9))) / aim;
        let (capacity, taken) = (self.capacity(), self.pressure(now));
        let pause = self.mean_latency(request.class).min(aim * PRESSURE_THRESHOLD);
        if (taken > PRESSURE_THRESHOLD || waits > STALL_AIM_MULTIPLE)
            && !silent
            && now - self.capacity_cut_at > pause
        {
            // From what is out, not from an estimate that was never tried: prevents one stuck high.
            let tried =
                capacity.min((self.in_flight + request.units).max(2.0 * self.settings.max_request_units));
            self.capacity = Some((tried * CAPACITY_DECREASE_FACTOR).max(self.min_capacity()));
            self.capacity_cut_at = now;
        } else if served
            && taken.max(waits) < PRESSURE_THRESHOLD
            && self.in_flight + request.units > capacity / 2.0
        {
            self.capacity = Some(capacity + 1.0);
        }
    }

    fn on_tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer(self.next_tick_delay(), TICK_TIMER));
        if self.usage_source == UsageSource::Peers && !self.uses_quota_owners() {
            actions.extend(self.build_reports());
        }
        self.lend_unused(now, actions);
        for id in std::mem::take(&mut self.unreported) {
            let Some(customer) = self.customers.get_mut(&id) else { continue };
            let plan = self.settings.plans.get(customer.plan.0).cloned().unwrap_or_default();
            let told = customer.counter.pending[ATTEMPTS] != 0.0 && customer.spread > 1;
            if told
                && self.usage_source == UsageSource::Counter
                && counter_attempt_step(&plan, customer.spread) > 0.0
            {
                Self::call_counter(now, id, customer, &plan, actions);
            }
        }
        self.refresh_backend_sets(now);
        let bad = self.ready.iter().filter(|id| self.is_passed_over(now, &self.backends[*id])).count();
        let silent = self.backends.values().filter(|s| s.silence(now) > SILENCE_LATENCIES);
        self.silent_units = silent.map(Backend::units_in_flight).sum();
        self.widespread_trouble = bad as f64 > MAX_PASSED_OVER_SHARE * self.ready.len() as f64;
        let most = |c| {
            let (part, classes) = (self.demand_share(now, c), 0..self.class_stats.len());
            classes.map(|i| self.reservation(part, c, ClassId(i))).fold(0.0, f64::max)
        };
        self.reserved = self.customers.values().filter(|c| now - c.last_seen < DEMAND_TAU).map(most).sum();
        let forget = CUSTOMER_RETENTION.max(2.0 * self.settings.longest_refill());
        self.customers.retain(|_, c| c.attempts_in_flight > 0.0 || now - c.last_seen < forget);
        self.owned_quotas.retain(|_, quota| now - quota.last_seen < forget);
    }

    fn on_peer_message(&mut self, now: Millis, from: IngressId, bytes: &[u8], actions: &mut Vec<Action>) {
        let Some((incarnation, rest)) = bytes.split_first() else { return };
        if from == self.settings.ingress || from.0 >= self.settings.ingress_count {
            return;
        }
        if self.uses_quota_owners() {
            return self.on_quota_message(now, from, QuotaMessage::decode(bytes), actions);
        }
        let fresh = 2.0 * self.report_interval() / 1000.0;
        for (id, news) in self.apply_report(now, from, *incarnation, decode_report_lines(rest), DEMAND_TAU) {
            let Some(customer) = self.customers.get_mut(&id) else { continue };
            let (rate, burst) =
                self.settings.plans.get(customer.plan.0).map_or((0.0, 0.0), |p| (p.rate, p.burst));
            customer.bucket.overflow = customer.bucket.overflow.min(rate * fresh);
            customer.bucket.reconcile(now, rate, burst, news);
        }
    }

    fn on_counter_answer(
        &mut self,
        now: Millis,
        id: CustomerId,
        answer: CounterAnswer,
        actions: &mut Vec<Action>,
    ) {
        let (me, name) = (self.settings.ingress, id);
        let Some(customer) = self.customers.get_mut(&id) else { return };
        let Some([added, out]) = customer.counter.sent_amounts.take() else { return };
        let plan = self.settings.plans.get(customer.plan.0).cloned().unwrap_or_default();
        match answer {
            CounterAnswer::Total(total) if total.is_finite() && is_sparse(&plan, customer.spread) => {
                // Prevents a first total, without an earlier one beside it, from letting everybody in.
                let most = plan.burst + plan.rate * counter_ttl(&plan, customer.spread) / 2000.0;
                let left = most - customer.counter.apply_sparse_total(now, total, [added, out]);
                customer.bucket = TokenBucket::new(left.clamp(0.0, plan.burst), now);
            }
            CounterAnswer::Total(total) if total.is_finite() => {
                let step = counter_attempt_step(&plan, customer.spread);
                let (owed, others) = customer.counter.apply_total(now, total, out, step);
                customer.peer_usage.entry(me).or_default().in_flight = others;
                customer.pool.counted(now, owed, POOL.max_burst_share * plan.burst, &POOL);
            }
            CounterAnswer::NotAdded => customer.call_not_counted([added, out]),
            _ => customer.call_unknown(),
        }
        // Prevents judging the counter by one's own standstill: what takes longer was not read at once.
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
        let told = matches!(answer, CounterAnswer::Total(_)) || !is_sparse(&plan, customer.spread);
        for (id, units) in std::mem::take(&mut customer.counter.held) {
            if let Some(open) = self.requests.remove(&id) {
                let known =
                    if told { QuotaEvidence::Counted } else { self.estimate_fit(now, &open.request).0 };
                self.finish_admission(now, open, known, actions);
            } else if let Some(customer) = self.customers.get_mut(&name) {
                // The client left meanwhile: what was set aside for it goes back.
                customer.counter.add_pending(units, -1.0);
            }
        }
    }
}

/// Whether a gateway's slice of a burst is under one unit: then there is nothing to lend, and totals of what
/// all draw are read, each by itself.
pub(crate) fn is_sparse(plan: &Plan, spread: u16) -> bool {
    plan.rate > 0.0 && plan.burst < f64::from(spread)
}
