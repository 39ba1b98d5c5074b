//! Measures for how long after each fault requests ended without a result.

use std::time::Duration;

use beryltray_stand_ins::invocation::CallerOutcome;
use beryltray_stand_ins::invocation::Invocation;
use serde::Deserialize;
use serde::Serialize;

/// A fault that was injected during a trial.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InjectedFault {
    /// The description of the fault.
    pub fault: String,
    /// When it was injected, in Unix microseconds.
    pub at_unix_us: u64,
}

/// The results of the requests between a fault and the next one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Recovery {
    /// The description of the fault.
    pub fault: String,
    /// The number of requests that were scheduled for that time.
    pub requests: u64,
    /// The number of those without a result.
    pub incomplete_requests: u64,
    /// The time from the fault to the end of the last request without a result, or zero if all have
    /// one.
    pub recovery_time: Duration,
}

/// Returns one recovery per fault, in the order of the faults.
///
/// A repeated attempt that is answered with "in progress" counts as having a result, since the
/// other attempt under its key has it.
pub fn recoveries(invocations: &[Invocation], faults: &[InjectedFault]) -> Vec<Recovery> {
    let ends = faults.iter().skip(1).map(|fault| fault.at_unix_us);
    let ends = ends.chain([u64::MAX]);
    let spans = faults.iter().zip(ends);
    let recoveries = spans.map(|(fault, end_unix_us)| {
        let span = fault.at_unix_us..end_unix_us;
        let within = invocations.iter();
        let within = within.filter(|invocation| span.contains(&invocation.intended_unix_us));
        recovery(fault, &within.collect::<Vec<_>>())
    });
    recoveries.collect()
}

fn recovery(fault: &InjectedFault, invocations: &[&Invocation]) -> Recovery {
    let incomplete = invocations.iter();
    let incomplete = incomplete.filter(|invocation| !has_result(invocation.outcome));
    let ends = incomplete.map(|invocation| invocation.ended_unix_us);
    let ends = ends.collect::<Vec<_>>();
    let last_end = ends.iter().max().copied();
    let whole_after_us = last_end.map_or(0, |end| end.saturating_sub(fault.at_unix_us));
    Recovery {
        fault: fault.fault.clone(),
        requests: invocations.len() as u64,
        incomplete_requests: ends.len() as u64,
        recovery_time: Duration::from_micros(whole_after_us),
    }
}

fn has_result(outcome: CallerOutcome) -> bool {
    matches!(outcome, CallerOutcome::Complete | CallerOutcome::InProgress)
}
