//! Decides what a snapshot of the platform counts as.
//!
//! A copy of the platform that lags may answer a read of all records. The answer doesn't show it, so a
//! snapshot is compared with the newest revision that the platform's feed told before the snapshot was asked
//! for. The feed can't tell that to a reader from before the end of its history, or to one without records.
//! Then it is asked for the changes since the snapshot.

use crate::ids::Revision;

/// What the platform's feed tells of its newest revision, to a reader that knows an earlier one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NewestRevision {
    /// The platform had come to this revision.
    Told(Revision),
    /// The history no longer goes back to the reader's revision.
    HistoryLost,
    /// There was no answer in time.
    NotTold,
}

/// What the platform's feed tells of the changes since a snapshot, without a wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangesSince {
    /// There are none.
    None,
    /// There are some.
    Some,
    /// The history doesn't go back to the snapshot.
    HistoryLost,
    /// There was no answer in time.
    NotTold,
}

/// What a snapshot counts as.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SnapshotUse {
    /// It has all changes that were made until the check began.
    Complete,
    /// It is not known to lag. Only the feed shows whether it lacks changes.
    Unproven,
    /// The feed must be asked for the changes since the snapshot.
    InDoubt,
    /// It was answered by a copy that lags.
    Lagging,
}

/// What is known of the platform's revision before a snapshot.
///
/// ```
/// use beryltray_lib::ids::Revision;
/// use beryltray_lib::process::feed_reader::ChangesSince;
/// use beryltray_lib::process::feed_reader::NewestRevision;
/// use beryltray_lib::process::feed_reader::SnapshotCheck;
/// use beryltray_lib::process::feed_reader::SnapshotUse;
///
/// let known = Revision(7);
/// let check = SnapshotCheck::after_records(known, NewestRevision::Told(Revision(9)));
/// assert_eq!(check.judge(Revision(9)), SnapshotUse::Complete);
/// assert_eq!(check.judge(Revision(8)), SnapshotUse::Lagging);
///
/// let check = SnapshotCheck::after_records(known, NewestRevision::HistoryLost);
/// assert_eq!(check.judge(Revision(8)), SnapshotUse::InDoubt);
/// assert_eq!(SnapshotCheck::judge_in_doubt(ChangesSince::HistoryLost), SnapshotUse::Lagging);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct SnapshotCheck {
    reached: Option<Revision>,
    newest_before: Option<NewestRevision>,
}

impl SnapshotCheck {
    /// Creates the check of a reader without records. `reached` is a revision that the platform had reached by
    /// its writes, if any is known.
    pub fn of_first(reached: Option<Revision>) -> Self {
        Self {
            reached,
            newest_before: None,
        }
    }

    /// Creates the check of a reader that has read the records up to `known`, and whom the feed told
    /// `newest_before` before the snapshot was asked for.
    pub fn after_records(known: Revision, newest_before: NewestRevision) -> Self {
        let reached = match newest_before {
            NewestRevision::Told(newest) => newest.max(known),
            NewestRevision::HistoryLost | NewestRevision::NotTold => known,
        };
        Self {
            reached: Some(reached),
            newest_before: Some(newest_before),
        }
    }

    /// Returns the revision that the platform had reached before the snapshot; `None` if none is known.
    pub fn reached(&self) -> Option<Revision> {
        self.reached
    }

    /// Returns what a snapshot of `revision` counts as.
    pub fn judge(&self, revision: Revision) -> SnapshotUse {
        if Some(revision) < self.reached {
            return SnapshotUse::Lagging;
        }
        match self.newest_before {
            Some(NewestRevision::Told(_)) => SnapshotUse::Complete,
            Some(NewestRevision::NotTold) => SnapshotUse::Unproven,
            Some(NewestRevision::HistoryLost) | None => SnapshotUse::InDoubt,
        }
    }

    /// Returns what a snapshot in doubt counts as by the changes since it.
    pub fn judge_in_doubt(changes: ChangesSince) -> SnapshotUse {
        match changes {
            ChangesSince::None => SnapshotUse::Complete,
            ChangesSince::Some | ChangesSince::NotTold => SnapshotUse::Unproven,
            ChangesSince::HistoryLost => SnapshotUse::Lagging,
        }
    }
}
