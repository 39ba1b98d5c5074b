//! Tests of what snapshots count as, on a modelled platform whose feed is on time while copies that lag answer
//! reads of all records.

use beryltray_lib::ids::Revision;
use beryltray_lib::process::feed_reader::ChangesSince;
use beryltray_lib::process::feed_reader::NewestRevision;
use beryltray_lib::process::feed_reader::SnapshotCheck;
use beryltray_lib::process::feed_reader::SnapshotUse;
use beryltray_testutils::seeds::quickcheck_with_seed;
use quickcheck::TestResult;

/// A platform that makes a revision in each step of time. Some are changes of the records that are read.
#[derive(Clone, Debug)]
struct Platform {
    /// Whether the revision of each step changes a record.
    changes: Vec<bool>,
    /// By how many steps copies lag.
    lag: u64,
    /// The revision before which the feed has no history.
    history_from: u64,
}

impl Platform {
    /// Returns the revision of a snapshot that is answered at a time.
    fn snapshot_at(&self, now: u64) -> Revision {
        Revision(now.saturating_sub(self.lag))
    }

    fn newest_revision(&self, since: Revision, now: u64) -> NewestRevision {
        if since.0 < self.history_from {
            return NewestRevision::HistoryLost;
        }
        NewestRevision::Told(Revision(now))
    }

    fn changes_since(&self, since: Revision, now: u64) -> ChangesSince {
        if since.0 < self.history_from {
            return ChangesSince::HistoryLost;
        }
        if self.has_change(since.0, now) {
            ChangesSince::Some
        } else {
            ChangesSince::None
        }
    }

    /// Returns whether a record has changed after a revision until another one.
    fn has_change(&self, after: u64, until: u64) -> bool {
        let range = after as usize + 1..until as usize + 1;
        self.changes[range].contains(&true)
    }

    /// Returns what the snapshot of a reader counts as that knows the records of `known`, and its revision.
    fn judge(&self, known: Option<u64>, begun_at: u64) -> (SnapshotUse, Revision) {
        let check = match known.map(Revision) {
            Some(known) => {
                SnapshotCheck::after_records(known, self.newest_revision(known, begun_at))
            }
            None => SnapshotCheck::of_first(None),
        };
        let revision = self.snapshot_at(begun_at + 1);
        let judged = match check.judge(revision) {
            SnapshotUse::InDoubt => {
                SnapshotCheck::judge_in_doubt(self.changes_since(revision, begun_at + 2))
            }
            judged => judged,
        };
        (judged, revision)
    }
}

/// Guards against snapshots of copies that lag which count as the latest state, whatever the feed can tell, and against
/// ones on time that are not used.
#[test]
fn judge_generated_lags_and_histories_is_complete_only_without_missing_changes() {
    fn property(changes: Vec<bool>, lag: u8, known: Option<u8>, history_from: u8) -> TestResult {
        if changes.len() < 8 {
            return TestResult::discard();
        }
        let begun_at = changes.len() as u64 - 3;
        let platform = Platform {
            lag: u64::from(lag) % begun_at,
            // The platform is on the way, so that its newest revision is in the history.
            history_from: u64::from(history_from) % begun_at,
            changes,
        };
        let known = known.map(|known| u64::from(known) % begun_at);
        let (judged, revision) = platform.judge(known, begun_at);
        let is_missing = revision.0 < begun_at && platform.has_change(revision.0, begun_at);
        let is_wrong = match judged {
            SnapshotUse::Complete => is_missing,
            SnapshotUse::Lagging => platform.lag == 0,
            SnapshotUse::Unproven => Some(revision.0) < known,
            SnapshotUse::InDoubt => true,
        };
        if is_wrong {
            return TestResult::error(format!("{platform:?}, {known:?}: {judged:?} at {revision}"));
        }
        TestResult::passed()
    }
    quickcheck_with_seed(65, 5_000)
        .quickcheck(property as fn(Vec<bool>, u8, Option<u8>, u8) -> TestResult);
}

/// Guards against a failed check that counts as a passed one: the history doesn't go back to what the reader knows, nor
/// to the snapshot.
#[test]
fn judge_snapshot_from_before_history_is_lagging() {
    let check = SnapshotCheck::after_records(Revision(3), NewestRevision::HistoryLost);
    assert_eq!(check.judge(Revision(5)), SnapshotUse::InDoubt);
    let judged = SnapshotCheck::judge_in_doubt(ChangesSince::HistoryLost);
    assert_eq!(judged, SnapshotUse::Lagging);
}

/// Guards against a reader of a slow platform that takes what it reads for the latest state.
#[test]
fn judge_without_answers_of_feed_is_unproven() {
    let check = SnapshotCheck::after_records(Revision(3), NewestRevision::NotTold);
    assert_eq!(check.judge(Revision(5)), SnapshotUse::Unproven);
    let judged = SnapshotCheck::judge_in_doubt(ChangesSince::NotTold);
    assert_eq!(judged, SnapshotUse::Unproven);
}
