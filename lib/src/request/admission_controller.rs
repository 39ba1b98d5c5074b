//! Delivers the decisions of [`Admission`] to the requests that wait for them.

use std::time::Duration;
use std::time::Instant;

use tokio::sync::oneshot;

use crate::request::admission::Admission;
use crate::request::admission::AdmissionAction;
use crate::request::admission::AdmissionRequest;
use crate::request::admission::AdmissionSettings;
use crate::request::admission::Ticket;
use crate::request::fair_queue::QueueKey;
use crate::request::outcome::NotRunReason;
use crate::request::outcome::Outcome;
use crate::sorted::Keyed;
use crate::sorted::SortedVec;

/// `Ok` if the request may be sent; otherwise the outcome that the caller gets.
pub type AdmissionDecision = Result<(), Outcome>;

#[derive(Debug)]
struct Waiter {
    ticket: Ticket,
    decision: oneshot::Sender<AdmissionDecision>,
}

impl Keyed for Waiter {
    type Key = Ticket;

    fn key(&self) -> &Ticket {
        &self.ticket
    }
}

/// The admission state machine of one service and the channels of the undecided requests.
#[derive(Debug)]
pub struct AdmissionController {
    admission: Admission,
    waiters: SortedVec<Waiter>,
    next_ticket: u64,
}

impl Default for AdmissionController {
    fn default() -> Self {
        Self {
            admission: Admission::new(AdmissionSettings::default()),
            waiters: SortedVec::new(),
            next_ticket: 0,
        }
    }
}

impl AdmissionController {
    /// Asks for admission; the decision arrives on the returned channel, at once or after a wait.
    pub fn request(
        &mut self,
        key: QueueKey,
        deadline: Instant,
        now: Instant,
    ) -> (Ticket, oneshot::Receiver<AdmissionDecision>) {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let (decision, receiver) = oneshot::channel();
        self.waiters.insert(Waiter { ticket, decision });
        let request = AdmissionRequest {
            ticket,
            key,
            deadline,
        };
        let actions = self.admission.on_request(request, now);
        self.apply_actions(actions, now);
        (ticket, receiver)
    }

    /// Sets the number of requests that this entry may have in flight.
    pub fn set_capacity(&mut self, capacity_requests: u32, now: Instant) {
        let actions = self.admission.set_capacity(capacity_requests, now);
        self.apply_actions(actions, now);
    }

    /// Refuses queued requests that can no longer meet their deadline.
    pub fn tick(&mut self, now: Instant) {
        let actions = self.admission.on_tick(now);
        self.apply_actions(actions, now);
    }

    /// Releases the slot of an admitted request. `service_time` is `None` unless the answer was
    /// complete.
    pub fn release(&mut self, service_time: Option<Duration>, now: Instant) {
        let actions = match service_time {
            Some(service_time) => self.admission.on_finished(service_time, now),
            None => self.admission.on_released(now),
        };
        self.apply_actions(actions, now);
    }

    /// Removes a queued request whose caller disconnected; does nothing for a decided one.
    pub fn cancel(&mut self, ticket: Ticket) {
        if self.waiters.remove(&ticket).is_some() {
            self.admission.on_cancelled(ticket);
        }
    }

    /// Returns the number of requests that are neither admitted nor refused yet.
    pub fn queued_requests(&self) -> usize {
        self.admission.queued_requests()
    }

    /// Returns the number of admitted requests that have not been released.
    pub fn in_flight_requests(&self) -> u32 {
        self.admission.in_flight_requests()
    }

    /// Returns the moving average of the time that a request takes at a target.
    pub fn mean_service_time(&self) -> Duration {
        self.admission.mean_service_time()
    }

    /// Returns the estimated wait of a new request of priority `Normal`, which counts every queued
    /// request as ahead of it.
    pub fn estimated_wait(&self) -> Duration {
        self.admission.estimated_wait()
    }

    fn apply_actions(&mut self, actions: Vec<AdmissionAction>, now: Instant) {
        for action in actions {
            match action {
                AdmissionAction::Wait { .. } => {}
                AdmissionAction::Admit { ticket } | AdmissionAction::Dequeue { ticket } => {
                    self.admit(ticket, now);
                }
                AdmissionAction::Refuse {
                    ticket,
                    reason,
                    retry_after,
                } => self.refuse(ticket, reason, retry_after),
            }
        }
    }

    fn admit(&mut self, ticket: Ticket, now: Instant) {
        let waiter = self.waiters.remove(&ticket);
        let is_received = waiter.is_some_and(|waiter| waiter.decision.send(Ok(())).is_ok());
        if !is_received {
            // The caller disconnected, so the slot is free for the next request.
            self.release(None, now);
        }
    }

    fn refuse(&mut self, ticket: Ticket, reason: NotRunReason, retry_after: Duration) {
        let outcome = Outcome::NotRun {
            reason,
            retry_after,
        };
        if let Some(waiter) = self.waiters.remove(&ticket) {
            // Sending fails only if the caller disconnected, so there is nobody to answer.
            let _ = waiter.decision.send(Err(outcome));
        }
    }
}
