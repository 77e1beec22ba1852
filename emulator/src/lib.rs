//! A discrete-event emulator of a whole weldhub fleet in simulated time: ingresses, backends, discovery, the
//! counter, peer messages and clients.
//!
//! The ingresses run the shipped [`weldhub::Limiter`], [`weldhub::maintenance`] and [`weldhub::membership`],
//! the clients [`weldhub_client`], all of them unmodified. The same script and seed give the same bytes.
//!
//! `docs/emulator.md` says what is modelled and what is not, `docs/on-call-emulator.md` how to use the
//! emulator.
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
