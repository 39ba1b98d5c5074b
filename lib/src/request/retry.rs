//! Whether a request is tried again or hedged.
//!
//! Further tries are paid from a budget that is a small share of recent successes, so that an
//! outage can't multiply the load. Only idempotent work is ever tried again, at most once, on
//! another target, and only if the caller's deadline leaves time for it.

use std::time::Duration;
use std::time::Instant;

use derive_more::Display;

use crate::units::Share;

/// The number of intervals that the budget's window is divided into.
const INTERVALS: usize = 10;
/// The most tries of one request, the first included.
const TRIES_MAX: u32 = 2;
/// The share of the budget that hedges may use, so that failures always find some of it left.
const HEDGE_SHARE: f64 = 0.5;

/// How the budget for further tries is kept.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// The share of the recent successes that may be spent.
    pub share: Share,
    /// How long a success counts as recent.
    pub window: Duration,
    /// Tries that each window allows without any success, for services with little traffic.
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

#[derive(Clone, Copy, Debug, Default)]
struct Interval {
    successes: u32,
    spent: u32,
}

/// The budget of one service at one entry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    intervals: [Interval; INTERVALS],
    current: usize,
    current_since: Instant,
}

impl RetryBudget {
    /// Creates a budget that has seen no success.
    pub fn new(settings: RetryBudgetSettings, now: Instant) -> Self {
        Self {
            settings,
            intervals: [Interval::default(); INTERVALS],
            current: 0,
            current_since: now,
        }
    }

    /// Changes the settings and keeps what was counted.
    pub fn set_settings(&mut self, settings: RetryBudgetSettings) {
        self.settings = settings;
    }

    /// Takes in that a first try succeeded.
    pub fn on_success(&mut self, now: Instant) {
        self.advance(now);
        let interval = &mut self.intervals[self.current];
        interval.successes = interval.successes.saturating_add(1);
    }

    /// Spends one further try if the budget allows it.
    pub fn spend(&mut self, now: Instant) -> bool {
        self.spend_share(1.0, now)
    }

    /// Spends one hedge if the smaller budget for hedges allows it.
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
        let interval = &mut self.intervals[self.current];
        interval.spent = interval.spent.saturating_add(1);
        true
    }

    /// Moves to the interval that `now` is in and empties those that were passed.
    fn advance(&mut self, now: Instant) {
        let length = self.settings.window / INTERVALS as u32;
        for _ in 0..INTERVALS {
            if now.saturating_duration_since(self.current_since) < length {
                return;
            }
            self.current_since += length;
            self.current = (self.current + 1) % INTERVALS;
            self.intervals[self.current] = Interval::default();
        }
        self.current_since = now;
    }
}

/// A request whose try failed or is slow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TryState {
    /// Whether the work may run twice without harm.
    pub is_idempotent: bool,
    /// The tries that were made, those in flight included.
    pub tries: u32,
    /// The bytes of the answer that the caller already has, in tokens.
    pub delivered_tokens: u64,
    /// When the caller needs the whole answer.
    pub deadline: Instant,
    /// The time that a whole answer takes as a rule.
    pub expected_time: Duration,
}

/// Why a request is not tried again.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum NoRetryReason {
    /// The work may not run twice.
    #[display("not idempotent")]
    NotIdempotent,
    /// The request had all its tries.
    #[display("no try left")]
    NoTryLeft,
    /// The caller already has a part of the answer.
    #[display("a part of the answer was passed on")]
    PartPassedOn,
    /// The deadline leaves no time.
    #[display("no time before the deadline")]
    NoTime,
    /// The budget is spent.
    #[display("retry budget spent")]
    BudgetSpent,
}

/// Decides whether a failed request is tried again on another target, and spends the budget.
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
    check(state, now)?;
    budget
        .spend(now)
        .then_some(())
        .ok_or(NoRetryReason::BudgetSpent)
}

/// Decides whether a request without a first token is also sent to a second target, and spends
/// the budget. The caller asks when the wait has passed what is usual for the service.
pub fn decide_hedge(
    state: &TryState,
    budget: &mut RetryBudget,
    now: Instant,
) -> Result<(), NoRetryReason> {
    check(state, now)?;
    let is_paid = budget.spend_on_hedge(now);
    is_paid.then_some(()).ok_or(NoRetryReason::BudgetSpent)
}

fn check(state: &TryState, now: Instant) -> Result<(), NoRetryReason> {
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
