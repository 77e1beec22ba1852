//! A rig of processes: several of the shipped program on loopback, stand-ins for what is round them, a relay between
//! every pair, and a script that breaks things. What the doors show is recorded on one clock and checked.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod check;
pub mod fault_proxy;
pub mod relay;
pub mod rig;
pub mod scale;
pub mod script;
pub mod stand_ins;
pub mod timeline;
