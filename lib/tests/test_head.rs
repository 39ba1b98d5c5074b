//! Tests of the head watcher: the highest version is put in force and never reverts.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use beryltray_lib::clock::SystemClock;
use beryltray_lib::ids::DocumentVersion;
use beryltray_lib::ids::EntryId;
use beryltray_lib::ids::Revision;
use beryltray_lib::ids::digest_of;
use beryltray_lib::platform::rows::HeadRow;
use beryltray_lib::version::head::FetchedVersion;
use beryltray_lib::version::head::HeadAction;
use beryltray_lib::version::head::HeadMark;
use beryltray_lib::version::head::HeadReadiness;
use beryltray_lib::version::head::HeadSettings;
use beryltray_lib::version::head::HeadVersion;
use beryltray_lib::version::head::HeadWatcher;
use beryltray_lib::version::head::StoredHead;
use beryltray_lib::version::head::TextSource;
use beryltray_lib::version::head::driver::HeadDriver;
use beryltray_lib::version::head::driver::HeadView;
use beryltray_lib::version::head::driver::PeerEvent;
use beryltray_lib::version::head::driver::PeerFetchError;
use beryltray_lib::version::head::driver::PeerVersions;
use beryltray_lib::version::store::VersionStore;
use beryltray_testutils::seeds::quickcheck_with_seed;
use beryltray_testutils::table::MemoryTable;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use tokio::sync::mpsc;
use tokio::sync::watch;

const SEED: u64 = 0x4845_4144;
const SCHEDULES: u64 = 500;
/// Enough fetches to reach the highest of the nine versions, whatever the schedule did before.
const FETCH_ROUNDS: usize = 20;

fn text(version: u64) -> String {
    format!("# version {version}\n")
}

fn fetched(version: u64) -> FetchedVersion {
    let text = text(version);
    FetchedVersion {
        row: HeadRow {
            version: DocumentVersion(version),
            digest: digest_of(text.as_bytes()),
            base: DocumentVersion(version.saturating_sub(1)),
            author: String::from("maud"),
            accepted_unix_s: 0,
        },
        text,
    }
}

fn stored(version: u64) -> StoredHead {
    StoredHead {
        row: fetched(version).row,
        revision: Revision(version),
    }
}

fn mark(version: u64) -> HeadMark {
    HeadMark::from(&fetched(version).row)
}

fn peer(index: u8) -> EntryId {
    format!("entry-{index}").parse().unwrap()
}

/// An event of a schedule. Answers may be stale and in any order.
#[derive(Clone, Debug)]
enum Step {
    Table(u64),
    TableEmpty,
    TableFails,
    Peer(u8, u64),
    FetchWorks,
    FetchFails,
    FetchIsDamaged,
    Wait(u64),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let version = 1 + u64::arbitrary(g) % 9;
        match u8::arbitrary(g) % 9 {
            0 | 1 => Self::Table(version),
            2 => Self::TableEmpty,
            3 => Self::TableFails,
            4 => Self::Peer(u8::arbitrary(g) % 3, version),
            5 => Self::FetchFails,
            6 => Self::FetchIsDamaged,
            7 => Self::Wait(u64::arbitrary(g) % 2000),
            _ => Self::FetchWorks,
        }
    }
}

/// Decides which version is in force. Implemented by the watcher and by a faulty variant.
trait HeadRule {
    fn on_step(&mut self, step: &Step, now: Instant) -> Vec<HeadAction>;
}

#[derive(Default)]
struct WatcherRule {
    watcher: Option<HeadWatcher>,
    fetches: Vec<(HeadMark, TextSource)>,
}

impl HeadRule for WatcherRule {
    fn on_step(&mut self, step: &Step, now: Instant) -> Vec<HeadAction> {
        let create = || HeadWatcher::new(HeadSettings::default());
        let watcher = self.watcher.get_or_insert_with(create);
        let mut actions = match step {
            Step::Table(version) => watcher.on_table_head(Some(stored(*version)), now),
            Step::TableEmpty => watcher.on_table_head(None, now),
            Step::TableFails => {
                watcher.on_table_failed();
                Vec::new()
            }
            Step::Peer(index, version) => watcher.on_peer_head(peer(*index), mark(*version), now),
            Step::Wait(_) => Vec::new(),
            Step::FetchWorks | Step::FetchFails | Step::FetchIsDamaged => {
                match self.fetches.pop() {
                    None => Vec::new(),
                    Some((mark, _)) if matches!(step, Step::FetchFails) => {
                        watcher.on_fetch_failed(&mark, now);
                        Vec::new()
                    }
                    Some((mark, source)) => {
                        let mut fetched = fetched(mark.version.0);
                        if matches!(step, Step::FetchIsDamaged) {
                            fetched.text.push_str("# damage\n");
                        }
                        watcher.on_fetched(&mark, &source, fetched, now)
                    }
                }
            }
        };
        actions.extend(watcher.on_tick(now));
        let fetches = actions.iter().filter_map(|action| match action {
            HeadAction::Fetch { mark, source } => Some((mark.clone(), source.clone())),
            _ => None,
        });
        self.fetches.extend(fetches);
        actions
    }
}

/// Faulty variant that puts the last announced version in force, even if it is older.
struct LatestAnswerWins;

impl HeadRule for LatestAnswerWins {
    fn on_step(&mut self, step: &Step, _now: Instant) -> Vec<HeadAction> {
        let version = match step {
            Step::Table(version) | Step::Peer(_, version) => *version,
            _ => return Vec::new(),
        };
        let checked = fetched(version).check(&TextSource::Platform).unwrap();
        vec![HeadAction::PutInForce(Arc::new(checked))]
    }
}

/// Runs a schedule and returns the versions that were put in force, in order.
fn put_in_force<R>(mut rule: R, steps: &[Step]) -> Vec<Arc<HeadVersion>>
where
    R: HeadRule,
{
    let mut now = Instant::now();
    let mut versions = Vec::new();
    for step in steps {
        if let Step::Wait(delay_ms) = step {
            now += Duration::from_millis(*delay_ms);
        }
        for action in rule.on_step(step, now) {
            if let HeadAction::PutInForce(version) = action {
                versions.push(version);
            }
        }
    }
    versions
}

fn never_reverts(versions: &[Arc<HeadVersion>]) -> bool {
    let is_undamaged =
        |version: &Arc<HeadVersion>| digest_of(version.text.as_bytes()) == version.row.digest;
    let is_ascending = versions.is_sorted_by(|a, b| a.mark() < b.mark());
    is_ascending && versions.iter().all(is_undamaged)
}

#[test]
fn head_any_schedule_never_reverts() {
    fn holds(steps: Vec<Step>) -> bool {
        never_reverts(&put_in_force(WatcherRule::default(), &steps))
    }
    quickcheck_with_seed(SEED, SCHEDULES).quickcheck(holds as fn(Vec<Step>) -> bool);
}

#[test]
fn head_latest_answer_wins_is_caught() {
    let mut generator = Gen::from_size_and_seed(64, SEED);
    let mut schedules = (0..SCHEDULES).map(|_| Vec::<Step>::arbitrary(&mut generator));
    let is_caught = |steps: Vec<Step>| !never_reverts(&put_in_force(LatestAnswerWins, &steps));
    assert!(schedules.any(is_caught));
}

#[test]
fn head_any_schedule_ends_at_highest_announced() {
    fn holds(steps: Vec<Step>) -> bool {
        let announced = steps.iter().filter_map(|step| match step {
            Step::Table(version) | Step::Peer(_, version) => Some(*version),
            _ => None,
        });
        let highest = announced.max();
        let mut rule = WatcherRule::default();
        run_steps(&mut rule, &steps);
        let now = Instant::now() + Duration::from_secs(3600);
        for _ in 0..FETCH_ROUNDS {
            rule.on_step(&Step::FetchWorks, now);
        }
        let current = rule.watcher.as_ref().and_then(HeadWatcher::current);
        current.map(|current| current.row.version.0) == highest
    }
    quickcheck_with_seed(SEED, SCHEDULES).quickcheck(holds as fn(Vec<Step>) -> bool);
}

fn run_steps(rule: &mut WatcherRule, steps: &[Step]) {
    let mut now = Instant::now();
    for step in steps {
        if let Step::Wait(delay_ms) = step {
            now += Duration::from_millis(*delay_ms);
        }
        rule.on_step(step, now);
    }
}

#[test]
fn head_without_platform_and_peers_is_not_ready() {
    let mut watcher = HeadWatcher::new(HeadSettings::default());
    let now = Instant::now();
    watcher.on_tick(now);
    watcher.on_table_failed();
    let readiness = watcher.readiness();
    assert!(!readiness.is_ready());
    assert!(readiness.to_string().contains("was not heard"));
    assert!(readiness.to_string().contains("Hint:"));
}

#[test]
fn head_platform_down_fetches_highest_from_peer() {
    let mut watcher = HeadWatcher::new(HeadSettings::default());
    let mut now = Instant::now();
    watcher.on_table_failed();
    watcher.on_peer_head(peer(0), mark(3), now);
    watcher.on_peer_head(peer(1), mark(4), now);
    watcher.on_fetch_failed(&mark(4), now);
    now += Duration::from_secs(1);
    let actions = watcher.on_tick(now);
    let source = TextSource::Peer(peer(1));
    let fetch = HeadAction::Fetch {
        mark: mark(4),
        source: source.clone(),
    };
    assert!(actions.contains(&fetch), "{actions:?}");
    watcher.on_fetched(&mark(4), &source, fetched(4), now);
    let version = DocumentVersion(4);
    assert_eq!(watcher.readiness(), HeadReadiness::InForce { version });
}

#[test]
fn head_restored_table_is_written_back() {
    let mut watcher = HeadWatcher::new(HeadSettings::default());
    let now = Instant::now();
    watcher.on_table_head(Some(stored(7)), now);
    watcher.on_fetched(&mark(7), &TextSource::Platform, fetched(7), now);
    let actions = watcher.on_table_head(Some(stored(5)), now);
    let is_write_back = |action: &HeadAction| match action {
        HeadAction::WriteBack { version, observed } => {
            version.mark() == mark(7) && *observed == Some(Revision(5))
        }
        _ => false,
    };
    assert!(actions.iter().any(is_write_back), "{actions:?}");
}

#[test]
fn head_invalid_document_keeps_version_in_force() {
    let mut watcher = HeadWatcher::new(HeadSettings::default());
    let now = Instant::now();
    watcher.on_table_head(Some(stored(1)), now);
    watcher.on_fetched(&mark(1), &TextSource::Platform, fetched(1), now);
    let mut newer = fetched(2);
    newer.text = String::from("[unheard-of]\n");
    newer.row.digest = digest_of(newer.text.as_bytes());
    let newer_mark = HeadMark::from(&newer.row);
    watcher.on_peer_head(peer(0), newer_mark.clone(), now);
    let actions = watcher.on_fetched(&newer_mark, &TextSource::Platform, newer, now);
    assert!(actions.is_empty());
    assert_eq!(watcher.current().unwrap().mark(), mark(1));
    let (pending, error) = watcher.pending().unwrap();
    assert_eq!(*pending, newer_mark);
    assert!(error.is_some());
}

#[derive(Clone)]
struct OnePeer {
    version: FetchedVersion,
}

impl PeerVersions for OnePeer {
    async fn fetch(
        &self,
        _peer: &EntryId,
        _mark: &HeadMark,
    ) -> Result<FetchedVersion, PeerFetchError> {
        Ok(self.version.clone())
    }
}

async fn wait_for_version(view: &mut watch::Receiver<HeadView>, version: u64) {
    let has_version = |view: &HeadView| {
        let current = view.current.as_ref();
        current.is_some_and(|current| current.row.version == DocumentVersion(version))
    };
    view.wait_for(has_version).await.unwrap();
}

#[tokio::test]
async fn head_driver_restored_platform_keeps_version_and_writes_it_back() {
    let table = MemoryTable::new();
    let store = VersionStore::new(table.clone(), "trial".parse().unwrap());
    let mut snapshots = Vec::new();
    for version in 1..=2 {
        let checked = fetched(version).check(&TextSource::Platform).unwrap();
        let observed = store.head().await.unwrap().map(|head| head.revision);
        let attempt = format!("attempt-{version}").parse().unwrap();
        store.write_back(attempt, &checked, observed).await.unwrap();
        snapshots.push(table.snapshot());
    }
    let settings = HeadSettings {
        read_interval: Duration::from_millis(5),
        ..HeadSettings::default()
    };
    let watcher = HeadWatcher::new(settings);
    let peers = OnePeer {
        version: fetched(3),
    };
    let (driver, mut view) = HeadDriver::new(watcher, store.clone(), peers, SystemClock);
    let (events, receiver) = mpsc::channel(8);
    let task = tokio::spawn(driver.run(receiver));
    wait_for_version(&mut view, 2).await;
    table.restore(snapshots.remove(0));
    while store.head().await.unwrap().unwrap().row.version != DocumentVersion(2) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(view.borrow().current.as_ref().unwrap().mark(), mark(2));
    table.set_down(true);
    let event = PeerEvent::Head {
        peer: peer(0),
        mark: mark(3),
    };
    events.send(event).await.unwrap();
    wait_for_version(&mut view, 3).await;
    drop(events);
    task.await.unwrap();
}
