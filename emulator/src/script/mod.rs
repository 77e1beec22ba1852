//! Scripts describe a fleet, its load and its troubles in TOML. Fields have the names of their keys; times
//! are in milliseconds. An unknown key or an invalid value is rejected before the run with an error of one
//! line that names the key.

mod check;
mod fleet;
mod load;
mod trouble;

pub use fleet::{
    BackendSettings, Counter, Discovery, DiscoverySource, Ingresses, MachineKind, Network, Peers,
};
pub use load::{Class, ClientPolicy, Load, Plan, RepeatSafety};
pub use trouble::{Trouble, TroubleKind};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The fault of a script, in one line that names the key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("script: {0}")]
pub struct ScriptError(pub String);

/// Least and greatest value of a uniform distribution.
pub type UniformRange = [f64; 2];

/// A script.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Time for which requests arrive, in milliseconds.
    pub length: f64,
    /// The ingresses.
    pub ingresses: Ingresses,
    /// Kinds of machines and the number of backends on each.
    pub kinds: Vec<MachineKind>,
    /// Properties of the backends of all kinds.
    #[serde(default)]
    pub servers: BackendSettings,
    /// The halls and the network between them.
    #[serde(default)]
    pub network: Network,
    /// Distribution of backend lists.
    #[serde(default)]
    pub discovery: Discovery,
    /// The shared quota counter; `None` if the fleet has none.
    pub counter: Option<Counter>,
    /// Messages between ingresses; `None` if they send none.
    pub peers: Option<Peers>,
    /// The request load.
    pub load: Load,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Plans of customers.
    pub plans: Vec<Plan>,
    /// Faults, restarts and changes of load.
    #[serde(default)]
    pub troubles: Vec<Trouble>,
}

impl Script {
    /// Parses and validates a script.
    ///
    /// # Errors
    /// Returns the parser's error, or the first value that is invalid.
    pub fn read(text: &str) -> Result<Self, ScriptError> {
        let script: Self =
            toml::from_str(text).map_err(|e| ScriptError(e.to_string().trim().replace('\n', " ")))?;
        script.check().map_err(ScriptError)?;
        Ok(script)
    }

    /// Returns the script with the value at `path` replaced (`load.level`, `troubles.0.do.slow.times`).
    ///
    /// # Errors
    /// Returns an error if the path does not exist, `value` is not TOML, or the new script is invalid.
    pub fn with_value(&self, path: &str, value: &str) -> Result<Self, ScriptError> {
        let err = |why: String| ScriptError(why);
        let mut tree = toml::Value::try_from(self).map_err(|e| err(e.to_string()))?;
        let mut node = &mut tree;
        for part in path.split('.') {
            let next = match node {
                toml::Value::Array(items) => part.parse().ok().and_then(|i: usize| items.get_mut(i)),
                toml::Value::Table(fields) => fields.get_mut(part),
                _ => None,
            };
            node = next.ok_or_else(|| err(format!("{path}: no key {part}")))?;
        }
        let parsed: toml::Table = toml::from_str(&format!("value = {value}"))
            .map_err(|_| err(format!("{path}: cannot parse {value}")))?;
        let mut new = parsed["value"].clone();
        if let (toml::Value::Float(_), toml::Value::Integer(whole)) = (&*node, &new) {
            new = toml::Value::Float(*whole as f64);
        }
        *node = new;
        let script: Self = tree.try_into().map_err(|e| err(format!("{path}: {}", e.to_string().trim())))?;
        script.check().map_err(ScriptError)?;
        Ok(script)
    }

    /// Returns the number of backends at the start of the run.
    pub fn initial_backends(&self) -> u32 {
        self.kinds.iter().map(|kind| kind.count).sum()
    }

    /// Returns the mean capacity of the initial backends when warm, in milliseconds of work per millisecond.
    pub fn warm_capacity(&self) -> f64 {
        let mean = |range: UniformRange| (range[0] + range[1]) / 2.0;
        self.kinds.iter().map(|k| f64::from(k.count * k.cores) * mean(k.speed)).sum()
    }

    /// Returns the mean work of a request, in milliseconds of a core of speed 1.
    pub fn mean_work(&self) -> f64 {
        let total_share: f64 = self.classes.iter().map(|c| c.share).sum();
        self.classes.iter().map(|c| c.share * c.work).sum::<f64>() / total_share
    }

    /// Returns the mean size of a request, in units. Each size is half as frequent as the next smaller one.
    pub fn mean_units(&self) -> f64 {
        let weights = (0..self.load.largest).map(|k| 0.5f64.powi(k as i32));
        let total_weight: f64 = weights.clone().sum();
        weights.zip(1u32..).map(|(weight, units)| weight * f64::from(units)).sum::<f64>() / total_weight
    }
}

#[cfg(test)]
mod tests;
