//! Upgrades without downtime. Sockets, the engine's state and open connections pass from the old process to
//! the new one, over a Unix socket in a directory that both share. While several processes run at an address, one of
//! them leads: it alone decides on operators' changes, and the others follow. `frame` and `change` do no I/O.

pub mod change;
pub mod frame;
pub mod handover;
pub mod link;
mod peer;
mod predecessor;
pub mod rendezvous;
pub mod replication;
pub mod settings;
mod successor;

#[cfg(test)]
mod tests;
