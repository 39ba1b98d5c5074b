//! Forwards requests whose answers are streams of events.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt as _;

use super::context::ForwardContext;
use super::context::TargetReservation as _;
use super::events::BlockKind;
use super::events::EventPosition;
use super::events::EventSplitter;
use super::events::ProgressTracker;
use super::events::StreamPosition;
use super::plan::AnswerTimeout;
use super::plan::NextStep;
use super::plan::STALL_LIMIT;
use super::plan::SendFailure;
use super::protocol::CallerProtocol as _;
use super::protocol::Failure;
use super::send::AnswerStart;
use super::send::ForwardedRequest;
use super::send::OrNone;
use super::send::STALL_CHECK_INTERVAL;
use super::send::log_request;
use crate::connection::body::BodySender;
use crate::connection::body::ResponseBody;
use crate::connection::body::full_body;
use crate::connection::body::read_body_within;
use crate::connection::body::streamed_body;
use crate::connection::body_memory::BodyReservation;

/// How long one stream may make no progress while other streams of its target do.
const STREAM_IDLE_LIMIT: Duration = Duration::from_millis(1_500);
/// The maximum size of a failure answer's body that is returned to the caller.
const FAILURE_BODY_LIMIT_BYTES: usize = 1024 * 1024;

/// A target's stream, which is forwarded from its first event on.
struct OpenStream<U> {
    answer_start: AnswerStart<U>,
    splitter: EventSplitter,
    progress: ProgressTracker,
    /// The memory for the next event.
    reservation: BodyReservation,
    /// The first event, until it is forwarded.
    pending: Option<Bytes>,
    /// Whether the stream ended without an event.
    is_empty: bool,
}

/// The next item of a stream.
enum StreamItem {
    Event(Bytes),
    End,
}

/// Opens a stream at a target and returns the start of the answer; a spawned task forwards the
/// events.
pub(super) async fn forward_stream<X>(
    mut forwarded: ForwardedRequest<X>,
) -> Result<Response<ResponseBody>, Failure>
where
    X: ForwardContext,
{
    let position = StreamPosition::new(forwarded.caller_request.last_event);
    let stream = match open_stream(&mut forwarded, &position).await? {
        Opened::Stream(stream) => *stream,
        Opened::Answer(response) => return Ok(response),
    };
    let waited = forwarded
        .context
        .now()
        .saturating_duration_since(forwarded.started_at);
    forwarded.context.on_first_event(&forwarded.service, waited);
    let protocol = forwarded.context.protocol();
    let headers = protocol.caller_headers(&stream.answer_start.head.headers);
    let status = stream.answer_start.head.status;
    let (sender, body) = streamed_body();
    tokio::spawn(forward_to_end(forwarded, stream, position, sender));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Ok(response)
}

enum Opened<U> {
    Stream(Box<OpenStream<U>>),
    /// The target answered with another status than 200.
    Answer(Response<ResponseBody>),
}

/// Sends the request to targets until the first event of a stream arrives, a stream ends without
/// an event, or no further send is possible.
async fn open_stream<X>(
    forwarded: &mut ForwardedRequest<X>,
    position: &StreamPosition,
) -> Result<Opened<X::Reservation>, Failure>
where
    X: ForwardContext,
{
    loop {
        let target = forwarded.reserve_target().await?;
        let host = target.host().clone();
        let send_failure = match open_once(forwarded, target, position).await {
            Ok(Opened::Answer(response)) => {
                forwarded.exclude(&host);
                match forwarded.next_step(SendFailure::TargetFailed) {
                    NextStep::SendAgain => continue,
                    NextStep::ReturnTargetFailure | NextStep::End(_) => {
                        return Ok(Opened::Answer(response));
                    }
                }
            }
            Ok(opened) => return Ok(opened),
            Err(send_failure) => send_failure,
        };
        forwarded.exclude(&host);
        if forwarded.time_left().is_zero() {
            return Err(forwarded.plan.timeout_failure());
        }
        match forwarded.next_step(send_failure) {
            NextStep::SendAgain => {}
            NextStep::ReturnTargetFailure => return Err(forwarded.plan.timeout_failure()),
            NextStep::End(failure) => return Err(failure),
        }
    }
}

async fn open_once<X>(
    forwarded: &mut ForwardedRequest<X>,
    target: X::Reservation,
    position: &StreamPosition,
) -> Result<Opened<X::Reservation>, SendFailure>
where
    X: ForwardContext,
{
    let timeout = first_event_timeout(forwarded, &target);
    let last_event = position.last_event();
    let mut answer_start = forwarded.send_once(target, last_event, timeout).await?;
    if answer_start.head.status != StatusCode::OK {
        return read_failure_answer(forwarded, answer_start).await;
    }
    if !answer_start.answer.is_signed {
        answer_start.target.on_end(Some(SendFailure::Broken));
        return Err(SendFailure::Broken);
    }
    let mut stream = OpenStream {
        answer_start,
        splitter: EventSplitter::new(),
        progress: ProgressTracker::default(),
        reservation: forwarded.context.body_memory().reservation(),
        pending: None,
        is_empty: false,
    };
    match next_item(forwarded, &mut stream, timeout.if_stalled).await {
        Ok(StreamItem::Event(event)) => stream.pending = Some(event),
        Ok(StreamItem::End) => stream.is_empty = true,
        Err(send_failure) => {
            forwarded.log_send(
                &stream.answer_start.target,
                "stream ended before its first event",
                0,
            );
            stream.answer_start.target.on_end(Some(send_failure));
            return Err(send_failure);
        }
    }
    Ok(Opened::Stream(Box::new(stream)))
}

async fn read_failure_answer<X>(
    forwarded: &ForwardedRequest<X>,
    answer_start: AnswerStart<X::Reservation>,
) -> Result<Opened<X::Reservation>, SendFailure>
where
    X: ForwardContext,
{
    let AnswerStart {
        mut target,
        connection,
        head,
        body,
        ..
    } = answer_start;
    let left = forwarded.time_left();
    let memory = forwarded.context.body_memory();
    let read = read_body_within(body, FAILURE_BODY_LIMIT_BYTES, left, memory).await;
    drop(connection);
    target.on_end(Some(SendFailure::TargetFailed));
    let bytes = read.map_err(|_| SendFailure::Broken)?;
    forwarded.log_send(
        &target,
        "target answered with an error status",
        head.status.as_u16(),
    );
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = head.status;
    *response.headers_mut() = forwarded.context.protocol().caller_headers(&head.headers);
    Ok(Opened::Answer(response))
}

/// Returns the timeouts for the head of a stream's answer. `if_stalled` also limits the wait for
/// the first event after it. On the last send, both are the time to the request's deadline.
fn first_event_timeout<X>(forwarded: &ForwardedRequest<X>, target: &X::Reservation) -> AnswerTimeout
where
    X: ForwardContext,
{
    let left = forwarded.time_left();
    if forwarded.plan.sends() + 1 >= forwarded.route.attempts_max {
        return AnswerTimeout::fixed(left);
    }
    let if_stalled = target.expected_wait() * 2 + forwarded.route.latency_target;
    AnswerTimeout {
        if_stalled: left.min(if_stalled),
        max: left.min(if_stalled + STREAM_IDLE_LIMIT),
    }
}

/// Forwards events until the stream ends. If the target fails, resumes the stream at another one.
async fn forward_to_end<X>(
    mut forwarded: ForwardedRequest<X>,
    mut stream: OpenStream<X::Reservation>,
    mut position: StreamPosition,
    sender: BodySender,
) where
    X: ForwardContext,
{
    let outcome = loop {
        let result = tokio::select! {
            result = forward_events(&forwarded, &mut stream, &mut position, &sender) => result,
            () = sender.closed() => Err(ForwardEnd::CallerDisconnected),
        };
        let send_failure = match result {
            Ok(()) => {
                stream.answer_start.target.on_end(None);
                break "complete";
            }
            Err(ForwardEnd::CallerDisconnected) => break "caller gone",
            Err(ForwardEnd::Deadline) => break "timed out",
            Err(ForwardEnd::Failed(send_failure)) => send_failure,
        };
        stream.answer_start.target.on_end(Some(send_failure));
        let host = stream.answer_start.target.host().clone();
        log_request!(forwarded, target:% = host, end:% = send_failure,
            events = position.delivered(), last_event:% = OrNone(position.last_event()),
            elapsed_ms = forwarded.elapsed_ms();
            "stream broke off at its target"
        );
        forwarded.exclude(&host);
        match forwarded.next_step(send_failure) {
            NextStep::SendAgain => {}
            NextStep::ReturnTargetFailure | NextStep::End(_) => break "broken off",
        }
        let resumed = tokio::select! {
            resumed = open_stream(&mut forwarded, &position) => resumed,
            () = sender.closed() => break "caller gone",
        };
        match resumed {
            Ok(Opened::Stream(next)) => stream = *next,
            Ok(Opened::Answer(_)) | Err(_) => break "broken off",
        }
    };
    let waited = forwarded
        .context
        .now()
        .saturating_duration_since(forwarded.started_at);
    forwarded
        .context
        .on_outcome(&forwarded.service, outcome, waited);
    log_request!(forwarded, route = forwarded.route.name.as_str(),
        target:% = stream.answer_start.target.host(), sends = forwarded.plan.sends(),
        events = position.delivered(), elapsed_ms = forwarded.elapsed_ms(), outcome = outcome;
        "stream ended"
    );
    if outcome == "complete" {
        sender.finish();
    }
}

/// Why the forwarding of events from one target stopped before the end of the stream.
enum ForwardEnd {
    Failed(SendFailure),
    Deadline,
    CallerDisconnected,
}

async fn forward_events<X>(
    forwarded: &ForwardedRequest<X>,
    stream: &mut OpenStream<X::Reservation>,
    position: &mut StreamPosition,
    sender: &BodySender,
) -> Result<(), ForwardEnd>
where
    X: ForwardContext,
{
    if stream.is_empty {
        return Ok(());
    }
    loop {
        let event = match stream.pending.take() {
            Some(event) => event,
            None => {
                let left = forwarded.time_left();
                // The timeout below does not apply to an event that is ready.
                if left.is_zero() {
                    return Err(ForwardEnd::Deadline);
                }
                let item = next_item(forwarded, stream, STREAM_IDLE_LIMIT.min(left));
                match tokio::time::timeout(left, item).await {
                    Ok(Ok(StreamItem::Event(event))) => event,
                    Ok(Ok(StreamItem::End)) => return Ok(()),
                    Ok(Err(send_failure)) => return Err(ForwardEnd::Failed(send_failure)),
                    Err(_) => return Err(ForwardEnd::Deadline),
                }
            }
        };
        let id = forwarded.context.protocol().event_id(&event);
        let is_new = match id {
            Some(id) => stream.progress.is_new(id),
            // In a stream whose events have IDs, a block without one is no event of its own.
            None => position.last_event().is_none() && BlockKind::of(&event) == BlockKind::Event,
        };
        if is_new {
            stream.progress.on_new_event(id);
        } else if stream.progress.on_idle_block(event.len()) {
            return Err(ForwardEnd::Failed(SendFailure::Broken));
        }
        match position.classify(id) {
            EventPosition::Duplicate => continue,
            EventPosition::AfterGap => return Err(ForwardEnd::Failed(SendFailure::Broken)),
            EventPosition::Next => {}
        }
        if sender.send(event).await.is_err() {
            return Err(ForwardEnd::CallerDisconnected);
        }
        position.on_delivered(id);
    }
}

/// Waits for the next complete event or the end of a stream. The wait fails as
/// [`SendFailure::Silent`] after `limit`, or earlier if the target is stalled.
async fn next_item<X>(
    forwarded: &ForwardedRequest<X>,
    stream: &mut OpenStream<X::Reservation>,
    limit: Duration,
) -> Result<StreamItem, SendFailure>
where
    X: ForwardContext,
{
    let started = forwarded.context.now();
    loop {
        if let Some(event) = stream.splitter.next_event() {
            match BlockKind::of(&event) {
                BlockKind::Event | BlockKind::Comment => {
                    let next = forwarded.context.body_memory().reservation();
                    let reservation = std::mem::replace(&mut stream.reservation, next);
                    return Ok(StreamItem::Event(reservation.keep_with(event)));
                }
                BlockKind::Empty if !stream.progress.on_idle_block(event.len()) => continue,
                BlockKind::Empty | BlockKind::Garbage => return Err(SendFailure::Broken),
            }
        }
        if stream.splitter.is_oversized() {
            return Err(SendFailure::Broken);
        }
        let frame = stream.answer_start.body.frame();
        match tokio::time::timeout(STALL_CHECK_INTERVAL, frame).await {
            Ok(Some(Ok(frame))) => {
                stream.answer_start.target.on_progress();
                if let Some(data) = frame.data_ref() {
                    stream.splitter.push(data);
                    let buffered_bytes = stream.splitter.buffered_bytes();
                    stream.reservation.grow_to(buffered_bytes).await;
                }
            }
            Ok(Some(Err(error))) => {
                log_request!(forwarded, target:% = stream.answer_start.target.host();
                    "stream broke: {error}"
                );
                return Err(SendFailure::Broken);
            }
            Ok(None) if stream.splitter.has_partial_event() => return Err(SendFailure::Broken),
            Ok(None) => return Ok(StreamItem::End),
            Err(_) => {
                let waited = forwarded.context.now().saturating_duration_since(started);
                let is_stalled = waited >= STALL_LIMIT
                    && stream.answer_start.target.time_since_own_progress() >= STALL_LIMIT;
                if waited >= limit || is_stalled {
                    return Err(SendFailure::Silent);
                }
            }
        }
    }
}
