//! The relay of platform records between entries.
//!
//! One entry in each data centre reads the platform, and the others read from that entry, so that
//! the number of calls to the platform doesn't grow with the number of entries. Revisions are those
//! of the platform everywhere, so an entry can switch to another upstream or to the platform at any
//! time. An entry that can't read the platform reads from any other entry.

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

/// The longest time for which a request waits for a change.
const LONG_POLL_TIME: Duration = Duration::from_millis(700);
/// The timeout of opening a connection, and of a response after the long poll time has passed.
/// Entries are close to each other and respond at once.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// The size limit of a response, enough for the records of some thousand targets.
const RESPONSE_LIMIT_BYTES: usize = 8 * 1024 * 1024;
/// The path of the target records.
const TARGETS_PATH: &str = "/targets";
/// The path of the configuration.
const CONFIGURATION_PATH: &str = "/configuration";
/// The query parameter with the revision of the caller.
const SINCE_PARAMETER: &str = "since=";

/// The response of a relay.
#[derive(Debug, Deserialize, Serialize)]
struct RelayedChanges<T> {
    /// Whether these are all records instead of the changes since a revision.
    #[serde(rename = "is_whole")]
    is_snapshot: bool,
    changed: Vec<T>,
    removed: Vec<String>,
    revision: Revision,
}

/// A kind of record that entries relay.
pub(super) trait RelayedRecord:
    Clone + Serialize + DeserializeOwned + Send + Sync + 'static
{
    /// The path of the records.
    const PATH: &'static str;

    /// Records that the platform itself answered.
    fn confirm<C>(state: &GatewayState<C>)
    where
        C: Clock;

    /// Returns whether the result is a snapshot, and the changes after `since` or a snapshot of all
    /// records; `None` if the platform has not confirmed them recently.
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

/// Serves records to the entries that use this one as their upstream.
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
            TARGETS_PATH => self.respond::<TargetRecord>(since).await,
            CONFIGURATION_PATH => self.respond::<RouteDocument>(since).await,
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }
}

impl<C> RecordRelayHandler<C>
where
    C: Clock,
{
    async fn respond<T>(&self, since: Option<Revision>) -> Response<ResponseBody>
    where
        T: RelayedRecord,
    {
        let deadline = tokio::time::Instant::now() + LONG_POLL_TIME;
        loop {
            let changed = self.state.records_changed.notified();
            let Some((is_snapshot, changes)) = T::read(&self.state, since) else {
                return empty_response(StatusCode::SERVICE_UNAVAILABLE);
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
            log::error!("can't encode the records for another entry: {error}");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(String::new()));
    *response.status_mut() = status;
    response
}

/// A feed that reads from the platform or from the current upstream entry.
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
        let relayed = response.await.unwrap_or_else(|_| {
            let reason = format!("entry {upstream} did not answer within the timeout");
            Err(PlatformError::Unavailable { reason })
        });
        if let Err(error) = &relayed {
            log::info!(source:% = upstream, records = T::PATH; "records are not passed on: {error}");
            self.state.on_upstream_failed(upstream);
        }
        relayed
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
        let idle_connection = slot
            .take()
            .filter(|idle| idle.address() == upstream && idle.is_usable());
        let mut connection = match idle_connection {
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
            // The platform is read at once, so that a failed upstream does not delay changes.
            Err(_) => return self.platform_changes(since, Duration::ZERO).await,
        };
        if relayed.is_snapshot {
            // The log of the upstream does not go back that far, so the caller must read a
            // snapshot.
            return Err(FeedError::HistoryLost { since });
        }
        Ok(Changes {
            changed: relayed.changed,
            removed: relayed.removed,
            revision: relayed.revision.max(since),
        })
    }
}
