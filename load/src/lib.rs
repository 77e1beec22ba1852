//! Generates open-loop load for a fleet of ingresses on loopback through `weldhub-client`, and simulates the
//! same load with the same client policies and limiters, at sizes that sockets cannot reach.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod model;
pub mod report;
pub mod run;
pub mod work;
