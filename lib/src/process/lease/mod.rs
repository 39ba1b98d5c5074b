//! The lease that lets one entry of a data centre decide the placement of its groups.
//!
//! [`LeaseMachine`] decides when to read the lease's row, when to renew the lease and when to take
//! it over. It compares no wall clocks: a challenger takes the lease over after it has seen the row
//! unchanged for a whole term on its own monotonic clock, and a holder counts its term from the
//! time at which it sent the renewal.
//!
//! The lease alone does not exclude late writes: a holder may pause between its check and its
//! write. Every write under the lease therefore carries [`Fence::check`], which the table evaluates
//! in the same transaction, and every order carries the epoch as a fencing token.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//! use std::time::Instant;
//!
//! use beryltray_lib::ids::Incarnation;
//! use beryltray_lib::ids::new_attempt_id;
//! use beryltray_lib::process::lease::LeaseAction;
//! use beryltray_lib::process::lease::LeaseMachine;
//! use beryltray_lib::process::lease::LeaseSettings;
//!
//! let key = String::from("lease/trial/lakes-a");
//! let settings = LeaseSettings::new(key, "entry-1".parse()?, Incarnation(1));
//! let mut lease = LeaseMachine::new(settings.with_term(Duration::from_secs(10)));
//! let start = Instant::now();
//! assert!(matches!(lease.poll(start, new_attempt_id), Some(LeaseAction::Read { .. })));
//! lease.on_read(Ok(None), start);
//! assert!(matches!(lease.poll(start, new_attempt_id), Some(LeaseAction::Commit(_))));
//! # Ok::<(), beryltray_lib::ids::ParseIdError>(())
//! ```

mod machine;
mod settings;

pub use machine::Fence;
pub use machine::LeaseAction;
pub use machine::LeaseMachine;
pub use settings::LeaseSettings;
