//! What a gateway knows, shared by its tasks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;

use super::change_log::ChangeLog;
use super::metrics::GatewayMetrics;
use super::peers::PeerMessage;
use super::peers::Peers;
use super::peers::ToldLoad;
use super::peers::ToldUse;
use super::places::ServiceBudget;
use super::serving::ServingTarget;
use super::serving::serving_targets;
use super::settings::GatewaySettings;
use super::usage::UsageBoard;
use crate::clock::Clock;
use crate::ids::HostId;
use crate::ids::Revision;
use crate::ids::ServiceId;
use crate::platform::Table;
use crate::platform::feed::Changes;
use crate::platform::feed::Feed;
use crate::process::formation::HostTracker;
use crate::process::lifecycle::Lifecycle;
use crate::process::lifecycle::Stage;
use crate::request::forward::sampling::LogSampler;
use crate::sorted::SortedVec;
use crate::target::record::TargetRecord;
use crate::version::routes::RouteDocument;

/// How long the other entries are told of a head whose streams have stopped: some datagrams.
const STALL_TOLD_FOR: Duration = Duration::from_millis(400);
/// For how long a target may have stood still and the others still be told of it.
const STILL_TOLD_MAX: Duration = Duration::from_millis(1_500);
/// The most heads that wait to be looked at.
const STALLED_MAX: usize = 256;

/// What an entry tells others.
#[derive(Clone, Debug, Default)]
pub struct News {
    /// Its own requests at the targets, if all entries are told.
    pub uses: Vec<ToldUse>,
    /// What it knows of the targets' loads, if only some are.
    pub loads: Vec<ToldLoad>,
    /// Heads whose streams stopped, and how many milliseconds ago.
    pub stalled: Vec<(HostId, u64)>,
}

/// The platform as a gateway uses it.
pub trait GatewayPlatform: Table + Feed<RouteDocument> + Feed<TargetRecord> {}

impl<P> GatewayPlatform for P where P: Table + Feed<RouteDocument> + Feed<TargetRecord> {}

pub(super) struct Inner {
    document: Option<Arc<RouteDocument>>,
    board: HostTracker,
    pub(super) serving: Vec<ServingTarget>,
    pub(super) usage: UsageBoard,
    pub(super) budgets: SortedVec<ServiceBudget>,
    pub(super) stalled: Vec<HostId>,
    pub(super) requests: u64,
    has_targets: bool,
    pub(super) sampler: LogSampler,
    pub(super) peers: Peers,
    target_log: ChangeLog<TargetRecord>,
    document_log: ChangeLog<RouteDocument>,
    /// Heads whose streams stopped here, and when, for the other entries.
    pub(super) stalled_to_tell: Vec<(HostId, Instant)>,
}

/// The state that a gateway's tasks share.
pub struct GatewayState<C> {
    /// The process's settings.
    pub settings: GatewaySettings,
    /// The clock.
    pub clock: C,
    /// The stage of the process's life.
    pub lifecycle: Lifecycle,
    /// When the process started.
    pub started_at: Instant,
    /// Woken when the targets have changed.
    pub targets_changed: Notify,
    /// Woken when records have changed that others follow here.
    pub records_changed: Notify,
    /// The process's metrics.
    pub metrics: GatewayMetrics,
    inner: Mutex<Inner>,
}

impl<C> std::fmt::Debug for GatewayState<C> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("GatewayState")
            .finish_non_exhaustive()
    }
}

impl<C> GatewayState<C>
where
    C: Clock,
{
    /// Creates the state of a process that knows nothing yet.
    pub fn new(settings: GatewaySettings, clock: C, metrics: GatewayMetrics) -> Self {
        let now = clock.now();
        let peers = Peers::new(
            settings.entry.clone(),
            settings.data_centre.clone(),
            settings.processor,
        );
        Self {
            settings,
            metrics,
            started_at: now,
            clock,
            lifecycle: Lifecycle::default(),
            targets_changed: Notify::new(),
            records_changed: Notify::new(),
            inner: Mutex::new(Inner {
                document: None,
                board: HostTracker::new(),
                serving: Vec::new(),
                usage: UsageBoard::new(),
                budgets: SortedVec::new(),
                stalled: Vec::new(),
                requests: 0,
                has_targets: false,
                sampler: LogSampler::new(now),
                peers,
                target_log: ChangeLog::default(),
                document_log: ChangeLog::default(),
                stalled_to_tell: Vec::new(),
            }),
        }
    }

    pub(super) fn inner(&self) -> MutexGuard<'_, Inner> {
        // The state is whole between any two statements, so a panic elsewhere leaves it usable.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the configuration in force.
    pub fn document(&self) -> Option<Arc<RouteDocument>> {
        self.inner().document.clone()
    }

    /// Puts a configuration in force unless one as new is.
    pub fn offer_document(&self, document: RouteDocument) {
        let now = self.clock.now();
        let mut inner = self.inner();
        let known = inner.document.as_ref().map(|d| d.version);
        if known.is_some_and(|known| known >= document.version) {
            return;
        }
        log::info!(
            version = document.version.0, replaced:? = known.map(|v| v.0),
            routes = document.route_count();
            "configuration is in force"
        );
        let version = i64::try_from(document.version.0).unwrap_or(i64::MAX);
        self.metrics.configuration_version.set(version);
        inner.document = Some(Arc::new(document));
        inner.update_serving(now);
        drop(inner);
        self.note_ready();
        self.targets_changed.notify_waiters();
    }

    /// Changes the board of hosts and what follows from it.
    pub fn change_board<F>(&self, change: F)
    where
        F: FnOnce(&mut HostTracker, Instant),
    {
        let now = self.clock.now();
        let mut inner = self.inner();
        change(&mut inner.board, now);
        inner.update_serving(now);
        for (service, count) in inner.serving_counts() {
            let labels = [service.as_str()];
            self.metrics
                .serving_targets
                .with_label_values(&labels)
                .set(count);
        }
        drop(inner);
        self.targets_changed.notify_waiters();
    }

    /// Takes note that the list of targets was read.
    pub fn note_targets_read(&self) {
        self.inner().has_targets = true;
        self.note_ready();
    }

    /// Looks at the board of hosts.
    pub fn with_board<F, T>(&self, look: F) -> T
    where
        F: FnOnce(&HostTracker) -> T,
    {
        look(&self.inner().board)
    }

    /// Returns the heads whose streams stopped since the last call.
    pub fn take_stalled(&self) -> Vec<HostId> {
        std::mem::take(&mut self.inner().stalled)
    }

    /// Changes or asks the view of the other entries.
    pub fn with_peers<F, T>(&self, change: F) -> T
    where
        F: FnOnce(&mut Peers) -> T,
    {
        change(&mut self.inner().peers)
    }

    /// Returns what the other entries are told.
    pub fn news_to_tell(&self) -> News {
        let now = self.clock.now();
        let mut inner = self.inner();
        let is_recent = |at: Instant| now.saturating_duration_since(at) < STALL_TOLD_FOR;
        inner.stalled_to_tell.retain(|(_, at)| is_recent(*at));
        let age_ms = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let stalled = inner.stalled_to_tell.iter();
        let stalled = stalled.map(|(host, at)| (host.clone(), age_ms(*at)));
        let stalled = stalled.collect();
        if inner.peers.is_everyone_told() {
            let uses = inner.usage.busy().map(|(host, usage)| ToldUse {
                host: host.clone(),
                in_flight: usage.own_in_flight(),
                unread_tokens: usage.unread_tokens(),
                still_ms: usage
                    .own_still_for(now)
                    .map(|still| still.as_millis() as u64),
            });
            return News {
                uses: uses.collect(),
                loads: Vec::new(),
                stalled,
            };
        }
        let loads = inner.usage.iter().map(|(host, usage)| ToldLoad {
            host: host.clone(),
            load: usage.told_load(now).map(|(load, at)| (load, age_ms(at))),
            still_ms: usage
                .still_for(now)
                .filter(|still| *still < STILL_TOLD_MAX)
                .map(|still| still.as_millis() as u64),
        });
        let has_news = |told: &ToldLoad| told.load.is_some() || told.still_ms.is_some();
        News {
            uses: Vec::new(),
            loads: loads.filter(has_news).collect(),
            stalled,
        }
    }

    /// Takes a datagram of another entry.
    pub fn on_peer_message(&self, message: &PeerMessage) {
        let now = self.clock.now();
        let mut inner = self.inner();
        if inner.peers.on_message(message, now) {
            inner.on_told(message, now);
            let is_passed_on = !inner.peers.is_everyone_told();
            for (host, age_ms) in &message.stalled {
                let at = now
                    .checked_sub(Duration::from_millis(*age_ms))
                    .unwrap_or(now);
                let is_known = inner.stalled_to_tell.iter().any(|(known, _)| known == host);
                if is_passed_on && !is_known {
                    inner.stalled_to_tell.push((host.clone(), at));
                }
                inner.stalled.push(host.clone());
            }
            // Only the entry that forms groups takes them.
            let excess = inner.stalled.len().saturating_sub(STALLED_MAX);
            inner.stalled.drain(..excess);
        }
    }

    /// Changes the log of the targets' records.
    pub fn with_target_log<F>(&self, change: F)
    where
        F: FnOnce(&mut ChangeLog<TargetRecord>, Instant),
    {
        let now = self.clock.now();
        change(&mut self.inner().target_log, now);
        self.records_changed.notify_waiters();
    }

    /// Changes the log of the configuration.
    pub fn with_document_log<F>(&self, change: F)
    where
        F: FnOnce(&mut ChangeLog<RouteDocument>, Instant),
    {
        let now = self.clock.now();
        change(&mut self.inner().document_log, now);
        self.records_changed.notify_waiters();
    }

    /// Returns the targets' records after `since`, or all of them and true if they don't go back so
    /// far; `None` if the platform has not confirmed them lately.
    pub fn target_changes(&self, since: Option<Revision>) -> Option<(bool, Changes<TargetRecord>)> {
        let now = self.clock.now();
        let inner = self.inner();
        let revision = inner.target_log.confirmed_revision(now)?;
        if let Some(changes) = since.and_then(|since| inner.target_log.changes_since(since)) {
            return Some((false, changes));
        }
        let listed = inner
            .board
            .iter()
            .filter(|entry| entry.unlisted_from.is_none());
        Some((
            true,
            Changes {
                changed: listed.map(|entry| entry.record.clone()).collect(),
                removed: Vec::new(),
                revision,
            },
        ))
    }

    /// Returns the configuration if it is newer than `since`; `None` if the platform has not
    /// confirmed it lately.
    pub fn document_changes(
        &self,
        since: Option<Revision>,
    ) -> Option<(bool, Changes<RouteDocument>)> {
        let now = self.clock.now();
        let inner = self.inner();
        let revision = inner.document_log.confirmed_revision(now)?;
        if let Some(changes) = since.and_then(|since| inner.document_log.changes_since(since)) {
            return Some((false, changes));
        }
        let document = inner.document.as_ref()?;
        Some((
            true,
            Changes {
                changed: vec![RouteDocument::clone(document)],
                removed: Vec::new(),
                revision,
            },
        ))
    }

    /// Returns the entry to follow records at, or `None` if the platform is followed here.
    pub fn source(&self) -> Option<SocketAddr> {
        // The entry that forms groups hears of changes first.
        if self.metrics.holds_lease.get() > 0 {
            return None;
        }
        let now = self.clock.now();
        self.inner().peers.source(now)
    }

    /// Returns another entry to follow records at while the platform can't be read here.
    pub fn substitute_source(&self) -> Option<SocketAddr> {
        let now = self.clock.now();
        self.inner().peers.substitute_source(now)
    }

    /// Takes note that an entry did not pass records on.
    pub fn on_source_failed(&self, address: SocketAddr) {
        let now = self.clock.now();
        self.inner().peers.on_source_failed(address, now);
    }

    /// Returns how many requests have come.
    pub fn request_count(&self) -> u64 {
        self.inner().requests
    }

    fn note_ready(&self) {
        let inner = self.inner();
        let is_ready = inner.document.is_some() && inner.has_targets;
        drop(inner);
        if is_ready && self.lifecycle.advance(Stage::Ready) {
            log::info!("ready for callers");
        }
    }
}

impl Inner {
    fn update_serving(&mut self, now: Instant) {
        let Some(document) = &self.document else {
            return;
        };
        self.serving = serving_targets(&self.board, document, now);
        let board = &self.board;
        self.usage.forget_unknown(|host| board.get(host).is_some());
    }

    /// Returns how many targets of each service can be sent requests.
    fn serving_counts(&self) -> Vec<(ServiceId, i64)> {
        let mut services: Vec<ServiceId> = self
            .board
            .iter()
            .map(|entry| entry.record.service.clone())
            .collect();
        services.sort();
        services.dedup();
        let count = |service: &ServiceId| {
            let serving = self
                .serving
                .iter()
                .filter(|target| target.service == *service);
            i64::try_from(serving.count()).unwrap_or(i64::MAX)
        };
        services
            .into_iter()
            .map(|s| (s.clone(), count(&s)))
            .collect()
    }

    pub(super) fn is_usable(&self, host: &HostId) -> bool {
        self.serving.iter().any(|target| target.host == *host)
    }
}
