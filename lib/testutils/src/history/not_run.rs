//! What a caller is told was not run, was not run, neither before nor after it was told.
//!
//! A run is explained by a try that was sent before it and was not told "not run". This also finds
//! a run that comes only after the answer.

use beryltray_stand_ins::invocation::Invocation;

use super::Guarantee;
use super::History;
use super::Run;
use super::Verdict;
use super::Violation;
use super::is_told_not_run;

pub(super) fn check(history: &History) -> Verdict {
    let invocations = history.invocations_by_marker();
    let told = invocations.iter();
    let told = told.filter(|invocation| is_told_not_run(invocation.outcome));
    let checked_operations = told.count() as u64;
    let mut violations = Vec::new();
    for run in history.runs() {
        let start = invocations.partition_point(|other| other.marker < run.marker);
        let own = invocations[start..].iter();
        let own = own.take_while(|other| other.marker == run.marker);
        let mut tries = own
            .copied()
            .filter(|other| may_cause(other, &run))
            .peekable();
        let is_known = tries.peek().is_some();
        if is_known && tries.all(|other| is_told_not_run(other.outcome)) {
            violations.push(Violation::RanDespiteNotRun { marker: run.marker });
        }
    }
    Verdict {
        guarantee: Guarantee::NotRun,
        checked_operations,
        violations,
    }
}

fn may_cause(invocation: &Invocation, run: &Run) -> bool {
    invocation.sent_unix_us <= run.received_unix_us
}
