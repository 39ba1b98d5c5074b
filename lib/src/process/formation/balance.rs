//! Ends groups whose hosts are needed more elsewhere.

use std::time::Duration;
use std::time::Instant;

use super::controller::FormationController;
use super::controller::ServicePlan;
use super::desired::PackingScope;
use super::group::Group;
use super::group::GroupPhase;
use super::host_tracker::HostTracker;
use super::packing::DesiredGroups;
use super::packing::Packing;
use super::supply::Supply;
use crate::ids::FabricDomainId;
use crate::ids::GroupId;
use crate::ids::WeightsId;

/// How long a better division must have been possible before groups are ended for it.
const REBALANCE_DELAY: Duration = Duration::from_millis(500);

impl FormationController {
    /// Ends one group that spans several domains if more groups can be formed without it. Such a
    /// group is slow and uses hosts that its domains lack.
    pub(super) fn replace_cross_domain_group(
        &mut self,
        plan: &mut ServicePlan,
        tracker: &HostTracker,
        now: Instant,
    ) {
        let is_changing = self.groups.iter().any(|group| {
            group.service == plan.service
                && !group.is_warm_spare
                && !group.is_evacuated
                && group.phase != GroupPhase::Open
        });
        if is_changing {
            return;
        }
        let desired = plan.packing.total_all_models();
        let replaceable = self.groups.iter().find(|group| {
            let is_own = group.service == plan.service && group.phase == GroupPhase::Open;
            is_own
                && group.is_cross_domain
                && !group.is_evacuated
                && self
                    .pack(
                        plan,
                        PackingScope::Ready,
                        |g| g.id == group.id,
                        tracker,
                        now,
                    )
                    .total_all_models()
                    > desired
        });
        let Some(id) = replaceable.map(|group| group.id.clone()) else {
            return;
        };
        if let Some(group) = self.groups.get_mut(&id) {
            log::info!(
                group:% = id;
                "cross-domain group is ended; more groups can be formed without it"
            );
            group.enter(GroupPhase::Finishing, now);
        }
    }

    /// Returns the active groups of a model whose members are all in one domain.
    pub(super) fn active_domain_groups(
        &self,
        plan: &ServicePlan,
        domain: &FabricDomainId,
        weights: &WeightsId,
    ) -> impl Iterator<Item = &Group> {
        self.groups.iter().filter(move |group| {
            group.service == plan.service
                && group.weights == *weights
                && group.domain.as_ref() == Some(domain)
                && group.is_active_in_domain()
        })
    }

    /// Ends groups of one domain if its hosts can be divided better.
    ///
    /// Divisions are compared by the lowest supply. Groups formed one by one, as hosts were lost
    /// and added, can leave a model with fewer groups than the hosts allow. Rebalancing costs the
    /// hosts some seconds and their other weights, so it requires a clear gain that lasts.
    pub(super) fn rebalance_groups(
        &mut self,
        plan: &mut ServicePlan,
        tracker: &HostTracker,
        now: Instant,
    ) {
        let is_open = |group: &Group| group.phase == GroupPhase::Open;
        let rebalanced = self.pack(plan, PackingScope::Ready, is_open, tracker, now);
        let mut current = self.cross_domain_supply(plan);
        current.add_packing(&plan.packing);
        let mut achievable = Supply::new(&plan.profile.models, &plan.shares);
        achievable.add_packing(&rebalanced);
        if !achievable.exceeds_by_min_gain(&current)
            || self.has_reserved_hosts(plan)
            || !(self.is_before_traffic || self.is_worthwhile(plan, &rebalanced, &current))
        {
            plan.rebalance_possible_since = None;
            return;
        }
        let since = *plan.rebalance_possible_since.get_or_insert(now);
        if now.saturating_duration_since(since) < REBALANCE_DELAY {
            return;
        }
        plan.rebalance_possible_since = None;
        let Some((domain, model)) = self.missing_group(plan, &rebalanced) else {
            return;
        };
        let weights = &plan.profile.models[model].weights;
        for (index, other) in plan.profile.models.iter().enumerate() {
            let desired = plan.packing.desired(&domain, index);
            let surplus = desired.saturating_sub(rebalanced.desired(&domain, index));
            let open = self.active_domain_groups(plan, &domain, &other.weights);
            let open = open.filter(|group| is_open(group)).take(surplus);
            let ended: Vec<GroupId> = open.map(|group| group.id.clone()).collect();
            for id in ended {
                self.end_for_other_model(&id, weights, now);
            }
        }
    }

    /// Returns whether the groups that would be ended next, those of one domain, are needed more for
    /// another model, by the work that arrives.
    fn is_worthwhile(&self, plan: &ServicePlan, better: &Packing, current: &Supply) -> bool {
        let Some((domain, _)) = self.missing_group(plan, better) else {
            return false;
        };
        let before = current.hosts();
        let mut after = before.clone();
        let mut moved = 0.0;
        for (index, model) in plan.profile.models.iter().enumerate() {
            let desired = plan.packing.desired(&domain, index) as f64;
            let change = better.desired(&domain, index) as f64 - desired;
            let hosts = change * model.group_size as f64;
            after[index] += hosts;
            moved += (-hosts).max(0.0);
        }
        plan.needs.is_worthwhile(&before, &after, moved)
    }

    /// Returns a domain and a model for which `better` has more groups than the current packing.
    fn missing_group(
        &self,
        plan: &ServicePlan,
        better: &Packing,
    ) -> Option<(FabricDomainId, usize)> {
        let supply = self.supply(plan);
        let mut missing = supply.least_first().into_iter().filter_map(|model| {
            let has_more = |desired: &&DesiredGroups| {
                let count = desired.counts.get(model).copied().unwrap_or_default();
                count > plan.packing.desired(&desired.domain, model)
            };
            let domain = better.domains.iter().find(has_more)?;
            Some((domain.domain.clone(), model))
        });
        missing.next()
    }

    fn end_for_other_model(&mut self, group: &GroupId, weights: &WeightsId, now: Instant) {
        if let Some(group) = self.groups.get_mut(group) {
            log::info!(
                group:% = group.id, weights:% = weights;
                "group is ended to free its hosts for another model"
            );
            group.hosts_reserved_for = Some(weights.clone());
            group.enter(GroupPhase::Finishing, now);
        }
    }

    /// Returns each model's supply from groups that span several domains, weighted by their lower
    /// speed.
    fn cross_domain_supply(&self, plan: &ServicePlan) -> Supply {
        let models = &plan.profile.models;
        let mut supply = Supply::new(models, &plan.shares);
        let cross_domain_groups = self.groups.iter().filter(|group| {
            group.service == plan.service
                && group.is_cross_domain
                && !group.is_evacuated
                && group.is_active()
        });
        for group in cross_domain_groups {
            if let Some(model) = models.iter().position(|m| m.weights == group.weights) {
                supply.add(model, plan.profile.cross_domain_factor.max(1.0).recip());
            }
        }
        supply
    }

    /// Returns each model's supply from all active groups.
    pub(super) fn supply(&self, plan: &ServicePlan) -> Supply {
        let models = &plan.profile.models;
        let mut supply = self.cross_domain_supply(plan);
        let domain_groups = self
            .groups
            .iter()
            .filter(|group| group.service == plan.service && group.is_active_in_domain());
        for group in domain_groups {
            if let Some(model) = models.iter().position(|m| m.weights == group.weights) {
                supply.add(model, 1.0);
            }
        }
        supply
    }
}
