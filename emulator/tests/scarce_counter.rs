//! Quotas that many ingresses share over a counter alone, which takes in few of their calls or nearly all.
//!
//! What happened: with a counter of 150 calls a second 0.06 to 0.33 of the worth went beyond quotas, where none went beyond
//! without any counter (0.003 to 0.026), and the less an ingress saw of a customer the worse it was. Why: each ingress kept a
//! store of the whole quota, corrected by what totals told of the others' draws. A store that was empty forgot what it heard beyond
//! that; what slices let in between two calls was told seconds late; and every answer let in the whole of what the store
//! held. The figures that showed it are the table's: more went beyond at every spread, also with a counter that is not scarce (0.12
//! at 6,000 calls a second), which calls that come too late alone could not do.
//!
//! Now a slice stays its ingress's own, and calls only move units that were lent before: see `src/quota_pool.rs`.

use weldhub_emulator::report::Report;
use weldhub_emulator::script::Script;
use weldhub_emulator::world::play;

const CALM: &str = include_str!("../scripts/calm.toml");
const COUNTER: &str = "[counter]\ncalls_per_second = 1500.0\n";
const PEERS: &str = "[peers]\ndelay = [1.9, 30.0]\nloss = 0.07\nper_second = 60.0\n";
/// Other seeds than those of `fleet.rs`.
const SEEDS: std::ops::Range<u64> = 40..50;

/// A calm day of 12 s of so many ingresses without messages between them, on these seeds.
fn days(ingresses: u16, spread: [u16; 2], calls_per_second: Option<u32>) -> Vec<Report> {
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

fn mean(days: &[Report], of: impl Fn(&Report) -> f64) -> f64 {
    days.iter().map(of).sum::<f64>() / days.len() as f64
}

/// With a counter, however scarce, no less is served than with none, and hardly more goes beyond quotas.
fn a_counter_does_no_harm(ingresses: u16, spread: [u16; 2]) {
    let none = days(ingresses, spread, None);
    for calls_per_second in [150, 1500, 6000] {
        let days = days(ingresses, spread, Some(calls_per_second));
        let case = format!("{spread:?}, {calls_per_second} calls a second");
        for day in &days {
            assert!(day.beyond < 0.1, "{case}: {day}");
        }
        let [beyond, beyond_with_none] = [&days, &none].map(|days| mean(days, |day| day.beyond));
        assert!(
            beyond < (beyond_with_none + 0.02).max(0.05),
            "{case}: {beyond} beyond, {beyond_with_none} with none"
        );
        let [service, service_with_none] = [&days, &none].map(|days| mean(days, |day| day.service));
        assert!(service > service_with_none - 0.02, "{case}: {service}, {service_with_none} with none");
        let [whole, whole_with_none] = [&days, &none].map(|days| mean(days, |day| day.whole));
        assert!(whole > whole_with_none - 0.02, "{case}: {whole} served, {whole_with_none} with none");
    }
}

#[test]
fn it_does_no_harm_where_two_or_three_see_a_customer() {
    a_counter_does_no_harm(24, [2, 3]);
}

#[test]
fn it_does_no_harm_where_four_to_six_see_a_customer() {
    a_counter_does_no_harm(24, [4, 6]);
}

#[test]
fn it_does_no_harm_where_eight_to_twelve_see_a_customer() {
    a_counter_does_no_harm(24, [8, 12]);
}

#[test]
fn it_does_no_harm_where_twelve_to_sixteen_see_a_customer() {
    a_counter_does_no_harm(24, [12, 16]);
}

#[test]
fn it_does_no_harm_where_half_or_more_see_a_customer() {
    a_counter_does_no_harm(24, [12, 24]);
}

#[test]
fn it_does_no_harm_where_all_see_a_customer() {
    a_counter_does_no_harm(24, [24, 24]);
}

/// Red: up to 0.2 of the worth goes beyond quotas. Here a slice holds less than one unit of most bursts, so totals of what all draw
/// decide, each read by itself. Half a window's refill is let in beside the burst, though the number may just have begun, and some tries
/// are let in without a call. `KNOWN-RED.txt`; figures in `docs/incidents/2026-12-03-scarce-counter.md`.
#[test]
fn it_does_no_harm_where_hundreds_see_a_customer() {
    a_counter_does_no_harm(150, [75, 150]);
}
