//! The Prometheus metrics of an entry or gateway process.

use prometheus::Encoder as _;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::ids::ServiceId;
use crate::request::outcome::Outcome;

/// Bucket bounds of the histogram of the time to the first token, in seconds.
const FIRST_TOKEN_BUCKETS_S: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.89, 1.5, 3.0, 6.0, 12.0,
];

/// The metrics of an entry.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    refusals: IntCounterVec,
    attempts: IntCounterVec,
    first_token_seconds: HistogramVec,
    /// Number of requests in flight.
    pub in_flight: IntGauge,
    /// Version of the configuration document in force.
    pub document_version: IntGauge,
    /// Number of targets that can receive requests, by service.
    pub open_targets: IntGaugeVec,
    /// Number of failed calls to the platform, by kind of call.
    pub platform_failures: IntCounterVec,
}

impl Metrics {
    /// Creates the metrics and registers them.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let first_token = HistogramOpts::new(
            "beryltray_first_token_seconds",
            "Time from a request's arrival to its first token.",
        );
        let first_token = first_token.buckets(FIRST_TOKEN_BUCKETS_S.to_vec());
        let metrics = Self {
            requests: counters(
                "requests_total",
                "Requests by outcome.",
                &["service", "outcome"],
            )?,
            refusals: counters(
                "refusals_total",
                "Requests refused for their form.",
                &["status"],
            )?,
            attempts: counters(
                "attempts_total",
                "Attempts at targets.",
                &["service", "result"],
            )?,
            first_token_seconds: HistogramVec::new(first_token, &["service"])?,
            in_flight: gauge("in_flight_requests", "Requests in flight.")?,
            document_version: gauge("document_version", "Version of the document in force.")?,
            open_targets: gauges("open_targets", "Targets that can serve.", &["service"])?,
            platform_failures: counters(
                "platform_failures_total",
                "Calls to the platform that failed.",
                &["call"],
            )?,
            registry,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> Result<(), prometheus::Error> {
        let registry = &self.registry;
        registry.register(Box::new(self.requests.clone()))?;
        registry.register(Box::new(self.refusals.clone()))?;
        registry.register(Box::new(self.attempts.clone()))?;
        registry.register(Box::new(self.first_token_seconds.clone()))?;
        registry.register(Box::new(self.in_flight.clone()))?;
        registry.register(Box::new(self.document_version.clone()))?;
        registry.register(Box::new(self.open_targets.clone()))?;
        registry.register(Box::new(self.platform_failures.clone()))
    }

    /// Counts a finished request.
    pub fn count_outcome(&self, service: &ServiceId, outcome: &Outcome) {
        let labels = [service.as_str(), outcome.label()];
        self.requests.with_label_values(&labels).inc();
    }

    /// Counts a request refused as invalid, by the HTTP status of the response.
    pub fn count_refusal(&self, status: u16) {
        let status = status.to_string();
        self.refusals.with_label_values(&[status.as_str()]).inc();
    }

    /// Counts an attempt at a target; `result` is the metric's label.
    pub fn count_attempt(&self, service: &ServiceId, result: &str) {
        let labels = [service.as_str(), result];
        self.attempts.with_label_values(&labels).inc();
    }

    /// Records the time from a request's arrival to its first token.
    pub fn observe_first_token(&self, service: &ServiceId, wait: std::time::Duration) {
        let histogram = self
            .first_token_seconds
            .with_label_values(&[service.as_str()]);
        histogram.observe(wait.as_secs_f64());
    }

    /// Returns the metrics in the text format of Prometheus.
    pub fn render(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }

    /// Returns the registry, to which other parts of the process add their metrics.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }
}

pub(crate) fn prefixed_name(name: &str) -> String {
    format!("beryltray_{name}")
}

pub(crate) fn counters(
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, prometheus::Error> {
    IntCounterVec::new(Opts::new(prefixed_name(name), help), labels)
}

pub(crate) fn gauges(
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntGaugeVec, prometheus::Error> {
    IntGaugeVec::new(Opts::new(prefixed_name(name), help), labels)
}

pub(crate) fn gauge(name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    IntGauge::new(prefixed_name(name), help)
}
