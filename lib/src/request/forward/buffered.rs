//! Forwards requests whose answers are read completely before they are returned.

use std::sync::Arc;
use std::time::Duration;

use http::Response;

use super::context::ForwardContext;
use super::context::TargetReservation as _;
use super::plan::AnswerTimeout;
use super::plan::SendFailure;
use super::protocol::Failure;
use super::send::AnswerStart;
use super::send::PlannedSend;
use super::send::SILENCE_MIN;
use super::send::log_request;
use super::sends::RequestSends;
use super::sends::SendEnd;
use super::sends::first_answer;
use crate::connection::body::ResponseBody;
use crate::connection::body::read_body_within;

/// The maximum size of an answer's body. A larger answer is treated as broken.
pub const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;
/// The time after which a repeatable request is sent to another target too, as a multiple of the
/// latency target.
const SEND_TIMEOUT_FACTOR: f64 = 0.9;

/// Sends a request until a target answers it or no further send is possible. In the latter case, the
/// request ends as the last failure of a target says, if there is one.
pub(super) async fn forward_buffered<X>(
    mut sends: RequestSends<X>,
) -> Result<Response<ResponseBody>, Failure>
where
    X: ForwardContext,
{
    let first = sends.next_send().await?;
    first_answer(&mut sends, first, send_buffered).await
}

/// Returns how long a target may take for each part of its answer before it counts as silent, or
/// `None` if the request is not sent again for that.
fn silence_timeout<X>(send: &PlannedSend<X>) -> Option<Duration>
where
    X: ForwardContext,
{
    let route = &send.request.route;
    let is_watched = route.kind.is_repeatable() && !send.is_last;
    let timeout = route.latency_target.mul_f64(SEND_TIMEOUT_FACTOR);
    is_watched.then(|| timeout.max(SILENCE_MIN))
}

async fn send_buffered<X>(send: PlannedSend<X>) -> SendEnd<Response<ResponseBody>>
where
    X: ForwardContext,
{
    let timeout = silence_timeout(&send);
    let started = send.send(None, timeout.map(AnswerTimeout::fixed)).await;
    let AnswerStart {
        mut send,
        connection,
        head,
        answer,
        body,
    } = match started {
        Ok(started) => started,
        Err(send_failure) => return SendEnd::Failed(send_failure),
    };
    let request = Arc::clone(&send.request);
    let memory = request.context.body_memory();
    let read = read_body_within(body, ANSWER_LIMIT_BYTES, request.time_left(), memory);
    let mut read = std::pin::pin!(read);
    let read = loop {
        tokio::select! {
            read = &mut read => break read,
            () = expire(timeout) => send.on_silence(),
        }
    };
    drop(connection);
    let bytes = match read {
        Ok(bytes) => bytes,
        Err(error) => {
            let request = &send.request;
            log_request!(request, target:% = send.target.host(); "answer is not whole: {error}");
            send.target.on_end(Some(SendFailure::Broken));
            return SendEnd::Failed(SendFailure::Broken);
        }
    };
    send.end_with_answer(&head, &answer, bytes)
}

/// Waits for `timeout`; forever without one.
async fn expire(timeout: Option<Duration>) {
    match timeout {
        Some(timeout) => tokio::time::sleep(timeout).await,
        None => std::future::pending().await,
    }
}
