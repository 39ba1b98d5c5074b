//! A client over one HTTP/1.1 connection, which sends each request at most once.
//!
//! The library's own client (`hyper_util::client::legacy`) sends a request again when a reused
//! connection turns out to be closed. Here nothing is ever sent twice, and an error says whether
//! any byte of the request may have left.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::body::RequestBody;
use super::tcp_options::set_tcp_options;

/// Why a request had no answer.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum SendError {
    /// No byte of the request was sent.
    #[display("no connection to {address}: {reason}. Hint: check that the host is up")]
    NotSent {
        /// The address.
        address: SocketAddr,
        /// Whether the system at the address said that nothing listens there.
        is_refused: bool,
        /// What the connection said.
        reason: String,
    },
    /// The request may have arrived.
    #[display("the connection to {address} broke after the request: {reason}")]
    MaybeSent {
        /// The address.
        address: SocketAddr,
        /// What the connection said.
        reason: String,
    },
}

/// An HTTP/1.1 connection that is not in use by a request.
///
/// Dropping it closes the connection.
#[derive(Debug)]
pub struct ClientConnection {
    address: SocketAddr,
    sender: http1::SendRequest<RequestBody>,
    driver: DriverGuard,
}

#[derive(Debug)]
struct DriverGuard(AbortHandle);

impl Drop for DriverGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl ClientConnection {
    /// Opens a connection.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, SendError> {
        let opened = tokio::time::timeout(limit, Self::open_unbounded(address)).await;
        opened.unwrap_or_else(|_| {
            let reason = format!("no answer within {limit:?}");
            let is_refused = false;
            Err(SendError::NotSent {
                address,
                is_refused,
                reason,
            })
        })
    }

    async fn open_unbounded(address: SocketAddr) -> Result<Self, SendError> {
        let not_sent = |reason: String| SendError::NotSent {
            address,
            is_refused: false,
            reason,
        };
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|error| SendError::NotSent {
            address,
            is_refused: error.kind() == std::io::ErrorKind::ConnectionRefused,
            reason: error.to_string(),
        })?;
        set_tcp_options(&stream).map_err(|error| not_sent(error.to_string()))?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| not_sent(error.to_string()))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(address:% = address; "connection ended: {error}");
            }
        });
        let driver = DriverGuard(driver.abort_handle());
        Ok(Self {
            address,
            sender,
            driver,
        })
    }

    /// Returns the peer's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the connection can take a request now.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Waits until the connection can take a request; false if it closed instead.
    pub async fn wait_until_usable(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request once and returns the head of its answer.
    ///
    /// The connection must be kept until the answer's body is read: dropping it breaks the body
    /// off, which also tells the peer that nobody reads any more.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, SendError> {
        let address = self.address;
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut error| {
            let is_unsent = error.take_message().is_some();
            let reason = error.error().to_string();
            if is_unsent {
                SendError::NotSent {
                    address,
                    is_refused: false,
                    reason,
                }
            } else {
                SendError::MaybeSent { address, reason }
            }
        })
    }
}

impl ClientConnection {
    /// Returns whether the task that drives the connection has ended.
    pub fn is_ended(&self) -> bool {
        self.driver.0.is_finished()
    }
}
