//! Bounded subsets: even, stable while backends and ingresses come and go, and of all zones.

use quickcheck::{Gen, QuickCheck};
use std::collections::{BTreeMap, BTreeSet};
use weldhub::config::Config;
use weldhub::entries::{BackendList, ServiceEntry, backend_id};
use weldhub::interface::{BackendEntry, BackendId, BackendState, CellId, IngressId, KindId, ZoneId};
use weldhub::subset::Subset;

const ZONES: usize = 5;

fn entry(number: usize, state: BackendState) -> ServiceEntry {
    let zone = ZoneId((number % ZONES) as u8);
    let server = backend_id(&format!("backend-{number}"));
    let (cell, kind) = (CellId(0), KindId(0));
    let entry = BackendEntry { backend: server, state, weight: 1.0, zone, cell, kind, last_start: None };
    ServiceEntry { entry, address: "10.0.0.1:1".parse().ok() }
}

fn list(whole: bool, entries: Vec<ServiceEntry>) -> BackendList {
    BackendList { generation: 1, complete: whole, entries }
}

fn ready(backends: usize) -> BackendList {
    list(true, (0..backends).map(|number| entry(number, BackendState::Ready)).collect())
}

fn fleet(ingresses: u16, size: usize, backends: usize) -> Vec<Subset> {
    let one = |number| {
        let mut subset = Subset::new(IngressId(number), ingresses, size);
        subset.apply_list(0.0, ready(backends));
        subset
    };
    (0..ingresses).map(one).collect()
}

fn held(subset: &Subset) -> BTreeSet<BackendId> {
    subset.ready_backends().collect()
}

/// How many ingresses hold each backend that any of them does.
fn holders<'a>(fleet: impl Iterator<Item = &'a Subset>) -> BTreeMap<BackendId, usize> {
    let mut all = BTreeMap::new();
    fleet.flat_map(Subset::ready_backends).for_each(|id| *all.entry(id).or_default() += 1);
    all
}

#[test]
fn subsets_are_bounded_and_each_backend_is_held_by_as_many() {
    for (ingresses, size, backends) in [(30, 32, 300), (40, 48, 400), (40, 32, 1300), (20, 64, 40)] {
        let all = fleet(ingresses, size, backends);
        let right = (f64::from(ingresses) * size as f64 / backends as f64).clamp(1.0, f64::from(ingresses));
        let right = right.round() as usize;
        let by_backend = holders(all.iter());
        assert_eq!(by_backend.len(), backends, "no backend is without an ingress");
        assert!(by_backend.values().all(|count| *count >= right), "{ingresses} {size} {backends}");
        let more = by_backend.values().filter(|count| **count > right).count();
        assert!(more * 5 <= backends, "{more} of {backends} are held by more than {right}");
        let usual = backends * right / usize::from(ingresses);
        for subset in &all {
            let count = held(subset).len();
            assert!(count >= size.min(backends) / 2 && count <= 2 * usual, "{count} of {usual}");
        }
    }
}

#[test]
fn each_zone_has_its_part_of_every_subset() {
    for subset in fleet(30, 50, 500) {
        let mut zones = [0; ZONES];
        let number: BTreeMap<BackendId, usize> =
            (0..500).map(|n| (backend_id(&format!("backend-{n}")), n)).collect();
        held(&subset).iter().for_each(|id| zones[number[id] % ZONES] += 1);
        assert!(zones.iter().all(|count| *count >= 5), "{zones:?}");
    }
}

#[test]
fn one_backend_more_or_less_concerns_those_only_that_hold_it() {
    fn check(number: usize) -> bool {
        let (mut all, number) = (fleet(24, 32, 160), number % 160);
        let before: Vec<_> = all.iter().map(held).collect();
        let id = backend_id(&format!("backend-{number}"));
        let gone = list(false, vec![entry(number, BackendState::Gone)]);
        all.iter_mut().for_each(|subset| drop(subset.apply_list(1.0, gone.clone())));
        // Who falls below its least part of the zone takes some more.
        let lost = |before: &BTreeSet<BackendId>, subset: &Subset| {
            let now = held(subset);
            before.difference(&now).all(|lost| *lost == id) && !now.contains(&id)
        };
        let fewer = before.iter().zip(&all).all(|(before, subset)| lost(before, subset));
        let back = list(false, vec![entry(number, BackendState::Ready)]);
        all.iter_mut().for_each(|subset| drop(subset.apply_list(2.0, back.clone())));
        fewer && before.iter().zip(&all).all(|(before, subset)| before.is_subset(&held(subset)))
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(1000, 3)).tests(15).quickcheck(check as fn(usize) -> bool);
}

#[test]
fn the_places_of_the_dead_go_to_others_and_nobody_loses_any() {
    fn check(dead: Vec<u16>) -> bool {
        let mut all = fleet(24, 32, 160);
        let before: Vec<_> = all.iter().map(held).collect();
        let mut living = vec![true; 24];
        dead.iter().take(10).for_each(|number| living[usize::from(number % 24)] = false);
        all.iter_mut().for_each(|subset| drop(subset.set_live_ingresses(Some(&living))));
        let live = || all.iter().zip(&living).filter(|(_, lives)| **lives).map(|(subset, _)| subset);
        let grown = all.iter().zip(&before).zip(&living).filter(|(_, lives)| **lives);
        let grown = grown.into_iter().all(|((subset, before), _)| before.is_subset(&held(subset)));
        let by_backend = holders(live());
        let covered = by_backend.len() == 160;
        // Where a fifth is dead or more, the others keep the size of their subsets rather than each backend.
        let many = living.iter().filter(|lives| **lives).count() * 5 < 24 * 4;
        all.iter_mut().for_each(|subset| drop(subset.set_live_ingresses(None)));
        let as_before = all.iter().map(held).eq(before);
        covered && (many || grown && as_before)
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(8, 5)).tests(60).quickcheck(check as fn(Vec<u16>) -> bool);
}

#[test]
fn half_of_the_fleet_or_more_that_looks_dead_moves_nothing() {
    let mut subset = Subset::new(IngressId(3), 10, 16);
    subset.apply_list(0.0, ready(100));
    let before = held(&subset);
    let mut living = vec![false; 10];
    living[1..6].fill(true);
    assert_eq!(subset.set_live_ingresses(Some(&living)), None);
    assert_eq!(subset.set_live_ingresses(Some(&[true; 4])), None, "nor does a view of another fleet");
    assert_eq!(held(&subset), before);
}

/// What the decisions know after all that they were told.
#[derive(Debug, Default)]
struct Told(BTreeMap<BackendId, BackendState>);

impl Told {
    fn take(&mut self, list: BackendList) {
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
fn what_is_told_is_what_is_held_after_any_lists_changes_and_deaths() {
    fn check(steps: Vec<(u8, u8, Vec<u8>)>) -> bool {
        use BackendState::{Draining, Gone, Ready};
        let (mut subset, mut told) = (Subset::new(IngressId(2), 20, 16), Told::default());
        let mut listed: BTreeMap<BackendId, BackendState> = BTreeMap::new();
        for (step, (kind, which, more)) in steps.into_iter().enumerate() {
            let state = [Ready, Ready, Draining, Gone][usize::from(which % 4)];
            let entries: Vec<_> = more.iter().map(|n| entry(usize::from(*n), state)).collect();
            if kind % 4 == 3 {
                let living: Vec<bool> = (0..20).map(|n| n == 2 || !more.contains(&n)).collect();
                subset.set_live_ingresses(Some(&living)).into_iter().for_each(|list| told.take(list));
            } else {
                let whole = kind % 4 == 0;
                let change = list(whole, entries);
                let mut truth = Told(std::mem::take(&mut listed));
                truth.take(change.clone());
                listed = truth.0;
                told.take(subset.apply_list(step as f64, change));
            }
            let ready: BTreeSet<BackendId> =
                told.0.iter().filter(|(_, state)| **state == Ready).map(|(id, _)| *id).collect();
            let all = listed.values().filter(|state| **state == Ready).count();
            let right = told.0.iter().all(|(id, state)| listed.get(id) == Some(state));
            if ready != held(&subset) || !right || ready.len() < all.min(16) / 2 {
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
fn one_that_comes_into_the_subset_later_is_no_newcomer_and_a_newcomer_is() {
    let mut subset = Subset::new(IngressId(0), 40, 16);
    subset.apply_list(5.0, ready(400));
    let before = held(&subset);
    let mut living = vec![true; 40];
    living[25..].fill(false);
    let more = subset.set_live_ingresses(Some(&living)).unwrap().entries;
    assert!(more.iter().any(|entry| !before.contains(&entry.entry.backend)));
    assert!(more.iter().all(|entry| entry.entry.last_start.is_some_and(|at| at < -1e12)));
    let new = list(false, (400..800).map(|number| entry(number, BackendState::Ready)).collect());
    let told = subset.apply_list(9.0, new).entries;
    let news: BTreeSet<_> = (400..800).map(|number| backend_id(&format!("backend-{number}"))).collect();
    let news: Vec<_> = told.iter().filter(|entry| news.contains(&entry.entry.backend)).collect();
    assert!(!news.is_empty() && news.iter().all(|entry| entry.entry.last_start == Some(9.0)));
}

#[test]
fn the_key_is_checked_and_named() {
    let text = include_str!("../deploy/ingress-large.toml");
    let read = |text: &str| Config::read(text, |_| None).map(|config| config.instance.subset_size);
    assert_eq!(read(text), Ok(Some(48)));
    assert_eq!(read(include_str!("../deploy/ingress-consul.toml")), Ok(None));
    for wrong in ["15", "5000", "-1", "\"many\"", "0.5"] {
        let text = text.replace("size = 48", &format!("size = {wrong}"));
        let why = read(&text).unwrap_err().to_string();
        assert!(why.contains("subset.size"), "{why}");
    }
    let why = read(&text.replace("size = 48", "sise = 48")).unwrap_err().to_string();
    assert!(why.contains("subset.size is missing"), "{why}");
}
