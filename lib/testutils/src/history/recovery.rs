//! How long after each fault the callers still had requests without a result.

use std::time::Duration;

use beryltray_stand_ins::invocation::CallerOutcome;
use beryltray_stand_ins::invocation::Invocation;
use serde::Deserialize;
use serde::Serialize;

/// A fault of a trial.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InjectedFault {
    /// What was done.
    pub fault: String,
    /// When.
    pub at_unix_us: u64,
}

/// What became of the requests between a fault and the next one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Recovery {
    /// The fault.
    pub fault: String,
    /// The requests that were meant to be sent in that time.
    pub requests: u64,
    /// Those without a result.
    pub incomplete_requests: u64,
    /// The time from the fault to the end of the last one without a result.
    pub recovery_time: Duration,
}

/// Returns the recoveries, one a fault, in the order of the faults.
///
/// A further try under one key that is told of work in flight has its result from the other try,
/// and does not count as one without a result.
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
