//! Whole fleets: the same again from a seed, what is served when nothing and when something is wrong, and a checker that
//! finds broken policies.

use weldhub::interface::{AttemptIndex, BackendEntry, BackendId, BackendState, Outcome, RequestId};
use weldhub::view::View;
use weldhub::{Action, Event, Limiter, Settings};
use weldhub_emulator::report::Report;
use weldhub_emulator::script::Script;
use weldhub_emulator::world::{Decide, Trace, play, run, shipped};

const CALM: &str = include_str!("../scripts/calm.toml");

fn script(text: &str, troubles: &str) -> Script {
    Script::read(&format!("{}\n{troubles}", text.replace("length = 30000.0", "length = 12000.0"))).unwrap()
}

fn played(troubles: &str) -> Report {
    play(&script(CALM, troubles), 7).unwrap()
}

#[test]
fn the_same_seed_gives_the_same_bytes_and_another_does_not() {
    let troubles = "[[troubles]]\nat = 3000.0\ndo = { crash = { share = 0.7, down = [1000.0, 2000.0] } }\n\
                    [[troubles]]\nat = 5000.0\ndo = { release = { share = 0.5, at_once = 0.2, over = 4000.0, grace = 1500.0 } }";
    let script = script(CALM, troubles);
    let text = |seed| play(&script, seed).unwrap().to_json().unwrap();
    assert_eq!(text(3), text(3));
    assert_ne!(text(3), text(4));
    let traced = run(&script, 3, &shipped, Trace { every: 100.0 }).unwrap();
    let again = run(&script, 3, &shipped, Trace { every: 100.0 }).unwrap();
    assert_eq!(format!("{:?}", traced.ingresses), format!("{:?}", again.ingresses));
    assert!(traced.ingresses.iter().any(|s| !s.up) && traced.servers.iter().any(|s| s.drains));
}

#[test]
fn on_a_calm_day_nearly_all_inside_the_quotas_is_served_and_no_rule_is_broken() {
    let report = played("");
    assert!(report.service > 0.96 && report.broken.is_empty(), "{report}");
    // Floods beyond the quotas come beside it, and are refused.
    assert!(report.classes.iter().all(|c| c.refused > 0 && c.p50_ms < 200.0), "{report}");
}

const COUNTER: &str = "[counter]\ncalls_per_second = 1500.0\n";
const PEERS: &str = "[peers]\ndelay = [1.9, 30.0]\nloss = 0.07\nper_second = 60.0\n";

/// What is let through beyond the quotas on calm days costs a tenth of the worth at most: a policy that sees the true
/// state late lets some through, too, and pays no less than nothing for it.
fn costs_a_tenth_at_most(how: &str, text: &str) {
    for seed in [7, 8, 9] {
        let report = play(&script(text, ""), seed).unwrap();
        assert!(report.beyond < 0.1, "{how}, seed {seed}: {report}");
    }
}

#[test]
fn on_a_calm_day_what_is_let_through_beyond_the_quotas_costs_a_tenth_at_most() {
    assert!(CALM.contains(COUNTER) && CALM.contains(PEERS));
    let [no_counter, no_peers] = [COUNTER, PEERS].map(|part| CALM.replace(part, ""));
    costs_a_tenth_at_most("both", CALM);
    costs_a_tenth_at_most("peers", &no_counter);
    costs_a_tenth_at_most("counter", &no_peers);
    costs_a_tenth_at_most("neither", &no_counter.replace(PEERS, ""));
}

/// Many ingresses that see little of each customer, and a counter that takes in few of their calls.
#[test]
fn so_it_does_where_many_ingresses_have_a_scarce_counter() {
    let many = CALM.replace(PEERS, "").replace("count = 3\n", "count = 24\n");
    let many = many
        .replace("spread = [2, 3]", "spread = [12, 24]")
        .replace("calls_per_second = 1500.0", "calls_per_second = 150.0");
    costs_a_tenth_at_most("many, a scarce counter", &many);
}

#[test]
fn each_trouble_is_seen_in_what_it_should_cost_and_no_rule_is_broken() {
    let calm = played("");
    let trouble = |what: &str| {
        let report = played(&format!("[[troubles]]\nat = 4000.0\ndo = {what}"));
        assert!(report.broken.is_empty(), "{what}: {report}");
        report
    };
    assert!(trouble("{ slow = { times = 2.5, lasting = 5000.0 } }").service < calm.service - 0.05);
    assert!(trouble("{ crash = { share = 1.0, down = [3000.0, 3000.0] } }").worst < 0.85);
    assert!(trouble("{ cut = { hall = 1, lasting = 3000.0 } }").attempts > 0);
    assert!(trouble("{ hand = { servers = 3, lasting = 4000.0 } }").service > 0.85);
    assert!(trouble("{ bad = { servers = 2, times = 4.0, errors = 0.5, lasting = 5000.0 } }").service > 0.85);
    assert!(trouble("{ silence = { loss = 1.0, lasting = 5000.0 } }").service > 0.8);
    assert!(trouble("{ surge = { times = 2.0, lasting = 5000.0 } }").tries > calm.tries);
    assert!(trouble("\"upgrade\"").service > calm.service - 0.03, "it hands all over");
    assert!(trouble("{ shift = { share = 0.5 } }").service > 0.9);
    let roll = "{ roll = { share = 0.94, at_once = 0.27, over = 6000.0, down = [300.0, 500.0] } }";
    assert!(trouble(roll).service > 0.7);
}

#[test]
fn every_way_of_telling_lists_and_sharing_quotas_serves() {
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

/// A policy that breaks a rule on purpose.
struct Broken {
    inner: Limiter,
    how: &'static str,
    gone: Vec<BackendId>,
    last: Option<(RequestId, BackendId)>,
    cold: Option<BackendId>,
}

impl Decide for Broken {
    fn handle(&mut self, now: f64, mut event: Event, acts: &mut Vec<Action>) {
        if let Event::BackendList(_, entries) = &mut event {
            for e in entries.iter_mut() {
                if e.state != BackendState::Ready && self.how == "drain" {
                    // Believes that nothing ever drains.
                    self.gone.push(e.backend);
                    e.state = BackendState::Ready;
                }
                if let (Some(at), "cold") = (e.last_start, self.how) {
                    self.cold = (now - at < 3000.0).then_some(e.backend).or(self.cold);
                }
            }
            let known: Vec<BackendEntry> = entries.clone();
            event = Event::BackendList(weldhub::interface::ListKind::Changes, known);
        }
        if self.how == "answer" && matches!(event, Event::Request(_)) {
            return;
        }
        if let (Event::AttemptEnded(end), "resend") = (&event, self.how)
            && matches!(end.outcome, Outcome::Reset | Outcome::Error)
            && end.attempt == AttemptIndex(0)
            && !end.request_closed
        {
            // Sends whatever it was once more, wherever the last one went.
            if let Some((_, server)) = self.last {
                acts.push(Action::Send {
                    request: end.request,
                    backend: server,
                    timeout: None,
                    send_within: None,
                });
                return;
            }
        }
        self.inner.handle(now, event, acts);
        for act in acts.iter_mut() {
            if let Action::Send { request, backend: server, .. } = act {
                if let Some(gone) = self.gone.last().filter(|_| self.how == "drain") {
                    *server = *gone;
                }
                if let Some(cold) = self.cold.filter(|_| self.how == "cold") {
                    *server = cold;
                }
                self.last = Some((*request, *server));
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
fn the_checker_finds_each_broken_policy_and_not_the_shipped_one() {
    let troubles = "[[troubles]]\nat = 2000.0\ndo = { release = { share = 0.6, at_once = 0.3, over = 3000.0, grace = 2500.0 } }\n\
                    [[troubles]]\nat = 1000.0\ndo = { bad = { servers = 4, times = 1.0, errors = 0.3, lasting = 9000.0 } }";
    let mut day = script(CALM, troubles);
    // Moves, many and unsafe, and a ceiling that floods reach.
    day.classes[2].share = 2.0;
    day.load.kinds = [0.1, 0.5, 0.1];
    let fair = play(&day, 9).unwrap();
    assert!(fair.broken.is_empty(), "{fair}");
    for (how, rule) in [
        ("drain", "drain"),
        ("cold", "cold"),
        ("resend", "resend"),
        ("answer", "answer"),
        ("ceiling", "ceiling"),
    ] {
        let maker = move |mut settings: Settings, seed| -> Result<Box<dyn Decide>, String> {
            if how == "ceiling" {
                // Knows of no quota at all.
                for plan in &mut settings.plans {
                    (plan.rate, plan.max_in_flight, plan.ceiling_rate) = (0.0, 0.0, 0.0);
                }
            }
            let inner = Limiter::new(settings, seed).map_err(|e| e.to_string())?;
            Ok(Box::new(Broken { inner, how, gone: Vec::new(), last: None, cold: None }))
        };
        let report = run(&day, 9, &maker, Trace::default()).unwrap().report;
        assert!(report.broken.iter().any(|(broken, n)| broken == rule && *n > 0), "{how}: {report}");
    }
}
