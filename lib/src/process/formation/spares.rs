//! Keeps weights on hosts without a group, so that they can repair the groups of their domain.

use std::time::Duration;
use std::time::Instant;

use super::controller::FormationAction;
use super::controller::FormationController;
use super::controller::ServicePlan;
use super::controller::StagingOrder;
use super::controller::is_warm_spare_id;
use super::group::Group;
use super::group::GroupMember;
use super::group::GroupPhase;
use super::host_tracker::HostTracker;
use super::host_tracker::Liveness;
use super::host_tracker::TrackedHost;
use super::selection::MemberSelection;
use crate::ids::FabricDomainId;
use crate::ids::WeightsId;
use crate::target::record::GroupOrder;
use crate::target::record::MemberState;
use crate::version::routes::ModelProfile;

/// The fraction, as a divisor, of the concurrent loads and of the load rate that staging leaves
/// free: a host without weights may arrive at any moment, and a group may be waiting for it.
const STAGING_RESERVE_DIVISOR: usize = 3;

/// How many times the model's load time a host may take to stage before the order is repeated.
/// Loads that an earlier lease holder ordered may slow it down.
const STAGING_TIMEOUT_FACTOR: u32 = 3;

/// The bounds within which the utilisation of a model's groups counts for its spares. Each model keeps
/// some, and one without any group does not get them all.
const SPARE_UTILISATION_MIN: f64 = 0.25;
const SPARE_UTILISATION_MAX: f64 = 2.0;

impl FormationController {
    /// Makes each spare join a group of its own, so that it holds the weights that the groups of
    /// its domain are most likely to need next.
    pub(super) fn assign_warm_spares(
        &mut self,
        plan: &mut ServicePlan,
        tracker: &HostTracker,
        now: Instant,
    ) {
        let models = plan.profile.models.clone();
        let Some(any_model) = models.first() else {
            return;
        };
        for spare in self.candidates(plan, any_model, tracker, now) {
            let Some(tracked) = tracker.get(&spare.host) else {
                continue;
            };
            if self.last_weights_of(tracked).is_some() {
                continue;
            }
            // A host that kept weights over a restart joins with those, so that other weights can
            // be staged in addition.
            let kept = models
                .iter()
                .find(|model| !self.time_to_join(tracked, model).1);
            let model = match kept {
                Some(kept) => kept,
                None if !self.has_room_for_loads(plan, tracker, 0, now) => continue,
                None => match self.most_needed_model(plan, &models, &spare.domain, tracker, now) {
                    Some(model) => model,
                    None => continue,
                },
            };
            let (ready_in, needs_load) = self.time_to_join(tracked, model);
            let selection = MemberSelection {
                members: vec![spare.host.clone()],
                ready_in,
                loads: usize::from(needs_load),
                is_cross_domain: false,
            };
            self.form_group(plan, None, model, selection, tracker, now);
        }
    }

    /// Orders hosts to keep the weights of a second model in addition to those of their last group,
    /// so that they can serve either after a warm start.
    ///
    /// A join evicts all weights but its own, so the second weights have to be staged again after
    /// it. Without them, a group could not be ended in favour of another model. Hosts without a
    /// group stage first. Before the first request, loads are fast and unlimited.
    pub(super) fn stage_second_weights(
        &mut self,
        tracker: &HostTracker,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        self.staging.retain(|order| {
            // A host that is draining, or that the registry has dropped, may continue its load.
            let is_in_progress = tracker.get(&order.host).is_some_and(|tracked| {
                tracked.record.incarnation == order.incarnation
                    && !tracked.record.staged.contains(&order.weights)
                    && !tracked.is_lost(self.settings.report_misses)
            });
            is_in_progress && now < order.expires_at
        });
        let mut plans = std::mem::take(&mut self.plans);
        for plan in plans.iter_mut() {
            if !self.can_stage(plan, tracker, now) {
                continue;
            }
            let unstaged = tracker.iter().filter_map(|tracked| {
                let is_own = tracked.record.service == plan.service && tracked.is_usable(now);
                let is_up = is_own && tracked.liveness == Liveness::Alive;
                let weights = self.weights_to_stage(plan, tracked).filter(|_| is_up)?;
                Some((tracked, weights))
            });
            let mut unstaged: Vec<(&TrackedHost, WeightsId)> = unstaged.collect();
            unstaged.sort_by_cached_key(|(tracked, _)| self.group_size_of(tracked));
            for (tracked, weights) in unstaged {
                if !self.can_stage(plan, tracker, now) {
                    break;
                }
                self.stage(plan, tracked, weights, tracker, now, actions);
            }
        }
        self.plans = plans;
    }

    /// Returns whether a host may stage now. Some loads are reserved for hosts without weights,
    /// since groups may be waiting for those.
    fn can_stage(&self, plan: &mut ServicePlan, tracker: &HostTracker, now: Instant) -> bool {
        let reserve = plan.profile.loads_at_once / STAGING_RESERVE_DIVISOR;
        let rate_reserve = plan.load_limiter.limit() / STAGING_RESERVE_DIVISOR;
        self.has_room_for_loads(plan, tracker, reserve, now)
            && self.loads_available(plan, now) > rate_reserve
    }

    /// Returns whether a load may start and leave room for `reserve` more: the weight store's rate
    /// limit is not used up, and few enough loads are in progress that they do not slow each other
    /// down.
    fn has_room_for_loads(
        &self,
        plan: &mut ServicePlan,
        tracker: &HostTracker,
        reserve: usize,
        now: Instant,
    ) -> bool {
        if self.is_before_traffic {
            return true;
        }
        let is_joining = |group: &&Group| match group.phase {
            // The hosts of an evacuated group go on with their loads, but nobody ends the group.
            GroupPhase::Forming { deadline } => !group.is_evacuated || now <= deadline,
            _ => false,
        };
        let own = self.groups.iter();
        let own = own.filter(|group| group.service == plan.service);
        let joining = own.filter(is_joining);
        let joining: usize = joining.map(|group| group.loads).sum();
        // An earlier lease holder may have ordered loads that are still in progress, and a host
        // that began to drain during a load continues it.
        let is_unknown_load = |tracked: &&TrackedHost| {
            let is_joining = tracked
                .membership()
                .is_some_and(|m| is_warm_spare_id(&m.group) && m.state == MemberState::Joining);
            let is_up = !tracked.is_lost(self.settings.report_misses);
            is_joining && is_up && self.group_of(&tracked.record.host).is_none()
        };
        let unknown = tracker.iter().filter(is_unknown_load).count();
        let loads = [joining, unknown, self.staging.len(), reserve];
        let total = loads.into_iter().fold(0, usize::saturating_add);
        total < plan.profile.loads_at_once && self.loads_available(plan, now) > 0
    }

    /// Returns the number of members of the host's group; 0 if it is in no group.
    fn group_size_of(&self, tracked: &TrackedHost) -> usize {
        let group = self.group_of(&tracked.record.host);
        group.map_or(0, |group| group.members.len())
    }

    /// Returns the weights of the largest model other than that of the host's last group. Returns
    /// `None` if the host holds or stages second weights already, has been in no group since its
    /// start, or is in a group that is not open. Before the first request, the group need not be open.
    fn weights_to_stage(&self, plan: &ServicePlan, tracked: &TrackedHost) -> Option<WeightsId> {
        let record = &tracked.record;
        let last = self.last_weights.get(&record.host)?;
        let is_in_progress = self.staging.contains_key(&record.host);
        let is_changing = self
            .group_of(&record.host)
            .is_some_and(|group| group.phase != GroupPhase::Open);
        if is_in_progress
            || last.incarnation != record.incarnation
            || (is_changing && !self.is_before_traffic)
            || record.staged.iter().any(|staged| *staged != last.weights)
        {
            return None;
        }
        let others = plan
            .profile
            .models
            .iter()
            .filter(|model| model.weights != last.weights);
        let largest = others.max_by_key(|model| model.group_size)?;
        Some(largest.weights.clone())
    }

    fn stage(
        &mut self,
        plan: &mut ServicePlan,
        tracked: &TrackedHost,
        weights: WeightsId,
        tracker: &HostTracker,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        let record = &tracked.record;
        let member = GroupMember {
            host: record.host.clone(),
            incarnation: record.incarnation,
            address: record.address,
            has_joined: false,
            has_left: false,
        };
        let order = GroupOrder::Stage {
            weights: weights.clone(),
        };
        if self.push_order(&member, order, tracker, now, actions) {
            if !self.is_before_traffic {
                plan.load_limiter.on_started(1, now);
            }
            let model = plan.profile.model(&weights);
            let load_time = model.map_or(Duration::ZERO, |model| model.load_time);
            self.staging.insert(StagingOrder {
                host: record.host.clone(),
                incarnation: record.incarnation,
                weights,
                expires_at: now + load_time * STAGING_TIMEOUT_FACTOR,
            });
        }
    }

    /// Returns the model for which a domain lacks a group; otherwise the model with the highest
    /// risk per spare. Of several missing groups, those of a model that is short of capacity are
    /// first, then the one that needs the fewest additional hosts, since it can serve soonest.
    fn most_needed_model<'a>(
        &self,
        plan: &ServicePlan,
        models: &'a [ModelProfile],
        domain: &FabricDomainId,
        tracker: &HostTracker,
        now: Instant,
    ) -> Option<&'a ModelProfile> {
        plan.packing.domains.get(domain)?;
        let spares = |model: &ModelProfile| {
            let is_spare = |tracked: &&TrackedHost| {
                tracked.record.domain.as_ref() == Some(domain)
                    && tracked.is_usable(now)
                    && self.is_spare_of(tracked, model)
            };
            tracker.iter().filter(is_spare).count()
        };
        let hosts = self.supply(plan).hosts();
        let hosts = |index: usize| hosts.get(index).copied().unwrap_or_default();
        let risk_per_spare = |index: usize, model: &ModelProfile| {
            let groups = plan.packing.desired(domain, index);
            // Weighted by the group size once more, since a lost member takes its whole group out
            // of service.
            let expected_loss = groups * model.group_size * model.group_size;
            // A lost group of a model with room costs its callers little.
            let utilisation = plan.needs.utilisation(index, hosts(index));
            let urgency = utilisation.map_or(1.0, |utilisation| {
                utilisation.clamp(SPARE_UTILISATION_MIN, SPARE_UTILISATION_MAX)
            });
            expected_loss as f64 * urgency / (1 + spares(model)) as f64
        };
        let indexed = models.iter().enumerate();
        let missing = indexed
            .clone()
            .filter(|(index, _)| !self.is_satisfied(plan, domain, *index));
        let most_complete = missing.min_by_key(|(index, model)| {
            let missing_hosts = model.group_size.saturating_sub(spares(model));
            let is_short = plan.needs.is_short(*index, hosts(*index));
            (
                !is_short,
                missing_hosts,
                std::cmp::Reverse(model.group_size),
            )
        });
        if let Some((_, model)) = most_complete {
            return Some(model);
        }
        let best = indexed
            .max_by(|(i, a), (j, b)| risk_per_spare(*i, a).total_cmp(&risk_per_spare(*j, b)));
        best.map(|(_, model)| model)
    }

    /// Returns whether a host is in no serving group and holds the weights or is loading them.
    fn is_spare_of(&self, tracked: &TrackedHost, model: &ModelProfile) -> bool {
        let host = &tracked.record.host;
        match self.group_of(host) {
            Some(group) => group.is_warm_spare && group.weights == model.weights,
            None => {
                let is_in_no_replica_group = tracked
                    .membership()
                    .is_none_or(|m| is_warm_spare_id(&m.group));
                is_in_no_replica_group && !self.time_to_join(tracked, model).1
            }
        }
    }
}
