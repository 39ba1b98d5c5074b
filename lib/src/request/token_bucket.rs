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
        let mut bucket = Self::empty(rate, burst, now);
        bucket.tokens = bucket.capacity();
        bucket
    }

    /// Creates an empty bucket.
    pub fn empty(rate: RequestRate, burst: Duration, now: Instant) -> Self {
        Self::with_tokens(0.0, rate, burst, now)
    }

    /// Creates a bucket with a number of tokens, which may be a fraction.
    pub fn with_tokens(tokens: f64, rate: RequestRate, burst: Duration, now: Instant) -> Self {
        Self {
            rate,
            burst,
            tokens,
            refilled_at: now,
        }
    }

    /// Returns the time until a token is available; zero if there is one.
    pub fn time_until_token(&self, now: Instant) -> Duration {
        let missing_tokens = 1.0 - self.tokens_at(now);
        if missing_tokens <= 0.0 {
            return Duration::ZERO;
        }
        if self.rate.0 <= 0.0 {
            return RETRY_AFTER_WITHOUT_RATE;
        }
        Duration::from_secs_f64(missing_tokens / self.rate.0)
    }

    /// Returns whether the bucket has as many tokens as it can hold.
    pub fn is_full(&self, now: Instant) -> bool {
        self.tokens_at(now) >= self.capacity()
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
        self.tokens = self.tokens_at(now);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let refilled = self.tokens + self.rate.0 * elapsed.as_secs_f64();
        refilled.min(self.capacity())
    }

    fn capacity(&self) -> f64 {
        let burst = self.rate.0 * self.burst.as_secs_f64();
        burst.max(CAPACITY_MIN_TOKENS)
    }
}
