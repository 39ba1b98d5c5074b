//! Confirms that a target has crashed after requests there broke, and reports the changes of the
//! quarantine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::net::TcpStream;

use super::crash_records::CrashRecord;
use super::crash_records::Suspect;
use super::quarantine::Quarantine;
use super::quarantine::QuarantineChange;
use super::state::GatewayState;
use super::state::Inner;
use crate::clock::Clock;
use crate::ids::HostId;

/// The timeout of a connection, as for sends.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The delay before the second connection. A process that ends may close its listener a little
/// after its connections.
const SECOND_CHECK_DELAY: Duration = Duration::from_millis(50);

impl Inner {
    /// Adds a request that broke at the start of its answer. Returns whether the target must be
    /// checked; otherwise a check is in progress.
    pub(super) fn add_broken_start(
        &mut self,
        host: &HostId,
        suspect: Suspect,
        now: Instant,
    ) -> bool {
        let mut known = self.broken_starts.iter_mut();
        if let Some(known) = known.find(|record| record.host == *host) {
            known.suspects.push(suspect);
            return false;
        }
        self.broken_starts.push(CrashRecord {
            host: host.clone(),
            at: now,
            suspects: vec![suspect],
        });
        true
    }

    fn take_broken_starts(&mut self, host: &HostId) -> Option<CrashRecord> {
        let mut known = self.broken_starts.iter();
        let index = known.position(|record| record.host == *host)?;
        Some(self.broken_starts.swap_remove(index))
    }
}

/// Checks whether a target has ended, and records the crash if so.
pub(super) async fn check_target<C>(state: Arc<GatewayState<C>>, host: HostId, address: SocketAddr)
where
    C: Clock,
{
    if state.inner().is_evacuated(&host) {
        // Nothing may connect to it, so whether it has crashed can't be told.
        state.inner().take_broken_starts(&host);
        return;
    }
    let mut accepts = accepts_connections(address).await;
    if accepts {
        tokio::time::sleep(SECOND_CHECK_DELAY).await;
        accepts = accepts_connections(address).await;
    }
    let Some(record) = state.inner().take_broken_starts(&host) else {
        return;
    };
    if !accepts {
        state.with_quarantine(|quarantine, now| quarantine.on_crash(record, now));
    }
}

async fn accepts_connections(address: SocketAddr) -> bool {
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    matches!(connect.await, Ok(Ok(_)))
}

impl<C> GatewayState<C>
where
    C: Clock,
{
    /// Calls `change` with the quarantine while the state is locked, and reports what changed.
    pub(super) fn with_quarantine<F, T>(&self, change: F) -> T
    where
        F: FnOnce(&mut Quarantine, Instant) -> T,
    {
        let now = self.clock.now();
        let mut inner = self.inner();
        let result = change(&mut inner.quarantine, now);
        let changes = inner.quarantine.take_changes();
        if changes.is_empty() {
            return result;
        }
        let count = inner.quarantine.quarantined_count(now);
        let request_count = inner.quarantine.quarantined_request_count(now);
        drop(inner);
        let gauge_value = |count| i64::try_from(count).unwrap_or(i64::MAX);
        let part_count = gauge_value(count - request_count);
        self.metrics.quarantined_parts.set(part_count);
        let request_count = gauge_value(request_count);
        self.metrics.quarantined_requests.set(request_count);
        for change in changes {
            self.report(change);
        }
        result
    }

    fn report(&self, change: QuarantineChange) {
        match change {
            QuarantineChange::Crashed { host, suspects } => {
                self.metrics.target_crashes.inc();
                log::info!(suspects = suspects, target:% = host; "target has crashed");
            }
            QuarantineChange::Quarantined { feature, hosts } => {
                let hosts: Vec<&str> = hosts.iter().map(HostId::as_str).collect();
                let (crashes, hosts) = (hosts.len(), hosts.join(","));
                if feature.is_content() {
                    log::warn!(
                        content:% = feature, crashes = crashes, targets = hosts.as_str();
                        "request is quarantined: targets crash each time that it comes"
                    );
                } else {
                    log::warn!(
                        prompt_part:% = feature, crashes = crashes, targets = hosts.as_str();
                        "prompt part is quarantined: targets crash at requests with it"
                    );
                }
            }
            QuarantineChange::Released { feature, reason } => {
                if feature.is_content() {
                    log::info!(content:% = feature; "request is released: {reason}");
                } else {
                    log::info!(prompt_part:% = feature; "prompt part is released: {reason}");
                }
            }
        }
    }
}
