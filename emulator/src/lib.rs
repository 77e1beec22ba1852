//! A discrete-event emulator of a whole weldhub fleet: ingresses, real servers, discovery, counter, peers' messages and
//! clients in simulated time, over the shipped [`weldhub::Limiter`], [`weldhub::maintenance`], [`weldhub::membership`] and
//! [`weldhub_client`], none of them changed for it. The same script and seed give the same bytes.
//!
//! `docs/emulator.md` tells what is modelled and what is not; `docs/on-call-emulator.md` how it is used.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod backend;
pub mod check;
pub mod cold;
pub mod cold_sweep;
pub mod compare;
pub mod members;
pub mod plot;
pub mod report;
pub mod score;
pub mod script;
pub mod shared;
pub mod world;
