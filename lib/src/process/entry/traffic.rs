//! Metrics of the membership and of the traffic between entries.

use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;

use crate::process::peer::metered::TrafficMeter;

/// Gauges for the bytes exchanged with other entries and for the members by state.
#[derive(Clone, Debug)]
pub(super) struct TrafficMetrics {
    bytes: IntGaugeVec,
    members: IntGaugeVec,
}

impl TrafficMetrics {
    /// Creates the metrics and registers them.
    pub(super) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let bytes = Opts::new(
            "beryltray_peer_bytes",
            "Bytes of the calls between entries since the start, without the packets' headers.",
        );
        let members = Opts::new("beryltray_members", "Other entries by state.");
        let metrics = Self {
            bytes: IntGaugeVec::new(bytes, &["direction"])?,
            members: IntGaugeVec::new(members, &["state"])?,
        };
        registry.register(Box::new(metrics.bytes.clone()))?;
        registry.register(Box::new(metrics.members.clone()))?;
        Ok(metrics)
    }

    /// Sets the byte counts from the meter.
    pub(super) fn set_traffic(&self, meter: &TrafficMeter) {
        let set = |direction: &str, bytes: u64| {
            let gauge = self.bytes.with_label_values(&[direction]);
            gauge.set(bytes as i64);
        };
        set("read", meter.read_bytes().0);
        set("written", meter.written_bytes().0);
    }

    /// Sets the number of members in `state`, which is the metric's label.
    pub(super) fn set_members(&self, state: &str, count: usize) {
        let gauge = self.members.with_label_values(&[state]);
        gauge.set(count as i64);
    }
}
