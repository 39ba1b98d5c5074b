//! Small stand-ins for the platform, the model engines and plain services, for trials and tests.
//!
//! Each stand-in serves the wire types of `beryltray-lib`, keeps the truth about what it received
//! and did, and takes faults while it runs:
//!
//! - [`platform`]: the table, the object store and the list of hosts,
//! - [`engine`]: one host of a model's replica group,
//! - [`engine_groups`]: simulated groups and the entries before them,
//! - [`plain`]: one host of a plain service,
//! - [`relay`]: a TCP relay that cuts, silences and delays,
//! - [`control`]: the paths for faults and truth, common to all,
//! - [`answer`]: the answer that a request must get, derived from the request alone,
//! - [`truth`] and [`invocation`]: what the stand-ins and the callers of a trial record.

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
