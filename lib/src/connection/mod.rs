//! What lives for a connection: clients, pools and servers over HTTP.

pub mod body;
pub mod client;
pub mod pool;
pub mod server;
pub mod silence;
