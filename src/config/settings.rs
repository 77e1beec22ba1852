//! The settings of a deployment: classes, plans and limits of the platform, the same for every front.

use super::error::ConfigError;
use super::pairs::Pairs;
use crate::backends::entries::TopologyNames;
use crate::interface::{
    Class, ColdStart, DedupScope, IngressId, Millis, Plan, RetrySafety, Settings, ZoneId,
};
use std::collections::HashMap;

/// What a front has to know of a class beside the decision module's settings.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassInfo {
    /// Its name.
    pub name: String,
    /// The longest that a client waits, in milliseconds.
    pub give_up: Millis,
    /// Its requests carry an idempotency key.
    pub keyed: bool,
}

/// The settings of a deployment, as the decisions and the network code need them.
#[derive(Debug, Clone)]
pub struct Site {
    /// The settings of the decision module.
    pub settings: Settings,
    /// The names of the values in a backend's load report, in their order.
    pub load_names: Vec<String>,
    /// The classes, in the order of their ids.
    pub classes: Vec<ClassInfo>,
    /// The places of the plans in their list, by name.
    pub plans: HashMap<String, usize>,
    /// The zones and kinds of machine by name.
    pub places: TopologyNames,
    /// Backends close a connection that was idle for so many milliseconds.
    pub conn_idle: Millis,
    /// A connection that is not established within so many milliseconds never will be.
    pub connect_timeout: Millis,
    /// The longest `Retry-After` of a rejected client, in milliseconds.
    pub max_retry_after: Millis,
}

/// How long backends keep idle connections where the settings don't say, in milliseconds.
const DEFAULT_CONN_IDLE: Millis = 30_000.0;
/// The time to connect where the settings don't say, in milliseconds.
const DEFAULT_CONNECT_TIMEOUT: Millis = 250.0;
/// The longest `Retry-After` where the settings don't say, in milliseconds.
const DEFAULT_MAX_RETRY_AFTER: Millis = 1000.0;
/// How long a client waits where its class does not say, in milliseconds.
const DEFAULT_GIVE_UP: Millis = 10_000.0;
/// What a unit of a class is worth.
const DEFAULT_WORTH: f64 = 1.0;

impl Site {
    /// Reads the settings; keys it does not know are skipped.
    pub fn read(pairs: &Pairs) -> Result<Self, ConfigError> {
        let settings = read_settings(pairs)?;
        let class = |i: usize| {
            let key = |name: &str| format!("classes.{i}.{name}");
            Ok(ClassInfo {
                name: pairs.get(&key("name"))?.unwrap_or_else(|| i.to_string()),
                give_up: pairs.get(&key("giveUp"))?.unwrap_or(DEFAULT_GIVE_UP),
                keyed: matches!(settings.classes[i].retry_safety, RetrySafety::Keyed { .. }),
            })
        };
        let plan = |i: usize| {
            let name: Option<String> = pairs.get(&format!("tariffs.{i}.name"))?;
            Ok((name.unwrap_or_else(|| i.to_string()), i))
        };
        Ok(Self {
            classes: (0..settings.classes.len()).map(class).collect::<Result<_, _>>()?,
            plans: (0..settings.plans.len()).map(plan).collect::<Result<_, _>>()?,
            load_names: pairs.list("feedback.names")?,
            places: TopologyNames { zones: pairs.list("zones")?, kinds: pairs.list("flavors")? },
            conn_idle: pairs.positive("limits.connIdle", DEFAULT_CONN_IDLE)?,
            connect_timeout: pairs.positive("limits.connectTimeout", DEFAULT_CONNECT_TIMEOUT)?,
            max_retry_after: pairs.positive("limits.maxRetryAfter", DEFAULT_MAX_RETRY_AFTER)?,
            settings,
        })
    }

    /// Whether a request may draw so many units.
    pub fn good_units(&self, units: f64) -> bool {
        let most =
            if self.settings.max_request_units > 0.0 { self.settings.max_request_units } else { f64::MAX };
        units > 0.0 && units <= most
    }

    /// A customer's set, where there are such ingresses.
    pub fn good_set(&self, spread: u16, first: u16) -> Option<(u16, u16)> {
        let all = self.settings.ingress_count;
        ((1..=all).contains(&spread) && first < all).then_some((spread, first))
    }

    /// The same, for a daemon: its clients are always told when to come back, also where the settings say
    /// that the simulator's are not, since a rejected flow is answered at once.
    pub fn with_advice(mut self) -> Self {
        self.settings.max_retry_after = self.max_retry_after;
        self
    }
}

/// Reads what the decision module has to know.
fn read_settings(pairs: &Pairs) -> Result<Settings, ConfigError> {
    let classes: usize = pairs.need("classes.count")?;
    let plans: usize = pairs.opt("tariffs.count")?;
    let advice: bool = pairs.opt("limits.retryAfter")?;
    let mode: String = pairs.opt("membershipMode")?;
    let settings = Settings {
        ingress: IngressId(pairs.need("myNumber")?),
        ingress_count: pairs.need("balancers")?,
        zone: ZoneId(pairs.opt("zone")?),
        classes: (0..classes).map(|i| read_class(pairs, i)).collect::<Result<_, _>>()?,
        plans: (0..plans).map(|i| read_plan(pairs, i)).collect::<Result<_, _>>()?,
        max_request_units: pairs.opt("familyInfo.largest")?,
        units_are_estimates: pairs.opt("familyInfo.truedUp")?,
        meter_period: pairs.opt("familyInfo.usePeriod")?,
        counter: pairs.opt("familyInfo.hasCounter")?,
        counter_timeout: pairs.opt("familyInfo.counterTimeout")?,
        peers: pairs.opt("limits.mayTell")?,
        peer_messages_per_second: pairs.opt("familyInfo.mailPerS")?,
        max_attempts: pairs.need("limits.maxAttempts")?,
        hedging: pairs.opt("limits.secondCopies")?,
        cancellation: pairs.opt("limits.cancelling")?,
        max_retry_after: if advice { pairs.opt("limits.maxRetryAfter")? } else { 0.0 },
        list_on_request: mode == "on_request",
        cold: ColdStart {
            initial_capacity: pairs.need("rules.coldFrom")?,
            warm_after: pairs.need("rules.cold")?,
            overload_multiple: pairs.need("rules.fallMultiple")?,
            overload_window: pairs.need("rules.overloadFor")?,
        },
        cross_zone_cost: pairs.opt::<f64>("prices.crossZone")? > 0.0,
    };
    settings.check().map_err(|e| ConfigError::Settings(e.to_string()))?;
    Ok(settings)
}

/// Reads the class of this place in the list.
fn read_class(pairs: &Pairs, i: usize) -> Result<Class, ConfigError> {
    let key = |name: &str| format!("classes.{i}.{name}");
    let retry_safety: String = pairs.need(&key("effect"))?;
    let retry_safety = match retry_safety.as_str() {
        "read_like" => RetrySafety::Safe,
        "non_idempotent" => RetrySafety::Unsafe,
        "idempotency_key" => {
            let scope: String = pairs.need(&key("group"))?;
            let scope = match scope.as_str() {
                "all" => DedupScope::All,
                "zone" => DedupScope::Zone,
                "cell" => DedupScope::Cell,
                _ => return Err(ConfigError::unreadable(key("group"), &scope)),
            };
            RetrySafety::Keyed { scope, window: pairs.need(&key("window"))? }
        }
        _ => return Err(ConfigError::unreadable(key("effect"), &retry_safety)),
    };
    let worth = pairs.get(&key("worth"))?.unwrap_or(DEFAULT_WORTH);
    Ok(Class { aim: pairs.need(&key("aim"))?, worth, retry_safety })
}

/// Reads the plan of this place in the list.
fn read_plan(pairs: &Pairs, i: usize) -> Result<Plan, ConfigError> {
    let key = |name: &str| format!("tariffs.{i}.{name}");
    Ok(Plan {
        rate: pairs.need(&key("perSecond"))?,
        burst: pairs.need(&key("storeSize"))?,
        max_in_flight: pairs.need(&key("atOnce"))?,
        ceiling_rate: pairs.need(&key("ceilingRate"))?,
        ceiling_burst: pairs.need(&key("neverOverDepth"))?,
        excess_worth: pairs.opt(&key("extraWorth"))?,
        excess_cost: pairs.opt(&key("excessCost"))?,
    })
}
