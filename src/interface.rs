//! The vocabulary of the limiter: settings, events, actions, ids and units of time.
//!
//! Every number that comes in may be late, noisy or absurd; the rules are expected to live with that.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The most bytes of a message to a peer.
pub const MAX_PEER_MESSAGE_BYTES: usize = 256;

/// A time or a span in milliseconds; the clock starts anywhere and only moves forward.
pub type Millis = f64;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($of:ty)) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub $of);
    };
}

id!(/// One try of a client; never used again.
    RequestId(u64));
id!(/// A server, the same in every list and across its restarts.
    BackendId(u64));
id!(/// A customer.
    CustomerId(u64));
id!(/// A gateway's number, counted from 0.
    IngressId(u16));
id!(/// A class, as its place in [`Settings::classes`].
    ClassId(usize));
id!(/// A plan, as its place in [`Settings::plans`].
    PlanId(usize));
id!(/// A zone.
    ZoneId(u8));
id!(/// A handful of servers that share which keys they have seen.
    CellId(u16));
id!(/// A kind of machine.
    KindId(u16));
id!(/// The place of an attempt among those of its request, counted from 0.
    AttemptIndex(u16));
id!(/// The name of a number on the shared counter.
    CounterName(u64));
id!(/// What a timer brings back.
    TimerKey(u32));

/// Which servers drop a repeat of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DedupScope {
    /// All of them.
    All,
    /// Those of the zone of the first.
    Zone,
    /// Those of the cell of the first.
    Cell,
}

/// What a repeat of a request would do.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum RetrySafety {
    /// Nothing: it may be repeated at will.
    Safe,
    /// Nothing within the group and for this long from the first attempt that may have run.
    Keyed {
        /// Which servers drop it.
        scope: DedupScope,
        /// For how long.
        window: Millis,
    },
    /// Harm: it must not run twice.
    Unsafe,
}

impl RetrySafety {
    /// Whether a request whose first attempt at `first`, if that is still known, may have run can go to `other`.
    pub fn allows_backend(&self, first: Option<&BackendEntry>, other: &BackendEntry) -> bool {
        match self {
            Self::Safe | Self::Keyed { scope: DedupScope::All, .. } => true,
            Self::Keyed { scope: DedupScope::Zone, .. } => first.is_some_and(|s| s.zone == other.zone),
            Self::Keyed { scope: DedupScope::Cell, .. } => first.is_some_and(|s| s.cell == other.cell),
            Self::Unsafe => false,
        }
    }

    /// Whether it can be sent again so long after that attempt.
    pub fn allows_after(&self, age: Millis) -> bool {
        match self {
            Self::Safe => true,
            Self::Keyed { window, .. } => age < *window,
            Self::Unsafe => false,
        }
    }

    /// How much longer it can be sent again so long after that attempt; none where time sets no bound.
    pub fn time_left(&self, age: Millis) -> Option<Millis> {
        if let Self::Keyed { window, .. } = self { Some(window - age) } else { None }
    }
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// An answer within this time has the full worth.
    pub aim: Millis,
    /// What a unit of it is worth.
    pub worth: f64,
    /// What a repeat does.
    pub retry_safety: RetrySafety,
}

/// A plan: the quotas that each of its customers has over all gateways together.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Plan {
    /// Units a second; 0 for none.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// Attempts out at once; 0 for no such quota.
    pub max_in_flight: f64,
    /// Units a second of the hard ceiling; 0 for none.
    pub ceiling_rate: f64,
    /// Units of the ceiling that may be used at once.
    pub ceiling_burst: f64,
    /// What a request beyond the quota earns, as a part of its worth.
    pub excess_worth: f64,
    /// What a request beyond the quota costs, as a part of its worth.
    pub excess_cost: f64,
}

impl Plan {
    /// The chance of being inside the quota at which sending on earns as much as it costs.
    pub(crate) fn break_even_probability(&self) -> f64 {
        self.excess_cost / (1.0 + self.excess_cost)
    }
}

/// How a started server is to be spared.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// The part of its full work that it can do at first.
    pub initial_capacity: f64,
    /// The time until it is warm.
    pub warm_after: Millis,
    /// It falls over at this multiple of what it can do ...
    pub overload_multiple: f64,
    /// ... for this long.
    pub overload_window: Millis,
}

impl ColdStart {
    /// The part of its full work that a server can do at this age, at the least.
    pub fn warmth(&self, age: Millis) -> f64 {
        (self.initial_capacity + (1.0 - self.initial_capacity) * age.max(0.0) / self.warm_after.max(1.0))
            .min(1.0)
    }

    /// The same for a server that started at `started`; one that started long ago, none, is warm.
    pub(crate) fn warmth_of(&self, started: Option<Millis>, now: Millis) -> f64 {
        started.map_or(1.0, |at| self.warmth(now - at))
    }

    /// Whether a server that started at `started` can do its full work.
    pub(crate) fn is_warm(&self, started: Option<Millis>, now: Millis) -> bool {
        self.warmth_of(started, now) >= 1.0
    }
}

/// What a gateway knows at its start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// This gateway's number.
    pub ingress: IngressId,
    /// How many gateways there are.
    pub ingress_count: u16,
    /// This gateway's zone.
    pub zone: ZoneId,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The plans.
    pub plans: Vec<Plan>,
    /// The most units of one request.
    pub max_request_units: f64,
    /// Units of a request are a guess that the answer settles.
    pub units_are_estimates: bool,
    /// The period of the meter; 0 for no meter.
    pub meter_period: Millis,
    /// The shared counter may be called.
    pub counter: bool,
    /// A call to it is answered within this time, whatever comes of it.
    pub counter_timeout: Millis,
    /// Messages to peers may be sent.
    pub peers: bool,
    /// Messages a second that a gateway takes in.
    pub peer_messages_per_second: f64,
    /// The most attempts of a request.
    pub max_attempts: u16,
    /// A request may have two attempts out together.
    pub hedging: bool,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// The longest advice to keep away that clients follow; 0 for none.
    pub max_retry_after: Millis,
    /// The list of servers comes only on request.
    pub list_on_request: bool,
    /// How started servers are to be spared.
    pub cold: ColdStart,
    /// An attempt across zones costs something.
    pub cross_zone_cost: bool,
}

impl Settings {
    /// Whether there is such a plan and such a class.
    pub(crate) fn defines(&self, plan: PlanId, class: ClassId) -> bool {
        plan.0 < self.plans.len() && class.0 < self.classes.len()
    }

    /// The longest time that a store takes to fill.
    pub(crate) fn longest_refill(&self) -> Millis {
        let refill = |depth: f64, rate: f64| if rate > 0.0 { 1000.0 * depth / rate } else { 0.0 };
        let both = |p: &Plan| refill(p.burst, p.rate).max(refill(p.ceiling_burst, p.ceiling_rate));
        self.plans.iter().map(both).fold(0.0, f64::max)
    }

    /// Turns down what no limiter can work with.
    pub fn check(&self) -> Result<(), SettingsError> {
        let error = |what: &str| Err(SettingsError(what.to_owned()));
        let good = |x: f64| x.is_finite() && x >= 0.0;
        if self.classes.is_empty() || self.ingress_count == 0 || self.max_attempts == 0 {
            return error("there must be a class, a gateway and an attempt at least");
        }
        if !self.classes.iter().all(|c| good(c.aim) && c.aim > 0.0) {
            return error("a class has no aim");
        }
        if !self.classes.iter().all(|c| good(c.worth)) {
            return error("a class has a worth that is negative or no number");
        }
        let figures = |p: &Plan| {
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
        if !self.plans.iter().flat_map(figures).chain(cold).chain(others).all(good) {
            return error("a figure is negative or no number");
        }
        Ok(())
    }
}

/// Why settings were rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

/// What the list says of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackendState {
    /// It takes work.
    Ready,
    /// It finishes its work and is to get nothing new.
    Draining,
    /// It is no more.
    Gone,
}

/// A line of the server list.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct BackendEntry {
    /// Which server.
    pub backend: BackendId,
    /// Its state.
    pub state: BackendState,
    /// Its size beside others, without a unit.
    pub weight: f64,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// The kind of machine it runs on.
    pub kind: KindId,
    /// When it last started, where that is not long ago.
    pub last_start: Option<Millis>,
}

/// What a server list event holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// The whole list, as this gateway last held it: perhaps stale.
    Cached,
    /// Only what changed.
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
    /// The time until the client gives this try up.
    pub time_left: Millis,
    /// Units it draws.
    pub units: f64,
    /// Over how many gateways the customer's requests come ...
    pub spread: u16,
    /// ... counted round from this one.
    pub first_ingress: IngressId,
    /// The client says that it has asked for this before.
    pub is_retry: bool,
}

impl Request {
    /// Puts figures that are none, or below nothing, right.
    pub(crate) fn sanitize(&mut self) {
        self.units = if self.units.is_finite() { self.units.max(0.0) } else { 1.0 };
        self.time_left = if self.time_left.is_finite() { self.time_left.max(0.0) } else { 0.0 };
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Served.
    Served,
    /// The server answered with an error; it may have run.
    Error,
    /// Turned away unseen: it never ran.
    Rejected,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection: it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// It was never sent.
    NotSent,
}

impl Outcome {
    /// Whether the server may have done the work.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Error | Self::TimedOut | Self::Reset | Self::Cancelled)
    }
}

/// What a server says of its load; whatever it does not say is absent.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Requests being handled.
    pub in_flight: Option<f64>,
    /// Requests waiting.
    pub queued: Option<f64>,
    /// The part of its cores in use.
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
    /// Whose attempt.
    pub request: RequestId,
    /// Which attempt.
    pub attempt: AttemptIndex,
    /// The server it went to.
    pub backend: BackendId,
    /// How it ended.
    pub outcome: Outcome,
    /// The time since it was sent.
    pub elapsed: Millis,
    /// The request is over, by this or earlier.
    pub request_closed: bool,
    /// The customer's use over all gateways in the meter's last period, as a part of its rate.
    pub metered_use: Option<f64>,
    /// The true units, where they had been guessed.
    pub settled_units: Option<f64>,
    /// What the server said of its load.
    pub load: Load,
}

/// What came of a call to the counter.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum CounterAnswer {
    /// The total after the call.
    Total(f64),
    /// Nothing was added.
    NotAdded,
    /// No answer in time; the amount may have been added.
    Unknown,
}

/// What happens to a gateway.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The gateway starts; always the first event.
    Start,
    /// News of the server list.
    BackendList(ListKind, Vec<BackendEntry>),
    /// A client's request; one final answer is owed for it.
    Request(Request),
    /// A stream has begun, so the attempt belongs to the client.
    StreamStarted(RequestId, AttemptIndex),
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client left; no answer is owed any more.
    ClientLeft(RequestId),
    /// A peer's message.
    PeerMessage(IngressId, Vec<u8>),
    /// A probe ended.
    ProbeEnded(BackendId, Outcome, Load),
    /// A timer is due.
    Timer(TimerKey),
    /// The counter answered.
    CounterAnswered(CounterName, CounterAnswer),
}

/// What a gateway is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt, given up after `timeout`, or with the client where that is absent.
    Send {
        /// Whose attempt.
        request: RequestId,
        /// The server.
        backend: BackendId,
        /// Its time-out.
        timeout: Option<Millis>,
        /// It must have left whole within this, or never: a repeat later than that would be another effect.
        send_within: Option<Millis>,
    },
    /// Final answer: nothing ran, the client may safely come again, best after this time.
    Reject(RequestId, Option<Millis>),
    /// Final answer: no promise either way.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel(RequestId, AttemptIndex),
    /// Probe a server.
    Probe(BackendId),
    /// Send a message to a peer.
    SendToPeer(IngressId, Vec<u8>),
    /// Add an amount to a number on the counter; if it is new it is kept this long.
    AddToCounter(CounterName, f64, Millis),
    /// Ask for a timer.
    SetTimer(Millis, TimerKey),
    /// Ask for the changes of the server list.
    Subscribe,
}
