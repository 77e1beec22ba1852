//! Maintenance of real servers: the list with bans laid over it. Pure: what comes out is a list in which a banned real
//! server drains, so that the decisions and the pools see a drain and nothing else has to know of bans.

use crate::entries::{List, ServiceEntry, server_id};
use crate::interface::{ServerId, ServerState};
use std::collections::BTreeMap;

/// So many bans are kept at the most: more are refused.
const MOST: usize = 4096;

/// The list as it is told, and the bans.
#[derive(Debug, Default)]
pub struct Maintenance {
    generation: u64,
    listed: BTreeMap<ServerId, ServiceEntry>,
    bans: BTreeMap<ServerId, String>,
}

impl Maintenance {
    /// Bans that were in force before.
    pub fn with(bans: impl IntoIterator<Item = String>) -> Self {
        let bans = bans.into_iter().take(MOST).map(|name| (server_id(&name), name)).collect();
        Self { bans, ..Self::default() }
    }

    /// Takes in what discovery tells; gives on what is to be believed.
    pub fn listed(&mut self, mut list: List) -> List {
        self.generation = list.generation;
        if list.whole {
            self.listed.clear();
        }
        for e in &mut list.entries {
            match e.entry.state {
                ServerState::Gone => drop(self.listed.remove(&e.entry.server)),
                _ => drop(self.listed.insert(e.entry.server, e.clone())),
            }
            self.overlay(e);
        }
        list
    }

    fn overlay(&self, e: &mut ServiceEntry) {
        if e.entry.state == ServerState::Ready && self.bans.contains_key(&e.entry.server) {
            e.entry.state = ServerState::Draining;
        }
    }

    /// Takes a real server out, whatever the list says; the change to be told, if it is one.
    pub fn disable(&mut self, name: &str) -> Result<Option<List>, &'static str> {
        let id = server_id(name);
        if !self.listed.contains_key(&id) && !self.bans.contains_key(&id) {
            return Err("no such server");
        }
        if self.bans.len() >= MOST {
            return Err("too many servers are out");
        }
        let new = self.bans.insert(id, name.to_owned()).is_none();
        Ok(new.then(|| self.change(id)).flatten())
    }

    /// Puts a real server back, however often it was taken out; the change to be told, if it is one.
    pub fn enable(&mut self, name: &str) -> Result<Option<List>, &'static str> {
        let id = server_id(name);
        let old = self.bans.remove(&id).is_some();
        match self.listed.contains_key(&id) {
            false if !old => Err("no such server"),
            _ => Ok(old.then(|| self.change(id)).flatten()),
        }
    }

    /// Goes by what an operator said at another ingress's door, whether or not the list has named the real server yet; the
    /// change to be told, if it is one.
    pub fn ordered(&mut self, name: &str, out: bool) -> Option<List> {
        let id = server_id(name);
        let new = match out {
            true if self.bans.len() >= MOST => false,
            true => self.bans.insert(id, name.to_owned()).is_none(),
            false => self.bans.remove(&id).is_some(),
        };
        new.then(|| self.change(id)).flatten()
    }

    fn change(&self, id: ServerId) -> Option<List> {
        let mut e = self.listed.get(&id)?.clone();
        self.overlay(&mut e);
        Some(List { generation: self.generation, whole: false, entries: vec![e] })
    }

    /// The list as it is told.
    pub fn told(&self) -> List {
        let entries = self.listed.values().cloned().collect();
        List { generation: self.generation, whole: true, entries }
    }

    /// The bans that hold from now on.
    pub fn ban_only(&mut self, bans: Vec<String>) {
        self.bans = Self::with(bans).bans;
    }

    /// The names of those that are out.
    pub fn bans(&self) -> Vec<String> {
        self.bans.values().cloned().collect()
    }
}

/// FNV-1a: the same in every version of the program.
fn checksum(text: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    text.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}

const TITLE: &str = "weldhub bans 1";

/// The text of a file of bans; its last line tells whether it is whole.
pub fn write_bans(bans: &[String]) -> String {
    let lines: String = bans.iter().map(|name| format!("{name}\n")).collect();
    format!("{TITLE}\n{lines}end {} {:016x}\n", bans.len(), checksum(&lines))
}

/// The bans in a file; none where it is cut, garbled or of another kind.
pub fn read_bans(text: &str) -> Option<Vec<String>> {
    let rest = text.strip_prefix(TITLE)?.strip_prefix('\n')?;
    let end = rest.rfind("end ")?;
    let (lines, last) = rest.split_at(end);
    let bans: Vec<String> = lines.lines().map(str::to_owned).collect();
    (last == format!("end {} {:016x}\n", bans.len(), checksum(lines))).then_some(bans)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::{CellId, KindId, ServerEntry, ZoneId};
    use quickcheck::{Gen, QuickCheck};

    fn list(whole: bool, entries: &[(&str, ServerState)]) -> List {
        let entry = |(name, state): &(&str, ServerState)| ServiceEntry {
            entry: ServerEntry {
                server: server_id(name),
                state: *state,
                weight: 1.0,
                zone: ZoneId(0),
                cell: CellId(0),
                kind: KindId(0),
                last_start: None,
            },
            at: "127.0.0.1:1".parse().ok(),
        };
        List { generation: 7, whole, entries: entries.iter().map(entry).collect() }
    }

    fn states(list: Option<List>) -> Vec<ServerState> {
        list.into_iter().flat_map(|list| list.entries).map(|e| e.entry.state).collect()
    }

    use ServerState::{Draining, Gone, Ready};

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
}
