//! Health checks of targets that say that they leave, while their records stay ready.
//!
//! Such a target ends within seconds, or its record changes. If neither happens, the statement may
//! have been a mistake. Only the target itself can withdraw it: requests may not be sent to find out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::state::GatewayState;
use super::state::Inner;
use crate::clock::Clock;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::process::formation::TrackedHost;
use crate::target::record::Availability;
use crate::target::record::TargetControl;

/// The time from a target's statement, or from the last check, to the next check.
const CHECK_DELAY: Duration = Duration::from_secs(10);
/// The interval in which due checks are looked for.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// The timeout of a check. A host that is up answers within a few milliseconds.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// A check that is due.
struct DueCheck {
    host: HostId,
    incarnation: Incarnation,
    address: SocketAddr,
    path: String,
}

impl Inner {
    fn due_checks(&self, now: Instant) -> Vec<DueCheck> {
        let Some(document) = &self.document else {
            return Vec::new();
        };
        let due_check = |tracked: &TrackedHost| {
            let record = &tracked.record;
            let age = now.saturating_duration_since(tracked.stated_leaving?.confirmed_at);
            let contradicts = tracked.is_listed(now) && record.availability == Availability::Ready;
            let path = document.service(&record.service)?.health_path.clone()?;
            (contradicts && age >= CHECK_DELAY).then(|| DueCheck {
                host: record.host.clone(),
                incarnation: record.incarnation,
                address: record.address,
                path,
            })
        };
        self.host_tracker.iter().filter_map(due_check).collect()
    }
}

/// Checks the targets that say that they leave, one after the other, until the task is aborted.
pub(super) async fn check_leaving_targets<C, T>(state: Arc<GatewayState<C>>, targets: T)
where
    C: Clock,
    T: TargetControl,
{
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let due = state.inner().due_checks(state.clock.now());
        for check in due {
            let DueCheck {
                host,
                incarnation,
                address,
                path,
            } = check;
            let checked = targets.is_healthy(address, host.clone(), path, CHECK_TIMEOUT);
            if matches!(checked.await, Ok(true)) {
                state.on_leaving_withdrawn(&host, incarnation);
            } else {
                state.on_leaving_confirmed(&host, incarnation);
            }
        }
    }
}

impl<C> GatewayState<C>
where
    C: Clock,
{
    fn on_leaving_withdrawn(&self, host: &HostId, incarnation: Incarnation) {
        let mut is_news = false;
        self.update_host_tracker(|tracker, _| {
            is_news = tracker.on_leaving_withdrawn(host, incarnation);
        });
        if is_news {
            log::info!(target:% = host; "target says no more that it leaves");
        }
    }

    /// Postpones the next check of a target that still leaves or does not answer.
    fn on_leaving_confirmed(&self, host: &HostId, incarnation: Incarnation) {
        let now = self.clock.now();
        let tracker = &mut self.inner().host_tracker;
        tracker.on_leaving_confirmed(host, incarnation, now);
    }
}
