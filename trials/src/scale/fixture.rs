//! Inputs for an installation of any size: the settings of an ingress, backend lists as discovery sends them,
//! and requests.

use serde_json::json;
use std::fmt::Write;
use weldhub::entries::{BackendList, TopologyNames};
use weldhub::interface::{
    Class, ClassId, ColdStart, CustomerId, DedupScope, IngressId, Plan, PlanId, Request, RequestId,
    RetrySafety, Settings, ZoneId,
};
use weldhub::net::discovery;

/// The number of zones, over both regions of the installation.
pub const ZONES: usize = 5;
/// The number of messages a second that an ingress accepts from its peers.
const PEER_MESSAGES_PER_SECOND: f64 = 60.0;
/// The time for which a client waits for an answer, in milliseconds.
const CLIENT_TIMEOUT_MS: f64 = 2000.0;
/// The number of ingresses that receive the requests of one customer.
const INGRESSES_PER_CUSTOMER: u16 = 8;

/// How the ingresses share the use of customers' quotas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaSource {
    /// By messages between ingresses.
    Peers,
    /// By the fleet's shared counter.
    Counter,
}

/// Returns the settings of the ingress with number `ingress` in a fleet of `ingresses`.
pub fn settings(ingress: u16, ingresses: usize, source: QuotaSource) -> Settings {
    let class = |aim, retry_safety| Class { aim, worth: 1.0, retry_safety };
    let keyed = RetrySafety::Keyed { scope: DedupScope::Zone, window: 6000.0 };
    let plan = Plan { rate: 6.0, burst: 30.0, excess_worth: 0.1, excess_cost: 0.3, ..Plan::default() };
    Settings {
        ingress: IngressId(ingress),
        ingress_count: u16::try_from(ingresses).unwrap_or(u16::MAX),
        zone: ZoneId((usize::from(ingress) % ZONES) as u8),
        classes: vec![class(600.0, RetrySafety::Safe), class(750.0, keyed)],
        plans: vec![plan],
        max_request_units: 6.0,
        units_are_estimates: false,
        meter_period: 0.0,
        counter: source == QuotaSource::Counter,
        counter_timeout: 50.0,
        peers: source == QuotaSource::Peers,
        peer_messages_per_second: PEER_MESSAGES_PER_SECOND,
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

/// Returns the names of the installation's zones and kinds of machine.
pub fn places() -> TopologyNames {
    let zones = (0..ZONES).map(|zone| format!("zone-{zone}")).collect();
    TopologyNames { zones, kinds: vec!["gen-a".into(), "gen-b".into()] }
}

/// Returns the discovery entry of one backend.
fn backend_entry(number: usize, lifecycle: &str) -> serde_json::Value {
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

/// Returns a line of the discovery watch with a full list of `backends` backends.
pub fn full_list_line(backends: usize) -> String {
    let entries: Vec<_> = (0..backends).map(|number| backend_entry(number, "in_service")).collect();
    json!({ "generation": 1, "reset": true, "instances": entries }).to_string()
}

/// Returns a line of the discovery watch that changes one backend.
pub fn change_line(generation: u64, number: usize, lifecycle: &str) -> String {
    json!({ "generation": generation, "reset": false, "instances": [backend_entry(number, lifecycle)] })
        .to_string()
}

/// Parses a line of the discovery watch with the program's own reader. `known` is the generation of the list
/// that the line's changes apply to; `None` if there is no list yet.
///
/// # Errors
/// Returns why the line could not be read or is no list.
pub fn parse_line(line: &str, known: Option<u64>) -> Result<BackendList, String> {
    discovery::parse_line(line.as_bytes(), known, &places())?
        .ok_or_else(|| "the line is a heartbeat, not a list".to_owned())
}

/// Returns a request of a customer, received by the ingress that `settings` belong to. The customer's group
/// of `INGRESSES_PER_CUSTOMER` ingresses is placed so that it contains this ingress.
pub fn request(id: u64, customer: usize, settings: &Settings) -> Request {
    let spread = INGRESSES_PER_CUSTOMER.min(settings.ingress_count);
    let position = (customer % usize::from(spread.max(1))) as u16;
    Request {
        id: RequestId(id),
        class: ClassId((id % 2) as usize),
        plan: PlanId(0),
        customer: CustomerId(customer as u64),
        time_left: CLIENT_TIMEOUT_MS,
        units: 1.0,
        spread,
        first_ingress: IngressId(
            (settings.ingress.0 + settings.ingress_count - position) % settings.ingress_count.max(1),
        ),
        is_retry: false,
        identity: None,
    }
}

/// Returns the bytes on the wire of a line that is sent as one chunk of an HTTP/1.1 answer.
pub fn chunk_bytes(line: &str) -> usize {
    let mut framing = String::new();
    // Writing to a `String` never fails.
    let _ = write!(framing, "{:x}\r\n\r\n", line.len());
    line.len() + framing.len() + 1
}
