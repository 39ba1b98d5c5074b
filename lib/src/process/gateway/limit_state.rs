//! Applies what becomes known about the limits of targets to the state of a gateway.

use std::time::Instant;

use super::state::GatewayState;
use super::state::Inner;
use super::target_limits::LimitChange;
use super::target_limits::TargetLimits;
use crate::clock::Clock;

impl Inner {
    /// Updates this entry's parts of the limits, and drops limits that are no longer needed.
    pub(super) fn update_target_limits(&mut self, now: Instant) {
        let tracker = &self.host_tracker;
        let is_known = |host: &_| tracker.get(host).is_some();
        self.target_limits.expire(is_known, now);
        let members = self.peers.share_members(now);
        self.target_limits.update_parts(members, now);
    }
}

impl<C> GatewayState<C>
where
    C: Clock,
{
    /// Calls `change` with the limits while the state is locked, and reports what changed.
    pub(super) fn with_target_limits<F>(&self, change: F)
    where
        F: FnOnce(&mut TargetLimits, Instant),
    {
        let now = self.clock.now();
        let mut inner = self.inner();
        change(&mut inner.target_limits, now);
        let changes = inner.target_limits.take_changes();
        if changes.is_empty() {
            return;
        }
        inner.update_target_limits(now);
        let count = inner.target_limits.limited_count();
        drop(inner);
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.limited_targets.set(count);
        for LimitChange { host, limit } in changes {
            match limit {
                Some(rate) => {
                    log::info!(target:% = host, limit_per_s = rate.0; "target names a limit");
                }
                None => log::info!(target:% = host; "target names no limit any more"),
            }
        }
    }
}
