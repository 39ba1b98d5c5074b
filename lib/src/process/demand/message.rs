//! What entries send each other about demand.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::EntryId;
use crate::ids::Epoch;
use crate::ids::ServiceId;
use crate::ids::WeightsId;

/// The work that arrives for a model of a service with one priority.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(from = "DemandTuple", into = "DemandTuple")]
pub struct ModelDemand {
    /// The service.
    pub service: ServiceId,
    /// The weights of the model.
    pub weights: WeightsId,
    /// The priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// The host-seconds of work that arrive each second: the number of hosts that are busy with it.
    pub hosts: f64,
}

/// The encoded form of a [`ModelDemand`], without field names to keep the datagram short.
type DemandTuple = (ServiceId, WeightsId, u8, f64);

impl From<DemandTuple> for ModelDemand {
    fn from((service, weights, priority, hosts): DemandTuple) -> Self {
        Self {
            service,
            weights,
            priority,
            hosts,
        }
    }
}

impl From<ModelDemand> for DemandTuple {
    fn from(demand: ModelDemand) -> Self {
        (
            demand.service,
            demand.weights,
            demand.priority,
            demand.hosts,
        )
    }
}

/// The entry that forms groups, and the epoch of its lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseHolder {
    /// The epoch; the holder with the highest one is the latest.
    pub epoch: Epoch,
    /// The entry.
    pub entry: EntryId,
}

/// The part of a gossip datagram about demand.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct DemandGossip {
    /// The work that arrives at the sender, which may be none; `None` from an entry of an earlier
    /// version, whose work is unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub models: Option<Vec<ModelDemand>>,
    /// The latest lease holder that the sender knows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease_holder: Option<LeaseHolder>,
}
