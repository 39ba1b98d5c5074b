//! The relay client, which sends requests to an entry of another data centre.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use tonic::Code;
use tonic::Streaming;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use super::AnswerPart;
use super::OutboundRequest;
use super::RELAY_COUNT;
use super::generated::RelayPart;
use super::generated::RelayRequest;
use super::generated::relay_client::RelayClient;
use super::generated::relay_part::Part;
use crate::version::document::Priority;

/// Timeouts of relay connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelaySettings {
    /// The timeout for opening a connection.
    pub connect_timeout: Duration,
    /// The interval between HTTP/2 pings on a connection.
    pub ping_interval: Duration,
    /// The timeout for the acknowledgement of a ping, after which the connection is closed.
    pub ping_timeout: Duration,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            ping_interval: Duration::from_secs(2),
            ping_timeout: Duration::from_secs(1),
        }
    }
}

/// Why a relayed request has no complete answer.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum RelayError {
    /// No byte of the request was sent, so a retry is safe.
    #[display(
        "no relay connection to {address}: {reason}. Hint: check the link between the data centres"
    )]
    NotSent {
        /// The address of the other entry's relay server.
        address: SocketAddr,
        /// The message of the connection error.
        reason: String,
    },
    /// The other entry refused the request before execution, so a retry is safe.
    #[display("the entry at {address} refused the relayed request: {reason}")]
    Refused {
        /// The address of the other entry's relay server.
        address: SocketAddr,
        /// The gRPC status of the refusal, with a hint if the entry sent one.
        reason: String,
    },
    /// The answer is incomplete; the request may have been executed.
    #[display("the relay to {address} broke off: {reason}")]
    BrokenOff {
        /// The address of the other entry's relay server.
        address: SocketAddr,
        /// The gRPC status or what was wrong with the answer.
        reason: String,
    },
}

/// A connection to an entry in another data centre.
#[derive(Clone, Debug)]
pub struct RelayConnection {
    address: SocketAddr,
    client: RelayClient<Channel>,
}

/// The streamed answer to a relayed request.
#[derive(Debug)]
pub struct RelayedAnswer {
    address: SocketAddr,
    parts: Streaming<RelayPart>,
    is_ended: bool,
}

impl RelayConnection {
    /// Opens a connection. Every error is [`RelayError::NotSent`].
    pub async fn open(address: SocketAddr, settings: RelaySettings) -> Result<Self, RelayError> {
        let not_sent = |error: tonic::transport::Error| RelayError::NotSent {
            address,
            reason: error_with_source(&error),
        };
        let endpoint = Endpoint::from_shared(format!("http://{address}")).map_err(not_sent)?;
        let endpoint = endpoint
            .connect_timeout(settings.connect_timeout)
            .http2_keep_alive_interval(settings.ping_interval)
            .keep_alive_timeout(settings.ping_timeout)
            .tcp_nodelay(true);
        let channel = endpoint.connect().await.map_err(not_sent)?;
        let client = RelayClient::new(channel);
        Ok(Self { address, client })
    }

    /// Sends a request once and returns its answer.
    pub async fn submit(&mut self, request: OutboundRequest) -> Result<RelayedAnswer, RelayError> {
        let address = self.address;
        let submitted = self.client.submit(encode(request)).await;
        let response = submitted.map_err(|status| status_error(address, &status))?;
        Ok(RelayedAnswer {
            address,
            parts: response.into_inner(),
            is_ended: false,
        })
    }
}

impl RelayedAnswer {
    /// Returns the next part, or `None` after the last one.
    ///
    /// A stream that ends before its last part is [`RelayError::BrokenOff`].
    pub async fn next(&mut self) -> Result<Option<AnswerPart>, RelayError> {
        if self.is_ended {
            return Ok(None);
        }
        let address = self.address;
        let broken_off = |reason: String| RelayError::BrokenOff { address, reason };
        let message = self.parts.message().await;
        let message = message.map_err(|status| broken_off(status.to_string()))?;
        let part = message.and_then(|message| message.part);
        let part =
            part.ok_or_else(|| broken_off(String::from("the stream ended without an end part")))?;
        let part = decode(part)
            .ok_or_else(|| broken_off(String::from("the stream contains an unknown part")))?;
        self.is_ended = part.is_last();
        Ok(Some(part))
    }
}

/// Maps a gRPC status to an error. `InvalidArgument` and `FailedPrecondition` mean a refusal before
/// execution; after any other status the request may have been executed.
fn status_error(address: SocketAddr, status: &tonic::Status) -> RelayError {
    let reason = status.to_string();
    match status.code() {
        Code::InvalidArgument | Code::FailedPrecondition => RelayError::Refused { address, reason },
        _ => RelayError::BrokenOff { address, reason },
    }
}

fn error_with_source(error: &tonic::transport::Error) -> String {
    let source = std::error::Error::source(error);
    source.map_or_else(|| error.to_string(), |source| format!("{error}: {source}"))
}

fn encode(request: OutboundRequest) -> RelayRequest {
    let key = request.idempotency_key.map(String::from);
    RelayRequest {
        request_id: request.request.into(),
        relay_count: RELAY_COUNT,
        account: request.account.into(),
        service: request.service.into(),
        operation: request.operation.into(),
        priority: encode_priority(request.priority).to_owned(),
        deadline_ms: u64::try_from(request.time_left.as_millis()).unwrap_or(u64::MAX),
        idempotency_key: key.unwrap_or_default(),
        content_type: request.content_type,
        body: request.body.into(),
    }
}

fn encode_priority(priority: Priority) -> &'static str {
    match priority {
        Priority::Emergency => "emergency",
        Priority::Normal => "normal",
        Priority::Batch => "batch",
    }
}

fn decode(part: Part) -> Option<AnswerPart> {
    let decoded = match part {
        Part::Head(head) => AnswerPart::Head {
            status: u16::try_from(head.status).ok()?,
            content_type: head.content_type,
        },
        Part::Data(data) => AnswerPart::Data(data.into()),
        Part::End(_) => AnswerPart::End,
        Part::NotRun(refusal) => AnswerPart::NotRun {
            reason: refusal.reason,
            retry_after: Duration::from_millis(refusal.retry_after_ms),
        },
        Part::Unknown(unknown) => AnswerPart::Unknown {
            reason: unknown.reason,
        },
    };
    Some(decoded)
}
