//! Bodies of HTTP messages.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::BodyExt as _;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use http_body_util::StreamBody;
use hyper::body::Body;
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

/// The number of frames that wait for a slow reader before the writer waits too.
const STREAM_BUFFER_FRAMES: usize = 32;

/// The body of a request that is sent whole.
pub type RequestBody = Full<Bytes>;

/// A body that is sent whole or in frames as they come.
pub type ResponseBody =
    Either<Full<Bytes>, StreamBody<ReceiverStream<Result<Frame<Bytes>, BodyAborted>>>>;

/// The body ended before its end, on purpose, so that the reader sees a broken answer.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the answer broke off")]
pub struct BodyAborted;

/// Why a body can't be read.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ReadBodyError {
    /// The body is longer than the bound.
    #[display("the body has more than {limit_bytes} bytes. Hint: send less")]
    TooLong {
        /// The bound.
        limit_bytes: usize,
    },
    /// The connection broke before the body's end.
    #[display("the body broke off: {reason}")]
    Broken {
        /// What the connection said.
        reason: String,
    },
    /// The body did not end in time.
    #[display("the body did not end within {limit:?}. Hint: send faster")]
    Timeout {
        /// The bound.
        limit: Duration,
    },
}

/// Returns a body that holds `bytes`.
pub fn full_body<B>(bytes: B) -> ResponseBody
where
    B: Into<Bytes>,
{
    Either::Left(Full::new(bytes.into()))
}

/// The writing end of a streamed body.
///
/// A body that is dropped without [`BodySender::finish`] breaks off visibly.
#[derive(Debug)]
pub struct BodySender {
    frames: mpsc::Sender<Result<Frame<Bytes>, BodyAborted>>,
    is_finished: bool,
}

/// The reader of a streamed body went away.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the reader of the answer went away")]
pub struct ReaderClosed;

impl BodySender {
    /// Sends a piece of the body and waits while the reader is slow.
    pub async fn send(&self, bytes: Bytes) -> Result<(), ReaderClosed> {
        let sent = self.frames.send(Ok(Frame::data(bytes))).await;
        sent.map_err(|_| ReaderClosed)
    }

    /// Waits until the reader went away.
    pub async fn closed(&self) {
        self.frames.closed().await;
    }

    /// Ends the body as a whole one.
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
            // A full buffer has a reader, which makes room or goes away.
            tokio::spawn(async move { frames.send(item).await.is_ok() });
        }
    }
}

/// Returns a body whose frames are sent through the returned sender.
pub fn streamed_body() -> (BodySender, ResponseBody) {
    let (frames, receiver) = mpsc::channel(STREAM_BUFFER_FRAMES);
    let sender = BodySender {
        frames,
        is_finished: false,
    };
    let stream = StreamBody::new(ReceiverStream::new(receiver));
    (sender, Either::Right(stream))
}

/// Reads a body to its end, within bounds on its length and time.
pub async fn read_body<B>(
    body: B,
    limit_bytes: usize,
    limit: Duration,
) -> Result<Bytes, ReadBodyError>
where
    B: Body,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    let collected = tokio::time::timeout(limit, Limited::new(body, limit_bytes).collect()).await;
    match collected {
        Err(_) => Err(ReadBodyError::Timeout { limit }),
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(ReadBodyError::TooLong { limit_bytes })
        }
        Ok(Err(error)) => {
            let reason = error.to_string();
            Err(ReadBodyError::Broken { reason })
        }
    }
}
