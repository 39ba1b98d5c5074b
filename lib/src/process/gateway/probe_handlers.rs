//! HTTP handlers of the readiness probe and of the metrics.

use std::sync::Arc;

use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use hyper::body::Incoming;

use super::state::GatewayState;
use crate::clock::Clock;
use crate::connection::body::ResponseBody;
use crate::connection::body::full_body;
use crate::connection::server::HttpHandler;
use crate::process::lifecycle::Stage;

/// Answers with the stage of the process: status 200 while it is ready, 503 otherwise.
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

/// The media type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// Answers with the process's metrics in the Prometheus text format.
#[derive(Debug)]
pub(super) struct MetricsHandler<C> {
    pub(super) state: Arc<GatewayState<C>>,
}

impl<C> Clone for MetricsHandler<C> {
    fn clone(&self) -> Self {
        Self {
            state: Arc::clone(&self.state),
        }
    }
}

impl<C> HttpHandler for MetricsHandler<C>
where
    C: Clock,
{
    async fn handle(&self, _request: Request<Incoming>) -> Response<ResponseBody> {
        self.state.update_record_metrics();
        match self.state.metrics.render() {
            Ok(text) => {
                let mut response = Response::new(full_body(text));
                let media_type = http::HeaderValue::from_static(METRICS_TYPE);
                response.headers_mut().insert(CONTENT_TYPE, media_type);
                response
            }
            Err(error) => {
                log::error!("can't render the metrics: {error}");
                let mut response = Response::new(full_body(error.to_string()));
                *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                response
            }
        }
    }
}
