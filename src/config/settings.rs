//! The settings of a deployment, the same for both fronts: classes, plans, zones and limits.

use super::error::ConfigError;
use super::key_values::KeyValues;
use crate::backends::entries::TopologyNames;
use crate::interface::{
    Class, ColdStart, DedupScope, IngressId, Millis, Plan, RetrySafety, Settings, ZoneId,
};
use std::collections::HashMap;

/// The properties of a class that a front needs in addition to the decision module's [`Class`].
#[derive(Debug, Clone, PartialEq)]
pub struct ClassInfo {
    /// The class's name.
    pub name: String,
    /// The longest that a client waits for an answer, in milliseconds; bounds every request's deadline.
    pub client_timeout: Millis,
    /// Whether its requests must carry an idempotency key.
    pub needs_idempotency_key: bool,
}

/// The settings of a deployment: those of the decision module and those of the network code.
#[derive(Debug, Clone)]
pub struct Site {
    /// The settings of the decision module.
    pub settings: Settings,
    /// The names of the values in a backend's load report, in order.
    pub load_report_names: Vec<String>,
    /// The classes, indexed by class id.
    pub classes: Vec<ClassInfo>,
    /// The indices of the plans by name.
    pub plans: HashMap<String, usize>,
    /// The names of zones and of kinds of machine.
    pub places: TopologyNames,
    /// The idle time after which a backend closes a connection, in milliseconds.
    pub backend_idle_timeout: Millis,
    /// The timeout for connecting to a backend, in milliseconds; an attempt that takes longer never succeeds.
    pub connect_timeout: Millis,
    /// The longest `Retry-After` sent to a rejected client, in milliseconds.
    pub max_retry_after: Millis,
}

/// The default of `limits.connIdle`, in milliseconds.
const DEFAULT_BACKEND_IDLE_TIMEOUT: Millis = 30_000.0;
/// The default of `limits.connectTimeout`, in milliseconds.
const DEFAULT_CONNECT_TIMEOUT: Millis = 250.0;
/// The default of `limits.maxRetryAfter`, in milliseconds.
const DEFAULT_MAX_RETRY_AFTER: Millis = 1000.0;
/// The default of a class's `giveUp`, in milliseconds.
const DEFAULT_CLIENT_TIMEOUT: Millis = 10_000.0;
/// The default of a class's `worth`, per unit.
const DEFAULT_WORTH: f64 = 1.0;

impl Site {
    /// Reads the settings; unknown keys are ignored.
    pub fn read(values: &KeyValues) -> Result<Self, ConfigError> {
        let settings = read_settings(values)?;
        let class = |i: usize| {
            let key = |name: &str| format!("classes.{i}.{name}");
            Ok(ClassInfo {
                name: values.get(&key("name"))?.unwrap_or_else(|| i.to_string()),
                client_timeout: values.get(&key("giveUp"))?.unwrap_or(DEFAULT_CLIENT_TIMEOUT),
                needs_idempotency_key: matches!(settings.classes[i].retry_safety, RetrySafety::Keyed { .. }),
            })
        };
        let plan = |i: usize| {
            let name: Option<String> = values.get(&format!("tariffs.{i}.name"))?;
            Ok((name.unwrap_or_else(|| i.to_string()), i))
        };
        Ok(Self {
            classes: (0..settings.classes.len()).map(class).collect::<Result<_, _>>()?,
            plans: (0..settings.plans.len()).map(plan).collect::<Result<_, _>>()?,
            load_report_names: values.list("feedback.names")?,
            places: TopologyNames { zones: values.list("zones")?, kinds: values.list("flavors")? },
            backend_idle_timeout: values.positive("limits.connIdle", DEFAULT_BACKEND_IDLE_TIMEOUT)?,
            connect_timeout: values.positive("limits.connectTimeout", DEFAULT_CONNECT_TIMEOUT)?,
            max_retry_after: values.positive("limits.maxRetryAfter", DEFAULT_MAX_RETRY_AFTER)?,
            settings,
        })
    }

    /// Returns whether a request may draw this number of units: above 0 and at most `max_request_units`, if
    /// that is set.
    pub fn allows_units(&self, units: f64) -> bool {
        let max =
            if self.settings.max_request_units > 0.0 { self.settings.max_request_units } else { f64::MAX };
        units > 0.0 && units <= max
    }

    /// Checks a customer's set of `spread` ingresses from number `first`; returns `None` if the fleet has no
    /// such set.
    pub fn valid_ingress_set(&self, spread: u16, first: u16) -> Option<(u16, u16)> {
        let ingress_count = self.settings.ingress_count;
        ((1..=ingress_count).contains(&spread) && first < ingress_count).then_some((spread, first))
    }

    /// Returns the settings for a daemon. Its rejections always carry `Retry-After`, since it answers
    /// rejected requests at once; `limits.retryAfter` applies to the simulator only.
    pub fn with_retry_after(mut self) -> Self {
        self.settings.max_retry_after = self.max_retry_after;
        self
    }
}

/// Reads and checks the settings of the decision module.
fn read_settings(values: &KeyValues) -> Result<Settings, ConfigError> {
    let classes: usize = values.required("classes.count")?;
    let plans: usize = values.or_default("tariffs.count")?;
    let sends_retry_after: bool = values.or_default("limits.retryAfter")?;
    let mode: String = values.or_default("membershipMode")?;
    let settings = Settings {
        ingress: IngressId(values.required("myNumber")?),
        ingress_count: values.required("balancers")?,
        zone: ZoneId(values.or_default("zone")?),
        classes: (0..classes).map(|i| read_class(values, i)).collect::<Result<_, _>>()?,
        plans: (0..plans).map(|i| read_plan(values, i)).collect::<Result<_, _>>()?,
        max_request_units: values.or_default("familyInfo.largest")?,
        units_are_estimates: values.or_default("familyInfo.truedUp")?,
        meter_period: values.or_default("familyInfo.usePeriod")?,
        counter: values.or_default("familyInfo.hasCounter")?,
        counter_timeout: values.or_default("familyInfo.counterTimeout")?,
        peers: values.or_default("limits.mayTell")?,
        peer_messages_per_second: values.or_default("familyInfo.mailPerS")?,
        max_attempts: values.required("limits.maxAttempts")?,
        hedging: values.or_default("limits.secondCopies")?,
        cancellation: values.or_default("limits.cancelling")?,
        max_retry_after: if sends_retry_after { values.or_default("limits.maxRetryAfter")? } else { 0.0 },
        list_on_request: mode == "on_request",
        cold: ColdStart {
            initial_capacity: values.required("rules.coldFrom")?,
            warm_after: values.required("rules.cold")?,
            overload_multiple: values.required("rules.fallMultiple")?,
            overload_window: values.required("rules.overloadFor")?,
        },
        cross_zone_cost: values.or_default::<f64>("prices.crossZone")? > 0.0,
    };
    settings.check().map_err(|e| ConfigError::Settings(e.to_string()))?;
    Ok(settings)
}

/// Reads the class at index `i`.
fn read_class(values: &KeyValues, i: usize) -> Result<Class, ConfigError> {
    let key = |name: &str| format!("classes.{i}.{name}");
    let retry_safety: String = values.required(&key("effect"))?;
    let retry_safety = match retry_safety.as_str() {
        "read_like" => RetrySafety::Safe,
        "non_idempotent" => RetrySafety::Unsafe,
        "idempotency_key" => {
            let scope: String = values.required(&key("group"))?;
            let scope = match scope.as_str() {
                "all" => DedupScope::All,
                "zone" => DedupScope::Zone,
                "cell" => DedupScope::Cell,
                _ => return Err(ConfigError::unreadable(key("group"), &scope)),
            };
            RetrySafety::Keyed { scope, window: values.required(&key("window"))? }
        }
        _ => return Err(ConfigError::unreadable(key("effect"), &retry_safety)),
    };
    let worth = values.get(&key("worth"))?.unwrap_or(DEFAULT_WORTH);
    Ok(Class { aim: values.required(&key("aim"))?, worth, retry_safety })
}

/// Reads the plan at index `i`.
fn read_plan(values: &KeyValues, i: usize) -> Result<Plan, ConfigError> {
    let key = |name: &str| format!("tariffs.{i}.{name}");
    Ok(Plan {
        rate: values.required(&key("perSecond"))?,
        burst: values.required(&key("storeSize"))?,
        max_in_flight: values.required(&key("atOnce"))?,
        ceiling_rate: values.required(&key("ceilingRate"))?,
        ceiling_burst: values.required(&key("neverOverDepth"))?,
        excess_worth: values.or_default(&key("extraWorth"))?,
        excess_cost: values.or_default(&key("excessCost"))?,
    })
}
