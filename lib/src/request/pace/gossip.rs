//! The gossip between entries about the pace of targets.

use serde::Deserialize;
use serde::Serialize;

use super::machine::PaceInstance;
use crate::ids::GroupId;
use crate::ids::HostId;
use crate::ids::Incarnation;

/// The pace of a target in a gossip datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "PaceTuple", into = "PaceTuple")]
pub struct GossipedPace {
    /// The target.
    pub host: HostId,
    /// Which start of the target is meant.
    pub instance: PaceInstance,
    /// The concurrent requests of all entries that the target may have.
    pub level: u32,
    /// How many milliseconds ago the last setback was; `None` without one.
    pub setback_age_ms: Option<u64>,
}

/// The encoded form of a [`GossipedPace`], without field names to keep the datagram short.
type PaceTuple = (HostId, Incarnation, Option<GroupId>, u32, Option<u64>);

impl From<PaceTuple> for GossipedPace {
    fn from((host, incarnation, group, level, setback_age_ms): PaceTuple) -> Self {
        Self {
            host,
            instance: PaceInstance { incarnation, group },
            level,
            setback_age_ms,
        }
    }
}

impl From<GossipedPace> for PaceTuple {
    fn from(pace: GossipedPace) -> Self {
        let PaceInstance { incarnation, group } = pace.instance;
        (
            pace.host,
            incarnation,
            group,
            pace.level,
            pace.setback_age_ms,
        )
    }
}
