//! Few ingresses in front of small backends, with a plan whose quota is a cap on attempts in flight.

use weldhub_emulator::report::Report;
use weldhub_emulator::script::Script;
use weldhub_emulator::world::{Trace, play, run, shipped_limiter};

const OVERLOAD: &str = include_str!("../scripts/two-cores-overload.toml");
const SLOW: &str = include_str!("../scripts/two-cores-slow.toml");
const SHRINK: &str = include_str!("../scripts/two-cores-shrink.toml");
const ONE_SLOW: &str = include_str!("../scripts/two-cores-one-slow.toml");

fn run_script(text: &str) -> Report {
    play(&Script::read(text).unwrap(), 1).unwrap()
}

#[test]
fn violates_no_rule_and_keeps_the_service_score_in_each_trouble() {
    for (text, least) in [(OVERLOAD, 0.6), (SLOW, 0.6), (SHRINK, 0.7), (ONE_SLOW, 0.8)] {
        let report = run_script(text);
        assert!(report.broken.is_empty() && report.service > least, "{report}");
    }
}

#[test]
fn removed_backends_have_no_successors() {
    let outcomes =
        run(&Script::read(SHRINK).unwrap(), 1, &shipped_limiter, Trace { interval_ms: 1000.0 }).unwrap();
    let up_at = |at: f64| outcomes.backends.iter().filter(|s| s.at == at && s.up).count();
    assert_eq!((up_at(0.0), up_at(44_000.0)), (13, 5));
    assert!(outcomes.backends.iter().all(|s| s.backend < 13));
}

#[test]
fn unrated_plan_is_limited_by_its_cap_alone() {
    let asked = |script: &Script| -> f64 {
        let report = play(script, 1).unwrap();
        assert!(report.broken.is_empty(), "{report}");
        report.seconds.iter().map(|second| second.asked).sum()
    };
    let script = Script::read(ONE_SLOW).unwrap();
    let [narrow, wide] = ["1.0", "6.0"].map(|cap| asked(&script.with_value("plans.0.at_once", cap).unwrap()));
    assert!(narrow < wide * 0.95, "{narrow} and {wide}");
    // The rate sets the demand and admits nothing: a tiny burst changes nothing.
    let tiny = script.with_value("plans.0.burst", "0.01").unwrap();
    assert_eq!(asked(&script), asked(&tiny));
    let why = script.with_value("plans.0.at_once", "0").unwrap_err().to_string();
    assert!(why.contains("plans.0.at_once"), "{why}");
}
