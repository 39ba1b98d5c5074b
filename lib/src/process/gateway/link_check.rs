//! What this entry learns of its links to the targets, and the connections that check them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::net::TcpStream;

use super::peers::Forwarder;
use super::state::GatewayState;
use super::state::Inner;
use crate::clock::Clock;
use crate::ids::EntryId;
use crate::ids::HostId;

/// The timeout of a connection, as for sends.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a connection must stay open. Behind some cuts it is accepted and then reset.
const OPEN_TIME_MIN: Duration = Duration::from_millis(50);

impl Inner {
    /// Returns an entry that reaches the targets, and that is not excluded.
    fn forwarder(&self, excluded: &[HostId], now: Instant) -> Option<(EntryId, SocketAddr)> {
        let is_excluded =
            |entry: &EntryId| excluded.iter().any(|host| host.as_str() == entry.as_str());
        let mut usable = self.peers.forwarders(now);
        usable.retain(|forwarder| !is_excluded(&forwarder.entry));
        // One that failed is better than none, and one that has not is better than a local one.
        let rank = |forwarder: &Forwarder| (forwarder.has_failed, !forwarder.is_local);
        let best = usable.iter().map(rank).min()?;
        usable.retain(|forwarder| rank(forwarder) == best);
        let chosen = usable.swap_remove(rand::random_range(0..usable.len()));
        Some((chosen.entry, chosen.address))
    }
}

impl<C> GatewayState<C>
where
    C: Clock,
{
    /// Records that a target answered on a connection that was opened after `opened_at`.
    pub(super) fn on_target_answer(&self, opened_at: Instant) {
        let now = self.clock.now();
        let restored = self.inner().target_links.on_answer(opened_at, now);
        if let Some(restored) = restored {
            self.metrics.is_cut_off.set(0);
            let cut_off_ms = restored.cut_off_for.as_millis() as u64;
            log::info!(cut_off_ms = cut_off_ms; "targets are reached again");
        }
    }

    /// Records that a connection to a target failed.
    pub(super) fn on_target_failed(&self, host: &HostId) {
        let now = self.clock.now();
        let mut inner = self.inner();
        if inner.is_evacuated(host) {
            // Requests that still run there may break with the data centre, and tell nothing of the links
            // to others.
            return;
        }
        let known_targets = inner.serving.len();
        let is_cut_off = inner.target_links.on_failed(host, known_targets, now);
        drop(inner);
        if is_cut_off {
            self.metrics.is_cut_off.set(1);
            log::warn!(targets = known_targets; "no target is reached; requests go to other entries");
        }
    }

    /// Returns whether this entry has lost its links to all targets.
    pub fn is_cut_off(&self) -> bool {
        self.inner().target_links.is_cut_off()
    }

    /// Returns an entry to pass a request on to, if this entry is cut off and another one is not.
    pub(super) fn forwarder(&self, excluded: &[HostId]) -> Option<(EntryId, SocketAddr)> {
        let now = self.clock.now();
        let inner = self.inner();
        if !inner.target_links.is_cut_off() {
            return None;
        }
        inner.forwarder(excluded, now)
    }

    /// Starts a check of the link to a random target, if one is due.
    pub(super) fn check_links(self: &Arc<Self>) {
        let now = self.clock.now();
        let mut inner = self.inner();
        if inner.serving.is_empty() || !inner.target_links.take_probe(now) {
            return;
        }
        let target = &inner.serving[rand::random_range(0..inner.serving.len())];
        let (host, address) = (target.host.clone(), target.address);
        drop(inner);
        let state = Arc::clone(self);
        tokio::spawn(async move {
            if keeps_connections(address).await {
                state.on_target_answer(now);
            } else {
                state.on_target_failed(&host);
            }
        });
    }
}

async fn keeps_connections(address: SocketAddr) -> bool {
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let Ok(Ok(stream)) = connect.await else {
        return false;
    };
    // A target sends nothing unasked, so whatever can be read is the end of the connection.
    let mut byte = [0];
    let end = tokio::time::timeout(OPEN_TIME_MIN, stream.peek(&mut byte));
    end.await.is_err()
}
