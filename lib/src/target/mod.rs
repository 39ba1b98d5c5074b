//! Clients of targets, which are replica groups or hosts of plain services.
//!
//! There are two interfaces. `process::entry` sends requests, control calls and orders with
//! [`TargetClient`]; [`wire`] defines its messages and [`http`] implements it over HTTP.
//! `process::gateway` sends control calls and orders with [`record::TargetControl`]; [`record`]
//! defines its types. The rest of the library uses only the traits, so that a target with another
//! wire format needs only another implementation.

pub mod http;
pub mod record;
pub mod wire;

use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;

use crate::connection::client::SendError;
use crate::ids::AttemptId;
use crate::ids::Generation;
use crate::ids::GroupId;
use crate::version::document::Priority;
use wire::CacheEvents;
use wire::HostReport;
use wire::Order;
use wire::OrderAnswer;

/// Why a control call of a [`TargetClient`] failed.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ControlError {
    /// The call was not sent, not answered, or answered with a server error.
    #[display("the control call to the target failed: {reason}. Hint: check that the host is up")]
    NoAnswer {
        /// The message of the connection error, or the HTTP status.
        reason: String,
    },
    /// The target's answer violates its protocol.
    #[display(
        "the target's answer can't be read: {reason}. Hint: compare the versions of entry and target"
    )]
    Protocol {
        /// The error of the decoder.
        reason: String,
    },
}

/// Why an answer whose head has arrived can't be read to its end.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum AnswerError {
    /// The connection failed before the end of the answer.
    #[display("the answer broke off: {reason}")]
    Broken {
        /// The message of the connection error.
        reason: String,
    },
    /// The answer ended without [`wire::END_MARKER`], so it is incomplete.
    #[display("the answer ended without its end marker")]
    MissingEndMarker,
    /// The answer violates the target's protocol.
    #[display("the answer can't be read: {reason}")]
    Malformed {
        /// The protocol violation.
        reason: String,
    },
}

/// One generation of a replica group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupGeneration {
    /// The replica group's name.
    pub group: GroupId,
    /// The group's generation, which changes with its members.
    pub generation: Generation,
}

/// The connection on which an attempt is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionChoice {
    /// An idle connection, or a new one if there is none.
    Reused,
    /// A new connection, for requests that must not fail because the target closes an idle
    /// connection.
    New,
}

/// One attempt of a request, to be sent to a target.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The attempt ID, which the target returns in its answer.
    pub attempt: AttemptId,
    /// The path of the HTTP request.
    pub path: String,
    /// The group and generation that the request is addressed to; `None` for a plain service.
    pub group: Option<GroupGeneration>,
    /// The priority class.
    pub priority: Priority,
    /// The number of tokens that the caller already received; 0 for a new answer.
    pub resume_from_tokens: u64,
    /// The media type of the body.
    pub content_type: String,
    /// The request body, passed on unchanged.
    pub body: Bytes,
}

/// The head of a target's answer.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// The HTTP status.
    pub status: u16,
    /// The attempt ID that the target returned, if any.
    pub attempt: Option<AttemptId>,
    /// The group's generation that the target returned, if any.
    pub generation: Option<Generation>,
    /// Whether the target states that it refused the request before execution.
    pub is_refused_before_start: bool,
    /// The media type of the body.
    pub content_type: String,
}

/// An event of a streamed answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AnswerEvent {
    /// A generated token.
    Token {
        /// The token's position in the complete answer, counted from 0.
        index: u64,
        /// The event data, a JSON chunk in the chat-completions format.
        data: String,
    },
    /// A chunk without a token, such as the one with the finish reason.
    Note {
        /// The event data, a JSON chunk in the chat-completions format.
        data: String,
    },
    /// The end marker: the answer is complete.
    End,
}

/// An answer whose head has arrived. Dropping it closes its connection.
pub trait TargetAnswer: Send + 'static {
    /// Returns the status and the headers of the answer.
    fn head(&self) -> &AnswerHead;

    /// Returns the next event of a streamed answer.
    fn next_event(&mut self) -> impl Future<Output = Result<AnswerEvent, AnswerError>> + Send;

    /// Reads the whole body of an answer that was not read as events.
    ///
    /// A body of more than `limit_bytes` is an [`AnswerError::Broken`].
    fn read_to_end(
        self,
        limit_bytes: usize,
    ) -> impl Future<Output = Result<Bytes, AnswerError>> + Send;

    /// Makes the connection available for reuse if the answer was read to its end. Otherwise the
    /// connection is closed.
    fn keep_connection(self) -> impl Future<Output = ()> + Send;
}

/// A client of targets: requests, reports, orders and cache events.
pub trait TargetClient: Clone + Send + Sync + 'static {
    /// An open connection on which an attempt can be sent.
    type Connection: Send + 'static;

    /// An answer whose head has arrived.
    type Answer: TargetAnswer;

    /// Returns a connection. Connecting is separate from [`TargetClient::submit`], so that the caller
    /// can check the target again just before it sends.
    fn connect(
        &self,
        address: SocketAddr,
        choice: ConnectionChoice,
    ) -> impl Future<Output = Result<Self::Connection, SendError>> + Send;

    /// Sends an attempt at most once and returns the answer after its head has arrived.
    fn submit(
        &self,
        connection: Self::Connection,
        submission: Submission,
    ) -> impl Future<Output = Result<Self::Answer, SendError>> + Send;

    /// Requests that a target stop an attempt. Success means that the target answered.
    fn cancel(
        &self,
        address: SocketAddr,
        attempt: AttemptId,
    ) -> impl Future<Output = Result<(), ControlError>> + Send;

    /// Returns the status report of a host.
    fn report(
        &self,
        address: SocketAddr,
    ) -> impl Future<Output = Result<HostReport, ControlError>> + Send;

    /// Sends an order to a host. After an error, the host may still execute the order.
    fn order(
        &self,
        address: SocketAddr,
        order: Order,
    ) -> impl Future<Output = Result<OrderAnswer, ControlError>> + Send;

    /// Returns the prefix cache events of a host with sequence numbers above `after_sequence`.
    fn cache_events(
        &self,
        address: SocketAddr,
        after_sequence: u64,
    ) -> impl Future<Output = Result<CacheEvents, ControlError>> + Send;

    /// Closes the idle connections to a target, used after one of them stopped responding.
    fn drop_idle(&self, address: SocketAddr);
}
