//! Selects the route to the table and tracks which routes work.

use std::time::Duration;
use std::time::Instant;

use super::types::TableRoute;

/// The health of the two routes to the table.
///
/// A route that failed is not used for the retry delay, so that further requests don't wait for the
/// same timeout. While no route works, new claims are refused immediately.
#[derive(Clone, Debug)]
pub(super) struct Routes {
    has_peer_route: bool,
    retry_delay: Duration,
    direct_down_until: Option<Instant>,
    all_down_until: Option<Instant>,
}

impl Routes {
    pub(super) fn new(has_peer_route: bool, retry_delay: Duration) -> Self {
        Self {
            has_peer_route,
            retry_delay,
            direct_down_until: None,
            all_down_until: None,
        }
    }

    /// Returns the route for a new batch.
    pub(super) fn choose(&self, now: Instant) -> TableRoute {
        let is_down = self.direct_down_until.is_some_and(|until| until > now);
        if is_down && self.has_peer_route {
            TableRoute::Peer
        } else {
            TableRoute::Direct
        }
    }

    /// Returns how long all routes stay unused, or `None` if one may be tried.
    pub(super) fn down_for(&self, now: Instant) -> Option<Duration> {
        let until = self.all_down_until.filter(|until| *until > now)?;
        Some(until.duration_since(now))
    }

    pub(super) fn on_success(&mut self, route: TableRoute) {
        self.all_down_until = None;
        if route == TableRoute::Direct {
            self.direct_down_until = None;
        }
    }

    /// Records the failure of a route. Returns the other route if the call should be retried there.
    pub(super) fn on_failure(&mut self, route: TableRoute, now: Instant) -> Option<TableRoute> {
        let until = now + self.retry_delay;
        if route == TableRoute::Direct {
            self.direct_down_until = Some(until);
            if self.has_peer_route {
                return Some(TableRoute::Peer);
            }
        }
        self.all_down_until = Some(until);
        None
    }
}
