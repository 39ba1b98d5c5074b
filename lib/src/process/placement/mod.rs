//! Which hosts form which replica groups.
//!
//! [`PlacementMachine`] turns one moment's rows, reports and document into a transaction and
//! orders. The transaction is fenced by the placement lease; the orders carry its epoch, and a host
//! that follows a stale one is told again, because its report names another generation.
//!
//! # Example
//!
//! ```
//! use std::time::Instant;
//!
//! use beryltray_lib::ids::new_attempt_id;
//! use beryltray_lib::process::placement::PlacementInput;
//! use beryltray_lib::process::placement::PlacementMachine;
//!
//! let mut placement = PlacementMachine::new("trial".parse()?, "lakes-a".parse()?);
//! let input = PlacementInput::default();
//! let plan = placement.plan_without_table(&input, Instant::now(), new_attempt_id);
//! assert!(plan.orders.is_empty());
//! # Ok::<(), beryltray_lib::ids::ParseIdError>(())
//! ```

mod board;
mod changes;
mod decision;
mod forming;
mod input;
mod machine;
mod memory;
mod orders;
mod policy;
mod repair;

pub use decision::Decision;
pub use decision::DissolveReason;
pub use input::HostView;
pub use input::PlacementInput;
pub use input::Versioned;
pub use machine::PlacementMachine;
pub use machine::PlacementPlan;
pub use orders::HostOrder;
pub use policy::PlacementPolicy;
