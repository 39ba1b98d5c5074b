//! Applies the rest that targets ask for to the state of a gateway.

use std::time::Duration;
use std::time::Instant;

use super::state::GatewayState;
use super::state::Inner;
use crate::clock::Clock;
use crate::ids::HostId;
use crate::ids::Incarnation;

impl Inner {
    /// Drops rests that are over, and returns the number of targets at rest.
    pub(super) fn update_target_rests(&mut self, now: Instant) -> i64 {
        let tracker = &self.host_tracker;
        let is_known = |host: &_| tracker.get(host).is_some();
        self.target_rests.expire(is_known, now);
        i64::try_from(self.target_rests.resting_count(now)).unwrap_or(i64::MAX)
    }
}

impl<C> GatewayState<C>
where
    C: Clock,
{
    /// Records that a target asked this entry for a rest.
    pub(super) fn on_rest_asked(&self, host: &HostId, incarnation: Incarnation, rest: Duration) {
        let now = self.clock.now();
        let mut inner = self.inner();
        let rests = &mut inner.target_rests;
        if !rests.on_rest_asked(host, incarnation, rest, now) {
            return;
        }
        let count = inner.update_target_rests(now);
        drop(inner);
        self.metrics.resting_targets.set(count);
        log::info!(target:% = host, rest_ms = rest.as_millis() as u64; "target asks for rest");
    }
}
