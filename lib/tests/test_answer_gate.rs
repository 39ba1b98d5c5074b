//! Tests of the decision what a caller gets of a target's answer.

use beryltray_lib::request::forward::answer_gate::AnswerUse;
use beryltray_lib::request::forward::answer_gate::judge_answer;
use beryltray_lib::request::forward::protocol::AnswerHead;
use beryltray_lib::request::forward::protocol::Failure;
use beryltray_lib::request::forward::protocol::StatedLimit;
use beryltray_lib::request::outcome::UnknownReason;
use beryltray_lib::version::routes::RouteKind;
use http::StatusCode;

const KINDS: [RouteKind; 4] = [
    RouteKind::Idempotent,
    RouteKind::NonIdempotent,
    RouteKind::Stream { is_resumable: true },
    RouteKind::Stream {
        is_resumable: false,
    },
];

fn head(promises_not_run: bool) -> AnswerHead {
    head_with_signature(promises_not_run, true)
}

fn head_with_signature(promises_not_run: bool, is_signed: bool) -> AnswerHead {
    AnswerHead {
        request_id: Some(String::from("9c41")),
        is_not_run: false,
        promises_not_run,
        is_misdirected: false,
        is_signed,
        is_encoded: false,
        load: None,
        limit: StatedLimit::Unlimited,
        is_leaving: false,
        backoff: None,
        faulty_host: None,
    }
}

/// Guards against a status that promises the caller of a request that must not be repeated what no
/// target attests, whatever the status and the route are.
#[test]
fn judge_answer_promise_without_attestation_is_replaced_unless_repeatable() {
    let unattested = Failure::Unknown(UnknownReason::UnattestedRefusal);
    for kind in KINDS {
        let expected = if kind.is_repeatable() {
            AnswerUse::ReturnIfLast
        } else {
            AnswerUse::Replace(unattested)
        };
        for status in (200..600).map(|status| StatusCode::from_u16(status).unwrap()) {
            assert_eq!(
                judge_answer(kind, status, &head(true)),
                expected,
                "{status} on {kind}"
            );
        }
    }
}

#[test]
fn judge_answer_other_failure_is_returned_unchanged() {
    for kind in KINDS {
        for status in [500, 501, 502, 504, 599] {
            let status = StatusCode::from_u16(status).unwrap();
            let answer_use = judge_answer(kind, status, &head(false));
            assert_eq!(answer_use, AnswerUse::ReturnIfLast, "{status} on {kind}");
        }
        for status in [300, 304, 400, 404, 409, 499] {
            let status = StatusCode::from_u16(status).unwrap();
            let expected = if kind.is_stream() {
                AnswerUse::ReturnIfLast
            } else {
                AnswerUse::Return
            };
            let answer_use = judge_answer(kind, status, &head(false));
            assert_eq!(answer_use, expected, "{status} on {kind}");
        }
    }
}

/// Guards against a success without a signature that is returned because its status is not 200.
#[test]
fn judge_answer_success_is_returned_only_with_signature() {
    for kind in KINDS {
        for status in (200..300).map(|status| StatusCode::from_u16(status).unwrap()) {
            for (is_signed, expected) in [(true, AnswerUse::Return), (false, AnswerUse::Discard)] {
                let answer = head_with_signature(false, is_signed);
                let answer_use = judge_answer(kind, status, &answer);
                assert_eq!(answer_use, expected, "{status} on {kind}, {is_signed}");
            }
        }
    }
}
