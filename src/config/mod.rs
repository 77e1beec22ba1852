//! Reads configuration, checks it and fills in defaults. Every input format (environment variables, the
//! platform's JSON, an operator's TOML, the simulator's text) is first flattened into [`KeyValues`].

mod authz;
mod cluster;
mod consul;
mod error;
mod instance;
mod key_values;
mod limits;
mod platform;
mod settings;
mod subset;

pub use authz::{Authz, AuthzConfig, ValueSource};
pub use cluster::ClusterConfig;
pub use consul::{ConsulConfig, ConsulService, Token};
pub use error::ConfigError;
pub use instance::InstanceConfig;
pub use key_values::KeyValues;
pub use limits::{ConnectionLimits, Limits, MAX_ADMIN_CONNECTIONS, MAX_CONCURRENT_WATCH_ATTEMPTS};
pub use platform::{BackendSource, Config, ReloadableConfig};
pub use settings::{ClassInfo, Site};

#[cfg(test)]
mod tests;
