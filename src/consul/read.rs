//! Parses Consul's answers: the health of a service's instances, and the catalogue's list of them.

use crate::backends::entries::{ServiceEntry, TopologyNames, backend_id};
use crate::backends::membership::{Observation, Reason};
use crate::config::ConsulService;
use crate::interface::{BackendEntry, BackendId, BackendState, CellId};
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};

/// A parsed health answer.
#[derive(Debug, Default, PartialEq)]
pub struct HealthAnswer {
    /// The valid instances.
    pub instances: Vec<Observation>,
    /// The skipped instances: the name of each (`?` if unknown) and its invalid key.
    pub skipped: BTreeSet<(String, &'static str)>,
}

/// Parses an answer of `/v1/health/service/NAME`. It is an error if the answer is not a JSON list, or if it
/// has instances but no valid one.
pub fn health(body: &[u8], service: &ConsulService, places: &TopologyNames) -> Result<HealthAnswer, String> {
    let answer: Value = serde_json::from_slice(body).map_err(|e| format!("the answer is not JSON: {e}"))?;
    let listed = answer.as_array().ok_or("the answer is not a list")?;
    let (mut parsed, mut ids) = (HealthAnswer::default(), BTreeSet::new());
    for instance in listed {
        match observation(instance, service, places) {
            // Of several instances with the same id, only the first is taken.
            Ok(seen) if !ids.insert(seen.id()) => drop(parsed.skipped.insert((seen.name, "Service.ID"))),
            Ok(seen) => parsed.instances.push(seen),
            Err(key) => {
                let name = name(instance, "/Node/Node", "/Service/ID", service);
                parsed.skipped.insert((name.unwrap_or_else(|| "?".into()), key));
            }
        }
    }
    match parsed.skipped.first() {
        Some((_, key)) if parsed.instances.is_empty() => Err(format!("no instance is valid (invalid {key})")),
        _ => Ok(parsed),
    }
}

/// Parses the instance ids of an answer of `/v1/catalog/service/NAME`. One unreadable instance makes the
/// whole answer an error, so that it is not taken as a confirmation that instances are gone.
pub fn catalogue(body: &[u8], service: &ConsulService) -> Result<BTreeSet<BackendId>, String> {
    let answer: Value = serde_json::from_slice(body).map_err(|e| format!("the answer is not JSON: {e}"))?;
    let instances = answer.as_array().ok_or("the answer is not a list")?;
    let id = |instance| name(instance, "/Node", "/ServiceID", service).map(|name| backend_id(&name));
    instances.iter().map(id).collect::<Option<_>>().ok_or_else(|| "ServiceID or Node cannot be read".into())
}

/// Returns the non-empty text at a JSON pointer.
fn text<'a>(value: &'a Value, path: &str) -> Option<&'a str> {
    value.pointer(path).and_then(Value::as_str).filter(|text| !text.is_empty())
}

/// Builds an instance's name from its node and id, since service ids are unique only on their node, and nodes
/// only in their datacenter. `node` and `id` are JSON pointers. Returns `None` if either is missing.
fn name(instance: &Value, node: &str, id: &str, service: &ConsulService) -> Option<String> {
    let (node, id) = (text(instance, node)?, text(instance, id)?);
    Some(format!("{}{node}/{id}", service.prefix))
}

/// Parses an instance; the error is the invalid key.
///
/// An instance whose checks are passing or warning is ready. One with a critical check (maintenance mode sets
/// one) or with weight 0 drains: it finishes its requests in flight. One that is no longer listed is gone.
fn observation(
    value: &Value,
    service: &ConsulService,
    places: &TopologyNames,
) -> Result<Observation, &'static str> {
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
        zone: places.zone_id(meta("zone")),
        kind: places.kind_id(meta("kind")),
        cell: match meta("cell") {
            Some(cell) => CellId(cell.parse().map_err(|_| "Service.Meta.cell")?),
            None => CellId(0),
        },
        last_start: match meta("started_at_ms") {
            Some(start) => Some(start.parse::<f64>().map_err(|_| "Service.Meta.started_at_ms")?),
            None => None,
        }
        .filter(|start| *start > 0.0),
    };
    let create_index = value.pointer("/Service/CreateIndex").and_then(Value::as_u64).unwrap_or(0);
    let entry = ServiceEntry { entry, address: Some(SocketAddr::new(host, port)) };
    Ok(Observation { name, entry, create_index, reason })
}

#[cfg(test)]
mod tests;
