//! Parsing and validation of callers' HTTP requests.

use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http::HeaderMap;
use http::Method;
use http::header::AUTHORIZATION;
use http::header::CONTENT_TYPE;
use http::request::Parts;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::connection::body::ReadBodyError;
use crate::connection::relay::OutboundRequest;
use crate::ids::Digest;
use crate::ids::IdempotencyKey;
use crate::ids::OperationId;
use crate::ids::RequestId;
use crate::ids::ServiceId;
use crate::ids::digest_of;
use crate::ids::new_request_id;
use crate::version::document::Priority;

/// `POST`: a chat-completions request; its field `model` names the service.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// `POST`: an operation of a plain service, at `/v1/services/SERVICE/OPERATION`.
pub const SERVICES_PATH_PREFIX: &str = "/v1/services/";
/// The only operation of a model service.
pub const CHAT_OPERATION: &str = "chat";

/// Request header: the time limit for the complete answer, in milliseconds from the
/// arrival of the request.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Request header: the priority class, `emergency`, `normal` or `batch`.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Request header: the key that identifies repeats of one non-idempotent request.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Request header: `true` if the caller has sent no earlier request with the idempotency key.
pub const FIRST_TRY_HEADER: &str = "x-first-try";
/// Request and answer header: the request's identifier, generated if the request has none.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Answer header: how the request ended.
pub const OUTCOME_HEADER: &str = "x-outcome";

/// The length of the prompt prefix that routes a request to a target that may have cached it.
const PROMPT_PREFIX_BYTES: usize = 256;

/// The maximum deadline that a caller may request.
pub const DEADLINE_MAX: Duration = Duration::from_secs(3600);

/// Why a request is invalid or not allowed.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum CallerError {
    /// The path is neither [`CHAT_PATH`] nor below [`SERVICES_PATH_PREFIX`].
    #[display("no such path. Hint: POST to {CHAT_PATH} or {SERVICES_PATH_PREFIX}SERVICE/OPERATION")]
    UnknownPath,
    /// The method is not `POST`.
    #[display("the path takes POST only. Hint: send the request as POST")]
    MethodNotAllowed,
    /// There is no `Authorization` header with a bearer token.
    #[display("no credential. Hint: send Authorization: Bearer CREDENTIAL")]
    NoCredential,
    /// No client account of the document has the credential.
    #[display("unknown credential. Hint: ask the operators for the account's credential")]
    UnknownCredential,
    /// The service is not in the document.
    #[display("unknown service {service}. Hint: the operators' document lists the services")]
    UnknownService {
        /// The requested service.
        service: ServiceId,
    },
    /// A plain service was requested at [`CHAT_PATH`], or a model service at the other path.
    #[display("{service} is not served under this path. Hint: see the callers' guide")]
    WrongKind {
        /// The requested service.
        service: ServiceId,
    },
    /// The service has no such operation.
    #[display("{service} has no operation {operation}. Hint: the document lists its operations")]
    UnknownOperation {
        /// The requested service.
        service: ServiceId,
        /// The requested operation.
        operation: OperationId,
    },
    /// A header has an invalid value.
    #[display("the header {name} can't be read. Hint: {expected}")]
    InvalidHeader {
        /// The name of the header.
        name: String,
        /// A description of the valid values.
        expected: String,
    },
    /// The account may not use the priority.
    #[display("the account may not ask for priority {priority}. Hint: use {highest} or lower")]
    PriorityNotAllowed {
        /// The requested priority.
        priority: Priority,
        /// The highest priority that the account may use.
        highest: Priority,
    },
    /// A non-idempotent operation was requested without an idempotency key.
    #[display("the operation is not idempotent. Hint: send an Idempotency-Key header")]
    NoIdempotencyKey,
    /// An earlier request with the same idempotency key had a different digest.
    #[display("the idempotency key was used for other work. Hint: use a new key for new work")]
    KeyReused,
    /// The body is too long, too slow or incomplete.
    #[display("{source}")]
    Body {
        /// The read error, with its own hint.
        source: ReadBodyError,
    },
    /// The body is not a chat-completions request.
    #[display("the body is not a chat-completions request: {reason}. Hint: send JSON with model")]
    Malformed {
        /// The error of the JSON parser.
        reason: String,
    },
}

impl CallerError {
    /// Returns the HTTP status of the answer, from 400 to 499.
    pub fn status(&self) -> u16 {
        match self {
            Self::UnknownPath | Self::UnknownService { .. } | Self::UnknownOperation { .. } => 404,
            Self::MethodNotAllowed => 405,
            Self::NoCredential | Self::UnknownCredential => 401,
            Self::PriorityNotAllowed { .. } => 403,
            Self::KeyReused => 422,
            Self::Body { source } => body_status(source),
            Self::WrongKind { .. }
            | Self::InvalidHeader { .. }
            | Self::NoIdempotencyKey
            | Self::Malformed { .. } => 400,
        }
    }
}

fn body_status(error: &ReadBodyError) -> u16 {
    match error {
        ReadBodyError::TooLong { .. } => 413,
        ReadBodyError::Timeout { .. } => 408,
        ReadBodyError::Broken { .. } => 400,
    }
}

/// The format of the answer that the caller expects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerShape {
    /// A model's answer as server-sent events.
    Stream,
    /// A model's answer as one JSON object.
    Completion,
    /// A plain service's answer, passed on unchanged.
    Plain,
}

/// A caller's request, not yet checked against the document.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Set by the caller in [`REQUEST_ID_HEADER`], or generated.
    pub id: RequestId,
    /// Identifies the client account. A relayed request has the digest of an empty text, since its
    /// account is already known.
    pub credential_digest: Digest,
    /// For a model service, the body's field `model`; otherwise from the path.
    pub service: ServiceId,
    /// [`CHAT_OPERATION`] for a model service; otherwise from the path.
    pub operation: OperationId,
    /// The time limit for the complete answer, from the request's arrival; `None` for the service's
    /// default.
    pub deadline: Option<Duration>,
    /// [`Priority`]'s default if the caller sets none.
    pub priority: Priority,
    /// Identifies repeats of a non-idempotent request; optional for idempotent ones.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Whether the caller states that it has sent no earlier request with the idempotency key.
    pub is_first_try: bool,
    /// For a model service, from the body's field `stream`.
    pub shape: AnswerShape,
    /// The media type of the body; JSON if the caller sets none.
    pub content_type: String,
    /// The body that is sent to the target; for a model service always with `stream` set.
    pub body: Bytes,
    /// The body that the caller sent.
    pub original_body: Bytes,
    /// The digest of service, operation and `body`; detects reuse of the idempotency key for
    /// another request.
    pub digest: Digest,
    /// The hash of the prompt prefix in 16 hexadecimal digits; `None` for a plain service.
    pub prefix: Option<String>,
}

/// A parsed request path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerPath {
    /// A model service, named in the body.
    Chat,
    /// An operation of a plain service; neither is checked against the document yet.
    Plain {
        /// The first segment after [`SERVICES_PATH_PREFIX`].
        service: ServiceId,
        /// The rest of the path.
        operation: OperationId,
    },
}

/// Parses the path of a request and checks that its method is `POST`.
pub fn parse_path(method: &Method, path: &str) -> Result<CallerPath, CallerError> {
    let parsed = if path == CHAT_PATH {
        CallerPath::Chat
    } else {
        plain_path(path).ok_or(CallerError::UnknownPath)?
    };
    if method == Method::POST {
        Ok(parsed)
    } else {
        Err(CallerError::MethodNotAllowed)
    }
}

fn plain_path(path: &str) -> Option<CallerPath> {
    let rest = path.strip_prefix(SERVICES_PATH_PREFIX)?;
    let (service, operation) = rest.split_once('/')?;
    Some(CallerPath::Plain {
        service: service.parse().ok()?,
        operation: operation.parse().ok()?,
    })
}

/// A parsed request without its body.
#[derive(Clone, Debug)]
pub struct CallerHead {
    /// Set by the caller in [`REQUEST_ID_HEADER`], or generated.
    pub id: RequestId,
    path: CallerPath,
    credential_digest: Digest,
    deadline: Option<Duration>,
    priority: Priority,
    idempotency_key: Option<IdempotencyKey>,
    is_first_try: bool,
    content_type: String,
}

impl CallerHead {
    /// Parses method, path and headers, before the body is read.
    pub fn parse(parts: &Parts) -> Result<Self, CallerError> {
        let headers = &parts.headers;
        Ok(Self {
            path: parse_path(&parts.method, parts.uri.path())?,
            id: request_id(headers)?,
            credential_digest: credential_digest(headers)?,
            deadline: deadline(headers)?,
            priority: header(headers, PRIORITY_HEADER, "emergency, normal or batch")?
                .unwrap_or_default(),
            idempotency_key: header(
                headers,
                IDEMPOTENCY_KEY_HEADER,
                "1 to 128 letters, digits, -_.:",
            )?,
            is_first_try: header(headers, FIRST_TRY_HEADER, "true or false")?.unwrap_or_default(),
            content_type: content_type(headers),
        })
    }

    /// Creates the head of a request that another data centre relayed after it authenticated the
    /// account.
    pub fn from_relay(relayed: &OutboundRequest) -> Self {
        let path = if relayed.operation.as_str() == CHAT_OPERATION {
            CallerPath::Chat
        } else {
            CallerPath::Plain {
                service: relayed.service.clone(),
                operation: relayed.operation.clone(),
            }
        };
        Self {
            id: relayed.request.clone(),
            path,
            credential_digest: digest_of(&[]),
            deadline: Some(relayed.time_left),
            priority: relayed.priority,
            idempotency_key: relayed.idempotency_key.clone(),
            is_first_try: false,
            content_type: relayed.content_type.clone(),
        }
    }

    /// Adds the body; fails if a model service's body is not a chat-completions request.
    pub fn with_body(self, body: Bytes) -> Result<CallerRequest, CallerError> {
        let original_body = body.clone();
        let (service, operation, shape, body) = match self.path {
            CallerPath::Plain { service, operation } => {
                (service, operation, AnswerShape::Plain, body)
            }
            CallerPath::Chat => chat_body(&body)?,
        };
        let digest = request_digest(&service, &operation, &body);
        let prefix = (shape != AnswerShape::Plain).then(|| prompt_prefix(&body));
        Ok(CallerRequest {
            id: self.id,
            credential_digest: self.credential_digest,
            service,
            operation,
            deadline: self.deadline,
            priority: self.priority,
            idempotency_key: self.idempotency_key,
            is_first_try: self.is_first_try,
            shape,
            content_type: self.content_type,
            body,
            original_body,
            digest,
            prefix,
        })
    }
}

/// A chat-completions request; fields that only the engines use are passed on unchanged.
#[derive(Debug, Deserialize, Serialize)]
struct ChatBody {
    model: ServiceId,
    #[serde(default)]
    stream: bool,
    #[serde(flatten)]
    rest: serde_json::Map<String, serde_json::Value>,
}

type ChatParts = (ServiceId, OperationId, AnswerShape, Bytes);

fn chat_body(body: &Bytes) -> Result<ChatParts, CallerError> {
    let malformed = |error: serde_json::Error| CallerError::Malformed {
        reason: error.to_string(),
    };
    let mut chat: ChatBody = serde_json::from_slice(body).map_err(malformed)?;
    let operation = OperationId::from_str(CHAT_OPERATION).map_err(|_| CallerError::UnknownPath)?;
    let service = chat.model.clone();
    if chat.stream {
        return Ok((service, operation, AnswerShape::Stream, body.clone()));
    }
    // Targets always stream, so that an unresponsive one is detected before the deadline.
    chat.stream = true;
    let streamed = serde_json::to_vec(&chat).map_err(malformed)?;
    Ok((service, operation, AnswerShape::Completion, streamed.into()))
}

fn request_digest(service: &ServiceId, operation: &OperationId, body: &Bytes) -> Digest {
    let mut text = format!("{service}\n{operation}\n").into_bytes();
    text.extend_from_slice(body);
    digest_of(&text)
}

/// Returns the hash of the start of the first message, where callers put the text that their
/// requests have in common.
fn prompt_prefix(body: &Bytes) -> String {
    let prompt = serde_json::from_slice::<PromptBody>(body).ok();
    let first = prompt.and_then(|prompt| prompt.messages.into_iter().next());
    let text = first.map_or_else(String::new, |message| message.content.to_string());
    let length_bytes = text.len().min(PROMPT_PREFIX_BYTES);
    format!("{:016x}", xxh3_64(&text.as_bytes()[..length_bytes]))
}

/// The part of a chat-completions request that contains the prompt prefix.
#[derive(Debug, Deserialize)]
struct PromptBody {
    #[serde(default)]
    messages: Vec<PromptMessage>,
}

#[derive(Debug, Deserialize)]
struct PromptMessage {
    #[serde(default)]
    content: serde_json::Value,
}

fn header<T>(headers: &HeaderMap, name: &str, expected: &str) -> Result<Option<T>, CallerError>
where
    T: FromStr,
{
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().ok();
    match text.map(str::trim).and_then(|text| text.parse().ok()) {
        Some(parsed) => Ok(Some(parsed)),
        None => Err(CallerError::InvalidHeader {
            name: name.to_owned(),
            expected: expected.to_owned(),
        }),
    }
}

fn request_id(headers: &HeaderMap) -> Result<RequestId, CallerError> {
    let given = header(headers, REQUEST_ID_HEADER, "1 to 128 letters, digits, -_.:")?;
    Ok(given.unwrap_or_else(new_request_id))
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, CallerError> {
    let expected = "a whole number of milliseconds from 1 to 3600000";
    let deadline_ms: Option<u64> = header(headers, DEADLINE_HEADER, expected)?;
    let deadline = deadline_ms.map(Duration::from_millis);
    if deadline.is_some_and(|deadline| deadline.is_zero() || deadline > DEADLINE_MAX) {
        return Err(CallerError::InvalidHeader {
            name: DEADLINE_HEADER.to_owned(),
            expected: expected.to_owned(),
        });
    }
    Ok(deadline)
}

fn credential_digest(headers: &HeaderMap) -> Result<Digest, CallerError> {
    let value = headers
        .get(AUTHORIZATION)
        .ok_or(CallerError::NoCredential)?;
    let text = value.to_str().map_err(|_| CallerError::NoCredential)?;
    let credential = text
        .strip_prefix("Bearer ")
        .ok_or(CallerError::NoCredential)?;
    Ok(digest_of(credential.trim().as_bytes()))
}

fn content_type(headers: &HeaderMap) -> String {
    let given = headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    given.unwrap_or("application/json").to_owned()
}
