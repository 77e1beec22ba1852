//! What is asked of an agent: the targets of queries.

use crate::backends::membership::asking::Cursor;
use crate::config::{ConsulConfig, ConsulService};
use crate::interface::Millis;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

/// What stands as it is in a query's value or a path's segment (RFC 3986, 2.3); all else is escaped.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'~');

fn escaped(text: &str) -> String {
    utf8_percent_encode(text, ESCAPED).to_string()
}

/// `?a=1&b`, of those that say something.
fn query(parts: impl IntoIterator<Item = (&'static str, Option<String>)>) -> String {
    let said = parts.into_iter().filter_map(|(name, value)| Some((name, value?)));
    let said: Vec<String> = said
        .map(|(name, value)| if value.is_empty() { name.to_owned() } else { format!("{name}={value}") })
        .collect();
    if said.is_empty() { String::new() } else { format!("?{}", said.join("&")) }
}

fn common(service: &ConsulService) -> Vec<(&'static str, Option<String>)> {
    let tags = service.tags.iter().map(|tag| ("tag", Some(escaped(tag))));
    [("dc", &service.datacenter), ("ns", &service.namespace)]
        .into_iter()
        .map(|(name, value)| (name, value.as_deref().map(escaped)))
        .chain(tags)
        .collect()
}

/// The health of a service; it blocks where there is an index to wait on.
pub fn health(consul: &ConsulConfig, service: &ConsulService, cursor: Cursor) -> String {
    let index = cursor.index();
    // To the millisecond: Consul reads Go's durations.
    let wait = index.map(|_| format!("{}ms", consul.wait as u64));
    let own = [("index", index.map(|index| index.to_string())), ("wait", wait), stale(consul)];
    let filter = [("filter", service.filter.as_deref().map(escaped))];
    let all = query(own.into_iter().chain(common(service)).chain(filter));
    format!("/v1/health/service/{}{all}", escaped(&service.name))
}

/// The catalogue's list of a service. Its fields have other names than those of health, and so has its filter.
pub fn catalogue(consul: &ConsulConfig, service: &ConsulService) -> String {
    let filter = [("filter", service.catalogue_filter.as_deref().map(escaped))];
    let all = query([stale(consul)].into_iter().chain(common(service)).chain(filter));
    format!("/v1/catalog/service/{}{all}", escaped(&service.name))
}

fn stale(consul: &ConsulConfig) -> (&'static str, Option<String>) {
    ("stale", consul.max_stale.map(|_| String::new()))
}

/// How long an answer may take: a blocking query is answered up to a sixteenth later than it was asked to be, as Consul
/// spreads them so; beyond that and some slack it is taken for silence.
pub fn patience(consul: &ConsulConfig, cursor: Cursor) -> Millis {
    match cursor.index() {
        Some(_) => consul.wait * (1.0 + 1.0 / 16.0) + consul.timeout,
        None => consul.timeout,
    }
}

#[cfg(test)]
mod tests;
