//! A bounded log of record changes, from which an entry serves the entries that read from it.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::ids::Revision;
use crate::platform::feed::Changes;
use crate::platform::feed::FeedRecord;

/// The number of batches that are kept. An entry that is further behind reads a snapshot.
const BATCHES_MAX: usize = 512;
/// The latest changes of one kind of record, with the platform's revisions.
#[derive(Clone, Debug)]
pub struct ChangeLog<T> {
    batches: VecDeque<Changes<T>>,
    /// The revision after which the log is complete.
    complete_after: Revision,
    revision: Option<Revision>,
    confirmed_at: Option<Instant>,
}

impl<T> Default for ChangeLog<T> {
    fn default() -> Self {
        Self {
            batches: VecDeque::new(),
            complete_after: Revision(0),
            revision: None,
            confirmed_at: None,
        }
    }
}

impl<T> ChangeLog<T>
where
    T: Clone + FeedRecord,
{
    /// Restarts the log at the revision of a snapshot.
    pub fn on_snapshot(&mut self, revision: Revision) {
        self.batches.clear();
        self.complete_after = revision;
        self.revision = Some(revision);
    }

    /// Records that the log is complete as of `at`, by an answer of the platform.
    ///
    /// The answer may have come through other entries. `at` is then the time of the platform's
    /// answer to them, not that of their own: otherwise two entries that read from each other could
    /// not detect that neither reaches the platform.
    pub fn confirm(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Returns the time as of which the log is known to be complete; `None` if the platform has not
    /// answered yet.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// Returns the time since the platform confirmed that the log is complete; `None` if it has not
    /// answered yet.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let confirmed_at = self.confirmed_at?;
        Some(now.saturating_duration_since(confirmed_at))
    }

    /// Appends a batch of changes, which may be empty.
    pub fn on_changes(&mut self, changes: Changes<T>) {
        self.revision = self.revision.max(Some(changes.revision));
        if changes.changed.is_empty() && changes.removed.is_empty() {
            return;
        }
        self.batches.push_back(changes);
        if self.batches.len() > BATCHES_MAX
            && let Some(oldest) = self.batches.pop_front()
        {
            self.complete_after = oldest.revision;
        }
    }

    /// Returns the latest revision, or `None` before a snapshot was read.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Returns the latest revision, or `None` if there is none or the last confirmation is older
    /// than `age_max`.
    pub fn confirmed_revision(&self, age_max: Duration, now: Instant) -> Option<Revision> {
        let confirmed_at = self.confirmed_at?;
        let is_recent = now.saturating_duration_since(confirmed_at) < age_max;
        self.revision.filter(|_| is_recent)
    }

    /// Returns the changes after `since`, or `None` if the log does not go back that far.
    ///
    /// A batch whose range includes `since` is returned in full; applying its records again is
    /// harmless.
    pub fn changes_since(&self, since: Revision) -> Option<Changes<T>> {
        if since < self.complete_after {
            return None;
        }
        let mut changes = Changes {
            changed: Vec::new(),
            removed: Vec::new(),
            revision: since.max(self.revision.unwrap_or(since)),
        };
        for batch in self.batches.iter().filter(|batch| batch.revision > since) {
            changes.append(batch.clone());
        }
        Some(changes)
    }
}
