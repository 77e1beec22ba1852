//! The settings of an ingress by the script.

use crate::script::{By, Repeat, Script};
use weldhub::Settings;
use weldhub::interface::{Class, ColdStart, DedupScope, IngressId, Plan, RetrySafety, ZoneId};

pub(super) fn settings(script: &Script, me: u16) -> Settings {
    let class = |c: &crate::script::Class| Class {
        aim: c.aim,
        worth: c.worth,
        effect: match c.repeat {
            Repeat::Safe => RetrySafety::Safe,
            Repeat::Keyed { window } => RetrySafety::Keyed { group: DedupScope::Cell, window },
            Repeat::Unsafe => RetrySafety::Unsafe,
        },
    };
    let plan = |p: &crate::script::Plan| {
        let rate = if p.unrated { 0.0 } else { p.rate };
        Plan {
            rate,
            burst: rate * p.burst,
            open_cap: p.at_once,
            ceiling_rate: rate * p.ceiling,
            ceiling_burst: rate * p.burst * p.ceiling,
            extra_worth: 0.0,
            excess_cost: p.beyond,
        }
    };
    Settings {
        me: IngressId(me),
        gateways: script.ingresses.count,
        zone: ZoneId((me % u16::from(script.network.halls)) as u8),
        classes: script.classes.iter().map(class).collect(),
        plans: script.plans.iter().map(plan).collect(),
        largest: f64::from(script.load.largest),
        settles: false,
        meter_period: 0.0,
        counter: script.counter.is_some(),
        counter_timeout: script.counter.as_ref().map_or(50.0, |c| c.timeout),
        peers: script.peers.is_some(),
        mail_per_second: script.peers.as_ref().map_or(0.0, |p| p.per_second),
        max_attempts: script.ingresses.max_attempts,
        second_copies: script.ingresses.second_copies,
        cancelling: true,
        max_retry_after: 1000.0,
        list_on_request: script.discovery.by == By::Asked,
        cold: ColdStart {
            from: script.servers.told_cold_from,
            warm_after: script.servers.told_cold,
            fall_multiple: script.servers.fall_multiple,
            fall_window: script.servers.fall_window,
        },
        zone_price: script.network.halls > 1,
    }
}
