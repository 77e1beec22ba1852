//! Subsets of backends, one for each ingress: bounded in size, evenly spread over backends and zones, and stable while
//! backends and ingresses come and go.

use quickcheck::{Gen, QuickCheck};
use std::collections::{BTreeMap, BTreeSet};
use weldhub::config::Config;
use weldhub::entries::{BackendList, ServiceEntry, backend_id};
use weldhub::interface::{BackendEntry, BackendId, BackendState, CellId, IngressId, KindId, ZoneId};
use weldhub::subset::Subset;

/// The number of zones that the backends are spread over.
const ZONES: usize = 5;

/// Returns the list entry of a backend; the zone follows from its number.
fn entry(number: usize, state: BackendState) -> ServiceEntry {
    let zone = ZoneId((number % ZONES) as u8);
    let backend = backend_id(&format!("backend-{number}"));
    let (cell, kind) = (CellId(0), KindId(0));
    let entry = BackendEntry { backend, state, weight: 1.0, zone, cell, kind, last_start: None };
    ServiceEntry { entry, address: "10.0.0.1:1".parse().ok() }
}

/// Returns a list, either complete or of changes only.
fn list(complete: bool, entries: Vec<ServiceEntry>) -> BackendList {
    BackendList { generation: 1, complete, entries }
}

/// Returns a complete list of ready backends, numbered from 0.
fn ready(backends: usize) -> BackendList {
    list(true, (0..backends).map(|number| entry(number, BackendState::Ready)).collect())
}

/// Returns the subsets of all ingresses of a fleet, each of the target size `size`.
fn fleet(ingresses: u16, size: usize, backends: usize) -> Vec<Subset> {
    let subset_of = |number| {
        let mut subset = Subset::new(IngressId(number), ingresses, size);
        subset.apply_list(0.0, ready(backends));
        subset
    };
    (0..ingresses).map(subset_of).collect()
}

/// The ready backends of a subset.
fn held(subset: &Subset) -> BTreeSet<BackendId> {
    subset.ready_backends().collect()
}

/// The number of ingresses that hold each backend, for the backends held by any.
fn holder_counts<'a>(fleet: impl Iterator<Item = &'a Subset>) -> BTreeMap<BackendId, usize> {
    let mut all = BTreeMap::new();
    fleet.flat_map(Subset::ready_backends).for_each(|id| *all.entry(id).or_default() += 1);
    all
}

#[test]
fn subsets_are_bounded_and_backends_are_evenly_held() {
    for (ingresses, size, backends) in [(30, 32, 300), (40, 48, 400), (40, 32, 1300), (20, 64, 40)] {
        let all = fleet(ingresses, size, backends);
        let expected =
            (f64::from(ingresses) * size as f64 / backends as f64).clamp(1.0, f64::from(ingresses));
        let expected = expected.round() as usize;
        let by_backend = holder_counts(all.iter());
        assert_eq!(by_backend.len(), backends, "every backend is held by an ingress");
        assert!(by_backend.values().all(|count| *count >= expected), "{ingresses} {size} {backends}");
        let more = by_backend.values().filter(|count| **count > expected).count();
        assert!(more * 5 <= backends, "{more} of {backends} are held by more than {expected}");
        let mean_size = backends * expected / usize::from(ingresses);
        for subset in &all {
            let count = held(subset).len();
            assert!(count >= size.min(backends) / 2 && count <= 2 * mean_size, "{count} of {mean_size}");
        }
    }
}

#[test]
fn every_subset_holds_backends_of_each_zone() {
    for subset in fleet(30, 50, 500) {
        let mut zones = [0; ZONES];
        let number: BTreeMap<BackendId, usize> =
            (0..500).map(|n| (backend_id(&format!("backend-{n}")), n)).collect();
        held(&subset).iter().for_each(|id| zones[number[id] % ZONES] += 1);
        assert!(zones.iter().all(|count| *count >= 5), "{zones:?}");
    }
}

#[test]
fn adding_or_removing_a_backend_takes_no_other_backend_from_a_subset() {
    fn check(number: usize) -> bool {
        let (mut all, number) = (fleet(24, 32, 160), number % 160);
        let before: Vec<_> = all.iter().map(held).collect();
        let id = backend_id(&format!("backend-{number}"));
        let gone = list(false, vec![entry(number, BackendState::Gone)]);
        all.iter_mut().for_each(|subset| drop(subset.apply_list(1.0, gone.clone())));
        // A subset that falls below its minimum for a zone takes in further backends, which this allows.
        let lost_only_removed = |before: &BTreeSet<BackendId>, subset: &Subset| {
            let now = held(subset);
            before.difference(&now).all(|lost| *lost == id) && !now.contains(&id)
        };
        let removal_ok = before.iter().zip(&all).all(|(before, subset)| lost_only_removed(before, subset));
        let back = list(false, vec![entry(number, BackendState::Ready)]);
        all.iter_mut().for_each(|subset| drop(subset.apply_list(2.0, back.clone())));
        removal_ok && before.iter().zip(&all).all(|(before, subset)| before.is_subset(&held(subset)))
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(1000, 3)).tests(15).quickcheck(check as fn(usize) -> bool);
}

#[test]
fn backends_of_dead_ingresses_are_taken_over_and_no_subset_loses_any() {
    fn check(dead: Vec<u16>) -> bool {
        let mut all = fleet(24, 32, 160);
        let before: Vec<_> = all.iter().map(held).collect();
        let mut live = vec![true; 24];
        dead.iter().take(10).for_each(|number| live[usize::from(number % 24)] = false);
        all.iter_mut().for_each(|subset| drop(subset.set_live_ingresses(Some(&live))));
        let live_subsets =
            || all.iter().zip(&live).filter(|(_, is_live)| **is_live).map(|(subset, _)| subset);
        let grown = all.iter().zip(&before).zip(&live).filter(|(_, is_live)| **is_live);
        let grown = grown.into_iter().all(|((subset, before), _)| before.is_subset(&held(subset)));
        let by_backend = holder_counts(live_subsets());
        let covered = by_backend.len() == 160;
        // If more than a fifth of the ingresses is dead, the others keep their sizes, and need not keep each backend.
        let many_dead = live.iter().filter(|is_live| **is_live).count() * 5 < 24 * 4;
        all.iter_mut().for_each(|subset| drop(subset.set_live_ingresses(None)));
        let as_before = all.iter().map(held).eq(before);
        covered && (many_dead || grown && as_before)
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(8, 5)).tests(60).quickcheck(check as fn(Vec<u16>) -> bool);
}

#[test]
fn a_view_in_which_half_of_the_fleet_is_dead_changes_nothing() {
    let mut subset = Subset::new(IngressId(3), 10, 16);
    subset.apply_list(0.0, ready(100));
    let before = held(&subset);
    let mut live = vec![false; 10];
    live[1..6].fill(true);
    assert_eq!(subset.set_live_ingresses(Some(&live)), None);
    assert_eq!(
        subset.set_live_ingresses(Some(&[true; 4])),
        None,
        "a view of a fleet of another size changes nothing either"
    );
    assert_eq!(held(&subset), before);
}

/// The backend states that the decision module knows after the lists applied so far.
#[derive(Debug, Default)]
struct KnownStates(BTreeMap<BackendId, BackendState>);

impl KnownStates {
    /// Applies a list.
    fn apply(&mut self, list: BackendList) {
        if list.complete {
            self.0.clear();
        }
        for entry in list.entries {
            match entry.entry.state {
                BackendState::Gone => drop(self.0.remove(&entry.entry.backend)),
                state => drop(self.0.insert(entry.entry.backend, state)),
            }
        }
    }
}

#[test]
fn reported_backends_match_the_subset_after_any_lists_changes_and_deaths() {
    fn check(steps: Vec<(u8, u8, Vec<u8>)>) -> bool {
        use BackendState::{Draining, Gone, Ready};
        let (mut subset, mut known) = (Subset::new(IngressId(2), 20, 16), KnownStates::default());
        let mut listed: BTreeMap<BackendId, BackendState> = BTreeMap::new();
        for (step, (kind, state_index, numbers)) in steps.into_iter().enumerate() {
            let state = [Ready, Ready, Draining, Gone][usize::from(state_index % 4)];
            let entries: Vec<_> = numbers.iter().map(|n| entry(usize::from(*n), state)).collect();
            if kind % 4 == 3 {
                let live: Vec<bool> = (0..20).map(|n| n == 2 || !numbers.contains(&n)).collect();
                subset.set_live_ingresses(Some(&live)).into_iter().for_each(|list| known.apply(list));
            } else {
                let complete = kind % 4 == 0;
                let change = list(complete, entries);
                let mut truth = KnownStates(std::mem::take(&mut listed));
                truth.apply(change.clone());
                listed = truth.0;
                known.apply(subset.apply_list(step as f64, change));
            }
            let ready: BTreeSet<BackendId> =
                known.0.iter().filter(|(_, state)| **state == Ready).map(|(id, _)| *id).collect();
            let listed_ready = listed.values().filter(|state| **state == Ready).count();
            let states_match = known.0.iter().all(|(id, state)| listed.get(id) == Some(state));
            if ready != held(&subset) || !states_match || ready.len() < listed_ready.min(16) / 2 {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 9))
        .tests(200)
        .quickcheck(check as fn(Vec<(u8, u8, Vec<u8>)>) -> bool);
}

#[test]
fn a_backend_added_to_the_subset_later_is_not_reported_as_started_and_a_new_one_is() {
    let mut subset = Subset::new(IngressId(0), 40, 16);
    subset.apply_list(5.0, ready(400));
    let before = held(&subset);
    let mut live = vec![true; 40];
    live[25..].fill(false);
    let added = subset.set_live_ingresses(Some(&live)).unwrap().entries;
    assert!(added.iter().any(|entry| !before.contains(&entry.entry.backend)));
    assert!(added.iter().all(|entry| entry.entry.last_start.is_some_and(|at| at < -1e12)));
    let new = list(false, (400..800).map(|number| entry(number, BackendState::Ready)).collect());
    let reported = subset.apply_list(9.0, new).entries;
    let new_ids: BTreeSet<_> = (400..800).map(|number| backend_id(&format!("backend-{number}"))).collect();
    let new_entries: Vec<_> =
        reported.iter().filter(|entry| new_ids.contains(&entry.entry.backend)).collect();
    assert!(!new_entries.is_empty() && new_entries.iter().all(|entry| entry.entry.last_start == Some(9.0)));
}

#[test]
fn the_subset_size_is_validated_and_errors_name_the_key() {
    let text = include_str!("../deploy/ingress-large.toml");
    let read = |text: &str| Config::read(text, |_| None).map(|config| config.instance.subset_size);
    assert_eq!(read(text), Ok(Some(48)));
    assert_eq!(read(include_str!("../deploy/ingress-consul.toml")), Ok(None));
    for invalid in ["15", "5000", "-1", "\"many\"", "0.5"] {
        let text = text.replace("size = 48", &format!("size = {invalid}"));
        let error = read(&text).unwrap_err().to_string();
        assert!(error.contains("subset.size"), "{error}");
    }
    let error = read(&text.replace("size = 48", "sise = 48")).unwrap_err().to_string();
    assert!(error.contains("subset.size is missing"), "{error}");
}
