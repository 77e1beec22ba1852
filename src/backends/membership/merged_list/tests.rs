use super::super::seen;
use super::*;
use BackendState::{Draining, Gone, Ready};

fn reported(union: &mut MergedList) -> Vec<(u64, BackendState)> {
    union.changes().iter().map(|e| (e.entry.backend.0, e.entry.state)).collect()
}

#[test]
fn several_services_make_one_list_and_each_may_drain_but_not_bring_back() {
    let mut union = MergedList::default();
    union.apply(0, vec![seen(1, Ready, 1), seen(2, Ready, 2)]);
    union.apply(1, vec![seen(2, Ready, 2), seen(3, Ready, 3)]);
    assert_eq!(reported(&mut union), [(1, Ready), (2, Ready), (3, Ready)]);
    union.apply(1, vec![seen(2, Draining, 2)]);
    assert_eq!(reported(&mut union), [(2, Draining)]);
    union.apply(1, vec![seen(2, Gone, 2)]);
    assert_eq!(reported(&mut union), [(2, Ready)], "the other lists it still");
    union.retain(&BTreeSet::from([1]));
    assert_eq!(reported(&mut union), [(1, Gone), (2, Gone)]);
    assert!(reported(&mut union).is_empty() && union.len() == 1);
}

#[test]
fn an_address_under_a_new_id_is_one_real_server() {
    let mut union = MergedList::default();
    union.apply(0, vec![seen(1, Ready, 1), seen(9, Ready, 9)]);
    reported(&mut union);
    // The new registration has come, the old one is not gone yet.
    union.apply(0, vec![seen(2, Ready, 1)]);
    assert_eq!(reported(&mut union), [(1, Draining), (2, Ready)]);
    assert!(reported(&mut union).is_empty());
    union.apply(0, vec![seen(1, Gone, 1), seen(0, Ready, 1)]);
    assert_eq!(reported(&mut union), [(1, Gone), (0, Ready), (2, Draining)], "however ids are ordered");
    assert!(reported(&mut union).is_empty());
    // By Consul's own count, in whatever order they come, over services.
    let registered = |n: u64, at: u64| Observation { registered: at, ..seen(n, Ready, 5) };
    union.apply(0, vec![registered(6, 90)]);
    reported(&mut union);
    union.apply(1, vec![registered(5, 80)]);
    assert_eq!(reported(&mut union), [(5, Draining)]);
    // The address is the later one's, also where that is not well.
    union.apply(
        0,
        vec![seen(6, Draining, 5)].into_iter().map(|s| Observation { registered: 90, ..s }).collect(),
    );
    assert_eq!(reported(&mut union), [(6, Draining)]);
    // One that moves on leaves the address to the other.
    union.apply(0, vec![Observation { registered: 90, ..seen(6, Ready, 6) }]);
    assert_eq!(reported(&mut union), [(5, Ready), (6, Ready)]);
}
