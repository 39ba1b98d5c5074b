//! Requests whose answers are streams of events.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt as _;

use super::context::ForwardContext;
use super::context::TargetReservation as _;
use super::events::EventPosition;
use super::events::EventSplitter;
use super::events::StreamPosition;
use super::plan::AnswerTimeout;
use super::plan::NextStep;
use super::plan::STALL_LIMIT;
use super::plan::SendFailure;
use super::protocol::CallerProtocol as _;
use super::protocol::Failure;
use super::send::Arrived;
use super::send::ForwardedRequest;
use super::send::OrNone;
use super::send::SILENCE_CHECK_INTERVAL;
use super::send::log_request;
use crate::connection::body::BodySender;
use crate::connection::body::ResponseBody;
use crate::connection::body::full_body;
use crate::connection::body::read_body;
use crate::connection::body::streamed_body;

/// How long one stream may stand still while others of its target move.
const LONE_SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
/// The longest failure answer that is passed on.
const FAILURE_LIMIT_BYTES: usize = 1024 * 1024;

/// A stream from a target, with its first event not yet passed on.
struct OpenStream<U> {
    arrived: Arrived<U>,
    splitter: EventSplitter,
    pending: Option<Bytes>,
    is_at_end: bool,
}

/// What came next on a stream.
enum NextPart {
    Event(Bytes),
    End,
}

/// Opens a stream at a target and passes it on; the rest is passed on in the background.
pub(super) async fn forward_stream<X>(
    mut passage: ForwardedRequest<X>,
) -> Result<Response<ResponseBody>, Failure>
where
    X: ForwardContext,
{
    let place = StreamPosition::new(passage.call.last_event);
    let stream = match open_stream(&mut passage, &place).await? {
        Opened::Stream(stream) => stream,
        Opened::Answer(response) => return Ok(response),
    };
    let waited = passage
        .context
        .now()
        .saturating_duration_since(passage.started_at);
    passage.context.on_first_event(&passage.service, waited);
    let protocol = passage.context.protocol();
    let headers = protocol.caller_headers(&stream.arrived.head.headers);
    let status = stream.arrived.head.status;
    let (sender, body) = streamed_body();
    tokio::spawn(pass_on(passage, stream, place, sender));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Ok(response)
}

enum Opened<U> {
    Stream(OpenStream<U>),
    /// The target answered with something that is no stream.
    Answer(Response<ResponseBody>),
}

/// Sends the request until a target's stream has its first event.
async fn open_stream<X>(
    passage: &mut ForwardedRequest<X>,
    place: &StreamPosition,
) -> Result<Opened<X::Reservation>, Failure>
where
    X: ForwardContext,
{
    loop {
        let target = passage.reserve_target().await?;
        let host = target.host().clone();
        let end = match open_once(passage, target, place).await {
            Ok(Opened::Answer(response)) => {
                passage.exclude(&host);
                match passage.next_step(SendFailure::TargetFailed) {
                    NextStep::SendAgain => continue,
                    NextStep::PassOn | NextStep::End(_) => return Ok(Opened::Answer(response)),
                }
            }
            Ok(opened) => return Ok(opened),
            Err(end) => end,
        };
        passage.exclude(&host);
        if passage.time_left().is_zero() {
            return Err(passage.plan.timeout_failure());
        }
        match passage.next_step(end) {
            NextStep::SendAgain => {}
            NextStep::PassOn => return Err(passage.plan.timeout_failure()),
            NextStep::End(failure) => return Err(failure),
        }
    }
}

async fn open_once<X>(
    passage: &mut ForwardedRequest<X>,
    target: X::Reservation,
    place: &StreamPosition,
) -> Result<Opened<X::Reservation>, SendFailure>
where
    X: ForwardContext,
{
    let limit = first_answer_limit(passage, &target);
    let last_event = place.last_event();
    let mut arrived = passage.send_once(target, last_event, limit).await?;
    if arrived.head.status != StatusCode::OK {
        return pass_failure_on(passage, arrived).await;
    }
    if !arrived.answer.is_signed {
        arrived.target.on_end(Some(SendFailure::Broken));
        return Err(SendFailure::Broken);
    }
    let mut stream = OpenStream {
        arrived,
        splitter: EventSplitter::new(),
        pending: None,
        is_at_end: false,
    };
    match next_part(passage, &mut stream, limit.if_stalled).await {
        Ok(NextPart::Event(event)) => stream.pending = Some(event),
        Ok(NextPart::End) => stream.is_at_end = true,
        Err(end) => {
            passage.log_send(
                &stream.arrived.target,
                "stream ended before its first event",
                0,
            );
            stream.arrived.target.on_end(Some(end));
            return Err(end);
        }
    }
    Ok(Opened::Stream(stream))
}

async fn pass_failure_on<X>(
    passage: &ForwardedRequest<X>,
    arrived: Arrived<X::Reservation>,
) -> Result<Opened<X::Reservation>, SendFailure>
where
    X: ForwardContext,
{
    let Arrived {
        mut target,
        connection,
        head,
        body,
        ..
    } = arrived;
    let read = read_body(body, FAILURE_LIMIT_BYTES, passage.time_left()).await;
    drop(connection);
    target.on_end(Some(SendFailure::TargetFailed));
    let bytes = read.map_err(|_| SendFailure::Broken)?;
    passage.log_send(&target, "target failed the request", head.status.as_u16());
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = head.status;
    *response.headers_mut() = passage.context.protocol().caller_headers(&head.headers);
    Ok(Opened::Answer(response))
}

/// Returns how long a target may take until its first event before the request goes elsewhere.
fn first_answer_limit<X>(passage: &ForwardedRequest<X>, target: &X::Reservation) -> AnswerTimeout
where
    X: ForwardContext,
{
    let left = passage.time_left();
    if passage.plan.sends() + 1 >= passage.route.attempts_max {
        return AnswerTimeout::fixed(left);
    }
    let patient = target.expected_wait() * 2 + passage.route.latency_target;
    AnswerTimeout {
        if_stalled: left.min(patient),
        max: left.min(patient + LONE_SILENCE_LIMIT),
    }
}

/// Passes a stream on to its end; if its target fails, the stream goes on at another one.
async fn pass_on<X>(
    mut passage: ForwardedRequest<X>,
    mut stream: OpenStream<X::Reservation>,
    mut place: StreamPosition,
    sender: BodySender,
) where
    X: ForwardContext,
{
    let outcome = loop {
        let end = tokio::select! {
            passed = pass_run_on(&passage, &mut stream, &mut place, &sender) => passed,
            () = sender.closed() => Err(RunEnd::CallerGone),
        };
        let failed = match end {
            Ok(()) => {
                stream.arrived.target.on_end(None);
                break "complete";
            }
            Err(RunEnd::CallerGone) => break "caller gone",
            Err(RunEnd::Deadline) => break "timed out",
            Err(RunEnd::Failed(failed)) => failed,
        };
        stream.arrived.target.on_end(Some(failed));
        let host = stream.arrived.target.host().clone();
        log_request!(passage, target:% = host, end:% = failed,
            events = place.delivered(), last_event:% = OrNone(place.last_event()),
            elapsed_ms = passage.elapsed_ms();
            "stream broke off at its target"
        );
        passage.exclude(&host);
        match passage.next_step(failed) {
            NextStep::SendAgain => {}
            NextStep::PassOn | NextStep::End(_) => break "broken off",
        }
        let reopened = tokio::select! {
            reopened = open_stream(&mut passage, &place) => reopened,
            () = sender.closed() => break "caller gone",
        };
        match reopened {
            Ok(Opened::Stream(next)) => stream = next,
            Ok(Opened::Answer(_)) | Err(_) => break "broken off",
        }
    };
    let waited = passage
        .context
        .now()
        .saturating_duration_since(passage.started_at);
    passage
        .context
        .on_outcome(&passage.service, outcome, waited);
    log_request!(passage, route = passage.route.name.as_str(),
        target:% = stream.arrived.target.host(), sends = passage.plan.sends(),
        events = place.delivered(), elapsed_ms = passage.elapsed_ms(), outcome = outcome;
        "stream ended"
    );
    if outcome == "complete" {
        sender.finish();
    }
}

enum RunEnd {
    Failed(SendFailure),
    Deadline,
    CallerGone,
}

async fn pass_run_on<X>(
    passage: &ForwardedRequest<X>,
    stream: &mut OpenStream<X::Reservation>,
    place: &mut StreamPosition,
    sender: &BodySender,
) -> Result<(), RunEnd>
where
    X: ForwardContext,
{
    if stream.is_at_end {
        return Ok(());
    }
    loop {
        let event = match stream.pending.take() {
            Some(event) => event,
            None => {
                let left = passage.time_left();
                if left.is_zero() {
                    return Err(RunEnd::Deadline);
                }
                match next_part(passage, stream, LONE_SILENCE_LIMIT.min(left)).await {
                    Ok(NextPart::Event(event)) => event,
                    Ok(NextPart::End) => return Ok(()),
                    Err(end) => return Err(RunEnd::Failed(end)),
                }
            }
        };
        let id = passage.context.protocol().event_id(&event);
        match place.classify(id) {
            EventPosition::Duplicate => continue,
            EventPosition::AfterGap => return Err(RunEnd::Failed(SendFailure::Broken)),
            EventPosition::Next => {}
        }
        if sender.send(event).await.is_err() {
            return Err(RunEnd::CallerGone);
        }
        place.on_delivered(id);
    }
}

/// Waits for the next whole event or the end of a stream.
async fn next_part<X>(
    passage: &ForwardedRequest<X>,
    stream: &mut OpenStream<X::Reservation>,
    limit: Duration,
) -> Result<NextPart, SendFailure>
where
    X: ForwardContext,
{
    let started = passage.context.now();
    loop {
        if let Some(event) = stream.splitter.next_event() {
            return Ok(NextPart::Event(event));
        }
        if stream.splitter.is_oversized() {
            return Err(SendFailure::Broken);
        }
        let frame = stream.arrived.body.frame();
        match tokio::time::timeout(SILENCE_CHECK_INTERVAL, frame).await {
            Ok(Some(Ok(frame))) => {
                stream.arrived.target.on_progress();
                if let Some(data) = frame.data_ref() {
                    stream.splitter.push(data);
                }
            }
            Ok(Some(Err(error))) => {
                log_request!(passage, target:% = stream.arrived.target.host();
                    "stream broke: {error}"
                );
                return Err(SendFailure::Broken);
            }
            Ok(None) if stream.splitter.has_partial_event() => return Err(SendFailure::Broken),
            Ok(None) => return Ok(NextPart::End),
            Err(_) => {
                let waited = passage.context.now().saturating_duration_since(started);
                let is_stalled = waited >= STALL_LIMIT
                    && stream.arrived.target.time_since_own_progress() >= STALL_LIMIT;
                if waited >= limit || is_stalled {
                    return Err(SendFailure::Silent);
                }
            }
        }
    }
}
