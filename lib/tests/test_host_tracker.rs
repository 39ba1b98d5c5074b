//! Tests of what hosts say of themselves in their answers, beside their records.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::ids::Epoch;
use beryltray_lib::ids::HostId;
use beryltray_lib::ids::Incarnation;
use beryltray_lib::ids::Revision;
use beryltray_lib::platform::feed::Changes;
use beryltray_lib::platform::feed::Snapshot;
use beryltray_lib::process::formation::Departure;
use beryltray_lib::process::formation::HostTracker;
use beryltray_lib::target::record::Availability;
use beryltray_lib::target::record::MemberState;
use beryltray_lib::target::record::Membership;
use beryltray_lib::target::record::TargetRecord;
use beryltray_lib::target::record::TargetReport;

const FIRST: Incarnation = Incarnation(17);
const SECOND: Incarnation = Incarnation(18);

fn host() -> HostId {
    "i-1".parse().unwrap()
}

fn record(incarnation: Incarnation) -> TargetRecord {
    TargetRecord {
        host: host(),
        incarnation,
        service: "ledger".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "lakes-a".parse().unwrap(),
        availability: Availability::Ready,
        slots: 6,
        domain: None,
        staged: Vec::new(),
        weights: Vec::new(),
        membership: None,
        write_number: None,
        cold_for: Duration::ZERO,
    }
}

fn snapshot(revision: u64, records: Vec<TargetRecord>) -> Snapshot<TargetRecord> {
    Snapshot {
        records,
        unreadable: Vec::new(),
        revision: Revision(revision),
        last_change: None,
    }
}

fn is_usable(tracker: &HostTracker, now: Instant) -> bool {
    tracker.get(&host()).is_some_and(|host| host.is_usable(now))
}

#[test]
fn on_leaving_stated_host_is_unusable_and_news_is_reported_once() {
    let now = Instant::now();
    let mut tracker = HostTracker::new();
    tracker.on_record(record(FIRST), now);
    assert!(is_usable(&tracker, now));
    assert!(tracker.on_leaving_stated(&host(), FIRST, now));
    assert!(!tracker.on_leaving_stated(&host(), FIRST, now));
    assert!(!is_usable(&tracker, now));
    let availability = tracker.get(&host()).unwrap().availability();
    assert_eq!(availability, Availability::Draining);
}

// Guards against a statement that is forgotten because the record is written again, or vanishes and
// returns, as after an outage of the registry.
#[test]
fn on_leaving_stated_outlasts_records_of_the_same_incarnation() {
    let now = Instant::now();
    let later = now + Duration::from_secs(5);
    let mut tracker = HostTracker::new();
    tracker.on_record(record(FIRST), now);
    tracker.on_leaving_stated(&host(), FIRST, now);
    tracker.on_record(record(FIRST), later);
    assert!(!is_usable(&tracker, later));
    tracker.on_removed(&host(), later);
    tracker.on_record(record(FIRST), later);
    assert!(!is_usable(&tracker, later));
    tracker.on_snapshot(snapshot(7, Vec::new()), None, later);
    tracker.on_snapshot(snapshot(8, vec![record(FIRST)]), None, later);
    assert!(!is_usable(&tracker, later));
}

// Guards against a statement that is applied to another process than the one that gave it.
#[test]
fn on_leaving_stated_applies_to_one_incarnation() {
    let now = Instant::now();
    let mut tracker = HostTracker::new();
    assert!(!tracker.on_leaving_stated(&host(), FIRST, now));
    tracker.on_record(record(FIRST), now);
    assert!(!tracker.on_leaving_stated(&host(), SECOND, now));
    assert!(is_usable(&tracker, now));
    tracker.on_leaving_stated(&host(), FIRST, now);
    tracker.on_record(record(SECOND), now);
    assert!(is_usable(&tracker, now));
}

/// How long records may return after an outage.
const GRACE: Duration = Duration::from_millis(2_300);
/// The time from a removal until which requests may reach the host.
const DRAIN_TIME: Duration = Duration::from_secs(2);

fn removal() -> Changes<TargetRecord> {
    Changes {
        changed: Vec::new(),
        removed: vec![host().to_string()],
        unreadable: Vec::new(),
        revision: Revision(9),
    }
}

fn changed(revision: u64) -> Changes<TargetRecord> {
    Changes {
        changed: vec![record(FIRST)],
        removed: Vec::new(),
        unreadable: Vec::new(),
        revision: Revision(revision),
    }
}

#[test]
fn on_changes_removal_read_first_after_outage_is_held_back() {
    let now = Instant::now();
    let mut tracker = HostTracker::new();
    tracker.on_record(record(FIRST), now);
    tracker.on_outage_ended(now, GRACE);
    tracker.on_changes(&removal(), Some(now), now);
    assert_eq!(tracker.next_removal_at(now), Some(now + GRACE));
    assert!(is_usable(&tracker, now + GRACE - Duration::from_millis(1)));
    assert!(!is_usable(&tracker, now + GRACE));
    assert_eq!(tracker.next_removal_at(now + GRACE), None);
}

/// Returns when the removal of the host takes effect that is read at `now`, second after an outage that
/// ended then. `read_first` applies the first read.
fn second_removal_effective_at<F>(
    listed_at: Instant,
    now: Instant,
    read_first: F,
) -> Option<Instant>
where
    F: FnOnce(&mut HostTracker),
{
    let mut tracker = HostTracker::new();
    tracker.on_record(record(FIRST), listed_at);
    tracker.on_outage_ended(now, GRACE);
    read_first(&mut tracker);
    tracker.on_changes(&removal(), Some(listed_at), now);
    tracker.next_removal_at(now)
}

// Guards against a host without requests whose record expired in an outage, because the answer that was
// read first after it ended before the removal.
#[test]
fn on_changes_removal_read_after_incomplete_read_is_held_back_as_long_as_records_return() {
    let listed_at = Instant::now();
    let now = listed_at + Duration::from_secs(3);
    for known_at in [listed_at, now] {
        let changes = second_removal_effective_at(known_at, now, |tracker| {
            tracker.on_changes(&changed(8), Some(known_at), now);
        });
        assert_eq!(changes, Some(now + GRACE));
    }
}

// Guards against an outage that holds back all removals until records no longer return, also those that
// are newer.
#[test]
fn on_changes_removal_read_after_complete_read_is_held_back_within_drain_time() {
    let now = Instant::now();
    let held_back_until = Some(now + Duration::from_millis(1_500));
    let changes = second_removal_effective_at(now, now, |tracker| {
        tracker.on_changes(&changed(8), Some(now), now);
        tracker.on_complete_read();
    });
    assert_eq!(changes, held_back_until);
    let snapshot = second_removal_effective_at(now, now, |tracker| {
        tracker.on_snapshot(snapshot(8, vec![record(FIRST)]), Some(now), now);
        tracker.on_complete_read();
    });
    assert_eq!(snapshot, held_back_until);
}

// Guards against requests to a host whose removal is newer than an outage, for as long as records may
// return.
#[test]
fn on_changes_removal_newer_than_outage_takes_effect_within_drain_time() {
    let start = Instant::now();
    for read_ms in (0..3_000).step_by(50) {
        let mut tracker = HostTracker::new();
        tracker.on_record(record(FIRST), start);
        tracker.on_outage_ended(start, GRACE);
        tracker.on_read(Revision(8), start);
        tracker.on_complete_read();
        let listed_at = start + Duration::from_millis(read_ms);
        let removed_at = listed_at + Duration::from_millis(40);
        tracker.on_changes(&removal(), Some(listed_at), removed_at);
        let last_request = listed_at + DRAIN_TIME - Duration::from_millis(400);
        assert!(!is_usable(&tracker, last_request), "{read_ms} ms");
        let after_grace = removed_at.max(start + GRACE);
        assert!(!is_usable(&tracker, after_grace), "{read_ms} ms");
    }
}

// Guards against a host without requests although its record, which expired in an outage, is back.
#[test]
fn on_changes_record_that_returns_in_time_keeps_host_usable() {
    let now = Instant::now();
    let mut tracker = HostTracker::new();
    tracker.on_record(record(FIRST), now);
    tracker.on_outage_ended(now, GRACE);
    tracker.on_changes(&removal(), Some(now), now);
    let returned_at = now + Duration::from_secs(2);
    tracker.on_record(record(FIRST), returned_at);
    assert_eq!(tracker.next_removal_at(returned_at), None);
    assert!(is_usable(&tracker, now + GRACE));
}

/// The departure of an incarnation of the host as of a revision, told by another entry.
fn told(incarnation: Incarnation, revision: u64, known_at: Instant) -> Departure {
    Departure {
        incarnation,
        revision: Revision(revision),
        known_at,
        is_read: false,
    }
}

// Guards against requests from an entry whose reads lag, while others know that the host leaves.
#[test]
fn on_departure_told_host_is_unusable_until_registry_is_read_so_far() {
    let now = Instant::now();
    let mut tracker = HostTracker::new();
    tracker.on_snapshot(snapshot(5, vec![record(FIRST)]), None, now);
    assert!(tracker.on_departure_told(&host(), told(FIRST, 9, now), now));
    assert!(!tracker.on_departure_told(&host(), told(FIRST, 9, now), now));
    assert!(!is_usable(&tracker, now));
    // An older state of the record, and a read that does not reach the revision.
    tracker.on_changes(&changed(8), None, now);
    assert!(!is_usable(&tracker, now));
    // The record says ready as of the revision, so the host is back.
    tracker.on_read(Revision(9), now);
    assert!(is_usable(&tracker, now));
    assert!(!tracker.on_departure_told(&host(), told(FIRST, 9, now), now));
    assert!(is_usable(&tracker, now));
}

#[test]
fn on_departure_told_does_not_apply_to_later_incarnation() {
    let now = Instant::now();
    let mut tracker = HostTracker::new();
    tracker.on_snapshot(snapshot(5, vec![record(FIRST)]), None, now);
    tracker.on_departure_told(&host(), told(FIRST, 9, now), now);
    tracker.on_record(record(SECOND), now);
    assert!(is_usable(&tracker, now));
    assert!(!tracker.on_departure_told(&host(), told(FIRST, 9, now), now));
    assert!(is_usable(&tracker, now));
}

// Guards against requests to a host that has started again and leaves, from an entry that knows neither
// yet: the requests that are meant for the earlier incarnation would reach the later one.
#[test]
fn on_departure_told_of_later_incarnation_host_is_unusable() {
    let now = Instant::now();
    let mut tracker = HostTracker::new();
    tracker.on_snapshot(snapshot(5, vec![record(FIRST)]), None, now);
    assert!(tracker.on_departure_told(&host(), told(SECOND, 9, now), now));
    assert!(!is_usable(&tracker, now));
    let started = Changes {
        changed: vec![record(SECOND)],
        ..changed(8)
    };
    tracker.on_changes(&started, None, now);
    assert!(!is_usable(&tracker, now));
    tracker.on_read(Revision(9), now);
    assert!(is_usable(&tracker, now));
}

// Guards against a removal that is held back after an outage which only this entry had.
#[test]
fn on_departure_told_held_back_removal_takes_effect() {
    let now = Instant::now();
    let mut tracker = HostTracker::new();
    tracker.on_snapshot(snapshot(5, vec![record(FIRST)]), None, now);
    tracker.on_outage_ended(now, GRACE);
    tracker.on_changes(&removal(), Some(now), now);
    assert!(is_usable(&tracker, now));
    assert!(tracker.on_departure_told(&host(), told(FIRST, 7, now), now));
    assert!(!is_usable(&tracker, now));
    // The same, with the other entry's word first.
    let mut tracker = HostTracker::new();
    tracker.on_snapshot(snapshot(5, vec![record(FIRST)]), None, now);
    tracker.on_departure_told(&host(), told(FIRST, 9, now), now);
    tracker.on_outage_ended(now, GRACE);
    tracker.on_changes(&removal(), Some(now), now);
    assert!(!is_usable(&tracker, now));
}

// Guards against departures that are gossiped without end, and against one of a removal that is held back.
#[test]
fn departure_is_known_from_the_first_read_on() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let mut draining = record(FIRST);
    draining.availability = Availability::Draining;
    let mut tracker = HostTracker::new();
    tracker.on_record(draining.clone(), now);
    tracker.on_record(draining, later);
    let departure = |tracker: &HostTracker| tracker.get(&host()).unwrap().departure;
    assert_eq!(departure(&tracker).unwrap().known_at, now);
    tracker.on_changes(&removal(), None, later);
    assert_eq!(departure(&tracker).unwrap().known_at, now);
    tracker.on_changes(&changed(10), None, later);
    assert_eq!(departure(&tracker), None);
    tracker.on_outage_ended(later, GRACE);
    tracker.on_changes(&removal(), None, later);
    assert_eq!(departure(&tracker).unwrap().known_at, later + GRACE);
}

// Guards against a record that is passed over for an old report: the number of the record's write was compared
// with the number of orders in the report.
#[test]
fn on_record_written_after_report_tells_the_membership() {
    let now = Instant::now();
    let later = now + Duration::from_secs(5);
    let mut tracker = HostTracker::new();
    tracker.on_record(record(FIRST), now);
    let report = TargetReport {
        incarnation: Some(FIRST),
        running: 0,
        waiting: 0,
        membership: None,
        accepted_orders: Some(9),
    };
    tracker.on_report(&host(), Ok(report), now);
    let mut written_later = record(FIRST);
    written_later.write_number = Some(3);
    written_later.membership = Some(Membership {
        group: "g1".parse().unwrap(),
        epoch: Epoch(1),
        rank: 0,
        state: MemberState::Open,
    });
    tracker.on_record(written_later, later);
    let tracked = tracker.get(&host()).unwrap();
    assert_eq!(tracked.membership().map(|m| m.group.as_str()), Some("g1"));
    assert_eq!(tracked.accepted_orders(), Some(9));
}

fn written(number: u64, availability: Availability) -> TargetRecord {
    TargetRecord {
        write_number: Some(number),
        availability,
        ..record(FIRST)
    }
}

/// Guards against a host that is used again because a registry in an earlier state lists its record from before it left.
#[test]
fn on_history_ended_restored_record_does_not_bring_departed_host_back() {
    let now = Instant::now();
    let mut tracker = HostTracker::new();
    tracker.on_snapshot(
        snapshot(40, vec![written(3, Availability::Ready)]),
        None,
        now,
    );
    let removed = Changes {
        changed: Vec::new(),
        removed: vec![host().to_string()],
        unreadable: Vec::new(),
        revision: Revision(45),
    };
    tracker.on_changes(&removed, None, now);
    tracker.on_history_ended(now);
    tracker.on_snapshot(
        snapshot(38, vec![written(3, Availability::Ready)]),
        None,
        now,
    );
    assert!(!is_usable(&tracker, now));
    tracker.on_record(written(4, Availability::Ready), now);
    assert!(is_usable(&tracker, now));
}

/// Guards against a host that drains and is used again because a registry in an earlier state lists it as ready.
#[test]
fn on_history_ended_restored_record_does_not_make_draining_host_ready() {
    let now = Instant::now();
    let mut tracker = HostTracker::new();
    let draining = written(4, Availability::Draining);
    tracker.on_snapshot(snapshot(45, vec![draining]), None, now);
    tracker.on_history_ended(now);
    tracker.on_snapshot(
        snapshot(38, vec![written(3, Availability::Ready)]),
        None,
        now,
    );
    assert!(!is_usable(&tracker, now));
}

/// Guards against the word of another entry that is forgotten because a registry in an earlier state comes to its
/// revision again.
#[test]
fn on_history_ended_departure_of_earlier_history_still_counts() {
    let now = Instant::now();
    let mut tracker = HostTracker::new();
    tracker.on_snapshot(snapshot(40, vec![record(FIRST)]), None, now);
    assert!(tracker.on_departure_told(&host(), told(FIRST, 45, now), now));
    tracker.on_history_ended(now);
    tracker.on_snapshot(snapshot(60, vec![record(FIRST)]), None, now);
    assert!(!is_usable(&tracker, now));
}

/// Guards against a departure that is ignored since its revision is below one of the earlier history.
#[test]
fn on_history_ended_departure_of_present_history_is_news() {
    let now = Instant::now();
    let mut tracker = HostTracker::new();
    tracker.on_snapshot(snapshot(45, vec![record(FIRST)]), None, now);
    tracker.on_history_ended(now);
    assert!(tracker.on_departure_told(&host(), told(FIRST, 39, now), now));
    assert!(!is_usable(&tracker, now));
}
