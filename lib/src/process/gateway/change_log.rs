//! The latest changes of records, kept so that an entry can pass them on to others.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::ids::Revision;
use crate::platform::feed::Changes;

/// The most batches of changes that are kept; an entry that is further behind reads all anew.
const BATCHES_MAX: usize = 512;
/// How long ago the platform must have confirmed the log for it to be passed on: its calls are
/// held for less, and what follows it must hear of a change well within two seconds.
const CONFIRMED_AGE_MAX: Duration = Duration::from_millis(1_100);

/// The latest changes of one kind of records, in the platform's revisions.
#[derive(Clone, Debug)]
pub struct ChangeLog<T> {
    batches: VecDeque<Changes<T>>,
    /// The revision from which all changes are here.
    floor: Revision,
    revision: Option<Revision>,
    confirmed_at: Option<Instant>,
}

impl<T> Default for ChangeLog<T> {
    fn default() -> Self {
        Self {
            batches: VecDeque::new(),
            floor: Revision(0),
            revision: None,
            confirmed_at: None,
        }
    }
}

impl<T> ChangeLog<T>
where
    T: Clone,
{
    /// Takes note that all records were read as of a revision.
    pub fn on_snapshot(&mut self, revision: Revision) {
        self.batches.clear();
        self.floor = revision;
        self.revision = Some(revision);
    }

    /// Takes note that the platform itself answered. What another entry passed on confirms nothing:
    /// two entries that follow each other would never find out that they reach nobody else.
    pub fn confirm(&mut self, now: Instant) {
        self.confirmed_at = Some(now);
    }

    /// Takes changes, which may be none.
    pub fn on_changes(&mut self, changes: Changes<T>) {
        self.revision = self.revision.max(Some(changes.revision));
        if changes.changed.is_empty() && changes.removed.is_empty() {
            return;
        }
        self.batches.push_back(changes);
        if self.batches.len() > BATCHES_MAX
            && let Some(oldest) = self.batches.pop_front()
        {
            self.floor = oldest.revision;
        }
    }

    /// Returns the revision up to which the log goes, if the platform has confirmed it lately.
    pub fn confirmed_revision(&self, now: Instant) -> Option<Revision> {
        let confirmed_at = self.confirmed_at?;
        let is_recent = now.saturating_duration_since(confirmed_at) < CONFIRMED_AGE_MAX;
        self.revision.filter(|_| is_recent)
    }

    /// Returns what has changed after `since`, or `None` if the log does not go back so far.
    ///
    /// A batch that was only partly known is returned whole; its records are taken again.
    pub fn changes_since(&self, since: Revision) -> Option<Changes<T>> {
        if since < self.floor {
            return None;
        }
        let mut changes = Changes {
            changed: Vec::new(),
            removed: Vec::new(),
            revision: since.max(self.revision.unwrap_or(since)),
        };
        for batch in self.batches.iter().filter(|batch| batch.revision > since) {
            changes.changed.extend(batch.changed.iter().cloned());
            changes.removed.extend(batch.removed.iter().cloned());
        }
        Some(changes)
    }
}
