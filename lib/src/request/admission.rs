//! Admission of a service's requests at an entry: now, after a bounded wait, or not at all.
//!
//! The queue is at the entry and short, since engines batch. A request waits only as long as its
//! deadline allows; one that can't make it is refused at once with when to come back. An emergency
//! notice passes a full queue, and a few places are kept for it above the capacity.

use std::time::Duration;
use std::time::Instant;

use super::fair_queue::FairQueue;
use super::fair_queue::QueueKey;
use super::fair_queue::Queued;
use super::outcome::NotRunReason;
use crate::version::document::Priority;

/// The weight of a new request in the moving mean of the service times.
const SERVICE_TIME_WEIGHT: f64 = 0.05;
/// The mean deviations above the mean that a request's own service time is reckoned with, since
/// long answers must make their deadline too.
const RESERVED_DEVIATIONS: f64 = 2.0;

/// How requests are admitted.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// The most requests that wait.
    pub queue_limit_requests: usize,
    /// The longest wait of normal work, whatever its deadline; a longer queue serves no more.
    pub queue_wait_max: Duration,
    /// The places above the capacity that only emergency notices use.
    pub emergency_reserve_requests: u32,
    /// The time that a request takes at a target, until some have been seen.
    pub assumed_service_time: Duration,
    /// The shortest time after which a refused caller is asked to come back.
    pub retry_after_min: Duration,
    /// When a caller is asked to come back if no target can serve.
    pub no_target_retry_after: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            queue_limit_requests: 256,
            queue_wait_max: Duration::from_secs(5),
            emergency_reserve_requests: 4,
            assumed_service_time: Duration::from_secs(2),
            retry_after_min: Duration::from_secs(1),
            no_target_retry_after: Duration::from_secs(2),
        }
    }
}

/// A number that the caller of [`Admission`] gives to each request.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// A request that asks for admission.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// The request's ticket.
    pub ticket: Ticket,
    /// The account, its weight, the priority and the work.
    pub key: QueueKey,
    /// When the caller needs the whole answer.
    pub deadline: Instant,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionAction {
    /// Send it now; it came just now.
    Admit {
        /// The request.
        ticket: Ticket,
    },
    /// Keep it; a later action decides.
    Wait {
        /// The request.
        ticket: Ticket,
        /// The estimated wait.
        estimated_wait: Duration,
    },
    /// Send it now; it waited.
    Dequeue {
        /// The request.
        ticket: Ticket,
    },
    /// Answer it now that it was not run.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// Why.
        reason: NotRunReason,
        /// When the caller should come back.
        retry_after: Duration,
    },
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: Ticket,
    deadline: Instant,
}

/// The admission of one service at one entry.
///
/// ```
/// use std::time::Duration;
/// use std::time::Instant;
///
/// use beryltray_lib::request::admission::Admission;
/// use beryltray_lib::request::admission::AdmissionAction;
/// use beryltray_lib::request::admission::AdmissionRequest;
/// use beryltray_lib::request::admission::AdmissionSettings;
/// use beryltray_lib::request::admission::Ticket;
/// use beryltray_lib::request::fair_queue::QueueKey;
/// use beryltray_lib::version::document::Priority;
///
/// let now = Instant::now();
/// let mut admission = Admission::new(AdmissionSettings::default());
/// admission.set_capacity(1, now);
/// let request = |ticket| AdmissionRequest {
///     ticket: Ticket(ticket),
///     key: QueueKey {
///         account: "lakes-transit".parse().unwrap(),
///         weight: 1,
///         priority: Priority::Normal,
///         cost: 1.0,
///     },
///     deadline: now + Duration::from_secs(30),
/// };
/// let first = admission.on_request(request(1), now);
/// assert_eq!(first, [AdmissionAction::Admit { ticket: Ticket(1) }]);
/// admission.on_request(request(2), now);
/// let next = admission.on_finished(Duration::from_secs(1), now);
/// assert_eq!(next, [AdmissionAction::Dequeue { ticket: Ticket(2) }]);
/// ```
#[derive(Clone, Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    capacity_requests: u32,
    in_flight_requests: u32,
    mean_service_time: Duration,
    service_time_deviation: Duration,
    queue: FairQueue<Waiting>,
}

impl Admission {
    /// Creates an admission without capacity.
    pub fn new(settings: AdmissionSettings) -> Self {
        let mean_service_time = settings.assumed_service_time;
        Self {
            settings,
            capacity_requests: 0,
            in_flight_requests: 0,
            mean_service_time,
            service_time_deviation: Duration::ZERO,
            queue: FairQueue::default(),
        }
    }

    /// Sets how many requests this entry may have in flight; see `Router::capacity`.
    pub fn set_capacity(&mut self, capacity_requests: u32, now: Instant) -> Vec<AdmissionAction> {
        self.capacity_requests = capacity_requests;
        self.drain(now)
    }

    /// Takes in a request.
    pub fn on_request(&mut self, request: AdmissionRequest, now: Instant) -> Vec<AdmissionAction> {
        let ticket = request.ticket;
        let priority = request.key.priority;
        if request.deadline <= now {
            return vec![self.refuse(ticket, NotRunReason::Overloaded, Duration::ZERO)];
        }
        if self.capacity_requests == 0 {
            let retry_after = self.settings.no_target_retry_after;
            return vec![self.refuse(ticket, NotRunReason::NoTarget, retry_after)];
        }
        let nobody_waits_before = self.queue.len_at_least(priority) == 0;
        if nobody_waits_before && self.has_place(priority) {
            self.in_flight_requests += 1;
            return vec![AdmissionAction::Admit { ticket }];
        }
        self.enqueue(request, now)
    }

    /// Takes in that no target had a place for an admitted request, which waits again.
    ///
    /// Nothing more is sent until a request ends or [`Admission::set_capacity`] is called.
    pub fn on_all_targets_at_limit(
        &mut self,
        request: AdmissionRequest,
        now: Instant,
    ) -> Vec<AdmissionAction> {
        self.in_flight_requests = self.in_flight_requests.saturating_sub(1);
        self.capacity_requests = self.capacity_requests.min(self.in_flight_requests.max(1));
        self.enqueue(request, now)
    }

    /// Takes in that an admitted request ended `service_time` after it was sent.
    pub fn on_finished(&mut self, service_time: Duration, now: Instant) -> Vec<AdmissionAction> {
        let deviation = service_time.abs_diff(self.mean_service_time);
        self.mean_service_time = moved(self.mean_service_time, service_time);
        self.service_time_deviation = moved(self.service_time_deviation, deviation);
        self.on_released(now)
    }

    /// Takes in that an admitted request ended without telling how long a whole one takes.
    pub fn on_released(&mut self, now: Instant) -> Vec<AdmissionAction> {
        self.in_flight_requests = self.in_flight_requests.saturating_sub(1);
        self.drain(now)
    }

    /// Takes in that the caller of a waiting request went away.
    pub fn on_cancelled(&mut self, ticket: Ticket) {
        self.queue
            .remove_where(|queued| queued.item.ticket == ticket);
    }

    /// Gives up on waiting requests that can no longer make their deadline.
    pub fn on_tick(&mut self, now: Instant) -> Vec<AdmissionAction> {
        let latest = now + self.reserved_time();
        let late = self
            .queue
            .remove_where(|queued| queued.item.deadline < latest);
        late.iter().map(|queued| self.give_up(queued)).collect()
    }

    /// Returns when [`Admission::on_tick`] has something to do next.
    pub fn next_tick(&self) -> Option<Instant> {
        let deadlines = self.queue.iter().map(|queued| queued.item.deadline);
        let first = deadlines.min()?;
        Some(first.checked_sub(self.reserved_time()).unwrap_or(first))
    }

    /// Returns the wait that a new request of ordinary priority would have.
    pub fn estimated_wait(&self) -> Duration {
        self.wait_behind(self.queue.len() as f64)
    }

    /// Returns the time that a request takes at a target, as a moving mean.
    pub fn mean_service_time(&self) -> Duration {
        self.mean_service_time
    }

    /// Returns the number of waiting requests.
    pub fn queued_requests(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of admitted requests that have not ended.
    pub fn in_flight_requests(&self) -> u32 {
        self.in_flight_requests
    }

    /// Returns the time that a request should have left when it is sent.
    fn reserved_time(&self) -> Duration {
        self.mean_service_time + self.service_time_deviation.mul_f64(RESERVED_DEVIATIONS)
    }

    fn has_place(&self, priority: Priority) -> bool {
        let reserve = match priority {
            Priority::Emergency => self.settings.emergency_reserve_requests,
            Priority::Normal | Priority::Batch => 0,
        };
        self.in_flight_requests < self.capacity_requests.saturating_add(reserve)
    }

    fn enqueue(&mut self, request: AdmissionRequest, now: Instant) -> Vec<AdmissionAction> {
        let ticket = request.ticket;
        let ahead = self.queue.queued_ahead_of(&request.key) as f64;
        let estimated_wait =
            self.wait_behind(ahead.max(self.queue.fair_turns_before(&request.key)));
        let spare = request.deadline.saturating_duration_since(now);
        let in_time = spare.saturating_sub(self.reserved_time());
        let allowed_wait = match request.key.priority {
            Priority::Normal => in_time.min(self.settings.queue_wait_max),
            Priority::Emergency | Priority::Batch => in_time,
        };
        if estimated_wait > allowed_wait {
            let retry_after = estimated_wait - allowed_wait;
            return vec![self.refuse(ticket, NotRunReason::Overloaded, retry_after)];
        }
        let mut actions = Vec::with_capacity(2);
        if self.queue.len() >= self.settings.queue_limit_requests {
            let Some(last) = self.queue.evict_last(&request.key) else {
                return vec![self.refuse(ticket, NotRunReason::Overloaded, estimated_wait)];
            };
            actions.push(self.give_up(&last));
        }
        let deadline = request.deadline;
        self.queue.push(request.key, Waiting { ticket, deadline });
        actions.push(AdmissionAction::Wait {
            ticket,
            estimated_wait,
        });
        actions
    }

    fn drain(&mut self, now: Instant) -> Vec<AdmissionAction> {
        let mut actions = self.on_tick(now);
        while let Some(next) = self.queue.peek() {
            if !self.has_place(next.key.priority) {
                break;
            }
            let Some(next) = self.queue.pop() else {
                break;
            };
            self.in_flight_requests += 1;
            let ticket = next.item.ticket;
            actions.push(AdmissionAction::Dequeue { ticket });
        }
        actions
    }

    /// Returns the wait until `ahead` requests and one more got a place.
    fn wait_behind(&self, ahead: f64) -> Duration {
        let places = self.capacity_requests.max(1);
        let is_full = self.in_flight_requests >= places;
        let turns = ahead + if is_full { 1.0 } else { 0.0 };
        self.mean_service_time.mul_f64(turns / f64::from(places))
    }

    fn give_up(&self, queued: &Queued<Waiting>) -> AdmissionAction {
        let retry_after = self.estimated_wait();
        self.refuse(queued.item.ticket, NotRunReason::Overloaded, retry_after)
    }

    fn refuse(
        &self,
        ticket: Ticket,
        reason: NotRunReason,
        retry_after: Duration,
    ) -> AdmissionAction {
        AdmissionAction::Refuse {
            ticket,
            reason,
            retry_after: retry_after.max(self.settings.retry_after_min),
        }
    }
}

/// Moves an exponentially weighted mean towards a new value.
fn moved(mean: Duration, value: Duration) -> Duration {
    mean.mul_f64(1.0 - SERVICE_TIME_WEIGHT) + value.mul_f64(SERVICE_TIME_WEIGHT)
}
