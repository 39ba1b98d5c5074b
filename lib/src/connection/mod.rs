//! HTTP and relay connections: clients, connection pools, servers and failure detection.

pub mod body;
pub mod body_budget;
pub mod body_memory;
pub mod client;
pub mod client_connections;
pub mod connection_table;
pub mod pool;
pub mod receive_limit;
pub mod relay;
pub mod request_body;
pub mod server;
pub mod silence;
pub mod tcp_options;
