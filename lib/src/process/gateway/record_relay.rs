//! The relay of platform records between entries.
//!
//! One entry in each data centre reads the platform, and the others read from that entry, so that
//! the number of calls to the platform doesn't grow with the number of entries. Revisions are those
//! of the platform everywhere, so an entry can switch to another upstream or to the platform at any
//! time. An entry that can't read the platform reads from any other entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::HeaderValue;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::record_state::NotRelayed;
use super::record_state::RecordRead;
use super::state::GatewayState;
use crate::clock::Clock;
use crate::connection::body::ResponseBody;
use crate::connection::body::full_body;
use crate::connection::server::HttpHandler;
use crate::ids::DocumentVersion;
use crate::ids::Revision;
use crate::platform::feed::Changes;
use crate::platform::feed::FeedRecord;
use crate::process::evacuation::OperatorRecord;
use crate::process::platform_history::HistoryId;
use crate::target::record::TargetRecord;

/// The longest time for which a request waits for a change.
pub(super) const LONG_POLL_TIME: Duration = Duration::from_millis(700);
/// The path of the target records.
const TARGETS_PATH: &str = "/targets";
/// The path of the operator's records.
const OPERATOR_PATH: &str = "/operator";
/// The path of the configuration alone, for entries of a version that knows no other records of the
/// operator. They can't read an answer with those.
const CONFIGURATION_PATH: &str = "/configuration";
/// The query parameter with the revision of the caller.
pub(super) const SINCE_PARAMETER: &str = "since=";

/// The header of a request with the history of the platform that the revision belongs to, and of a refusal with that
/// of the entry. An entry of an earlier version ignores it.
pub(super) const HISTORY_HEADER: &str = "beryltray-history";

/// The status of a response if the newest state of a record can't be read here. An entry of an earlier
/// version takes it for a failure.
pub(super) const UNREADABLE_STATUS: StatusCode = StatusCode::NOT_IMPLEMENTED;

/// The age from which the records of an entry are not passed on to others, beside the delay between
/// its reads. It is longer than a long poll of the platform.
const AGE_MAX: Duration = Duration::from_millis(1_200);

/// The response of a relay.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct RelayedChanges<T> {
    /// Whether these are all records instead of the changes since a revision.
    #[serde(rename = "is_whole")]
    pub(super) is_snapshot: bool,
    pub(super) changed: Vec<T>,
    pub(super) removed: Vec<String>,
    pub(super) revision: Revision,
    /// The milliseconds since the platform's answer that these records are from, when they were
    /// sent; an entry of an earlier version omits it.
    #[serde(default)]
    pub(super) confirmed_ms_ago: Option<u64>,
    /// The milliseconds since the platform last answered, maybe without all changes; an entry of an
    /// earlier version omits it.
    #[serde(default)]
    pub(super) answered_ms_ago: Option<u64>,
    /// How many milliseconds the request was held.
    #[serde(default)]
    pub(super) held_ms: u64,
    /// The version of the configuration in force at the entry. Other records have none, and an entry of an
    /// earlier version omits it.
    #[serde(default)]
    pub(super) version: Option<DocumentVersion>,
    /// The keys of all records that the entry knows, if it may lack others: it knows nothing of their changes.
    /// An entry of an earlier version omits it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) known_keys: Option<Vec<String>>,
    /// The history of the platform that the revision belongs to. An entry of an earlier version omits it.
    #[serde(default, skip_serializing_if = "HistoryId::is_first")]
    pub(super) history: HistoryId,
}

/// A kind of record that entries relay.
pub(super) trait RelayedRecord:
    Clone + FeedRecord + Serialize + DeserializeOwned + Send + Sync + 'static
{
    /// The path of the records.
    const PATH: &'static str;
    /// The value of the metrics' label `records`.
    const LABEL: &'static str;

    /// Records where the records were read last.
    fn on_read<C>(state: &GatewayState<C>, read: RecordRead)
    where
        C: Clock;

    /// Returns the time as of which the records are known to be complete.
    fn confirmed_at<C>(state: &GatewayState<C>) -> Option<Instant>
    where
        C: Clock;

    /// Returns when the platform last answered a read of the records.
    fn answered_at<C>(state: &GatewayState<C>) -> Option<Instant>
    where
        C: Clock;

    /// Returns the latest revision of the records; `None` before they have been read.
    fn revision<C>(state: &GatewayState<C>) -> Option<Revision>
    where
        C: Clock;

    /// Returns the age from which the records are too old.
    fn age_max<C>(state: &GatewayState<C>) -> Duration
    where
        C: Clock;

    /// Returns whether the result is a snapshot, and the changes after `since` or a snapshot of all
    /// records.
    fn read<C>(
        state: &GatewayState<C>,
        since: Option<Revision>,
    ) -> Result<(bool, Changes<Self>), NotRelayed>
    where
        C: Clock;

    /// Returns the feed keys of all records that may exist, as far as they are known.
    fn known_keys<C>(state: &GatewayState<C>) -> Vec<String>
    where
        C: Clock;

    /// Returns whether records may be missing whose keys are not known here.
    fn may_lack_records<C>(state: &GatewayState<C>) -> bool
    where
        C: Clock;

    /// Sets whether records may be missing whose keys are not known here.
    fn set_may_lack_records<C>(state: &GatewayState<C>, may_lack_records: bool)
    where
        C: Clock;

    /// Passes states on that were read apart from the others, at a later revision.
    fn log_states<C>(state: &GatewayState<C>, states: Changes<Self>)
    where
        C: Clock;

    /// Returns the keys of the records that exist by what is known here.
    fn listed_keys<C>(state: &GatewayState<C>) -> Vec<String>
    where
        C: Clock;

    /// Drops the states of records that are known already.
    fn retain_news<C>(state: &GatewayState<C>, states: &mut Changes<Self>)
    where
        C: Clock;

    /// Returns the version that is in force here; `None` if the records have no version in common.
    fn version_in_force<C>(state: &GatewayState<C>) -> Option<DocumentVersion>
    where
        C: Clock;

    /// Returns the version that the record brings into force, if any.
    fn version(&self) -> Option<DocumentVersion>;

    /// Returns the entry to read the records from, or `None` if this entry reads the platform itself.
    fn upstream<C>(state: &GatewayState<C>) -> Option<SocketAddr>
    where
        C: Clock;

    /// Records that another entry can't read the newest state of the records.
    fn on_unreadable_elsewhere<C>(state: &GatewayState<C>)
    where
        C: Clock;
}

impl RelayedRecord for TargetRecord {
    const PATH: &'static str = TARGETS_PATH;
    const LABEL: &'static str = "targets";

    fn on_read<C>(_state: &GatewayState<C>, _read: RecordRead)
    where
        C: Clock,
    {
    }

    fn confirmed_at<C>(state: &GatewayState<C>) -> Option<Instant>
    where
        C: Clock,
    {
        state.targets_confirmed_at()
    }

    fn answered_at<C>(state: &GatewayState<C>) -> Option<Instant>
    where
        C: Clock,
    {
        state.inner().target_log.answered_at()
    }

    fn revision<C>(state: &GatewayState<C>) -> Option<Revision>
    where
        C: Clock,
    {
        state.inner().target_log.revision()
    }

    fn age_max<C>(state: &GatewayState<C>) -> Duration
    where
        C: Clock,
    {
        AGE_MAX + state.targets_batch_delay()
    }

    fn read<C>(
        state: &GatewayState<C>,
        since: Option<Revision>,
    ) -> Result<(bool, Changes<Self>), NotRelayed>
    where
        C: Clock,
    {
        state.target_changes(since, Self::age_max(state))
    }

    fn known_keys<C>(state: &GatewayState<C>) -> Vec<String>
    where
        C: Clock,
    {
        state.known_target_keys()
    }

    fn may_lack_records<C>(state: &GatewayState<C>) -> bool
    where
        C: Clock,
    {
        state.inner().may_lack_targets
    }

    fn set_may_lack_records<C>(state: &GatewayState<C>, may_lack_records: bool)
    where
        C: Clock,
    {
        state.inner().may_lack_targets = may_lack_records;
    }

    fn log_states<C>(state: &GatewayState<C>, states: Changes<Self>)
    where
        C: Clock,
    {
        state.with_target_log(|log, _| log.on_states(states));
    }

    fn listed_keys<C>(state: &GatewayState<C>) -> Vec<String>
    where
        C: Clock,
    {
        state.listed_target_keys()
    }

    fn retain_news<C>(state: &GatewayState<C>, states: &mut Changes<Self>)
    where
        C: Clock,
    {
        state.retain_target_news(states);
    }

    fn version_in_force<C>(_state: &GatewayState<C>) -> Option<DocumentVersion>
    where
        C: Clock,
    {
        None
    }

    fn version(&self) -> Option<DocumentVersion> {
        None
    }

    fn upstream<C>(state: &GatewayState<C>) -> Option<SocketAddr>
    where
        C: Clock,
    {
        state.upstream()
    }

    fn on_unreadable_elsewhere<C>(_state: &GatewayState<C>)
    where
        C: Clock,
    {
    }
}

impl RelayedRecord for OperatorRecord {
    const PATH: &'static str = OPERATOR_PATH;
    const LABEL: &'static str = "configuration";

    fn on_read<C>(state: &GatewayState<C>, read: RecordRead)
    where
        C: Clock,
    {
        state.inner().document_read = Some(read);
    }

    fn confirmed_at<C>(state: &GatewayState<C>) -> Option<Instant>
    where
        C: Clock,
    {
        state.document_confirmed_at()
    }

    fn answered_at<C>(state: &GatewayState<C>) -> Option<Instant>
    where
        C: Clock,
    {
        state.inner().operator_log.answered_at()
    }

    fn revision<C>(state: &GatewayState<C>) -> Option<Revision>
    where
        C: Clock,
    {
        state.inner().operator_log.revision()
    }

    fn age_max<C>(_state: &GatewayState<C>) -> Duration
    where
        C: Clock,
    {
        AGE_MAX
    }

    fn read<C>(
        state: &GatewayState<C>,
        since: Option<Revision>,
    ) -> Result<(bool, Changes<Self>), NotRelayed>
    where
        C: Clock,
    {
        state.operator_changes(since, Self::age_max(state))
    }

    fn known_keys<C>(state: &GatewayState<C>) -> Vec<String>
    where
        C: Clock,
    {
        state.known_operator_keys()
    }

    /// The keys of all records of the operator are known.
    fn may_lack_records<C>(_state: &GatewayState<C>) -> bool
    where
        C: Clock,
    {
        false
    }

    fn set_may_lack_records<C>(_state: &GatewayState<C>, _may_lack_records: bool)
    where
        C: Clock,
    {
    }

    fn log_states<C>(state: &GatewayState<C>, states: Changes<Self>)
    where
        C: Clock,
    {
        state.with_operator_log(|log, _| log.on_states(states));
    }

    fn listed_keys<C>(_state: &GatewayState<C>) -> Vec<String>
    where
        C: Clock,
    {
        Vec::new()
    }

    /// Outdated records are dropped where the changes are applied.
    fn retain_news<C>(_state: &GatewayState<C>, _states: &mut Changes<Self>)
    where
        C: Clock,
    {
    }

    fn version_in_force<C>(state: &GatewayState<C>) -> Option<DocumentVersion>
    where
        C: Clock,
    {
        state.document().map(|document| document.version)
    }

    fn version(&self) -> Option<DocumentVersion> {
        self.configuration().map(|document| document.version)
    }

    fn upstream<C>(state: &GatewayState<C>) -> Option<SocketAddr>
    where
        C: Clock,
    {
        state.operator_upstream()
    }

    fn on_unreadable_elsewhere<C>(state: &GatewayState<C>)
    where
        C: Clock,
    {
        state.on_configuration_unreadable_elsewhere();
    }
}

/// What another entry asks for.
#[derive(Clone, Copy, Debug)]
struct AskedChanges {
    /// The revision up to which it knows all changes; `None` if it knows none.
    since: Option<Revision>,
    /// The history of the platform that the answer is to be of.
    history: HistoryId,
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
        let asked = history_in(request.headers());
        self.state.on_history_told(asked);
        let history = self.state.history_id();
        // A revision of another history says nothing of what the caller lacks.
        let since = since.filter(|_| asked == history);
        let asked = AskedChanges { since, history };
        match request.uri().path() {
            TARGETS_PATH => self.respond(asked, same_changes::<TargetRecord>).await,
            OPERATOR_PATH => self.respond(asked, same_changes::<OperatorRecord>).await,
            CONFIGURATION_PATH => {
                let convert = OperatorRecord::configuration_changes;
                self.respond(asked, convert).await
            }
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }
}

impl<C> RecordRelayHandler<C>
where
    C: Clock,
{
    /// Answers with the records changed after the revision as soon as there are any, as `convert` returns
    /// them.
    async fn respond<T, A, F>(&self, asked: AskedChanges, convert: F) -> Response<ResponseBody>
    where
        T: RelayedRecord,
        A: Serialize,
        F: Fn(Changes<T>) -> Changes<A> + Send,
    {
        let arrived_at = self.state.clock.now();
        let deadline = tokio::time::Instant::now() + LONG_POLL_TIME;
        let known_at = T::confirmed_at(&self.state);
        let AskedChanges { since, history } = asked;
        let mut has_waited = false;
        loop {
            let changed = self.state.records_changed.notified();
            // Taken before the records, which may be replaced by newer ones meanwhile.
            let confirmed_at = T::confirmed_at(&self.state);
            let version = T::version_in_force(&self.state);
            let may_lack_records = T::may_lack_records(&self.state);
            let (is_snapshot, changes) = match T::read(&self.state, since) {
                Ok(read) => read,
                Err(NotRelayed::NotConfirmed) => return self.not_confirmed(),
                Err(NotRelayed::Unreadable) => return empty_response(UNREADABLE_STATUS),
            };
            // The revision may have been one of the history that has ended meanwhile.
            if self.state.history_id() != history {
                return self.not_confirmed();
            }
            let has_changes =
                is_snapshot || !changes.changed.is_empty() || !changes.removed.is_empty();
            // A new confirmation is passed on at once, so that it does not grow old on the way.
            if has_changes || has_waited || confirmed_at > known_at {
                let now = self.state.clock.now();
                let ms_since = |at| now.saturating_duration_since(at).as_millis() as u64;
                let changes = convert(changes);
                return changes_response(RelayedChanges {
                    is_snapshot,
                    changed: changes.changed,
                    removed: changes.removed,
                    revision: changes.revision,
                    confirmed_ms_ago: confirmed_at.map(ms_since),
                    answered_ms_ago: T::answered_at(&self.state).map(ms_since),
                    held_ms: ms_since(arrived_at),
                    version,
                    known_keys: may_lack_records.then(|| T::known_keys(&self.state)),
                    history,
                });
            }
            has_waited = tokio::time::timeout_at(deadline, changed).await.is_err();
        }
    }

    /// Refuses for the moment, and tells the history of the platform: its end may be the reason.
    fn not_confirmed(&self) -> Response<ResponseBody> {
        let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
        let history = self.state.history_id().to_string();
        // The text has digits and dots only.
        if let Ok(history) = HeaderValue::try_from(history) {
            response.headers_mut().insert(HISTORY_HEADER, history);
        }
        response
    }
}

/// Returns the history that the headers name, or the first one without a valid one.
pub(super) fn history_in(headers: &HeaderMap) -> HistoryId {
    let Some(text) = headers.get(HISTORY_HEADER) else {
        return HistoryId::default();
    };
    let text = String::from_utf8_lossy(text.as_bytes());
    text.parse().unwrap_or_else(|error| {
        log::info!("the history that another entry tells can't be read: {error}");
        HistoryId::default()
    })
}

fn same_changes<T>(changes: Changes<T>) -> Changes<T> {
    changes
}

fn changes_response<T>(relayed: RelayedChanges<T>) -> Response<ResponseBody>
where
    T: Serialize,
{
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
