//! Where Consul is and what it is asked for: the keys under `consul`.

use super::error::ConfigError;
use super::pairs::Pairs;
use crate::backends::membership::{HoldDown, MembershipPolicy};
use crate::interface::Millis;
use crate::tls::{Tls, TlsError, TlsFiles};
use std::fmt;
use std::net::SocketAddr;

/// An ACL token; it is never printed.
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

/// Where Consul is and what to ask it.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Consul {
    /// The agents: the first is asked, the others where it fails, one after the other.
    pub agents: Vec<SocketAddr>,
    /// Stale reads are taken up to this age; none where only the leader's word counts.
    pub max_stale: Option<Millis>,
    /// What is believed of its answers, and when.
    pub membership: MembershipPolicy,
    /// The services whose instances are the real servers.
    pub services: Vec<Service>,
    /// How long a blocking query may block.
    pub wait: Millis,
    /// How long any other answer may take.
    pub timeout: Millis,
    /// The ACL token, from `token_file` or the environment's `CONSUL_HTTP_TOKEN`.
    pub token: Option<Token>,
    /// How agents are reached over TLS; none over plain TCP.
    pub tls: Option<Tls>,
}

/// A service whose instances are real servers.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Only instances with all of these tags.
    pub tags: Vec<String>,
    /// The datacenter; none for the agent's own.
    pub datacenter: Option<String>,
    /// The namespace; none for the token's own.
    pub namespace: Option<String>,
    /// Consul's filter on health, and the one on the catalogue, whose fields have other names.
    pub filter: Option<String>,
    /// The latter.
    pub catalogue_filter: Option<String>,
    /// What goes before the names of its instances, so that those of another datacenter are others.
    pub prefix: String,
}

/// The keys under `consul` beside those of a service.
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

/// The keys of a service that may also stand under `consul`, for all services.
const SERVICE_KEYS: [&str; 5] = ["tags", "datacenter", "namespace", "filter", "catalogue_filter"];

/// The longest that a blocking query blocks where the file says nothing.
const DEFAULT_WAIT: Millis = 55_000.0;
/// How long any other answer of Consul may take where the file says nothing.
const DEFAULT_TIMEOUT: Millis = 3000.0;

impl Consul {
    pub(super) fn read(pairs: &Pairs, env: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        check_keys(pairs)?;
        let max_stale = match pairs.get::<Millis>("consul.max_stale_ms")? {
            Some(_) => Some(pairs.positive("consul.max_stale_ms", 1.0)?),
            None => None,
        };
        let membership = read_membership(pairs)?;
        let token = read_token(pairs, env)?;
        let mut agents = vec![pairs.need("consul.address")?];
        agents.extend(pairs.list::<SocketAddr>("consul.others")?);
        Ok(Self {
            agents,
            max_stale,
            membership,
            services: Service::all(pairs)?,
            wait: pairs.positive("consul.wait_ms", DEFAULT_WAIT)?,
            timeout: pairs.positive("consul.timeout_ms", DEFAULT_TIMEOUT)?,
            token,
            tls: read_tls(pairs)?,
        })
    }
}

/// Refuses keys that nothing reads: a misspelt key must not be taken for one that is not set.
fn check_keys(pairs: &Pairs) -> Result<(), ConfigError> {
    for key in pairs.keys_under("consul") {
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

fn read_membership(pairs: &Pairs) -> Result<MembershipPolicy, ConfigError> {
    let default = MembershipPolicy::default();
    let policy = MembershipPolicy {
        hold_down: HoldDown {
            first: pairs.positive("consul.flap_hold_ms", default.hold_down.first)?,
            longest: pairs.positive("consul.flap_hold_most_ms", default.hold_down.longest)?,
        },
        flap_memory: pairs.positive("consul.flap_memory_ms", default.flap_memory)?,
        withdrawal_share: pairs.get("consul.withdrawal_share")?.unwrap_or(default.withdrawal_share),
        unreachable_after: pairs.get("consul.unreachable_after")?.unwrap_or(default.unreachable_after),
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

/// The content of the file that a key under `consul` names.
fn read_file(pairs: &Pairs, key: &str) -> Result<Option<Vec<u8>>, ConfigError> {
    let key = format!("consul.{key}");
    let Some(path) = pairs.get::<String>(&key)? else { return Ok(None) };
    match std::fs::read(&path) {
        Ok(content) => Ok(Some(content)),
        Err(e) => Err(ConfigError::invalid_value(key, path, format!("cannot be read: {e}"))),
    }
}

/// The ACL token of the file, or of the environment where no file is named.
fn read_token(pairs: &Pairs, env: impl Fn(&str) -> Option<String>) -> Result<Option<Token>, ConfigError> {
    let text = match read_file(pairs, "token_file")? {
        Some(bytes) => String::from_utf8(bytes).ok(),
        None => Some(env("CONSUL_HTTP_TOKEN").unwrap_or_default()),
    };
    let token = text.map(|text| text.trim().to_owned());
    match token.filter(|token| token.bytes().all(|b| b.is_ascii_graphic())) {
        Some(token) => Ok((!token.is_empty()).then_some(Token(token))),
        None => Err(ConfigError::invalid("consul.token_file", "holds no token")),
    }
}

/// A key that is needed beside another one and is not set.
fn missing_beside(key: &str, beside: &str) -> ConfigError {
    ConfigError::invalid(format!("consul.{key}"), format!("is missing beside consul.{beside}"))
}

fn read_tls(pairs: &Pairs) -> Result<Option<Tls>, ConfigError> {
    let name = pairs.get("consul.server_name")?;
    let own = match (read_file(pairs, "cert_file")?, read_file(pairs, "key_file")?) {
        (Some(chain), Some(key)) => Some((chain, key)),
        (None, None) => None,
        (None, Some(_)) => return Err(missing_beside("cert_file", "key_file")),
        (Some(_), None) => return Err(missing_beside("key_file", "cert_file")),
    };
    let Some(authorities) = read_file(pairs, "ca_file")? else {
        return match (own, name) {
            (None, None) => Ok(None),
            (Some(_), _) => Err(missing_beside("ca_file", "cert_file")),
            (None, Some(_)) => Err(missing_beside("ca_file", "server_name")),
        };
    };
    let tls = Tls::new(TlsFiles { authorities, client_identity: own, server_name: name });
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

impl Service {
    /// All services: `consul.service` names one, `consul.services` lists several. What a service does not say is as said
    /// under `consul` for all of them.
    fn all(pairs: &Pairs) -> Result<Vec<Self>, ConfigError> {
        let listed: usize = pairs.opt("consul.services.count")?;
        let single: Option<String> = pairs.get("consul.service")?;
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
            let service = Self::read(pairs, &key, i)?;
            let twice = |other: &Self| (&other.name, &other.prefix) == (&service.name, &service.prefix);
            if all.iter().any(twice) {
                return Err(ConfigError::invalid_value(key, service.name, "is named twice"));
            }
            all.push(service);
        }
        Ok(all)
    }

    /// Reads the service of this place in the list, whose name stands under `name_key`.
    fn read(pairs: &Pairs, name_key: &str, i: usize) -> Result<Self, ConfigError> {
        let name: String = pairs.need(name_key)?;
        if name.is_empty() || name.bytes().any(|b| b.is_ascii_control()) {
            return Err(ConfigError::unreadable(name_key, name));
        }
        let own = |key: &str| format!("consul.services.{i}.{key}");
        let shared = |key: &str| format!("consul.{key}");
        let own_or_shared = |key: &str| -> Result<Option<String>, ConfigError> {
            let value = match pairs.get(&own(key))? {
                None => pairs.get(&shared(key))?,
                value => value,
            };
            Ok(value.filter(|value: &String| !value.is_empty()))
        };
        let tags = if pairs.any(&own("tags")) { own("tags") } else { shared("tags") };
        let own_datacenter: Option<String> = pairs.get(&own("datacenter"))?;
        let own_namespace: Option<String> = pairs.get(&own("namespace"))?;
        let prefix = [own_datacenter, own_namespace].into_iter().flatten();
        Ok(Self {
            name,
            tags: pairs.list(&tags)?,
            datacenter: own_or_shared("datacenter")?,
            namespace: own_or_shared("namespace")?,
            filter: own_or_shared("filter")?,
            catalogue_filter: own_or_shared("catalogue_filter")?,
            prefix: prefix.map(|part| format!("{part}/")).collect(),
        })
    }
}
