//! The state that the tasks of a gateway share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;
use tokio::sync::Notify;
use tokio::sync::watch;

use super::change_log::ChangeLog;
use super::crash_records::CrashRecord;
use super::departures::GossipedDeparture;
use super::leaving::GossipedLeaving;
use super::limit_gossip::GossipedLimit;
use super::metrics::GatewayMetrics;
use super::peers::GossipedLoad;
use super::peers::PeerMessage;
use super::peers::Peers;
use super::peers::SenderLoad;
use super::quarantine::Quarantine;
use super::record_state::RecordRead;
use super::reservation::ServiceRetryBudget;
use super::serving::ServingTarget;
use super::serving::serving_targets;
use super::settings::GatewaySettings;
use super::target_backoffs::TargetBackoffs;
use super::target_limits::TargetLimits;
use super::target_links::TargetLinks;
use super::usage::UsageTracker;
use crate::clock::Clock;
use crate::connection::body_budget::BodyBudget;
use crate::connection::body_memory::BodyMemory;
use crate::ids::DocumentVersion;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::platform::Table;
use crate::platform::feed::Feed;
use crate::process::demand::DemandGossip;
use crate::process::demand::DemandState;
use crate::process::evacuation::Evacuations;
use crate::process::evacuation::OperatorRecord;
use crate::process::formation::HostTracker;
use crate::process::lifecycle::Lifecycle;
use crate::process::lifecycle::Stage;
use crate::process::platform_history::HistoryId;
use crate::process::platform_history::PlatformHistory;
use crate::process::unreadable_configuration::UnreadableConfiguration;
use crate::request::forward::buffered::ANSWER_LIMIT_BYTES;
use crate::request::forward::sampling::LogSampler;
use crate::request::overload::Overload;
use crate::request::pace::GossipedPace;
use crate::request::pace::TargetPaces;
use crate::sorted::SortedVec;
use crate::target::record::TargetRecord;
use crate::version::routes::RouteDocument;
use crate::version::shown::ShownVersion;

/// How long a stalled target is gossiped; this spans several datagrams.
const STALL_GOSSIP_TIME: Duration = Duration::from_millis(400);
/// The age from which the last event of a target is no longer gossiped.
const GOSSIPED_EVENT_AGE_MAX: Duration = Duration::from_millis(1_500);
/// The most stalled targets that are kept for group formation; the oldest are dropped.
const STALLED_TARGETS_MAX: usize = 256;

/// The memory for large answers, beside one of the maximum size. Together they are a quarter of the
/// 260 MB of a gateway's process; half is left for the buffers of 500 requests of 250 KB each.
const BODY_MEMORY_BYTES: usize = 48 * 1024 * 1024;

/// The part of a gossip datagram that is computed from the state.
#[derive(Clone, Debug, Default)]
pub struct GossipPayload {
    /// The load of this entry on the targets; empty if the entries are not a full mesh.
    pub uses: Vec<SenderLoad>,
    /// The known loads of the targets; empty if the entries are a full mesh.
    pub loads: Vec<GossipedLoad>,
    /// Targets whose streams stalled, and how many milliseconds ago.
    pub stalled: Vec<(HostId, u64)>,
    /// The limits of targets, with requests that are left to peers.
    pub limits: Vec<GossipedLimit>,
    /// Targets that said recently that they leave.
    pub leaving: Vec<GossipedLeaving>,
    /// Targets whose records said recently that they leave.
    pub departures: Vec<GossipedDeparture>,
    /// Targets whose pace changed recently.
    pub paces: Vec<GossipedPace>,
    /// The work that arrives at this entry, and the latest known lease holder.
    pub demand: DemandGossip,
}

/// The interfaces of the platform that a gateway uses.
pub trait GatewayPlatform: Table + Feed<OperatorRecord> + Feed<TargetRecord> {}

impl<P> GatewayPlatform for P where P: Table + Feed<OperatorRecord> + Feed<TargetRecord> {}

pub(super) struct Inner {
    pub(super) document: Option<Arc<RouteDocument>>,
    /// What other entries have shown to callers of this one.
    pub(super) shown_version: ShownVersion,
    /// The documents that were in force before and that are still in use.
    pub(super) replaced_documents: Vec<Weak<RouteDocument>>,
    pub(super) host_tracker: HostTracker,
    pub(super) serving: Vec<ServingTarget>,
    pub(super) usage: UsageTracker,
    pub(super) retry_budgets: SortedVec<ServiceRetryBudget>,
    /// Targets whose streams stalled, at this entry or at a peer. The lease holder drains the list.
    pub(super) stalled_targets: Vec<HostId>,
    pub(super) request_count: u64,
    pub(super) has_read_targets: bool,
    /// Whether targets may be listed whose keys are not known here, since the last read was one of known keys.
    pub(super) may_lack_targets: bool,
    pub(super) sampler: LogSampler,
    pub(super) peers: Peers,
    pub(super) history: PlatformHistory,
    pub(super) target_log: ChangeLog<TargetRecord>,
    pub(super) operator_log: ChangeLog<OperatorRecord>,
    /// The last read of the configuration.
    pub(super) document_read: Option<RecordRead>,
    pub(super) unreadable_configuration: UnreadableConfiguration,
    /// The stalled targets to gossip, and when each stalled.
    pub(super) stalled_to_gossip: Vec<(HostId, Instant)>,
    pub(super) quarantine: Quarantine,
    /// The requests that broke at the start of their answers, by target, while it is checked whether
    /// the target has crashed.
    pub(super) broken_starts: Vec<CrashRecord>,
    pub(super) target_limits: TargetLimits,
    /// The rates of cold targets; nothing of them is left to other entries.
    pub(super) cold_limits: TargetLimits,
    pub(super) target_links: TargetLinks,
    pub(super) target_backoffs: TargetBackoffs,
    pub(super) evacuations: Evacuations,
    /// Whether all hosts are in evacuated data centres.
    pub(super) is_all_evacuated: bool,
    pub(super) overload: Overload,
    pub(super) paces: TargetPaces,
    pub(super) demand: DemandState,
}

/// The state of a gateway's process.
pub struct GatewayState<C> {
    /// The process's settings.
    pub settings: GatewaySettings,
    /// The time source for ages and timeouts; tests can pass their own.
    pub clock: C,
    /// The stage of the process, from start to shutdown.
    pub lifecycle: Lifecycle,
    /// When the process started.
    pub started_at: Instant,
    /// Notified when the configuration or the targets have changed.
    pub targets_changed: Notify,
    /// Notified when records that other entries read here have changed.
    pub records_changed: Notify,
    /// Holds the present history of the platform.
    pub(super) history_changed: watch::Sender<HistoryId>,
    /// When this entry last wrote a row to learn the platform's revision. Locked during the write.
    pub(super) probed_at: tokio::sync::Mutex<Option<Instant>>,
    /// The process's metrics.
    pub metrics: GatewayMetrics,
    /// The limit on the memory of answers that are read completely.
    pub body_memory: BodyMemory,
    /// The budget for the bodies of requests.
    pub body_budget: BodyBudget,
    inner: Mutex<Inner>,
}

/// Why the targets that can be sent requests are derived again.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(super) enum ServingUpdate {
    /// A new configuration is in force.
    #[display("configuration")]
    Configuration,
    /// Records of hosts, or their reports to the entry that forms groups, have changed.
    #[display("hosts")]
    Hosts,
    /// Other entries told that targets leave by their records.
    #[display("departures")]
    Departures,
    /// Targets said in their answers that they leave.
    #[display("leaving")]
    Leaving,
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
    /// Creates the state of a process without a configuration and targets.
    pub fn new(settings: GatewaySettings, clock: C, metrics: GatewayMetrics) -> Self {
        let now = clock.now();
        let paces = TargetPaces::new(settings.pace);
        let demand = DemandState::new(settings.entry.clone(), now);
        let peers = Peers::new(
            settings.entry.clone(),
            settings.data_centre.clone(),
            settings.processor,
        );
        Self {
            body_budget: BodyBudget::new(settings.body_budget_bytes()),
            settings,
            metrics,
            body_memory: BodyMemory::new(BODY_MEMORY_BYTES, ANSWER_LIMIT_BYTES),
            started_at: now,
            clock,
            lifecycle: Lifecycle::default(),
            targets_changed: Notify::new(),
            records_changed: Notify::new(),
            history_changed: watch::Sender::new(HistoryId::default()),
            probed_at: tokio::sync::Mutex::new(None),
            inner: Mutex::new(Inner {
                document: None,
                shown_version: ShownVersion::new(),
                replaced_documents: Vec::new(),
                host_tracker: HostTracker::new(),
                serving: Vec::new(),
                usage: UsageTracker::new(),
                retry_budgets: SortedVec::new(),
                stalled_targets: Vec::new(),
                request_count: 0,
                has_read_targets: false,
                may_lack_targets: false,
                sampler: LogSampler::new(now),
                peers,
                history: PlatformHistory::default(),
                target_log: ChangeLog::default(),
                operator_log: ChangeLog::default(),
                document_read: None,
                unreadable_configuration: UnreadableConfiguration::default(),
                stalled_to_gossip: Vec::new(),
                quarantine: Quarantine::new(),
                broken_starts: Vec::new(),
                target_limits: TargetLimits::new(),
                cold_limits: TargetLimits::new(),
                target_links: TargetLinks::new(),
                target_backoffs: TargetBackoffs::new(),
                evacuations: Evacuations::new(),
                is_all_evacuated: false,
                overload: Overload::default(),
                paces,
                demand,
            }),
        }
    }

    pub(super) fn inner(&self) -> MutexGuard<'_, Inner> {
        // The state is consistent between any two statements, so it stays usable after a panic
        // while the lock was held.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the configuration in force, or `None` before the first one was read.
    pub fn document(&self) -> Option<Arc<RouteDocument>> {
        self.inner().document.clone()
    }

    /// Records that another entry has handled a request of this process by `version`.
    pub(super) fn on_version_shown(&self, version: DocumentVersion) {
        let mut inner = self.inner();
        let is_newer = inner.shown_version.on_shown(version);
        let in_force = inner.document.as_ref().map(|document| document.version);
        drop(inner);
        if is_newer && in_force < Some(version) {
            log::info!(
                version = in_force.map(|version| version.0), shown = version.0;
                "another entry handles requests by a newer configuration"
            );
        }
    }

    /// Returns the oldest version by which other entries may handle requests of this process.
    pub(super) fn required_version(&self) -> Option<DocumentVersion> {
        let inner = self.inner();
        let in_force = inner.document.as_ref().map(|document| document.version);
        inner.shown_version.required_with(in_force)
    }

    /// Returns whether other entries have handled requests of this process by a newer configuration than
    /// the one in force.
    pub(super) fn has_shown_newer_version(&self) -> bool {
        let inner = self.inner();
        let document = inner.document.as_ref();
        document.is_some_and(|document| !inner.shown_version.allows(document.version))
    }

    /// Puts a configuration in force unless its version is not newer than the current one.
    pub fn apply_document(&self, document: RouteDocument) {
        let now = self.clock.now();
        let mut inner = self.inner();
        let known = inner.document.as_ref().map(|d| d.version);
        if known.is_some_and(|known| known >= document.version) {
            return;
        }
        let age = inner.operator_log.age(now);
        let read = inner.document_read;
        let source = read.map(|read| read.source.to_string());
        log::info!(
            version = document.version.0, replaced = known.map(|v| v.0),
            routes = document.route_count(),
            unreadable_routes = document.unreadable_route_count(),
            services_without_order = document.services_without_order().len(),
            confirmed_ms_ago = age.map(|age| age.as_millis() as u64),
            source = source.as_deref(),
            known_revision = inner.operator_log.revision().map(|revision| revision.0),
            size_bytes = read.map(|read| read.size_bytes as u64),
            read_ms = read.map(|read| read.took.as_millis() as u64);
            "configuration is in force"
        );
        let version = i64::try_from(document.version.0).unwrap_or(i64::MAX);
        self.metrics.configuration_version.set(version);
        let unreadable_routes = i64::try_from(document.unreadable_route_count());
        let unreadable_routes = unreadable_routes.unwrap_or(i64::MAX);
        self.metrics.unreadable_routes.set(unreadable_routes);
        inner.overload.set_priorities(document.priorities());
        let without_order = document.services_without_order();
        inner.overload.set_services_without_order(without_order);
        let replaced = inner.document.replace(Arc::new(document));
        let replaced = replaced.as_ref().map(Arc::downgrade);
        inner.replaced_documents.extend(replaced);
        inner.forget_unused_documents();
        self.update_serving(&mut inner, ServingUpdate::Configuration, now);
        drop(inner);
        self.update_readiness();
        self.targets_changed.notify_waiters();
    }

    /// Changes the host records, and updates what is derived from them: the serving targets, the
    /// usage tracker and the metrics.
    pub fn update_host_tracker<F>(&self, change: F)
    where
        F: FnOnce(&mut HostTracker, Instant),
    {
        let now = self.clock.now();
        let mut inner = self.inner();
        change(&mut inner.host_tracker, now);
        inner.update_cold_limits(now);
        self.update_serving(&mut inner, ServingUpdate::Hosts, now);
        for (service, count) in inner.serving_counts() {
            let labels = [service.as_str()];
            self.metrics
                .serving_targets
                .with_label_values(&labels)
                .set(count);
        }
        self.metrics.leaving_targets.set(inner.leaving_count(now));
        drop(inner);
        self.targets_changed.notify_waiters();
    }

    /// Derives the targets that can be sent requests from the hosts and the configuration. This takes
    /// time in proportion to the number of hosts, so it is done once for all changes of a message.
    pub(super) fn update_serving(&self, inner: &mut Inner, cause: ServingUpdate, now: Instant) {
        self.metrics.count_serving_update(&cause.to_string());
        inner.update_serving(now);
        self.check_all_evacuated(inner, now);
    }

    /// Records that the targets have been read, which the entry needs to become ready.
    pub fn mark_targets_read(&self) {
        let was_read = std::mem::replace(&mut self.inner().has_read_targets, true);
        if !was_read {
            self.log_unknown_evacuations();
        }
        self.update_readiness();
    }

    /// Calls `read` with the host records while the state is locked.
    pub fn with_host_tracker<F, T>(&self, read: F) -> T
    where
        F: FnOnce(&HostTracker) -> T,
    {
        read(&self.inner().host_tracker)
    }

    /// Returns the targets that have stalled since the last call.
    pub fn take_stalled_targets(&self) -> Vec<HostId> {
        std::mem::take(&mut self.inner().stalled_targets)
    }

    /// Calls `change` with the peers while the state is locked.
    pub fn with_peers<F, T>(&self, change: F) -> T
    where
        F: FnOnce(&mut Peers) -> T,
    {
        change(&mut self.inner().peers)
    }

    /// Returns the content of the next gossip datagram, which must be sent at most once.
    pub fn gossip_payload(&self) -> GossipPayload {
        let now = self.clock.now();
        let mut inner = self.inner();
        inner.update_target_limits(now);
        inner.update_cold_limits(now);
        let limits = inner.target_limits.gossip(now);
        let leaving = inner.gossiped_leaving(now);
        let departures = inner.gossiped_departures(now);
        let demand = inner.demand.gossip(now);
        let backed_off = inner.update_target_backoffs(now);
        self.metrics.backed_off_targets.set(backed_off);
        let paces = self.gossiped_paces(&mut inner, now);
        let is_recent = |at: Instant| now.saturating_duration_since(at) < STALL_GOSSIP_TIME;
        inner.stalled_to_gossip.retain(|(_, at)| is_recent(*at));
        let age_ms = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let stalled = inner.stalled_to_gossip.iter();
        let stalled = stalled.map(|(host, at)| (host.clone(), age_ms(*at)));
        let stalled = stalled.collect();
        if inner.peers.is_full_mesh() {
            let uses = inner.usage.busy().map(|(host, usage)| SenderLoad {
                host: host.clone(),
                in_flight: usage.own_in_flight(),
                unread_tokens: usage.unread_tokens(),
                since_event_ms: usage
                    .time_since_own_event(now)
                    .map(|elapsed| elapsed.as_millis() as u64),
            });
            return GossipPayload {
                uses: uses.collect(),
                loads: Vec::new(),
                stalled,
                limits,
                leaving,
                departures,
                paces,
                demand,
            };
        }
        let loads = inner.usage.iter().map(|(host, usage)| GossipedLoad {
            host: host.clone(),
            load: usage
                .reported_load(now)
                .map(|(load, at)| (load, age_ms(at))),
            since_event_ms: usage
                .time_since_event(now)
                .filter(|elapsed| *elapsed < GOSSIPED_EVENT_AGE_MAX)
                .map(|elapsed| elapsed.as_millis() as u64),
        });
        let has_content =
            |load: &GossipedLoad| load.load.is_some() || load.since_event_ms.is_some();
        GossipPayload {
            uses: Vec::new(),
            loads: loads.filter(has_content).collect(),
            stalled,
            limits,
            leaving,
            departures,
            paces,
            demand,
        }
    }

    /// Applies a datagram of a peer. It is ignored if it is outdated.
    pub fn on_peer_message(&self, message: &PeerMessage) {
        let now = self.clock.now();
        let mut inner = self.inner();
        let is_accepted = inner.peers.on_message(message, now);
        if is_accepted {
            inner.apply_peer_loads(message, now);
            let demand = &mut inner.demand;
            demand.on_gossip(&message.entry, &message.demand, now);
            let is_gossiped_on = !inner.peers.is_full_mesh();
            for (host, age_ms) in &message.stalled {
                let at = now
                    .checked_sub(Duration::from_millis(*age_ms))
                    .unwrap_or(now);
                let is_known = inner
                    .stalled_to_gossip
                    .iter()
                    .any(|(known, _)| known == host);
                if is_gossiped_on && !is_known {
                    inner.stalled_to_gossip.push((host.clone(), at));
                }
                inner.stalled_targets.push(host.clone());
            }
            // Only the lease holder drains the list.
            let excess = inner
                .stalled_targets
                .len()
                .saturating_sub(STALLED_TARGETS_MAX);
            inner.stalled_targets.drain(..excess);
        }
        drop(inner);
        if is_accepted {
            // The revisions in the datagram are of this history.
            self.on_history_told(message.history);
            self.with_quarantine(|quarantine, now| quarantine.on_gossip(&message.quarantine, now));
            self.on_gossiped_leaving(&message.leaving);
            self.on_gossiped_departures(&message.departures);
            self.inner().paces.on_gossip(&message.paces, now);
            let own = &self.settings.entry;
            self.with_target_limits(|limits, now| {
                limits.on_gossip(own, &message.entry, &message.limits, now);
            });
        }
    }

    /// Returns whether this entry takes requests that other entries pass on.
    pub fn can_forward(&self) -> bool {
        self.lifecycle.stage() == Stage::Ready && !self.is_cut_off()
    }

    /// Returns the number of requests received since the start.
    pub fn request_count(&self) -> u64 {
        self.inner().request_count
    }

    fn update_readiness(&self) {
        let inner = self.inner();
        let is_ready = inner.document.is_some() && inner.has_read_targets;
        drop(inner);
        if is_ready && self.lifecycle.advance(Stage::Ready) {
            log::info!("ready for callers");
        }
    }
}

impl Inner {
    pub(super) fn forget_unused_documents(&mut self) {
        let is_used = |document: &Weak<RouteDocument>| document.strong_count() > 0;
        self.replaced_documents.retain(is_used);
    }

    fn update_serving(&mut self, now: Instant) {
        let Some(document) = &self.document else {
            return;
        };
        self.serving = serving_targets(&self.host_tracker, document, now);
        self.update_paces(now);
        let tracker = &self.host_tracker;
        self.usage
            .forget_unknown(|host| tracker.get(host).is_some());
    }

    /// Returns the number of serving targets of each service with a host record, including 0.
    fn serving_counts(&self) -> Vec<(ServiceId, i64)> {
        let mut services: Vec<ServiceId> = self
            .host_tracker
            .iter()
            .map(|tracked| tracked.record.service.clone())
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
