//! Requests whose answers are passed on whole.

use std::time::Duration;

use http::Response;

use super::context::ForwardContext;
use super::context::TargetReservation as _;
use super::plan::AnswerTimeout;
use super::plan::NextStep;
use super::plan::SendFailure;
use super::protocol::CallerProtocol as _;
use super::protocol::Failure;
use super::send::Arrived;
use super::send::ForwardedRequest;
use super::send::log_request;
use crate::connection::body::ResponseBody;
use crate::connection::body::full_body;
use crate::connection::body::read_body;

/// The longest answer that is passed on whole.
const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;
/// How many latency targets a repeatable request waits for one target while another send is left.
const PATIENCE_TARGETS: f64 = 0.9;

/// A target's whole answer.
struct BufferedAnswer {
    response: Response<ResponseBody>,
    is_failure: bool,
}

/// Sends a request until a target has answered it or it is given up.
pub(super) async fn forward_buffered<X>(
    mut passage: ForwardedRequest<X>,
) -> Result<Response<ResponseBody>, Failure>
where
    X: ForwardContext,
{
    let mut failed: Option<Response<ResponseBody>> = None;
    loop {
        let target = match passage.reserve_target().await {
            Ok(target) => target,
            Err(failure) => return failed.ok_or(failure),
        };
        let host = target.host().clone();
        let limit = send_limit(&passage);
        let end = match send_buffered(&mut passage, target, limit).await {
            Ok(answer) if !answer.is_failure => return Ok(answer.response),
            Ok(answer) => {
                failed = Some(answer.response);
                SendFailure::TargetFailed
            }
            Err(end) => end,
        };
        passage.exclude(&host);
        if passage.time_left().is_zero() {
            return failed.ok_or(passage.plan.timeout_failure());
        }
        match passage.next_step(end) {
            NextStep::SendAgain => {}
            NextStep::PassOn => return failed.ok_or(passage.plan.timeout_failure()),
            NextStep::End(failure) => return failed.ok_or(failure),
        }
    }
}

/// Returns how long the next send may take.
fn send_limit<X>(passage: &ForwardedRequest<X>) -> Duration
where
    X: ForwardContext,
{
    let left = passage.time_left();
    let is_last = passage.plan.sends() + 1 >= passage.route.attempts_max;
    if is_last || !passage.route.kind.is_repeatable() {
        return left;
    }
    left.min(passage.route.latency_target.mul_f64(PATIENCE_TARGETS))
}

async fn send_buffered<X>(
    passage: &mut ForwardedRequest<X>,
    target: X::Reservation,
    limit: Duration,
) -> Result<BufferedAnswer, SendFailure>
where
    X: ForwardContext,
{
    let started = passage.context.now();
    let Arrived {
        mut target,
        connection,
        head,
        answer,
        body,
    } = passage
        .send_once(target, None, AnswerTimeout::fixed(limit))
        .await?;
    let spent = passage.context.now().saturating_duration_since(started);
    let read = read_body(body, ANSWER_LIMIT_BYTES, limit.saturating_sub(spent)).await;
    drop(connection);
    let bytes = match read {
        Ok(bytes) => bytes,
        Err(error) => {
            log_request!(passage, target:% = target.host();
                "answer is not whole: {error}"
            );
            target.on_end(Some(SendFailure::Broken));
            return Err(SendFailure::Broken);
        }
    };
    let is_success = head.status.is_success();
    if is_success && !answer.is_signed {
        passage.log_send(&target, "answer is not signed", head.status.as_u16());
        target.on_end(Some(SendFailure::Broken));
        return Err(SendFailure::Broken);
    }
    let is_failure = head.status.is_server_error();
    target.on_end(is_failure.then_some(SendFailure::TargetFailed));
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = head.status;
    *response.headers_mut() = passage.context.protocol().caller_headers(&head.headers);
    Ok(BufferedAnswer {
        response,
        is_failure,
    })
}
