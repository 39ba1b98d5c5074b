//! The limits on the rate of requests that targets name.

use std::time::Instant;

use super::state::GatewayState;
use crate::clock::Clock;
use crate::ids::HostId;
use crate::request::forward::protocol::StatedLimit;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::units::RequestRate;

/// A change of a target's limit, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// The target.
    pub host: HostId,
    /// The new limit, or `None` if the target names none any more.
    pub limit: Option<RequestRate>,
}

/// What a target said last about its limit.
#[derive(Clone, Debug)]
struct KnownLimit {
    host: HostId,
    limit: Option<RequestRate>,
    stated_at: Instant,
}

impl Keyed for KnownLimit {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.host
    }
}

/// The limits of all targets.
#[derive(Clone, Debug, Default)]
pub struct TargetLimits {
    targets: SortedVec<KnownLimit>,
    changes: Vec<LimitChange>,
}

impl TargetLimits {
    /// Creates a tracker without limits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a target's limit, or `None` if none is known.
    pub fn limit(&self, host: &HostId) -> Option<RequestRate> {
        self.targets.get(host)?.limit
    }

    /// Returns the number of targets with a limit.
    pub fn limited_count(&self) -> usize {
        let limited = self.targets.iter().filter(|known| known.limit.is_some());
        limited.count()
    }

    /// Records what an answer, to a request that was sent at `sent_at`, says about the limit.
    pub fn on_answer(&mut self, host: &HostId, limit: StatedLimit, sent_at: Instant, now: Instant) {
        let (limit, stated_at) = match limit {
            StatedLimit::Invalid => return,
            StatedLimit::Limited(rate) => (Some(rate), now),
            // The answer may have been overtaken by one that names a limit.
            StatedLimit::Unlimited => (None, sent_at),
        };
        let known = self.targets.get(host);
        let is_unchanged = known.map_or(limit.is_none(), |known| stated_at <= known.stated_at);
        if is_unchanged {
            return;
        }
        if known.and_then(|known| known.limit) != limit {
            let host = host.clone();
            self.changes.push(LimitChange { host, limit });
        }
        self.targets.insert(KnownLimit {
            host: host.clone(),
            limit,
            stated_at,
        });
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<LimitChange> {
        std::mem::take(&mut self.changes)
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
