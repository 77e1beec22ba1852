//! The HTTP targets and timeouts of queries to a Consul agent.

use crate::backends::membership::query_schedule::Cursor;
use crate::config::{ConsulConfig, ConsulService};
use crate::interface::Millis;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

/// The characters that are percent-encoded: all but the unreserved ones of RFC 3986, section 2.3.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'~');

/// Percent-encodes a path segment or a parameter's value.
fn escaped(text: &str) -> String {
    utf8_percent_encode(text, ESCAPED).to_string()
}

/// Builds a query string such as `?a=1&b` from the parameters that have a value; an empty value leaves only
/// the name.
fn query_string(parameters: impl IntoIterator<Item = (&'static str, Option<String>)>) -> String {
    let present = parameters.into_iter().filter_map(|(name, value)| Some((name, value?)));
    let present: Vec<String> = present
        .map(|(name, value)| if value.is_empty() { name.to_owned() } else { format!("{name}={value}") })
        .collect();
    if present.is_empty() { String::new() } else { format!("?{}", present.join("&")) }
}

/// The parameters that health and catalogue queries share: datacenter, namespace and tags.
fn service_parameters(service: &ConsulService) -> Vec<(&'static str, Option<String>)> {
    let tags = service.tags.iter().map(|tag| ("tag", Some(escaped(tag))));
    [("dc", &service.datacenter), ("ns", &service.namespace)]
        .into_iter()
        .map(|(name, value)| (name, value.as_deref().map(escaped)))
        .chain(tags)
        .collect()
}

/// Returns the target of a health query. The query blocks if the cursor has an index to wait on.
pub fn health_target(consul: &ConsulConfig, service: &ConsulService, cursor: Cursor) -> String {
    let index = cursor.index();
    // In whole milliseconds with a unit, since Consul parses a Go duration.
    let wait = index.map(|_| format!("{}ms", consul.wait as u64));
    let blocking = [("index", index.map(|index| index.to_string())), ("wait", wait), stale(consul)];
    let filter = [("filter", service.filter.as_deref().map(escaped))];
    let all = query_string(blocking.into_iter().chain(service_parameters(service)).chain(filter));
    format!("/v1/health/service/{}{all}", escaped(&service.name))
}

/// Returns the target of a catalogue query. It has a filter of its own, since the catalogue's fields have
/// other names than those of health.
pub fn catalogue_target(consul: &ConsulConfig, service: &ConsulService) -> String {
    let filter = [("filter", service.catalogue_filter.as_deref().map(escaped))];
    let all = query_string([stale(consul)].into_iter().chain(service_parameters(service)).chain(filter));
    format!("/v1/catalog/service/{}{all}", escaped(&service.name))
}

/// The parameter that allows a stale read.
fn stale(consul: &ConsulConfig) -> (&'static str, Option<String>) {
    ("stale", consul.max_stale.map(|_| String::new()))
}

/// Returns the timeout of a health query, in milliseconds. Consul adds up to a sixteenth of the wait to a
/// blocking query, to spread the answers; `consul.timeout` is added to that. A later answer counts as none.
pub fn health_timeout(consul: &ConsulConfig, cursor: Cursor) -> Millis {
    match cursor.index() {
        Some(_) => consul.wait * (1.0 + 1.0 / 16.0) + consul.timeout,
        None => consul.timeout,
    }
}

#[cfg(test)]
mod tests;
