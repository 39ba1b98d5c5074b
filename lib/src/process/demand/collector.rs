//! Collects the entries' reports of their demand.

use std::time::Duration;
use std::time::Instant;

use super::message::ModelDemand;
use crate::ids::EntryId;
use crate::ids::ServiceId;
use crate::ids::WeightsId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;

/// How long a report counts. Each entry reports several times in it; the callers of an entry that is
/// cut off come to others, which report them.
const REPORT_VALIDITY: Duration = Duration::from_secs(3);

#[derive(Clone, Debug)]
struct EntryReport {
    entry: EntryId,
    models: Vec<ModelDemand>,
    received_at: Instant,
}

impl Keyed for EntryReport {
    type Key = EntryId;

    fn key(&self) -> &EntryId {
        &self.entry
    }
}

/// The work that arrives at all entries with a recent report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandTotals {
    /// The sums by service, model and priority.
    pub models: Vec<ModelDemand>,
    /// The number of entries with a recent report.
    pub reporting: usize,
}

impl DemandTotals {
    /// Returns the work of a model by priority.
    pub fn of_model<'a>(
        &'a self,
        service: &'a ServiceId,
        weights: &'a WeightsId,
    ) -> impl Iterator<Item = &'a ModelDemand> {
        let models = self.models.iter();
        models.filter(move |demand| demand.service == *service && demand.weights == *weights)
    }
}

/// The last report of each entry.
#[derive(Clone, Debug, Default)]
pub struct DemandCollector {
    reports: SortedVec<EntryReport>,
}

impl DemandCollector {
    /// Records the report of an entry, which replaces its last one, and forgets the expired ones.
    pub fn on_report(&mut self, entry: &EntryId, models: &[ModelDemand], now: Instant) {
        // A rate that is no number would spoil the sum for good.
        let is_valid = |demand: &&ModelDemand| demand.hosts.is_finite() && demand.hosts >= 0.0;
        self.reports.insert(EntryReport {
            entry: entry.clone(),
            models: models.iter().filter(is_valid).cloned().collect(),
            received_at: now,
        });
        self.forget_expired(now);
    }

    /// Returns the sum of the recent reports.
    pub fn totals(&mut self, now: Instant) -> DemandTotals {
        self.forget_expired(now);
        let mut totals = DemandTotals {
            models: Vec::new(),
            reporting: self.reports.len(),
        };
        for demand in self.reports.iter().flat_map(|report| &report.models) {
            let sums = totals.models.iter_mut();
            let known = sums.into_iter().find(|sum| {
                sum.service == demand.service
                    && sum.weights == demand.weights
                    && sum.priority == demand.priority
            });
            match known {
                Some(sum) => sum.hosts += demand.hosts,
                None => totals.models.push(demand.clone()),
            }
        }
        totals
    }

    fn forget_expired(&mut self, now: Instant) {
        self.reports
            .retain(|report| now.saturating_duration_since(report.received_at) <= REPORT_VALIDITY);
    }
}
