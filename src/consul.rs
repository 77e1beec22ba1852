//! Consul: finds authorisers by blocking queries on the health of a service, and asks the catalogue before it
//! believes that there are none.

use crate::config::{Consul, Site};
use crate::deadlines::Deadlines;
use crate::interface::*;
use crate::net::discovery::{List, ServiceEntry, server_id};
use crate::net::http::{Kind, take_message};
use crate::net::stream::{Way, connect, read_more};
use crate::pacing::Pacing;
use bytes::BytesMut;
use serde_json::Value;
use slog::{Logger, info, warn};
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;

/// A query that fails is asked again after the first at the least, and up to the second or what the fleet needs.
const BACKOFF: [Millis; 2] = [100.0, 10_000.0];
/// However fast the index moves, queries are this far apart.
const PACE: Millis = 20.0;
/// Consul answers up to a sixteenth later than it was asked to; beyond that and this it is taken for gone.
const LATE: (f64, Millis) = (1.0 / 16.0, 3000.0);
/// How long the catalogue may take.
const CATALOGUE: Millis = 3000.0;

/// A watch on a service.
#[derive(Debug)]
pub struct Watch {
    /// The agent's address.
    pub agent: Way,
    /// What to ask it.
    pub consul: Consul,
    /// For reading entries.
    pub site: Site,
    /// For its pauses.
    pub deadlines: Deadlines,
    /// The instance's own, so that a fleet does not ask as one.
    pub seed: u64,
    /// Where its troubles are logged.
    pub log: Logger,
}

impl Watch {
    /// Watches for ever; every list goes to `tell`. Silence, failures and garbage leave the list as it is.
    pub async fn run(self, mut tell: impl FnMut(List)) {
        let (mut index, mut last) = (0, None);
        let mut pacing = Pacing::new(self.site.settings.gateways, BACKOFF, self.seed);
        loop {
            let at = self.agent.now();
            let asked = tokio::select! {
                asked = self.ask(at, index) => asked,
                // Another agent counts its index by itself: it is asked for all, at once.
                () = self.agent.moved_from(at) => {
                    index = 0;
                    pacing.heard();
                    continue;
                }
            };
            match asked {
                Ok((next, entries)) => {
                    pacing.heard();
                    // Prevents waiting for ever on an index that Consul has gone back behind.
                    index = if next < index { 0 } else { next.max(1) };
                    // A blocking query that only timed out says the same again.
                    if last.as_ref() != Some(&entries) {
                        tell(List { generation: next, whole: true, entries: entries.clone() });
                        last = Some(entries);
                    }
                    self.deadlines.sleep(PACE).await;
                }
                Err(why) => {
                    let pause = pacing.again();
                    warn!(self.log, "consul query failed"; "why" => why, "again_in_ms" => pause.round());
                    index = 0;
                    tokio::select! {
                        () = self.deadlines.sleep(pause) => {}
                        () = self.agent.moved_from(at) => pacing.heard(),
                    }
                }
            }
        }
    }

    /// One query: the next index and the entries.
    async fn ask(&self, at: SocketAddr, index: u64) -> Result<(u64, Vec<ServiceEntry>), String> {
        let Consul { service, wait, .. } = &self.consul;
        // The first query, and the one after a reset, is answered at once.
        let blocking =
            if index > 0 { format!("?index={index}&wait={}ms", *wait as u64) } else { String::new() };
        let patience = if index > 0 { wait * (1.0 + LATE.0) + LATE.1 } else { LATE.1 };
        let (next, health) =
            self.get(at, &format!("/v1/health/service/{service}{blocking}"), patience).await?;
        let nodes = health.as_array().ok_or("the health answer is no list")?;
        if nodes.is_empty() {
            // Prevents an outage from a health answer that lost what the catalogue still holds.
            let (_, held) = self.get(at, &format!("/v1/catalog/service/{service}"), CATALOGUE).await?;
            if held.as_array().is_none_or(|held| !held.is_empty()) {
                return Err("the health answer is empty and the catalogue is not".into());
            }
        }
        // One entry that cannot be read does not take the others away.
        let read = |node| match entry(node, &self.site) {
            Ok(entry) => Some(entry),
            Err(key) => {
                info!(self.log, "consul entry passed over"; "key" => key);
                None
            }
        };
        Ok((next, nodes.iter().filter_map(read).collect()))
    }

    async fn get(&self, at: SocketAddr, target: &str, patience: Millis) -> Result<(u64, Value), String> {
        let asked = self.deadlines.within(patience, self.fetch(at, target)).await;
        asked.ok_or_else(|| "silence".to_owned())?
    }

    async fn fetch(&self, at: SocketAddr, target: &str) -> Result<(u64, Value), String> {
        let told = |e: std::io::Error| e.to_string();
        let mut stream = connect(at).await.map_err(told)?;
        let token = match &self.consul.token {
            Some(token) => format!("X-Consul-Token: {token}\r\n"),
            None => String::new(),
        };
        let ask = format!("GET {target} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n{token}\r\n");
        stream.write_all(ask.as_bytes()).await.map_err(told)?;
        let mut buffer = BytesMut::new();
        let message = loop {
            let more = read_more(&mut stream, &mut buffer).await.map_err(told)?;
            match take_message(&mut buffer, Kind::ListResponse, !more) {
                Ok(Some(message)) => break message,
                Ok(None) if more => {}
                Ok(None) => return Err("it ended".into()),
                Err(bad) => return Err(format!("{bad:?}")),
            }
        };
        if message.head.status() != 200 {
            return Err(format!("status {}", message.head.status()));
        }
        let index =
            message.head.get("x-consul-index").and_then(|v| std::str::from_utf8(v).ok()?.parse().ok());
        let value = serde_json::from_slice(&message.body).map_err(|e| e.to_string())?;
        Ok((index.unwrap_or(0), value))
    }
}

/// Reads an instance of a service with its node and checks; an error is the key at fault.
///
/// One whose checks pass or warn is ready. One with a critical check, as maintenance sets it, drains: it finishes
/// what it has. One that is no longer listed is gone.
fn entry(value: &Value, site: &Site) -> Result<ServiceEntry, &'static str> {
    let text = |path: &str| value.pointer(path).and_then(Value::as_str).filter(|text| !text.is_empty());
    let meta = |name: &str| text(&format!("/Service/Meta/{name}"));
    let id = text("/Service/ID").ok_or("Service.ID")?;
    let node = text("/Node/Node").unwrap_or_default();
    let host = text("/Service/Address").or_else(|| text("/Node/Address")).ok_or("Service.Address")?;
    let port = value.pointer("/Service/Port").and_then(Value::as_u64).ok_or("Service.Port")?;
    let port = u16::try_from(port).map_err(|_| "Service.Port")?;
    let host = host.parse().map_err(|_| "Service.Address")?;
    let checks = value.pointer("/Checks").and_then(Value::as_array).ok_or("Checks")?;
    let critical = checks
        .iter()
        .any(|check| !matches!(check.get("Status").and_then(Value::as_str), Some("passing" | "warning")));
    let place = |names: &[String], name| names.iter().position(|known| Some(known.as_str()) == meta(name));
    Ok(ServiceEntry {
        entry: ServerEntry {
            // Ids of services are unique on their node only.
            server: server_id(&format!("{node}/{id}")),
            state: if critical { ServerState::Draining } else { ServerState::Ready },
            weight: value.pointer("/Service/Weights/Passing").and_then(Value::as_f64).unwrap_or(1.0),
            zone: ZoneId(place(&site.zones, "zone").and_then(|at| at.try_into().ok()).unwrap_or(u8::MAX)),
            kind: KindId(place(&site.kinds, "kind").and_then(|at| at.try_into().ok()).unwrap_or(u16::MAX)),
            cell: CellId(meta("cell").and_then(|cell| cell.parse().ok()).unwrap_or(0)),
            last_start: meta("started_at_ms").and_then(|at| at.parse().ok()).filter(|at| *at > 0.0),
        },
        at: Some(std::net::SocketAddr::new(host, port)),
    })
}
