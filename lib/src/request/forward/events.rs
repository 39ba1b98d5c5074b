//! Splits a byte stream into events and tracks which events were delivered.

use bytes::Buf as _;
use bytes::Bytes;
use bytes::BytesMut;

/// The maximum size of an event. A stream that exceeds it is treated as broken.
const EVENT_LIMIT_BYTES: usize = 1024 * 1024;

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

/// The position of an event relative to those that the caller has received. After a retry, the new
/// target may repeat events or skip some.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventPosition {
    /// The event follows the last one that the caller has.
    Next,
    /// The caller already has the event.
    Duplicate,
    /// At least one event between the last one and this one is missing.
    AfterGap,
}

/// The position up to which the caller has received a stream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StreamPosition {
    last_event: Option<u64>,
    /// The largest difference between the IDs of consecutive events so far. An event that is
    /// farther ahead follows a gap.
    step: Option<u64>,
    delivered: u64,
}

impl StreamPosition {
    /// Creates the position of a caller that has the stream up to `last_event`.
    pub fn new(last_event: Option<u64>) -> Self {
        Self {
            last_event,
            ..Self::default()
        }
    }

    /// Returns the ID of the last event that the caller has.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Returns the number of events delivered to the caller.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Returns where an event with `id` belongs, without recording it.
    pub fn classify(&self, id: Option<u64>) -> EventPosition {
        match (id, self.last_event) {
            (Some(id), Some(last)) if id <= last => EventPosition::Duplicate,
            (Some(id), Some(last)) => match self.step {
                Some(step) if id > last + step => EventPosition::AfterGap,
                _ => EventPosition::Next,
            },
            _ => EventPosition::Next,
        }
    }

    /// Records that an event was delivered to the caller.
    pub fn on_delivered(&mut self, id: Option<u64>) {
        self.delivered += 1;
        if let (Some(id), Some(last)) = (id, self.last_event) {
            let step = id.saturating_sub(last);
            self.step = Some(self.step.map_or(step, |known| known.max(step)));
        }
        self.last_event = id.or(self.last_event);
    }
}
