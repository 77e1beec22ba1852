//! Maintenance of real servers: the list with bans laid over it. Pure: what comes out is a list in which a banned real
//! server drains, so that the decisions and the pools see a drain and nothing else has to know of bans.

use crate::backends::entries::{BackendList, ServiceEntry, backend_id};
use crate::interface::{BackendId, BackendState};
use std::collections::BTreeMap;

/// So many bans are kept at the most: more are refused.
const MOST: usize = 4096;

/// The list as it is told, and the bans.
#[derive(Debug, Default)]
pub struct Maintenance {
    generation: u64,
    listed: BTreeMap<BackendId, ServiceEntry>,
    bans: BTreeMap<BackendId, String>,
}

impl Maintenance {
    /// Bans that were in force before.
    pub fn with(bans: impl IntoIterator<Item = String>) -> Self {
        let bans = bans.into_iter().take(MOST).map(|name| (backend_id(&name), name)).collect();
        Self { bans, ..Self::default() }
    }

    /// Takes in what discovery tells; gives on what is to be believed.
    pub fn listed(&mut self, mut list: BackendList) -> BackendList {
        self.generation = list.generation;
        if list.complete {
            self.listed.clear();
        }
        for e in &mut list.entries {
            match e.entry.state {
                BackendState::Gone => drop(self.listed.remove(&e.entry.backend)),
                _ => drop(self.listed.insert(e.entry.backend, e.clone())),
            }
            self.overlay(e);
        }
        list
    }

    fn overlay(&self, e: &mut ServiceEntry) {
        if e.entry.state == BackendState::Ready && self.bans.contains_key(&e.entry.backend) {
            e.entry.state = BackendState::Draining;
        }
    }

    /// Takes a real server out, whatever the list says; the change to be told, if it is one.
    pub fn disable(&mut self, name: &str) -> Result<Option<BackendList>, &'static str> {
        let id = backend_id(name);
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
    pub fn enable(&mut self, name: &str) -> Result<Option<BackendList>, &'static str> {
        let id = backend_id(name);
        let old = self.bans.remove(&id).is_some();
        match self.listed.contains_key(&id) {
            false if !old => Err("no such server"),
            _ => Ok(old.then(|| self.change(id)).flatten()),
        }
    }

    /// Goes by what an operator said at another ingress's door, whether or not the list has named the real server yet; the
    /// change to be told, if it is one.
    pub fn ordered(&mut self, name: &str, out: bool) -> Option<BackendList> {
        let id = backend_id(name);
        let new = match out {
            true if self.bans.len() >= MOST => false,
            true => self.bans.insert(id, name.to_owned()).is_none(),
            false => self.bans.remove(&id).is_some(),
        };
        new.then(|| self.change(id)).flatten()
    }

    fn change(&self, id: BackendId) -> Option<BackendList> {
        let mut e = self.listed.get(&id)?.clone();
        self.overlay(&mut e);
        Some(BackendList { generation: self.generation, complete: false, entries: vec![e] })
    }

    /// The list as it is told.
    pub fn told(&self) -> BackendList {
        let entries = self.listed.values().cloned().collect();
        BackendList { generation: self.generation, complete: true, entries }
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
mod tests;
