//! A feed of platform records that reads from another entry or from the platform, and bounds the age
//! of the records.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use http::Request;
use http::StatusCode;
use http::header::HOST;

use super::change_log::ChangeLog;
use super::record_relay::HISTORY_HEADER;
use super::record_relay::LONG_POLL_TIME;
use super::record_relay::RelayedChanges;
use super::record_relay::RelayedRecord;
use super::record_relay::SINCE_PARAMETER;
use super::record_relay::UNREADABLE_STATUS;
use super::record_relay::history_in;
use super::record_state::RecordRead;
use super::state::GatewayState;
use crate::clock::Clock;
use crate::connection::body::RequestBody;
use crate::connection::body::read_body;
use crate::connection::client::ClientConnection;
use crate::ids::Revision;
use crate::platform::PlatformError;
use crate::platform::feed::Changes;
use crate::platform::feed::ChangesRequest;
use crate::platform::feed::Feed;
use crate::platform::feed::FeedAnswer;
use crate::platform::feed::FeedError;
use crate::platform::feed::FeedRecord;
use crate::platform::feed::RecordRevisions;
use crate::platform::feed::RecordSource;
use crate::platform::feed::Snapshot;
use crate::process::feed_reader::OlderSnapshots;

/// The timeout of opening a connection, and of a response's head after the long poll time has passed.
/// Entries are close to each other and respond at once.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// The timeout of a response's body. Several hundred kilobytes go to all readers at once, some of
/// which have slow links; records that get too old meanwhile are read elsewhere.
const BODY_TIMEOUT: Duration = Duration::from_secs(1);
/// The size limit of a response, enough for the records of some thousand targets.
const RESPONSE_LIMIT_BYTES: usize = 8 * 1024 * 1024;
/// How much longer than its wait a call to the platform may take while its answer counts as current
/// at the time of its arrival. A longer call may have ended before this process could read it.
pub(super) const PLATFORM_ANSWER_TIME: Duration = Duration::from_millis(200);
/// How long changes that were read wait for the platform's newest revision. They are applied without it
/// then.
pub(super) const NEWEST_REVISION_TIMEOUT: Duration = Duration::from_millis(100);
/// The least time for an answer before the records are read elsewhere, too.
const ANSWER_TIME_MIN: Duration = Duration::from_millis(150);

/// Answers of this size or more are logged.
pub(super) const LARGE_ANSWER_BYTES: usize = 64 * 1024;

/// The times of what an answer says.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadTimes {
    /// When the platform answered; `None` if another entry doesn't tell it.
    pub(super) answered_at: Option<Instant>,
    /// As of when the records are complete with it; `None` if changes may be missing.
    pub(super) complete_at: Option<Instant>,
    /// Whether nothing is known of records that the source doesn't know.
    pub(super) may_lack_records: bool,
}

impl ReadTimes {
    /// Returns the times of an answer that lacks nothing.
    pub(super) fn of_complete(at: Option<Instant>) -> Self {
        Self {
            answered_at: at,
            complete_at: at,
            may_lack_records: false,
        }
    }

    /// Renews the age of the records, to which the answer has been applied.
    pub(super) fn confirm<T>(&self, log: &mut ChangeLog<T>)
    where
        T: Clone + FeedRecord,
    {
        if let Some(at) = self.answered_at {
            log.on_answered(at);
        }
        if let Some(at) = self.complete_at {
            log.confirm(at);
        }
    }
}

/// Records that were read.
#[derive(Clone, Debug)]
pub(super) enum RecordUpdate<T> {
    /// All records. A reader that asked for changes gets them from an entry whose log does not go back
    /// to the reader's revision.
    Snapshot {
        answer: FeedAnswer<Snapshot<T>>,
        times: ReadTimes,
        /// News among them that were read apart from the others, at a later revision.
        later_states: Option<Changes<T>>,
    },
    /// The changes since the reader's revision, as the platform answered at `answered_at`.
    Changes {
        answer: FeedAnswer<Changes<T>>,
        answered_at: Instant,
    },
    /// The changes since the reader's revision, from another entry.
    RelayedChanges {
        answer: FeedAnswer<Changes<T>>,
        times: ReadTimes,
        /// News among them that were read apart from the others, at a later revision.
        later_states: Option<Changes<T>>,
    },
    /// What has changed of all records whose keys are known, by a linearizable read at `asked_at`.
    LinearizableRead {
        answer: FeedAnswer<Changes<T>>,
        asked_at: Instant,
    },
}

/// A feed that reads from the platform or from the current upstream entry.
#[derive(Debug)]
pub(super) struct RelayedFeed<C, P> {
    pub(super) state: Arc<GatewayState<C>>,
    pub(super) platform: P,
    connection: Arc<Mutex<Option<ClientConnection>>>,
    pub(super) older_snapshots: Arc<Mutex<OlderSnapshots>>,
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
            older_snapshots: Arc::clone(&self.older_snapshots),
        }
    }
}

impl<C, P> RelayedFeed<C, P> {
    pub(super) fn new(state: Arc<GatewayState<C>>, platform: P) -> Self {
        Self {
            state,
            platform,
            connection: Arc::default(),
            older_snapshots: Arc::default(),
        }
    }
}

impl<C, P> RelayedFeed<C, P>
where
    C: Clock,
{
    /// Counts a read of records, and logs it if it failed or was large.
    pub(super) fn on_read<T, A, E>(
        &self,
        source: RecordSource,
        sent_at: Instant,
        answer: &Result<FeedAnswer<A>, E>,
    ) where
        T: RelayedRecord,
        E: std::fmt::Display,
    {
        let took = self.state.clock.now().saturating_duration_since(sent_at);
        let took_ms = took.as_millis() as u64;
        let place = match source {
            RecordSource::Platform => "platform",
            RecordSource::Entry(_) => "entry",
        };
        let metrics = &self.state.metrics;
        match answer {
            Ok(answer) => {
                let size_bytes = answer.size_bytes;
                metrics.count_feed_read(T::LABEL, place, "read", size_bytes);
                let read = RecordRead {
                    source,
                    size_bytes,
                    took,
                };
                T::on_read(&self.state, read);
                if size_bytes >= LARGE_ANSWER_BYTES {
                    log::info!(
                        records = T::PATH, source:% = source, size_bytes = size_bytes as u64,
                        took_ms = took_ms;
                        "large answer is read"
                    );
                }
            }
            Err(error) => {
                metrics.count_feed_read(T::LABEL, place, "failed", 0);
                log::info!(
                    records = T::PATH, source:% = source, took_ms = took_ms;
                    "read failed: {error}"
                );
            }
        }
    }

    pub(super) async fn request_changes<T>(
        &self,
        upstream: SocketAddr,
        since: Option<Revision>,
    ) -> Result<FeedAnswer<RelayedChanges<T>>, PlatformError>
    where
        T: RelayedRecord,
    {
        let sent_at = self.state.clock.now();
        let history = self.state.history_id();
        let relayed = self.send_changes_request(upstream, since).await;
        self.on_read::<T, _, _>(RecordSource::Entry(upstream), sent_at, &relayed);
        if let Err(error) = &relayed {
            log::info!(source:% = upstream, records = T::PATH; "records are not passed on: {error}");
            // An entry that tells of another history has none of its records yet, and has not failed.
            if self.state.history_id() == history {
                self.state.on_upstream_failed(upstream);
            }
        }
        relayed
    }

    /// Returns when the platform answered, and as of when the records are complete, by another entry's
    /// word. The time on the way counts as age.
    pub(super) fn relayed_times<T>(
        &self,
        relayed: &RelayedChanges<T>,
        sent_at: Instant,
    ) -> ReadTimes {
        let now = self.state.clock.now();
        let held = Duration::from_millis(relayed.held_ms);
        let relayed_at = sent_at.checked_add(held).map_or(now, |at| at.min(now));
        let before = |ms_ago: u64| relayed_at.checked_sub(Duration::from_millis(ms_ago));
        let complete_at = relayed.confirmed_ms_ago.and_then(before);
        ReadTimes {
            answered_at: relayed.answered_ms_ago.and_then(before).or(complete_at),
            complete_at,
            may_lack_records: relayed.known_keys.is_some(),
        }
    }

    pub(super) async fn send_changes_request<T>(
        &self,
        upstream: SocketAddr,
        since: Option<Revision>,
    ) -> Result<FeedAnswer<RelayedChanges<T>>, PlatformError>
    where
        T: RelayedRecord,
    {
        let unavailable = |reason: String| PlatformError::Unavailable { reason };
        let idle_connection = self
            .lock_connection()
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
        let history = self.state.history_id();
        let request = Request::builder()
            .method(Method::GET)
            .uri(path)
            .header(HOST, upstream.to_string())
            .header(HISTORY_HEADER, history.to_string())
            .body(RequestBody::default())
            .map_err(|error| unavailable(error.to_string()))?;
        let head_timeout = LONG_POLL_TIME + RESPONSE_TIMEOUT;
        let response = tokio::time::timeout(head_timeout, connection.send(request)).await;
        let response = response.map_err(|_| {
            unavailable(format!(
                "entry {upstream} did not answer within the timeout"
            ))
        })?;
        let response = response.map_err(|error| unavailable(error.to_string()))?;
        self.state.on_history_told(history_in(response.headers()));
        if response.status() == UNREADABLE_STATUS {
            T::on_unreadable_elsewhere(&self.state);
        }
        if response.status() != StatusCode::OK {
            return Err(unavailable(format!(
                "the entry answered {}",
                response.status()
            )));
        }
        let head_at = self.state.clock.now();
        let body = read_body(response.into_body(), RESPONSE_LIMIT_BYTES, BODY_TIMEOUT).await;
        let body = body.map_err(|error| unavailable(error.to_string()))?;
        if connection.wait_until_usable().await {
            *self.lock_connection() = Some(connection);
        }
        let content = serde_json::from_slice(&body);
        let content: RelayedChanges<T> = content.map_err(|error| PlatformError::Protocol {
            reason: error.to_string(),
        })?;
        self.state.on_history_told(content.history);
        if content.history != history {
            return Err(unavailable(format!(
                "the records are of history {} of the platform, not of {history}",
                content.history
            )));
        }
        Ok(FeedAnswer {
            size_bytes: body.len(),
            row_count: content.changed.len() + content.removed.len(),
            revisions: RecordRevisions::default(),
            content,
            body_time: self.state.clock.now().saturating_duration_since(head_at),
        })
    }
}

impl<C, P> RelayedFeed<C, P> {
    fn lock_connection(&self) -> MutexGuard<'_, Option<ClientConnection>> {
        // An option is valid after every statement, so a poisoned mutex can still be used.
        self.connection
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl<C, P> RelayedFeed<C, P>
where
    C: Clock,
{
    /// Returns how long an answer may be waited for until the records are too old.
    fn time_until_too_old<T>(&self) -> Duration
    where
        T: RelayedRecord,
    {
        let now = self.state.clock.now();
        let age_max = T::age_max(&self.state);
        let age =
            T::confirmed_at(&self.state).map_or(age_max, |at| now.saturating_duration_since(at));
        age_max.saturating_sub(age).max(ANSWER_TIME_MIN)
    }

    /// Reads the changes at the usual place: from the upstream, or without one from the platform.
    async fn usual_changes<T>(
        &self,
        upstream: Option<SocketAddr>,
        request: ChangesRequest,
    ) -> Result<RecordUpdate<T>, FeedError>
    where
        P: Feed<T>,
        T: RelayedRecord,
    {
        match upstream {
            Some(upstream) => self.relayed_changes(upstream, request.since).await,
            None => self.platform_changes(request).await,
        }
    }

    /// Reads the changes from the platform without a wait, and from another entry if the platform
    /// fails or does not answer soon.
    async fn changes_elsewhere<T>(
        &self,
        request: ChangesRequest,
    ) -> Result<RecordUpdate<T>, FeedError>
    where
        P: Feed<T>,
        T: RelayedRecord,
    {
        let at_once = ChangesRequest {
            wait: Duration::ZERO,
            ..request
        };
        let mut platform = std::pin::pin!(self.platform_changes(at_once));
        let answered = tokio::time::timeout(PLATFORM_ANSWER_TIME, &mut platform).await;
        if let Ok(changes) = &answered
            && is_settled(changes)
        {
            return changes.clone();
        }
        let peer = async {
            match self.state.fallback_upstream() {
                Some(peer) => self.relayed_changes(peer, request.since).await,
                None => Err(FeedError::Platform(PlatformError::Unavailable {
                    reason: "no other entry can be asked".to_owned(),
                })),
            }
        };
        match answered {
            Ok(failed) => settled_or_lost(failed, peer.await),
            Err(_) => first_settled(platform, peer).await,
        }
    }

    /// Reads the changes from another entry, or all of its records if its log does not go back to
    /// `since`. All its readers then get them at the same time, so they must not turn to the platform.
    async fn relayed_changes<T>(
        &self,
        upstream: SocketAddr,
        since: Revision,
    ) -> Result<RecordUpdate<T>, FeedError>
    where
        P: Feed<T>,
        T: RelayedRecord,
    {
        let mut sent_at = self.state.clock.now();
        let mut answer = self.request_changes::<T>(upstream, Some(since)).await?;
        if self.lacks_version(&answer.content) {
            log::warn!(
                records = T::PATH, source:% = upstream, since = since.0;
                "the entry has a version that its changes don't bring; all of its records are read"
            );
            sent_at = self.state.clock.now();
            answer = self.request_changes::<T>(upstream, None).await?;
        }
        let is_catching_up = T::may_lack_records(&self.state) && !answer.content.is_snapshot;
        if is_catching_up && answer.content.known_keys.is_none() {
            // Records that are missing here may have changed before `since`.
            sent_at = self.state.clock.now();
            answer = self.request_changes::<T>(upstream, None).await?;
        }
        let in_doubt = self.read_records_in_doubt(upstream, &mut answer.content);
        let later_states = in_doubt.await?;
        let relayed = &answer.content;
        // An entry refuses to pass on records that are too old, but need not agree on the age.
        let age = Duration::from_millis(relayed.confirmed_ms_ago.unwrap_or_default());
        if age > T::age_max(&self.state) + RESPONSE_TIMEOUT {
            self.state.on_upstream_failed(upstream);
            return Err(FeedError::Platform(PlatformError::Unavailable {
                reason: format!("the records of entry {upstream} are too old"),
            }));
        }
        if relayed.is_snapshot {
            self.check_revision(upstream, relayed)?;
        }
        let times = self.relayed_times(relayed, sent_at);
        if relayed.is_snapshot {
            log::info!(
                records = T::PATH, source:% = upstream, since = since.0, revision = relayed.revision.0;
                "the entry passes on all records instead of changes"
            );
            return Ok(RecordUpdate::Snapshot {
                answer: answer.map(into_snapshot),
                times,
                later_states,
            });
        }
        let answer = answer.map(|relayed| Changes {
            changed: relayed.changed,
            removed: relayed.removed,
            unreadable: Vec::new(),
            revision: relayed.revision.max(since),
        });
        if answer.content.is_ambiguous() {
            // An entry of an earlier version joins changes without their order.
            return Err(FeedError::HistoryLost { since });
        }
        Ok(RecordUpdate::RelayedChanges {
            answer,
            times,
            later_states,
        })
    }

    /// Returns whether another entry has a newer version in force than this one will have with the changes
    /// that it passes on. Both may have read the feed up to the same revision, and the feed has missed it.
    fn lacks_version<T>(&self, relayed: &RelayedChanges<T>) -> bool
    where
        T: RelayedRecord,
    {
        let known = T::version_in_force(&self.state);
        let changed = relayed.changed.iter().filter_map(T::version);
        relayed.version > changed.max().max(known)
    }

    /// Fails if all records of another entry are older than the known ones: records that were removed
    /// meanwhile would be listed again.
    pub(super) fn check_revision<T>(
        &self,
        upstream: SocketAddr,
        relayed: &RelayedChanges<T>,
    ) -> Result<(), FeedError>
    where
        T: RelayedRecord,
    {
        if T::revision(&self.state).is_none_or(|known| relayed.revision >= known) {
            return Ok(());
        }
        self.state.on_upstream_failed(upstream);
        Err(FeedError::Platform(PlatformError::Unavailable {
            reason: format!("the records of entry {upstream} are older than the known ones"),
        }))
    }

    async fn platform_changes<T>(
        &self,
        request: ChangesRequest,
    ) -> Result<RecordUpdate<T>, FeedError>
    where
        P: Feed<T>,
        T: RelayedRecord,
    {
        let sent_at = self.state.clock.now();
        let changes = self.platform.changes(request).await;
        self.on_read::<T, _, _>(RecordSource::Platform, sent_at, &changes);
        let answer = changes?;
        let now = self.state.clock.now();
        let answered_at = now.checked_sub(answer.body_time).unwrap_or(sent_at);
        let answered_by = sent_at + request.wait + PLATFORM_ANSWER_TIME;
        Ok(RecordUpdate::Changes {
            answer,
            answered_at: answered_at.min(answered_by),
        })
    }

    /// Reads the changes as [`RelayedFeed::changes`] does, and the newest revision of the platform at the
    /// same time; `None` if the platform doesn't tell it soon after the changes.
    pub(super) async fn changes_with_newest_revision<T>(
        &self,
        request: ChangesRequest,
    ) -> (Result<RecordUpdate<T>, FeedError>, Option<Revision>)
    where
        P: Feed<T>,
        T: RelayedRecord,
    {
        let mut changes = std::pin::pin!(self.changes(request));
        let mut newest = std::pin::pin!(self.platform.newest_revision(request.since));
        let (changes, newest) = tokio::select! {
            changes = &mut changes => {
                let newest = tokio::time::timeout(NEWEST_REVISION_TIMEOUT, newest).await;
                (changes, newest.ok())
            }
            newest = &mut newest => (changes.await, Some(newest)),
        };
        match newest {
            Some(Ok(revision)) => (changes, Some(revision)),
            Some(Err(error)) => {
                log::info!(records = T::PATH; "newest revision can't be read: {error}");
                (changes, None)
            }
            None => {
                log::info!(records = T::PATH; "newest revision is not read within the timeout");
                (changes, None)
            }
        }
    }

    /// Reads the changes at the usual place. If that fails, or the records get too old meanwhile,
    /// they are also read elsewhere, and the first answer is used. The time without the platform's
    /// word is thus bounded, however many entries fail one after the other.
    pub(super) async fn changes<T>(
        &self,
        request: ChangesRequest,
    ) -> Result<RecordUpdate<T>, FeedError>
    where
        P: Feed<T>,
        T: RelayedRecord,
    {
        let upstream = T::upstream(&self.state);
        let mut usual = std::pin::pin!(self.usual_changes(upstream, request));
        match tokio::time::timeout(self.time_until_too_old::<T>(), &mut usual).await {
            Ok(changes) if is_settled(&changes) => changes,
            Ok(failed) => settled_or_lost(failed, self.changes_elsewhere(request).await),
            Err(_) => {
                log::info!(
                    records = T::PATH, source:? = upstream;
                    "records get too old; they are read elsewhere, too"
                );
                first_settled(usual, self.changes_elsewhere(request)).await
            }
        }
    }
}

pub(super) fn into_snapshot<T>(relayed: RelayedChanges<T>) -> Snapshot<T> {
    Snapshot {
        records: relayed.changed,
        unreadable: Vec::new(),
        revision: relayed.revision,
        last_change: None,
    }
}

/// Returns whether the read need not be repeated elsewhere.
fn is_settled<T>(changes: &Result<RecordUpdate<T>, FeedError>) -> bool {
    !matches!(changes, Err(FeedError::Platform(_)))
}

/// Returns the second result if it is settled, or else the one that tells that an answer was lost: its
/// size may be the reason.
fn settled_or_lost<T>(
    first: Result<RecordUpdate<T>, FeedError>,
    second: Result<RecordUpdate<T>, FeedError>,
) -> Result<RecordUpdate<T>, FeedError> {
    let is_lost = matches!(
        first,
        Err(FeedError::Platform(PlatformError::Ambiguous { .. }))
    );
    if is_lost && !is_settled(&second) {
        first
    } else {
        second
    }
}

/// Runs both reads and returns the first result that is settled, or else that of a lost answer.
async fn first_settled<T, A, B>(first: A, second: B) -> Result<RecordUpdate<T>, FeedError>
where
    A: Future<Output = Result<RecordUpdate<T>, FeedError>>,
    B: Future<Output = Result<RecordUpdate<T>, FeedError>>,
{
    let mut first = std::pin::pin!(first);
    let mut second = std::pin::pin!(second);
    tokio::select! {
        changes = &mut first => {
            if is_settled(&changes) { changes } else { settled_or_lost(changes, second.await) }
        }
        changes = &mut second => {
            if is_settled(&changes) { changes } else { settled_or_lost(changes, first.await) }
        }
    }
}
