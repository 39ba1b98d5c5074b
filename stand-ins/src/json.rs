//! JSON requests and responses.

use std::time::Duration;

use beryltray_lib::connection::body::ResponseBody;
use beryltray_lib::connection::body::full_body;
use beryltray_lib::connection::body::read_body;
use beryltray_lib::connection::body::streamed_body;
use beryltray_lib::target::wire::NOT_RUN_HEADER;
use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The longest body that a stand-in takes.
const BODY_LIMIT_BYTES: usize = 64 * 1024 * 1024;
/// The longest time that a body may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a stand-in does not do what it was asked.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("{status}: {reason}")]
pub struct RequestError {
    /// The status of the response.
    pub status: StatusCode,
    /// What is wrong.
    pub reason: String,
    /// Whether the response attests that nothing was started.
    pub is_marked_not_run: bool,
}

impl RequestError {
    /// Creates a refusal that attests nothing.
    pub fn new(status: StatusCode, reason: &str) -> Self {
        Self {
            status,
            reason: reason.to_owned(),
            is_marked_not_run: false,
        }
    }

    /// Creates a refusal that attests that nothing was started.
    pub fn before_start(status: StatusCode, reason: &str) -> Self {
        Self {
            is_marked_not_run: true,
            ..Self::new(status, reason)
        }
    }

    fn bad_request<E>(error: E) -> Self
    where
        E: std::error::Error,
    {
        Self::new(StatusCode::BAD_REQUEST, &error.to_string())
    }

    /// Returns the response that says so.
    pub fn into_response(self) -> Response<ResponseBody> {
        let mut response = text_response(self.status, &self.reason);
        if self.is_marked_not_run {
            let attested = HeaderValue::from_static("true");
            response.headers_mut().insert(NOT_RUN_HEADER, attested);
        }
        response
    }
}

/// Returns a response with a JSON body.
pub fn json_response<T>(status: StatusCode, body: &T) -> Response<ResponseBody>
where
    T: Serialize,
{
    match serde_json::to_vec(body) {
        Ok(bytes) => with_body(status, "application/json", bytes.into()),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Returns a response with a plain text.
pub fn text_response(status: StatusCode, text: &str) -> Response<ResponseBody> {
    with_body(
        status,
        "text/plain",
        Bytes::copy_from_slice(text.as_bytes()),
    )
}

/// Returns a response whose body breaks off before its first byte.
///
/// A client can't tell whether what it asked for took effect.
pub fn broken_response() -> Response<ResponseBody> {
    let (sender, body) = streamed_body();
    drop(sender);
    Response::new(body)
}

fn with_body(status: StatusCode, content_type: &str, bytes: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    if let Ok(value) = HeaderValue::from_str(content_type) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    response
}

/// Reads a request's body.
pub async fn read_bytes(body: Incoming) -> Result<Bytes, RequestError> {
    let read = read_body(body, BODY_LIMIT_BYTES, BODY_TIMEOUT).await;
    read.map_err(RequestError::bad_request)
}

/// Reads a request's JSON body.
pub async fn read_json<T>(body: Incoming) -> Result<T, RequestError>
where
    T: DeserializeOwned,
{
    let bytes = read_bytes(body).await?;
    parse_json(&bytes)
}

/// Parses a JSON text that came as a request's body.
pub fn parse_json<T>(bytes: &[u8]) -> Result<T, RequestError>
where
    T: DeserializeOwned,
{
    let parsed = serde_json::from_slice(bytes);
    parsed.map_err(RequestError::bad_request)
}
