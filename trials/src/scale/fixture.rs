//! An installation of any size: settings of an ingress, the list of backends as discovery writes it, and requests.

use serde_json::json;
use std::fmt::Write;
use weldhub::entries::{BackendList, Places};
use weldhub::interface::{
    Class, ClassId, ColdStart, CustomerId, DedupScope, IngressId, Plan, PlanId, Request, RequestId,
    RetrySafety, Settings, ZoneId,
};
use weldhub::net::discovery::parse_line;

/// Zones of the two regions together.
pub const ZONES: usize = 5;
/// Messages of peers that an ingress takes in a second.
const MAIL_PER_SECOND: f64 = 60.0;
/// How long a client waits, in milliseconds.
const PATIENCE: f64 = 2000.0;
/// How many ingresses the requests of one tenant come to.
const SPREAD: u16 = 8;

/// Where an ingress hears of what others grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaSource {
    /// Messages between ingresses.
    Peers,
    /// The shared counter.
    Counter,
}

/// The settings of one ingress.
pub fn settings(me: u16, ingresses: usize, source: QuotaSource) -> Settings {
    let class = |aim, retry_safety| Class { aim, worth: 1.0, retry_safety };
    let keyed = RetrySafety::Keyed { scope: DedupScope::Zone, window: 6000.0 };
    let plan = Plan { rate: 6.0, burst: 30.0, excess_worth: 0.1, excess_cost: 0.3, ..Plan::default() };
    Settings {
        ingress: IngressId(me),
        ingress_count: u16::try_from(ingresses).unwrap_or(u16::MAX),
        zone: ZoneId((usize::from(me) % ZONES) as u8),
        classes: vec![class(600.0, RetrySafety::Safe), class(750.0, keyed)],
        plans: vec![plan],
        max_request_units: 6.0,
        units_are_estimates: false,
        meter_period: 0.0,
        counter: source == QuotaSource::Counter,
        counter_timeout: 50.0,
        peers: source == QuotaSource::Peers,
        peer_messages_per_second: MAIL_PER_SECOND,
        max_attempts: 4,
        hedging: false,
        cancellation: true,
        max_retry_after: 1000.0,
        list_on_request: false,
        cold: ColdStart {
            initial_capacity: 0.25,
            warm_after: 18_000.0,
            overload_multiple: 2.0,
            overload_window: 3000.0,
        },
        cross_zone_cost: true,
    }
}

/// The names of the installation's zones and kinds of machine.
pub fn places() -> Places {
    let zones = (0..ZONES).map(|zone| format!("zone-{zone}")).collect();
    Places { zones, kinds: vec!["gen-a".into(), "gen-b".into()] }
}

fn instance(number: usize, lifecycle: &str) -> serde_json::Value {
    json!({
        "instanceId": format!("backend-{number:05}"),
        "hostPort": format!("10.{}.{}.{}:9000", number >> 16, (number >> 8) & 0xff, number & 0xff),
        "zone": format!("zone-{}", number % ZONES),
        "machineType": if number.is_multiple_of(2) { "gen-a" } else { "gen-b" },
        "cell": number / 4,
        "lifecycle": lifecycle,
        "weight": 1.0,
    })
}

/// A line of discovery's watch that holds so many backends.
pub fn whole_list(backends: usize) -> String {
    let all: Vec<_> = (0..backends).map(|number| instance(number, "in_service")).collect();
    json!({ "generation": 1, "reset": true, "instances": all }).to_string()
}

/// A line of discovery's watch that changes one backend.
pub fn one_change(generation: u64, number: usize, lifecycle: &str) -> String {
    json!({ "generation": generation, "reset": false, "instances": [instance(number, lifecycle)] })
        .to_string()
}

/// Reads a line by the reader that the program uses.
///
/// # Errors
/// Why it cannot be read.
pub fn read(line: &str, known: Option<u64>) -> Result<BackendList, String> {
    parse_line(line.as_bytes(), known, &places())?.ok_or_else(|| "a list is no sign of life".to_owned())
}

/// A request of a tenant at an ingress that is among those which the tenant's requests come to.
pub fn request(id: u64, tenant: usize, at: &Settings) -> Request {
    let spread = SPREAD.min(at.ingress_count);
    let before = (tenant % usize::from(spread.max(1))) as u16;
    Request {
        id: RequestId(id),
        class: ClassId((id % 2) as usize),
        plan: PlanId(0),
        customer: CustomerId(tenant as u64),
        time_left: PATIENCE,
        units: 1.0,
        spread,
        first_ingress: IngressId((at.ingress.0 + at.ingress_count - before) % at.ingress_count.max(1)),
        is_retry: false,
    }
}

/// What an HTTP/1.1 answer adds to a line that it carries as one chunk.
pub fn chunk_bytes(line: &str) -> usize {
    let mut head = String::new();
    // Writing to a string cannot fail.
    let _ = write!(head, "{:x}\r\n\r\n", line.len());
    line.len() + head.len() + 1
}
