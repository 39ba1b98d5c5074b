//! Tests of the choice between changes and snapshots, on a modelled link to a platform whose feed answers
//! with each version of a record.

use std::time::Duration;

use beryltray_lib::ids::Revision;
use beryltray_lib::process::gateway::NextRead;
use beryltray_lib::process::gateway::ReadPlan;
use quickcheck::TestResult;

/// The smallest link of the users' hosts, 20 Mbit/s.
const LINK_BYTES_PER_S: u64 = 2_500_000;
/// How long after its acknowledgement a change may not be in force yet on the users' fleets of 60 hosts or
/// more.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(3);
/// The size limit of a page of rows on the users' platform.
const RECORD_BYTES_MAX: u64 = 1_000_000;
const MODELLED_TIME: Duration = Duration::from_secs(40);
const CHANGES_EVERY_MIN: Duration = Duration::from_millis(20);
/// The modelled entry gives up reads that take longer.
const READ_TIME_MAX: Duration = Duration::from_millis(1_700);

/// The longest pause of the modelled entry between repeated snapshots.
const PAUSE_MAX: Duration = Duration::from_millis(200);

/// One record that changes at a fixed interval.
#[derive(Clone, Copy, Debug)]
struct Model {
    record_bytes: u64,
    changes_every: Duration,
    /// The time from a call to the start of its answer.
    latency: Duration,
}

/// How the reader of a model chooses its reads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reader {
    Plan,
    /// Reads changes at any size.
    ChangesOnly,
}

impl Model {
    /// Returns the version that the platform has at a time.
    fn version_at(self, time: Duration) -> u64 {
        (time.as_nanos() / self.changes_every.as_nanos()) as u64
    }

    fn acknowledged_at(self, version: u64) -> Duration {
        self.changes_every * u32::try_from(version).unwrap()
    }

    fn transfer_time(self, records: u64) -> Duration {
        Duration::from_secs(1) * u32::try_from(records * self.record_bytes).unwrap()
            / u32::try_from(LINK_BYTES_PER_S).unwrap()
    }

    /// Returns the longest time from the acknowledgement of a version until the reader has it or a later
    /// one.
    fn longest_delay(self, reader: Reader) -> Duration {
        let mut plan = ReadPlan::new(1);
        let mut known = 0;
        plan.on_snapshot(Revision(0), self.record_bytes as usize, true);
        let mut now = Duration::ZERO;
        let mut longest = Duration::ZERO;
        while now < MODELLED_TIME {
            let answered_at = now + self.latency;
            let version = self.version_at(answered_at);
            let records = version - known;
            let size_bytes = records * self.record_bytes;
            let is_new = records > 0;
            let first_missing = self.acknowledged_at(known + 1);
            match plan.next_read() {
                NextRead::Changes { limit_bytes, .. }
                    if reader == Reader::Plan && size_bytes > limit_bytes as u64 =>
                {
                    now = answered_at;
                    plan.on_changes_too_large();
                    continue;
                }
                NextRead::Changes { .. } if !is_new => {
                    // The long poll ends with the next change.
                    now = first_missing.max(answered_at);
                    plan.on_changes(Revision(known));
                    continue;
                }
                NextRead::Changes { .. } => {
                    let transfer_time = self.transfer_time(records);
                    if transfer_time > READ_TIME_MAX {
                        now = answered_at + READ_TIME_MAX;
                        longest = longest.max(now.saturating_sub(first_missing));
                        if reader == Reader::Plan {
                            plan.on_lost_answer();
                        }
                        continue;
                    }
                    now = answered_at + transfer_time;
                    plan.on_changes(Revision(version));
                }
                NextRead::Snapshot => {
                    let read_time = self.latency + self.transfer_time(1);
                    now += read_time;
                    plan.on_snapshot(Revision(version), self.record_bytes as usize, is_new);
                    if plan.is_behind() {
                        if is_new {
                            longest = longest.max(now.saturating_sub(first_missing));
                        }
                        known = version;
                        now += read_time.min(PAUSE_MAX);
                        continue;
                    }
                }
            }
            if is_new {
                longest = longest.max(now.saturating_sub(first_missing));
            }
            known = version;
        }
        longest
    }
}

const STORM: Model = Model {
    record_bytes: 550_000,
    changes_every: Duration::from_millis(60),
    latency: Duration::from_millis(5),
};

/// Guards against a reader that falls further behind with each read of changes.
#[test]
fn longest_delay_generated_storms_are_read_in_time() {
    fn property(record_bytes: u32, every_ms: u16, latency_ms: u16) -> TestResult {
        let model = Model {
            record_bytes: 1 + u64::from(record_bytes) % RECORD_BYTES_MAX,
            changes_every: CHANGES_EVERY_MIN + Duration::from_millis(u64::from(every_ms) % 1_000),
            latency: Duration::from_millis(1 + u64::from(latency_ms) % 500),
        };
        let longest = model.longest_delay(Reader::Plan);
        if longest < IN_FORCE_WITHIN {
            return TestResult::passed();
        }
        TestResult::error(format!("{model:?}: {longest:?}"))
    }
    quickcheck::QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(u32, u16, u16) -> TestResult);
    let storm = STORM.longest_delay(Reader::Plan);
    assert!(storm < IN_FORCE_WITHIN, "{storm:?}");
}

/// The model shows the fault of a reader that reads changes at any size.
#[test]
fn longest_delay_changes_at_any_size_caught() {
    assert!(STORM.longest_delay(Reader::ChangesOnly) > IN_FORCE_WITHIN);
}

/// Guards against reads of changes whose size makes them fail again and again.
#[test]
fn next_read_after_lost_changes_is_snapshot_and_after_lost_snapshot_changes() {
    let mut plan = ReadPlan::new(1);
    plan.on_snapshot(Revision(7), 1_000, true);
    let changes = plan.next_read();
    assert!(matches!(changes, NextRead::Changes { since, .. } if since == Revision(7)));
    plan.on_lost_answer();
    assert_eq!(plan.next_read(), NextRead::Snapshot);
    plan.on_lost_answer();
    assert_eq!(plan.next_read(), changes);
    plan.on_lost_answer();
    plan.on_snapshot(Revision(9), 1_000, false);
    assert!(matches!(plan.next_read(), NextRead::Changes { since, .. } if since == Revision(9)));
}

/// Guards against snapshots of many records after each lost answer.
#[test]
fn next_read_with_lost_answers_allowed_is_snapshot_after_last_of_them() {
    let mut plan = ReadPlan::new(2);
    plan.on_snapshot(Revision(7), 1_000, true);
    let mut reads = Vec::new();
    for _ in 0..6 {
        reads.push(plan.next_read() == NextRead::Snapshot);
        plan.on_lost_answer();
    }
    assert_eq!(reads, [false, false, true, false, false, true]);
}

/// Guards against a reader that repeats snapshots of a record that no longer changes.
#[test]
fn next_read_after_snapshot_without_news_is_changes() {
    let mut plan = ReadPlan::new(1);
    plan.on_snapshot(Revision(7), 1_000, true);
    plan.on_changes_too_large();
    plan.on_snapshot(Revision(9), 1_000, true);
    assert_eq!(plan.next_read(), NextRead::Snapshot);
    plan.on_snapshot(Revision(9), 1_000, false);
    assert!(matches!(plan.next_read(), NextRead::Changes { since, .. } if since == Revision(9)));
}

/// Guards against snapshots by all entries at once when a platform that refused calls is back: their
/// size was not the reason.
#[test]
fn next_read_after_refused_changes_is_changes() {
    let mut plan = ReadPlan::new(1);
    plan.on_snapshot(Revision(7), 1_000, true);
    plan.on_failure();
    assert!(matches!(plan.next_read(), NextRead::Changes { since, .. } if since == Revision(7)));
}
