//! The state of the exchange with one peer, and the send times of recent frames.

use std::time::Duration;
use std::time::Instant;

use super::wire::Echo;
use super::wire::FrameSequence;
use super::wire::Position;
use super::wire::StateVersion;
use super::wire::StreamTag;
use crate::ids::EntryId;
use crate::sorted::Keyed;

/// The number of latest frames whose send times are kept.
const SENT_FRAMES: usize = 2048;

/// The state of the exchange with one incarnation of a peer.
#[derive(Clone, Debug)]
pub(super) struct Link {
    pub(super) entry: EntryId,
    pub(super) stream: StreamTag,
    /// The version of this entry's state that the peer acknowledged.
    pub(super) acked: StateVersion,
    /// The latest frame received from the peer, and the time of its arrival.
    pub(super) received: Option<(FrameSequence, Instant)>,
    pub(super) called_at: Option<Instant>,
    /// The number of frames composed for the peer.
    pub(super) composed_frames: u64,
    /// The latest version vector of the peer, until a frame to the peer answers it.
    pub(super) vector: Option<Vec<Position>>,
    /// Whether the latest call failed and no frame has arrived since.
    pub(super) has_failed: bool,
    /// Whether a second call was already made in this round.
    pub(super) has_followed_up: bool,
}

impl Link {
    pub(super) fn new(entry: EntryId, stream: StreamTag) -> Self {
        Self {
            entry,
            stream,
            acked: StateVersion::default(),
            received: None,
            called_at: None,
            composed_frames: 0,
            vector: None,
            has_failed: false,
            has_followed_up: false,
        }
    }

    /// Returns the echo of the latest frame from the peer.
    pub(super) fn echo(&self, now: Instant) -> Option<Echo> {
        let (sequence, received_at) = self.received?;
        let held = now.saturating_duration_since(received_at);
        // Rounded down: a longer time would understate the age of the answer.
        let held_ms = u32::try_from(held.as_millis()).unwrap_or(u32::MAX);
        Some(Echo { sequence, held_ms })
    }

    /// Returns the time since the latest frame from the peer; `None` if there was none.
    pub(super) fn time_since_received(&self, now: Instant) -> Option<Duration> {
        let (_, received_at) = self.received?;
        Some(now.saturating_duration_since(received_at))
    }
}

impl Keyed for Link {
    type Key = EntryId;

    fn key(&self) -> &EntryId {
        &self.entry
    }
}

/// The times at which recent frames were composed, which bound the age of the answers to them.
#[derive(Clone, Debug, Default)]
pub(super) struct SentFrames {
    next: FrameSequence,
    composed_at: std::collections::VecDeque<(FrameSequence, Instant)>,
}

impl SentFrames {
    pub(super) fn push(&mut self, now: Instant) -> FrameSequence {
        let sequence = self.next;
        self.next = FrameSequence(sequence.0.wrapping_add(1));
        if self.composed_at.len() == SENT_FRAMES {
            self.composed_at.pop_front();
        }
        self.composed_at.push_back((sequence, now));
        sequence
    }

    /// Returns the earliest time at which a frame with this echo may have been composed.
    ///
    /// Returns `None` if the echoed frame is unknown or too old.
    pub(super) fn composed_at(&self, echo: Echo) -> Option<Instant> {
        let index = self
            .composed_at
            .binary_search_by_key(&echo.sequence, |(sequence, _)| *sequence)
            .ok()?;
        let (_, sent_at) = self.composed_at[index];
        Some(sent_at + Duration::from_millis(u64::from(echo.held_ms)))
    }
}
