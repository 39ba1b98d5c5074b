//! The HTTP client of the platform's services.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header::HOST;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::CommitOutcome;
use super::HostList;
use super::ListedHost;
use super::ObjectStore;
use super::PlatformError;
use super::Row;
use super::Table;
use super::Transaction;
use super::wire;
use crate::clock::Clock;
use crate::connection::body::RequestBody;
use crate::connection::body::read_body;
use crate::connection::client::SendError;
use crate::connection::pool::ConnectionPool;
use crate::connection::pool::PoolSettings;
use crate::connection::pool::PooledConnection;

/// The maximum size of a response body.
const ANSWER_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// A client of the platform at one address.
#[derive(Clone, Debug)]
pub struct HttpPlatform<C> {
    address: SocketAddr,
    timeout: Duration,
    pool: ConnectionPool<C>,
}

impl<C> HttpPlatform<C>
where
    C: Clock,
{
    /// Creates a client with a timeout for each call and for opening a connection.
    pub fn new(address: SocketAddr, timeout: Duration, clock: C) -> Self {
        let settings = PoolSettings {
            connect_timeout: timeout,
            ..PoolSettings::default()
        };
        Self {
            address,
            timeout,
            pool: ConnectionPool::new(clock, settings),
        }
    }

    async fn call<Q, A>(&self, path: &str, body: &Q) -> Result<A, PlatformError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let body = serde_json::to_vec(body).map_err(protocol_error)?;
        let (_, answer) = self.exchange(Method::POST, path, body.into()).await?;
        serde_json::from_slice(&answer).map_err(protocol_error)
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let exchange = self.exchange_without_timeout(method, path, body);
        let result = tokio::time::timeout(self.timeout, exchange).await;
        result.unwrap_or_else(|_| {
            let reason = format!("no answer within {:?}", self.timeout);
            Err(PlatformError::Ambiguous { reason })
        })
    }

    async fn exchange_without_timeout(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.to_string())
            .body(RequestBody::new(body))
            .map_err(protocol_error)?;
        let mut pooled = self.pool.take(self.address).await.map_err(send_error)?;
        let response = pooled.connection.send(request).await;
        let response = response.map_err(send_error)?;
        let status = response.status();
        let answer = read_body(response.into_body(), ANSWER_LIMIT_BYTES, self.timeout).await;
        let answer = answer.map_err(|error| PlatformError::Ambiguous {
            reason: error.to_string(),
        })?;
        self.keep(pooled).await;
        check_status(status, &answer)?;
        Ok((status, answer))
    }

    async fn keep(&self, pooled: PooledConnection) {
        self.pool.put_back(pooled).await;
    }
}

fn send_error(error: SendError) -> PlatformError {
    let reason = error.to_string();
    match error {
        SendError::NotSent { .. } => PlatformError::Unavailable { reason },
        SendError::MaybeSent { .. } => PlatformError::Ambiguous { reason },
    }
}

fn protocol_error<E>(error: E) -> PlatformError
where
    E: std::error::Error,
{
    PlatformError::Protocol {
        reason: error.to_string(),
    }
}

fn check_status(status: StatusCode, answer: &Bytes) -> Result<(), PlatformError> {
    let reason = || format!("{status}: {}", String::from_utf8_lossy(answer));
    match status {
        StatusCode::OK | StatusCode::NOT_FOUND => Ok(()),
        StatusCode::SERVICE_UNAVAILABLE => Err(PlatformError::Unavailable { reason: reason() }),
        status if status.is_server_error() => Err(PlatformError::Ambiguous { reason: reason() }),
        _ => Err(PlatformError::Protocol { reason: reason() }),
    }
}

impl<C> Table for HttpPlatform<C>
where
    C: Clock,
{
    async fn read(&self, keys: Vec<String>) -> Result<Vec<Option<Row>>, PlatformError> {
        let count = keys.len();
        let request = wire::ReadRequest { keys };
        let answer: wire::ReadResponse = self.call(wire::READ_PATH, &request).await?;
        if answer.rows.len() == count {
            return Ok(answer.rows);
        }
        let reason = format!("{} rows for {count} keys", answer.rows.len());
        Err(PlatformError::Protocol { reason })
    }

    async fn scan(&self, prefix: String) -> Result<Vec<Row>, PlatformError> {
        let request = wire::ScanRequest { prefix };
        let answer: wire::ScanResponse = self.call(wire::SCAN_PATH, &request).await?;
        Ok(answer.rows)
    }

    async fn commit(&self, transaction: Transaction) -> Result<CommitOutcome, PlatformError> {
        self.call(wire::COMMIT_PATH, &transaction).await
    }
}

impl<C> ObjectStore for HttpPlatform<C>
where
    C: Clock,
{
    async fn get_object(&self, key: String) -> Result<Option<Vec<u8>>, PlatformError> {
        let path = format!("{}{key}", wire::OBJECT_PATH_PREFIX);
        let (status, body) = self.exchange(Method::GET, &path, Bytes::new()).await?;
        let is_found = status == StatusCode::OK;
        Ok(is_found.then(|| body.to_vec()))
    }

    async fn put_object(&self, key: String, bytes: Vec<u8>) -> Result<(), PlatformError> {
        let path = format!("{}{key}", wire::OBJECT_PATH_PREFIX);
        self.exchange(Method::PUT, &path, bytes.into()).await?;
        Ok(())
    }
}

/// A [`wire::HostsResponse`] in which single hosts may be of another form.
#[derive(Deserialize)]
struct HostItems {
    hosts: Vec<Value>,
}

/// Returns the hosts that can be read. The others are logged in one line and skipped.
fn readable_hosts(items: &[Value]) -> Vec<ListedHost> {
    let mut hosts = Vec::with_capacity(items.len());
    let mut first_error = None;
    for item in items {
        match ListedHost::deserialize(item) {
            Ok(host) => hosts.push(host),
            Err(error) => {
                let name = item.get("host").and_then(Value::as_str);
                first_error.get_or_insert((name, error));
            }
        }
    }
    if let Some((name, error)) = first_error {
        let count = (items.len() - hosts.len()) as u64;
        log::warn!(
            count = count, host = name;
            "skipping invalid hosts of the host list, the first one: {error}"
        );
    }
    hosts
}

impl<C> HostList for HttpPlatform<C>
where
    C: Clock,
{
    async fn hosts(&self) -> Result<Vec<ListedHost>, PlatformError> {
        let (_, body) = self
            .exchange(Method::GET, wire::HOSTS_PATH, Bytes::new())
            .await?;
        let answer: HostItems = serde_json::from_slice(&body).map_err(protocol_error)?;
        Ok(readable_hosts(&answer.hosts))
    }
}
