//! Membership of backends: which there are and which of them may have work, from Consul's answers and from traffic. No I/O:
//! `consul` asks and passes the answers in.
//!
//! `members` decides what is believed of one service, `merged_list` makes one list of several services, `traffic` counts
//! connections that fail, and `asking` says when and which agent to ask.

pub mod asking;
pub mod members;
pub mod merged_list;
pub mod traffic;

use crate::backends::entries::ServiceEntry;
use crate::interface::{BackendId, BackendState, Millis};

/// The most instances of a service; more are passed over.
pub const MAX_INSTANCES: usize = 10_000;

/// How long the return of an instance that flaps is held down: it doubles with each flap.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HoldDown {
    /// At the second return within the memory of flaps, in milliseconds.
    pub first: Millis,
    /// At most, in milliseconds.
    pub longest: Millis,
}

impl HoldDown {
    /// The hold-down after so many flaps more than the first two.
    pub(super) fn after(self, flaps: u32) -> Millis {
        (self.first * f64::from(1u32 << flaps.min(16))).min(self.longest)
    }
}

/// What is believed of Consul's answers, and when.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MembershipPolicy {
    /// How long the return of an instance that flaps is held down.
    pub hold_down: HoldDown,
    /// Flaps are remembered for so many milliseconds.
    pub flap_memory: Millis,
    /// An answer that lacks more than this part of the instances that were ready ...
    pub withdrawal_share: f64,
    /// ... and at least so many of them, is confirmed by the catalogue before it is believed.
    pub withdrawal_minimum: usize,
    /// So many failed connections in a row make an instance unreachable that no answer vouches for.
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
    /// All of its checks pass.
    Passing,
    /// At least one warns, none is critical.
    Warning,
    /// A check is critical, or of a state that is not known.
    Critical,
    /// Its node is in maintenance.
    NodeMaintenance,
    /// It is in maintenance itself.
    ServiceMaintenance,
    /// Its weight for this state is 0.
    NoWeight,
    /// It is no longer listed, and that is believed.
    Withdrawn,
    /// No answer vouches for it, and connections to it fail.
    Unreachable,
    /// Its hold-down is over.
    Back,
}

impl Reason {
    /// The text of it in the log.
    pub fn text(self) -> &'static str {
        match self {
            Self::Passing => "passing",
            Self::Warning => "warning",
            Self::Critical => "critical",
            Self::NodeMaintenance => "its node is in maintenance",
            Self::ServiceMaintenance => "in maintenance",
            Self::NoWeight => "no weight",
            Self::Withdrawn => "withdrawn",
            Self::Unreachable => "unreachable while Consul's word is in doubt",
            Self::Back => "its hold is over",
        }
    }
}

/// An instance as an answer has it, or as it is reported.
#[derive(Debug, Clone, PartialEq)]
pub struct Observation {
    /// Its name, which its id is made from; operators name it so.
    pub name: String,
    /// Its entry for the list.
    pub entry: ServiceEntry,
    /// When it was registered, by Consul's own index (`CreateIndex`); 0 where the answer has none.
    pub registered: u64,
    /// Why it is in its state.
    pub reason: Reason,
}

impl Observation {
    /// Its id.
    pub fn id(&self) -> BackendId {
        self.entry.entry.backend
    }

    /// Whether it may have work.
    pub fn ready(&self) -> bool {
        self.entry.entry.state == BackendState::Ready
    }

    fn with_state(mut self, state: BackendState, reason: Reason) -> Self {
        (self.entry.entry.state, self.reason) = (state, reason);
        self
    }
}

#[cfg(test)]
pub(crate) fn seen(n: u64, state: BackendState, port: u16) -> Observation {
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
    Observation { name: format!("n1/{n}"), entry, registered: 0, reason }
}
