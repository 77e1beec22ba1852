//! The fronts: each maps the requests of one protocol to the engine's requests, and its answers back.

pub mod ext_authz;
pub mod platform;
