//! Determines which hosts are free, and forms groups of them.

use std::time::Duration;
use std::time::Instant;

use super::controller::FormationController;
use super::controller::ServicePlan;
use super::controller::group_id;
use super::controller::is_warm_spare_id;
use super::controller::member_list;
use super::group::Group;
use super::group::GroupMember;
use super::group::GroupPhase;
use super::host_tracker::HostTracker;
use super::host_tracker::TrackedHost;
use super::selection::Candidate;
use super::selection::MemberSelection;
use crate::ids::Epoch;
use crate::ids::FabricDomainId;
use crate::ids::HostId;
use crate::ids::WeightsId;
use crate::version::routes::ModelProfile;

/// The number of join epochs per lease epoch: the epoch of a join is the lease's epoch times this
/// number, plus a counter.
const JOINS_PER_LEASE_EPOCH: u64 = 1_000_000;
/// How long a host takes to join a group with the weights of its last group.
const REJOIN_TIME: Duration = Duration::from_millis(200);
/// How long a host that the registry listed again is not ordered into another group. The leader of
/// its current group may be listed again a moment later.
const RELISTED_HOLD_TIME: Duration = Duration::from_millis(2_500);

impl FormationController {
    pub(super) fn loads_available(&self, plan: &mut ServicePlan, now: Instant) -> usize {
        if self.is_before_traffic {
            usize::MAX
        } else {
            plan.load_limiter.available(now)
        }
    }

    /// Returns the hosts that are free to join a group of a model.
    pub(super) fn candidates(
        &self,
        plan: &ServicePlan,
        model: &ModelProfile,
        tracker: &HostTracker,
        now: Instant,
    ) -> Vec<Candidate> {
        self.candidates_among(plan, model, tracker.iter(), now)
    }

    /// Returns the hosts of a domain that are free to join a group of a model.
    pub(super) fn candidates_in_domain(
        &self,
        plan: &ServicePlan,
        domain: &FabricDomainId,
        model: &ModelProfile,
        tracker: &HostTracker,
        now: Instant,
    ) -> Vec<Candidate> {
        let of_domain = tracker.iter();
        let of_domain = of_domain.filter(|tracked| tracked.record.domain.as_ref() == Some(domain));
        self.candidates_among(plan, model, of_domain, now)
    }

    fn candidates_among<'a, I>(
        &self,
        plan: &ServicePlan,
        model: &ModelProfile,
        hosts: I,
        now: Instant,
    ) -> Vec<Candidate>
    where
        I: Iterator<Item = &'a TrackedHost>,
    {
        let free = hosts.filter(|tracked| self.is_free(plan, tracked, now));
        let candidate = |tracked: &TrackedHost| {
            let domain = tracked.record.domain.clone()?;
            let (ready_in, needs_load) = self.time_to_join(tracked, model);
            Some(Candidate {
                host: tracked.record.host.clone(),
                domain,
                ready_in,
                needs_load,
                is_eviction_free: self
                    .last_weights_of(tracked)
                    .is_none_or(|last| *last == model.weights),
                is_listed: tracked.is_listed(now),
            })
        };
        free.filter_map(candidate).collect()
    }

    /// Returns how long a host is expected to take to join a group of a model, and whether it has to
    /// read the weights from the weight store.
    pub(super) fn time_to_join(
        &self,
        tracked: &TrackedHost,
        model: &ModelProfile,
    ) -> (Duration, bool) {
        if self.last_weights_of(tracked) == Some(&model.weights) {
            (REJOIN_TIME, false)
        } else if tracked.record.staged.contains(&model.weights) {
            (model.warm_time, false)
        } else {
            (model.load_time, true)
        }
    }

    /// Returns the weights of the last group that a host has been in since its start.
    pub(super) fn last_weights_of(&self, tracked: &TrackedHost) -> Option<&WeightsId> {
        let record = &tracked.record;
        let last = self.last_weights.get(&record.host);
        let last = last.filter(|last| last.incarnation == record.incarnation);
        last.map(|last| &last.weights)
    }

    /// Returns the group that a host must not be ordered out of.
    pub(super) fn group_of(&self, host: &HostId) -> Option<&Group> {
        self.groups.of_host(host)
    }

    /// Returns whether a host can be ordered into a group without breaking up the one that it is
    /// in.
    pub(super) fn is_free(&self, plan: &ServicePlan, tracked: &TrackedHost, now: Instant) -> bool {
        let record = &tracked.record;
        if record.service != plan.service
            || !(tracked.is_usable(now) || tracked.is_up_unlisted(now))
            || tracked.is_in_doubt()
            || self.group_of(&record.host).is_some()
            || self.has_confirmed_other_group(tracked)
        {
            return false;
        }
        let Some(membership) = tracked.membership() else {
            return true;
        };
        if is_warm_spare_id(&membership.group) {
            // Warm spare groups are never opened, so they end without an order to leave.
            return true;
        }
        let ended = self.ended.get(&membership.group);
        ended.is_some_and(|ended| ended.has_stopped_serving(tracked))
            && !self.is_recently_relisted(tracked, now)
    }

    /// Returns whether a host was listed again so recently that other hosts may not be listed again
    /// yet.
    pub(super) fn is_recently_relisted(&self, tracked: &TrackedHost, now: Instant) -> bool {
        let relisted_at = tracked.relisted_at;
        relisted_at.is_some_and(|at| now.saturating_duration_since(at) < RELISTED_HOLD_TIME)
    }

    pub(super) fn form_group(
        &mut self,
        plan: &mut ServicePlan,
        domain: Option<FabricDomainId>,
        model: &ModelProfile,
        selection: MemberSelection,
        tracker: &HostTracker,
        now: Instant,
    ) {
        let is_warm_spare = selection.members.len() < model.group_size;
        self.join_count += 1;
        let epoch =
            Epoch(self.lease_epoch.0.saturating_mul(JOINS_PER_LEASE_EPOCH) + self.join_count);
        let Some(id) = group_id(epoch, is_warm_spare) else {
            return;
        };
        if !self.is_before_traffic {
            plan.load_limiter.on_started(selection.loads, now);
        }
        let member = |host: &HostId| {
            let tracked = tracker.get(host)?;
            Some(GroupMember {
                host: host.clone(),
                incarnation: tracked.record.incarnation,
                address: tracked.record.address,
                has_joined: false,
                has_left: false,
            })
        };
        let members: Vec<GroupMember> = selection.members.iter().filter_map(member).collect();
        log::info!(
            group:% = id, epoch:% = epoch, service:% = plan.service, weights:% = model.weights,
            domain:? = domain.as_ref().map(FabricDomainId::as_str),
            is_cross_domain = selection.is_cross_domain, loads = selection.loads,
            ready_in_ms = selection.ready_in.as_millis() as u64,
            members:% = member_list(&selection.members);
            "group is formed"
        );
        let deadline = now + selection.ready_in + self.settings.forming_slack;
        self.groups.insert(Group {
            id,
            epoch,
            service: plan.service.clone(),
            weights: model.weights.clone(),
            domain,
            members,
            has_leader: true,
            is_leader_stopped: false,
            is_cross_domain: selection.is_cross_domain,
            may_have_served: false,
            is_warm_spare,
            phase: GroupPhase::Forming { deadline },
            phase_since: now,
            may_have_received_leave: false,
            close_accepted_at: None,
            expected_ready_in: selection.ready_in,
            loads: selection.loads,
            hosts_reserved_for: None,
            is_evacuated: false,
        });
    }
}
