//! The relay server, which accepts requests from entries of other data centres.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_stream::StreamExt as _;
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::wrappers::TcpListenerStream;
use tokio_util::sync::CancellationToken;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::codegen::BoxStream;
use tonic::transport::Server;

use super::AnswerPart;
use super::OutboundRequest;
use super::RELAY_COUNT;
use super::RelayHandler;
use super::RelayedRequest;
use super::client::RelaySettings;
use super::generated::RelayEnd;
use super::generated::RelayHead;
use super::generated::RelayNotRun;
use super::generated::RelayPart;
use super::generated::RelayRequest;
use super::generated::RelayUnknown;
use super::generated::relay_part::Part;
use super::generated::relay_server::Relay;
use super::generated::relay_server::RelayServer;
use crate::ids::ParseIdError;
use crate::version::document::Priority;

/// The capacity of the channel between the handler and the answer stream, in parts. When it is
/// full, the handler waits.
const BUFFERED_PARTS_MAX: usize = 32;

/// The relay server stopped because of a transport error.
#[derive(Debug, Display, Error, From)]
#[display("the relay server stopped: {source}. Hint: check the relay's address in the settings")]
pub struct RelayServerError {
    source: tonic::transport::Error,
}

/// Why a relayed request is refused before execution.
#[derive(Clone, Debug, Display, Eq, Error, From, PartialEq)]
enum RequestError {
    #[display("the request was relayed before. Hint: serve it where it is or refuse it")]
    #[from(ignore)]
    AlreadyRelayed,
    #[display("unknown priority {priority:?}. Hint: emergency, normal or batch")]
    #[from(ignore)]
    UnknownPriority { priority: String },
    #[display("{_0}")]
    InvalidId(ParseIdError),
}

/// Adapts a [`RelayHandler`] to the generated gRPC service.
#[derive(Clone, Debug)]
struct RelayService<H>(H);

#[tonic::async_trait]
impl<H> Relay for RelayService<H>
where
    H: RelayHandler,
{
    type SubmitStream = BoxStream<RelayPart>;

    async fn submit(
        &self,
        request: Request<RelayRequest>,
    ) -> Result<Response<Self::SubmitStream>, Status> {
        let request = decode(request.into_inner())
            .map_err(|refusal| Status::invalid_argument(refusal.to_string()))?;
        let (parts, answer) = mpsc::channel(BUFFERED_PARTS_MAX);
        let handler = self.0.clone();
        tokio::spawn(async move { handler.relay(request, parts).await });
        let answer = ReceiverStream::new(answer).map(|part| Ok(encode(part)));
        Ok(Response::new(Box::pin(answer)))
    }
}

/// Serves relayed requests until `stop` is cancelled, then waits for the requests in flight.
pub async fn serve_relays<H>(
    listener: TcpListener,
    handler: H,
    settings: RelaySettings,
    stop: CancellationToken,
) -> Result<(), RelayServerError>
where
    H: RelayHandler,
{
    let mut server = Server::builder()
        .http2_keepalive_interval(Some(settings.ping_interval))
        .http2_keepalive_timeout(Some(settings.ping_timeout))
        .tcp_nodelay(true);
    let router = server.add_service(RelayServer::new(RelayService(handler)));
    let incoming = TcpListenerStream::new(listener);
    let served = router.serve_with_incoming_shutdown(incoming, stop.cancelled_owned());
    served.await?;
    Ok(())
}

fn decode(request: RelayRequest) -> Result<RelayedRequest, RequestError> {
    if request.relay_count != RELAY_COUNT {
        return Err(RequestError::AlreadyRelayed);
    }
    let key = Some(request.idempotency_key).filter(|key| !key.is_empty());
    Ok(RelayedRequest(OutboundRequest {
        request: request.request_id.try_into()?,
        account: request.account.try_into()?,
        service: request.service.try_into()?,
        operation: request.operation.try_into()?,
        priority: decode_priority(request.priority)?,
        time_left: Duration::from_millis(request.deadline_ms),
        idempotency_key: key.map(TryInto::try_into).transpose()?,
        content_type: request.content_type,
        body: request.body.into(),
    }))
}

fn decode_priority(priority: String) -> Result<Priority, RequestError> {
    match priority.as_str() {
        "emergency" => Ok(Priority::Emergency),
        "normal" => Ok(Priority::Normal),
        "batch" => Ok(Priority::Batch),
        _ => Err(RequestError::UnknownPriority { priority }),
    }
}

fn encode(part: AnswerPart) -> RelayPart {
    let part = match part {
        AnswerPart::Head {
            status,
            content_type,
        } => Part::Head(RelayHead {
            status: u32::from(status),
            content_type,
        }),
        AnswerPart::Data(data) => Part::Data(data.into()),
        AnswerPart::End => Part::End(RelayEnd {}),
        AnswerPart::NotRun {
            reason,
            retry_after,
        } => Part::NotRun(RelayNotRun {
            reason,
            retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
        }),
        AnswerPart::Unknown { reason } => Part::Unknown(RelayUnknown { reason }),
    };
    RelayPart { part: Some(part) }
}
