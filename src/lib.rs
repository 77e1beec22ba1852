#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admin;
pub mod backends;
pub mod cli;
pub mod cluster;
pub mod config;
pub mod consul;
pub mod deadlines;
pub mod engine;
pub mod exchange;
pub mod files;
pub mod fronts;
pub mod interface;
pub mod logging;
pub mod net;
pub mod node;
pub mod pacing;
mod peer_messages;
mod prior_runs;
mod prng;
mod quota_messages;
mod quota_pool;
mod ramp;
pub mod recovery;
mod retention;
pub mod rules;
mod slow_start;
mod state;
pub mod stats;
pub mod subset;
pub mod tls;
pub mod upgrade;
pub mod view;
mod window;

pub use backends::{entries, maintenance, membership};
pub use interface::{Action, Event, Settings};
pub use state::Limiter;
