//! Helpers of the tests of the stand-ins.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use beryltray_lib::clock::SystemClock;
use beryltray_lib::connection::body::RequestBody;
use beryltray_lib::connection::body::read_body;
use beryltray_lib::connection::client::ClientConnection;
use beryltray_lib::connection::pool::ConnectionPool;
use beryltray_lib::connection::pool::PoolSettings;
use beryltray_lib::target::http::HttpTargetClient;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::header::HOST;
use serde::de::DeserializeOwned;

/// Timeout of every wait. No test depends on how long an operation takes within it.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const BODY_LIMIT_BYTES: usize = 1 << 24;

pub(crate) fn target_client() -> HttpTargetClient<SystemClock> {
    let pool = ConnectionPool::new(SystemClock, PoolSettings::default());
    HttpTargetClient::new(pool, TEST_TIMEOUT)
}

pub(crate) async fn call(address: SocketAddr, method: Method, path: &str, body: &str) -> Bytes {
    let mut connection = ClientConnection::open(address, TEST_TIMEOUT).await.unwrap();
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string())
        .body(RequestBody::new(Bytes::copy_from_slice(body.as_bytes())))
        .unwrap();
    let response = connection.send(request).await.unwrap();
    read_body(response.into_body(), BODY_LIMIT_BYTES, TEST_TIMEOUT)
        .await
        .unwrap()
}

pub(crate) async fn set_faults(address: SocketAddr, change: &str) {
    let answer = call(address, Method::POST, "/control/faults", change).await;
    assert_eq!(&answer[..], b"changed");
}

pub(crate) async fn truth<T>(address: SocketAddr) -> T
where
    T: DeserializeOwned,
{
    let answer = call(address, Method::GET, "/control/truth", "").await;
    serde_json::from_slice(&answer).unwrap()
}

pub(crate) async fn eventually<F, A>(mut condition: F)
where
    F: FnMut() -> A,
    A: Future<Output = bool>,
{
    let wait = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, wait).await.unwrap();
}
