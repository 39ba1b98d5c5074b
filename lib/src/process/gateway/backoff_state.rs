//! Applies the backoff that targets request to the state of a gateway.

use std::time::Duration;
use std::time::Instant;

use super::state::GatewayState;
use super::state::Inner;
use crate::clock::Clock;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::request::pace::PaceReason;

impl Inner {
    /// Drops backoffs that are over, and returns the number of targets that are backed off.
    pub(super) fn update_target_backoffs(&mut self, now: Instant) -> i64 {
        let tracker = &self.host_tracker;
        let is_known = |host: &_| tracker.get(host).is_some();
        self.target_backoffs.expire(is_known, now);
        i64::try_from(self.target_backoffs.backed_off_count(now)).unwrap_or(i64::MAX)
    }
}

impl<C> GatewayState<C>
where
    C: Clock,
{
    /// Records that a target requested a backoff from this entry.
    pub(super) fn on_backoff_requested(
        &self,
        host: &HostId,
        incarnation: Incarnation,
        backoff: Duration,
    ) {
        let now = self.clock.now();
        let mut inner = self.inner();
        let backoffs = &mut inner.target_backoffs;
        if !backoffs.on_backoff_requested(host, incarnation, backoff, now) {
            return;
        }
        inner.paces.begin(host, PaceReason::BackedOff, now);
        let count = inner.update_target_backoffs(now);
        drop(inner);
        self.metrics.backed_off_targets.set(count);
        let backoff_ms = backoff.as_millis() as u64;
        log::info!(target:% = host, backoff_ms = backoff_ms; "target requests a backoff");
    }
}
