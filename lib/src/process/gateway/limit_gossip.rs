//! The gossip between entries about the limits that targets name.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::EntryId;
use crate::ids::HostId;
use crate::units::RequestRate;

/// A target's limit in a gossip datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(from = "LimitTuple", into = "LimitTuple")]
pub struct GossipedLimit {
    /// The target.
    pub host: HostId,
    /// The limit, or `None` if the target names none any more.
    pub limit: Option<RequestRate>,
    /// How many milliseconds ago the target said so.
    pub age_ms: u64,
    /// The number of requests that recently had to pass over the target at the sender, because it
    /// lacked a part of the limit.
    pub wanted: u32,
    /// The requests that the sender leaves to other entries, each to be sent at once or not at all.
    pub grants: Vec<(EntryId, u32)>,
}

/// The encoded form of a [`GossipedLimit`], without field names to keep the datagram short.
type LimitTuple = (HostId, Option<RequestRate>, u64, u32, Vec<(EntryId, u32)>);

impl From<LimitTuple> for GossipedLimit {
    fn from((host, limit, age_ms, wanted, grants): LimitTuple) -> Self {
        Self {
            host,
            limit,
            age_ms,
            wanted,
            grants,
        }
    }
}

impl From<GossipedLimit> for LimitTuple {
    fn from(gossiped: GossipedLimit) -> Self {
        (
            gossiped.host,
            gossiped.limit,
            gossiped.age_ms,
            gossiped.wanted,
            gossiped.grants,
        )
    }
}
