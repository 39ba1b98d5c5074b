//! Reading the body of a request within a budget and at a minimum pace, and discarding the rest of a
//! body that is not wanted.

use std::time::Duration;

use bytes::Buf as _;
use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::BodyExt as _;
use hyper::body::Body;
use tokio::time::Instant;

use super::body_budget::BodyShare;
use super::body_budget::BudgetExhausted;

/// How long a body may bring no data, and how far it may be behind its pace: as long as callers may leave a
/// connection idle. A shorter time would end bodies of callers that keep to the configured limits.
const GRACE_TIME: Duration = Duration::from_secs(15);
/// How long the rest of a body is discarded. A client that sends the rest without reading would
/// otherwise lose the answer, since a connection with unread data is reset when it is closed.
const DISCARD_TIME: Duration = Duration::from_secs(2);
/// The first capacity of a body whose length is not announced.
const CAPACITY_MIN_BYTES: usize = 1024;

/// Why the body of a request can't be read. The request was not run.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum RequestBodyError {
    /// The body is longer than the limit.
    #[display("the body has more than {limit_bytes} bytes. Hint: send less")]
    TooLong {
        /// The limit.
        limit_bytes: usize,
    },
    /// The budget for bodies is used up.
    #[display("{_0}")]
    Exhausted(BudgetExhausted),
    /// The body stopped, or came too slowly.
    #[display("{received_bytes} bytes of the body came within {after:?}. Hint: send faster")]
    TooSlow {
        /// The bytes that have arrived.
        received_bytes: usize,
        /// The time since the start of the body.
        after: Duration,
    },
    /// The connection failed before the end of the body.
    #[display("the body broke off: {reason}")]
    Broken {
        /// The message of the connection error.
        reason: String,
    },
}

/// The limits on the body of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestBodyLimits {
    /// The maximum size of the body.
    pub limit_bytes: usize,
    /// The time in which the whole body must arrive.
    pub time: Duration,
}

impl RequestBodyLimits {
    /// Returns the time from the start of a body in which more of it must arrive.
    ///
    /// A body of an announced length may be up to 15 s behind the steady pace that brings it
    /// in the allowed time; without a length only a pause ends it early.
    pub fn time_for_more(
        self,
        received_bytes: usize,
        announced_bytes: Option<usize>,
        last_data_after: Duration,
    ) -> Duration {
        let until_pause = last_data_after + GRACE_TIME;
        let part = announced_bytes.map(|all| received_bytes as f64 / all.max(1) as f64);
        let until_behind = GRACE_TIME + self.time.mul_f64(part.unwrap_or(1.0).min(1.0));
        self.time.min(until_pause).min(until_behind)
    }
}

/// Returns the length of a body, if its request announces it.
pub fn announced_bytes<B>(body: &B) -> Option<usize>
where
    B: Body,
{
    let exact = body.size_hint().exact()?;
    Some(usize::try_from(exact).unwrap_or(usize::MAX))
}

/// Reads a whole body. What it needs is taken from the budget before it is held: at once if its length
/// is announced, else in steps as it arrives.
pub async fn read_request_body<B>(
    body: &mut B,
    mut share: BodyShare,
    limits: RequestBodyLimits,
) -> Result<Bytes, RequestBodyError>
where
    B: Body + Unpin,
    B::Error: std::error::Error,
{
    let RequestBodyLimits { limit_bytes, .. } = limits;
    let too_long = RequestBodyError::TooLong { limit_bytes };
    if body.size_hint().lower() > limit_bytes as u64 {
        return Err(too_long);
    }
    let announced = announced_bytes(body);
    // The memory of the capacity is only used as data arrives. The data is copied, since a frame of one
    // byte keeps the connection's whole read buffer.
    let mut collected = Vec::new();
    grow(&mut collected, announced.unwrap_or_default(), &mut share)?;
    let started_at = Instant::now();
    let mut last_data_after = Duration::ZERO;
    loop {
        let after = limits.time_for_more(collected.len(), announced, last_data_after);
        let frame = tokio::time::timeout_at(started_at + after, body.frame()).await;
        let Ok(frame) = frame else {
            let received_bytes = collected.len();
            return Err(RequestBodyError::TooSlow {
                received_bytes,
                after,
            });
        };
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|error| RequestBodyError::Broken {
            reason: error.to_string(),
        })?;
        let Ok(mut data) = frame.into_data() else {
            continue;
        };
        let needed = collected.len() + data.remaining();
        if needed > limit_bytes {
            return Err(too_long);
        }
        if needed > collected.capacity() {
            let doubled = needed.next_power_of_two().max(CAPACITY_MIN_BYTES);
            let capacity = doubled.min(limit_bytes);
            grow(&mut collected, capacity, &mut share)?;
        }
        while data.has_remaining() {
            let part = data.chunk();
            collected.extend_from_slice(part);
            data.advance(part.len());
        }
        last_data_after = started_at.elapsed();
    }
    Ok(share.keep_with(collected))
}

/// Grows the capacity of a body after taking as much from the budget.
fn grow(
    collected: &mut Vec<u8>,
    capacity: usize,
    share: &mut BodyShare,
) -> Result<(), RequestBodyError> {
    share
        .grow_to(capacity)
        .map_err(RequestBodyError::Exhausted)?;
    collected.reserve_exact(capacity - collected.len());
    Ok(())
}

/// Reads and drops the rest of a body, at most `limit_bytes` of it and for a short time. The server closes
/// the connection if more is left.
pub async fn discard_body<B>(mut body: B, limit_bytes: usize)
where
    B: Body + Unpin,
{
    let discard = async {
        let mut left = limit_bytes;
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, |data| data.remaining());
            let Some(rest) = left.checked_sub(length) else {
                return;
            };
            left = rest;
        }
    };
    // The time limit is the usual end for a client that stopped.
    let _ = tokio::time::timeout(DISCARD_TIME, discard).await;
}
