//! The fronts: what a flow means on each wire.

pub mod ext_authz;
pub mod platform;
