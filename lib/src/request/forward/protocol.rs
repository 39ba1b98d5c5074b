//! The wire format of callers' requests and targets' answers, as a trait.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http::HeaderMap;
use http::request;
use http::response;

use crate::connection::body::ResponseBody;
use crate::ids::AccountId;
use crate::ids::EventId;
use crate::ids::HostId;
use crate::ids::PromptPartId;
use crate::ids::WeightsId;
use crate::request::outcome::NotRunReason;
use crate::request::outcome::UnknownReason;
use crate::request::overload::urgency::Urgency;
use crate::units::RequestRate;

/// The fields of a caller's request that are read from its head.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerRequest {
    /// The identifier that the caller gave this attempt.
    pub request_id: String,
    /// The host name that the caller addressed; routes are matched against it.
    pub host: String,
    /// The API key of the caller's account, or `None` if the request has none.
    pub api_key: Option<String>,
    /// How long the caller waits for the answer, or `None` if it sets no deadline.
    pub timeout: Option<Duration>,
    /// The weights of the requested model, or `None` if no model is requested.
    pub weights: Option<WeightsId>,
    /// The length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// The maximum length of the answer in tokens.
    pub answer_tokens_max: u32,
    /// The ID of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<EventId>,
    /// The parts of the prompt that other requests may share; empty if none are named.
    pub prompt_parts: Vec<PromptPartId>,
}

/// Why the head of a caller's request is invalid.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum RequestError {
    /// The request has no identifier.
    #[display("the request has no id. Hint: send a unique id with each attempt")]
    NoId,
    /// A header has an invalid value.
    #[display("the header {name} is invalid. Hint: see the interface's description")]
    Header {
        /// The header's name.
        name: String,
    },
}

/// The fields that are set on a request before it is sent to a target.
#[derive(Clone, Debug, PartialEq)]
pub struct SendFields {
    /// The target that the request is addressed to; any other one refuses it.
    pub target: HostId,
    /// The caller's account, or `None` if the request needs no API key.
    pub account: Option<AccountId>,
    /// The time that remains until the request's deadline.
    pub time_left: Duration,
    /// The last event that was already delivered; the target resumes the stream after it.
    pub last_event: Option<EventId>,
    /// How urgent the request is among others in the target's queue; `None` if all are alike.
    pub urgency: Option<Urgency>,
}

/// The fields that are set on a request before it is passed on to another entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HopFields {
    /// The time that remains until the request's deadline.
    pub time_left: Duration,
    /// The last event that was already delivered; the target resumes the stream after it.
    pub last_event: Option<EventId>,
}

/// A target's load as reported in an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerLoad {
    /// The number of requests that are running.
    pub running: u32,
    /// The number of requests that are queued.
    pub waiting: u32,
}

/// What a target's answer says about the rate of requests that the target takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StatedLimit {
    /// The target names no limit.
    Unlimited,
    /// The target takes at most this rate, from all entries together. It may be 0.
    Limited(RequestRate),
    /// The target names a limit that can't be parsed.
    Invalid,
}

/// The fields read from the head of a target's answer.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerHead {
    /// The identifier of the request that the answer belongs to, if present.
    pub request_id: Option<String>,
    /// Whether the target attests that it did not run the request.
    pub is_not_run: bool,
    /// Whether callers take the answer's status as the promise that the request was not run and never
    /// will be, whatever the target attests.
    pub promises_not_run: bool,
    /// Whether the target does not serve such requests, or no longer does.
    pub is_misdirected: bool,
    /// Whether the answer carries the target's signature.
    pub is_signed: bool,
    /// Whether the body has a content encoding; none is ever requested.
    pub is_encoded: bool,
    /// The target's load, if reported.
    pub load: Option<AnswerLoad>,
    /// The target's limit on the rate of requests.
    pub limit: StatedLimit,
    /// Whether the target says that it is about to end and wants no new requests.
    pub is_leaving: bool,
    /// How long the target wants no more requests from this entry, if it says so.
    pub backoff: Option<Duration>,
    /// The host that prevented the request from running, if the answer names one.
    pub faulty_host: Option<HostId>,
}

/// Why a request ends without a target's answer.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Failure {
    /// The request's head is invalid.
    #[display("malformed")]
    Malformed,
    /// The body exceeds the configured limit.
    #[display("too long")]
    TooLong,
    /// The body stopped, or came too slowly. The request was not run.
    #[display("the body came too slowly")]
    BodyTooSlow,
    /// No route matches.
    #[display("no route")]
    NoRoute,
    /// The API key belongs to no account, or a required key is missing.
    #[display("unknown key")]
    UnknownKey,
    /// The request was not run and will not be run later.
    #[display("not run: {reason}")]
    NotRun {
        /// Why it was not run.
        reason: NotRunReason,
        /// How long the caller should wait before a retry.
        retry_after: Duration,
    },
    /// The request may have run.
    #[display("unknown: {_0}")]
    Unknown(UnknownReason),
}

impl Failure {
    /// Returns whether the answer promises that the request was not run and will not be run later.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun { .. } | Self::BodyTooSlow)
    }

    /// Returns whether the connection is closed after the answer, since the rest of the request's body is
    /// not read to its end.
    pub fn closes_connection(&self) -> bool {
        matches!(self, Self::TooLong | Self::BodyTooSlow)
    }
}

/// The wire format between callers and this process, and between this process and targets.
pub trait CallerProtocol: Clone + Send + Sync + 'static {
    /// Parses the head of a caller's request.
    fn read_request(&self, head: &request::Parts) -> Result<CallerRequest, RequestError>;

    /// Returns the identifier of a caller's request, if it has one.
    fn request_id(&self, caller_headers: &HeaderMap) -> Option<String>;

    /// Returns the headers to send to a target.
    fn target_headers(&self, caller_headers: &HeaderMap, fields: &SendFields) -> HeaderMap;

    /// Returns the headers to send to an entry that a request is passed on to.
    fn hop_headers(&self, caller_headers: &HeaderMap, fields: &HopFields) -> HeaderMap;

    /// Marks an answer to another entry as one to a request that was not run.
    fn attest_not_run(&self, headers: &mut HeaderMap);

    /// Parses the head of a target's answer.
    fn read_answer(&self, head: &response::Parts) -> AnswerHead;

    /// Returns the headers to send to the caller.
    fn caller_headers(&self, target_headers: &HeaderMap) -> HeaderMap;

    /// Returns the answer for a request that ends without a target's answer.
    fn failure_answer(&self, request_id: &str, failure: Failure) -> http::Response<ResponseBody>;

    /// Returns the ID of a stream's event, if it has one.
    fn event_id(&self, event: &Bytes) -> Option<EventId>;
}
