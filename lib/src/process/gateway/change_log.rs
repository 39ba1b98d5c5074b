//! The latest changes of records, from which an entry serves the entries that read from it.
//!
//! A reader that is behind needs the newest state of each record that changed, not each change. So the
//! log keeps one state per key, and its size depends on what is listed and not on how often that
//! changes. Removals have no record, so their number would grow for ever; the oldest are dropped, and
//! a reader that is behind those reads a snapshot.

use std::time::Duration;
use std::time::Instant;

use crate::ids::Revision;
use crate::platform::feed::Changes;
use crate::platform::feed::FeedRecord;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;

/// The memory for removals: those of some thousand hosts, more than are lost within the seconds that a
/// reader is behind.
const REMOVALS_MAX_BYTES: usize = 512 * 1024;

/// The newest state of a record that has changed.
#[derive(Clone, Debug)]
struct LoggedRecord<T> {
    key: String,
    /// The revision of the changes that the state was read with.
    revision: Revision,
    /// The record; `None` if it was removed.
    record: Option<T>,
}

impl<T> Keyed for LoggedRecord<T> {
    type Key = String;

    fn key(&self) -> &String {
        &self.key
    }
}

impl<T> LoggedRecord<T>
where
    T: FeedRecord,
{
    fn size_bytes(&self) -> usize {
        let record = self.record.as_ref().map_or(0, FeedRecord::size_bytes);
        self.key_bytes() + record
    }

    fn key_bytes(&self) -> usize {
        std::mem::size_of::<Self>() + self.key.len()
    }
}

/// The latest changes of one kind of record, with the platform's revisions.
#[derive(Clone, Debug)]
pub struct ChangeLog<T> {
    records: SortedVec<LoggedRecord<T>>,
    /// The memory of all logged states, in bytes.
    size_bytes: usize,
    /// The part of it that removals take.
    removals_bytes: usize,
    /// The revision after which the log is complete.
    complete_after: Revision,
    revision: Option<Revision>,
    confirmed_at: Option<Instant>,
    answered_at: Option<Instant>,
}

impl<T> Default for ChangeLog<T> {
    fn default() -> Self {
        Self {
            records: SortedVec::new(),
            size_bytes: 0,
            removals_bytes: 0,
            complete_after: Revision(0),
            revision: None,
            confirmed_at: None,
            answered_at: None,
        }
    }
}

impl<T> ChangeLog<T>
where
    T: Clone + FeedRecord,
{
    /// Restarts the log at the revision of a snapshot.
    pub fn on_snapshot(&mut self, revision: Revision) {
        self.records = SortedVec::new();
        self.size_bytes = 0;
        self.removals_bytes = 0;
        self.complete_after = revision;
        self.revision = Some(revision);
    }

    /// Forgets all changes and the revision, since the platform has another history. The log is of no use to
    /// readers until a snapshot was read.
    pub fn on_history_ended(&mut self) {
        self.on_snapshot(Revision(0));
        self.revision = None;
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

    /// Records that the platform answered at `at`, here or to the entry that passed the answer on. The
    /// answer may lack changes.
    pub fn on_answered(&mut self, at: Instant) {
        self.answered_at = self.answered_at.max(Some(at));
    }

    /// Returns when the platform last answered.
    pub fn answered_at(&self) -> Option<Instant> {
        self.answered_at
    }

    /// Returns the time since the platform confirmed that the log is complete; `None` if it has not
    /// answered yet.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let confirmed_at = self.confirmed_at?;
        Some(now.saturating_duration_since(confirmed_at))
    }

    /// Adds a batch of changes, which may be empty. They replace the known states of their records.
    pub fn on_changes(&mut self, changes: Changes<T>) {
        self.revision = self.revision.max(Some(changes.revision));
        self.on_states(changes);
    }

    /// Adds states of some records that were read apart from the others, as of a later revision than that up to
    /// which all changes are known. Readers that have come that far are sent them, too.
    pub fn on_states(&mut self, changes: Changes<T>) {
        for key in changes.removed {
            self.log_state(LoggedRecord {
                key,
                revision: changes.revision,
                record: None,
            });
        }
        for record in changes.changed {
            let key = record.feed_key().into_owned();
            let known = self.records.get(&key);
            let known = known.and_then(|known| known.record.as_ref());
            if known.is_some_and(|known| !record.replaces(known)) {
                continue;
            }
            self.log_state(LoggedRecord {
                key,
                revision: changes.revision,
                record: Some(record),
            });
        }
        self.drop_oldest_removals();
    }

    fn log_state(&mut self, logged: LoggedRecord<T>) {
        self.size_bytes += logged.size_bytes();
        if logged.record.is_none() {
            self.removals_bytes += logged.key_bytes();
        }
        if let Some(replaced) = self.records.insert(logged) {
            self.size_bytes -= replaced.size_bytes();
            if replaced.record.is_none() {
                self.removals_bytes -= replaced.key_bytes();
            }
        }
    }

    /// Drops the older half of the removals if they exceed [`REMOVALS_MAX_BYTES`], so that this is
    /// seldom done.
    fn drop_oldest_removals(&mut self) {
        if self.removals_bytes <= REMOVALS_MAX_BYTES {
            return;
        }
        let removals = self.records.iter().filter(|logged| logged.record.is_none());
        let mut revisions: Vec<Revision> = removals.map(|logged| logged.revision).collect();
        revisions.sort();
        let Some(complete_after) = revisions.get(revisions.len() / 2).copied() else {
            return;
        };
        self.complete_after = self.complete_after.max(complete_after);
        let mut dropped_bytes = 0;
        self.records.retain(|logged| {
            let is_dropped = logged.record.is_none() && logged.revision <= complete_after;
            if is_dropped {
                dropped_bytes += logged.key_bytes();
            }
            !is_dropped
        });
        self.size_bytes -= dropped_bytes;
        self.removals_bytes -= dropped_bytes;
    }

    /// Returns about how many bytes of memory the logged states take.
    pub fn size_bytes(&self) -> usize {
        self.size_bytes
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

    /// Returns the newest states of the records that changed after `since`, or `None` if the log does
    /// not go back that far.
    ///
    /// A state is returned in full if its batch includes later revisions than `since`; applying it
    /// again is harmless.
    pub fn changes_since(&self, since: Revision) -> Option<Changes<T>> {
        if since < self.complete_after {
            return None;
        }
        let mut changes = Changes {
            changed: Vec::new(),
            removed: Vec::new(),
            unreadable: Vec::new(),
            revision: since.max(self.revision.unwrap_or(since)),
        };
        for logged in self.records.iter().filter(|logged| logged.revision > since) {
            match &logged.record {
                Some(record) => changes.changed.push(record.clone()),
                None => changes.removed.push(logged.key.clone()),
            }
        }
        Some(changes)
    }
}
