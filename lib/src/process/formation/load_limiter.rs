//! The rate at which loads from the weight store may start.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// The loads that were started within the span in which the weight store measures its rate.
#[derive(Clone, Debug)]
pub struct LoadRateLimiter {
    window: Duration,
    limit: usize,
    started: VecDeque<Instant>,
}

impl LoadRateLimiter {
    /// Creates the window of an entry that has just begun to form groups.
    ///
    /// The entry before it may have used the whole rate an instant ago, so the window starts full.
    pub fn new_exhausted(window: Duration, loads_per_s: f64, now: Instant) -> Self {
        let mut loads = Self::new(window, loads_per_s);
        loads.on_started(loads.limit, now);
        loads
    }

    /// Creates a window in which no load was started.
    pub fn new(window: Duration, loads_per_s: f64) -> Self {
        // Rounded down, so that the rate is never passed by a fraction.
        let limit = (loads_per_s * window.as_secs_f64()).floor().max(1.0) as usize;
        Self {
            window,
            limit,
            started: VecDeque::new(),
        }
    }

    /// Returns how many loads may start in one span.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns how many loads may start now.
    pub fn available(&mut self, now: Instant) -> usize {
        let window = self.window;
        let is_past = |at: &Instant| now.saturating_duration_since(*at) > window;
        while self.started.front().is_some_and(is_past) {
            self.started.pop_front();
        }
        self.limit.saturating_sub(self.started.len())
    }

    /// Takes note of loads that start now.
    pub fn on_started(&mut self, count: usize, now: Instant) {
        self.started.extend(std::iter::repeat_n(now, count));
    }
}
