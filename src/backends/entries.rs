//! The backend list, whatever its source (discovery, Consul, an operator), and how it is read from
//! discovery's JSON. No I/O.

use crate::interface::{BackendEntry, BackendId, BackendState, CellId, KindId, ZoneId};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// The configured names of zones and of kinds of machine; a name's index in its list is its id.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TopologyNames {
    /// The names of zones, such as halls of a data centre.
    pub zones: Vec<String>,
    /// The names of kinds of machine.
    pub kinds: Vec<String>,
}

impl TopologyNames {
    /// Returns the id of the zone of this name; all unknown names share one more zone, `u8::MAX`.
    pub fn zone_id(&self, name: Option<&str>) -> ZoneId {
        ZoneId(index_of(&self.zones, name).and_then(|index| index.try_into().ok()).unwrap_or(u8::MAX))
    }

    /// Returns the id of the kind of machine of this name; all unknown names share one more kind, `u16::MAX`.
    pub fn kind_id(&self, name: Option<&str>) -> KindId {
        KindId(index_of(&self.kinds, name).and_then(|index| index.try_into().ok()).unwrap_or(u16::MAX))
    }
}

fn index_of(names: &[String], name: Option<&str>) -> Option<usize> {
    names.iter().position(|known| Some(known.as_str()) == name)
}

/// One entry of a backend list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// The part of it that the decision module sees.
    pub entry: BackendEntry,
    /// The address that the backend listens on; `None` if it is gone.
    pub address: Option<SocketAddr>,
}

/// A backend list, or changes to one.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct BackendList {
    /// The version of the list.
    pub generation: u64,
    /// Whether `entries` is the full list; otherwise it has only the entries that changed.
    pub complete: bool,
    /// The entries; in a list of changes, removed backends have the state `Gone`.
    pub entries: Vec<ServiceEntry>,
}

/// Returns the id of a backend, a hash of its instance name.
pub fn backend_id(name: &str) -> BackendId {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    BackendId(hasher.finish())
}

impl BackendList {
    /// Reads a list from discovery's JSON.
    ///
    /// # Errors
    /// Returns a message that names the key that is missing or cannot be read.
    pub fn read(value: &Value, names: &TopologyNames) -> Result<Self, String> {
        let entries = value.get("instances").and_then(Value::as_array).ok_or("instances is missing")?;
        let entry = |(i, value)| {
            read_entry(value, names).map_err(|key| format!("instances.{i}.{key} cannot be read"))
        };
        Ok(Self {
            generation: value.get("generation").and_then(Value::as_u64).ok_or("generation is missing")?,
            complete: value.get("reset").and_then(Value::as_bool).unwrap_or(false),
            entries: entries.iter().enumerate().map(entry).collect::<Result<_, _>>()?,
        })
    }
}

fn read_entry(value: &Value, names: &TopologyNames) -> Result<ServiceEntry, &'static str> {
    let text = |key: &'static str| value.get(key).and_then(Value::as_str).ok_or(key);
    let number = |key: &str| value.get(key).and_then(Value::as_f64);
    let state = match text("lifecycle")? {
        "in_service" => BackendState::Ready,
        "terminating" => BackendState::Draining,
        "terminated" => BackendState::Gone,
        _ => return Err("lifecycle"),
    };
    let address = value.get("hostPort").and_then(Value::as_str).and_then(|address| address.parse().ok());
    if address.is_none() && state != BackendState::Gone {
        return Err("hostPort");
    }
    let entry = BackendEntry {
        backend: backend_id(text("instanceId")?),
        state,
        weight: number("weight").unwrap_or(1.0),
        zone: names.zone_id(value.get("zone").and_then(Value::as_str)),
        kind: names.kind_id(value.get("machineType").and_then(Value::as_str)),
        cell: CellId(value.get("cell").and_then(Value::as_u64).map_or(0, |cell| cell as u16)),
        last_start: number("startedAtMs").filter(|at| *at > 0.0),
    };
    Ok(ServiceEntry { entry, address })
}
