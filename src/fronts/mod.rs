//! The fronts: what a flow means on each wire.

pub mod platform;
