//! The interface of the limiter: settings, events, actions, ids and units of time.
//!
//! Any number that comes in may be late, noisy or absurd; the rules must cope with that.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The most bytes of a message to a peer.
pub const MAX_PEER_MESSAGE_BYTES: usize = 256;

/// A point in time or a duration in milliseconds. The clock starts anywhere and only moves forward.
pub type Millis = f64;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($of:ty)) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub $of);
    };
}

id!(/// The id of a client's request (one try), which is never reused.
    RequestId(u64));
id!(/// The id of a backend, the same in every list and across restarts.
    BackendId(u64));
id!(/// The id of a customer.
    CustomerId(u64));
id!(/// The number of an ingress, counted from 0.
    IngressId(u16));
id!(/// A class, as its index in [`Settings::classes`].
    ClassId(usize));
id!(/// A plan, as its index in [`Settings::plans`].
    PlanId(usize));
id!(/// The number of a zone.
    ZoneId(u8));
id!(/// The number of a cell: a few backends that share the idempotency keys they have seen.
    CellId(u16));
id!(/// The number of a kind of machine.
    KindId(u16));
id!(/// The index of an attempt among those of its request, counted from 0.
    AttemptIndex(u16));
id!(/// The name of a number on the shared counter.
    CounterName(u64));
id!(/// The key of a timer, returned when it expires.
    TimerKey(u32));

/// Which backends recognise a repeat of a keyed request and drop it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DedupScope {
    /// All backends.
    All,
    /// Those in the zone of the first attempt.
    Zone,
    /// Those in the cell of the first attempt.
    Cell,
}

/// The effect of running a request twice.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum RetrySafety {
    /// None: it may be repeated at will.
    Safe,
    /// None within the scope, for the given time from the first attempt that may have run.
    Keyed {
        /// Which backends drop the repeat.
        scope: DedupScope,
        /// For how long they do.
        window: Millis,
    },
    /// Harmful: it must not run twice.
    Unsafe,
}

impl RetrySafety {
    /// Returns whether a request may be sent to `other` after an attempt at `first` may have run. `first` is
    /// `None` if that backend is not known any more.
    pub fn allows_backend(&self, first: Option<&BackendEntry>, other: &BackendEntry) -> bool {
        match self {
            Self::Safe | Self::Keyed { scope: DedupScope::All, .. } => true,
            Self::Keyed { scope: DedupScope::Zone, .. } => first.is_some_and(|s| s.zone == other.zone),
            Self::Keyed { scope: DedupScope::Cell, .. } => first.is_some_and(|s| s.cell == other.cell),
            Self::Unsafe => false,
        }
    }

    /// Returns whether a repeat does no harm, whichever backend it goes to.
    pub fn allows_any_backend(&self) -> bool {
        matches!(self, Self::Safe | Self::Keyed { scope: DedupScope::All, .. })
    }

    /// Returns whether the request may be sent again when that attempt is `age` old.
    pub fn allows_after(&self, age: Millis) -> bool {
        match self {
            Self::Safe => true,
            Self::Keyed { window, .. } => age < *window,
            Self::Unsafe => false,
        }
    }

    /// Returns how much longer the request may be sent again when that attempt is `age` old; `None` if time
    /// sets no limit.
    pub fn time_left(&self, age: Millis) -> Option<Millis> {
        if let Self::Keyed { window, .. } = self { Some(window - age) } else { None }
    }
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Latency target: an answer within this time has the full worth.
    pub aim: Millis,
    /// Worth of one unit, relative to other classes.
    pub worth: f64,
    /// The effect of running a request of the class twice.
    pub retry_safety: RetrySafety,
}

/// A plan: the quotas of each of its customers over all ingresses together.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Plan {
    /// Units a second; 0 if there is no such quota.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// The most attempts in flight; 0 if there is no such quota.
    pub max_in_flight: f64,
    /// Hard rate limit in units a second; 0 if there is none.
    pub ceiling_rate: f64,
    /// Units of the hard limit that may be used at once.
    pub ceiling_burst: f64,
    /// What serving a request beyond the quota earns, as a fraction of its worth.
    pub excess_worth: f64,
    /// What serving a request beyond the quota costs, as a fraction of its worth.
    pub excess_cost: f64,
}

impl Plan {
    /// Returns the probability of being within the quota at which serving a request earns as much as it
    /// costs.
    pub(crate) fn break_even_probability(&self) -> f64 {
        self.excess_cost / (1.0 + self.excess_cost)
    }
}

/// How much a backend can do after its start.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Fraction of its full capacity at the start.
    pub initial_capacity: f64,
    /// Time until it is warm, that is at full capacity.
    pub warm_after: Millis,
    /// It fails under load over this multiple of its current capacity ...
    pub overload_multiple: f64,
    /// ... that lasts for this time.
    pub overload_window: Millis,
}

impl ColdStart {
    /// Returns the least fraction of its full capacity that a backend of this age has.
    pub fn warmth(&self, age: Millis) -> f64 {
        (self.initial_capacity + (1.0 - self.initial_capacity) * age.max(0.0) / self.warm_after.max(1.0))
            .min(1.0)
    }

    /// Returns the same for a backend that started at `started`. `None` if that was long ago: it is warm.
    pub(crate) fn warmth_of(&self, started: Option<Millis>, now: Millis) -> f64 {
        started.map_or(1.0, |at| self.warmth(now - at))
    }

    /// Returns whether a backend that started at `started` has its full capacity.
    pub(crate) fn is_warm(&self, started: Option<Millis>, now: Millis) -> bool {
        self.warmth_of(started, now) >= 1.0
    }
}

/// The configuration of a limiter.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// The number of this ingress.
    pub ingress: IngressId,
    /// The number of ingresses in the fleet.
    pub ingress_count: u16,
    /// The zone of this ingress.
    pub zone: ZoneId,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The plans.
    pub plans: Vec<Plan>,
    /// The most units of one request.
    pub max_request_units: f64,
    /// The units of a request are an estimate; its answer says the true ones.
    pub units_are_estimates: bool,
    /// The period of the fleet's use meter; 0 if there is no meter.
    pub meter_period: Millis,
    /// The fleet's shared counter may be called.
    pub counter: bool,
    /// Time within which a counter call ends, answered or not.
    pub counter_timeout: Millis,
    /// Messages may be sent to peers.
    pub peers: bool,
    /// Messages a second that an ingress accepts from all peers.
    pub peer_messages_per_second: f64,
    /// The most attempts of a request.
    pub max_attempts: u16,
    /// A request may have two attempts in flight at the same time.
    pub hedging: bool,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// The longest retry delay that clients observe; 0 if they observe none.
    pub max_retry_after: Millis,
    /// The backend list is sent only on request ([`Action::Subscribe`]).
    pub list_on_request: bool,
    /// How much a backend can do after its start.
    pub cold: ColdStart,
    /// An attempt in another zone costs extra.
    pub cross_zone_cost: bool,
}

impl Settings {
    /// Returns whether the plan and the class exist.
    pub(crate) fn defines(&self, plan: PlanId, class: ClassId) -> bool {
        plan.0 < self.plans.len() && class.0 < self.classes.len()
    }

    /// Returns the longest time that a token bucket of any plan takes to refill.
    pub(crate) fn longest_refill(&self) -> Millis {
        let refill = |burst: f64, rate: f64| if rate > 0.0 { 1000.0 * burst / rate } else { 0.0 };
        let longest = |p: &Plan| refill(p.burst, p.rate).max(refill(p.ceiling_burst, p.ceiling_rate));
        self.plans.iter().map(longest).fold(0.0, f64::max)
    }

    /// Checks that a limiter can work with these settings.
    pub fn check(&self) -> Result<(), SettingsError> {
        let error = |what: &str| Err(SettingsError(what.to_owned()));
        let is_valid = |x: f64| x.is_finite() && x >= 0.0;
        if self.classes.is_empty() || self.ingress_count == 0 || self.max_attempts == 0 {
            return error("there must be a class, a gateway and an attempt at least");
        }
        if !self.classes.iter().all(|c| is_valid(c.aim) && c.aim > 0.0) {
            return error("a class has no aim");
        }
        if !self.classes.iter().all(|c| is_valid(c.worth)) {
            return error("a class has a worth that is negative or no number");
        }
        let plan_values = |p: &Plan| {
            [p.rate, p.burst, p.max_in_flight, p.ceiling_rate, p.ceiling_burst, p.excess_worth, p.excess_cost]
        };
        let cold = [
            self.cold.initial_capacity,
            self.cold.warm_after,
            self.cold.overload_multiple,
            self.cold.overload_window,
        ];
        let others =
            [self.peer_messages_per_second, self.max_retry_after, self.max_request_units, self.meter_period];
        let others = others.into_iter().chain([self.counter_timeout]);
        if !self.plans.iter().flat_map(plan_values).chain(cold).chain(others).all(is_valid) {
            return error("a figure is negative or no number");
        }
        Ok(())
    }
}

/// The reason why settings are rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

/// The state of a backend in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackendState {
    /// It accepts requests.
    Ready,
    /// It finishes its requests and is to get no new ones.
    Draining,
    /// It no longer exists.
    Gone,
}

/// An entry of the backend list.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct BackendEntry {
    /// The id of the backend.
    pub backend: BackendId,
    /// Its state.
    pub state: BackendState,
    /// Its size relative to others.
    pub weight: f64,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// The kind of machine it runs on.
    pub kind: KindId,
    /// When it last started; `None` if that was long ago.
    pub last_start: Option<Millis>,
}

/// The content of a backend list event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// The whole list as this ingress last stored it, perhaps stale.
    Cached,
    /// Changed entries only.
    Changes,
    /// The whole list.
    Full,
    /// Nothing: a call failed or the subscription broke.
    Failed,
}

/// A client's request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// The plan of its customer.
    pub plan: PlanId,
    /// Its customer.
    pub customer: CustomerId,
    /// Time until the client stops waiting for this try.
    pub time_left: Millis,
    /// Units it draws from the quota.
    pub units: f64,
    /// The number of ingresses over which the customer's requests are spread ...
    pub spread: u16,
    /// ... counted from this one.
    pub first_ingress: IngressId,
    /// The client says that this is not its first try.
    pub is_retry: bool,
    /// What identifies it at its client, however often it comes; `None` if nothing does.
    pub identity: Option<u64>,
}

impl Request {
    /// Replaces units and times that are negative or not finite.
    pub(crate) fn sanitize(&mut self) {
        self.units = if self.units.is_finite() { self.units.max(0.0) } else { 1.0 };
        self.time_left = if self.time_left.is_finite() { self.time_left.max(0.0) } else { 0.0 };
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It was served.
    Served,
    /// The backend answered with an error; it may have run.
    Error,
    /// The backend rejected it; it never ran.
    Rejected,
    /// There was no answer in time; it may have run.
    TimedOut,
    /// The connection failed; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// It was cancelled; it may have run.
    Cancelled,
    /// It was never sent.
    NotSent,
}

impl Outcome {
    /// Returns whether the backend may have done the work of an attempt that was not served.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Error | Self::TimedOut | Self::Reset | Self::Cancelled)
    }

    /// Returns whether the backend certainly did none of the work of an attempt.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }
}

/// The load that a backend reports; `None` for what it does not report.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Requests in progress.
    pub in_flight: Option<f64>,
    /// Requests waiting.
    pub queued: Option<f64>,
    /// Fraction of its cores in use.
    pub busy: Option<f64>,
    /// Recent service time.
    pub latency: Option<Millis>,
    /// Requests served a second.
    pub rate: Option<f64>,
    /// Errors a second.
    pub error_rate: Option<f64>,
}

/// The end of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AttemptEnd {
    /// The request of the attempt.
    pub request: RequestId,
    /// The index of the attempt.
    pub attempt: AttemptIndex,
    /// The backend it was sent to.
    pub backend: BackendId,
    /// How it ended.
    pub outcome: Outcome,
    /// The time since it was sent.
    pub elapsed: Millis,
    /// No answer is owed for the request any more.
    pub request_closed: bool,
    /// The customer's use over all ingresses in the meter's last period, as a fraction of its rate; `None` if
    /// not reported.
    pub metered_use: Option<f64>,
    /// The true units of the request; `None` if not reported.
    pub settled_units: Option<f64>,
    /// The load that the backend reported.
    pub load: Load,
}

/// The result of a counter call.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum CounterAnswer {
    /// The total after the call.
    Total(f64),
    /// Nothing was added.
    NotAdded,
    /// There was no answer in time; the amount may have been added.
    Unknown,
}

/// An input of the limiter.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The ingress starts; always the first event.
    Start,
    /// The backend list or a change of it.
    BackendList(ListKind, Vec<BackendEntry>),
    /// A client's request; one final answer is owed for it.
    Request(Request),
    /// The attempt began to stream; it belongs to the client from now on.
    StreamStarted(RequestId, AttemptIndex),
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client left; no answer is owed any more.
    ClientLeft(RequestId),
    /// A message from a peer.
    PeerMessage(IngressId, Vec<u8>),
    /// A probe ended.
    ProbeEnded(BackendId, Outcome, Load),
    /// A timer expired.
    Timer(TimerKey),
    /// A counter call ended.
    CounterAnswered(CounterName, CounterAnswer),
}

/// An output of the limiter.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Starts an attempt.
    Send {
        /// The request of the attempt.
        request: RequestId,
        /// The backend to send it to.
        backend: BackendId,
        /// When to cancel it; `None` if it lasts as long as the client waits.
        timeout: Option<Millis>,
        /// Time within which it must be sent completely, or not at all, as a later repeat would take effect
        /// again; `None` for no limit.
        send_within: Option<Millis>,
    },
    /// Final answer: nothing ran, or a repeat does no harm. The client may retry, best after this time.
    Reject(RequestId, Option<Millis>),
    /// Final answer without a promise whether the request ran.
    Fail(RequestId),
    /// Cancels an attempt.
    Cancel(RequestId, AttemptIndex),
    /// Probes a backend.
    Probe(BackendId),
    /// Sends a message to a peer.
    SendToPeer(IngressId, Vec<u8>),
    /// Adds an amount to a number at the counter; a new number is kept for this time.
    AddToCounter(CounterName, f64, Millis),
    /// Sets a timer.
    SetTimer(Millis, TimerKey),
    /// Subscribes to the backend list.
    Subscribe,
}
