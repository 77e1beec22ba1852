//! Reads the settings text (`path=value`, one a line) into [`Settings`]; keys it does not know are skipped.

use std::collections::BTreeMap;
use std::str::FromStr;
use weldhub::interface::{Class, ColdStart, Effect, GatewayId, Group, Plan, Settings, SettingsError, ZoneId};

struct Facts<'a>(BTreeMap<&'a str, &'a str>);

impl Facts<'_> {
    fn parse<T: FromStr>(&self, key: &str) -> Result<Option<T>, SettingsError> {
        let Some(text) = self.0.get(key) else { return Ok(None) };
        match text.trim().parse() {
            Ok(value) => Ok(Some(value)),
            Err(_) => Err(SettingsError(format!("cannot read {key}={text}"))),
        }
    }

    fn need<T: FromStr>(&self, key: &str) -> Result<T, SettingsError> {
        self.parse(key)?.ok_or_else(|| SettingsError(format!("{key} is missing")))
    }

    /// The wire's own convention: what is absent is zero, or false.
    fn opt<T: FromStr + Default>(&self, key: &str) -> Result<T, SettingsError> {
        Ok(self.parse(key)?.unwrap_or_default())
    }

    fn class(&self, i: usize) -> Result<Class, SettingsError> {
        let key = |name: &str| format!("classes.{i}.{name}");
        let effect: String = self.need(&key("effect"))?;
        let effect = match effect.as_str() {
            "read_like" => Effect::Safe,
            "non_idempotent" => Effect::Unsafe,
            "idempotency_key" => {
                let group: String = self.need(&key("group"))?;
                let group = match group.as_str() {
                    "all" => Group::All,
                    "zone" => Group::Zone,
                    "cell" => Group::Cell,
                    _ => return Err(SettingsError(format!("cannot read {}={group}", key("group")))),
                };
                Effect::Keyed { group, window: self.need(&key("window"))? }
            }
            _ => return Err(SettingsError(format!("cannot read {}={effect}", key("effect")))),
        };
        Ok(Class { aim: self.need(&key("aim"))?, effect })
    }

    fn plan(&self, i: usize) -> Result<Plan, SettingsError> {
        let key = |name: &str| format!("tariffs.{i}.{name}");
        Ok(Plan {
            rate: self.need(&key("perSecond"))?,
            burst: self.need(&key("storeSize"))?,
            open_cap: self.need(&key("atOnce"))?,
            ceiling_rate: self.need(&key("ceilingRate"))?,
            ceiling_burst: self.need(&key("neverOverDepth"))?,
            extra_worth: self.opt(&key("extraWorth"))?,
            excess_cost: self.opt(&key("excessCost"))?,
        })
    }
}

/// The settings, and the names of the load report's values in their order.
pub fn read(text: &str) -> Result<(Settings, Vec<String>), SettingsError> {
    let facts = Facts(text.lines().filter_map(|line| line.split_once('=')).collect());
    let classes: usize = facts.need("classes.count")?;
    let plans: usize = facts.opt("tariffs.count")?;
    let advice: bool = facts.opt("limits.retryAfter")?;
    let mode: String = facts.need("membershipMode")?;
    let settings = Settings {
        me: GatewayId(facts.need("myNumber")?),
        gateways: facts.need("balancers")?,
        zone: ZoneId(facts.opt("zone")?),
        classes: (0..classes).map(|i| facts.class(i)).collect::<Result<_, _>>()?,
        plans: (0..plans).map(|i| facts.plan(i)).collect::<Result<_, _>>()?,
        largest: facts.opt("familyInfo.largest")?,
        settles: facts.opt("familyInfo.truedUp")?,
        meter_period: facts.opt("familyInfo.usePeriod")?,
        counter: facts.opt("familyInfo.hasCounter")?,
        counter_timeout: facts.opt("familyInfo.counterTimeout")?,
        peers: facts.opt("limits.mayTell")?,
        mail_per_second: facts.opt("familyInfo.mailPerS")?,
        max_attempts: facts.need("limits.maxAttempts")?,
        second_copies: facts.opt("limits.secondCopies")?,
        cancelling: facts.opt("limits.cancelling")?,
        max_retry_after: if advice { facts.opt("limits.maxRetryAfter")? } else { 0.0 },
        list_on_request: mode == "on_request",
        cold: ColdStart {
            from: facts.need("rules.coldFrom")?,
            warm_after: facts.need("rules.cold")?,
            fall_multiple: facts.need("rules.fallMultiple")?,
            fall_window: facts.need("rules.overloadFor")?,
        },
        zone_price: facts.opt::<f64>("prices.crossZone")? > 0.0,
    };
    let names: String = facts.opt("feedback.names")?;
    Ok((settings, names.split(',').map(str::to_owned).collect()))
}
