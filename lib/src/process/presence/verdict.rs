//! The results of the presence gate.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;

use crate::ids::Generation;
use crate::ids::GroupId;
use crate::ids::HostId;
use crate::target::wire::LoadReport;

/// Whether a group may be sent work, and why not if it is closed.
#[derive(Clone, Debug, PartialEq)]
pub enum GateVerdict {
    /// Every member has reported its rank in the group's generation within the presence bound.
    Open(OpenGroup),
    /// The group is unknown or has no members, or a member has not reported as expected.
    Closed {
        /// The first reason found, in the order of the members' ranks.
        reason: ClosedReason,
    },
}

impl GateVerdict {
    /// Returns whether the group may be sent work.
    pub fn is_open(&self) -> bool {
        matches!(self, Self::Open(_))
    }
}

/// Why a group or host may not be sent work.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ClosedReason {
    /// The table has no row for the group.
    #[display("the table names no such group")]
    UnknownGroup,
    /// The group's row lists no member.
    #[display("the group has no member")]
    NoMembers,
    /// The platform's list has never contained the leader, so its address is not known.
    #[display("host {host} was never listed")]
    Unlisted {
        /// The leader, which is the group's member with rank 0.
        host: HostId,
    },
    /// The member has never reported.
    #[display("host {host} has not reported")]
    NeverReported {
        /// The first such member by rank.
        host: HostId,
    },
    /// The member's last report is older than the presence bound.
    #[display("host {host} has been silent for {} ms", age.as_millis())]
    Silent {
        /// The first such member by rank.
        host: HostId,
        /// The age of its last report.
        age: Duration,
    },
    /// An attempt to reach the member failed, and the member has not reported since.
    #[display("host {host} can't be reached")]
    Unreachable {
        /// The first such member by rank.
        host: HostId,
    },
    /// The platform's list, a report or a peer has marked the member as leaving.
    #[display("host {host} is leaving")]
    Leaving {
        /// The first such member by rank.
        host: HostId,
    },
    /// The member reports another group or none.
    #[display("host {host} is in another group or none")]
    OtherGroup {
        /// The first such member by rank.
        host: HostId,
        /// The group that it reports, or `None` if it reports none.
        reported: Option<GroupId>,
    },
    /// The member reports another generation.
    #[display("host {host} reports generation {reported} instead of {expected}")]
    OtherGeneration {
        /// The first such member by rank.
        host: HostId,
        /// The generation that it reports.
        reported: Generation,
        /// The generation of the group's row, or of a substitution in it.
        expected: Generation,
    },
    /// The member reports another rank than its position in the group's row.
    #[display("host {host} reports rank {reported} instead of {expected}")]
    OtherRank {
        /// The first such member by rank.
        host: HostId,
        /// The rank that it reports.
        reported: u32,
        /// The rank that the group's row gives it.
        expected: u32,
    },
    /// The member is still loading the weights.
    #[display("host {host} is loading")]
    NotReady {
        /// The first such member by rank.
        host: HostId,
    },
}

/// A group that may be sent work.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenGroup {
    /// The name of the group.
    pub group: GroupId,
    /// The generation that every member has reported.
    pub generation: Generation,
    /// The member with rank 0, which takes requests.
    pub leader: HostId,
    /// The address of the leader's target interface.
    pub address: SocketAddr,
    /// The members in order of their ranks.
    pub members: Vec<HostId>,
    /// The load in the leader's last report.
    pub load: LoadReport,
    /// The age of the oldest of the members' reports.
    pub report_age: Duration,
}

/// A host of a plain service that may be sent work.
#[derive(Clone, Debug, PartialEq)]
pub struct PlainTarget {
    /// The name of the host.
    pub host: HostId,
    /// The address of the host's target interface.
    pub address: SocketAddr,
    /// The load in the host's last report.
    pub load: LoadReport,
    /// The age of the host's last report.
    pub report_age: Duration,
}
