//! What a limiter remembers: plain records, without a decision or a figure.

use crate::interface::*;
use crate::peer_messages::{QuotaRequest, encode_report_line, quarters};
use crate::prng::Prng;
use crate::quota_pool::PoolAccount;
use crate::ramp::{SlowStart, WarmBackends};
use crate::slow_start::SERVED_AVERAGING;
use crate::stats::BackendCounts;
use crate::window::{DecayingAverage, DecayingRate, Ewma, SuccessShare, TokenBucket};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The timers: for a new subscription, for asks without an answer, and the regular one.
pub(crate) const SUBSCRIBE_TIMER: TimerKey = TimerKey(2);
pub(crate) const QUOTA_TIMER: TimerKey = TimerKey(3);
pub(crate) const TICK_TIMER: TimerKey = TimerKey(1);

/// Precedes what is handed over, which is not self-describing: raised with each change of what a limiter holds.
const STATE_LAYOUT: &[u8] = b"limiter3";

/// The limiter of one gateway; its decisions are in `src/rules.rs`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Limiter {
    pub(crate) settings: Settings,
    pub(crate) rng: Prng,
    pub(crate) started_at: Millis,
    pub(crate) usage_source: UsageSource,
    pub(crate) incarnation: u8,
    pub(crate) backends: BTreeMap<BackendId, Backend>,
    /// The ready ones, in the order in which they were last sampled.
    pub(crate) ready: Vec<BackendId>,
    /// Those of the warm ones that come first here.
    pub(crate) preferred: Vec<BackendId>,
    /// Those of them that are cold.
    pub(crate) cold: Vec<BackendId>,
    /// The largest listed weight among them.
    pub(crate) max_weight: f64,
    /// How much longer than usual a zone or a kind of machine takes for a class, in usual times.
    pub(crate) group_latency: BTreeMap<(BackendGroup, ClassId), GroupLatency>,
    /// So many servers look bad that the trouble is shared.
    pub(crate) widespread_trouble: bool,
    pub(crate) list_received: bool,
    pub(crate) owned_quotas: BTreeMap<CustomerId, OwnedQuota>,
    pub(crate) pending_quota_requests: BTreeMap<u64, PendingQuotaRequest>,
    pub(crate) last_quota_seq: u64,
    pub(crate) requests: BTreeMap<RequestId, OpenRequest>,
    pub(crate) customers: BTreeMap<CustomerId, Customer>,
    pub(crate) unreported: BTreeSet<CustomerId>,
    /// Customers of whose quota this gateway may lend to the pool.
    pub(crate) pool_lenders: BTreeSet<CustomerId>,
    pub(crate) peers: BTreeMap<IngressId, Peer>,
    pub(crate) class_stats: Vec<ClassStats>,
    pub(crate) capacity: Option<f64>,
    /// What the ready servers can do, in warm ones.
    pub(crate) ready_capacity: f64,
    pub(crate) capacity_cut_at: Millis,
    pub(crate) own_pressure: Ewma,
    pub(crate) own_pressure_at: Millis,
    /// The same as peers tell it, and when one last did.
    pub(crate) peer_pressure: Ewma,
    pub(crate) peer_pressure_at: Millis,
    /// The part of the tries that call the counter.
    pub(crate) call_share: f64,
    /// The part of the tries judged by a total that fit, by plan and by whether the client repeats itself.
    pub(crate) counted_fit: BTreeMap<(PlanId, bool), SuccessShare>,
    /// The part of their cores in use that servers tell of.
    pub(crate) mean_utilization: Ewma,
    /// Units of attempts that end.
    pub(crate) ended_units: DecayingRate,
    /// How long an attempt is out, however it ends.
    pub(crate) attempt_duration: Ewma,
    /// The part of the attempts that time out.
    pub(crate) timeout_share: Ewma,
    pub(crate) in_flight: f64,
    /// The sum of when each unit of that was sent.
    pub(crate) sent_at_sum: f64,
    /// Units of that on silent servers.
    pub(crate) silent_units: f64,
    pub(crate) reserved: f64,
    /// What the warm backends served of this ingress's work: all of them, and those of each kind of machine.
    pub(crate) warm: WarmBackends,
    pub(crate) warm_by_kind: BTreeMap<KindId, WarmBackends>,
    pub(crate) retry_budget: f64,
    /// Another process decides: what is left here fills no cold server.
    pub(crate) handed_over: bool,
    /// Which gateways live, by number, where that is known.
    #[serde(skip)]
    pub(crate) live_ingresses: Option<Vec<bool>>,
}

impl Limiter {
    /// A limiter that has seen nothing.
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
            customers: BTreeMap::new(),
            unreported: BTreeSet::new(),
            pool_lenders: BTreeSet::new(),
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
            live_ingresses: None,
        }
    }

    /// Takes in which gateways live, by number; none where that is not known.
    pub fn set_live_ingresses(&mut self, living: Option<Vec<bool>>) {
        self.live_ingresses = living;
    }

    /// Whether a gateway lives, as far as that is known.
    pub(crate) fn is_live(&self, id: IngressId) -> bool {
        self.live_ingresses
            .as_ref()
            .is_none_or(|living| living.get(usize::from(id.0)).copied().unwrap_or(true))
    }

    /// Counts the warm backends that are ready, in all and by their kind.
    pub(crate) fn count_warm(&mut self, now: Millis) {
        self.warm.recount(now, SERVED_AVERAGING);
        self.warm_by_kind.values_mut().for_each(|warm| warm.recount(now, SERVED_AVERAGING));
        let ready = self.ready.iter().filter_map(|id| self.backends.get(id));
        for backend in ready.filter(|backend| self.settings.cold.is_warm(backend.started_at, now)) {
            self.warm.add_backend(backend.weight());
            self.warm_by_kind.entry(backend.entry.kind).or_default().add_backend(backend.weight());
        }
    }

    /// Units of a request on average over the classes that were served; none before any was.
    pub(crate) fn mean_units(&self) -> Option<f64> {
        let seen =
            self.class_stats.iter().map(|class| class.units.value_or(0.0)).filter(|units| *units > 0.0);
        let (sum, count) = seen.fold((0.0, 0.0), |(sum, count), units| (sum + units, count + 1.0));
        (count > 0.0).then(|| sum / count)
    }

    /// All that it knows, for the limiter of another process; this one goes on with what is out, and no more.
    pub fn hand_over(&mut self) -> Vec<u8> {
        let bytes = postcard::to_extend(self, STATE_LAYOUT.to_vec()).unwrap_or_default();
        self.handed_over = true;
        bytes
    }

    /// The other process is gone: this one decides again.
    pub fn resume(&mut self) {
        self.handed_over = false;
    }

    /// Goes on from what another process knew, within the same settings. Tells the attempts that are still out there:
    /// their ends are to be told as those of requests that are closed.
    pub fn inherit(
        &mut self,
        bytes: &[u8],
    ) -> Result<Vec<(RequestId, AttemptIndex, BackendId)>, &'static str> {
        let bytes = bytes.strip_prefix(STATE_LAYOUT).ok_or("it is of another version")?;
        let mut old: Self = postcard::from_bytes(bytes).map_err(|_| "it cannot be read")?;
        let shape = |s: &Settings| (s.ingress, s.ingress_count, s.classes.len(), s.plans.len());
        let fits = shape(&old.settings) == shape(&self.settings)
            && old.class_stats.len() == old.settings.classes.len();
        if !fits || old.usage_source != self.usage_source {
            return Err("it is of other settings");
        }
        (old.settings, old.handed_over) = (self.settings.clone(), false);
        // What the other process still waits for is answered there.
        old.pending_quota_requests.clear();
        for customer in old.customers.values_mut() {
            customer.counter.held.clear();
            if customer.counter.sent_amounts.take().is_some() {
                customer.call_unknown();
            }
        }
        old.requests.retain(|_, open| open.attempts.iter().any(|a| a.in_flight));
        let mut out = Vec::new();
        for (id, open) in &mut old.requests {
            open.closed = true;
            let still = (0u16..).zip(&open.attempts).filter(|(_, a)| a.in_flight);
            out.extend(still.map(|(no, a)| (*id, AttemptIndex(no), a.backend)));
        }
        *self = old;
        Ok(out)
    }

    /// The part of its full work that a server can do now, at the least.
    pub(crate) fn warmth(&self, now: Millis, backend: &Backend) -> f64 {
        self.settings.cold.warmth_of(backend.started_at, now)
    }

    /// When a refused client is to come again, within what the settings allow to say.
    pub(crate) fn retry_after(&self, wait: Millis) -> Option<Millis> {
        (self.settings.max_retry_after > 0.0).then(|| wait.clamp(1.0, self.settings.max_retry_after))
    }

    /// A plan by its id.
    pub(crate) fn plan(&self, id: PlanId) -> Plan {
        self.settings.plans.get(id.0).copied().unwrap_or_default()
    }

    /// How long requests of a class take; its aim before any did.
    pub(crate) fn mean_latency(&self, class: ClassId) -> Millis {
        self.class_stats[class.0].latency.value_or(self.settings.classes[class.0].aim)
    }

    /// What a class is worth for the time that a unit of it takes, as a part of the class that is worth the most.
    pub(crate) fn relative_worth(&self, class: ClassId) -> f64 {
        let worth = |class: usize| {
            let units = self.class_stats[class].units.value_or(1.0).max(0.01);
            self.settings.classes[class].worth * units / self.mean_latency(ClassId(class)).max(0.01)
        };
        let most = (0..self.class_stats.len()).map(worth).fold(0.0, f64::max);
        if most > 0.0 { worth(class.0) / most } else { 1.0 }
    }

    /// The peers of a customer's set.
    pub(crate) fn peers_of(&self, customer: &Customer) -> impl Iterator<Item = IngressId> + use<> {
        let (me, all, first) = (self.settings.ingress, self.settings.ingress_count, customer.first_ingress.0);
        (0..customer.spread).map(move |i| IngressId((first % all + i) % all)).filter(move |id| *id != me)
    }

    /// Whether every peer of a customer's set was heard of since then, or so many of all that they are more than half
    /// with this gateway. Prevents customers from losing the part of their quota that a dead gateway had: one that
    /// is silent while most are heard is down, or cut off by itself, where it grants its even slices at most.
    pub(crate) fn has_current_reports(&self, customer: &Customer, since: Millis) -> bool {
        let heard = |id: IngressId| {
            !self.is_live(id) || self.peers.get(&id).is_some_and(|peer| peer.last_report_at > since)
        };
        let most = || {
            let others = self.peers.values().filter(|peer| peer.last_report_at > since).count();
            2 * (others + 1) > usize::from(self.settings.ingress_count)
        };
        // Prevents a part that is cut off from taking what the others grant: those that it takes for dead count only
        // where more than half of all live here.
        let lives = (0..self.settings.ingress_count).filter(|id| self.is_live(IngressId(*id))).count();
        let whole = 2 * lives > usize::from(self.settings.ingress_count);
        whole && self.peers_of(customer).all(heard) || most()
    }

    /// How many of a customer's set live, this gateway among them, where more than half of all do; 0 where that is not
    /// known. Prevents the slice of a dead gateway from lying idle where nothing is heard of the others; those that are
    /// cut off keep to the slices of all.
    pub(crate) fn live_ingresses_of(&self, customer: &Customer) -> u16 {
        let Some(living) = &self.live_ingresses else { return 0 };
        if 2 * living.iter().filter(|lives| **lives).count() <= usize::from(self.settings.ingress_count) {
            return 0;
        }
        1 + self.peers_of(customer).filter(|id| self.is_live(*id)).count() as u16
    }

    /// What others have out for a customer; of a peer not heard of since then, what it had is over.
    pub(crate) fn in_flight_elsewhere(&self, customer: &Customer, since: Millis) -> f64 {
        let lives = |id: &IngressId| {
            *id == self.settings.ingress || self.peers.get(id).is_some_and(|peer| peer.last_report_at > since)
        };
        customer.peer_usage.iter().filter(|(id, _)| lives(id)).map(|(_, usage)| usage.in_flight).sum()
    }

    /// How fast servers that have as much in common with this one are for a class, as a part of the fastest, and
    /// as much as its weight is of the largest.
    pub(crate) fn relative_speed(&self, now: Millis, backend: &Backend, class: ClassId, tau: Millis) -> f64 {
        let takes = |at: &GroupLatency| at.value(now, tau);
        let part = |scope: BackendGroup| {
            let own = self.group_latency.get(&(scope, class)).map_or(1.0, takes);
            let like = |s: &BackendGroup| std::mem::discriminant(s) == std::mem::discriminant(&scope);
            let alike = self.group_latency.iter().filter(|((s, c), _)| *c == class && like(s));
            alike.map(|(_, at)| takes(at)).fold(own, f64::min) / own
        };
        backend.groups().map(part).iter().product::<f64>() * backend.weight() / self.max_weight
    }

    /// What each peer is told of the customers they share: drawn in all, asked since the last, out.
    pub(crate) fn build_reports(&mut self) -> Vec<Action> {
        let mut mail: BTreeMap<IngressId, Vec<u8>> = BTreeMap::new();
        for peer in (0..self.settings.ingress_count).map(IngressId).filter(|p| *p != self.settings.ingress) {
            mail.insert(peer, vec![self.incarnation]);
        }
        for id in &self.unreported {
            let Some(customer) = self.customers.get_mut(id) else { continue };
            let asked = quarters(std::mem::take(&mut customer.unreported_demand));
            let line = encode_report_line([
                id.0,
                quarters(customer.drawn),
                asked,
                customer.attempts_in_flight as u64,
            ]);
            let customer = &self.customers[id];
            for peer in self.peers_of(customer) {
                if let Some(bytes) =
                    mail.get_mut(&peer).filter(|b| b.len() + line.len() <= MAX_PEER_MESSAGE_BYTES)
                {
                    bytes.extend(&line);
                }
            }
        }
        mail.into_iter().map(|(peer, bytes)| Action::SendToPeer(peer, bytes)).collect()
    }

    /// Takes in a peer's report; tells what it drew of each customer since its last one.
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
        let mut news = Vec::new();
        for [id, drawn, asked, out] in lines {
            let Some(customer) = self.customers.get_mut(&CustomerId(id)) else { continue };
            let usage = customer.peer_usage.entry(from).or_default();
            let more = usage.drawn.map_or(0, |old| drawn.saturating_sub(old));
            (usage.drawn, usage.in_flight) = (Some(drawn), out.min(1 << 20) as f64);
            usage.demand.add(now, (asked as f64 / 4.0).min(1e6), tau);
            news.push((CustomerId(id), more as f64 / 4.0));
        }
        news
    }

    /// The ready servers anew, and without those that are gone and have nothing out.
    pub(crate) fn rebuild_ready(&mut self) {
        self.backends.retain(|_, s| s.entry.state != BackendState::Gone || !s.in_flight.is_empty());
        let ready = self.backends.iter().filter(|(_, s)| s.entry.state == BackendState::Ready);
        self.ready = ready.map(|(id, _)| *id).collect();
        self.max_weight = self.ready.iter().map(|id| self.backends[id].weight()).fold(0.01, f64::max);
        self.list_received = true;
    }

    /// An answer took this part of its aim; its weight grows with the time since the last one, within bounds.
    pub(crate) fn record_pressure(&mut self, now: Millis, taken: f64, tau: Millis, [least, most]: [f64; 2]) {
        let gap = 1.0 - (-(now - self.own_pressure_at).max(0.0) / tau).exp();
        self.own_pressure.add(taken, gap.clamp(least, most));
        self.own_pressure_at = now;
    }

    /// What an attempt sends or is sent passes in pieces now: no deadline holds for it, and the server has no work with
    /// it. Prevents those who read or write slowly from filling the room, or from making a server look silent.
    pub(crate) fn on_stream_started(&mut self, id: RequestId, no: AttemptIndex) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        open.deadline = f64::INFINITY;
        let units = open.request.units;
        let attempt = open.attempts.get_mut(usize::from(no.0)).filter(|a| a.in_flight && !a.streaming);
        let Some(attempt) = attempt else { return };
        attempt.streaming = true;
        (self.in_flight, self.sent_at_sum) =
            (self.in_flight - units, self.sent_at_sum - units * attempt.sent_at);
        let out = self.backends.get_mut(&attempt.backend).and_then(|s| s.in_flight.get_mut(&(id, no)));
        out.into_iter().for_each(|(_, _, usual)| *usual = f64::INFINITY);
    }

    /// The servers on the list, and those of them that get no work now, by the list's word or by what was seen.
    pub fn backend_counts(&self, now: Millis) -> BackendCounts {
        let listed = self.backends.values().filter(|s| s.entry.state != BackendState::Gone);
        let avoided = |s: &Backend| {
            s.entry.state != BackendState::Ready || !self.widespread_trouble && self.is_passed_over(now, s)
        };
        let (all, out) = listed.fold((0, 0), |(all, out), s| (all + 1, out + usize::from(avoided(s))));
        BackendCounts { listed: all, unavailable: out }
    }

    /// The client of a request has left: its attempts are cancelled where that is allowed.
    pub(crate) fn on_client_left(&mut self, id: RequestId) -> Vec<Action> {
        let Some(open) = self.requests.get_mut(&id) else { return Vec::new() };
        open.closed = true;
        let out = (0u16..).zip(&open.attempts).filter(|(_, a)| a.in_flight);
        let cancels: Vec<_> = out.map(|(no, _)| Action::Cancel(id, AttemptIndex(no))).collect();
        if cancels.is_empty() {
            self.requests.remove(&id);
        }
        if self.settings.cancellation { cancels } else { Vec::new() }
    }
}

impl IngressId {
    /// How far this gateway stands behind the first that fills a server while it is cold; all agree on it.
    pub(crate) fn ring_distance(self, backend: BackendId, ingress_count: u16) -> u16 {
        let ingress_count = u64::from(ingress_count.max(1));
        // By the upper bits: they are spread evenly whatever the ids are.
        let first = ((backend.0.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32) * ingress_count) >> 32;
        ((u64::from(self.0) + ingress_count - first) % ingress_count) as u16
    }
}

impl OwnedQuota {
    /// A ledger with a store, whose denied askers are to keep away for `quiet`.
    pub(crate) fn new(bucket: TokenBucket, denial_pause: Millis) -> Self {
        Self {
            bucket,
            request_rate: DecayingRate::default(),
            denial_pause,
            granted: BTreeMap::new(),
            last_seen: 0.0,
        }
    }

    /// What was granted has ended.
    pub(crate) fn release(&mut self, grant: (IngressId, u64)) {
        self.granted.remove(&grant);
    }
}

impl ClassStats {
    /// An answer came.
    pub(crate) fn record(&mut self, spent: Millis, units: f64, weight: f64) {
        self.latency.add(spent, weight);
        self.units.add(units, weight);
    }
}

impl Peer {
    /// One more ask was not answered; after so many it is not asked until then.
    pub(crate) fn record_unanswered(&mut self, limit: u32, until: Millis) {
        self.unanswered += 1;
        if self.unanswered >= limit {
            (self.unanswered, self.skipped_until) = (0, until);
        }
    }
}

impl Request {
    /// What a home is to know of it.
    pub(crate) fn quota_request(&self) -> QuotaRequest {
        QuotaRequest { customer: self.customer, plan: self.plan, class: self.class, units: self.units }
    }

    /// The gateways of its set that are to keep its customer's quota, in turn; all agree on them.
    pub(crate) fn owner_candidates(&self, ingress_count: u16) -> [IngressId; 2] {
        let mixed = self.customer.0.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let spread = u64::from(self.spread.clamp(1, ingress_count));
        [mixed >> 40, (mixed >> 16) & 0xff_ffff].map(|at| {
            let number = u64::from(self.first_ingress.0) + at % spread;
            IngressId((number % u64::from(ingress_count)) as u16)
        })
    }
}

/// What servers have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum BackendGroup {
    Zone(ZoneId),
    Kind(KindId),
}

/// What a zone or a kind of machine takes for a class.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct GroupLatency {
    /// Usual times beyond the first.
    times: DecayingAverage,
    /// The part that fails.
    failed: DecayingAverage,
    /// What it counts for, if all fails, in usual times.
    most: f64,
}

impl GroupLatency {
    /// An attempt was served in so many usual times, or failed, which counts for `most` where all does.
    pub(crate) fn add(&mut self, now: Millis, times: Option<f64>, most: f64, weight: f64, tau: Millis) {
        times.into_iter().for_each(|times| self.times.add(now, times - 1.0, weight, tau));
        self.failed.add(now, f64::from(times.is_none()), weight, tau);
        self.most = most;
    }

    /// The usual times that it takes. Prevents failures that come from all alike, now here and now there, from driving
    /// the traffic about: a small part that fails counts for next to nothing, a large one for nearly all.
    fn value(&self, now: Millis, tau: Millis) -> f64 {
        (1.0 + self.times.value(now, tau)).max(0.1) * (1.0 + self.most * self.failed.value(now, tau).powi(3))
    }
}

/// Where a gateway hears of the use at others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum UsageSource {
    Peers,
    Counter,
    Meter,
    None,
}

/// What the admission came to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum AdmissionDecision {
    /// Inside the quota: the bucket is drawn.
    WithinQuota,
    /// Beyond the quota: only the ceiling is drawn.
    BeyondQuota,
    /// Refused; come again after this time.
    Rejected(Millis),
}

/// What is known of a request's quota when it is judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QuotaEvidence {
    /// Only what this gateway holds.
    LocalOnly,
    /// The counter has answered its own call.
    Counted,
    /// The home has let it in.
    Granted,
    /// Tries like it that were counted were let in.
    Likely,
    /// The home, or its last word, has not.
    Denied,
}

/// What a home holds of a customer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct OwnedQuota {
    pub(crate) bucket: TokenBucket,
    /// Asks.
    pub(crate) request_rate: DecayingRate,
    /// How long those who are denied ask no more.
    pub(crate) denial_pause: Millis,
    /// Tries granted, and when each is taken for ended.
    pub(crate) granted: BTreeMap<(IngressId, u64), Millis>,
    pub(crate) last_seen: Millis,
}

/// An ask that waits for its answer.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct PendingQuotaRequest {
    pub(crate) request: RequestId,
    pub(crate) owner: IngressId,
    pub(crate) sent_at: Millis,
    pub(crate) resent: bool,
}

/// What a peer said of a customer.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct PeerUsage {
    pub(crate) drawn: Option<u64>,
    pub(crate) demand: DecayingRate,
    pub(crate) in_flight: f64,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Customer {
    pub(crate) plan: PlanId,
    pub(crate) spread: u16,
    /// How many of these are known to live, where the fleet is whole; 0: all count.
    #[serde(skip)]
    pub(crate) live_ingresses: u16,
    pub(crate) first_ingress: IngressId,
    /// The customer's whole store as far as known.
    pub(crate) bucket: TokenBucket,
    /// The even slice, for when nothing is heard.
    pub(crate) slice: TokenBucket,
    /// The even slice of the hard ceiling; no talk may raise it.
    pub(crate) ceiling: TokenBucket,
    pub(crate) demand: DecayingRate,
    pub(crate) drawn: f64,
    pub(crate) unreported_demand: f64,
    pub(crate) peer_usage: BTreeMap<IngressId, PeerUsage>,
    pub(crate) attempts_in_flight: f64,
    pub(crate) units_in_flight: f64,
    pub(crate) counter: CounterAccount,
    pub(crate) pool: PoolAccount,
    pub(crate) metered_elsewhere: DecayingRate,
    pub(crate) last_seen: Millis,
    /// Units granted ahead, and until when.
    pub(crate) credit: f64,
    pub(crate) credit_until: Millis,
    /// Units of that used since the last ask.
    pub(crate) unreported_use: f64,
    /// The home is not asked before this.
    pub(crate) denied_until: Millis,
}

/// Index of the units in the amounts of a counter call.
pub(crate) const UNITS: usize = 0;
/// Index of the attempts in flight in the amounts of a counter call.
pub(crate) const ATTEMPTS: usize = 1;

/// A customer's account with the counter.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct CounterAccount {
    /// Units and attempts out that the next call is to add.
    pub(crate) pending: [f64; 2],
    /// What the call that is out adds.
    pub(crate) sent_amounts: Option<[f64; 2]>,
    /// When it went out.
    pub(crate) sent_at: Millis,
    /// Attempts out here that the number holds.
    pub(crate) counted_in_flight: f64,
    /// Requests that wait for the answer, and their units.
    pub(crate) held: Vec<(RequestId, f64)>,
    pub(crate) total: Option<f64>,
    pub(crate) total_at: Option<Millis>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Backend {
    pub(crate) entry: BackendEntry,
    pub(crate) started_at: Option<Millis>,
    /// What it was sent of this ingress's slice since it started cold.
    pub(crate) slow_start: SlowStart,
    /// Attempts out: when they were sent, their units and the usual time of such.
    pub(crate) in_flight: BTreeMap<(RequestId, AttemptIndex), (Millis, f64, Millis)>,
    /// When it last answered anything.
    pub(crate) last_answer_at: Millis,
    /// When the youngest attempt was sent that it has served.
    pub(crate) newest_served_sent_at: Millis,
    /// Times taken beside the usual ones, as of `slow_at`.
    pub(crate) latency_ratio: f64,
    pub(crate) latency_ratio_at: Millis,
    /// Part of the cores in use, as it reports it.
    pub(crate) utilization: Ewma,
    pub(crate) consecutive_failures: u32,
    pub(crate) ejections: u32,
    pub(crate) ejected_until: Millis,
    /// When no connection came up, first and last, without an answer since.
    pub(crate) unreachable_between: Option<[Millis; 2]>,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Attempt {
    pub(crate) backend: BackendId,
    pub(crate) sent_at: Millis,
    pub(crate) in_flight: bool,
    /// Its body still comes, or its answer has begun to pass on.
    pub(crate) streaming: bool,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct OpenRequest {
    pub(crate) request: Request,
    pub(crate) deadline: Millis,
    pub(crate) attempts: Vec<Attempt>,
    /// The first attempt that may have run.
    pub(crate) first_maybe_run: Option<usize>,
    pub(crate) closed: bool,
    /// The counter was told of it.
    pub(crate) counted: bool,
    /// The home that granted it, and the number of the ask.
    pub(crate) grant: Option<(IngressId, u64)>,
}

#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct ClassStats {
    pub(crate) latency: Ewma,
    pub(crate) units: Ewma,
}

#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct Peer {
    pub(crate) incarnation: u8,
    pub(crate) last_report_at: Millis,
    /// Asks in a row that it has not answered.
    pub(crate) unanswered: u32,
    /// It is not asked before this.
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
    /// Its listed weight, as far as it is a figure.
    pub(crate) fn weight(&self) -> f64 {
        if self.entry.weight.is_finite() { self.entry.weight.max(0.01) } else { 1.0 }
    }

    /// What it has in common with others.
    pub(crate) fn groups(&self) -> [BackendGroup; 2] {
        [BackendGroup::Zone(self.entry.zone), BackendGroup::Kind(self.entry.kind)]
    }

    /// A server first heard of at `now`.
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

    /// The longest wait for an answer with none since, in multiples of the usual time.
    pub(crate) fn silence(&self, now: Millis) -> f64 {
        let waits = self
            .in_flight
            .values()
            .map(|(sent, _, usual)| (now - sent.max(self.last_answer_at)) / usual.max(1.0));
        waits.fold(0.0, f64::max)
    }

    /// Whether what an attempt has come to there says nothing of the others' room. Prevents one that turns all away,
    /// as one does that drains before the list says so, from being taken for a back end that is full.
    pub(crate) fn is_outlier(
        &self,
        now: Millis,
        outcome: Outcome,
        [silence, outlier, tau]: [f64; 3],
    ) -> bool {
        (outcome == Outcome::TimedOut && self.silence(now) > silence)
            || self.slowness(now, tau) > outlier
            || (outcome == Outcome::Rejected && self.consecutive_failures > 0)
    }

    /// An attempt has ended; tells whether its answer is overdue though younger ones were served. Prevents answers
    /// that get lost, or break off and hang, from being taken for a back end that is late with all.
    pub(crate) fn remove_attempt(&mut self, attempt: (RequestId, AttemptIndex), outcome: Outcome) -> bool {
        let Some((sent, ..)) = self.in_flight.remove(&attempt) else { return false };
        if outcome == Outcome::Served {
            self.newest_served_sent_at = self.newest_served_sent_at.max(sent);
        }
        outcome == Outcome::TimedOut && sent < self.newest_served_sent_at
    }

    /// The longest time that an attempt has been out, in multiples of the usual time.
    pub(crate) fn longest_wait(&self, now: Millis) -> f64 {
        self.in_flight.values().map(|(sent, _, usual)| (now - sent) / usual.max(1.0)).fold(0.0, f64::max)
    }

    /// Units out to it.
    pub(crate) fn units_in_flight(&self) -> f64 {
        self.in_flight.values().map(|(_, units, _)| units).sum()
    }

    /// It has started: what was seen of it before tells nothing.
    pub(crate) fn reset(&mut self, now: Millis) {
        (self.latency_ratio, self.consecutive_failures, self.ejected_until) = (1.0, 0, now);
        self.slow_start = SlowStart::new(now);
    }

    /// Ejects it, unless it is, for twice as long as the last time, within these bounds.
    pub(crate) fn eject(&mut self, now: Millis, first: Millis, most: Millis) {
        if self.ejected_until <= now {
            self.ejected_until = now + (first * f64::from(1u32 << self.ejections.min(8))).min(most);
            self.ejections += 1;
        }
    }

    /// No connection to it came up.
    pub(crate) fn record_unreachable(&mut self, now: Millis) {
        let first = self.unreachable_between.map_or(now, |[first, _]| first);
        self.unreachable_between = Some([first, now]);
    }

    /// It has served; one that could not be reached again and again for longer than `down` is taken for just
    /// started. Prevents one connection that broke from making a warm server cold.
    pub(crate) fn record_served(&mut self, now: Millis, down: Millis) {
        if self.unreachable_between.is_some_and(|[first, last]| last - first > down) {
            self.started_at = Some(now);
            self.slow_start = SlowStart::new(now);
        }
        (self.consecutive_failures, self.ejections, self.unreachable_between) = (0, 0, None);
    }

    /// An attempt failed, for good (`lost`) or as one of `most` in a row; after these it is ejected.
    pub(crate) fn record_failure(&mut self, now: Millis, lost: bool, policy: EjectionPolicy) {
        self.consecutive_failures += if lost { policy.after_failures } else { 1 };
        if self.consecutive_failures >= policy.after_failures {
            self.eject(now, policy.min_time, policy.max_time);
        }
    }

    /// An attempt took so many times the usual.
    pub(crate) fn record_latency(&mut self, times: f64, weight: f64, now: Millis, tau: Millis) {
        let old = self.slowness(now, tau);
        (self.latency_ratio, self.latency_ratio_at) = (old + (times - old) * weight, now);
    }

    /// Takes in what it reports, as far as it is a figure; tells the part of its cores in use.
    pub(crate) fn record_load(&mut self, load: &Load, weight: f64) -> Option<f64> {
        let busy = load.busy.filter(|x| x.is_finite()).map(|x| x.clamp(0.0, 1.0));
        busy.inspect(|busy| self.utilization.add(*busy, weight))
    }

    /// Its slowness, which fades to the usual with the time constant `tau`.
    pub(crate) fn slowness(&self, now: Millis, tau: Millis) -> f64 {
        1.0 + (self.latency_ratio - 1.0) * (-(now - self.latency_ratio_at) / tau).exp()
    }
}

impl Customer {
    /// A customer first seen at `now`, whose stores and ceiling held this much at `started`.
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
    /// It asks at `now`, and would begin as `fresh` if it were not known. Where its plan or its set is another one than
    /// before, that holds from now on: nothing granted or told under the old plan goes on, nor is anything given anew.
    pub(crate) fn update(&mut self, now: Millis, fresh: Self) {
        self.last_seen = now;
        (self.spread, self.first_ingress) = (fresh.spread, fresh.first_ingress);
        if self.plan == fresh.plan {
            return;
        }
        self.plan = fresh.plan;
        self.bucket.level = self.bucket.level.min(fresh.bucket.level);
        self.slice.level = self.slice.level.min(fresh.slice.level);
        // What it was below nothing was under no ceiling, or under another.
        self.ceiling.level = self.ceiling.level.max(0.0).min(fresh.ceiling.level);
        (self.credit, self.denied_until) = (0.0, 0.0);
        (self.counter.total, self.counter.total_at) = (None, None);
        // What was borrowed or set aside under the old plan is forgotten: nothing of it is used.
        (self.pool, self.slice.overflow) = (PoolAccount::default(), 0.0);
    }
}

impl OpenRequest {
    /// A request of which nothing was sent yet.
    pub(crate) fn new(request: Request, now: Millis) -> Self {
        let (attempts, deadline) = (Vec::new(), now + request.time_left);
        Self {
            request,
            deadline,
            attempts,
            first_maybe_run: None,
            closed: false,
            grant: None,
            counted: false,
        }
    }

    /// Within what time a further attempt must leave, where one that may have run bounds it.
    pub(crate) fn send_within(&self, now: Millis, retry_safety: &RetrySafety) -> Option<Millis> {
        retry_safety.time_left(now + 1.0 - self.attempts[self.first_maybe_run?].sent_at)
    }
}

impl Customer {
    /// Fills both stores up to `now` and tells their levels; the slice holds `least` at the least when full.
    pub(crate) fn fill(&mut self, now: Millis, rate: f64, plan: &Plan, least: f64) -> (f64, f64) {
        let n = 1.0 / self.even_share();
        let bucket = self.bucket.fill(now, rate, plan.burst);
        (bucket, self.slice.fill(now, plan.rate / n, (plan.burst / n).max(least.min(plan.burst))))
    }

    /// The even slice of the quota, as a part of it: those of its set that are known to be dead have none.
    pub(crate) fn even_share(&self) -> f64 {
        1.0 / f64::from(if self.live_ingresses > 0 { self.live_ingresses } else { self.spread.max(1) })
    }

    /// What is asked of the other gateways, in units a second.
    pub(crate) fn demand_elsewhere(&self, now: Millis, tau: Millis) -> f64 {
        let peers: f64 = self.peer_usage.values().map(|t| t.demand.per_second(now, tau)).sum();
        peers + self.metered_elsewhere.per_second(now, tau)
    }

    /// The meter told the use over all gateways.
    fn record_metered(&mut self, now: Millis, used: f64, tau: Millis) {
        let own = self.demand.per_second(now, tau);
        let gap = (used - own).max(0.0) - self.metered_elsewhere.per_second(now, tau);
        self.metered_elsewhere.add(now, gap * tau / 1000.0, tau);
    }

    /// A request inside the quota was sent on.
    pub(crate) fn draw(&mut self, units: f64) {
        self.bucket.level -= units;
        self.slice.level = (self.slice.level - units).max(0.0);
        self.drawn += units;
    }

    /// An attempt was sent, a further one of its request or its first.
    pub(crate) fn attempt_sent(&mut self, units: f64, further: bool) {
        self.attempts_in_flight += 1.0;
        self.units_in_flight += units;
        self.counter.pending[ATTEMPTS] += if further { 1.0 } else { 0.0 };
    }

    /// An attempt ended.
    pub(crate) fn attempt_ended(&mut self, units: f64) {
        self.attempts_in_flight -= 1.0;
        self.units_in_flight -= units;
    }

    /// What an answer tells of the units and, where the meter counts, of the use at all gateways.
    pub(crate) fn record_usage(&mut self, now: Millis, guess: f64, end: &AttemptEnd, rate: f64, tau: Millis) {
        if let (Some(units), true) = (end.settled_units, end.outcome == Outcome::Served) {
            self.correct_drawn(units - guess);
        }
        if let Some(used) = end.metered_use {
            self.record_metered(now, rate * used, tau);
        }
    }

    /// The true units of what was drawn differ from the guess by this.
    fn correct_drawn(&mut self, units: f64) {
        self.bucket.level -= units;
        self.slice.level -= units;
        self.drawn += units;
        self.counter.pending[UNITS] += units;
    }
}

impl CounterAccount {
    /// Sets units and an attempt aside for the next call, or takes them off again.
    pub(crate) fn add_pending(&mut self, units: f64, times: f64) {
        self.pending[UNITS] += units * times;
        self.pending[ATTEMPTS] += times;
    }

    /// What a call that goes out now is to add.
    pub(crate) fn begin(&mut self, now: Millis) -> [f64; 2] {
        self.sent_at = now;
        let amounts = std::mem::take(&mut self.pending);
        self.sent_amounts = Some(amounts);
        self.counted_in_flight += amounts[ATTEMPTS];
        amounts
    }

    /// Takes in the total after a call that added `out` attempts, each of which counts `step`: the units in it, and
    /// the attempts that others have out. A total that lacks attempts that are out here has begun anew.
    pub(crate) fn apply_total(&mut self, now: Millis, total: f64, attempts: f64, step: f64) -> (f64, f64) {
        let all_in_flight = if step > 0.0 { (total / step + 0.25).floor() } else { 0.0 };
        if step > 0.0 && all_in_flight < self.counted_in_flight {
            self.pending[ATTEMPTS] += self.counted_in_flight - attempts;
            self.counted_in_flight = attempts;
        }
        (self.total, self.total_at) = (Some(total), Some(now));
        (total - all_in_flight * step, (all_in_flight - self.counted_in_flight).max(0.0))
    }

    /// Whether a total is known, of now or, where every try calls, of before.
    pub(crate) fn has_current_total(&self, now: Millis, all_tries_call: bool) -> bool {
        self.total.is_some() && (all_tries_call || self.total_at == Some(now))
    }

    /// Takes in a total that has nothing to do with the last: what others drew is all but what was added.
    pub(crate) fn apply_sparse_total(&mut self, now: Millis, total: f64, [added, _]: [f64; 2]) -> f64 {
        (self.total, self.total_at) = (Some(total), Some(now));
        total - added
    }

    /// What a call was to add was not added.
    pub(crate) fn undo(&mut self, [units, attempts]: [f64; 2]) {
        self.pending[UNITS] += units;
        self.pending[ATTEMPTS] += attempts;
        self.counted_in_flight -= attempts;
    }
}
