//! The ending of groups whose hosts are needed more elsewhere.

use std::time::Instant;

use super::board::HostBoard;
use super::group::Group;
use super::group::GroupMember;
use super::group::GroupPhase;
use super::machine::Formation;
use super::machine::ServicePlan;
use crate::ids::FabricDomainId;
use crate::ids::GroupId;
use crate::ids::WeightsId;

impl Formation {
    /// Ends one group with hosts outside of its domain, if it is one too many or if hosts of the
    /// domain can take its place now. Such a group is slow, or keeps another domain short.
    pub(super) fn rehome_group(&mut self, plan: &mut ServicePlan, board: &HostBoard, now: Instant) {
        let is_changing = self.groups.iter().any(|group| {
            group.service == plan.service && !group.is_warming && group.phase != GroupPhase::Open
        });
        if is_changing {
            return;
        }
        let misplaced = self.groups.iter().find(|group| {
            let is_own = group.service == plan.service && group.phase == GroupPhase::Open;
            is_own && self.is_replaceable(plan, group, board, now)
        });
        let Some(id) = misplaced.map(|group| group.id.clone()) else {
            return;
        };
        if let Some(group) = self.groups.get_mut(&id) {
            log::info!(group:% = id; "group outside of its domain is replaced");
            group.enter(GroupPhase::Finishing, now);
        }
    }

    fn is_replaceable(
        &self,
        plan: &ServicePlan,
        group: &Group,
        board: &HostBoard,
        now: Instant,
    ) -> bool {
        let Some(domain) = &group.domain else {
            return false;
        };
        let is_in_domain = |member: &GroupMember| {
            let entry = board.get(&member.host);
            entry.and_then(|entry| entry.record.domain.as_ref()) == Some(domain)
        };
        if group.members.iter().all(is_in_domain) {
            return false;
        }
        let models = &plan.sheet.models;
        let Some(index) = models
            .iter()
            .position(|model| model.weights == group.weights)
        else {
            return false;
        };
        let wanted = plan.packing.domains.get(domain);
        let wanted = wanted
            .and_then(|d| d.counts.get(index))
            .copied()
            .unwrap_or_default();
        if self.rising_count(plan, domain, &group.weights) > wanted {
            return true;
        }
        let model = &models[index];
        let free = self.candidates(plan, model, board, now);
        let free = free
            .iter()
            .filter(|c| !c.needs_load && c.domain == *domain)
            .count();
        let own = group
            .members
            .iter()
            .filter(|member| is_in_domain(member))
            .count();
        free + own >= model.group_size
    }

    pub(super) fn rising_count(
        &self,
        plan: &ServicePlan,
        domain: &FabricDomainId,
        weights: &WeightsId,
    ) -> usize {
        let there = self.groups.iter().filter(|group| {
            group.service == plan.service
                && group.weights == *weights
                && group.domain.as_ref() == Some(domain)
                && !group.is_warming
                && group.is_rising()
        });
        there.count()
    }

    pub(super) fn serving_count(&self, plan: &ServicePlan, weights: &WeightsId) -> usize {
        let serving = self.groups.iter().filter(|group| {
            group.service == plan.service
                && group.weights == *weights
                && !group.is_warming
                && !group.is_cross_domain
                && group.is_rising()
        });
        serving.count()
    }

    /// Returns an open group whose hosts would complete a missing group of `model` in their
    /// domain, if its own model is then still as well supplied.
    pub(super) fn group_to_sacrifice(
        &self,
        plan: &ServicePlan,
        model: usize,
        domains: &[FabricDomainId],
        board: &HostBoard,
        now: Instant,
    ) -> Option<GroupId> {
        let models = &plan.sheet.models;
        let wanted = &models[model];
        let supply = |index: usize, groups: usize| {
            let hosts = (groups * models[index].group_size) as f64;
            hosts
                / plan
                    .shares
                    .get(index)
                    .copied()
                    .unwrap_or_default()
                    .max(f64::MIN_POSITIVE)
        };
        let own = self.serving_count(plan, &wanted.weights);
        let candidates = self.candidates(plan, wanted, board, now);
        let is_useful = |group: &&Group| {
            let domain = group.domain.as_ref().filter(|d| domains.contains(d));
            let other = models.iter().position(|m| m.weights == group.weights);
            let (Some(domain), Some(other)) = (domain, other) else {
                return false;
            };
            let free = candidates
                .iter()
                .filter(|c| !c.needs_load && c.domain == *domain)
                .count();
            let is_warm = |member: &&GroupMember| {
                let entry = board.get(&member.host);
                entry.is_some_and(|entry| !self.time_to_join(entry, wanted).1)
            };
            let gained = group.members.iter().filter(is_warm).count();
            let others = self.serving_count(plan, &group.weights);
            // What two models want may be more than there is: a group is ended only if its model
            // is at least as well supplied afterwards, or hosts would go from one to the other.
            let is_fair = supply(other, others.saturating_sub(1)) >= supply(model, own + 1);
            other != model
                && group.phase == GroupPhase::Open
                && !group.is_cross_domain
                && free + gained >= wanted.group_size
                && is_fair
        };
        self.groups
            .iter()
            .find(is_useful)
            .map(|group| group.id.clone())
    }
}
