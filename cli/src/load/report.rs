//! Outcome counts and latency percentiles of a load.

use std::time::Duration;

use beryltray_lib::ids::AccountId;
use beryltray_lib::ids::ServiceId;
use beryltray_lib::sorted::Keyed;
use beryltray_lib::sorted::SortedVec;
use beryltray_stand_ins::invocation::CallerOutcome;
use comfy_table::Table;
use comfy_table::presets::NOTHING;
use hdrhistogram::Histogram;
use serde::Serialize;

/// The upper end of the histogram's range, in microseconds; longer latencies count as this one.
const LATENCY_MAX_US: u64 = 3_600_000_000;
/// The precision of the histogram, in significant decimal digits.
const LATENCY_DIGITS: u8 = 3;
const MICROSECONDS_PER_MS: f64 = 1000.0;

/// A histogram of latencies, in microseconds.
#[derive(Debug)]
pub(crate) struct LatencyHistogram(Option<Histogram<u64>>);

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self(Histogram::new_with_max(LATENCY_MAX_US, LATENCY_DIGITS).ok())
    }
}

impl LatencyHistogram {
    /// Records a latency; the resolution is 1 µs.
    pub(crate) fn add(&mut self, latency: Duration) {
        let latency_us = u64::try_from(latency.as_micros()).unwrap_or(LATENCY_MAX_US);
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record(latency_us.clamp(1, LATENCY_MAX_US));
        }
    }

    /// Returns the percentiles, or `None` if nothing was recorded.
    pub(crate) fn percentiles(&self) -> Option<Percentiles> {
        let histogram = self.0.as_ref().filter(|histogram| !histogram.is_empty())?;
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / MICROSECONDS_PER_MS;
        Some(Percentiles {
            p50_ms: at(0.5),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            max_ms: histogram.max() as f64 / MICROSECONDS_PER_MS,
        })
    }
}

/// Percentiles of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct Percentiles {
    /// The median.
    pub(crate) p50_ms: f64,
    /// The 95th percentile.
    pub(crate) p95_ms: f64,
    /// The 99th percentile.
    pub(crate) p99_ms: f64,
    /// The maximum.
    pub(crate) max_ms: f64,
}

/// The numbers of requests by outcome, sorted by outcome; outcomes without a request are absent.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct OutcomeCounts(Vec<OutcomeCount>);

/// The number of requests with one outcome.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct OutcomeCount {
    outcome: CallerOutcome,
    requests: u64,
}

impl OutcomeCounts {
    /// Counts one request.
    pub(crate) fn add(&mut self, outcome: CallerOutcome) {
        let found = self.0.binary_search_by_key(&outcome, |count| count.outcome);
        match found {
            Ok(index) => self.0[index].requests += 1,
            Err(index) => {
                let requests = 1;
                self.0.insert(index, OutcomeCount { outcome, requests });
            }
        }
    }

    /// Returns the number of requests with `outcome`.
    pub(crate) fn count(&self, outcome: CallerOutcome) -> u64 {
        let found = self.0.iter().find(|count| count.outcome == outcome);
        found.map_or(0, |count| count.requests)
    }

    /// Returns the number of all requests.
    pub(crate) fn total(&self) -> u64 {
        self.0.iter().map(|count| count.requests).sum()
    }

    /// Returns the counts as one line of text, such as `complete 20, not-run 1`.
    pub(crate) fn summary(&self) -> String {
        let counts = self.0.iter();
        let counts = counts.map(|count| format!("{} {}", count.outcome, count.requests));
        counts.collect::<Vec<_>>().join(", ")
    }
}

/// Outcomes and latencies of the requests to one service.
#[derive(Debug)]
pub(crate) struct ServiceStats {
    service: ServiceId,
    outcomes: OutcomeCounts,
    first_token: LatencyHistogram,
    between_tokens: LatencyHistogram,
    total: LatencyHistogram,
    late_requests: u64,
}

impl Keyed for ServiceStats {
    type Key = ServiceId;

    fn key(&self) -> &ServiceId {
        &self.service
    }
}

/// Outcomes of the requests of one account.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct AccountStats {
    account: AccountId,
    outcomes: OutcomeCounts,
}

impl Keyed for AccountStats {
    type Key = AccountId;

    fn key(&self) -> &AccountId {
        &self.account
    }
}

/// One attempt with its latencies, which are measured from its scheduled time.
#[derive(Clone, Debug)]
pub(crate) struct Sample {
    /// The service that it was sent to.
    pub(crate) service: ServiceId,
    /// The account that sent it.
    pub(crate) account: AccountId,
    /// The outcome as the caller sees it.
    pub(crate) outcome: CallerOutcome,
    /// The time to the first token; `None` if no token arrived.
    pub(crate) first_token: Option<Duration>,
    /// The intervals between consecutive tokens.
    pub(crate) between_tokens: Vec<Duration>,
    /// The time to the outcome.
    pub(crate) total: Duration,
    /// Whether the outcome was known only after the deadline.
    pub(crate) is_late: bool,
}

/// The accumulated counts and latencies of a load.
#[derive(Debug, Default)]
pub(crate) struct LoadStats {
    /// The outcomes of all requests.
    pub(crate) outcomes: OutcomeCounts,
    services: SortedVec<ServiceStats>,
    accounts: SortedVec<AccountStats>,
}

impl LoadStats {
    /// Adds an attempt; its latencies count only if it is complete.
    pub(crate) fn add(&mut self, sample: &Sample) {
        self.outcomes.add(sample.outcome);
        let account = self
            .accounts
            .get_or_insert_with(&sample.account, || AccountStats {
                account: sample.account.clone(),
                outcomes: OutcomeCounts::default(),
            });
        account.outcomes.add(sample.outcome);
        let service = self
            .services
            .get_or_insert_with(&sample.service, || ServiceStats {
                service: sample.service.clone(),
                outcomes: OutcomeCounts::default(),
                first_token: LatencyHistogram::default(),
                between_tokens: LatencyHistogram::default(),
                total: LatencyHistogram::default(),
                late_requests: 0,
            });
        service.add(sample);
    }

    /// Returns the results with percentiles computed.
    pub(crate) fn report(&self) -> LoadReport {
        LoadReport {
            requests: self.outcomes.total(),
            outcomes: self.outcomes.clone(),
            services: self.services.iter().map(ServiceStats::report).collect(),
            accounts: self.accounts.as_slice().to_vec(),
        }
    }
}

impl ServiceStats {
    fn add(&mut self, sample: &Sample) {
        self.outcomes.add(sample.outcome);
        self.late_requests += u64::from(sample.is_late);
        if sample.outcome != CallerOutcome::Complete {
            return;
        }
        self.total.add(sample.total);
        if let Some(first_token) = sample.first_token {
            self.first_token.add(first_token);
        }
        for gap in &sample.between_tokens {
            self.between_tokens.add(*gap);
        }
    }

    fn report(&self) -> ServiceReport {
        ServiceReport {
            service: self.service.clone(),
            outcomes: self.outcomes.clone(),
            late_requests: self.late_requests,
            first_token: self.first_token.percentiles(),
            between_tokens: self.between_tokens.percentiles(),
            whole: self.total.percentiles(),
        }
    }
}

/// The results of a load; latencies are those of complete answers.
#[derive(Debug, Serialize)]
pub(crate) struct LoadReport {
    requests: u64,
    outcomes: OutcomeCounts,
    services: Vec<ServiceReport>,
    accounts: Vec<AccountStats>,
}

#[derive(Debug, Serialize)]
struct ServiceReport {
    service: ServiceId,
    outcomes: OutcomeCounts,
    late_requests: u64,
    first_token: Option<Percentiles>,
    between_tokens: Option<Percentiles>,
    whole: Option<Percentiles>,
}

impl LoadReport {
    /// Returns the results as human-readable tables.
    pub(crate) fn table(&self) -> String {
        let mut latencies = Table::new();
        latencies.load_preset(NOTHING);
        let header = ["service", "latency", "p50 ms", "p95 ms", "p99 ms", "max ms"];
        latencies.set_header(header);
        for service in &self.services {
            let name = service.service.to_string();
            add_row(&mut latencies, &name, "first token", service.first_token);
            add_row(
                &mut latencies,
                &name,
                "between tokens",
                service.between_tokens,
            );
            add_row(&mut latencies, &name, "whole", service.whole);
        }
        let mut counts = Table::new();
        counts.load_preset(NOTHING);
        counts.set_header(["service or account", "requests", "late", "outcomes"]);
        for service in &self.services {
            let late = service.late_requests.to_string();
            add_counts(
                &mut counts,
                service.service.as_str(),
                &late,
                &service.outcomes,
            );
        }
        for account in &self.accounts {
            add_counts(&mut counts, account.account.as_str(), "", &account.outcomes);
        }
        let total = format!("{} requests: {}", self.requests, self.outcomes.summary());
        format!("{total}\n\n{counts}\n\n{latencies}")
    }
}

fn add_row(table: &mut Table, service: &str, name: &str, percentiles: Option<Percentiles>) {
    let Some(values) = percentiles else {
        return;
    };
    let numbers = [values.p50_ms, values.p95_ms, values.p99_ms, values.max_ms];
    let cells = numbers.map(|number| format!("{number:.1}"));
    let mut row = vec![service.to_owned(), name.to_owned()];
    row.extend(cells);
    table.add_row(row);
}

fn add_counts(table: &mut Table, name: &str, late: &str, outcomes: &OutcomeCounts) {
    let total = outcomes.total().to_string();
    table.add_row([name, &total, late, &outcomes.summary()]);
}
