//! Determines whether a claim of another entry still counts as in flight.

use std::time::Duration;
use std::time::Instant;

use crate::ids::Revision;
use crate::platform::rows::ClaimRow;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;

use super::types::LiveEntry;
use super::types::WorkKey;

/// The maximum number of claims whose first observation is remembered.
const SEEN_LIMIT: usize = 4096;

#[derive(Clone, Debug)]
struct SeenClaim {
    work: WorkKey,
    revision: Revision,
    first_seen_at: Instant,
}

impl Keyed for SeenClaim {
    type Key = WorkKey;

    fn key(&self) -> &WorkKey {
        &self.work
    }
}

/// Liveness of the entries that hold claims.
///
/// It decides only between the answers "in progress" and "may have run". A claim is never taken
/// over, whatever the state of its holder.
#[derive(Clone, Debug, Default)]
pub(super) struct Holders {
    live: SortedVec<LiveEntry>,
    seen: SortedVec<SeenClaim>,
}

impl Holders {
    /// Replaces the list of live entries.
    pub(super) fn set_live(&mut self, live: Vec<LiveEntry>) {
        self.live = SortedVec::new();
        for entry in live {
            self.live.insert(entry);
        }
    }

    /// Returns whether a started claim counts as in flight.
    ///
    /// A claim counts as in flight while its entry is alive with the same incarnation, and no
    /// longer counts once the entry has restarted. If the entry is not known to be alive, the claim
    /// counts for `abandon_after` from the time at which this process first read it.
    pub(super) fn is_in_flight(
        &mut self,
        work: &WorkKey,
        claim: &ClaimRow,
        revision: Revision,
        abandon_after: Duration,
        now: Instant,
    ) -> bool {
        match self.live.get(&claim.entry) {
            Some(live) if live.incarnation == claim.incarnation => true,
            Some(live) if live.incarnation > claim.incarnation => false,
            _ => now.duration_since(self.first_seen(work, revision, now)) < abandon_after,
        }
    }

    fn first_seen(&mut self, work: &WorkKey, revision: Revision, now: Instant) -> Instant {
        let seen = self.seen.get(work);
        if let Some(seen) = seen.filter(|seen| seen.revision == revision) {
            return seen.first_seen_at;
        }
        if self.seen.len() >= SEEN_LIMIT {
            self.drop_oldest();
        }
        self.seen.insert(SeenClaim {
            work: work.clone(),
            revision,
            first_seen_at: now,
        });
        now
    }

    fn drop_oldest(&mut self) {
        let oldest = self.seen.iter().map(|seen| seen.first_seen_at).min();
        self.seen.retain(|seen| Some(seen.first_seen_at) != oldest);
    }
}
