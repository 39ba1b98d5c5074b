//! Complete answers are whole and the request's own; broken ones hold nothing foreign.

use beryltray_stand_ins::answer::full_answer_text;
use beryltray_stand_ins::answer::plain_marker;
use beryltray_stand_ins::invocation::CallerOutcome;
use beryltray_stand_ins::invocation::Invocation;

use super::Guarantee;
use super::History;
use super::Verdict;
use super::Violation;

pub(super) fn check(history: &History) -> Verdict {
    let is_answered = |outcome| matches!(outcome, CallerOutcome::Complete | CallerOutcome::Broken);
    let answered = history.invocations.iter();
    let answered = answered.filter(|invocation| is_answered(invocation.outcome));
    let answered = answered.collect::<Vec<_>>();
    let violations = answered.iter().filter_map(|invocation| breach(invocation));
    Verdict {
        guarantee: Guarantee::AnswerIntegrity,
        checked_operations: answered.len() as u64,
        violations: violations.collect(),
    }
}

fn breach(invocation: &Invocation) -> Option<Violation> {
    let marker = invocation.marker.clone();
    let answer = invocation.answer.clone();
    if invocation.operation.is_some() {
        let is_own = plain_marker(answer.as_bytes()) == marker;
        return (!is_own).then_some(Violation::WrongAnswer { marker, answer });
    }
    let whole = full_answer_text(&marker, invocation.expected_tokens);
    if invocation.outcome == CallerOutcome::Complete {
        let is_whole = whole == answer;
        return (!is_whole).then_some(Violation::WrongAnswer { marker, answer });
    }
    let is_own = whole.starts_with(&answer);
    (!is_own).then_some(Violation::ForeignContent { marker, answer })
}
