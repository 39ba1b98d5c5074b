//! The limits on connections of callers and of other entries.

use std::sync::Arc;
use std::time::Duration;

use nix::sys::resource::Resource;
use nix::sys::resource::getrlimit;

use super::settings::GatewaySettings;
use super::state::GatewayState;
use crate::clock::Clock;
use crate::connection::client_connections::ClientConnections;
use crate::connection::connection_table::WaitLimits;

/// The eighths of the descriptors for connections of callers and for those of other entries. Half is
/// left for the connections to targets, of which a request may need two, and for everything else.
const CALLER_EIGHTHS: usize = 3;
const PEER_EIGHTHS: usize = 1;
/// The descriptors that are counted on if the limit can't be read.
const DESCRIPTORS_DEFAULT: usize = 1024;
/// What a connection holds: the read buffer, of the size of a head at most, a frame of the same size,
/// and the connection's own state.
const CONNECTION_BYTES: usize = 48 * 1024;
/// The divisor of the machine's memory that gives what connections may hold.
const CONNECTION_MEMORY_DIVISOR: usize = 4;
/// The time for a head and the time without a request before a configuration is in force, or if it names
/// shorter ones.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// How much longer connections wait than callers may take.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// How often connections that have waited too long are closed.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The open connections of a gateway's clients.
#[derive(Clone, Debug)]
pub(super) struct GatewayConnections {
    /// Those of callers.
    pub(super) callers: ClientConnections,
    /// Those of other entries.
    pub(super) peers: ClientConnections,
}

impl GatewayConnections {
    /// Derives the limits from the descriptors of the process and the memory of the machine.
    pub(super) fn new(settings: &GatewaySettings) -> Self {
        let descriptors = descriptor_limit();
        let memory_bytes = settings.memory_bytes / CONNECTION_MEMORY_DIVISOR;
        let by_memory = memory_bytes / CONNECTION_BYTES;
        let limit = |eighths: usize| (descriptors / 8 * eighths).min(by_memory).max(1);
        let (callers, peers) = (limit(CALLER_EIGHTHS), limit(PEER_EIGHTHS));
        log::info!(
            descriptors = descriptors as u64, callers = callers as u64, peers = peers as u64,
            body_budget_bytes = settings.body_budget_bytes() as u64;
            "limits on connections and bodies"
        );
        Self {
            callers: ClientConnections::new(callers),
            peers: ClientConnections::new(peers),
        }
    }

    /// Closes connections that have waited too long, and updates the metrics, until it is dropped.
    pub(super) async fn watch<C>(self, state: Arc<GatewayState<C>>)
    where
        C: Clock,
    {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let limits = state.document().map(|document| document.limits);
            let at_least = |configured: Option<Duration>, default: Duration| {
                configured.map_or(default, |c| c.max(default)) + TIMEOUT_MARGIN
            };
            let limits = WaitLimits {
                head_timeout: at_least(limits.map(|l| l.head_timeout), HEAD_TIMEOUT),
                idle_timeout: at_least(limits.map(|l| l.idle_timeout), IDLE_TIMEOUT),
            };
            for (name, clients) in [("callers", &self.callers), ("peers", &self.peers)] {
                clients.close_expired(limits);
                let (open, closed) = (clients.open_count(), clients.take_closed());
                state.metrics.set_client_connections(name, open);
                state.metrics.count_closed_connections(name, closed);
                if closed.evicted + closed.refused > 0 {
                    log::warn!(
                        clients = name, open = open as u64, evicted = closed.evicted,
                        refused = closed.refused;
                        "too many connections; some are closed or refused"
                    );
                }
            }
        }
    }
}

/// Returns how many descriptors the process may have open.
fn descriptor_limit() -> usize {
    match getrlimit(Resource::RLIMIT_NOFILE) {
        Ok((soft, _)) => usize::try_from(soft).unwrap_or(usize::MAX),
        Err(error) => {
            log::warn!("the limit on descriptors can't be read: {error}");
            DESCRIPTORS_DEFAULT
        }
    }
}
