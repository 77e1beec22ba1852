//! Membership of the fleet's ingresses: SWIM with refutable suspicion, and Lifeguard's local health score for
//! slow machines. No clock and no I/O, apart from `transport`. The design is explained in `docs/cluster.md`.
//!
//! Sources: Das, Gupta, Motivala, "SWIM: scalable weakly-consistent infection-style process group membership
//! protocol" (2002); Dadgar, Phillips, Currey, "Lifeguard: local health awareness for more accurate failure
//! detection" (2018).

mod detector;
mod gossip;
mod member_table;
pub mod notices;
pub mod packet;
mod receive;
mod relay;
pub mod report;
mod suspicion;
mod sync;
pub mod transport;
mod view;

pub use view::Version;

use crate::interface::Millis;
use detector::Probe;
use member_table::MemberTable;
use notices::{Notices, Subject};
use packet::{Identity, State};
use relay::Relay;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// The intervals and timeouts of the protocol, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Timing {
    /// The time between two rounds, in each of which one member is probed.
    pub probe_interval: Millis,
    /// How long to wait for a direct answer to a probe before other members are asked to probe too.
    pub ack_timeout: Millis,
    /// How long a suspect has to refute the suspicion, in a small fleet and while this instance is healthy.
    pub suspicion_timeout: Millis,
    /// How late this process must run to count as stalled; after a stall it does not rely on its view until
    /// other members have answered.
    pub stall_threshold: Millis,
    /// How long members that are dead or have left are remembered.
    pub retention: Millis,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            probe_interval: 250.0,
            ack_timeout: 100.0,
            suspicion_timeout: 800.0,
            stall_threshold: 700.0,
            retention: 600_000.0,
        }
    }
}

/// The highest local health score. 0 is healthy; rounds and timeouts become longer with the score.
const MAX_HEALTH_SCORE: u32 = 6;

/// Identifies the fleet that an instance belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetId {
    /// The key of the fleet's name; see [`packet::fleet_key`].
    pub key: u64,
    /// The highest number of ingresses; the number of each is below this.
    pub size: u16,
}

/// Something for the caller to do, or an event for it to handle.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a datagram to this address.
    Send(SocketAddr, Vec<u8>),
    /// The state of a member has changed: from the first state, `None` if the member was not known before, to
    /// the second.
    StateChanged(Identity, Option<State>, State),
    /// Another process uses the name or the number of this one.
    Conflict(Identity),
    /// This process has not run for this time, in milliseconds.
    Stalled(Millis),
    /// A notice of another instance has become active (true) or has ended (false).
    NoticeChanged(Subject, bool),
}

/// Counts of datagrams sent, received and dropped, and of claims rejected and refuted, since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Datagrams received and decoded.
    pub received: u64,
    /// Datagrams dropped because they could not be decoded.
    pub malformed: u64,
    /// Datagrams dropped because they belong to another fleet.
    pub foreign: u64,
    /// Claims rejected because the number is outside the fleet, or because another member has the name or
    /// number; also datagrams from a process with this one's name or number.
    pub rejected: u64,
    /// Claims about this instance that it has refuted.
    pub refuted: u64,
}

/// The membership state of this instance: its view of the fleet, its probes and the operators' notices.
#[derive(Debug, Clone)]
pub struct Cluster {
    /// This instance.
    local: Identity,
    /// The incarnation of this instance, raised to refute suspicions.
    incarnation: u32,
    fleet: FleetId,
    seeds: Vec<SocketAddr>,
    timing: Timing,
    rng: fastrand::Rng,
    members: MemberTable,
    /// The names of members in the order in which they are probed.
    probe_order: VecDeque<String>,
    /// The probe of the current round.
    probe: Option<Probe>,
    /// When the next round begins, in milliseconds.
    round_at: Millis,
    /// The number of rounds so far, wrapping around.
    rounds: u32,
    /// The last sequence number used.
    seq: u32,
    /// Probes on behalf of other members, by the sequence number of this instance's ping.
    relays: BTreeMap<u32, Relay>,
    /// The local health score, from 0 for healthy to `MAX_HEALTH_SCORE`.
    health_score: u32,
    /// When this instance last ran, in milliseconds.
    last_run: Millis,
    /// The number of answers still needed, after the start or a stall, before the view counts as known.
    acks_needed: usize,
    /// When the full view was last sent to any member, in milliseconds.
    view_synced_at: Millis,
    /// Whether another member has sent its view.
    synced: bool,
    /// The number of further datagrams that carry the claim about this instance.
    own_retransmits: u32,
    /// Whether this instance has left the fleet.
    left: bool,
    /// The last process reported for using this one's name or number.
    conflict: Option<Identity>,
    notices: Notices,
    /// When all notices were last sent to any member, in milliseconds.
    notices_synced_at: Millis,
    counts: Counts,
}

impl Cluster {
    /// Creates the state of an instance that starts now and joins the fleet through any of the `seeds`.
    /// `seed` initializes the random numbers.
    pub fn new(
        local: Identity,
        fleet: FleetId,
        seeds: Vec<SocketAddr>,
        timing: Timing,
        seed: u64,
        now: Millis,
    ) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let seeds = seeds.into_iter().filter(|address| *address != local.address).collect();
        let seq = rng.u32(..);
        let round_at = now + rng.f64() * timing.probe_interval;
        Self {
            local,
            incarnation: 0,
            fleet,
            seeds,
            timing,
            rng,
            members: MemberTable::default(),
            probe_order: VecDeque::new(),
            probe: None,
            round_at,
            rounds: 0,
            seq,
            relays: BTreeMap::new(),
            health_score: 0,
            last_run: now,
            acks_needed: 1,
            view_synced_at: f64::NEG_INFINITY,
            synced: false,
            own_retransmits: 0,
            left: false,
            conflict: None,
            notices: Notices::default(),
            notices_synced_at: f64::NEG_INFINITY,
            counts: Counts::default(),
        }
    }

    /// Returns the identity of this instance.
    pub fn local(&self) -> &Identity {
        &self.local
    }

    /// Returns the counts of datagrams and claims.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the operators' notices that this instance knows.
    pub fn notices(&self) -> &Notices {
        &self.notices
    }
}
