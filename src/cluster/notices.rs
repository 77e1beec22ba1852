//! Operators' notices, which all ingresses follow: disabled backends and drained ingresses. The latest notice
//! of a subject replaces earlier ones. Ended notices are kept too, so that an instance that was unreachable
//! does not bring one back. No I/O. The design is explained in `docs/cluster.md`.

use crate::interface::Millis;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// The longest name of a subject, in bytes.
pub const MAX_SUBJECT: usize = 96;
/// The most notices kept. Beyond it ended notices are dropped first, and of these the oldest.
pub const MAX_NOTICES: usize = 1024;
/// How far a notice may be dated in the future, in milliseconds. Others are rejected: they could not be
/// ended, as a notice that ends one must be later.
const MAX_CLOCK_LEAD: u64 = 24 * 3_600_000;
/// The most that notices may take in a datagram, in bytes.
const DATAGRAM_BUDGET: usize = 420;
/// The most that a notice takes in a datagram in addition to its subject's name, in bytes.
const NOTICE_OVERHEAD: usize = 18;

/// The subject of a notice.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Subject {
    /// A backend that is disabled, by its name.
    Backend(String),
    /// An ingress that is drained, by its name.
    Ingress(String),
}

impl Subject {
    fn name(&self) -> &str {
        let (Self::Backend(name) | Self::Ingress(name)) = self;
        name
    }
}

/// A notice from an operator.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Notice {
    /// The backend or ingress that the notice is about.
    pub subject: Subject,
    /// Whether the notice is active; otherwise it has ended.
    pub active: bool,
    /// When the notice was issued, in Unix milliseconds; always later than all notices that its issuer knew.
    /// 0 if unknown.
    pub issued_at: u64,
    /// The number of the ingress where the notice was issued.
    pub origin: u16,
}

impl Notice {
    /// Returns whether this notice replaces another one of the same subject: the later one wins, then the
    /// higher origin, then the ended one.
    fn overrides(&self, other: &Self) -> bool {
        (self.issued_at, self.origin, !self.active) > (other.issued_at, other.origin, !other.active)
    }

    /// Returns an upper bound of the notice's length in a datagram, in bytes.
    pub(super) fn encoded_len(&self) -> usize {
        self.subject.name().len() + NOTICE_OVERHEAD
    }

    fn is_valid(&self) -> bool {
        (1..=MAX_SUBJECT).contains(&self.subject.name().len())
    }
}

/// A notice that starts at this instance and is to be passed to the others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LocalNotice {
    /// An operator's call at this instance: the notice becomes active (true) or ends (false).
    Published(Subject, bool),
    /// The names of the backends that were disabled when this process started.
    Restored(Vec<String>),
}

/// A notice and how often it is still to be sent.
#[derive(Debug, Clone)]
struct Entry {
    notice: Notice,
    /// The number of further datagrams that carry the notice.
    retransmits: u32,
}

/// All notices that an ingress knows.
#[derive(Debug, Clone, Default)]
pub struct Notices {
    entries: BTreeMap<Subject, Entry>,
    /// The latest time of issue of all notices seen, in Unix milliseconds.
    latest_issued_at: u64,
    /// The checksum of all entries; 0 if there are none.
    digest: u32,
    /// The number of notices that were rejected.
    rejected: u64,
}

impl Notices {
    /// Issues a notice at this ingress, whose number is `origin`.
    pub fn publish(&mut self, now: Millis, origin: u16, subject: Subject, active: bool, retransmits: u32) {
        let issued_at = (now as u64).max(self.latest_issued_at.saturating_add(1));
        self.insert(Notice { subject, active, issued_at, origin }, retransmits);
    }

    /// Restores an active notice with an unknown time of issue, unless a notice of the subject is known;
    /// returns whether it did.
    pub fn restore(&mut self, origin: u16, subject: Subject, retransmits: u32) -> bool {
        let notice = Notice { subject, active: true, issued_at: 0, origin };
        let new = !self.entries.contains_key(&notice.subject) && notice.is_valid();
        if new {
            self.insert(notice, retransmits);
        }
        new
    }

    /// Applies a notice from another ingress; returns whether the subject's notice has become active or has
    /// ended by it.
    pub fn apply(&mut self, now: Millis, notice: Notice, retransmits: u32) -> bool {
        if !notice.is_valid() || notice.issued_at > now as u64 + MAX_CLOCK_LEAD {
            self.rejected += 1;
            return false;
        }
        let known = self.entries.get(&notice.subject).map(|entry| &entry.notice);
        if known.is_some_and(|known| !notice.overrides(known)) {
            return false;
        }
        let was_active = known.is_some_and(|known| known.active);
        let changed = was_active != notice.active;
        self.insert(notice, retransmits);
        changed
    }

    fn insert(&mut self, notice: Notice, retransmits: u32) {
        self.latest_issued_at = self.latest_issued_at.max(notice.issued_at);
        self.entries.insert(notice.subject.clone(), Entry { notice, retransmits });
        while self.entries.len() > MAX_NOTICES {
            let oldest = self.iter().min_by_key(|notice| (notice.active, notice.issued_at));
            let Some(subject) = oldest.map(|notice| notice.subject.clone()) else { break };
            self.entries.remove(&subject);
        }
        self.digest = self.checksum();
    }

    /// Returns whether a notice of this subject is active.
    pub fn is_active(&self, subject: &Subject) -> bool {
        self.entries.get(subject).is_some_and(|entry| entry.notice.active)
    }

    /// Iterates over all notices, ordered by subject.
    pub fn iter(&self) -> impl Iterator<Item = &Notice> {
        self.entries.values().map(|entry| &entry.notice)
    }

    /// Returns the number of notices that were rejected.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Returns a checksum of all notices, the same at each ingress with the same notices; 0 if there are
    /// none.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    fn checksum(&self) -> u32 {
        if self.entries.is_empty() {
            return 0;
        }
        let mut hasher = crc32fast::Hasher::new();
        for notice in self.iter() {
            hasher.update(notice.subject.name().as_bytes());
            hasher.update(&notice.issued_at.to_be_bytes());
            let is_ingress = matches!(notice.subject, Subject::Ingress(_));
            hasher.update(&[u8::from(notice.active), u8::from(is_ingress)]);
            hasher.update(&notice.origin.to_be_bytes());
        }
        hasher.finalize().max(1)
    }

    /// Returns the notices for the next datagram, those that were sent least first, and counts them as sent.
    pub fn next_batch(&mut self) -> Vec<Notice> {
        let mut due: Vec<&mut Entry> =
            self.entries.values_mut().filter(|entry| entry.retransmits > 0).collect();
        due.sort_by_key(|entry| Reverse(entry.retransmits));
        let mut budget = DATAGRAM_BUDGET;
        let mut batch = Vec::new();
        for entry in due {
            let Some(remaining) = budget.checked_sub(entry.notice.encoded_len()) else { break };
            budget = remaining;
            entry.retransmits -= 1;
            batch.push(entry.notice.clone());
        }
        batch
    }

    /// Returns all notices in batches that each fit into one datagram.
    pub fn batches(&self) -> Vec<Vec<Notice>> {
        let mut batches = Vec::new();
        let mut batch = Vec::new();
        let mut budget = DATAGRAM_BUDGET;
        for notice in self.iter() {
            if notice.encoded_len() > budget && !batch.is_empty() {
                batches.push(std::mem::take(&mut batch));
                budget = DATAGRAM_BUDGET;
            }
            budget = budget.saturating_sub(notice.encoded_len());
            batch.push(notice.clone());
        }
        if !batch.is_empty() {
            batches.push(batch);
        }
        batches
    }
}

/// The first bytes of a file of notices; the last byte is the version.
const MAGIC: [u8; 4] = *b"whn\x01";

/// Encodes the content of a file of notices.
pub fn encode(notices: &Notices) -> Vec<u8> {
    let all: Vec<&Notice> = notices.iter().collect();
    let body = postcard::to_allocvec(&all).unwrap_or_default();
    [&MAGIC[..], &crc32fast::hash(&body).to_be_bytes(), &body].concat()
}

/// Decodes a file of notices; returns `None` if it is truncated, corrupt or of another version.
pub fn decode(bytes: &[u8]) -> Option<Vec<Notice>> {
    let (checksum, body) = bytes.strip_prefix(&MAGIC)?.split_first_chunk::<4>()?;
    if crc32fast::hash(body) != u32::from_be_bytes(*checksum) {
        return None;
    }
    let (notices, rest) = postcard::take_from_bytes::<Vec<Notice>>(body).ok()?;
    (rest.is_empty() && notices.len() <= MAX_NOTICES).then_some(notices)
}

#[cfg(test)]
mod tests;
