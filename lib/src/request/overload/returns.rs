//! When the callers of refused requests should return, and which of them are admitted first.
//!
//! Each entry gives away a bounded part of its own share of the rate at which the model's requests
//! end. The sum over all entries is then this part of the real rate, without a message between them.
//! A caller returns to any entry with a new request ID, so that a promise can't be looked up there. An
//! entry recognizes a returning request by the time that its caller has left.

use std::time::Duration;
use std::time::Instant;

use derive_more::Display;

use super::decay::DecayedCount;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;

/// The shortest retry delay for callers that are refused while the targets of a model are busy: a
/// group that lost a member serves again within one to two seconds.
pub const MODEL_RETRY_AFTER_MIN: Duration = Duration::from_millis(1_000);
/// The shortest retry delay for services without models, whose requests run for some 60 ms. Their
/// callers have deadlines below one second.
pub const PLAIN_RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
/// The part of the requests that end whose room is promised to retries. Their answers are late, since
/// the latency target counts from the first attempt, so new requests get the larger part.
const PROMISED_PART: f64 = 0.1;
/// The part of the requests that end which may be retries admitted ahead of new requests. Retries
/// arrive at random entries, so that an entry gets more than it promised at times. Beyond the limit of
/// new requests a queue grows only by these, at less than the rate at which it is served: they cost new
/// requests this part of the room, but never make all of them late.
const AHEAD_PART: f64 = 0.2;
/// The number of retries that may be admitted ahead at once; they arrive in groups at times.
const AHEAD_BURST: f64 = 3.0;
/// The part of the promised room that is for the most urgent priority that is being refused. The rest
/// is divided in the same way among the others.
const URGENT_PART: f64 = 0.8;
/// Callers wait for at most the time that they have left divided by this.
const CALLER_WAIT_DIVISOR: u32 = 3;
/// The share of their time that has passed at most when callers arrive after their longest wait. An
/// eighth is left for the first attempt and the way.
const BEFORE_TIME_END: f64 = 1.0 / 3.0 + 1.0 / 8.0;
/// The longest time between a caller's wait and its arrival at an entry for which a promised time is
/// kept, and the divisor of the time left that bounds it for short deadlines.
const ARRIVAL_DELAY_MAX: Duration = Duration::from_millis(100);
const ARRIVAL_DELAY_DIVISOR: u32 = 20;
/// The time in which the weight of an ended request in the rate falls to 1/e. An entry may end one
/// request of a model in a second.
const RATE_MEMORY: Duration = Duration::from_secs(10);
/// The rate that is assumed at least, so that an entry which knows no rate yet promises sensible times.
const RATE_MIN_PER_S: f64 = 1.0;
/// How long a priority takes part in the schedule after a refusal.
const REFUSAL_MEMORY: Duration = Duration::from_secs(10);
/// How long the longest time of callers counts as the usual one.
const TIMEOUT_MEMORY: Duration = Duration::from_secs(30);
/// The share of the shortest retry delay by which a returning request may seem to be early, since
/// times are rounded.
const ROUNDING_DIVISOR: u32 = 20;

/// Which attempt of its caller a request is, by the time that the caller has left.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum CallerAttempt {
    /// A first attempt, or a retry without a wait.
    #[display("first")]
    First,
    /// A retry that comes after a wait which may have been promised.
    #[display("on time")]
    OnTime,
    /// A retry after the longest wait of callers, which was told a later time.
    #[display("before its time")]
    BeforeTime,
}

/// A request that is refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// The request's priority.
    pub priority: u8,
    /// Which attempt of its caller it is.
    pub attempt: CallerAttempt,
    /// The time that remains until the request's deadline.
    pub time_left: Duration,
    /// The time before which the request would be refused again for certain.
    pub not_before: Duration,
}

/// When a caller should return.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Promise {
    /// The time until then.
    pub delay: Duration,
    /// Whether room is kept for the caller. None is kept for one that can't wait that long.
    pub is_kept: bool,
    /// Whether no request was refused shortly before.
    pub is_first: bool,
}

/// The promises to requests of one priority.
#[derive(Clone, Debug)]
struct PriorityReturns {
    priority: u8,
    /// The time from which room is not promised yet.
    next_at: Instant,
    refused_at: Instant,
}

impl Keyed for PriorityReturns {
    type Key = u8;

    fn key(&self) -> &u8 {
        &self.priority
    }
}

/// The longest time that callers of routes with the same timeout allowed recently.
#[derive(Clone, Debug)]
struct UsualTimeout {
    route_timeout: Duration,
    caller_timeout: Duration,
    seen_at: Instant,
}

impl Keyed for UsualTimeout {
    type Key = Duration;

    fn key(&self) -> &Duration {
        &self.route_timeout
    }
}

/// The times that one entry has promised for one model, or for one service without models.
#[derive(Clone, Debug)]
pub struct ReturnSchedule {
    delay_min: Duration,
    ended: DecayedCount,
    /// This entry's share of the rate at which the targets can serve requests.
    capacity_per_s: f64,
    priorities: SortedVec<PriorityReturns>,
    /// The retries that may be admitted ahead of new requests, as of `ahead_at`.
    ahead: f64,
    ahead_at: Instant,
    timeouts: SortedVec<UsualTimeout>,
}

impl ReturnSchedule {
    /// Creates a schedule without promises. `delay_min` is the shortest retry delay.
    pub fn new(delay_min: Duration, now: Instant) -> Self {
        Self {
            delay_min,
            ended: DecayedCount::new(RATE_MEMORY, now),
            capacity_per_s: 0.0,
            priorities: SortedVec::new(),
            ahead: AHEAD_BURST,
            ahead_at: now,
            timeouts: SortedVec::new(),
        }
    }

    /// Records that a request of this entry ended at a target.
    pub fn on_end(&mut self, now: Instant) {
        self.ended.add(now);
    }

    /// Sets this entry's share of the rate at which the targets can serve requests. While they have
    /// little to do, far fewer requests end.
    pub fn set_capacity(&mut self, per_s: f64) {
        self.capacity_per_s = per_s;
    }

    /// Returns which attempt a request is whose caller allowed `caller_timeout`.
    ///
    /// The time that has passed since the first attempt is the difference to the time that callers of
    /// such routes usually allow. The route's own timeout may be longer than that of any caller.
    pub fn attempt(&self, route_timeout: Duration, caller_timeout: Duration) -> CallerAttempt {
        let Some(usual) = self.timeouts.get(&route_timeout) else {
            return CallerAttempt::First;
        };
        let passed = usual.caller_timeout.saturating_sub(caller_timeout);
        if passed + self.delay_min / ROUNDING_DIVISOR < self.delay_min {
            CallerAttempt::First
        } else if passed < usual.caller_timeout / CALLER_WAIT_DIVISOR {
            CallerAttempt::OnTime
        } else if passed < usual.caller_timeout.mul_f64(BEFORE_TIME_END) {
            CallerAttempt::BeforeTime
        } else {
            // More likely a first attempt of a caller that allows less time than others.
            CallerAttempt::First
        }
    }

    /// Records the time that a caller allowed.
    pub fn on_request(&mut self, route_timeout: Duration, caller_timeout: Duration, now: Instant) {
        let is_recent =
            |usual: &UsualTimeout| now.saturating_duration_since(usual.seen_at) < TIMEOUT_MEMORY;
        self.timeouts.retain(is_recent);
        let known = self.timeouts.get(&route_timeout);
        if known.is_none_or(|known| known.caller_timeout <= caller_timeout) {
            self.timeouts.insert(UsualTimeout {
                route_timeout,
                caller_timeout,
                seen_at: now,
            });
        }
    }

    /// Returns whether requests were refused recently.
    pub fn has_refused(&self, now: Instant) -> bool {
        self.priorities.iter().any(|p| is_refused(p, now))
    }

    /// Returns whether a retry at its time may be admitted ahead of new requests.
    pub fn may_admit_ahead(&self, now: Instant) -> bool {
        self.ahead_left(now) >= 1.0
    }

    /// Records that a retry was admitted ahead of new requests.
    pub fn on_admitted_ahead(&mut self, now: Instant) {
        self.ahead = self.ahead_left(now) - 1.0;
        self.ahead_at = now;
    }

    /// Returns when the caller of a refused request should return. `draw` is a random number from 0
    /// to 1, so that entries which begin to refuse at the same time do not promise the same times.
    pub fn promise(&mut self, refusal: &Refusal, draw: f64, now: Instant) -> Promise {
        self.priorities.retain(|known| is_refused(known, now));
        let is_first = self.priorities.is_empty();
        let earliest_delay = self.delay_min.max(refusal.not_before);
        // A caller that comes after its longest wait can't be told from one that was told a later time,
        // so that promised times end before it.
        let wait_max = refusal.time_left / CALLER_WAIT_DIVISOR;
        let arrival_delay = ARRIVAL_DELAY_MAX.min(refusal.time_left / ARRIVAL_DELAY_DIVISOR);
        let reach = wait_max.saturating_sub(arrival_delay);
        self.priorities
            .get_or_insert_with(&refusal.priority, || PriorityReturns {
                priority: refusal.priority,
                next_at: now,
                refused_at: now,
            });
        let per_s = self.rate_per_s(now) * PROMISED_PART * self.part(refusal.priority);
        let interval = Duration::from_secs_f64(per_s.recip());
        let earliest = now + earliest_delay;
        let spread = interval.min(reach.saturating_sub(earliest_delay));
        let Some(known) = self.priorities.get_mut(&refusal.priority) else {
            return Promise {
                delay: earliest_delay,
                is_kept: false,
                is_first,
            };
        };
        known.refused_at = now;
        let at = if known.next_at < earliest {
            earliest + spread.mul_f64(draw)
        } else {
            known.next_at
        };
        let mut delay = at.saturating_duration_since(now);
        if refusal.attempt != CallerAttempt::First {
            // It has waited before, so it comes earlier than new ones that are refused now.
            delay = (delay + earliest_delay) / 2;
        }
        let is_kept = delay <= reach;
        if is_kept {
            known.next_at = at + interval;
        } else {
            delay = delay.max(wait_max + arrival_delay);
        }
        Promise {
            delay,
            is_kept,
            is_first,
        }
    }

    /// Returns the part of the promised room that is for a priority.
    fn part(&self, priority: u8) -> f64 {
        let count = self.priorities.len() as i32;
        let rank = self.priorities.iter().filter(|p| p.priority < priority);
        let rank = rank.count() as i32;
        let rest = (1.0 - URGENT_PART).powi(rank);
        if rank + 1 >= count {
            rest
        } else {
            rest * URGENT_PART
        }
    }

    fn rate_per_s(&self, now: Instant) -> f64 {
        let ended_per_s = self.ended.rate_per_s(now);
        ended_per_s.max(self.capacity_per_s).max(RATE_MIN_PER_S)
    }

    fn ahead_left(&self, now: Instant) -> f64 {
        let per_s = self.rate_per_s(now) * AHEAD_PART;
        let age_s = now.saturating_duration_since(self.ahead_at).as_secs_f64();
        // At a high rate, the retries of one second may come at once.
        (self.ahead + per_s * age_s).min(per_s.max(AHEAD_BURST))
    }
}

fn is_refused(known: &PriorityReturns, now: Instant) -> bool {
    now.saturating_duration_since(known.refused_at) < REFUSAL_MEMORY
}
