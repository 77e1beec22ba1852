//! Limits on memory and file descriptors, and the connection and buffer limits that follow from them.

use super::error::ConfigError;
use super::key_values::KeyValues;

/// The resources that the process may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The memory in MiB (key `memory_mb`) above which the process is killed.
    pub memory_mib: usize,
    /// The number of file descriptors (key `sockets`) that the process may hold.
    pub descriptors: usize,
}

/// The lowest limits that the program can work with.
const MIN_LIMITS: Limits = Limits { memory_mib: 32, descriptors: 64 };
/// The limits if the configuration sets none: those of the platform's evaluation runs.
const DEFAULT_LIMITS: Limits = Limits { memory_mib: 192, descriptors: 1024 };
/// The most watches on discovery that may be opening at once while it does not answer.
pub const MAX_CONCURRENT_WATCH_ATTEMPTS: usize = 10;
/// Descriptors reserved for the listener, discovery, the counter, peers, signals, the log and the runtime;
/// each needs two while it is replaced.
const RESERVED_DESCRIPTORS: usize = 16 + MAX_CONCURRENT_WATCH_ATTEMPTS;
/// The most concurrent connections to the admin interface; each holds a descriptor for a few seconds at most.
pub const MAX_ADMIN_CONNECTIONS: usize = 8;
/// Descriptors reserved for operators: the admin listener, its connections, and those needed by an upgrade.
pub(super) const ADMIN_DESCRIPTORS: usize = MAX_ADMIN_CONNECTIONS + 4;
/// The fraction of the remaining descriptors for client connections. Requests in progress hold at most a
/// third of all descriptors, so this leaves room for their client connections, for idle ones, and for a
/// backend connection each.
const CLIENT_SHARE: f64 = 0.45;
/// The fraction for client connections whose requests are rejected.
const REJECTED_CLIENT_SHARE: f64 = 0.07;
/// The fraction for connections to backends.
const BACKEND_SHARE: f64 = 0.45;
/// The memory of an open connection without its message, in bytes: its task, its read buffer and its
/// request's state.
const CONNECTION_BYTES: usize = 16 * 1024;
/// The fraction of the memory for messages from clients, and the same again for those from
/// backends.
const MESSAGE_SHARE: f64 = 1.0 / 8.0;
/// The fraction of the memory for what is read ahead of uploads whose clients might otherwise be answered too late.
const URGENT_SHARE: f64 = 1.0 / 8.0;
/// The most memory of a connection to the authorisation front, in bytes: its flow-control window and a check
/// in flight.
const AUTHZ_CONNECTION_BYTES: usize = 2 * 80 * 1024;

/// The fraction of the memory for the system's receive buffers of all connections, and the same again for its send
/// buffers. A connection rarely fills both.
const SOCKET_BUFFER_SHARE: f64 = 1.0 / 4.0;
/// The fraction of the memory for larger buffers of the connections that carry long messages.
const LARGE_SOCKET_BUFFER_SHARE: f64 = 1.0 / 8.0;
/// The fraction of the memory for the receive buffers of connections that wait to be accepted.
const BACKLOG_SHARE: f64 = 1.0 / 8.0;
/// The most bytes of one buffer of a connection that carries no long message.
const MAX_SOCKET_BUFFER_BYTES: usize = 128 * 1024;
/// The most connections that wait to be accepted.
const MAX_BACKLOG: usize = 1024;

/// The memory of what is remembered of a customer, in bytes.
const CUSTOMER_BYTES: usize = 1024;
/// The fraction of the memory for customers.
const CUSTOMER_SHARE: f64 = 1.0 / 8.0;

/// The most open connections of each kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Client connections whose requests are served.
    pub clients: usize,
    /// Client connections beyond those, whose requests are rejected.
    pub rejected_clients: usize,
    /// Connections to backends.
    pub backends: usize,
}

impl Limits {
    /// Reads the limits from the section `prefix`.
    pub(super) fn read(values: &KeyValues, prefix: &str) -> Result<Self, ConfigError> {
        let at_least = |name: &str, default: usize, minimum: usize| {
            let key = format!("{prefix}.{name}");
            match values.get(&key)?.unwrap_or(default) {
                n if n >= minimum => Ok(n),
                n => {
                    let reason = format!("is below the {minimum} that the program needs");
                    Err(ConfigError::invalid_value(key, n, reason))
                }
            }
        };
        let memory_mib = at_least("memory_mb", DEFAULT_LIMITS.memory_mib, MIN_LIMITS.memory_mib)?;
        let descriptors = at_least("sockets", DEFAULT_LIMITS.descriptors, MIN_LIMITS.descriptors)?;
        Ok(Self { memory_mib, descriptors })
    }

    /// Returns these limits less `descriptors` that are reserved for another use.
    pub(super) fn without_descriptors(self, descriptors: usize) -> Self {
        Self {
            descriptors: self.descriptors.saturating_sub(descriptors).max(MIN_LIMITS.descriptors / 2),
            ..self
        }
    }

    /// Returns the most connections of each kind that the descriptors and a third of the memory allow.
    pub fn connection_limits(&self) -> ConnectionLimits {
        let by_memory = self.memory_bytes() / 3 / CONNECTION_BYTES;
        let all = (self.descriptors - RESERVED_DESCRIPTORS).min(by_memory) as f64;
        ConnectionLimits {
            clients: (all * CLIENT_SHARE) as usize,
            rejected_clients: (all * REJECTED_CLIENT_SHARE) as usize,
            backends: (all * BACKEND_SHARE) as usize,
        }
    }

    fn memory_bytes(&self) -> usize {
        self.memory_mib << 20
    }

    /// Returns the most client connections that are kept idle after a request: less than half of all, so that
    /// the others stay free for requests.
    pub fn max_idle_clients(&self) -> usize {
        self.connection_limits().clients / 3
    }

    /// Returns the most connections to the authorisation front.
    pub fn max_authz_connections(&self) -> usize {
        self.connection_limits().clients.min(self.memory_bytes() / 4 / AUTHZ_CONNECTION_BYTES)
    }

    /// Returns the most customers that are remembered.
    pub fn max_customers(&self) -> usize {
        (self.memory_bytes() as f64 * CUSTOMER_SHARE) as usize / CUSTOMER_BYTES
    }

    /// Returns the most bytes that the system may hold for either direction of a connection that carries no long message.
    pub fn socket_buffer_bytes(&self) -> usize {
        let ConnectionLimits { clients, rejected_clients, backends } = self.connection_limits();
        self.buffer_bytes(clients + rejected_clients + backends)
    }

    /// Returns the same for a connection to the authorisation front.
    pub fn authz_socket_buffer_bytes(&self) -> usize {
        self.buffer_bytes(self.max_authz_connections())
    }

    fn buffer_bytes(&self, connections: usize) -> usize {
        let share = (self.memory_bytes() as f64 * SOCKET_BUFFER_SHARE) as usize / connections.max(1);
        share.min(MAX_SOCKET_BUFFER_BYTES)
    }

    /// Returns the most bytes of larger buffers, for connections that carry long messages.
    pub fn max_large_socket_buffer_bytes(&self) -> usize {
        (self.memory_bytes() as f64 * LARGE_SOCKET_BUFFER_SHARE) as usize
    }

    /// Returns the most connections that wait to be accepted, with receive buffers of `buffer_bytes` each.
    pub fn listen_backlog(&self, buffer_bytes: usize) -> usize {
        let backlog = (self.memory_bytes() as f64 * BACKLOG_SHARE) as usize / buffer_bytes.max(1);
        backlog.min(MAX_BACKLOG)
    }

    /// Returns the most bytes of messages over all connections of one side (clients or backends).
    pub fn max_message_bytes(&self) -> usize {
        (self.memory_bytes() as f64 * MESSAGE_SHARE) as usize
    }

    /// Returns the most bytes of uploads that are read ahead because their clients might otherwise be answered too late.
    pub fn max_urgent_bytes(&self) -> usize {
        (self.memory_bytes() as f64 * URGENT_SHARE) as usize
    }
}
