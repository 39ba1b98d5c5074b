//! The lease under which one entry of a data centre places its groups.
//!
//! [`LeaseMachine`] decides when to read the lease's row, when to renew it and when to take it
//! over. It compares no wall clocks: a challenger watches the row unchanged for a whole term on its
//! own monotonic clock, and a holder counts its term from before it sent the renewal.
//!
//! A holder that is paused between its check and its write can still write late, so the lease
//! alone protects nothing. Every write under it carries [`Fence::check`], which the table compares
//! in the same transaction, and every order carries the epoch.
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
