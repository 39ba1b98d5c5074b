//! Tests of claims through a peer, over real loopback connections.

use std::sync::Arc;
use std::time::Duration;

use beryltray_lib::attempt_ids::RandomAttemptIds;
use beryltray_lib::clock::SystemClock;
use beryltray_lib::ids::Incarnation;
use beryltray_lib::ids::digest_of;
use beryltray_lib::platform::CommitOutcome;
use beryltray_lib::platform::PlatformError;
use beryltray_lib::platform::Put;
use beryltray_lib::platform::Row;
use beryltray_lib::platform::Table;
use beryltray_lib::platform::Transaction;
use beryltray_lib::process::exchange::wire::Frame;
use beryltray_lib::process::peer::PeerHandler;
use beryltray_lib::process::peer::PeerSettings;
use beryltray_lib::process::peer::client::PeerClient;
use beryltray_lib::process::peer::metered::TrafficMeter;
use beryltray_lib::process::peer::server::serve_peers;
use beryltray_lib::process::peer::table::ClaimProxy;
use beryltray_lib::process::peer::table::PeerTable;
use beryltray_lib::process::peer::table::TableFailure;
use beryltray_lib::process::status::EntryStatus;
use beryltray_lib::request::claim::ClaimMachine;
use beryltray_lib::request::claim::ClaimOwner;
use beryltray_lib::request::claim::ClaimSettings;
use beryltray_lib::request::claim::WorkKey;
use beryltray_lib::request::claim::store::ClaimOutcome;
use beryltray_lib::request::claim::store::ClaimStore;
use beryltray_lib::request::claim::store::claim_task;
use beryltray_lib::version::head::FetchedVersion;
use beryltray_lib::version::head::HeadMark;
use beryltray_testutils::table::MemoryTable;
use beryltray_testutils::table::TableFault;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// An entry that only gives peers access to its table.
#[derive(Clone)]
struct TableEntry {
    proxy: ClaimProxy<MemoryTable>,
}

impl PeerHandler for TableEntry {
    async fn exchange(&self, frame: Frame) -> Frame {
        frame
    }

    async fn version(&self, _mark: HeadMark) -> Option<FetchedVersion> {
        None
    }

    async fn status(&self) -> EntryStatus {
        std::future::pending().await
    }

    async fn read_claims(&self, keys: Vec<String>) -> Result<Vec<Option<Row>>, TableFailure> {
        self.proxy.read(keys).await
    }

    async fn commit_claims(&self, transaction: Transaction) -> Result<CommitOutcome, TableFailure> {
        self.proxy.commit(transaction).await
    }
}

/// Starts an entry that can reach `table` and returns access to the table through it.
async fn peer_table(table: &MemoryTable) -> PeerTable<SystemClock> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let proxy = ClaimProxy::new(table.clone(), &"trial".parse().unwrap());
    let meter = TrafficMeter::default();
    let settings = PeerSettings {
        call_timeout: Duration::from_secs(5),
        ..PeerSettings::default()
    };
    let stop = CancellationToken::new();
    let entry = TableEntry { proxy };
    tokio::spawn(serve_peers(listener, entry, settings, meter.clone(), stop));
    let peers = PeerTable::default();
    peers.set_peers(vec![Arc::new(PeerClient::new(
        address,
        settings,
        SystemClock,
        meter,
    ))]);
    peers
}

/// Creates the claim store of an entry that can't reach the platform directly.
fn claim_store_without_platform(peers: PeerTable<SystemClock>) -> ClaimStore {
    let owner = ClaimOwner {
        environment: "trial".parse().unwrap(),
        entry: "a".parse().unwrap(),
        incarnation: Incarnation(1),
    };
    let settings = ClaimSettings {
        has_peer_route: true,
        claim_timeout: Duration::from_secs(10),
        ..ClaimSettings::default()
    };
    let machine = ClaimMachine::new(settings, owner, RandomAttemptIds);
    let unreachable_table = MemoryTable::new();
    unreachable_table.set_down(true);
    let (store, task) = claim_task(machine, unreachable_table, peers, SystemClock);
    tokio::spawn(task.run());
    store
}

async fn claim(store: &ClaimStore) -> ClaimOutcome {
    let work = WorkKey {
        account: "depot".parse().unwrap(),
        key: "order-17".parse().unwrap(),
    };
    store.claim(work, digest_of(b"body")).await
}

#[tokio::test]
async fn peer_table_unreachable_platform_claims_through_peer() {
    let table = MemoryTable::new();
    let store = claim_store_without_platform(peer_table(&table).await);
    assert!(matches!(claim(&store).await, ClaimOutcome::Granted(_)));
    assert_eq!(table.committed().len(), 1);
}

#[tokio::test]
async fn peer_table_lost_answer_is_read_back_through_peer() {
    let table = MemoryTable::new();
    table.inject_faults([TableFault::LostAnswer]);
    let store = claim_store_without_platform(peer_table(&table).await);
    assert!(matches!(claim(&store).await, ClaimOutcome::Granted(_)));
    assert_eq!(table.committed().len(), 1);
}

#[tokio::test]
async fn peer_table_without_peers_is_not_run() {
    let store = claim_store_without_platform(PeerTable::default());
    assert!(matches!(claim(&store).await, ClaimOutcome::NotRun { .. }));
}

#[tokio::test]
async fn peer_table_other_rows_are_refused() {
    let table = MemoryTable::new();
    let peers = peer_table(&table).await;
    for key in ["head/trial", "claim/production/depot/order-17"] {
        let put = Put {
            key: key.to_owned(),
            value: String::from("{}"),
        };
        let transaction = Transaction {
            attempt: "attempt".parse().unwrap(),
            checks: Vec::new(),
            puts: vec![put],
            deletes: Vec::new(),
        };
        let refused = peers.commit(transaction).await;
        assert!(matches!(refused, Err(PlatformError::Unavailable { .. })));
        assert!(peers.read(vec![key.to_owned()]).await.is_err());
    }
    assert!(table.committed().is_empty());
}
