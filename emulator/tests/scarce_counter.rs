//! Quotas that many ingresses share only through a counter that serves few of their calls, or nearly all.
//!
//! Guards against a counter that makes sharing worse than none. With a counter of 150 calls a second 0.06 to
//! 0.33 of the worth went beyond quotas, against 0.003 to 0.026 without a counter, and the fewer requests of
//! a customer an ingress saw, the more. More went beyond quotas at every spread, and with a counter that is
//! not scarce too (0.12 at 6,000 calls a second), so late calls were not the only reason.
//!
//! Each ingress kept a token bucket of the whole quota and subtracted the others' use by the counter's
//! totals. A bucket that was already empty ignored further use, use between two calls was reported seconds
//! late, and each answer admitted the whole content of the bucket. Now each ingress keeps its own slice of
//! the quota and calls only move units that were lent before: see `src/quota_pool.rs`.

use weldhub_emulator::report::Report;
use weldhub_emulator::script::Script;
use weldhub_emulator::world::play;

const CALM: &str = include_str!("../scripts/calm.toml");
const COUNTER: &str = "[counter]\ncalls_per_second = 1500.0\n";
const PEERS: &str = "[peers]\ndelay = [1.9, 30.0]\nloss = 0.07\nper_second = 60.0\n";
/// Differ from the seeds of `fleet.rs`.
const SEEDS: std::ops::Range<u64> = 40..50;

/// Runs the calm script for 12 s without peer messages, with each of `SEEDS`.
fn run_seeds(ingresses: u16, spread: [u16; 2], calls_per_second: Option<u32>) -> Vec<Report> {
    let counter =
        calls_per_second.map_or(String::new(), |n| format!("[counter]\ncalls_per_second = {n}.0\n"));
    let text = CALM
        .replace(COUNTER, &counter)
        .replace(PEERS, "")
        .replace("length = 30000.0", "length = 12000.0")
        .replace("count = 3\n", &format!("count = {ingresses}\n"))
        .replace("spread = [2, 3]", &format!("spread = [{}, {}]", spread[0], spread[1]));
    let script = Script::read(&text).unwrap();
    SEEDS.map(|seed| play(&script, seed).unwrap()).collect()
}

fn mean(reports: &[Report], figure: impl Fn(&Report) -> f64) -> f64 {
    reports.iter().map(figure).sum::<f64>() / reports.len() as f64
}

/// Asserts that with a counter, however few calls it serves, no less is served than without one, and hardly
/// more goes beyond quotas.
fn assert_counter_does_no_harm(ingresses: u16, spread: [u16; 2]) {
    let without_counter = run_seeds(ingresses, spread, None);
    for calls_per_second in [150, 1500, 6000] {
        let with_counter = run_seeds(ingresses, spread, Some(calls_per_second));
        let case = format!("{spread:?}, {calls_per_second} calls a second");
        for report in &with_counter {
            assert!(report.beyond < 0.1, "{case}: {report}");
        }
        let [beyond, beyond_without] =
            [&with_counter, &without_counter].map(|reports| mean(reports, |report| report.beyond));
        assert!(
            beyond < (beyond_without + 0.02).max(0.05),
            "{case}: {beyond} beyond, {beyond_without} without"
        );
        let [service, service_without] =
            [&with_counter, &without_counter].map(|reports| mean(reports, |report| report.service));
        assert!(service > service_without - 0.02, "{case}: {service}, {service_without} without");
        let [whole, whole_without] =
            [&with_counter, &without_counter].map(|reports| mean(reports, |report| report.whole));
        assert!(whole > whole_without - 0.02, "{case}: {whole} served, {whole_without} without");
    }
}

#[test]
fn counter_does_no_harm_where_two_or_three_ingresses_see_a_customer() {
    assert_counter_does_no_harm(24, [2, 3]);
}

#[test]
fn counter_does_no_harm_where_four_to_six_ingresses_see_a_customer() {
    assert_counter_does_no_harm(24, [4, 6]);
}

#[test]
fn counter_does_no_harm_where_eight_to_twelve_ingresses_see_a_customer() {
    assert_counter_does_no_harm(24, [8, 12]);
}

#[test]
fn counter_does_no_harm_where_twelve_to_sixteen_ingresses_see_a_customer() {
    assert_counter_does_no_harm(24, [12, 16]);
}

#[test]
fn counter_does_no_harm_where_half_or_more_ingresses_see_a_customer() {
    assert_counter_does_no_harm(24, [12, 24]);
}

#[test]
fn counter_does_no_harm_where_all_ingresses_see_a_customer() {
    assert_counter_does_no_harm(24, [24, 24]);
}

/// Known to fail, see `KNOWN-RED.txt`: up to 0.2 of the worth goes beyond quotas. Here a slice holds less
/// than one unit of most bursts, so the totals of all ingresses' use decide, and each ingress reads them by
/// itself. Half a window's refill is admitted beside the burst although the total may just have restarted,
/// and some tries are admitted without a call. Figures: `docs/incidents/2026-12-03-scarce-counter.md`.
#[test]
fn it_does_no_harm_where_hundreds_see_a_customer() {
    assert_counter_does_no_harm(150, [75, 150]);
}
