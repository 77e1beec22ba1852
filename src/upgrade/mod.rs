//! Upgrades without downtime. Sockets, the engine's state and open connections pass from the old process to
//! the new one, over a Unix socket in a directory that both share. `frame` does no I/O.

pub mod frame;
pub mod handover;
pub mod link;
pub mod other_process;
pub mod rendezvous;

#[cfg(test)]
mod tests;
