//! The state of a limiter: records and their arithmetic. Decisions and their figures are in `src/rules.rs`.

use crate::interface::*;
use crate::peer_messages::{QuotaRequest, encode_report_line, quarters};
use crate::prior_runs::{PriorRun, PriorRuns};
use crate::prng::Prng;
use crate::quota_pool::PoolAccount;
use crate::ramp::{SlowStart, WarmBackends};
use crate::slow_start::SERVED_AVERAGING;
use crate::stats::BackendCounts;
use crate::window::{DecayingAverage, DecayingRate, Ewma, SuccessShare, TokenBucket};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Timer for retrying a failed subscription to the backend list.
pub(crate) const SUBSCRIBE_TIMER: TimerKey = TimerKey(2);
/// Timer for quota requests without an answer.
pub(crate) const QUOTA_ANSWER_TIMER: TimerKey = TimerKey(3);
/// The regular timer.
pub(crate) const TICK_TIMER: TimerKey = TimerKey(1);

/// Precedes the state that is handed over, whose encoding is not self-describing. It changes with every
/// change of the types that a limiter holds.
const STATE_LAYOUT: &[u8] = b"limiter4";

/// Admission control and scheduling of one ingress. Its decisions are in `src/rules.rs`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Limiter {
    /// The settings of this ingress.
    pub(crate) settings: Settings,
    /// Source of random numbers.
    pub(crate) rng: Prng,
    /// When the limiter started.
    pub(crate) started_at: Millis,
    /// Where it learns of the use at other ingresses.
    pub(crate) usage_source: UsageSource,
    /// Random byte in every usage report, by which peers notice a restart.
    pub(crate) incarnation: u8,
    /// All known backends; gone ones as long as attempts are in flight to them.
    pub(crate) backends: BTreeMap<BackendId, Backend>,
    /// Ready backends, in the order in which they were last sampled.
    pub(crate) ready: Vec<BackendId>,
    /// Warm backends that this ingress of a large fleet prefers.
    pub(crate) preferred: Vec<BackendId>,
    /// Ready backends that are cold.
    pub(crate) cold: Vec<BackendId>,
    /// The largest listed weight of a ready backend.
    pub(crate) max_weight: f64,
    /// Latency of the backends of a zone or a kind of machine, by class.
    pub(crate) group_latency: BTreeMap<(BackendGroup, ClassId), GroupLatency>,
    /// Nearly all backends look unhealthy, so the fault is not their own and none is passed over.
    pub(crate) widespread_trouble: bool,
    /// A backend list has been received.
    pub(crate) list_received: bool,
    /// The quotas that this ingress owns.
    pub(crate) owned_quotas: BTreeMap<CustomerId, OwnedQuota>,
    /// Quota requests without an answer, by sequence number.
    pub(crate) pending_quota_requests: BTreeMap<u64, PendingQuotaRequest>,
    /// Sequence number of the last quota request.
    pub(crate) last_quota_seq: u64,
    /// Requests that are held or have attempts in flight.
    pub(crate) requests: BTreeMap<RequestId, OpenRequest>,
    /// Requests that may have run and must not be sent at will if they come again.
    pub(crate) prior_runs: PriorRuns,
    /// Customers seen lately.
    pub(crate) customers: BTreeMap<CustomerId, Customer>,
    /// The most customers that are remembered.
    #[serde(skip)]
    pub(crate) max_customers: usize,
    /// When the last one was seen of the customers that were forgotten because there were too many.
    pub(crate) forgotten_until: Millis,
    /// Customers with changes that were not sent to the peers or the counter yet.
    pub(crate) unreported: BTreeSet<CustomerId>,
    /// Customers of whose quota this ingress may lend units to the pool.
    pub(crate) pool_customers: BTreeSet<CustomerId>,
    /// What is known of the other ingresses.
    pub(crate) peers: BTreeMap<IngressId, Peer>,
    /// Observations by class, in the order of [`Settings::classes`].
    pub(crate) class_stats: Vec<ClassStats>,
    /// The estimated capacity, in units in flight; `None` before it was first adjusted.
    pub(crate) capacity: Option<f64>,
    /// What the ready backends can do, in warm backends.
    pub(crate) ready_capacity: f64,
    /// When the capacity was last cut.
    pub(crate) capacity_cut_at: Millis,
    /// Latency pressure: the mean fraction of their aims that answers take here.
    pub(crate) own_pressure: Ewma,
    /// When it was last updated.
    pub(crate) own_pressure_at: Millis,
    /// Latency pressure as peers report it.
    pub(crate) peer_pressure: Ewma,
    /// When a peer last reported it.
    pub(crate) peer_pressure_at: Millis,
    /// The fraction of tries that call the counter.
    pub(crate) call_share: f64,
    /// The fraction of the tries decided by a counter total that fit the quota, by plan and
    /// [`Request::is_retry`].
    pub(crate) counted_fit: BTreeMap<(PlanId, bool), SuccessShare>,
    /// Mean fraction of their cores in use that backends report.
    pub(crate) mean_utilization: Ewma,
    /// Units a second of attempts that end.
    pub(crate) ended_units: DecayingRate,
    /// How long attempts are in flight, in milliseconds, whatever their outcome.
    pub(crate) attempt_duration: Ewma,
    /// The fraction of attempts that time out.
    pub(crate) timeout_share: Ewma,
    /// Units in flight, without streaming attempts.
    pub(crate) in_flight: f64,
    /// The sum of the sending times of these units.
    pub(crate) sent_at_sum: f64,
    /// Units in flight to silent backends.
    pub(crate) silent_units: f64,
    /// The sum of the reservations of all customers with recent requests, in units in flight.
    pub(crate) reserved: f64,
    /// Work of this ingress that the warm backends served.
    pub(crate) warm: WarmBackends,
    /// The same by kind of machine.
    pub(crate) warm_by_kind: BTreeMap<KindId, WarmBackends>,
    /// Further attempts that may be made now.
    pub(crate) retry_budget: f64,
    /// Another process decides now; this one sends nothing to cold backends.
    pub(crate) handed_over: bool,
    /// When the state was handed over, on the clock of its times; `None` if that is not known.
    pub(crate) handed_over_at: Option<Millis>,
    /// How far the clock of the times in this state is ahead of this process's clock. The two differ where the state is
    /// that of a process that started before the system's clock was stepped.
    #[serde(skip)]
    pub(crate) clock_shift: Millis,
    /// Which ingresses are live, by number; `None` if unknown.
    #[serde(skip)]
    pub(crate) live_ingresses: Option<Vec<bool>>,
}

impl Limiter {
    /// Returns a limiter without observations.
    pub(crate) fn empty(settings: Settings, usage_source: UsageSource, seed: u64) -> Self {
        let mut rng = Prng::new(seed);
        Self {
            incarnation: rng.byte(),
            last_quota_seq: rng.below(usize::from(u16::MAX)) as u64,
            rng,
            usage_source,
            class_stats: vec![ClassStats::default(); settings.classes.len()],
            settings,
            started_at: 0.0,
            backends: BTreeMap::new(),
            ready: Vec::new(),
            preferred: Vec::new(),
            cold: Vec::new(),
            max_weight: 1.0,
            group_latency: BTreeMap::new(),
            widespread_trouble: false,
            list_received: false,
            owned_quotas: BTreeMap::new(),
            pending_quota_requests: BTreeMap::new(),
            requests: BTreeMap::new(),
            prior_runs: PriorRuns::default(),
            customers: BTreeMap::new(),
            max_customers: usize::MAX,
            forgotten_until: 0.0,
            unreported: BTreeSet::new(),
            pool_customers: BTreeSet::new(),
            peers: BTreeMap::new(),
            capacity: None,
            ready_capacity: 0.0,
            capacity_cut_at: 0.0,
            own_pressure: Ewma::default(),
            own_pressure_at: 0.0,
            peer_pressure: Ewma::default(),
            peer_pressure_at: f64::NEG_INFINITY,
            call_share: 1.0,
            counted_fit: BTreeMap::new(),
            timeout_share: Ewma::default(),
            mean_utilization: Ewma::default(),
            ended_units: DecayingRate::default(),
            attempt_duration: Ewma::default(),
            in_flight: 0.0,
            sent_at_sum: 0.0,
            silent_units: 0.0,
            reserved: 0.0,
            warm: WarmBackends::default(),
            warm_by_kind: BTreeMap::new(),
            retry_budget: 0.0,
            handed_over: false,
            handed_over_at: None,
            clock_shift: 0.0,
            live_ingresses: None,
        }
    }

    /// Sets which ingresses are live, by number; `None` if unknown.
    pub fn set_live_ingresses(&mut self, live: Option<Vec<bool>>) {
        self.live_ingresses = live;
    }

    /// Returns whether an ingress is live; unknown ones count as live.
    pub(crate) fn is_live(&self, id: IngressId) -> bool {
        self.live_ingresses.as_ref().is_none_or(|live| live.get(usize::from(id.0)).copied().unwrap_or(true))
    }

    /// Counts the ready backends that are warm, in total and by kind of machine.
    pub(crate) fn count_warm(&mut self, now: Millis) {
        self.warm.recount(now, SERVED_AVERAGING);
        self.warm_by_kind.values_mut().for_each(|warm| warm.recount(now, SERVED_AVERAGING));
        let ready = self.ready.iter().filter_map(|id| self.backends.get(id));
        for backend in ready.filter(|backend| self.settings.cold.is_warm(backend.started_at, now)) {
            self.warm.add_backend(backend.weight());
            self.warm_by_kind.entry(backend.entry.kind).or_default().add_backend(backend.weight());
        }
    }

    /// Returns the mean units of a request over all classes that were served; `None` if none was.
    pub(crate) fn mean_units(&self) -> Option<f64> {
        let seen =
            self.class_stats.iter().map(|class| class.units.value_or(0.0)).filter(|units| *units > 0.0);
        let (sum, count) = seen.fold((0.0, 0.0), |(sum, count), units| (sum + units, count + 1.0));
        (count > 0.0).then(|| sum / count)
    }

    /// Returns the encoded state for the limiter of another process. This one continues with the attempts in
    /// flight only.
    pub fn hand_over(&mut self) -> Vec<u8> {
        let bytes = postcard::to_extend(self, STATE_LAYOUT.to_vec()).unwrap_or_default();
        self.handed_over = true;
        bytes
    }

    /// Notes the time in the state that is handed over next.
    pub fn note_handover(&mut self, now: Millis) {
        self.handed_over_at = Some(now + self.clock_shift);
    }

    /// Has the times of an inherited state go on from when it was handed over, which is `now` on this process's clock.
    /// The clocks of two processes differ if the system's clock was stepped between their starts.
    pub fn continue_clock(&mut self, now: Millis) {
        self.clock_shift = self.handed_over_at.take().map_or(0.0, |at| at - now);
    }

    /// Continues to decide because the other process is gone.
    pub fn resume(&mut self) {
        self.handed_over = false;
    }

    /// Continues from the state of another process with the same settings, and returns the attempts that are
    /// still in flight there. Their ends are to be passed in with [`AttemptEnd::request_closed`] set.
    pub fn inherit(
        &mut self,
        bytes: &[u8],
    ) -> Result<Vec<(RequestId, AttemptIndex, BackendId)>, &'static str> {
        let bytes = bytes.strip_prefix(STATE_LAYOUT).ok_or("the state has another layout")?;
        let mut old: Self = postcard::from_bytes(bytes).map_err(|_| "the state cannot be decoded")?;
        let shape = |s: &Settings| (s.ingress, s.ingress_count, s.classes.len(), s.plans.len());
        let fits = shape(&old.settings) == shape(&self.settings)
            && old.class_stats.len() == old.settings.classes.len();
        if !fits || old.usage_source != self.usage_source {
            return Err("the state belongs to other settings");
        }
        (old.settings, old.handed_over) = (self.settings.clone(), false);
        old.max_customers = self.max_customers;
        // The old process receives the answers it is waiting for.
        old.pending_quota_requests.clear();
        for customer in old.customers.values_mut() {
            customer.counter.held.clear();
            if customer.counter.sent_amounts.take().is_some() {
                customer.call_unknown();
            }
        }
        old.requests.retain(|_, open| open.attempts.iter().any(|a| a.in_flight));
        let mut in_flight = Vec::new();
        for (id, open) in &mut old.requests {
            open.closed = true;
            let attempts = (0u16..).zip(&open.attempts).filter(|(_, a)| a.in_flight);
            in_flight.extend(attempts.map(|(index, a)| (*id, AttemptIndex(index), a.backend)));
        }
        *self = old;
        Ok(in_flight)
    }

    /// Returns the least fraction of its full capacity that a backend has now.
    pub(crate) fn warmth(&self, now: Millis, backend: &Backend) -> f64 {
        self.settings.cold.warmth_of(backend.started_at, now)
    }

    /// Returns the time after which a rejected client should retry, within the bounds of the settings; `None`
    /// if these do not allow it.
    pub(crate) fn retry_after(&self, wait: Millis) -> Option<Millis> {
        (self.settings.max_retry_after > 0.0).then(|| wait.clamp(1.0, self.settings.max_retry_after))
    }

    /// Returns a plan by its id.
    pub(crate) fn plan(&self, id: PlanId) -> Plan {
        self.settings.plans.get(id.0).copied().unwrap_or_default()
    }

    /// Returns the mean latency of a class; its aim before its first answer.
    pub(crate) fn mean_latency(&self, class: ClassId) -> Millis {
        self.class_stats[class.0].latency.value_or(self.settings.classes[class.0].aim)
    }

    /// Returns the worth of a class for the backend time that it uses, relative to the class with the
    /// highest.
    pub(crate) fn relative_worth(&self, class: ClassId) -> f64 {
        let worth = |class: usize| {
            let units = self.class_stats[class].units.value_or(1.0).max(0.01);
            self.settings.classes[class].worth * units / self.mean_latency(ClassId(class)).max(0.01)
        };
        let highest = (0..self.class_stats.len()).map(worth).fold(0.0, f64::max);
        if highest > 0.0 { worth(class.0) / highest } else { 1.0 }
    }

    /// Returns the other ingresses over which a customer's requests are spread.
    pub(crate) fn peers_of(&self, customer: &Customer) -> impl Iterator<Item = IngressId> + use<> {
        let (own, count, first) =
            (self.settings.ingress, self.settings.ingress_count, customer.first_ingress.0);
        let ids = (0..customer.spread).map(move |i| IngressId((first % count + i) % count));
        ids.filter(move |id| *id != own)
    }

    /// Returns whether all live ingresses of a customer have reported after `since`, or a majority of the
    /// fleet has (this one included). Prevents customers from losing a dead ingress's share of their quota:
    /// an ingress that is silent while most report is down, or cut off alone, where it grants its even slices
    /// at most.
    pub(crate) fn has_current_reports(&self, customer: &Customer, since: Millis) -> bool {
        let is_current = |id: IngressId| {
            !self.is_live(id) || self.peers.get(&id).is_some_and(|peer| peer.last_report_at > since)
        };
        let majority_reports = || {
            let others = self.peers.values().filter(|peer| peer.last_report_at > since).count();
            2 * (others + 1) > usize::from(self.settings.ingress_count)
        };
        // Prevents a partition from granting what the others grant as well: dead ingresses are excluded only
        // where a majority of the fleet is live.
        let live = (0..self.settings.ingress_count).filter(|id| self.is_live(IngressId(*id))).count();
        let majority_live = 2 * live > usize::from(self.settings.ingress_count);
        majority_live && self.peers_of(customer).all(is_current) || majority_reports()
    }

    /// Returns the number of a customer's ingresses that are live, including this one, if a majority of the
    /// fleet is; 0 if unknown. Prevents the slice of a dead ingress from being unused where no usage is
    /// reported; a minority partition keeps the slices of the whole set.
    pub(crate) fn live_ingresses_of(&self, customer: &Customer) -> u16 {
        let Some(live) = &self.live_ingresses else { return 0 };
        if 2 * live.iter().filter(|live| **live).count() <= usize::from(self.settings.ingress_count) {
            return 0;
        }
        1 + self.peers_of(customer).filter(|id| self.is_live(*id)).count() as u16
    }

    /// Returns the attempts that other ingresses have in flight for a customer. Those of a peer that has not
    /// reported after `since` count as ended.
    pub(crate) fn in_flight_elsewhere(&self, customer: &Customer, since: Millis) -> f64 {
        let is_current = |id: &IngressId| {
            *id == self.settings.ingress || self.peers.get(id).is_some_and(|peer| peer.last_report_at > since)
        };
        customer.peer_usage.iter().filter(|(id, _)| is_current(id)).map(|(_, usage)| usage.in_flight).sum()
    }

    /// Returns the speed of a backend for a class: that of its zone and kind of machine relative to the
    /// fastest, times its weight relative to the largest.
    pub(crate) fn relative_speed(&self, now: Millis, backend: &Backend, class: ClassId, tau: Millis) -> f64 {
        let latency_of = |group: &GroupLatency| group.value(now, tau);
        let speed = |group: BackendGroup| {
            let own = self.group_latency.get(&(group, class)).map_or(1.0, latency_of);
            let same_sort = |g: &BackendGroup| std::mem::discriminant(g) == std::mem::discriminant(&group);
            let others = self.group_latency.iter().filter(|((g, c), _)| *c == class && same_sort(g));
            others.map(|(_, latency)| latency_of(latency)).fold(own, f64::min) / own
        };
        backend.groups().map(speed).iter().product::<f64>() * backend.weight() / self.max_weight
    }

    /// Returns the usage reports for all peers: for each changed customer that they share, the units drawn in
    /// total, the units of demand since the last report and the attempts in flight.
    pub(crate) fn build_reports(&mut self) -> Vec<Action> {
        let mut messages: BTreeMap<IngressId, Vec<u8>> = BTreeMap::new();
        for peer in (0..self.settings.ingress_count).map(IngressId).filter(|p| *p != self.settings.ingress) {
            messages.insert(peer, vec![self.incarnation]);
        }
        for id in &self.unreported {
            let Some(customer) = self.customers.get_mut(id) else { continue };
            let demand = quarters(std::mem::take(&mut customer.unreported_demand));
            let line = encode_report_line([
                id.0,
                quarters(customer.drawn),
                demand,
                customer.attempts_in_flight as u64,
            ]);
            let customer = &self.customers[id];
            for peer in self.peers_of(customer) {
                if let Some(bytes) =
                    messages.get_mut(&peer).filter(|b| b.len() + line.len() <= MAX_PEER_MESSAGE_BYTES)
                {
                    bytes.extend(&line);
                }
            }
        }
        messages.into_iter().map(|(peer, bytes)| Action::SendToPeer(peer, bytes)).collect()
    }

    /// Applies a peer's usage report and returns the units that it drew for each customer since its last one.
    pub(crate) fn apply_report(
        &mut self,
        now: Millis,
        from: IngressId,
        incarnation: u8,
        lines: Vec<[u64; 4]>,
        tau: Millis,
    ) -> Vec<(CustomerId, f64)> {
        let peer = self.peers.entry(from).or_default();
        let restarted = peer.last_report_at > 0.0 && peer.incarnation != incarnation;
        *peer = Peer { incarnation, last_report_at: now, ..*peer };
        if restarted {
            for customer in self.customers.values_mut() {
                customer
                    .peer_usage
                    .entry(from)
                    .and_modify(|usage| (usage.drawn, usage.in_flight) = (Some(0), 0.0));
            }
        }
        let mut newly_drawn = Vec::new();
        for [id, drawn, demand, in_flight] in lines {
            let Some(customer) = self.customers.get_mut(&CustomerId(id)) else { continue };
            let usage = customer.peer_usage.entry(from).or_default();
            let units = usage.drawn.map_or(0, |old| drawn.saturating_sub(old));
            (usage.drawn, usage.in_flight) = (Some(drawn), in_flight.min(1 << 20) as f64);
            usage.demand.add(now, (demand as f64 / 4.0).min(1e6), tau);
            newly_drawn.push((CustomerId(id), units as f64 / 4.0));
        }
        newly_drawn
    }

    /// Rebuilds the list of ready backends, and drops backends that are gone and have nothing in flight.
    pub(crate) fn rebuild_ready(&mut self) {
        self.backends.retain(|_, b| b.entry.state != BackendState::Gone || !b.in_flight.is_empty());
        let ready = self.backends.iter().filter(|(_, b)| b.entry.state == BackendState::Ready);
        self.ready = ready.map(|(id, _)| *id).collect();
        self.max_weight = self.ready.iter().map(|id| self.backends[id].weight()).fold(0.01, f64::max);
        self.list_received = true;
    }

    /// Records that an answer took this fraction of its aim. Its weight grows with the time since the last
    /// one, within the given bounds.
    pub(crate) fn record_pressure(
        &mut self,
        now: Millis,
        aim_share: f64,
        tau: Millis,
        [min_weight, max_weight]: [f64; 2],
    ) {
        let weight = 1.0 - (-(now - self.own_pressure_at).max(0.0) / tau).exp();
        self.own_pressure.add(aim_share, weight.clamp(min_weight, max_weight));
        self.own_pressure_at = now;
    }

    /// Marks an attempt as streaming: its request or answer body passes in pieces from now on. Its deadline
    /// is void, and the backend does no work for it. Prevents slow clients from using up the capacity, or
    /// from making a backend look silent.
    pub(crate) fn on_stream_started(&mut self, id: RequestId, index: AttemptIndex) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        open.deadline = f64::INFINITY;
        let units = open.request.units;
        let attempt = open.attempts.get_mut(usize::from(index.0)).filter(|a| a.in_flight && !a.streaming);
        let Some(attempt) = attempt else { return };
        attempt.streaming = true;
        (self.in_flight, self.sent_at_sum) =
            (self.in_flight - units, self.sent_at_sum - units * attempt.sent_at);
        let waiting = self.backends.get_mut(&attempt.backend).and_then(|b| b.in_flight.get_mut(&(id, index)));
        waiting.into_iter().for_each(|(_, _, expected)| *expected = f64::INFINITY);
    }

    /// Returns the number of listed backends, and of those that get no work now because of their listed state
    /// or their failures.
    pub fn backend_counts(&self, now: Millis) -> BackendCounts {
        let now = now + self.clock_shift;
        let listed = self.backends.values().filter(|b| b.entry.state != BackendState::Gone);
        let is_unavailable = |b: &Backend| {
            b.entry.state != BackendState::Ready || !self.widespread_trouble && self.is_passed_over(now, b)
        };
        let (listed, unavailable) =
            listed.fold((0, 0), |(all, count), b| (all + 1, count + usize::from(is_unavailable(b))));
        BackendCounts { listed, unavailable }
    }

    /// Closes a request whose client has left, and returns the cancellations of its attempts if these are
    /// allowed.
    pub(crate) fn on_client_left(&mut self, id: RequestId) -> Vec<Action> {
        let Some(open) = self.requests.get_mut(&id) else { return Vec::new() };
        open.closed = true;
        let in_flight = (0u16..).zip(&open.attempts).filter(|(_, a)| a.in_flight);
        let cancels: Vec<_> = in_flight.map(|(index, _)| Action::Cancel(id, AttemptIndex(index))).collect();
        if cancels.is_empty() {
            self.requests.remove(&id);
        }
        if self.settings.cancellation { cancels } else { Vec::new() }
    }
}

impl IngressId {
    /// Returns the distance of this ingress, on the ring of ingress numbers, from the position that a
    /// backend's id hashes to. All ingresses agree on it.
    pub(crate) fn ring_distance(self, backend: BackendId, ingress_count: u16) -> u16 {
        let count = u64::from(ingress_count.max(1));
        // Uses the upper bits, which are spread evenly whatever the ids are.
        let first = ((backend.0.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32) * count) >> 32;
        ((u64::from(self.0) + count - first) % count) as u16
    }
}

impl OwnedQuota {
    /// Returns a quota with this bucket, whose denials ask for a pause of `denial_pause`.
    pub(crate) fn new(bucket: TokenBucket, denial_pause: Millis) -> Self {
        Self {
            bucket,
            request_rate: DecayingRate::default(),
            denial_pause,
            granted: BTreeMap::new(),
            last_seen: 0.0,
        }
    }

    /// Removes a granted request that has ended.
    pub(crate) fn release(&mut self, grant: (IngressId, u64)) {
        self.granted.remove(&grant);
    }
}

impl ClassStats {
    /// Records an answer.
    pub(crate) fn record(&mut self, elapsed: Millis, units: f64, weight: f64) {
        self.latency.add(elapsed, weight);
        self.units.add(units, weight);
    }
}

impl Peer {
    /// Counts a quota request without an answer. After `limit` of them in a row the peer is skipped as an
    /// owner until `until`.
    pub(crate) fn record_unanswered(&mut self, limit: u32, until: Millis) {
        self.unanswered += 1;
        if self.unanswered >= limit {
            (self.unanswered, self.skipped_until) = (0, until);
        }
    }
}

impl Request {
    /// Returns what a quota owner needs to know of the request.
    pub(crate) fn quota_request(&self) -> QuotaRequest {
        QuotaRequest { customer: self.customer, plan: self.plan, class: self.class, units: self.units }
    }

    /// Returns the ingresses that may own the customer's quota, in order of preference. All ingresses agree
    /// on them.
    pub(crate) fn owner_candidates(&self, ingress_count: u16) -> [IngressId; 2] {
        let mixed = self.customer.0.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let spread = u64::from(self.spread.clamp(1, ingress_count));
        [mixed >> 40, (mixed >> 16) & 0xff_ffff].map(|hash| {
            let number = u64::from(self.first_ingress.0) + hash % spread;
            IngressId((number % u64::from(ingress_count)) as u16)
        })
    }
}

/// A property that backends share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum BackendGroup {
    Zone(ZoneId),
    Kind(KindId),
}

/// Observed latency and failures of a group of backends, for one class.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct GroupLatency {
    /// Latency in excess of the expected one, in expected latencies.
    excess: DecayingAverage,
    /// The fraction of attempts that fail.
    failed_share: DecayingAverage,
    /// The latency that the group counts for if all attempts fail, in expected latencies.
    all_failed: f64,
}

impl GroupLatency {
    /// Records an attempt: served in `ratio` expected latencies, or failed (`None`).
    pub(crate) fn add(&mut self, now: Millis, ratio: Option<f64>, all_failed: f64, weight: f64, tau: Millis) {
        ratio.into_iter().for_each(|ratio| self.excess.add(now, ratio - 1.0, weight, tau));
        self.failed_share.add(now, f64::from(ratio.is_none()), weight, tau);
        self.all_failed = all_failed;
    }

    /// Returns the latency in expected latencies, with failures added. Prevents failures that hit all groups
    /// alike, now one and now another, from moving the traffic about: a small fraction of failures counts for
    /// next to nothing, a large one for nearly all.
    fn value(&self, now: Millis, tau: Millis) -> f64 {
        (1.0 + self.excess.value(now, tau)).max(0.1)
            * (1.0 + self.all_failed * self.failed_share.value(now, tau).powi(3))
    }
}

/// Where an ingress learns of the use at other ingresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum UsageSource {
    /// From usage reports, or from quota owners in a large fleet.
    Peers,
    /// From the totals of the fleet's shared counter.
    Counter,
    /// From the metered use that backends report with their answers.
    Meter,
    /// Not at all.
    None,
}

/// The result of the admission of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum AdmissionDecision {
    /// Admitted; draws from the quota and the ceiling.
    WithinQuota,
    /// Admitted beyond the quota; draws from the ceiling only.
    BeyondQuota,
    /// Rejected; to be retried after this time.
    Rejected(Millis),
}

/// What the decision on a request is based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QuotaEvidence {
    /// Only what this ingress holds.
    LocalOnly,
    /// A counter total that includes the request.
    Counted,
    /// The grant of the quota owner, or credit from it.
    Granted,
    /// The fraction of similar tries that fit when they were counted.
    Likely,
    /// A denial of the quota owner, or a reason that makes asking pointless.
    Denied,
}

/// The quota of a customer that this ingress owns.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct OwnedQuota {
    /// The customer's token bucket.
    pub(crate) bucket: TokenBucket,
    /// Quota requests a second.
    pub(crate) request_rate: DecayingRate,
    /// Time for which a denied ingress is to send no quota requests.
    pub(crate) denial_pause: Millis,
    /// Granted requests of plans with an in-flight limit, by ingress and sequence number, and when each
    /// counts as ended at the latest.
    pub(crate) granted: BTreeMap<(IngressId, u64), Millis>,
    /// When a quota request last arrived.
    pub(crate) last_seen: Millis,
}

/// A quota request that waits for its answer.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct PendingQuotaRequest {
    /// The client's request that it is for.
    pub(crate) request: RequestId,
    /// The quota owner it was sent to.
    pub(crate) owner: IngressId,
    /// When it was last sent.
    pub(crate) sent_at: Millis,
    /// It was sent a second time.
    pub(crate) resent: bool,
}

/// A customer's use at a peer, as that reported it.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct PeerUsage {
    /// Quarter units drawn in total; `None` before the first report.
    pub(crate) drawn: Option<u64>,
    /// Units of demand a second.
    pub(crate) demand: DecayingRate,
    /// Attempts in flight.
    pub(crate) in_flight: f64,
}

/// What an ingress knows of a customer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Customer {
    /// The customer's plan.
    pub(crate) plan: PlanId,
    /// The number of ingresses over which its requests are spread.
    pub(crate) spread: u16,
    /// How many of these are live if a majority of the fleet is; 0 if unknown, and all count then.
    #[serde(skip)]
    pub(crate) live_ingresses: u16,
    /// The first of these ingresses; the others follow by number.
    pub(crate) first_ingress: IngressId,
    /// The customer's whole token bucket, as far as the use elsewhere is known.
    pub(crate) bucket: TokenBucket,
    /// This ingress's even slice of it, for when that use is unknown.
    pub(crate) slice: TokenBucket,
    /// This ingress's even slice of the hard ceiling, which no report raises.
    pub(crate) ceiling: TokenBucket,
    /// Units requested a second at this ingress, admitted or not.
    pub(crate) demand: DecayingRate,
    /// Units drawn from the quota in total.
    pub(crate) drawn: f64,
    /// Units requested since the last usage report.
    pub(crate) unreported_demand: f64,
    /// The use at peers. With a shared counter, the attempts that all others have in flight are kept under
    /// this ingress's own id.
    pub(crate) peer_usage: BTreeMap<IngressId, PeerUsage>,
    /// Attempts in flight.
    pub(crate) attempts_in_flight: f64,
    /// Units in flight.
    pub(crate) units_in_flight: f64,
    /// The account with the shared counter.
    pub(crate) counter: CounterAccount,
    /// The account with the customer's pool.
    pub(crate) pool: PoolAccount,
    /// Units a second used at other ingresses, by the meter.
    pub(crate) metered_elsewhere: DecayingRate,
    /// When a request last arrived.
    pub(crate) last_seen: Millis,
    /// Units that the quota owner granted in advance.
    pub(crate) credit: f64,
    /// When these expire.
    pub(crate) credit_until: Millis,
    /// Units of credit used since the last quota request, less units that came back.
    pub(crate) unreported_use: f64,
    /// Until then requests are denied without asking the quota owner or the counter.
    pub(crate) denied_until: Millis,
}

/// Index of the units in the amounts of a counter call.
pub(crate) const UNITS: usize = 0;
/// Index of the attempts in flight in the amounts of a counter call.
pub(crate) const ATTEMPTS: usize = 1;

/// A customer's account with the shared counter.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct CounterAccount {
    /// Units and attempts in flight that the next call adds.
    pub(crate) pending: [f64; 2],
    /// The same of the call that waits for its answer; `None` if there is none.
    pub(crate) sent_amounts: Option<[f64; 2]>,
    /// When the last call was sent.
    pub(crate) sent_at: Millis,
    /// Attempts in flight here that the customer's number includes.
    pub(crate) counted_in_flight: f64,
    /// Requests that wait for the answer, and the units that were added for each.
    pub(crate) held: Vec<(RequestId, f64)>,
    /// The last total; `None` if it says nothing of the next one.
    pub(crate) total: Option<f64>,
    /// When that total was received.
    pub(crate) total_at: Option<Millis>,
}

/// What an ingress knows of a backend.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Backend {
    /// Its entry in the backend list.
    pub(crate) entry: BackendEntry,
    /// When it started, if that is not long ago.
    pub(crate) started_at: Option<Millis>,
    /// What it was sent of this ingress's slice since it started cold.
    pub(crate) slow_start: SlowStart,
    /// Attempts in flight: when each was sent, its units and its expected latency (infinite while it
    /// streams).
    pub(crate) in_flight: BTreeMap<(RequestId, AttemptIndex), (Millis, f64, Millis)>,
    /// When an attempt last ended in any way but a time-out or a cancellation.
    pub(crate) last_answer_at: Millis,
    /// When the most recently sent of the served attempts was sent.
    pub(crate) newest_served_sent_at: Millis,
    /// Observed latency, in expected latencies, as of `latency_ratio_at`.
    pub(crate) latency_ratio: f64,
    /// When that was last updated.
    pub(crate) latency_ratio_at: Millis,
    /// Fraction of its cores in use, as it reports it.
    pub(crate) utilization: Ewma,
    /// Failures since it last served a request.
    pub(crate) consecutive_failures: u32,
    /// Ejections since it last served a request.
    pub(crate) ejections: u32,
    /// When its ejection ends.
    pub(crate) ejected_until: Millis,
    /// The first and the last failed connection since it last served a request.
    pub(crate) unreachable_between: Option<[Millis; 2]>,
}

/// An attempt of a request.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Attempt {
    /// The backend it was sent to.
    pub(crate) backend: BackendId,
    /// When it was sent.
    pub(crate) sent_at: Millis,
    /// It has not ended.
    pub(crate) in_flight: bool,
    /// The request body is still being received, or the answer is being passed on.
    pub(crate) streaming: bool,
}

/// A request without a final answer, or with attempts in flight.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct OpenRequest {
    /// The client's request.
    pub(crate) request: Request,
    /// When the client's time-out ends; infinite while an attempt streams.
    pub(crate) deadline: Millis,
    /// Its attempts, by [`AttemptIndex`].
    pub(crate) attempts: Vec<Attempt>,
    /// Index of the first attempt that failed and may have run.
    pub(crate) first_maybe_run: Option<usize>,
    /// An attempt that may have run for the same request when it came before.
    pub(crate) prior_run: Option<PriorRun>,
    /// No answer is owed any more.
    pub(crate) closed: bool,
    /// A counter total included it.
    pub(crate) counted: bool,
    /// The quota owner that granted it, and the sequence number of the grant.
    pub(crate) grant: Option<(IngressId, u64)>,
}

/// What was observed of a class.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct ClassStats {
    /// Mean latency of served attempts, in milliseconds.
    pub(crate) latency: Ewma,
    /// Mean units of served requests.
    pub(crate) units: Ewma,
}

/// What an ingress knows of a peer.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct Peer {
    /// The incarnation in its last usage report.
    pub(crate) incarnation: u8,
    /// When it last sent a usage report.
    pub(crate) last_report_at: Millis,
    /// Quota requests in a row that it has not answered.
    pub(crate) unanswered: u32,
    /// Until then it gets no quota requests.
    pub(crate) skipped_until: Millis,
}

/// When a failing backend is ejected, and for how long.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EjectionPolicy {
    /// Failures in a row after which the backend is ejected; a failed connection or a silent backend counts
    /// as all of them.
    pub(crate) after_failures: u32,
    /// Time of the first ejection; each further one takes twice as long.
    pub(crate) min_time: Millis,
    /// The longest time of an ejection.
    pub(crate) max_time: Millis,
}

impl Backend {
    /// Returns its listed weight, or 1 if that is not a finite number.
    pub(crate) fn weight(&self) -> f64 {
        if self.entry.weight.is_finite() { self.entry.weight.max(0.01) } else { 1.0 }
    }

    /// Returns the groups it belongs to.
    pub(crate) fn groups(&self) -> [BackendGroup; 2] {
        [BackendGroup::Zone(self.entry.zone), BackendGroup::Kind(self.entry.kind)]
    }

    /// Returns a backend first listed at `now`.
    pub(crate) fn new(entry: BackendEntry, started_at: Option<Millis>, now: Millis) -> Self {
        Self {
            entry,
            started_at,
            slow_start: SlowStart::new(now),
            in_flight: BTreeMap::new(),
            last_answer_at: now,
            newest_served_sent_at: 0.0,
            latency_ratio: 1.0,
            latency_ratio_at: now,
            utilization: Ewma::default(),
            consecutive_failures: 0,
            ejections: 0,
            ejected_until: now,
            unreachable_between: None,
        }
    }

    /// Returns the longest time that an attempt has waited since the last answer, in expected latencies.
    pub(crate) fn silence(&self, now: Millis) -> f64 {
        let waits = self
            .in_flight
            .values()
            .map(|(sent, _, expected)| (now - sent.max(self.last_answer_at)) / expected.max(1.0));
        waits.fold(0.0, f64::max)
    }

    /// Returns whether an outcome is this backend's own and says nothing of the capacity of the others.
    /// Prevents a backend that rejects everything, as one that drains before the list says so, from being
    /// taken for a lack of capacity.
    pub(crate) fn is_outlier(
        &self,
        now: Millis,
        outcome: Outcome,
        silence: f64,
        outlier: f64,
        tau: Millis,
    ) -> bool {
        (outcome == Outcome::TimedOut && self.silence(now) > silence)
            || self.slowness(now, tau) > outlier
            || (outcome == Outcome::Rejected && self.consecutive_failures > 0)
    }

    /// Removes an attempt that ended, and returns whether it timed out although an attempt sent later was
    /// served. Prevents answers that get lost, or break off and hang, from being taken for backends that are
    /// late with everything.
    pub(crate) fn remove_attempt(&mut self, attempt: (RequestId, AttemptIndex), outcome: Outcome) -> bool {
        let Some((sent, ..)) = self.in_flight.remove(&attempt) else { return false };
        if outcome == Outcome::Served {
            self.newest_served_sent_at = self.newest_served_sent_at.max(sent);
        }
        outcome == Outcome::TimedOut && sent < self.newest_served_sent_at
    }

    /// Returns the longest time that an attempt has been in flight, in expected latencies.
    pub(crate) fn longest_wait(&self, now: Millis) -> f64 {
        self.in_flight
            .values()
            .map(|(sent, _, expected)| (now - sent) / expected.max(1.0))
            .fold(0.0, f64::max)
    }

    /// Returns the units in flight.
    pub(crate) fn units_in_flight(&self) -> f64 {
        self.in_flight.values().map(|(_, units, _)| units).sum()
    }

    /// Discards what was observed before a restart at `now`.
    pub(crate) fn reset(&mut self, now: Millis) {
        (self.latency_ratio, self.consecutive_failures, self.ejected_until) = (1.0, 0, now);
        self.slow_start = SlowStart::new(now);
    }

    /// Ejects the backend unless it is ejected, for twice as long as the last time, within these bounds.
    pub(crate) fn eject(&mut self, now: Millis, min_time: Millis, max_time: Millis) {
        if self.ejected_until <= now {
            self.ejected_until = now + (min_time * f64::from(1u32 << self.ejections.min(8))).min(max_time);
            self.ejections += 1;
        }
    }

    /// Records a failed connection.
    pub(crate) fn record_unreachable(&mut self, now: Millis) {
        let first = self.unreachable_between.map_or(now, |[first, _]| first);
        self.unreachable_between = Some([first, now]);
    }

    /// Records a served attempt. A backend whose connections failed for longer than `down_time` counts as
    /// just started. Prevents a single broken connection from making a warm backend cold.
    pub(crate) fn record_served(&mut self, now: Millis, down_time: Millis) {
        if self.unreachable_between.is_some_and(|[first, last]| last - first > down_time) {
            self.started_at = Some(now);
            self.slow_start = SlowStart::new(now);
        }
        (self.consecutive_failures, self.ejections, self.unreachable_between) = (0, 0, None);
    }

    /// Counts a failed attempt, and ejects the backend after a final failure (`is_final`) or enough of them
    /// in a row.
    pub(crate) fn record_failure(&mut self, now: Millis, is_final: bool, policy: EjectionPolicy) {
        self.consecutive_failures += if is_final { policy.after_failures } else { 1 };
        if self.consecutive_failures >= policy.after_failures {
            self.eject(now, policy.min_time, policy.max_time);
        }
    }

    /// Records the latency of an attempt, in expected latencies.
    pub(crate) fn record_latency(&mut self, ratio: f64, weight: f64, now: Millis, tau: Millis) {
        let old = self.slowness(now, tau);
        (self.latency_ratio, self.latency_ratio_at) = (old + (ratio - old) * weight, now);
    }

    /// Records the load that the backend reports, and returns the fraction of its cores in use if that is a
    /// finite number.
    pub(crate) fn record_load(&mut self, load: &Load, weight: f64) -> Option<f64> {
        let utilization = load.busy.filter(|x| x.is_finite()).map(|x| x.clamp(0.0, 1.0));
        utilization.inspect(|utilization| self.utilization.add(*utilization, weight))
    }

    /// Returns the observed latency in expected latencies, which fades to 1 with the time constant `tau`.
    pub(crate) fn slowness(&self, now: Millis, tau: Millis) -> f64 {
        1.0 + (self.latency_ratio - 1.0) * (-(now - self.latency_ratio_at) / tau).exp()
    }
}

impl Customer {
    /// Returns a customer first seen at `now`, whose bucket, slice and ceiling held this much at `started`.
    pub(crate) fn new(
        request: &Request,
        spread: u16,
        (bucket, ceiling): (f64, f64),
        started: Millis,
        now: Millis,
    ) -> Self {
        Self {
            plan: request.plan,
            spread,
            live_ingresses: 0,
            first_ingress: request.first_ingress,
            bucket: TokenBucket::new(bucket, started),
            slice: TokenBucket::new(bucket, started),
            ceiling: TokenBucket::new(ceiling, started),
            demand: DecayingRate::default(),
            drawn: 0.0,
            unreported_demand: 0.0,
            peer_usage: BTreeMap::new(),
            attempts_in_flight: 0.0,
            units_in_flight: 0.0,
            counter: CounterAccount::default(),
            pool: PoolAccount::default(),
            metered_elsewhere: DecayingRate::default(),
            last_seen: now,
            credit: 0.0,
            credit_until: 0.0,
            unreported_use: 0.0,
            denied_until: 0.0,
        }
    }
}

impl Customer {
    /// Updates the customer for a request at `now`; `fresh` is its state if it were unknown. After a change
    /// of its plan nothing granted or reported under the old plan is used, and nothing is granted anew.
    pub(crate) fn update(&mut self, now: Millis, fresh: Self) {
        self.last_seen = now;
        (self.spread, self.first_ingress) = (fresh.spread, fresh.first_ingress);
        if self.plan == fresh.plan {
            return;
        }
        self.plan = fresh.plan;
        self.bucket.level = self.bucket.level.min(fresh.bucket.level);
        self.slice.level = self.slice.level.min(fresh.slice.level);
        // A negative level belongs to no ceiling, or to that of the old plan.
        self.ceiling.level = self.ceiling.level.max(0.0).min(fresh.ceiling.level);
        (self.credit, self.denied_until) = (0.0, 0.0);
        (self.counter.total, self.counter.total_at) = (None, None);
        // Units borrowed or set aside under the old plan are dropped, none of them is used.
        (self.pool, self.slice.overflow) = (PoolAccount::default(), 0.0);
    }
}

impl OpenRequest {
    /// Returns an open request without attempts.
    pub(crate) fn new(request: Request, now: Millis) -> Self {
        let (attempts, deadline) = (Vec::new(), now + request.time_left);
        Self {
            request,
            deadline,
            attempts,
            first_maybe_run: None,
            prior_run: None,
            closed: false,
            grant: None,
            counted: false,
        }
    }

    /// Returns when the first attempt was sent that may have run; `None` if none may have.
    pub(crate) fn first_run_at(&self) -> Option<Millis> {
        let earlier = self.prior_run.map(|run| run.sent_at);
        earlier.or_else(|| Some(self.attempts[self.first_maybe_run?].sent_at))
    }

    /// Returns whether the request may be sent now, after an attempt that may have run.
    pub(crate) fn may_repeat(&self, now: Millis, retry_safety: &RetrySafety) -> bool {
        self.first_run_at().is_none_or(|sent_at| retry_safety.allows_after(now + 1.0 - sent_at))
    }

    /// Returns the time within which a further attempt must be sent, if one that may have run limits it.
    pub(crate) fn send_within(&self, now: Millis, retry_safety: &RetrySafety) -> Option<Millis> {
        retry_safety.time_left(now + 1.0 - self.first_run_at()?)
    }
}

impl Customer {
    /// Fills the bucket and the slice up to `now` and returns their levels. The slice's burst is at least
    /// `least`.
    pub(crate) fn fill(&mut self, now: Millis, rate: f64, plan: &Plan, least: f64) -> (f64, f64) {
        let n = 1.0 / self.even_share();
        let bucket = self.bucket.fill(now, rate, plan.burst);
        (bucket, self.slice.fill(now, plan.rate / n, (plan.burst / n).max(least.min(plan.burst))))
    }

    /// Returns the even slice of the quota as a fraction. Ingresses that are known to be dead have none.
    pub(crate) fn even_share(&self) -> f64 {
        1.0 / f64::from(if self.live_ingresses > 0 { self.live_ingresses } else { self.spread.max(1) })
    }

    /// Returns the demand at the other ingresses, in units a second.
    pub(crate) fn demand_elsewhere(&self, now: Millis, tau: Millis) -> f64 {
        let peers: f64 = self.peer_usage.values().map(|t| t.demand.per_second(now, tau)).sum();
        peers + self.metered_elsewhere.per_second(now, tau)
    }

    /// Records the metered use over all ingresses, in units a second.
    fn record_metered(&mut self, now: Millis, used: f64, tau: Millis) {
        let own = self.demand.per_second(now, tau);
        let gap = (used - own).max(0.0) - self.metered_elsewhere.per_second(now, tau);
        self.metered_elsewhere.add(now, gap * tau / 1000.0, tau);
    }

    /// Draws the units of an admitted request from the quota.
    pub(crate) fn draw(&mut self, units: f64) {
        self.bucket.level -= units;
        self.slice.level = (self.slice.level - units).max(0.0);
        self.drawn += units;
    }

    /// Counts an attempt that was sent. The counter call has included the first one of a counted request
    /// already; `further` ones are added to the next call.
    pub(crate) fn attempt_sent(&mut self, units: f64, further: bool) {
        self.attempts_in_flight += 1.0;
        self.units_in_flight += units;
        self.counter.pending[ATTEMPTS] += if further { 1.0 } else { 0.0 };
    }

    /// Counts an attempt that ended.
    pub(crate) fn attempt_ended(&mut self, units: f64) {
        self.attempts_in_flight -= 1.0;
        self.units_in_flight -= units;
    }

    /// Records what an answer says of the request's true units and of the use over all ingresses.
    pub(crate) fn record_usage(&mut self, now: Millis, guess: f64, end: &AttemptEnd, rate: f64, tau: Millis) {
        if let (Some(units), true) = (end.settled_units, end.outcome == Outcome::Served) {
            self.correct_drawn(units - guess);
        }
        if let Some(used) = end.metered_use {
            self.record_metered(now, rate * used, tau);
        }
    }

    /// Corrects the drawn units by the difference between the true and the estimated ones.
    fn correct_drawn(&mut self, units: f64) {
        self.bucket.level -= units;
        self.slice.level -= units;
        self.drawn += units;
        self.counter.pending[UNITS] += units;
    }
}

impl CounterAccount {
    /// Adds units and an attempt to the next call, or removes them (`times` is -1).
    pub(crate) fn add_pending(&mut self, units: f64, times: f64) {
        self.pending[UNITS] += units * times;
        self.pending[ATTEMPTS] += times;
    }

    /// Starts a call and returns the amounts that it adds.
    pub(crate) fn begin(&mut self, now: Millis) -> [f64; 2] {
        self.sent_at = now;
        let amounts = std::mem::take(&mut self.pending);
        self.sent_amounts = Some(amounts);
        self.counted_in_flight += amounts[ATTEMPTS];
        amounts
    }

    /// Applies the total of a call that added `attempts`, each of which counts `step` in the total. Returns
    /// the units in it, and the attempts that other ingresses have in flight. A total that lacks attempts in
    /// flight here has been reset.
    pub(crate) fn apply_total(&mut self, now: Millis, total: f64, attempts: f64, step: f64) -> (f64, f64) {
        let all_in_flight = if step > 0.0 { (total / step + 0.25).floor() } else { 0.0 };
        if step > 0.0 && all_in_flight < self.counted_in_flight {
            self.pending[ATTEMPTS] += self.counted_in_flight - attempts;
            self.counted_in_flight = attempts;
        }
        (self.total, self.total_at) = (Some(total), Some(now));
        (total - all_in_flight * step, (all_in_flight - self.counted_in_flight).max(0.0))
    }

    /// Returns whether a total is known and current: any one if all tries call the counter, else only that of
    /// `now`.
    pub(crate) fn has_current_total(&self, now: Millis, all_tries_call: bool) -> bool {
        self.total.is_some() && (all_tries_call || self.total_at == Some(now))
    }

    /// Applies a total that does not build on the last one, and returns what it holds without the units added
    /// by the call.
    pub(crate) fn apply_sparse_total(&mut self, now: Millis, total: f64, [added, _]: [f64; 2]) -> f64 {
        (self.total, self.total_at) = (Some(total), Some(now));
        total - added
    }

    /// Restores the amounts of a call that added nothing.
    pub(crate) fn undo(&mut self, [units, attempts]: [f64; 2]) {
        self.pending[UNITS] += units;
        self.pending[ATTEMPTS] += attempts;
        self.counted_in_flight -= attempts;
    }
}
