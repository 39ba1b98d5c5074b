//! Forwards requests whose answers are read completely before they are returned.

use std::time::Duration;

use http::Response;

use super::context::ForwardContext;
use super::context::TargetReservation as _;
use super::plan::AnswerTimeout;
use super::plan::NextStep;
use super::plan::SendFailure;
use super::protocol::CallerProtocol as _;
use super::protocol::Failure;
use super::send::AnswerStart;
use super::send::ForwardedRequest;
use super::send::log_request;
use crate::connection::body::ResponseBody;
use crate::connection::body::full_body;
use crate::connection::body::read_body_within;

/// The maximum size of an answer's body. A larger answer is treated as broken.
pub const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;
/// The timeout of a repeatable request's send as a multiple of the latency target. The last send
/// has the time to the deadline.
const SEND_TIMEOUT_FACTOR: f64 = 0.9;

/// A target's complete answer.
struct CompleteAnswer {
    response: Response<ResponseBody>,
    /// Whether the status is a server error.
    is_failure: bool,
}

/// Sends a request until a target answers it or no further send is possible. In the latter case,
/// the last failure answer of a target is returned, if there is one.
pub(super) async fn forward_buffered<X>(
    mut forwarded: ForwardedRequest<X>,
) -> Result<Response<ResponseBody>, Failure>
where
    X: ForwardContext,
{
    let mut last_failure_answer: Option<Response<ResponseBody>> = None;
    loop {
        let target = match forwarded.reserve_target().await {
            Ok(target) => target,
            Err(failure) => return last_failure_answer.ok_or(failure),
        };
        let host = target.host().clone();
        let timeout = send_timeout(&forwarded);
        let send_failure = match send_buffered(&mut forwarded, target, timeout).await {
            Ok(answer) if !answer.is_failure => return Ok(answer.response),
            Ok(answer) => {
                last_failure_answer = Some(answer.response);
                SendFailure::TargetFailed
            }
            Err(send_failure) => send_failure,
        };
        forwarded.exclude(&host);
        if forwarded.time_left().is_zero() {
            return last_failure_answer.ok_or(forwarded.plan.timeout_failure());
        }
        match forwarded.next_step(send_failure) {
            NextStep::SendAgain => {}
            NextStep::ReturnTargetFailure => {
                return last_failure_answer.ok_or(forwarded.plan.timeout_failure());
            }
            NextStep::End(failure) => return last_failure_answer.ok_or(failure),
        }
    }
}

/// Returns the timeout of the next send.
fn send_timeout<X>(forwarded: &ForwardedRequest<X>) -> Duration
where
    X: ForwardContext,
{
    let left = forwarded.time_left();
    let is_last = forwarded.plan.sends() + 1 >= forwarded.route.attempts_max;
    if is_last || !forwarded.route.kind.is_repeatable() {
        return left;
    }
    left.min(forwarded.route.latency_target.mul_f64(SEND_TIMEOUT_FACTOR))
}

async fn send_buffered<X>(
    forwarded: &mut ForwardedRequest<X>,
    target: X::Reservation,
    timeout: Duration,
) -> Result<CompleteAnswer, SendFailure>
where
    X: ForwardContext,
{
    let started = forwarded.context.now();
    let AnswerStart {
        mut target,
        connection,
        head,
        answer,
        body,
    } = forwarded
        .send_once(target, None, AnswerTimeout::fixed(timeout))
        .await?;
    let spent = forwarded.context.now().saturating_duration_since(started);
    let memory = forwarded.context.body_memory();
    let left = timeout.saturating_sub(spent);
    let read = read_body_within(body, ANSWER_LIMIT_BYTES, left, memory).await;
    drop(connection);
    let bytes = match read {
        Ok(bytes) => bytes,
        Err(error) => {
            log_request!(forwarded, target:% = target.host();
                "answer is not whole: {error}"
            );
            target.on_end(Some(SendFailure::Broken));
            return Err(SendFailure::Broken);
        }
    };
    let is_success = head.status.is_success();
    if is_success && !answer.is_signed {
        forwarded.log_send(&target, "answer is not signed", head.status.as_u16());
        target.on_end(Some(SendFailure::Broken));
        return Err(SendFailure::Broken);
    }
    let is_failure = head.status.is_server_error();
    target.on_end(is_failure.then_some(SendFailure::TargetFailed));
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = head.status;
    *response.headers_mut() = forwarded.context.protocol().caller_headers(&head.headers);
    Ok(CompleteAnswer {
        response,
        is_failure,
    })
}
