//! A stream wrapper that counts bytes, to measure the cost of the control traffic.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::units::ByteCount;

#[derive(Debug, Default)]
struct Counters {
    read_bytes: AtomicU64,
    written_bytes: AtomicU64,
    writes: AtomicU64,
}

/// Counts the traffic of any number of streams. Clones share the counters.
#[derive(Clone, Debug, Default)]
pub struct TrafficMeter {
    counters: Arc<Counters>,
}

impl TrafficMeter {
    /// Returns the number of bytes read from all streams since creation.
    pub fn read_bytes(&self) -> ByteCount {
        ByteCount(self.counters.read_bytes.load(Ordering::Relaxed))
    }

    /// Returns the number of bytes written to all streams since creation.
    pub fn written_bytes(&self) -> ByteCount {
        ByteCount(self.counters.written_bytes.load(Ordering::Relaxed))
    }

    /// Returns the number of write operations, each of which causes at least one packet.
    pub fn writes(&self) -> u64 {
        self.counters.writes.load(Ordering::Relaxed)
    }
}

/// A stream whose traffic is counted by a [`TrafficMeter`].
#[derive(Debug)]
pub struct MeteredStream<S> {
    stream: S,
    meter: TrafficMeter,
}

impl<S> MeteredStream<S> {
    /// Wraps `stream`, whose traffic is added to the counts of `meter`.
    pub fn new(stream: S, meter: TrafficMeter) -> Self {
        Self { stream, meter }
    }
}

impl<S> AsyncRead for MeteredStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read_bytes = buffer.filled().len().saturating_sub(before) as u64;
        let counters = &self.meter.counters;
        counters.read_bytes.fetch_add(read_bytes, Ordering::Relaxed);
        polled
    }
}

impl<S> AsyncWrite for MeteredStream<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = &polled {
            let counters = &self.meter.counters;
            let written_bytes = *written as u64;
            counters
                .written_bytes
                .fetch_add(written_bytes, Ordering::Relaxed);
            counters.writes.fetch_add(1, Ordering::Relaxed);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
