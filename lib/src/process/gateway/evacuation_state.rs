//! The evacuations in the state of a gateway: how they are applied, and what is told of them.

use std::time::Instant;

use super::state::GatewayState;
use super::state::Inner;
use crate::clock::Clock;
use crate::ids::DataCentreId;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::platform::feed::Changes;
use crate::platform::feed::Snapshot;
use crate::process::evacuation::EvacuationChange;
use crate::process::evacuation::EvacuationRecord;
use crate::process::evacuation::Evacuations;
use crate::process::evacuation::OperatorRecord;
use crate::process::formation::TrackedHost;
use crate::request::forward::context::NoTarget;
use crate::target::record::Availability;

impl Inner {
    /// Returns whether a host is in an evacuated data centre.
    pub(super) fn is_evacuated(&self, host: &HostId) -> bool {
        let tracked = self.host_tracker.get(host);
        tracked.is_some_and(|tracked| tracked.is_evacuated)
    }

    /// Returns the number of targets of a service in evacuated data centres, if all that are listed and
    /// ready are there; otherwise `None`.
    fn all_evacuated(&self, service: &ServiceId, now: Instant) -> Option<usize> {
        let is_ready = |tracked: &&TrackedHost| {
            tracked.record.service == *service
                && tracked.is_listed(now)
                && tracked.availability() == Availability::Ready
        };
        let mut count = 0;
        for tracked in self.host_tracker.iter().filter(is_ready) {
            if !tracked.is_evacuated {
                return None;
            }
            count += 1;
        }
        (count > 0).then_some(count)
    }

    /// Returns why no target of a service is serving.
    pub(super) fn absence(&self, service: &ServiceId, now: Instant) -> NoTarget {
        if let Some(targets) = self.all_evacuated(service, now) {
            return NoTarget::Evacuated { targets };
        }
        let leaving = self.all_leaving(service, now);
        leaving.map_or(NoTarget::Absent, |targets| NoTarget::Leaving { targets })
    }

    fn lists_data_centre(&self, data_centre: &DataCentreId) -> bool {
        let mut hosts = self.host_tracker.iter();
        hosts.any(|tracked| tracked.record.data_centre == *data_centre)
    }
}

impl<C> GatewayState<C>
where
    C: Clock,
{
    /// Applies all records of the operator, and returns their changes, which entries that read here are
    /// sent instead of the snapshot.
    ///
    /// The evacuations are applied first: an entry is ready for callers as soon as it has a configuration.
    pub(super) fn apply_operator_snapshot(
        &self,
        snapshot: Snapshot<OperatorRecord>,
    ) -> Changes<OperatorRecord> {
        let revision = snapshot.revision;
        let evacuations = OperatorRecord::evacuations_of(&snapshot.records);
        let changes = self.change_evacuations(|known| known.on_snapshot(&evacuations, revision));
        let known = self.document().map(|document| document.version);
        let is_newer = |record: &OperatorRecord| {
            let document = record.configuration();
            document.is_some_and(|document| known.is_none_or(|known| known < document.version))
        };
        let mut changed: Vec<OperatorRecord> =
            snapshot.records.into_iter().filter(is_newer).collect();
        self.apply_configurations(&changed);
        let mut removed = Vec::new();
        for change in changes {
            match change {
                EvacuationChange::Begun(record) | EvacuationChange::Rewritten(record) => {
                    changed.push(OperatorRecord::Evacuation(record));
                }
                EvacuationChange::Ended { data_centre, .. } => {
                    removed.push(EvacuationRecord::feed_key_of(&data_centre));
                }
            }
        }
        Changes {
            changed,
            removed,
            unreadable: snapshot.unreadable,
            revision,
        }
    }

    /// Applies changes of the operator's records, and returns those of them that are not outdated.
    pub(super) fn apply_operator_changes(
        &self,
        changes: Changes<OperatorRecord>,
    ) -> Changes<OperatorRecord> {
        let Changes {
            mut changed,
            mut removed,
            unreadable,
            revision,
        } = changes;
        let evacuations = OperatorRecord::evacuations_of(&changed);
        let ended = OperatorRecord::ended_evacuations_of(&removed);
        self.change_evacuations(|known| known.on_changes(&evacuations, &ended, revision));
        self.apply_configurations(&changed);
        let inner = self.inner();
        changed.retain(|record| {
            let evacuation = record.evacuation();
            evacuation.is_none_or(|evacuation| inner.evacuations.is_current(evacuation))
        });
        let is_in_force = |key: &String| {
            let mut known = inner.evacuations.iter();
            known.any(|known| EvacuationRecord::feed_key_of(&known.data_centre) == *key)
        };
        removed.retain(|key| !is_in_force(key));
        Changes {
            changed,
            removed,
            unreadable,
            revision,
        }
    }

    fn apply_configurations(&self, records: &[OperatorRecord]) {
        for document in records.iter().filter_map(OperatorRecord::configuration) {
            self.apply_document(document.clone());
        }
    }

    fn change_evacuations<F>(&self, change: F) -> Vec<EvacuationChange>
    where
        F: FnOnce(&mut Evacuations) -> Vec<EvacuationChange>,
    {
        let mut inner = self.inner();
        let changes = change(&mut inner.evacuations);
        let evacuated = inner.evacuations.iter();
        let evacuated: Vec<DataCentreId> =
            evacuated.map(|record| record.data_centre.clone()).collect();
        drop(inner);
        if !changes.iter().any(EvacuationChange::is_transition) {
            return changes;
        }
        let count = i64::try_from(evacuated.len()).unwrap_or(i64::MAX);
        self.metrics.evacuation.evacuated_data_centres.set(count);
        self.update_host_tracker(|tracker, _| tracker.set_evacuated(evacuated));
        for change in &changes {
            self.log_evacuation_change(change);
        }
        changes
    }

    fn log_evacuation_change(&self, change: &EvacuationChange) {
        let now = self.clock.now();
        let inner = self.inner();
        let source = inner.document_read.map(|read| read.source.to_string());
        let age = inner.operator_log.age(now);
        let confirmed_ms_ago = age.map(|age| age.as_millis() as u64);
        let hosts_in = |data_centre: &DataCentreId| {
            let hosts = inner.host_tracker.iter();
            let hosts = hosts.filter(|tracked| tracked.record.data_centre == *data_centre);
            hosts.filter(|tracked| tracked.is_listed(now)).count()
        };
        match change {
            EvacuationChange::Begun(record) => {
                log::info!(
                    data_centre:% = record.data_centre, revision = record.revision.0,
                    source = source.as_deref(), confirmed_ms_ago = confirmed_ms_ago,
                    hosts = hosts_in(&record.data_centre);
                    "evacuation begins"
                );
                self.metrics.evacuation.count_change("begin");
                if inner.has_read_targets {
                    warn_if_unknown(&inner, &record.data_centre);
                }
            }
            EvacuationChange::Ended {
                data_centre,
                revision,
            } => {
                log::info!(
                    data_centre:% = data_centre, revision = revision.0,
                    source = source.as_deref(), confirmed_ms_ago = confirmed_ms_ago,
                    hosts = hosts_in(data_centre);
                    "evacuation ends"
                );
                self.metrics.evacuation.count_change("end");
            }
            EvacuationChange::Rewritten(_) => {}
        }
    }

    /// Logs evacuations of names that are no data centre of a host, once the hosts are known.
    pub(super) fn log_unknown_evacuations(&self) {
        let inner = self.inner();
        for record in inner.evacuations.iter() {
            warn_if_unknown(&inner, &record.data_centre);
        }
    }

    /// Logs when the hosts of all data centres are evacuated, and when that ends.
    pub(super) fn check_all_evacuated(&self, inner: &mut Inner, now: Instant) {
        let (mut evacuated, mut others) = (0_usize, 0_usize);
        let hosts = inner.host_tracker.iter();
        for tracked in hosts.filter(|tracked| tracked.is_listed(now)) {
            if tracked.is_evacuated {
                evacuated += 1;
            } else {
                others += 1;
            }
        }
        let count = i64::try_from(evacuated).unwrap_or(i64::MAX);
        self.metrics.evacuation.evacuated_hosts.set(count);
        let is_all = evacuated > 0 && others == 0;
        if is_all && !inner.is_all_evacuated {
            log::error!(
                hosts = evacuated;
                "all data centres that have hosts are evacuated; requests are refused. \
                 Hint: end the evacuation of one of them"
            );
        } else if !is_all && inner.is_all_evacuated {
            log::info!(hosts = others; "hosts of a data centre that is not evacuated are listed");
        }
        inner.is_all_evacuated = is_all;
    }
}

fn warn_if_unknown(inner: &Inner, data_centre: &DataCentreId) {
    if !inner.lists_data_centre(data_centre) {
        log::warn!(
            data_centre:% = data_centre;
            "evacuated data centre has no hosts. Hint: check the name in the operator's row"
        );
    }
}
