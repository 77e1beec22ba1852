//! The configuration of an ingress on the platform: the environment and the file that it names.

use super::consul::Consul;
use super::error::ConfigError;
use super::instance::Instance;
use super::pairs::Pairs;
use crate::backends::entries::BackendList;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;

/// What an ingress on the platform is told.
#[derive(Debug, Clone)]
pub struct Config {
    /// What any instance is told.
    pub instance: Instance,
    /// Where real servers are found.
    pub source: Source,
    /// The list as this ingress last had it, if it had one.
    pub known: Option<BackendList>,
}

/// Where real servers are found.
#[derive(Debug, Clone, PartialEq)]
pub enum Source {
    /// The platform's discovery, by its agent.
    Discovery(SocketAddr),
    /// Consul.
    Consul(Arc<Consul>),
}

/// What a new configuration moves while the program runs; all else is taken in at its next start.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Ways {
    /// Discovery's agent, where it is used.
    pub discovery: Option<SocketAddr>,
    /// Consul, with all that is asked of it, where it is used.
    pub consul: Option<Arc<Consul>>,
    /// The shared counter.
    pub counter: Option<SocketAddr>,
}

impl Ways {
    pub(super) fn new(source: &Source, counter: Option<SocketAddr>) -> Self {
        match source {
            Source::Discovery(at) => Self { discovery: Some(*at), consul: None, counter },
            Source::Consul(consul) => Self { discovery: None, consul: Some(consul.clone()), counter },
        }
    }
}

impl Config {
    /// Reads the environment and the file that it names.
    pub fn from_env() -> Result<Self, ConfigError> {
        Self::read(&Self::file()?, |name| std::env::var(name).ok())
    }

    fn file() -> Result<String, ConfigError> {
        let path =
            std::env::var("RELAY_CONFIG").map_err(|_| ConfigError::invalid("RELAY_CONFIG", "is not set"))?;
        std::fs::read_to_string(&path)
            .map_err(|e| ConfigError::invalid_value("RELAY_CONFIG", &path, format!("cannot be read: {e}")))
    }

    /// Reads the file again; one that could not be started from moves nothing.
    pub fn ways_from_env() -> Result<Ways, ConfigError> {
        Self::reread(&Self::file()?, |name| std::env::var(name).ok())
    }

    /// Reads the JSON text of a new configuration. Prevents the environment, which is that of the start, from
    /// holding discovery at its old address.
    pub fn reread(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Ways, ConfigError> {
        match Self::read(text, |name| env(name).filter(|_| name != "RELAY_DISCOVERY")) {
            Err(ConfigError::Missing(key)) if key == "discovery" => Self::read(text, &env),
            read => read,
        }
        .map(|config| config.ways())
    }

    /// What a new configuration may move.
    pub fn ways(&self) -> Ways {
        Ways::new(&self.source, self.instance.counter)
    }

    /// Reads the text, JSON or TOML; what the environment says goes before it.
    pub fn read(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        // The platform's object begins so, an operator's file never does.
        let json: Value = if text.trim_start().starts_with('{') {
            serde_json::from_str(text).map_err(|e| ConfigError::syntax("JSON", e))?
        } else {
            toml::from_str(text).map_err(|e| ConfigError::syntax("TOML", e))?
        };
        let mut pairs = Pairs::from_json(&json);
        for (name, key) in [
            ("RELAY_NAME", "name"),
            ("RELAY_LISTEN", "listen"),
            ("RELAY_DISCOVERY", "discovery"),
            ("RELAY_MANAGEMENT", "management"),
        ] {
            if let Some(value) = env(name) {
                pairs.set(key, value);
            }
        }
        let instance = Instance::read(&pairs, &json)?;
        let known = json.get("known").map(|known| BackendList::read(known, &instance.site.places));
        let known = known
            .transpose()
            .map_err(|e| ConfigError::Section { section: "known", reason: e.to_string() })?;
        let source = match (pairs.any("consul"), pairs.get("discovery")?) {
            (true, Some(_)) => {
                return Err(ConfigError::invalid("discovery", "must not be set beside consul"));
            }
            (true, None) => Source::Consul(Arc::new(Consul::read(&pairs, env)?)),
            (false, discovery) => {
                Source::Discovery(discovery.ok_or_else(|| ConfigError::missing("discovery"))?)
            }
        };
        Ok(Self { source, known, instance })
    }
}
