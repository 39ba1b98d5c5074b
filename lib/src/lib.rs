//! Coordination parts for serving language models whose replicas span several hosts.
//!
//! Every decision of the system is a pure state machine: an event and the current time go in,
//! actions come out. The machines own no socket, task, lock or clock, so that a program other than
//! the `beryltray` daemon can embed them and a test can drive them through any schedule.
//!
//! The modules follow the life span of what they hold:
//!
//! - [`request`]: what lives for one request,
//! - [`connection`]: what lives for a connection,
//! - [`version`]: what lives for a version of the configuration,
//! - [`process`]: what lives for the process,
//! - [`ini`]: settings in INI text with the place of every fault,
//! - [`platform`] and [`target`]: the outer interfaces and their adapters.

#![warn(clippy::expect_used, clippy::panic, clippy::unwrap_used)]

pub mod attempt_ids;
pub mod clock;
pub mod connection;
pub mod hash;
pub mod ids;
pub mod ini;
pub mod platform;
pub mod process;
pub mod request;
pub mod sorted;
pub mod target;
pub mod units;
pub mod version;
