//! Metrics of demand, at the entry that forms groups.

use prometheus::GaugeVec;
use prometheus::Opts;
use prometheus::Registry;

use super::control::WorkShares;
use crate::ids::ServiceId;
use crate::process::metrics::prefixed_name;
use crate::version::routes::EngineProfile;

/// The demand, the capacity and the share of each model.
#[derive(Clone, Debug)]
pub struct DemandMetrics {
    demand: GaugeVec,
    capacity: GaugeVec,
    share: GaugeVec,
}

impl DemandMetrics {
    /// Creates and registers the metrics.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let metrics = Self {
            demand: gauge(
                "model_demand_hosts",
                "Hosts that are busy with the work that arrives at all entries, by model.",
            )?,
            capacity: gauge("model_capacity_hosts", "Hosts in groups, by model.")?,
            share: gauge(
                "model_work_share",
                "Share of the hosts that a model should have.",
            )?,
        };
        registry.register(Box::new(metrics.demand.clone()))?;
        registry.register(Box::new(metrics.capacity.clone()))?;
        registry.register(Box::new(metrics.share.clone()))?;
        Ok(metrics)
    }

    /// Sets the metrics of a service's models.
    pub fn set(&self, service: &ServiceId, profile: &EngineProfile, work: &WorkShares) {
        let sample = &work.sample;
        let values = [
            (&self.demand, &sample.demand),
            (&self.capacity, &sample.hosts),
            (&self.share, &work.shares),
        ];
        for (gauge, values) in values {
            for (model, value) in profile.models.iter().zip(values) {
                let labels = [service.as_str(), model.weights.as_str()];
                gauge.with_label_values(&labels).set(*value);
            }
        }
    }

    /// Forgets all values, when this entry no longer forms the groups.
    pub fn reset(&self) {
        self.demand.reset();
        self.capacity.reset();
        self.share.reset();
    }
}

fn gauge(name: &str, help: &str) -> Result<GaugeVec, prometheus::Error> {
    GaugeVec::new(Opts::new(prefixed_name(name), help), &["service", "model"])
}
