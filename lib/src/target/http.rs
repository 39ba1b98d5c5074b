//! The HTTP client of targets.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt as _;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use sse_stream::Sse;
use sse_stream::SseStream;

use super::AnswerError;
use super::AnswerEvent;
use super::AnswerHead;
use super::ConnectionChoice;
use super::ControlError;
use super::Submission;
use super::TargetAnswer;
use super::TargetClient;
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
use crate::connection::receive_limit::ReceivedBody;
use crate::ids::AttemptId;

/// The maximum size of the answer to a control call.
const CONTROL_ANSWER_LIMIT_BYTES: usize = 1024 * 1024;

/// The timeout for reading a buffered answer body. It is an upper bound; the caller's deadline is
/// shorter.
const ANSWER_BODY_TIMEOUT: Duration = Duration::from_secs(3600);

/// An HTTP client of any number of targets, with pooled connections.
#[derive(Clone, Debug)]
pub struct HttpTargetClient<C> {
    pool: ConnectionPool<C>,
    control_timeout: Duration,
}

/// An answer received over HTTP.
pub struct HttpAnswer<C> {
    head: AnswerHead,
    body: AnswerBody,
    connection: PooledConnection,
    pool: ConnectionPool<C>,
}

/// The body of an answer, read either as server-sent events or buffered.
enum AnswerBody {
    Unread(ReceivedBody),
    Events(SseStream<ReceivedBody>),
    Consumed,
}

impl AnswerBody {
    /// Returns the event stream, or `None` if the body was consumed.
    fn events(&mut self) -> Option<&mut SseStream<ReceivedBody>> {
        let current = std::mem::replace(self, Self::Consumed);
        *self = match current {
            Self::Unread(body) => Self::Events(SseStream::new(body)),
            other => other,
        };
        match self {
            Self::Events(events) => Some(events),
            Self::Unread(_) | Self::Consumed => None,
        }
    }
}

impl<C> HttpTargetClient<C>
where
    C: Clock,
{
    /// Creates a client with a timeout for each control call.
    pub fn new(pool: ConnectionPool<C>, control_timeout: Duration) -> Self {
        Self {
            pool,
            control_timeout,
        }
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
        let exchange = self.exchange_without_timeout(address, method, path, body);
        let result = tokio::time::timeout(self.control_timeout, exchange).await;
        result.unwrap_or_else(|_| {
            let reason = format!("no answer within {:?}", self.control_timeout);
            Err(ControlError::NoAnswer { reason })
        })
    }

    async fn exchange_without_timeout(
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
        let status = response.status();
        let body = response.into_body();
        let read = read_body(body, CONTROL_ANSWER_LIMIT_BYTES, self.control_timeout).await;
        let bytes = read.map_err(|error| no_answer(error.to_string()))?;
        self.pool.put_back(pooled).await;
        if status.is_server_error() {
            return Err(no_answer(status.to_string()));
        }
        Ok(bytes)
    }
}

impl<C> TargetClient for HttpTargetClient<C>
where
    C: Clock,
{
    type Connection = PooledConnection;
    type Answer = HttpAnswer<C>;

    async fn connect(
        &self,
        address: SocketAddr,
        choice: ConnectionChoice,
    ) -> Result<PooledConnection, SendError> {
        match choice {
            ConnectionChoice::Reused => self.pool.take(address).await,
            ConnectionChoice::New => self.pool.open(address).await,
        }
    }

    async fn submit(
        &self,
        mut connection: PooledConnection,
        submission: Submission,
    ) -> Result<HttpAnswer<C>, SendError> {
        let address = connection.connection.address();
        let request = submission_request(address, submission)?;
        let response = connection.connection.send(request).await?;
        let (parts, body) = response.into_parts();
        Ok(HttpAnswer {
            head: answer_head(parts.status.as_u16(), &parts.headers),
            body: AnswerBody::Unread(body),
            connection,
            pool: self.pool.clone(),
        })
    }

    async fn cancel(&self, address: SocketAddr, attempt: AttemptId) -> Result<(), ControlError> {
        let path = format!("{}{attempt}", wire::CANCEL_PATH_PREFIX);
        let answered = self.exchange(address, Method::POST, &path, Bytes::new());
        answered.await.map(drop)
    }

    async fn report(&self, address: SocketAddr) -> Result<HostReport, ControlError> {
        let path = wire::REPORT_PATH;
        self.call(address, Method::GET, path, Bytes::new()).await
    }

    async fn order(&self, address: SocketAddr, order: Order) -> Result<OrderAnswer, ControlError> {
        let body = serde_json::to_vec(&order).map_err(protocol_error)?;
        let path = wire::ORDER_PATH;
        self.call(address, Method::POST, path, body.into()).await
    }

    async fn cache_events(
        &self,
        address: SocketAddr,
        after_sequence: u64,
    ) -> Result<CacheEvents, ControlError> {
        let path = format!("{}?after={after_sequence}", wire::CACHE_EVENTS_PATH);
        self.call(address, Method::GET, &path, Bytes::new()).await
    }

    fn drop_idle(&self, address: SocketAddr) {
        self.pool.drop_idle(address);
    }
}

impl<C> TargetAnswer for HttpAnswer<C>
where
    C: Clock,
{
    fn head(&self) -> &AnswerHead {
        &self.head
    }

    async fn next_event(&mut self) -> Result<AnswerEvent, AnswerError> {
        loop {
            let events = self.body.events().ok_or(AnswerError::MissingEndMarker)?;
            let event = match events.next().await {
                None => return Err(AnswerError::MissingEndMarker),
                Some(Err(error)) => {
                    let reason = error.to_string();
                    return Err(AnswerError::Broken { reason });
                }
                Some(Ok(event)) => event,
            };
            if let Some(event) = answer_event(event, self.head.attempt.as_ref())? {
                return Ok(event);
            }
        }
    }

    async fn read_to_end(self, limit_bytes: usize) -> Result<Bytes, AnswerError> {
        let AnswerBody::Unread(body) = self.body else {
            let reason = String::from("the body was already read as events");
            return Err(AnswerError::Malformed { reason });
        };
        let read = read_body(body, limit_bytes, ANSWER_BODY_TIMEOUT).await;
        let bytes = read.map_err(|error| AnswerError::Broken {
            reason: error.to_string(),
        })?;
        self.pool.put_back(self.connection).await;
        Ok(bytes)
    }

    async fn keep_connection(mut self) {
        let Some(events) = self.body.events() else {
            return;
        };
        if events.next().await.is_none() {
            self.pool.put_back(self.connection).await;
        }
    }
}

/// Decodes an event. Returns `None` for an event without data.
fn answer_event(
    event: Sse,
    attempt: Option<&AttemptId>,
) -> Result<Option<AnswerEvent>, AnswerError> {
    let Some(data) = event.data else {
        return Ok(None);
    };
    if data == wire::END_MARKER {
        return Ok(Some(AnswerEvent::End));
    }
    if !belongs_to_attempt(&data, attempt) {
        let reason = String::from("an event belongs to another attempt");
        return Err(AnswerError::Malformed { reason });
    }
    let Some(id) = event.id else {
        return Ok(Some(AnswerEvent::Note { data }));
    };
    match id.parse() {
        Ok(index) => Ok(Some(AnswerEvent::Token { index, data })),
        Err(_) => {
            let reason = format!("{id:?} is not a token number");
            Err(AnswerError::Malformed { reason })
        }
    }
}

/// The ID of a chat-completions chunk, which is its attempt ID.
#[derive(Deserialize)]
struct ChunkId<'a> {
    #[serde(borrow)]
    id: Option<Cow<'a, str>>,
}

/// Returns whether a chunk belongs to `attempt`. A chunk without an ID is accepted, and so is every
/// chunk of an answer without an attempt ID.
fn belongs_to_attempt(data: &str, attempt: Option<&AttemptId>) -> bool {
    let chunk = serde_json::from_str::<ChunkId<'_>>(data);
    let chunk_id = chunk.ok().and_then(|chunk| chunk.id);
    match (chunk_id, attempt) {
        (Some(chunk_id), Some(attempt)) => chunk_id == attempt.as_str(),
        (None, _) | (_, None) => true,
    }
}

fn answer_head(status: u16, headers: &HeaderMap) -> AnswerHead {
    let content_type = header_text(headers, CONTENT_TYPE.as_str());
    AnswerHead {
        status,
        attempt: parse_header(headers, wire::ATTEMPT_HEADER),
        generation: parse_header(headers, wire::GENERATION_HEADER),
        is_refused_before_start: header_text(headers, wire::NOT_RUN_HEADER) == Some("true"),
        content_type: content_type.unwrap_or_default().to_owned(),
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn parse_header<T>(headers: &HeaderMap, name: &str) -> Option<T>
where
    T: FromStr,
{
    header_text(headers, name)?.parse().ok()
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
        .header(wire::PRIORITY_HEADER, submission.priority.to_string());
    if submission.resume_from_tokens > 0 {
        request = request.header(wire::RESUME_HEADER, submission.resume_from_tokens);
    }
    if let Some(group) = submission.group {
        request = request
            .header(wire::GROUP_HEADER, group.group.as_str())
            .header(wire::GENERATION_HEADER, group.generation.0);
    }
    let request = request.body(RequestBody::new(submission.body));
    request.map_err(|error| SendError::NotSent {
        is_refused: false,
        address,
        reason: error.to_string(),
    })
}
