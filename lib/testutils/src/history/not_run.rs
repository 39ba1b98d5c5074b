//! Checks that a request that was reported as not run did not run, neither before nor after the
//! report.
//!
//! Each run needs an attempt that was sent before it and was not reported as not run. This also
//! finds a run after the answer.

use beryltray_stand_ins::invocation::Invocation;

use super::Guarantee;
use super::History;
use super::Run;
use super::Verdict;
use super::Violation;
use super::is_reported_not_run;

pub(super) fn check(history: &History) -> Verdict {
    let invocations = history.invocations_by_marker();
    let reported = invocations.iter();
    let reported = reported.filter(|invocation| is_reported_not_run(invocation.outcome));
    let checked_operations = reported.count() as u64;
    let mut violations = Vec::new();
    for run in history.runs() {
        let start = invocations.partition_point(|other| other.marker < run.marker);
        let own = invocations[start..].iter();
        let own = own.take_while(|other| other.marker == run.marker);
        let mut attempts = own
            .copied()
            .filter(|other| can_cause(other, &run))
            .peekable();
        let has_attempts = attempts.peek().is_some();
        if has_attempts && attempts.all(|other| is_reported_not_run(other.outcome)) {
            violations.push(Violation::RanDespiteNotRun { marker: run.marker });
        }
    }
    Verdict {
        guarantee: Guarantee::NotRun,
        checked_operations,
        violations,
    }
}

fn can_cause(invocation: &Invocation, run: &Run) -> bool {
    invocation.sent_unix_us <= run.received_unix_us
}
