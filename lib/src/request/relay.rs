//! Relays requests to other data centres and answers requests relayed from them.
//!
//! A request is relayed over at most one hop, and the relay is never retried. The other data centre
//! applies its own limits and routing.

use std::time::Duration;

use http::Response;
use http_body_util::BodyExt as _;
use tokio::sync::mpsc;

use super::answer::broken_stream_event;
use super::answer::relayed_answer;
use super::caller::AnswerShape;
use super::caller::OUTCOME_HEADER;
use super::context::RequestContext;
use super::entry_context::EntryContext;
use super::entry_context::ServicePool;
use super::handler::CallerHandler;
use super::outcome::Outcome;
use super::outcome::UnknownReason;
use crate::clock::Clock;
use crate::connection::body::BodySender;
use crate::connection::body::ResponseBody;
use crate::connection::body::streamed_body;
use crate::connection::relay::AnswerPart;
use crate::connection::relay::OutboundRequest;
use crate::connection::relay::RelayHandler;
use crate::connection::relay::RelayedRequest;
use crate::connection::relay::client::RelayError;
use crate::connection::relay::client::RelayedAnswer;
use crate::ids::DataCentreId;
use crate::request::spill::SpillQuery;

/// Retry delay sent for a relayed request that was not run or is invalid.
const NOT_RUN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Result of relaying a request, up to the head of the answer.
#[derive(Debug)]
pub enum RelayOutcome {
    /// The other data centre began to answer.
    Answered {
        /// Status and media type of the answer.
        head: RelayHead,
        /// Remaining parts of the answer.
        answer: Box<RelayedAnswer>,
    },
    /// The request was definitely not run there and can be served locally.
    NotRun,
    /// The request may have run there.
    Unknown,
}

/// The head of a relayed answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayHead {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
}

/// Returns the data centre to relay a request to; `None` if it should be served locally.
pub fn choose_relay_data_centre<E>(state: &E, context: &RequestContext) -> Option<DataCentreId>
where
    E: EntryContext,
{
    if !context.is_idempotent {
        return None;
    }
    let now = state.clock().now();
    let service = &context.request.service;
    let expected_time = state.services().expected_time(service);
    let query = SpillQuery {
        was_relayed: context.was_relayed,
        local_wait: state.services().local_wait(service, now),
        allowed_wait: context.remaining(now).saturating_sub(expected_time),
        draw: rand::random(),
    };
    match state.services().choose_spill(service, query, now) {
        Ok(data_centre) => {
            log::info!(
                request:% = context.request.id, service:% = service, chosen:% = data_centre;
                "relay"
            );
            Some(data_centre)
        }
        Err(reason) => {
            log::trace!(request:% = context.request.id; "not relayed: {reason}");
            None
        }
    }
}

/// Relays a request to `data_centre`, without retries, and waits for the head of the answer.
pub async fn relay_request<E>(
    state: &E,
    context: &RequestContext,
    data_centre: &DataCentreId,
) -> RelayOutcome
where
    E: EntryContext,
{
    let service = &context.request.service;
    let connected = state.connect_relay(data_centre, rand::random()).await;
    let Some((entry, mut connection)) = connected else {
        state.services().on_spill_refused(service, data_centre);
        return RelayOutcome::NotRun;
    };
    let remaining = context.remaining(state.clock().now());
    let submitted = connection.submit(outbound_request(context, remaining));
    let first = async { first_part(submitted.await?).await };
    let first = tokio::time::timeout(remaining, first).await;
    match first {
        Ok(Ok((
            Some(AnswerPart::Head {
                status,
                content_type,
            }),
            answer,
        ))) => {
            let head = RelayHead {
                status,
                content_type,
            };
            let answer = Box::new(answer);
            RelayOutcome::Answered { head, answer }
        }
        Ok(Ok((Some(AnswerPart::NotRun { .. }), _)))
        | Ok(Err(RelayError::NotSent { .. } | RelayError::Refused { .. })) => {
            state.services().on_spill_refused(service, data_centre);
            state.forget_relay(&entry);
            RelayOutcome::NotRun
        }
        Ok(Ok(_)) | Ok(Err(RelayError::BrokenOff { .. })) | Err(_) => {
            state.services().on_spill_refused(service, data_centre);
            state.forget_relay(&entry);
            RelayOutcome::Unknown
        }
    }
}

async fn first_part(
    mut answer: RelayedAnswer,
) -> Result<(Option<AnswerPart>, RelayedAnswer), RelayError> {
    let first = answer.next().await?;
    Ok((first, answer))
}

fn outbound_request(context: &RequestContext, time_left: Duration) -> OutboundRequest {
    let request = &context.request;
    OutboundRequest {
        request: request.id.clone(),
        account: context.account.name.clone(),
        service: request.service.clone(),
        operation: request.operation.clone(),
        priority: request.priority,
        time_left,
        idempotency_key: request.idempotency_key.clone(),
        content_type: request.content_type.clone(),
        body: request.original_body.clone(),
    }
}

/// Returns the response to the caller, whose body streams the relayed answer.
pub fn answer_from_relay(
    context: &RequestContext,
    head: RelayHead,
    answer: Box<RelayedAnswer>,
) -> Response<ResponseBody> {
    let (sender, body) = streamed_body();
    let is_stream = context.request.shape == AnswerShape::Stream;
    tokio::spawn(forward_parts(answer, sender, is_stream));
    relayed_answer(&context.request.id, head.status, &head.content_type, body)
}

/// Forwards the parts to the caller. An answer without its end marker breaks off for the caller
/// too.
async fn forward_parts(mut answer: Box<RelayedAnswer>, sender: BodySender, is_stream: bool) {
    loop {
        let part = tokio::select! {
            part = answer.next() => part,
            () = sender.closed() => return,
        };
        match part {
            Ok(Some(AnswerPart::Data(data))) => {
                if sender.send(data).await.is_err() {
                    return;
                }
            }
            Ok(Some(AnswerPart::End)) => return sender.finish(),
            _ => break,
        }
    }
    if is_stream {
        let reason = UnknownReason::ConnectionLost;
        let event = broken_stream_event(&Outcome::Unknown { reason });
        // The send fails only if the caller has disconnected.
        let _ = sender.send(event).await;
    }
}

impl<E> RelayHandler for CallerHandler<E>
where
    E: EntryContext,
{
    async fn relay(&self, request: RelayedRequest, parts: mpsc::Sender<AnswerPart>) {
        let response = self.answer_relayed(request.request().clone()).await;
        if send_parts(response, &parts).await.is_err() {
            log::debug!(
                "relayed answer incomplete: its body broke off or the relaying entry disconnected"
            );
        }
    }
}

/// The relaying entry disconnected or the body broke off before the end of the answer.
#[derive(Clone, Copy, Debug)]
struct RelayAborted;

async fn send_parts(
    response: Response<ResponseBody>,
    parts: &mpsc::Sender<AnswerPart>,
) -> Result<(), RelayAborted> {
    let (head, mut body) = response.into_parts();
    let outcome = head.headers.get(OUTCOME_HEADER);
    let outcome = outcome.and_then(|outcome| outcome.to_str().ok());
    let reason = head.status.to_string();
    match outcome {
        Some("not-run" | "invalid") => {
            let retry_after = NOT_RUN_RETRY_AFTER;
            let part = AnswerPart::NotRun {
                reason,
                retry_after,
            };
            return send(parts, part).await;
        }
        Some("unknown") => return send(parts, AnswerPart::Unknown { reason }).await,
        _ => {}
    }
    let content_type = head.headers.get(http::header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let part = AnswerPart::Head {
        status: head.status.as_u16(),
        content_type: content_type.unwrap_or_default().to_owned(),
    };
    send(parts, part).await?;
    while let Some(frame) = body.frame().await {
        // If the body breaks off, the parts end without `AnswerPart::End`.
        let frame = frame.map_err(|_| RelayAborted)?;
        if let Ok(data) = frame.into_data() {
            send(parts, AnswerPart::Data(data)).await?;
        }
    }
    send(parts, AnswerPart::End).await
}

async fn send(parts: &mpsc::Sender<AnswerPart>, part: AnswerPart) -> Result<(), RelayAborted> {
    parts.send(part).await.map_err(|_| RelayAborted)
}
