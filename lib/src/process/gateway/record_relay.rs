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
const LONG_POLL_TIME: Duration = Duration::from_millis(700);
/// The longest wait for an answer beyond that; entries are near and answer at once.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// The longest answer: all records of some thousand targets.
const RESPONSE_LIMIT_BYTES: usize = 8 * 1024 * 1024;
/// The path of the targets' records.
const TARGETS_PATH: &str = "/targets";
/// The path of the configuration.
const CONFIGURATION_PATH: &str = "/configuration";
/// The parameter with the revision that the caller has.
const SINCE_PARAMETER: &str = "since=";

/// Records as they are passed on.
#[derive(Debug, Deserialize, Serialize)]
struct RelayedChanges<T> {
    /// Whether these are all records, not only what has changed.
    #[serde(rename = "is_whole")]
    is_snapshot: bool,
    changed: Vec<T>,
    removed: Vec<String>,
    revision: Revision,
}

/// A kind of records that is passed on.
pub(super) trait RelayedRecord:
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

impl RelayedRecord for TargetRecord {
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

impl RelayedRecord for RouteDocument {
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
pub(super) struct RecordRelayHandler<C> {
    pub(super) state: Arc<GatewayState<C>>,
}

impl<C> Clone for RecordRelayHandler<C> {
    fn clone(&self) -> Self {
        Self {
            state: Arc::clone(&self.state),
        }
    }
}

impl<C> HttpHandler for RecordRelayHandler<C>
where
    C: Clock,
{
    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let query = request.uri().query().unwrap_or_default();
        let since = query
            .strip_prefix(SINCE_PARAMETER)
            .and_then(|number| number.parse().ok());
        match request.uri().path() {
            TARGETS_PATH => self.answer::<TargetRecord>(since).await,
            CONFIGURATION_PATH => self.answer::<RouteDocument>(since).await,
            _ => status(StatusCode::NOT_FOUND),
        }
    }
}

impl<C> RecordRelayHandler<C>
where
    C: Clock,
{
    async fn answer<T>(&self, since: Option<Revision>) -> Response<ResponseBody>
    where
        T: RelayedRecord,
    {
        let deadline = tokio::time::Instant::now() + LONG_POLL_TIME;
        loop {
            let changed = self.state.records_changed.notified();
            let Some((is_snapshot, changes)) = T::read(&self.state, since) else {
                return status(StatusCode::SERVICE_UNAVAILABLE);
            };
            let has_changes =
                is_snapshot || !changes.changed.is_empty() || !changes.removed.is_empty();
            if has_changes || tokio::time::timeout_at(deadline, changed).await.is_err() {
                return changes_response(is_snapshot, changes);
            }
        }
    }
}

fn changes_response<T>(is_snapshot: bool, changes: Changes<T>) -> Response<ResponseBody>
where
    T: Serialize,
{
    let relayed = RelayedChanges {
        is_snapshot,
        changed: changes.changed,
        removed: changes.removed,
        revision: changes.revision,
    };
    match serde_json::to_vec(&relayed) {
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
    async fn request_changes<T>(
        &self,
        upstream: SocketAddr,
        since: Option<Revision>,
    ) -> Result<RelayedChanges<T>, PlatformError>
    where
        T: RelayedRecord,
    {
        let response = tokio::time::timeout(
            LONG_POLL_TIME + RESPONSE_TIMEOUT,
            self.send_changes_request(upstream, since),
        );
        let answer = response.await.unwrap_or_else(|_| {
            let reason = format!("entry {upstream} does not answer");
            Err(PlatformError::Unavailable { reason })
        });
        if let Err(error) = &answer {
            log::info!(source:% = upstream, records = T::PATH; "records are not passed on: {error}");
            self.state.on_upstream_failed(upstream);
        }
        answer
    }

    async fn send_changes_request<T>(
        &self,
        upstream: SocketAddr,
        since: Option<Revision>,
    ) -> Result<RelayedChanges<T>, PlatformError>
    where
        T: RelayedRecord,
    {
        let unavailable = |reason: String| PlatformError::Unavailable { reason };
        let mut slot = self.connection.lock().await;
        let kept = slot
            .take()
            .filter(|kept| kept.address() == upstream && kept.is_usable());
        let mut connection = match kept {
            Some(connection) => connection,
            None => {
                let opened = ClientConnection::open(upstream, RESPONSE_TIMEOUT).await;
                opened.map_err(|error| unavailable(error.to_string()))?
            }
        };
        let path = match since {
            Some(since) => format!("{}?{SINCE_PARAMETER}{}", T::PATH, since.0),
            None => T::PATH.to_owned(),
        };
        let request = Request::builder()
            .method(Method::GET)
            .uri(path)
            .header(HOST, upstream.to_string())
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
        let body = read_body(response.into_body(), RESPONSE_LIMIT_BYTES, RESPONSE_TIMEOUT).await;
        let body = body.map_err(|error| unavailable(error.to_string()))?;
        if connection.become_usable().await {
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
    async fn platform_changes<T>(
        &self,
        since: Revision,
        wait: Duration,
    ) -> Result<Changes<T>, FeedError>
    where
        P: Feed<T>,
        T: RelayedRecord,
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
    T: RelayedRecord,
{
    async fn snapshot(&self) -> Result<Snapshot<T>, FeedError> {
        let from_platform = self.platform.snapshot().await;
        if from_platform.is_ok() {
            T::confirm(&self.state);
        }
        let Err(FeedError::Platform(_)) = &from_platform else {
            return from_platform;
        };
        let Some(upstream) = self.state.fallback_upstream() else {
            return from_platform;
        };
        let relayed = self.request_changes::<T>(upstream, None).await?;
        Ok(Snapshot {
            records: relayed.changed,
            revision: relayed.revision,
        })
    }

    async fn changes(&self, since: Revision, wait: Duration) -> Result<Changes<T>, FeedError> {
        let relayed = match self.state.upstream() {
            Some(upstream) => self.request_changes::<T>(upstream, Some(since)).await,
            None => {
                let from_platform = self.platform_changes(since, wait).await;
                let Err(FeedError::Platform(_)) = &from_platform else {
                    return from_platform;
                };
                let Some(upstream) = self.state.fallback_upstream() else {
                    return from_platform;
                };
                self.request_changes::<T>(upstream, Some(since)).await
            }
        };
        let relayed = match relayed {
            Ok(relayed) => relayed,
            // The platform itself is asked at once, so that nothing is heard of late.
            Err(_) => return self.platform_changes(since, Duration::ZERO).await,
        };
        if relayed.is_snapshot {
            // The source does not go back so far; its whole list is asked for, or the platform's.
            return Err(FeedError::HistoryLost { since });
        }
        Ok(Changes {
            changed: relayed.changed,
            removed: relayed.removed,
            revision: relayed.revision.max(since),
        })
    }
}
