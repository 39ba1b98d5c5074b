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
use crate::sorted::SortedVec;
use crate::target::record::MemberState;
use crate::target::record::Membership;

/// A group whose head is known.
pub(super) struct SeenGroup<'a> {
    head: &'a HostEntry,
    head_membership: &'a Membership,
    others: Vec<&'a HostEntry>,
}

/// Returns the groups whose head is on the board and of which `is_known` is false.
pub(super) fn unknown_groups<'a, F>(board: &'a HostBoard, is_known: F) -> Vec<SeenGroup<'a>>
where
    F: Fn(&GroupId) -> bool,
{
    let head = |entry: &'a HostEntry| {
        let membership = entry.membership()?;
        let is_head = membership.rank == 0 && !is_warming_id(&membership.group);
        (is_head && !is_known(&membership.group)).then_some((entry, membership))
    };
    let heads = board.iter().filter_map(head);
    heads
        .map(|(head, head_membership)| {
            let is_other = |entry: &&HostEntry| {
                let membership = entry.membership();
                membership.is_some_and(|m| m.group == head_membership.group && m.rank > 0)
            };
            let mut others: Vec<&HostEntry> = board.iter().filter(is_other).collect();
            others.sort_by_key(|entry| entry.membership().map(|m| m.rank));
            SeenGroup {
                head,
                head_membership,
                others,
            }
        })
        .collect()
}

impl SeenGroup<'_> {
    /// Returns the group in the phase from which it goes on.
    ///
    /// Only a whole group that serves is kept. One that was never opened is released: its former
    /// owner's order to open it, or to move its members, may still be on its way.
    pub(super) fn into_group(self, plans: &SortedVec<ServicePlan>, now: Instant) -> Group {
        let record = &self.head.record;
        let plan = plans.get(&record.service);
        let models = plan
            .map(|plan| plan.sheet.models.as_slice())
            .unwrap_or_default();
        let model = models.iter().find(|m| record.weights.contains(&m.weights));
        let member_count = 1 + self.others.len();
        let is_whole = model.is_some_and(|model| model.group_size == member_count);
        let phase = match self.head_membership.state {
            MemberState::Open if is_whole => GroupPhase::Open,
            MemberState::Closing => GroupPhase::Finishing,
            MemberState::Open | MemberState::Joining | MemberState::Ready | MemberState::Broken => {
                GroupPhase::Releasing
            }
        };
        let entries = std::iter::once(self.head).chain(self.others);
        let entries: Vec<&HostEntry> = entries.collect();
        let domains = entries.iter().filter_map(|e| e.record.domain.as_ref());
        let domain = most_frequent(domains.clone());
        let is_cross_domain = domains.clone().any(|d| Some(d) != domain.as_ref());
        let weights = model.map(|model| model.weights.clone());
        let weights = weights.or_else(|| record.weights.first().cloned());
        let member = |entry: &&HostEntry| GroupMember {
            host: entry.record.host.clone(),
            incarnation: entry.record.incarnation,
            address: entry.record.address,
            has_joined: true,
        };
        Group {
            id: self.head_membership.group.clone(),
            epoch: self.head_membership.epoch,
            service: record.service.clone(),
            // A head without weights serves nothing; its group ends, and the name is for logs.
            weights: weights.unwrap_or_else(|| unknown_weights(&record.service)),
            domain,
            members: entries.iter().map(member).collect(),
            is_cross_domain,
            is_warming: false,
            phase,
            phase_since: now,
            // Members may be missing, or an order of the earlier holder may be on its way.
            may_have_left: phase != GroupPhase::Open,
            close_accepted_at: None,
            expected_ready_in: Duration::ZERO,
        }
    }
}

fn unknown_weights(service: &crate::ids::ServiceId) -> crate::ids::WeightsId {
    crate::ids::WeightsId::from(service.clone())
}

fn most_frequent<'a, I>(domains: I) -> Option<FabricDomainId>
where
    I: Iterator<Item = &'a FabricDomainId> + Clone,
{
    let count = |domain: &FabricDomainId| domains.clone().filter(|d| *d == domain).count();
    domains.clone().max_by_key(|domain| count(domain)).cloned()
}
