//! Loads a fleet of ingresses on loopback through `weldhub-client`, open loop, and models the same in simulated time
//! over the same decisions of client and module, at sizes that sockets don't reach.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod model;
pub mod report;
pub mod run;
pub mod work;
