//! The state of the targets of all services, in one shard per service.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::oneshot;

use crate::ids::DataCentreId;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::platform::ListedHost;
use crate::platform::rows::GroupRow;
use crate::process::presence::ReportSource;
use crate::process::service_targets::ServiceTargets;
use crate::request::admission::Ticket;
use crate::request::admission_controller::AdmissionDecision;
use crate::request::entry_context::ServicePool;
use crate::request::fair_queue::QueueKey;
use crate::request::retry::RetryBudget;
use crate::request::route::ChosenTarget;
use crate::request::route::FinishedAnswer;
use crate::request::route::RouteError;
use crate::request::route::TargetQuery;
use crate::request::spill::NoSpillReason;
use crate::request::spill::ServiceSummary;
use crate::request::spill::SpillQuery;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::target::wire::HostReport;
use crate::version::document::Document;

#[derive(Clone, Debug)]
struct ServiceShard {
    service: ServiceId,
    targets: Arc<Mutex<ServiceTargets>>,
}

impl Keyed for ServiceShard {
    type Key = ServiceId;

    fn key(&self) -> &ServiceId {
        &self.service
    }
}

/// The targets of all services. Each service has its own lock; clones share the state.
#[derive(Clone, Debug, Default)]
pub struct ServiceShards {
    shards: Arc<RwLock<SortedVec<ServiceShard>>>,
    /// The hosts of the data centre that were ever listed; reports are mapped to services by them.
    hosts: Arc<RwLock<SortedVec<ListedHost>>>,
    /// The number of other entries in the data centre, which use the same targets.
    peer_count: Arc<AtomicU32>,
}

impl ServiceShards {
    /// Applies a new document: adds and removes services and updates their settings.
    pub fn on_document(&self, document: &Document, now: Instant) {
        let mut shards = self.shards.write().unwrap_or_else(PoisonError::into_inner);
        shards.retain(|shard| document.services.contains_key(&shard.service));
        for service in &document.services {
            let create = || ServiceShard {
                service: service.name.clone(),
                targets: Arc::new(Mutex::new(ServiceTargets::new(service, document, now))),
            };
            let shard = shards.get_or_insert_with(&service.name, create);
            lock(&shard.targets).set_settings(service, document);
        }
    }

    /// Applies the platform's host list, reduced to this data centre.
    pub fn on_listed_hosts(&self, hosts: Vec<ListedHost>, now: Instant) {
        for shard in self.all_shards() {
            let is_of_service = |host: &&ListedHost| host.service == shard.service;
            let of_service = hosts.iter().filter(is_of_service).cloned().collect();
            lock(&shard.targets).gate.on_listed_hosts(of_service, now);
        }
        let mut known_hosts = self.hosts.write().unwrap_or_else(PoisonError::into_inner);
        for host in hosts {
            known_hosts.insert(host);
        }
    }

    /// Applies the rows of all groups of this data centre; groups without a row are dropped.
    pub fn on_groups(&self, groups: &[GroupRow], now: Instant) {
        for shard in self.all_shards() {
            let is_of_service = |group: &&GroupRow| group.service == shard.service;
            let of_service = groups.iter().filter(is_of_service).cloned().collect();
            lock(&shard.targets).gate.on_groups(of_service, now);
        }
    }

    /// Applies a report that a host made `age` ago; ignored if the host was never listed.
    pub fn on_report(&self, report: HostReport, age: Duration, source: ReportSource, now: Instant) {
        let Some(shard) = self.shard_of_host(&report.host) else {
            return;
        };
        let mut targets = lock(&shard.targets);
        targets.gate.on_report(report, age, source, now);
    }

    /// Records that a host could not be reached; it gets no requests until it reports again.
    pub fn on_unreachable(&self, host: &HostId, now: Instant) {
        if let Some(shard) = self.shard_of_host(host) {
            lock(&shard.targets).gate.on_unreachable(host, now);
        }
    }

    /// Records that a peer has marked a host as leaving; it gets no new requests.
    pub fn on_leaving(&self, host: &HostId, now: Instant) {
        if let Some(shard) = self.shard_of_host(host) {
            lock(&shard.targets).gate.on_leaving(host, now);
        }
    }

    /// Applies another data centre's summary of a service, which was current at `as_of`.
    pub fn on_remote_summary(&self, service: &ServiceId, summary: ServiceSummary, as_of: Instant) {
        if let Some(shard) = self.shard(service) {
            lock(&shard.targets).spill.on_summary(summary, as_of);
        }
    }

    /// Updates each service's admission capacity and ends the wait of expired requests.
    pub fn tick(&self, now: Instant) {
        let entries = self.entry_count();
        for shard in self.all_shards() {
            lock(&shard.targets).tick(&shard.service, entries, now);
        }
    }

    /// Calls `inspect` with each service's targets, with one service locked at a time.
    pub fn for_each<F>(&self, mut inspect: F)
    where
        F: FnMut(&ServiceId, &mut ServiceTargets),
    {
        for shard in self.all_shards() {
            inspect(&shard.service, &mut lock(&shard.targets));
        }
    }

    /// Sets the number of other entries in the data centre, which use the same targets.
    pub fn set_peer_count(&self, peer_count: u32) {
        self.peer_count.store(peer_count, Ordering::Relaxed);
    }

    fn entry_count(&self) -> u32 {
        self.peer_count.load(Ordering::Relaxed).saturating_add(1)
    }

    /// Returns the hosts of this data centre that were ever listed, sorted by name.
    pub fn listed_hosts(&self) -> Vec<ListedHost> {
        let hosts = self.hosts.read().unwrap_or_else(PoisonError::into_inner);
        hosts.iter().cloned().collect()
    }

    fn shard_of_host(&self, host: &HostId) -> Option<ServiceShard> {
        let hosts = self.hosts.read().unwrap_or_else(PoisonError::into_inner);
        self.shard(&hosts.get(host)?.service)
    }

    fn shard(&self, service: &ServiceId) -> Option<ServiceShard> {
        let shards = self.shards.read().unwrap_or_else(PoisonError::into_inner);
        shards.get(service).cloned()
    }

    fn all_shards(&self) -> Vec<ServiceShard> {
        let shards = self.shards.read().unwrap_or_else(PoisonError::into_inner);
        shards.iter().cloned().collect()
    }
}

impl ServicePool for ServiceShards {
    fn choose(
        &self,
        service: &ServiceId,
        query: TargetQuery<'_>,
        draw: u64,
        now: Instant,
    ) -> Result<ChosenTarget, RouteError> {
        let Some(shard) = self.shard(service) else {
            let service = service.clone();
            return Err(RouteError::NoOpenTarget { service });
        };
        let mut targets = lock(&shard.targets);
        targets.choose(service, query, draw, now)
    }

    fn is_open(&self, service: &ServiceId, chosen: &ChosenTarget, now: Instant) -> bool {
        let shard = self.shard(service);
        shard.is_some_and(|shard| lock(&shard.targets).is_open(chosen, now))
    }

    fn on_finished(
        &self,
        service: &ServiceId,
        target: &TargetId,
        answer: Option<FinishedAnswer>,
        now: Instant,
    ) {
        if let Some(shard) = self.shard(service) {
            lock(&shard.targets).router.on_finished(target, answer, now);
        }
    }

    fn on_failed(&self, service: &ServiceId, target: &TargetId, now: Instant) {
        if let Some(shard) = self.shard(service) {
            lock(&shard.targets).router.on_failed(target, now);
        }
    }

    fn request_admission(
        &self,
        service: &ServiceId,
        key: QueueKey,
        deadline: Instant,
        now: Instant,
    ) -> Option<(Ticket, oneshot::Receiver<AdmissionDecision>)> {
        let shard = self.shard(service)?;
        let mut targets = lock(&shard.targets);
        targets.tick(service, self.entry_count(), now);
        Some(targets.admission_controller.request(key, deadline, now))
    }

    fn release(&self, service: &ServiceId, service_time: Option<Duration>, now: Instant) {
        if let Some(shard) = self.shard(service) {
            lock(&shard.targets)
                .admission_controller
                .release(service_time, now);
        }
    }

    fn cancel(&self, service: &ServiceId, ticket: Ticket) {
        if let Some(shard) = self.shard(service) {
            lock(&shard.targets).admission_controller.cancel(ticket);
        }
    }

    fn with_retry_budget<F, R>(&self, service: &ServiceId, spend: F) -> Option<R>
    where
        F: FnOnce(&mut RetryBudget) -> R,
    {
        let shard = self.shard(service)?;
        let mut targets = lock(&shard.targets);
        Some(spend(&mut targets.retry_budget))
    }

    fn expected_time(&self, service: &ServiceId) -> Duration {
        let shard = self.shard(service);
        shard.map_or(Duration::ZERO, |shard| {
            lock(&shard.targets)
                .admission_controller
                .mean_service_time()
        })
    }

    fn local_wait(&self, service: &ServiceId, now: Instant) -> Option<Duration> {
        let shard = self.shard(service)?;
        let targets = lock(&shard.targets);
        let can_serve = targets.open_target_count(service, now) > 0;
        can_serve.then(|| targets.admission_controller.estimated_wait())
    }

    fn choose_spill(
        &self,
        service: &ServiceId,
        query: SpillQuery,
        now: Instant,
    ) -> Result<DataCentreId, NoSpillReason> {
        let shard = self.shard(service).ok_or(NoSpillReason::NoRoom)?;
        let mut targets = lock(&shard.targets);
        let chosen = targets.spill.choose(query, now)?;
        targets.spill.on_relayed(&chosen);
        Ok(chosen)
    }

    fn on_spill_refused(&self, service: &ServiceId, data_centre: &DataCentreId) {
        if let Some(shard) = self.shard(service) {
            lock(&shard.targets).spill.on_refused(data_centre);
        }
    }
}

fn lock(targets: &Mutex<ServiceTargets>) -> MutexGuard<'_, ServiceTargets> {
    targets.lock().unwrap_or_else(PoisonError::into_inner)
}
