//! Limits what a server can send to a client connection without sending body data.
//!
//! `hyper` skips interim responses, leading zeros of a chunk size and the blanks after it, however
//! many there are. A server that sends them without end would occupy the client until the request's
//! deadline.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// The size of a connection's read buffer, and so of the largest response head.
pub(super) const READ_BUFFER_BYTES: usize = 32 * 1024;
/// The maximum number of bytes received in a row without body data. It fits several heads of
/// the largest size, and the data that `hyper` reads ahead: a frame in the body's channel and a full
/// read buffer.
const OVERHEAD_LIMIT_BYTES: usize = 8 * READ_BUFFER_BYTES;

/// The server sent too many bytes without body data.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display(
    "more than {OVERHEAD_LIMIT_BYTES} bytes came without body data. Hint: check what listens at \
     the address"
)]
struct OverheadExceeded;

/// Counts the bytes that a connection received since the last body data.
#[derive(Clone, Debug, Default)]
pub(super) struct ReceiveMeter(Arc<AtomicUsize>);

impl ReceiveMeter {
    /// Restarts the count, at a new request or when body data was read.
    pub(super) fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }
}

/// A TCP stream whose reads fail once its [`ReceiveMeter`] exceeds the limit.
#[derive(Debug)]
pub(super) struct MeteredStream {
    stream: TcpStream,
    meter: ReceiveMeter,
}

impl MeteredStream {
    pub(super) fn new(stream: TcpStream, meter: ReceiveMeter) -> Self {
        Self { stream, meter }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.meter.0.load(Ordering::Relaxed) > OVERHEAD_LIMIT_BYTES {
            let error = io::Error::new(io::ErrorKind::InvalidData, OverheadExceeded);
            return Poll::Ready(Err(error));
        }
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let received = buffer.filled().len() - filled_before;
        self.meter.0.fetch_add(received, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// The body of a response on a [`ClientConnection`](super::client::ClientConnection).
#[derive(Debug)]
pub struct ReceivedBody {
    body: Incoming,
    meter: ReceiveMeter,
}

impl ReceivedBody {
    pub(super) fn new(body: Incoming, meter: ReceiveMeter) -> Self {
        Self { body, meter }
    }
}

impl Body for ReceivedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if let Poll::Ready(Some(Ok(frame))) = &polled
            && frame.data_ref().is_some_and(|data| !data.is_empty())
        {
            self.meter.reset();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
