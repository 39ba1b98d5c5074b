//! Log lines for targets whose records begin or cease to say that they accept requests.

use std::time::Duration;

use super::state::GatewayState;
use crate::clock::Clock;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::Revision;
use crate::platform::feed::Changes;
use crate::process::formation::HostTracker;
use crate::process::formation::TrackedHost;
use crate::target::record::Availability;
use crate::target::record::TargetRecord;

/// What the registry last said of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Listing {
    incarnation: Incarnation,
    /// `None` if the target's record was removed.
    availability: Option<Availability>,
}

impl Listing {
    fn of(tracked: &TrackedHost) -> Self {
        let availability = tracked.record.availability;
        Self {
            incarnation: tracked.record.incarnation,
            availability: tracked.unlisted_from.is_none().then_some(availability),
        }
    }

    fn text(self) -> String {
        match self.availability {
            Some(availability) => availability.to_string(),
            None => String::from("removed"),
        }
    }
}

/// What the registry last said of some targets; `None` for those that were not known.
#[derive(Clone, Debug, Default)]
pub(super) struct Listings(Vec<(HostId, Option<Listing>)>);

impl Listings {
    /// Returns the listings of the targets that a snapshot lists or removes.
    pub(super) fn of_snapshot(tracker: &HostTracker, records: &[TargetRecord]) -> Self {
        let is_unknown = |record: &&TargetRecord| tracker.get(&record.host).is_none();
        let known = tracker.iter();
        let known = known.map(|tracked| (tracked.record.host.clone(), Some(Listing::of(tracked))));
        let unknown = records.iter().filter(is_unknown);
        let unknown = unknown.map(|record| (record.host.clone(), None));
        Self(known.chain(unknown).collect())
    }

    /// Returns the listings of the targets whose records have changed.
    pub(super) fn of_changes(tracker: &HostTracker, changes: &Changes<TargetRecord>) -> Self {
        let changed = changes.changed.iter().map(|record| record.host.clone());
        let removed = changes.removed.iter().filter_map(|host| host.parse().ok());
        let listing = |host: HostId| {
            let known = tracker.get(&host).map(Listing::of);
            (host, known)
        };
        Self(changed.chain(removed).map(listing).collect())
    }
}

impl<C> GatewayState<C>
where
    C: Clock,
{
    /// Logs each target whose listing differs from that in `before`. `source` says what was read.
    pub(super) fn log_listings(&self, before: &Listings, revision: Revision, source: &str) {
        let now = self.clock.now();
        let inner = self.inner();
        let records_age_ms = ms_text(inner.target_log.age(now));
        for (host, known) in &before.0 {
            let Some(tracked) = inner.host_tracker.get(host) else {
                continue;
            };
            let listing = Listing::of(tracked);
            if *known == Some(listing) {
                continue;
            }
            let held_back = tracked
                .unlisted_from
                .map(|at| at.saturating_duration_since(now));
            log::info!(
                target:% = host, service:% = tracked.record.service,
                incarnation:% = listing.incarnation, record = listing.text().as_str(),
                before = known.map_or_else(|| String::from("none"), Listing::text).as_str(),
                revision = revision.0, source = source, records_age_ms = records_age_ms.as_str(),
                held_back_ms = ms_text(held_back).as_str();
                "record of a target changed"
            );
        }
    }
}

/// Returns a time in milliseconds, or "none".
fn ms_text(time: Option<Duration>) -> String {
    time.map_or_else(|| String::from("none"), |time| time.as_millis().to_string())
}
