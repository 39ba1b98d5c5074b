//! Counts and percentiles of a run.

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

/// The longest latency that is told apart, in microseconds.
const LATENCY_MAX_US: u64 = 3_600_000_000;
/// The significant digits of a latency.
const LATENCY_DIGITS: u8 = 3;
const MICROSECONDS_PER_MS: f64 = 1000.0;

/// Latencies, in microseconds.
#[derive(Debug)]
pub(crate) struct Latencies(Option<Histogram<u64>>);

impl Default for Latencies {
    fn default() -> Self {
        Self(Histogram::new_with_max(LATENCY_MAX_US, LATENCY_DIGITS).ok())
    }
}

impl Latencies {
    /// Adds a latency.
    pub(crate) fn add(&mut self, latency: Duration) {
        let latency_us = u64::try_from(latency.as_micros()).unwrap_or(LATENCY_MAX_US);
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record(latency_us.clamp(1, LATENCY_MAX_US));
        }
    }

    /// Returns the percentiles, or `None` without any latency.
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
    /// Half of the requests are quicker.
    pub(crate) p50_ms: f64,
    /// 95 of 100 are quicker.
    pub(crate) p95_ms: f64,
    /// 99 of 100 are quicker.
    pub(crate) p99_ms: f64,
    /// The slowest.
    pub(crate) max_ms: f64,
}

/// The number of requests by their outcome.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct OutcomeCounts(Vec<OutcomeCount>);

/// How many requests had an outcome.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct OutcomeCount {
    outcome: CallerOutcome,
    requests: u64,
}

impl OutcomeCounts {
    /// Adds a request.
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

    /// Returns how many requests had `outcome`.
    pub(crate) fn of(&self, outcome: CallerOutcome) -> u64 {
        let found = self.0.iter().find(|count| count.outcome == outcome);
        found.map_or(0, |count| count.requests)
    }

    /// Returns the number of requests.
    pub(crate) fn total(&self) -> u64 {
        self.0.iter().map(|count| count.requests).sum()
    }

    /// Returns the counts in one line.
    pub(crate) fn line(&self) -> String {
        let words = self.0.iter();
        let words = words.map(|count| format!("{} {}", count.outcome, count.requests));
        words.collect::<Vec<_>>().join(", ")
    }
}

/// What became of the requests to a service.
#[derive(Debug)]
pub(crate) struct ServiceStats {
    service: ServiceId,
    outcomes: OutcomeCounts,
    first_token: Latencies,
    between_tokens: Latencies,
    whole: Latencies,
    late_requests: u64,
}

impl Keyed for ServiceStats {
    type Key = ServiceId;

    fn key(&self) -> &ServiceId {
        &self.service
    }
}

/// What became of the requests of an account.
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

/// One request with its latencies, all from the time at which it was meant to be sent.
#[derive(Clone, Debug)]
pub(crate) struct Sample {
    /// The service.
    pub(crate) service: ServiceId,
    /// The account.
    pub(crate) account: AccountId,
    /// The outcome.
    pub(crate) outcome: CallerOutcome,
    /// The time to the first token, if one came.
    pub(crate) first_token: Option<Duration>,
    /// The times between tokens.
    pub(crate) between_tokens: Vec<Duration>,
    /// The time to the outcome.
    pub(crate) whole: Duration,
    /// Whether the outcome came after the deadline.
    pub(crate) is_late: bool,
}

/// The counts and latencies of a run.
#[derive(Debug, Default)]
pub(crate) struct LoadStats {
    /// The requests by outcome.
    pub(crate) outcomes: OutcomeCounts,
    services: SortedVec<ServiceStats>,
    accounts: SortedVec<AccountStats>,
}

impl LoadStats {
    /// Adds a request.
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
                first_token: Latencies::default(),
                between_tokens: Latencies::default(),
                whole: Latencies::default(),
                late_requests: 0,
            });
        service.add(sample);
    }

    /// Returns the results.
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
        self.whole.add(sample.whole);
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
            whole: self.whole.percentiles(),
        }
    }
}

/// The results of a run; latencies are those of complete answers.
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
    /// Returns the results as tables for people.
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
        let total = format!("{} requests: {}", self.requests, self.outcomes.line());
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
    table.add_row([name, &total, late, &outcomes.line()]);
}
