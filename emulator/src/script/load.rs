//! The load of a script: request rate, customers, classes and plans.

use super::UniformRange;
use serde::{Deserialize, Serialize};

/// How clients retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClientPolicy {
    /// At once or after a short random wait, whatever the answer was.
    Hasty,
    /// By the policy of `weldhub-client`.
    Library,
}

/// The request load and how it is spread over customers and ingresses.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Load inside the quotas, as a fraction of the capacity of the initial backends when warm.
    pub level: f64,
    /// How clients retry.
    pub clients: ClientPolicy,
    /// The most retries of a request by a hasty client.
    #[serde(default = "two")]
    pub retries: u32,
    /// Wait of a hasty client before a retry, in milliseconds.
    #[serde(default = "wait")]
    pub backoff: UniformRange,
    /// Timeout of a try, as a fraction of the `give_up` time of its class.
    #[serde(default = "part")]
    pub try_share: UniformRange,
    /// Fractions of the customers: those that use nearly all of their quota, those that always request
    /// several times their quota, and those that do so for seconds now and then.
    #[serde(default = "kinds")]
    pub kinds: [f64; 3],
    /// The highest demand of the customers that always and that temporarily exceed their quota, in quotas.
    #[serde(default = "floods")]
    pub floods: [f64; 2],
    /// The fewest and the most ingresses that a customer's requests arrive at.
    pub spread: [u16; 2],
    /// Time until a customer's requests move to others of its ingresses, in milliseconds.
    #[serde(default = "shifts")]
    pub shifts: UniformRange,
    /// Size of the largest request, in units.
    #[serde(default = "six_units")]
    pub largest: u32,
    /// How unevenly requests are spread over ingresses: the standard deviation of the logarithm of the
    /// ingresses' weights. At 1 one ingress in a hundred has ten times the median.
    #[serde(default)]
    pub uneven: f64,
}

fn two() -> u32 {
    2
}

fn wait() -> UniformRange {
    [0.0, 120.0]
}

fn part() -> UniformRange {
    [0.5, 1.0]
}

fn kinds() -> [f64; 3] {
    [0.13, 0.09, 0.15]
}

fn floods() -> [f64; 2] {
    [4.0, 6.0]
}

fn shifts() -> UniformRange {
    [8400.0, 18_000.0]
}

fn six_units() -> u32 {
    6
}

/// Whether a request may run twice.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatSafety {
    /// Running it twice is harmless.
    Safe,
    /// Running it twice is harmless within one cell for a time, as the idempotency key is remembered there.
    Keyed {
        /// How long the key is remembered, in milliseconds.
        window: f64,
    },
    /// Running it twice does harm.
    Unsafe,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name.
    pub name: String,
    /// Weight of the class among all requests.
    pub share: f64,
    /// Mean work of a request of mean size, in milliseconds of a core of speed 1.
    pub work: f64,
    /// Latency target, in milliseconds.
    pub aim: f64,
    /// Time after which the client gives up, in milliseconds.
    pub give_up: f64,
    /// Worth of a unit.
    pub worth: f64,
    /// Whether a request may run twice.
    pub repeat: RepeatSafety,
}

/// A plan: the quota of its customers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Name.
    pub name: String,
    /// Weight of the plan in the load inside the quotas.
    pub share: f64,
    /// Quota of each customer over all ingresses, in units a second.
    pub rate: f64,
    /// Burst, in seconds of the rate.
    pub burst: f64,
    /// Units are not counted: the cap on attempts in flight is the whole quota, and the rate only sets the
    /// demand.
    #[serde(default)]
    pub unrated: bool,
    /// The most attempts in flight at once; 0 for no cap.
    #[serde(default)]
    pub at_once: f64,
    /// The hard rate limit, as a multiple of the quota; 0 for none.
    #[serde(default)]
    pub ceiling: f64,
    /// Factor on the worth of a request.
    pub worth: f64,
    /// Cost of a request sent on beyond the quota, as a multiple of its worth.
    pub beyond: f64,
}
