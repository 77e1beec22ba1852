//! The settings of an ingress, derived from the script.

use crate::script::{DiscoverySource, RepeatSafety, Script};
use weldhub::Settings;
use weldhub::interface::{Class, ColdStart, DedupScope, IngressId, Plan, RetrySafety, ZoneId};

/// Returns the settings of the ingress with index `ingress`.
pub(super) fn ingress_settings(script: &Script, ingress: u16) -> Settings {
    let class = |class: &crate::script::Class| Class {
        aim: class.aim,
        worth: class.worth,
        retry_safety: match class.repeat {
            RepeatSafety::Safe => RetrySafety::Safe,
            RepeatSafety::Keyed { window } => RetrySafety::Keyed { scope: DedupScope::Cell, window },
            RepeatSafety::Unsafe => RetrySafety::Unsafe,
        },
    };
    let plan = |plan: &crate::script::Plan| {
        let rate = if plan.unrated { 0.0 } else { plan.rate };
        Plan {
            rate,
            burst: rate * plan.burst,
            max_in_flight: plan.at_once,
            ceiling_rate: rate * plan.ceiling,
            ceiling_burst: rate * plan.burst * plan.ceiling,
            excess_worth: 0.0,
            excess_cost: plan.beyond,
        }
    };
    Settings {
        ingress: IngressId(ingress),
        ingress_count: script.ingresses.count,
        zone: ZoneId((ingress % u16::from(script.network.halls)) as u8),
        classes: script.classes.iter().map(class).collect(),
        plans: script.plans.iter().map(plan).collect(),
        max_request_units: f64::from(script.load.largest),
        units_are_estimates: false,
        meter_period: 0.0,
        counter: script.counter.is_some(),
        counter_timeout: script.counter.as_ref().map_or(50.0, |c| c.timeout),
        peers: script.peers.is_some(),
        peer_messages_per_second: script.peers.as_ref().map_or(0.0, |p| p.per_second),
        max_attempts: script.ingresses.max_attempts,
        hedging: script.ingresses.second_copies,
        cancellation: true,
        max_retry_after: 1000.0,
        list_on_request: script.discovery.by == DiscoverySource::OnRequest,
        cold: ColdStart {
            initial_capacity: script.servers.told_cold_from,
            warm_after: script.servers.told_cold,
            overload_multiple: script.servers.fall_multiple,
            overload_window: script.servers.fall_window,
        },
        cross_zone_cost: script.network.halls > 1,
    }
}
