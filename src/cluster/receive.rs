//! Receives datagrams: decodes them, applies the claims and notices that they carry, and answers.

use super::notices::Notice;
use super::packet::{Body, Claim, Identity, Packet, PacketError, State};
use super::view::Source;
use super::{Action, Cluster};
use crate::interface::Millis;
use std::net::SocketAddr;

impl Cluster {
    /// Handles a datagram that was received from the address `sender`.
    pub fn receive(&mut self, now: Millis, sender: SocketAddr, bytes: &[u8], actions: &mut Vec<Action>) {
        self.detect_stall(now, actions);
        let packet = match Packet::decode(bytes, self.fleet.key) {
            Ok(packet) => packet,
            Err(PacketError::Malformed) => return self.counts.malformed += 1,
            Err(PacketError::ForeignFleet) => return self.counts.foreign += 1,
        };
        if packet.from.name == self.local.name || packet.from.number == self.local.number {
            self.report_conflict(packet.from, actions);
            self.counts.rejected += 1;
            return;
        }
        self.counts.received += 1;
        let Packet { from, incarnation, body, claims, notices, notices_digest } = packet;
        // A datagram shows that its sender is alive only if it comes from the sender's own address.
        if from.address == sender && from.number < self.fleet.size {
            let claim = Claim { member: from, incarnation, state: State::Alive };
            self.apply_claim(now, claim, Source::Gossip, actions);
        }
        let source = if body == Body::View { Source::Reply } else { Source::Gossip };
        for claim in claims {
            self.apply_claim(now, claim, source, actions);
        }
        self.apply_notices(now, notices, actions);
        if self.left {
            return;
        }
        self.sync_notices(now, sender, notices_digest, actions);
        self.answer(now, sender, body, actions);
    }

    /// Reports once that another process uses this one's name or number. A process at the same address is the
    /// predecessor or successor in an upgrade, and no conflict.
    fn report_conflict(&mut self, other: Identity, actions: &mut Vec<Action>) {
        if other.address != self.local.address && self.conflict.as_ref() != Some(&other) {
            self.conflict = Some(other.clone());
            actions.push(Action::Conflict(other));
        }
    }

    fn apply_notices(&mut self, now: Millis, notices: Vec<Notice>, actions: &mut Vec<Action>) {
        let retransmits = self.retransmit_limit();
        for notice in notices {
            let (subject, active) = (notice.subject.clone(), notice.active);
            if self.notices.apply(now, notice, retransmits) {
                actions.push(Action::NoticeChanged(subject, active));
            }
        }
    }

    /// Handles the message of a datagram.
    fn answer(&mut self, now: Millis, sender: SocketAddr, body: Body, actions: &mut Vec<Action>) {
        match body {
            Body::Ping(seq) => self.send(sender, Body::Ack(seq), actions),
            Body::PingRequest(seq, target) => self.relay_ping(now, sender, seq, target, actions),
            Body::Ack(seq) => self.receive_ack(seq, actions),
            Body::Nack(seq) => self.receive_nack(seq),
            Body::Join(digest) => self.answer_join(now, sender, digest, actions),
            Body::Compare(checksums) => self.answer_compare(now, sender, &checksums, actions),
            Body::View => self.synced = true,
            Body::Notices => {}
        }
    }
}
