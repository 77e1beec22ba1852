//! Checks what a trial recorded. Violations are: an ingress that runs but was declared dead, views that do
//! not agree at the end, requests without an outcome, requests that were sent to a draining or disabled
//! backend, exceeded ceilings, and ingresses that did not recover fully.

use crate::script::{Fault, FaultKind, Script};
use crate::stand_ins::Record;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet};

/// How long after it learned that a backend drains an ingress may still send it requests, in milliseconds; a
/// rule of the platform.
const DRAIN_GRACE_MS: i64 = 250;
/// What is added to time limits because of differences between machines, in milliseconds.
const TIMING_SLACK_MS: i64 = 500;
/// The fraction by which a ceiling may be exceeded, unless one request of the largest size exceeds it by
/// more.
const CEILING_TOLERANCE: f64 = 0.1;
/// The time over which a ceiling's rate is added to its burst, in seconds.
const EXTRA_BURST_SECONDS: f64 = 0.15;

/// A change of a member's state in the view of one ingress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct StateChange {
    /// When it was seen, in milliseconds from the start of the trial.
    pub at: u64,
    /// The ingress whose admin interface reported it.
    #[serde(rename = "by")]
    pub observer: usize,
    /// The ingress whose state it is.
    #[serde(rename = "of")]
    pub member: usize,
    /// The new state, as the admin interface names it.
    pub state: String,
}

/// An operator's successful command that disables or enables a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct BackendCommand {
    /// When a disabling command was answered, or an enabling command was sent, in milliseconds from the start
    /// of the trial: between the two the backend is certainly disabled.
    pub at: i64,
    /// The ingress whose admin interface took the command.
    #[serde(rename = "by")]
    pub ingress: usize,
    /// The backend.
    #[serde(rename = "server")]
    pub backend: usize,
    /// Whether the backend is disabled; `false` if it is enabled again.
    #[serde(rename = "out")]
    pub disabled: bool,
}

/// What a trial recorded.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Outcome {
    /// All state changes of members, in order of time.
    #[serde(rename = "seen")]
    pub state_changes: Vec<StateChange>,
    /// Whether each ingress ran at the end.
    #[serde(rename = "run")]
    pub running: Vec<bool>,
    /// The last view of each ingress: states by member; `None` if its admin interface did not answer.
    #[serde(rename = "last")]
    pub final_views: Vec<Option<BTreeMap<usize, String>>>,
    /// The operators' notices that each ingress knew at the end; `None` if its admin interface did not
    /// answer.
    #[serde(rename = "words")]
    pub final_notices: Vec<Option<Vec<String>>>,
    /// The customer and the units of each request of the load.
    #[serde(rename = "asked")]
    pub requests: Vec<(u64, u32)>,
    /// The number of requests that were served, were rejected, and failed, in this order.
    #[serde(rename = "ends")]
    pub request_outcomes: [u64; 3],
    /// The number of datagrams that the relays received and forwarded, in this order.
    pub datagrams: [u64; 2],
    /// The processor time that the process of each ingress has used, in milliseconds; 0 if it cannot be read.
    #[serde(rename = "processor")]
    pub cpu_time: Vec<f64>,
    /// The recovery stage that each ingress reports at the end, and the time from its last start until it was
    /// first whole, in milliseconds. `None` if its admin interface did not answer.
    #[serde(rename = "back")]
    pub recoveries: Vec<Option<(String, Option<u64>)>>,
    /// The operators' commands on backends, in order.
    #[serde(rename = "yes")]
    pub backend_commands: Vec<BackendCommand>,
    /// What the stand-ins recorded.
    pub record: Record,
}

/// The worst values that the checks measured.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Measurements {
    /// The longest time after which an ingress that had learned that a backend drains still sent it a
    /// request, in milliseconds.
    #[serde(rename = "drain")]
    pub drain_delay: i64,
    /// The longest time after an operator disabled a backend at which an ingress still sent it a request, in
    /// milliseconds.
    #[serde(rename = "ban")]
    pub disable_delay: i64,
    /// The highest use of a ceiling's burst by a customer, as a fraction of it.
    #[serde(rename = "ceiling")]
    pub ceiling_use: f64,
    /// The longest time from the start of killed ingresses until the rate of requests at backends, over one
    /// second, is back at nine tenths of that in the 4 s before the kill, in milliseconds.
    #[serde(rename = "back")]
    pub recovery_time: i64,
}

/// Returns whether an ingress was stopped, paused or cut off at this time, or shortly before: until the
/// suspicion that follows from that must have been resolved.
fn is_disturbed(script: &Script, ingress: usize, at: i64) -> bool {
    const SUSPICION_SLACK_MS: u64 = 6000;
    script.faults.iter().any(|fault| {
        let affected = match &fault.kind {
            FaultKind::Kill(ingresses)
            | FaultKind::Term(ingresses)
            | FaultKind::Start(ingresses)
            | FaultKind::Pause { ingresses, .. } => ingresses.contains(&ingress),
            // After a one-sided cut the others still receive from one side, so nobody may be declared dead.
            FaultKind::Cut { from, to, one_sided, .. } => {
                !one_sided && (from.contains(&ingress) || to.contains(&ingress))
            }
            FaultKind::Network { net, .. } => net.loss > 0.3,
            _ => false,
        };
        let stops = matches!(&fault.kind, FaultKind::Kill(_) | FaultKind::Term(_));
        let restarts = |later: &Fault| {
            later.at > fault.at
                && matches!(&later.kind, FaultKind::Start(started) if started.contains(&ingress))
        };
        let until = match script.faults.iter().find(|later| stops && restarts(later)) {
            Some(start) => start.at + SUSPICION_SLACK_MS,
            None if stops => u64::MAX,
            None => fault.end() + SUSPICION_SLACK_MS,
        };
        affected && at >= fault.at as i64 && (at as u64) <= until
    })
}

/// Checks an outcome, and returns the violations and the measured values. No violation means that the trial
/// passed.
pub fn check(script: &Script, outcome: &Outcome) -> (Vec<String>, Measurements) {
    let mut violations = Vec::new();
    let mut measurements = Measurements::default();
    if script.membership {
        check_views(script, outcome, &mut violations);
    }
    check_drains(script, outcome, &mut measurements, &mut violations);
    check_notices(script, outcome, &mut measurements, &mut violations);
    check_ceilings(script, outcome, &mut measurements, &mut violations);
    check_recovery(script, outcome, &mut measurements, &mut violations);
    let (sent, ended) = (outcome.requests.len() as u64, outcome.request_outcomes.iter().sum::<u64>());
    if ended != sent {
        violations.push(format!("{sent} requests were sent, but {ended} have an outcome"));
    }
    (violations, measurements)
}

/// Checks that no running ingress was declared dead, and that at the end the view of each ingress shows who
/// runs and no member of another fleet.
fn check_views(script: &Script, outcome: &Outcome, violations: &mut Vec<String>) {
    for change in outcome.state_changes.iter().filter(|change| change.state == "dead") {
        let StateChange { at, observer, member, .. } = change;
        if !is_disturbed(script, *member, *at as i64) && !is_disturbed(script, *observer, *at as i64) {
            violations.push(format!("{at} ms: ingress {observer} sees ingress {member} as dead, which runs"));
        }
    }
    for (n, last) in outcome.final_views.iter().enumerate().filter(|(n, _)| outcome.running[*n]) {
        let Some(view) = last else {
            violations.push(format!("at the end: the admin interface of ingress {n} does not answer"));
            continue;
        };
        for (member, runs) in outcome.running.iter().enumerate().filter(|(member, _)| *member != n) {
            let state = view.get(&member).map_or("unknown", String::as_str);
            if !script.same_fleet(n, member) {
                if state != "unknown" {
                    violations.push(format!(
                        "at the end: ingress {n} sees ingress {member} of another fleet as {state}"
                    ));
                }
                continue;
            }
            // A suspect can still refute the suspicion; at high loss, suspicions are frequent.
            if matches!(state, "alive" | "suspect") != *runs {
                let actual = if *runs { "runs" } else { "does not run" };
                violations.push(format!(
                    "at the end: ingress {n} sees ingress {member} as {state}, which {actual}"
                ));
            }
        }
    }
}

/// Checks that an ingress sends nothing to a backend once it has received that the backend drains. A paused
/// ingress receives that only when it resumes, so times of disturbance do not count.
fn check_drains(
    script: &Script,
    outcome: &Outcome,
    measurements: &mut Measurements,
    violations: &mut Vec<String>,
) {
    let mut draining_since: HashMap<(usize, usize), i64> = HashMap::new();
    let mut changes = outcome.record.drain_changes.iter().peekable();
    let mut reported = HashSet::new();
    for arrival in &outcome.record.arrivals {
        while let Some(change) = changes.next_if(|change| change.at <= arrival.at) {
            match change.draining {
                true => draining_since.entry((change.ingress, change.backend)).or_insert(change.at),
                false => &mut draining_since.remove(&(change.ingress, change.backend)).unwrap_or_default(),
            };
        }
        let (ingress, backend) = (arrival.ingress, arrival.backend);
        let Some(since) = draining_since.get(&(ingress, backend)) else { continue };
        let delay = arrival.at - since;
        if is_disturbed(script, ingress, arrival.at) || is_disturbed(script, ingress, *since) {
            continue;
        }
        measurements.drain_delay = measurements.drain_delay.max(delay);
        if delay > DRAIN_GRACE_MS + TIMING_SLACK_MS && reported.insert((ingress, backend)) {
            violations.push(format!(
                "{} ms: ingress {ingress} sends to backend {backend}, {delay} ms after it received that it drains",
                arrival.at
            ));
        }
    }
}

/// Checks that every ingress of a fleet applies an operator's notice in time, and that at the end all know
/// the same notices, none of which is active.
fn check_notices(
    script: &Script,
    outcome: &Outcome,
    measurements: &mut Measurements,
    violations: &mut Vec<String>,
) {
    let commands = &outcome.backend_commands;
    for (i, command) in commands.iter().enumerate().filter(|(_, command)| command.disabled) {
        let enabled = commands[i..].iter().find(|later| !later.disabled && later.backend == command.backend);
        let until = enabled.map_or(i64::MAX, |enabled| enabled.at);
        for arrival in outcome.record.arrivals.iter().filter(|a| a.backend == command.backend) {
            let (delay, ingress) = (arrival.at - command.at, arrival.ingress);
            if delay < 0 || arrival.at >= until || !script.same_fleet(ingress, command.ingress) {
                continue;
            }
            if is_disturbed(script, ingress, arrival.at) || is_disturbed(script, ingress, command.at) {
                continue;
            }
            measurements.disable_delay = measurements.disable_delay.max(delay);
            let limit = if ingress == command.ingress { DRAIN_GRACE_MS } else { script.notice_time as i64 };
            if delay > limit + TIMING_SLACK_MS {
                violations.push(format!(
                    "{} ms: ingress {ingress} sends to backend {}, {delay} ms after it was disabled",
                    arrival.at, command.backend
                ));
                break;
            }
        }
    }
    let mut known = outcome
        .final_notices
        .iter()
        .enumerate()
        .filter(|(n, _)| *n < script.fleet_size() && outcome.running[*n]);
    let Some((first, Some(notices))) = known.next() else { return };
    violations.extend(
        notices
            .iter()
            .filter(|notice| notice.contains(" out ") || notice.contains(" drained "))
            .map(|notice| format!("at the end: ingress {first} has the active notice {notice:?}")),
    );
    for (n, other) in known.filter(|(_, other)| other.as_ref() != Some(notices)) {
        violations.push(format!(
            "at the end: ingress {n} knows the notices {other:?}, but ingress {first} knows {notices:?}"
        ));
    }
}

/// Checks that all ingresses that run at the end report that they are whole, and measures how long the fleet
/// took to get back to the request rate that it had before a kill.
fn check_recovery(
    script: &Script,
    outcome: &Outcome,
    measurements: &mut Measurements,
    violations: &mut Vec<String>,
) {
    for (n, recovery) in outcome.recoveries.iter().enumerate().filter(|(n, _)| outcome.running[*n]) {
        if recovery.as_ref().is_none_or(|(stage, _)| stage != "whole") {
            violations.push(format!("at the end: ingress {n} is not whole: {recovery:?}"));
        }
    }
    let arrivals: Vec<i64> = outcome.record.arrivals.iter().map(|arrival| arrival.at).collect();
    let count_within = |from: i64, to: i64| {
        arrivals.partition_point(|at| *at < to) - arrivals.partition_point(|at| *at < from)
    };
    for (i, fault) in script.faults.iter().enumerate() {
        let FaultKind::Start(started) = &fault.kind else { continue };
        let kills_first =
            |before: &&Fault| matches!(&before.kind, FaultKind::Kill(killed) if killed.contains(&started[0]));
        let Some(kill) = script.faults[..i].iter().rev().find(kills_first) else { continue };
        let (kill, start) = (kill.at as i64, fault.at as i64);
        let usual_rate = count_within(kill - 4000, kill) as f64 / 4.0;
        let times = (start..script.length as i64 - 3000).step_by(100);
        let recovered = times
            .filter(|_| usual_rate > 0.0)
            .find(|t| count_within(*t, t + 1000) as f64 >= 0.9 * usual_rate);
        measurements.recovery_time = measurements.recovery_time.max(recovered.map_or(0, |t| t - start));
    }
}

/// Checks that the requests of each customer that reached backends stay within its ceiling, a token bucket
/// that fills at the ceiling's rate. Repeats of a request count once.
fn check_ceilings(
    script: &Script,
    outcome: &Outcome,
    measurements: &mut Measurements,
    violations: &mut Vec<String>,
) {
    let plan = &script.plan;
    if plan.ceiling <= 0.0 {
        return;
    }
    let (mut counted, mut sent) = (HashSet::new(), BTreeMap::<u64, Vec<(i64, f64)>>::new());
    for arrival in &outcome.record.arrivals {
        let request = arrival.request_index.and_then(|n| outcome.requests.get(n));
        if let Some((customer, units)) = request.filter(|_| counted.insert(&arrival.request_id)) {
            sent.entry(*customer).or_default().push((arrival.at, f64::from(*units)));
        }
    }
    let depth = plan.ceiling_burst + plan.ceiling * EXTRA_BURST_SECONDS;
    // A ceiling is violated only if it is exceeded both by the tolerance and by one request of the largest
    // size.
    let [with_tolerance, with_one_request] = [
        (plan.ceiling * (1.0 + CEILING_TOLERANCE), depth * (1.0 + CEILING_TOLERANCE)),
        (plan.ceiling, depth + f64::from(plan.units)),
    ];
    for (customer, sent) in sent {
        let excess = |(rate, depth): (f64, f64)| -> f64 {
            let (mut level, mut last, mut worst) = (depth, 0, 0.0f64);
            for (at, units) in &sent {
                level = (level + rate * (at - last) as f64 / 1000.0).min(depth) - units;
                last = *at;
                worst = worst.max(-level);
            }
            worst
        };
        let exceeded = excess((plan.ceiling, depth));
        measurements.ceiling_use = measurements.ceiling_use.max((depth + exceeded) / depth);
        if excess(with_tolerance) > 0.0 && excess(with_one_request) > 0.0 {
            violations.push(format!("customer {customer}: {exceeded:.0} units above its ceiling"));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::stand_ins::{Arrival, DrainChange};

    fn script() -> Script {
        let kill = "[[faults]]\nat = 5000\ndo = { kill = [2] }\n";
        let cut = "[[faults]]\nat = 6000\ndo = { cut = { from = [0], to = [1], one_sided = true, lasting = 100 } }\n";
        let plan = "plan = { ceiling = 10.0, ceiling_burst = 5.0, units = 2 }\n";
        let base = format!("ingresses = 4\nstrangers = 1\nservers = 2\nlength = 30000\n{plan}");
        Script::parse(&format!("{base}{kill}{cut}")).unwrap()
    }

    fn arrival(at: i64, ingress: usize, backend: usize, request: usize) -> Arrival {
        Arrival { at, ingress, backend, request_index: Some(request), request_id: format!("{request}") }
    }

    fn passing_outcome() -> Outcome {
        let view = |states: [&str; 3]| Some((0..3).zip(states.map(str::to_owned)).collect());
        let dead = |at, observer| StateChange { at, observer, member: 2, state: "dead".into() };
        let drain_change = |at, draining| DrainChange { at, ingress: 0, backend: 1, draining };
        let notices = Some(vec!["s0 server back by 1".to_owned()]);
        Outcome {
            state_changes: vec![dead(7500, 0), dead(7600, 1)],
            running: vec![true, true, false, true],
            final_views: vec![
                view(["self", "alive", "dead"]),
                view(["alive", "self", "dead"]),
                None,
                Some([(3, "self".into())].into()),
            ],
            final_notices: vec![notices.clone(), notices, None, Some(Vec::new())],
            requests: vec![(7, 2); 10],
            request_outcomes: [8, 1, 1],
            datagrams: [0; 2],
            cpu_time: Vec::new(),
            recoveries: vec![Some(("whole".into(), Some(3100))); 4],
            backend_commands: vec![
                BackendCommand { at: 1000, ingress: 0, backend: 0, disabled: true },
                BackendCommand { at: 9000, ingress: 1, backend: 0, disabled: false },
            ],
            record: Record {
                runs: Vec::new(),
                // Backend 1 drains from 2 s to 4 s; backend 0 is disabled from 1 s to 9 s.
                arrivals: vec![
                    arrival(900, 0, 0, 0),
                    arrival(2100, 0, 1, 1),
                    arrival(4500, 0, 1, 2),
                    arrival(4600, 1, 0, 3),
                ],
                drain_changes: vec![drain_change(2000, true), drain_change(4000, false)],
                counter_calls: 0,
            },
        }
    }

    #[test]
    fn accepts_a_passing_outcome_and_reports_each_violation() {
        let (violations, measurements) = check(&script(), &passing_outcome());
        assert_eq!(violations, Vec::<String>::new());
        assert_eq!((measurements.drain_delay, measurements.disable_delay), (100, 3600));
        let violations = |change: fn(&mut Outcome)| {
            let mut outcome = passing_outcome();
            change(&mut outcome);
            check(&script(), &outcome).0.len()
        };
        // A running ingress is declared dead, here during a one-sided cut, which is no excuse.
        assert_eq!(
            violations(|o| o.state_changes.push(StateChange {
                at: 6500,
                observer: 0,
                member: 1,
                state: "dead".into()
            })),
            1
        );
        // An unnoticed death, an unknown member, an admin interface that does not answer, a request without
        // an outcome.
        assert_eq!(
            violations(|o| o.final_views[0] = Some([(1, "alive".into()), (2, "alive".into())].into())),
            1
        );
        assert_eq!(violations(|o| o.final_views[1] = Some([(2, "dead".into())].into())), 1);
        assert_eq!(violations(|o| o.final_views[1] = None), 1);
        assert_eq!(violations(|o| o.request_outcomes[0] = 7), 1);
        // A member of another fleet is known.
        assert_eq!(violations(|o| o.final_views[3] = Some([(0, "dead".into())].into())), 1);
        // Requests to a draining backend, to one disabled at the same ingress, and to one disabled long ago
        // at another.
        assert_eq!(violations(|o| o.record.arrivals[1].at = 2900), 1);
        assert_eq!(violations(|o| o.record.arrivals[0].at = 1900), 1);
        assert_eq!(violations(|o| o.record.arrivals[3].at = 6900), 1);
        // An ingress that has not recovered fully at the end.
        assert_eq!(violations(|o| o.recoveries[1] = Some(("partial".into(), None))), 1);
        // A notice that did not reach an ingress, and one that is still active.
        assert_eq!(violations(|o| o.final_notices[1] = Some(Vec::new())), 1);
        assert_eq!(violations(|o| o.final_notices.fill(Some(vec!["s0 server out by 1".into()]))), 1);
        // Five more requests of two units at once: 14 units, where 6.5 are allowed, or 8.5 with one request
        // in excess.
        assert_eq!(violations(|o| o.record.arrivals.extend((4..9).map(|n| arrival(4600, 1, 1, n)))), 1);
        // Repeats of a request count once.
        assert_eq!(violations(|o| o.record.arrivals.extend((0..9).map(|_| arrival(4600, 1, 1, 3)))), 0);
    }
}
