use super::*;
use crate::interface::{BackendEntry, CellId, KindId, ZoneId};
use quickcheck::{Gen, QuickCheck};

fn list(complete: bool, entries: &[(&str, BackendState)]) -> BackendList {
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
    BackendList { generation: 7, complete, entries: entries.iter().map(entry).collect() }
}

fn states(list: Option<BackendList>) -> Vec<BackendState> {
    list.into_iter().flat_map(|list| list.entries).map(|entry| entry.entry.state).collect()
}

use BackendState::{Draining, Gone, Ready};

#[test]
fn disabled_backend_drains_until_enabled_whatever_the_list_says() {
    let mut maintenance = Maintenance::default();
    assert_eq!(
        states(Some(maintenance.apply_list(list(true, &[("a", Ready), ("b", Ready)])))),
        [Ready, Ready]
    );
    assert_eq!(states(maintenance.disable("a").unwrap()), [Draining]);
    assert!(maintenance.disable("a").unwrap().is_none(), "disabled already");
    // A full list, a removal and a return leave it disabled.
    assert_eq!(
        states(Some(maintenance.apply_list(list(true, &[("a", Ready), ("b", Ready)])))),
        [Draining, Ready]
    );
    assert_eq!(states(Some(maintenance.apply_list(list(false, &[("a", Gone)])))), [Gone]);
    assert_eq!(states(Some(maintenance.apply_list(list(false, &[("a", Ready)])))), [Draining]);
    assert_eq!(states(maintenance.enable("a").unwrap()), [Ready], "enabled by one call");
    assert!(maintenance.enable("a").unwrap().is_none());
    // A backend that drains by the list keeps draining when it is enabled.
    maintenance.apply_list(list(false, &[("a", Draining)]));
    maintenance.disable("a").unwrap();
    assert_eq!(states(maintenance.enable("a").unwrap()), [Draining]);
}

#[test]
fn notice_applies_before_the_backend_is_listed() {
    let mut maintenance = Maintenance::default();
    assert!(maintenance.apply_notice("a", true).is_none() && maintenance.disabled() == ["a"]);
    assert_eq!(states(Some(maintenance.apply_list(list(true, &[("a", Ready)])))), [Draining]);
    assert!(maintenance.apply_notice("a", true).is_none(), "same notice again");
    assert_eq!(states(maintenance.apply_notice("a", false)), [Ready]);
    assert!(maintenance.apply_notice("a", false).is_none());
}

#[test]
fn rejects_unknown_backend_and_keeps_disabled_one_that_is_not_listed() {
    let mut maintenance = Maintenance::with_disabled(["old".to_owned()]);
    maintenance.apply_list(list(true, &[("a", Ready)]));
    assert!(maintenance.disable("b").is_err() && maintenance.enable("b").is_err());
    assert_eq!(maintenance.disabled(), ["old"]);
    assert!(maintenance.disable("old").unwrap().is_none() && maintenance.enable("old").unwrap().is_none());
    assert!(maintenance.enable("old").is_err() && maintenance.disable("old").is_err());
}

#[test]
fn decodes_its_own_file_and_rejects_truncated_or_corrupt_ones() {
    let names = vec!["s-5be2a07c".to_owned(), "end 1 2".to_owned()];
    let text = encode_disabled(&names);
    assert_eq!(decode_disabled(&text), Some(names));
    assert_eq!(decode_disabled(&encode_disabled(&[])), Some(vec![]));
    assert!((0..text.len()).all(|end| decode_disabled(&text[..end]).is_none()), "truncated anywhere");
    fn rejects_corrupt_byte(at: usize, byte: u8) -> bool {
        let mut bytes = encode_disabled(&["s-1".to_owned(), "s-2".to_owned()]).into_bytes();
        let at = at % bytes.len();
        let unchanged = bytes[at] == byte % 128;
        bytes[at] = byte % 128;
        unchanged || decode_disabled(std::str::from_utf8(&bytes).unwrap()).is_none()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 11))
        .tests(400)
        .quickcheck(rejects_corrupt_byte as fn(usize, u8) -> bool);
}
