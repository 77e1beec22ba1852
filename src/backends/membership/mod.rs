//! Membership of backends: which exist and which may get requests, by Consul's answers and by connection
//! failures. No I/O: the `consul` module sends the queries and passes the answers in.
//!
//! `members` evaluates the answers about one service, `merged_list` merges several services into one list,
//! `connection_failures` counts failed connections, and `query_schedule` decides when to query which agent.

pub mod connection_failures;
pub mod members;
pub mod merged_list;
pub mod query_schedule;

use crate::backends::entries::ServiceEntry;
use crate::interface::{BackendId, BackendState, Millis};

/// The most instances of a service; further ones are ignored.
pub const MAX_INSTANCES: usize = 10_000;

/// How long a flapping instance is kept out of service after it is ready again; doubles with each flap.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HoldDown {
    /// The first hold-down, at the second return within the flap memory, in milliseconds.
    pub first: Millis,
    /// The longest hold-down, in milliseconds.
    pub longest: Millis,
}

impl HoldDown {
    /// Returns the hold-down, in milliseconds, after it has doubled this many times.
    pub(super) fn after_doublings(self, doublings: u32) -> Millis {
        (self.first * f64::from(1u32 << doublings.min(16))).min(self.longest)
    }
}

/// When changes in Consul's answers are accepted, delayed or confirmed first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MembershipPolicy {
    /// The hold-down of flapping instances.
    pub hold_down: HoldDown,
    /// How long flaps are remembered, in milliseconds.
    pub flap_memory: Millis,
    /// The fraction of the ready instances above which a withdrawal is confirmed by the catalogue before it
    /// is accepted, together with `withdrawal_minimum`. Also bounds the fraction that failed connections may
    /// take out of service.
    pub withdrawal_share: f64,
    /// The least number of withdrawn ready instances that has to be confirmed.
    pub withdrawal_minimum: usize,
    /// The number of consecutive connection failures that makes an instance unreachable, while no current
    /// answer says that it is ready.
    pub unreachable_after: u32,
}

impl Default for MembershipPolicy {
    fn default() -> Self {
        Self {
            hold_down: HoldDown { first: 1000.0, longest: 30_000.0 },
            flap_memory: 60_000.0,
            withdrawal_share: 1.0 / 3.0,
            withdrawal_minimum: 3,
            unreachable_after: 3,
        }
    }
}

/// Why an instance is in its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// All of its checks are passing.
    Passing,
    /// At least one check is warning, none is critical.
    Warning,
    /// A check is critical or has an unknown status.
    Critical,
    /// Its node is in maintenance.
    NodeMaintenance,
    /// The instance itself is in maintenance.
    ServiceMaintenance,
    /// Its weight for the status of its checks is 0.
    NoWeight,
    /// It is no longer listed, and the withdrawal was accepted.
    Withdrawn,
    /// Connections to it fail, and no current answer says that it is ready.
    Unreachable,
    /// Its hold-down is over.
    HoldDownEnded,
}

impl Reason {
    /// Returns the text for the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Passing => "passing",
            Self::Warning => "warning",
            Self::Critical => "critical",
            Self::NodeMaintenance => "its node is in maintenance",
            Self::ServiceMaintenance => "in maintenance",
            Self::NoWeight => "no weight",
            Self::Withdrawn => "withdrawn",
            Self::Unreachable => "unreachable while Consul's word is in doubt",
            Self::HoldDownEnded => "its hold is over",
        }
    }
}

/// The state of an instance, as seen in an answer from Consul or as reported after evaluation.
#[derive(Debug, Clone, PartialEq)]
pub struct Observation {
    /// The instance's name, by which operators refer to it; its id is derived from it.
    pub name: String,
    /// The entry for the backend list.
    pub entry: ServiceEntry,
    /// Consul's `CreateIndex` of the registration, which orders registrations; 0 if the answer has none.
    pub create_index: u64,
    /// Why the instance is in its state.
    pub reason: Reason,
}

impl Observation {
    /// Returns the instance's id.
    pub fn id(&self) -> BackendId {
        self.entry.entry.backend
    }

    /// Returns whether the instance may get requests.
    pub fn is_ready(&self) -> bool {
        self.entry.entry.state == BackendState::Ready
    }

    fn with_state(mut self, state: BackendState, reason: Reason) -> Self {
        (self.entry.entry.state, self.reason) = (state, reason);
        self
    }
}

/// Creates a test observation of instance `n` at a local port.
#[cfg(test)]
pub(crate) fn observation(n: u64, state: BackendState, port: u16) -> Observation {
    use crate::interface::{BackendEntry, CellId, KindId, ZoneId};
    let entry = BackendEntry {
        backend: BackendId(n),
        state,
        weight: 1.0,
        zone: ZoneId(0),
        cell: CellId(0),
        kind: KindId(0),
        last_start: None,
    };
    let reason = if state == BackendState::Ready { Reason::Passing } else { Reason::Critical };
    let entry = ServiceEntry { entry, address: Some(([127, 0, 0, 1], port).into()) };
    Observation { name: format!("n1/{n}"), entry, create_index: 0, reason }
}
