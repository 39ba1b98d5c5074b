//! The metrics of evacuations.

use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Registry;

use crate::ids::ServiceId;
use crate::process::metrics::counters;
use crate::process::metrics::gauge;

/// The metrics of evacuations.
#[derive(Clone, Debug)]
pub struct EvacuationMetrics {
    /// The number of evacuated data centres.
    pub evacuated_data_centres: IntGauge,
    /// The number of listed targets and hosts in evacuated data centres.
    pub evacuated_hosts: IntGauge,
    changes: IntCounterVec,
    refusals: IntCounterVec,
}

impl EvacuationMetrics {
    /// Creates the metrics. Fails if a name or label is invalid.
    pub fn new() -> Result<Self, prometheus::Error> {
        Ok(Self {
            evacuated_data_centres: gauge(
                "evacuated_data_centres",
                "Data centres that the operator has evacuated.",
            )?,
            evacuated_hosts: gauge(
                "evacuated_hosts",
                "Hosts in evacuated data centres, which get no requests.",
            )?,
            changes: counters(
                "evacuation_changes_total",
                "Beginnings and ends of evacuations.",
                &["change"],
            )?,
            refusals: counters(
                "evacuation_refusals_total",
                "Requests that were refused because all targets of their service are in evacuated \
                 data centres.",
                &["service"],
            )?,
        })
    }

    /// Registers the metrics. Fails if a name is registered twice.
    pub fn register(&self, registry: &Registry) -> Result<(), prometheus::Error> {
        registry.register(Box::new(self.evacuated_data_centres.clone()))?;
        registry.register(Box::new(self.evacuated_hosts.clone()))?;
        registry.register(Box::new(self.changes.clone()))?;
        registry.register(Box::new(self.refusals.clone()))
    }

    /// Counts a beginning or an end.
    pub fn count_change(&self, change: &str) {
        self.changes.with_label_values(&[change]).inc();
    }

    /// Counts a refused request.
    pub fn count_refusal(&self, service: &ServiceId) {
        self.refusals.with_label_values(&[service.as_str()]).inc();
    }
}
