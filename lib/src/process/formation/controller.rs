//! The controller that compares the current groups with the desired ones.

use std::time::Duration;
use std::time::Instant;

use super::group::Group;
use super::group::GroupPhase;
use super::group::Groups;
use super::host_tracker::HostTracker;
use super::host_tracker::TrackedHost;
use super::join_check::JoinedHost;
use super::load_limiter::LoadRateLimiter;
use super::order_count::OrderCall;
use super::order_count::OrderCount;
use super::packing::Packing;
use super::settings::FormationSettings;
use crate::ids::Epoch;
use crate::ids::GroupId;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::ServiceId;
use crate::ids::WeightsId;
use crate::process::demand::WorkNeeds;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::target::record::CallError;
use crate::target::record::GroupOrder;
use crate::target::record::MemberState;
use crate::target::record::OrderAnswer;
use crate::version::routes::EngineProfile;
use crate::version::routes::ModelProfile;

/// How long the members of a group are polled after its leader was reported as stalled.
const STALL_WATCH_TIME: Duration = Duration::from_millis(1_500);

/// What the controller asks its caller to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FormationAction {
    /// Send an order to a host, then call [`FormationController::on_answer`].
    Order {
        /// The name of the host.
        host: HostId,
        /// The host's control address, from the registry.
        address: std::net::SocketAddr,
        /// The order to send.
        order: GroupOrder,
        /// The number of orders that the host must have accepted to execute this one; `None` if the host
        /// does not count them.
        expected_orders: Option<u64>,
    },
    /// Request a report from a host, pass it to [`HostTracker::on_report`], then call
    /// [`FormationController::on_report_done`].
    Report {
        /// The name of the host.
        host: HostId,
        /// The host's control address, from the registry.
        address: std::net::SocketAddr,
    },
}

/// The weights of the last group that a host was in.
#[derive(Clone, Debug)]
pub(super) struct LastWeights {
    pub(super) host: HostId,
    pub(super) incarnation: Incarnation,
    pub(super) weights: WeightsId,
}

impl Keyed for LastWeights {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.host
    }
}

/// The last request for a host's report. `next_allowed_at` is `None` while the call is unanswered, then
/// the earliest time at which it may be repeated.
#[derive(Clone, Debug)]
pub(super) struct ReportCall {
    pub(super) host: HostId,
    pub(super) next_allowed_at: Option<Instant>,
    /// When the call was answered or failed; `None` while it is unanswered.
    pub(super) ended_at: Option<Instant>,
}

impl Keyed for ReportCall {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.host
    }
}

/// A group that was ended and is no longer tracked.
#[derive(Clone, Debug)]
pub(super) struct EndedGroup {
    pub(super) group: GroupId,
    pub(super) is_leader_stopped: bool,
    /// Whether the group may ever have served; see [`Group::may_have_served`].
    pub(super) may_have_served: bool,
    pub(super) ended_at: Instant,
}

impl EndedGroup {
    /// Returns whether the group's leader has stopped serving, as far as its member `tracked`
    /// shows. An order that arrives late can make a host serve in a group that has already ended,
    /// especially a host that was restarted under the same name and knows no later epoch.
    pub(super) fn has_stopped_serving(&self, tracked: &TrackedHost) -> bool {
        let is_serving_leader = tracked.membership().is_some_and(|membership| {
            membership.rank == 0
                && matches!(membership.state, MemberState::Open | MemberState::Closing)
        });
        self.is_leader_stopped && !(is_serving_leader && tracked.membership_at() > self.ended_at)
    }
}

impl Keyed for EndedGroup {
    type Key = GroupId;

    fn key(&self) -> &GroupId {
        &self.group
    }
}

/// The desired state of one service.
#[derive(Clone, Debug)]
pub(super) struct ServicePlan {
    pub(super) service: ServiceId,
    pub(super) profile: EngineProfile,
    /// Each model's share of the work, in the order of the profile's models.
    pub(super) shares: Vec<f64>,
    /// What the models need, as far as it is known.
    pub(super) needs: WorkNeeds,
    pub(super) packing: Packing,
    pub(super) load_limiter: LoadRateLimiter,
    /// Since when a clearly better division of the hosts has been possible.
    pub(super) rebalance_possible_since: Option<Instant>,
    /// Since when a model has had a much lower supply than another one while no domain had enough
    /// hosts for one of its groups.
    pub(super) shortage_since: Option<Instant>,
}

impl Keyed for ServicePlan {
    type Key = ServiceId;

    fn key(&self) -> &ServiceId {
        &self.service
    }
}

/// Forms, opens, closes and repairs the groups of all services while this entry holds the lease.
#[derive(Clone, Debug)]
pub struct FormationController {
    pub(super) settings: FormationSettings,
    pub(super) lease_epoch: Epoch,
    /// When the lease was acquired with this epoch.
    pub(super) acquired_at: Instant,
    pub(super) join_count: u64,
    pub(super) groups: Groups,
    pub(super) ended: SortedVec<EndedGroup>,
    pub(super) plans: SortedVec<ServicePlan>,
    pub(super) last_weights: SortedVec<LastWeights>,
    pub(super) order_calls: SortedVec<OrderCall>,
    pub(super) report_calls: SortedVec<ReportCall>,
    pub(super) order_counts: SortedVec<OrderCount>,
    pub(super) joined_hosts: SortedVec<JoinedHost>,
    /// The leaders whose streams were reported as stalled, and when the polling of their groups
    /// ends.
    pub(super) stalled: Vec<(HostId, Instant)>,
    /// Whether no request has come yet; until then loads do not count against the weight store's
    /// rate limit.
    pub(super) is_before_traffic: bool,
    pub(super) staging: SortedVec<StagingOrder>,
}

/// An order to a host to stage weights, that is, to read them from the weight store and keep them.
#[derive(Clone, Debug)]
pub(super) struct StagingOrder {
    pub(super) host: HostId,
    pub(super) incarnation: Incarnation,
    pub(super) weights: WeightsId,
    /// When the order stops counting as in progress if the host's record has not shown its
    /// completion.
    pub(super) expires_at: Instant,
}

impl Keyed for StagingOrder {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.host
    }
}

impl FormationController {
    /// Creates the controller of an entry that has acquired the lease with `lease_epoch` at
    /// `acquired_at`.
    pub fn new(settings: FormationSettings, lease_epoch: Epoch, acquired_at: Instant) -> Self {
        Self {
            settings,
            lease_epoch,
            acquired_at,
            join_count: 0,
            groups: Groups::default(),
            ended: SortedVec::new(),
            plans: SortedVec::new(),
            last_weights: SortedVec::new(),
            order_calls: SortedVec::new(),
            report_calls: SortedVec::new(),
            order_counts: SortedVec::new(),
            joined_hosts: SortedVec::new(),
            stalled: Vec::new(),
            is_before_traffic: false,
            staging: SortedVec::new(),
        }
    }

    /// Sets whether requests are still to come. Until the first request, the weight store does not
    /// count loads.
    pub fn set_before_traffic(&mut self, is_before_traffic: bool) {
        self.is_before_traffic = is_before_traffic;
    }

    /// Adds or updates a service. The models' shares of the work are set to the expected shares in
    /// the profile when the service is new or its number of models changes.
    pub fn on_profile(&mut self, service: &ServiceId, profile: &EngineProfile, now: Instant) {
        let window = self.settings.load_window;
        let plan = self.plans.get_or_insert_with(service, || ServicePlan {
            service: service.clone(),
            profile: profile.clone(),
            shares: Vec::new(),
            needs: WorkNeeds::default(),
            packing: Packing::default(),
            load_limiter: LoadRateLimiter::new_exhausted(window, profile.loads_per_s, now),
            rebalance_possible_since: None,
            shortage_since: None,
        });
        if plan.profile != *profile {
            plan.profile = profile.clone();
        }
        if plan.shares.len() != profile.models.len() {
            plan.shares = profile.models.iter().map(|m| m.expected_share).collect();
            plan.needs = WorkNeeds::default();
        }
    }

    /// Sets the shares of the work of a service's models, in the order of its profile, and what the
    /// models need. They only steer later decisions: no group changes its phase because of them here.
    pub fn set_work_shares(&mut self, service: &ServiceId, shares: &[f64], needs: &WorkNeeds) {
        let known = self.plans.get_mut(service);
        if let Some(plan) = known.filter(|plan| plan.shares.len() == shares.len()) {
            plan.shares = shares.to_vec();
            plan.needs = needs.clone();
        }
    }

    /// Returns the hosts in groups of each model of a service, in the order of its profile. Those of a
    /// slow group count as fewer.
    pub fn hosts_in_groups(&self, service: &ServiceId) -> Vec<f64> {
        let plan = self.plans.get(service);
        plan.map_or(Vec::new(), |plan| self.supply(plan).hosts())
    }

    /// Handles a report that a leader's streams have stalled, as seen by the entries that read
    /// them.
    pub fn on_stall(&mut self, leader: &HostId, now: Instant) {
        self.stalled.retain(|(host, _)| host != leader);
        self.stalled.push((leader.clone(), now + STALL_WATCH_TIME));
    }

    /// Returns the groups that have not ended, sorted by name.
    pub fn groups(&self) -> std::slice::Iter<'_, Group> {
        self.groups.iter()
    }

    /// Handles the answer to an order, or its failure.
    pub fn on_answer(
        &mut self,
        host: &HostId,
        order: &GroupOrder,
        answer: &Result<OrderAnswer, CallError>,
        now: Instant,
    ) {
        let retry = match answer {
            Ok(answer) if answer.is_accepted() => self.settings.order_retry,
            Ok(_) => self.settings.conflict_retry,
            Err(_) => Duration::ZERO,
        };
        if let Some(call) = self.order_calls.get_mut(host) {
            call.next_allowed_at = Some(now + retry);
            call.ended_at = Some(now);
        }
        self.count_order(host, answer);
        self.record_join_answer(host, order, answer);
        let group = match order {
            GroupOrder::Join { group, .. }
            | GroupOrder::Open { group, .. }
            | GroupOrder::Close { group, .. }
            | GroupOrder::Leave { group, .. } => group,
            GroupOrder::Stage { .. } => {
                if !matches!(
                    answer,
                    Ok(OrderAnswer::Accepted | OrderAnswer::Done) | Err(CallError::InDoubt { .. })
                ) {
                    self.staging.remove(host);
                }
                return;
            }
        };
        let Some(group) = self.groups.get_mut(group) else {
            return;
        };
        match (order, answer) {
            (GroupOrder::Join { .. }, Ok(answer)) if answer.is_accepted() => {
                if let Some(member) = group.members.iter_mut().find(|m| m.host == *host) {
                    member.has_joined = true;
                }
            }
            (
                GroupOrder::Join { .. },
                Ok(OrderAnswer::Superseded | OrderAnswer::WrongTarget | OrderAnswer::Invalid),
            ) if matches!(group.phase, GroupPhase::Forming { .. }) => {
                group.is_leader_stopped = true;
                group.enter(GroupPhase::Ended, now);
            }
            (GroupOrder::Close { .. }, Ok(answer)) if answer.is_accepted() => {
                group.close_accepted_at = Some(now);
            }
            (GroupOrder::Leave { .. }, Err(CallError::InDoubt { .. })) => {
                group.may_have_received_leave = true;
            }
            // A host that has joined another group, or another process at its address, is not in
            // this group.
            (
                GroupOrder::Leave { .. },
                Ok(
                    OrderAnswer::Accepted
                    | OrderAnswer::Done
                    | OrderAnswer::Superseded
                    | OrderAnswer::WrongTarget,
                ),
            ) => {
                group.may_have_received_leave = true;
                let is_leader = group.leader().is_some_and(|leader| leader.host == *host);
                if let Some(member) = group.members.iter_mut().find(|m| m.host == *host) {
                    member.has_left = true;
                }
                if is_leader && group.phase == GroupPhase::Releasing {
                    group.is_leader_stopped = true;
                    group.enter(GroupPhase::Ended, now);
                }
            }
            _ => {}
        }
    }

    /// Handles the end of a call for a report, answered or not. The tracker must already have it.
    pub fn on_report_done(&mut self, host: &HostId, now: Instant) {
        self.report_calls.insert(ReportCall {
            host: host.clone(),
            next_allowed_at: Some(now + self.settings.report_interval),
            ended_at: Some(now),
        });
    }

    /// Updates all groups and returns the orders to send and reports to request now.
    pub fn poll(&mut self, tracker: &HostTracker, now: Instant) -> Vec<FormationAction> {
        let mut actions = Vec::new();
        self.take_over_groups(tracker, now);
        self.record_last_weights(tracker);
        let mut groups = std::mem::take(&mut self.groups);
        for group in groups.iter_mut() {
            group.update_evacuated(tracker);
        }
        let is_finishing =
            |group: &&Group| group.phase == GroupPhase::Finishing && !group.is_evacuated;
        let finishing = groups.iter().filter(is_finishing);
        let mut finishing: Vec<WeightsId> = finishing.map(|g| g.weights.clone()).collect();
        for group in groups.iter_mut().filter(|group| !group.is_evacuated) {
            let was_open = group.phase == GroupPhase::Open;
            self.advance(group, tracker, &finishing, now, &mut actions);
            if was_open && group.phase == GroupPhase::Finishing {
                finishing.push(group.weights.clone());
            }
        }
        self.groups = groups;
        self.remove_ended(now);
        self.form_desired_groups(tracker, now);
        let mut groups = std::mem::take(&mut self.groups);
        for group in groups.iter_mut() {
            if matches!(group.phase, GroupPhase::Forming { .. }) && !group.is_evacuated {
                self.advance(group, tracker, &finishing, now, &mut actions);
            }
        }
        self.groups = groups;
        self.stage_second_weights(tracker, now, &mut actions);
        self.request_lost_host_reports(tracker, now, &mut actions);
        actions
    }

    fn take_over_groups(&mut self, tracker: &HostTracker, now: Instant) {
        let is_known = |tracked: &TrackedHost, id: &GroupId| {
            let has_stopped_serving = self
                .ended
                .get(id)
                .is_some_and(|ended| ended.has_stopped_serving(tracked));
            has_stopped_serving || self.groups.contains(id)
        };
        let is_reachable = |tracked: &TrackedHost| {
            tracked.is_listed(now) && !tracked.is_lost(self.settings.report_misses)
        };
        let is_recently_relisted = |tracked: &TrackedHost| self.is_recently_relisted(tracked, now);
        let hosts = tracker
            .iter()
            .filter(|tracked| self.can_form_groups(tracked));
        let hosts: Vec<&TrackedHost> = hosts.collect();
        let unknown =
            super::takeover::unknown_groups(&hosts, is_known, is_reachable, is_recently_relisted);
        for reported in unknown {
            let group = reported.into_group(&self.plans, now);
            log::info!(
                group:% = group.id, epoch:% = group.epoch, phase:% = group.phase,
                members = group.members.len();
                "group of an earlier lease holder is taken over"
            );
            self.groups.insert(group);
        }
    }

    /// Returns whether a host can be in a group. One of another service can't, whatever its record says.
    pub(super) fn can_form_groups(&self, tracked: &TrackedHost) -> bool {
        self.plans.contains_key(&tracked.record.service)
    }

    /// Records the weights of each host's last group.
    fn record_last_weights(&mut self, tracker: &HostTracker) {
        for tracked in tracker.iter() {
            let record = &tracked.record;
            let membership = record.membership.as_ref();
            let has_joined_group = membership.is_none_or(|m| m.state != MemberState::Joining);
            let [weights] = record.weights.as_slice() else {
                continue;
            };
            let is_known = self.last_weights.get(&record.host).is_some_and(|last| {
                last.incarnation == record.incarnation && last.weights == *weights
            });
            if has_joined_group && !is_known {
                self.last_weights.insert(LastWeights {
                    host: record.host.clone(),
                    incarnation: record.incarnation,
                    weights: weights.clone(),
                });
            }
        }
    }

    fn remove_ended(&mut self, now: Instant) {
        for group in self.groups.remove_ended() {
            self.ended.insert(EndedGroup {
                group: group.id,
                is_leader_stopped: group.is_leader_stopped,
                may_have_served: group.may_have_served,
                ended_at: now,
            });
        }
    }
}

pub(super) fn largest_first(models: &[ModelProfile]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..models.len()).collect();
    order.sort_by_key(|model| std::cmp::Reverse(models[*model].group_size));
    order
}

/// The first letter of the names of warm spare groups.
const WARM_SPARE_PREFIX: char = 'w';

/// Returns whether the group is a warm spare, by its name; see [`Group::is_warm_spare`].
pub(super) fn is_warm_spare_id(group: &GroupId) -> bool {
    group.as_str().starts_with(WARM_SPARE_PREFIX)
}

pub(super) fn group_id(epoch: Epoch, is_warm_spare: bool) -> Option<GroupId> {
    let prefix = if is_warm_spare {
        WARM_SPARE_PREFIX
    } else {
        'g'
    };
    // Letters and digits always form a valid identifier.
    format!("{prefix}{}", epoch.0).parse().ok()
}

pub(super) fn member_list(members: &[HostId]) -> String {
    let names: Vec<&str> = members.iter().map(HostId::as_str).collect();
    names.join(",")
}
