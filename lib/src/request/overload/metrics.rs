//! The metrics of the overload control.

use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;

use super::admission::WaitLimit;
use super::returns::Promise;
use crate::ids::ServiceId;

/// Decisions to admit or refuse a request, by service, priority, basis of the limit and result.
const ADMISSIONS: &str = "beryltray_overload_admissions_total";
/// Callers of refused requests that were told when to return, by service and whether room is kept.
const PROMISES: &str = "beryltray_overload_promises_total";

/// The counters of an entry's overload control.
#[derive(Clone, Debug)]
pub struct OverloadMetrics {
    admissions: IntCounterVec,
    promises: IntCounterVec,
}

impl OverloadMetrics {
    /// Creates the counters. Fails if a name or label is invalid.
    pub fn new() -> Result<Self, prometheus::Error> {
        Ok(Self {
            admissions: IntCounterVec::new(
                Opts::new(
                    ADMISSIONS,
                    "Requests admitted to a target's queue or refused, by what limits their wait.",
                ),
                &["service", "priority", "limit", "admitted"],
            )?,
            promises: IntCounterVec::new(
                Opts::new(PROMISES, "Callers of refused requests told when to return."),
                &["service", "kept"],
            )?,
        })
    }

    /// Registers the counters. Fails if one is registered already.
    pub fn register(&self, registry: &Registry) -> Result<(), prometheus::Error> {
        registry.register(Box::new(self.admissions.clone()))?;
        registry.register(Box::new(self.promises.clone()))
    }

    /// Counts a decision about a request.
    pub fn count_decision(
        &self,
        service: &ServiceId,
        priority: u8,
        limit: WaitLimit,
        is_admitted: bool,
    ) {
        let (priority, basis) = (priority.to_string(), limit.basis.to_string());
        let labels = [service.as_str(), &priority, &basis, yes_or_no(is_admitted)];
        self.admissions.with_label_values(&labels).inc();
    }

    /// Counts a caller that was told when to return.
    pub fn count_promise(&self, service: &ServiceId, promise: Promise) {
        let labels = [service.as_str(), yes_or_no(promise.is_kept)];
        self.promises.with_label_values(&labels).inc();
    }
}

fn yes_or_no(is_true: bool) -> &'static str {
    if is_true { "yes" } else { "no" }
}
