//! Tests of the calls between entries, over real loopback connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use beryltray_lib::clock::SystemClock;
use beryltray_lib::ids::DocumentVersion;
use beryltray_lib::ids::Incarnation;
use beryltray_lib::ids::digest_of;
use beryltray_lib::platform::rows::HeadRow;
use beryltray_lib::process::exchange::ExchangeAction;
use beryltray_lib::process::exchange::ExchangeSettings;
use beryltray_lib::process::exchange::StateExchange;
use beryltray_lib::process::exchange::wire::Frame;
use beryltray_lib::process::lifecycle::Stage;
use beryltray_lib::process::membership::member::MemberIdentity;
use beryltray_lib::process::peer::PeerHandler;
use beryltray_lib::process::peer::PeerSettings;
use beryltray_lib::process::peer::client::PeerClient;
use beryltray_lib::process::peer::client::PeerError;
use beryltray_lib::process::peer::metered::TrafficMeter;
use beryltray_lib::process::peer::server::serve_peers;
use beryltray_lib::process::status::EntryStatus;
use beryltray_lib::version::head::FetchedVersion;
use beryltray_lib::version::head::HeadMark;
use beryltray_testutils::mesh::Mesh;
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

const DOCUMENT: &str = "[service beryl-writers]";
const DATA_CENTRE: &str = "lakes-a";

fn head_row() -> HeadRow {
    HeadRow {
        version: DocumentVersion(3),
        digest: digest_of(DOCUMENT.as_bytes()),
        base: DocumentVersion(2),
        author: "operator".to_owned(),
        accepted_unix_s: 7,
    }
}

fn held_version() -> FetchedVersion {
    FetchedVersion {
        row: head_row(),
        text: DOCUMENT.to_owned(),
    }
}

#[derive(Clone)]
struct Entry {
    exchange: Arc<Mutex<StateExchange>>,
}

impl PeerHandler for Entry {
    async fn exchange(&self, frame: Frame) -> Frame {
        let (answer, _) = self
            .exchange
            .lock()
            .unwrap()
            .on_call(&frame, Instant::now());
        answer
    }

    async fn version(&self, mark: HeadMark) -> Option<FetchedVersion> {
        (mark == HeadMark::from(&head_row())).then(held_version)
    }

    async fn status(&self) -> EntryStatus {
        let exchange = self.exchange.lock().unwrap();
        let own = exchange.membership().own().clone();
        EntryStatus {
            entry: own.entry,
            incarnation: own.incarnation,
            data_centre: own.data_centre,
            environment: "trial".parse().unwrap(),
            stage: Stage::Ready,
            not_ready_because: None,
            document_version: None,
            document_digest: None,
            relay_address: None,
            in_flight_requests: 3,
            is_platform_reached: true,
            lease: None,
            services: Vec::new(),
            members: Vec::new(),
        }
    }
}

fn identity(index: usize, address: SocketAddr) -> MemberIdentity {
    MemberIdentity {
        entry: Mesh::entry(index),
        incarnation: Incarnation(1),
        data_centre: DATA_CENTRE.parse().unwrap(),
        address,
    }
}

fn client(address: SocketAddr) -> PeerClient<SystemClock> {
    let settings = PeerSettings {
        call_timeout: Duration::from_secs(5),
        ..PeerSettings::default()
    };
    PeerClient::new(address, settings, SystemClock, TrafficMeter::default())
}

/// Starts an entry that finds other entries through `seeds`.
async fn start(index: usize, seeds: &[SocketAddr], stop: CancellationToken) -> (Entry, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let settings = ExchangeSettings {
        seeds: seeds.to_vec(),
        ..ExchangeSettings::default()
    };
    let exchange = StateExchange::new(identity(index, address), settings, Instant::now());
    let exchange = Arc::new(Mutex::new(exchange));
    let entry = Entry { exchange };
    let meter = TrafficMeter::default();
    let settings = PeerSettings::default();
    tokio::spawn(serve_peers(listener, entry.clone(), settings, meter, stop));
    (entry, address)
}

/// Runs one round of an entry, including the calls that follow from answers.
async fn run_round(entry: &Entry) {
    let mut actions = entry.exchange.lock().unwrap().on_round(Instant::now());
    while let Some(action) = actions.pop() {
        let ExchangeAction::Call { address, peer } = action else {
            continue;
        };
        let frame = entry
            .exchange
            .lock()
            .unwrap()
            .compose(peer.as_ref(), Instant::now());
        let answer = client(address).exchange(frame).await.unwrap();
        let next_actions = entry
            .exchange
            .lock()
            .unwrap()
            .on_answer(&answer, Instant::now());
        actions.extend(next_actions);
    }
}

#[tokio::test]
async fn exchange_over_loopback_members_are_complete() {
    let stop = CancellationToken::new();
    let (first, first_address) = start(0, &[], stop.clone()).await;
    let (second, _) = start(1, &[first_address], stop.clone()).await;
    let (third, _) = start(2, &[first_address], stop.clone()).await;
    for _ in 0..7 {
        for entry in [&first, &second, &third] {
            run_round(entry).await;
        }
    }
    for entry in [&first, &second, &third] {
        let exchange = entry.exchange.lock().unwrap();
        assert_eq!(exchange.membership().local_alive_entries().len(), 3);
    }
    stop.cancel();
}

#[tokio::test]
async fn version_fetch_by_mark() {
    let stop = CancellationToken::new();
    let (_, address) = start(0, &[], stop.clone()).await;
    let client = client(address);
    let mark = HeadMark::from(&head_row());
    assert_eq!(client.version(mark.clone()).await, Ok(Some(held_version())));
    let other = HeadMark {
        digest: digest_of(b"other"),
        ..mark
    };
    assert_eq!(client.version(other).await, Ok(None));
    let status = client.status().await.unwrap();
    assert_eq!(status.entry, Mesh::entry(0));
    assert_eq!(status.in_flight_requests, 3);
    stop.cancel();
}

#[tokio::test]
async fn call_refused_is_not_connected() {
    // The bound socket doesn't listen, but it keeps the port from tests that run in parallel.
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    let called = client(address).status().await;
    assert!(matches!(called, Err(PeerError::NotConnected { .. })));
}

#[tokio::test]
async fn call_after_peer_restart_reconnects() {
    let stop = CancellationToken::new();
    let (_, address) = start(0, &[], stop.clone()).await;
    let client = client(address);
    client.status().await.unwrap();
    stop.cancel();
    // Calls may be answered over the old connection until the server has stopped.
    while client.status().await.is_ok() {}
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    let exchange = StateExchange::new(
        identity(0, address),
        ExchangeSettings::default(),
        Instant::now(),
    );
    let exchange = Arc::new(Mutex::new(exchange));
    let entry = Entry { exchange };
    let stop = CancellationToken::new();
    let meter = TrafficMeter::default();
    let settings = PeerSettings::default();
    tokio::spawn(serve_peers(listener, entry, settings, meter, stop.clone()));
    assert!(client.status().await.is_ok());
    stop.cancel();
}

/// A connection may stop working without an error, so a timeout must not leave it in use.
#[tokio::test]
async fn call_without_answer_next_opens_new_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let mut silent = Vec::new();
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buffer = [0; 64];
            assert!(stream.read(&mut buffer).await.unwrap() > 0);
            silent.push(stream);
        }
        silent.len()
    });
    let settings = PeerSettings {
        call_timeout: Duration::from_millis(50),
        ..PeerSettings::default()
    };
    let client = PeerClient::new(address, settings, SystemClock, TrafficMeter::default());
    for _ in 0..2 {
        let called = client.status().await;
        assert!(matches!(called, Err(PeerError::NoAnswer { .. })));
    }
    assert_eq!(server.await.unwrap(), 2);
}
