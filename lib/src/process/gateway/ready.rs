//! The answers to the balancer's question whether the entry is ready.

use std::sync::Arc;

use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;

use super::state::GatewayState;
use crate::clock::Clock;
use crate::connection::body::ResponseBody;
use crate::connection::body::full_body;
use crate::connection::server::HttpHandler;
use crate::process::lifecycle::Stage;

/// Answers 200 while the entry takes new connections, and 503 otherwise.
#[derive(Debug)]
pub(super) struct ReadyHandler<C> {
    pub(super) state: Arc<GatewayState<C>>,
}

impl<C> Clone for ReadyHandler<C> {
    fn clone(&self) -> Self {
        Self {
            state: Arc::clone(&self.state),
        }
    }
}

impl<C> HttpHandler for ReadyHandler<C>
where
    C: Clock,
{
    async fn handle(&self, _request: Request<Incoming>) -> Response<ResponseBody> {
        let stage = self.state.lifecycle.stage();
        let mut response = Response::new(full_body(stage.to_string()));
        if stage != Stage::Ready {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }
}
