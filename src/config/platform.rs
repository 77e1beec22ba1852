//! The configuration of an ingress with the platform's HTTP front: environment variables, and the file that
//! one of them names.

use super::consul::ConsulConfig;
use super::error::ConfigError;
use super::instance::InstanceConfig;
use super::key_values::KeyValues;
use crate::backends::entries::BackendList;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;

/// The configuration of an ingress with the platform's HTTP front.
#[derive(Debug, Clone)]
pub struct Config {
    /// The keys that both fronts share.
    pub instance: InstanceConfig,
    /// The source of the backend list.
    pub source: BackendSource,
    /// The last backend list that this ingress had (key `known`); `None` if it is not set.
    pub initial_list: Option<BackendList>,
}

/// The source of the backend list.
#[derive(Debug, Clone, PartialEq)]
pub enum BackendSource {
    /// The platform's discovery agent at this address.
    Discovery(SocketAddr),
    /// Health queries to Consul.
    Consul(Arc<ConsulConfig>),
}

/// The part of the configuration that a reload applies to the running program; the rest takes effect at the
/// next start.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ReloadableConfig {
    /// The address of the discovery agent; `None` if discovery is not used.
    pub discovery: Option<SocketAddr>,
    /// The Consul configuration; `None` if Consul is not used.
    pub consul: Option<Arc<ConsulConfig>>,
    /// The address of the shared counter; `None` if it is not set.
    pub counter: Option<SocketAddr>,
}

impl ReloadableConfig {
    pub(super) fn new(source: &BackendSource, counter: Option<SocketAddr>) -> Self {
        match source {
            BackendSource::Discovery(at) => Self { discovery: Some(*at), consul: None, counter },
            BackendSource::Consul(consul) => Self { discovery: None, consul: Some(consul.clone()), counter },
        }
    }
}

impl Config {
    /// Reads the environment and the file that `RELAY_CONFIG` names.
    pub fn from_env() -> Result<Self, ConfigError> {
        Self::read(&Self::read_file()?, |name| std::env::var(name).ok())
    }

    fn read_file() -> Result<String, ConfigError> {
        let path =
            std::env::var("RELAY_CONFIG").map_err(|_| ConfigError::invalid("RELAY_CONFIG", "is not set"))?;
        std::fs::read_to_string(&path)
            .map_err(|e| ConfigError::invalid_value("RELAY_CONFIG", &path, format!("cannot be read: {e}")))
    }

    /// Reads the file again for a reload. A file that the program could not start with is an error.
    pub fn reloadable_from_env() -> Result<ReloadableConfig, ConfigError> {
        Self::read_reloadable(&Self::read_file()?, |name| std::env::var(name).ok())
    }

    /// Reads the reloadable part from the text of a new configuration. The file's `discovery` goes before
    /// `RELAY_DISCOVERY` here, since the environment is that of the program's start and would keep discovery
    /// at its old address.
    pub fn read_reloadable(
        text: &str,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<ReloadableConfig, ConfigError> {
        match Self::read(text, |name| env(name).filter(|_| name != "RELAY_DISCOVERY")) {
            Err(ConfigError::Missing(key)) if key == "discovery" => Self::read(text, &env),
            read => read,
        }
        .map(|config| config.reloadable())
    }

    /// Returns the part of the configuration that a reload applies.
    pub fn reloadable(&self) -> ReloadableConfig {
        ReloadableConfig::new(&self.source, self.instance.counter)
    }

    /// Reads the configuration from JSON or TOML text; environment variables take precedence over it.
    pub fn read(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        // The platform's JSON object starts with a brace; TOML never does.
        let json: Value = if text.trim_start().starts_with('{') {
            serde_json::from_str(text).map_err(|e| ConfigError::syntax("JSON", e))?
        } else {
            toml::from_str(text).map_err(|e| ConfigError::syntax("TOML", e))?
        };
        let mut values = KeyValues::from_json(&json);
        for (name, key) in [
            ("RELAY_NAME", "name"),
            ("RELAY_LISTEN", "listen"),
            ("RELAY_DISCOVERY", "discovery"),
            ("RELAY_MANAGEMENT", "management"),
        ] {
            if let Some(value) = env(name) {
                values.set(key, value);
            }
        }
        let instance = InstanceConfig::read(&values, &json)?;
        let initial_list = json.get("known").map(|list| BackendList::read(list, &instance.site.places));
        let initial_list = initial_list
            .transpose()
            .map_err(|e| ConfigError::Section { section: "known", reason: e.to_string() })?;
        let source = match (values.has_section("consul"), values.get("discovery")?) {
            (true, Some(_)) => {
                return Err(ConfigError::invalid("discovery", "must not be set beside consul"));
            }
            (true, None) => BackendSource::Consul(Arc::new(ConsulConfig::read(&values, env)?)),
            (false, discovery) => {
                BackendSource::Discovery(discovery.ok_or_else(|| ConfigError::missing("discovery"))?)
            }
        };
        Ok(Self { source, initial_list, instance })
    }
}
