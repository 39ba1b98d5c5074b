//! Tracks how many orders each host has accepted, so that an order can name the number it expects.
//!
//! A host refuses an order that expects another number than it has accepted. An order that arrives late,
//! after another one has begun something, then has no effect, and of all copies of a repeated order at
//! most one has. A host that is known to be in no group at some number is thus still in none when an
//! order that expects this number takes effect.
//!
//! The number is learned from the host's reports, which lag, and from its answers. A host that has not
//! told it yet, or whose last answer leaves it open, reports before the next one.

use std::time::Instant;

use super::controller::FormationController;
use super::group::GroupMember;
use super::host_tracker::HostTracker;
use super::host_tracker::TrackedHost;
use crate::ids::Epoch;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::sorted::Keyed;
use crate::target::record::CallError;
use crate::target::record::GroupOrder;
use crate::target::record::OrderAnswer;

/// The epoch of the first lease. No orders have been sent before it was acquired.
const FIRST_LEASE_EPOCH: Epoch = Epoch(1);

/// The last order to a host.
#[derive(Clone, Debug)]
pub(super) struct OrderCall {
    pub(super) host: HostId,
    /// The incarnation of the host's process that the order is meant for.
    pub(super) incarnation: Incarnation,
    pub(super) order: GroupOrder,
    /// The number of orders that the host is expected to have accepted; `None` if it is not known.
    pub(super) expected_orders: Option<u64>,
    /// `None` while the order is unanswered, then the earliest time at which it may be repeated.
    pub(super) next_allowed_at: Option<Instant>,
    /// When the order was answered or failed; `None` while it is unanswered.
    pub(super) ended_at: Option<Instant>,
    /// Whether the order makes the host leave a group that it was in at the expected number.
    pub(super) leaves_group: bool,
    /// Whether the answer leaves open how many orders the host has accepted.
    pub(super) is_count_unknown: bool,
}

impl Keyed for OrderCall {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.host
    }
}

/// The number of orders that a host's process has accepted, by its answers.
#[derive(Clone, Debug)]
pub(super) struct OrderCount {
    host: HostId,
    incarnation: Incarnation,
    accepted: u64,
}

impl Keyed for OrderCount {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.host
    }
}

impl FormationController {
    /// Records what the answer to the last order to a host proves about its number of orders.
    pub(super) fn count_order(&mut self, host: &HostId, answer: &Result<OrderAnswer, CallError>) {
        let Some(call) = self.order_calls.get_mut(host) else {
            return;
        };
        call.is_count_unknown = matches!(answer, Ok(OrderAnswer::Conflict));
        let Some(expected) = call.expected_orders else {
            return;
        };
        let accepted = match (answer, &call.order) {
            (Ok(OrderAnswer::Accepted), _) => Some(expected + 1),
            (Ok(OrderAnswer::Done), GroupOrder::Leave { .. }) => {
                call.leaves_group.then_some(expected + 1)
            }
            (Ok(OrderAnswer::Done), _) => Some(expected),
            (Ok(OrderAnswer::Conflict), _) => None,
            _ => return,
        };
        let Some(accepted) = accepted else {
            call.is_count_unknown = true;
            self.order_counts.remove(host);
            return;
        };
        let incarnation = call.incarnation;
        self.order_counts.insert(OrderCount {
            host: host.clone(),
            incarnation,
            accepted,
        });
        self.update_place_count(host, expected, accepted);
    }

    /// Returns the number of orders that a host has accepted by its answers.
    pub(super) fn counted_orders(&self, host: &HostId) -> Option<u64> {
        self.order_counts.get(host).map(|count| count.accepted)
    }

    /// Returns the highest number of orders that a host's current process is known to have accepted;
    /// `None` if it does not count them.
    pub(super) fn known_orders(&self, tracked: &TrackedHost) -> Option<u64> {
        let answered = self.order_counts.get(&tracked.record.host);
        let answered = answered.filter(|count| count.incarnation == tracked.record.incarnation);
        tracked
            .accepted_orders()
            .max(answered.map(|count| count.accepted))
    }

    /// Returns whether no entry has sent an order to a host: this one has not, and no other one has had the
    /// lease before.
    pub(super) fn was_never_ordered(&self, host: &HostId) -> bool {
        self.lease_epoch == FIRST_LEASE_EPOCH && !self.order_calls.contains_key(host)
    }

    /// Returns the number of orders that a member must have accepted for its next order; `None` if it
    /// does not count them, or its process has been replaced.
    pub(super) fn expected_orders(
        &self,
        member: &GroupMember,
        tracker: &HostTracker,
    ) -> Option<u64> {
        let tracked = tracker.get(&member.host)?;
        if tracked.record.incarnation != member.incarnation {
            return None;
        }
        let known = self.known_orders(tracked);
        known.or(self.was_never_ordered(&member.host).then_some(0))
    }

    /// Returns whether a member has to report its number of orders before the next order to it: it has
    /// not told it yet, or the answer to the last order leaves it open and no report has come since.
    pub(super) fn must_report_before_order(
        &self,
        member: &GroupMember,
        tracker: &HostTracker,
    ) -> bool {
        let Some(tracked) = tracker.get(&member.host) else {
            return false;
        };
        let report = tracked.own_report.as_ref();
        let reported_at = report.map(|report| report.requested_at);
        let last = self.order_calls.get(&member.host);
        if last.is_some_and(|call| call.is_count_unknown) {
            return reported_at < last.and_then(|call| call.ended_at);
        }
        reported_at.is_none()
            && tracked.record.incarnation == member.incarnation
            && self.expected_orders(member, tracker).is_none()
    }
}
