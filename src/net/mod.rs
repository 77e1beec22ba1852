//! Network I/O: connections with clients, backends, discovery, the counter and peers. This code carries out
//! the decisions of the engine and makes none of its own.

pub mod attempts;
pub mod body_channel;
pub mod budget;
pub mod client_side;
pub mod counter;
pub mod discovery;
pub mod http;
pub mod partial_body;
pub mod peers;
pub mod server_side;
pub mod socket_buffers;
pub mod socket_table;
pub mod stream;
#[cfg(test)]
pub(crate) mod tests;
