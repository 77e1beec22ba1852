//! Whole fleets: runs are reproducible, shares stay high without and with troubles, and the checker finds
//! policies that violate a rule.

use weldhub::interface::{AttemptIndex, BackendEntry, BackendId, BackendState, Outcome, RequestId};
use weldhub::view::View;
use weldhub::{Action, Event, Limiter, Settings};
use weldhub_emulator::report::Report;
use weldhub_emulator::script::Script;
use weldhub_emulator::world::{DecisionModule, Trace, play, run, shipped_limiter};

const CALM: &str = include_str!("../scripts/calm.toml");

/// Reads a script, shortened to 12 s, with these troubles.
fn script(text: &str, troubles: &str) -> Script {
    Script::read(&format!("{}\n{troubles}", text.replace("length = 30000.0", "length = 12000.0"))).unwrap()
}

/// Runs the calm script with these troubles.
fn run_calm(troubles: &str) -> Report {
    play(&script(CALM, troubles), 7).unwrap()
}

#[test]
fn same_seed_gives_the_same_bytes_and_another_does_not() {
    let troubles = "[[troubles]]\nat = 3000.0\ndo = { crash = { share = 0.7, down = [1000.0, 2000.0] } }\n\
                    [[troubles]]\nat = 5000.0\ndo = { release = { share = 0.5, at_once = 0.2, over = 4000.0, grace = 1500.0 } }";
    let script = script(CALM, troubles);
    let text = |seed| play(&script, seed).unwrap().to_json().unwrap();
    assert_eq!(text(3), text(3));
    assert_ne!(text(3), text(4));
    let traced = run(&script, 3, &shipped_limiter, Trace { interval_ms: 100.0 }).unwrap();
    let again = run(&script, 3, &shipped_limiter, Trace { interval_ms: 100.0 }).unwrap();
    assert_eq!(format!("{:?}", traced.ingresses), format!("{:?}", again.ingresses));
    assert!(traced.ingresses.iter().any(|s| !s.up) && traced.backends.iter().any(|s| s.draining));
}

#[test]
fn calm_run_serves_nearly_all_inside_the_quotas_and_violates_no_rule() {
    let report = run_calm("");
    assert!(report.service > 0.96 && report.broken.is_empty(), "{report}");
    // Customers that exceed their quotas are active as well, and are rejected.
    assert!(report.classes.iter().all(|c| c.refused > 0 && c.p50_ms < 200.0), "{report}");
}

const COUNTER: &str = "[counter]\ncalls_per_second = 1500.0\n";
const PEERS: &str = "[peers]\ndelay = [1.9, 30.0]\nloss = 0.07\nper_second = 60.0\n";

/// Asserts that requests sent on beyond the quotas cost less than a tenth of the worth. Some are unavoidable,
/// as ingresses learn of each other's use late.
fn assert_excess_below_a_tenth(case: &str, text: &str) {
    for seed in [7, 8, 9] {
        let report = play(&script(text, ""), seed).unwrap();
        assert!(report.beyond < 0.1, "{case}, seed {seed}: {report}");
    }
}

#[test]
fn excess_costs_less_than_a_tenth_on_calm_runs() {
    assert!(CALM.contains(COUNTER) && CALM.contains(PEERS));
    let [no_counter, no_peers] = [COUNTER, PEERS].map(|part| CALM.replace(part, ""));
    assert_excess_below_a_tenth("both", CALM);
    assert_excess_below_a_tenth("peers", &no_counter);
    assert_excess_below_a_tenth("counter", &no_peers);
    assert_excess_below_a_tenth("neither", &no_counter.replace(PEERS, ""));
}

/// Many ingresses that each see few requests of a customer, and a counter that serves few of their calls.
#[test]
fn excess_costs_less_than_a_tenth_with_many_ingresses_and_a_scarce_counter() {
    let many = CALM.replace(PEERS, "").replace("count = 3\n", "count = 24\n");
    let many = many
        .replace("spread = [2, 3]", "spread = [12, 24]")
        .replace("calls_per_second = 1500.0", "calls_per_second = 150.0");
    assert_excess_below_a_tenth("many, a scarce counter", &many);
}

#[test]
fn each_trouble_has_its_expected_effect_and_violates_no_rule() {
    let calm = run_calm("");
    let trouble = |kind: &str| {
        let report = run_calm(&format!("[[troubles]]\nat = 4000.0\ndo = {kind}"));
        assert!(report.broken.is_empty(), "{kind}: {report}");
        report
    };
    assert!(trouble("{ slow = { times = 2.5, lasting = 5000.0 } }").service < calm.service - 0.05);
    assert!(trouble("{ crash = { share = 1.0, down = [3000.0, 3000.0] } }").worst < 0.85);
    assert!(trouble("{ cut = { hall = 1, lasting = 3000.0 } }").attempts > 0);
    assert!(trouble("{ hand = { servers = 3, lasting = 4000.0 } }").service > 0.85);
    assert!(trouble("{ bad = { servers = 2, times = 4.0, errors = 0.5, lasting = 5000.0 } }").service > 0.85);
    assert!(trouble("{ silence = { loss = 1.0, lasting = 5000.0 } }").service > 0.8);
    assert!(trouble("{ surge = { times = 2.0, lasting = 5000.0 } }").tries > calm.tries);
    assert!(trouble("\"upgrade\"").service > calm.service - 0.03, "an upgrade hands over the whole state");
    assert!(trouble("{ shift = { share = 0.5 } }").service > 0.9);
    let roll = "{ roll = { share = 0.94, at_once = 0.27, over = 6000.0, down = [300.0, 500.0] } }";
    assert!(trouble(roll).service > 0.7);
}

#[test]
fn serves_with_every_discovery_source_and_way_of_sharing_quotas() {
    let release = "[[troubles]]\nat = 3000.0\ndo = { release = { share = 0.5, at_once = 0.2, over = 5000.0, grace = 2500.0 } }";
    for by in ["push", "asked", "consul"] {
        let report = play(&script(CALM, &format!("[discovery]\nby = \"{by}\"\n{release}")), 5).unwrap();
        assert!(report.service > 0.8 && report.broken.is_empty(), "{by}: {report}");
    }
    let start = CALM.find("[peers]").unwrap();
    let end = CALM.find("[load]").unwrap();
    let counted = script(&format!("{}{}", &CALM[..start], &CALM[end..]), "");
    let report = play(&counted, 5).unwrap();
    assert!(report.calls > 1000 && report.service > 0.9 && report.broken.is_empty(), "{report}");
    let lost = script(
        &format!("{}{}", &CALM[..start], &CALM[end..]),
        "[[troubles]]\nat = 3000.0\ndo = { counter_lost = { lasting = 6000.0 } }\n[[troubles]]\nat = 10000.0\ndo = \"counter_replaced\"",
    );
    let without = play(&lost, 5).unwrap();
    assert!(without.calls > 500 && without.service < report.service, "{without}");
    let library = play(&script(&CALM.replace("\"hasty\"", "\"library\""), ""), 5).unwrap();
    let hasty = play(&script(CALM, ""), 5).unwrap();
    assert!(library.tries < hasty.tries && library.service > 0.95, "{library}");
}

/// The shipped limiter, modified to violate one rule.
struct RuleViolator {
    inner: Limiter,
    /// Name of the rule that it violates.
    violation: &'static str,
    /// Backends that were listed as draining or gone.
    unavailable: Vec<BackendId>,
    /// The last attempt's request and backend.
    last_attempt: Option<(RequestId, BackendId)>,
    /// The backend that started last.
    cold: Option<BackendId>,
}

impl DecisionModule for RuleViolator {
    fn handle(&mut self, now: f64, mut event: Event, actions: &mut Vec<Action>) {
        if let Event::BackendList(_, entries) = &mut event {
            for e in entries.iter_mut() {
                if e.state != BackendState::Ready && self.violation == "drain" {
                    // Treats draining backends as ready.
                    self.unavailable.push(e.backend);
                    e.state = BackendState::Ready;
                }
                if let (Some(at), "cold") = (e.last_start, self.violation) {
                    self.cold = (now - at < 3000.0).then_some(e.backend).or(self.cold);
                }
            }
            let known: Vec<BackendEntry> = entries.clone();
            event = Event::BackendList(weldhub::interface::ListKind::Changes, known);
        }
        if self.violation == "answer" && matches!(event, Event::Request(_)) {
            return;
        }
        if let (Event::AttemptEnded(end), "resend") = (&event, self.violation)
            && matches!(end.outcome, Outcome::Reset | Outcome::Error)
            && end.attempt == AttemptIndex(0)
            && !end.request_closed
        {
            // Sends any request again, to the backend of the last attempt.
            if let Some((_, backend)) = self.last_attempt {
                actions.push(Action::Send {
                    request: end.request,
                    backend,
                    timeout: None,
                    send_within: None,
                });
                return;
            }
        }
        self.inner.handle(now, event, actions);
        for action in actions.iter_mut() {
            if let Action::Send { request, backend, .. } = action {
                if let Some(unavailable) = self.unavailable.last().filter(|_| self.violation == "drain") {
                    *backend = *unavailable;
                }
                if let Some(cold) = self.cold.filter(|_| self.violation == "cold") {
                    *backend = cold;
                }
                self.last_attempt = Some((*request, *backend));
            }
        }
    }

    fn view(&self, now: f64) -> View {
        self.inner.view(now)
    }

    fn hand_over(&mut self) -> Vec<u8> {
        self.inner.hand_over()
    }

    fn inherit(&mut self, bytes: &[u8]) -> bool {
        self.inner.inherit(bytes).is_ok()
    }
}

#[test]
fn checker_reports_each_violating_policy_and_not_the_shipped_one() {
    let troubles = "[[troubles]]\nat = 2000.0\ndo = { release = { share = 0.6, at_once = 0.3, over = 3000.0, grace = 2500.0 } }\n\
                    [[troubles]]\nat = 1000.0\ndo = { bad = { servers = 4, times = 1.0, errors = 0.3, lasting = 9000.0 } }";
    let mut script = script(CALM, troubles);
    // Many requests of an unsafe class, and many customers that reach their ceiling.
    script.classes[2].share = 2.0;
    script.load.kinds = [0.1, 0.5, 0.1];
    let shipped_report = play(&script, 9).unwrap();
    assert!(shipped_report.broken.is_empty(), "{shipped_report}");
    for (violation, rule) in [
        ("drain", "drain"),
        ("cold", "cold"),
        ("resend", "resend"),
        ("answer", "answer"),
        ("ceiling", "ceiling"),
    ] {
        let maker = move |mut settings: Settings, seed| -> Result<Box<dyn DecisionModule>, String> {
            if violation == "ceiling" {
                // Knows of no quotas.
                for plan in &mut settings.plans {
                    (plan.rate, plan.max_in_flight, plan.ceiling_rate) = (0.0, 0.0, 0.0);
                }
            }
            let inner = Limiter::new(settings, seed).map_err(|e| e.to_string())?;
            Ok(Box::new(RuleViolator {
                inner,
                violation,
                unavailable: Vec::new(),
                last_attempt: None,
                cold: None,
            }))
        };
        let report = run(&script, 9, &maker, Trace::default()).unwrap().report;
        assert!(
            report.broken.iter().any(|(violated, n)| violated == rule && *n > 0),
            "{violation}: {report}"
        );
    }
}
