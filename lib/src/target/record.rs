//! Targets as listed in the registry: their records, reports, and the orders that hosts accept.

use std::borrow::Cow;
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
use crate::platform::feed::FeedRecord;
use crate::sorted::Keyed;

/// Whether a target accepts new requests.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum Availability {
    /// The target accepts new requests.
    #[display("ready")]
    Ready,
    /// The target is about to be removed and accepts no new requests.
    #[display("draining")]
    Draining,
}

/// The state of a host in the group that it was ordered to join.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum MemberState {
    /// The host is loading the weights.
    #[display("joining")]
    Joining,
    /// The host has joined, and the group does not serve yet.
    #[display("ready")]
    Ready,
    /// The group serves requests.
    #[display("open")]
    Open,
    /// The group finishes its requests in flight and accepts no new ones.
    #[display("closing")]
    Closing,
    /// The group lost a member and can't serve.
    #[display("broken")]
    Broken,
}

/// A host's membership in a group, as reported by the host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Membership {
    /// The replica group's name.
    pub group: GroupId,
    /// The epoch of the order to join. It increases with every new membership, across all groups.
    pub epoch: Epoch,
    /// The host's rank. The member with rank 0 is the leader and takes the group's requests.
    pub rank: u32,
    /// Whether the host has joined and the group serves.
    pub state: MemberState,
}

/// A target's record in the registry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetRecord {
    /// The target's unique name.
    pub host: HostId,
    /// The incarnation of the target's process. It distinguishes a restarted target from the earlier
    /// process of the same name.
    pub incarnation: Incarnation,
    /// The service that the target belongs to.
    pub service: ServiceId,
    /// The address for requests, reports and orders.
    pub address: SocketAddr,
    /// The data centre that the target is in.
    pub data_centre: DataCentreId,
    /// Whether the target accepts new requests.
    pub availability: Availability,
    /// The maximum number of requests that the target runs concurrently.
    pub slots: u32,
    /// The fabric domain of a host that can join groups; `None` for other targets.
    pub domain: Option<FabricDomainId>,
    /// The weights that are staged on the host.
    pub staged: Vec<WeightsId>,
    /// The weights that the target serves or loads.
    pub weights: Vec<WeightsId>,
    /// The host's membership in a group, if any.
    pub membership: Option<Membership>,
    /// The number of the write of the record since the start of the target's process, which tells the order of
    /// two records; `None` if the target does not count its writes, or from an entry of an earlier version.
    /// Entries call it `accepted_orders` between them.
    #[serde(default, rename = "accepted_orders")]
    pub write_number: Option<u64>,
    /// How long the target remains cold after the record was written: it takes requests at the rate of
    /// [`ServiceSpec::cold_rate`](crate::version::routes::ServiceSpec::cold_rate) at most. An entry of an
    /// earlier version omits it.
    #[serde(default)]
    pub cold_for: Duration,
}

impl FeedRecord for TargetRecord {
    fn feed_key(&self) -> Cow<'_, str> {
        Cow::Borrowed(self.host.as_str())
    }

    fn size_bytes(&self) -> usize {
        let weights = self.staged.iter().chain(&self.weights);
        let weights = weights.map(|weights| size_of::<WeightsId>() + weights.as_str().len());
        let weights: usize = weights.sum();
        let group = self.membership.iter().map(|m| m.group.as_str().len());
        let group: usize = group.sum();
        let domain = self
            .domain
            .as_ref()
            .map_or(0, |domain| domain.as_str().len());
        let names = self.host.as_str().len() + self.service.as_str().len();
        let names = names + self.data_centre.as_str().len() + domain + group;
        size_of::<Self>() + names + weights
    }
}

impl Keyed for TargetRecord {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.host
    }
}

/// A target's answer to a request for its state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetReport {
    /// The incarnation of the target's process, if the target reports it.
    pub incarnation: Option<Incarnation>,
    /// The number of running requests.
    pub running: u32,
    /// The number of queued requests.
    pub waiting: u32,
    /// The host's membership in a group, if any.
    pub membership: Option<Membership>,
    /// The number of orders that the target's process has accepted, if the target reports it.
    pub accepted_orders: Option<u64>,
}

/// How a group's requests in flight are treated when the group is closed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum CloseMode {
    /// Requests in flight are completed.
    #[display("finish")]
    Finish,
    /// Requests in flight are aborted.
    #[display("cut")]
    Cut,
}

/// An order to a host.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum GroupOrder {
    /// Join a group.
    #[display("join {group} epoch {epoch} with {weights}")]
    Join {
        /// The group to join.
        group: GroupId,
        /// The epoch of the membership.
        epoch: Epoch,
        /// The weights that the group serves.
        weights: WeightsId,
        /// All members in order of their ranks; the first one is the leader.
        members: Vec<HostId>,
    },
    /// Start serving. Sent to the leader only.
    #[display("open {group} epoch {epoch}")]
    Open {
        /// The group that the leader leads.
        group: GroupId,
        /// The epoch of the membership.
        epoch: Epoch,
    },
    /// Stop serving. Sent to the leader only.
    #[display("close {group} epoch {epoch}, {mode}")]
    Close {
        /// The group that the leader leads.
        group: GroupId,
        /// The epoch of the membership.
        epoch: Epoch,
        /// How requests in flight are treated.
        mode: CloseMode,
    },
    /// Leave a group.
    #[display("leave {group} epoch {epoch}")]
    Leave {
        /// The group to leave.
        group: GroupId,
        /// The epoch of the membership.
        epoch: Epoch,
    },
    /// Load weights onto the host while it continues its other work.
    #[display("stage {weights}")]
    Stage {
        /// The weights to load.
        weights: WeightsId,
    },
}

/// A host's answer to an order.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum OrderAnswer {
    /// The host has begun to execute the order.
    #[display("accepted")]
    Accepted,
    /// The host is in the ordered state: it was before, or the order took effect at once.
    #[display("accepted, done")]
    Done,
    /// The order is not possible in the host's current state, or the host has accepted another number of
    /// orders than expected.
    #[display("conflict")]
    Conflict,
    /// The host has seen a newer epoch, or other members for this epoch.
    #[display("superseded")]
    Superseded,
    /// A different target answered at the address.
    #[display("wrong target")]
    WrongTarget,
    /// The host does not support the order.
    #[display("invalid")]
    Invalid,
}

impl GroupOrder {
    /// Returns the label of the order in metrics.
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
    /// Returns whether the host is in the ordered state or about to be.
    pub fn is_accepted(self) -> bool {
        matches!(self, Self::Accepted | Self::Done)
    }

    /// Returns the label of the answer in metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Accepted | Self::Done => "accepted",
            Self::Conflict => "conflict",
            Self::Superseded => "superseded",
            Self::WrongTarget => "wrong target",
            Self::Invalid => "invalid",
        }
    }
}

/// Why a control call of a [`TargetControl`] failed.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum CallError {
    /// The connection was refused: no process listens at the address, so the target has ended.
    #[display(
        "no process listens at the target's address: {reason}. \
         Hint: check why the target has ended"
    )]
    Refused {
        /// The message of the connection error.
        reason: String,
    },
    /// The connection could not be opened, so the target has not received the call.
    #[display("the call was not sent: {reason}. Hint: check that the target is up")]
    NotSent {
        /// The message of the connection error.
        reason: String,
    },
    /// The call was sent but not answered. The target may have executed it or may still do so.
    #[display(
        "the call may have been executed: {reason}. \
         Hint: read the target's state before acting on it"
    )]
    InDoubt {
        /// Why there is no answer.
        reason: String,
    },
    /// The answer violates the protocol.
    #[display("the answer can't be read: {reason}. Hint: compare the versions of entry and target")]
    Protocol {
        /// The protocol violation.
        reason: String,
    },
}

/// A client for the control calls to targets.
pub trait TargetControl: Clone + Send + Sync + 'static {
    /// Requests a target's state, within `timeout`.
    fn report(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> impl Future<Output = Result<TargetReport, CallError>> + Send;

    /// Sends an order to `host`, which is reached at `address`, within `timeout`.
    ///
    /// The host refuses the order with [`OrderAnswer::Conflict`] if it has accepted another number of
    /// orders than `expected_orders`; `None` sends the order without that condition.
    fn order(
        &self,
        address: SocketAddr,
        host: HostId,
        order: GroupOrder,
        expected_orders: Option<u64>,
        timeout: Duration,
    ) -> impl Future<Output = Result<OrderAnswer, CallError>> + Send;
}
