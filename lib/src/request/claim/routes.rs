//! Which way to the table is used, and whether any works.

use std::time::Duration;
use std::time::Instant;

use super::types::TableRoute;

/// The health of the two ways to the table.
///
/// A way that failed is left alone for a while, so that a request is not made to wait for the same
/// timeout again, and new claims are refused at once while no way works.
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

    /// Returns the way for a new batch.
    pub(super) fn choose(&self, now: Instant) -> TableRoute {
        let is_down = self.direct_down_until.is_some_and(|until| until > now);
        if is_down && self.has_peer_route {
            TableRoute::Peer
        } else {
            TableRoute::Direct
        }
    }

    /// Returns how long no way is tried, or `None` if one may be.
    pub(super) fn down_for(&self, now: Instant) -> Option<Duration> {
        let until = self.all_down_until.filter(|until| *until > now)?;
        Some(until.duration_since(now))
    }

    pub(super) fn on_worked(&mut self, route: TableRoute) {
        self.all_down_until = None;
        if route == TableRoute::Direct {
            self.direct_down_until = None;
        }
    }

    /// Takes in that a way failed, and returns the other one if it is still to be tried.
    pub(super) fn on_failed(&mut self, route: TableRoute, now: Instant) -> Option<TableRoute> {
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
