//! The configuration that an instance of either front has.

use super::cluster::Fleet;
use super::error::ConfigError;
use super::limits::{ADMIN_DESCRIPTORS, Limits};
use super::pairs::Pairs;
use super::settings::Site;
use super::subset;
use serde_json::Value;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;

/// The configuration that an instance of either front has.
#[derive(Debug, Clone)]
pub struct Instance {
    /// Its name.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The seed of random numbers.
    pub seed: u64,
    /// The limits that the machine sets.
    pub limits: Limits,
    /// The address of the admin interface, if there is one.
    pub management: Option<SocketAddr>,
    /// The address where messages of peers are received.
    pub peer_listen: Option<SocketAddr>,
    /// The peers, this instance included, by their numbers.
    pub peers: Vec<SocketAddr>,
    /// The address of the shared counter.
    pub counter: Option<SocketAddr>,
    /// How the fleet's other ingresses are found, where membership is configured.
    pub cluster: Option<Fleet>,
    /// About so many backends are sent to; all where it is not set.
    pub subset: Option<usize>,
    /// The settings of the deployment.
    pub site: Site,
}

impl Instance {
    /// Reads the instance's keys and its settings.
    pub(super) fn read(pairs: &Pairs, json: &Value) -> Result<Self, ConfigError> {
        let settings = json.get("settings").ok_or_else(|| ConfigError::missing("settings"))?;
        let site = Site::read(&Pairs::from_json(settings)).map_err(|e| e.within("settings"))?.with_advice();
        let seed = match pairs.get::<String>("seed")? {
            Some(seed) => {
                u64::from_str_radix(&seed, 16).map_err(|_| ConfigError::unreadable("seed", &seed))?
            }
            None => RandomState::new().hash_one(std::process::id()),
        };
        let management = pairs.get("management")?;
        let this = Self {
            name: pairs.need("name")?,
            listen: pairs.need("listen")?,
            seed,
            limits: Limits::read(pairs, "limits")?
                .without_descriptors(management.map_or(0, |_| ADMIN_DESCRIPTORS)),
            management,
            peer_listen: pairs.get("peer_listen")?,
            peers: pairs.list("peers")?,
            counter: pairs.get("counter")?,
            cluster: Fleet::read(pairs, &pairs.need::<String>("name")?)?,
            subset: subset::read(pairs)?,
            site,
        };
        let (have, want) = (this.peers.len(), usize::from(this.site.settings.ingress_count));
        if this.site.settings.peers && have != want {
            let reason = format!("lists {have} addresses, settings.balancers says {want}");
            return Err(ConfigError::invalid("peers", reason));
        }
        Ok(this)
    }
}
