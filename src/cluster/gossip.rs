//! Dissemination: each datagram sent also carries the claims and notices that were sent least.

use super::notices::{Notice, Subject};
use super::packet::{Body, Claim, MAX_DATAGRAM, MAX_NAME, Packet, State};
use super::{Action, Cluster};
use crate::interface::Millis;
use std::net::SocketAddr;

/// A claim is sent this many times the binary logarithm of the fleet's size.
const RETRANSMIT_MULTIPLIER: f64 = 4.0;
/// The number of members that a new notice is sent to at once; they pass it on.
const NOTICE_FANOUT: usize = 16;
/// The number of members that are notified when this instance leaves.
const LEAVE_FANOUT: usize = 8;
/// The most that a claim takes in a datagram in addition to its name, in bytes.
pub(super) const CLAIM_OVERHEAD: usize = 48;
/// The room in a datagram for claims and notices, after the header, the sender and the message, in bytes.
pub(super) const PAYLOAD_ROOM: usize = MAX_DATAGRAM - 2 * MAX_NAME - 96;

impl Cluster {
    /// Returns the number of datagrams that carry a claim or a notice.
    pub(super) fn retransmit_limit(&self) -> u32 {
        let fleet_size = (self.members.len() + 2) as f64;
        (RETRANSMIT_MULTIPLIER * fleet_size.log2()).ceil() as u32
    }

    /// Sends a message with as many notices and claims as fit: first the claim about this instance if it is
    /// still to be sent, then that about the receiver if it is not alive here, then those that were sent
    /// least.
    pub(super) fn send(&mut self, to: SocketAddr, body: Body, actions: &mut Vec<Action>) {
        let mut packet = self.packet(body);
        packet.notices = self.notices.next_batch();
        let notices_len: usize = packet.notices.iter().map(Notice::encoded_len).sum();
        let mut room = PAYLOAD_ROOM - notices_len;
        if self.own_retransmits > 0 {
            self.own_retransmits -= 1;
            add_claim(&mut packet, &mut room, self.own_claim());
        }
        let receiver = self.members.not_alive().find(|member| member.identity.address == to);
        if let Some(receiver) = receiver {
            add_claim(&mut packet, &mut room, receiver.claim());
        }
        for name in self.members.due_for_gossip(MAX_DATAGRAM / CLAIM_OVERHEAD) {
            let Some(member) = self.members.get(&name) else { continue };
            if !add_claim(&mut packet, &mut room, member.claim()) {
                break;
            }
            let retransmits = member.retransmits.saturating_sub(1);
            self.members.set_retransmits(&name, retransmits);
        }
        self.send_packet(to, &packet, actions);
    }

    /// Returns the claim about this instance.
    fn own_claim(&self) -> Claim {
        let state = if self.left { State::Left } else { State::Alive };
        Claim { member: self.local.clone(), incarnation: self.incarnation, state }
    }

    /// Returns a packet of this instance without claims and notices.
    pub(super) fn packet(&self, body: Body) -> Packet {
        Packet {
            from: self.local.clone(),
            incarnation: self.incarnation,
            body,
            claims: Vec::new(),
            notices: Vec::new(),
            notices_digest: self.notices.digest(),
        }
    }

    /// Sends a packet as it is, without adding claims or notices.
    pub(super) fn send_packet(&mut self, to: SocketAddr, packet: &Packet, actions: &mut Vec<Action>) {
        if let Some(bytes) = packet.encode(self.fleet.key) {
            self.counts.sent += 1;
            actions.push(Action::Send(to, bytes));
        }
    }

    /// Returns the addresses of all live members in random order.
    pub(super) fn shuffled_live_addresses(&mut self) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> =
            self.members.live().map(|member| member.identity.address).collect();
        self.rng.shuffle(&mut addresses);
        addresses
    }

    /// Publishes an operator's notice: sends it to some members at once, which pass it on.
    pub fn publish(&mut self, now: Millis, subject: Subject, active: bool, actions: &mut Vec<Action>) {
        let retransmits = self.retransmit_limit();
        self.notices.publish(now, self.local.number, subject, active, retransmits);
        for address in self.shuffled_live_addresses().into_iter().take(NOTICE_FANOUT) {
            self.send(address, Body::Notices, actions);
        }
    }

    /// Restores the state of the previous process: the notices of its file, and the names of disabled
    /// backends, for which it is not known when they were disabled.
    pub fn restore(&mut self, now: Millis, notices: Vec<Notice>, disabled: Vec<String>) {
        let retransmits = self.retransmit_limit();
        for notice in notices {
            self.notices.apply(now, notice, retransmits);
        }
        for name in disabled {
            self.notices.restore(self.local.number, Subject::Backend(name), retransmits);
        }
    }

    /// Leaves the fleet: notifies some members. From then on this instance answers no datagrams.
    pub fn leave(&mut self, actions: &mut Vec<Action>) {
        self.left = true;
        for address in self.shuffled_live_addresses().into_iter().take(LEAVE_FANOUT) {
            self.own_retransmits = 1;
            self.send(address, Body::View, actions);
        }
    }
}

/// Adds a claim to a packet if it fits into the remaining room; returns whether it did.
fn add_claim(packet: &mut Packet, room: &mut usize, claim: Claim) -> bool {
    let len = claim.member.name.len() + CLAIM_OVERHEAD;
    let Some(remaining) = room.checked_sub(len) else { return false };
    *room = remaining;
    packet.claims.push(claim);
    true
}
