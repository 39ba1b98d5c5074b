//! HTTP answers to callers: the status, headers and body of each outcome.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use serde::Serialize;

use super::caller::CallerError;
use super::caller::OUTCOME_HEADER;
use super::caller::REQUEST_ID_HEADER;
use super::outcome::NotRunReason;
use super::outcome::Outcome;
use super::outcome::UnknownReason;
use crate::connection::body::ResponseBody;
use crate::connection::body::full_body;
use crate::ids::RequestId;

const MEDIA_TYPE_JSON: &str = "application/json";
const MEDIA_TYPE_EVENTS: &str = "text/event-stream";

/// The JSON body of an answer without a result, in the format of chat-completions errors.
#[derive(Debug, Serialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Debug, Serialize)]
struct ErrorDetail {
    #[serde(rename = "type")]
    kind: String,
    message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u128>,
}

impl Outcome {
    /// Returns the outcome's name in the header [`OUTCOME_HEADER`] and in metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::NotRun { .. } => "not-run",
            Self::KeyStateUnknown { .. } | Self::Unknown { .. } => "unknown",
            Self::Failed { .. } => "failed",
        }
    }

    /// Returns the HTTP status of an answer with this outcome.
    pub fn status(&self) -> u16 {
        match self {
            Self::Complete => 200,
            Self::NotRun { reason, .. } | Self::KeyStateUnknown { reason, .. } => match reason {
                NotRunReason::OverLimit => 429,
                _ => 503,
            },
            Self::Unknown { reason } => match reason {
                UnknownReason::DeadlinePassed => 504,
                _ => 502,
            },
            Self::Failed { status } => *status,
        }
    }

    /// Returns the time after which the caller should retry, or `None` if a retry is not
    /// suggested.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NotRun { retry_after, .. } | Self::KeyStateUnknown { retry_after, .. } => {
                Some(*retry_after)
            }
            Self::Complete | Self::Unknown { .. } | Self::Failed { .. } => None,
        }
    }
}

/// Returns the answer for a request that ended without a result.
pub fn outcome_answer(id: &RequestId, outcome: &Outcome) -> Response<ResponseBody> {
    let detail = ErrorDetail {
        kind: outcome.label().to_owned(),
        message: outcome.to_string(),
        retry_after_ms: outcome.retry_after().map(|wait| wait.as_millis()),
    };
    let mut answer = error_answer(outcome.status(), detail);
    set_retry_after(&mut answer, outcome.retry_after());
    set_header(&mut answer, OUTCOME_HEADER, outcome.label());
    set_header(&mut answer, REQUEST_ID_HEADER, id.as_str());
    answer
}

/// Returns the answer for an invalid request, which was not processed.
pub fn refusal_answer(error: &CallerError) -> Response<ResponseBody> {
    let detail = ErrorDetail {
        kind: String::from("invalid"),
        message: error.to_string(),
        retry_after_ms: None,
    };
    let mut answer = error_answer(error.status(), detail);
    set_header(&mut answer, OUTCOME_HEADER, "invalid");
    answer
}

/// Returns the answer for a request whose idempotency key belongs to a request in flight.
pub fn in_progress_answer(id: &RequestId, retry_after: Duration) -> Response<ResponseBody> {
    let detail = ErrorDetail {
        kind: String::from("in-progress"),
        message: String::from("the work under this key is still in flight"),
        retry_after_ms: Some(retry_after.as_millis()),
    };
    let mut answer = error_answer(409, detail);
    set_retry_after(&mut answer, Some(retry_after));
    set_header(&mut answer, OUTCOME_HEADER, "in-progress");
    set_header(&mut answer, REQUEST_ID_HEADER, id.as_str());
    answer
}

/// A complete answer in memory: a target's result or its error.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BufferedAnswer {
    /// The HTTP status; 400 and above is an error.
    pub status: u16,
    /// The media type of the body.
    pub content_type: String,
    /// The body without transfer encoding.
    pub body: Bytes,
}

/// Returns the answer that carries a target's complete result or error.
pub fn buffered_answer(
    id: &RequestId,
    outcome: &Outcome,
    result: BufferedAnswer,
) -> Response<ResponseBody> {
    let mut answer = Response::new(full_body(result.body));
    set_status(&mut answer, result.status);
    set_header(&mut answer, CONTENT_TYPE.as_str(), &result.content_type);
    set_header(&mut answer, OUTCOME_HEADER, outcome.label());
    set_header(&mut answer, REQUEST_ID_HEADER, id.as_str());
    answer
}

/// Returns a streamed answer. Only the end marker in `body` shows that it is complete, since the
/// head is sent before the outcome is known.
pub fn stream_answer(id: &RequestId, body: ResponseBody) -> Response<ResponseBody> {
    let mut answer = Response::new(body);
    set_header(&mut answer, CONTENT_TYPE.as_str(), MEDIA_TYPE_EVENTS);
    set_header(&mut answer, "cache-control", "no-store");
    set_header(&mut answer, REQUEST_ID_HEADER, id.as_str());
    answer
}

/// Returns the answer to a request that another data centre serves.
///
/// A stream has no outcome header, since the head is sent before the outcome is known.
pub fn relayed_answer(
    id: &RequestId,
    status: u16,
    content_type: &str,
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut answer = Response::new(body);
    set_status(&mut answer, status);
    set_header(&mut answer, CONTENT_TYPE.as_str(), content_type);
    set_header(&mut answer, REQUEST_ID_HEADER, id.as_str());
    let is_stream = content_type.starts_with(MEDIA_TYPE_EVENTS);
    let outcome = match status {
        400.. => Outcome::Failed { status },
        _ => Outcome::Complete,
    };
    if !is_stream {
        set_header(&mut answer, OUTCOME_HEADER, outcome.label());
    }
    answer
}

/// Returns the last event of an incomplete streamed answer; the connection is closed after it.
pub fn broken_stream_event(outcome: &Outcome) -> Bytes {
    let detail = ErrorDetail {
        kind: outcome.label().to_owned(),
        message: outcome.to_string(),
        retry_after_ms: None,
    };
    let text = serde_json::to_string(&ErrorBody { error: detail }).unwrap_or_default();
    Bytes::from(format!("event: error\ndata: {text}\n\n"))
}

fn error_answer(status: u16, detail: ErrorDetail) -> Response<ResponseBody> {
    let text = serde_json::to_vec(&ErrorBody { error: detail }).unwrap_or_default();
    let mut answer = Response::new(full_body(text));
    set_status(&mut answer, status);
    set_header(&mut answer, CONTENT_TYPE.as_str(), MEDIA_TYPE_JSON);
    answer
}

fn set_status(answer: &mut Response<ResponseBody>, status: u16) {
    let status = http::StatusCode::from_u16(status);
    *answer.status_mut() = status.unwrap_or(http::StatusCode::BAD_GATEWAY);
}

fn set_retry_after(answer: &mut Response<ResponseBody>, wait: Option<Duration>) {
    let Some(wait) = wait else {
        return;
    };
    let seconds = wait.as_millis().div_ceil(1000).max(1);
    set_header(answer, RETRY_AFTER.as_str(), &seconds.to_string());
}

fn set_header(answer: &mut Response<ResponseBody>, name: &str, value: &str) {
    let name = http::HeaderName::try_from(name);
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        answer.headers_mut().insert(name, value);
    }
}
