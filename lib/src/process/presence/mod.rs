//! Which replica groups and plain hosts may be sent work.
//!
//! The table says which hosts a group *should* have; only the hosts themselves say whether it
//! serves. [`PresenceGate`] joins the two: a group is open while each of its members has itself
//! confirmed, within the presence bound, the same group and generation. Nothing that a stale lease
//! holder does can open a gate, since a host that followed a late order reports another generation.
//! A group whose reserved spare stands in for a member is judged by the members that its generation
//! denotes, see [`super::substitution`].
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

/// Who gave a host's report to this process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportSource {
    /// This process asked the host itself.
    Direct,
    /// Another entry asked the host and passed the report on.
    Peer,
}
