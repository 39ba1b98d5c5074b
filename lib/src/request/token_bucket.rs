//! A token bucket: a rate limit that allows short bursts.

use std::time::Duration;
use std::time::Instant;

use crate::units::RequestRate;

/// The least number of tokens that a full bucket holds, so that a small rate still lets one pass.
const CAPACITY_MIN_TOKENS: f64 = 1.0;
/// When to come back if the rate is zero.
const RETRY_AFTER_WITHOUT_RATE: Duration = Duration::from_secs(5);

/// A bucket that fills at a rate and holds what comes in during the burst time.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: RequestRate,
    burst: Duration,
    tokens: f64,
    filled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate: RequestRate, burst: Duration, now: Instant) -> Self {
        let mut bucket = Self {
            rate,
            burst,
            tokens: 0.0,
            filled_at: now,
        };
        bucket.tokens = bucket.capacity();
        bucket
    }

    /// Changes the rate; tokens beyond the new capacity are lost.
    pub fn set_rate(&mut self, rate: RequestRate, now: Instant) {
        self.fill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Returns the rate.
    pub fn rate(&self) -> RequestRate {
        self.rate
    }

    /// Takes a token, or returns when one will be there.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        self.take_leaving(0.0, now)
    }

    /// Takes a token and goes into debt by at most a full bucket, or returns when it may.
    pub fn take_on_credit(&mut self, now: Instant) -> Result<(), Duration> {
        self.take_leaving(-self.capacity(), now)
    }

    fn take_leaving(&mut self, least_tokens: f64, now: Instant) -> Result<(), Duration> {
        self.fill(now);
        let missing = least_tokens + 1.0 - self.tokens;
        if missing <= 0.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        if self.rate.0 <= 0.0 {
            return Err(RETRY_AFTER_WITHOUT_RATE);
        }
        Err(Duration::from_secs_f64(missing / self.rate.0))
    }

    fn fill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled_at);
        let filled = self.tokens + self.rate.0 * elapsed.as_secs_f64();
        self.tokens = filled.min(self.capacity());
        self.filled_at = self.filled_at.max(now);
    }

    fn capacity(&self) -> f64 {
        let burst = self.rate.0 * self.burst.as_secs_f64();
        burst.max(CAPACITY_MIN_TOKENS)
    }
}
