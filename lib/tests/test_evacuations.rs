//! Tests that evacuations follow the newest records, in whatever order these are read.

use beryltray_lib::ids::DataCentreId;
use beryltray_lib::ids::Revision;
use beryltray_lib::process::evacuation::EvacuationChange;
use beryltray_lib::process::evacuation::EvacuationRecord;
use beryltray_lib::process::evacuation::Evacuations;
use quickcheck::quickcheck;

fn zone(name: &str) -> DataCentreId {
    name.parse().unwrap()
}

fn order(name: &str, revision: u64) -> EvacuationRecord {
    EvacuationRecord {
        data_centre: zone(name),
        revision: Revision(revision),
    }
}

fn ended(name: &str, revision: u64) -> EvacuationChange {
    EvacuationChange::Ended {
        data_centre: zone(name),
        revision: Revision(revision),
    }
}

fn evacuated(evacuations: &Evacuations) -> Vec<&str> {
    let orders = evacuations.iter();
    orders.map(|order| order.data_centre.as_str()).collect()
}

// Guards against two evacuations of which one is forgotten when the other begins or ends.
#[test]
fn evacuations_two_at_once_end_by_themselves() {
    let mut evacuations = Evacuations::new();
    let begun = evacuations.on_snapshot(&[order("a", 3)], Revision(5));
    assert_eq!(begun, [EvacuationChange::Begun(order("a", 3))]);
    let begun = evacuations.on_changes(&[order("b", 6)], &[], Revision(6));
    assert_eq!(begun, [EvacuationChange::Begun(order("b", 6))]);
    assert_eq!(evacuated(&evacuations), ["a", "b"]);
    let changes = evacuations.on_changes(&[], &[zone("a")], Revision(9));
    assert_eq!(changes, [ended("a", 9)]);
    assert_eq!(evacuated(&evacuations), ["b"]);
}

// Guards against reads that lag: each of them would revert a newer order or bring back a removed one.
#[test]
fn evacuations_older_reads_change_nothing() {
    let mut evacuations = Evacuations::new();
    evacuations.on_snapshot(&[], Revision(5));
    evacuations.on_changes(&[order("a", 7)], &[], Revision(8));
    assert_eq!(evacuations.on_snapshot(&[], Revision(6)), []);
    assert_eq!(evacuations.on_snapshot(&[], Revision(7)), []);
    assert_eq!(evacuations.on_changes(&[], &[zone("a")], Revision(7)), []);
    assert_eq!(evacuated(&evacuations), ["a"]);
    evacuations.on_changes(&[], &[zone("a")], Revision(12));
    assert_eq!(evacuations.on_snapshot(&[order("a", 7)], Revision(9)), []);
    assert_eq!(
        evacuations.on_changes(&[order("a", 7)], &[], Revision(12)),
        []
    );
    assert_eq!(evacuated(&evacuations), [""; 0]);
    evacuations.on_changes(&[order("a", 13)], &[], Revision(13));
    assert_eq!(evacuated(&evacuations), ["a"]);
}

// Guards against a begin and an end between two reads, or an end and a begin, that are taken for news.
#[test]
fn evacuations_quick_succession_is_its_last_state() {
    let mut evacuations = Evacuations::new();
    evacuations.on_snapshot(&[], Revision(1));
    assert_eq!(evacuations.on_changes(&[], &[zone("a")], Revision(4)), []);
    evacuations.on_changes(&[order("a", 5)], &[], Revision(5));
    let again = evacuations.on_changes(&[order("a", 8)], &[], Revision(8));
    assert_eq!(again, [EvacuationChange::Rewritten(order("a", 8))]);
    assert!(!again[0].is_transition());
    assert_eq!(evacuations.on_changes(&[], &[zone("a")], Revision(7)), []);
    assert_eq!(
        evacuations.on_changes(&[], &[zone("a")], Revision(9)),
        [ended("a", 9)]
    );
}

quickcheck! {
    // Guards against any order of late and repeated snapshots whose result is not that of the newest one.
    fn evacuations_follow_newest_snapshot(writes: Vec<bool>, reads: Vec<usize>) -> bool {
        // The order as of each revision: written or removed at it, or as before.
        let mut written = None;
        let mut history = vec![None];
        for (index, is_write) in writes.iter().enumerate() {
            let revision = index as u64 + 1;
            written = match (is_write, written) {
                (true, None) => Some(revision),
                (true, Some(_)) => None,
                (false, known) => known,
            };
            history.push(written);
        }
        let mut evacuations = Evacuations::new();
        let mut newest = None;
        for read in reads {
            let read = read % history.len();
            let records: Vec<_> = history[read].map(|at| order("a", at)).into_iter().collect();
            evacuations.on_snapshot(&records, Revision(read as u64));
            newest = newest.max(Some(read));
            if evacuations.is_evacuated(&zone("a")) != history[newest.unwrap()].is_some() {
                return false;
            }
        }
        true
    }
}

/// Guards against orders that are ignored because the platform, which came back in an earlier state, gives out their
/// revisions again, and against ones that end with it and stay in force.
#[test]
fn evacuations_after_history_ended_follow_next_snapshot() {
    let mut evacuations = Evacuations::new();
    evacuations.on_snapshot(&[order("a", 30), order("b", 40)], Revision(45));
    evacuations.on_history_ended();
    assert_eq!(evacuated(&evacuations), ["a", "b"]);
    let changes = evacuations.on_snapshot(&[order("a", 30), order("c", 39)], Revision(39));
    assert!(changes.contains(&ended("b", 39)), "{changes:?}");
    assert_eq!(evacuated(&evacuations), ["a", "c"]);
}
