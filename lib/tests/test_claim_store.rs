//! Tests of the claim task: batches, conflicts, outages, and cancelled requests.

use std::time::Duration;

use beryltray_lib::attempt_ids::RandomAttemptIds;
use beryltray_lib::clock::SystemClock;
use beryltray_lib::ids::Incarnation;
use beryltray_lib::ids::digest_of;
use beryltray_lib::platform::Table;
use beryltray_lib::request::claim::ClaimGrant;
use beryltray_lib::request::claim::ClaimMachine;
use beryltray_lib::request::claim::ClaimOwner;
use beryltray_lib::request::claim::ClaimSettings;
use beryltray_lib::request::claim::RecordedAnswer;
use beryltray_lib::request::claim::WorkKey;
use beryltray_lib::request::claim::store::ClaimOutcome;
use beryltray_lib::request::claim::store::ClaimStore;
use beryltray_lib::request::claim::store::NoPeerTable;
use beryltray_lib::request::claim::store::claim_task;
use beryltray_testutils::table::MemoryTable;
use beryltray_testutils::table::TableFault;
use futures_util::future::join_all;

fn machine(entry: &str, settings: ClaimSettings) -> ClaimMachine<RandomAttemptIds> {
    let owner = ClaimOwner {
        environment: "trial".parse().unwrap(),
        entry: entry.parse().unwrap(),
        incarnation: Incarnation(1),
    };
    ClaimMachine::new(settings, owner, RandomAttemptIds)
}

fn open<R>(entry: &str, table: &MemoryTable, peer: R, settings: ClaimSettings) -> ClaimStore
where
    R: Table,
{
    let (store, task) = claim_task(machine(entry, settings), table.clone(), peer, SystemClock);
    tokio::spawn(task.run());
    store
}

fn open_entry(entry: &str, table: &MemoryTable) -> ClaimStore {
    open(entry, table, NoPeerTable, ClaimSettings::default())
}

fn work(key: &str) -> WorkKey {
    WorkKey {
        account: "depot".parse().unwrap(),
        key: key.parse().unwrap(),
    }
}

async fn claim(store: &ClaimStore, key: &str) -> ClaimOutcome {
    store.claim(work(key), digest_of(b"body")).await
}

async fn granted(store: &ClaimStore, key: &str) -> ClaimGrant {
    match claim(store, key).await {
        ClaimOutcome::Granted(grant) => grant,
        other => panic!("{other:?}"),
    }
}

fn answer(body: &str) -> RecordedAnswer {
    RecordedAnswer {
        status: 201,
        content_type: String::from("text/plain"),
        body: body.to_owned(),
    }
}

#[tokio::test]
async fn store_concurrent_claims_share_transactions() {
    let table = MemoryTable::new();
    let store = open_entry("a", &table);
    let keys = (0..60).map(|index| format!("key-{index}"));
    let claims = keys.map(|key| {
        let store = store.clone();
        async move {
            granted(&store, &key)
                .await
                .begin_send()
                .record_done(answer(&key))
        }
    });
    join_all(claims).await;
    store.flush().await;
    let writes: usize = table
        .committed()
        .iter()
        .map(|commit| commit.puts.len())
        .sum();
    assert_eq!(writes, 120);
    assert!(table.commit_count() <= 12, "{}", table.commit_count());
}

#[tokio::test]
async fn store_conflict_does_not_fail_other_claims() {
    let table = MemoryTable::new();
    let (first, second) = (open_entry("a", &table), open_entry("b", &table));
    let _grant = granted(&first, "key-3").await;
    let keys = (0..8)
        .map(|index| format!("key-{index}"))
        .collect::<Vec<_>>();
    let claims = join_all(keys.iter().map(|key| claim(&second, key))).await;
    for (index, claimed) in claims.iter().enumerate() {
        let is_granted = matches!(claimed, ClaimOutcome::Granted(_));
        assert_eq!(is_granted, index != 3, "{index}: {claimed:?}");
    }
    assert!(matches!(claims[3], ClaimOutcome::InProgress { .. }));
}

#[tokio::test]
async fn store_same_key_at_three_entries_is_granted_once() {
    let table = MemoryTable::new();
    for round in 0..20 {
        let stores = ["a", "b", "c"].map(|entry| open_entry(entry, &table));
        let key = format!("key-{round}");
        let claims = join_all(stores.iter().map(|store| claim(store, &key))).await;
        let granted = claims
            .iter()
            .filter(|c| matches!(c, ClaimOutcome::Granted(_)));
        assert_eq!(granted.count(), 1, "{claims:?}");
    }
}

#[tokio::test]
async fn store_done_is_replayed_by_every_entry() {
    let table = MemoryTable::new();
    let (first, second) = (open_entry("a", &table), open_entry("b", &table));
    granted(&first, "key")
        .await
        .begin_send()
        .record_done(answer("raised"));
    first.flush().await;
    for store in [&first, &second] {
        let ClaimOutcome::Replay { answer } = claim(store, "key").await else {
            panic!("not replayed");
        };
        assert_eq!(answer.body, "raised");
    }
}

#[tokio::test]
async fn store_same_key_with_other_body_is_refused() {
    let table = MemoryTable::new();
    let (first, second) = (open_entry("a", &table), open_entry("b", &table));
    let _grant = granted(&first, "key").await;
    for store in [first, second] {
        let claimed = store.claim(work("key"), digest_of(b"another body")).await;
        assert!(matches!(claimed, ClaimOutcome::OtherBody));
    }
}

#[tokio::test]
async fn store_not_run_is_claimed_again_elsewhere() {
    let table = MemoryTable::new();
    let (first, second) = (open_entry("a", &table), open_entry("b", &table));
    granted(&first, "key").await.begin_send().record_not_run();
    first.flush().await;
    granted(&second, "key").await;
}

#[tokio::test]
async fn store_dropped_grant_is_not_run() {
    let table = MemoryTable::new();
    let (first, second) = (open_entry("a", &table), open_entry("b", &table));
    drop(granted(&first, "key").await);
    first.flush().await;
    granted(&second, "key").await;
}

#[tokio::test]
async fn store_request_cancelled_before_grant_is_not_run() {
    let table = MemoryTable::new();
    let (first, second) = (open_entry("a", &table), open_entry("b", &table));
    let waiting = claim(&first, "key");
    let cancelled = tokio::time::timeout(Duration::from_millis(1), waiting).await;
    drop(cancelled);
    // This claim is queued after the first one, so both are decided before the flush.
    drop(granted(&first, "other").await);
    first.flush().await;
    granted(&second, "key").await;
}

#[tokio::test]
async fn store_dropped_send_is_abandoned_everywhere() {
    let table = MemoryTable::new();
    let (first, second) = (open_entry("a", &table), open_entry("b", &table));
    drop(granted(&first, "key").await.begin_send());
    first.flush().await;
    assert!(matches!(
        claim(&first, "key").await,
        ClaimOutcome::Abandoned
    ));
    assert!(matches!(
        claim(&second, "key").await,
        ClaimOutcome::Abandoned
    ));
}

#[tokio::test]
async fn store_outage_is_not_run_with_retry_after() {
    let table = MemoryTable::new();
    table.set_down(true);
    let store = open_entry("a", &table);
    for _ in 0..2 {
        let ClaimOutcome::NotRun { retry_after } = claim(&store, "key").await else {
            panic!("not refused");
        };
        assert!(retry_after > Duration::ZERO);
    }
    assert_eq!(table.commit_count(), 0);
}

#[tokio::test]
async fn store_outage_uses_peer_route() {
    let table = MemoryTable::new();
    let unreachable = MemoryTable::new();
    unreachable.set_down(true);
    let settings = ClaimSettings {
        has_peer_route: true,
        ..ClaimSettings::default()
    };
    let store = open("a", &unreachable, table.clone(), settings);
    granted(&store, "key").await;
    assert_eq!(table.commit_count(), 1);
    assert_eq!(unreachable.commit_count(), 0);
}

#[tokio::test]
async fn store_lost_answers_are_resolved_by_read_back() {
    for fault in [
        TableFault::LostAnswer,
        TableFault::LostRequest,
        TableFault::LateEffect,
    ] {
        let table = MemoryTable::new();
        table.inject_faults([fault]);
        let store = open_entry("a", &table);
        let grant = granted(&store, "key").await;
        table.release_late();
        grant.begin_send().record_done(answer("raised"));
        store.flush().await;
        assert!(matches!(
            claim(&store, "key").await,
            ClaimOutcome::Replay { .. }
        ));
        assert_eq!(table.committed().len(), 2, "{fault:?}");
    }
}
