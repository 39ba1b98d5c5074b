//! Says why hosts that are ready serve in no group.

use std::time::Instant;

use derive_more::Display;

use super::controller::FormationController;
use super::controller::ServicePlan;
use super::host_tracker::HostTracker;
use super::host_tracker::TrackedHost;
use crate::ids::FabricDomainId;
use crate::ids::HostId;
use crate::ids::ServiceId;

/// Why a host that is ready is in no group that serves or is being formed.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum WaitReason {
    /// Calls to the host failed.
    #[display("in_doubt")]
    InDoubt,
    /// Its group is being ended.
    #[display("group_ends")]
    GroupEnds,
    /// It reports a group that is not known to have stopped serving.
    #[display("other_group")]
    OtherGroup,
    /// It reads weights from the weight store.
    #[display("loading")]
    Loading,
    /// It holds no weights, and the weight store's limits leave no room for a load.
    #[display("no_load")]
    NoLoad,
    /// Its domain has no group of a model that it holds, and too few free hosts for one.
    #[display("few_members")]
    FewMembers,
    /// The free hosts of its domain are kept for a group of another model.
    #[display("reserved")]
    Reserved,
    /// Its domain has groups of a model that it holds, and it stands by for their members.
    #[display("spare")]
    Spare,
}

impl WaitReason {
    /// All reasons.
    pub const ALL: [Self; 8] = [
        Self::InDoubt,
        Self::GroupEnds,
        Self::OtherGroup,
        Self::Loading,
        Self::NoLoad,
        Self::FewMembers,
        Self::Reserved,
        Self::Spare,
    ];
}

/// A host that is ready and in no group that serves or is being formed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitingHost {
    /// The host.
    pub host: HostId,
    /// The host's service.
    pub service: ServiceId,
    /// Why the host waits.
    pub reason: WaitReason,
}

/// The free hosts of a domain that hold the weights of a model, given by its position in the
/// service's profile.
struct HeldWeights<'a> {
    domain: &'a FabricDomainId,
    model: usize,
}

impl FormationController {
    /// Returns the hosts that are ready and in no group that serves or is being formed, by name.
    pub fn waiting_hosts(&self, tracker: &HostTracker, now: Instant) -> Vec<WaitingHost> {
        let plans = self.plans.iter();
        let waiting = plans.flat_map(|plan| self.waiting_hosts_of(plan, tracker, now));
        let mut waiting: Vec<WaitingHost> = waiting.collect();
        waiting.sort_by(|a, b| a.host.cmp(&b.host));
        waiting
    }

    fn waiting_hosts_of(
        &self,
        plan: &ServicePlan,
        tracker: &HostTracker,
        now: Instant,
    ) -> Vec<WaitingHost> {
        let is_waiting = |tracked: &&TrackedHost| {
            let group = self.group_of(&tracked.record.host);
            tracked.record.service == plan.service
                && tracked.is_usable(now)
                && group.is_none_or(|group| group.is_warm_spare || !group.is_active())
        };
        let waiting: Vec<&TrackedHost> = tracker.iter().filter(is_waiting).collect();
        let mut held: Vec<HeldWeights> = Vec::new();
        for tracked in &waiting {
            let is_free = self.is_free(plan, tracked, now);
            let Some(domain) = tracked.record.domain.as_ref().filter(|_| is_free) else {
                continue;
            };
            let models = self.held_models(plan, tracked).into_iter();
            held.extend(models.map(|model| HeldWeights { domain, model }));
        }
        let waiting = waiting.into_iter().map(|tracked| WaitingHost {
            host: tracked.record.host.clone(),
            service: plan.service.clone(),
            reason: self.wait_reason(plan, tracked, &held, now),
        });
        waiting.collect()
    }

    fn wait_reason(
        &self,
        plan: &ServicePlan,
        tracked: &TrackedHost,
        held: &[HeldWeights],
        now: Instant,
    ) -> WaitReason {
        if tracked.is_in_doubt() {
            return WaitReason::InDoubt;
        }
        if let Some(group) = self.group_of(&tracked.record.host) {
            return if group.is_warm_spare {
                WaitReason::Loading
            } else {
                WaitReason::GroupEnds
            };
        }
        if !self.is_free(plan, tracked, now) {
            return WaitReason::OtherGroup;
        }
        let models = self.held_models(plan, tracked);
        let Some(domain) = tracked.record.domain.as_ref() else {
            return WaitReason::FewMembers;
        };
        if models.is_empty() {
            return WaitReason::NoLoad;
        }
        let has_enough = |model: &usize| {
            let same = held.iter();
            let same = same.filter(|held| held.domain == domain && held.model == *model);
            same.count() >= plan.profile.models[*model].group_size
        };
        let backs_up = |model: &usize| {
            let weights = &plan.profile.models[*model].weights;
            self.active_domain_groups(plan, domain, weights)
                .next()
                .is_some()
        };
        if !models.iter().any(has_enough) && !models.iter().any(backs_up) {
            return WaitReason::FewMembers;
        }
        let is_reserved = self.groups.iter().any(|group| {
            group.hosts_reserved_for.is_some() && group.domain.as_ref() == Some(domain)
        });
        if is_reserved {
            WaitReason::Reserved
        } else {
            WaitReason::Spare
        }
    }

    /// Returns the models whose groups a host can join without a load, by their positions.
    fn held_models(&self, plan: &ServicePlan, tracked: &TrackedHost) -> Vec<usize> {
        let models = plan.profile.models.iter().enumerate();
        let held = models.filter(|(_, model)| !self.time_to_join(tracked, model).1);
        held.map(|(position, _)| position).collect()
    }
}
