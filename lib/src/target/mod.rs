//! Targets: the hosts of replica groups and of plain services, as an entry sees them.
//!
//! [`wire`] holds the messages and [`http`] the only adapter, so that a target with another wire
//! format means one more file.

pub mod http;
pub mod wire;
