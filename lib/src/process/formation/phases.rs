//! Advances each group through the phases of its life cycle.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::controller::FormationAction;
use super::controller::FormationController;
use super::controller::ReportCall;
use super::group::Group;
use super::group::GroupMember;
use super::group::GroupPhase;
use super::host_tracker::HostTracker;
use super::host_tracker::Liveness;
use super::host_tracker::TrackedHost;
use super::join_check::JoinCheck;
use super::order_count::OrderCall;
use crate::ids::HostId;
use crate::ids::WeightsId;
use crate::target::record::Availability;
use crate::target::record::CloseMode;
use crate::target::record::GroupOrder;
use crate::target::record::MemberState;

/// How long a member that the registry dropped may go without a report of its own before it counts
/// as lost.
const UNLISTED_REPORT_WAIT: Duration = Duration::from_millis(900);
/// How long a host that the registry dropped is polled for whether it is still up.
const UNLISTED_POLL_TIME: Duration = Duration::from_secs(15);
/// How long after its due time a join may take to appear in a member's record. Records arrive
/// within some tens of milliseconds.
const JOIN_RECORD_WAIT: Duration = Duration::from_millis(150);
/// How long a closing group may finish its work before it is released. A draining member stays up
/// for about as long.
const FINISH_TIMEOUT: Duration = Duration::from_secs(8);

/// Because of draining members other than leaders, at most the desired number of a model's groups
/// divided by this, but at least one, finish at the same time.
const FINISHING_DIVISOR: usize = 6;

/// The status of a member in its group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum MemberStatus {
    /// The host has not yet executed the order to join.
    Pending,
    /// The host is in the group, in this state.
    Joined(MemberState),
    /// The host is in the group, in this state, and is draining.
    Draining(MemberState),
    /// The host was in the group and is now in no group or another one.
    LeftGroup,
    /// The host's process ended, it does not answer, or the registry dropped it. A dropped member
    /// that is not the leader counts as lost only without a recent report of its own.
    Lost,
}

impl FormationController {
    pub(super) fn advance(
        &mut self,
        group: &mut Group,
        tracker: &HostTracker,
        finishing: &[WeightsId],
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        for member in &mut group.members {
            let membership = tracker.get(&member.host).and_then(TrackedHost::membership);
            if membership.is_some_and(|m| m.group == group.id) {
                member.has_joined = true;
            }
        }
        let statuses: Vec<MemberStatus> = group
            .members
            .iter()
            .map(|member| self.member_status(group, member, tracker, now))
            .collect();
        let leader = statuses.first().copied().unwrap_or(MemberStatus::Lost);
        let is_lost = |s: &MemberStatus| {
            matches!(
                s,
                MemberStatus::Lost
                    | MemberStatus::LeftGroup
                    | MemberStatus::Joined(MemberState::Broken)
            )
        };
        let any_lost = statuses.iter().any(is_lost);
        let any_draining = statuses
            .iter()
            .any(|s| matches!(s, MemberStatus::Draining(_)));
        match group.phase {
            GroupPhase::Forming { deadline } => {
                let all_ready = statuses
                    .iter()
                    .all(|s| *s == MemberStatus::Joined(MemberState::Ready));
                let is_taken = self.is_any_member_taken(group, tracker);
                if any_lost
                    || any_draining
                    || is_taken
                    || now > deadline
                    || (all_ready && group.is_warm_spare)
                {
                    // A group that was never ordered to open has no leader that serves.
                    group.is_leader_stopped = true;
                    group.enter(GroupPhase::Ended, now);
                } else if all_ready {
                    group.enter(GroupPhase::Opening, now);
                    self.order_open(group, tracker, now, actions);
                } else {
                    self.order_joins(group, &statuses, tracker, now, actions);
                    self.poll_pending_joins(group, &statuses, tracker, now, actions);
                }
            }
            GroupPhase::Opening => {
                if any_lost || any_draining {
                    self.release(group, tracker, now, actions);
                } else if leader == MemberStatus::Joined(MemberState::Open) {
                    group.enter(GroupPhase::Open, now);
                } else {
                    self.order_open(group, tracker, now, actions);
                }
            }
            GroupPhase::Open => {
                let is_open = matches!(
                    leader,
                    MemberStatus::Joined(MemberState::Open)
                        | MemberStatus::Draining(MemberState::Open)
                );
                if any_lost || !is_open {
                    self.release(group, tracker, now, actions);
                } else if any_draining && self.can_finish_now(group, leader, finishing) {
                    group.enter(GroupPhase::Finishing, now);
                    self.finish(group, tracker, now, actions);
                } else {
                    self.poll_members_in_doubt(group, tracker, now, actions);
                }
            }
            GroupPhase::Finishing => {
                let is_overdue = now.saturating_duration_since(group.phase_since) > FINISH_TIMEOUT;
                if any_lost || is_overdue || self.has_finished(group, leader, tracker) {
                    self.release(group, tracker, now, actions);
                } else {
                    self.finish(group, tracker, now, actions);
                }
            }
            GroupPhase::Releasing => {
                let is_whole = !any_lost && leader == MemberStatus::Joined(MemberState::Open);
                if is_whole && !group.may_have_received_leave && group.close_accepted_at.is_none() {
                    // The member that seemed lost was only cut off for a while.
                    group.enter(GroupPhase::Open, now);
                } else {
                    self.release(group, tracker, now, actions);
                }
            }
            GroupPhase::Ended => {}
        }
    }

    /// Returns whether a group with a draining member may start to finish now.
    ///
    /// A draining member stays for some seconds while its group has work. If many groups have one
    /// at the same time, some keep serving while the others are replaced. A leader that drains gets
    /// no new requests, so its group finishes at once.
    fn can_finish_now(&self, group: &Group, leader: MemberStatus, finishing: &[WeightsId]) -> bool {
        if matches!(leader, MemberStatus::Draining(_)) {
            return true;
        }
        let plan = self.plans.get(&group.service);
        let model = plan.and_then(|plan| {
            let mut models = plan.profile.models.iter();
            models.position(|model| model.weights == group.weights)
        });
        let desired = plan.zip(model);
        let desired = desired.map_or(0, |(plan, model)| plan.packing.desired_total(model));
        let finishing_count = finishing.iter().filter(|w| **w == group.weights).count();
        finishing_count < (desired / FINISHING_DIVISOR).max(1)
    }

    fn finish(
        &mut self,
        group: &Group,
        tracker: &HostTracker,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        if group.close_accepted_at.is_none() {
            let order = GroupOrder::Close {
                group: group.id.clone(),
                epoch: group.epoch,
                mode: CloseMode::Finish,
            };
            self.order_leader(group, order, tracker, now, actions);
        }
        self.poll_members_in_doubt(group, tracker, now, actions);
    }

    /// Returns whether a record that is newer than the accepted order to close shows the leader as
    /// closed.
    fn has_finished(&self, group: &Group, leader: MemberStatus, tracker: &HostTracker) -> bool {
        let is_closed = matches!(
            leader,
            MemberStatus::Joined(MemberState::Ready) | MemberStatus::Draining(MemberState::Ready)
        );
        let record_received_at = group
            .leader()
            .and_then(|leader| tracker.get(&leader.host))
            .map(TrackedHost::record_received_at);
        let is_newer = group
            .close_accepted_at
            .is_some_and(|at| record_received_at.is_some_and(|r| r > at));
        is_closed && is_newer
    }

    fn order_open(
        &mut self,
        group: &mut Group,
        tracker: &HostTracker,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        group.may_have_served = true;
        let order = GroupOrder::Open {
            group: group.id.clone(),
            epoch: group.epoch,
        };
        self.order_leader(group, order, tracker, now, actions);
    }

    /// Orders the leader to leave until it has left or its process has ended. A leader that can't
    /// be reached may still be serving, so each other member is ordered to leave as well.
    fn release(
        &mut self,
        group: &mut Group,
        tracker: &HostTracker,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        if group.phase != GroupPhase::Releasing {
            group.enter(GroupPhase::Releasing, now);
        }
        let Some(leader) = group.leader().cloned() else {
            self.release_members(group, tracker, now, actions);
            return;
        };
        let leader_status = self.member_status(group, &leader, tracker, now);
        // A new process under the same name may have executed a late order to join this group.
        let has_new_incarnation = tracker.get(&leader.host).is_some_and(|tracked| {
            let has_joined_group = tracked.membership().is_some_and(|m| m.group == group.id);
            let is_new = tracked.record.incarnation != leader.incarnation;
            (is_new && !has_joined_group) || tracked.liveness == Liveness::Replaced
        });
        let is_leader_stopped = has_new_incarnation
            || matches!(
                leader_status,
                MemberStatus::Joined(MemberState::Broken) | MemberStatus::LeftGroup
            );
        if is_leader_stopped {
            group.is_leader_stopped = true;
            group.enter(GroupPhase::Ended, now);
            return;
        }
        if leader_status == MemberStatus::Lost {
            self.release_members(group, tracker, now, actions);
        }
        self.push_leave(group, &leader, tracker, now, actions);
        self.request_report(&leader, now, actions);
    }

    fn release_members(
        &mut self,
        group: &mut Group,
        tracker: &HostTracker,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        let mut all_left = true;
        let leader = group.leader().map(|leader| leader.host.clone());
        for index in 0..group.members.len() {
            let member = group.members[index].clone();
            if Some(&member.host) == leader.as_ref() || member.has_left {
                continue;
            }
            match self.member_status(group, &member, tracker, now) {
                MemberStatus::Lost => {}
                MemberStatus::LeftGroup => group.members[index].has_left = true,
                _ => {
                    all_left = false;
                    group.may_have_received_leave = true;
                    self.push_leave(group, &member, tracker, now, actions);
                }
            }
        }
        if all_left {
            group.enter(GroupPhase::Ended, now);
        }
    }

    fn push_leave(
        &mut self,
        group: &Group,
        member: &GroupMember,
        tracker: &HostTracker,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        let order = GroupOrder::Leave {
            group: group.id.clone(),
            epoch: group.epoch,
        };
        self.push_order(member, order, tracker, now, actions);
    }

    fn member_status(
        &self,
        group: &Group,
        member: &GroupMember,
        tracker: &HostTracker,
        now: Instant,
    ) -> MemberStatus {
        let Some(tracked) = tracker.get(&member.host) else {
            return MemberStatus::Lost;
        };
        if tracked.record.incarnation != member.incarnation {
            return MemberStatus::Lost;
        }
        if tracked.is_lost(self.settings.report_misses) {
            return MemberStatus::Lost;
        }
        let is_leader = group
            .leader()
            .is_some_and(|leader| leader.host == member.host);
        if !tracked.is_listed(now) && !self.is_confirmed_by_report(tracked, is_leader, now) {
            return MemberStatus::Lost;
        }
        match tracked.membership() {
            Some(membership) if membership.group == group.id => match tracked.availability() {
                Availability::Ready => MemberStatus::Joined(membership.state),
                Availability::Draining => MemberStatus::Draining(membership.state),
            },
            _ if member.has_joined => self.status_after_join(group, now),
            _ => MemberStatus::Pending,
        }
    }

    /// Returns the status of a member that has joined, but whose record or report does not show it in
    /// the group. An accepted join appears in the host's record with some delay.
    fn status_after_join(&self, group: &Group, now: Instant) -> MemberStatus {
        let is_forming = matches!(group.phase, GroupPhase::Forming { .. });
        let is_recent =
            now.saturating_duration_since(group.phase_since) < self.settings.forming_slack;
        if is_forming && is_recent {
            MemberStatus::Pending
        } else {
            MemberStatus::LeftGroup
        }
    }

    /// Returns whether a member that the registry dropped counts as up. It may be cut off from the
    /// registry only, so its group continues while the member itself reports. A leader gets no new
    /// requests without the registry and is not kept.
    fn is_confirmed_by_report(&self, tracked: &TrackedHost, is_leader: bool, now: Instant) -> bool {
        if is_leader {
            return false;
        }
        let unlisted_from = tracked.unlisted_from;
        let is_recent = unlisted_from
            .is_some_and(|at| now.saturating_duration_since(at) < UNLISTED_REPORT_WAIT);
        is_recent || tracked.is_up_unlisted(now)
    }

    /// Requests reports from members that are in doubt.
    fn poll_members_in_doubt(
        &mut self,
        group: &Group,
        tracker: &HostTracker,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        self.stalled.retain(|(_, until)| now < *until);
        let leader = group.leader().map(|leader| &leader.host);
        let is_stalled = self.stalled.iter().any(|(host, _)| Some(host) == leader);
        for member in &group.members {
            let tracked = tracker.get(&member.host);
            let is_in_doubt = tracked.is_some_and(|tracked| {
                !tracked.is_listed(now) || tracked.liveness != Liveness::Alive
            });
            if is_stalled || is_in_doubt {
                self.request_report(member, now, actions);
            }
        }
    }

    /// Requests reports from members that have accepted a join which their records do not show. A
    /// host that is cut off from the registry can only report its state directly.
    fn poll_pending_joins(
        &mut self,
        group: &Group,
        statuses: &[MemberStatus],
        tracker: &HostTracker,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        let elapsed = now.saturating_duration_since(group.phase_since);
        let is_late = elapsed > group.expected_ready_in + JOIN_RECORD_WAIT;
        for (member, member_status) in group.members.iter().zip(statuses) {
            let is_ready = *member_status == MemberStatus::Joined(MemberState::Ready);
            let tracked = tracker.get(&member.host);
            let is_unlisted = tracked.is_some_and(|tracked| !tracked.is_listed(now));
            if !is_ready && member.has_joined && (is_late || is_unlisted) {
                self.request_report(member, now, actions);
            }
        }
    }

    /// Requests reports from hosts in no group whose records are not current: lost hosts, which may
    /// have been cut off for a while, and hosts that the registry has recently dropped.
    pub(super) fn request_lost_host_reports(
        &mut self,
        tracker: &HostTracker,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        for tracked in tracker.iter() {
            let record = &tracked.record;
            let is_lost = tracked.is_lost(self.settings.report_misses);
            let is_unlisted = tracked
                .unlisted_from
                .is_some_and(|at| now.saturating_duration_since(at) < UNLISTED_POLL_TIME);
            let is_in_doubt = (tracked.is_usable(now) && is_lost) || is_unlisted;
            let is_asked = is_in_doubt && !tracked.is_evacuated && self.can_form_groups(tracked);
            if !is_asked || self.group_of(&record.host).is_some() {
                continue;
            }
            let extra_interval = if is_lost {
                self.settings.lost_report_extra_interval
            } else {
                Duration::ZERO
            };
            let last = self
                .report_calls
                .get(&record.host)
                .map(|last| last.next_allowed_at);
            let is_due = last.is_none_or(|at| at.is_some_and(|at| now >= at + extra_interval));
            if is_due {
                self.push_report(&record.host, record.address, actions);
            }
        }
    }

    fn request_report(
        &mut self,
        member: &GroupMember,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        let last = self.report_calls.get(&member.host);
        let is_due = last.is_none_or(|last| last.next_allowed_at.is_some_and(|at| now >= at));
        if is_due {
            self.push_report(&member.host, member.address, actions);
        }
    }

    /// Requests a report from a host that is to join a group, at once if an order to it has ended
    /// since its last report.
    fn request_confirmation(
        &mut self,
        member: &GroupMember,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        let report_call = self.report_calls.get(&member.host);
        let order_call = self.order_calls.get(&member.host);
        let reported_at = report_call.and_then(|call| call.ended_at);
        let ordered_at = order_call.and_then(|call| call.ended_at);
        let is_outdated = reported_at
            .zip(ordered_at)
            .is_some_and(|(reported_at, ordered_at)| ordered_at >= reported_at);
        if is_outdated {
            self.push_report(&member.host, member.address, actions);
        } else {
            self.request_report(member, now, actions);
        }
    }

    fn push_report(
        &mut self,
        host: &HostId,
        address: SocketAddr,
        actions: &mut Vec<FormationAction>,
    ) {
        self.report_calls.insert(ReportCall {
            host: host.clone(),
            next_allowed_at: None,
            ended_at: None,
        });
        actions.push(FormationAction::Report {
            host: host.clone(),
            address,
        });
    }

    fn order_joins(
        &mut self,
        group: &Group,
        statuses: &[MemberStatus],
        tracker: &HostTracker,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        // Once the leader of an old group has joined this group, a late order to open the old group
        // has no effect. So old leaders join first.
        let is_old_leader = |member: &GroupMember| {
            let membership = tracker.get(&member.host).and_then(TrackedHost::membership);
            membership.is_some_and(|m| m.rank == 0 && m.group != group.id)
        };
        let with_status = || group.members.iter().zip(statuses);
        let pending = with_status().filter(|(_, s)| **s == MemberStatus::Pending);
        let must_wait_for_leaders = pending
            .clone()
            .any(|(m, _)| !m.has_joined && is_old_leader(m));
        for (member, _) in pending {
            if must_wait_for_leaders && !is_old_leader(member) {
                continue;
            }
            let order = GroupOrder::Join {
                group: group.id.clone(),
                epoch: group.epoch,
                weights: group.weights.clone(),
                members: group.members.iter().map(|m| m.host.clone()).collect(),
            };
            match self.check_join(group, member, tracker) {
                JoinCheck::Free => {
                    self.push_order(member, order, tracker, now, actions);
                }
                JoinCheck::Leaves { group, epoch } => {
                    let order = GroupOrder::Leave { group, epoch };
                    self.push_order(member, order, tracker, now, actions);
                }
                JoinCheck::Unconfirmed => self.request_confirmation(member, now, actions),
                JoinCheck::Taken => {}
            }
        }
    }

    fn order_leader(
        &mut self,
        group: &Group,
        order: GroupOrder,
        tracker: &HostTracker,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        if let Some(leader) = group.leader() {
            self.push_order(leader, order, tracker, now, actions);
        }
    }

    /// Sends an order if it is due, and requests a report first if the host's number of orders is not
    /// known. Returns whether the order is sent.
    pub(super) fn push_order(
        &mut self,
        member: &GroupMember,
        order: GroupOrder,
        tracker: &HostTracker,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) -> bool {
        let is_due = self.order_calls.get(&member.host).is_none_or(|last| {
            // A new order waits only for the answer to the previous one. A repetition of the same
            // order also waits for the retry delay.
            last.next_allowed_at
                .is_some_and(|at| now >= at || last.order != order)
        });
        if !is_due {
            return false;
        }
        if self.must_report_before_order(member, tracker) {
            self.request_confirmation(member, now, actions);
            return false;
        }
        let expected_orders = self.expected_orders(member, tracker);
        let leaves_group = match &order {
            GroupOrder::Leave { group, .. } => {
                self.was_in_group(member, group, expected_orders, tracker)
            }
            _ => false,
        };
        self.order_calls.insert(OrderCall {
            host: member.host.clone(),
            incarnation: member.incarnation,
            order: order.clone(),
            expected_orders,
            next_allowed_at: None,
            ended_at: None,
            leaves_group,
            is_count_unknown: false,
        });
        let is_expected = self.settings.expects_order_counts;
        actions.push(FormationAction::Order {
            host: member.host.clone(),
            address: member.address,
            order,
            expected_orders: expected_orders.filter(|_| is_expected),
        });
        true
    }
}
