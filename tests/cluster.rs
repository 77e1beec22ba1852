//! Membership among ingresses in simulated time: kills, pauses, loss, cuts and restarts, by fixed seeds.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use weldhub::cluster::notices::Subject;
use weldhub::cluster::packet::{Body, Claim, Identity, Packet, State, fleet_key};
use weldhub::cluster::{Action, Cluster, FleetId, Timing};

const SIZE: u16 = 200;

fn at(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 1, 1], 7000 + n as u16))
}

fn identity(n: usize, born: u64) -> Identity {
    Identity { name: format!("n{n}"), number: n as u16, address: at(n), started_at: born }
}

struct Node {
    cluster: Cluster,
    runs: bool,
    /// It stands still until then; what comes waits.
    paused: f64,
    /// When it is to be ticked.
    due: f64,
}

/// A datagram on its way: when it is there, a number, from, to, bytes.
type Under = (u64, u64, usize, usize, Vec<u8>);
/// What happened, when, where: node, member, state.
type Seen = (f64, usize, usize, State);

struct Net {
    now: f64,
    nodes: Vec<Node>,
    /// Datagrams on their way.
    way: BinaryHeap<Reverse<Under>>,
    sent: u64,
    bytes: u64,
    loss: f64,
    delay: f64,
    rng: fastrand::Rng,
    /// Whether this one's datagrams reach that one.
    open: Box<dyn Fn(f64, usize, usize) -> bool>,
    seen: Vec<Seen>,
    woke: usize,
    clashes: usize,
    /// What operators said elsewhere: when it was heard, by whom.
    ordered: Vec<(f64, usize, Subject, bool)>,
}

impl Net {
    /// So many instances that start within a second, in an order of the seed's; each knows the first and another.
    fn new(count: usize, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let node = |n: usize, rng: &mut fastrand::Rng| Node {
            cluster: start(n, 1000, count, rng.u64(..), 0.0),
            runs: true,
            paused: rng.f64() * 1000.0,
            due: 0.0,
        };
        let nodes = (0..count).map(|n| node(n, &mut rng)).collect();
        let (way, open) = (BinaryHeap::new(), Box::new(|_, _, _| true));
        let (seen, woke, clashes) = (Vec::new(), 0, 0);
        Self {
            now: 0.0,
            nodes,
            way,
            sent: 0,
            bytes: 0,
            loss: 0.0,
            delay: 5.0,
            rng,
            open,
            seen,
            woke,
            clashes,
            ordered: Vec::new(),
        }
    }

    fn act(&mut self, n: usize, acts: Vec<Action>) {
        for act in acts {
            match act {
                Action::Send(to, bytes) => {
                    let to = usize::from(to.port() - 7000);
                    (self.sent, self.bytes) = (self.sent + 1, self.bytes + bytes.len() as u64);
                    if to < self.nodes.len() && self.rng.f64() >= self.loss && (self.open)(self.now, n, to) {
                        let due = self.now + self.delay * (0.2 + 1.6 * self.rng.f64());
                        self.way.push(Reverse(((due * 1000.0) as u64, self.sent, n, to, bytes)));
                    }
                }
                Action::StateChanged(id, _, state) => {
                    self.seen.push((self.now, n, usize::from(id.number), state));
                }
                Action::Conflict(_) => self.clashes += 1,
                Action::Stalled(_) => self.woke += 1,
                Action::NoticeChanged(of, holds) => self.ordered.push((self.now, n, of, holds)),
            }
        }
    }

    fn run(&mut self, until: f64) {
        while self.now < until {
            self.now = (self.now + 1.0).min(until);
            while self.way.peek().is_some_and(|Reverse((due, ..))| *due as f64 <= self.now * 1000.0) {
                let Some(Reverse((due, k, from, to, bytes))) = self.way.pop() else { break };
                if self.nodes[to].paused > self.now {
                    // It waits in the socket, of which so much is kept.
                    if self.way.len() < 100_000 {
                        let later = (self.nodes[to].paused * 1000.0) as u64 + 1;
                        self.way.push(Reverse((later.max(due + 1), k, from, to, bytes)));
                    }
                    continue;
                }
                if self.nodes[to].runs {
                    let mut acts = Vec::new();
                    self.nodes[to].cluster.receive(self.now, at(from), &bytes, &mut acts);
                    self.nodes[to].due = self.nodes[to].cluster.due();
                    self.act(to, acts);
                }
            }
            for n in 0..self.nodes.len() {
                let node = &mut self.nodes[n];
                if node.runs && node.paused <= self.now && node.due <= self.now {
                    let mut acts = Vec::new();
                    node.cluster.tick(self.now, &mut acts);
                    node.due = node.cluster.due();
                    self.act(n, acts);
                }
            }
        }
    }

    fn say(&mut self, n: usize, of: &Subject, holds: bool) {
        let mut acts = Vec::new();
        self.nodes[n].cluster.publish(self.now, of.clone(), holds, &mut acts);
        self.act(n, acts);
    }

    /// Who goes by a word of this subject.
    fn held(&self, of: &Subject) -> Vec<usize> {
        (0..self.nodes.len()).filter(|n| self.nodes[*n].cluster.notices().is_active(of)).collect()
    }

    fn living(&self, n: usize) -> Option<Vec<usize>> {
        let living = self.nodes[n].cluster.live_ingresses()?;
        Some((0..living.len()).filter(|i| living[*i]).collect())
    }

    /// All that run have this one view.
    fn agree(&self, on: &[usize]) {
        for n in (0..self.nodes.len()).filter(|n| self.nodes[*n].runs) {
            assert_eq!(self.living(n).as_deref(), Some(on), "seen by {n} at {}", self.now);
        }
    }

    /// How many that run were taken for dead since then.
    fn false_deaths(&self, since: f64) -> usize {
        let wrong =
            |(when, _, of, state): &&Seen| *when >= since && *state == State::Dead && self.nodes[*of].runs;
        self.seen.iter().filter(wrong).count()
    }
}

fn packet(from: Identity, claims: Vec<Claim>) -> Packet {
    Packet { from, incarnation: 0, body: Body::View, claims, notices: Vec::new(), notices_digest: 0 }
}

fn start(n: usize, born: u64, count: usize, seed: u64, now: f64) -> Cluster {
    let seeds = vec![at(0), at((n + 1) % count)];
    Cluster::new(
        identity(n, born),
        FleetId { key: fleet_key("test"), size: SIZE },
        seeds,
        Timing::default(),
        seed,
        now,
    )
}

fn all(count: usize) -> Vec<usize> {
    (0..count).collect()
}

#[test]
fn whoever_starts_in_whatever_order_finds_all() {
    for seed in 1..=5 {
        let mut net = Net::new(40, seed);
        net.run(6000.0);
        net.agree(&all(40));
        assert_eq!(net.false_deaths(0.0), 0);
    }
}

#[test]
fn half_killed_at_once_are_known_by_all_in_time_at_every_loss() {
    for (loss, within) in [(0.0, 6000.0), (0.05, 7000.0), (0.2, 9000.0), (0.4, 15_000.0)] {
        let mut net = Net::new(40, 7);
        net.run(6000.0);
        net.loss = loss;
        net.nodes.iter_mut().skip(20).for_each(|node| node.runs = false);
        net.run(6000.0 + within);
        net.agree(&all(20));
        if loss <= 0.2 {
            assert_eq!(net.false_deaths(0.0), 0, "at a loss of {loss}");
        }
    }
}

#[test]
fn one_that_is_killed_is_known_to_all_within_three_seconds_at_a_fifth_lost() {
    let mut worst = 0.0f64;
    for seed in 1..=10 {
        let mut net = Net::new(40, seed);
        net.run(6000.0);
        net.loss = 0.2;
        net.run(9000.0);
        net.nodes[17].runs = false;
        net.run(16_000.0);
        let dead = |s: &&Seen| s.2 == 17 && s.3 == State::Dead && s.0 > 9000.0;
        let last = net.seen.iter().filter(dead).map(|s| s.0).fold(0.0, f64::max);
        assert_eq!(net.living(3).map(|l| l.len()), Some(39));
        worst = worst.max(last - 9000.0);
        assert_eq!(net.false_deaths(0.0), 0);
    }
    assert!(worst < 4500.0, "{worst} ms");
}

/// `cargo test --release --test cluster -- --ignored --nocapture`
#[test]
#[ignore = "a measurement"]
fn detection_and_traffic() {
    for loss in [0.0, 0.05, 0.2, 0.4] {
        let mut known = Vec::new();
        let mut wrong = 0;
        for seed in 1..=20 {
            let mut net = Net::new(40, seed);
            net.run(6000.0);
            net.loss = loss;
            net.run(9000.0);
            net.nodes[17].runs = false;
            net.run(24_000.0);
            let dead = |s: &&Seen| s.2 == 17 && s.3 == State::Dead && s.0 > 9000.0;
            known.push(net.seen.iter().filter(dead).map(|s| s.0 - 9000.0).fold(0.0, f64::max));
            wrong += net.false_deaths(0.0);
        }
        known.sort_by(f64::total_cmp);
        println!(
            "loss {loss}: known to all after {:.0} ms (median), {:.0} ms (worst of 20); {wrong} false deaths in 300 s",
            known[10], known[19]
        );
    }
    for count in [5, 40, 190] {
        let mut net = Net::new(count, 2);
        net.run(60_000.0);
        let before = (net.bytes, net.sent);
        net.run(70_000.0);
        let each = |n: u64| n as f64 / 10.0 / count as f64;
        println!(
            "{count}: {:.0} bytes and {:.1} datagrams a second sent by each",
            each(net.bytes - before.0),
            each(net.sent - before.1)
        );
    }
}

#[test]
fn ten_minutes_of_a_fifth_lost_and_short_pauses_kill_nobody() {
    let mut net = Net::new(20, 11);
    net.run(6000.0);
    (net.loss, net.delay) = (0.2, 10.0);
    for step in 0..600 {
        if step % 10 == 0 {
            let n = net.rng.usize(..20);
            net.nodes[n].paused = net.now + 600.0;
        }
        net.run(7000.0 + 1000.0 * f64::from(step));
    }
    assert_eq!(net.false_deaths(0.0), 0);
    net.agree(&all(20));
}

#[test]
fn one_that_stood_still_asks_before_it_trusts_its_view_and_comes_back() {
    for pause in [500.0, 2000.0, 10_000.0, 60_000.0] {
        let mut net = Net::new(10, 3);
        net.run(5000.0);
        net.nodes[4].paused = 5000.0 + pause;
        // Meanwhile another goes for good.
        net.nodes[7].runs = false;
        net.run(5000.0 + pause - 2.0);
        let before = net.woke;
        net.run(5000.0 + pause + 2.0);
        if pause > 1500.0 {
            assert_eq!(net.woke, before + 1, "after {pause}");
            assert_eq!(net.living(4), None, "before anybody has answered");
        }
        net.run(5000.0 + pause + 8000.0);
        net.agree(&[0, 1, 2, 3, 4, 5, 6, 8, 9]);
    }
}

#[test]
fn a_restart_at_the_same_address_is_a_newer_one_and_the_old_word_of_its_death_is_none() {
    let mut net = Net::new(8, 5);
    net.run(5000.0);
    net.nodes[2].runs = false;
    net.run(10_000.0);
    net.agree(&[0, 1, 3, 4, 5, 6, 7]);
    let cluster = start(2, 2000, 8, 9, net.now);
    net.nodes[2] = Node { cluster, runs: true, paused: 0.0, due: 0.0 };
    net.run(15_000.0);
    net.agree(&all(8));
    // A restart too quick to be noticed is no death either.
    let seen = net.seen.len();
    let cluster = start(3, 3000, 8, 10, net.now);
    net.nodes[3] = Node { cluster, runs: true, paused: 0.0, due: 0.0 };
    net.run(20_000.0);
    net.agree(&all(8));
    assert!(
        net.seen[seen..].iter().all(|s| s.1 == 3),
        "nothing changed for the others: {:?}",
        &net.seen[seen..]
    );
    // Its old word, replayed, changes nothing.
    let old = Claim { member: identity(2, 1000), incarnation: 99, state: State::Dead };
    let forged = packet(identity(5, 1000), vec![old]);
    let bytes = forged.encode(fleet_key("test")).unwrap();
    net.nodes[0].cluster.receive(net.now, at(5), &bytes, &mut Vec::new());
    net.agree(&all(8));
}

#[test]
fn one_that_leaves_is_gone_at_once_and_is_no_death() {
    let mut net = Net::new(12, 6);
    net.run(5000.0);
    let mut acts = Vec::new();
    net.nodes[9].cluster.leave(&mut acts);
    net.act(9, acts);
    net.nodes[9].runs = false;
    net.run(6500.0);
    net.agree(&[0, 1, 2, 3, 4, 5, 6, 7, 8, 10, 11]);
    assert!(net.seen.iter().all(|s| s.3 != State::Dead));
}

#[test]
fn cuts_heal_into_one_view_and_one_sided_ones_make_nobody_flap() {
    for (name, from, cut) in [("halves", 8usize, 16usize), ("one", 15, 16)] {
        let mut net = Net::new(cut, 4);
        net.run(5000.0);
        net.open = Box::new(move |now, a, b| !(5000.0..25_000.0).contains(&now) || (a < from) == (b < from));
        net.run(24_000.0);
        assert_eq!(net.living(0), Some((0..from).collect()), "{name}");
        assert_eq!(net.living(15), Some((from..16).collect()), "{name}");
        net.run(40_000.0);
        net.agree(&all(16));
    }
    // 3 hears 9, and 9 does not hear 3.
    let mut net = Net::new(16, 8);
    net.run(5000.0);
    net.open = Box::new(|_, a, b| (a, b) != (3, 9));
    net.run(65_000.0);
    assert_eq!(net.false_deaths(0.0), 0);
    net.agree(&all(16));
}

#[test]
fn what_is_said_at_one_door_reaches_all_in_time_and_ends_once_whoever_was_away() {
    let (out, drained) = (Subject::Backend("s-1".into()), Subject::Ingress("n3".into()));
    for (loss, within) in [(0.0, 1500.0), (0.2, 4000.0)] {
        let mut net = Net::new(40, 21);
        net.run(6000.0);
        net.loss = loss;
        net.say(17, &out, true);
        net.say(5, &drained, true);
        net.run(6000.0 + within);
        assert_eq!((net.held(&out), net.held(&drained)), (all(40), all(40)), "at a loss of {loss}");
        // One is cut off and one is away while it ends, and come back with the old word.
        net.open = Box::new(move |now, a, b| now > 20_000.0 || (a == 9) == (b == 9));
        let old: Vec<_> = net.nodes[12].cluster.notices().iter().cloned().collect();
        net.nodes[12].runs = false;
        net.say(30, &out, false);
        net.run(20_000.0);
        assert_eq!(net.held(&out), [9, 12]);
        let mut cluster = start(12, 9000, 40, 5, net.now);
        cluster.restore(net.now, old, vec!["s-1".into()]);
        net.nodes[12] = Node { cluster, runs: true, paused: 0.0, due: 0.0 };
        net.run(35_000.0);
        assert_eq!((net.held(&out), net.held(&drained)), (Vec::new(), all(40)));
        // Each has heard the one and the end of it once: nobody brings it back.
        for n in 0..40 {
            let heard = net.ordered.iter().filter(|(_, by, of, _)| (*by, of) == (n, &out)).count();
            assert!(heard <= 2, "{n} heard of it {heard} times");
        }
        // One that starts with nothing is told what holds.
        net.nodes[3].runs = false;
        net.run(40_000.0);
        net.nodes[3] = Node { cluster: start(3, 12_000, 40, 6, net.now), runs: true, paused: 0.0, due: 0.0 };
        net.run(46_000.0);
        assert!(net.nodes[3].cluster.notices().is_active(&drained) && net.held(&out).is_empty());
    }
}

#[test]
fn a_thousand_words_reach_one_that_starts_in_bounded_bursts() {
    let mut net = Net::new(5, 22);
    net.run(4000.0);
    for n in 0..1000 {
        net.say(1, &Subject::Backend(format!("server-{n}")), true);
    }
    net.run(30_000.0);
    let digest = net.nodes[1].cluster.notices().digest();
    assert!(net.nodes.iter().all(|node| node.cluster.notices().digest() == digest));
    let before = net.bytes;
    net.run(40_000.0);
    assert!((net.bytes - before) / 10 / 5 < 2000, "it is quiet once all know all");
}

#[test]
fn a_restart_whose_clock_was_set_back_is_the_later_start_all_the_same() {
    let mut net = Net::new(6, 23);
    net.run(5000.0);
    net.nodes[2].runs = false;
    net.run(10_000.0);
    net.agree(&[0, 1, 3, 4, 5]);
    net.nodes[2] = Node { cluster: start(2, 10, 6, 9, net.now), runs: true, paused: 0.0, due: 0.0 };
    net.run(20_000.0);
    net.agree(&all(6));
}

#[test]
fn two_fleets_strangers_and_made_up_members_do_no_harm() {
    let mut net = Net::new(6, 12);
    net.run(5000.0);
    let mut acts = Vec::new();
    let node = &mut net.nodes[0].cluster;
    let before = node.counts();
    let other = packet(identity(1, 5), Vec::new()).encode(fleet_key("another")).unwrap();
    node.receive(5000.0, at(1), &other, &mut acts);
    node.receive(5000.0, at(1), b"garbage", &mut acts);
    for n in 0..10_000u32 {
        let of =
            Identity { name: format!("m{n}"), number: (n % 60_000) as u16, address: at(1), started_at: 1 };
        let claim = Claim { member: of, incarnation: n, state: State::Alive };
        let bytes = packet(identity(1, 1000), vec![claim]).encode(fleet_key("test")).unwrap();
        node.receive(5000.0, at(1), &bytes, &mut acts);
    }
    let counts = node.counts();
    assert_eq!((counts.foreign - before.foreign, counts.malformed - before.malformed), (1, 1));
    assert!(node.members().count() <= usize::from(SIZE), "{}", node.members().count());
    assert!(counts.rejected >= 9_000);
    // A second process with a name that is taken is said, and changes nothing.
    let mut taken = identity(0, 9999);
    taken.address = at(50);
    let bytes = packet(taken, Vec::new()).encode(fleet_key("test")).unwrap();
    acts.clear();
    net.nodes[0].cluster.receive(5000.0, at(50), &bytes, &mut acts);
    assert!(matches!(&acts[..], [Action::Conflict(id)] if id.address == at(50)), "{acts:?}");
    net.nodes[1].cluster.receive(5000.0, at(50), &bytes, &mut acts);
    let known = net.nodes[1].cluster.members().find(|(id, ..)| id.name == "n0").map(|(id, ..)| id.address);
    assert_eq!(known, Some(at(0)));
}

#[test]
fn what_is_sent_does_not_grow_with_the_fleet() {
    let mut each = Vec::new();
    for count in [10, 100] {
        let mut net = Net::new(count, 2);
        net.run(40_000.0);
        let before = net.bytes;
        net.run(50_000.0);
        each.push((net.bytes - before) as f64 / 10.0 / count as f64);
    }
    assert!(each[1] < 2000.0 && each[1] < 2.0 * each[0], "{each:?} bytes a second");
}

#[test]
fn whatever_happens_for_half_a_minute_ends_in_one_view_of_those_that_run() {
    for seed in 1..=12 {
        let count = 12;
        let mut net = Net::new(count, seed);
        net.run(4000.0);
        let mut rng = fastrand::Rng::with_seed(seed ^ 77);
        let mut born = 2000;
        for step in 0..20 {
            let n = rng.usize(..count);
            match rng.u32(..6) {
                0 => net.nodes[n].runs = false,
                1 => {
                    born += 1000;
                    let cluster = start(n, born, count, rng.u64(..), net.now);
                    net.nodes[n] = Node { cluster, runs: true, paused: 0.0, due: 0.0 };
                }
                2 => net.nodes[n].paused = net.now + rng.f64() * 8000.0,
                3 => net.loss = rng.f64() * 0.5,
                4 => net.delay = 1.0 + rng.f64() * 60.0,
                _ => {
                    let (cut, until) = (rng.usize(..count), net.now + rng.f64() * 6000.0);
                    let both = rng.bool();
                    net.open =
                        Box::new(move |now, a, b| now > until || (a < cut) == (b < cut) || !both && a < cut);
                }
            }
            net.run(4000.0 + 1500.0 * f64::from(step + 1));
        }
        (net.loss, net.delay, net.open) = (0.0, 5.0, Box::new(|_, _, _| true));
        net.run(net.now + 25_000.0);
        let run: Vec<usize> = (0..count).filter(|n| net.nodes[*n].runs).collect();
        net.agree(&run);
    }
}
