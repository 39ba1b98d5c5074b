//! Answers the requests of other entries.

use http::Request;
use http::Response;
use hyper::body::Incoming;

use super::context::GatewayContext;
use super::record_relay::RecordRelayHandler;
use crate::clock::Clock;
use crate::connection::body::ResponseBody;
use crate::connection::server::HttpHandler;
use crate::request::forward::handler::ForwardHandler;
use crate::request::forward::hop::is_passed_on;
use crate::request::forward::protocol::CallerProtocol;

/// Serves records, and requests that entries without links to the targets pass on.
#[derive(Clone, Debug)]
pub(super) struct PeerHandler<C, W>
where
    W: Clone,
{
    pub(super) records: RecordRelayHandler<C>,
    pub(super) requests: ForwardHandler<GatewayContext<C, W>>,
}

impl<C, W> HttpHandler for PeerHandler<C, W>
where
    C: Clock,
    W: CallerProtocol,
{
    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        if is_passed_on(request.headers()) {
            return self.requests.handle(request).await;
        }
        self.records.handle(request).await
    }
}
