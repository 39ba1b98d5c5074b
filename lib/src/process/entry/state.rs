//! State shared by all tasks of an entry.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio_util::task::TaskTracker;

use super::peers::EntryPeers;
use super::relays::RelayConnections;
use crate::attempt_ids::RandomAttemptIds;
use crate::clock::Clock;
use crate::platform::HostList;
use crate::platform::ObjectStore;
use crate::platform::Table;
use crate::process::exchange::ExchangeSettings;
use crate::process::exchange::StateExchange;
use crate::process::identity::EntryIdentity;
use crate::process::identity::incarnation_from_clock;
use crate::process::in_force::InForceCell;
use crate::process::lifecycle::Lifecycle;
use crate::process::limits::AccountLimits;
use crate::process::limits::LimitSettings;
use crate::process::membership::member::MemberIdentity;
use crate::process::metrics::Metrics;
use crate::process::peer::table::PeerTable;
use crate::process::services::ServiceShards;
use crate::process::settings::EntrySettings;
use crate::process::status::LeaseStatus;
use crate::request::claim::ClaimMachine;
use crate::request::claim::ClaimOwner;
use crate::request::claim::ClaimSettings;
use crate::request::claim::store::ClaimStore;
use crate::request::claim::store::ClaimTask;
use crate::request::claim::store::claim_task;
use crate::target::TargetClient;
use crate::version::head::HeadReadiness;

/// The platform's interfaces that an entry uses: table, object store and host list.
pub trait Platform: Table + ObjectStore + HostList {}

impl<P> Platform for P where P: Table + ObjectStore + HostList {}

/// The task that executes an entry's claims on the platform's table.
pub type EntryClaimTask<C, P> = ClaimTask<P, PeerTable<C>, RandomAttemptIds, C>;

/// State shared by all tasks of an entry.
#[derive(Debug)]
pub struct EntryState<C, P, T> {
    /// The source of monotonic and wall-clock time.
    pub clock: C,
    /// The client of the platform's services.
    pub platform: P,
    /// The client that sends requests and orders to targets and polls their reports.
    pub targets: T,
    /// The settings of this process, with the addresses that the peer and relay listeners are bound
    /// to.
    pub settings: EntrySettings,
    /// The name, incarnation and location of this process.
    pub identity: EntryIdentity,
    /// The configuration document in force.
    pub in_force: InForceCell,
    /// The state of the targets, by service.
    pub shards: ServiceShards,
    /// The stage between start and shutdown.
    pub lifecycle: Lifecycle,
    /// The metrics that operators scrape.
    pub metrics: Metrics,
    /// The clients of the other entries.
    pub peers: EntryPeers<C>,
    /// The connections to other data centres for relayed requests.
    pub relays: RelayConnections,
    /// The claims for non-idempotent requests.
    pub claims: ClaimStore,
    /// Access to the table through entries of other data centres, for claims while the platform is
    /// unreachable.
    pub peer_table: PeerTable<C>,
    /// Non-idempotent requests in flight, which continue after their callers disconnect.
    pub keyed_work: TaskTracker,
    limits: Mutex<AccountLimits>,
    exchange: Mutex<StateExchange>,
    head_readiness: Mutex<Option<HeadReadiness>>,
    lease: Mutex<Option<LeaseStatus>>,
    is_platform_reached: AtomicBool,
    has_host_list: AtomicBool,
    has_reports: AtomicBool,
}

impl<C, P, T> EntryState<C, P, T>
where
    C: Clock,
    P: Platform,
    T: TargetClient,
{
    /// Creates the state before any document, target or peer is known, and the claim task.
    ///
    /// Fails only if the metrics can't be registered.
    pub fn new(
        settings: EntrySettings,
        clock: C,
        platform: P,
        targets: T,
    ) -> Result<(Self, EntryClaimTask<C, P>), prometheus::Error> {
        let identity = EntryIdentity {
            entry: settings.entry.clone(),
            incarnation: incarnation_from_clock(&clock),
            data_centre: settings.data_centre.clone(),
            environment: settings.environment.clone(),
        };
        let limits = AccountLimits::new(
            identity.entry.clone(),
            identity.incarnation,
            LimitSettings::default(),
            clock.now(),
        );
        let member = MemberIdentity {
            entry: identity.entry.clone(),
            incarnation: identity.incarnation,
            data_centre: identity.data_centre.clone(),
            address: settings.listen.peers,
        };
        let exchange_settings = ExchangeSettings {
            seeds: settings.peers.seeds.clone(),
            ..ExchangeSettings::default()
        };
        let exchange = StateExchange::new(member, exchange_settings, clock.now());
        let owner = ClaimOwner {
            environment: identity.environment.clone(),
            entry: identity.entry.clone(),
            incarnation: identity.incarnation,
        };
        let claim_settings = ClaimSettings {
            has_peer_route: true,
            ..ClaimSettings::default()
        };
        let claim_machine = ClaimMachine::new(claim_settings, owner, RandomAttemptIds);
        let peer_table = PeerTable::default();
        let (claims, claim_task) = claim_task(
            claim_machine,
            platform.clone(),
            peer_table.clone(),
            clock.clone(),
        );
        let state = Self {
            peers: EntryPeers::default(),
            relays: RelayConnections::default(),
            claims,
            peer_table,
            keyed_work: TaskTracker::new(),
            limits: Mutex::new(limits),
            exchange: Mutex::new(exchange),
            head_readiness: Mutex::default(),
            lease: Mutex::default(),
            clock,
            platform,
            targets,
            settings,
            identity,
            in_force: InForceCell::default(),
            shards: ServiceShards::default(),
            lifecycle: Lifecycle::default(),
            metrics: Metrics::new()?,
            is_platform_reached: AtomicBool::new(false),
            has_host_list: AtomicBool::new(false),
            has_reports: AtomicBool::new(false),
        };
        Ok((state, claim_task))
    }

    /// Returns the limits of the client accounts, locked.
    pub fn limits(&self) -> MutexGuard<'_, AccountLimits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the state exchange with the other entries, locked.
    pub fn exchange(&self) -> MutexGuard<'_, StateExchange> {
        self.exchange.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the placement lease that the status reports; `None` if unknown.
    pub fn set_lease_status(&self, status: Option<LeaseStatus>) {
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner) = status;
    }

    /// Returns the placement lease as last read by this entry, or `None` if unknown.
    pub fn lease_status(&self) -> Option<LeaseStatus> {
        let lease = self.lease.lock();
        lease.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Records whether a platform call was answered; failures are counted by `call`.
    pub fn record_platform_call(&self, call: &str, is_reached: bool) {
        let was_reached = self.is_platform_reached.swap(is_reached, Ordering::Relaxed);
        if !is_reached {
            self.metrics
                .platform_failures
                .with_label_values(&[call])
                .inc();
        }
        if was_reached != is_reached {
            log::warn!(call = call, is_reached = is_reached; "platform reachability changed");
        }
    }

    /// Returns whether the last recorded platform call was answered.
    pub fn is_platform_reached(&self) -> bool {
        self.is_platform_reached.load(Ordering::Relaxed)
    }

    /// Records that the host list has been read.
    pub fn mark_host_list_read(&self) {
        self.has_host_list.store(true, Ordering::Relaxed);
    }

    /// Returns whether the host list has been read since the start.
    pub fn has_host_list(&self) -> bool {
        self.has_host_list.load(Ordering::Relaxed)
    }

    /// Records that the first round of polls of the hosts' reports has completed.
    pub fn mark_reports_polled(&self) {
        self.has_reports.store(true, Ordering::Relaxed);
    }

    /// Sets whether a document version is in force, or why there is none.
    pub fn set_head_readiness(&self, readiness: HeadReadiness) {
        let mut current = self
            .head_readiness
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *current = Some(readiness);
    }

    /// Returns why the entry can't serve yet, or `None` if it can.
    pub fn not_ready_because(&self) -> Option<String> {
        if self.in_force.get().is_none() {
            let readiness = self
                .head_readiness
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let reason = readiness.as_ref().map(ToString::to_string);
            return Some(reason.unwrap_or_else(|| String::from("the head was not asked for yet")));
        }
        if !self.has_host_list() {
            return Some(String::from("no list of hosts was read"));
        }
        if !self.has_reports.load(Ordering::Relaxed) {
            return Some(String::from(
                "the hosts were not asked for their reports yet",
            ));
        }
        None
    }
}
