//! The network code: who talks with clients, real servers, discovery, the counter and the peers. It carries out
//! and decides nothing.

pub mod attempts;
pub mod budget;
pub mod client_side;
pub mod counter;
pub mod discovery;
pub mod http;
pub mod peers;
pub mod pieces;
pub mod server_side;
pub mod stream;
#[cfg(test)]
pub(crate) mod tests;
