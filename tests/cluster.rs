//! Cluster membership in simulated time: crashes, pauses, datagram loss, network partitions and restarts,
//! with fixed seeds.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use weldhub::cluster::notices::Subject;
use weldhub::cluster::packet::{Body, Claim, Identity, Packet, State, fleet_key};
use weldhub::cluster::{Action, Cluster, FleetId, Timing};

/// The largest number of ingresses that the simulated fleet may have.
const MAX_FLEET_SIZE: u16 = 200;

/// The address at which node `n` listens.
fn address_of(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 1, 1], 7000 + n as u16))
}

fn identity(n: usize, started_at: u64) -> Identity {
    Identity { name: format!("n{n}"), number: n as u16, address: address_of(n), started_at }
}

struct Node {
    cluster: Cluster,
    running: bool,
    /// The simulated time, in milliseconds, until which the process is paused. Datagrams that arrive before
    /// are delayed.
    paused_until: f64,
    /// The simulated time of the next tick, in milliseconds.
    next_tick: f64,
}

/// A datagram in transit, ordered by its time of arrival.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Datagram {
    /// The time of arrival, in microseconds.
    arrives_at: u64,
    /// Breaks ties in the order in which datagrams were sent.
    sequence: u64,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// A change of a member's state in the view of one node.
#[derive(Debug)]
struct StateChange {
    /// The simulated time, in milliseconds.
    at: f64,
    observer: usize,
    member: usize,
    state: State,
}

/// A simulated network and the nodes on it.
struct Network {
    /// The simulated time, in milliseconds.
    now: f64,
    nodes: Vec<Node>,
    in_transit: BinaryHeap<Reverse<Datagram>>,
    datagrams_sent: u64,
    bytes_sent: u64,
    /// The probability that a datagram is lost.
    loss: f64,
    /// The mean delay of a datagram, in milliseconds.
    delay: f64,
    rng: fastrand::Rng,
    /// Whether datagrams pass at this time from the first node to the second.
    link_is_up: Box<dyn Fn(f64, usize, usize) -> bool>,
    state_changes: Vec<StateChange>,
    /// How often a node noticed that its own process had been paused.
    stalls: usize,
    /// How often a node noticed another process with its own name or number.
    conflicts: usize,
    /// Changes of operators' notices: the time in milliseconds, the receiving node, the subject, whether it
    /// is active.
    notice_changes: Vec<(f64, usize, Subject, bool)>,
}

impl Network {
    /// Starts `count` nodes within one second in random order. The seeds of each are the first node and the
    /// next one.
    fn new(count: usize, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let node = |n: usize, rng: &mut fastrand::Rng| Node {
            cluster: start(n, 1000, count, rng.u64(..), 0.0),
            running: true,
            paused_until: rng.f64() * 1000.0,
            next_tick: 0.0,
        };
        let nodes = (0..count).map(|n| node(n, &mut rng)).collect();
        Self {
            now: 0.0,
            nodes,
            in_transit: BinaryHeap::new(),
            datagrams_sent: 0,
            bytes_sent: 0,
            loss: 0.0,
            delay: 5.0,
            rng,
            link_is_up: Box::new(|_, _, _| true),
            state_changes: Vec::new(),
            stalls: 0,
            conflicts: 0,
            notice_changes: Vec::new(),
        }
    }

    /// Carries out the actions of node `n`.
    fn perform(&mut self, n: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, bytes) => {
                    let to = usize::from(to.port() - 7000);
                    (self.datagrams_sent, self.bytes_sent) =
                        (self.datagrams_sent + 1, self.bytes_sent + bytes.len() as u64);
                    if to < self.nodes.len()
                        && self.rng.f64() >= self.loss
                        && (self.link_is_up)(self.now, n, to)
                    {
                        let arrives_at = self.now + self.delay * (0.2 + 1.6 * self.rng.f64());
                        self.in_transit.push(Reverse(Datagram {
                            arrives_at: (arrives_at * 1000.0) as u64,
                            sequence: self.datagrams_sent,
                            from: n,
                            to,
                            bytes,
                        }));
                    }
                }
                Action::StateChanged(id, _, state) => {
                    self.state_changes.push(StateChange {
                        at: self.now,
                        observer: n,
                        member: usize::from(id.number),
                        state,
                    });
                }
                Action::Conflict(_) => self.conflicts += 1,
                Action::Stalled(_) => self.stalls += 1,
                Action::NoticeChanged(subject, active) => {
                    self.notice_changes.push((self.now, n, subject, active));
                }
            }
        }
    }

    /// Runs the simulation up to this time, in milliseconds.
    fn run(&mut self, until: f64) {
        while self.now < until {
            self.now = (self.now + 1.0).min(until);
            while self
                .in_transit
                .peek()
                .is_some_and(|Reverse(datagram)| datagram.arrives_at as f64 <= self.now * 1000.0)
            {
                let Some(Reverse(Datagram { arrives_at, sequence, from, to, bytes })) = self.in_transit.pop()
                else {
                    break;
                };
                if self.nodes[to].paused_until > self.now {
                    // The datagram waits in the socket's buffer, which is bounded.
                    if self.in_transit.len() < 100_000 {
                        let resumes_at = (self.nodes[to].paused_until * 1000.0) as u64 + 1;
                        self.in_transit.push(Reverse(Datagram {
                            arrives_at: resumes_at.max(arrives_at + 1),
                            sequence,
                            from,
                            to,
                            bytes,
                        }));
                    }
                    continue;
                }
                if self.nodes[to].running {
                    let mut actions = Vec::new();
                    self.nodes[to].cluster.receive(self.now, address_of(from), &bytes, &mut actions);
                    self.nodes[to].next_tick = self.nodes[to].cluster.due();
                    self.perform(to, actions);
                }
            }
            for n in 0..self.nodes.len() {
                let node = &mut self.nodes[n];
                if node.running && node.paused_until <= self.now && node.next_tick <= self.now {
                    let mut actions = Vec::new();
                    node.cluster.tick(self.now, &mut actions);
                    node.next_tick = node.cluster.due();
                    self.perform(n, actions);
                }
            }
        }
    }

    /// Publishes an operator's notice at node `n`.
    fn publish(&mut self, n: usize, subject: &Subject, active: bool) {
        let mut actions = Vec::new();
        self.nodes[n].cluster.publish(self.now, subject.clone(), active, &mut actions);
        self.perform(n, actions);
    }

    /// Returns the nodes for which a notice of this subject is active.
    fn nodes_with_active(&self, subject: &Subject) -> Vec<usize> {
        (0..self.nodes.len()).filter(|n| self.nodes[*n].cluster.notices().is_active(subject)).collect()
    }

    /// Returns the live ingresses in the view of node `n`, or `None` while it does not trust its view.
    fn live_ingresses(&self, n: usize) -> Option<Vec<usize>> {
        let is_live = self.nodes[n].cluster.live_ingresses()?;
        Some((0..is_live.len()).filter(|i| is_live[*i]).collect())
    }

    /// Asserts that these ingresses are the live ones in the view of every running node.
    fn assert_agreement(&self, expected: &[usize]) {
        for n in (0..self.nodes.len()).filter(|n| self.nodes[*n].running) {
            assert_eq!(
                self.live_ingresses(n).as_deref(),
                Some(expected),
                "view of node {n} at {} ms",
                self.now
            );
        }
    }

    /// Counts the times since `since` at which a node took a running one for dead.
    fn false_deaths(&self, since: f64) -> usize {
        let is_false = |change: &&StateChange| {
            change.at >= since && change.state == State::Dead && self.nodes[change.member].running
        };
        self.state_changes.iter().filter(is_false).count()
    }
}

/// A view packet from this member with these claims.
fn packet_from(from: Identity, claims: Vec<Claim>) -> Packet {
    Packet { from, incarnation: 0, body: Body::View, claims, notices: Vec::new(), notices_digest: 0 }
}

/// A node that starts at `now`; its identity says that it started at `started_at`.
fn start(n: usize, started_at: u64, count: usize, seed: u64, now: f64) -> Cluster {
    let seeds = vec![address_of(0), address_of((n + 1) % count)];
    Cluster::new(
        identity(n, started_at),
        FleetId { key: fleet_key("test"), size: MAX_FLEET_SIZE },
        seeds,
        Timing::default(),
        seed,
        now,
    )
}

/// Every node of a network of this size.
fn all(count: usize) -> Vec<usize> {
    (0..count).collect()
}

#[test]
fn nodes_that_start_in_any_order_find_each_other() {
    for seed in 1..=5 {
        let mut network = Network::new(40, seed);
        network.run(6000.0);
        network.assert_agreement(&all(40));
        assert_eq!(network.false_deaths(0.0), 0);
    }
}

#[test]
fn crash_of_half_the_nodes_is_detected_in_time_at_every_loss_rate() {
    for (loss, deadline) in [(0.0, 6000.0), (0.05, 7000.0), (0.2, 9000.0), (0.4, 15_000.0)] {
        let mut network = Network::new(40, 7);
        network.run(6000.0);
        network.loss = loss;
        network.nodes.iter_mut().skip(20).for_each(|node| node.running = false);
        network.run(6000.0 + deadline);
        network.assert_agreement(&all(20));
        if loss <= 0.2 {
            assert_eq!(network.false_deaths(0.0), 0, "loss rate {loss}");
        }
    }
}

#[test]
fn crash_is_detected_by_all_nodes_in_time_at_a_loss_of_one_fifth() {
    let mut worst = 0.0f64;
    for seed in 1..=10 {
        let mut network = Network::new(40, seed);
        network.run(6000.0);
        network.loss = 0.2;
        network.run(9000.0);
        network.nodes[17].running = false;
        network.run(16_000.0);
        let is_death =
            |change: &&StateChange| change.member == 17 && change.state == State::Dead && change.at > 9000.0;
        let last = network.state_changes.iter().filter(is_death).map(|change| change.at).fold(0.0, f64::max);
        assert_eq!(network.live_ingresses(3).map(|l| l.len()), Some(39));
        worst = worst.max(last - 9000.0);
        assert_eq!(network.false_deaths(0.0), 0);
    }
    assert!(worst < 4500.0, "detected after {worst} ms");
}

/// `cargo test --release --test cluster -- --ignored --nocapture`
#[test]
#[ignore = "a measurement"]
fn measures_detection_time_and_traffic() {
    for loss in [0.0, 0.05, 0.2, 0.4] {
        let mut detection_times = Vec::new();
        let mut false_deaths = 0;
        for seed in 1..=20 {
            let mut network = Network::new(40, seed);
            network.run(6000.0);
            network.loss = loss;
            network.run(9000.0);
            network.nodes[17].running = false;
            network.run(24_000.0);
            let is_death = |change: &&StateChange| {
                change.member == 17 && change.state == State::Dead && change.at > 9000.0
            };
            let deaths = network.state_changes.iter().filter(is_death);
            detection_times.push(deaths.map(|change| change.at - 9000.0).fold(0.0, f64::max));
            false_deaths += network.false_deaths(0.0);
        }
        detection_times.sort_by(f64::total_cmp);
        println!(
            "loss {loss}: known to all nodes after {:.0} ms (median), {:.0} ms (worst of 20); {false_deaths} false deaths in 300 s",
            detection_times[10], detection_times[19]
        );
    }
    for count in [5, 40, 190] {
        let mut network = Network::new(count, 2);
        network.run(60_000.0);
        let (bytes_before, datagrams_before) = (network.bytes_sent, network.datagrams_sent);
        network.run(70_000.0);
        let per_node_second = |total: u64| total as f64 / 10.0 / count as f64;
        println!(
            "{count} nodes: {:.0} bytes and {:.1} datagrams per second sent by each node",
            per_node_second(network.bytes_sent - bytes_before),
            per_node_second(network.datagrams_sent - datagrams_before)
        );
    }
}

#[test]
fn ten_minutes_of_loss_and_short_pauses_cause_no_false_death() {
    let mut network = Network::new(20, 11);
    network.run(6000.0);
    (network.loss, network.delay) = (0.2, 10.0);
    for step in 0..600 {
        if step % 10 == 0 {
            let n = network.rng.usize(..20);
            network.nodes[n].paused_until = network.now + 600.0;
        }
        network.run(7000.0 + 1000.0 * f64::from(step));
    }
    assert_eq!(network.false_deaths(0.0), 0);
    network.assert_agreement(&all(20));
}

#[test]
fn node_resuming_from_a_pause_queries_others_before_it_trusts_its_view() {
    for pause in [500.0, 2000.0, 10_000.0, 60_000.0] {
        let mut network = Network::new(10, 3);
        network.run(5000.0);
        network.nodes[4].paused_until = 5000.0 + pause;
        // Another node stops for good during the pause.
        network.nodes[7].running = false;
        network.run(5000.0 + pause - 2.0);
        let stalls_before = network.stalls;
        network.run(5000.0 + pause + 2.0);
        if pause > 1500.0 {
            assert_eq!(network.stalls, stalls_before + 1, "after a pause of {pause} ms");
            assert_eq!(network.live_ingresses(4), None, "no view before the first reply");
        }
        network.run(5000.0 + pause + 8000.0);
        network.assert_agreement(&[0, 1, 2, 3, 4, 5, 6, 8, 9]);
    }
}

#[test]
fn restart_at_the_same_address_supersedes_an_old_claim_of_death() {
    let mut network = Network::new(8, 5);
    network.run(5000.0);
    network.nodes[2].running = false;
    network.run(10_000.0);
    network.assert_agreement(&[0, 1, 3, 4, 5, 6, 7]);
    let cluster = start(2, 2000, 8, 9, network.now);
    network.nodes[2] = Node { cluster, running: true, paused_until: 0.0, next_tick: 0.0 };
    network.run(15_000.0);
    network.assert_agreement(&all(8));
    // A restart that is too quick for the failure detector is not reported as a death.
    let changes_before = network.state_changes.len();
    let cluster = start(3, 3000, 8, 10, network.now);
    network.nodes[3] = Node { cluster, running: true, paused_until: 0.0, next_tick: 0.0 };
    network.run(20_000.0);
    network.assert_agreement(&all(8));
    assert!(
        network.state_changes[changes_before..].iter().all(|change| change.observer == 3),
        "changes in the views of other nodes: {:?}",
        &network.state_changes[changes_before..]
    );
    // A replayed claim about the earlier process changes nothing.
    let outdated = Claim { member: identity(2, 1000), incarnation: 99, state: State::Dead };
    let forged = packet_from(identity(5, 1000), vec![outdated]);
    let bytes = forged.encode(fleet_key("test")).unwrap();
    network.nodes[0].cluster.receive(network.now, address_of(5), &bytes, &mut Vec::new());
    network.assert_agreement(&all(8));
}

#[test]
fn leaving_node_is_removed_at_once_and_not_reported_dead() {
    let mut network = Network::new(12, 6);
    network.run(5000.0);
    let mut actions = Vec::new();
    network.nodes[9].cluster.leave(&mut actions);
    network.perform(9, actions);
    network.nodes[9].running = false;
    network.run(6500.0);
    network.assert_agreement(&[0, 1, 2, 3, 4, 5, 6, 7, 8, 10, 11]);
    assert!(network.state_changes.iter().all(|change| change.state != State::Dead));
}

#[test]
fn views_converge_after_a_partition_and_one_way_loss_causes_no_false_death() {
    for (name, boundary, count) in [("two halves", 8usize, 16usize), ("one node cut off", 15, 16)] {
        let mut network = Network::new(count, 4);
        network.run(5000.0);
        network.link_is_up =
            Box::new(move |now, a, b| !(5000.0..25_000.0).contains(&now) || (a < boundary) == (b < boundary));
        network.run(24_000.0);
        assert_eq!(network.live_ingresses(0), Some((0..boundary).collect()), "{name}");
        assert_eq!(network.live_ingresses(15), Some((boundary..16).collect()), "{name}");
        network.run(40_000.0);
        network.assert_agreement(&all(16));
    }
    // Datagrams from node 3 to node 9 are lost; those in the other direction arrive.
    let mut network = Network::new(16, 8);
    network.run(5000.0);
    network.link_is_up = Box::new(|_, a, b| (a, b) != (3, 9));
    network.run(65_000.0);
    assert_eq!(network.false_deaths(0.0), 0);
    network.assert_agreement(&all(16));
}

#[test]
fn notice_reaches_all_nodes_in_time_and_its_end_is_final_for_absent_nodes_too() {
    let (disabled, drained) = (Subject::Backend("s-1".into()), Subject::Ingress("n3".into()));
    for (loss, deadline) in [(0.0, 1500.0), (0.2, 4000.0)] {
        let mut network = Network::new(40, 21);
        network.run(6000.0);
        network.loss = loss;
        network.publish(17, &disabled, true);
        network.publish(5, &drained, true);
        network.run(6000.0 + deadline);
        assert_eq!(
            (network.nodes_with_active(&disabled), network.nodes_with_active(&drained)),
            (all(40), all(40)),
            "loss rate {loss}"
        );
        // Node 9 is cut off and node 12 is down while the notice ends; both come back with the outdated
        // notice.
        network.link_is_up = Box::new(move |now, a, b| now > 20_000.0 || (a == 9) == (b == 9));
        let outdated: Vec<_> = network.nodes[12].cluster.notices().iter().cloned().collect();
        network.nodes[12].running = false;
        network.publish(30, &disabled, false);
        network.run(20_000.0);
        assert_eq!(network.nodes_with_active(&disabled), [9, 12]);
        let mut cluster = start(12, 9000, 40, 5, network.now);
        cluster.restore(network.now, outdated, vec!["s-1".into()]);
        network.nodes[12] = Node { cluster, running: true, paused_until: 0.0, next_tick: 0.0 };
        network.run(35_000.0);
        assert_eq!(
            (network.nodes_with_active(&disabled), network.nodes_with_active(&drained)),
            (Vec::new(), all(40))
        );
        // Each node reports the notice and its end at most once: no node revives it.
        for n in 0..40 {
            let changes = network
                .notice_changes
                .iter()
                .filter(|(_, observer, subject, _)| (*observer, subject) == (n, &disabled))
                .count();
            assert!(changes <= 2, "node {n} reported {changes} changes of the notice");
        }
        // A node that starts without stored notices receives the active ones.
        network.nodes[3].running = false;
        network.run(40_000.0);
        network.nodes[3] = Node {
            cluster: start(3, 12_000, 40, 6, network.now),
            running: true,
            paused_until: 0.0,
            next_tick: 0.0,
        };
        network.run(46_000.0);
        assert!(
            network.nodes[3].cluster.notices().is_active(&drained)
                && network.nodes_with_active(&disabled).is_empty()
        );
    }
}

#[test]
fn a_thousand_notices_reach_all_nodes_and_traffic_then_drops() {
    let mut network = Network::new(5, 22);
    network.run(4000.0);
    for n in 0..1000 {
        network.publish(1, &Subject::Backend(format!("server-{n}")), true);
    }
    network.run(30_000.0);
    let digest = network.nodes[1].cluster.notices().digest();
    assert!(network.nodes.iter().all(|node| node.cluster.notices().digest() == digest));
    let before = network.bytes_sent;
    network.run(40_000.0);
    assert!((network.bytes_sent - before) / 10 / 5 < 2000, "traffic drops once all nodes have all notices");
}

#[test]
fn restart_with_a_clock_set_back_still_supersedes_the_earlier_process() {
    let mut network = Network::new(6, 23);
    network.run(5000.0);
    network.nodes[2].running = false;
    network.run(10_000.0);
    network.assert_agreement(&[0, 1, 3, 4, 5]);
    network.nodes[2] =
        Node { cluster: start(2, 10, 6, 9, network.now), running: true, paused_until: 0.0, next_tick: 0.0 };
    network.run(20_000.0);
    network.assert_agreement(&all(6));
}

#[test]
fn packets_of_another_fleet_garbage_and_invented_members_are_rejected() {
    let mut network = Network::new(6, 12);
    network.run(5000.0);
    let mut actions = Vec::new();
    let node = &mut network.nodes[0].cluster;
    let counts_before = node.counts();
    let other = packet_from(identity(1, 5), Vec::new()).encode(fleet_key("another")).unwrap();
    node.receive(5000.0, address_of(1), &other, &mut actions);
    node.receive(5000.0, address_of(1), b"garbage", &mut actions);
    for n in 0..10_000u32 {
        let invented = Identity {
            name: format!("m{n}"),
            number: (n % 60_000) as u16,
            address: address_of(1),
            started_at: 1,
        };
        let claim = Claim { member: invented, incarnation: n, state: State::Alive };
        let bytes = packet_from(identity(1, 1000), vec![claim]).encode(fleet_key("test")).unwrap();
        node.receive(5000.0, address_of(1), &bytes, &mut actions);
    }
    let counts = node.counts();
    assert_eq!((counts.foreign - counts_before.foreign, counts.malformed - counts_before.malformed), (1, 1));
    assert!(node.members().count() <= usize::from(MAX_FLEET_SIZE), "{}", node.members().count());
    assert!(counts.rejected >= 9_000);
    // A second process with the name of a member is reported as a conflict and changes nothing.
    let mut duplicate = identity(0, 9999);
    duplicate.address = address_of(50);
    let bytes = packet_from(duplicate, Vec::new()).encode(fleet_key("test")).unwrap();
    actions.clear();
    network.nodes[0].cluster.receive(5000.0, address_of(50), &bytes, &mut actions);
    assert!(matches!(&actions[..], [Action::Conflict(id)] if id.address == address_of(50)), "{actions:?}");
    network.nodes[1].cluster.receive(5000.0, address_of(50), &bytes, &mut actions);
    let known =
        network.nodes[1].cluster.members().find(|(id, ..)| id.name == "n0").map(|(id, ..)| id.address);
    assert_eq!(known, Some(address_of(0)));
}

#[test]
fn traffic_per_node_does_not_grow_with_the_fleet() {
    let mut bytes_per_node_second = Vec::new();
    for count in [10, 100] {
        let mut network = Network::new(count, 2);
        network.run(40_000.0);
        let before = network.bytes_sent;
        network.run(50_000.0);
        bytes_per_node_second.push((network.bytes_sent - before) as f64 / 10.0 / count as f64);
    }
    assert!(
        bytes_per_node_second[1] < 2000.0 && bytes_per_node_second[1] < 2.0 * bytes_per_node_second[0],
        "{bytes_per_node_second:?}"
    );
}

#[test]
fn views_converge_after_half_a_minute_of_random_faults() {
    for seed in 1..=12 {
        let count = 12;
        let mut network = Network::new(count, seed);
        network.run(4000.0);
        let mut rng = fastrand::Rng::with_seed(seed ^ 77);
        let mut started_at = 2000;
        for step in 0..20 {
            let n = rng.usize(..count);
            match rng.u32(..6) {
                0 => network.nodes[n].running = false,
                1 => {
                    started_at += 1000;
                    let cluster = start(n, started_at, count, rng.u64(..), network.now);
                    network.nodes[n] = Node { cluster, running: true, paused_until: 0.0, next_tick: 0.0 };
                }
                2 => network.nodes[n].paused_until = network.now + rng.f64() * 8000.0,
                3 => network.loss = rng.f64() * 0.5,
                4 => network.delay = 1.0 + rng.f64() * 60.0,
                _ => {
                    let (boundary, heals_at) = (rng.usize(..count), network.now + rng.f64() * 6000.0);
                    let both_ways = rng.bool();
                    network.link_is_up = Box::new(move |now, a, b| {
                        now > heals_at || (a < boundary) == (b < boundary) || !both_ways && a < boundary
                    });
                }
            }
            network.run(4000.0 + 1500.0 * f64::from(step + 1));
        }
        (network.loss, network.delay, network.link_is_up) = (0.0, 5.0, Box::new(|_, _, _| true));
        network.run(network.now + 25_000.0);
        let running: Vec<usize> = (0..count).filter(|n| network.nodes[*n].running).collect();
        network.assert_agreement(&running);
    }
}
