//! The fleet of a script: ingresses, backends, the network, discovery, the counter and peer messages.
//!
//! Times are in milliseconds, fractions go from 0 to 1.

use super::UniformRange;
use serde::{Deserialize, Serialize};

/// The ingresses and their settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ingresses {
    /// Number of ingresses.
    pub count: u16,
    /// The most attempts of a request.
    #[serde(default = "six")]
    pub max_attempts: u16,
    /// Hedging: a request may have two attempts in flight.
    #[serde(default)]
    pub second_copies: bool,
    /// Time for which requests still arrive at a dead ingress.
    #[serde(default = "notice")]
    pub notice: UniformRange,
}

fn six() -> u16 {
    6
}

fn notice() -> UniformRange {
    [1100.0, 3700.0]
}

/// A kind of machine that backends run on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineKind {
    /// Number of backends of this kind at the start of a run.
    pub count: u32,
    /// Cores of a backend.
    pub cores: u32,
    /// Speed of a core, in milliseconds of work per millisecond.
    pub speed: UniformRange,
    /// Requests that are worked on at once, per core.
    pub slots: f64,
    /// The most requests that wait, per core; further ones are rejected without work.
    pub queue: f64,
    /// Fraction of requests that end in an error.
    #[serde(default)]
    pub errors: f64,
}

/// Properties of the backends of all kinds: cold starts, overload, load reports and connections.
///
/// A backend that receives more work within a window than it tolerates falls over: its process ends and stays
/// down.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BackendSettings {
    /// Capacity of a backend that has just started, as a fraction of its full capacity.
    pub cold_from: f64,
    /// Time from a start until the backend is warm.
    pub cold: f64,
    /// A backend warms up by the work that it does: as fast as by time if it is fully busy.
    pub warm_by_work: bool,
    /// Multiple of its capacity that a backend tolerates over `fall_window`.
    pub fall_multiple: f64,
    /// Window over which received work is summed up.
    pub fall_window: f64,
    /// Tolerance for random variation: if N requests of mean work are tolerated, a further `fall_slack *
    /// (sqrt(N) + 1)` are.
    pub fall_slack: f64,
    /// The tolerated work follows `told_cold_from` and `told_cold` at the usual speed, not the backend's
    /// actual capacity.
    pub fall_as_told: bool,
    /// Answers carry load reports.
    pub reports: bool,
    /// Initial capacity of a cold backend that ingresses assume, as a fraction: the worst case.
    pub told_cold_from: f64,
    /// Time until a backend is warm that ingresses assume: the worst case.
    pub told_cold: f64,
    /// Interval at which load reports are refreshed.
    pub report_every: UniformRange,
    /// Delay of load reports.
    pub report_delay: UniformRange,
    /// The largest error of load reports, as a fraction.
    pub report_noise: f64,
    /// Latency that a new connection adds to its first request, beside the round trip.
    pub handshake: f64,
    /// Work of a new connection for the backend.
    pub handshake_work: f64,
    /// Queued requests are dropped when they are cancelled.
    pub drops_cancelled: bool,
    /// Backends in a cell.
    pub cell: u16,
}

impl Default for BackendSettings {
    fn default() -> Self {
        Self {
            cold_from: 0.35,
            cold: 12_000.0,
            warm_by_work: false,
            fall_multiple: 2.0,
            fall_window: 3000.0,
            fall_slack: 0.0,
            reports: true,
            fall_as_told: false,
            told_cold_from: 0.25,
            told_cold: 18_000.0,
            report_every: [190.0, 990.0],
            report_delay: [4.5, 270.0],
            report_noise: 0.08,
            handshake: 0.8,
            handshake_work: 0.8,
            drops_cancelled: true,
            cell: 4,
        }
    }
}

/// The halls and the network between them. Delays are one way.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// Number of halls; each is a zone of its own.
    pub halls: u8,
    /// Delay within a hall.
    pub same: UniformRange,
    /// Delay between two halls.
    pub cross: UniformRange,
    /// Delay between a client and an ingress.
    pub client: UniformRange,
    /// Time after which an attempt to connect fails.
    pub connect_timeout: f64,
    /// Fraction of backends' answers that are lost.
    pub lost_answers: f64,
    /// Fraction of new connections that are established late.
    pub late_connections: f64,
    /// Additional delay of late connections.
    pub late_by: UniformRange,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            halls: 3,
            same: [0.11, 0.29],
            cross: [0.7, 1.3],
            client: [0.24, 1.2],
            connect_timeout: 250.0,
            lost_answers: 0.0,
            late_connections: 0.0,
            late_by: [0.0, 0.0],
        }
    }
}

/// How ingresses receive backend lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DiscoverySource {
    /// Changes are pushed.
    Push,
    /// Ingresses request a list, and requests are answered one after the other; later changes are pushed to
    /// them.
    #[serde(rename = "asked")]
    OnRequest,
    /// Answers of Consul's health endpoint, evaluated by the shipped membership.
    Consul,
}

/// Distribution of backend lists.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// How ingresses receive lists.
    pub by: DiscoverySource,
    /// Time until discovery knows of a change.
    pub notice: UniformRange,
    /// Time from then until each ingress is notified.
    pub spread: UniformRange,
    /// Time from the start of a new backend until it is listed.
    pub add: UniformRange,
    /// List requests answered a second; a request that has waited for two seconds fails.
    pub asks_per_second: f64,
}

impl Default for Discovery {
    fn default() -> Self {
        Self {
            by: DiscoverySource::Push,
            notice: [790.0, 2500.0],
            spread: [47.0, 370.0],
            add: [340.0, 2000.0],
            asks_per_second: 200.0,
        }
    }
}

/// The fleet's shared quota counter.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counter {
    /// Number of shards.
    #[serde(default = "one")]
    pub parts: usize,
    /// Calls that a shard serves a second.
    pub calls_per_second: f64,
    /// The longest queue of a shard, in calls; further calls are rejected.
    #[serde(default = "line")]
    pub line: f64,
    /// Time of a call beside its network delays.
    #[serde(default = "call")]
    pub time: UniformRange,
    /// Time after which callers stop waiting.
    #[serde(default = "fifty")]
    pub timeout: f64,
}

fn one() -> usize {
    1
}

fn line() -> f64 {
    60.0
}

fn call() -> UniformRange {
    [0.7, 1.8]
}

fn fifty() -> f64 {
    50.0
}

/// Messages between ingresses.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Delay of a message.
    pub delay: UniformRange,
    /// Fraction of messages that is lost.
    pub loss: f64,
    /// Messages that an ingress accepts a second.
    pub per_second: f64,
}
