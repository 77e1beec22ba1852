use super::*;
use crate::interface::{BackendEntry, CellId, KindId, ZoneId};
use quickcheck::{Gen, QuickCheck};

fn list(whole: bool, entries: &[(&str, BackendState)]) -> BackendList {
    let entry = |(name, state): &(&str, BackendState)| ServiceEntry {
        entry: BackendEntry {
            backend: backend_id(name),
            state: *state,
            weight: 1.0,
            zone: ZoneId(0),
            cell: CellId(0),
            kind: KindId(0),
            last_start: None,
        },
        address: "127.0.0.1:1".parse().ok(),
    };
    BackendList { generation: 7, complete: whole, entries: entries.iter().map(entry).collect() }
}

fn states(list: Option<BackendList>) -> Vec<BackendState> {
    list.into_iter().flat_map(|list| list.entries).map(|e| e.entry.state).collect()
}

use BackendState::{Draining, Gone, Ready};

#[test]
fn a_ban_lies_over_the_list_until_the_call_back_whatever_the_list_says() {
    let mut all = Maintenance::default();
    assert_eq!(states(Some(all.listed(list(true, &[("a", Ready), ("b", Ready)])))), [Ready, Ready]);
    assert_eq!(states(all.disable("a").unwrap()), [Draining]);
    assert!(all.disable("a").unwrap().is_none(), "out twice is out");
    // A reset, a restart, a removal and a return do not lift it.
    assert_eq!(states(Some(all.listed(list(true, &[("a", Ready), ("b", Ready)])))), [Draining, Ready]);
    assert_eq!(states(Some(all.listed(list(false, &[("a", Gone)])))), [Gone]);
    assert_eq!(states(Some(all.listed(list(false, &[("a", Ready)])))), [Draining]);
    assert_eq!(states(all.enable("a").unwrap()), [Ready], "once back is back");
    assert!(all.enable("a").unwrap().is_none());
    // One that drains by the list itself does so still.
    all.listed(list(false, &[("a", Draining)]));
    all.disable("a").unwrap();
    assert_eq!(states(all.enable("a").unwrap()), [Draining]);
}

#[test]
fn what_is_said_at_another_door_holds_before_the_list_names_the_server() {
    let mut all = Maintenance::default();
    assert!(all.ordered("a", true).is_none() && all.bans() == ["a"]);
    assert_eq!(states(Some(all.listed(list(true, &[("a", Ready)])))), [Draining]);
    assert!(all.ordered("a", true).is_none(), "said again");
    assert_eq!(states(all.ordered("a", false)), [Ready]);
    assert!(all.ordered("a", false).is_none());
}

#[test]
fn an_unknown_id_is_owed_a_no_and_a_ban_outlives_the_entry() {
    let mut all = Maintenance::with(["old".to_owned()]);
    all.listed(list(true, &[("a", Ready)]));
    assert!(all.disable("b").is_err() && all.enable("b").is_err());
    assert_eq!(all.bans(), ["old"]);
    assert!(all.disable("old").unwrap().is_none() && all.enable("old").unwrap().is_none());
    assert!(all.enable("old").is_err() && all.disable("old").is_err());
}

#[test]
fn a_file_of_bans_is_read_back_and_a_cut_or_garbled_one_is_not() {
    let bans = vec!["s-5be2a07c".to_owned(), "end 1 2".to_owned()];
    let text = write_bans(&bans);
    assert_eq!(read_bans(&text), Some(bans));
    assert_eq!(read_bans(&write_bans(&[])), Some(vec![]));
    assert!((0..text.len()).all(|end| read_bans(&text[..end]).is_none()), "cut anywhere");
    fn garbled(at: usize, with: u8) -> bool {
        let mut bytes = write_bans(&["s-1".to_owned(), "s-2".to_owned()]).into_bytes();
        let at = at % bytes.len();
        let same = bytes[at] == with % 128;
        bytes[at] = with % 128;
        same || read_bans(std::str::from_utf8(&bytes).unwrap()).is_none()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 11))
        .tests(400)
        .quickcheck(garbled as fn(usize, u8) -> bool);
}
