//! Decides which read of a feed comes next, and tells as of when its reader knows all changes.
//!
//! Changes since a revision may have each state that a record had in between, so they grow with the
//! time since the last read, while a snapshot has each record once. If changes were read at any size,
//! a reader whose link carries them more slowly than they are made would fall behind further with
//! each read.
//!
//! An answer with changes may end early: the platform bounds its size, and the rest comes with the next
//! read. Such a reader must not take itself for current. Only these show that nothing is missing: an
//! answer without changes, or a snapshot or changes up to a revision that was the platform's newest.
//!
//! A change that the feed doesn't bring would never be noticed by its reader, which is sure that it has
//! all of them. So a snapshot is also read at intervals, if the settings say so.

use std::time::Duration;
use std::time::Instant;

use crate::ids::Revision;
use crate::platform::feed::RecordSource;

/// Changes up to this size are read in any case. A link of 20 Mbit/s carries them in a tenth of a
/// second.
const CHANGES_MIN_BYTES: usize = 256 * 1024;
/// How long after a linearizable read a snapshot is read for records that it lacks, if the settings have no
/// interval.
const UNKNOWN_RECORDS_DELAY: Duration = Duration::from_secs(1);
/// The least size limit of an answer, so that one without changes can always be read.
const ANSWER_MIN_BYTES: usize = 64 * 1024;

/// How a feed is read.
#[derive(Clone, Copy, Debug)]
pub struct ReadPlanSettings {
    /// After how many reads of changes without a complete answer one after the other a snapshot is
    /// read, since the size of the changes may be the reason.
    pub lost_answers_max: u32,
    /// How many answers in a row may fail to show that no changes are missing, once that is checked,
    /// before a snapshot is read.
    pub unproven_answers_max: u32,
    /// The longest wait for a change.
    pub wait_max: Duration,
    /// After an answer with changes, how long after the time as of which all changes are known it is
    /// checked that none are missing.
    pub check_after: Duration,
    /// How long after a snapshot another one is read at the platform, in case the feed has missed a change;
    /// `None` if none is read for that.
    pub resync_after: Option<Duration>,
}

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
        /// The longest time to wait for a change.
        wait_max: Duration,
        /// Whether the platform's newest revision is read at the same time.
        with_newest_revision: bool,
    },
}

/// An answer of the platform to a read of changes.
#[derive(Clone, Copy, Debug)]
pub struct ChangesAnswer {
    /// The revision from which the feed is read next.
    pub revision: Revision,
    /// The size of the answer.
    pub size_bytes: usize,
    /// Whether it has rows, also such as can't be decoded.
    pub has_changes: bool,
    /// When the platform answered. If there are no changes, all that were made until then are known.
    pub answered_at: Instant,
}

/// The reads of a feed.
///
/// ```
/// use std::time::Duration;
/// use std::time::Instant;
///
/// use beryltray_lib::ids::Revision;
/// use beryltray_lib::platform::feed::RecordSource;
/// use beryltray_lib::process::feed_reader::NextRead;
/// use beryltray_lib::process::feed_reader::ReadPlan;
/// use beryltray_lib::process::feed_reader::ReadPlanSettings;
///
/// let mut plan = ReadPlan::new(ReadPlanSettings {
///     lost_answers_max: 1,
///     unproven_answers_max: 1,
///     wait_max: Duration::from_millis(800),
///     check_after: Duration::ZERO,
///     resync_after: None,
/// });
/// let now = Instant::now();
/// let source = RecordSource::Platform;
/// assert_eq!(plan.next_read(source, now), NextRead::Snapshot);
/// plan.on_snapshot_request(now);
/// plan.on_snapshot(Revision(7), 1_000_000, true);
/// plan.on_complete(now);
/// let changes = NextRead::Changes {
///     since: Revision(7),
///     limit_bytes: 1_500_000,
///     wait_max: Duration::from_millis(800),
///     with_newest_revision: false,
/// };
/// assert_eq!(plan.next_read(source, now), changes);
/// plan.on_changes_too_large();
/// assert_eq!(plan.next_read(source, now), NextRead::Snapshot);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ReadPlan {
    settings: ReadPlanSettings,
    /// The answers that were lost since the last successful read.
    lost_answers: u32,
    /// The revision of the last read; `None` if a snapshot must be read first.
    revision: Option<Revision>,
    snapshot_bytes: usize,
    /// When a snapshot was asked for last.
    snapshot_asked_at: Option<Instant>,
    /// Whether snapshots are read after [`ReadPlanSettings::resync_after`].
    is_resync_allowed: bool,
    /// Whether a snapshot was answered by a copy that lags, so that changes are read at any size until
    /// none are missing.
    is_snapshot_lagging: bool,
    /// Whether the last snapshot is not known to have all changes of some time, so that the feed must show it.
    is_snapshot_unproven: bool,
    /// Whether records may be missing whose keys were not known to a linearizable read.
    may_lack_records: bool,
    /// Whether the changes were too large, and no snapshot without news was read since.
    is_behind: bool,
    /// Whether the platform has been away since the last snapshot, so that it may have come back in an earlier state.
    is_after_outage: bool,
    /// The time as of which all changes are known; `None` if there is none.
    complete_at: Option<Instant>,
    /// The size of the answers with changes since then.
    unproven_bytes: usize,
    /// The answers with changes since [`ReadPlan::newest`] was read.
    unproven_answers: u32,
    /// The newest revision of the platform at a time or later.
    newest: Option<(Revision, Instant)>,
}

impl ReadPlan {
    /// Creates the plan of a reader without records.
    pub fn new(settings: ReadPlanSettings) -> Self {
        Self {
            settings,
            lost_answers: 0,
            revision: None,
            snapshot_bytes: 0,
            snapshot_asked_at: None,
            is_resync_allowed: true,
            is_snapshot_lagging: false,
            is_snapshot_unproven: false,
            may_lack_records: false,
            is_behind: false,
            is_after_outage: false,
            complete_at: None,
            unproven_bytes: 0,
            unproven_answers: 0,
            newest: None,
        }
    }

    /// Returns the next read, which is made at `source`.
    pub fn next_read(&self, source: RecordSource, now: Instant) -> NextRead {
        // Another entry can't tell whether changes are missing that were read at the platform.
        let is_relayed = matches!(source, RecordSource::Entry(_));
        let time_until_resync = self.time_until_resync(now).filter(|_| !is_relayed);
        let is_snapshot = !self.is_snapshot_lagging
            && (self.needs_snapshot()
                || (is_relayed && self.is_unproven_too_large())
                || (!is_relayed && self.is_after_outage)
                || time_until_resync == Some(Duration::ZERO));
        let Some(since) = self.revision.filter(|_| !is_snapshot) else {
            return NextRead::Snapshot;
        };
        let limit_bytes = self.limit_bytes().saturating_sub(self.unproven_bytes);
        let limit_bytes = if self.is_snapshot_lagging {
            usize::MAX
        } else {
            limit_bytes.max(ANSWER_MIN_BYTES)
        };
        let time_until_check = match source {
            RecordSource::Platform => self.time_until_check(now),
            // Another entry says as of when its records are complete.
            RecordSource::Entry(_) => None,
        };
        let wait_max = self.settings.wait_max;
        let wait_max = time_until_check.map_or(wait_max, |time| time.min(wait_max));
        let wait_max = time_until_resync.map_or(wait_max, |time| time.min(wait_max));
        NextRead::Changes {
            since,
            limit_bytes,
            wait_max,
            with_newest_revision: time_until_check == Some(Duration::ZERO) && self.newest.is_none(),
        }
    }

    /// Returns the time until it is checked that no changes are missing; `None` if none can be.
    pub fn time_until_check(&self, now: Instant) -> Option<Duration> {
        if self.is_snapshot_unproven {
            return Some(Duration::ZERO);
        }
        if self.unproven_bytes == 0 {
            return None;
        }
        let complete_at = self.complete_at.filter(|_| !self.is_unproven_too_large());
        Some(complete_at.map_or(Duration::ZERO, |at| {
            (at + self.settings.check_after).saturating_duration_since(now)
        }))
    }

    /// Returns the time until a snapshot is read in case the feed has missed a change, or for records that a
    /// linearizable read lacks; `None` if none is.
    fn time_until_resync(&self, now: Instant) -> Option<Duration> {
        let for_unknown = self.may_lack_records.then_some(UNKNOWN_RECORDS_DELAY);
        let resync_after = self.settings.resync_after.or(for_unknown)?;
        let due_at = self.snapshot_asked_at? + resync_after;
        let time = due_at.saturating_duration_since(now);
        let is_allowed = self.is_resync_allowed || self.may_lack_records;
        (is_allowed && !self.is_snapshot_lagging).then_some(time)
    }

    fn needs_snapshot(&self) -> bool {
        let period = self.settings.lost_answers_max.saturating_add(1);
        self.is_behind
            || self.lost_answers % period == self.settings.lost_answers_max
            || self.unproven_answers >= self.settings.unproven_answers_max
    }

    /// Returns whether the answers that prove nothing are together larger than a snapshot.
    fn is_unproven_too_large(&self) -> bool {
        self.unproven_bytes >= self.limit_bytes()
    }

    /// Returns the size up to which changes cost less than a snapshot.
    fn limit_bytes(&self) -> usize {
        CHANGES_MIN_BYTES.max(self.snapshot_bytes + self.snapshot_bytes / 2)
    }

    /// Records that all changes until `at` are known.
    pub fn on_complete(&mut self, at: Instant) {
        self.complete_at = self.complete_at.max(Some(at));
        self.is_snapshot_lagging = false;
        self.is_snapshot_unproven = false;
        self.unproven_bytes = 0;
        self.unproven_answers = 0;
        self.newest = None;
    }

    /// Sets whether snapshots are read after [`ReadPlanSettings::resync_after`].
    pub fn set_resync_allowed(&mut self, is_allowed: bool) {
        self.is_resync_allowed = is_allowed;
    }

    /// Records that a snapshot is asked for. Unless the plan needs it for another reason, the next one follows
    /// after the time of the settings, also if this one fails.
    pub fn on_snapshot_request(&mut self, now: Instant) {
        self.snapshot_asked_at = Some(now);
    }

    /// Returns whether the feed has been read up to `revision`, so that a change of that revision that the
    /// reader doesn't have was missed.
    pub fn has_reached(&self, revision: Revision) -> bool {
        self.revision >= Some(revision)
    }

    /// Records a snapshot. Unless [`ReadPlan::on_complete`] follows, the feed is read at once to show that no
    /// changes are missing. `has_news` tells whether the reader has caught up with changes by it: then
    /// more may have been made while it was read, and another snapshot is read.
    pub fn on_snapshot(&mut self, revision: Revision, size_bytes: usize, has_news: bool) {
        self.revision = Some(revision);
        self.lost_answers = 0;
        self.snapshot_bytes = size_bytes;
        self.is_snapshot_unproven = true;
        self.may_lack_records = false;
        self.is_after_outage = false;
        self.is_behind &= has_news;
        self.unproven_answers = 0;
    }

    /// Records a linearizable read of all records whose keys are known, which was asked for at `asked_at`.
    pub fn on_linearizable_read(&mut self, revision: Revision, asked_at: Instant) {
        self.revision = Some(revision);
        self.lost_answers = 0;
        self.is_behind = false;
        self.is_after_outage = false;
        self.may_lack_records = true;
        self.on_complete(asked_at);
    }

    /// Records the platform's newest revision, which was asked for at `asked_at`: all changes that were
    /// made until then are known once the feed has been read up to it. `None` if the platform didn't tell
    /// it, so that only an answer without changes shows that none are missing.
    pub fn on_newest_revision(&mut self, newest: Option<Revision>, asked_at: Instant) {
        // One below a revision that has been read is that of a copy that lags.
        let newest = newest.filter(|newest| self.revision <= Some(*newest));
        self.newest = Some((newest.unwrap_or(Revision(u64::MAX)), asked_at));
    }

    /// Records changes from the platform. Returns the time as of which all changes are known if the
    /// answer shows that none are missing.
    pub fn on_changes(&mut self, answer: &ChangesAnswer) -> Option<Instant> {
        // The same changes would be read without end.
        self.is_behind |= answer.has_changes && self.revision >= Some(answer.revision);
        self.revision = self.revision.max(Some(answer.revision));
        self.lost_answers = 0;
        let reached = self.newest.filter(|(newest, _)| *newest <= answer.revision);
        let complete_at = if answer.has_changes {
            reached.map(|(_, asked_at)| asked_at)
        } else {
            Some(answer.answered_at)
        };
        if let Some(at) = complete_at {
            self.on_complete(at);
        } else {
            self.unproven_bytes = self.unproven_bytes.saturating_add(answer.size_bytes);
            if self.newest.is_some() {
                self.unproven_answers += 1;
            }
        }
        complete_at
    }

    /// Records that the platform answers again after an outage. A snapshot is read there: if the platform has come
    /// back in an earlier state, changes since a revision that it had given out before lack what was written up to
    /// that revision since.
    pub fn on_outage_ended(&mut self) {
        self.is_after_outage = true;
    }

    /// Records changes that another entry passes on, with the time as of which it knows all changes.
    pub fn on_relayed_changes(&mut self, revision: Revision, complete_at: Option<Instant>) {
        self.revision = self.revision.max(Some(revision));
        self.lost_answers = 0;
        // That entry reads a snapshot after an outage, and passes all of it on.
        self.is_after_outage = false;
        if let Some(at) = complete_at {
            self.on_complete(at);
        }
    }

    /// Records that the changes exceed the limit.
    pub fn on_changes_too_large(&mut self) {
        self.is_behind = true;
        self.is_snapshot_lagging = false;
    }

    /// Records that a snapshot was answered by a copy that lags.
    pub fn on_lagging_snapshot(&mut self) {
        self.on_failure();
        self.is_snapshot_lagging = true;
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
        self.unproven_answers = 0;
        self.newest = None;
    }

    /// Records that a read had no complete answer in time. Changes are read again after a lost snapshot,
    /// since other entries can be asked for these at the same time.
    pub fn on_lost_answer(&mut self) {
        self.lost_answers = self.lost_answers.saturating_add(1);
        self.on_failure();
    }
}
