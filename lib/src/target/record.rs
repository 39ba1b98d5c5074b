//! What a target says of itself: its record in the registry, its report, and the orders it takes.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::DataCentreId;
use crate::ids::Epoch;
use crate::ids::FabricDomainId;
use crate::ids::GroupId;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::ServiceId;
use crate::ids::WeightsId;
use crate::sorted::Keyed;

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum Availability {
    /// The target takes new work.
    #[display("ready")]
    Ready,
    /// The target is leaving and gets no new work.
    #[display("draining")]
    Draining,
}

/// How far a host has come in the group that it was ordered to join.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum MemberState {
    /// The host loads the weights.
    #[display("joining")]
    Joining,
    /// The host has its place; the group doesn't serve.
    #[display("ready")]
    Ready,
    /// The group serves.
    #[display("open")]
    Open,
    /// The group finishes its work and takes none.
    #[display("closing")]
    Closing,
    /// The group lost a member and can't go on.
    #[display("broken")]
    Broken,
}

/// A host's place in a group, as the host reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Membership {
    /// The group.
    pub group: GroupId,
    /// The number of the join, which only grows over all groups.
    pub epoch: Epoch,
    /// The host's position; the member with rank 0 is the head and takes the requests.
    pub rank: u32,
    /// How far the host has come.
    pub state: MemberState,
}

/// A target as the registry lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetRecord {
    /// The target.
    pub host: HostId,
    /// The life of the target's process; a target can come back under its old name.
    pub incarnation: Incarnation,
    /// The service.
    pub service: ServiceId,
    /// The address for requests, reports and orders.
    pub address: SocketAddr,
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Whether the target takes new work.
    pub availability: Availability,
    /// The requests that the target runs at once.
    pub slots: u32,
    /// The fabric domain, for hosts that can join groups.
    pub domain: Option<FabricDomainId>,
    /// The weights kept on the host.
    pub staged: Vec<WeightsId>,
    /// The weights that the target serves or is loading.
    pub weights: Vec<WeightsId>,
    /// The host's place in a group.
    pub membership: Option<Membership>,
}

impl Keyed for TargetRecord {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.host
    }
}

/// What a target answered when it was asked for its state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetReport {
    /// The life of the target's process, if the target says it.
    pub incarnation: Option<Incarnation>,
    /// The requests that run.
    pub running: u32,
    /// The requests that wait.
    pub waiting: u32,
    /// The host's place in a group.
    pub membership: Option<Membership>,
}

/// What becomes of a group's work when the group is closed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum CloseMode {
    /// The requests in flight run to their end.
    #[display("finish")]
    Finish,
    /// The requests in flight are cut off.
    #[display("cut")]
    Cut,
}

/// An order to a host.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum GroupOrder {
    /// Take a place in a group.
    #[display("join {group} epoch {epoch} with {weights}")]
    Join {
        /// The group.
        group: GroupId,
        /// The number of the join.
        epoch: Epoch,
        /// The weights that the group serves.
        weights: WeightsId,
        /// The members; the first one is the head.
        members: Vec<HostId>,
    },
    /// Start to serve; an order to the head.
    #[display("open {group} epoch {epoch}")]
    Open {
        /// The group.
        group: GroupId,
        /// The number of the join.
        epoch: Epoch,
    },
    /// Stop serving; an order to the head.
    #[display("close {group} epoch {epoch}, {mode}")]
    Close {
        /// The group.
        group: GroupId,
        /// The number of the join.
        epoch: Epoch,
        /// What becomes of the requests in flight.
        mode: CloseMode,
    },
    /// Give up the place in a group.
    #[display("leave {group} epoch {epoch}")]
    Leave {
        /// The group.
        group: GroupId,
        /// The number of the join.
        epoch: Epoch,
    },
    /// Load weights onto the host, beside its other work.
    #[display("stage {weights}")]
    Stage {
        /// The weights.
        weights: WeightsId,
    },
}

/// What a host answered to an order.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum OrderAnswer {
    /// The order has begun or the state already holds.
    #[display("accepted")]
    Accepted,
    /// The order does not fit the host's state.
    #[display("conflict")]
    Conflict,
    /// The host has seen a newer epoch, or other members under this one.
    #[display("superseded")]
    Superseded,
    /// Another target answers at the address.
    #[display("wrong target")]
    WrongTarget,
    /// The host does not know such an order.
    #[display("invalid")]
    Invalid,
}

impl GroupOrder {
    /// Returns the order's name, for metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Join { .. } => "join",
            Self::Open { .. } => "open",
            Self::Close { .. } => "close",
            Self::Leave { .. } => "leave",
            Self::Stage { .. } => "stage",
        }
    }
}

impl OrderAnswer {
    /// Returns the answer's name, for metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Conflict => "conflict",
            Self::Superseded => "superseded",
            Self::WrongTarget => "wrong target",
            Self::Invalid => "invalid",
        }
    }
}

/// Why a call to a target has no usable answer.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum CallError {
    /// Nothing listens at the address, so the process that did has ended.
    #[display("the connection was refused: {reason}. Hint: the target has ended")]
    Refused {
        /// What the system said.
        reason: String,
    },
    /// No connection came about, so the target has not seen the call.
    #[display("no connection: {reason}. Hint: check that the target is up")]
    NotSent {
        /// What the connection said.
        reason: String,
    },
    /// The call was sent and not answered; it may be carried out, also later.
    #[display("no answer: {reason}. Hint: read the target's state before acting on it")]
    InDoubt {
        /// What became of the answer.
        reason: String,
    },
    /// The answer can't be read.
    #[display("the answer can't be read: {reason}. Hint: compare the two versions")]
    Protocol {
        /// What was wrong with it.
        reason: String,
    },
}

/// The control calls of targets.
pub trait TargetControl: Clone + Send + Sync + 'static {
    /// Asks a target for its state.
    fn report(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> impl Future<Output = Result<TargetReport, CallError>> + Send;

    /// Gives a host an order.
    fn order(
        &self,
        address: SocketAddr,
        host: HostId,
        order: GroupOrder,
        limit: Duration,
    ) -> impl Future<Output = Result<OrderAnswer, CallError>> + Send;
}
