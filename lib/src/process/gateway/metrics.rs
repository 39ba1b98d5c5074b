//! The metrics of a gateway.

use std::time::Duration;

use prometheus::Encoder as _;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::connection::client_connections::ClosedConnections;
use crate::ids::ServiceId;
use crate::process::demand::DemandMetrics;
use crate::process::evacuation::EvacuationMetrics;
use crate::process::formation::WaitReason;
use crate::process::metrics::counters;
use crate::process::metrics::gauge;
use crate::process::metrics::gauges;
use crate::request::overload::metrics::OverloadMetrics;
use crate::request::pace::metrics as pace_metrics;

/// The upper bounds of the histogram buckets for requests, in seconds. They are dense around the
/// latency targets of 0.15 to 0.5 s, and reach to the longest timeouts.
const REQUEST_BUCKETS_S: [f64; 13] = [
    0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.5, 0.8, 1.5, 3.0, 6.0, 8.0,
];

/// The upper bounds of the histogram buckets for the delay of timers, in seconds.
const LOOP_DELAY_BUCKETS_S: [f64; 8] = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0];

/// The metrics of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    requests: IntCounterVec,
    request_seconds: HistogramVec,
    first_event_seconds: HistogramVec,
    sends: IntCounterVec,
    passed_on: IntCounterVec,
    broken_starts: IntCounterVec,
    retries: IntCounterVec,
    orders: IntCounterVec,
    hosts_without_group: IntGaugeVec,
    loop_delay_seconds: Histogram,
    change_log_bytes: IntGaugeVec,
    feed_reads: IntCounterVec,
    missed_changes: IntCounterVec,
    lagging_snapshots: IntCounterVec,
    lagging_transactions: IntCounterVec,
    writes_below_known_revision: IntCounter,
    platform_returns: IntCounter,
    feed_bytes: IntCounterVec,
    feed_answers_with_changes: IntGaugeVec,
    /// Failed calls to the platform, by the feed that was read.
    pub platform_failures: IntCounterVec,
    /// The version of the configuration in force.
    pub configuration_version: IntGauge,
    /// The versions of the configuration in memory: the one in force, and those in use by requests.
    pub configurations_in_memory: IntGauge,
    /// Whether the newest version of the configuration can't be read.
    pub configuration_unreadable: IntGauge,
    /// The routes of the configuration in force that can't be read.
    pub unreadable_routes: IntGauge,
    /// The milliseconds since the platform last confirmed the configuration.
    pub configuration_age_ms: IntGauge,
    /// Targets that can be sent requests, by service.
    pub serving_targets: IntGaugeVec,
    serving_updates: IntCounterVec,
    /// Prompt parts that are quarantined.
    pub quarantined_parts: IntGauge,
    /// Requests that are quarantined by their content.
    pub quarantined_requests: IntGauge,
    /// Crashes of targets that this entry or a peer has confirmed.
    pub target_crashes: IntCounter,
    quarantine_refusals: IntCounterVec,
    body_refusals: IntCounterVec,
    client_connections: IntGaugeVec,
    closed_connections: IntCounterVec,
    /// The bytes held for the bodies of requests and what belongs to them.
    pub request_body_bytes: IntGauge,
    limit_refusals: IntCounterVec,
    backoff_refusals: IntCounterVec,
    /// The counters of the overload control.
    pub overload: OverloadMetrics,
    /// Targets that name a request limit.
    pub limited_targets: IntGauge,
    /// Targets that say in their answers that they leave, while their records say that they are
    /// ready.
    pub leaving_targets: IntGauge,
    /// Targets that want no requests from this entry for now.
    pub backed_off_targets: IntGauge,
    /// Targets that have just started or recovered and are paced.
    pub paced_targets: IntGauge,
    paced_choices: IntCounterVec,
    /// The milliseconds since the platform last confirmed the records of targets.
    pub target_records_age_ms: IntGauge,
    /// Targets whose removal from the registry is held back.
    pub held_back_removals: IntGauge,
    /// 1 while this entry reaches no target, 0 otherwise.
    pub is_cut_off: IntGauge,
    /// 1 while this entry holds the formation lease, 0 otherwise.
    pub holds_lease: IntGauge,
    /// The metrics of evacuations.
    pub evacuation: EvacuationMetrics,
    /// The demand, capacity and share of models, while this entry holds the formation lease.
    pub demand: DemandMetrics,
}

impl GatewayMetrics {
    /// Creates and registers the metrics. Fails if a name or label is invalid or registered twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let metrics = Self {
            overload: OverloadMetrics::new()?,
            demand: DemandMetrics::new(&registry)?,
            registry,
            requests: counters(
                "requests_total",
                "Requests by outcome.",
                &["service", "outcome"],
            )?,
            request_seconds: histogram(
                "request_seconds",
                "Time from a request's arrival to its end.",
                &["service", "outcome"],
            )?,
            first_event_seconds: histogram(
                "first_event_seconds",
                "Time from a request's arrival to the first event of its stream.",
                &["service"],
            )?,
            sends: counters(
                "sends_total",
                "Sends to targets by their end.",
                &["service", "end"],
            )?,
            broken_starts: counters(
                "sends_broken_at_start_total",
                "Sends that broke at the start of their answer.",
                &["service"],
            )?,
            retries: counters(
                "further_sends_total",
                "Further sends asked of the budget.",
                &["service", "granted"],
            )?,
            orders: counters(
                "orders_total",
                "Orders to hosts by answer.",
                &["order", "answer"],
            )?,
            hosts_without_group: gauges(
                "hosts_without_group",
                "Hosts that are ready and in no group, by the reason, at the entry that forms groups.",
                &["service", "reason"],
            )?,
            loop_delay_seconds: Histogram::with_opts(
                HistogramOpts::new(
                    crate::process::metrics::prefixed_name("loop_delay_seconds"),
                    "How late a timer fired: how long the process waited for processor time.",
                )
                .buckets(LOOP_DELAY_BUCKETS_S.to_vec()),
            )?,
            change_log_bytes: gauges(
                "change_log_bytes",
                "Memory of the changes that are kept for other entries, by the kind of record.",
                &["records"],
            )?,
            feed_reads: counters(
                "feed_reads_total",
                "Reads of records, by where they were read and their result.",
                &["records", "source", "result"],
            )?,
            missed_changes: counters(
                "missed_changes_total",
                "Snapshots with a change that the feed had missed.",
                &["records"],
            )?,
            lagging_snapshots: counters(
                "lagging_snapshots_total",
                "Snapshots of the platform below the revision that it had reached before.",
                &["records"],
            )?,
            lagging_transactions: counters(
                "lagging_transactions_total",
                "Refused transactions below the revision that the platform had reached before.",
                &["records"],
            )?,
            writes_below_known_revision: IntCounter::new(
                crate::process::metrics::prefixed_name("writes_below_known_revision_total"),
                "Writes of this entry at a lower revision than the records had reached before.",
            )?,
            platform_returns: IntCounter::new(
                crate::process::metrics::prefixed_name("platform_returns_total"),
                "Returns of the platform in an earlier state that this entry has detected or heard of.",
            )?,
            feed_bytes: counters(
                "feed_bytes_total",
                "Bytes of the answers with records that were read completely.",
                &["records", "source"],
            )?,
            feed_answers_with_changes: gauges(
                "feed_answers_with_changes",
                "Answers with changes of records since the last answer without any.",
                &["records"],
            )?,
            platform_failures: counters(
                "platform_failures_total",
                "Calls to the platform that failed.",
                &["call"],
            )?,
            configuration_version: gauge(
                "configuration_version",
                "Version of the configuration in force.",
            )?,
            configurations_in_memory: gauge(
                "configurations_in_memory",
                "Versions of the configuration in memory: the one in force, and those in use by requests.",
            )?,
            unreadable_routes: gauge(
                "unreadable_routes",
                "Routes of the configuration in force that can't be read.",
            )?,
            configuration_unreadable: gauge(
                "configuration_unreadable",
                "Whether the newest version of the configuration can't be read, so that an older one \
                 is in force.",
            )?,
            is_cut_off: gauge(
                "cut_off_from_targets",
                "Whether no target is reached, so that requests are passed on to other entries.",
            )?,
            passed_on: counters(
                "passed_on_total",
                "Requests that were passed on to another entry, by service and result.",
                &["service", "end"],
            )?,
            configuration_age_ms: gauge(
                "configuration_age_ms",
                "Milliseconds since the platform confirmed the configuration, maybe to another entry.",
            )?,
            serving_targets: gauges(
                "serving_targets",
                "Targets that can be sent requests.",
                &["service"],
            )?,
            serving_updates: counters(
                "serving_updates_total",
                "Times that the targets that can be sent requests were derived again, by cause.",
                &["cause"],
            )?,
            quarantined_parts: gauge(
                "quarantined_prompt_parts",
                "Prompt parts that are quarantined.",
            )?,
            quarantined_requests: gauge(
                "quarantined_requests",
                "Requests that are quarantined by their content.",
            )?,
            target_crashes: IntCounter::new(
                crate::process::metrics::prefixed_name("target_crashes_total"),
                "Crashes of targets that this entry or a peer has confirmed.",
            )?,
            quarantine_refusals: counters(
                "quarantine_refusals_total",
                "Requests not sent because a prompt part or the request is quarantined.",
                &["service"],
            )?,
            body_refusals: counters(
                "body_refusals_total",
                "Requests refused before or while their body was read, by reason.",
                &["reason"],
            )?,
            client_connections: gauges(
                "client_connections",
                "Open connections of callers and of other entries.",
                &["clients"],
            )?,
            closed_connections: counters(
                "closed_connections_total",
                "Connections that were closed or refused, by reason.",
                &["clients", "reason"],
            )?,
            request_body_bytes: gauge(
                "request_body_bytes",
                "Bytes held for the bodies of requests, by the budget that limits them.",
            )?,
            limit_refusals: counters(
                "limit_refusals_total",
                "Attempts to choose a target while the limits of all were used up.",
                &["service"],
            )?,
            backoff_refusals: counters(
                "backoff_refusals_total",
                "Attempts to choose a target while all were backed off, or some and the limits of the \
                 others were used up.",
                &["service"],
            )?,
            limited_targets: gauge(
                "limited_targets",
                "Targets that name a limit on the rate of requests.",
            )?,
            leaving_targets: gauge(
                "leaving_targets",
                "Targets that say that they leave, though their records don't.",
            )?,
            backed_off_targets: gauge(
                "backed_off_targets",
                "Targets that want no requests from this entry for now.",
            )?,
            paced_targets: gauge(
                pace_metrics::PACED_TARGETS,
                "Targets that have just started or recovered and are paced.",
            )?,
            paced_choices: counters(
                pace_metrics::PACED_CHOICES,
                "Requests whose chosen target should not take them yet, by whether they were moved to \
                 another one or the pace yielded.",
                &["service", "result"],
            )?,
            target_records_age_ms: gauge(
                "target_records_age_ms",
                "Milliseconds since the platform confirmed the records of targets, maybe to another entry.",
            )?,
            held_back_removals: gauge(
                "held_back_removals",
                "Targets that the platform lists no more and that are still used.",
            )?,
            holds_lease: gauge("holds_lease", "Whether this entry forms the groups.")?,
            evacuation: EvacuationMetrics::new()?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> Result<(), prometheus::Error> {
        let registry = &self.registry;
        self.overload.register(registry)?;
        registry.register(Box::new(self.requests.clone()))?;
        registry.register(Box::new(self.request_seconds.clone()))?;
        registry.register(Box::new(self.first_event_seconds.clone()))?;
        registry.register(Box::new(self.sends.clone()))?;
        registry.register(Box::new(self.broken_starts.clone()))?;
        registry.register(Box::new(self.retries.clone()))?;
        registry.register(Box::new(self.orders.clone()))?;
        registry.register(Box::new(self.hosts_without_group.clone()))?;
        registry.register(Box::new(self.loop_delay_seconds.clone()))?;
        registry.register(Box::new(self.change_log_bytes.clone()))?;
        registry.register(Box::new(self.feed_reads.clone()))?;
        registry.register(Box::new(self.missed_changes.clone()))?;
        registry.register(Box::new(self.lagging_snapshots.clone()))?;
        registry.register(Box::new(self.lagging_transactions.clone()))?;
        registry.register(Box::new(self.writes_below_known_revision.clone()))?;
        registry.register(Box::new(self.platform_returns.clone()))?;
        registry.register(Box::new(self.feed_answers_with_changes.clone()))?;
        registry.register(Box::new(self.feed_bytes.clone()))?;
        registry.register(Box::new(self.platform_failures.clone()))?;
        registry.register(Box::new(self.configuration_version.clone()))?;
        registry.register(Box::new(self.configurations_in_memory.clone()))?;
        registry.register(Box::new(self.configuration_unreadable.clone()))?;
        registry.register(Box::new(self.unreadable_routes.clone()))?;
        registry.register(Box::new(self.configuration_age_ms.clone()))?;
        registry.register(Box::new(self.is_cut_off.clone()))?;
        registry.register(Box::new(self.body_refusals.clone()))?;
        registry.register(Box::new(self.client_connections.clone()))?;
        registry.register(Box::new(self.closed_connections.clone()))?;
        registry.register(Box::new(self.request_body_bytes.clone()))?;
        registry.register(Box::new(self.passed_on.clone()))?;
        registry.register(Box::new(self.serving_targets.clone()))?;
        registry.register(Box::new(self.serving_updates.clone()))?;
        registry.register(Box::new(self.quarantined_parts.clone()))?;
        registry.register(Box::new(self.quarantined_requests.clone()))?;
        registry.register(Box::new(self.target_crashes.clone()))?;
        registry.register(Box::new(self.quarantine_refusals.clone()))?;
        registry.register(Box::new(self.limit_refusals.clone()))?;
        registry.register(Box::new(self.backoff_refusals.clone()))?;
        registry.register(Box::new(self.limited_targets.clone()))?;
        registry.register(Box::new(self.leaving_targets.clone()))?;
        registry.register(Box::new(self.backed_off_targets.clone()))?;
        registry.register(Box::new(self.paced_targets.clone()))?;
        registry.register(Box::new(self.paced_choices.clone()))?;
        registry.register(Box::new(self.target_records_age_ms.clone()))?;
        registry.register(Box::new(self.held_back_removals.clone()))?;
        registry.register(Box::new(self.holds_lease.clone()))?;
        self.evacuation.register(registry)
    }

    /// Counts a finished request and records its duration.
    pub fn count_request(&self, service: &ServiceId, outcome: &str, duration: Duration) {
        let labels = [service.as_str(), outcome];
        self.requests.with_label_values(&labels).inc();
        let seconds = self.request_seconds.with_label_values(&labels);
        seconds.observe(duration.as_secs_f64());
    }

    /// Records the time from a request's arrival to the first event of its stream.
    pub fn observe_first_event(&self, service: &ServiceId, waited: Duration) {
        let histogram = self
            .first_event_seconds
            .with_label_values(&[service.as_str()]);
        histogram.observe(waited.as_secs_f64());
    }

    /// Counts a send to a target by its result.
    pub fn count_send(&self, service: &ServiceId, end: &str) {
        self.sends.with_label_values(&[service.as_str(), end]).inc();
    }

    /// Counts a request that was passed on to another entry by its result.
    pub fn count_passed_on(&self, service: &ServiceId, end: &str) {
        self.passed_on
            .with_label_values(&[service.as_str(), end])
            .inc();
    }

    /// Counts a send to a target that broke at the start of its answer.
    pub fn count_broken_start(&self, service: &ServiceId) {
        let labels = [service.as_str()];
        self.broken_starts.with_label_values(&labels).inc();
    }

    /// Counts a request that was not sent because of a quarantined prompt part.
    pub fn count_quarantine_refusal(&self, service: &ServiceId) {
        let labels = [service.as_str()];
        self.quarantine_refusals.with_label_values(&labels).inc();
    }

    /// Counts an attempt to choose a target while the limits of all were used up.
    pub fn count_limit_refusal(&self, service: &ServiceId) {
        let labels = [service.as_str()];
        self.limit_refusals.with_label_values(&labels).inc();
    }

    /// Counts an attempt to choose a target while no target took requests and some were backed off.
    pub fn count_backoff_refusal(&self, service: &ServiceId) {
        let labels = [service.as_str()];
        self.backoff_refusals.with_label_values(&labels).inc();
    }

    /// Counts requests whose chosen target should not take them yet, by what was done.
    pub fn count_paced_choices(&self, service: &ServiceId, result: &str, count: u64) {
        let labels = [service.as_str(), result];
        self.paced_choices.with_label_values(&labels).inc_by(count);
    }

    /// Counts a retry that was requested from the retry budget.
    pub fn count_retry(&self, service: &ServiceId, is_granted: bool) {
        let granted = if is_granted { "yes" } else { "no" };
        self.retries
            .with_label_values(&[service.as_str(), granted])
            .inc();
    }

    /// Counts a request that was refused before or while its body was read.
    pub fn count_body_refusal(&self, reason: &str) {
        self.body_refusals.with_label_values(&[reason]).inc();
    }

    /// Sets the number of open connections of one kind of clients.
    pub fn set_client_connections(&self, clients: &str, open: usize) {
        let open = i64::try_from(open).unwrap_or(i64::MAX);
        let gauge = self.client_connections.with_label_values(&[clients]);
        gauge.set(open);
    }

    /// Counts connections of one kind of clients that were closed or refused.
    pub fn count_closed_connections(&self, clients: &str, closed: ClosedConnections) {
        let counts = [
            ("room", closed.evicted),
            ("timeout", closed.expired),
            ("refused", closed.refused),
        ];
        for (reason, count) in counts {
            let counter = self
                .closed_connections
                .with_label_values(&[clients, reason]);
            counter.inc_by(count);
        }
    }

    /// Counts a time that the targets that can be sent requests were derived again.
    pub fn count_serving_update(&self, cause: &str) {
        self.serving_updates.with_label_values(&[cause]).inc();
    }

    /// Sets how many ready hosts of a service are in no group for a reason.
    pub fn set_hosts_without_group(&self, service: &ServiceId, reason: WaitReason, count: i64) {
        let reason = reason.to_string();
        let labels = [service.as_str(), reason.as_str()];
        let gauge = self.hosts_without_group.with_label_values(&labels);
        gauge.set(count);
    }

    /// Forgets the hosts in no group, when this entry no longer forms the groups.
    pub fn reset_hosts_without_group(&self) {
        self.hosts_without_group.reset();
    }

    /// Sets the memory of the changes of one kind of record that are kept for other entries.
    pub fn set_change_log_bytes(&self, records: &str, size_bytes: usize) {
        let size_bytes = i64::try_from(size_bytes).unwrap_or(i64::MAX);
        let gauge = self.change_log_bytes.with_label_values(&[records]);
        gauge.set(size_bytes);
    }

    /// Counts a read of records by its result.
    pub fn count_feed_read(&self, records: &str, source: &str, result: &str, size_bytes: usize) {
        let labels = [records, source, result];
        self.feed_reads.with_label_values(&labels).inc();
        let bytes = self.feed_bytes.with_label_values(&[records, source]);
        bytes.inc_by(size_bytes as u64);
    }

    /// Counts a snapshot with a change that the feed has missed.
    pub fn count_missed_change(&self, records: &str) {
        self.missed_changes.with_label_values(&[records]).inc();
    }

    /// Counts a snapshot of the platform that was older than what the platform had reached before.
    pub fn count_lagging_snapshot(&self, records: &str) {
        self.lagging_snapshots.with_label_values(&[records]).inc();
    }

    /// Counts a refused transaction that was older than what the platform had reached before.
    pub fn count_lagging_transaction(&self, records: &str) {
        let count = self.lagging_transactions.with_label_values(&[records]);
        count.inc();
    }

    /// Counts a write whose revision is below that of known records.
    pub fn count_write_below_known_revision(&self) {
        self.writes_below_known_revision.inc();
    }

    /// Counts a return of the platform in an earlier state.
    pub fn count_platform_return(&self) {
        self.platform_returns.inc();
    }

    /// Sets how many answers with changes came one after the other.
    pub fn set_feed_answers_with_changes(&self, records: &str, answers: u32) {
        let gauge = self.feed_answers_with_changes.with_label_values(&[records]);
        gauge.set(i64::from(answers));
    }

    /// Records how late a timer fired.
    pub fn observe_loop_delay(&self, delay: Duration) {
        self.loop_delay_seconds.observe(delay.as_secs_f64());
    }

    /// Counts an order to a host by its answer.
    pub fn count_order(&self, order: &str, answer: &str) {
        self.orders.with_label_values(&[order, answer]).inc();
    }

    /// Returns the metrics in the text format of Prometheus.
    pub fn render(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

fn histogram(name: &str, help: &str, labels: &[&str]) -> Result<HistogramVec, prometheus::Error> {
    let options = HistogramOpts::new(crate::process::metrics::prefixed_name(name), help);
    HistogramVec::new(options.buckets(REQUEST_BUCKETS_S.to_vec()), labels)
}
