//! The datagrams of the membership protocol and their encoding.

use super::notices::Notice;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The longest datagram, in bytes; short enough to avoid IP fragmentation on any path.
pub const MAX_DATAGRAM: usize = 1200;
/// The longest name of an instance, in bytes.
pub const MAX_NAME: usize = 48;
/// The first bytes of a datagram without notices; the last byte is the version.
const MAGIC: [u8; 4] = *b"whc\x01";
/// The first bytes of a datagram that may carry notices, or a message that version 1 does not have. All other
/// datagrams keep version 1, which older programs can decode.
const MAGIC_WITH_NOTICES: [u8; 4] = *b"whc\x02";
/// The length of magic, fleet key and checksum, in bytes.
const HEADER: usize = 4 + 8 + 4;

/// Identifies one process of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Identity {
    /// The ingress's name, unique in the fleet.
    pub name: String,
    /// The ingress's number, from 0, unique in the fleet.
    pub number: u16,
    /// The address that its datagrams come from.
    pub address: SocketAddr,
    /// When the process started, in Unix milliseconds; orders the processes of one name.
    pub started_at: u64,
}

/// The state of a member. Of two claims with equal versions the one whose state is later in this order wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// The member answers probes.
    Alive,
    /// The member has not answered another member's probes, and can still refute the suspicion.
    Suspect,
    /// The member has not refuted a suspicion in time.
    Dead,
    /// The member has announced that it leaves.
    Left,
}

/// A claim that a member is in a certain state.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// The member.
    pub member: Identity,
    /// The member's incarnation; only the member itself raises it, to refute a claim.
    pub incarnation: u32,
    /// The claimed state.
    pub state: State,
}

impl State {
    /// Returns whether a member in this state takes part in the fleet: it is alive or suspect.
    pub fn is_live(self) -> bool {
        self <= Self::Suspect
    }
}

impl Claim {
    /// Returns whether this claim replaces what is known of the member. The later start wins, then the higher
    /// incarnation, then the later state.
    pub fn overrides(&self, started_at: u64, incarnation: u32, state: State) -> bool {
        (self.member.started_at, self.incarnation, self.state) > (started_at, incarnation, state)
    }
}

/// The message of a datagram. The number in a ping or ping request is a sequence number, which the answer
/// repeats.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// Asks for an `Ack`.
    Ping(u32),
    /// Answers a probe, or with 0 a `Join` or `Compare`.
    Ack(u32),
    /// Asks the receiver to ping this address and to forward the answer.
    PingRequest(u32, SocketAddr),
    /// Answers a `PingRequest` whose target has not answered in time.
    Nack(u32),
    /// Asks for the receiver's full view, unless it has this digest.
    Join(u64),
    /// Carries claims of the sender's view, in answer to `Join` or `Compare`, or when the sender leaves.
    View,
    /// Carries only notices.
    Notices,
    /// Asks for the members in those buckets of the receiver's view whose checksums differ from these.
    Compare(Vec<u32>),
}

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Packet {
    /// The sender.
    pub from: Identity,
    /// The sender's incarnation.
    pub incarnation: u32,
    /// The message.
    pub body: Body,
    /// Claims about others, or about the sender.
    pub claims: Vec<Claim>,
    /// Operators' notices; encoded apart from the other fields.
    #[serde(skip)]
    pub notices: Vec<Notice>,
    /// The digest of all notices that the sender knows; 0 if it knows none. Encoded apart from the other
    /// fields.
    #[serde(skip)]
    pub notices_digest: u32,
}

/// Why a datagram is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PacketError {
    /// The datagram is truncated, corrupt, too long or of an unknown version.
    Malformed,
    /// The datagram belongs to another fleet.
    ForeignFleet,
}

/// Returns the key of the fleet of this name. Each datagram carries it, so that datagrams of other fleets are
/// recognized.
pub fn fleet_key(name: &str) -> u64 {
    let half = |salt: &[u8]| {
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(salt);
        hasher.update(name.as_bytes());
        u64::from(hasher.finalize())
    };
    half(b"a") << 32 | half(b"b")
}

impl Packet {
    /// Encodes the datagram for the fleet of this key; returns `None` if it is too long.
    pub fn encode(&self, fleet_key: u64) -> Option<Vec<u8>> {
        let mut body = postcard::to_allocvec(self).ok()?;
        let version_1_body = !matches!(self.body, Body::Notices | Body::Compare(_));
        let plain = self.notices_digest == 0 && self.notices.is_empty() && version_1_body;
        if !plain {
            body.extend_from_slice(&postcard::to_allocvec(&(&self.notices, self.notices_digest)).ok()?);
        }
        let mut bytes = Vec::with_capacity(HEADER + body.len());
        bytes.extend_from_slice(if plain { &MAGIC } else { &MAGIC_WITH_NOTICES });
        bytes.extend_from_slice(&fleet_key.to_be_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&body).to_be_bytes());
        bytes.extend_from_slice(&body);
        (bytes.len() <= MAX_DATAGRAM).then_some(bytes)
    }

    /// Decodes a datagram of the fleet of this key.
    ///
    /// # Errors
    /// Returns [`PacketError`] if the bytes are not a complete datagram of this fleet.
    pub fn decode(bytes: &[u8], fleet_key: u64) -> Result<Self, PacketError> {
        let (magic, rest) = bytes.split_first_chunk::<4>().ok_or(PacketError::Malformed)?;
        let (key, rest) = rest.split_first_chunk::<8>().ok_or(PacketError::Malformed)?;
        let (sum, body) = rest.split_first_chunk::<4>().ok_or(PacketError::Malformed)?;
        let plain = *magic == MAGIC;
        if !plain && *magic != MAGIC_WITH_NOTICES
            || bytes.len() > MAX_DATAGRAM
            || crc32fast::hash(body) != u32::from_be_bytes(*sum)
        {
            return Err(PacketError::Malformed);
        }
        if u64::from_be_bytes(*key) != fleet_key {
            return Err(PacketError::ForeignFleet);
        }
        let (mut packet, mut rest) =
            postcard::take_from_bytes::<Self>(body).map_err(|_| PacketError::Malformed)?;
        if !plain {
            ((packet.notices, packet.notices_digest), rest) =
                postcard::take_from_bytes(rest).map_err(|_| PacketError::Malformed)?;
        }
        let is_valid = |id: &Identity| !id.name.is_empty() && id.name.len() <= MAX_NAME;
        let names_valid = is_valid(&packet.from) && packet.claims.iter().all(|claim| is_valid(&claim.member));
        (rest.is_empty() && names_valid).then_some(packet).ok_or(PacketError::Malformed)
    }
}

#[cfg(test)]
mod tests;
