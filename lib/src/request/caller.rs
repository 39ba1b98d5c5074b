//! A caller's request, read from HTTP and checked.

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

/// `POST`: the common chat-completions shape; `model` names the service.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// `POST`: an operation of a plain service, as `/v1/services/SERVICE/OPERATION`.
pub const SERVICES_PATH_PREFIX: &str = "/v1/services/";
/// The one operation of a model service.
pub const CHAT_OPERATION: &str = "chat";

/// Header of a request: the time that the caller gives the answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header of a request: the priority class.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header of a request: the key that marks repetitions of one piece of non-idempotent work.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header of a request: `true` says that no request came under its idempotency key before.
pub const FIRST_TRY_HEADER: &str = "x-first-try";
/// Header of a request and of its answer: the request's identifier.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header of an answer: how the request ended.
pub const OUTCOME_HEADER: &str = "x-outcome";

/// The length of the prompt prefix that decides where its cache is looked for.
const PREFIX_BYTES: usize = 256;

/// The longest deadline that a caller may ask for.
pub const DEADLINE_MAX: Duration = Duration::from_secs(3600);

/// Why a request is refused for its form.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum CallerError {
    /// There is no such path.
    #[display("no such path. Hint: POST to {CHAT_PATH} or {SERVICES_PATH_PREFIX}SERVICE/OPERATION")]
    UnknownPath,
    /// The path takes another method.
    #[display("the path takes POST only. Hint: send the request as POST")]
    MethodNotAllowed,
    /// The request has no credential.
    #[display("no credential. Hint: send Authorization: Bearer CREDENTIAL")]
    NoCredential,
    /// No account has the credential.
    #[display("unknown credential. Hint: ask the operators for the account's credential")]
    UnknownCredential,
    /// There is no such service.
    #[display("unknown service {service}. Hint: the operators' document lists the services")]
    UnknownService {
        /// The service that was asked for.
        service: ServiceId,
    },
    /// The service is of the other kind.
    #[display("{service} is not served under this path. Hint: see the callers' guide")]
    WrongKind {
        /// The service that was asked for.
        service: ServiceId,
    },
    /// The service has no such operation.
    #[display("{service} has no operation {operation}. Hint: the document lists its operations")]
    UnknownOperation {
        /// The service that was asked for.
        service: ServiceId,
        /// The operation that was asked for.
        operation: OperationId,
    },
    /// A header can't be read.
    #[display("the header {name} can't be read. Hint: {expected}")]
    InvalidHeader {
        /// The header's name.
        name: String,
        /// What was expected.
        expected: String,
    },
    /// The account may not ask for the priority.
    #[display("the account may not ask for priority {priority}. Hint: use {highest} or lower")]
    PriorityNotAllowed {
        /// The priority that was asked for.
        priority: Priority,
        /// The highest one that the account may ask for.
        highest: Priority,
    },
    /// Non-idempotent work came without a key.
    #[display("the operation is not idempotent. Hint: send an Idempotency-Key header")]
    NoIdempotencyKey,
    /// The key was used with another request before.
    #[display("the idempotency key was used for other work. Hint: use a new key for new work")]
    KeyReused,
    /// The body can't be received.
    #[display("{source}")]
    Body {
        /// Why not.
        source: ReadBodyError,
    },
    /// The body is not a chat-completions request.
    #[display("the body is not a chat-completions request: {reason}. Hint: send JSON with model")]
    Malformed {
        /// What was wrong.
        reason: String,
    },
}

impl CallerError {
    /// Returns the HTTP status of the refusal.
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
        ReadBodyError::TooSlow { .. } => 408,
        ReadBodyError::Broken { .. } => 400,
    }
}

/// The shape in which the caller wants the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerShape {
    /// A model's answer as server-sent events.
    Stream,
    /// A model's answer as one JSON object.
    Whole,
    /// A plain service's answer as it comes.
    Plain,
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The request's identifier.
    pub id: RequestId,
    /// The digest of the caller's credential.
    pub credential_digest: Digest,
    /// The service.
    pub service: ServiceId,
    /// The operation.
    pub operation: OperationId,
    /// The time that the caller gives the answer, from the request's arrival.
    pub deadline: Option<Duration>,
    /// The priority class.
    pub priority: Priority,
    /// The key that marks repetitions.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Whether the caller says that no request came under the key before.
    pub is_first_try: bool,
    /// The shape of the answer.
    pub shape: AnswerShape,
    /// The media type of the body.
    pub content_type: String,
    /// The body, as it goes to the target.
    pub body: Bytes,
    /// The body, as it came.
    pub original_body: Bytes,
    /// The digest of service, operation and body.
    pub digest: Digest,
    /// A text that requests with the same prompt prefix share.
    pub prefix: Option<String>,
}

/// The part of a path that says what the caller asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerPath {
    /// A model service, named in the body.
    Chat,
    /// A plain service.
    Plain {
        /// The service.
        service: ServiceId,
        /// The operation.
        operation: OperationId,
    },
}

/// Reads the path and method of a request.
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

/// The head of a request: all of it but the body.
#[derive(Clone, Debug)]
pub struct CallerHead {
    /// The request's identifier.
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
    /// Reads the head of a request, before its body has come.
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

    /// Returns the head of a request that another data centre relayed, whose account is known.
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

    /// Adds the body.
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

/// A chat-completions request; what the engines alone care for is passed on as it came.
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
    // The targets always stream, so that a silent one is noticed before the deadline.
    chat.stream = true;
    let streamed = serde_json::to_vec(&chat).map_err(malformed)?;
    Ok((service, operation, AnswerShape::Whole, streamed.into()))
}

fn request_digest(service: &ServiceId, operation: &OperationId, body: &Bytes) -> Digest {
    let mut text = format!("{service}\n{operation}\n").into_bytes();
    text.extend_from_slice(body);
    digest_of(&text)
}

/// Returns the hash of the start of the first message, where callers keep what they share.
fn prompt_prefix(body: &Bytes) -> String {
    let prompt = serde_json::from_slice::<PromptBody>(body).ok();
    let first = prompt.and_then(|prompt| prompt.messages.into_iter().next());
    let text = first.map_or_else(String::new, |message| message.content.to_string());
    let length_bytes = text.len().min(PREFIX_BYTES);
    format!("{:016x}", xxh3_64(&text.as_bytes()[..length_bytes]))
}

/// The part of a chat-completions request that its prompt prefix is read from.
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
