//! Tests of the changes of records that an entry passes on to others.

use std::time::Duration;

use beryltray_lib::ids::HostId;
use beryltray_lib::ids::Incarnation;
use beryltray_lib::ids::Revision;
use beryltray_lib::platform::feed::Changes;
use beryltray_lib::process::gateway::ChangeLog;
use beryltray_lib::target::record::Availability;
use beryltray_lib::target::record::TargetRecord;
use quickcheck::TestResult;

fn record(host: &str, slots: u32) -> TargetRecord {
    TargetRecord {
        host: host.parse().unwrap(),
        incarnation: Incarnation(17),
        service: "ledger".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "lakes-a".parse().unwrap(),
        availability: Availability::Ready,
        slots,
        domain: None,
        staged: Vec::new(),
        weights: Vec::new(),
        membership: None,
        accepted_orders: None,
        cold_for: Duration::ZERO,
    }
}

fn changed(revision: u64, record: TargetRecord) -> Changes<TargetRecord> {
    Changes {
        changed: vec![record],
        removed: Vec::new(),
        revision: Revision(revision),
    }
}

fn removed(revision: u64, host: &str) -> Changes<TargetRecord> {
    Changes {
        changed: Vec::new(),
        removed: vec![host.to_owned()],
        revision: Revision(revision),
    }
}

fn log_of(batches: Vec<Changes<TargetRecord>>) -> ChangeLog<TargetRecord> {
    let mut log = ChangeLog::default();
    log.on_snapshot(Revision(10));
    for batch in batches {
        log.on_changes(batch);
    }
    log
}

// Guards against a host that is listed again because its record changed in one batch and was removed in
// a later one.
#[test]
fn changes_since_record_removed_after_change_is_removed() {
    let log = log_of(vec![changed(11, record("i-1", 7)), removed(12, "i-1")]);
    let changes = log.changes_since(Revision(10)).unwrap();
    assert_eq!(changes.changed, []);
    assert_eq!(changes.removed, ["i-1"]);
    assert_eq!(changes.revision, Revision(12));
}

#[test]
fn changes_since_record_changed_after_removal_is_changed() {
    let log = log_of(vec![
        changed(11, record("i-1", 7)),
        removed(12, "i-1"),
        changed(13, record("i-1", 8)),
    ]);
    let changes = log.changes_since(Revision(10)).unwrap();
    assert_eq!(changes.changed, [record("i-1", 8)]);
    assert_eq!(changes.removed, Vec::<String>::new());
}

// Guards against answers of entries of earlier versions, which tell no order.
#[test]
fn is_ambiguous_record_both_changed_and_removed() {
    let mut changes = changed(12, record("i-1", 7));
    assert!(!changes.is_ambiguous());
    changes.removed = vec![String::from("i-2")];
    assert!(!changes.is_ambiguous());
    changes.removed = vec![String::from("i-1")];
    assert!(changes.is_ambiguous());
}

/// A change of one of four hosts: its record with this number of slots, or its removal.
type HostChange = (u8, Option<u8>);

fn batch((host, slots): HostChange, revision: u64) -> Changes<TargetRecord> {
    let host = format!("i-{}", host % 4);
    match slots {
        Some(slots) => changed(revision, record(&host, slots.into())),
        None => removed(revision, &host),
    }
}

/// The known records, as a reader keeps them: removals are applied before changes.
fn apply(known: &mut Vec<TargetRecord>, changes: Changes<TargetRecord>) {
    let changed: Vec<HostId> = changes.changed.iter().map(|r| r.host.clone()).collect();
    known.retain(|r| !changes.removed.iter().any(|host| host == r.host.as_str()));
    known.retain(|r| !changed.contains(&r.host));
    known.extend(changes.changed);
    known.sort_by(|a, b| a.host.cmp(&b.host));
}

// Guards against readers that differ by how many batches they take in one read.
#[test]
fn changes_since_generated_reads_agree_with_single_batches() {
    fn property(changes: Vec<HostChange>, reads: Vec<u8>) -> TestResult {
        if changes.is_empty() {
            return TestResult::discard();
        }
        let batches: Vec<Changes<TargetRecord>> = (11..)
            .zip(&changes)
            .map(|(revision, change)| batch(*change, revision))
            .collect();
        let log = log_of(batches.clone());
        let mut expected = Vec::new();
        for batch in batches {
            apply(&mut expected, batch);
        }
        // The first of the readers takes all in one read, the second reads at these revisions, too.
        let last = Revision(10 + changes.len() as u64);
        let mut known = Vec::new();
        apply(&mut known, log.changes_since(Revision(10)).unwrap());
        let mut stepwise = Vec::new();
        let mut since = Revision(10);
        for read in reads {
            let until = since.0 + u64::from(read % 4);
            if until > last.0 {
                break;
            }
            let count = (until - 10) as usize;
            let batches = (11..).zip(&changes[..count]);
            let seen = log_of(
                batches
                    .map(|(revision, change)| batch(*change, revision))
                    .collect(),
            );
            apply(&mut stepwise, seen.changes_since(since).unwrap());
            since = Revision(until);
        }
        apply(&mut stepwise, log.changes_since(since).unwrap());
        TestResult::from_bool(known == expected && stepwise == expected)
    }
    quickcheck::quickcheck(property as fn(Vec<HostChange>, Vec<u8>) -> TestResult);
}
