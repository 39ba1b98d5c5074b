//! Checks that a host is in no other group that may serve before it is ordered to join one.
//!
//! The registry's record of a host may be older than an order of an earlier lease holder that the
//! host has executed, so only the host itself can confirm that it is free. Two facts do:
//!
//! - a report that was requested after the lease was acquired and after the last order to the host
//!   had ended, or
//! - its answers to the joins and leaves of this lease holder. A host that has accepted a join under
//!   this lease rejects those of earlier holders, so it is only moved by this one.
//!
//! Either counts only for the number of orders that the host had accepted then. If it is known to have
//! accepted more, another order has been executed since.

use super::controller::FormationController;
use super::controller::is_warm_spare_id;
use super::group::Group;
use super::group::GroupMember;
use super::host_tracker::HostTracker;
use super::host_tracker::OwnReport;
use super::host_tracker::TrackedHost;
use super::host_tracker::is_fewer;
use crate::ids::Epoch;
use crate::ids::GroupId;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::sorted::Keyed;
use crate::target::record::CallError;
use crate::target::record::GroupOrder;
use crate::target::record::OrderAnswer;

/// What has to happen before a host is ordered to join a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum JoinCheck {
    /// The host is in no other group that may serve, so it can be ordered to join.
    Free,
    /// The host has to leave an ended group that may have served.
    Leaves {
        /// The ended group.
        group: GroupId,
        /// The epoch of the host's membership.
        epoch: Epoch,
    },
    /// The host has to report its state.
    Unconfirmed,
    /// The host is in another group that has not ended.
    Taken,
}

/// A host that was ordered to join a group under the current lease.
#[derive(Clone, Debug)]
pub(super) struct JoinedHost {
    host: HostId,
    incarnation: Incarnation,
    place: Place,
    /// The number of orders that the host had accepted when it was there; `None` if it does not count
    /// them.
    accepted_orders: Option<u64>,
}

/// The group that a host is in, as its answers to orders prove.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Place {
    /// The host accepted a join and was not ordered elsewhere since.
    In { group: GroupId, epoch: Epoch },
    /// The host accepted an order to leave the group that it had joined.
    Left,
    /// A join was not answered, so the host may execute it at any time.
    InDoubt,
}

impl Keyed for JoinedHost {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.host
    }
}

impl FormationController {
    /// Records what the answer to an order proves about the host.
    pub(super) fn record_join_answer(
        &mut self,
        host: &HostId,
        order: &GroupOrder,
        answer: &Result<OrderAnswer, CallError>,
    ) {
        match order {
            GroupOrder::Join { group, epoch, .. } => {
                let place = match answer {
                    Ok(answer) if answer.is_accepted() => Place::In {
                        group: group.clone(),
                        epoch: *epoch,
                    },
                    Err(CallError::InDoubt { .. } | CallError::Protocol { .. }) => Place::InDoubt,
                    _ => return,
                };
                let members = self.groups.iter().find(|g| g.id == *group);
                let mut members = members.into_iter().flat_map(|group| group.members.iter());
                let Some(member) = members.find(|member| member.host == *host) else {
                    // The group has ended, so which process was meant is not known any more.
                    self.joined_hosts.remove(host);
                    return;
                };
                self.joined_hosts.insert(JoinedHost {
                    host: host.clone(),
                    incarnation: member.incarnation,
                    place,
                    accepted_orders: self.counted_orders(host),
                });
            }
            GroupOrder::Leave { group, .. } => {
                let accepted_orders = self.counted_orders(host);
                if let Some(joined) = self.joined_hosts.get_mut(host)
                    && matches!(answer, Ok(answer) if answer.is_accepted())
                    && matches!(&joined.place, Place::In { group: id, .. } if id == group)
                {
                    joined.place = Place::Left;
                    joined.accepted_orders = accepted_orders;
                }
            }
            _ => {}
        }
    }

    /// Returns whether a member was in a group when it had accepted `expected_orders`, by its answers or its
    /// report.
    pub(super) fn was_in_group(
        &self,
        member: &GroupMember,
        group: &GroupId,
        expected_orders: Option<u64>,
        tracker: &HostTracker,
    ) -> bool {
        let joined = self.joined_hosts.get(&member.host);
        let is_joined = joined.is_some_and(|joined| {
            joined.incarnation == member.incarnation
                && joined.accepted_orders == expected_orders
                && matches!(&joined.place, Place::In { group: id, .. } if id == group)
        });
        let report = tracker.get(&member.host);
        let report = report.and_then(|tracked| tracked.own_report.as_ref());
        let is_reported = report.is_some_and(|report| {
            report.accepted_orders == expected_orders
                && report.membership.as_ref().map(|m| &m.group) == Some(group)
        });
        is_joined || is_reported
    }

    /// Records that a host which had accepted `expected` orders has now accepted `accepted`, and is where
    /// it was unless the order moved it.
    pub(super) fn update_place_count(&mut self, host: &HostId, expected: u64, accepted: u64) {
        if let Some(joined) = self.joined_hosts.get_mut(host)
            && joined.accepted_orders == Some(expected)
        {
            joined.accepted_orders = Some(accepted);
        }
    }

    /// Returns what has to happen before `member` is ordered to join `group`.
    pub(super) fn check_join(
        &self,
        group: &Group,
        member: &GroupMember,
        tracker: &HostTracker,
    ) -> JoinCheck {
        if !self.settings.checks_before_join {
            return JoinCheck::Free;
        }
        let tracked = tracker.get(&member.host);
        let tracked = tracked.filter(|host| host.record.incarnation == member.incarnation);
        let known_orders = tracked.and_then(|host| self.known_orders(host));
        if self.was_never_ordered(&member.host) && known_orders.is_none_or(|count| count == 0) {
            return JoinCheck::Free;
        }
        let joined = self.joined_hosts.get(&member.host);
        let is_current = |joined: &&JoinedHost| {
            joined.incarnation == member.incarnation && joined.accepted_orders == known_orders
        };
        match joined.filter(is_current) {
            Some(JoinedHost {
                place: Place::In { group: id, epoch },
                ..
            }) => return self.check_membership(group, id, *epoch),
            Some(JoinedHost {
                place: Place::Left, ..
            }) => return JoinCheck::Free,
            _ => {}
        }
        match tracked.and_then(|host| self.confirming_report(host)) {
            None => JoinCheck::Unconfirmed,
            Some(report) => match &report.membership {
                Some(current) => self.check_membership(group, &current.group, current.epoch),
                None => JoinCheck::Free,
            },
        }
    }

    /// Returns the host's own report if it was requested after the lease was acquired and after the last
    /// order to the host had ended, and the host is not known to have accepted more orders.
    fn confirming_report<'a>(&self, tracked: &'a TrackedHost) -> Option<&'a OwnReport> {
        let report = tracked.own_report.as_ref()?;
        let is_after_orders = match self.order_calls.get(&tracked.record.host) {
            Some(order) => order.ended_at.is_some_and(|at| report.requested_at > at),
            None => true,
        };
        let is_outdated = is_fewer(report.accepted_orders, self.known_orders(tracked));
        let is_confirming =
            report.requested_at > self.acquired_at && is_after_orders && !is_outdated;
        is_confirming.then_some(report)
    }

    /// Returns whether the host has confirmed that it is in a group that has not ended, whatever the
    /// registry says of it. A group formed with such a host would be given up at once.
    pub(super) fn has_confirmed_other_group(&self, tracked: &TrackedHost) -> bool {
        let report = self.confirming_report(tracked);
        let membership = report.and_then(|report| report.membership.as_ref());
        membership.is_some_and(|membership| {
            !is_warm_spare_id(&membership.group) && !self.ended.contains_key(&membership.group)
        })
    }

    fn check_membership(&self, group: &Group, current: &GroupId, epoch: Epoch) -> JoinCheck {
        if *current == group.id || is_warm_spare_id(current) {
            return JoinCheck::Free;
        }
        match self.ended.get(current) {
            Some(ended) if !ended.may_have_served => JoinCheck::Free,
            Some(_) => JoinCheck::Leaves {
                group: current.clone(),
                epoch,
            },
            None => JoinCheck::Taken,
        }
    }

    /// Returns whether a member that was not yet ordered to join has confirmed that it is in another
    /// group that has not ended.
    pub(super) fn is_any_member_taken(&self, group: &Group, tracker: &HostTracker) -> bool {
        let pending = group.members.iter().filter(|member| !member.has_joined);
        let mut checks = pending.map(|member| self.check_join(group, member, tracker));
        checks.any(|check| check == JoinCheck::Taken)
    }
}
