//! Trials of the shipped program. A rig starts several processes of it on loopback, with stand-ins for the
//! systems around them and relays between them, and injects the faults of a script. What the admin interfaces
//! and the stand-ins report is recorded on one clock and checked. `scale` measures the cost of an ingress at
//! sizes that processes do not reach.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admin;
pub mod check;
mod configured_child;
pub mod fault_proxy;
pub mod paced;
pub mod relay;
pub mod rig;
pub mod scale;
pub mod script;
pub mod soak;
pub mod stand_ins;
pub mod timeline;
