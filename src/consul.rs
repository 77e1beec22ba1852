//! Consul: finds authorisers by blocking queries on the health of a service, and asks the catalogue about a mass
//! withdrawal. What is believed, `membership` decides.

use crate::config::{Consul, Site};
use crate::deadlines::Deadlines;
use crate::interface::*;
use crate::membership::{Members, Step};
use crate::net::discovery::{List, ServiceEntry, server_id};
use crate::net::http::{Kind, take_message};
use crate::net::stream::{Way, connect, read_more};
use crate::pacing::Pacing;
use bytes::BytesMut;
use serde_json::Value;
use slog::{Logger, info, warn};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;

/// A query that fails is asked again after the first at the least, and up to the second or what the fleet needs.
const BACKOFF: [Millis; 2] = [100.0, 10_000.0];
/// However fast the index moves, queries are this far apart.
const PACE: Millis = 20.0;
/// Consul answers up to a sixteenth later than it was asked to; beyond that and this it is taken for gone.
const LATE: (f64, Millis) = (1.0 / 16.0, 3000.0);
/// A wait for nothing.
const FOREVER: Millis = 3_600_000.0;
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
    /// Watches for ever; every change goes to `tell`. Silence, failures and garbage leave the list as it is.
    pub async fn run(self, mut tell: impl FnMut(List)) {
        let mut members = Members::new(self.consul.manner);
        let (mut index, mut first, mut failures) = (0, true, 0);
        let mut pacing = Pacing::new(self.site.settings.gateways, BACKOFF, self.seed);
        // A fleet that starts together does not ask together.
        self.deadlines.sleep(pacing.first()).await;
        loop {
            let primary = self.agent.now();
            // Who fails is left for the next one; a new configuration begins with its own.
            let all = 1 + self.consul.others.len();
            let at = match failures % all {
                0 => primary,
                n => self.consul.others[n - 1],
            };
            let mut asked = std::pin::pin!(self.ask(at, index));
            let asked = loop {
                let due = members.next_due().unwrap_or(f64::INFINITY);
                let wait = (due - self.now()).min(FOREVER);
                tokio::select! {
                    asked = &mut asked => break Some(asked),
                    // Another agent counts its index by itself: it is asked for all, at once.
                    () = self.agent.moved_from(primary) => break None,
                    () = self.deadlines.sleep(wait) => {
                        let entries = members.due(self.now());
                        if !entries.is_empty() {
                            tell(List { generation: index, whole: false, entries });
                        }
                    }
                }
            };
            match asked {
                None => {
                    (index, failures) = (0, 0);
                    pacing.heard();
                }
                Some(Ok((next, entries))) => {
                    pacing.heard();
                    // Prevents waiting for ever on an index that Consul has gone back behind.
                    index = if next < index { 0 } else { next.max(1) };
                    let step = members.health(self.now(), entries);
                    let (entries, confirm) = match step {
                        Step::Tell(entries) => (entries, false),
                        Step::Confirm(entries) => (entries, true),
                    };
                    if !entries.is_empty() || first {
                        first = false;
                        tell(List { generation: index, whole: false, entries });
                    }
                    if confirm {
                        match self.confirmed(at, &mut members).await {
                            Some(entries) if entries.is_empty() => {}
                            Some(entries) => tell(List { generation: index, whole: false, entries }),
                            // Health is asked anew, and the catalogue with it.
                            None => {
                                index = 0;
                                self.deadlines.sleep(pacing.again()).await;
                            }
                        }
                    }
                    self.deadlines.sleep(PACE).await;
                }
                Some(Err(why)) => {
                    failures += 1;
                    let pause = pacing.again();
                    warn!(self.log, "consul query failed"; "agent" => %at, "why" => why, "again_in_ms" => pause.round());
                    index = 0;
                    tokio::select! {
                        () = self.deadlines.sleep(pause) => {}
                        () = self.agent.moved_from(primary) => {
                            failures = 0;
                            pacing.heard();
                        }
                    }
                }
            }
        }
    }

    fn now(&self) -> Millis {
        self.deadlines.clock().now()
    }

    /// The catalogue's word on a mass withdrawal; none where it cannot be had: then all stay.
    async fn confirmed(&self, at: SocketAddr, members: &mut Members) -> Option<Vec<ServiceEntry>> {
        let Consul { service, narrowed, .. } = &self.consul;
        let target = format!("/v1/catalog/service/{service}?{}", narrowed.trim_start_matches('&'));
        let held = self.get(at, target.trim_end_matches('?'), CATALOGUE).await;
        let held =
            held.and_then(|(_, value)| value.as_array().cloned().ok_or_else(|| "it is no list".to_owned()));
        match held {
            Ok(held) => {
                let text = |node: &Value, key: &str| node.get(key).and_then(Value::as_str).map(str::to_owned);
                let id = |node: &Value| {
                    let (node, id) = (text(node, "Node").unwrap_or_default(), text(node, "ServiceID")?);
                    Some(server_id(&format!("{node}/{id}")))
                };
                let held: BTreeSet<ServerId> = held.iter().filter_map(id).collect();
                let gone = members.catalogue(&held);
                info!(self.log, "a mass withdrawal was put to the catalogue"; "gone" => gone.len(), "stay" => members.len());
                Some(gone)
            }
            Err(why) => {
                warn!(self.log, "a mass withdrawal is not believed"; "why" => why, "stay" => members.len());
                None
            }
        }
    }

    /// One query: the next index and the entries.
    async fn ask(&self, at: SocketAddr, index: u64) -> Result<(u64, Vec<ServiceEntry>), String> {
        let Consul { service, wait, narrowed, max_stale, .. } = &self.consul;
        // The first query, and the one after a reset, is answered at once.
        let mut query =
            if index > 0 { format!("&index={index}&wait={}ms", *wait as u64) } else { String::new() };
        query.push_str(if max_stale.is_some() { "&stale" } else { "" });
        query.push_str(narrowed);
        let query = query.strip_prefix('&').map(|query| format!("?{query}")).unwrap_or_default();
        let patience = if index > 0 { wait * (1.0 + LATE.0) + LATE.1 } else { LATE.1 };
        let (next, health) = self.get(at, &format!("/v1/health/service/{service}{query}"), patience).await?;
        let nodes = health.as_array().ok_or("the health answer is no list")?;
        // One entry that cannot be read does not take the others away.
        let read = |node| match entry(node, &self.site) {
            Ok(entry) => Some(entry),
            Err(key) => {
                info!(self.log, "consul entry passed over"; "key" => key);
                None
            }
        };
        let entries: Vec<_> = nodes.iter().filter_map(read).collect();
        if entries.is_empty() && !nodes.is_empty() {
            return Err("no entry of the health answer can be read".into());
        }
        Ok((next, entries))
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
        let text = |name| message.head.get(name).and_then(|v| std::str::from_utf8(v).ok());
        if text("x-consul-knownleader") == Some("false") {
            return Err("its cluster has no leader".into());
        }
        let age: Option<Millis> = text("x-consul-lastcontact").and_then(|age| age.trim().parse().ok());
        if let (Some(age), Some(most)) = (age, self.consul.max_stale)
            && age > most
        {
            return Err(format!("its answer is {age} ms old"));
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
    let warns = checks.iter().any(|check| check.get("Status").and_then(Value::as_str) == Some("warning"));
    let weight = if warns { "/Service/Weights/Warning" } else { "/Service/Weights/Passing" };
    let place = |names: &[String], name| names.iter().position(|known| Some(known.as_str()) == meta(name));
    Ok(ServiceEntry {
        entry: ServerEntry {
            // Ids of services are unique on their node only.
            server: server_id(&format!("{node}/{id}")),
            state: if critical { ServerState::Draining } else { ServerState::Ready },
            weight: value.pointer(weight).and_then(Value::as_f64).unwrap_or(1.0),
            zone: ZoneId(place(&site.zones, "zone").and_then(|at| at.try_into().ok()).unwrap_or(u8::MAX)),
            kind: KindId(place(&site.kinds, "kind").and_then(|at| at.try_into().ok()).unwrap_or(u16::MAX)),
            cell: CellId(meta("cell").and_then(|cell| cell.parse().ok()).unwrap_or(0)),
            last_start: meta("started_at_ms").and_then(|at| at.parse().ok()).filter(|at| *at > 0.0),
        },
        at: Some(std::net::SocketAddr::new(host, port)),
    })
}
