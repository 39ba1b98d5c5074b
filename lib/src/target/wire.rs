//! Paths, headers and JSON bodies of the targets' HTTP interface.

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

/// `POST`: starts or resumes an answer, in the chat-completions format.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// `POST`: runs an operation of a plain service; the operation's name follows the prefix.
pub const OPERATION_PATH_PREFIX: &str = "/v1/operations/";
/// `GET`: the host's status; the answer is a [`HostReport`].
pub const REPORT_PATH: &str = "/v1/report";
/// `POST`: the body is an [`Order`], the answer an [`OrderAnswer`].
pub const ORDER_PATH: &str = "/v1/orders";
/// `POST`: stops an attempt; the attempt's identifier follows the prefix.
pub const CANCEL_PATH_PREFIX: &str = "/v1/cancel/";
/// `GET`: cache events after the sequence number in `?after=SEQUENCE`; the answer is
/// [`CacheEvents`].
pub const CACHE_EVENTS_PATH: &str = "/v1/cache-events";

/// Header of a request and of its answer: the attempt ID.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Header of a request and of its answer: the group that the request is addressed to.
pub const GROUP_HEADER: &str = "x-group";
/// Header of a request and of its answer: the group's generation.
pub const GENERATION_HEADER: &str = "x-generation";
/// Header of a request: `emergency`, `normal` or `batch`.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header of a request: the number of tokens that the caller already received.
pub const RESUME_HEADER: &str = "x-resume-from-tokens";
/// Header of a refusal: `true` if the request was refused before execution.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// The data of the last event of a complete streamed answer.
pub const END_MARKER: &str = "[DONE]";

/// A host's membership in a replica group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupMembership {
    /// The replica group's name.
    pub group: GroupId,
    /// The generation that the host joined.
    pub generation: Generation,
    /// The host's rank; the host with rank 0 takes requests.
    pub rank: u32,
    /// Whether the weights are loaded and the host can serve.
    pub is_ready: bool,
}

/// A host's load at the time of the report, which may be out of date when it is used.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// The number of requests queued for the batch.
    pub queued_requests: u32,
    /// The number of requests in the batch.
    pub running_requests: u32,
    /// The maximum number of requests in the batch.
    pub batch_limit_requests: u32,
    /// The number of tokens generated in the last second.
    pub generated_tokens_per_s: f64,
    /// The mean time between two tokens of a running request, in milliseconds.
    pub time_per_token_ms: f64,
    /// The share of the KV cache that is in use.
    pub cache_used: Share,
}

/// A host's status report.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HostReport {
    /// The reporting host.
    pub host: HostId,
    /// The incarnation of the host's engine process.
    pub incarnation: Incarnation,
    /// The host's membership in a group, if any.
    pub membership: Option<GroupMembership>,
    /// The weights that are loaded in the host's memory.
    pub loaded_weights: Vec<WeightsId>,
    /// Whether the host is about to shut down.
    pub is_leaving: bool,
    /// The host's current load.
    pub load: LoadReport,
    /// The highest epoch that the host has seen in an order.
    pub highest_epoch: Epoch,
}

/// A member of a group, as listed in an order to join.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderMember {
    /// The member's host.
    pub host: HostId,
    /// The address of the host's target interface.
    pub address: SocketAddr,
}

/// The action that an order requires of a host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Load the weights and join a generation of a group.
    Join {
        /// The group to join.
        group: GroupId,
        /// The generation to join.
        generation: Generation,
        /// All members in order of their ranks.
        members: Vec<OrderMember>,
        /// The weights that the group serves.
        weights: WeightsId,
    },
    /// Leave the current group, if any, and keep the weights loaded.
    Leave,
    /// Load weights without joining a group, which makes a later join faster.
    Preload {
        /// The weights to load.
        weights: WeightsId,
    },
}

/// An order of the placement lease holder to a host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// The epoch of the placement lease, used as fencing token: a host that checks it refuses an
    /// epoch below the highest one it has seen.
    pub epoch: Epoch,
    /// The unique ID of the order.
    pub attempt: AttemptId,
    /// The action to execute.
    pub action: OrderAction,
}

/// A host's answer to an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAnswer {
    /// The host executes the order. Its reports show the progress.
    Accepted,
    /// The order was refused because its epoch is out of date.
    Stale {
        /// The highest epoch that the host has seen.
        highest_epoch: Epoch,
    },
}

/// A change in a host's prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// The sequence number; a gap means that events were lost.
    pub sequence: u64,
    /// The hash of the cached prompt prefix.
    pub prefix_hash: u64,
    /// Whether the prefix was added to the cache; otherwise it was evicted.
    pub is_cached: bool,
}

/// The answer to a request to [`CACHE_EVENTS_PATH`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvents {
    /// The events in ascending order of their sequence numbers.
    pub events: Vec<CacheEvent>,
}
