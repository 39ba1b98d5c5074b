//! Checks that the attempts under one key are linearizable.
//!
//! The state of the object is whether the work has run. A complete attempt runs it or finds that it
//! has run. An attempt with the outcome "not run" must find that it has not. An attempt whose
//! outcome is unknown may take effect at any time up to the end of the history, so its response is
//! placed there.

use beryltray_stand_ins::invocation::CallerOutcome;
use beryltray_stand_ins::invocation::Invocation;
use todc_utils::Action;
use todc_utils::History as Actions;
use todc_utils::WGLChecker;
use todc_utils::specifications::Specification;

use super::Guarantee;
use super::History;
use super::Verdict;
use super::Violation;

/// The sequential specification of a piece of work; the state is whether it has run.
struct ClaimSpec;

impl Specification for ClaimSpec {
    type State = bool;
    type Operation = CallerOutcome;

    fn init() -> bool {
        false
    }

    fn apply(outcome: &CallerOutcome, is_run: &bool) -> (bool, bool) {
        match outcome {
            CallerOutcome::Complete | CallerOutcome::Failed => (true, true),
            CallerOutcome::NotRun | CallerOutcome::NotSent | CallerOutcome::Invalid => {
                (!is_run, *is_run)
            }
            CallerOutcome::InProgress => (true, *is_run),
            CallerOutcome::Unknown | CallerOutcome::Broken | CallerOutcome::NoAnswer => {
                (true, true)
            }
        }
    }
}

pub(super) fn check(history: &History) -> Verdict {
    let mut invocations = history.invocations_by_marker();
    invocations.retain(|invocation| invocation.key.is_some());
    let mut violations = Vec::new();
    for attempts in invocations.chunk_by(|a, b| a.marker == b.marker) {
        if !WGLChecker::<ClaimSpec>::is_linearizable(actions(attempts)) {
            violations.push(Violation::NotLinearizable {
                marker: attempts[0].marker.clone(),
                outcomes: attempts
                    .iter()
                    .map(|invocation| invocation.outcome)
                    .collect(),
            });
        }
    }
    Verdict {
        guarantee: Guarantee::LinearizableClaims,
        checked_operations: invocations.len() as u64,
        violations,
    }
}

fn actions(attempts: &[&Invocation]) -> Actions<CallerOutcome> {
    let mut timed = Vec::new();
    for (process, invocation) in attempts.iter().enumerate() {
        let outcome = invocation.outcome;
        let call = (invocation.sent_unix_us, process, Action::Call(outcome));
        timed.push(call);
        timed.push((
            response_unix_us(invocation),
            process,
            Action::Response(outcome),
        ));
    }
    timed.sort_by_key(|(at_unix_us, _, _)| *at_unix_us);
    let actions = timed.into_iter();
    let actions = actions.map(|(_, process, action)| (process, action));
    Actions::from_actions(actions.collect())
}

/// Returns the time of the response, which is the end of the history if the outcome is unknown.
fn response_unix_us(invocation: &Invocation) -> u64 {
    match invocation.outcome {
        CallerOutcome::Unknown | CallerOutcome::Broken | CallerOutcome::NoAnswer => u64::MAX,
        _ => invocation.ended_unix_us,
    }
}
