//! How a group goes from its first order to its end.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::controller::FormationAction;
use super::controller::FormationController;
use super::controller::PendingCall;
use super::group::Group;
use super::group::GroupMember;
use super::group::GroupPhase;
use super::host_tracker::HostTracker;
use super::host_tracker::Liveness;
use super::host_tracker::TrackedHost;
use crate::ids::HostId;
use crate::ids::WeightsId;
use crate::target::record::Availability;
use crate::target::record::CloseMode;
use crate::target::record::GroupOrder;
use crate::target::record::MemberState;

/// How long a member that left the registry may go without an own report before it counts as lost.
const UNLISTED_REPORT_WAIT: Duration = Duration::from_millis(900);
/// How long a host that the registry dropped is asked whether it is still up.
const UNLISTED_POLL_TIME: Duration = Duration::from_secs(15);
/// How long after it is due a join may take to show in a member's record; records come within some
/// tens of milliseconds.
const JOIN_RECORD_WAIT: Duration = Duration::from_millis(150);
/// How long work may finish in a group that closes before it is cut off; a member that leaves
/// stays about as long.
const FINISH_TIMEOUT: Duration = Duration::from_secs(8);

/// Of so many groups of a model one may end at once because a member leaves.
const FINISHING_DIVISOR: usize = 6;

/// How a member stands to its group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum MemberStatus {
    /// The host has not taken the order yet.
    Pending,
    /// The host has its place, in this state.
    Joined(MemberState),
    /// The host has its place and is leaving the service.
    Draining(MemberState),
    /// The host was in place and is in no group or another one.
    LeftGroup,
    /// The host's process ended, or it answers nothing.
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
        let head = statuses.first().copied().unwrap_or(MemberStatus::Lost);
        let is_lost = |s: &MemberStatus| {
            matches!(
                s,
                MemberStatus::Lost
                    | MemberStatus::LeftGroup
                    | MemberStatus::Joined(MemberState::Broken)
            )
        };
        let any_lost = statuses.iter().any(is_lost);
        let any_leaving = statuses
            .iter()
            .any(|s| matches!(s, MemberStatus::Draining(_)));
        match group.phase {
            GroupPhase::Forming { until } => {
                let all_ready = statuses
                    .iter()
                    .all(|s| *s == MemberStatus::Joined(MemberState::Ready));
                if any_lost || any_leaving || now > until || (all_ready && group.is_warm_spare) {
                    // A group that was never ordered to open has no head that serves.
                    group.is_head_stopped = true;
                    group.enter(GroupPhase::Ended, now);
                } else if all_ready {
                    group.enter(GroupPhase::Opening, now);
                    self.advance_opening(group, now, actions);
                } else {
                    self.order_joins(group, &statuses, tracker, now, actions);
                    self.check_pending_joins(group, &statuses, tracker, now, actions);
                }
            }
            GroupPhase::Opening => {
                if any_lost || any_leaving {
                    self.release(group, tracker, now, actions);
                } else if head == MemberStatus::Joined(MemberState::Open) {
                    group.enter(GroupPhase::Open, now);
                } else {
                    self.advance_opening(group, now, actions);
                }
            }
            GroupPhase::Open => {
                let is_open = matches!(
                    head,
                    MemberStatus::Joined(MemberState::Open)
                        | MemberStatus::Draining(MemberState::Open)
                );
                if any_lost || !is_open {
                    self.release(group, tracker, now, actions);
                } else if any_leaving && self.can_finish_now(group, head, finishing) {
                    group.enter(GroupPhase::Finishing, now);
                    self.finish(group, tracker, now, actions);
                } else {
                    self.check_doubtful_members(group, tracker, now, actions);
                }
            }
            GroupPhase::Finishing => {
                let is_overdue = now.saturating_duration_since(group.phase_since) > FINISH_TIMEOUT;
                if any_lost || is_overdue || self.has_finished(group, head, tracker) {
                    self.release(group, tracker, now, actions);
                } else {
                    self.finish(group, tracker, now, actions);
                }
            }
            GroupPhase::Releasing => {
                let is_whole = !any_lost && head == MemberStatus::Joined(MemberState::Open);
                if is_whole && !group.may_have_received_leave && group.close_accepted_at.is_none() {
                    // What seemed lost was cut off for a while.
                    group.enter(GroupPhase::Open, now);
                } else {
                    self.release(group, tracker, now, actions);
                }
            }
            GroupPhase::Ended => {}
        }
    }

    /// Returns whether a group that a member is leaving ends now.
    ///
    /// A member stays for some seconds while its group has work, so of the groups that lose one at
    /// the same moment, some can serve on while the others are formed anew. A head that leaves gets
    /// no new work, so its group waits for nothing.
    fn can_finish_now(&self, group: &Group, head: MemberStatus, finishing: &[WeightsId]) -> bool {
        if matches!(head, MemberStatus::Draining(_)) {
            return true;
        }
        let plan = self.plans.get(&group.service);
        let model = plan.and_then(|plan| {
            let mut models = plan.sheet.models.iter();
            models.position(|model| model.weights == group.weights)
        });
        let desired = plan.zip(model);
        let desired = desired.map_or(0, |(plan, model)| plan.packing.total(model));
        let at_once = finishing.iter().filter(|w| **w == group.weights).count();
        at_once < (desired / FINISHING_DIVISOR).max(1)
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
            self.order_head(group, order, now, actions);
        }
        self.check_doubtful_members(group, tracker, now, actions);
    }

    /// Returns whether the head has closed since it was ordered to.
    fn has_finished(&self, group: &Group, head: MemberStatus, tracker: &HostTracker) -> bool {
        let is_closed = matches!(
            head,
            MemberStatus::Joined(MemberState::Ready) | MemberStatus::Draining(MemberState::Ready)
        );
        let record_received_at = group
            .head()
            .and_then(|head| tracker.get(&head.host))
            .map(TrackedHost::record_received_at);
        let is_newer = group
            .close_accepted_at
            .is_some_and(|at| record_received_at.is_some_and(|r| r > at));
        is_closed && is_newer
    }

    fn advance_opening(
        &mut self,
        group: &mut Group,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        let order = GroupOrder::Open {
            group: group.id.clone(),
            epoch: group.epoch,
        };
        self.order_head(group, order, now, actions);
    }

    /// Orders the head to leave, until it has or its process has ended. While the head can't be
    /// reached it may serve on, so each other member is ordered to leave for itself.
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
        let Some(head) = group.head().cloned() else {
            self.release_members(group, tracker, now, actions);
            return;
        };
        let member_status = self.member_status(group, &head, tracker, now);
        // A new life under the same name can have taken a late order to join.
        let has_new_incarnation = tracker.get(&head.host).is_some_and(|tracked| {
            let has_joined_group = tracked.membership().is_some_and(|m| m.group == group.id);
            let is_new = tracked.record.incarnation != head.incarnation;
            (is_new && !has_joined_group) || tracked.liveness == Liveness::Replaced
        });
        let is_head_gone = has_new_incarnation
            || matches!(
                member_status,
                MemberStatus::Joined(MemberState::Broken) | MemberStatus::LeftGroup
            );
        if is_head_gone {
            group.is_head_stopped = true;
            group.enter(GroupPhase::Ended, now);
            return;
        }
        if member_status == MemberStatus::Lost {
            self.release_members(group, tracker, now, actions);
        }
        self.push_leave(group, &head, now, actions);
        self.request_report(&head, now, actions);
    }

    fn release_members(
        &mut self,
        group: &mut Group,
        tracker: &HostTracker,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        let mut all_left = true;
        let head = group.head().map(|head| head.host.clone());
        for index in 0..group.members.len() {
            let member = group.members[index].clone();
            if Some(&member.host) == head.as_ref() || member.has_left {
                continue;
            }
            match self.member_status(group, &member, tracker, now) {
                MemberStatus::Lost => {}
                MemberStatus::LeftGroup => group.members[index].has_left = true,
                _ => {
                    all_left = false;
                    group.may_have_received_leave = true;
                    self.push_leave(group, &member, now, actions);
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
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        let order = GroupOrder::Leave {
            group: group.id.clone(),
            epoch: group.epoch,
        };
        self.push_order(member, order, now, actions);
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
        let is_head = group.head().is_some_and(|head| head.host == member.host);
        if !tracked.is_listed(now) && !self.is_confirmed_by_report(tracked, is_head, now) {
            return MemberStatus::Lost;
        }
        match tracked.membership() {
            Some(membership) if membership.group == group.id => match tracked.record.availability {
                Availability::Ready => MemberStatus::Joined(membership.state),
                Availability::Draining => MemberStatus::Draining(membership.state),
            },
            _ if member.has_joined => self.status_after_join(group, now),
            _ => MemberStatus::Pending,
        }
    }

    /// An accepted join shows in the host's record a moment later.
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

    /// A member that the registry dropped may be cut off from the registry only. Its group goes on
    /// while the member says so itself; a head gets no new work and is not kept.
    fn is_confirmed_by_report(&self, tracked: &TrackedHost, is_head: bool, now: Instant) -> bool {
        if is_head {
            return false;
        }
        let departed_at = tracked.unlisted_from;
        let is_recent =
            departed_at.is_some_and(|at| now.saturating_duration_since(at) < UNLISTED_REPORT_WAIT);
        is_recent || tracked.is_up_unlisted(now)
    }

    /// Asks for the reports of members that are in doubt.
    fn check_doubtful_members(
        &mut self,
        group: &Group,
        tracker: &HostTracker,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        self.stalled.retain(|(_, until)| now < *until);
        let head = group.head().map(|head| &head.host);
        let is_stalled = self.stalled.iter().any(|(host, _)| Some(host) == head);
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

    /// Asks for the reports of members whose records do not show the join that they have taken: one
    /// that is cut off from the registry tells only itself how far it is.
    fn check_pending_joins(
        &mut self,
        group: &Group,
        statuses: &[MemberStatus],
        tracker: &HostTracker,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        let taken_for = now.saturating_duration_since(group.phase_since);
        let is_late = taken_for > group.expected_ready_in + JOIN_RECORD_WAIT;
        for (member, member_status) in group.members.iter().zip(statuses) {
            let is_ready = *member_status == MemberStatus::Joined(MemberState::Ready);
            let tracked = tracker.get(&member.host);
            let is_unlisted = tracked.is_some_and(|tracked| !tracked.is_listed(now));
            if !is_ready && member.has_joined && (is_late || is_unlisted) {
                self.request_report(member, now, actions);
            }
        }
    }

    /// Asks for the reports of hosts that no group watches and whose records say nothing: lost ones
    /// that may have been cut off for a while, and those that the registry has just dropped.
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
            if !is_in_doubt || self.group_of(&record.host).is_some() {
                continue;
            }
            let pause = if is_lost {
                self.settings.lost_report_extra_interval
            } else {
                Duration::ZERO
            };
            let last = self
                .report_calls
                .get(&record.host)
                .map(|last| last.next_allowed_at);
            let is_due = last.is_none_or(|until| until.is_some_and(|until| now >= until + pause));
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

    fn push_report(
        &mut self,
        host: &HostId,
        address: SocketAddr,
        actions: &mut Vec<FormationAction>,
    ) {
        self.report_calls.insert(PendingCall {
            host: host.clone(),
            order: None,
            next_allowed_at: None,
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
        // A late order to open an old group can't take effect once its head has joined this one,
        // so old heads go first.
        let is_old_head = |member: &GroupMember| {
            let membership = tracker.get(&member.host).and_then(TrackedHost::membership);
            membership.is_some_and(|m| m.rank == 0 && m.group != group.id)
        };
        let waiting = || group.members.iter().zip(statuses);
        let pending = waiting().filter(|(_, s)| **s == MemberStatus::Pending);
        let must_wait_for_heads = pending
            .clone()
            .any(|(m, _)| !m.has_joined && is_old_head(m));
        for (member, _) in pending {
            if must_wait_for_heads && !is_old_head(member) {
                continue;
            }
            let order = GroupOrder::Join {
                group: group.id.clone(),
                epoch: group.epoch,
                weights: group.weights.clone(),
                members: group.members.iter().map(|m| m.host.clone()).collect(),
            };
            self.push_order(member, order, now, actions);
        }
    }

    fn order_head(
        &mut self,
        group: &Group,
        order: GroupOrder,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        if let Some(head) = group.head() {
            self.push_order(head, order, now, actions);
        }
    }

    pub(super) fn push_order(
        &mut self,
        member: &GroupMember,
        order: GroupOrder,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        let is_due = self.order_calls.get(&member.host).is_none_or(|last| {
            // An order waits for the answer to the one before; only its own repetition waits on.
            last.next_allowed_at
                .is_some_and(|until| now >= until || last.order.as_ref() != Some(&order))
        });
        if is_due {
            self.order_calls.insert(PendingCall {
                host: member.host.clone(),
                order: Some(order.clone()),
                next_allowed_at: None,
            });
            actions.push(FormationAction::Order {
                host: member.host.clone(),
                address: member.address,
                order,
            });
        }
    }
}
