//! The events of a stream, taken from bytes that come in pieces of any size.

use bytes::Buf as _;
use bytes::Bytes;
use bytes::BytesMut;

/// The longest event; a stream with a longer one is not a stream of events.
const EVENT_LIMIT_BYTES: usize = 1024 * 1024;

/// Splits a stream into whole events.
///
/// Only whole events are passed on, so that a stream that breaks off in the middle of one can go
/// on with the next at another target.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
    /// The bytes of `rest` that hold no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Creates a splitter at the beginning of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the next bytes of the stream.
    pub fn push<B>(&mut self, bytes: B)
    where
        B: AsRef<[u8]>,
    {
        self.rest.extend_from_slice(bytes.as_ref());
    }

    /// Returns the next whole event with its closing blank line.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let end = self.find_end()?;
        self.searched = 0;
        Some(self.rest.split_to(end).freeze())
    }

    /// Returns whether bytes are left that are no whole event.
    pub fn has_partial_event(&self) -> bool {
        self.rest.has_remaining()
    }

    /// Returns whether the bytes that are left are too many for an event.
    pub fn is_oversized(&self) -> bool {
        self.rest.len() > EVENT_LIMIT_BYTES
    }

    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.rest[..];
        // The end may straddle what was searched before.
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

/// What became of an event at the place where a stream may be joined from two runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventPosition {
    /// The event is the next one for the caller.
    Next,
    /// The caller already has the event.
    Duplicate,
    /// At least one event before it is missing.
    AfterGap,
}

/// The place of a stream up to which its caller has it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StreamPosition {
    last_event: Option<u64>,
    step: Option<u64>,
    passed: u64,
}

impl StreamPosition {
    /// Creates the place of a caller that has the stream up to `last_event`.
    pub fn new(last_event: Option<u64>) -> Self {
        Self {
            last_event,
            ..Self::default()
        }
    }

    /// Returns the last event that the caller has.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Returns how many events were passed on.
    pub fn delivered(&self) -> u64 {
        self.passed
    }

    /// Says where an event with `id` belongs, without taking it.
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

    /// Takes note that an event was passed on.
    pub fn on_delivered(&mut self, id: Option<u64>) {
        self.passed += 1;
        if let (Some(id), Some(last)) = (id, self.last_event) {
            let step = id.saturating_sub(last);
            self.step = Some(self.step.map_or(step, |known| known.max(step)));
        }
        self.last_event = id.or(self.last_event);
    }
}
