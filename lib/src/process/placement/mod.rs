//! Assigns hosts to replica groups.
//!
//! [`PlacementMachine`] computes a transaction and orders from a snapshot of the rows, the reports
//! and the document. The transaction is fenced by the placement lease, and the orders carry the
//! lease's epoch. A host that followed a stale order reports another generation than its group's
//! row has, so it is sent a new order.
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

mod conditions;
mod decision;
mod draft;
mod group_lifecycle;
mod input;
mod machine;
mod orders;
mod policy;
mod repair;
mod row_changes;

pub use decision::Decision;
pub use decision::DissolveReason;
pub use input::HostView;
pub use input::PlacementInput;
pub use input::Versioned;
pub use machine::PlacementMachine;
pub use machine::PlacementPlan;
pub use orders::HostOrder;
pub use policy::PlacementPolicy;
