//! The configuration of the external authorisation front, read from an operator's TOML file.

use super::consul::ConsulConfig;
use super::error::ConfigError;
use super::instance::InstanceConfig;
use super::key_values::KeyValues;
use super::platform::{BackendSource, ReloadableConfig};
use crate::interface::Millis;
use serde_json::Value;
use std::str::FromStr;
use std::sync::Arc;

/// The part of a check request that a value is read from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ValueSource {
    /// The header of this lower-case name on the HTTP request that is checked.
    Header(String),
    /// The context extension of this name.
    Extension(String),
}

impl FromStr for ValueSource {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text.split_once(':') {
            Some(("header", name)) if !name.is_empty() => Ok(Self::Header(name.to_ascii_lowercase())),
            Some(("extension", name)) if !name.is_empty() => Ok(Self::Extension(name.to_owned())),
            _ => Err(()),
        }
    }
}

/// The settings of the authorisation front (keys under `authz`).
#[derive(Debug, Clone)]
pub struct Authz {
    /// Whether a request is allowed when its check fails; a rejected request is never allowed.
    pub fail_open: bool,
    /// The deadline of a check without `grpc-timeout`, in milliseconds.
    pub default_timeout: Millis,
    /// The age at which a caller's connection is closed, in milliseconds; checks in flight are answered
    /// first. Without it, callers that keep idle connections open would use up the connection limit for good.
    pub max_connection_age: Millis,
    /// Path prefixes, each with the id of the class that requests under it belong to.
    pub routes: Vec<(String, usize)>,
    /// The source of the customer's name.
    pub customer: ValueSource,
    /// The source of the plan's name.
    pub plan: ValueSource,
    /// The source of the request's units; 1 if the value is absent.
    pub units: ValueSource,
    /// The source of the set of ingresses that serve the customer; all of them if the value is absent.
    pub ingress_set: ValueSource,
    /// The source of the idempotency key.
    pub idempotency_key: ValueSource,
}

/// The configuration of an instance with the authorisation front.
#[derive(Debug, Clone)]
pub struct AuthzConfig {
    /// The keys that both fronts share.
    pub instance: InstanceConfig,
    /// The Consul agents and services that list the authorisers.
    pub consul: Arc<ConsulConfig>,
    /// The settings of the front.
    pub authz: Authz,
}

/// The default of `authz.max_connection_age_ms`, in milliseconds.
const DEFAULT_MAX_CONNECTION_AGE: Millis = 60_000.0;

impl AuthzConfig {
    /// Reads the operator's file.
    pub fn from_file(path: &str) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| ConfigError::invalid(path, format!("cannot be read: {e}")))?;
        Self::read(&text, |name| std::env::var(name).ok())
    }

    /// Returns the part of the configuration that a reload applies.
    pub fn reloadable(&self) -> ReloadableConfig {
        ReloadableConfig::new(&BackendSource::Consul(self.consul.clone()), self.instance.counter)
    }

    /// Reads the operator's file from its TOML text; `env` looks up environment variables.
    pub fn read(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let value: Value = toml::from_str(text).map_err(|e| ConfigError::syntax("TOML", e))?;
        let values = KeyValues::from_json(&value);
        let instance = InstanceConfig::read(&values, &value)?;
        let source = |key: &str, default: &str| match values.get(key)? {
            Some(source) => Ok(source),
            None => ValueSource::from_str(default).map_err(|()| ConfigError::unreadable(key, default)),
        };
        let route = |i: usize| {
            let (prefix, class) = (format!("authz.routes.{i}.prefix"), format!("authz.routes.{i}.class"));
            let name: String = values.required(&class)?;
            let index = instance.site.classes.iter().position(|known| known.name == name);
            Ok((values.required(&prefix)?, index.ok_or_else(|| ConfigError::unreadable(&class, &name))?))
        };
        let authz = Authz {
            fail_open: values.or_default("authz.fail_open")?,
            default_timeout: values.positive("authz.default_timeout_ms", 1000.0)?,
            max_connection_age: values.positive("authz.max_connection_age_ms", DEFAULT_MAX_CONNECTION_AGE)?,
            routes: (0..values.or_default("authz.routes.count")?).map(route).collect::<Result<_, _>>()?,
            customer: source("authz.customer", "header:x-customer")?,
            plan: source("authz.plan", "header:x-tier")?,
            units: source("authz.units", "header:x-units")?,
            ingress_set: source("authz.set", "header:x-set")?,
            idempotency_key: source("authz.key", "header:idempotency-key")?,
        };
        let consul = Arc::new(ConsulConfig::read(&values, env)?);
        Ok(Self { instance, consul, authz })
    }
}
