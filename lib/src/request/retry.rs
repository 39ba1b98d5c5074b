//! Decides whether a request is retried or hedged.
//!
//! Retries and hedges draw on a budget that is a small share of recent successes, so that an outage
//! can't multiply the load. Only idempotent requests are retried, at most once, on another target,
//! and only if the caller's deadline leaves time for it.

use std::time::Duration;
use std::time::Instant;

use derive_more::Display;

use crate::units::Share;

/// Number of intervals in the sliding window of the budget.
const WINDOW_INTERVALS: usize = 10;
/// Limit on the tries of one request, including the first.
const TRIES_MAX: u32 = 2;
/// Share of the budget that hedges may use. The rest is reserved for retries of failed requests.
const HEDGE_SHARE: f64 = 0.5;

/// Settings of a retry budget.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries and hedges allowed, as a share of the successes in the window.
    pub share: Share,
    /// Length of the sliding window over which successes and retries are counted.
    pub window: Duration,
    /// Retries allowed per window without any success, for services with little traffic.
    pub free_retries: u32,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self {
            share: Share::from_percent(10),
            window: Duration::from_secs(10),
            free_retries: 2,
        }
    }
}

/// Counts of one interval of the sliding window.
#[derive(Clone, Copy, Debug, Default)]
struct Interval {
    successes: u32,
    spent: u32,
}

/// Retry budget of one service at one entry, counted over a sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    intervals: [Interval; WINDOW_INTERVALS],
    current_index: usize,
    current_started_at: Instant,
}

impl RetryBudget {
    /// Creates a budget without recorded successes.
    pub fn new(settings: RetryBudgetSettings, now: Instant) -> Self {
        Self {
            settings,
            intervals: [Interval::default(); WINDOW_INTERVALS],
            current_index: 0,
            current_started_at: now,
        }
    }

    /// Replaces the settings; the counts are kept.
    pub fn set_settings(&mut self, settings: RetryBudgetSettings) {
        self.settings = settings;
    }

    /// Records that a request succeeded on its first try.
    pub fn on_success(&mut self, now: Instant) {
        self.advance(now);
        let interval = &mut self.intervals[self.current_index];
        interval.successes = interval.successes.saturating_add(1);
    }

    /// Spends one retry if the budget allows it, and returns whether it did.
    pub fn spend(&mut self, now: Instant) -> bool {
        self.spend_share(1.0, now)
    }

    /// Spends one hedge if the hedge share of the budget allows it, and returns whether it did.
    pub fn spend_on_hedge(&mut self, now: Instant) -> bool {
        self.spend_share(HEDGE_SHARE, now)
    }

    fn spend_share(&mut self, share: f64, now: Instant) -> bool {
        self.advance(now);
        let successes: u32 = self.intervals.iter().map(|i| i.successes).sum();
        let spent: u32 = self.intervals.iter().map(|i| i.spent).sum();
        let earned = self.settings.share.as_fraction() * f64::from(successes);
        let allowed = earned + f64::from(self.settings.free_retries);
        if f64::from(spent) + 1.0 > allowed * share {
            return false;
        }
        let interval = &mut self.intervals[self.current_index];
        interval.spent = interval.spent.saturating_add(1);
        true
    }

    /// Advances to the interval that contains `now` and resets the intervals entered on the way.
    fn advance(&mut self, now: Instant) {
        let length = self.settings.window / WINDOW_INTERVALS as u32;
        for _ in 0..WINDOW_INTERVALS {
            if now.saturating_duration_since(self.current_started_at) < length {
                return;
            }
            self.current_started_at += length;
            self.current_index = (self.current_index + 1) % WINDOW_INTERVALS;
            self.intervals[self.current_index] = Interval::default();
        }
        self.current_started_at = now;
    }
}

/// State of a request whose last try failed or is slow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TryState {
    /// Whether the request is idempotent.
    pub is_idempotent: bool,
    /// Tries made so far, including those in flight.
    pub tries: u32,
    /// Tokens of the answer that were already passed on to the caller.
    pub delivered_tokens: u64,
    /// Deadline of the caller for the complete answer.
    pub deadline: Instant,
    /// Usual time until an answer is complete.
    pub expected_time: Duration,
}

/// Why a request is not retried or hedged.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum NoRetryReason {
    /// The request is not idempotent.
    #[display("not idempotent")]
    NotIdempotent,
    /// The request has used all its tries, or another try could not change the result.
    #[display("no try left")]
    NoTryLeft,
    /// A part of the answer was already passed on to the caller.
    #[display("a part of the answer was passed on")]
    PartPassedOn,
    /// The usual time of an answer exceeds the time left until the deadline.
    #[display("no time before the deadline")]
    NoTime,
    /// The retry budget of the service is spent.
    #[display("retry budget spent")]
    BudgetSpent,
}

/// Decides whether a failed request is retried on another target, and spends the budget if so.
///
/// ```
/// use std::time::Duration;
/// use std::time::Instant;
///
/// use beryltray_lib::request::retry::RetryBudget;
/// use beryltray_lib::request::retry::TryState;
/// use beryltray_lib::request::retry::decide_retry;
///
/// let now = Instant::now();
/// let mut budget = RetryBudget::new(Default::default(), now);
/// let failed = TryState {
///     is_idempotent: true,
///     tries: 1,
///     delivered_tokens: 0,
///     deadline: now + Duration::from_secs(30),
///     expected_time: Duration::from_secs(4),
/// };
/// assert_eq!(decide_retry(&failed, &mut budget, now), Ok(()));
/// ```
pub fn decide_retry(
    state: &TryState,
    budget: &mut RetryBudget,
    now: Instant,
) -> Result<(), NoRetryReason> {
    check_retryable(state, now)?;
    budget
        .spend(now)
        .then_some(())
        .ok_or(NoRetryReason::BudgetSpent)
}

/// Decides whether a request without a first token is also sent to a second target, and spends the
/// budget if so. To be called once the wait exceeds the usual time to first token of the service.
pub fn decide_hedge(
    state: &TryState,
    budget: &mut RetryBudget,
    now: Instant,
) -> Result<(), NoRetryReason> {
    check_retryable(state, now)?;
    let is_within_budget = budget.spend_on_hedge(now);
    is_within_budget
        .then_some(())
        .ok_or(NoRetryReason::BudgetSpent)
}

fn check_retryable(state: &TryState, now: Instant) -> Result<(), NoRetryReason> {
    if !state.is_idempotent {
        return Err(NoRetryReason::NotIdempotent);
    }
    if state.tries >= TRIES_MAX {
        return Err(NoRetryReason::NoTryLeft);
    }
    if state.delivered_tokens > 0 {
        return Err(NoRetryReason::PartPassedOn);
    }
    if now + state.expected_time > state.deadline {
        return Err(NoRetryReason::NoTime);
    }
    Ok(())
}
