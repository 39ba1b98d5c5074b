//! Limits the rate at which loads from the weight store start.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// A sliding-window rate limiter for loads from the weight store.
///
/// The window is the one in which the weight store measures its rate.
#[derive(Clone, Debug)]
pub struct LoadRateLimiter {
    window: Duration,
    limit: usize,
    started: VecDeque<Instant>,
}

impl LoadRateLimiter {
    /// Creates the limiter of an entry that has just taken over group formation.
    ///
    /// The previous lease holder may have used up the whole rate just before, so the window starts
    /// full.
    pub fn new_exhausted(window: Duration, loads_per_s: f64, now: Instant) -> Self {
        let mut limiter = Self::new(window, loads_per_s);
        limiter.on_started(limiter.limit, now);
        limiter
    }

    /// Creates a limiter with no loads in its window.
    pub fn new(window: Duration, loads_per_s: f64) -> Self {
        // Rounded down, so that the rate is never exceeded, not even by a fraction.
        let limit = (loads_per_s * window.as_secs_f64()).floor().max(1.0) as usize;
        Self {
            window,
            limit,
            started: VecDeque::new(),
        }
    }

    /// Returns how many loads may start in one window; at least 1.
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

    /// Counts loads that start now.
    pub fn on_started(&mut self, count: usize, now: Instant) {
        self.started.extend(std::iter::repeat_n(now, count));
    }
}
