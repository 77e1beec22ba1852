//! What must hold of a record: deaths that are none, views that do not become one, requests without an end, work sent
//! after a drain's word or an operator's, ceilings passed.

use crate::script::{FaultKind, Script};
use crate::stand_ins::Record;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Nothing new goes to a real server later than this after the word that it drains, in milliseconds; the platform's rule.
const GRACE: i64 = 250;
/// Machines differ: what is timed may be so much later.
const SLACK: i64 = 500;
/// A ceiling may be passed by this part of it, or by one of the largest requests.
const OVER: f64 = 0.1;
/// A ceiling's rate goes on for so long more, in seconds.
const WIDER: f64 = 0.15;

/// Something that was seen.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Seen {
    /// When, in milliseconds from the start of the trial.
    pub at: u64,
    /// By which ingress's door.
    pub by: usize,
    /// Of which ingress.
    pub of: usize,
    /// Its state there: the door's word.
    pub state: String,
}

/// A door's yes to an operator who takes a real server out; or the moment when one asks to have it back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Yes {
    /// When, in milliseconds from the start.
    pub at: i64,
    /// At whose door.
    pub by: usize,
    /// Which real server.
    pub server: usize,
    /// Out, or back.
    pub out: bool,
}

/// What a trial came to.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Outcome {
    /// All changes, in order.
    pub seen: Vec<Seen>,
    /// Which ran at the end.
    pub run: Vec<bool>,
    /// The last views, by ingress: states by number; none where its door did not answer.
    pub last: Vec<Option<BTreeMap<usize, String>>>,
    /// Operators' words at the end, by ingress.
    pub words: Vec<Option<Vec<String>>>,
    /// Requests asked, each with its customer and units.
    pub asked: Vec<(u64, u32)>,
    /// Ends that they came to: served, refused, failed.
    pub ends: [u64; 3],
    /// Datagrams that came to the relay, and those it passed on.
    pub datagrams: [u64; 2],
    /// The processor time of each process that runs at the end, in milliseconds.
    pub processor: Vec<f64>,
    /// How far each says that it has come back, and how long after its last start it was first whole, in milliseconds.
    pub back: Vec<Option<(String, Option<u64>)>>,
    /// Operators' calls that were answered.
    pub yes: Vec<Yes>,
    /// What the stand-ins saw.
    pub record: Record,
}

/// What was measured on the way.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Figures {
    /// The latest request after the word that its real server drains, in milliseconds after it.
    pub drain: i64,
    /// The same after an operator's word at another door.
    pub ban: i64,
    /// The most that was sent on of a customer's, as a part of its ceiling.
    pub ceiling: f64,
    /// From the start of ingresses that were killed until, over a second, nine of ten requests reach real servers again of
    /// those that did in the 4 s before the kill; the longest, in milliseconds.
    pub back: i64,
}

/// An ingress's time that it stood still or was cut off, widened by what a suspicion may take.
fn disturbed(script: &Script, n: usize, at: i64) -> bool {
    const SLACK: u64 = 6000;
    script.faults.iter().any(|fault| {
        let touched = match &fault.kind {
            FaultKind::Kill(of)
            | FaultKind::Term(of)
            | FaultKind::Start(of)
            | FaultKind::Pause { ingresses: of, .. } => of.contains(&n),
            // One side of a one-sided cut is still heard by the others: nobody may die of it.
            FaultKind::Cut { from, to, one_sided, .. } => {
                !one_sided && (from.contains(&n) || to.contains(&n))
            }
            FaultKind::Network { net, .. } => net.loss > 0.3,
            _ => false,
        };
        let down = matches!(&fault.kind, FaultKind::Kill(_) | FaultKind::Term(_));
        let started = |later: &crate::script::Fault| {
            later.at > fault.at && matches!(&later.kind, FaultKind::Start(of) if of.contains(&n))
        };
        let until = match script.faults.iter().find(|later| down && started(later)) {
            Some(start) => start.at + SLACK,
            None if down => u64::MAX,
            None => fault.end() + SLACK,
        };
        touched && at >= fault.at as i64 && (at as u64) <= until
    })
}

/// What is broken; empty where all holds.
pub fn check(script: &Script, outcome: &Outcome) -> (Vec<String>, Figures) {
    let mut broken = Vec::new();
    let mut figures = Figures::default();
    if script.membership {
        views(script, outcome, &mut broken);
    }
    drains(script, outcome, &mut figures, &mut broken);
    words(script, outcome, &mut figures, &mut broken);
    ceilings(script, outcome, &mut figures, &mut broken);
    returns(script, outcome, &mut figures, &mut broken);
    let (asked, ended) = (outcome.asked.len() as u64, outcome.ends.iter().sum::<u64>());
    if ended != asked {
        broken.push(format!("{asked} requests were asked and {ended} came to an end"));
    }
    (broken, figures)
}

fn views(script: &Script, outcome: &Outcome, broken: &mut Vec<String>) {
    for seen in outcome.seen.iter().filter(|s| s.state == "dead") {
        if !disturbed(script, seen.of, seen.at as i64) && !disturbed(script, seen.by, seen.at as i64) {
            broken.push(format!("{} ms: {} takes {} for dead, which runs", seen.at, seen.by, seen.of));
        }
    }
    for (n, last) in outcome.last.iter().enumerate().filter(|(n, _)| outcome.run[*n]) {
        let Some(view) = last else {
            broken.push(format!("the end: the door of {n} does not answer"));
            continue;
        };
        for (of, run) in outcome.run.iter().enumerate().filter(|(of, _)| *of != n) {
            let state = view.get(&of).map_or("unknown", String::as_str);
            if !script.same_fleet(n, of) {
                if state != "unknown" {
                    broken.push(format!("the end: {n} sees {of} as {state}, which is of another fleet"));
                }
                continue;
            }
            // A suspect may still say that it lives, and does at high loss.
            if matches!(state, "alive" | "suspect") != *run {
                let is = if *run { "runs" } else { "does not" };
                broken.push(format!("the end: {n} sees {of} as {state}, which {is}"));
            }
        }
    }
}

/// Nothing goes to a real server once its ingress has been told that it drains. One that stood still meanwhile is told
/// when it wakes.
fn drains(script: &Script, outcome: &Outcome, figures: &mut Figures, broken: &mut Vec<String>) {
    let mut since: HashMap<(usize, usize), i64> = HashMap::new();
    let mut words = outcome.record.drain_changes.iter().peekable();
    let mut late = HashSet::new();
    for arrival in &outcome.record.arrivals {
        while let Some(word) = words.next_if(|word| word.at <= arrival.at) {
            match word.draining {
                true => since.entry((word.ingress, word.backend)).or_insert(word.at),
                false => &mut since.remove(&(word.ingress, word.backend)).unwrap_or_default(),
            };
        }
        let Some(told) = since.get(&(arrival.ingress, arrival.backend)) else { continue };
        let span = arrival.at - told;
        if disturbed(script, arrival.ingress, arrival.at) || disturbed(script, arrival.ingress, *told) {
            continue;
        }
        figures.drain = figures.drain.max(span);
        if span > GRACE + SLACK && late.insert((arrival.ingress, arrival.backend)) {
            let (by, server) = (arrival.ingress, arrival.backend);
            broken.push(format!("{} ms: {by} sends to {server}, told to drain {span} ms ago", arrival.at));
        }
    }
}

/// All go by an operator's word in time, and at the end all know the same words, and none of them holds any more.
fn words(script: &Script, outcome: &Outcome, figures: &mut Figures, broken: &mut Vec<String>) {
    for (i, yes) in outcome.yes.iter().enumerate().filter(|(_, yes)| yes.out) {
        let back = outcome.yes[i..].iter().find(|later| !later.out && later.server == yes.server);
        let until = back.map_or(i64::MAX, |back| back.at);
        for arrival in outcome.record.arrivals.iter().filter(|a| a.backend == yes.server) {
            let (span, by) = (arrival.at - yes.at, arrival.ingress);
            if span < 0 || arrival.at >= until || !script.same_fleet(by, yes.by) {
                continue;
            }
            if disturbed(script, by, arrival.at) || disturbed(script, by, yes.at) {
                continue;
            }
            figures.ban = figures.ban.max(span);
            let limit = if by == yes.by { GRACE } else { script.notice_time as i64 };
            if span > limit + SLACK {
                broken.push(format!("{} ms: {by} sends to {}, out since {span} ms", arrival.at, yes.server));
                break;
            }
        }
    }
    let mut known =
        outcome.words.iter().enumerate().filter(|(n, _)| *n < script.fleet_size() && outcome.run[*n]);
    let Some((first, Some(words))) = known.next() else { return };
    broken.extend(
        words
            .iter()
            .filter(|word| word.contains(" out ") || word.contains(" drained "))
            .map(|word| format!("the end: {first} still goes by {word}")),
    );
    for (n, other) in known.filter(|(_, other)| other.as_ref() != Some(words)) {
        broken.push(format!("the end: {n} knows the words {other:?}, and {first} knows {words:?}"));
    }
}

/// All that run say at the end that they have come back whole; and how long the fleet took to serve what it served.
fn returns(script: &Script, outcome: &Outcome, figures: &mut Figures, broken: &mut Vec<String>) {
    for (n, back) in outcome.back.iter().enumerate().filter(|(n, _)| outcome.run[*n]) {
        if back.as_ref().is_none_or(|(stage, _)| stage != "whole") {
            broken.push(format!("the end: {n} has come back so far: {back:?}"));
        }
    }
    let at: Vec<i64> = outcome.record.arrivals.iter().map(|arrival| arrival.at).collect();
    let within = |from: i64, to: i64| at.partition_point(|a| *a < to) - at.partition_point(|a| *a < from);
    for (i, fault) in script.faults.iter().enumerate() {
        let FaultKind::Start(of) = &fault.kind else { continue };
        let killed =
            |before: &&crate::script::Fault| matches!(&before.kind, FaultKind::Kill(k) if k.contains(&of[0]));
        let Some(kill) = script.faults[..i].iter().rev().find(killed) else { continue };
        let (kill, start) = (kill.at as i64, fault.at as i64);
        let usual = within(kill - 4000, kill) as f64 / 4.0;
        let again = (start..script.length as i64 - 3000).step_by(100);
        let again = again.filter(|_| usual > 0.0).find(|t| within(*t, t + 1000) as f64 >= 0.9 * usual);
        figures.back = figures.back.max(again.map_or(0, |t| t - start));
    }
}

/// What was sent on of each customer's stays below the ceiling, by a bucket that fills at its rate.
fn ceilings(script: &Script, outcome: &Outcome, figures: &mut Figures, broken: &mut Vec<String>) {
    let plan = &script.plan;
    if plan.ceiling <= 0.0 {
        return;
    }
    let (mut once, mut sent) = (HashSet::new(), BTreeMap::<u64, Vec<(i64, f64)>>::new());
    for arrival in &outcome.record.arrivals {
        let of = arrival.request_index.and_then(|n| outcome.asked.get(n));
        if let Some((customer, units)) = of.filter(|_| once.insert(&arrival.request_id)) {
            sent.entry(*customer).or_default().push((arrival.at, f64::from(*units)));
        }
    }
    let depth = plan.ceiling_burst + plan.ceiling * WIDER;
    // By the slack in parts, and by that of one request: broken where neither holds.
    let [parts, one] =
        [(plan.ceiling * (1.0 + OVER), depth * (1.0 + OVER)), (plan.ceiling, depth + f64::from(plan.units))];
    for (customer, sent) in sent {
        let over = |(rate, depth): (f64, f64)| -> f64 {
            let (mut level, mut last, mut worst) = (depth, 0, 0.0f64);
            for (at, units) in &sent {
                level = (level + rate * (at - last) as f64 / 1000.0).min(depth) - units;
                last = *at;
                worst = worst.max(-level);
            }
            worst
        };
        let used = over((plan.ceiling, depth));
        figures.ceiling = figures.ceiling.max((depth + used) / depth);
        if over(parts) > 0.0 && over(one) > 0.0 {
            broken.push(format!("customer {customer}: {used:.0} units above its ceiling"));
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

    fn arrival(at: i64, by: usize, server: usize, of: usize) -> Arrival {
        Arrival { at, ingress: by, backend: server, request_index: Some(of), request_id: format!("{of}") }
    }

    fn whole() -> Outcome {
        let view = |states: [&str; 3]| Some((0..3).zip(states.map(str::to_owned)).collect());
        let dead = |at, by| Seen { at, by, of: 2, state: "dead".into() };
        let word = |at, drains| DrainChange { at, ingress: 0, backend: 1, draining: drains };
        let words = Some(vec!["s0 server back by 1".to_owned()]);
        Outcome {
            seen: vec![dead(7500, 0), dead(7600, 1)],
            run: vec![true, true, false, true],
            last: vec![
                view(["self", "alive", "dead"]),
                view(["alive", "self", "dead"]),
                None,
                Some([(3, "self".into())].into()),
            ],
            words: vec![words.clone(), words, None, Some(Vec::new())],
            asked: vec![(7, 2); 10],
            ends: [8, 1, 1],
            datagrams: [0; 2],
            processor: Vec::new(),
            back: vec![Some(("whole".into(), Some(3100))); 4],
            yes: vec![
                Yes { at: 1000, by: 0, server: 0, out: true },
                Yes { at: 9000, by: 1, server: 0, out: false },
            ],
            record: Record {
                // Told to drain at 2 s, and back at 4 s; out by hand from 1 s to 9 s.
                arrivals: vec![
                    arrival(900, 0, 0, 0),
                    arrival(2100, 0, 1, 1),
                    arrival(4500, 0, 1, 2),
                    arrival(4600, 1, 0, 3),
                ],
                drain_changes: vec![word(2000, true), word(4000, false)],
                counter_calls: 0,
            },
        }
    }

    #[test]
    fn a_whole_record_holds_and_each_broken_one_is_seen() {
        let (broken, figures) = check(&script(), &whole());
        assert_eq!(broken, Vec::<String>::new());
        assert_eq!((figures.drain, figures.ban), (100, 3600));
        let broken = |change: fn(&mut Outcome)| {
            let mut outcome = whole();
            change(&mut outcome);
            check(&script(), &outcome).0.len()
        };
        // A death of one that runs, also by a one-sided cut.
        assert_eq!(broken(|o| o.seen.push(Seen { at: 6500, by: 0, of: 1, state: "dead".into() })), 1);
        // A death that was never noticed, one that was forgotten, a door that is shut, an answer that never came.
        assert_eq!(broken(|o| o.last[0] = Some([(1, "alive".into()), (2, "alive".into())].into())), 1);
        assert_eq!(broken(|o| o.last[1] = Some([(2, "dead".into())].into())), 1);
        assert_eq!(broken(|o| o.last[1] = None), 1);
        assert_eq!(broken(|o| o.ends[0] = 7), 1);
        // One of another fleet is seen.
        assert_eq!(broken(|o| o.last[3] = Some([(0, "dead".into())].into())), 1);
        // Work after a drain's word, after one's own yes, long after another's yes.
        assert_eq!(broken(|o| o.record.arrivals[1].at = 2900), 1);
        assert_eq!(broken(|o| o.record.arrivals[0].at = 1900), 1);
        assert_eq!(broken(|o| o.record.arrivals[3].at = 6900), 1);
        // One that lacks something at the end.
        assert_eq!(broken(|o| o.back[1] = Some(("partial".into(), None))), 1);
        // A word that was not heard, one that still holds.
        assert_eq!(broken(|o| o.words[1] = Some(Vec::new())), 1);
        assert_eq!(broken(|o| o.words.fill(Some(vec!["s0 server out by 1".into()]))), 1);
        // Five more of two units at once: 14 units where 6.5, or 8.5 by one request, are allowed.
        assert_eq!(broken(|o| o.record.arrivals.extend((4..9).map(|n| arrival(4600, 1, 1, n)))), 1);
        // The same requests, sent again, count once.
        assert_eq!(broken(|o| o.record.arrivals.extend((0..9).map(|_| arrival(4600, 1, 1, 3)))), 0);
    }
}
