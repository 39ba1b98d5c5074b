//! What the gate says of a group, and why.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;

use crate::ids::Generation;
use crate::ids::GroupId;
use crate::ids::HostId;
use crate::target::wire::LoadReport;

/// Whether a group may be sent work.
#[derive(Clone, Debug, PartialEq)]
pub enum GateVerdict {
    /// Every member has confirmed its place within the presence bound.
    Open(OpenGroup),
    /// At least one member has not.
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

/// Why a group may not be sent work.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ClosedReason {
    /// The table names no such group.
    #[display("the table names no such group")]
    UnknownGroup,
    /// The group's row lists no member.
    #[display("the group has no member")]
    NoMembers,
    /// The platform's list has never named the member, so its address is not known.
    #[display("host {host} was never listed")]
    Unlisted {
        /// The member.
        host: HostId,
    },
    /// The member has never reported.
    #[display("host {host} has not reported")]
    NeverReported {
        /// The member.
        host: HostId,
    },
    /// The member's last report is older than the presence bound.
    #[display("host {host} has been silent for {} ms", age.as_millis())]
    Silent {
        /// The member.
        host: HostId,
        /// The age of its last report.
        age: Duration,
    },
    /// The member could not be reached and has not reported since.
    #[display("host {host} can't be reached")]
    Unreachable {
        /// The member.
        host: HostId,
    },
    /// The member is leaving.
    #[display("host {host} is leaving")]
    Leaving {
        /// The member.
        host: HostId,
    },
    /// The member reports another group or none.
    #[display("host {host} is in another group or none")]
    OtherGroup {
        /// The member.
        host: HostId,
        /// The group that it reports.
        reported: Option<GroupId>,
    },
    /// The member reports another generation.
    #[display("host {host} reports generation {reported} instead of {expected}")]
    OtherGeneration {
        /// The member.
        host: HostId,
        /// The generation that it reports.
        reported: Generation,
        /// The generation of the group's row.
        expected: Generation,
    },
    /// The member reports another rank than its position in the group's row.
    #[display("host {host} reports rank {reported} instead of {expected}")]
    OtherRank {
        /// The member.
        host: HostId,
        /// The rank that it reports.
        reported: u32,
        /// The rank that the group's row gives it.
        expected: u32,
    },
    /// The member is still loading its weights.
    #[display("host {host} is loading")]
    NotReady {
        /// The member.
        host: HostId,
    },
}

/// A group that may be sent work.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenGroup {
    /// The group.
    pub group: GroupId,
    /// The generation that every member has confirmed.
    pub generation: Generation,
    /// The member with rank 0, which takes requests.
    pub leader: HostId,
    /// The address of the leader's target interface.
    pub address: SocketAddr,
    /// The members in order of their ranks.
    pub members: Vec<HostId>,
    /// The leader's load as it last reported it.
    pub load: LoadReport,
    /// The age of the oldest of the members' reports.
    pub report_age: Duration,
}

/// A host of a plain service that may be sent work.
#[derive(Clone, Debug, PartialEq)]
pub struct PlainTarget {
    /// The host.
    pub host: HostId,
    /// The address of the host's target interface.
    pub address: SocketAddr,
    /// The host's load as it last reported it.
    pub load: LoadReport,
    /// The age of the report.
    pub report_age: Duration,
}
