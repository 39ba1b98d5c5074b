//! How a group goes from its first order to its end.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::board::HostBoard;
use super::board::HostEntry;
use super::board::Liveness;
use super::group::Group;
use super::group::GroupMember;
use super::group::GroupPhase;
use super::machine::Formation;
use super::machine::FormationAction;
use super::machine::Outstanding;
use crate::ids::HostId;
use crate::ids::WeightsId;
use crate::target::record::Availability;
use crate::target::record::CloseMode;
use crate::target::record::GroupOrder;
use crate::target::record::MemberState;

/// How long a member that left the registry may go without an own report before it counts as lost.
const UNLISTED_REPORT_WAIT: Duration = Duration::from_millis(900);
/// How long a host that the registry dropped is asked whether it is still up.
const UNLISTED_WATCH_TIME: Duration = Duration::from_secs(15);
/// How long after it is due a join may take to show in a member's record; records come within some
/// tens of milliseconds.
const JOIN_RECORD_WAIT: Duration = Duration::from_millis(150);
/// How long work may finish in a group that closes before it is cut off; a member that leaves
/// stays about as long.
const FINISH_LIMIT: Duration = Duration::from_secs(8);

/// Of so many groups of a model one may end at once because a member leaves.
const FINISHING_DIVISOR: usize = 6;

/// How a member stands to its group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Standing {
    /// The host has not taken the order yet.
    Pending,
    /// The host has its place, in this state.
    In(MemberState),
    /// The host has its place and is leaving the service.
    Leaving(MemberState),
    /// The host was in place and is in no group or another one.
    Elsewhere,
    /// The host's process ended, or it answers nothing.
    Lost,
}

impl Formation {
    pub(super) fn advance(
        &mut self,
        group: &mut Group,
        board: &HostBoard,
        finishing: &[WeightsId],
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        for member in &mut group.members {
            let membership = board.get(&member.host).and_then(HostEntry::membership);
            if membership.is_some_and(|m| m.group == group.id) {
                member.has_joined = true;
            }
        }
        let standings: Vec<Standing> = group
            .members
            .iter()
            .map(|member| self.standing(group, member, board, now))
            .collect();
        let head = standings.first().copied().unwrap_or(Standing::Lost);
        let is_lost = |s: &Standing| {
            matches!(
                s,
                Standing::Lost | Standing::Elsewhere | Standing::In(MemberState::Broken)
            )
        };
        let any_lost = standings.iter().any(is_lost);
        let any_leaving = standings.iter().any(|s| matches!(s, Standing::Leaving(_)));
        match group.phase {
            GroupPhase::Forming { until } => {
                let all_ready = standings
                    .iter()
                    .all(|s| *s == Standing::In(MemberState::Ready));
                if any_lost || any_leaving || now > until || (all_ready && group.is_warming) {
                    // A group that was never ordered to open has no head that serves.
                    group.is_head_gone = true;
                    group.enter(GroupPhase::Ended, now);
                } else if all_ready {
                    group.enter(GroupPhase::Opening, now);
                    self.advance_opening(group, now, actions);
                } else {
                    self.order_joins(group, &standings, board, now, actions);
                    self.watch_joins(group, &standings, board, now, actions);
                }
            }
            GroupPhase::Opening => {
                if any_lost || any_leaving {
                    self.release(group, board, now, actions);
                } else if head == Standing::In(MemberState::Open) {
                    group.enter(GroupPhase::Open, now);
                } else {
                    self.advance_opening(group, now, actions);
                }
            }
            GroupPhase::Open => {
                let is_open = matches!(
                    head,
                    Standing::In(MemberState::Open) | Standing::Leaving(MemberState::Open)
                );
                if any_lost || !is_open {
                    self.release(group, board, now, actions);
                } else if any_leaving && self.may_finish(group, head, finishing) {
                    group.enter(GroupPhase::Finishing, now);
                    self.finish(group, board, now, actions);
                } else {
                    self.watch_members(group, board, now, actions);
                }
            }
            GroupPhase::Finishing => {
                let is_overdue = now.saturating_duration_since(group.phase_since) > FINISH_LIMIT;
                if any_lost || is_overdue || self.has_finished(group, head, board) {
                    self.release(group, board, now, actions);
                } else {
                    self.finish(group, board, now, actions);
                }
            }
            GroupPhase::Releasing => {
                let is_whole = !any_lost && head == Standing::In(MemberState::Open);
                if is_whole && !group.may_have_left && group.close_accepted_at.is_none() {
                    // What seemed lost was cut off for a while.
                    group.enter(GroupPhase::Open, now);
                } else {
                    self.release(group, board, now, actions);
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
    fn may_finish(&self, group: &Group, head: Standing, finishing: &[WeightsId]) -> bool {
        if matches!(head, Standing::Leaving(_)) {
            return true;
        }
        let plan = self.plans.get(&group.service);
        let model = plan.and_then(|plan| {
            let mut models = plan.sheet.models.iter();
            models.position(|model| model.weights == group.weights)
        });
        let wanted = plan.zip(model);
        let wanted = wanted.map_or(0, |(plan, model)| plan.packing.total(model));
        let at_once = finishing.iter().filter(|w| **w == group.weights).count();
        at_once < (wanted / FINISHING_DIVISOR).max(1)
    }

    fn finish(
        &mut self,
        group: &Group,
        board: &HostBoard,
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
        self.watch_members(group, board, now, actions);
    }

    /// Returns whether the head has closed since it was ordered to.
    fn has_finished(&self, group: &Group, head: Standing, board: &HostBoard) -> bool {
        let is_closed = matches!(
            head,
            Standing::In(MemberState::Ready) | Standing::Leaving(MemberState::Ready)
        );
        let record_at = group
            .head()
            .and_then(|head| board.get(&head.host))
            .map(HostEntry::record_at);
        let is_newer = group
            .close_accepted_at
            .is_some_and(|at| record_at.is_some_and(|r| r > at));
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
        board: &HostBoard,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        if group.phase != GroupPhase::Releasing {
            group.enter(GroupPhase::Releasing, now);
        }
        let Some(head) = group.head().cloned() else {
            self.release_members(group, board, now, actions);
            return;
        };
        let standing = self.standing(group, &head, board, now);
        // A new life under the same name can have taken a late order to join.
        let has_new_life = board.get(&head.host).is_some_and(|entry| {
            let is_in_place = entry.membership().is_some_and(|m| m.group == group.id);
            let is_new = entry.record.incarnation != head.incarnation;
            (is_new && !is_in_place) || entry.liveness == Liveness::Ended
        });
        let is_gone = has_new_life
            || matches!(
                standing,
                Standing::In(MemberState::Broken) | Standing::Elsewhere
            );
        if is_gone {
            group.is_head_gone = true;
            group.enter(GroupPhase::Ended, now);
            return;
        }
        if standing == Standing::Lost {
            self.release_members(group, board, now, actions);
        }
        self.push_leave(group, &head, now, actions);
        self.ask_report(&head, now, actions);
    }

    fn release_members(
        &mut self,
        group: &mut Group,
        board: &HostBoard,
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
            match self.standing(group, &member, board, now) {
                Standing::Lost => {}
                Standing::Elsewhere => group.members[index].has_left = true,
                _ => {
                    all_left = false;
                    group.may_have_left = true;
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

    fn standing(
        &self,
        group: &Group,
        member: &GroupMember,
        board: &HostBoard,
        now: Instant,
    ) -> Standing {
        let Some(entry) = board.get(&member.host) else {
            return Standing::Lost;
        };
        if entry.record.incarnation != member.incarnation {
            return Standing::Lost;
        }
        if entry.is_lost(self.settings.report_misses) {
            return Standing::Lost;
        }
        let is_head = group.head().is_some_and(|head| head.host == member.host);
        if !entry.is_listed(now) && !self.is_held_by_report(entry, is_head, now) {
            return Standing::Lost;
        }
        match entry.membership() {
            Some(membership) if membership.group == group.id => match entry.record.availability {
                Availability::Ready => Standing::In(membership.state),
                Availability::Draining => Standing::Leaving(membership.state),
            },
            _ if member.has_joined => self.standing_after_join(group, now),
            _ => Standing::Pending,
        }
    }

    /// An accepted join shows in the host's record a moment later.
    fn standing_after_join(&self, group: &Group, now: Instant) -> Standing {
        let is_forming = matches!(group.phase, GroupPhase::Forming { .. });
        let is_recent =
            now.saturating_duration_since(group.phase_since) < self.settings.forming_slack;
        if is_forming && is_recent {
            Standing::Pending
        } else {
            Standing::Elsewhere
        }
    }

    /// A member that the registry dropped may be cut off from the registry only. Its group goes on
    /// while the member says so itself; a head gets no new work and is not kept.
    fn is_held_by_report(&self, entry: &HostEntry, is_head: bool, now: Instant) -> bool {
        if is_head {
            return false;
        }
        let departed_at = entry.departs_at;
        let is_recent =
            departed_at.is_some_and(|at| now.saturating_duration_since(at) < UNLISTED_REPORT_WAIT);
        is_recent || entry.is_up_unlisted(now)
    }

    /// Asks for the reports of members that are in doubt.
    fn watch_members(
        &mut self,
        group: &Group,
        board: &HostBoard,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        self.stalled.retain(|(_, until)| now < *until);
        let head = group.head().map(|head| &head.host);
        let is_stalled = self.stalled.iter().any(|(host, _)| Some(host) == head);
        for member in &group.members {
            let entry = board.get(&member.host);
            let is_in_doubt = entry
                .is_some_and(|entry| !entry.is_listed(now) || entry.liveness != Liveness::Assumed);
            if is_stalled || is_in_doubt {
                self.ask_report(member, now, actions);
            }
        }
    }

    /// Asks for the reports of members whose records do not show the join that they have taken: one
    /// that is cut off from the registry tells only itself how far it is.
    fn watch_joins(
        &mut self,
        group: &Group,
        standings: &[Standing],
        board: &HostBoard,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        let taken_for = now.saturating_duration_since(group.phase_since);
        let is_late = taken_for > group.expected_ready_in + JOIN_RECORD_WAIT;
        for (member, standing) in group.members.iter().zip(standings) {
            let is_ready = *standing == Standing::In(MemberState::Ready);
            let entry = board.get(&member.host);
            let is_unlisted = entry.is_some_and(|entry| !entry.is_listed(now));
            if !is_ready && member.has_joined && (is_late || is_unlisted) {
                self.ask_report(member, now, actions);
            }
        }
    }

    /// Asks for the reports of hosts that no group watches and whose records say nothing: lost ones
    /// that may have been cut off for a while, and those that the registry has just dropped.
    pub(super) fn ask_lost_hosts(
        &mut self,
        board: &HostBoard,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        for entry in board.iter() {
            let record = &entry.record;
            let is_lost = entry.is_lost(self.settings.report_misses);
            let is_unlisted = entry
                .departs_at
                .is_some_and(|at| now.saturating_duration_since(at) < UNLISTED_WATCH_TIME);
            let is_in_doubt = (entry.is_usable(now) && is_lost) || is_unlisted;
            if !is_in_doubt || self.group_of(&record.host).is_some() {
                continue;
            }
            let pause = if is_lost {
                self.settings.lost_report_pause
            } else {
                Duration::ZERO
            };
            let last = self.reports.get(&record.host).map(|last| last.until);
            let is_due = last.is_none_or(|until| until.is_some_and(|until| now >= until + pause));
            if is_due {
                self.push_report(&record.host, record.address, actions);
            }
        }
    }

    fn ask_report(
        &mut self,
        member: &GroupMember,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        let last = self.reports.get(&member.host);
        let is_due = last.is_none_or(|last| last.until.is_some_and(|until| now >= until));
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
        self.reports.insert(Outstanding {
            host: host.clone(),
            order: None,
            until: None,
        });
        actions.push(FormationAction::Report {
            host: host.clone(),
            address,
        });
    }

    fn order_joins(
        &mut self,
        group: &Group,
        standings: &[Standing],
        board: &HostBoard,
        now: Instant,
        actions: &mut Vec<FormationAction>,
    ) {
        // A late order to open an old group can't take effect once its head has joined this one,
        // so old heads go first.
        let is_old_head = |member: &GroupMember| {
            let membership = board.get(&member.host).and_then(HostEntry::membership);
            membership.is_some_and(|m| m.rank == 0 && m.group != group.id)
        };
        let waiting = || group.members.iter().zip(standings);
        let pending = waiting().filter(|(_, s)| **s == Standing::Pending);
        let heads_wait = pending
            .clone()
            .any(|(m, _)| !m.has_joined && is_old_head(m));
        for (member, _) in pending {
            if heads_wait && !is_old_head(member) {
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
        let is_due = self.outstanding.get(&member.host).is_none_or(|last| {
            // An order waits for the answer to the one before; only its own repetition waits on.
            last.until
                .is_some_and(|until| now >= until || last.order.as_ref() != Some(&order))
        });
        if is_due {
            self.outstanding.insert(Outstanding {
                host: member.host.clone(),
                order: Some(order.clone()),
                until: None,
            });
            actions.push(FormationAction::Order {
                host: member.host.clone(),
                address: member.address,
                order,
            });
        }
    }
}
