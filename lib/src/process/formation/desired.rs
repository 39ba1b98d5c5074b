//! Forms the desired groups.

use std::time::Duration;
use std::time::Instant;

use super::controller::FormationController;
use super::controller::ServicePlan;
use super::controller::largest_first;
use super::group::Group;
use super::host_tracker::HostTracker;
use super::host_tracker::TrackedHost;
use super::packing::DomainHosts;
use super::packing::HostCapabilities;
use super::packing::ModelSet;
use super::packing::Packing;
use super::packing::pack_domains;
use super::selection::select_members;
use super::selection::select_members_across_domains;
use crate::ids::FabricDomainId;
use crate::ids::HostId;
use crate::ids::WeightsId;
use crate::sorted::SortedVec;
use crate::version::routes::ModelProfile;

/// How long no new host must have been listed before the first groups are formed. Hosts that start
/// together register within some seconds.
const SETTLE_TIME: Duration = Duration::from_millis(600);
/// A cross-domain group is formed for the least supplied model if another model has at least this
/// many times its supply. A cross-domain group is slower by about the same factor.
const SCARCE_FACTOR: f64 = 2.0;
/// How long a model must have been scarce before a cross-domain group is formed for it.
const CROSS_DOMAIN_WAIT: Duration = Duration::from_millis(2_000);

/// Which hosts outside of serving groups a packing uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PackingScope {
    /// Hosts that can join without reading weights from the weight store.
    Ready,
    /// Hosts that can join without reading weights, hosts that are reading weights, and hosts that
    /// hold no weights and may read any.
    Loading,
}

impl FormationController {
    pub(super) fn form_desired_groups(&mut self, tracker: &HostTracker, now: Instant) {
        let mut plans = std::mem::take(&mut self.plans);
        for plan in plans.iter_mut() {
            if !self.has_settled(plan, tracker, now) {
                continue;
            }
            let scope = if self.is_before_traffic {
                PackingScope::Loading
            } else {
                PackingScope::Ready
            };
            plan.packing = self.pack(plan, scope, |_| false, tracker, now);
            self.form_in_domains(plan, tracker, now);
            self.rebalance_groups(plan, tracker, now);
            self.form_for_scarce_model(plan, tracker, now);
            self.replace_cross_domain_group(plan, tracker, now);
            plan.packing = self.pack(plan, PackingScope::Loading, |_| false, tracker, now);
            self.assign_warm_spares(plan, tracker, now);
        }
        self.plans = plans;
    }

    /// Returns whether no new host has been listed for some time, or the service already has
    /// groups.
    fn has_settled(&self, plan: &ServicePlan, tracker: &HostTracker, now: Instant) -> bool {
        let has_groups = self
            .groups
            .iter()
            .any(|group| group.service == plan.service);
        let listed = tracker
            .iter()
            .filter(|tracked| tracked.record.service == plan.service && tracked.is_listed(now));
        let newest = listed.map(|tracked| tracked.first_listed_at).max();
        let is_past = |at: Instant| now.saturating_duration_since(at) >= SETTLE_TIME;
        newest.is_some_and(|at| has_groups || is_past(at))
    }

    /// Computes the desired groups, including the active ones. Members of groups for which
    /// `is_released` returns true count as unassigned hosts.
    pub(super) fn pack<F>(
        &self,
        plan: &ServicePlan,
        scope: PackingScope,
        is_released: F,
        tracker: &HostTracker,
        now: Instant,
    ) -> Packing
    where
        F: Fn(&Group) -> bool,
    {
        let models = &plan.profile.models;
        let mut domains: SortedVec<DomainHosts> = SortedVec::new();
        for tracked in tracker.iter() {
            let is_up = tracked.is_usable(now) || tracked.is_up_unlisted(now);
            let is_counted = tracked.record.service == plan.service && is_up;
            let Some(domain) = tracked.record.domain.as_ref().filter(|_| is_counted) else {
                continue;
            };
            let domain = domains.get_or_insert_with(domain, || DomainHosts::new(domain.clone(), 0));
            let group = self.group_of(&tracked.record.host);
            let is_assigned = group.is_some_and(|group| {
                let is_released = is_released(group) && !group.is_evacuated;
                !group.is_warm_spare && group.is_active() && !is_released
            });
            if is_assigned || tracked.is_in_doubt() {
                continue;
            }
            let capabilities = self.capabilities(plan, scope, group, tracked);
            if !capabilities.joinable.is_empty() {
                domain.unassigned.push(capabilities);
            }
        }
        for domain in domains.iter_mut() {
            domain.groups.resize(models.len(), 0);
        }
        // One pass over the groups: there may be dozens of domains and more than a hundred groups.
        for group in self.groups.iter().filter(|group| !is_released(group)) {
            let is_counted = group.service == plan.service && group.is_active_in_domain();
            let domain = group.domain.as_ref().filter(|_| is_counted);
            let domain = domain.and_then(|domain| domains.get_mut(domain));
            let model = models.iter().position(|m| m.weights == group.weights);
            if let Some((domain, model)) = domain.zip(model) {
                domain.groups[model] += 1;
            }
        }
        let domains: Vec<DomainHosts> = domains.iter().cloned().collect();
        pack_domains(models, &plan.shares, &domains)
    }

    /// Returns the models whose groups a host can join.
    fn capabilities(
        &self,
        plan: &ServicePlan,
        scope: PackingScope,
        group: Option<&Group>,
        tracked: &TrackedHost,
    ) -> HostCapabilities {
        let models = || plan.profile.models.iter().enumerate();
        let models_with = |weights: &WeightsId| -> ModelSet {
            let same = models().filter(|(_, model)| model.weights == *weights);
            same.map(|(index, _)| index).collect()
        };
        if let Some(loading) = group.filter(|group| group.is_warm_spare && group.loads > 0) {
            let loaded = models_with(&loading.weights);
            return match scope {
                PackingScope::Ready => HostCapabilities::default(),
                PackingScope::Loading => HostCapabilities {
                    joinable: loaded,
                    eviction_free: loaded,
                },
            };
        }
        let held = models().filter(|(_, model)| !self.time_to_join(tracked, model).1);
        let held: ModelSet = held.map(|(index, _)| index).collect();
        if held.is_empty() && scope == PackingScope::Loading {
            return HostCapabilities::ANY;
        }
        let last = self.last_weights_of(tracked).map(models_with);
        HostCapabilities {
            joinable: held,
            eviction_free: last.unwrap_or(held),
        }
    }

    fn form_in_domains(&mut self, plan: &mut ServicePlan, tracker: &HostTracker, now: Instant) {
        let models = plan.profile.models.clone();
        let domains: Vec<FabricDomainId> = plan
            .packing
            .domains
            .iter()
            .map(|d| d.domain.clone())
            .collect();
        loop {
            let mut has_formed = false;
            for domain in &domains {
                // Larger groups are formed first; smaller ones fit into the remaining hosts.
                for model in largest_first(&models) {
                    if self.is_satisfied(plan, domain, model)
                        || self.is_reserved_for_other(domain, &models[model].weights)
                    {
                        continue;
                    }
                    has_formed |= self.form_in_domain(plan, domain, model, tracker, now);
                }
            }
            if !has_formed {
                break;
            }
        }
    }

    pub(super) fn is_satisfied(
        &self,
        plan: &ServicePlan,
        domain: &FabricDomainId,
        model: usize,
    ) -> bool {
        let weights = &plan.profile.models[model].weights;
        self.active_domain_groups(plan, domain, weights).count()
            >= plan.packing.desired(domain, model)
    }

    /// Returns whether a group of the domain is being ended for a model with other weights. That
    /// model's new group also needs the hosts of the domain that are already free.
    fn is_reserved_for_other(&self, domain: &FabricDomainId, weights: &WeightsId) -> bool {
        self.groups.iter().any(|group| {
            let reserved = group.hosts_reserved_for.as_ref();
            group.domain.as_ref() == Some(domain)
                && !group.is_evacuated
                && reserved.is_some_and(|w| w != weights)
        })
    }

    /// Forms one group of a model in a domain if enough suitable hosts are free, and returns whether
    /// it did.
    fn form_in_domain(
        &mut self,
        plan: &mut ServicePlan,
        domain: &FabricDomainId,
        model: usize,
        tracker: &HostTracker,
        now: Instant,
    ) -> bool {
        let is_least_supplied = self.supply(plan).is_least(model);
        let model = &plan.profile.models[model].clone();
        let mut candidates = self.candidates_in_domain(plan, domain, model, tracker, now);
        if !is_least_supplied {
            candidates.retain(|candidate| candidate.is_eviction_free);
        }
        let loads_max = self.loads_available(plan, now);
        let selected = select_members(&candidates, domain, model.group_size, loads_max);
        let Some(selection) = selected else {
            return false;
        };
        // A host that loads weights would keep the other members idle. It loads as a warm spare
        // first and joins a group later.
        if selection.loads > 0 && !self.is_before_traffic {
            return false;
        }
        self.form_group(plan, Some(domain.clone()), model, selection, tracker, now);
        true
    }

    /// Forms a cross-domain group for a model that has been scarce for some time, if no domain has
    /// enough hosts for one of its groups.
    fn form_for_scarce_model(
        &mut self,
        plan: &mut ServicePlan,
        tracker: &HostTracker,
        now: Instant,
    ) {
        let supply = self.supply(plan);
        let order = supply.least_first();
        let (Some(least), Some(best)) = (order.first().copied(), order.last()) else {
            return;
        };
        let domains = plan.packing.domains.iter();
        let mut domains = domains.map(|desired| &desired.domain);
        let is_being_formed = domains.any(|domain| !self.is_satisfied(plan, domain, least));
        let hosts = supply.hosts().get(least).copied().unwrap_or_default();
        // A model with room needs no slow group, for which the domains would lack spares.
        let is_scarce = supply.of_model(least) * SCARCE_FACTOR <= supply.of_model(*best)
            && !plan.needs.has_room(least, hosts);
        if !is_scarce || is_being_formed || self.has_reserved_hosts(plan) {
            plan.shortage_since = None;
            return;
        }
        let since = *plan.shortage_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= CROSS_DOMAIN_WAIT {
            let model = plan.profile.models[least].clone();
            self.form_cross_domain_group(plan, &model, tracker, now);
        }
    }

    pub(super) fn has_reserved_hosts(&self, plan: &ServicePlan) -> bool {
        let mut own = self
            .groups
            .iter()
            .filter(|group| group.service == plan.service);
        own.any(|group| group.hosts_reserved_for.is_some() && !group.is_evacuated)
    }

    /// Forms a group of hosts that are unassigned in several domains.
    fn form_cross_domain_group(
        &mut self,
        plan: &mut ServicePlan,
        model: &ModelProfile,
        tracker: &HostTracker,
        now: Instant,
    ) {
        let candidates = self.candidates(plan, model, tracker, now);
        let Some(selection) = select_members_across_domains(&candidates, model.group_size) else {
            return;
        };
        let domain_of = |host: &HostId| tracker.get(host)?.record.domain.clone();
        let mut domains: Vec<FabricDomainId> =
            selection.members.iter().filter_map(domain_of).collect();
        domains.sort();
        let count = |domain: &FabricDomainId| domains.iter().filter(|d| *d == domain).count();
        let domain = domains.iter().max_by_key(|domain| count(domain)).cloned();
        self.form_group(plan, domain, model, selection, tracker, now);
    }
}
