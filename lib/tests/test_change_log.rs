//! Tests of the changes of records that an entry passes on to others.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use beryltray_lib::ids::DocumentVersion;
use beryltray_lib::ids::HostId;
use beryltray_lib::ids::Incarnation;
use beryltray_lib::ids::Revision;
use beryltray_lib::platform::feed::Changes;
use beryltray_lib::platform::feed::FeedRecord;
use beryltray_lib::process::gateway::ChangeLog;
use beryltray_lib::sorted::SortedVec;
use beryltray_lib::target::record::Availability;
use beryltray_lib::target::record::TargetRecord;
use beryltray_lib::version::routes::CallerLimits;
use beryltray_lib::version::routes::RouteDocument;
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
        write_number: None,
        cold_for: Duration::ZERO,
    }
}

fn changed(revision: u64, record: TargetRecord) -> Changes<TargetRecord> {
    Changes {
        changed: vec![record],
        removed: Vec::new(),
        unreadable: Vec::new(),
        revision: Revision(revision),
    }
}

fn removed(revision: u64, host: &str) -> Changes<TargetRecord> {
    Changes {
        changed: Vec::new(),
        removed: vec![host.to_owned()],
        unreadable: Vec::new(),
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

/// Guards against a state that was read apart from the others and that readers never get who have come as far as
/// the others: a target that was gone went on to get requests from them.
#[test]
fn changes_since_state_of_later_revision_reaches_current_readers() {
    let mut log = log_of(vec![changed(12, record("host-1", 6))]);
    log.on_states(removed(15, "host-1"));
    let changes = log.changes_since(Revision(12)).unwrap();
    assert_eq!(changes.removed, ["host-1"]);
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

fn document(version: u64) -> RouteDocument {
    RouteDocument::new(
        DocumentVersion(version),
        CallerLimits {
            head_limit_bytes: 16_384,
            body_limit_bytes: 65_536,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        Vec::new(),
        SortedVec::new(),
        None,
    )
}

fn document_changes(revision: u64, version: u64) -> Changes<RouteDocument> {
    Changes {
        changed: vec![document(version)],
        removed: Vec::new(),
        unreadable: Vec::new(),
        revision: Revision(revision),
    }
}

// Guards against memory that grows with each version: an entry kept the last 512 configurations.
#[test]
fn on_changes_many_versions_only_newest_configuration_is_kept() {
    let mut log = ChangeLog::default();
    log.on_snapshot(Revision(10));
    for version in 1..=600 {
        log.on_changes(document_changes(10 + version, version));
    }
    let changes = log.changes_since(Revision(10)).unwrap();
    assert_eq!(changes.changed, [document(600)]);
    assert_eq!(changes.revision, Revision(610));
    assert_eq!(log.changes_since(Revision(610)).unwrap().changed, []);
}

// Guards against readers that are set back to an older configuration, which was read later.
#[test]
fn on_changes_older_version_read_later_does_not_replace_newer_one() {
    let mut log = ChangeLog::default();
    log.on_snapshot(Revision(10));
    log.on_changes(document_changes(12, 7));
    log.on_changes(document_changes(13, 6));
    let changes = log.changes_since(Revision(10)).unwrap();
    assert_eq!(changes.changed, [document(7)]);
    assert_eq!(changes.revision, Revision(13));
}

/// A large record that counts how many copies of it exist.
#[derive(Clone)]
struct CountedRecord {
    key: String,
    _copies: Arc<()>,
}

impl FeedRecord for CountedRecord {
    fn feed_key(&self) -> Cow<'_, str> {
        Cow::Borrowed(&self.key)
    }

    fn size_bytes(&self) -> usize {
        20_000
    }
}

// Guards against memory that grows with each change of a target's record.
#[test]
fn on_changes_changed_and_removed_records_hold_memory_of_listed_ones_only() {
    const LISTED: usize = 8;
    let copies = Arc::new(());
    let mut log = ChangeLog::default();
    log.on_snapshot(Revision(0));
    let mut sizes = Vec::new();
    for revision in 1..=4_000 {
        let record = CountedRecord {
            key: format!("i-{}", revision % LISTED),
            _copies: Arc::clone(&copies),
        };
        log.on_changes(Changes {
            changed: vec![record],
            removed: Vec::new(),
            unreadable: Vec::new(),
            revision: Revision(revision as u64),
        });
        sizes.push(log.size_bytes());
    }
    assert_eq!(Arc::strong_count(&copies), 1 + LISTED);
    assert_eq!(sizes.iter().max(), sizes.last());
    assert!(log.size_bytes() < (LISTED + 1) * 20_000);
    let keys = (0..LISTED).map(|host| format!("i-{host}"));
    log.on_changes(Changes {
        changed: Vec::new(),
        removed: keys.collect(),
        unreadable: Vec::new(),
        revision: Revision(5_000),
    });
    assert_eq!(Arc::strong_count(&copies), 1);
    assert!(log.size_bytes() < 20_000);
}

// Guards against memory that grows with each host that is replaced, and against readers that miss a
// removal which is no longer known.
#[test]
fn on_changes_removals_beyond_limit_make_readers_take_a_snapshot() {
    const SIZE_MAX_BYTES: usize = 1024 * 1024;
    let mut log = ChangeLog::<TargetRecord>::default();
    log.on_snapshot(Revision(0));
    for revision in 1..=50_000 {
        log.on_changes(removed(revision, &format!("i-{revision:08}")));
        assert!(log.size_bytes() < SIZE_MAX_BYTES);
    }
    assert_eq!(log.changes_since(Revision(0)), None);
    let mut complete = (0..50_000).filter_map(|since| {
        let changes = log.changes_since(Revision(since))?;
        Some((50_000 - since, changes.removed.len() as u64))
    });
    let (expected, found) = complete.next().unwrap();
    assert_eq!(found, expected);
    assert!(expected > 1_000);
}
