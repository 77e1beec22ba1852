//! Reads Consul's answers: instances of a service with their node and checks, and the catalogue's list of them.

use crate::backends::entries::{Places, ServiceEntry, backend_id};
use crate::backends::membership::{Observation, Reason};
use crate::config::ConsulService;
use crate::interface::{BackendEntry, BackendId, BackendState, CellId};
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};

/// What can be read of an answer, and what was passed over: the instance and the key at fault.
#[derive(Debug, Default, PartialEq)]
pub struct Read {
    /// The instances.
    pub seen: Vec<Observation>,
    /// What was passed over.
    pub faults: BTreeSet<(String, &'static str)>,
}

/// Reads an answer of `/v1/health/service/NAME`; an error where it is none, or nothing of it can be read.
pub fn health(body: &[u8], service: &ConsulService, places: &Places) -> Result<Read, String> {
    let answer: Value = serde_json::from_slice(body).map_err(|e| format!("its answer is no JSON: {e}"))?;
    let instances = answer.as_array().ok_or("its answer is no list")?;
    let (mut read, mut ids) = (Read::default(), BTreeSet::new());
    for instance in instances {
        match observation(instance, service, places) {
            // Of two with one id the first counts.
            Ok(seen) if !ids.insert(seen.id()) => drop(read.faults.insert((seen.name, "Service.ID"))),
            Ok(seen) => read.seen.push(seen),
            Err(key) => {
                let name = name(instance, "/Node/Node", "/Service/ID", service);
                read.faults.insert((name.unwrap_or_else(|| "?".into()), key));
            }
        }
    }
    match read.faults.first() {
        Some((_, key)) if read.seen.is_empty() => Err(format!("no instance can be read, as of {key}")),
        _ => Ok(read),
    }
}

/// Reads the ids that an answer of `/v1/catalog/service/NAME` holds.
pub fn catalogue(body: &[u8], service: &ConsulService) -> Result<BTreeSet<BackendId>, String> {
    let answer: Value = serde_json::from_slice(body).map_err(|e| format!("its answer is no JSON: {e}"))?;
    let instances = answer.as_array().ok_or("its answer is no list")?;
    // Prevents an answer that cannot be read from being taken for word that all are gone.
    let id = |instance| name(instance, "/Node", "/ServiceID", service).map(|name| backend_id(&name));
    instances.iter().map(id).collect::<Option<_>>().ok_or_else(|| "ServiceID or Node cannot be read".into())
}

fn text<'a>(value: &'a Value, path: &str) -> Option<&'a str> {
    value.pointer(path).and_then(Value::as_str).filter(|text| !text.is_empty())
}

/// Ids of services are unique on their node only, and nodes in their datacenter.
fn name(instance: &Value, node: &str, id: &str, service: &ConsulService) -> Option<String> {
    let (node, id) = (text(instance, node)?, text(instance, id)?);
    Some(format!("{}{node}/{id}", service.prefix))
}

/// Reads an instance; an error is the key at fault.
///
/// One whose checks pass or warn is ready. One with a critical check, as maintenance sets it, or without weight drains: it
/// finishes what it has. One that is no longer listed is gone.
fn observation(value: &Value, service: &ConsulService, places: &Places) -> Result<Observation, &'static str> {
    let meta = |name: &str| text(value, &format!("/Service/Meta/{name}"));
    text(value, "/Node/Node").ok_or("Node.Node")?;
    let name = name(value, "/Node/Node", "/Service/ID", service).ok_or("Service.ID")?;
    let host = match text(value, "/Service/Address") {
        Some(host) => host.parse::<IpAddr>().map_err(|_| "Service.Address")?,
        None => text(value, "/Node/Address").and_then(|host| host.parse().ok()).ok_or("Node.Address")?,
    };
    let port = value.pointer("/Service/Port").and_then(Value::as_u64).ok_or("Service.Port")?;
    let port = u16::try_from(port).ok().filter(|port| *port > 0).ok_or("Service.Port")?;
    let checks = value.pointer("/Checks").and_then(Value::as_array).ok_or("Checks")?;
    let mut reason = Reason::Passing;
    for check in checks {
        let id = check.get("CheckID").and_then(Value::as_str).unwrap_or_default();
        match check.get("Status").and_then(Value::as_str).ok_or("Checks.Status")? {
            "passing" => {}
            "warning" if reason == Reason::Passing => reason = Reason::Warning,
            "warning" => {}
            _ if id == "_node_maintenance" => reason = Reason::NodeMaintenance,
            _ if id.starts_with("_service_maintenance:") => reason = Reason::ServiceMaintenance,
            _ if matches!(reason, Reason::Passing | Reason::Warning) => reason = Reason::Critical,
            _ => {}
        }
    }
    let (key, path) = match reason {
        Reason::Warning => ("Service.Weights.Warning", "/Service/Weights/Warning"),
        _ => ("Service.Weights.Passing", "/Service/Weights/Passing"),
    };
    let weight = match value.pointer(path) {
        None | Some(Value::Null) => 1.0,
        Some(weight) => weight.as_f64().filter(|weight| *weight >= 0.0).ok_or(key)?,
    };
    if weight == 0.0 && matches!(reason, Reason::Passing | Reason::Warning) {
        reason = Reason::NoWeight;
    }
    let ready = matches!(reason, Reason::Passing | Reason::Warning);
    let entry = BackendEntry {
        backend: backend_id(&name),
        state: if ready { BackendState::Ready } else { BackendState::Draining },
        weight,
        zone: places.zone(meta("zone")),
        kind: places.kind(meta("kind")),
        cell: match meta("cell") {
            Some(cell) => CellId(cell.parse().map_err(|_| "Service.Meta.cell")?),
            None => CellId(0),
        },
        last_start: match meta("started_at_ms") {
            Some(at) => Some(at.parse::<f64>().map_err(|_| "Service.Meta.started_at_ms")?),
            None => None,
        }
        .filter(|at| *at > 0.0),
    };
    let registered = value.pointer("/Service/CreateIndex").and_then(Value::as_u64).unwrap_or(0);
    let entry = ServiceEntry { entry, address: Some(SocketAddr::new(host, port)) };
    Ok(Observation { name, entry, registered, reason })
}

#[cfg(test)]
mod tests;
