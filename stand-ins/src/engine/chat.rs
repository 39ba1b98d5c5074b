//! Chat completions. The answer consists of numbered tokens with the request's marker.

use std::time::Duration;
use std::time::Instant;

use beryltray_lib::connection::body::streamed_body;
use beryltray_lib::ids::AttemptId;
use beryltray_lib::ids::Generation;
use beryltray_lib::ids::GroupId;
use beryltray_lib::target::wire;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use hyper::body::Incoming;
use xxhash_rust::xxh3::xxh3_64;

use super::batch::priority_rank;
use super::batch_slot::BatchSlot;
use super::faults::AnswerFault;
use super::generate::AnswerTask;
use super::service::Answer;
use super::service::Body;
use super::service::EngineService;
use crate::answer::ChatRequest;
use crate::json::RequestError;
use crate::json::read_json;
use crate::server::lock;
use crate::truth::EngineWork;
use crate::truth::WorkEnd;
use crate::truth::now_unix_us;

/// Length of the prefix of a prompt that is cached.
const PREFIX_BYTES: usize = 256;
/// The prefill time is divided by this if the prefix is cached.
const CACHED_PREFILL_DIVISOR: u32 = 4;

/// Handles a chat request; `connection` is the number of its connection.
pub(super) async fn answer(
    service: &EngineService,
    headers: &HeaderMap,
    connection: u64,
    body: Incoming,
) -> Answer {
    let request: ChatRequest = read_json(body).await?;
    let resumed_from_tokens = parse_header(headers, wire::RESUME_HEADER).unwrap_or_default();
    let work = record_request(service, &request, headers, resumed_from_tokens);
    check_group(service, work)?;
    let task = AnswerTask {
        service: service.clone(),
        connection,
        work,
        marker: marker_to_echo(service, &request),
        model: request.model.clone(),
        attempt: parse_header(headers, wire::ATTEMPT_HEADER),
        next_token: resumed_from_tokens,
        answer_tokens: request.answer_tokens(),
        prefill_time: prefill_time(service, &request),
    };
    let delay_ms = lock(&service.state).faults.delay_ms;
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    let priority = headers.get(wire::PRIORITY_HEADER);
    let priority = priority.and_then(|value| value.to_str().ok());
    let slot = BatchSlot::enqueue(service, priority_rank(priority.unwrap_or_default()));
    let response = if request.stream {
        start_stream(task, slot)
    } else {
        task.buffered(slot).await
    };
    Ok(with_identity_headers(response, service, headers))
}

fn start_stream(task: AnswerTask, slot: BatchSlot) -> Response<Body> {
    let (sender, body) = streamed_body();
    tokio::spawn(task.stream(sender, slot));
    let mut response = Response::new(body);
    let media_type = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, media_type);
    response
}

fn parse_header<T>(headers: &HeaderMap, name: &str) -> Option<T>
where
    T: std::str::FromStr,
{
    let value = headers.get(name)?;
    value.to_str().ok()?.parse().ok()
}

fn requested_generation(headers: &HeaderMap) -> Option<(GroupId, Generation)> {
    let group = parse_header(headers, wire::GROUP_HEADER)?;
    let generation = parse_header(headers, wire::GENERATION_HEADER)?;
    Some((group, generation))
}

fn record_request(
    service: &EngineService,
    request: &ChatRequest,
    headers: &HeaderMap,
    resumed_from_tokens: u64,
) -> usize {
    let mut state = lock(&service.state);
    let missing_for = state.missing_members.since.map(|since| since.elapsed());
    let leaving_for = state.leaving_since.map(|since| since.elapsed());
    let work = EngineWork {
        received_unix_us: now_unix_us(),
        ended_unix_us: 0,
        attempt: parse_header::<AttemptId>(headers, wire::ATTEMPT_HEADER),
        marker: request.marker(),
        sent_to: requested_generation(headers),
        own: state.group_generation(),
        missing_members: state.missing_members.hosts.clone(),
        missing_for_ms: missing_for.unwrap_or_default().as_millis() as u64,
        leaving_for_ms: leaving_for.map(|elapsed| elapsed.as_millis() as u64),
        resumed_from_tokens,
        sent_tokens: 0,
        end: WorkEnd::Running,
    };
    state.truth.works.push(work);
    state.truth.works.len() - 1
}

/// Refuses a request unless this host is the ready leader of the group and generation that the
/// request was sent to.
fn check_group(service: &EngineService, work: usize) -> Result<(), RequestError> {
    let mut state = lock(&service.state);
    let membership = state.membership(Instant::now());
    let is_leader = membership.is_some_and(|own| own.rank == 0 && own.is_ready);
    let work = &mut state.truth.works[work];
    let is_for_own_group = work.sent_to.is_none() || work.sent_to == work.own;
    if is_leader && is_for_own_group {
        return Ok(());
    }
    work.end = WorkEnd::Refused;
    work.ended_unix_us = now_unix_us();
    let text = "this host does not lead the group and generation";
    Err(RequestError::before_start(StatusCode::CONFLICT, text))
}

/// Returns the marker to echo: that of this request, or of the previous one if the fault
/// [`AnswerFault::PreviousAnswer`] is injected.
fn marker_to_echo(service: &EngineService, request: &ChatRequest) -> String {
    let mut state = lock(&service.state);
    let previous = std::mem::replace(&mut state.last_marker, request.marker());
    if state.faults.answer == AnswerFault::PreviousAnswer {
        previous
    } else {
        request.marker()
    }
}

fn prefill_time(service: &EngineService, request: &ChatRequest) -> Duration {
    let prompt = request.prompt().as_bytes();
    let prefix = &prompt[..prompt.len().min(PREFIX_BYTES)];
    let is_cached = lock(&service.state).cache.touch(xxh3_64(prefix));
    let divisor = if is_cached { CACHED_PREFILL_DIVISOR } else { 1 };
    service.settings.prefill_time / divisor
}

fn with_identity_headers(
    mut response: Response<Body>,
    service: &EngineService,
    request_headers: &HeaderMap,
) -> Response<Body> {
    let headers = response.headers_mut();
    if let Some(attempt) = request_headers.get(wire::ATTEMPT_HEADER) {
        headers.insert(wire::ATTEMPT_HEADER, attempt.clone());
    }
    if let Some((group, generation)) = lock(&service.state).group_generation() {
        if let Ok(value) = HeaderValue::from_str(group.as_str()) {
            headers.insert(HeaderName::from_static(wire::GROUP_HEADER), value);
        }
        headers.insert(wire::GENERATION_HEADER, HeaderValue::from(generation.0));
    }
    response
}
