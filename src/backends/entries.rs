//! The words that the list of real servers is told in, whoever tells it: discovery, Consul, an operator. No I/O.

use crate::interface::{BackendEntry, BackendId, BackendState, CellId, KindId, ZoneId};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// The names of zones and of kinds of machine, by their places.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Places {
    /// Zones, such as halls.
    pub zones: Vec<String>,
    /// Kinds of machine.
    pub kinds: Vec<String>,
}

impl Places {
    /// The zone of this name; those that are not known are a zone of their own.
    pub fn zone(&self, name: Option<&str>) -> ZoneId {
        ZoneId(place(&self.zones, name).and_then(|at| at.try_into().ok()).unwrap_or(u8::MAX))
    }

    /// The kind of machine of this name; those that are not known are a kind of their own.
    pub fn kind(&self, name: Option<&str>) -> KindId {
        KindId(place(&self.kinds, name).and_then(|at| at.try_into().ok()).unwrap_or(u16::MAX))
    }
}

fn place(names: &[String], name: Option<&str>) -> Option<usize> {
    names.iter().position(|known| Some(known.as_str()) == name)
}

/// A service entry: a line of the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// What the decisions know of the real server.
    pub entry: BackendEntry,
    /// Where it listens; none where it is gone.
    pub address: Option<SocketAddr>,
}

/// What discovery tells.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct BackendList {
    /// Its version.
    pub generation: u64,
    /// It holds all entries, not only what changed.
    pub complete: bool,
    /// The entries.
    pub entries: Vec<ServiceEntry>,
}

/// A real server's id: the same for the same instance name.
pub fn backend_id(name: &str) -> BackendId {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    BackendId(hasher.finish())
}

impl BackendList {
    /// Reads a list in discovery's form; an error names the key at fault.
    pub fn read(value: &Value, places: &Places) -> Result<Self, String> {
        let entries = value.get("instances").and_then(Value::as_array).ok_or("instances is missing")?;
        let entry =
            |(i, v)| read_entry(v, places).map_err(|key| format!("instances.{i}.{key} cannot be read"));
        Ok(Self {
            generation: value.get("generation").and_then(Value::as_u64).ok_or("generation is missing")?,
            complete: value.get("reset").and_then(Value::as_bool).unwrap_or(false),
            entries: entries.iter().enumerate().map(entry).collect::<Result<_, _>>()?,
        })
    }
}

fn read_entry(value: &Value, places: &Places) -> Result<ServiceEntry, &'static str> {
    let text = |key: &'static str| value.get(key).and_then(Value::as_str).ok_or(key);
    let figure = |key: &str| value.get(key).and_then(Value::as_f64);
    let state = match text("lifecycle")? {
        "in_service" => BackendState::Ready,
        "terminating" => BackendState::Draining,
        "terminated" => BackendState::Gone,
        _ => return Err("lifecycle"),
    };
    let at = value.get("hostPort").and_then(Value::as_str).and_then(|at| at.parse().ok());
    if at.is_none() && state != BackendState::Gone {
        return Err("hostPort");
    }
    let entry = BackendEntry {
        backend: backend_id(text("instanceId")?),
        state,
        weight: figure("weight").unwrap_or(1.0),
        zone: places.zone(value.get("zone").and_then(Value::as_str)),
        kind: places.kind(value.get("machineType").and_then(Value::as_str)),
        cell: CellId(value.get("cell").and_then(Value::as_u64).map_or(0, |cell| cell as u16)),
        last_start: figure("startedAtMs").filter(|at| *at > 0.0),
    };
    Ok(ServiceEntry { entry, address: at })
}
