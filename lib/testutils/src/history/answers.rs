//! Checks that a complete answer is the full answer to its request, and that a broken one is a
//! prefix of it.

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
    let violations = answered
        .iter()
        .filter_map(|invocation| find_violation(invocation));
    Verdict {
        guarantee: Guarantee::AnswerIntegrity,
        checked_operations: answered.len() as u64,
        violations: violations.collect(),
    }
}

fn find_violation(invocation: &Invocation) -> Option<Violation> {
    let marker = invocation.marker.clone();
    let answer = invocation.answer.clone();
    if invocation.operation.is_some() {
        let is_own = plain_marker(answer.as_bytes()) == marker;
        return (!is_own).then_some(Violation::WrongAnswer { marker, answer });
    }
    let expected = full_answer_text(&marker, invocation.expected_tokens);
    if invocation.outcome == CallerOutcome::Complete {
        let is_whole = expected == answer;
        return (!is_whole).then_some(Violation::WrongAnswer { marker, answer });
    }
    let is_own = expected.starts_with(&answer);
    (!is_own).then_some(Violation::ForeignContent { marker, answer })
}
