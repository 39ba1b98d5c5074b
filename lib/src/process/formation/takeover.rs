//! Groups that an earlier holder of the lease formed, as their members report them.

use std::time::Duration;
use std::time::Instant;

use super::board::HostBoard;
use super::board::HostEntry;
use super::group::Group;
use super::group::GroupMember;
use super::group::GroupPhase;
use super::machine::ServicePlan;
use super::machine::is_warming_id;
use crate::ids::FabricDomainId;
use crate::ids::GroupId;
use crate::ids::WeightsId;
use crate::sorted::SortedVec;
use crate::target::record::MemberState;
use crate::target::record::Membership;

/// A group that at least one host reports to be in.
pub(super) struct SeenGroup<'a> {
    membership: &'a Membership,
    first: &'a HostEntry,
    /// The members in the order of their ranks.
    members: Vec<&'a HostEntry>,
    has_head: bool,
}

/// Returns the groups of which `is_known` is false for one of their members.
///
/// A group is returned only if one of its members `is_reachable`: there is nothing to do for the
/// others, whose records stay for a while. One whose head is not on the board is returned only if
/// none of its members `is_resting`.
pub(super) fn unknown_groups<'a, F, G, H>(
    board: &'a HostBoard,
    is_known: F,
    is_reachable: G,
    is_resting: H,
) -> Vec<SeenGroup<'a>>
where
    F: Fn(&HostEntry, &GroupId) -> bool,
    G: Fn(&HostEntry) -> bool,
    H: Fn(&HostEntry) -> bool,
{
    let mut seen: Vec<SeenGroup<'a>> = Vec::new();
    for entry in board.iter() {
        let Some(membership) = entry.membership() else {
            continue;
        };
        let id = &membership.group;
        if is_warming_id(id)
            || is_known(entry, id)
            || seen.iter().any(|s| s.membership.group == *id)
        {
            continue;
        }
        let is_member = |other: &&HostEntry| other.membership().is_some_and(|m| m.group == *id);
        let mut members: Vec<&HostEntry> = board.iter().filter(is_member).collect();
        members.sort_by_key(|entry| entry.membership().map(|m| m.rank));
        let first_rank = members.first().and_then(|e| e.membership()).map(|m| m.rank);
        let is_any_reachable = members.iter().any(|entry| is_reachable(entry));
        let is_any_resting = members.iter().any(|entry| is_resting(entry));
        let has_head = first_rank == Some(0);
        if is_any_reachable && (has_head || !is_any_resting) {
            seen.push(SeenGroup {
                membership,
                first: members.first().copied().unwrap_or(entry),
                members,
                has_head,
            });
        }
    }
    seen
}

impl SeenGroup<'_> {
    /// Returns the group in the phase from which it goes on.
    ///
    /// Only a whole group that serves is kept. One that was never opened is released: its former
    /// owner's order to open it, or to move its members, may still be on its way.
    pub(super) fn into_group(self, plans: &SortedVec<ServicePlan>, now: Instant) -> Group {
        let entries = &self.members;
        let service = self.first.record.service.clone();
        let served = &self.first.record.weights;
        let plan = plans.get(&service);
        let models = plan
            .map(|plan| plan.sheet.models.as_slice())
            .unwrap_or_default();
        let model = models.iter().find(|m| served.contains(&m.weights));
        let is_whole = model.is_some_and(|model| model.group_size == entries.len());
        let head_state = entries
            .first()
            .and_then(|e| e.membership())
            .map(|m| m.state);
        let phase = match head_state {
            Some(MemberState::Open) if is_whole && self.has_head => GroupPhase::Open,
            Some(MemberState::Closing) if self.has_head => GroupPhase::Finishing,
            _ => GroupPhase::Releasing,
        };
        let domains = entries.iter().filter_map(|e| e.record.domain.as_ref());
        let domain = most_frequent(domains.clone());
        let is_cross_domain = domains.clone().any(|d| Some(d) != domain.as_ref());
        let weights = model.map(|model| model.weights.clone());
        let weights = weights.or_else(|| served.first().cloned());
        let member = |entry: &&HostEntry| GroupMember {
            host: entry.record.host.clone(),
            incarnation: entry.record.incarnation,
            address: entry.record.address,
            has_joined: true,
            has_left: false,
        };
        Group {
            id: self.membership.group.clone(),
            epoch: self.membership.epoch,
            // A head without weights serves nothing; its group ends, and the name is for logs.
            weights: weights.unwrap_or_else(|| WeightsId::from(service.clone())),
            service,
            domain,
            members: entries.iter().map(member).collect(),
            has_head: self.has_head,
            is_head_gone: false,
            is_cross_domain,
            is_warming: false,
            phase,
            phase_since: now,
            // Members may be missing, or an order of the earlier holder may be on its way.
            may_have_left: phase != GroupPhase::Open,
            close_accepted_at: None,
            expected_ready_in: Duration::ZERO,
            loads: 0,
            makes_room_for: None,
        }
    }
}

fn most_frequent<'a, I>(domains: I) -> Option<FabricDomainId>
where
    I: Iterator<Item = &'a FabricDomainId> + Clone,
{
    let count = |domain: &FabricDomainId| domains.clone().filter(|d| *d == domain).count();
    domains.clone().max_by_key(|domain| count(domain)).cloned()
}
