//! The HTTP server that all stand-ins share. It stops without draining, like a killed process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use beryltray_lib::connection::server::HttpHandler;
use derive_more::Display;
use derive_more::Error;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Why a stand-in did not start.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum StartError {
    /// The listener can't be opened.
    #[display("can't listen on {address}: {reason}. Hint: choose a free port, or port 0")]
    Bind {
        /// The address to listen on.
        address: SocketAddr,
        /// The error of the operating system.
        reason: String,
    },
}

/// The number of a connection; later connections have higher numbers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ConnectionNumber(pub u64);

/// A handle of a running stand-in; dropping it stops the stand-in.
#[derive(Debug)]
pub struct RunningStandIn {
    address: SocketAddr,
    stop: CancellationToken,
    truth_writer: TaskTracker,
}

impl RunningStandIn {
    pub(crate) fn new(address: SocketAddr, stop: CancellationToken) -> Self {
        Self {
            address,
            stop,
            truth_writer: TaskTracker::new(),
        }
    }

    /// Writes the result of `truth` to `file` after the stand-in has stopped.
    pub(crate) fn write_truth_on_stop<F>(&self, file: Option<PathBuf>, truth: F)
    where
        F: FnOnce() -> Option<String> + Send + 'static,
    {
        let Some(file) = file else {
            return;
        };
        let stop = self.stop.clone();
        self.truth_writer.spawn(async move {
            stop.cancelled().await;
            let written = std::fs::write(&file, truth().unwrap_or_default());
            if let Err(error) = written {
                log::error!("can't write the truth file {}: {error}", file.display());
            }
        });
    }

    /// Returns the address that the stand-in listens on, with the port assigned for port 0.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections immediately.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    /// Waits until the stand-in has stopped (by [`Self::stop`] or by the fault `die`) and the truth
    /// file is written.
    pub async fn wait_until_stopped(&self) {
        self.stop.cancelled().await;
        self.truth_writer.close();
        self.truth_writer.wait().await;
    }
}

impl Drop for RunningStandIn {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Opens the listener of a stand-in. Also returns the bound address.
pub async fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let bind_error = |error: std::io::Error| StartError::Bind {
        address,
        reason: error.to_string(),
    };
    let listener = TcpListener::bind(address).await.map_err(bind_error)?;
    let bound = listener.local_addr().map_err(bind_error)?;
    Ok((listener, bound))
}

/// Serves HTTP/1.1 until `stop` is cancelled, which aborts all connections.
pub async fn serve<H>(listener: TcpListener, handler: H, stop: CancellationToken)
where
    H: HttpHandler,
{
    let mut number = 0;
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                number += 1;
                let connection = serve_connection(stream, number, handler.clone());
                tokio::spawn(stop.clone().run_until_cancelled_owned(connection));
            }
            Err(error) => {
                log::warn!("accept failed; retrying after a delay: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<H>(stream: TcpStream, number: u64, handler: H)
where
    H: HttpHandler,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("closed a connection, could not set TCP_NODELAY: {error}");
        return;
    }
    let service = service_fn(move |mut request| {
        let handler = handler.clone();
        let extensions: &mut http::Extensions = http::Request::extensions_mut(&mut request);
        extensions.insert(ConnectionNumber(number));
        async move { Ok::<_, std::convert::Infallible>(handler.handle(request).await) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("connection ended with an error: {error}");
    }
}

/// Locks a stand-in's state, also after a panic of another holder: no statement leaves the state
/// inconsistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
