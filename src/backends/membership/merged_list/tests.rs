use super::super::observation;
use super::*;
use BackendState::{Draining, Gone, Ready};

fn reported(list: &mut MergedList) -> Vec<(u64, BackendState)> {
    list.take_changes().iter().map(|e| (e.entry.backend.0, e.entry.state)).collect()
}

#[test]
fn instance_is_ready_only_if_every_service_that_lists_it_has_it_ready() {
    let mut list = MergedList::default();
    list.apply(0, vec![observation(1, Ready, 1), observation(2, Ready, 2)]);
    list.apply(1, vec![observation(2, Ready, 2), observation(3, Ready, 3)]);
    assert_eq!(reported(&mut list), [(1, Ready), (2, Ready), (3, Ready)]);
    list.apply(1, vec![observation(2, Draining, 2)]);
    assert_eq!(reported(&mut list), [(2, Draining)]);
    list.apply(1, vec![observation(2, Gone, 2)]);
    assert_eq!(reported(&mut list), [(2, Ready)], "still listed by the other service");
    list.retain_slots(&BTreeSet::from([1]));
    assert_eq!(reported(&mut list), [(1, Gone), (2, Gone)]);
    assert!(reported(&mut list).is_empty() && list.len() == 1);
}

#[test]
fn only_the_last_registered_instance_at_an_address_is_ready() {
    let mut list = MergedList::default();
    list.apply(0, vec![observation(1, Ready, 1), observation(9, Ready, 9)]);
    reported(&mut list);
    // The new registration is listed while the old one still is.
    list.apply(0, vec![observation(2, Ready, 1)]);
    assert_eq!(reported(&mut list), [(1, Draining), (2, Ready)]);
    assert!(reported(&mut list).is_empty());
    list.apply(0, vec![observation(1, Gone, 1), observation(0, Ready, 1)]);
    assert_eq!(reported(&mut list), [(1, Gone), (0, Ready), (2, Draining)], "whatever the order of ids");
    assert!(reported(&mut list).is_empty());
    // The create index decides across services, in whatever order the instances are seen.
    let registered = |n: u64, create_index: u64| Observation { create_index, ..observation(n, Ready, 5) };
    list.apply(0, vec![registered(6, 90)]);
    reported(&mut list);
    list.apply(1, vec![registered(5, 80)]);
    assert_eq!(reported(&mut list), [(5, Draining)]);
    // The last registered instance owns the address even if it is not ready.
    list.apply(
        0,
        vec![observation(6, Draining, 5)]
            .into_iter()
            .map(|s| Observation { create_index: 90, ..s })
            .collect(),
    );
    assert_eq!(reported(&mut list), [(6, Draining)]);
    // When it moves to another address, the other instance owns this one.
    list.apply(0, vec![Observation { create_index: 90, ..observation(6, Ready, 6) }]);
    assert_eq!(reported(&mut list), [(5, Ready), (6, Ready)]);
}
