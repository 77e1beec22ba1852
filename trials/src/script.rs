//! The script of a trial, as TOML. Times are in milliseconds from the moment when all ingresses are ready.

use serde::{Deserialize, Serialize};

/// The most ingresses of a trial.
pub const MAX_INGRESSES: usize = 64;

/// The script of a trial.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// The seed of the load and of the relay's random choices.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// The number of ingresses, foreign ones included.
    pub ingresses: usize,
    /// How many of the ingresses, the last ones, belong to another fleet but use the same seeds to join.
    /// Clients send them no requests.
    #[serde(default, rename = "strangers")]
    pub foreign_ingresses: usize,
    /// Whether ingresses run the membership protocol; without it, a trial serves as a baseline.
    #[serde(default = "default_membership")]
    pub membership: bool,
    /// The number of stand-in backends.
    #[serde(rename = "servers")]
    pub backends: usize,
    /// The size of the subset of backends that each ingress uses; `None` if each uses all.
    #[serde(default)]
    pub subset: Option<usize>,
    /// The number of cells that the backends are spread over.
    #[serde(default = "default_cells")]
    pub cells: usize,
    /// The limits of each process; the program's own if there are none.
    #[serde(default)]
    pub limits: Option<ProcessLimits>,
    /// Where the logs of the processes go.
    #[serde(default)]
    pub log: LogTarget,
    /// What the system, and the proxy before a stand-in backend, hold of a connection in each direction, in bytes; large
    /// buffers if `None`.
    #[serde(default)]
    pub backend_buffer: Option<u32>,
    /// How long a stand-in backend takes to answer, in milliseconds.
    #[serde(default = "default_service_time", rename = "work")]
    pub service_time: u64,
    /// The length of the trial, in milliseconds.
    pub length: u64,
    /// The load in requests a second over all ingresses; 0 for none.
    #[serde(default)]
    pub rate: f64,
    /// The customers of the load, and the limits of their plan.
    #[serde(default)]
    pub plan: Plan,
    /// How ingresses share customers' quotas.
    #[serde(default, rename = "talk")]
    pub quota_sharing: QuotaSharing,
    /// The conditions between every two ingresses while no `Network` fault is active.
    #[serde(default)]
    pub net: LinkConditions,
    /// The faults; sorted by their start once parsed.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// The time from the end of the last fault until all views must agree, in milliseconds.
    #[serde(default = "default_settle")]
    pub settle: u64,
    /// The time within which every ingress must apply an operator's notice once the command is answered, in
    /// milliseconds.
    #[serde(default = "default_notice_time", rename = "spoken")]
    pub notice_time: u64,
}

/// Where the logs of the processes go.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogTarget {
    /// To a file each.
    #[default]
    File,
    /// To a device that is full.
    FullDevice,
    /// To a pipe whose reader has ended.
    EndedReader,
    /// To a pipe that is full and that nobody reads.
    Unread,
}

/// The limits of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessLimits {
    /// The memory in MiB.
    pub memory_mib: usize,
    /// The number of descriptors.
    pub descriptors: usize,
}

fn default_cells() -> usize {
    1
}

fn default_membership() -> bool {
    true
}

fn default_seed() -> u64 {
    1
}

fn default_service_time() -> u64 {
    10
}

fn default_settle() -> u64 {
    15_000
}

fn default_notice_time() -> u64 {
    5000
}

/// How ingresses share customers' quotas.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum QuotaSharing {
    /// Not at all: each ingress grants an equal slice.
    #[default]
    None,
    /// By peer messages, over a relay.
    Peers,
    /// By the shared counter.
    Counter,
}

/// The customers of the load, and the limits of their plan.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
    /// The number of customers, each of which sends the same share of the requests.
    pub customers: u64,
    /// The number of ingresses over which each customer's requests are spread; 0 for all.
    pub spread: usize,
    /// The most units of a request; each has from 1 to this many.
    pub units: u32,
    /// The quota of each customer, in units a second.
    pub rate: f64,
    /// The burst of each customer's quota, in units.
    pub burst: f64,
    /// The hard ceiling of each customer, in units a second; 0 for none.
    pub ceiling: f64,
    /// The burst of the ceiling, in units.
    pub ceiling_burst: f64,
}

impl Default for Plan {
    fn default() -> Self {
        let (rate, burst) = (100.0, 200.0);
        Self { customers: 50, spread: 0, units: 3, rate, burst, ceiling: 0.0, ceiling_burst: 0.0 }
    }
}

/// What the relays do to datagrams between ingresses.
#[derive(Debug, Clone, Copy, PartialEq, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LinkConditions {
    /// The fraction of datagrams that are lost.
    #[serde(default)]
    pub loss: f64,
    /// The longest delay of a datagram, in milliseconds. Each is delayed by a random time up to this, so
    /// datagrams may overtake each other.
    #[serde(default, rename = "delay")]
    pub max_delay: u64,
    /// The fraction of datagrams that are duplicated.
    #[serde(default, rename = "twice")]
    pub duplication: f64,
}

/// A fault of a trial, and its start.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it starts, in milliseconds.
    pub at: u64,
    /// What happens.
    #[serde(rename = "do")]
    pub kind: FaultKind,
}

/// A fault on connections to a stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConnectionFault {
    /// No bytes pass.
    Silent,
    /// Open and new connections are closed.
    Refused,
    /// Bytes arrive half a second later, each way.
    Slow,
}

/// What happens in a fault. Ingresses and backends are given by their numbers, from 0.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// Sends SIGKILL to these ingresses.
    Kill(Vec<usize>),
    /// Sends SIGTERM to these ingresses.
    Term(Vec<usize>),
    /// Starts these ingresses again, in this order.
    Start(Vec<usize>),
    /// Sends SIGSTOP to these ingresses, and SIGCONT at the end.
    Pause {
        /// The ingresses.
        #[serde(rename = "of")]
        ingresses: Vec<usize>,
        /// How long, in milliseconds.
        #[serde(rename = "lasting")]
        duration: u64,
    },
    /// Drops all datagrams from the first to the second group of ingresses, and back unless the cut is
    /// one-sided.
    Cut {
        /// The first group of ingresses.
        from: Vec<usize>,
        /// The second group of ingresses.
        to: Vec<usize>,
        /// Whether datagrams from the second group to the first still pass.
        #[serde(default)]
        one_sided: bool,
        /// How long, in milliseconds.
        #[serde(rename = "lasting")]
        duration: u64,
    },
    /// Replaces the conditions between every two ingresses.
    #[serde(rename = "net")]
    Network {
        /// The conditions.
        net: LinkConditions,
        /// How long, in milliseconds.
        #[serde(rename = "lasting")]
        duration: u64,
    },
    /// Upgrades these ingresses one after the other: a new process takes over from the old one.
    Upgrade(Vec<usize>),
    /// Starts the next process of this ingress and kills it.
    BrokenUpgrade {
        /// The ingress.
        #[serde(rename = "of")]
        ingress: usize,
        /// How long after its start the process is killed, in milliseconds.
        after: u64,
    },
    /// Announces to all others an earlier process of this ingress whose clock was ahead.
    ClockAhead {
        /// The ingress.
        #[serde(rename = "of")]
        ingress: usize,
        /// How far the clock was ahead, in milliseconds.
        by: u64,
    },
    /// Impairs these ingresses' connections to discovery.
    Discovery {
        /// The ingresses.
        #[serde(rename = "of")]
        ingresses: Vec<usize>,
        /// The fault on the connections.
        #[serde(rename = "is")]
        fault: ConnectionFault,
        /// How long, in milliseconds.
        #[serde(rename = "lasting")]
        duration: u64,
    },
    /// Makes discovery publish an empty list to all ingresses.
    #[serde(rename = "empty")]
    EmptyList {
        /// How long, in milliseconds.
        #[serde(rename = "lasting")]
        duration: u64,
    },
    /// Impairs these ingresses' connections to the counter.
    Counter {
        /// The ingresses.
        #[serde(rename = "of")]
        ingresses: Vec<usize>,
        /// The fault on the connections.
        #[serde(rename = "is")]
        fault: ConnectionFault,
        /// How long, in milliseconds.
        #[serde(rename = "lasting")]
        duration: u64,
    },
    /// Clears all totals of the counter.
    #[serde(rename = "forget")]
    ResetCounter,
    /// Sends the calls of these ingresses to a second counter, which starts empty.
    #[serde(rename = "split")]
    SplitCounter {
        /// The ingresses.
        #[serde(rename = "of")]
        ingresses: Vec<usize>,
        /// How long, in milliseconds.
        #[serde(rename = "lasting")]
        duration: u64,
    },
    /// Impairs these ingresses' connections to these backends.
    #[serde(rename = "servers")]
    Backends {
        /// The backends.
        #[serde(rename = "servers")]
        backends: Vec<usize>,
        /// The ingresses.
        #[serde(rename = "of")]
        ingresses: Vec<usize>,
        /// The fault on the connections.
        #[serde(rename = "is")]
        fault: ConnectionFault,
        /// How long, in milliseconds.
        #[serde(rename = "lasting")]
        duration: u64,
    },
    /// Makes discovery list these backends as draining.
    #[serde(rename = "drain")]
    DrainBackends {
        /// The backends.
        #[serde(rename = "servers")]
        backends: Vec<usize>,
        /// How long, in milliseconds.
        #[serde(rename = "lasting")]
        duration: u64,
    },
    /// Disables a backend at the admin interface of one ingress, and enables it again at that of another.
    #[serde(rename = "ban")]
    DisableBackend {
        /// The backend.
        #[serde(rename = "server")]
        backend: usize,
        /// The ingress at which it is disabled.
        by: usize,
        /// The ingress at which it is enabled again.
        back_by: usize,
        /// How long, in milliseconds.
        #[serde(rename = "lasting")]
        duration: u64,
    },
    /// Drains an ingress at the admin interface of one ingress, and resumes it at that of another.
    #[serde(rename = "send_away")]
    DrainIngress {
        /// The ingress that is drained.
        #[serde(rename = "of")]
        ingress: usize,
        /// The ingress at which the command is given.
        by: usize,
        /// The ingress at which the drain is ended.
        back_by: usize,
        /// How long, in milliseconds.
        #[serde(rename = "lasting")]
        duration: u64,
    },
}

impl Fault {
    /// Returns when the fault ends, in milliseconds; its start if it has no duration.
    pub fn end(&self) -> u64 {
        self.at
            + match &self.kind {
                FaultKind::Pause { duration, .. }
                | FaultKind::Cut { duration, .. }
                | FaultKind::Network { duration, .. }
                | FaultKind::Discovery { duration, .. }
                | FaultKind::EmptyList { duration }
                | FaultKind::Counter { duration, .. }
                | FaultKind::SplitCounter { duration, .. }
                | FaultKind::Backends { duration, .. }
                | FaultKind::DrainBackends { duration, .. }
                | FaultKind::DisableBackend { duration, .. }
                | FaultKind::DrainIngress { duration, .. } => *duration,
                _ => 0,
            }
    }

    /// Returns the ingresses that the fault names; empty if it names none.
    pub fn ingresses(&self) -> Vec<usize> {
        match &self.kind {
            FaultKind::Kill(ingresses)
            | FaultKind::Term(ingresses)
            | FaultKind::Start(ingresses)
            | FaultKind::Upgrade(ingresses) => ingresses.clone(),
            FaultKind::Pause { ingresses, .. }
            | FaultKind::Discovery { ingresses, .. }
            | FaultKind::Counter { ingresses, .. }
            | FaultKind::SplitCounter { ingresses, .. }
            | FaultKind::Backends { ingresses, .. } => ingresses.clone(),
            FaultKind::Cut { from, to, .. } => from.iter().chain(to).copied().collect(),
            FaultKind::ClockAhead { ingress, .. } | FaultKind::BrokenUpgrade { ingress, .. } => {
                vec![*ingress]
            }
            FaultKind::DisableBackend { by, back_by, .. } => vec![*by, *back_by],
            FaultKind::DrainIngress { ingress, by, back_by, .. } => vec![*ingress, *by, *back_by],
            FaultKind::Network { .. }
            | FaultKind::EmptyList { .. }
            | FaultKind::ResetCounter
            | FaultKind::DrainBackends { .. } => Vec::new(),
        }
    }

    /// Returns the backends that the fault names; empty if it names none.
    fn backends(&self) -> Vec<usize> {
        match &self.kind {
            FaultKind::Backends { backends, .. } | FaultKind::DrainBackends { backends, .. } => {
                backends.clone()
            }
            FaultKind::DisableBackend { backend, .. } => vec![*backend],
            _ => Vec::new(),
        }
    }
}

impl Script {
    /// Parses and validates a script.
    ///
    /// # Errors
    /// A message that names the key at fault.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut script: Self = toml::from_str(text).map_err(|e| e.to_string())?;
        let is_fraction = |x: f64| (0.0..=1.0).contains(&x);
        let is_valid = |net: &LinkConditions| {
            is_fraction(net.loss) && is_fraction(net.duplication) && net.max_delay <= 10_000
        };
        if !(1..=MAX_INGRESSES).contains(&script.ingresses) {
            return Err(format!("ingresses={} is not from 1 to {MAX_INGRESSES}", script.ingresses));
        }
        if script.foreign_ingresses >= script.ingresses {
            return Err(format!(
                "strangers={} must be less than ingresses={}",
                script.foreign_ingresses, script.ingresses
            ));
        }
        if script.backends == 0 || script.backends > 32 {
            return Err(format!("servers={} is not from 1 to 32", script.backends));
        }
        if script.length > 3_600_000 {
            return Err(format!("length={} is more than an hour", script.length));
        }
        if !(0.0..=5000.0).contains(&script.rate) {
            return Err(format!("rate={} is not from 0 to 5000", script.rate));
        }
        let plan = &script.plan;
        let limits = [plan.rate, plan.burst, plan.ceiling, plan.ceiling_burst];
        if plan.customers == 0 || plan.units == 0 || limits.iter().any(|x| !(0.0..1e9).contains(x)) {
            return Err("plan: customers and units must be at least 1, all limits from 0 to below 1e9".into());
        }
        if !is_valid(&script.net) {
            return Err("net: loss and twice must be from 0 to 1, delay at most 10000".into());
        }
        for (i, fault) in script.faults.iter().enumerate() {
            if let Some(n) = fault.ingresses().into_iter().find(|n| *n >= script.ingresses) {
                return Err(format!("faults.{i}: ingress {n} does not exist"));
            }
            if let Some(n) = fault.backends().into_iter().find(|n| *n >= script.backends) {
                return Err(format!("faults.{i}: backend {n} does not exist"));
            }
            if fault.end() + script.settle > script.length {
                return Err(format!("faults.{i}: it ends less than settle={} before length", script.settle));
            }
            if matches!(&fault.kind, FaultKind::Network { net, .. } if !is_valid(net)) {
                return Err(format!(
                    "faults.{i}.do.net: loss and twice must be from 0 to 1, delay at most 10000"
                ));
            }
        }
        script.faults.sort_by_key(|fault| fault.at);
        Ok(script)
    }

    /// Returns the number of ingresses of the fleet that clients send requests to, which are the first ones.
    pub fn fleet_size(&self) -> usize {
        self.ingresses - self.foreign_ingresses
    }

    /// Returns whether two ingresses belong to the same fleet.
    pub fn same_fleet(&self, a: usize, b: usize) -> bool {
        (a < self.fleet_size()) == (b < self.fleet_size())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parses_a_script_and_names_the_key_of_an_error() {
        let base = "ingresses = 3\nservers = 2\nlength = 30000\n";
        let fault = |text: &str| Script::parse(&format!("{base}[[faults]]\nat = 1000\ndo = {text}\n"));
        assert!(fault("{ kill = [2] }").is_ok());
        assert!(fault("{ cut = { from = [0], to = [1, 2], lasting = 3000 } }").is_ok());
        assert!(fault("{ counter = { of = [0], is = \"silent\", lasting = 3000 } }").is_ok());
        assert!(fault("\"forget\"").is_ok());
        for (text, key) in [
            ("{ kill = [3] }", "faults.0"),
            ("{ pause = { of = [0], lasting = 29000 } }", "faults.0"),
            ("{ smash = [0] }", "smash"),
            ("{ net = { net = { loss = 1.5 }, lasting = 10 } }", "faults.0.do.net"),
            ("{ net = { net = { lost = 0.5 }, lasting = 10 } }", "lost"),
            ("{ ban = { server = 2, by = 0, back_by = 1, lasting = 10 } }", "backend 2"),
            ("{ discovery = { of = [0], is = \"odd\", lasting = 10 } }", "odd"),
        ] {
            let error = fault(text).unwrap_err();
            assert!(error.contains(key), "{key}: {error}");
        }
        for (text, key) in [
            ("ingresses = 0\nservers = 1\nlength = 1", "ingresses"),
            ("servers = 1\nlength = 1", "ingresses"),
            ("ingresses = 2\nstrangers = 2\nservers = 1\nlength = 1", "strangers"),
            ("ingresses = 2\nservers = 1\nlength = 1\nplan = { units = 0 }", "plan"),
        ] {
            assert!(Script::parse(text).unwrap_err().contains(key));
        }
    }
}
