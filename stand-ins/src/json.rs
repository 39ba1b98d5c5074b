//! Helpers to read requests and to build responses.

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

/// Maximum size of a request body.
const BODY_LIMIT_BYTES: usize = 64 * 1024 * 1024;
/// Maximum time to receive a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// A request that a stand-in refuses, with the error response to send.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("{status}: {reason}")]
pub struct RequestError {
    /// The status code of the response.
    pub status: StatusCode,
    /// The text of the response body.
    pub reason: String,
    /// Whether the response has the header [`NOT_RUN_HEADER`], which attests that the request was
    /// refused before execution.
    pub is_marked_not_run: bool,
}

impl RequestError {
    /// Creates an error that does not attest whether the request was executed.
    pub fn new(status: StatusCode, reason: &str) -> Self {
        Self {
            status,
            reason: reason.to_owned(),
            is_marked_not_run: false,
        }
    }

    /// Creates an error which attests that the request was refused before execution.
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

    /// Returns the error response.
    pub fn into_response(self) -> Response<ResponseBody> {
        let mut response = text_response(self.status, &self.reason);
        if self.is_marked_not_run {
            let not_run = HeaderValue::from_static("true");
            response.headers_mut().insert(NOT_RUN_HEADER, not_run);
        }
        response
    }
}

/// Returns a response with a JSON body, or status 500 if `body` can't be serialized.
pub fn json_response<T>(status: StatusCode, body: &T) -> Response<ResponseBody>
where
    T: Serialize,
{
    match serde_json::to_vec(body) {
        Ok(bytes) => with_body(status, "application/json", bytes.into()),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Returns a response with a plain text body.
pub fn text_response(status: StatusCode, text: &str) -> Response<ResponseBody> {
    with_body(
        status,
        "text/plain",
        Bytes::copy_from_slice(text.as_bytes()),
    )
}

/// Returns a response whose body breaks off before its first byte.
///
/// The client can't determine whether its request took effect.
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

/// Reads a request body of at most 64 MiB within 30 s, or fails with status 400.
pub async fn read_bytes(body: Incoming) -> Result<Bytes, RequestError> {
    let read = read_body(body, BODY_LIMIT_BYTES, BODY_TIMEOUT).await;
    read.map_err(RequestError::bad_request)
}

/// Reads and parses a JSON request body, or fails with status 400.
pub async fn read_json<T>(body: Incoming) -> Result<T, RequestError>
where
    T: DeserializeOwned,
{
    let bytes = read_bytes(body).await?;
    parse_json(&bytes)
}

/// Parses a JSON request body, or fails with status 400.
pub fn parse_json<T>(bytes: &[u8]) -> Result<T, RequestError>
where
    T: DeserializeOwned,
{
    let parsed = serde_json::from_slice(bytes);
    parsed.map_err(RequestError::bad_request)
}
