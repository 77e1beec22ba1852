use super::*;
use crate::backends::entries::backend_id;
use crate::interface::{BackendEntry, CellId, KindId, ZoneId};

fn entry(name: &str, port: u16, state: BackendState) -> ServiceEntry {
    let entry = BackendEntry {
        backend: backend_id(name),
        state,
        weight: 1.0,
        zone: ZoneId(0),
        kind: KindId(0),
        cell: CellId(0),
        last_start: None,
    };
    ServiceEntry { entry, address: Some(([127, 0, 0, 1], port).into()) }
}

fn apply(owners: &mut AddressOwners, complete: bool, entries: Vec<ServiceEntry>) -> Vec<(BackendId, bool)> {
    let list = owners.apply_list(BackendList { generation: 1, complete, entries });
    list.entries.iter().map(|e| (e.entry.backend, e.entry.state == BackendState::Gone)).collect()
}

#[test]
fn an_address_belongs_to_the_backend_that_was_told_of_last() {
    use BackendState::{Gone, Ready};
    let mut owners = AddressOwners::default();
    let [old, new, other] = ["old", "new", "other"].map(backend_id);
    let both = || vec![entry("old", 1, Ready), entry("other", 2, Ready)];
    assert_eq!(apply(&mut owners, true, both()), [(old, false), (other, false)]);
    assert_eq!(apply(&mut owners, false, vec![entry("new", 1, Ready)]), [(new, false), (old, true)]);
    let mut three = both();
    three.push(entry("new", 1, Ready));
    assert_eq!(apply(&mut owners, true, three), [(old, true), (other, false), (new, false)]);
    assert_eq!(apply(&mut owners, false, vec![entry("new", 1, Gone)]), [(new, true), (old, false)]);
}

#[test]
fn backends_that_are_told_of_together_share_an_address() {
    let mut owners = AddressOwners::default();
    let entries = ["a", "b"].map(|name| entry(name, 1, BackendState::Ready)).to_vec();
    for _ in 0..2 {
        assert!(apply(&mut owners, true, entries.clone()).iter().all(|(_, gone)| !gone));
    }
}

#[test]
fn a_full_list_may_add_a_backend_beside_another_unless_their_starts_differ() {
    let mut owners = AddressOwners::default();
    let [one, mut two] = ["one", "two"].map(|name| entry(name, 1, BackendState::Ready));
    apply(&mut owners, true, vec![one.clone()]);
    assert!(apply(&mut owners, true, vec![one.clone(), two.clone()]).iter().all(|(_, gone)| !gone));
    two.entry.last_start = Some(9.0);
    let mut older = one;
    older.entry.last_start = Some(8.0);
    let gone = apply(&mut owners, true, vec![older, two]);
    assert_eq!(gone, [(backend_id("one"), true), (backend_id("two"), false)]);
}

#[test]
fn a_backend_that_starts_again_at_its_address_gets_it_back() {
    let mut owners = AddressOwners::default();
    let [old, new] = ["old", "new"].map(|name| entry(name, 1, BackendState::Ready));
    apply(&mut owners, false, vec![old.clone()]);
    apply(&mut owners, false, vec![new]);
    let mut restarted = old;
    restarted.entry.last_start = Some(5.0);
    let after = apply(&mut owners, false, vec![restarted]);
    assert_eq!(after, [(backend_id("old"), false), (backend_id("new"), true)]);
}
