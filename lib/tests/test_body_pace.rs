//! Tests of the time that a body may take.

use std::time::Duration;

use beryltray_lib::connection::body::BodyPace;
use beryltray_lib::connection::body::BodySender;
use beryltray_lib::connection::body::ReadBodyError;
use beryltray_lib::connection::body::read_body_at_pace;
use beryltray_lib::connection::body::streamed_body;
use bytes::Bytes;
use http_body_util::Either;
use tokio::time::Instant;

const PACE: BodyPace = BodyPace {
    timeout: Duration::from_millis(200),
    bytes_per_s_min: 100_000,
    pause_max: Duration::from_millis(300),
};
const LIMIT_BYTES: usize = 1 << 20;
const PIECE_BYTES: usize = 10_000;

/// Reads a body whose sender sends pieces at an interval, and then either ends it or falls silent for good.
async fn read(count: usize, every: Duration, ends: bool) -> Result<Bytes, ReadBodyError> {
    let (sender, body) = streamed_body();
    let Either::Right(body) = body else {
        unreachable!("the body is streamed");
    };
    tokio::spawn(send_pieces(sender, count, every, ends));
    read_body_at_pace(body, LIMIT_BYTES, PACE, Instant::now()).await
}

/// Sends pieces at an interval, and then either ends the body or falls silent for good.
async fn send_pieces(sender: BodySender, count: usize, every: Duration, ends: bool) {
    for _ in 0..count {
        sender.send(vec![b'x'; PIECE_BYTES].into()).await.unwrap();
        tokio::time::sleep(every).await;
    }
    if ends {
        sender.finish();
    } else {
        sender.closed().await;
    }
}

/// Guards against large answers that are broken off on slow links, however often they are read.
#[tokio::test]
async fn read_body_at_pace_that_arrives_steadily_is_read_beyond_its_timeout() {
    let body = read(10, Duration::from_millis(50), true).await;
    assert_eq!(body.unwrap().len(), 10 * PIECE_BYTES);
}

/// Guards against a reader that waits for a silent connection as long as for the bytes that it got.
#[tokio::test]
async fn read_body_at_pace_that_falls_silent_is_given_up_after_pause() {
    // The bytes that arrive at once would earn 6 s.
    let body = read(60, Duration::ZERO, false).await;
    let Err(ReadBodyError::Timeout { timeout }) = body else {
        panic!("{body:?}");
    };
    assert!(timeout < Duration::from_secs(3), "{timeout:?}");
}

/// Guards against an answer that trickles for as long as its sender wants.
#[tokio::test]
async fn read_body_at_pace_that_trickles_is_given_up() {
    let body = read(60, Duration::from_millis(250), false).await;
    assert!(matches!(body, Err(ReadBodyError::Timeout { .. })));
}

#[test]
fn time_for_more_of_body_without_pause_is_bounded_by_rate() {
    let last = Duration::from_secs(50);
    let earned = PACE.time_for_more(500_000, last);
    assert_eq!(earned, PACE.timeout + Duration::from_secs(5));
}
