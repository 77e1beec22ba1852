//! Anti-entropy: members compare checksums of their views and notices, and send their content if these
//! differ.

use super::gossip::{CLAIM_OVERHEAD, PAYLOAD_ROOM};
use super::packet::{Body, Claim, MAX_NAME};
use super::{Action, Cluster};
use crate::interface::Millis;
use std::net::SocketAddr;

/// The target number of ingress numbers in a bucket; each bucket of the view has its own checksum.
const BUCKET_SIZE: u16 = 32;
/// The most buckets of a view.
const MAX_BUCKETS: u16 = 64;
/// The least time between two transmissions of the view, in milliseconds.
const VIEW_SYNC_INTERVAL: Millis = 200.0;
/// The least time between two transmissions of all notices, in milliseconds.
const NOTICE_SYNC_INTERVAL: Millis = 400.0;
/// The most datagrams in one transmission of all notices.
const NOTICE_SYNC_DATAGRAMS: usize = 16;
/// The number of claims that fit into one datagram, whatever the length of their names.
const CLAIMS_PER_DATAGRAM: usize = PAYLOAD_ROOM / (MAX_NAME + CLAIM_OVERHEAD);

/// The part of a live member that the checksums cover: its number, and when it started in Unix milliseconds.
type LiveMember = (u16, u64);

impl Cluster {
    /// Iterates over all live members, this instance included.
    fn live_with_self(&self) -> impl Iterator<Item = LiveMember> {
        let others = self.members.live().map(|member| (member.identity.number, member.identity.started_at));
        others.chain([(self.local.number, self.local.started_at)])
    }

    /// Returns a checksum of the live members. It does not distinguish suspects, whose state changes often.
    fn view_digest(&self) -> u64 {
        let mut live: Vec<LiveMember> = self.live_with_self().collect();
        live.sort_unstable();
        let mut hasher = crc32fast::Hasher::new();
        for member in live {
            update(&mut hasher, member);
        }
        u64::from(hasher.finalize()) + 1
    }

    /// Returns a checksum of the live members in each bucket of ingress numbers; it does not depend on their
    /// order.
    pub(super) fn bucket_checksums(&self) -> Vec<u32> {
        let buckets = (self.fleet.size / BUCKET_SIZE).clamp(1, MAX_BUCKETS);
        let mut checksums = vec![0; usize::from(buckets)];
        for member in self.live_with_self() {
            let mut hasher = crc32fast::Hasher::new();
            update(&mut hasher, member);
            let bucket = usize::from(member.0) % checksums.len();
            checksums[bucket] ^= hasher.finalize();
        }
        checksums
    }

    /// Answers a member that joins, with the full view unless its digest is the same.
    pub(super) fn answer_join(
        &mut self,
        now: Millis,
        sender: SocketAddr,
        digest: u64,
        actions: &mut Vec<Action>,
    ) {
        self.send(sender, Body::Ack(0), actions);
        if digest != self.view_digest() && self.may_send_view(now) {
            self.send_view(sender, |_| true, actions);
        }
    }

    /// Answers a member that compares views, with all members in the buckets that differ.
    pub(super) fn answer_compare(
        &mut self,
        now: Millis,
        sender: SocketAddr,
        theirs: &[u32],
        actions: &mut Vec<Action>,
    ) {
        self.send(sender, Body::Ack(0), actions);
        let ours = self.bucket_checksums();
        if theirs != ours && self.may_send_view(now) {
            let differs = |number: u16| {
                let bucket = usize::from(number) % ours.len();
                theirs.len() != ours.len() || theirs[bucket] != ours[bucket]
            };
            self.send_view(sender, differs, actions);
        }
    }

    /// Returns whether the view may be sent again after the last time, and if so notes that it is sent now.
    fn may_send_view(&mut self, now: Millis) -> bool {
        let due = now - self.view_synced_at >= VIEW_SYNC_INTERVAL;
        if due {
            self.view_synced_at = now;
        }
        due
    }

    /// Sends the claims about all members whose numbers are `included`, in as many datagrams as needed.
    fn send_view(&mut self, to: SocketAddr, included: impl Fn(u16) -> bool, actions: &mut Vec<Action>) {
        let members = self.members.iter().filter(|member| included(member.identity.number));
        let claims: Vec<Claim> = members.map(|member| member.claim()).collect();
        if claims.is_empty() {
            self.send(to, Body::View, actions);
        }
        for chunk in claims.chunks(CLAIMS_PER_DATAGRAM) {
            let mut packet = self.packet(Body::View);
            packet.claims = chunk.to_vec();
            self.send_packet(to, &packet, actions);
        }
    }

    /// Sends all notices to a member whose notices have another digest; that member does the same.
    pub(super) fn sync_notices(
        &mut self,
        now: Millis,
        sender: SocketAddr,
        digest: u32,
        actions: &mut Vec<Action>,
    ) {
        if digest == self.notices.digest() || now - self.notices_synced_at < NOTICE_SYNC_INTERVAL {
            return;
        }
        self.notices_synced_at = now;
        let mut batches = self.notices.batches();
        // Starts at a random batch. Otherwise, with too many notices for one transmission, the same ones
        // would be left out each time.
        let first = self.rng.usize(..=batches.len().saturating_sub(1));
        batches.rotate_left(first);
        if batches.is_empty() {
            batches.push(Vec::new());
        }
        for batch in batches.into_iter().take(NOTICE_SYNC_DATAGRAMS) {
            let mut packet = self.packet(Body::Notices);
            packet.notices = batch;
            self.send_packet(sender, &packet, actions);
        }
    }
}

/// Adds a member to a checksum.
fn update(hasher: &mut crc32fast::Hasher, (number, started_at): LiveMember) {
    hasher.update(&number.to_be_bytes());
    hasher.update(&started_at.to_be_bytes());
}
