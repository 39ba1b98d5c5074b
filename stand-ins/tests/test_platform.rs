//! Tests of the platform stand-in with the library's HTTP client.

use std::net::SocketAddr;

use beryltray_lib::clock::SystemClock;
use beryltray_lib::connection::body::ResponseBody;
use beryltray_lib::connection::body::full_body;
use beryltray_lib::connection::server::HttpHandler;
use beryltray_lib::connection::server::ServerSettings;
use beryltray_lib::connection::server::serve;
use beryltray_lib::ids::Revision;
use beryltray_lib::ids::new_attempt_id;
use beryltray_lib::platform::Check;
use beryltray_lib::platform::CommitOutcome;
use beryltray_lib::platform::Condition;
use beryltray_lib::platform::HostList as _;
use beryltray_lib::platform::ListedHost;
use beryltray_lib::platform::ListedState;
use beryltray_lib::platform::ObjectStore as _;
use beryltray_lib::platform::PlatformError;
use beryltray_lib::platform::Put;
use beryltray_lib::platform::Table as _;
use beryltray_lib::platform::Transaction;
use beryltray_lib::platform::http::HttpPlatform;
use beryltray_stand_ins::platform;
use beryltray_stand_ins::platform::PlatformSettings;
use beryltray_stand_ins::truth::PlatformTruth;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use serde_json::json;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::common::TEST_TIMEOUT;
use crate::common::fetch_truth;
use crate::common::set_faults;

fn client(address: SocketAddr) -> HttpPlatform<SystemClock> {
    HttpPlatform::new(address, TEST_TIMEOUT, SystemClock)
}

fn put(key: &str, value: &str, condition: Condition) -> Transaction {
    let check = Check {
        key: key.to_owned(),
        condition,
    };
    let put = Put {
        key: key.to_owned(),
        value: value.to_owned(),
    };
    Transaction {
        attempt: new_attempt_id(),
        checks: vec![check],
        puts: vec![put],
        deletes: Vec::new(),
    }
}

#[tokio::test]
async fn commit_second_absent_is_refused() {
    let running = platform::start(PlatformSettings::default()).await.unwrap();
    let table = client(running.address());
    let first = put("a/1", "1", Condition::Absent);
    let committed = table.commit(first.clone()).await.unwrap();
    let revision = Revision(1);
    assert_eq!(committed, CommitOutcome::Committed { revision });
    let refused = table.commit(put("a/1", "2", Condition::Absent)).await;
    let CommitOutcome::Refused { current } = refused.unwrap() else {
        panic!("the second insert was committed");
    };
    assert_eq!(current[0].as_ref().unwrap().attempt, first.attempt);
    let changed = put("a/1", "3", Condition::Revision(revision));
    table.commit(changed).await.unwrap();
    let rows = table.scan(String::from("a/")).await.unwrap();
    assert_eq!(rows[0].value, "3");
}

#[tokio::test]
async fn commit_lost_answer_is_committed() {
    let running = platform::start(PlatformSettings::default()).await.unwrap();
    let table = client(running.address());
    set_faults(running.address(), r#"{"lost_answers": 1}"#).await;
    let transaction = put("a", "1", Condition::Absent);
    let lost = table.commit(transaction.clone()).await;
    assert!(matches!(lost, Err(PlatformError::Ambiguous { .. })));
    let rows = table.read(vec![String::from("a")]).await.unwrap();
    assert_eq!(rows[0].as_ref().unwrap().attempt, transaction.attempt);
    let truth: PlatformTruth = fetch_truth(running.address()).await;
    assert!(truth.commits[0].is_answer_lost);
}

#[tokio::test]
async fn commit_outage_is_unavailable() {
    let running = platform::start(PlatformSettings::default()).await.unwrap();
    let table = client(running.address());
    set_faults(running.address(), r#"{"outage": "refusing"}"#).await;
    let refused = table.commit(put("a", "1", Condition::Absent)).await;
    assert!(matches!(refused, Err(PlatformError::Unavailable { .. })));
    set_faults(running.address(), r#"{"outage": "none"}"#).await;
    let rows = table.read(vec![String::from("a")]).await.unwrap();
    assert_eq!(rows, [None]);
}

/// A second restore must not bring back rows that the first one has removed.
#[tokio::test]
async fn restore_twice_removes_later_rows() {
    let running = platform::start(PlatformSettings::default()).await.unwrap();
    let table = client(running.address());
    for key in ["a", "b", "c"] {
        let transaction = put(key, "1", Condition::Absent);
        table.commit(transaction).await.unwrap();
    }
    set_faults(running.address(), r#"{"restore_to_revision": 1}"#).await;
    let again = table.commit(put("c", "2", Condition::Absent)).await;
    let revision = Revision(4);
    assert_eq!(again.unwrap(), CommitOutcome::Committed { revision });
    set_faults(running.address(), r#"{"restore_to_revision": 3}"#).await;
    let rows = table.scan(String::new()).await.unwrap();
    let keys = rows.iter().map(|row| row.key.as_str()).collect::<Vec<_>>();
    assert_eq!(keys, ["a"]);
}

#[tokio::test]
async fn objects_put_and_get() {
    let running = platform::start(PlatformSettings::default()).await.unwrap();
    let store = client(running.address());
    let key = String::from("document/abc");
    assert_eq!(store.get_object(key.clone()).await.unwrap(), None);
    let bytes = b"[service writers]".to_vec();
    store.put_object(key.clone(), bytes.clone()).await.unwrap();
    assert_eq!(store.get_object(key).await.unwrap(), Some(bytes));
}

#[tokio::test]
async fn hosts_leaving_is_visible_after_lag() {
    let host = ListedHost {
        host: "a1".parse().unwrap(),
        service: "writers".parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "lakes-a".parse().unwrap(),
        domain: "a-1".parse().unwrap(),
        state: ListedState::Live,
    };
    let settings = PlatformSettings {
        hosts: vec![host],
        ..PlatformSettings::default()
    };
    let running = platform::start(settings).await.unwrap();
    let list = client(running.address());
    let change = r#"{"list_lag_ms": 3600000, "mark_leaving": "a1"}"#;
    set_faults(running.address(), change).await;
    let lagged = list.hosts().await.unwrap();
    assert_eq!(lagged[0].state, ListedState::Live);
    set_faults(running.address(), r#"{"list_lag_ms": 0}"#).await;
    let current = list.hosts().await.unwrap();
    assert_eq!(current[0].state, ListedState::Leaving);
}

/// A platform whose host list has this text.
#[derive(Clone, Debug)]
struct HostListText(String);

impl HttpHandler for HostListText {
    async fn handle(&self, _request: Request<Incoming>) -> Response<ResponseBody> {
        Response::new(full_body(self.0.clone()))
    }
}

async fn listed_hosts(text: String) -> Result<Vec<ListedHost>, PlatformError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let never = CancellationToken::new();
    let handler = HostListText(text);
    tokio::spawn(serve(listener, handler, ServerSettings::default(), never));
    client(address).hosts().await
}

/// Guards against a host list that can't be read because of one of its hosts.
#[tokio::test]
async fn hosts_skips_odd_ones() {
    let host = |name: &str| {
        json!({"host": name, "service": "ledger", "address": "127.0.0.1:1", "data_centre": "lakes-a",
               "domain": "d-1", "state": "live"})
    };
    let mut without_domain = host("h-3");
    without_domain.as_object_mut().unwrap().remove("domain");
    let hosts = [
        json!(null),
        host("h-1"),
        host("b&part=z"),
        without_domain,
        host("h-2"),
    ];
    let listed = listed_hosts(json!({"hosts": hosts}).to_string()).await;
    let names: Vec<String> = listed.unwrap().iter().map(|h| h.host.to_string()).collect();
    assert_eq!(names, ["h-1", "h-2"]);
    let without_list = listed_hosts(String::from("{}")).await;
    assert!(without_list.is_err(), "{without_list:?}");
}
