//! A bounded search through the faults that may happen to a cluster of three ingresses. Each datagram of a
//! period may be lost, delayed or duplicated, or be the last one before its sender crashes and restarts,
//! pauses or is cut off; and any two of these faults may happen close together. In every execution, once the
//! faults have ended, the views converge, no reachable ingress stays dead, no older version replaces a newer
//! one, and a notice that ended is not active on some nodes only.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use weldhub::cluster::notices::Subject;
use weldhub::cluster::packet::{Identity, Packet, State, fleet_key};
use weldhub::cluster::{Action, Cluster, FleetId, Timing, Version};

const NODES: usize = 3;
/// The time from which datagrams are numbered and faults happen, in milliseconds.
const FAULTS_BEGIN: f64 = 3000.0;
/// The number of datagrams, from the first one on, at which a first fault is tried.
const FAULT_POSITIONS: usize = 36;
/// The number of datagrams, from that of the first fault on, at which a second fault is tried.
const SECOND_FAULT_POSITIONS: usize = 4;
/// The time from which no fault happens, in milliseconds.
const FAULTS_END: f64 = FAULTS_BEGIN + 6000.0;
/// The time by which the views must have converged, in milliseconds.
const CONVERGED_BY: f64 = FAULTS_END + 10_000.0;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    /// The datagram is lost.
    Lost,
    /// The datagram arrives 1500 ms late.
    Delayed,
    /// The datagram arrives again 400 ms later.
    Duplicated,
    /// The sender crashes and restarts 2500 ms later.
    SenderCrashes,
    /// The sender's process is paused for 1500 ms.
    SenderPauses,
    /// The sender can neither send nor receive for 3000 ms.
    SenderCutOff,
}
use Fault::*;
const ALL_FAULTS: [Fault; 6] = [Lost, Delayed, Duplicated, SenderCrashes, SenderPauses, SenderCutOff];

/// The protocol as implemented, or with one of its rules disabled, to show that the search detects the error.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Variant {
    Unchanged,
    /// An ingress does not receive claims about itself, so that it cannot refute them.
    NoRefutation,
    /// An ingress sends nothing to a member that it takes for dead.
    NoRevival,
    /// The ends of operators' notices are not spread.
    NoNoticeEnds,
}

/// The state of one execution: the nodes and the network between them. All times are in milliseconds.
#[derive(Clone)]
struct World {
    now: f64,
    variant: Variant,
    /// The nodes; `None` while one has crashed.
    nodes: Vec<Option<Cluster>>,
    /// The time until which each node is paused.
    paused_until: [f64; NODES],
    /// The time until which each node is cut off from the others.
    cut_off_until: [f64; NODES],
    /// The time at which each crashed node restarts.
    restarts_at: [f64; NODES],
    /// Datagrams in transit (from, to, bytes), by their time of arrival in microseconds and their sequence
    /// number.
    in_transit: BTreeMap<(u64, u64), (usize, usize, Vec<u8>)>,
    /// The sequence number of the last datagram.
    sequence: u64,
    /// The number of datagrams sent since the faults began: the position of the next one.
    position: usize,
    /// The newest version that each node has known of each member.
    newest: BTreeMap<(usize, String), Version>,
    /// The first property that did not hold.
    violation: Option<String>,
}

/// The address at which node `n` listens.
fn address_of(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 1, 1], 7000 + n as u16))
}

/// Node `n` as it starts at `now`.
fn start(n: usize, now: f64) -> Cluster {
    let id = Identity {
        name: format!("n{n}"),
        number: n as u16,
        address: address_of(n),
        started_at: 1000 + now as u64,
    };
    let seeds = (0..NODES).map(address_of).collect();
    Cluster::new(
        id,
        FleetId { key: fleet_key("model"), size: NODES as u16 },
        seeds,
        Timing::default(),
        7 + n as u64,
        now,
    )
}

/// The subject of the one operators' notice that is published.
fn subject() -> Subject {
    Subject::Backend("s1".into())
}

impl World {
    /// A cluster that has converged, with no fault yet and the notice published at node 0.
    fn new(variant: Variant) -> Self {
        let mut this = Self {
            now: 0.0,
            variant,
            nodes: (0..NODES).map(|n| Some(start(n, 0.0))).collect(),
            paused_until: [0.0; NODES],
            cut_off_until: [0.0; NODES],
            restarts_at: [f64::INFINITY; NODES],
            in_transit: BTreeMap::new(),
            sequence: 0,
            position: 0,
            newest: BTreeMap::new(),
            violation: None,
        };
        this.run(FAULTS_BEGIN, &[]);
        this.position = 0;
        this.publish(0, true);
        this
    }

    /// Publishes the notice, or its end, at node `n`.
    fn publish(&mut self, n: usize, active: bool) {
        let mut actions = Vec::new();
        if let Some(node) = &mut self.nodes[n] {
            node.publish(self.now, subject(), active, &mut actions);
        }
        self.perform(n, actions, &[]);
    }

    /// Sends the datagrams of node `n`, with the faults of the plan.
    fn perform(&mut self, n: usize, actions: Vec<Action>, plan: &[(usize, Fault)]) {
        for action in actions {
            let Action::Send(to, bytes) = action else { continue };
            let to = usize::from(to.port() - 7000);
            let takes_for_dead = |node: &Cluster| {
                node.members().any(|(id, state, _)| usize::from(id.number) == to && state == State::Dead)
            };
            if self.variant == Variant::NoRevival && self.nodes[n].as_ref().is_some_and(takes_for_dead) {
                continue;
            }
            let faults: Vec<Fault> = plan
                .iter()
                .filter(|(position, _)| *position == self.position)
                .map(|(_, fault)| *fault)
                .collect();
            self.position += 1;
            if faults.contains(&Lost) || self.cut_off_until[n] > self.now || self.cut_off_until[to] > self.now
            {
                continue;
            }
            let extra_delay = if faults.contains(&Delayed) { 1500.0 } else { 0.0 };
            for copy in 0..1 + usize::from(faults.contains(&Duplicated)) {
                self.sequence += 1;
                let arrives_at = self.now + 3.0 + extra_delay + 400.0 * copy as f64;
                self.in_transit.insert(((arrives_at * 1000.0) as u64, self.sequence), (n, to, bytes.clone()));
            }
            if faults.contains(&SenderCrashes) {
                self.nodes[n] = None;
                self.restarts_at[n] = self.now + 2500.0;
            }
            if faults.contains(&SenderPauses) {
                self.paused_until[n] = self.now + 1500.0;
            }
            if faults.contains(&SenderCutOff) {
                self.cut_off_until[n] = self.now + 3000.0;
            }
        }
    }

    /// Removes from a datagram what the variant withholds from node `to`.
    fn apply_variant(&self, to: usize, bytes: Vec<u8>) -> Vec<u8> {
        let Ok(mut packet) = Packet::decode(&bytes, fleet_key("model")) else { return bytes };
        match self.variant {
            Variant::NoRefutation => packet.claims.retain(|claim| usize::from(claim.member.number) != to),
            Variant::NoNoticeEnds => packet.notices.retain(|notice| notice.active),
            Variant::Unchanged | Variant::NoRevival => {}
        }
        packet.encode(fleet_key("model")).unwrap_or(bytes)
    }

    /// Runs the execution up to this time, or to the first violation.
    fn run(&mut self, until: f64, plan: &[(usize, Fault)]) {
        while self.violation.is_none() {
            let next_event = |n: usize| match &self.nodes[n] {
                Some(node) => node.due().max(self.paused_until[n]),
                None => self.restarts_at[n],
            };
            let tick = (0..NODES).map(|n| (next_event(n), n)).min_by(|a, b| a.0.total_cmp(&b.0));
            let arrival =
                self.in_transit.first_key_value().map(|((arrives_at, _), _)| *arrives_at as f64 / 1000.0);
            let Some((next, n)) = tick else { return };
            if arrival.is_some_and(|arrival| arrival <= next && arrival <= until) {
                let Some((_, (from, to, bytes))) = self.in_transit.pop_first() else { return };
                self.now = self.now.max(arrival.unwrap_or_default());
                if self.paused_until[to] > self.now {
                    self.sequence += 1;
                    self.in_transit.insert(
                        ((self.paused_until[to] * 1000.0) as u64 + 1, self.sequence),
                        (from, to, bytes),
                    );
                    continue;
                }
                let bytes =
                    if self.variant == Variant::Unchanged { bytes } else { self.apply_variant(to, bytes) };
                let mut actions = Vec::new();
                if let Some(node) = &mut self.nodes[to] {
                    node.receive(self.now, address_of(from), &bytes, &mut actions);
                }
                self.check_versions(to);
                self.perform(to, actions, plan);
                continue;
            }
            if next > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(next);
            let mut actions = Vec::new();
            match &mut self.nodes[n] {
                Some(node) => node.tick(self.now, &mut actions),
                None => {
                    self.nodes[n] = Some(start(n, self.now));
                    self.restarts_at[n] = f64::INFINITY;
                    self.newest.retain(|(observer, _), _| *observer != n);
                }
            }
            self.check_versions(n);
            self.perform(n, actions, plan);
        }
    }

    /// Checks that the version which node `n` knows of a member never goes back.
    fn check_versions(&mut self, n: usize) {
        let Some(node) = &self.nodes[n] else { return };
        for (id, ..) in node.members() {
            let Some(version) = node.version(&id.name) else { continue };
            let newest = self.newest.entry((n, id.name.clone())).or_insert(version);
            if version < *newest {
                self.violation =
                    Some(format!("node {n} goes back from version {newest:?} to {version:?} of {}", id.name));
            }
            *newest = (*newest).max(version);
        }
    }

    /// Plays the plan to its end; returns the first violation, or `None` if every property holds.
    fn finish(mut self, plan: &[(usize, Fault)]) -> Option<String> {
        self.run(FAULTS_BEGIN + 900.0, plan);
        self.publish(1, false);
        self.run(FAULTS_END, plan);
        self.run(CONVERGED_BY, &[]);
        let view = |node: &Option<Cluster>| node.as_ref().map(|node| node.live_ingresses());
        let complete = Some(Some(vec![true; NODES]));
        if self.violation.is_none() && self.nodes.iter().any(|node| view(node) != complete) {
            let views: Vec<_> = self.nodes.iter().map(view).collect();
            self.violation = Some(format!("the views have not converged: {views:?}"));
        }
        // A node that crashes while it publishes the end may have sent it to nobody: then the notice may stay
        // active, but on all nodes alike.
        let active: Vec<bool> =
            self.nodes.iter().flatten().map(|node| node.notices().is_active(&subject())).collect();
        if self.violation.is_none() && active.contains(&true) && active.contains(&false) {
            self.violation = Some(format!("an ended notice is active on some nodes: {active:?}"));
        }
        self.violation.map(|violation| format!("{plan:?}: {violation}"))
    }
}

/// Plays every plan of one or two faults; returns the number of plans and the violations. For a variant with
/// a disabled rule, eight first positions are tried and the first violation of each is kept.
fn search(variant: Variant) -> (usize, Vec<String>) {
    let world = World::new(variant);
    let plans_from = |first: usize| {
        let mut plans = Vec::new();
        for first_fault in ALL_FAULTS {
            plans.push(vec![(first, first_fault)]);
            for second in first..first + SECOND_FAULT_POSITIONS {
                plans.extend(ALL_FAULTS.iter().map(|fault| vec![(first, first_fault), (second, *fault)]));
            }
        }
        plans
    };
    let search_from = |first: usize| -> (usize, Vec<String>) {
        let plans = plans_from(first);
        let max_violations = if variant == Variant::Unchanged { usize::MAX } else { 1 };
        (
            plans.len(),
            plans.iter().filter_map(|plan| world.clone().finish(plan)).take(max_violations).collect(),
        )
    };
    let positions = if variant == Variant::Unchanged { FAULT_POSITIONS } else { 8 };
    let results: Vec<(usize, Vec<String>)> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4)
            .map(|k| scope.spawn(move || (k..positions).step_by(4).map(search_from).collect::<Vec<_>>()))
            .collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    });
    results.into_iter().fold((0, Vec::new()), |(total, mut violations), (count, found)| {
        violations.extend(found);
        (total + count, violations)
    })
}

#[test]
fn views_converge_after_any_two_faults() {
    let (count, violations) = search(Variant::Unchanged);
    assert!(count > 5000, "only {count} plans");
    assert!(
        violations.is_empty(),
        "{} of {count} plans fail; {:#?}",
        violations.len(),
        &violations[..violations.len().min(5)]
    );
}

#[test]
fn search_detects_each_disabled_rule() {
    for variant in [Variant::NoRefutation, Variant::NoRevival, Variant::NoNoticeEnds] {
        let (count, violations) = search(variant);
        assert!(!violations.is_empty(), "{variant:?} passes all {count} plans");
    }
}
