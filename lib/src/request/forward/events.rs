//! Splits a byte stream into events and tracks which events were delivered.

use bytes::Buf as _;
use bytes::Bytes;
use bytes::BytesMut;

use crate::ids::EventId;

/// The maximum size of an event. A stream that exceeds it is treated as broken.
const EVENT_LIMIT_BYTES: usize = 1024 * 1024;
/// The field names of server-sent events; a line that begins with a colon is a comment.
const EVENT_FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// Splits a stream of chunks of any size into complete events.
///
/// Only complete events are forwarded, so that a stream that breaks within an event can be resumed
/// at another target.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// The length of the prefix of `buffer` that contains no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Creates a splitter with an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends the next bytes of the stream.
    pub fn push<B>(&mut self, bytes: B)
    where
        B: AsRef<[u8]>,
    {
        self.buffer.extend_from_slice(bytes.as_ref());
    }

    /// Removes and returns the next complete event, including the blank line that ends it.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let end = self.find_end()?;
        self.searched = 0;
        Some(self.buffer.split_to(end).freeze())
    }

    /// Returns the number of bytes in the buffer.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether the buffer holds data. Once [`EventSplitter::next_event`] has returned
    /// `None`, the data is an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        self.buffer.has_remaining()
    }

    /// Returns whether the buffer exceeds the maximum size of an event.
    pub fn is_oversized(&self) -> bool {
        self.buffer.len() > EVENT_LIMIT_BYTES
    }

    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        // The blank line may begin in the part that was searched before.
        let start = self.searched.saturating_sub(3);
        for index in start..bytes.len() {
            if bytes[index] != b'\n' {
                continue;
            }
            let after = &bytes[index + 1..];
            if after.starts_with(b"\n") {
                return Some(index + 2);
            }
            if after.starts_with(b"\r\n") {
                return Some(index + 3);
            }
        }
        self.searched = bytes.len();
        None
    }
}

/// What the text up to a blank line of a stream is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BlockKind {
    /// It has a line of an event.
    Event,
    /// It has comments, and other lines that clients ignore.
    Comment,
    /// It has no text at all.
    Empty,
    /// It has text, but no line belongs to the format of server-sent events.
    Garbage,
}

impl BlockKind {
    /// Returns the kind of a complete block.
    pub fn of<B>(block: B) -> Self
    where
        B: AsRef<[u8]>,
    {
        let mut kind = Self::Empty;
        for line in block.as_ref().split(|byte| matches!(byte, b'\n' | b'\r')) {
            let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
            if EVENT_FIELDS.contains(&name) {
                return Self::Event;
            }
            if line.starts_with(b":") {
                kind = Self::Comment;
            } else if !line.is_empty() && kind == Self::Empty {
                kind = Self::Garbage;
            }
        }
        kind
    }
}

/// Limits what a target may send in a stream without a new event.
///
/// The IDs of a target's events increase. If the target resumes a stream, it may repeat each event
/// once.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProgressTracker {
    highest_id: Option<EventId>,
    idle_bytes: usize,
}

impl ProgressTracker {
    /// Records an event that the target has not sent before.
    pub fn on_new_event(&mut self, id: Option<EventId>) {
        self.highest_id = id.or(self.highest_id);
        self.idle_bytes = 0;
    }

    /// Records a block that is no new event. Returns whether there are too many bytes of them.
    pub fn on_idle_block(&mut self, block_bytes: usize) -> bool {
        self.idle_bytes += block_bytes;
        self.idle_bytes > EVENT_LIMIT_BYTES
    }

    /// Returns whether an event with an ID is one that the target has not sent before.
    pub fn is_new(&self, id: EventId) -> bool {
        self.highest_id.is_none_or(|highest| id > highest)
    }
}

/// The position of an event relative to those that the caller has received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventPosition {
    /// The event follows those that the caller has.
    Next,
    /// The caller already has the event.
    Known,
    /// The answer has not reached the last event that the caller has, and the event has no ID.
    Unnumbered,
    /// The answer repeats events that the caller has, but none ends where the caller's last one does. The
    /// event holds a part of what the caller has.
    Overlapping,
}

/// The position up to which the caller has received a stream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StreamPosition {
    last_event: Option<EventId>,
    delivered: u64,
    has_disorder: bool,
}

impl StreamPosition {
    /// Creates the position of a caller that has the stream up to `last_event`.
    pub fn new(last_event: Option<EventId>) -> Self {
        Self {
            last_event,
            ..Self::default()
        }
    }

    /// Returns the ID of the last event that the caller has.
    pub fn last_event(&self) -> Option<EventId> {
        self.last_event
    }

    /// Returns the number of events delivered to the caller.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Returns whether another target can go on where the caller is. That needs the ID of an event that
    /// the caller has, unless it has none, and IDs that have increased so far.
    pub fn can_be_resumed(&self) -> bool {
        self.delivered == 0 || (self.last_event.is_some() && !self.has_disorder)
    }

    /// Records that an event was delivered to the caller.
    pub fn on_delivered(&mut self, id: Option<EventId>) {
        self.delivered += 1;
        let Some(id) = id else {
            return;
        };
        if self.last_event.is_some_and(|last| id <= last) {
            self.has_disorder = true;
        } else {
            self.last_event = Some(id);
        }
    }
}

/// Finds the event of one answer that follows those which the caller has.
///
/// A target that is to go on after the caller's last event may repeat events first. From the first event
/// that follows on, nothing is concluded from IDs: they increase by steps of any size, and the framing of the
/// answer shows whether it is whole.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ResumePoint {
    /// The last event of the answer that the caller already had.
    last_known: Option<EventId>,
    is_passed: bool,
}

impl ResumePoint {
    /// Returns where the answer's next event belongs.
    pub fn classify(&mut self, id: Option<EventId>, position: &StreamPosition) -> EventPosition {
        let last = position.last_event().filter(|_| !self.is_passed);
        match (id, last) {
            (_, None) => {
                self.is_passed = true;
                EventPosition::Next
            }
            (None, Some(_)) => EventPosition::Unnumbered,
            (Some(id), Some(last)) if id <= last => {
                self.last_known = Some(id);
                EventPosition::Known
            }
            (Some(_), Some(last)) if self.last_known.is_some_and(|known| known != last) => {
                EventPosition::Overlapping
            }
            (Some(_), Some(_)) => {
                self.is_passed = true;
                EventPosition::Next
            }
        }
    }
}
