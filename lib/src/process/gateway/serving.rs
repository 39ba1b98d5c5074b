//! The targets that can be sent requests, derived from the tracked hosts.

use std::net::SocketAddr;
use std::time::Instant;

use crate::ids::DataCentreId;
use crate::ids::FabricDomainId;
use crate::ids::GroupId;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::ServiceId;
use crate::ids::WeightsId;
use crate::process::formation::HostTracker;
use crate::process::formation::TrackedHost;
use crate::request::forward::choose::EnginePace;
use crate::target::record::MemberState;
use crate::version::routes::EngineProfile;
use crate::version::routes::RouteDocument;

/// A target that can be sent requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingTarget {
    /// The host of a plain service, or the leader of a group.
    pub host: HostId,
    /// The incarnation of the target's process.
    pub incarnation: Incarnation,
    /// The address that requests are sent to.
    pub address: SocketAddr,
    /// The service that the target runs.
    pub service: ServiceId,
    /// The group that the target is the leader of; `None` for plain services.
    pub group: Option<GroupId>,
    /// The loaded weights of a group; empty for plain services.
    pub weights: Vec<WeightsId>,
    /// The target's data centre.
    pub data_centre: DataCentreId,
    /// The number of requests that the target runs concurrently.
    pub slots: u32,
    /// The estimated speed of a group; `None` for plain services.
    pub pace: Option<EnginePace>,
}

/// Returns the targets that can be sent requests now, ordered by host name.
///
/// A group is represented by its leader, and only while the leader's latest membership is open.
pub fn serving_targets(
    tracker: &HostTracker,
    document: &RouteDocument,
    now: Instant,
) -> Vec<ServingTarget> {
    let usable = tracker.iter().filter(|tracked| tracked.is_usable(now));
    // Hosts of other services form no groups, whatever their records say.
    let can_form_groups = |tracked: &&TrackedHost| {
        let spec = document.service(&tracked.record.service);
        spec.is_some_and(|spec| spec.engine.is_some())
    };
    let memberships = tracker
        .iter()
        .filter(can_form_groups)
        .filter_map(|tracked| {
            let membership = tracked.membership()?;
            Some((&membership.group, tracked.record.domain.as_ref()))
        });
    let split_groups = SplitGroups::new(memberships);
    let evacuated_groups = if tracker.has_evacuated() {
        evacuated_groups(tracker.iter().filter(can_form_groups))
    } else {
        Vec::new()
    };
    let target = |tracked: &TrackedHost| {
        let record = &tracked.record;
        let spec = document.service(&record.service)?;
        let (weights, slots, pace) = match &spec.engine {
            None => (Vec::new(), record.slots, None),
            Some(engine) => {
                let membership = tracked.membership()?;
                let is_open = membership.rank == 0 && membership.state == MemberState::Open;
                if !is_open || evacuated_groups.binary_search(&&membership.group).is_ok() {
                    return None;
                }
                let is_split = split_groups.contains(&membership.group);
                let pace = group_pace(tracked, engine, is_split);
                (record.weights.clone(), engine.slots, Some(pace))
            }
        };
        Some(ServingTarget {
            host: record.host.clone(),
            incarnation: record.incarnation,
            address: record.address,
            service: record.service.clone(),
            group: record
                .membership
                .as_ref()
                .filter(|_| spec.engine.is_some())
                .map(|membership| membership.group.clone()),
            weights,
            data_centre: record.data_centre.clone(),
            slots,
            pace,
        })
    };
    usable.filter_map(target).collect()
}

/// Returns the groups with a member in an evacuated data centre. A request to their leader would reach
/// that member, too.
fn evacuated_groups<'a, I>(hosts: I) -> Vec<&'a GroupId>
where
    I: Iterator<Item = &'a TrackedHost>,
{
    let evacuated = hosts.filter(|tracked| tracked.is_evacuated);
    let memberships = evacuated.filter_map(TrackedHost::membership);
    let mut groups: Vec<&GroupId> = memberships.map(|membership| &membership.group).collect();
    groups.sort_unstable();
    groups.dedup();
    groups
}

/// The groups whose members are in several fabric domains.
struct SplitGroups<'a> {
    /// Sorted, so that it can be searched.
    groups: Vec<&'a GroupId>,
}

impl<'a> SplitGroups<'a> {
    /// Finds them in one pass over the groups and domains of all members: this runs again for each
    /// change of a host, and there may be hundreds of hosts and groups.
    fn new<I>(memberships: I) -> Self
    where
        I: Iterator<Item = (&'a GroupId, Option<&'a FabricDomainId>)>,
    {
        let mut memberships: Vec<_> = memberships.collect();
        memberships.sort_unstable();
        let neighbours = memberships.windows(2);
        let is_split = |pair: &&[(&GroupId, Option<&FabricDomainId>)]| {
            pair[0].0 == pair[1].0 && pair[0].1 != pair[1].1
        };
        let mut groups: Vec<&GroupId> = neighbours.filter(is_split).map(|pair| pair[0].0).collect();
        groups.dedup();
        Self { groups }
    }

    fn contains(&self, group: &GroupId) -> bool {
        self.groups.binary_search(&group).is_ok()
    }
}

/// Returns a group's speed. The engine's times are multiplied by the factor of the loaded model
/// and, if the members are in several fabric domains, by the factor for that.
fn group_pace(leader: &TrackedHost, engine: &EngineProfile, is_split: bool) -> EnginePace {
    let model = engine
        .models
        .iter()
        .find(|m| leader.record.weights.contains(&m.weights));
    let mut factor = model.map_or(1.0, |model| model.pace);
    if is_split {
        factor *= engine.cross_domain_factor;
    }
    EnginePace::from_profile(engine, factor)
}
