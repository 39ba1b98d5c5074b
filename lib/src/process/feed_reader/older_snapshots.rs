//! Decides whether a snapshot is used that is older than the records that are known.

use std::time::Duration;
use std::time::Instant;

use crate::ids::Revision;

/// How long older snapshots are not used. A copy of the platform that lags catches up within this time;
/// after it, the platform itself has gone back and accepts no write that proves it.
const LAG_MAX: Duration = Duration::from_secs(30);

/// The snapshots of a feed that are older than the known records.
///
/// ```
/// use std::time::Instant;
///
/// use beryltray_lib::ids::Revision;
/// use beryltray_lib::process::feed_reader::OlderSnapshots;
///
/// let mut older = OlderSnapshots::default();
/// let now = Instant::now();
/// assert!(older.is_used(Revision(7), None, now));
/// assert!(!older.is_used(Revision(7), Some(Revision(9)), now));
/// assert!(older.is_used(Revision(9), Some(Revision(9)), now));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct OlderSnapshots {
    /// When the first of them was read; `None` if the last snapshot was not older.
    since: Option<Instant>,
}

impl OlderSnapshots {
    /// Returns whether a snapshot of `revision` is used, if the records are `known` up to a revision.
    pub fn is_used(&mut self, revision: Revision, known: Option<Revision>, now: Instant) -> bool {
        if known.is_none_or(|known| revision >= known) {
            self.since = None;
            return true;
        }
        let since = *self.since.get_or_insert(now);
        now.saturating_duration_since(since) >= LAG_MAX
    }

    /// Records that the platform itself has not gone back.
    pub fn on_platform_confirmed(&mut self) {
        self.since = None;
    }
}
