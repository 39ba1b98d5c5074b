//! Forwards requests whose answers are streams of events.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::response;
use http_body_util::BodyExt as _;

use super::answer_gate::AnswerUse;
use super::buffered::ANSWER_LIMIT_BYTES;
use super::context::ForwardContext;
use super::context::TargetReservation as _;
use super::events::BlockKind;
use super::events::EventPosition;
use super::events::EventSplitter;
use super::events::ProgressTracker;
use super::events::ResumePoint;
use super::events::StreamPosition;
use super::plan::AnswerTimeout;
use super::plan::NextStep;
use super::plan::STALL_LIMIT;
use super::plan::SendFailure;
use super::protocol::CallerProtocol as _;
use super::protocol::Failure;
use super::send::AnswerStart;
use super::send::OrNone;
use super::send::PlannedSend;
use super::send::STALL_CHECK_INTERVAL;
use super::send::log_request;
use super::sends::RequestSends;
use super::sends::SendEnd;
use super::sends::first_answer;
use crate::connection::body::BodySender;
use crate::connection::body::ResponseBody;
use crate::connection::body::read_body_within;
use crate::connection::body::streamed_body;
use crate::connection::body_memory::BodyReservation;

/// How long one stream may make no progress while other streams of its target do.
const STREAM_IDLE_LIMIT: Duration = Duration::from_millis(1_500);
/// The media type of streams.
const EVENT_STREAM: &str = "text/event-stream";
/// The maximum size of a failure answer's body that is returned to the caller.
const FAILURE_BODY_LIMIT_BYTES: usize = 1024 * 1024;

/// A target's stream, which is forwarded from its first event on.
struct OpenStream<X>
where
    X: ForwardContext,
{
    answer_start: AnswerStart<X>,
    splitter: EventSplitter,
    progress: ProgressTracker,
    resume_point: ResumePoint,
    /// The memory for the next event.
    reservation: BodyReservation,
    /// The next event, if it has arrived and is not forwarded yet.
    pending: Option<Bytes>,
    has_ended: bool,
}

impl<X> OpenStream<X>
where
    X: ForwardContext,
{
    /// Logs that the answer does not go on where the caller is, and returns how its send ends.
    fn on_overlap(&self, position: &StreamPosition) -> SendFailure {
        let PlannedSend {
            request, target, ..
        } = &self.answer_start.send;
        log_request!(request, target:% = target.host(),
            last_event:% = OrNone(position.last_event());
            "target did not resume the stream after the caller's last event"
        );
        SendFailure::Broken
    }
}

/// The next item of a stream.
enum StreamItem {
    Event(Bytes),
    End,
}

/// Opens a stream at a target and returns the start of the answer; a spawned task forwards the
/// events.
pub(super) async fn forward_stream<X>(
    mut sends: RequestSends<X>,
) -> Result<Response<ResponseBody>, Failure>
where
    X: ForwardContext,
{
    let position = StreamPosition::new(sends.request.caller_request.last_event);
    let first = sends.next_send().await?;
    let stream = match open_stream(&mut sends, first, &position).await? {
        Opened::Stream(stream) => *stream,
        Opened::Answer(response) => return Ok(response),
    };
    let context = &sends.request.context;
    let waited = context
        .now()
        .saturating_duration_since(sends.request.started_at);
    context.on_first_event(&sends.request.service, waited);
    let protocol = context.protocol();
    let headers = protocol.caller_headers(&stream.answer_start.head.headers);
    let status = stream.answer_start.head.status;
    let (sender, body) = streamed_body();
    tokio::spawn(forward_to_end(sends, stream, position, sender));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Ok(response)
}

enum Opened<X>
where
    X: ForwardContext,
{
    Stream(Box<OpenStream<X>>),
    /// The target answered with a failure, or with a success that is no stream.
    Answer(Response<ResponseBody>),
}

/// Runs `first` and further sends until the first event of a stream arrives, a stream ends without
/// an event, or no further send is possible.
async fn open_stream<X>(
    sends: &mut RequestSends<X>,
    first: PlannedSend<X>,
    position: &StreamPosition,
) -> Result<Opened<X>, Failure>
where
    X: ForwardContext,
{
    let position = *position;
    first_answer(sends, first, |send| open_once(send, position)).await
}

async fn open_once<X>(send: PlannedSend<X>, position: StreamPosition) -> SendEnd<Opened<X>>
where
    X: ForwardContext,
{
    let timeout = first_event_timeout(&send);
    let mut answer_start = match send.send(position.last_event(), timeout).await {
        Ok(answer_start) => answer_start,
        Err(send_failure) => return SendEnd::Failed(send_failure),
    };
    let AnswerStart {
        send, head, answer, ..
    } = &mut answer_start;
    match send.judge_answer(head, answer) {
        AnswerUse::Return if is_stream(head) => {}
        AnswerUse::Discard => return SendEnd::Failed(send.discard_answer(head)),
        AnswerUse::Return | AnswerUse::ReturnIfLast | AnswerUse::Replace(_) => {
            return read_whole_answer(answer_start).await;
        }
    }
    let memory = answer_start.send.request.context.body_memory();
    let mut stream = OpenStream {
        reservation: memory.reservation(),
        answer_start,
        splitter: EventSplitter::new(),
        progress: ProgressTracker::default(),
        resume_point: ResumePoint::default(),
        pending: None,
        has_ended: false,
    };
    let limit = timeout.map_or(STREAM_IDLE_LIMIT, |timeout| timeout.if_stalled);
    let result = if position.delivered() > 0 {
        wait_for_next_event(&mut stream, &position, limit).await
    } else {
        wait_for_item(&mut stream, limit).await
    };
    let send = &mut stream.answer_start.send;
    match result {
        Ok(()) => SendEnd::Answer(Opened::Stream(Box::new(stream))),
        Err(send_failure) => {
            send.log("stream ended before its first event", 0);
            send.target.on_end(Some(send_failure));
            SendEnd::Failed(send_failure)
        }
    }
}

/// Returns whether the body of a success is forwarded event by event. With another status than 200 it may be
/// anything, and is no stream unless its type says so.
fn is_stream(head: &response::Parts) -> bool {
    let media_type = head.headers.get(CONTENT_TYPE);
    let is_event_stream = |value: &HeaderValue| {
        let type_length = EVENT_STREAM.len();
        let prefix = value.as_bytes().get(..type_length);
        prefix.is_some_and(|prefix| prefix.eq_ignore_ascii_case(EVENT_STREAM.as_bytes()))
    };
    head.status == StatusCode::OK || media_type.is_some_and(is_event_stream)
}

/// Reads an answer that is not forwarded as a stream.
async fn read_whole_answer<X>(answer_start: AnswerStart<X>) -> SendEnd<Opened<X>>
where
    X: ForwardContext,
{
    let AnswerStart {
        mut send,
        connection,
        head,
        answer,
        body,
    } = answer_start;
    let left = send.request.time_left();
    let memory = send.request.context.body_memory();
    let (limit_bytes, end_if_cut) = if head.status.is_success() {
        (ANSWER_LIMIT_BYTES, SendFailure::Broken)
    } else {
        (FAILURE_BODY_LIMIT_BYTES, SendFailure::TargetFailed)
    };
    let read = read_body_within(body, limit_bytes, left, memory).await;
    drop(connection);
    let Ok(bytes) = read else {
        send.target.on_end(Some(end_if_cut));
        return SendEnd::Failed(SendFailure::Broken);
    };
    send.end_with_answer(&head, &answer, bytes)
        .map_answer(Opened::Answer)
}

/// Returns how long a target may take for the head of a stream's answer before it counts as silent,
/// or `None` for the last send. `if_stalled` also applies to the first event after the head.
fn first_event_timeout<X>(send: &PlannedSend<X>) -> Option<AnswerTimeout>
where
    X: ForwardContext,
{
    if send.is_last {
        return None;
    }
    let left = send.request.time_left();
    let if_stalled = send.target.expected_wait() * 2 + send.request.route.latency_target;
    Some(AnswerTimeout {
        if_stalled: left.min(if_stalled),
        max: left.min(if_stalled + STREAM_IDLE_LIMIT),
    })
}

/// Forwards events until the stream ends. If the target fails or falls silent, resumes the stream
/// at another one.
async fn forward_to_end<X>(
    mut sends: RequestSends<X>,
    mut stream: OpenStream<X>,
    mut position: StreamPosition,
    sender: BodySender,
) where
    X: ForwardContext,
{
    let outcome = loop {
        let result = tokio::select! {
            result = forward_events(&mut stream, &mut position, &sender) => result,
            () = sender.closed() => Err(ForwardEnd::CallerDisconnected),
        };
        let send_failure = match result {
            Ok(()) => {
                stream.answer_start.send.target.on_end(None);
                break "complete";
            }
            Err(ForwardEnd::CallerDisconnected) => break "caller gone",
            Err(ForwardEnd::Deadline) => break "timed out",
            Err(ForwardEnd::Failed(send_failure)) => send_failure,
        };
        let recovered = tokio::select! {
            recovered = recover(&mut sends, &mut stream, &position, send_failure) => recovered,
            () = sender.closed() => break "caller gone",
        };
        if !recovered {
            break "broken off";
        }
    };
    let request = &sends.request;
    let waited = request
        .context
        .now()
        .saturating_duration_since(request.started_at);
    request
        .context
        .on_outcome(&request.service, outcome, waited);
    log_request!(request, route = request.route.name.as_str(),
        target:% = stream.answer_start.send.target.host(), sends = sends.plan.sends(),
        events = position.delivered(), elapsed_ms = request.elapsed_ms(), outcome = outcome;
        "stream ended"
    );
    if outcome == "complete" {
        sender.finish();
    }
}

/// Returns whether the answer can go on, from the same target or from another one that then
/// replaces it in `stream`.
async fn recover<X>(
    sends: &mut RequestSends<X>,
    stream: &mut OpenStream<X>,
    position: &StreamPosition,
    send_failure: SendFailure,
) -> bool
where
    X: ForwardContext,
{
    let send_failure = if send_failure == SendFailure::Silent {
        match resume_beside(sends, stream, position).await {
            Ok(()) => return true,
            Err(send_failure) => send_failure,
        }
    } else {
        send_failure
    };
    end_send(stream, position, send_failure);
    if !position.can_be_resumed() {
        return false;
    }
    match sends.next_step(send_failure) {
        NextStep::SendAgain => {}
        NextStep::ReturnTargetFailure | NextStep::End(_) => return false,
    }
    let Ok(send) = sends.next_send().await else {
        return false;
    };
    match open_stream(sends, send, position).await {
        Ok(Opened::Stream(next)) => {
            *stream = *next;
            true
        }
        Ok(Opened::Answer(_)) | Err(_) => false,
    }
}

/// Resumes a silent stream at another target, if possible, until either target sends an event.
///
/// Fails if the stream breaks in the meantime and is not resumed.
async fn resume_beside<X>(
    sends: &mut RequestSends<X>,
    stream: &mut OpenStream<X>,
    position: &StreamPosition,
) -> Result<(), SendFailure>
where
    X: ForwardContext,
{
    stream.answer_start.send.on_silence();
    if !position.can_be_resumed() {
        return Ok(());
    }
    let Some(send) = sends.next_send_beside() else {
        return Ok(());
    };
    let mut opening = std::pin::pin!(open_stream(sends, send, position));
    let result = tokio::select! {
        result = wait_for_item(stream, STREAM_IDLE_LIMIT) => result,
        opened = &mut opening => {
            if let Ok(Opened::Stream(next)) = opened {
                end_send(stream, position, SendFailure::Silent);
                *stream = *next;
            }
            return Ok(());
        }
    };
    let Err(send_failure) = result else {
        return Ok(());
    };
    if let Ok(Opened::Stream(next)) = opening.await {
        end_send(stream, position, send_failure);
        *stream = *next;
        return Ok(());
    }
    Err(send_failure)
}

/// Records that a stream is no longer read.
fn end_send<X>(stream: &mut OpenStream<X>, position: &StreamPosition, send_failure: SendFailure)
where
    X: ForwardContext,
{
    let PlannedSend {
        request, target, ..
    } = &mut stream.answer_start.send;
    target.on_end(Some(send_failure));
    log_request!(request, target:% = target.host(), end:% = send_failure,
        events = position.delivered(), last_event:% = OrNone(position.last_event()),
        elapsed_ms = request.elapsed_ms();
        "stream broke off at its target"
    );
}

/// Why the forwarding of events from one target stopped before the end of the stream.
enum ForwardEnd {
    Failed(SendFailure),
    Deadline,
    CallerDisconnected,
}

async fn forward_events<X>(
    stream: &mut OpenStream<X>,
    position: &mut StreamPosition,
    sender: &BodySender,
) -> Result<(), ForwardEnd>
where
    X: ForwardContext,
{
    let request = Arc::clone(&stream.answer_start.send.request);
    let protocol = request.context.protocol();
    loop {
        let left = request.time_left();
        // The timeout below does not apply to an event that is ready.
        if left.is_zero() {
            return Err(ForwardEnd::Deadline);
        }
        let item = next_item(stream, STREAM_IDLE_LIMIT.min(left));
        let event = match tokio::time::timeout(left, item).await {
            Ok(Ok(StreamItem::Event(event))) => event,
            Ok(Ok(StreamItem::End)) => return Ok(()),
            Ok(Err(SendFailure::Silent)) if request.time_left().is_zero() => continue,
            Ok(Err(send_failure)) => return Err(ForwardEnd::Failed(send_failure)),
            Err(_) => return Err(ForwardEnd::Deadline),
        };
        let id = protocol.event_id(&event);
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
        match stream.resume_point.classify(id, position) {
            EventPosition::Known => continue,
            EventPosition::Overlapping => {
                return Err(ForwardEnd::Failed(stream.on_overlap(position)));
            }
            EventPosition::Next | EventPosition::Unnumbered => {}
        }
        if sender.send(event).await.is_err() {
            return Err(ForwardEnd::CallerDisconnected);
        }
        position.on_delivered(id);
    }
}

/// Waits until the next event is pending or the stream has ended, at most until the request's
/// deadline. The target is reported each time that it is silent for `limit`.
async fn wait_for_item<X>(stream: &mut OpenStream<X>, limit: Duration) -> Result<(), SendFailure>
where
    X: ForwardContext,
{
    loop {
        match next_item(stream, limit).await {
            Ok(StreamItem::Event(event)) => {
                stream.pending = Some(event);
                return Ok(());
            }
            Ok(StreamItem::End) => return Ok(()),
            Err(SendFailure::Silent) if !stream.answer_start.send.request.time_left().is_zero() => {
                stream.answer_start.send.on_silence();
            }
            Err(send_failure) => return Err(send_failure),
        }
    }
}

/// Waits until an event is pending that follows those which the caller has, and drops all others.
///
/// A stream that ends without one may be a faulty target's, and would look complete to the caller.
async fn wait_for_next_event<X>(
    stream: &mut OpenStream<X>,
    position: &StreamPosition,
    limit: Duration,
) -> Result<(), SendFailure>
where
    X: ForwardContext,
{
    loop {
        wait_for_item(stream, limit).await?;
        let Some(event) = &stream.pending else {
            return Err(SendFailure::Broken);
        };
        let request = &stream.answer_start.send.request;
        let id = request.context.protocol().event_id(event);
        match stream.resume_point.classify(id, position) {
            EventPosition::Next => return Ok(()),
            EventPosition::Overlapping => return Err(stream.on_overlap(position)),
            EventPosition::Known | EventPosition::Unnumbered => {
                if stream.progress.on_idle_block(event.len()) {
                    return Err(SendFailure::Broken);
                }
                stream.pending = None;
            }
        }
    }
}

/// Waits for the next complete event or the end of a stream. The wait fails as
/// [`SendFailure::Silent`] after `limit`, or earlier if the target is stalled; the stream can still
/// go on then.
async fn next_item<X>(
    stream: &mut OpenStream<X>,
    limit: Duration,
) -> Result<StreamItem, SendFailure>
where
    X: ForwardContext,
{
    if let Some(event) = stream.pending.take() {
        return Ok(StreamItem::Event(event));
    }
    let send = &mut stream.answer_start.send;
    let started = send.request.context.now();
    loop {
        if let Some(event) = stream.splitter.next_event() {
            match BlockKind::of(&event) {
                kind @ (BlockKind::Event | BlockKind::Comment) => {
                    if kind == BlockKind::Event {
                        send.target.on_event();
                    }
                    let next = send.request.context.body_memory().reservation();
                    let reservation = std::mem::replace(&mut stream.reservation, next);
                    return Ok(StreamItem::Event(reservation.keep_with(event)));
                }
                BlockKind::Empty if !stream.progress.on_idle_block(event.len()) => continue,
                BlockKind::Empty | BlockKind::Garbage => return Err(SendFailure::Broken),
            }
        }
        if stream.has_ended {
            return Ok(StreamItem::End);
        }
        if stream.splitter.is_oversized() {
            return Err(SendFailure::Broken);
        }
        let frame = stream.answer_start.body.frame();
        match tokio::time::timeout(STALL_CHECK_INTERVAL, frame).await {
            Ok(Some(Ok(frame))) => {
                send.target.on_progress();
                if let Some(data) = frame.data_ref() {
                    stream.splitter.push(data);
                    let buffered_bytes = stream.splitter.buffered_bytes();
                    stream.reservation.grow_to(buffered_bytes).await;
                }
            }
            Ok(Some(Err(error))) => {
                let request = &send.request;
                log_request!(request, target:% = send.target.host(); "stream broke: {error}");
                return Err(SendFailure::Broken);
            }
            Ok(None) if stream.splitter.has_partial_event() => return Err(SendFailure::Broken),
            Ok(None) => stream.has_ended = true,
            Err(_) => {
                let now = send.request.context.now();
                let waited = now.saturating_duration_since(started);
                let is_stalled =
                    waited >= STALL_LIMIT && send.target.time_since_own_progress() >= STALL_LIMIT;
                if waited >= limit || is_stalled {
                    return Err(SendFailure::Silent);
                }
            }
        }
    }
}
