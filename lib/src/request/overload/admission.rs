//! How long a request may wait in a target's queue, by its priority and its account.
//!
//! Without an order, the limit follows from the request's own latency target, so that the kind with
//! the tightest target is refused first. With priorities, the limit of a less urgent request is below
//! those of the more urgent kinds of the same model. All entries see about the same queues, so they
//! refuse the less urgent requests first without asking each other.

use std::time::Duration;
use std::time::Instant;

use derive_more::Display;

use super::decay::DecayedCount;
use crate::ids::AccountId;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;

/// The share of the latency target that a new request may spend in a target's queue. The rest is
/// left for the prefill, for the first event, and for errors in the load estimates.
const QUEUE_WAIT_SHARE: f64 = 0.3;
/// The share of each less urgent kind's requests that is admitted up to its own limit, so that the
/// kind does not starve. It is drawn for each request: a credit that grows with time would be spent by
/// all entries at once at the start of a burst.
pub const RESERVED_SHARE: f64 = 0.05;
/// The limit of a kind relative to that of the next more urgent one. Estimated waits differ by about
/// half of a limit between entries, since loads are some tenths of a second old. It is below
/// [`ACCOUNT_STEP`], so that less urgent requests are refused before those of an account over its part.
const PRIORITY_STEP: f64 = 0.4;
/// The limit of an account over its fair part relative to the others of its priority. With 0.75,
/// estimated waits differ too much between entries for the small accounts to go first.
const ACCOUNT_STEP: f64 = 0.5;
/// The share of the latency target that a retry at its promised time may wait. Its answer is late
/// anyway, and it should not be refused again for the errors of the load estimates.
const PROMISED_WAIT_SHARE: f64 = 1.0;
/// The limit of a retry before its time relative to a new request's. Its answer is late anyway, so new
/// requests are served first.
const BEFORE_TIME_STEP: f64 = 0.2;
/// How long a kind is taken into account after its last request. An entry may get one request of a
/// kind in two seconds.
const KIND_MEMORY: Duration = Duration::from_secs(10);
/// The time in which the weight of a request in its account's part falls to 1/e. At some requests a
/// second this has some requests of each of 24 accounts.
const ACCOUNT_MEMORY: Duration = Duration::from_secs(10);
/// The most accounts of a kind that are compared; requests of others are not held back.
const ACCOUNTS_MAX: usize = 256;
/// The factor above its fair part from which an account is over it; it covers rounding.
const FAIR_PART_MARGIN: f64 = 1.1;
/// The count below which an account is forgotten.
const ACCOUNT_COUNT_MIN: f64 = 0.05;

/// What admission depends on, for a request that was not sent yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestClass<'a> {
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// The caller's account, if it has one.
    pub account: Option<&'a AccountId>,
    /// The latency target of the request's route.
    pub latency_target: Duration,
}

impl RequestClass<'_> {
    /// Returns the wait up to which the request can still be answered in time.
    fn own_wait_max(&self) -> Duration {
        self.latency_target.mul_f64(QUEUE_WAIT_SHARE)
    }
}

/// What a request's limit follows from.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum LimitBasis {
    /// The request's own latency target.
    #[display("own target")]
    OwnTarget,
    /// A more urgent kind of requests for the same model.
    #[display("less urgent")]
    LessUrgent,
    /// The account has more than its fair part.
    #[display("account over its part")]
    AccountOverPart,
    /// The share that is reserved for less urgent requests.
    #[display("reserved share")]
    ReservedShare,
    /// The request returns at a promised time.
    #[display("promised time")]
    PromisedTime,
    /// The request returns before the time that it was told.
    #[display("before its time")]
    BeforeTime,
    /// The deadline, since the request was sent before or its caller has a part of the answer.
    #[display("deadline")]
    Deadline,
}

/// How long a request may wait in a target's queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitLimit {
    /// The longest expected wait with which the request is admitted.
    pub wait_max: Duration,
    /// What the limit follows from.
    pub basis: LimitBasis,
}

impl WaitLimit {
    /// Returns the limit of a new request where all requests have the same priority.
    pub fn without_order(class: &RequestClass<'_>) -> Self {
        Self {
            wait_max: class.own_wait_max(),
            basis: LimitBasis::OwnTarget,
        }
    }

    /// Returns the limit of a retry at its promised time.
    pub fn at_promised_time(class: &RequestClass<'_>) -> Self {
        Self {
            wait_max: class.latency_target.mul_f64(PROMISED_WAIT_SHARE),
            basis: LimitBasis::PromisedTime,
        }
    }

    /// Returns the limit of a retry that comes before its time and has this limit otherwise.
    pub fn before_time(self) -> Self {
        Self {
            wait_max: self.wait_max.mul_f64(BEFORE_TIME_STEP),
            basis: LimitBasis::BeforeTime,
        }
    }
}

/// The recent requests of one account and priority.
#[derive(Clone, Debug)]
struct AccountUse {
    account: AccountId,
    arrived: DecayedCount,
    admitted: DecayedCount,
}

impl Keyed for AccountUse {
    type Key = AccountId;

    fn key(&self) -> &AccountId {
        &self.account
    }
}

/// The recent requests of one priority.
#[derive(Clone, Debug)]
struct Kind {
    priority: u8,
    /// The shortest own limit of recent requests, and when it was last seen.
    wait_max: Duration,
    wait_max_at: Instant,
    seen_at: Instant,
    accounts: SortedVec<AccountUse>,
}

impl Keyed for Kind {
    type Key = u8;

    fn key(&self) -> &u8 {
        &self.priority
    }
}

impl Kind {
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.seen_at) < KIND_MEMORY
    }

    /// Returns whether the account was admitted more often than its fair part.
    ///
    /// The fair parts divide the admitted requests: all of an account's requests up to a level that is
    /// the same for all accounts. They count requests, not tokens, so that an account with long
    /// prompts is not held back for them.
    fn is_over_part(&self, account: &AccountId, now: Instant) -> bool {
        let Some(account) = self.accounts.get(account) else {
            return false;
        };
        let counts = self.accounts.iter().map(|a| a.arrived.count(now));
        let mut arrived: Vec<f64> = counts.collect();
        let admitted: f64 = self.accounts.iter().map(|a| a.admitted.count(now)).sum();
        arrived.sort_by(f64::total_cmp);
        let mut left = admitted;
        for (index, count) in arrived.iter().enumerate() {
            let level = left / (arrived.len() - index) as f64;
            if *count > level {
                return account.admitted.count(now) > level * FAIR_PART_MARGIN;
            }
            left -= count;
        }
        false
    }
}

/// The admission of requests for one model, or for one service without models, at one entry.
#[derive(Clone, Debug, Default)]
pub struct PriorityAdmission {
    kinds: SortedVec<Kind>,
}

impl PriorityAdmission {
    /// Returns the limit of a new request. `draw` is a random number from 0 to 1.
    pub fn wait_limit(&self, class: &RequestClass<'_>, draw: f64, now: Instant) -> WaitLimit {
        let mut limit = WaitLimit::without_order(class);
        let more_urgent = self.kinds.iter();
        let more_urgent =
            more_urgent.filter(|kind| kind.priority < class.priority && kind.is_recent(now));
        // Each step down in priority has its own margin, so that several kinds are refused in order.
        let cap = more_urgent.fold(None, |cap: Option<Duration>, kind| {
            let wait_max = cap.map_or(kind.wait_max, |cap| cap.min(kind.wait_max));
            Some(wait_max.mul_f64(PRIORITY_STEP))
        });
        if let Some(cap) = cap {
            if draw < RESERVED_SHARE {
                limit.basis = LimitBasis::ReservedShare;
                return limit;
            }
            if cap < limit.wait_max {
                limit.wait_max = cap;
                limit.basis = LimitBasis::LessUrgent;
            }
        }
        let kind = self.kinds.get(&class.priority);
        let is_over_part =
            |account| kind.is_some_and(|kind: &Kind| kind.is_over_part(account, now));
        if class.account.is_some_and(is_over_part) {
            limit.wait_max = limit.wait_max.mul_f64(ACCOUNT_STEP);
            limit.basis = LimitBasis::AccountOverPart;
        }
        limit
    }

    /// Returns the highest priority of recent requests.
    pub fn most_urgent(&self, now: Instant) -> Option<u8> {
        let recent = self.kinds.iter().find(|kind| kind.is_recent(now));
        recent.map(|kind| kind.priority)
    }

    /// Records a new request and whether it was admitted.
    pub fn on_request(&mut self, class: &RequestClass<'_>, is_admitted: bool, now: Instant) {
        self.kinds.retain(|kind| kind.is_recent(now));
        let own = class.own_wait_max();
        let kind = self.kinds.get_or_insert_with(&class.priority, || Kind {
            priority: class.priority,
            wait_max: own,
            wait_max_at: now,
            seen_at: now,
            accounts: SortedVec::new(),
        });
        kind.seen_at = now;
        let age = now.saturating_duration_since(kind.wait_max_at);
        if own <= kind.wait_max || age >= KIND_MEMORY {
            kind.wait_max = own;
            kind.wait_max_at = now;
        }
        let Some(account) = class.account else {
            return;
        };
        let accounts = &mut kind.accounts;
        if !accounts.contains_key(account) && accounts.len() >= ACCOUNTS_MAX {
            accounts.retain(|known| known.arrived.count(now) >= ACCOUNT_COUNT_MIN);
            if accounts.len() >= ACCOUNTS_MAX {
                return;
            }
        }
        let known = accounts.get_or_insert_with(account, || AccountUse {
            account: account.clone(),
            arrived: DecayedCount::new(ACCOUNT_MEMORY, now),
            admitted: DecayedCount::new(ACCOUNT_MEMORY, now),
        });
        known.arrived.add(now);
        if is_admitted {
            known.admitted.add(now);
        }
    }
}
