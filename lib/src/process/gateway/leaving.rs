//! What a gateway does when targets say in their answers that they leave.

use std::time::Instant;

use super::state::GatewayState;
use super::state::Inner;
use crate::clock::Clock;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::process::formation::TrackedHost;
use crate::target::record::Availability;

impl Inner {
    /// Returns the number of targets that say that they leave, while their records say that they are
    /// ready.
    pub(super) fn leaving_count(&self, now: Instant) -> i64 {
        let leaves = |tracked: &&TrackedHost| {
            tracked.leaving_stated_at.is_some()
                && tracked.is_listed(now)
                && tracked.record.availability == Availability::Ready
        };
        let count = self.host_tracker.iter().filter(leaves).count();
        i64::try_from(count).unwrap_or(i64::MAX)
    }
}

impl<C> GatewayState<C>
where
    C: Clock,
{
    /// Records that a target said in an answer to this entry that it leaves.
    pub(super) fn on_leaving_stated(&self, host: &HostId, incarnation: Incarnation) {
        let now = self.clock.now();
        let mut inner = self.inner();
        let tracker = &mut inner.host_tracker;
        if !tracker.on_leaving_stated(host, incarnation, now) {
            return;
        }
        let tracked = tracker.get(host);
        let availability = tracked.map(|tracked| tracked.record.availability.to_string());
        let is_listed = tracked.is_some_and(|tracked| tracked.is_listed(now));
        self.metrics.leaving_targets.set(inner.leaving_count(now));
        inner.update_serving(now);
        drop(inner);
        self.targets_changed.notify_waiters();
        log::info!(
            target:% = host, record = availability.unwrap_or_default().as_str(),
            is_listed = is_listed;
            "target says that it leaves"
        );
    }
}
