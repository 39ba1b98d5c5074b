//! An HTTP server that accepts HTTP/1.1 and HTTP/2 on the same listener.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::Response;
use http::Version;
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
use super::client_connections::ClientConnection;
use super::client_connections::ClientConnections;
use super::client_connections::CountedBody;
use super::client_connections::WatchedStream;
use super::tcp_options::set_tcp_options;

/// The delay after a failed `accept`, which prevents a busy loop while the process has no free file
/// descriptors.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What a client may send on a connection with HTTP/2, and on one of its streams, before the server has
/// read it. It is held beside the budget for bodies; a body of 4 MiB still arrives in 0.8 s at a round
/// trip of 50 ms.
const HTTP2_WINDOW_BYTES: u32 = 256 * 1024;

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

/// Serves requests on any number of connections until `stop` is cancelled, then waits for the requests in
/// flight.
pub async fn serve<H>(
    listener: TcpListener,
    handler: H,
    settings: ServerSettings,
    stop: CancellationToken,
) where
    H: HttpHandler,
{
    let connections = ClientConnections::unlimited();
    serve_connections(listener, handler, settings, connections, stop).await;
}

/// Serves requests like [`serve`], within the limit of `connections`.
pub async fn serve_connections<H>(
    listener: TcpListener,
    handler: H,
    settings: ServerSettings,
    connections: ClientConnections,
    stop: CancellationToken,
) where
    H: HttpHandler,
{
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = accept(&listener, &connections) => accepted,
        };
        match accepted {
            Ok(Some((stream, peer, connection))) => {
                spawn_connection(stream, peer, connection, &handler, settings, &graceful);
            }
            // The connection was refused.
            Ok(None) => {}
            Err(error) => {
                log::warn!("accept failed; retrying after a delay: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Accepts a connection; returns `None` if it was refused.
async fn accept(
    listener: &TcpListener,
    connections: &ClientConnections,
) -> std::io::Result<Option<(TcpStream, SocketAddr, ClientConnection)>> {
    let (stream, peer) = listener.accept().await?;
    let admitted = connections.admit().await;
    Ok(admitted.map(|connection| (stream, peer, connection)))
}

fn spawn_connection<H>(
    stream: TcpStream,
    peer: SocketAddr,
    client: ClientConnection,
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
    let client = Arc::new(client);
    let stream = WatchedStream::new(stream, Arc::clone(&client));
    let service_client = Arc::clone(&client);
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = handler.clone();
        let client = Arc::clone(&service_client);
        async move {
            let is_http2 = request.version() == Version::HTTP_2;
            let Some(in_progress) = client.start_request(is_http2) else {
                // The connection is being closed, which drops this request before it runs.
                return std::future::pending().await;
            };
            let response = handler.handle(request).await;
            let response = response.map(|body| CountedBody::new(body, in_progress));
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let connection = server_builder(settings)
        .serve_connection(TokioIo::new(stream), service)
        .into_owned();
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        let ended = tokio::select! {
            ended = connection => ended,
            () = client.closed() => {
                log::debug!(peer:% = peer; "connection without a request is closed");
                return;
            }
        };
        if let Err(error) = ended {
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
        .initial_stream_window_size(HTTP2_WINDOW_BYTES)
        .initial_connection_window_size(HTTP2_WINDOW_BYTES)
        .max_concurrent_streams(settings.stream_limit);
    builder
}
