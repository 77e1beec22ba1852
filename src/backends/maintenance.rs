//! Backends that operators have disabled, marked in the backend list. No I/O: a disabled backend is listed as
//! draining, so that the decision module and the connection pools see an ordinary drain and need not know of
//! disabled backends.

use crate::backends::entries::{BackendList, ServiceEntry, backend_id};
use crate::interface::{BackendId, BackendState};
use std::collections::BTreeMap;

/// The most backends that can be disabled at once; further calls are rejected.
const MAX_DISABLED: usize = 4096;

/// The list from discovery and the backends that operators have disabled.
#[derive(Debug, Default)]
pub struct Maintenance {
    /// The version of the last list.
    generation: u64,
    /// The list from discovery, without the marks.
    listed: BTreeMap<BackendId, ServiceEntry>,
    /// The names of the disabled backends, listed or not.
    disabled: BTreeMap<BackendId, String>,
}

impl Maintenance {
    /// Creates an empty list with the backends of these names disabled.
    pub fn with_disabled(names: impl IntoIterator<Item = String>) -> Self {
        let disabled = names.into_iter().take(MAX_DISABLED).map(|name| (backend_id(&name), name)).collect();
        Self { disabled, ..Self::default() }
    }

    /// Applies a full list or changes from discovery; returns the same with disabled backends marked as
    /// draining.
    pub fn apply_list(&mut self, mut list: BackendList) -> BackendList {
        self.generation = list.generation;
        if list.complete {
            self.listed.clear();
        }
        for entry in &mut list.entries {
            match entry.entry.state {
                BackendState::Gone => drop(self.listed.remove(&entry.entry.backend)),
                _ => drop(self.listed.insert(entry.entry.backend, entry.clone())),
            }
            self.overlay(entry);
        }
        list
    }

    /// Marks a ready entry as draining if its backend is disabled.
    fn overlay(&self, entry: &mut ServiceEntry) {
        if entry.entry.state == BackendState::Ready && self.disabled.contains_key(&entry.entry.backend) {
            entry.entry.state = BackendState::Draining;
        }
    }

    /// Disables a backend, whatever state the list gives it. Returns the list change, or `None` if nothing
    /// changes.
    ///
    /// # Errors
    /// Fails if the backend is neither listed nor disabled, or if too many backends are disabled.
    pub fn disable(&mut self, name: &str) -> Result<Option<BackendList>, &'static str> {
        let id = backend_id(name);
        if !self.listed.contains_key(&id) && !self.disabled.contains_key(&id) {
            return Err("no such server");
        }
        if self.disabled.len() >= MAX_DISABLED {
            return Err("too many servers are out");
        }
        let new = self.disabled.insert(id, name.to_owned()).is_none();
        Ok(new.then(|| self.change(id)).flatten())
    }

    /// Enables a backend again, however often it was disabled. Returns the list change, or `None` if nothing
    /// changes.
    ///
    /// # Errors
    /// Fails if the backend is neither listed nor disabled.
    pub fn enable(&mut self, name: &str) -> Result<Option<BackendList>, &'static str> {
        let id = backend_id(name);
        let was_disabled = self.disabled.remove(&id).is_some();
        match self.listed.contains_key(&id) {
            false if !was_disabled => Err("no such server"),
            _ => Ok(was_disabled.then(|| self.change(id)).flatten()),
        }
    }

    /// Applies an operator's notice from another ingress, which disables (true) or enables a backend, even if
    /// the list does not have it yet. Returns the list change, or `None` if nothing changes.
    pub fn apply_notice(&mut self, name: &str, disabled: bool) -> Option<BackendList> {
        let id = backend_id(name);
        let changed = match disabled {
            true if self.disabled.len() >= MAX_DISABLED => false,
            true => self.disabled.insert(id, name.to_owned()).is_none(),
            false => self.disabled.remove(&id).is_some(),
        };
        changed.then(|| self.change(id)).flatten()
    }

    /// Returns the current entry of one backend as a list change, or `None` if it is not listed.
    fn change(&self, id: BackendId) -> Option<BackendList> {
        let mut entry = self.listed.get(&id)?.clone();
        self.overlay(&mut entry);
        Some(BackendList { generation: self.generation, complete: false, entries: vec![entry] })
    }

    /// Returns the full list from discovery, without the marks.
    pub fn discovered_list(&self) -> BackendList {
        let entries = self.listed.values().cloned().collect();
        BackendList { generation: self.generation, complete: true, entries }
    }

    /// Replaces the disabled backends by those of these names.
    pub fn replace_disabled(&mut self, names: Vec<String>) {
        self.disabled = Self::with_disabled(names).disabled;
    }

    /// Returns the names of the disabled backends.
    pub fn disabled(&self) -> Vec<String> {
        self.disabled.values().cloned().collect()
    }
}

/// The FNV-1a hash of a text. Written out here so that it is the same in every version of the program.
fn checksum(text: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    text.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}

/// The first line of a file of disabled backends; the number is the version.
const TITLE: &str = "weldhub bans 1";

/// Returns the content of a file of disabled backends: one name per line. The last line has their number and
/// a checksum, by which a truncated file is recognized.
pub fn encode_disabled(names: &[String]) -> String {
    let lines: String = names.iter().map(|name| format!("{name}\n")).collect();
    format!("{TITLE}\n{lines}end {} {:016x}\n", names.len(), checksum(&lines))
}

/// Returns the names in a file of disabled backends, or `None` if it is truncated, corrupt or of another
/// format.
pub fn decode_disabled(text: &str) -> Option<Vec<String>> {
    let rest = text.strip_prefix(TITLE)?.strip_prefix('\n')?;
    let end = rest.rfind("end ")?;
    let (lines, last) = rest.split_at(end);
    let names: Vec<String> = lines.lines().map(str::to_owned).collect();
    (last == format!("end {} {:016x}\n", names.len(), checksum(lines))).then_some(names)
}

#[cfg(test)]
mod tests;
