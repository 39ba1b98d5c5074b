//! Placement decisions, each logged as one line.

use derive_more::Display;

use crate::ids::GroupId;
use crate::ids::HostId;
use crate::ids::WeightsId;

/// A placement decision.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Decision {
    /// A group is formed from idle hosts.
    #[display("form {group} of {} hosts, {cold} of them to load", members.len())]
    Form {
        /// The new group, or a dissolved one that is formed again.
        group: GroupId,
        /// Its members in order of their ranks.
        members: Vec<HostId>,
        /// The number of members that don't have the weights loaded yet.
        cold: usize,
    },
    /// A member is replaced.
    #[display("repair {group}: {spare} replaces {lost}")]
    Repair {
        /// The group whose member is replaced.
        group: GroupId,
        /// The member that was lost or is leaving.
        lost: HostId,
        /// The host that takes its rank.
        spare: HostId,
    },
    /// A substitution that was ordered during a platform outage is written to the table.
    #[display("adopt in {group} the substitute {spare}")]
    Adopt {
        /// The group whose row takes over the substitution.
        group: GroupId,
        /// The spare that replaced a member.
        spare: HostId,
    },
    /// A reserved spare is ordered to replace a member while the table can't be written.
    #[display("substitute in {group}: reserved {spare} stands in for {lost}")]
    Substitute {
        /// The group whose member is replaced.
        group: GroupId,
        /// The member that was lost or is leaving.
        lost: HostId,
        /// The reserved spare that takes its rank.
        spare: HostId,
    },
    /// A group loses all its hosts; its row stays.
    #[display("dissolve {group}: {reason}")]
    Dissolve {
        /// The group that loses its hosts.
        group: GroupId,
        /// The cause, shown at the end of the log line.
        reason: DissolveReason,
    },
    /// A group is ordered to load other weights.
    #[display("roll {group} to {weights}")]
    Roll {
        /// The group, which keeps its members.
        group: GroupId,
        /// The weights to load.
        weights: WeightsId,
    },
    /// A spare is added to those reserved for a group.
    #[display("reserve {} spares for {group}", spares.len())]
    Reserve {
        /// The group that the spares are reserved for.
        group: GroupId,
        /// All spares reserved for the group, including those reserved before.
        spares: Vec<HostId>,
    },
}

/// Why a group was dissolved.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum DissolveReason {
    /// Its hosts replace the lost members of another broken group.
    #[display("its hosts make another broken group whole")]
    Merged,
    /// More groups serve than the document's number of replicas.
    #[display("there are more groups than wanted")]
    Surplus,
    /// The document's number of hosts per replica changed.
    #[display("the number of hosts in a replica changed")]
    Resized,
    /// The document no longer has the service as a model service.
    #[display("the document no longer has the service")]
    ServiceRemoved,
}
