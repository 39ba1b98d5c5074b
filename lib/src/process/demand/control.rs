//! Decides the shares of all services at the entry that forms groups.

use std::time::Duration;
use std::time::Instant;

use super::collector::DemandTotals;
use super::decision::DemandSample;
use super::decision::ShareChange;
use super::decision::ShareDecision;
use super::needs::WorkNeeds;
use super::needs::urgency_weight;
use crate::ids::ServiceId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;
use crate::version::routes::EngineProfile;
use crate::version::routes::ModelProfile;

/// The interval of samples.
pub(super) const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// How long after the acquisition of the lease the needs count as being measured. Entries of an
/// earlier version do not report any.
const MEASURING_TIME_MAX: Duration = Duration::from_secs(40);
/// How long at least half of the entries must have reported before their sum counts. A new lease holder
/// hears from entry after entry, as its name is passed on.
const COVERAGE_TIME: Duration = Duration::from_secs(3);

/// What group formation has to know of the work of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkShares {
    /// Each model's share of the hosts, in the order of the profile.
    pub shares: Vec<f64>,
    /// What the models need, as far as it is known.
    pub needs: WorkNeeds,
    /// The last sample, for the metrics.
    pub sample: DemandSample,
    /// The change of the shares, if they have changed.
    pub change: Option<ShareChange>,
}

impl WorkShares {
    /// Logs the change of the shares, one line for each model.
    pub fn log_change(&self, service: &ServiceId, profile: &EngineProfile) {
        let Some(change) = &self.change else {
            return;
        };
        for (index, model) in profile.models.iter().enumerate() {
            log::info!(
                service:% = service, weights:% = model.weights, reason:% = change.reason,
                from = change.from[index], to = change.to[index],
                demand_hosts = change.demand[index], capacity_hosts = change.hosts[index];
                "model's share of the hosts changes"
            );
        }
    }
}

#[derive(Clone, Debug)]
struct ServiceDecision {
    service: ServiceId,
    decision: ShareDecision,
}

impl Keyed for ServiceDecision {
    type Key = ServiceId;

    fn key(&self) -> &ServiceId {
        &self.service
    }
}

/// The decisions of a lease holder. They begin with the configured shares when the lease is acquired.
#[derive(Clone, Debug)]
pub struct DemandControl {
    acquired_at: Instant,
    services: SortedVec<ServiceDecision>,
    /// Since when at least half of the entries have reported.
    covered_since: Option<Instant>,
    /// When the reports were last summed.
    summed_at: Option<Instant>,
}

impl DemandControl {
    /// Creates the decisions of an entry that has acquired the lease.
    pub fn new(acquired_at: Instant) -> Self {
        Self {
            acquired_at,
            services: SortedVec::new(),
            covered_since: None,
            summed_at: None,
        }
    }

    /// Returns whether the reports should be summed and sampled now.
    pub fn is_due(&self, now: Instant) -> bool {
        let is_past = |at: Instant| now.saturating_duration_since(at) >= SAMPLE_INTERVAL;
        self.summed_at.is_none_or(is_past)
    }

    /// Records how many of the entries have reported, this one included.
    ///
    /// An entry that lacks the reports of most others keeps the last shares: it may be cut off, and
    /// sees a part of the work only.
    pub fn on_coverage(&mut self, totals: &DemandTotals, entries: usize, now: Instant) {
        self.summed_at = Some(now);
        if totals.reporting * 2 >= entries {
            self.covered_since.get_or_insert(now);
        } else {
            self.covered_since = None;
        }
    }

    /// Returns the work of a service's models, with a new sample unless too few entries have reported.
    /// `hosts` are the hosts in groups of
    /// each model.
    pub fn sample(
        &mut self,
        service: &ServiceId,
        profile: &EngineProfile,
        hosts: Vec<f64>,
        totals: &DemandTotals,
        now: Instant,
    ) -> WorkShares {
        let is_covered = self
            .covered_since
            .is_some_and(|at| now.saturating_duration_since(at) >= COVERAGE_TIME);
        let shares: Vec<f64> = profile.models.iter().map(|m| m.expected_share).collect();
        let sizes: Vec<usize> = profile.models.iter().map(|m| m.group_size).collect();
        let create = || ServiceDecision {
            service: service.clone(),
            decision: ShareDecision::new(&shares, &sizes),
        };
        let known = self.services.get_or_insert_with(service, create);
        if !known.decision.is_for(&shares, &sizes) {
            *known = create();
        }
        let sum = |model: &ModelProfile, weight: fn(u8) -> f64| -> f64 {
            let demands = totals.of_model(service, &model.weights);
            demands.map(|d| d.hosts * weight(d.priority)).sum()
        };
        let models = profile.models.iter();
        let sample = DemandSample {
            demand: models.clone().map(|model| sum(model, |_| 1.0)).collect(),
            urgent_demand: models.map(|model| sum(model, urgency_weight)).collect(),
            hosts,
        };
        let change = is_covered
            .then(|| known.decision.on_sample(sample.clone(), now))
            .flatten();
        let mut needs = known.decision.needs(now);
        let is_measuring = now.saturating_duration_since(self.acquired_at) < MEASURING_TIME_MAX;
        if !needs.are_known() && is_measuring {
            needs = WorkNeeds::pending();
        }
        WorkShares {
            shares: known.decision.shares().to_vec(),
            needs,
            sample,
            change,
        }
    }
}
