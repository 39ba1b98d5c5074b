//! An HTTP/1.1 client connection that sends each request at most once.
//!
//! The client of `hyper_util` (`hyper_util::client::legacy`) resends a request if a reused
//! connection was already closed. This client never resends, and its errors distinguish a request
//! that was certainly not sent from one that the server may have received.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use http::Request;
use http::Response;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::body::RequestBody;
use super::receive_limit::MeteredStream;
use super::receive_limit::READ_BUFFER_BYTES;
use super::receive_limit::ReceiveMeter;
use super::receive_limit::ReceivedBody;
use super::tcp_options::set_tcp_options;

/// The highest status of HTTP.
const STATUS_MAX: u16 = 599;

/// Why a request got no response.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum SendError {
    /// No byte of the request was sent, so a retry is safe.
    #[display("no connection to {address}: {reason}. Hint: check that the host is up")]
    NotSent {
        /// The server's address.
        address: SocketAddr,
        /// Whether the TCP connection was refused, so no process listens at the address.
        is_refused: bool,
        /// The message of the connection error.
        reason: String,
    },
    /// The server may have received the request.
    #[display("the connection to {address} broke after the request: {reason}")]
    MaybeSent {
        /// The server's address.
        address: SocketAddr,
        /// The message of the connection error.
        reason: String,
    },
}

/// An open HTTP/1.1 connection, which carries one request at a time.
///
/// Dropping it closes the connection.
#[derive(Debug)]
pub struct ClientConnection {
    address: SocketAddr,
    sender: http1::SendRequest<RequestBody>,
    received: ReceiveMeter,
    driver: DriverGuard,
}

/// Aborts the task that drives the connection's I/O when it is dropped.
#[derive(Debug)]
struct DriverGuard(AbortHandle);

impl Drop for DriverGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl ClientConnection {
    /// Opens a connection within `timeout`. Every error is [`SendError::NotSent`].
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, SendError> {
        let opened = tokio::time::timeout(timeout, Self::open_without_timeout(address)).await;
        opened.unwrap_or_else(|_| {
            let reason = format!("no answer within {timeout:?}");
            let is_refused = false;
            Err(SendError::NotSent {
                address,
                is_refused,
                reason,
            })
        })
    }

    async fn open_without_timeout(address: SocketAddr) -> Result<Self, SendError> {
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
        let received = ReceiveMeter::default();
        let stream = MeteredStream::new(stream, received.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(|error| not_sent(error.to_string()))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(address:% = address; "connection closed with an error: {error}");
            }
        });
        let driver = DriverGuard(driver.abort_handle());
        Ok(Self {
            address,
            sender,
            received,
            driver,
        })
    }

    /// Returns the server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the connection is open and no request is in progress on it.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Waits until the connection can take a request. Returns false if the connection closed.
    pub async fn wait_until_usable(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request once and returns the head of the response.
    ///
    /// The caller must keep the connection until it has read the response body. Dropping the
    /// connection aborts the body, and the server sees that the client disconnected. The response
    /// fails if the server sends too much that is not body data, or if its status is not a final one of HTTP.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<ReceivedBody>, SendError> {
        let address = self.address;
        self.received.reset();
        let sent = self.sender.try_send_request(request).await;
        let response = sent.map_err(|mut error| {
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
        })?;
        // Of the 1xx statuses only 101 ends a head, and no upgrade is ever requested. The decoder takes any
        // number from 100 to 999, but HTTP has no class of statuses above 599 (RFC 9110, section 15).
        let status = response.status();
        if status.is_informational() || status.as_u16() > STATUS_MAX {
            let reason = format!("the server answered with status {}", status.as_u16());
            return Err(SendError::MaybeSent { address, reason });
        }
        Ok(response.map(|body| ReceivedBody::new(body, self.received.clone())))
    }
}

impl ClientConnection {
    /// Returns whether the task that drives the connection's I/O has ended.
    pub fn is_ended(&self) -> bool {
        self.driver.0.is_finished()
    }
}
