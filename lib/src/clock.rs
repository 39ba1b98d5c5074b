//! The clock, passed in as a trait so that tests decide the time.

use std::time::Instant;
use std::time::SystemTime;

/// A source of the current time.
///
/// Decisions only ever compare monotonic times of one process. The wall clock is for logs and for
/// people; no decision depends on it, since the clocks of two hosts may disagree.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time.
    fn wall_time(&self) -> SystemTime;
}

/// The operating system's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }
}
