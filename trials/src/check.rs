//! What must hold of a record: deaths that are none, views that do not become one, requests without an end.

use crate::script::{Script, What};
use serde::Serialize;
use std::collections::BTreeMap;

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

/// What a trial came to.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Outcome {
    /// All changes, in order.
    pub seen: Vec<Seen>,
    /// Which ran at the end.
    pub run: Vec<bool>,
    /// The last views, by ingress: states by number; none where its door did not answer.
    pub last: Vec<Option<BTreeMap<usize, String>>>,
    /// Requests asked, and ends that they came to: served, refused, failed.
    pub asked: u64,
    /// The ends.
    pub ends: [u64; 3],
    /// Datagrams that came to the relay, and those it passed on.
    pub datagrams: [u64; 2],
}

/// An ingress's time that it stood still or was cut off, widened by what a suspicion may take.
fn disturbed(script: &Script, n: usize, at: u64) -> bool {
    const SLACK: u64 = 6000;
    script.faults.iter().any(|fault| {
        let touched = match &fault.what {
            What::Kill(of) | What::Term(of) | What::Start(of) | What::Pause { of, .. } => of.contains(&n),
            // One side of a one-sided cut is still heard by the others: nobody may die of it.
            What::Cut { from, to, one_sided, .. } => !one_sided && (from.contains(&n) || to.contains(&n)),
            What::Net { net, .. } => net.loss > 0.3,
        };
        let down = matches!(&fault.what, What::Kill(_) | What::Term(_));
        touched && at >= fault.at && (down || at <= fault.end() + SLACK)
    })
}

/// What is broken; empty where all holds.
pub fn check(script: &Script, outcome: &Outcome) -> Vec<String> {
    let mut broken = Vec::new();
    for seen in outcome.seen.iter().filter(|s| s.state == "dead") {
        if !disturbed(script, seen.of, seen.at) && !disturbed(script, seen.by, seen.at) {
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
            // A suspect may still say that it lives, and does at high loss.
            if matches!(state, "alive" | "suspect") != *run {
                let is = if *run { "runs" } else { "does not" };
                broken.push(format!("the end: {n} sees {of} as {state}, which {is}"));
            }
        }
    }
    let ended: u64 = outcome.ends.iter().sum();
    if ended != outcome.asked {
        broken.push(format!("{} requests were asked and {ended} came to an end", outcome.asked));
    }
    broken
}

#[cfg(test)]
mod tests {
    use super::*;

    fn script() -> Script {
        let kill = "[[faults]]\nat = 5000\ndo = { kill = [2] }\n";
        let cut = "[[faults]]\nat = 6000\ndo = { cut = { from = [0], to = [1], one_sided = true, lasting = 100 } }\n";
        Script::read(&format!("ingresses = 3\nservers = 1\nlength = 30000\n{kill}{cut}")).unwrap()
    }

    fn whole() -> Outcome {
        let view = |states: [&str; 3]| Some((0..3).zip(states.map(str::to_owned)).collect());
        let dead = |at, by| Seen { at, by, of: 2, state: "dead".into() };
        Outcome {
            seen: vec![dead(7500, 0), dead(7600, 1)],
            run: vec![true, true, false],
            last: vec![view(["self", "alive", "dead"]), view(["alive", "self", "dead"]), None],
            asked: 10,
            ends: [8, 1, 1],
            datagrams: [0; 2],
        }
    }

    #[test]
    fn a_whole_record_holds_and_each_broken_one_is_seen() {
        assert_eq!(check(&script(), &whole()), Vec::<String>::new());
        let broken = |change: fn(&mut Outcome)| {
            let mut outcome = whole();
            change(&mut outcome);
            check(&script(), &outcome).len()
        };
        // A death of one that runs, also by a one-sided cut.
        assert_eq!(broken(|o| o.seen.push(Seen { at: 6500, by: 0, of: 1, state: "dead".into() })), 1);
        // A death that was never noticed, one that was forgotten, a door that is shut, an answer that never came.
        assert_eq!(broken(|o| o.last[0] = Some([(1, "alive".into()), (2, "alive".into())].into())), 1);
        assert_eq!(broken(|o| o.last[1] = Some([(2, "dead".into())].into())), 1);
        assert_eq!(broken(|o| o.last[1] = None), 1);
        assert_eq!(broken(|o| o.ends[0] = 7), 1);
    }
}
