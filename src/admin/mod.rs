//! The admin interface for operators: a client sends one line and gets one answer. It stays available under
//! any load: file descriptors are reserved for it, and connections that have sent no complete line are closed
//! to make room for others.

pub mod command;
pub mod drain;
pub mod server;
mod socket_queues;
