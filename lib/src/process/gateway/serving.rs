//! The targets that may be sent requests, taken from the board of hosts.

use std::net::SocketAddr;
use std::time::Instant;

use crate::ids::DataCentreId;
use crate::ids::GroupId;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::ids::WeightsId;
use crate::process::formation::HostTracker;
use crate::process::formation::TrackedHost;
use crate::request::forward::choose::EnginePace;
use crate::target::record::MemberState;
use crate::version::routes::EngineProfile;
use crate::version::routes::RouteDocument;

/// A target that may be sent requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingTarget {
    /// The target: a plain service's host or the head of a group.
    pub host: HostId,
    /// Its address.
    pub address: SocketAddr,
    /// The service.
    pub service: ServiceId,
    /// The group that the target heads; none for plain services.
    pub group: Option<GroupId>,
    /// The weights that a group serves; empty for plain services.
    pub weights: Vec<WeightsId>,
    /// The data centre.
    pub data_centre: DataCentreId,
    /// The requests that it runs at once.
    pub slots: u32,
    /// The pace of a group.
    pub pace: Option<EnginePace>,
}

/// Returns the targets that may be sent requests now, in the order of their names.
pub fn serving_targets(
    board: &HostTracker,
    document: &RouteDocument,
    now: Instant,
) -> Vec<ServingTarget> {
    let usable = board.iter().filter(|entry| entry.is_usable(now));
    let target = |entry: &TrackedHost| {
        let record = &entry.record;
        let sheet = document.service(&record.service)?;
        let (weights, slots, pace) = match &sheet.engine {
            None => (Vec::new(), record.slots, None),
            Some(engine) => {
                let membership = entry.membership()?;
                let is_open = membership.rank == 0 && membership.state == MemberState::Open;
                if !is_open {
                    return None;
                }
                let pace = group_pace(board, entry, engine);
                (record.weights.clone(), engine.slots, Some(pace))
            }
        };
        Some(ServingTarget {
            host: record.host.clone(),
            address: record.address,
            service: record.service.clone(),
            group: record
                .membership
                .as_ref()
                .filter(|_| sheet.engine.is_some())
                .map(|membership| membership.group.clone()),
            weights,
            data_centre: record.data_centre.clone(),
            slots,
            pace,
        })
    };
    usable.filter_map(target).collect()
}

fn group_pace(board: &HostTracker, head: &TrackedHost, engine: &EngineProfile) -> EnginePace {
    let served = engine
        .models
        .iter()
        .find(|m| head.record.weights.contains(&m.weights));
    let mut factor = served.map_or(1.0, |model| model.pace);
    let group = head.membership().map(|m| &m.group);
    let is_split = board.iter().any(|other| {
        other.membership().map(|m| &m.group) == group && other.record.domain != head.record.domain
    });
    if is_split {
        factor *= engine.cross_domain_factor;
    }
    EnginePace::from_sheet(engine, factor)
}
