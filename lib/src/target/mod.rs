//! Targets: the hosts of replica groups and of plain services, as an entry sees them.
//!
//! The traits are what the rest of the library uses. [`wire`] holds the messages and [`http`] the
//! only adapter, so that a target with another wire format means one more file.

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

/// Why a control call to a target failed.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ControlError {
    /// The target did not answer.
    #[display("the target did not answer: {reason}. Hint: check that the host is up")]
    NoAnswer {
        /// What the connection said.
        reason: String,
    },
    /// The target's answer does not follow its protocol.
    #[display("the target's answer can't be read: {reason}. Hint: compare the two versions")]
    Protocol {
        /// What was wrong with the answer.
        reason: String,
    },
}

/// Why the rest of an answer can't be read.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum AnswerError {
    /// The connection broke before the answer's end.
    #[display("the answer broke off: {reason}")]
    Broken {
        /// What the connection said.
        reason: String,
    },
    /// The answer ended without its end marker.
    #[display("the answer ended without its end marker")]
    MissingEndMarker,
    /// The answer does not follow the target's protocol.
    #[display("the answer can't be read: {reason}")]
    Malformed {
        /// What was wrong with the answer.
        reason: String,
    },
}

/// A replica group in one generation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupGeneration {
    /// The group.
    pub group: GroupId,
    /// The generation.
    pub generation: Generation,
}

/// Which connection an attempt is sent on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionChoice {
    /// An idle connection, or a new one without any.
    Reused,
    /// A new connection, for work that must not be lost to a connection that closes.
    New,
}

/// One attempt at a request, as it is sent to a target.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The attempt.
    pub attempt: AttemptId,
    /// The path at the target.
    pub path: String,
    /// The group and generation that are meant to answer, for a replica group.
    pub group: Option<GroupGeneration>,
    /// The priority.
    pub priority: Priority,
    /// The number of tokens that the caller already has.
    pub resume_from_tokens: u64,
    /// The media type of the body.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
}

/// The head of a target's answer.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// The HTTP status.
    pub status: u16,
    /// The attempt that the target says it answers.
    pub attempt: Option<AttemptId>,
    /// The generation that the target says it answers in.
    pub generation: Option<Generation>,
    /// Whether the target attests that it refused the request before it started.
    pub is_refused_before_start: bool,
    /// The media type of the body.
    pub content_type: String,
}

/// A piece of a streamed answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AnswerEvent {
    /// A token.
    Token {
        /// The token's position in the whole answer, from 0.
        index: u64,
        /// The data of the event, a chunk in the common chat-completions shape.
        data: String,
    },
    /// A chunk without a token, such as the one with the reason of the end.
    Note {
        /// The data of the event.
        data: String,
    },
    /// The end of a whole answer.
    End,
}

/// An answer whose head has arrived. Dropping it closes its connection.
pub trait TargetAnswer: Send + 'static {
    /// Returns the head.
    fn head(&self) -> &AnswerHead;

    /// Returns the next piece of a streamed answer.
    fn next_event(&mut self) -> impl Future<Output = Result<AnswerEvent, AnswerError>> + Send;

    /// Reads the answer's body as a whole.
    fn read_to_end(
        self,
        limit_bytes: usize,
    ) -> impl Future<Output = Result<Bytes, AnswerError>> + Send;

    /// Keeps the connection for reuse, if the answer was read to its very end.
    fn keep_connection(self) -> impl Future<Output = ()> + Send;
}

/// The targets' interface: requests, reports and orders.
pub trait TargetClient: Clone + Send + Sync + 'static {
    /// The type of a connection that can take an attempt.
    type Connection: Send + 'static;

    /// The type of an answer.
    type Answer: TargetAnswer;

    /// Returns a connection, so that the caller can check the target once more before it sends.
    fn connect(
        &self,
        address: SocketAddr,
        choice: ConnectionChoice,
    ) -> impl Future<Output = Result<Self::Connection, SendError>> + Send;

    /// Sends an attempt exactly once and returns its answer's head.
    fn submit(
        &self,
        connection: Self::Connection,
        submission: Submission,
    ) -> impl Future<Output = Result<Self::Answer, SendError>> + Send;

    /// Asks a target to stop an attempt.
    fn cancel(
        &self,
        address: SocketAddr,
        attempt: AttemptId,
    ) -> impl Future<Output = Result<(), ControlError>> + Send;

    /// Returns a host's report of itself.
    fn report(
        &self,
        address: SocketAddr,
    ) -> impl Future<Output = Result<HostReport, ControlError>> + Send;

    /// Gives an order to a host.
    fn order(
        &self,
        address: SocketAddr,
        order: Order,
    ) -> impl Future<Output = Result<OrderAnswer, ControlError>> + Send;

    /// Returns the cache events after `after_sequence`.
    fn cache_events(
        &self,
        address: SocketAddr,
        after_sequence: u64,
    ) -> impl Future<Output = Result<CacheEvents, ControlError>> + Send;

    /// Closes the idle connections to a target, after one of them went silent.
    fn drop_idle(&self, address: SocketAddr);
}
