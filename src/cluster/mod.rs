//! Who of the fleet's ingresses lives: SWIM with suspicion that can be contradicted, made to bear slow machines. It
//! has no clock, no socket and no thread of its own; `docs/cluster.md` tells why it is as it is.
//!
//! Sources: Das, Gupta, Motivala, "SWIM: scalable weakly-consistent infection-style process group membership protocol"
//! (2002); Dadgar, Phillips, Currey, "Lifeguard: local health awareness for more accurate failure detection" (2018).

pub mod notices;
pub mod packet;
pub mod wire;

use crate::interface::Millis;
use notices::{Notice, Notices, Subject};
use packet::{Body, Claim, Identity, LONGEST, NAME, Odd, Packet, State};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// The spans that an instance goes by, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// One member is probed in each.
    pub probe: Millis,
    /// Its answer is waited for so long before others are asked to try.
    pub ack: Millis,
    /// A suspect may contradict for so long, where the fleet is small and this instance well.
    pub suspicion: Millis,
    /// An instance that finds that it stood still for longer asks before it trusts what it knew.
    pub pause: Millis,
    /// What became of a member that is dead or left is kept for so long.
    pub forget: Millis,
}

impl Default for Pace {
    fn default() -> Self {
        Self { probe: 250.0, ack: 100.0, suspicion: 800.0, pause: 700.0, forget: 600_000.0 }
    }
}

/// So many others are asked to try where a direct answer does not come.
const HELPERS: usize = 3;
/// The worst health: spans are up to so many times longer, and one.
const WORST: u32 = 6;
/// Each piece of news is sent so many times the logarithm of the fleet's size.
const TELL: f64 = 4.0;
/// In one round of so many what is known is compared with that of a member.
const COMPARE: u32 = 20;
/// What is compared are checksums, of one part of the fleet for so many numbers, and of so many parts at the most.
const PART: u16 = 32;
const PARTS: u16 = 64;
/// In one round of so many a dead member is tried again, so that a cut that heals is noticed.
const REVIVE: u32 = 4;
/// So many relays are kept at once.
const RELAYS: usize = 256;
/// A join is answered at most so often.
const JOIN_GAP: Millis = 200.0;
/// What an operator says goes to so many at once; the others hear it from them.
const AT_ONCE: usize = 16;
/// All notices are told again at most so often, and so many datagrams of them at once.
const SAID_GAP: Millis = 400.0;
const SAID_PARTS: usize = 16;
/// What one has only heard a suspicion of is tried after so many spans of suspicion.
const HEARSAY: f64 = 2.0;
/// After a standstill this many must have answered before the view counts again.
const ANSWERS: usize = 3;

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send this datagram.
    Send(SocketAddr, Vec<u8>),
    /// A member is now so; none before it was known.
    Changed(Identity, Option<State>, State),
    /// Another process has this one's name, or its number.
    Clash(Identity),
    /// This instance stood still for so long.
    Woke(Millis),
    /// An operator's word at another door: it holds from now on, or has ended.
    Ordered(Subject, bool),
}

/// What was dropped.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Datagrams taken in.
    pub heard: u64,
    /// Those dropped as unreadable.
    pub unreadable: u64,
    /// Those dropped as another fleet's.
    pub strangers: u64,
    /// Claims dropped: of a number that is not the fleet's, or of a name or number that is taken.
    pub refused: u64,
    /// Times that this instance had to contradict.
    pub contradicted: u64,
}

/// Where a claim comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum From {
    /// This instance itself.
    Own,
    /// News of another's, which goes on.
    News,
    /// An answer to a question: the others know it.
    Answer,
}

#[derive(Debug, Clone)]
struct Member {
    id: Identity,
    incarnation: u32,
    state: State,
    since: Millis,
    /// When a suspicion ends, and whether it is this instance's own.
    doubt: Option<(Millis, bool)>,
    /// The claim is still to be sent so often.
    tell: u32,
    /// The last probe got no answer by any way; the next one decides.
    missed: bool,
}

#[derive(Debug, Clone)]
struct Probe {
    name: String,
    seq: u32,
    asked: bool,
    answered: bool,
    /// Helpers that tried, too.
    tried: u32,
    /// When helpers are asked.
    help_at: Millis,
}

#[derive(Debug, Clone)]
struct Relay {
    to: SocketAddr,
    seq: u32,
    /// When it is said that there is no answer yet; never twice.
    nack_at: Millis,
    until: Millis,
}

/// What an instance knows of its fleet.
#[derive(Debug, Clone)]
pub struct Cluster {
    me: Identity,
    incarnation: u32,
    fleet: u64,
    /// How many ingresses the fleet may have: numbers are below it.
    size: u16,
    seeds: Vec<SocketAddr>,
    pace: Pace,
    rng: fastrand::Rng,
    members: BTreeMap<String, Member>,
    /// Which of them has a number, among those that live.
    numbers: BTreeMap<u16, String>,
    /// Those that are not simply alive.
    odd: BTreeSet<String>,
    /// Those of whom there is something to tell, the least told first.
    telling: BTreeSet<(Reverse<u32>, String)>,
    order: VecDeque<String>,
    probe: Option<Probe>,
    round_at: Millis,
    rounds: u32,
    seq: u32,
    relays: BTreeMap<u32, Relay>,
    health: u32,
    last: Millis,
    /// Answers still wanted before the view counts, since a start or a standstill.
    wanted: usize,
    joined_at: Millis,
    /// All that somebody knows was told here.
    told_all: bool,
    own_tell: u32,
    left: bool,
    clashed: Option<Identity>,
    notices: Notices,
    said_at: Millis,
    counts: Counts,
}

impl Cluster {
    /// An instance that has just started, in the fleet of this key and of `size` ingresses; it joins by any of the
    /// seeds. `seed` is for random numbers.
    pub fn new(
        me: Identity,
        (fleet, size): (u64, u16),
        seeds: Vec<SocketAddr>,
        pace: Pace,
        seed: u64,
        now: Millis,
    ) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let seeds = seeds.into_iter().filter(|at| *at != me.at).collect();
        let (seq, round_at) = (rng.u32(..), now + rng.f64() * pace.probe);
        Self {
            me,
            incarnation: 0,
            fleet,
            size,
            seeds,
            pace,
            rng,
            members: BTreeMap::new(),
            numbers: BTreeMap::new(),
            odd: BTreeSet::new(),
            telling: BTreeSet::new(),
            order: VecDeque::new(),
            probe: None,
            round_at,
            rounds: 0,
            seq,
            relays: BTreeMap::new(),
            health: 0,
            last: now,
            wanted: 1,
            joined_at: f64::NEG_INFINITY,
            told_all: false,
            own_tell: 0,
            left: false,
            clashed: None,
            notices: Notices::default(),
            said_at: f64::NEG_INFINITY,
            counts: Counts::default(),
        }
    }

    /// When `tick` is due.
    pub fn due(&self) -> Millis {
        let help = self.probe.iter().filter(|p| !p.asked && !p.answered).map(|p| p.help_at);
        let doubts = self.odd().filter_map(|m| m.doubt).map(|(at, _)| at);
        let nacks = self.relays.values().map(|relay| relay.nack_at);
        help.chain(doubts).chain(nacks).fold(self.round_at, f64::min)
    }

    fn odd(&self) -> impl Iterator<Item = &Member> {
        self.odd.iter().filter_map(|name| self.members.get(name))
    }

    /// This instance.
    pub fn me(&self) -> &Identity {
        &self.me
    }

    /// What was sent, heard and dropped.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Each other member that is known, how it is, and since when.
    pub fn members(&self) -> impl Iterator<Item = (&Identity, State, Millis)> {
        self.members.values().map(|m| (&m.id, m.state, m.since))
    }

    /// The newest word of a member of this name that is believed here: its start, and its own count.
    pub fn word(&self, name: &str) -> Option<(u64, u32)> {
        self.members.get(name).map(|m| (m.id.born, m.incarnation))
    }

    /// Which numbers live, this instance's own included; none while it does not know: before it has joined, and after a
    /// standstill until it has asked.
    pub fn living(&self) -> Option<Vec<bool>> {
        if self.wanted > 0 && !self.members.is_empty() {
            return None;
        }
        let mut living = vec![false; usize::from(self.size)];
        let alive = self.members.values().filter(|m| m.state <= State::Suspect).map(|m| m.id.number);
        for number in alive.chain([self.me.number]) {
            living.get_mut(usize::from(number)).into_iter().for_each(|lives| *lives = true);
        }
        Some(living)
    }

    /// Notices a standstill by the gap in its own clock; to be called before anything else is done with `now`.
    pub fn wake(&mut self, now: Millis, acts: &mut Vec<Action>) {
        let (gap, late) = (now - self.last, now - self.due().max(self.last));
        self.last = self.last.max(now);
        if late <= self.pace.pause {
            return;
        }
        // What did not come meanwhile says nothing of others.
        self.probe = None;
        self.relays.clear();
        self.round_at = now;
        self.health = (self.health + 2).min(WORST);
        let more = gap.min(10.0 * self.pace.suspicion).max(self.pace.suspicion);
        self.members.values_mut().filter_map(|m| m.doubt.as_mut()).for_each(|(at, _)| *at = now + more);
        self.wanted = self.members.values().filter(|m| m.state <= State::Suspect).count().min(ANSWERS);
        acts.push(Action::Woke(gap));
        self.ask_some(acts);
    }

    /// Pings some members at once, and asks one for all it knows.
    fn ask_some(&mut self, acts: &mut Vec<Action>) {
        let mut known: Vec<SocketAddr> =
            self.members.values().filter(|m| m.state <= State::Suspect).map(|m| m.id.at).collect();
        self.rng.shuffle(&mut known);
        for (i, at) in known.into_iter().take(2 * ANSWERS).enumerate() {
            let seq = self.next_seq();
            let body = if i == 0 { Body::Join(0) } else { Body::Ping(seq) };
            self.send(at, body, acts);
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Millis, acts: &mut Vec<Action>) {
        self.wake(now, acts);
        if self.left {
            self.round_at = now + self.pace.probe;
            return;
        }
        self.doubts(now, acts);
        self.ask_helpers(now, acts);
        self.nack(now, acts);
        if now >= self.round_at {
            self.end_round(now, acts);
            self.begin_round(now, acts);
        }
    }

    /// Suspicions that have lasted: one's own ends in a death, one that was only heard of in a try of one's own.
    fn doubts(&mut self, now: Millis, acts: &mut Vec<Action>) {
        let over = |m: &Member| m.doubt.is_some_and(|(at, _)| now >= at);
        let due: Vec<String> = self.odd().filter(|m| over(m)).map(|m| m.id.name.clone()).collect();
        for name in due {
            let Some(member) = self.members.get_mut(&name) else { continue };
            if member.doubt.is_some_and(|(_, own)| own) {
                let claim =
                    Claim { of: member.id.clone(), incarnation: member.incarnation, state: State::Dead };
                self.believe(now, claim, From::News, acts);
            } else {
                member.doubt = Some((now + HEARSAY * self.pace.suspicion, false));
                self.order.retain(|n| *n != name);
                self.order.push_front(name);
            }
        }
    }

    fn ask_helpers(&mut self, now: Millis, acts: &mut Vec<Action>) {
        let Some(probe) = self.probe.as_mut().filter(|p| !p.answered && !p.asked && now >= p.help_at) else {
            return;
        };
        probe.asked = true;
        let (name, seq) = (probe.name.clone(), probe.seq);
        let Some(at) = self.members.get(&name).map(|m| m.id.at) else { return };
        let alive = self.members.values().filter(|m| m.state == State::Alive && m.id.name != name);
        let mut helpers: Vec<SocketAddr> = alive.map(|m| m.id.at).collect();
        self.rng.shuffle(&mut helpers);
        for helper in helpers.into_iter().take(HELPERS) {
            self.send(helper, Body::Ask(seq, at), acts);
        }
        self.send(at, Body::Ping(seq), acts);
    }

    /// Says of those that were tried for others, and do not answer, that they were.
    fn nack(&mut self, now: Millis, acts: &mut Vec<Action>) {
        let late = self.relays.values_mut().filter(|relay| relay.nack_at <= now);
        let due: Vec<(SocketAddr, u32)> = late
            .map(|relay| {
                relay.nack_at = f64::INFINITY;
                (relay.to, relay.seq)
            })
            .collect();
        for (to, seq) in due {
            self.send(to, Body::Nack(seq), acts);
        }
    }

    fn end_round(&mut self, now: Millis, acts: &mut Vec<Action>) {
        self.relays.retain(|_, relay| relay.until > now);
        if let Some(probe) = self.probe.take().filter(|p| !p.answered) {
            // That helpers say that they tried shows that this instance hears: the fault is not its own.
            self.health = (self.health + u32::from(probe.tried == 0)).min(WORST);
            if let Some(member) = self.members.get_mut(&probe.name).filter(|m| m.state <= State::Suspect) {
                // Prevents what is lost by chance from being told to all as a suspicion: where helpers are heard it is looked
                // at once more.
                let chance = probe.tried > 0 && member.state == State::Alive;
                if chance && !std::mem::replace(&mut member.missed, true) {
                    self.order.push_front(probe.name);
                } else {
                    let (of, incarnation) = (member.id.clone(), member.incarnation);
                    self.believe(now, Claim { of, incarnation, state: State::Suspect }, From::Own, acts);
                }
            }
        }
        // The suspect is told at once, again and again, whatever others' news brings.
        let own = |m: &&Member| m.doubt.is_some_and(|(_, own)| own);
        let told: Vec<SocketAddr> = self.odd().filter(own).map(|m| m.id.at).collect();
        for at in told {
            let seq = self.next_seq();
            self.send(at, Body::Ping(seq), acts);
        }
        let (forget, size, before) = (self.pace.forget, usize::from(self.size), self.members.len());
        self.members.retain(|_, m| m.state <= State::Suspect || now - m.since < forget);
        while self.members.len() > 2 * size {
            // Only names that came and went in one span of forgetting: the oldest of them goes first.
            let gone = self.members.values().filter(|m| m.state > State::Suspect);
            let oldest = gone.min_by(|a, b| a.since.total_cmp(&b.since)).map(|m| m.id.name.clone());
            let Some(oldest) = oldest else { break };
            self.members.remove(&oldest);
        }
        if self.members.len() < before {
            let members = &self.members;
            self.odd.retain(|name| members.contains_key(name));
            self.telling.retain(|(_, name)| members.contains_key(name));
        }
    }

    fn begin_round(&mut self, now: Millis, acts: &mut Vec<Action>) {
        let slower = f64::from(1 + self.health);
        self.round_at = now + self.pace.probe * slower.min(3.0);
        self.rounds = self.rounds.wrapping_add(1);
        let alive = self.members.values().any(|m| m.state <= State::Suspect);
        if !alive || !self.told_all || self.wanted > 0 && self.rounds % 4 == 1 {
            // Nobody is known, or nobody has told all: by any of the seeds.
            if let Some(at) = self.rng.choice(&self.seeds).copied() {
                self.send(at, Body::Join(0), acts);
            }
        } else if self.rounds.is_multiple_of(COMPARE) {
            let alive = self.members.values().filter(|m| m.state == State::Alive);
            let all: Vec<SocketAddr> = alive.map(|m| m.id.at).collect();
            if let Some(at) = self.rng.choice(&all).copied() {
                let parts = self.parts();
                self.send(at, Body::Compare(parts), acts);
            }
        }
        if self.rounds.is_multiple_of(REVIVE) {
            let dead: Vec<SocketAddr> =
                self.odd().filter(|m| m.state == State::Dead).map(|m| m.id.at).collect();
            if let Some(at) = self.rng.choice(&dead).copied() {
                let seq = self.next_seq();
                self.send(at, Body::Ping(seq), acts);
            }
        }
        let lives = |name: &String| self.members.get(name).is_some_and(|m| m.state <= State::Suspect);
        let mut next = None;
        while let Some(name) = self.order.pop_front() {
            if lives(&name) {
                next = Some(name);
                break;
            }
        }
        if next.is_none() {
            let mut all: Vec<String> = self.members.keys().filter(|name| lives(name)).cloned().collect();
            self.rng.shuffle(&mut all);
            self.order = all.into();
            next = self.order.pop_front();
        }
        let Some(name) = next else { return };
        let Some(at) = self.members.get(&name).map(|m| m.id.at) else { return };
        let (seq, help_at) = (self.next_seq(), now + self.pace.ack * slower.min(3.0));
        self.probe = Some(Probe { name, seq, asked: false, answered: false, tried: 0, help_at });
        self.send(at, Body::Ping(seq), acts);
    }

    /// What is known, in short: who lives, of which start. Suspicions, which come and go, are left out.
    fn digest(&self) -> u64 {
        let mut lives: Vec<(u16, u64)> = self
            .members
            .values()
            .filter(|m| m.state <= State::Suspect)
            .map(|m| (m.id.number, m.id.born))
            .chain([(self.me.number, self.me.born)])
            .collect();
        lives.sort_unstable();
        let mut hasher = crc32fast::Hasher::new();
        for (number, born) in lives {
            hasher.update(&number.to_be_bytes());
            hasher.update(&born.to_be_bytes());
        }
        u64::from(hasher.finalize()) + 1
    }

    /// The same by parts of the fleet: numbers that have a rest in common.
    fn parts(&self) -> Vec<u32> {
        let mut parts = vec![0; usize::from((self.size / PART).clamp(1, PARTS))];
        let me = (self.me.number, self.me.born);
        let others = self.members.values().filter(|m| m.state <= State::Suspect);
        for (number, born) in others.map(|m| (m.id.number, m.id.born)).chain([me]) {
            let mut hasher = crc32fast::Hasher::new();
            hasher.update(&number.to_be_bytes());
            hasher.update(&born.to_be_bytes());
            // In whatever order they come.
            let at = usize::from(number) % parts.len();
            parts[at] ^= hasher.finalize();
        }
        parts
    }

    fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    /// How often a claim is sent on.
    fn tells(&self) -> u32 {
        (TELL * ((self.members.len() + 2) as f64).log2()).ceil() as u32
    }

    fn suspicion(&self) -> Millis {
        let large = ((self.members.len() + 1) as f64 / 10.0).log10().max(0.0);
        self.pace.suspicion * (1.0 + large / 2.0) * (1.0 + f64::from(self.health) / 2.0)
    }

    /// Sends a packet with as many claims as fit: of the receiver, if it is not alive here, then the least told.
    fn send(&mut self, to: SocketAddr, body: Body, acts: &mut Vec<Action>) {
        let mut packet = self.packet(body);
        packet.notices = self.notices.news();
        let claim = |m: &Member| Claim { of: m.id.clone(), incarnation: m.incarnation, state: m.state };
        let told: usize = packet.notices.iter().map(Notice::takes).sum();
        let mut room = LONGEST - 2 * NAME - 96 - told;
        let mut add = |packet: &mut Packet, claim: Claim| {
            let takes = claim.of.name.len() + 48;
            let fits = takes <= room;
            if fits {
                room -= takes;
                packet.claims.push(claim);
            }
            fits
        };
        if self.own_tell > 0 {
            self.own_tell -= 1;
            let state = if self.left { State::Left } else { State::Alive };
            add(&mut packet, Claim { of: self.me.clone(), incarnation: self.incarnation, state });
        }
        if let Some(told) = self.odd().find(|m| m.id.at == to) {
            add(&mut packet, claim(told));
        }
        let news: Vec<String> =
            self.telling.iter().take(LONGEST / 48).map(|(_, name)| name.clone()).collect();
        for name in news {
            let Some(member) = self.members.get_mut(&name) else { continue };
            if !add(&mut packet, claim(member)) {
                break;
            }
            let tell = member.tell.saturating_sub(1);
            self.retell(&name, tell);
        }
        self.push(to, &packet, acts);
    }

    fn packet(&self, body: Body) -> Packet {
        let (from, digest) = (self.me.clone(), self.notices.digest());
        let (claims, notices) = (Vec::new(), Vec::new());
        Packet { from, incarnation: self.incarnation, body, claims, notices, digest }
    }

    fn push(&mut self, to: SocketAddr, packet: &Packet, acts: &mut Vec<Action>) {
        if let Some(bytes) = packet.write(self.fleet) {
            self.counts.sent += 1;
            acts.push(Action::Send(to, bytes));
        }
    }

    /// Tells all that is known of those that are wanted, in as many datagrams as it takes.
    fn tell_all(&mut self, to: SocketAddr, wanted: impl Fn(u16) -> bool, acts: &mut Vec<Action>) {
        let all: Vec<Claim> = self
            .members
            .values()
            .filter(|m| wanted(m.id.number))
            .map(|m| Claim { of: m.id.clone(), incarnation: m.incarnation, state: m.state })
            .collect();
        if all.is_empty() {
            self.send(to, Body::News, acts);
        }
        for part in all.chunks((LONGEST - 2 * NAME - 96) / (NAME + 48)) {
            let mut packet = self.packet(Body::News);
            packet.claims = part.to_vec();
            self.push(to, &packet, acts);
        }
    }

    /// Takes in a datagram that came from an address.
    pub fn heard(&mut self, now: Millis, at: SocketAddr, bytes: &[u8], acts: &mut Vec<Action>) {
        self.wake(now, acts);
        let packet = match Packet::read(bytes, self.fleet) {
            Ok(packet) => packet,
            Err(Odd::Unreadable) => return self.counts.unreadable += 1,
            Err(Odd::Stranger) => return self.counts.strangers += 1,
        };
        let from = packet.from.clone();
        if from.name == self.me.name || from.number == self.me.number {
            // The process before this one, or one yet to come, at the same address is no other.
            if from.at != self.me.at && self.clashed.as_ref() != Some(&from) {
                self.clashed = Some(from.clone());
                acts.push(Action::Clash(from));
            }
            return self.counts.refused += 1;
        }
        self.counts.heard += 1;
        // Only who sends from its own address is believed to be there.
        if from.at == at && from.number < self.size {
            let said = Claim { of: from.clone(), incarnation: packet.incarnation, state: State::Alive };
            self.believe(now, said, From::News, acts);
        }
        let from = if packet.body == Body::News { From::Answer } else { From::News };
        for claim in packet.claims {
            self.believe(now, claim, from, acts);
        }
        let tells = self.tells();
        for word in packet.notices {
            let (of, holds) = (word.of.clone(), word.holds);
            if self.notices.heard(now, word, tells) {
                acts.push(Action::Ordered(of, holds));
            }
        }
        if self.left {
            return;
        }
        if packet.digest != self.notices.digest() && now - self.said_at >= SAID_GAP {
            // Who knows other words than this one is told all, and answers in the same way.
            self.said_at = now;
            let mut parts = self.notices.parts();
            let first = self.rng.usize(..=parts.len().saturating_sub(1));
            parts.rotate_left(first);
            if parts.is_empty() {
                parts.push(Vec::new());
            }
            for part in parts.into_iter().take(SAID_PARTS) {
                let mut packet = self.packet(Body::Said);
                packet.notices = part;
                self.push(at, &packet, acts);
            }
        }
        match packet.body {
            Body::Ping(seq) => self.send(at, Body::Ack(seq), acts),
            Body::Ask(seq, target) => {
                let known = self.members.values().any(|m| m.id.at == target);
                if known && self.relays.len() < RELAYS {
                    let mine = self.next_seq();
                    let (nack_at, until) = (now + self.pace.ack * 0.9, now + 3.0 * self.pace.probe);
                    self.relays.insert(mine, Relay { to: at, seq, nack_at, until });
                    self.send(target, Body::Ping(mine), acts);
                }
            }
            Body::Ack(seq) => {
                if let Some(relay) = self.relays.remove(&seq) {
                    self.send(relay.to, Body::Ack(relay.seq), acts);
                }
                if let Some(probe) = self.probe.as_mut().filter(|p| p.seq == seq && !p.answered) {
                    probe.answered = true;
                    self.members.get_mut(&probe.name).into_iter().for_each(|m| m.missed = false);
                    self.health = self.health.saturating_sub(1);
                }
                self.wanted = self.wanted.saturating_sub(1);
            }
            Body::Nack(seq) => {
                if let Some(probe) = self.probe.as_mut().filter(|p| p.seq == seq) {
                    probe.tried += 1;
                }
            }
            Body::Join(digest) => {
                self.send(at, Body::Ack(0), acts);
                if digest != self.digest() && now - self.joined_at >= JOIN_GAP {
                    self.joined_at = now;
                    self.tell_all(at, |_| true, acts);
                }
            }
            Body::Compare(parts) => {
                self.send(at, Body::Ack(0), acts);
                let mine = self.parts();
                if parts != mine && now - self.joined_at >= JOIN_GAP {
                    self.joined_at = now;
                    let differs = |number: u16| {
                        let at = usize::from(number) % mine.len();
                        parts.len() != mine.len() || parts[at] != mine[at]
                    };
                    self.tell_all(at, differs, acts);
                }
            }
            Body::News => self.told_all = true,
            Body::Said => {}
        }
    }

    /// Takes in what is said of a member.
    fn believe(&mut self, now: Millis, claim: Claim, from: From, acts: &mut Vec<Action>) {
        let own = from == From::Own;
        if claim.of.name == self.me.name {
            if claim.of.at == self.me.at && claim.of.born > self.me.born && !self.left {
                // The process before this one had a clock that was ahead: this one is the later start all the same.
                self.me.born = claim.of.born.saturating_add(1);
                self.own_tell = self.tells();
                return;
            }
            let mine = claim.of.born == self.me.born && claim.of.at == self.me.at;
            if mine && claim.state != State::Alive && claim.incarnation >= self.incarnation && !self.left {
                self.incarnation = claim.incarnation.saturating_add(1);
                self.own_tell = self.tells();
                self.health = (self.health + 1).min(WORST);
                self.counts.contradicted += 1;
            }
            return;
        }
        let span = self.suspicion();
        // What was an answer the others know, unless it is grave.
        let tell = if from == From::Answer && claim.state == State::Alive { 0 } else { self.tells() };
        let taken = self.numbers.get(&claim.of.number).is_some_and(|name| *name != claim.of.name);
        if claim.of.number >= self.size
            || claim.of.number == self.me.number
            || (claim.state <= State::Suspect && taken)
        {
            return self.counts.refused += 1;
        }
        let doubts = if own { (now + span, true) } else { (now + HEARSAY * span, false) };
        let doubt = (claim.state == State::Suspect).then_some(doubts);
        match self.members.get_mut(&claim.of.name) {
            None => {
                // A death of somebody never heard of is no news to anybody here.
                if claim.state > State::Suspect {
                    return;
                }
                let (id, state) = (claim.of, claim.state);
                acts.push(Action::Changed(id.clone(), None, state));
                let at = self.rng.usize(..=self.order.len());
                self.order.insert(at, id.name.clone());
                let incarnation = claim.incarnation;
                let member = Member { id, incarnation, state, since: now, doubt, tell: 0, missed: false };
                let name = member.id.name.clone();
                self.members.insert(name.clone(), member);
                self.index(&name);
                self.retell(&name, tell);
            }
            Some(member) => {
                let moved = member.id.at != claim.of.at;
                if moved && member.state <= State::Suspect && claim.of.born != member.id.born {
                    // Two at once under one name: the one that lives here keeps it.
                    return self.counts.refused += 1;
                }
                if !claim.overrides(member.id.born, member.incarnation, member.state) {
                    if own && member.state == State::Suspect && claim.state == State::Suspect {
                        member.doubt =
                            Some(member.doubt.filter(|(_, own)| *own).unwrap_or((now + span, true)));
                    }
                    return;
                }
                let before = std::mem::replace(&mut member.state, claim.state);
                if before != claim.state {
                    member.since = now;
                    acts.push(Action::Changed(claim.of.clone(), Some(before), claim.state));
                }
                let (name, number) = (claim.of.name.clone(), member.id.number);
                (member.id, member.incarnation) = (claim.of, claim.incarnation);
                member.doubt = doubt;
                if self.numbers.get(&number) == Some(&name) {
                    self.numbers.remove(&number);
                }
                self.index(&name);
                self.retell(&name, tell);
            }
        }
    }

    /// Has the sets that are kept beside the members follow one of them.
    fn index(&mut self, name: &str) {
        let Some(member) = self.members.get(name) else { return };
        if member.state <= State::Suspect {
            self.numbers.insert(member.id.number, name.to_owned());
        }
        if member.state == State::Alive {
            self.odd.remove(name);
        } else {
            self.odd.insert(name.to_owned());
        }
    }

    /// What is known of a member is to be sent on so often from now on.
    fn retell(&mut self, name: &str, tell: u32) {
        let Some(member) = self.members.get_mut(name) else { return };
        let old = (Reverse(std::mem::replace(&mut member.tell, tell)), name.to_owned());
        self.telling.remove(&old);
        if tell > 0 {
            self.telling.insert((Reverse(tell), old.1));
        }
    }

    /// What operators have said.
    pub fn notices(&self) -> &Notices {
        &self.notices
    }

    /// An operator says something at this instance's door: some are told at once, who tell the others.
    pub fn say(&mut self, now: Millis, of: Subject, holds: bool, acts: &mut Vec<Action>) {
        let tells = self.tells();
        self.notices.say((now, self.me.number), of, holds, tells);
        let alive = self.members.values().filter(|m| m.state <= State::Suspect);
        let mut all: Vec<SocketAddr> = alive.map(|m| m.id.at).collect();
        self.rng.shuffle(&mut all);
        for at in all.into_iter().take(AT_ONCE) {
            self.send(at, Body::Said, acts);
        }
    }

    /// Words of a time before: those of a file, and real servers that are out of which nobody knows since when.
    pub fn recall(&mut self, now: Millis, words: Vec<Notice>, out: Vec<String>) {
        let tells = self.tells();
        for word in words {
            self.notices.heard(now, word, tells);
        }
        for name in out {
            self.notices.recall(self.me.number, Subject::Server(name), tells);
        }
    }

    /// Says to some that this instance goes; it answers nothing after.
    pub fn leave(&mut self, acts: &mut Vec<Action>) {
        self.left = true;
        let mut all: Vec<SocketAddr> =
            self.members.values().filter(|m| m.state <= State::Suspect).map(|m| m.id.at).collect();
        self.rng.shuffle(&mut all);
        for at in all.into_iter().take(8) {
            self.own_tell = 1;
            self.send(at, Body::News, acts);
        }
    }
}
