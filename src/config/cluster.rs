//! The configuration of SWIM membership among the ingresses of a fleet: the keys under `cluster`.

use super::error::ConfigError;
use super::key_values::KeyValues;
use crate::cluster::packet::MAX_NAME;
use std::net::SocketAddr;

/// How an instance joins its fleet's membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClusterConfig {
    /// The local UDP address that receives the other ingresses' datagrams.
    pub listen: SocketAddr,
    /// The address that the other ingresses send to. Defaults to `listen`; differs from it behind network
    /// address translation.
    pub advertise: SocketAddr,
    /// The fleet's name; datagrams of other fleets are dropped.
    pub fleet_name: String,
    /// Addresses of members to contact when joining.
    pub seeds: Vec<SocketAddr>,
}

impl ClusterConfig {
    /// Reads the section; `None` if it is absent. `instance_name` is checked as well, since datagrams carry
    /// it.
    pub(super) fn read(values: &KeyValues, instance_name: &str) -> Result<Option<Self>, ConfigError> {
        if !values.has_section("cluster") {
            return Ok(None);
        }
        let listen = values.required("cluster.listen")?;
        let cluster = Self {
            listen,
            advertise: values.get("cluster.advertise")?.unwrap_or(listen),
            fleet_name: values.required("cluster.fleet")?,
            seeds: values.list("cluster.seeds")?,
        };
        if cluster.advertise.ip().is_unspecified() || cluster.advertise.port() == 0 {
            return Err(ConfigError::invalid_value(
                "cluster.listen",
                cluster.advertise,
                "is no address that others can reach",
            ));
        }
        if cluster.fleet_name.is_empty() {
            return Err(ConfigError::invalid("cluster.fleet", "is empty"));
        }
        if !cluster.seeds.is_empty() && cluster.seeds.iter().all(|at| *at == cluster.advertise) {
            return Err(ConfigError::invalid("cluster.seeds", "names this instance only"));
        }
        if instance_name.is_empty() || instance_name.len() > MAX_NAME {
            let reason = format!("must be 1 to {MAX_NAME} bytes long with cluster");
            return Err(ConfigError::invalid("name", reason));
        }
        Ok(Some(cluster))
    }
}
