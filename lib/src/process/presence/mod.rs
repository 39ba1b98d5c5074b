//! Determines which replica groups and plain hosts may be sent work.
//!
//! The table contains the members that a group *should* have; the hosts report the group that they
//! serve in. [`PresenceGate`] combines the two: a group is open while each of its members has
//! reported, within the presence bound, the group and generation of its row. A stale lease holder
//! can't open a group, since a host that followed a late order reports another generation. If a
//! reserved spare has replaced a member, the generation that the spare reports determines the
//! members, see [`super::substitution`].
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//! use std::time::Instant;
//!
//! use beryltray_lib::process::presence::GateVerdict;
//! use beryltray_lib::process::presence::PresenceGate;
//!
//! let gate = PresenceGate::new(Duration::from_secs(2));
//! let group = "writers-1".parse()?;
//! let verdict = gate.verdict(&group, Instant::now());
//! assert!(matches!(verdict, GateVerdict::Closed { .. }));
//! # Ok::<(), beryltray_lib::ids::ParseIdError>(())
//! ```

mod gate;
mod host;
mod verdict;

pub use gate::PresenceGate;
pub use gate::RETENTION;
pub use host::HostPresence;
pub use verdict::ClosedReason;
pub use verdict::GateVerdict;
pub use verdict::OpenGroup;
pub use verdict::PlainTarget;

/// How a host's report reached this process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportSource {
    /// This process polled the host.
    Direct,
    /// Another entry polled the host and passed the report on.
    Peer,
}
