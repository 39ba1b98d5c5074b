//! How callers' requests and targets' answers look on the wire, as a trait.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http::HeaderMap;
use http::request;
use http::response;

use crate::connection::body::ResponseBody;
use crate::ids::AccountId;
use crate::ids::HostId;
use crate::ids::WeightsId;
use crate::request::outcome::NotRunReason;
use crate::request::outcome::UnknownReason;

/// What a caller's request says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerRequest {
    /// The identifier of this attempt of the caller.
    pub request_id: String,
    /// The host name that the caller gave.
    pub host: String,
    /// The key of the caller's account.
    pub api_key: Option<String>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// The weights of the model that is asked for.
    pub weights: Option<WeightsId>,
    /// The tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens of the answer.
    pub answer_tokens_max: u32,
    /// The last event that the caller has of the stream.
    pub last_event: Option<u64>,
}

/// Why a caller's request can't be read.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum RequestError {
    /// The request has no identifier.
    #[display("the request has no id. Hint: give each attempt an id of its own")]
    NoId,
    /// A header can't be read.
    #[display("the header {name} can't be read. Hint: see the interface's description")]
    Header {
        /// The header's name.
        name: String,
    },
}

/// What is set on a request that is sent to a target.
#[derive(Clone, Debug, PartialEq)]
pub struct SendFields {
    /// The target that the request is meant for; any other one refuses it.
    pub target: HostId,
    /// The caller's account.
    pub account: Option<AccountId>,
    /// The time that is left to the target.
    pub time_left: Duration,
    /// The last event of the stream that need not be sent again.
    pub last_event: Option<u64>,
}

/// A target's load, as an answer carries it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerLoad {
    /// The requests that run.
    pub running: u32,
    /// The requests that wait.
    pub waiting: u32,
}

/// What the head of a target's answer says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AnswerHead {
    /// The request that the answer belongs to, if it says so.
    pub request_id: Option<String>,
    /// Whether the target vouches that the request was not run.
    pub is_not_run: bool,
    /// Whether the target says that it does not serve such requests, or no longer.
    pub is_misdirected: bool,
    /// Whether the answer bears the target's signature.
    pub is_signed: bool,
    /// Whether the body is encoded, which no caller asked for.
    pub is_encoded: bool,
    /// The target's load.
    pub load: Option<AnswerLoad>,
    /// The host that stands in the way of the request, if the answer names one.
    pub faulty_host: Option<HostId>,
}

/// A request that ends without a target's answer.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Failure {
    /// The request can't be read.
    #[display("malformed")]
    Malformed,
    /// The body is too long.
    #[display("too long")]
    TooLong,
    /// No route matches.
    #[display("no route")]
    NoRoute,
    /// The key belongs to no account.
    #[display("unknown key")]
    UnknownKey,
    /// The request was not run and never will be.
    #[display("not run: {reason}")]
    NotRun {
        /// Why not.
        reason: NotRunReason,
        /// When the caller can come back.
        retry_after: Duration,
    },
    /// The request may have run.
    #[display("unknown: {_0}")]
    Unknown(UnknownReason),
}

/// The wire format of callers' requests, and of the same requests at targets.
pub trait CallerProtocol: Clone + Send + Sync + 'static {
    /// Reads the head of a caller's request.
    fn read_request(&self, head: &request::Parts) -> Result<CallerRequest, RequestError>;

    /// Returns the headers of the request as a target gets it.
    fn target_headers(&self, caller_headers: &HeaderMap, fields: &SendFields) -> HeaderMap;

    /// Reads the head of a target's answer.
    fn read_answer(&self, head: &response::Parts) -> AnswerHead;

    /// Returns the headers of a target's answer as the caller gets them.
    fn caller_headers(&self, target_headers: &HeaderMap) -> HeaderMap;

    /// Returns the answer to a request that ends without a target's answer.
    fn failure_answer(&self, request_id: &str, failure: Failure) -> http::Response<ResponseBody>;

    /// Returns the identifier of a stream's event, if it has one.
    fn event_id(&self, event: &Bytes) -> Option<u64>;
}
