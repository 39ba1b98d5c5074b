//! Decides which read of a feed comes next.
//!
//! Changes since a revision may have each state that a record had in between, so they grow with the
//! time since the last read, while a snapshot has each record once. If changes were read at any size,
//! a reader whose link carries them more slowly than they are made would fall behind further with
//! each read.

use crate::ids::Revision;

/// Changes up to this size are read in any case. A link of 20 Mbit/s carries them in a tenth of a
/// second.
const CHANGES_MIN_BYTES: usize = 256 * 1024;

/// The next read of a feed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextRead {
    /// All records.
    Snapshot,
    /// The changes after a revision, unless they are larger than the limit.
    Changes {
        /// The revision of the last read.
        since: Revision,
        /// The size above which a snapshot is read instead.
        limit_bytes: usize,
    },
}

/// The reads of a feed.
///
/// ```
/// use beryltray_lib::ids::Revision;
/// use beryltray_lib::process::gateway::NextRead;
/// use beryltray_lib::process::gateway::ReadPlan;
///
/// let mut plan = ReadPlan::new(1);
/// assert_eq!(plan.next_read(), NextRead::Snapshot);
/// plan.on_snapshot(Revision(7), 1_000_000, true);
/// let limit_bytes = 1_500_000;
/// assert_eq!(plan.next_read(), NextRead::Changes { since: Revision(7), limit_bytes });
/// plan.on_changes_too_large();
/// assert_eq!(plan.next_read(), NextRead::Snapshot);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ReadPlan {
    /// After how many lost answers a snapshot is read.
    lost_answers_max: u32,
    /// The answers that were lost since the last successful read.
    lost_answers: u32,
    /// The revision of the last read; `None` if a snapshot must be read first.
    revision: Option<Revision>,
    snapshot_bytes: usize,
    /// Whether the changes were too large, and no snapshot without news was read since.
    is_behind: bool,
}

impl ReadPlan {
    /// Creates the plan of a reader without records. A snapshot is read after `lost_answers_max` reads
    /// of changes without a complete answer one after the other, since the size of the changes may be
    /// the reason.
    pub fn new(lost_answers_max: u32) -> Self {
        Self {
            lost_answers_max,
            lost_answers: 0,
            revision: None,
            snapshot_bytes: 0,
            is_behind: false,
        }
    }

    /// Returns the next read.
    pub fn next_read(&self) -> NextRead {
        let period = self.lost_answers_max.saturating_add(1);
        let are_changes_lost = self.lost_answers % period == self.lost_answers_max;
        match self.revision {
            Some(since) if !self.is_behind && !are_changes_lost => NextRead::Changes {
                since,
                limit_bytes: CHANGES_MIN_BYTES.max(self.snapshot_bytes + self.snapshot_bytes / 2),
            },
            _ => NextRead::Snapshot,
        }
    }

    /// Records a snapshot. `has_news` tells whether the reader has caught up with changes by it: then
    /// more may have been made while it was read, and another snapshot is read.
    pub fn on_snapshot(&mut self, revision: Revision, size_bytes: usize, has_news: bool) {
        self.revision = Some(revision);
        self.lost_answers = 0;
        self.snapshot_bytes = size_bytes;
        self.is_behind &= has_news;
    }

    /// Records changes up to a revision.
    pub fn on_changes(&mut self, revision: Revision) {
        self.revision = Some(revision);
        self.lost_answers = 0;
    }

    /// Records that the changes exceed the limit.
    pub fn on_changes_too_large(&mut self) {
        self.is_behind = true;
    }

    /// Records that changes after the last revision are no longer available.
    pub fn on_history_lost(&mut self) {
        self.revision = None;
    }

    /// Returns whether snapshots are repeated.
    pub fn is_behind(&self) -> bool {
        self.is_behind
    }

    /// Records that a read failed before an answer began, so that its size is not the reason.
    pub fn on_failure(&mut self) {
        self.is_behind = false;
    }

    /// Records that a read had no complete answer in time. Changes are read again after a lost snapshot,
    /// since other entries can be asked for these at the same time.
    pub fn on_lost_answer(&mut self) {
        self.lost_answers = self.lost_answers.saturating_add(1);
        self.is_behind = false;
    }
}
