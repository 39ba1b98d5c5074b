//! The forming of replica groups from hosts that take orders to join, open, close and leave.
//!
//! One entry at a time forms groups, under a lease. [`HostBoard`] holds what the registry and the
//! hosts say; [`Formation`] compares it with the groups that are wanted and returns orders.
//!
//! Orders may be lost or carried out seconds later, so no order is undone by another one. Instead:
//!
//! - Every join has an epoch of its own, above all earlier ones: the lease's epoch in the upper
//!   digits, a counter in the lower ones. A host that has seen an epoch refuses lower ones.
//! - A host is ordered into another group only after the head of its group was seen to serve no
//!   more: closed, broken, or its process ended.
//! - A group is opened only after each member was seen ready under its name and epoch. A name is
//!   used for one list of members only, so the name and epoch stand for the list.
//! - A group that an earlier holder of the lease formed and did not open is given up, since an
//!   order of that holder may still be on its way.

mod balance;
mod board;
mod choice;
mod free_hosts;
mod group;
mod loads;
mod machine;
mod packing;
mod phases;
mod settings;
mod spares;
mod supply;
mod takeover;
mod wanted;

pub use self::board::HostBoard;
pub use self::board::HostEntry;
pub use self::board::Liveness;
pub use self::choice::Candidate;
pub use self::choice::Choice;
pub use self::choice::choose_members;
pub use self::group::Group;
pub use self::group::GroupMember;
pub use self::group::GroupPhase;
pub use self::loads::LoadWindow;
pub use self::machine::Formation;
pub use self::machine::FormationAction;
pub use self::packing::DomainHosts;
pub use self::packing::HostSkills;
pub use self::packing::ModelSet;
pub use self::packing::Packing;
pub use self::packing::WantedGroups;
pub use self::packing::pack_domains;
pub use self::settings::FormationSettings;
pub use self::supply::Supply;
