//! Tracks how many orders each host has accepted, so that an order can name the number it expects.
//!
//! A host refuses an order that expects another number than it has accepted. An order that arrives late,
//! after another one has begun something, then has no effect, and of all copies of a repeated order at
//! most one has. A host that is known to be in no group at some number is thus still in none when an
//! order that expects this number takes effect.
//!
//! The number is learned from the host's record and reports, which lag, and from its answers. An order
//! that is refused is sent again after a new report.

use std::time::Instant;

use super::controller::FormationController;
use super::group::GroupMember;
use super::host_tracker::HostTracker;
use super::host_tracker::TrackedHost;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::sorted::Keyed;
use crate::target::record::CallError;
use crate::target::record::GroupOrder;
use crate::target::record::OrderAnswer;

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
    /// Whether the host has answered that the order does not fit its state or its number of orders.
    pub(super) has_conflicted: bool,
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
        let Some(call) = self.order_calls.get(host) else {
            return;
        };
        let Some(expected) = call.expected_orders else {
            return;
        };
        let accepted = match answer {
            Ok(OrderAnswer::Accepted) => expected + 1,
            Ok(OrderAnswer::Unchanged) => expected,
            Ok(OrderAnswer::Conflict) => {
                self.order_counts.remove(host);
                return;
            }
            _ => return,
        };
        self.order_counts.insert(OrderCount {
            host: host.clone(),
            incarnation: call.incarnation,
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

    /// Returns the number of orders that a member must have accepted for its next order.
    pub(super) fn expected_orders(
        &self,
        member: &GroupMember,
        tracker: &HostTracker,
    ) -> Option<u64> {
        let tracked = tracker.get(&member.host)?;
        let is_same = tracked.record.incarnation == member.incarnation;
        self.known_orders(tracked).filter(|_| is_same)
    }

    /// Returns whether a host has refused the last order to it and has not reported its state since, so
    /// that its number of orders is not known.
    pub(super) fn must_report_before_order(
        &self,
        member: &GroupMember,
        tracker: &HostTracker,
    ) -> bool {
        let Some(call) = self.order_calls.get(&member.host) else {
            return false;
        };
        if !call.has_conflicted || call.expected_orders.is_none() {
            return false;
        }
        let reported_at = tracker
            .get(&member.host)
            .and_then(|tracked| tracked.own_report.as_ref())
            .map(|report| report.requested_at);
        reported_at < call.ended_at
    }
}
