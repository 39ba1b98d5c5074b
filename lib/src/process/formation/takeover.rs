//! Takes over groups of an earlier lease holder, from the reports of their members.

use std::time::Duration;
use std::time::Instant;

use super::controller::ServicePlan;
use super::controller::is_warm_spare_id;
use super::group::Group;
use super::group::GroupMember;
use super::group::GroupPhase;
use super::host_tracker::TrackedHost;
use crate::ids::FabricDomainId;
use crate::ids::GroupId;
use crate::ids::WeightsId;
use crate::sorted::SortedVec;
use crate::target::record::MemberState;
use crate::target::record::Membership;

/// A group that at least one host reports as its own.
pub(super) struct ReportedGroup<'a> {
    membership: &'a Membership,
    /// The known member with the lowest rank.
    first: &'a TrackedHost,
    /// The known members, sorted by rank.
    members: Vec<&'a TrackedHost>,
    has_leader: bool,
}

/// Returns the groups of these hosts for which `is_known` returns false for one of their members.
///
/// A group is returned only if `is_reachable` is true for one of its members: nothing can be done
/// for the others, whose records expire later. A group without a known leader is returned only if
/// `is_recently_relisted` is false for all of its members, since the leader may be listed again
/// soon.
pub(super) fn unknown_groups<'a, F, G, H>(
    hosts: &[&'a TrackedHost],
    is_known: F,
    is_reachable: G,
    is_recently_relisted: H,
) -> Vec<ReportedGroup<'a>>
where
    F: Fn(&TrackedHost, &GroupId) -> bool,
    G: Fn(&TrackedHost) -> bool,
    H: Fn(&TrackedHost) -> bool,
{
    let mut reported: Vec<ReportedGroup<'a>> = Vec::new();
    for tracked in hosts.iter().copied() {
        let Some(membership) = tracked.membership() else {
            continue;
        };
        let id = &membership.group;
        if is_warm_spare_id(id)
            || is_known(tracked, id)
            || reported.iter().any(|group| group.membership.group == *id)
        {
            continue;
        }
        let is_member = |other: &&TrackedHost| other.membership().is_some_and(|m| m.group == *id);
        let mut members: Vec<&TrackedHost> = hosts.iter().copied().filter(is_member).collect();
        members.sort_by_key(|tracked| tracked.membership().map(|m| m.rank));
        let first_rank = members
            .first()
            .and_then(|first| first.membership())
            .map(|m| m.rank);
        let is_any_reachable = members.iter().any(|tracked| is_reachable(tracked));
        let is_any_recently_relisted = members.iter().any(|tracked| is_recently_relisted(tracked));
        let has_leader = first_rank == Some(0);
        if is_any_reachable && (has_leader || !is_any_recently_relisted) {
            reported.push(ReportedGroup {
                membership,
                first: members.first().copied().unwrap_or(tracked),
                members,
                has_leader,
            });
        }
    }
    reported
}

impl ReportedGroup<'_> {
    /// Returns the group in the phase from which it continues.
    ///
    /// Only a complete group that serves is kept. A group that was never opened is released: an
    /// order of the earlier lease holder to open it, or to move its members, may still be in
    /// flight.
    pub(super) fn into_group(self, plans: &SortedVec<ServicePlan>, now: Instant) -> Group {
        let hosts = &self.members;
        let service = self.first.record.service.clone();
        let served = &self.first.record.weights;
        let plan = plans.get(&service);
        let models = plan
            .map(|plan| plan.profile.models.as_slice())
            .unwrap_or_default();
        let model = models.iter().find(|m| served.contains(&m.weights));
        let is_whole = model.is_some_and(|model| model.group_size == hosts.len());
        let leader_state = hosts
            .first()
            .and_then(|first| first.membership())
            .map(|m| m.state);
        let phase = match leader_state {
            Some(MemberState::Open) if is_whole && self.has_leader => GroupPhase::Open,
            Some(MemberState::Closing) if self.has_leader => GroupPhase::Finishing,
            _ => GroupPhase::Releasing,
        };
        let domains = hosts
            .iter()
            .filter_map(|tracked| tracked.record.domain.as_ref());
        let domain = most_frequent_domain(domains.clone());
        let is_cross_domain = domains.clone().any(|d| Some(d) != domain.as_ref());
        let weights = model.map(|model| model.weights.clone());
        let weights = weights.or_else(|| served.first().cloned());
        let member = |tracked: &&TrackedHost| GroupMember {
            host: tracked.record.host.clone(),
            incarnation: tracked.record.incarnation,
            address: tracked.record.address,
            has_joined: true,
            has_left: false,
        };
        Group {
            id: self.membership.group.clone(),
            epoch: self.membership.epoch,
            // A leader without weights serves nothing and its group is released, so this name
            // appears only in logs.
            weights: weights.unwrap_or_else(|| WeightsId::from(service.clone())),
            service,
            domain,
            members: hosts.iter().map(member).collect(),
            has_leader: self.has_leader,
            is_leader_stopped: false,
            is_cross_domain,
            may_have_served: true,
            is_warm_spare: false,
            phase,
            phase_since: now,
            // Members may be missing, or an order of the earlier lease holder may be in flight.
            may_have_received_leave: phase != GroupPhase::Open,
            close_accepted_at: None,
            expected_ready_in: Duration::ZERO,
            loads: 0,
            hosts_reserved_for: None,
            is_evacuated: false,
        }
    }
}

fn most_frequent_domain<'a, I>(domains: I) -> Option<FabricDomainId>
where
    I: Iterator<Item = &'a FabricDomainId> + Clone,
{
    let count = |domain: &FabricDomainId| domains.clone().filter(|d| *d == domain).count();
    domains.clone().max_by_key(|domain| count(domain)).cloned()
}
