//! The troubles of a script: faults, restarts and changes of load at set times.

use super::UniformRange;
use serde::{Deserialize, Serialize};

/// One trouble of a script and its start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// Start, in milliseconds from the beginning of the run.
    pub at: f64,
    /// What happens.
    #[serde(rename = "do")]
    pub kind: TroubleKind,
}

/// What happens to the fleet. Shares are fractions from 0 to 1, times are in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum TroubleKind {
    /// Some ingresses crash and come back with nothing but their last backend list.
    #[serde(rename = "crash")]
    CrashIngresses {
        /// Fraction of the ingresses that crash.
        share: f64,
        /// Time from the crash until an ingress is up again.
        down: UniformRange,
    },
    /// Ingresses are restarted in batches.
    #[serde(rename = "roll")]
    RollIngresses {
        /// Fraction of the ingresses that restart.
        share: f64,
        /// Batch size, as a fraction of all ingresses.
        at_once: f64,
        /// Time over which the batches are spread.
        over: f64,
        /// Time from the stop of an ingress until it is up again.
        down: UniformRange,
    },
    /// All ingresses hand over to a new process.
    #[serde(rename = "upgrade")]
    UpgradeIngresses,
    /// Backends are replaced in batches by cold successors.
    #[serde(rename = "release")]
    ReplaceBackends {
        /// Fraction of the backends that are replaced.
        share: f64,
        /// Batch size, as a fraction of the backends that are up.
        at_once: f64,
        /// Time over which the batches are spread.
        over: f64,
        /// Time from the start of a backend's drain until its process ends.
        grace: f64,
    },
    /// Backends drain and end without successors.
    #[serde(rename = "shrink")]
    RemoveBackends {
        /// Fraction of the backends that are removed.
        share: f64,
        /// Batch size, as a fraction of the backends that are up.
        at_once: f64,
        /// Time over which the batches are spread.
        over: f64,
        /// Time from the start of a backend's drain until its process ends.
        grace: f64,
    },
    /// Backends crash in batches, unnoticed by discovery, and come back cold; discovery reports the new start
    /// late.
    #[serde(rename = "restart")]
    RestartBackends {
        /// Fraction of the backends that restart.
        share: f64,
        /// Batch size, as a fraction of the backends that are up.
        at_once: f64,
        /// Time over which the batches are spread.
        over: f64,
        /// Time from the crash until a backend is up again.
        down: UniformRange,
        /// Time from a backend's restart until discovery knows of it.
        told: UniformRange,
    },
    /// An operator disables backends at every ingress; each restarts meanwhile and is enabled again.
    #[serde(rename = "hand")]
    DisableBackends {
        /// Number of backends.
        servers: u32,
        /// Time until they are enabled again.
        lasting: f64,
    },
    /// All backends become slower.
    #[serde(rename = "slow")]
    SlowBackends {
        /// Factor by which work takes longer.
        times: f64,
        /// Duration.
        lasting: f64,
    },
    /// Some backends become slower and fail some requests.
    #[serde(rename = "bad")]
    DegradeBackends {
        /// Number of backends.
        servers: u32,
        /// Factor by which work takes longer.
        times: f64,
        /// Fraction of requests that end in an error.
        errors: f64,
        /// Duration.
        lasting: f64,
    },
    /// A hall is cut off from all others.
    #[serde(rename = "cut")]
    PartitionHall {
        /// Number of the hall.
        hall: u8,
        /// Duration.
        lasting: f64,
    },
    /// The counter answers no calls.
    #[serde(rename = "counter_lost")]
    CounterOutage {
        /// Duration.
        lasting: f64,
    },
    /// The counter is replaced by an empty one.
    CounterReplaced,
    /// Messages between ingresses are lost.
    #[serde(rename = "silence")]
    PeerMessageLoss {
        /// Fraction of the messages that is lost.
        loss: f64,
        /// Duration.
        lasting: f64,
    },
    /// Some customers start to prefer other ingresses of their set, permanently.
    #[serde(rename = "shift")]
    ShiftCustomers {
        /// Fraction of the customers.
        share: f64,
    },
    /// The request rate rises.
    #[serde(rename = "surge")]
    LoadSurge {
        /// Factor by which the request rate rises.
        times: f64,
        /// Duration.
        lasting: f64,
    },
}
