//! Stand-ins for the platform, the model engines and plain services, used in trials and tests.
//!
//! Each stand-in serves the wire types of `beryltray-lib`. It records what it received and did (its
//! truth), and faults can be injected while it runs:
//!
//! - [`platform`]: the table, the object store and the list of hosts,
//! - [`engine`]: one host of a model's replica group,
//! - [`engine_groups`]: a simulation of replica groups that entries choose between,
//! - [`plain`]: one host of a plain service,
//! - [`fleet`]: the hosts of one data centre in memory, for placement,
//! - [`relay`]: a TCP relay that closes, stalls or delays connections,
//! - [`control`]: the HTTP paths for faults and truth, which all stand-ins serve,
//! - [`answer`]: the expected answer, which is a function of the request,
//! - [`truth`] and [`invocation`]: the records that stand-ins and callers of a trial write.

#![warn(clippy::expect_used, clippy::panic, clippy::unwrap_used)]

pub mod answer;
pub mod control;
pub mod engine;
pub mod engine_groups;
pub mod fleet;
pub mod invocation;
pub mod json;
pub mod plain;
pub mod platform;
pub mod relay;
pub mod server;
pub mod truth;
