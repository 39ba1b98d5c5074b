//! The open connections of a server's clients: counts them, and closes those that wait too long or make
//! room for others.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Instant;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use super::body::ResponseBody;
use super::connection_table::ClientConnectionId;
use super::connection_table::ConnectionAdmission;
use super::connection_table::ConnectionTable;
use super::connection_table::WaitLimits;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;

/// The first bytes of a connection with HTTP/2.
const HTTP2_START: &[u8] = b"PRI ";

/// The open connections of a server's clients; clones share them.
#[derive(Clone, Debug)]
pub struct ClientConnections {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    open: Mutex<Open>,
    evicted: AtomicU64,
    expired: AtomicU64,
    refused: AtomicU64,
}

#[derive(Debug)]
struct Open {
    table: ConnectionTable,
    closers: SortedVec<Closer>,
}

/// Closes one connection.
#[derive(Debug)]
struct Closer {
    connection: ClientConnectionId,
    token: CancellationToken,
}

impl Keyed for Closer {
    type Key = ClientConnectionId;

    fn key(&self) -> &ClientConnectionId {
        &self.connection
    }
}

/// Numbers of connections that were closed or refused.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ClosedConnections {
    /// Closed while they waited for a request, to make room for others.
    pub evicted: u64,
    /// Closed because they waited too long for a request or the rest of its head.
    pub expired: u64,
    /// Refused since all others had requests in progress.
    pub refused: u64,
}

impl ClientConnections {
    /// Allows `count_max` connections.
    pub fn new(count_max: usize) -> Self {
        Self {
            shared: Arc::new(Shared {
                open: Mutex::new(Open {
                    table: ConnectionTable::new(count_max),
                    closers: SortedVec::new(),
                }),
                evicted: AtomicU64::new(0),
                expired: AtomicU64::new(0),
                refused: AtomicU64::new(0),
            }),
        }
    }

    /// Allows any number of connections.
    pub fn unlimited() -> Self {
        Self::new(usize::MAX)
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> usize {
        self.open().table.len()
    }

    /// Returns the connections that were closed or refused since the last call.
    pub fn take_closed(&self) -> ClosedConnections {
        let shared = &self.shared;
        ClosedConnections {
            evicted: shared.evicted.swap(0, Ordering::Relaxed),
            expired: shared.expired.swap(0, Ordering::Relaxed),
            refused: shared.refused.swap(0, Ordering::Relaxed),
        }
    }

    /// Closes the connections that have waited too long.
    pub fn close_expired(&self, limits: WaitLimits) {
        let mut open = self.open();
        let expired = open.table.take_expired(limits, Instant::now());
        for id in &expired {
            open.close(*id);
        }
        let count = expired.len() as u64;
        self.shared.expired.fetch_add(count, Ordering::Relaxed);
    }

    /// Makes room for a connection and counts it. Returns `None` if it is refused.
    pub(super) async fn admit(&self) -> Option<ClientConnection> {
        loop {
            let wait = {
                let mut open = self.open();
                match open.table.admit(Instant::now()) {
                    ConnectionAdmission::Free => return Some(self.add(&mut open)),
                    ConnectionAdmission::Evict(id) => {
                        open.close(id);
                        self.shared.evicted.fetch_add(1, Ordering::Relaxed);
                        return Some(self.add(&mut open));
                    }
                    ConnectionAdmission::Full => {
                        self.shared.refused.fetch_add(1, Ordering::Relaxed);
                        return None;
                    }
                    ConnectionAdmission::Wait(wait) => wait,
                }
            };
            tokio::time::sleep(wait).await;
        }
    }

    fn add(&self, open: &mut Open) -> ClientConnection {
        let id = open.table.open(Instant::now());
        let close = CancellationToken::new();
        open.closers.insert(Closer {
            connection: id,
            token: close.clone(),
        });
        ClientConnection {
            id,
            connections: self.clone(),
            close,
        }
    }

    fn open(&self) -> MutexGuard<'_, Open> {
        // The table is consistent between any two statements.
        let open = self.shared.open.lock();
        open.unwrap_or_else(PoisonError::into_inner)
    }
}

impl Open {
    fn close(&mut self, id: ClientConnectionId) {
        if let Some(closer) = self.closers.remove(&id) {
            closer.token.cancel();
        }
    }
}

/// A counted connection, until this is dropped.
#[derive(Debug)]
pub(super) struct ClientConnection {
    id: ClientConnectionId,
    connections: ClientConnections,
    close: CancellationToken,
}

impl ClientConnection {
    /// Waits until the connection is to be closed.
    pub(super) async fn closed(&self) {
        self.close.cancelled().await;
    }

    /// Counts a request until its answer is written; `None` if the connection is to be closed, so that
    /// the request must not run.
    pub(super) fn start_request(self: &Arc<Self>, is_http2: bool) -> Option<RequestInProgress> {
        let is_open = self.with_table(|table, _| table.on_request(self.id, is_http2));
        is_open.then(|| RequestInProgress(Arc::clone(self)))
    }

    fn with_table<F, T>(&self, change: F) -> T
    where
        F: FnOnce(&mut ConnectionTable, Instant) -> T,
    {
        let now = Instant::now();
        change(&mut self.connections.open().table, now)
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        let mut open = self.connections.open();
        open.table.on_close(self.id);
        open.closers.remove(&self.id);
    }
}

/// A request in progress, until this is dropped.
#[derive(Debug)]
pub(super) struct RequestInProgress(Arc<ClientConnection>);

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        self.0
            .with_table(|table, now| table.on_request_end(self.0.id, now));
    }
}

/// A body that keeps its request in progress until it is written.
#[derive(Debug)]
pub(super) struct CountedBody {
    body: ResponseBody,
    _request: RequestInProgress,
}

impl CountedBody {
    pub(super) fn new(body: ResponseBody, request: RequestInProgress) -> Self {
        Self {
            body,
            _request: request,
        }
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = Box<dyn std::error::Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The stream of a counted connection.
#[derive(Debug)]
pub(super) struct WatchedStream {
    stream: TcpStream,
    connection: Arc<ClientConnection>,
    has_data: bool,
}

impl WatchedStream {
    pub(super) fn new(stream: TcpStream, connection: Arc<ClientConnection>) -> Self {
        Self {
            stream,
            connection,
            has_data: false,
        }
    }

    fn on_data(&mut self, data: &[u8]) {
        let is_http2 = !self.has_data && data.starts_with(HTTP2_START);
        self.has_data = true;
        let id = self.connection.id;
        self.connection.with_table(|table, now| {
            if is_http2 {
                table.on_http2(id);
            }
            table.on_data(id, now);
        });
    }

    fn on_write<T>(&self, written: &Poll<T>) {
        let id = self.connection.id;
        let is_blocked = written.is_pending();
        self.connection
            .with_table(|table, now| table.on_write(id, is_blocked, now));
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let data = &buffer.filled()[filled..];
        if !data.is_empty() {
            self.on_data(data);
        }
        read
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.on_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.on_write(&written);
        written
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
