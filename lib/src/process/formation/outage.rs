//! How long removals are held back after an outage of the registry.

use std::time::Duration;
use std::time::Instant;

/// How long a removal that is newer than an outage is held back, from the time at which the host was
/// last known to be listed. Hosts that are up write their records again in that time.
const NEW_REMOVAL_DELAY_MAX: Duration = Duration::from_millis(1_500);

/// The end of an outage of the registry.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outage {
    /// Until when records that expired during the outage may return.
    records_return_until: Instant,
    /// Whether no read since the outage had all changes, so that the next removals may be due to it.
    is_incomplete: bool,
}

impl Outage {
    /// Returns an outage that ends now. Records may return for `grace`.
    pub(super) fn ended(now: Instant, grace: Duration) -> Self {
        Self {
            records_return_until: now + grace,
            is_incomplete: true,
        }
    }

    /// Records that the registry was read and that no changes until then are missing.
    pub(super) fn on_complete_read(&mut self) {
        self.is_incomplete = false;
    }

    /// Returns when the removals take effect that are read now. The hosts were listed at `listed_at`.
    pub(super) fn removals_effective_at(
        &self,
        listed_at: Option<Instant>,
        now: Instant,
    ) -> Instant {
        let held_back_until = match listed_at {
            Some(at) if !self.is_incomplete => {
                self.records_return_until.min(at + NEW_REMOVAL_DELAY_MAX)
            }
            _ => self.records_return_until,
        };
        held_back_until.max(now)
    }
}
