//! What placement decided and why, one log line each.

use derive_more::Display;

use crate::ids::GroupId;
use crate::ids::HostId;
use crate::ids::WeightsId;

/// A placement decision.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Decision {
    /// A group was formed.
    #[display("form {group} of {} hosts, {cold} of them to load", members.len())]
    Form {
        /// The group.
        group: GroupId,
        /// Its members.
        members: Vec<HostId>,
        /// The number of members that must load the weights.
        cold: usize,
    },
    /// A member was replaced.
    #[display("repair {group}: {spare} replaces {lost}")]
    Repair {
        /// The group.
        group: GroupId,
        /// The member that was lost or is leaving.
        lost: HostId,
        /// The host in its place.
        spare: HostId,
    },
    /// A substitution that was ordered without the platform was written to the table.
    #[display("adopt in {group} the substitute {spare}")]
    Adopt {
        /// The group.
        group: GroupId,
        /// The spare that stands in.
        spare: HostId,
    },
    /// A substitution was ordered from a reserved spare while the table can't be written.
    #[display("substitute in {group}: reserved {spare} stands in for {lost}")]
    Substitute {
        /// The group.
        group: GroupId,
        /// The member that was lost or is leaving.
        lost: HostId,
        /// The reserved spare.
        spare: HostId,
    },
    /// A group was dissolved.
    #[display("dissolve {group}: {reason}")]
    Dissolve {
        /// The group.
        group: GroupId,
        /// Why.
        reason: DissolveReason,
    },
    /// A group changes to other weights.
    #[display("roll {group} to {weights}")]
    Roll {
        /// The group.
        group: GroupId,
        /// The weights to load.
        weights: WeightsId,
    },
    /// The spares that are reserved for a group changed.
    #[display("reserve {} spares for {group}", spares.len())]
    Reserve {
        /// The group.
        group: GroupId,
        /// The spares.
        spares: Vec<HostId>,
    },
}

/// Why a group was dissolved.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum DissolveReason {
    /// Its hosts make another broken group whole.
    #[display("its hosts make another broken group whole")]
    Merged,
    /// There are more groups than wanted.
    #[display("there are more groups than wanted")]
    Surplus,
    /// The document asks for another number of hosts in a replica.
    #[display("the number of hosts in a replica changed")]
    Resized,
    /// The document no longer has the service.
    #[display("the document no longer has the service")]
    ServiceGone,
}
