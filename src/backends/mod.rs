//! The backends that requests are sent to: the backend list, the backends that operators have disabled, and
//! the evaluation of Consul's answers. No I/O.

pub mod address_owners;
pub mod entries;
pub mod maintenance;
pub mod membership;
pub mod start_times;
