//! Requests that leave their data centre, over `tonic`: one call, one streamed answer.
//!
//! This hop never retries: a request is handed over at most once, and the error says whether it
//! may have arrived. A request that came through a relay is never relayed again: the handler gets
//! a [`RelayedRequest`], of which no new [`OutboundRequest`] can be made, and the server refuses a
//! request that says it was relayed before.

pub mod client;
/// The messages and the service, made by `lib/gen-protos` of `lib/proto/relay.proto`.
pub mod generated;
pub mod server;

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::ids::AccountId;
use crate::ids::IdempotencyKey;
use crate::ids::OperationId;
use crate::ids::RequestId;
use crate::ids::ServiceId;
use crate::version::document::Priority;

/// The relays that a request may have behind it when it arrives.
const RELAY_COUNT: u32 = 1;

/// A request that an entry hands to another data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutboundRequest {
    /// The request's identifier, the same in both data centres.
    pub request: RequestId,
    /// The client account.
    pub account: AccountId,
    /// The service.
    pub service: ServiceId,
    /// The operation of the service.
    pub operation: OperationId,
    /// The priority class.
    pub priority: Priority,
    /// The time that is left until the deadline.
    pub time_left: Duration,
    /// The key of non-idempotent work.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The media type of the body.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
}

/// A request that came from another data centre; it is served here or refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayedRequest(OutboundRequest);

impl RelayedRequest {
    /// Returns what was asked.
    pub fn request(&self) -> &OutboundRequest {
        &self.0
    }
}

/// A part of a relayed answer.
///
/// `End`, `NotRun` and `Unknown` are last; an answer without any of them is broken off.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AnswerPart {
    /// The head of the answer; it comes first.
    Head {
        /// The HTTP status.
        status: u16,
        /// The media type of the body.
        content_type: String,
    },
    /// A piece of the body.
    Data(Bytes),
    /// The answer is whole.
    End,
    /// The request was certainly not run.
    NotRun {
        /// Why.
        reason: String,
        /// When to come back.
        retry_after: Duration,
    },
    /// The request may have run and its answer is lost.
    Unknown {
        /// Why.
        reason: String,
    },
}

impl AnswerPart {
    /// Returns whether nothing follows the part.
    pub fn is_last(&self) -> bool {
        !matches!(self, Self::Head { .. } | Self::Data(_))
    }
}

/// What runs the requests of other data centres.
pub trait RelayHandler: Clone + Send + Sync + 'static {
    /// Runs a request and sends its answer in parts.
    ///
    /// The request passes through this data centre's own admission and routing. When the sender
    /// of the parts is closed, the caller has gone away.
    fn relay(
        &self,
        request: RelayedRequest,
        parts: mpsc::Sender<AnswerPart>,
    ) -> impl Future<Output = ()> + Send;
}
