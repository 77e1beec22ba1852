//! The part of the configuration that both fronts share.

use super::cluster::ClusterConfig;
use super::error::ConfigError;
use super::key_values::KeyValues;
use super::limits::{ADMIN_DESCRIPTORS, Limits};
use super::settings::Site;
use super::subset;
use serde_json::Value;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;

/// The configuration of an instance, whichever front it serves.
#[derive(Debug, Clone)]
pub struct InstanceConfig {
    /// The instance's name.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The seed of the random number generators; random if the key is not set.
    pub seed: u64,
    /// The limits on memory and file descriptors.
    pub limits: Limits,
    /// The address of the admin interface (key `management`); `None` if it is off.
    pub admin_listen: Option<SocketAddr>,
    /// The local UDP address that receives peer messages; `None` if it is not set.
    pub peer_listen: Option<SocketAddr>,
    /// The addresses of all peers, this instance included, indexed by ingress number.
    pub peers: Vec<SocketAddr>,
    /// The address of the shared counter; `None` if it is not set.
    pub counter: Option<SocketAddr>,
    /// The configuration of SWIM membership; `None` if it is off.
    pub cluster: Option<ClusterConfig>,
    /// The approximate number of backends that this ingress sends to; `None` for all.
    pub subset_size: Option<usize>,
    /// The settings of the deployment.
    pub site: Site,
}

impl InstanceConfig {
    /// Reads the instance's keys and its settings.
    pub(super) fn read(values: &KeyValues, json: &Value) -> Result<Self, ConfigError> {
        let settings = json.get("settings").ok_or_else(|| ConfigError::missing("settings"))?;
        let site = Site::read(&KeyValues::from_json(settings))
            .map_err(|e| e.in_section("settings"))?
            .with_retry_after();
        let seed = match values.get::<String>("seed")? {
            Some(seed) => {
                u64::from_str_radix(&seed, 16).map_err(|_| ConfigError::unreadable("seed", &seed))?
            }
            None => RandomState::new().hash_one(std::process::id()),
        };
        let admin_listen = values.get("management")?;
        let instance = Self {
            name: values.required("name")?,
            listen: values.required("listen")?,
            seed,
            limits: Limits::read(values, "limits")?
                .without_descriptors(admin_listen.map_or(0, |_| ADMIN_DESCRIPTORS)),
            admin_listen,
            peer_listen: values.get("peer_listen")?,
            peers: values.list("peers")?,
            counter: values.get("counter")?,
            cluster: ClusterConfig::read(values, &values.required::<String>("name")?)?,
            subset_size: subset::read(values)?,
            site,
        };
        let (have, want) = (instance.peers.len(), usize::from(instance.site.settings.ingress_count));
        if instance.site.settings.peers && have != want {
            let reason = format!("lists {have} addresses, settings.balancers says {want}");
            return Err(ConfigError::invalid("peers", reason));
        }
        Ok(instance)
    }
}
