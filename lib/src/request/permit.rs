//! The in-flight slot of a request, released when the request ends.

use std::time::Duration;
use std::time::Instant;

use tokio::sync::oneshot;

use super::admission::Ticket;
use super::admission_controller::AdmissionDecision;
use super::entry_context::ServicePool;
use super::outcome::NotRunReason;
use super::outcome::Outcome;
use crate::clock::Clock;
use crate::ids::ServiceId;

/// Retry delay for a request whose service was removed from the document while it waited.
const SERVICE_REMOVED_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A request's slot, or its position in the queue for one. Dropping it releases either.
#[derive(Debug)]
pub struct AdmissionPermit<C, S>
where
    C: Clock,
    S: ServicePool,
{
    clock: C,
    services: S,
    service: ServiceId,
    ticket: Ticket,
    /// `None` once the decision was received.
    decision: Option<oneshot::Receiver<AdmissionDecision>>,
    /// When the admission was received; `None` before, and after the slot was released.
    admitted_at: Option<Instant>,
}

impl<C, S> AdmissionPermit<C, S>
where
    C: Clock,
    S: ServicePool,
{
    /// Creates the permit of a request that was queued for admission under `ticket`.
    ///
    /// [`AdmissionPermit::wait_until_admitted`] waits for the decision, which `decision` receives.
    pub fn new(
        clock: C,
        services: S,
        service: ServiceId,
        ticket: Ticket,
        decision: oneshot::Receiver<AdmissionDecision>,
    ) -> Self {
        Self {
            clock,
            services,
            service,
            ticket,
            decision: Some(decision),
            admitted_at: None,
        }
    }

    /// Waits until the request may be sent, or returns its final outcome if it is refused.
    pub async fn wait_until_admitted(&mut self) -> Result<(), Outcome> {
        let Some(decision) = self.decision.as_mut() else {
            return Ok(());
        };
        let decision = decision.await;
        self.decision = None;
        let removed = Outcome::NotRun {
            reason: NotRunReason::NoTarget,
            retry_after: SERVICE_REMOVED_RETRY_AFTER,
        };
        let decision = decision.unwrap_or(Err(removed));
        if decision.is_ok() {
            self.admitted_at = Some(self.clock.now());
        }
        decision
    }

    /// Releases the slot after a complete answer.
    ///
    /// The service time is measured from the admission. If it included the queue wait, the wait
    /// estimates derived from it would grow without bound.
    pub fn finish(mut self) {
        if let Some(admitted_at) = self.admitted_at.take() {
            let now = self.clock.now();
            let service_time = now.saturating_duration_since(admitted_at);
            self.services
                .release(&self.service, Some(service_time), now);
        }
    }
}

impl<C, S> Drop for AdmissionPermit<C, S>
where
    C: Clock,
    S: ServicePool,
{
    fn drop(&mut self) {
        let now = self.clock.now();
        let decision = self.decision.take();
        if let Some(mut decision) = decision {
            match decision.try_recv() {
                // The request was admitted, but the decision was not received before the drop.
                Ok(Ok(())) => self.admitted_at = Some(now),
                Ok(Err(_)) => {}
                Err(_) => self.services.cancel(&self.service, self.ticket),
            }
        }
        if self.admitted_at.is_some() {
            self.services.release(&self.service, None, now);
        }
    }
}
