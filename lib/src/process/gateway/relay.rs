//! Records that entries pass on to each other.
//!
//! One entry in each data centre follows the platform, and the others follow it, so that the calls
//! to the platform don't grow with the entries. Revisions are the platform's everywhere, so an entry
//! can go on with another source, or with the platform itself, at any moment. An entry that the
//! platform turns away follows any other one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::HOST;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::change_log::ChangeLog;
use super::state::GatewayState;
use crate::clock::Clock;
use crate::connection::body::RequestBody;
use crate::connection::body::ResponseBody;
use crate::connection::body::full_body;
use crate::connection::body::read_body;
use crate::connection::client::ClientConnection;
use crate::connection::server::HttpHandler;
use crate::ids::Revision;
use crate::platform::PlatformError;
use crate::platform::feed::Changes;
use crate::platform::feed::Feed;
use crate::platform::feed::FeedError;
use crate::platform::feed::Snapshot;
use crate::target::record::TargetRecord;
use crate::version::routes::RouteDocument;

/// How long an entry holds a call while nothing changes.
const HOLD: Duration = Duration::from_millis(700);
/// The longest wait for an answer beyond that; entries are near and answer at once.
const ANSWER_LIMIT: Duration = Duration::from_millis(300);
/// The longest answer: all records of some thousand targets.
const ANSWER_LIMIT_BYTES: usize = 8 * 1024 * 1024;
/// The path of the targets' records.
const TARGETS_PATH: &str = "/targets";
/// The path of the configuration.
const CONFIGURATION_PATH: &str = "/configuration";
/// The parameter with the revision that the caller has.
const SINCE: &str = "since=";

/// Records as they are passed on.
#[derive(Debug, Deserialize, Serialize)]
struct PassedOn<T> {
    /// Whether these are all records, not only what has changed.
    is_whole: bool,
    changed: Vec<T>,
    removed: Vec<String>,
    revision: Revision,
}

/// A kind of records that is passed on.
pub(super) trait Relayed:
    Clone + Serialize + DeserializeOwned + Send + Sync + 'static
{
    /// The path under which the records are passed on.
    const PATH: &'static str;

    /// Takes note that the platform itself answered.
    fn confirm<C>(state: &GatewayState<C>)
    where
        C: Clock;

    /// Returns the records after `since`, or all of them, if the platform has confirmed them lately.
    fn read<C>(state: &GatewayState<C>, since: Option<Revision>) -> Option<(bool, Changes<Self>)>
    where
        C: Clock;
}

impl Relayed for TargetRecord {
    const PATH: &'static str = TARGETS_PATH;

    fn confirm<C>(state: &GatewayState<C>)
    where
        C: Clock,
    {
        state.with_target_log(ChangeLog::confirm);
    }

    fn read<C>(state: &GatewayState<C>, since: Option<Revision>) -> Option<(bool, Changes<Self>)>
    where
        C: Clock,
    {
        state.target_changes(since)
    }
}

impl Relayed for RouteDocument {
    const PATH: &'static str = CONFIGURATION_PATH;

    fn confirm<C>(state: &GatewayState<C>)
    where
        C: Clock,
    {
        state.with_document_log(ChangeLog::confirm);
    }

    fn read<C>(state: &GatewayState<C>, since: Option<Revision>) -> Option<(bool, Changes<Self>)>
    where
        C: Clock,
    {
        state.document_changes(since)
    }
}

/// Answers the entries that follow this one.
#[derive(Debug)]
pub(super) struct RelayHandler<C> {
    pub(super) state: Arc<GatewayState<C>>,
}

impl<C> Clone for RelayHandler<C> {
    fn clone(&self) -> Self {
        Self {
            state: Arc::clone(&self.state),
        }
    }
}

impl<C> HttpHandler for RelayHandler<C>
where
    C: Clock,
{
    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let query = request.uri().query().unwrap_or_default();
        let since = query
            .strip_prefix(SINCE)
            .and_then(|number| number.parse().ok());
        match request.uri().path() {
            TARGETS_PATH => self.answer::<TargetRecord>(since).await,
            CONFIGURATION_PATH => self.answer::<RouteDocument>(since).await,
            _ => status(StatusCode::NOT_FOUND),
        }
    }
}

impl<C> RelayHandler<C>
where
    C: Clock,
{
    async fn answer<T>(&self, since: Option<Revision>) -> Response<ResponseBody>
    where
        T: Relayed,
    {
        let until = tokio::time::Instant::now() + HOLD;
        loop {
            let changed = self.state.records_changed.notified();
            let Some((is_whole, changes)) = T::read(&self.state, since) else {
                return status(StatusCode::SERVICE_UNAVAILABLE);
            };
            let is_news = is_whole || !changes.changed.is_empty() || !changes.removed.is_empty();
            if is_news || tokio::time::timeout_at(until, changed).await.is_err() {
                return whole_answer(is_whole, changes);
            }
        }
    }
}

fn whole_answer<T>(is_whole: bool, changes: Changes<T>) -> Response<ResponseBody>
where
    T: Serialize,
{
    let passed_on = PassedOn {
        is_whole,
        changed: changes.changed,
        removed: changes.removed,
        revision: changes.revision,
    };
    match serde_json::to_vec(&passed_on) {
        Ok(bytes) => Response::new(full_body(bytes)),
        Err(error) => {
            log::error!("records can't be passed on: {error}");
            status(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn status(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(String::new()));
    *response.status_mut() = status;
    response
}

/// Records that are followed at the platform or at another entry, whichever is the source now.
#[derive(Debug)]
pub(super) struct RelayedFeed<C, P> {
    state: Arc<GatewayState<C>>,
    platform: P,
    connection: Arc<tokio::sync::Mutex<Option<ClientConnection>>>,
}

impl<C, P> Clone for RelayedFeed<C, P>
where
    P: Clone,
{
    fn clone(&self) -> Self {
        Self {
            state: Arc::clone(&self.state),
            platform: self.platform.clone(),
            connection: Arc::clone(&self.connection),
        }
    }
}

impl<C, P> RelayedFeed<C, P> {
    pub(super) fn new(state: Arc<GatewayState<C>>, platform: P) -> Self {
        Self {
            state,
            platform,
            connection: Arc::default(),
        }
    }
}

impl<C, P> RelayedFeed<C, P>
where
    C: Clock,
{
    async fn ask<T>(
        &self,
        source: SocketAddr,
        since: Option<Revision>,
    ) -> Result<PassedOn<T>, PlatformError>
    where
        T: Relayed,
    {
        let asked = tokio::time::timeout(HOLD + ANSWER_LIMIT, self.ask_unbounded(source, since));
        let answer = asked.await.unwrap_or_else(|_| {
            let reason = format!("entry {source} does not answer");
            Err(PlatformError::Unavailable { reason })
        });
        if let Err(error) = &answer {
            log::info!(source:% = source, records = T::PATH; "records are not passed on: {error}");
            self.state.on_source_failed(source);
        }
        answer
    }

    async fn ask_unbounded<T>(
        &self,
        source: SocketAddr,
        since: Option<Revision>,
    ) -> Result<PassedOn<T>, PlatformError>
    where
        T: Relayed,
    {
        let unavailable = |reason: String| PlatformError::Unavailable { reason };
        let mut slot = self.connection.lock().await;
        let kept = slot
            .take()
            .filter(|kept| kept.address() == source && kept.is_usable());
        let mut connection = match kept {
            Some(connection) => connection,
            None => {
                let opened = ClientConnection::open(source, ANSWER_LIMIT).await;
                opened.map_err(|error| unavailable(error.to_string()))?
            }
        };
        let path = match since {
            Some(since) => format!("{}?{SINCE}{}", T::PATH, since.0),
            None => T::PATH.to_owned(),
        };
        let request = Request::builder()
            .method(Method::GET)
            .uri(path)
            .header(HOST, source.to_string())
            .body(RequestBody::default())
            .map_err(|error| unavailable(error.to_string()))?;
        let response = connection.send(request).await;
        let response = response.map_err(|error| unavailable(error.to_string()))?;
        if response.status() != StatusCode::OK {
            return Err(unavailable(format!(
                "the entry answered {}",
                response.status()
            )));
        }
        let body = read_body(response.into_body(), ANSWER_LIMIT_BYTES, ANSWER_LIMIT).await;
        let body = body.map_err(|error| unavailable(error.to_string()))?;
        if connection.wait_until_usable().await {
            *slot = Some(connection);
        }
        serde_json::from_slice(&body).map_err(|error| PlatformError::Protocol {
            reason: error.to_string(),
        })
    }
}

impl<C, P> RelayedFeed<C, P>
where
    C: Clock,
{
    async fn changes_of_platform<T>(
        &self,
        since: Revision,
        wait: Duration,
    ) -> Result<Changes<T>, FeedError>
    where
        P: Feed<T>,
        T: Relayed,
    {
        let changes = self.platform.changes(since, wait).await;
        if changes.is_ok() {
            T::confirm(&self.state);
        }
        changes
    }
}

impl<C, P, T> Feed<T> for RelayedFeed<C, P>
where
    C: Clock,
    P: Feed<T>,
    T: Relayed,
{
    async fn snapshot(&self) -> Result<Snapshot<T>, FeedError> {
        let own = self.platform.snapshot().await;
        if own.is_ok() {
            T::confirm(&self.state);
        }
        let Err(FeedError::Platform(_)) = &own else {
            return own;
        };
        let Some(source) = self.state.substitute_source() else {
            return own;
        };
        let passed_on = self.ask::<T>(source, None).await?;
        Ok(Snapshot {
            records: passed_on.changed,
            revision: passed_on.revision,
        })
    }

    async fn changes(&self, since: Revision, wait: Duration) -> Result<Changes<T>, FeedError> {
        let passed_on = match self.state.source() {
            Some(source) => self.ask::<T>(source, Some(since)).await,
            None => {
                let own = self.changes_of_platform(since, wait).await;
                let Err(FeedError::Platform(_)) = &own else {
                    return own;
                };
                let Some(source) = self.state.substitute_source() else {
                    return own;
                };
                self.ask::<T>(source, Some(since)).await
            }
        };
        let passed_on = match passed_on {
            Ok(passed_on) => passed_on,
            // The platform itself is asked at once, so that nothing is heard of late.
            Err(_) => return self.changes_of_platform(since, Duration::ZERO).await,
        };
        if passed_on.is_whole {
            // The source does not go back so far; its whole list is asked for, or the platform's.
            return Err(FeedError::HistoryLost { since });
        }
        Ok(Changes {
            changed: passed_on.changed,
            removed: passed_on.removed,
            revision: passed_on.revision.max(since),
        })
    }
}
