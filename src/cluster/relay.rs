//! Indirect probes on behalf of other members: a ping is sent to the target, and its answer forwarded to the
//! requester.

use super::packet::Body;
use super::{Action, Cluster};
use crate::interface::Millis;
use std::net::SocketAddr;

/// The most relayed probes in flight; further ping requests are ignored.
const MAX_RELAYS: usize = 256;
/// The requester is notified that there is no answer after this fraction of the time for a direct answer.
const NACK_FRACTION: f64 = 0.9;
/// The lifetime of a relayed probe, in probe intervals.
const LIFETIME_INTERVALS: f64 = 3.0;

/// A probe on behalf of another member.
#[derive(Debug, Clone)]
pub(super) struct Relay {
    /// The member that requested it.
    requester: SocketAddr,
    /// The sequence number of the request.
    requester_seq: u32,
    /// When the requester is notified that there is no answer, in milliseconds; infinite once it was.
    nack_at: Millis,
    /// When the relay is dropped, in milliseconds.
    expires_at: Millis,
}

impl Cluster {
    /// Iterates over the times at which requesters are to be notified that there is no answer, in
    /// milliseconds.
    pub(super) fn nacks_due(&self) -> impl Iterator<Item = Millis> {
        self.relays.values().map(|relay| relay.nack_at)
    }

    /// Probes a member on behalf of another one.
    pub(super) fn relay_ping(
        &mut self,
        now: Millis,
        requester: SocketAddr,
        requester_seq: u32,
        target: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        let known = self.members.iter().any(|member| member.identity.address == target);
        if !known || self.relays.len() >= MAX_RELAYS {
            return;
        }
        let seq = self.next_seq();
        let nack_at = now + self.timing.ack_timeout * NACK_FRACTION;
        let expires_at = now + LIFETIME_INTERVALS * self.timing.probe_interval;
        self.relays.insert(seq, Relay { requester, requester_seq, nack_at, expires_at });
        self.send(target, Body::Ping(seq), actions);
    }

    /// Forwards an answer to the requester, if the probe was a relayed one.
    pub(super) fn relay_ack(&mut self, seq: u32, actions: &mut Vec<Action>) {
        if let Some(relay) = self.relays.remove(&seq) {
            self.send(relay.requester, Body::Ack(relay.requester_seq), actions);
        }
    }

    /// Notifies the requesters whose targets have not answered in time.
    pub(super) fn send_nacks(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let mut due = Vec::new();
        for relay in self.relays.values_mut().filter(|relay| relay.nack_at <= now) {
            relay.nack_at = f64::INFINITY;
            due.push((relay.requester, relay.requester_seq));
        }
        for (requester, seq) in due {
            self.send(requester, Body::Nack(seq), actions);
        }
    }

    /// Drops relayed probes whose lifetime is over.
    pub(super) fn expire_relays(&mut self, now: Millis) {
        self.relays.retain(|_, relay| relay.expires_at > now);
    }
}
