//! Coordination parts for serving language models whose replicas span several hosts.
//!
//! Every decision of the system is made by a pure state machine, which takes an event and the
//! current time and returns actions. The state machines own no sockets, tasks, locks or clocks.
//! Programs other than the `beryltray` daemon can embed them, and tests can run them through any
//! schedule of events.
//!
//! Modules that hold state are grouped by its lifetime:
//!
//! - [`request`]: state of a single request,
//! - [`connection`]: state of a connection,
//! - [`version`]: state of a configuration version,
//! - [`process`]: state of the whole process.
//!
//! Other modules:
//!
//! - [`ini`]: settings in INI text, with the line of every error,
//! - [`platform`] and [`target`]: interfaces to external systems and their HTTP clients,
//! - [`attempt_ids`], [`clock`], [`hash`], [`ids`], [`sorted`] and [`units`]: basic types.

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
