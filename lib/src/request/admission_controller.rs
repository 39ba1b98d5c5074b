//! The admission of one service, with the requests that wait for its decisions.

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

/// What was decided on a request: to send it, or the outcome that it ends in.
pub type AdmissionDecision = Result<(), Outcome>;

#[derive(Debug)]
struct Waiter {
    ticket: Ticket,
    verdict: oneshot::Sender<AdmissionDecision>,
}

impl Keyed for Waiter {
    type Key = Ticket;

    fn key(&self) -> &Ticket {
        &self.ticket
    }
}

/// The admission of one service and the requests that wait for it.
#[derive(Debug)]
pub struct AdmissionController {
    machine: Admission,
    waiters: SortedVec<Waiter>,
    next_ticket: u64,
}

impl Default for AdmissionController {
    fn default() -> Self {
        Self {
            machine: Admission::new(AdmissionSettings::default()),
            waiters: SortedVec::new(),
            next_ticket: 0,
        }
    }
}

impl AdmissionController {
    /// Takes in a request; the verdict comes through the returned channel, at once or later.
    pub fn request(
        &mut self,
        key: QueueKey,
        deadline: Instant,
        now: Instant,
    ) -> (Ticket, oneshot::Receiver<AdmissionDecision>) {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let (verdict, receiver) = oneshot::channel();
        self.waiters.insert(Waiter { ticket, verdict });
        let request = AdmissionRequest {
            ticket,
            key,
            deadline,
        };
        let actions = self.machine.on_request(request, now);
        self.carry_out(actions, now);
        (ticket, receiver)
    }

    /// Sets how many requests this entry may have in flight.
    pub fn set_capacity(&mut self, capacity_requests: u32, now: Instant) {
        let actions = self.machine.set_capacity(capacity_requests, now);
        self.carry_out(actions, now);
    }

    /// Gives up on waiting requests that can no longer make their deadline.
    pub fn tick(&mut self, now: Instant) {
        let actions = self.machine.on_tick(now);
        self.carry_out(actions, now);
    }

    /// Takes in that an admitted request ended; `service_time` is there for a whole answer.
    pub fn release(&mut self, service_time: Option<Duration>, now: Instant) {
        let actions = match service_time {
            Some(service_time) => self.machine.on_finished(service_time, now),
            None => self.machine.on_released(now),
        };
        self.carry_out(actions, now);
    }

    /// Takes in that the caller of a waiting request went away.
    pub fn cancel(&mut self, ticket: Ticket) {
        if self.waiters.remove(&ticket).is_some() {
            self.machine.on_cancelled(ticket);
        }
    }

    /// Returns the number of waiting requests.
    pub fn queued_requests(&self) -> usize {
        self.machine.queued_requests()
    }

    /// Returns the number of admitted requests that have not ended.
    pub fn in_flight_requests(&self) -> u32 {
        self.machine.in_flight_requests()
    }

    /// Returns the time that a request takes at a target, as a moving mean.
    pub fn mean_service_time(&self) -> Duration {
        self.machine.mean_service_time()
    }

    /// Returns the wait that a new request of ordinary priority would have.
    pub fn estimated_wait(&self) -> Duration {
        self.machine.estimated_wait()
    }

    fn carry_out(&mut self, actions: Vec<AdmissionAction>, now: Instant) {
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
        let is_taken = waiter.is_some_and(|waiter| waiter.verdict.send(Ok(())).is_ok());
        if !is_taken {
            self.release(None, now);
        }
    }

    fn refuse(&mut self, ticket: Ticket, reason: NotRunReason, retry_after: Duration) {
        let outcome = Outcome::NotRun {
            reason,
            retry_after,
        };
        if let Some(waiter) = self.waiters.remove(&ticket) {
            // A caller that went away needs no verdict.
            let _ = waiter.verdict.send(Err(outcome));
        }
    }
}
