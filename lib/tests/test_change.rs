//! Tests of changes to the head: of two concurrent changes one is accepted, and commits with
//! unknown results are resolved.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use beryltray_lib::attempt_ids::RandomAttemptIds;
use beryltray_lib::clock::SystemClock;
use beryltray_lib::ids::DocumentVersion;
use beryltray_lib::ids::digest_of;
use beryltray_lib::ids::new_attempt_id;
use beryltray_lib::platform::CommitOutcome;
use beryltray_lib::platform::rows::HeadRow;
use beryltray_lib::version::change::ChangeOutcome;
use beryltray_lib::version::change::ChangeRequest;
use beryltray_lib::version::change::ChangeSettings;
use beryltray_lib::version::change::driver::ChangeDriver;
use beryltray_lib::version::change::rollout::EntryProgress;
use beryltray_lib::version::change::rollout::EntryVersionReport;
use beryltray_lib::version::change::rollout::RolloutProgress;
use beryltray_lib::version::head::HeadMark;
use beryltray_lib::version::store::VersionStore;
use beryltray_testutils::table::MemoryTable;
use beryltray_testutils::table::TableFault;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::Action;
use todc_utils::linearizability::history::History;
use todc_utils::specifications::Specification;

const SEED: u64 = 0x4348_414e;
const SCHEDULES: u64 = 200;
const RETRY_DELAY: Duration = Duration::from_micros(10);

type Driver = ChangeDriver<MemoryTable, SystemClock>;

fn store(table: &MemoryTable) -> VersionStore<MemoryTable> {
    VersionStore::new(table.clone(), "trial".parse().unwrap())
}

fn driver(table: &MemoryTable, retry_timeout: Duration) -> Driver {
    let settings = ChangeSettings {
        retry_timeout,
        retry_delay: RETRY_DELAY,
    };
    ChangeDriver::new(store(table), SystemClock, settings)
}

fn request(base: u64, text: &str) -> ChangeRequest {
    ChangeRequest {
        base: DocumentVersion(base),
        digest: digest_of(text.as_bytes()),
        author: String::from("maud"),
        accepted_unix_s: 0,
        highest_in_force: None,
    }
}

async fn apply(driver: &Driver, base: u64, text: &str) -> ChangeOutcome {
    let request = request(base, text);
    driver.apply(request, text, RandomAttemptIds).await
}

fn accepted_version(outcome: &ChangeOutcome) -> Option<u64> {
    match outcome {
        ChangeOutcome::Accepted { row } => Some(row.version.0),
        _ => None,
    }
}

async fn apply_with_fault(fault: TableFault) -> (ChangeOutcome, MemoryTable) {
    let table = MemoryTable::new();
    let driver = driver(&table, Duration::from_secs(5));
    // The calls are: read the head, store the text, commit.
    table.inject_faults([TableFault::None, TableFault::None, fault]);
    let outcome = apply(&driver, 0, "# one\n").await;
    (outcome, table)
}

#[tokio::test]
async fn change_same_base_second_is_conflict() {
    let table = MemoryTable::new();
    let driver = driver(&table, Duration::from_secs(5));
    apply(&driver, 0, "a\nb\nc\n").await;
    assert_eq!(
        accepted_version(&apply(&driver, 1, "a\nB\nc\n").await),
        Some(2)
    );
    let second = apply(&driver, 1, "a\nb\nC\n").await;
    let ChangeOutcome::Conflict { base, current } = second else {
        panic!("{second}");
    };
    let report = driver.conflict_report(base, current.unwrap(), "a\nb\nC\n");
    let report = report.await.unwrap();
    assert!(report.theirs.contains("-b\n+B\n"));
    assert!(report.yours.contains("-c\n+C\n"));
}

#[tokio::test]
async fn change_same_text_is_unchanged() {
    let table = MemoryTable::new();
    let driver = driver(&table, Duration::from_secs(5));
    apply(&driver, 0, "# one\n").await;
    let again = apply(&driver, 1, "# one\n").await;
    assert!(matches!(again, ChangeOutcome::Unchanged { .. }));
}

#[tokio::test]
async fn change_latest_versions_are_listed() {
    let table = MemoryTable::new();
    let driver = driver(&table, Duration::from_secs(5));
    for version in 0..5 {
        apply(&driver, version, &format!("# {version}\n")).await;
    }
    let latest = store(&table).latest_versions(2).await.unwrap();
    let versions = latest.iter().map(|version| version.row.version.0);
    assert_eq!(versions.collect::<Vec<_>>(), [4, 5]);
    assert_eq!(store(&table).latest_versions(100).await.unwrap().len(), 5);
}

#[tokio::test]
async fn change_lost_answer_is_accepted_once() {
    let (outcome, table) = apply_with_fault(TableFault::LostAnswer).await;
    assert_eq!(accepted_version(&outcome), Some(1));
    assert_eq!(table.committed().len(), 1);
}

#[tokio::test]
async fn change_lost_request_is_retried() {
    let (outcome, table) = apply_with_fault(TableFault::LostRequest).await;
    assert_eq!(accepted_version(&outcome), Some(1));
    assert_eq!(table.committed().len(), 1);
}

#[tokio::test]
async fn change_late_effect_is_accepted_once() {
    let (outcome, table) = apply_with_fault(TableFault::LateEffect).await;
    assert_eq!(accepted_version(&outcome), Some(1));
    table.release_late();
    assert_eq!(table.committed().len(), 1);
    assert_eq!(store(&table).latest_versions(10).await.unwrap().len(), 1);
}

#[tokio::test]
async fn change_outage_is_not_accepted() {
    let table = MemoryTable::new();
    table.set_down(true);
    let outcome = apply(&driver(&table, Duration::from_millis(5)), 0, "# one\n").await;
    assert!(matches!(outcome, ChangeOutcome::NotAccepted { .. }));
}

#[tokio::test]
async fn change_outage_after_lost_answer_is_undecided() {
    let table = MemoryTable::new();
    let faults = [TableFault::None, TableFault::None, TableFault::LateEffect];
    table.inject_faults(faults.into_iter().chain([TableFault::Unavailable; 4096]));
    let outcome = apply(&driver(&table, Duration::from_millis(20)), 0, "# one\n").await;
    assert!(
        matches!(outcome, ChangeOutcome::Undecided { .. }),
        "{outcome}"
    );
}

#[tokio::test]
async fn change_restored_table_is_refused_until_written_back() {
    let table = MemoryTable::new();
    let driver = driver(&table, Duration::from_secs(5));
    apply(&driver, 0, "# one\n").await;
    let backup = table.snapshot();
    let second = apply(&driver, 1, "# two\n").await;
    let ChangeOutcome::Accepted { row } = second else {
        panic!("{second}");
    };
    table.restore(backup);
    let mut request = request(1, "# three\n");
    request.highest_in_force = Some(HeadMark::from(&row));
    let outcome = driver.apply(request, "# three\n", RandomAttemptIds).await;
    assert!(matches!(outcome, ChangeOutcome::TableBehind { .. }));
}

#[test]
fn rollout_progress_lists_entries_behind_or_without_report() {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let mark = |version: u64| HeadMark {
        version: DocumentVersion(version),
        digest: digest_of(b"x"),
    };
    let report = |entry: &str, version| EntryVersionReport {
        entry: entry.parse().unwrap(),
        in_force: Some(mark(version)),
        reason: None,
    };
    let mut progress = RolloutProgress::new(mark(4), &[address(1), address(2), address(3)]);
    progress.on_entry_report(address(1), report("a", 5));
    progress.on_entry_report(address(2), report("b", 3));
    assert_eq!(progress.pending_addresses(), [address(2), address(3)]);
    let without_report = &progress.entries().get(&address(3)).unwrap().progress;
    assert_eq!(*without_report, EntryProgress::NoReport);
    progress.on_member_report("d".parse().unwrap(), Some(DocumentVersion(3)));
    progress.on_member_report("a".parse().unwrap(), None);
    let behind = progress.members_behind();
    assert_eq!(behind.len(), 1);
    assert_eq!(behind[0].entry.as_str(), "d");
    progress.on_member_report("d".parse().unwrap(), Some(DocumentVersion(4)));
    progress.on_entry_report(address(2), report("b", 4));
    progress.on_entry_report(address(3), report("c", 4));
    assert!(progress.is_complete());
}

/// An operation on the head: a compare-and-set by version, with its result.
#[derive(Clone, Debug)]
struct HeadOperation {
    base: u64,
    is_accepted: bool,
}

struct HeadSpecification;

impl Specification for HeadSpecification {
    type State = u64;
    type Operation = HeadOperation;

    fn init() -> u64 {
        0
    }

    fn apply(operation: &HeadOperation, head: &u64) -> (bool, u64) {
        let is_current = operation.base == *head;
        let next = if operation.is_accepted {
            head + 1
        } else {
            *head
        };
        (operation.is_accepted == is_current, next)
    }
}

/// Concurrent changes by several operators, one for each base, and the faults of the table's calls.
#[derive(Clone, Debug)]
struct Round {
    /// The number of versions by which each operator's base is behind the head.
    base_lags: Vec<u64>,
    faults: Vec<TableFault>,
}

impl Arbitrary for Round {
    fn arbitrary(g: &mut Gen) -> Self {
        let operators = 1 + usize::arbitrary(g) % 3;
        let base_lags = (0..operators).map(|_| u64::arbitrary(g) % 3).collect();
        let faults = (0..12).map(|_| match u8::arbitrary(g) % 6 {
            0 => TableFault::LostAnswer,
            1 => TableFault::LostRequest,
            2 => TableFault::LateEffect,
            3 => TableFault::Unavailable,
            _ => TableFault::None,
        });
        Self {
            base_lags,
            faults: faults.collect(),
        }
    }
}

type HeadHistory = Arc<Mutex<Vec<(usize, Action<HeadOperation>)>>>;

/// Changes the head. Implemented by the driver and by a faulty variant.
trait HeadChange: Clone + Send + Sync + 'static {
    fn change(
        &self,
        table: MemoryTable,
        base: u64,
        text: String,
    ) -> impl Future<Output = bool> + Send;
}

#[derive(Clone)]
struct DriverChange;

impl HeadChange for DriverChange {
    async fn change(&self, table: MemoryTable, base: u64, text: String) -> bool {
        let driver = driver(&table, Duration::from_secs(60));
        let outcome = apply(&driver, base, &text).await;
        accepted_version(&outcome).is_some()
    }
}

/// Faulty variant that treats a commit with an unknown result as not accepted.
#[derive(Clone)]
struct LostAnswerMeansRefused;

impl HeadChange for LostAnswerMeansRefused {
    async fn change(&self, table: MemoryTable, base: u64, text: String) -> bool {
        let store = store(&table);
        let Ok(head) = store.head().await else {
            return false;
        };
        let version = head.as_ref().map_or(0, |head| head.row.version.0);
        let row = HeadRow {
            version: DocumentVersion(base + 1),
            digest: digest_of(text.as_bytes()),
            base: DocumentVersion(base),
            author: String::from("maud"),
            accepted_unix_s: 0,
        };
        let observed = head.map(|head| head.revision);
        let attempt = new_attempt_id();
        let commit = store.commit_head(attempt, &row, observed);
        version == base && matches!(commit.await, Ok(CommitOutcome::Committed { .. }))
    }
}

async fn record<H>(change: H, table: MemoryTable, call: (usize, u64, String), history: HeadHistory)
where
    H: HeadChange,
{
    let (operator, base, text) = call;
    let operation = |is_accepted| HeadOperation { base, is_accepted };
    let push = |action| history.lock().unwrap().push((operator, action));
    push(Action::Call(operation(false)));
    let is_accepted = change.change(table, base, text).await;
    push(Action::Response(operation(is_accepted)));
}

/// Runs rounds of concurrent changes and returns whether their history is linearizable.
fn is_linearizable<H>(rounds: &[Round], change: &H) -> bool
where
    H: HeadChange,
{
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().build().unwrap();
    let history = HeadHistory::default();
    runtime.block_on(async {
        let table = MemoryTable::new();
        for (index, round) in rounds.iter().enumerate() {
            let head = store(&table).head().await.unwrap();
            let version = head.map_or(0, |head| head.row.version.0);
            table.inject_faults(round.faults.clone());
            let mut tasks = Vec::new();
            for (operator, base_lag) in round.base_lags.iter().enumerate() {
                let text = format!("# {index} {operator}\n");
                let call = (operator, version.saturating_sub(*base_lag), text);
                let recorded = record(change.clone(), table.clone(), call, history.clone());
                tasks.push(tokio::spawn(recorded));
            }
            for task in tasks {
                task.await.unwrap();
            }
            table.clear_faults();
            table.release_late();
        }
    });
    let actions = std::mem::take(&mut *history.lock().unwrap());
    actions.is_empty()
        || WGLChecker::<HeadSpecification>::is_linearizable(History::from_actions(actions))
}

fn rounds(generator: &mut Gen) -> Vec<Round> {
    (0..3).map(|_| Round::arbitrary(generator)).collect()
}

#[test]
fn change_concurrent_changes_are_linearizable() {
    let mut generator = Gen::from_size_and_seed(64, SEED);
    for schedule in 0..SCHEDULES {
        let rounds = rounds(&mut generator);
        assert!(
            is_linearizable(&rounds, &DriverChange),
            "{schedule}: {rounds:?}"
        );
    }
}

#[test]
fn change_lost_answer_means_refused_is_caught() {
    let mut generator = Gen::from_size_and_seed(64, SEED);
    let is_caught = |_| !is_linearizable(&rounds(&mut generator), &LostAnswerMeansRefused);
    assert!((0..SCHEDULES).any(is_caught));
}
