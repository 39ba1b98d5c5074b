//! A token bucket: a rate limiter that allows short bursts.

use std::time::Duration;
use std::time::Instant;

use crate::units::RequestRate;

/// Minimum capacity, so that a low rate still admits a request.
const CAPACITY_MIN_TOKENS: f64 = 1.0;
/// Retry delay while the rate is 0.
const RETRY_AFTER_WITHOUT_RATE: Duration = Duration::from_secs(5);

/// A rate limiter whose capacity is the number of tokens added during the burst time.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: RequestRate,
    burst: Duration,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate: RequestRate, burst: Duration, now: Instant) -> Self {
        let mut bucket = Self {
            rate,
            burst,
            tokens: 0.0,
            refilled_at: now,
        };
        bucket.tokens = bucket.capacity();
        bucket
    }

    /// Changes the rate; tokens beyond the new capacity are discarded.
    pub fn set_rate(&mut self, rate: RequestRate, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Returns the refill rate, in tokens per second.
    pub fn rate(&self) -> RequestRate {
        self.rate
    }

    /// Takes a token, or returns the time until one is available.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        self.take_above(0.0, now)
    }

    /// Takes a token, which may leave a negative balance of up to the capacity, or returns the time
    /// until that is allowed.
    pub fn take_on_credit(&mut self, now: Instant) -> Result<(), Duration> {
        self.take_above(-self.capacity(), now)
    }

    fn take_above(&mut self, min_balance_tokens: f64, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        let missing_tokens = min_balance_tokens + 1.0 - self.tokens;
        if missing_tokens <= 0.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        if self.rate.0 <= 0.0 {
            return Err(RETRY_AFTER_WITHOUT_RATE);
        }
        Err(Duration::from_secs_f64(missing_tokens / self.rate.0))
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let refilled = self.tokens + self.rate.0 * elapsed.as_secs_f64();
        self.tokens = refilled.min(self.capacity());
        self.refilled_at = self.refilled_at.max(now);
    }

    fn capacity(&self) -> f64 {
        let burst = self.rate.0 * self.burst.as_secs_f64();
        burst.max(CAPACITY_MIN_TOKENS)
    }
}
