//! What lives for a connection: clients, pools and servers.

pub mod body;
pub mod client;
pub mod pool;
pub mod relay;
pub mod server;
pub mod silence;
pub mod tcp_options;
