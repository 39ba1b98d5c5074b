//! Forms replica groups from hosts that take orders to join, open, close and leave.
//!
//! One entry at a time forms groups, under a lease. [`HostTracker`] holds the registry's records
//! and the hosts' own reports. [`FormationController`] compares them with the desired groups and
//! returns orders.
//!
//! Orders may be lost or executed seconds late, so an order is never undone by another one.
//! Instead:
//!
//! - Every join has its own epoch, higher than all earlier ones: the lease's epoch in the upper
//!   digits, a counter in the lower ones. A host rejects epochs lower than the highest one it has
//!   seen.
//! - A host is ordered to join a group only after it has itself confirmed to this lease holder that
//!   it is in no group that may serve. What the registry says of it is not enough: a host that is
//!   cut off from the registry may have joined a group of an earlier holder since.
//! - An order names the number of orders that the host must have accepted, and the host refuses it
//!   otherwise. So an order that arrives after another one has begun something has no effect.
//! - A host is chosen for another group only after the leader of its group is known to have stopped
//!   serving: closed, broken, or its process ended.
//! - A group is opened only after each member was seen ready under the group's name and epoch. A
//!   name is used for one list of members only, so name and epoch identify the list.
//! - A group that an earlier lease holder formed and did not open is abandoned, since an order of
//!   that holder may still be in flight.

mod balance;
mod controller;
mod departure;
mod desired;
mod free_hosts;
mod group;
mod host_tracker;
mod join_check;
mod load_limiter;
mod order_count;
mod outage;
mod packing;
mod phases;
mod selection;
mod settings;
mod spares;
mod supply;
mod takeover;
mod waiting;

pub use self::controller::FormationAction;
pub use self::controller::FormationController;
pub use self::departure::Departure;
pub use self::group::Group;
pub use self::group::GroupMember;
pub use self::group::GroupPhase;
pub use self::host_tracker::HostTracker;
pub use self::host_tracker::Liveness;
pub use self::host_tracker::TrackedHost;
pub use self::load_limiter::LoadRateLimiter;
pub use self::packing::DesiredGroups;
pub use self::packing::DomainHosts;
pub use self::packing::HostCapabilities;
pub use self::packing::ModelSet;
pub use self::packing::Packing;
pub use self::packing::pack_domains;
pub use self::selection::Candidate;
pub use self::selection::MemberSelection;
pub use self::selection::select_members;
pub use self::settings::FormationSettings;
pub use self::supply::Supply;
pub use self::waiting::WaitReason;
pub use self::waiting::WaitingHost;
