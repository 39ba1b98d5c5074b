//! HTTP message bodies: buffered and streamed bodies, and reading a body within limits.

use std::sync::Arc;
use std::time::Duration;

use bytes::Buf as _;
use bytes::BufMut as _;
use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;
use http_body_util::BodyExt as _;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Body;
use hyper::body::Frame;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use super::body_memory::BodyMemory;
use super::body_memory::BodyReservation;

/// The capacity of the channel between the writer and the reader of a streamed body, in frames.
/// When the channel is full, [`BodySender::send`] waits.
const STREAM_BUFFER_FRAMES: usize = 32;
/// The capacity of the same channel in bytes. A larger frame is sent when the channel is empty.
const STREAM_BUFFER_BYTES: u32 = 64 * 1024;

/// A buffered request body.
pub type RequestBody = Full<Bytes>;

/// A response body that is either buffered or streamed frame by frame.
pub type ResponseBody =
    Either<Full<Bytes>, StreamBody<ReceiverStream<Result<Frame<Bytes>, BodyAborted>>>>;

/// The error that ends a streamed body whose sender was dropped before [`BodySender::finish`].
///
/// It makes the server abort the response, so that the client can detect that it is incomplete.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the answer broke off")]
pub struct BodyAborted;

/// Why a body can't be read.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ReadBodyError {
    /// The body is longer than the limit.
    #[display("the body has more than {limit_bytes} bytes. Hint: send less")]
    TooLong {
        /// The limit that the caller of [`read_body`] gave.
        limit_bytes: usize,
    },
    /// The connection failed before the end of the body.
    #[display("the body broke off: {reason}")]
    Broken {
        /// The message of the connection error.
        reason: String,
    },
    /// The body was not complete within the timeout.
    #[display("the body did not end within {timeout:?}. Hint: send faster")]
    Timeout {
        /// The timeout that the caller of [`read_body`] gave.
        timeout: Duration,
    },
}

/// The time that a body may take: the longer, the more of it has arrived.
///
/// A single timeout for bodies of any size would break off large ones on slow links, however often
/// they are read again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyPace {
    /// The time in which a body without data may end.
    pub timeout: Duration,
    /// The rate at which data must arrive after that, on average.
    pub bytes_per_s_min: u32,
    /// The longest pause in data after that.
    pub pause_max: Duration,
}

impl BodyPace {
    /// Returns the time from the start of a body in which more data must arrive, if `received_bytes`
    /// have, the last of them at `last_data_after`.
    pub fn time_for_more(self, received_bytes: usize, last_data_after: Duration) -> Duration {
        let received_bytes = u32::try_from(received_bytes).unwrap_or(u32::MAX);
        let earned = Duration::from_secs(1) * received_bytes / self.bytes_per_s_min.max(1);
        let until_pause = last_data_after + self.pause_max;
        (self.timeout + earned).min(until_pause).max(self.timeout)
    }
}

/// Returns a buffered body.
pub fn full_body<B>(bytes: B) -> ResponseBody
where
    B: Into<Bytes>,
{
    Either::Left(Full::new(bytes.into()))
}

/// The sender of a streamed body.
///
/// If it is dropped without [`BodySender::finish`], the body ends with [`BodyAborted`].
#[derive(Debug)]
pub struct BodySender {
    frames: mpsc::Sender<Result<Frame<Bytes>, BodyAborted>>,
    free_bytes: Arc<Semaphore>,
    is_finished: bool,
}

/// The data of a frame, which takes room in the channel until it is dropped.
struct QueuedData {
    data: Bytes,
    _room: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for QueuedData {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// The receiver of a streamed body was dropped, usually because the client disconnected.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the reader of the answer disconnected")]
pub struct ReaderClosed;

impl BodySender {
    /// Sends a data frame; waits while the channel to the reader is full.
    pub async fn send(&self, bytes: Bytes) -> Result<(), ReaderClosed> {
        let permits = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
        let room = Arc::clone(&self.free_bytes)
            .acquire_many_owned(permits.min(STREAM_BUFFER_BYTES))
            .await;
        let data = Bytes::from_owner(QueuedData {
            data: bytes,
            _room: room.map_err(|_| ReaderClosed)?,
        });
        let sent = self.frames.send(Ok(Frame::data(data))).await;
        sent.map_err(|_| ReaderClosed)
    }

    /// Waits until the receiver of the body is dropped.
    pub async fn closed(&self) {
        self.frames.closed().await;
    }

    /// Marks the body as complete, so that dropping the sender ends it without an error.
    pub fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Drop for BodySender {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        let frames = self.frames.clone();
        if let Err(mpsc::error::TrySendError::Full(item)) = frames.try_send(Err(BodyAborted)) {
            // The channel is full, so the error is sent from a task once the reader makes room. The
            // task ends if the reader is dropped.
            tokio::spawn(async move { frames.send(item).await.is_ok() });
        }
    }
}

/// Returns a streamed body and the sender of its frames.
pub fn streamed_body() -> (BodySender, ResponseBody) {
    let (frames, receiver) = mpsc::channel(STREAM_BUFFER_FRAMES);
    let sender = BodySender {
        frames,
        free_bytes: Arc::new(Semaphore::new(STREAM_BUFFER_BYTES as usize)),
        is_finished: false,
    };
    let stream = StreamBody::new(ReceiverStream::new(receiver));
    (sender, Either::Right(stream))
}

/// Reads a whole body of at most `limit_bytes` within `timeout`.
///
/// A body that declares a greater length is not read at all.
pub async fn read_body<B>(
    body: B,
    limit_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, ReadBodyError>
where
    B: Body,
    B::Error: std::error::Error,
{
    let read = tokio::time::timeout(timeout, collect_body(body, limit_bytes, None, None)).await;
    read.unwrap_or(Err(ReadBodyError::Timeout { timeout }))
}

/// Reads a whole body like [`read_body`], within a time that grows with its size. The time counts
/// from `started_at`.
pub async fn read_body_at_pace<B>(
    body: B,
    limit_bytes: usize,
    pace: BodyPace,
    started_at: tokio::time::Instant,
) -> Result<Bytes, ReadBodyError>
where
    B: Body,
    B::Error: std::error::Error,
{
    collect_body(body, limit_bytes, None, Some((pace, started_at))).await
}

/// Reads a whole body like [`read_body`], within the process's limit on the memory of bodies. The
/// wait for memory counts toward the timeout.
pub async fn read_body_within<B>(
    body: B,
    limit_bytes: usize,
    timeout: Duration,
    memory: &BodyMemory,
) -> Result<Bytes, ReadBodyError>
where
    B: Body,
    B::Error: std::error::Error,
{
    let reservation = Some(memory.reservation());
    let read =
        tokio::time::timeout(timeout, collect_body(body, limit_bytes, reservation, None)).await;
    read.unwrap_or(Err(ReadBodyError::Timeout { timeout }))
}

async fn collect_body<B>(
    body: B,
    limit_bytes: usize,
    mut reservation: Option<BodyReservation>,
    pace: Option<(BodyPace, tokio::time::Instant)>,
) -> Result<Bytes, ReadBodyError>
where
    B: Body,
    B::Error: std::error::Error,
{
    let too_long = ReadBodyError::TooLong { limit_bytes };
    if body.size_hint().lower() > limit_bytes as u64 {
        return Err(too_long);
    }
    let mut body = std::pin::pin!(body);
    // The data is copied, since a frame of one byte keeps the connection's whole read buffer.
    let mut collected = BytesMut::new();
    loop {
        let frame = match pace {
            Some((pace, started_at)) => {
                let timeout = pace.time_for_more(collected.len(), started_at.elapsed());
                let frame = tokio::time::timeout_at(started_at + timeout, body.frame()).await;
                frame.map_err(|_| ReadBodyError::Timeout { timeout })?
            }
            None => body.frame().await,
        };
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|error| ReadBodyError::Broken {
            reason: error.to_string(),
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if data.remaining() > limit_bytes - collected.len() {
            return Err(too_long);
        }
        if let Some(reservation) = &mut reservation {
            reservation
                .grow_to(collected.len() + data.remaining())
                .await;
        }
        collected.put(data);
    }
    let collected = collected.freeze();
    Ok(match reservation {
        Some(reservation) => reservation.keep_with(collected),
        None => collected,
    })
}
