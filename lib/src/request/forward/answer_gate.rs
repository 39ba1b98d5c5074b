//! Decides whether a target's answer may be returned to the caller.
//!
//! Each answer of a target passes [`judge_answer`] on its way out: those of plain routes and of
//! streams, those that a target gave to this entry and those that another entry passes on.
//! `docs/design/answers.md` has the rules and their reasons.

use http::StatusCode;

use super::protocol::AnswerHead;
use super::protocol::Failure;
use crate::request::outcome::UnknownReason;
use crate::version::routes::RouteKind;

/// What becomes of a target's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerUse {
    /// It ends the request and is returned unchanged.
    Return,
    /// The target failed. If no other target brings an answer, this one is returned unchanged.
    ReturnIfLast,
    /// The target failed, and its status would tell the caller what the target does not attest. If no
    /// other target brings an answer, the request ends with this failure.
    Replace(Failure),
    /// It is no answer to this request: a success without the target's signature.
    Discard,
}

/// Decides what becomes of a target's answer to a request on a route of `kind`.
///
/// The head of the answer is enough for the decision. The body of a success must also be read to its end, or
/// be forwarded so that an incomplete one does not look complete.
///
/// A target's attestation that it did not run the request is no answer to return, and never gets here.
pub fn judge_answer(kind: RouteKind, status: StatusCode, answer: &AnswerHead) -> AnswerUse {
    if answer.promises_not_run {
        // The target was sent the request and does not attest that it was not run. A caller may
        // repeat an idempotent request anyway, and gains by the target's own status.
        return if kind.is_repeatable() {
            AnswerUse::ReturnIfLast
        } else {
            AnswerUse::Replace(Failure::Unknown(UnknownReason::UnattestedRefusal))
        };
    }
    // A target that answers without a stream where one is due has failed, whatever its status is.
    let has_no_stream = kind.is_stream() && !status.is_success();
    if status.is_success() && !answer.is_signed {
        AnswerUse::Discard
    } else if status.is_server_error() || has_no_stream {
        AnswerUse::ReturnIfLast
    } else {
        AnswerUse::Return
    }
}
