//! What operators can change, and why a change is refused.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A change that an operator requests. Written by postcard: the order of the variants is the format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Disables the backend of this name.
    DisableBackend(String),
    /// Enables the backend of this name.
    EnableBackend(String),
    /// Drains this instance.
    Drain,
    /// Ends the drain of this instance.
    Resume,
    /// Drains the ingress of this name, or ends its drain (`false`), by a notice to the fleet.
    DrainIngress(String, bool),
}

/// What operators have changed at an address. Written by postcard: the order and the types of the fields are the format.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct OperatorState {
    /// The names of the disabled backends.
    pub disabled: Vec<String>,
    /// Whether the instance is drained.
    pub drained: bool,
}

/// The reason why a change was not carried out. Nothing has changed then.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeError {
    /// The process that leads has refused it.
    Refused(String),
    /// No process that could be asked leads yet.
    NoLeader,
    /// Another process serves at this address and cannot be asked.
    Superseded,
    /// The process that leads did not answer in time.
    NoAnswer,
    /// Another process has left too many changes unconfirmed, and might miss this one.
    Unconfirmed,
}

impl fmt::Display for ChangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Refused(reason) => reason,
            Self::NoLeader => "not ready: an upgrade is under way; call again",
            Self::Superseded => "another process serves at this address; call that one",
            Self::NoAnswer => "no answer in time from the process that serves",
            Self::Unconfirmed => "another process at this address confirms nothing; end it first",
        })
    }
}

impl std::error::Error for ChangeError {}
