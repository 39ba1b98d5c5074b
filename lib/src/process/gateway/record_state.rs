//! The platform's records in the state of a gateway: their logs, their age, and where they are read.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::change_log::ChangeLog;
use super::state::GatewayState;
use crate::clock::Clock;
use crate::ids::DataCentreId;
use crate::ids::HostId;
use crate::ids::Revision;
use crate::platform::feed::Changes;
use crate::platform::feed::RecordSource;
use crate::process::evacuation::EvacuationRecord;
use crate::process::evacuation::OperatorRecord;
use crate::process::unreadable_configuration::ConfigurationRead;
use crate::process::unreadable_configuration::ReadabilityChange;
use crate::target::record::TargetRecord;
use crate::version::routes::RouteDocument;

/// The delay between two calls for targets, per known entry.
const TARGETS_BATCH_DELAY_PER_ENTRY: Duration = Duration::from_millis(9);
/// The longest such delay, well within the drain time of targets that leave.
const TARGETS_BATCH_DELAY_MAX: Duration = Duration::from_millis(700);
/// The delay at the lease holder, which forms groups.
const TARGETS_BATCH_DELAY_LEASE_HOLDER: Duration = Duration::from_millis(25);

/// A read of records, for the log.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecordRead {
    pub(super) source: RecordSource,
    /// The size of the answer.
    pub(super) size_bytes: usize,
    /// The time from the call to the end of the answer, which includes a wait for changes.
    pub(super) took: Duration,
}

/// Why records are not passed on to another entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum NotRelayed {
    /// There are none, or the platform has not confirmed them for too long.
    NotConfirmed,
    /// The newest state of one of them can't be read.
    Unreadable,
}

impl<C> GatewayState<C>
where
    C: Clock,
{
    /// Changes the log of target records, and wakes the requests of other entries that wait for it.
    pub fn with_target_log<F>(&self, change: F)
    where
        F: FnOnce(&mut ChangeLog<TargetRecord>, Instant),
    {
        let now = self.clock.now();
        change(&mut self.inner().target_log, now);
        self.records_changed.notify_waiters();
    }

    /// Changes the log of the operator's records, and wakes the requests of other entries that wait
    /// for it.
    pub fn with_operator_log<F>(&self, change: F)
    where
        F: FnOnce(&mut ChangeLog<OperatorRecord>, Instant),
    {
        let now = self.clock.now();
        change(&mut self.inner().operator_log, now);
        self.records_changed.notify_waiters();
    }

    /// Returns the time as of which the target records are known to be complete.
    pub fn targets_confirmed_at(&self) -> Option<Instant> {
        self.inner().target_log.confirmed_at()
    }

    /// Returns the time as of which the configuration is known to be the latest.
    pub fn document_confirmed_at(&self) -> Option<Instant> {
        self.inner().operator_log.confirmed_at()
    }

    /// Returns where the configuration was read last; `None` before the first read.
    pub fn document_source(&self) -> Option<RecordSource> {
        self.inner().document_read.map(|read| read.source)
    }

    /// Updates the metrics of the records' ages, of what they keep in memory, and of the removals
    /// that are held back.
    pub(super) fn update_record_metrics(&self) {
        let now = self.clock.now();
        let mut inner = self.inner();
        let age_ms = |age: Duration| i64::try_from(age.as_millis()).unwrap_or(i64::MAX);
        if let Some(age) = inner.operator_log.age(now) {
            self.metrics.configuration_age_ms.set(age_ms(age));
        }
        if let Some(age) = inner.target_log.age(now) {
            self.metrics.target_records_age_ms.set(age_ms(age));
        }
        let hosts = inner.host_tracker.iter();
        let held_back = hosts.filter(|tracked| tracked.unlisted_from.is_some_and(|at| now < at));
        let held_back = i64::try_from(held_back.count()).unwrap_or(i64::MAX);
        self.metrics.held_back_removals.set(held_back);
        inner.forget_unused_documents();
        let documents = usize::from(inner.document.is_some()) + inner.replaced_documents.len();
        let documents = i64::try_from(documents).unwrap_or(i64::MAX);
        self.metrics.configurations_in_memory.set(documents);
        let body_bytes = i64::try_from(self.body_budget.held_bytes()).unwrap_or(i64::MAX);
        self.metrics.request_body_bytes.set(body_bytes);
        let logs = [
            ("configuration", inner.operator_log.size_bytes()),
            ("targets", inner.target_log.size_bytes()),
        ];
        for (records, size_bytes) in logs {
            self.metrics.set_change_log_bytes(records, size_bytes);
        }
    }

    /// Returns the delay between two reads of the target records. Changes in that time are read by
    /// one call, and the rate of calls of all entries together hardly grows with their number.
    pub fn targets_batch_delay(&self) -> Duration {
        if self.metrics.holds_lease.get() > 0 {
            return TARGETS_BATCH_DELAY_LEASE_HOLDER;
        }
        let entries = self.with_peers(|peers| peers.entry_count());
        let entries = u32::try_from(entries).unwrap_or(u32::MAX);
        TARGETS_BATCH_DELAY_PER_ENTRY
            .saturating_mul(entries)
            .min(TARGETS_BATCH_DELAY_MAX)
    }

    /// Returns whether the result is a snapshot, and the target records: those changed after
    /// `since`, or a snapshot of all if `since` is `None` or the log does not go back that far.
    ///
    /// Fails if the last confirmation by the platform is older than `age_max`.
    pub(super) fn target_changes(
        &self,
        since: Option<Revision>,
        age_max: Duration,
    ) -> Result<(bool, Changes<TargetRecord>), NotRelayed> {
        let now = self.clock.now();
        let inner = self.inner();
        let revision = inner.target_log.confirmed_revision(age_max, now);
        let revision = revision.ok_or(NotRelayed::NotConfirmed)?;
        if let Some(changes) = since.and_then(|since| inner.target_log.changes_since(since)) {
            return Ok((false, changes));
        }
        let listed = inner
            .host_tracker
            .iter()
            .filter(|tracked| tracked.unlisted_from.is_none());
        Ok((
            true,
            Changes {
                changed: listed.map(|tracked| tracked.record.clone()).collect(),
                removed: Vec::new(),
                unreadable: Vec::new(),
                revision,
            },
        ))
    }

    /// Returns the keys of all targets that are or were listed.
    pub(super) fn known_target_keys(&self) -> Vec<String> {
        let inner = self.inner();
        let hosts = inner.host_tracker.iter();
        hosts
            .map(|tracked| tracked.record.host.to_string())
            .collect()
    }

    /// Returns the keys of all targets that are listed.
    pub(super) fn listed_target_keys(&self) -> Vec<String> {
        let inner = self.inner();
        let listed = inner.host_tracker.iter();
        let listed = listed.filter(|tracked| tracked.unlisted_from.is_none());
        listed
            .map(|tracked| tracked.record.host.to_string())
            .collect()
    }

    /// Drops the states of targets that are known already.
    pub(super) fn retain_target_news(&self, states: &mut Changes<TargetRecord>) {
        let inner = self.inner();
        let listed = |host: &HostId| {
            let tracked = inner.host_tracker.get(host);
            tracked.filter(|tracked| tracked.unlisted_from.is_none())
        };
        states.changed.retain(|record| {
            let known = listed(&record.host);
            known.is_none_or(|known| known.record != *record)
        });
        states.removed.retain(|key| {
            let host = key.parse::<HostId>();
            host.is_ok_and(|host| listed(&host).is_some())
        });
    }

    /// Returns the feed keys of the configuration and of the evacuations of all known data centres.
    pub(super) fn known_operator_keys(&self) -> Vec<String> {
        let inner = self.inner();
        let of_hosts = inner.host_tracker.iter();
        let of_hosts = of_hosts.map(|tracked| &tracked.record.data_centre);
        let of_entries = inner.peers.data_centres();
        let evacuated = inner.evacuations.iter().map(|record| &record.data_centre);
        let mut data_centres: Vec<&DataCentreId> =
            of_hosts.chain(of_entries).chain(evacuated).collect();
        data_centres.sort_unstable();
        data_centres.dedup();
        let evacuations = data_centres.into_iter().map(EvacuationRecord::feed_key_of);
        let configuration = OperatorRecord::CONFIGURATION_FEED_KEY.to_owned();
        std::iter::once(configuration).chain(evacuations).collect()
    }

    /// Returns whether the result is a snapshot, and the operator's records: those changed after
    /// `since`, or a snapshot of all if `since` is `None` or the log does not go back that far.
    ///
    /// Fails if there is no configuration, or a newer one that can't be read, or the last confirmation
    /// by the platform is older than `age_max`.
    pub(super) fn operator_changes(
        &self,
        since: Option<Revision>,
        age_max: Duration,
    ) -> Result<(bool, Changes<OperatorRecord>), NotRelayed> {
        let now = self.clock.now();
        let inner = self.inner();
        if inner.unreadable_configuration.is_unreadable() {
            return Err(NotRelayed::Unreadable);
        }
        let revision = inner.operator_log.confirmed_revision(age_max, now);
        let revision = revision.ok_or(NotRelayed::NotConfirmed)?;
        if let Some(changes) = since.and_then(|since| inner.operator_log.changes_since(since)) {
            return Ok((false, changes));
        }
        let document = inner.document.as_ref();
        let document = RouteDocument::clone(document.ok_or(NotRelayed::NotConfirmed)?);
        let evacuations = inner.evacuations.iter().cloned();
        let mut records = vec![OperatorRecord::Configuration(document)];
        records.extend(evacuations.map(OperatorRecord::Evacuation));
        Ok((
            true,
            Changes {
                changed: records,
                removed: Vec::new(),
                unreadable: Vec::new(),
                revision,
            },
        ))
    }

    /// Returns the entry to read records from, or `None` if this entry reads the platform itself.
    pub fn upstream(&self) -> Option<SocketAddr> {
        // The lease holder reads the platform itself, so that it gets changes first.
        if self.metrics.holds_lease.get() > 0 {
            return None;
        }
        let now = self.clock.now();
        self.inner().peers.upstream(now)
    }

    /// Returns the entry to read the operator's records from, or `None` if this entry reads the platform
    /// itself.
    pub(super) fn operator_upstream(&self) -> Option<SocketAddr> {
        let now = self.clock.now();
        let configuration = self.inner().unreadable_configuration;
        let upstream = self.upstream()?;
        (!configuration.must_read_platform(now)).then_some(upstream)
    }

    /// Returns whether there is a newer configuration than the one in force, which can't be read.
    pub(super) fn is_configuration_unreadable(&self) -> bool {
        self.inner().unreadable_configuration.is_unreadable()
    }

    /// Returns whether this entry, or another one that was asked for it lately, can't read the newest
    /// configuration.
    pub(super) fn is_configuration_unreadable_somewhere(&self) -> bool {
        let now = self.clock.now();
        self.inner()
            .unreadable_configuration
            .must_read_platform(now)
    }

    /// Records that another entry can't read the newest configuration.
    pub(super) fn on_configuration_unreadable_elsewhere(&self) {
        let now = self.clock.now();
        let configuration = &mut self.inner().unreadable_configuration;
        configuration.on_unreadable_elsewhere(now);
    }

    /// Returns what an answer says of the configuration, before it is applied.
    pub(super) fn configuration_read(
        &self,
        records: &[OperatorRecord],
        unreadable: &[String],
        revision: Revision,
    ) -> ConfigurationRead {
        let inner = self.inner();
        let mut configurations = records.iter().filter_map(OperatorRecord::configuration);
        let source = inner.document_read.map(|read| read.source);
        ConfigurationRead {
            source: source.unwrap_or(RecordSource::Platform),
            revision,
            is_unreadable: unreadable
                .iter()
                .any(|key| key == OperatorRecord::CONFIGURATION_FEED_KEY),
            version: configurations.next().map(|document| document.version),
            known_revision: inner.operator_log.revision(),
            known_version: inner.document.as_ref().map(|document| document.version),
        }
    }

    /// Records what an answer says of the configuration. This is done after its records are applied, so
    /// that no request takes the version before for the latest, and before they are confirmed to other
    /// entries.
    pub(super) fn on_configuration_read(&self, read: &ConfigurationRead) {
        let change = self.inner().unreadable_configuration.on_read(read);
        let version = read.known_version.map(|version| version.0);
        match change {
            Some(ReadabilityChange::Lost) => {
                self.metrics.configuration_unreadable.set(1);
                log::error!(
                    version = version, revision = read.revision.0;
                    "the newest configuration can't be read; requests for what the one in force lacks \
                     are refused for the moment. Hint: write one that this version of the program knows, \
                     or update the program"
                );
            }
            Some(ReadabilityChange::Regained) => {
                self.metrics.configuration_unreadable.set(0);
                log::info!(
                    replaced = version, version = read.version.map(|version| version.0),
                    revision = read.revision.0;
                    "the newest configuration can be read again"
                );
            }
            None => {}
        }
    }

    /// Returns an entry to read records from while the platform can't be read here; `None` without
    /// a usable one.
    pub fn fallback_upstream(&self) -> Option<SocketAddr> {
        let now = self.clock.now();
        self.inner().peers.fallback_upstream(now)
    }

    /// Records that the entry at `address` failed to serve records.
    pub fn on_upstream_failed(&self, address: SocketAddr) {
        let now = self.clock.now();
        self.inner().peers.on_upstream_failed(address, now);
    }
}
