//! An HTTP server that accepts HTTP/1.1 and HTTP/2 on the same listener.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use super::body::ResponseBody;
use super::tcp_options::set_tcp_options;

/// The delay after a failed `accept`, which prevents a busy loop while the process has no free file
/// descriptors.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The request handler of a server.
pub trait HttpHandler: Clone + Send + Sync + 'static {
    /// Handles a request. Errors are reported as responses.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<ResponseBody>> + Send;
}

/// Limits on requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerSettings {
    /// The timeout for reading an HTTP/1.1 request head, counted from the start of the connection or
    /// of the request.
    pub head_timeout: Duration,
    /// The maximum size of a request head.
    pub head_limit_bytes: usize,
    /// The maximum number of headers of an HTTP/1.1 request.
    pub header_limit: usize,
    /// The maximum number of concurrent streams of an HTTP/2 connection.
    pub stream_limit: u32,
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(5),
            head_limit_bytes: 16 * 1024,
            header_limit: 64,
            stream_limit: 256,
        }
    }
}

/// Serves requests until `stop` is cancelled, then waits for the requests in flight.
pub async fn serve<H>(
    listener: TcpListener,
    handler: H,
    settings: ServerSettings,
    stop: CancellationToken,
) where
    H: HttpHandler,
{
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, peer)) => spawn_connection(stream, peer, &handler, settings, &graceful),
            Err(error) => {
                log::warn!("accept failed; retrying after a delay: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn spawn_connection<H>(
    stream: TcpStream,
    peer: SocketAddr,
    handler: &H,
    settings: ServerSettings,
    graceful: &GracefulShutdown,
) where
    H: HttpHandler,
{
    if let Err(error) = set_tcp_options(&stream) {
        log::debug!(peer:% = peer; "socket options could not be set; closing the connection: {error}");
        return;
    }
    let handler = handler.clone();
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, std::convert::Infallible>(handler.handle(request).await) }
    });
    let connection = server_builder(settings)
        .serve_connection(TokioIo::new(stream), service)
        .into_owned();
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(peer:% = peer; "connection closed with an error: {error}");
        }
    });
}

fn server_builder(settings: ServerSettings) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(settings.head_timeout)
        .max_buf_size(settings.head_limit_bytes)
        .max_headers(settings.header_limit);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(settings.head_limit_bytes as u32)
        .max_concurrent_streams(settings.stream_limit);
    builder
}
