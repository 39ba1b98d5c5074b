//! A count of recent events in which older ones weigh less.

use std::time::Duration;
use std::time::Instant;

/// The least time over which a rate is computed, so that the first event is no high rate.
const RATE_TIME_MIN_S: f64 = 2.0;

/// A count of events that decays exponentially.
#[derive(Clone, Copy, Debug)]
pub struct DecayedCount {
    /// The count at `at`.
    count: f64,
    at: Instant,
    started_at: Instant,
    /// The time in which the weight of an event falls to 1/e.
    memory: Duration,
}

impl DecayedCount {
    /// Creates a count without events.
    pub fn new(memory: Duration, now: Instant) -> Self {
        Self {
            count: 0.0,
            at: now,
            started_at: now,
            memory,
        }
    }

    /// Counts an event.
    pub fn add(&mut self, now: Instant) {
        self.count = self.count(now) + 1.0;
        self.at = now;
    }

    /// Returns the decayed number of events.
    pub fn count(&self, now: Instant) -> f64 {
        let age_s = now.saturating_duration_since(self.at).as_secs_f64();
        self.count * (-age_s / self.memory.as_secs_f64()).exp()
    }

    /// Returns the events per second, which is also right for a count that has just begun.
    pub fn rate_per_s(&self, now: Instant) -> f64 {
        let memory_s = self.memory.as_secs_f64();
        let age_s = now
            .saturating_duration_since(self.started_at)
            .as_secs_f64()
            .max(RATE_TIME_MIN_S);
        self.count(now) / (memory_s * (1.0 - (-age_s / memory_s).exp()))
    }
}
