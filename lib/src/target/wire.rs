//! The paths, headers and bodies of the targets' HTTP interface.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::AttemptId;
use crate::ids::Epoch;
use crate::ids::Generation;
use crate::ids::GroupId;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::WeightsId;
use crate::units::Share;

/// `POST`: starts or resumes an answer, in the common chat-completions shape.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// `POST`: runs an operation of a plain service; the operation's name follows the prefix.
pub const OPERATION_PATH_PREFIX: &str = "/v1/operations/";
/// `GET`: the host's own report, a [`HostReport`].
pub const REPORT_PATH: &str = "/v1/report";
/// `POST`: the body is an [`Order`], the answer an [`OrderAnswer`].
pub const ORDER_PATH: &str = "/v1/orders";
/// `POST`: stops an attempt; the attempt's identifier follows the prefix.
pub const CANCEL_PATH_PREFIX: &str = "/v1/cancel/";
/// `GET`: cache events after `?after=SEQUENCE`; the answer is [`CacheEvents`].
pub const CACHE_EVENTS_PATH: &str = "/v1/cache-events";

/// Header of a request and of its answer: the attempt.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Header of a request and of its answer: the group that is meant to answer.
pub const GROUP_HEADER: &str = "x-group";
/// Header of a request and of its answer: the group's generation.
pub const GENERATION_HEADER: &str = "x-generation";
/// Header of a request: `emergency`, `normal` or `batch`.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header of a request: the number of tokens that the caller already has.
pub const RESUME_HEADER: &str = "x-resume-from-tokens";
/// Header of a refusal: `true` attests that the request was refused before it started.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// The last event of a whole streamed answer.
pub const END_MARKER: &str = "[DONE]";

/// A host's place in a replica group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupMembership {
    /// The group.
    pub group: GroupId,
    /// The group's generation.
    pub generation: Generation,
    /// The host's rank; rank 0 takes requests.
    pub rank: u32,
    /// Whether the weights are loaded and the host can serve.
    pub is_ready: bool,
}

/// A host's load; the report lags behind the truth.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests that wait for a place in the batch.
    pub queued_requests: u32,
    /// Requests in the batch.
    pub running_requests: u32,
    /// The most requests that the batch takes.
    pub batch_limit_requests: u32,
    /// Tokens generated in the last second.
    pub generated_tokens_per_s: f64,
    /// The mean time between tokens of a running request, in milliseconds.
    pub time_per_token_ms: f64,
    /// The share of the KV cache that is in use.
    pub cache_used: Share,
}

/// What a host says of itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HostReport {
    /// The host.
    pub host: HostId,
    /// The life of the host's engine process.
    pub incarnation: Incarnation,
    /// The group that the host is in, if any.
    pub membership: Option<GroupMembership>,
    /// The weights in the host's memory.
    pub loaded_weights: Vec<WeightsId>,
    /// Whether the host is about to go away.
    pub is_leaving: bool,
    /// The host's load.
    pub load: LoadReport,
    /// The greatest fencing number that the host has seen.
    pub highest_epoch: Epoch,
}

/// A member of a group, as an order names it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderMember {
    /// The host.
    pub host: HostId,
    /// The address of the host's target interface.
    pub address: SocketAddr,
}

/// What an order asks of a host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Load the weights and join the group with this generation.
    Join {
        /// The group.
        group: GroupId,
        /// The group's generation.
        generation: Generation,
        /// The members in order of their ranks.
        members: Vec<OrderMember>,
        /// The weights to load.
        weights: WeightsId,
    },
    /// Leave whatever group the host is in and keep the weights.
    Leave,
    /// Load weights without joining a group, so that a later join is quick.
    Preload {
        /// The weights to load.
        weights: WeightsId,
    },
}

/// An order of the placement lease's holder to a host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// The fencing number; a host that checks it refuses a smaller one than it has seen.
    pub epoch: Epoch,
    /// The order's unique identifier.
    pub attempt: AttemptId,
    /// What to do.
    pub action: OrderAction,
}

/// A host's answer to an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAnswer {
    /// The order is being carried out; the reports show how far.
    Accepted,
    /// The order carries an old fencing number.
    Stale {
        /// The greatest fencing number that the host has seen.
        highest_epoch: Epoch,
    },
}

/// A change of a host's prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// The event's number; a gap means lost events.
    pub sequence: u64,
    /// The hash of the prefix.
    pub prefix_hash: u64,
    /// Whether the prefix entered the cache; otherwise it left.
    pub is_cached: bool,
}

/// Cache events of a host.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvents {
    /// The events in ascending order of their numbers.
    pub events: Vec<CacheEvent>,
}
