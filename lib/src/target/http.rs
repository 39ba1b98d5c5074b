//! Targets over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

use super::wire;
use super::wire::CacheEvents;
use super::wire::HostReport;
use super::wire::Order;
use super::wire::OrderAnswer;
use crate::clock::Clock;
use crate::connection::body::RequestBody;
use crate::connection::body::read_body;
use crate::connection::client::SendError;
use crate::connection::pool::ConnectionPool;
use crate::connection::pool::PooledConnection;
use crate::ids::AttemptId;
use crate::ids::Generation;
use crate::ids::GroupId;

/// The longest report or answer to an order.
const CONTROL_ANSWER_LIMIT_BYTES: usize = 1024 * 1024;

/// Why a control call to a target failed.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ControlError {
    /// The target did not answer.
    #[display("the target did not answer: {reason}. Hint: check that the host is up")]
    NoAnswer {
        /// What the connection said.
        reason: String,
    },
    /// The target's answer does not follow its protocol.
    #[display("the target's answer can't be read: {reason}. Hint: compare the two versions")]
    Protocol {
        /// What was wrong with the answer.
        reason: String,
    },
}

/// One attempt at a request, as it is sent to a target.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The attempt.
    pub attempt: AttemptId,
    /// The path at the target.
    pub path: String,
    /// The group and generation that are meant to answer, for a replica group.
    pub group: Option<(GroupId, Generation)>,
    /// The priority as the wire has it.
    pub priority: String,
    /// The number of tokens that the caller already has.
    pub resume_from_tokens: u64,
    /// The media type of the body.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
}

/// The head of a target's answer, and the connection that the body comes on.
#[derive(Debug)]
pub struct TargetAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, still to be read.
    pub body: Incoming,
    /// The connection, to be put back once the body is read to its end.
    pub connection: PooledConnection,
}

/// A client of any number of targets.
#[derive(Clone, Debug)]
pub struct HttpTargets<C> {
    pool: ConnectionPool<C>,
    control_timeout: Duration,
}

impl<C> HttpTargets<C>
where
    C: Clock,
{
    /// Creates a client that gives each control call `control_timeout`.
    pub fn new(pool: ConnectionPool<C>, control_timeout: Duration) -> Self {
        Self {
            pool,
            control_timeout,
        }
    }

    /// Returns the pool of connections to the targets.
    pub fn pool(&self) -> &ConnectionPool<C> {
        &self.pool
    }

    /// Sends an attempt once on `connection` and returns the head of the answer.
    pub async fn submit(
        &self,
        mut connection: PooledConnection,
        submission: Submission,
    ) -> Result<TargetAnswer, SendError> {
        let address = connection.connection.address();
        let request = submission_request(address, submission)?;
        let response = connection.connection.send(request).await?;
        let (head, body) = response.into_parts();
        Ok(TargetAnswer {
            status: head.status,
            headers: head.headers,
            body,
            connection,
        })
    }

    /// Asks a target to stop an attempt.
    pub async fn cancel(
        &self,
        address: SocketAddr,
        attempt: &AttemptId,
    ) -> Result<(), ControlError> {
        let path = format!("{}{attempt}", wire::CANCEL_PATH_PREFIX);
        self.exchange(address, Method::POST, &path, Bytes::new())
            .await?;
        Ok(())
    }

    /// Returns a host's report of itself.
    pub async fn report(&self, address: SocketAddr) -> Result<HostReport, ControlError> {
        self.call(address, Method::GET, wire::REPORT_PATH, Bytes::new())
            .await
    }

    /// Gives an order to a host.
    pub async fn order(
        &self,
        address: SocketAddr,
        order: &Order,
    ) -> Result<OrderAnswer, ControlError> {
        let body = serde_json::to_vec(order).map_err(protocol_error)?;
        self.call(address, Method::POST, wire::ORDER_PATH, body.into())
            .await
    }

    /// Returns the cache events after `after_sequence`.
    pub async fn cache_events(
        &self,
        address: SocketAddr,
        after_sequence: u64,
    ) -> Result<CacheEvents, ControlError> {
        let path = format!("{}?after={after_sequence}", wire::CACHE_EVENTS_PATH);
        self.call(address, Method::GET, &path, Bytes::new()).await
    }

    async fn call<A>(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<A, ControlError>
    where
        A: DeserializeOwned,
    {
        let answer = self.exchange(address, method, path, body).await?;
        serde_json::from_slice(&answer).map_err(protocol_error)
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, ControlError> {
        let exchange = self.exchange_unbounded(address, method, path, body);
        let bounded = tokio::time::timeout(self.control_timeout, exchange).await;
        bounded.unwrap_or_else(|_| {
            let reason = format!("no answer within {:?}", self.control_timeout);
            Err(ControlError::NoAnswer { reason })
        })
    }

    async fn exchange_unbounded(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, ControlError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(RequestBody::new(body))
            .map_err(protocol_error)?;
        let no_answer = |reason: String| ControlError::NoAnswer { reason };
        let taken = self.pool.take(address).await;
        let mut pooled = taken.map_err(|error| no_answer(error.to_string()))?;
        let sent = pooled.connection.send(request).await;
        let response = sent.map_err(|error| no_answer(error.to_string()))?;
        let body = response.into_body();
        let read = read_body(body, CONTROL_ANSWER_LIMIT_BYTES, self.control_timeout).await;
        let bytes = read.map_err(|error| no_answer(error.to_string()))?;
        self.pool.put_back(pooled).await;
        Ok(bytes)
    }
}

fn protocol_error<E>(error: E) -> ControlError
where
    E: std::error::Error,
{
    ControlError::Protocol {
        reason: error.to_string(),
    }
}

fn submission_request(
    address: SocketAddr,
    submission: Submission,
) -> Result<Request<RequestBody>, SendError> {
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(submission.path)
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, submission.content_type)
        .header(wire::ATTEMPT_HEADER, submission.attempt.as_str())
        .header(wire::PRIORITY_HEADER, submission.priority);
    if submission.resume_from_tokens > 0 {
        request = request.header(wire::RESUME_HEADER, submission.resume_from_tokens);
    }
    if let Some((group, generation)) = submission.group {
        request = request
            .header(wire::GROUP_HEADER, group.as_str())
            .header(wire::GENERATION_HEADER, generation.0);
    }
    let request = request.body(RequestBody::new(submission.body));
    request.map_err(|error| SendError::NotSent {
        address,
        reason: error.to_string(),
    })
}
