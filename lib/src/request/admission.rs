//! Admission control for one service at one entry.
//!
//! A request is admitted at once, queued for a bounded time, or refused. The queue is kept at the
//! entry and is short because engines batch requests. A request waits only as long as its deadline
//! allows; one that would miss it is refused at once with a retry delay. A request of priority
//! `Emergency` can enter a full queue by evicting the last one, and may use a few slots above the
//! capacity.

use std::time::Duration;
use std::time::Instant;

use super::fair_queue::FairQueue;
use super::fair_queue::QueueKey;
use super::fair_queue::Queued;
use super::outcome::NotRunReason;
use crate::version::document::Priority;

/// The weight of a new sample in the exponentially weighted moving average of service times.
const SERVICE_TIME_WEIGHT: f64 = 0.05;
/// The number of mean deviations added to the mean service time when a deadline is checked, so
/// that requests with long answers also finish in time.
const RESERVED_DEVIATIONS: f64 = 2.0;

/// Limits and initial estimates of [`Admission`].
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// The maximum number of queued requests.
    pub queue_limit_requests: usize,
    /// The maximum wait of a request of priority `Normal`, even if its deadline allows more.
    /// A longer queue does not increase throughput.
    pub queue_wait_max: Duration,
    /// The slots above the capacity that only requests of priority `Emergency` may use.
    pub emergency_reserve_requests: u32,
    /// The initial value of the mean service time, before any request has finished.
    pub assumed_service_time: Duration,
    /// The lower bound of the retry delay in a refusal.
    pub retry_after_min: Duration,
    /// The retry delay in a refusal because no target can serve.
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

/// Identifies a request within one [`Admission`]; assigned by the code that drives it.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// The properties of a request that its admission depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Must be unique among the requests of the service at this entry.
    pub ticket: Ticket,
    /// The account, its weight, the priority and the cost.
    pub key: QueueKey,
    /// The time by which the caller needs the complete answer.
    pub deadline: Instant,
}

/// An action that the driver of [`Admission`] must carry out on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionAction {
    /// Send the request now; it was never queued.
    Admit {
        /// The admitted request.
        ticket: Ticket,
    },
    /// Keep the request queued; a later action dequeues or refuses it.
    Wait {
        /// The queued request.
        ticket: Ticket,
        /// The estimated time until the request is dequeued.
        estimated_wait: Duration,
    },
    /// Send the request now; it was queued.
    Dequeue {
        /// The dequeued request.
        ticket: Ticket,
    },
    /// Answer now that the request was not run.
    Refuse {
        /// The refused request.
        ticket: Ticket,
        /// The reason that is reported to the caller.
        reason: NotRunReason,
        /// The time after which the caller should retry.
        retry_after: Duration,
    },
}

#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    ticket: Ticket,
    deadline: Instant,
}

/// The admission state machine of one service at one entry.
///
/// It does no I/O: each method takes an event and returns the actions to carry out.
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
    queue: FairQueue<WaitingRequest>,
}

impl Admission {
    /// Creates a state machine with capacity 0, which refuses every request.
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

    /// Sets the number of requests that this entry may have in flight; see `Router::capacity`.
    pub fn set_capacity(&mut self, capacity_requests: u32, now: Instant) -> Vec<AdmissionAction> {
        self.capacity_requests = capacity_requests;
        self.drain(now)
    }

    /// Admits, queues or refuses a new request.
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
        let has_none_ahead = self.queue.len_at_least(priority) == 0;
        if has_none_ahead && self.has_capacity(priority) {
            self.in_flight_requests += 1;
            return vec![AdmissionAction::Admit { ticket }];
        }
        self.enqueue(request, now)
    }

    /// Queues an admitted request again because all targets were at their limit.
    ///
    /// Lowers the capacity to the number of requests in flight, but not below 1, so that nothing
    /// more is sent until a request ends or [`Admission::set_capacity`] is called.
    pub fn on_all_targets_at_limit(
        &mut self,
        request: AdmissionRequest,
        now: Instant,
    ) -> Vec<AdmissionAction> {
        self.in_flight_requests = self.in_flight_requests.saturating_sub(1);
        self.capacity_requests = self.capacity_requests.min(self.in_flight_requests.max(1));
        self.enqueue(request, now)
    }

    /// Releases the slot of a request whose answer was complete and records its service time,
    /// measured from the send.
    pub fn on_finished(&mut self, service_time: Duration, now: Instant) -> Vec<AdmissionAction> {
        let deviation = service_time.abs_diff(self.mean_service_time);
        self.mean_service_time = update_mean(self.mean_service_time, service_time);
        self.service_time_deviation = update_mean(self.service_time_deviation, deviation);
        self.on_released(now)
    }

    /// Releases the slot of a request that ended without a complete answer, so that it gives no
    /// sample of the service time.
    pub fn on_released(&mut self, now: Instant) -> Vec<AdmissionAction> {
        self.in_flight_requests = self.in_flight_requests.saturating_sub(1);
        self.drain(now)
    }

    /// Removes a queued request whose caller disconnected.
    pub fn on_cancelled(&mut self, ticket: Ticket) {
        self.queue
            .remove_where(|queued| queued.item.ticket == ticket);
    }

    /// Refuses queued requests that can no longer meet their deadline.
    pub fn on_tick(&mut self, now: Instant) -> Vec<AdmissionAction> {
        let earliest_deadline = now + self.reserved_time();
        let late = self
            .queue
            .remove_where(|queued| queued.item.deadline < earliest_deadline);
        late.iter()
            .map(|queued| self.refuse_queued(queued))
            .collect()
    }

    /// Returns when a queued request will first be too late for its deadline and
    /// [`Admission::on_tick`] must be called; `None` if the queue is empty.
    pub fn next_tick(&self) -> Option<Instant> {
        let deadlines = self.queue.iter().map(|queued| queued.item.deadline);
        let first = deadlines.min()?;
        Some(first.checked_sub(self.reserved_time()).unwrap_or(first))
    }

    /// Returns the estimated wait of a new request of priority `Normal`, which counts every queued
    /// request as ahead of it.
    pub fn estimated_wait(&self) -> Duration {
        self.wait_behind(self.queue.len() as f64)
    }

    /// Returns the moving average of the time that a request takes at a target.
    pub fn mean_service_time(&self) -> Duration {
        self.mean_service_time
    }

    /// Returns the number of requests that are neither admitted nor refused yet.
    pub fn queued_requests(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of admitted or dequeued requests that have not been released.
    pub fn in_flight_requests(&self) -> u32 {
        self.in_flight_requests
    }

    /// Returns the time that must be left until the deadline when a request is sent.
    fn reserved_time(&self) -> Duration {
        self.mean_service_time + self.service_time_deviation.mul_f64(RESERVED_DEVIATIONS)
    }

    fn has_capacity(&self, priority: Priority) -> bool {
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
        let time_left = request.deadline.saturating_duration_since(now);
        let deadline_wait_max = time_left.saturating_sub(self.reserved_time());
        let allowed_wait = match request.key.priority {
            Priority::Normal => deadline_wait_max.min(self.settings.queue_wait_max),
            Priority::Emergency | Priority::Batch => deadline_wait_max,
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
            actions.push(self.refuse_queued(&last));
        }
        let deadline = request.deadline;
        self.queue
            .push(request.key, WaitingRequest { ticket, deadline });
        actions.push(AdmissionAction::Wait {
            ticket,
            estimated_wait,
        });
        actions
    }

    fn drain(&mut self, now: Instant) -> Vec<AdmissionAction> {
        let mut actions = self.on_tick(now);
        while let Some(next) = self.queue.peek() {
            if !self.has_capacity(next.key.priority) {
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

    /// Returns the estimated wait for a slot of a request with `ahead` requests queued before it.
    fn wait_behind(&self, ahead: f64) -> Duration {
        let slots = self.capacity_requests.max(1);
        let is_full = self.in_flight_requests >= slots;
        let turns = ahead + if is_full { 1.0 } else { 0.0 };
        self.mean_service_time.mul_f64(turns / f64::from(slots))
    }

    fn refuse_queued(&self, queued: &Queued<WaitingRequest>) -> AdmissionAction {
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

/// Returns the exponentially weighted moving average after the sample `value`.
fn update_mean(mean: Duration, value: Duration) -> Duration {
    mean.mul_f64(1.0 - SERVICE_TIME_WEIGHT) + value.mul_f64(SERVICE_TIME_WEIGHT)
}
