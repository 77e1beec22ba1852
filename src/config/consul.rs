//! The Consul agents and the services to query: the keys under `consul`.

use super::error::ConfigError;
use super::key_values::KeyValues;
use crate::backends::membership::{HoldDown, MembershipPolicy};
use crate::interface::Millis;
use crate::tls::{Tls, TlsError, TlsFiles};
use std::fmt;
use std::net::SocketAddr;

/// An ACL token; its `Debug` output hides it.
#[derive(Clone, PartialEq, Eq)]
pub struct Token(String);

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}

impl std::ops::Deref for Token {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

/// How to query Consul, and for which services.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ConsulConfig {
    /// The agents' addresses. The first is queried; each failure moves on to the next.
    pub agents: Vec<SocketAddr>,
    /// The highest accepted age of a stale read, in milliseconds; `None` if stale reads are not requested.
    pub max_stale: Option<Millis>,
    /// When answers and failed connections change the membership of backends.
    pub membership: MembershipPolicy,
    /// The services whose instances are the backends.
    pub services: Vec<ConsulService>,
    /// How long Consul may hold a blocking query, in milliseconds.
    pub wait: Millis,
    /// The timeout of any other query, in milliseconds.
    pub timeout: Millis,
    /// The ACL token, from `token_file` or the environment variable `CONSUL_HTTP_TOKEN`; `None` if neither
    /// sets one.
    pub token: Option<Token>,
    /// The TLS settings of connections to agents; `None` for plain TCP.
    pub tls: Option<Tls>,
}

/// A service whose instances are backends.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ConsulService {
    /// The service's name.
    pub name: String,
    /// The tags that an instance must all have.
    pub tags: Vec<String>,
    /// The datacenter; `None` for the agent's own.
    pub datacenter: Option<String>,
    /// The namespace; `None` for the token's own.
    pub namespace: Option<String>,
    /// The filter expression of health queries.
    pub filter: Option<String>,
    /// The filter expression of catalogue queries. It is separate because the catalogue's fields have other
    /// names.
    pub catalogue_filter: Option<String>,
    /// The prefix of its instances' names. It keeps instances of the same id in different datacenters or
    /// namespaces apart.
    pub prefix: String,
}

/// The keys under `consul`, without those of [`SERVICE_KEYS`].
const CONSUL_KEYS: [&str; 17] = [
    "address",
    "others",
    "service",
    "services",
    "wait_ms",
    "timeout_ms",
    "max_stale_ms",
    "token_file",
    "ca_file",
    "cert_file",
    "key_file",
    "server_name",
    "flap_hold_ms",
    "flap_hold_most_ms",
    "flap_memory_ms",
    "withdrawal_share",
    "unreachable_after",
];

/// The keys of a service that may also be set under `consul`, as defaults for all services.
const SERVICE_KEYS: [&str; 5] = ["tags", "datacenter", "namespace", "filter", "catalogue_filter"];

/// The default of `consul.wait_ms`, in milliseconds.
const DEFAULT_WAIT: Millis = 55_000.0;
/// The default of `consul.timeout_ms`, in milliseconds.
const DEFAULT_TIMEOUT: Millis = 3000.0;

impl ConsulConfig {
    /// Reads the section; `env` looks up environment variables.
    pub(super) fn read(
        values: &KeyValues,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        check_keys(values)?;
        let max_stale = match values.get::<Millis>("consul.max_stale_ms")? {
            Some(_) => Some(values.positive("consul.max_stale_ms", 1.0)?),
            None => None,
        };
        let membership = read_membership(values)?;
        let token = read_token(values, env)?;
        let mut agents = vec![values.required("consul.address")?];
        agents.extend(values.list::<SocketAddr>("consul.others")?);
        Ok(Self {
            agents,
            max_stale,
            membership,
            services: ConsulService::read_all(values)?,
            wait: values.positive("consul.wait_ms", DEFAULT_WAIT)?,
            timeout: values.positive("consul.timeout_ms", DEFAULT_TIMEOUT)?,
            token,
            tls: read_tls(values)?,
        })
    }
}

/// Rejects unknown keys, so that a misspelt key is not silently ignored.
fn check_keys(values: &KeyValues) -> Result<(), ConfigError> {
    for key in values.keys_under("consul") {
        let parts: Vec<&str> = key.split('.').collect();
        let known = match parts[..] {
            ["services", "count"] => true,
            ["services", _, name] => name == "name" || SERVICE_KEYS.contains(&name),
            [name] => CONSUL_KEYS.contains(&name) || SERVICE_KEYS.contains(&name),
            _ => false,
        };
        if !known {
            return Err(ConfigError::Unknown(format!("consul.{key}")));
        }
    }
    Ok(())
}

fn read_membership(values: &KeyValues) -> Result<MembershipPolicy, ConfigError> {
    let default = MembershipPolicy::default();
    let policy = MembershipPolicy {
        hold_down: HoldDown {
            first: values.positive("consul.flap_hold_ms", default.hold_down.first)?,
            longest: values.positive("consul.flap_hold_most_ms", default.hold_down.longest)?,
        },
        flap_memory: values.positive("consul.flap_memory_ms", default.flap_memory)?,
        withdrawal_share: values.get("consul.withdrawal_share")?.unwrap_or(default.withdrawal_share),
        unreachable_after: values.get("consul.unreachable_after")?.unwrap_or(default.unreachable_after),
        ..default
    };
    if !(0.0..=1.0).contains(&policy.withdrawal_share) {
        return Err(ConfigError::invalid("consul.withdrawal_share", "must lie between 0 and 1"));
    }
    if policy.unreachable_after == 0 {
        return Err(ConfigError::invalid("consul.unreachable_after", "must be above 0"));
    }
    Ok(policy)
}

/// Reads the file that a key under `consul` names; `None` if the key is not set.
fn read_file(values: &KeyValues, key: &str) -> Result<Option<Vec<u8>>, ConfigError> {
    let key = format!("consul.{key}");
    let Some(path) = values.get::<String>(&key)? else { return Ok(None) };
    match std::fs::read(&path) {
        Ok(content) => Ok(Some(content)),
        Err(e) => Err(ConfigError::invalid_value(key, path, format!("cannot be read: {e}"))),
    }
}

/// Reads the ACL token from `token_file`, or from the environment if that key is not set.
fn read_token(
    values: &KeyValues,
    env: impl Fn(&str) -> Option<String>,
) -> Result<Option<Token>, ConfigError> {
    let text = match read_file(values, "token_file")? {
        Some(bytes) => String::from_utf8(bytes).ok(),
        None => Some(env("CONSUL_HTTP_TOKEN").unwrap_or_default()),
    };
    let token = text.map(|text| text.trim().to_owned());
    match token.filter(|token| token.bytes().all(|b| b.is_ascii_graphic())) {
        Some(token) => Ok((!token.is_empty()).then_some(Token(token))),
        None => Err(ConfigError::invalid("consul.token_file", "does not hold a token")),
    }
}

/// The error for a key that must be set because `beside` is.
fn missing_beside(key: &str, beside: &str) -> ConfigError {
    ConfigError::invalid(format!("consul.{key}"), format!("is missing beside consul.{beside}"))
}

fn read_tls(values: &KeyValues) -> Result<Option<Tls>, ConfigError> {
    let name = values.get("consul.server_name")?;
    let client_identity = match (read_file(values, "cert_file")?, read_file(values, "key_file")?) {
        (Some(chain), Some(key)) => Some((chain, key)),
        (None, None) => None,
        (None, Some(_)) => return Err(missing_beside("cert_file", "key_file")),
        (Some(_), None) => return Err(missing_beside("key_file", "cert_file")),
    };
    let Some(authorities) = read_file(values, "ca_file")? else {
        return match (client_identity, name) {
            (None, None) => Ok(None),
            (Some(_), _) => Err(missing_beside("ca_file", "cert_file")),
            (None, Some(_)) => Err(missing_beside("ca_file", "server_name")),
        };
    };
    let tls = Tls::new(TlsFiles { authorities, client_identity, server_name: name });
    tls.map(Some).map_err(|fault| {
        let (key, reason) = match fault {
            TlsError::Authorities(reason) => ("ca_file", reason),
            TlsError::Certificate(reason) => ("cert_file", reason),
            TlsError::Key(reason) => ("key_file", reason),
            TlsError::ServerName(reason) => ("server_name", reason),
        };
        ConfigError::invalid(format!("consul.{key}"), format!("cannot be used: {reason}"))
    })
}

impl ConsulService {
    /// Reads all services: `consul.service` names one, `consul.services` lists several. Keys that a service
    /// does not set default to those under `consul`.
    fn read_all(values: &KeyValues) -> Result<Vec<Self>, ConfigError> {
        let listed: usize = values.or_default("consul.services.count")?;
        let single: Option<String> = values.get("consul.service")?;
        if single.is_some() && listed > 0 {
            return Err(ConfigError::invalid("consul.service", "must not be set beside consul.services"));
        }
        if single.is_none() && listed == 0 {
            return Err(ConfigError::missing("consul.service"));
        }
        let mut all: Vec<Self> = Vec::new();
        for i in 0..listed.max(1) {
            let key = match single {
                Some(_) => "consul.service".to_owned(),
                None => format!("consul.services.{i}.name"),
            };
            let service = Self::read(values, &key, i)?;
            let same_name = |other: &Self| (&other.name, &other.prefix) == (&service.name, &service.prefix);
            if all.iter().any(same_name) {
                return Err(ConfigError::invalid_value(key, service.name, "is named twice"));
            }
            all.push(service);
        }
        Ok(all)
    }

    /// Reads the service at `index` of the list, whose name is the value of `name_key`.
    fn read(values: &KeyValues, name_key: &str, index: usize) -> Result<Self, ConfigError> {
        let name: String = values.required(name_key)?;
        if name.is_empty() || name.bytes().any(|b| b.is_ascii_control()) {
            return Err(ConfigError::unreadable(name_key, name));
        }
        let own = |key: &str| format!("consul.services.{index}.{key}");
        let shared = |key: &str| format!("consul.{key}");
        let own_or_shared = |key: &str| -> Result<Option<String>, ConfigError> {
            let value = match values.get(&own(key))? {
                None => values.get(&shared(key))?,
                value => value,
            };
            Ok(value.filter(|value: &String| !value.is_empty()))
        };
        let tags = if values.has_section(&own("tags")) { own("tags") } else { shared("tags") };
        let own_datacenter: Option<String> = values.get(&own("datacenter"))?;
        let own_namespace: Option<String> = values.get(&own("namespace"))?;
        let prefix = [own_datacenter, own_namespace].into_iter().flatten();
        Ok(Self {
            name,
            tags: values.list(&tags)?,
            datacenter: own_or_shared("datacenter")?,
            namespace: own_or_shared("namespace")?,
            filter: own_or_shared("filter")?,
            catalogue_filter: own_or_shared("catalogue_filter")?,
            prefix: prefix.map(|part| format!("{part}/")).collect(),
        })
    }
}
