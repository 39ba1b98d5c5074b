//! The place of one request among those that its service has in flight.

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

/// When a caller should come back whose service was taken out of the document meanwhile.
const SERVICE_GONE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A request's place; dropping it gives the place to the next one.
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
    verdict: Option<oneshot::Receiver<AdmissionDecision>>,
    admitted_at: Option<Instant>,
}

impl<C, S> AdmissionPermit<C, S>
where
    C: Clock,
    S: ServicePool,
{
    /// Asks for a place; [`AdmissionPermit::admitted`] waits for it.
    pub fn new(
        clock: C,
        services: S,
        service: ServiceId,
        ticket: Ticket,
        verdict: oneshot::Receiver<AdmissionDecision>,
    ) -> Self {
        Self {
            clock,
            services,
            service,
            ticket,
            verdict: Some(verdict),
            admitted_at: None,
        }
    }

    /// Waits until the request may be sent, or returns the outcome that it ends in.
    pub async fn admitted(&mut self) -> Result<(), Outcome> {
        let Some(verdict) = self.verdict.as_mut() else {
            return Ok(());
        };
        let verdict = verdict.await;
        self.verdict = None;
        let gone = Outcome::NotRun {
            reason: NotRunReason::NoTarget,
            retry_after: SERVICE_GONE_RETRY_AFTER,
        };
        let verdict = verdict.unwrap_or(Err(gone));
        if verdict.is_ok() {
            self.admitted_at = Some(self.clock.now());
        }
        verdict
    }

    /// Gives the place back after a whole answer.
    ///
    /// The time since the admission counts as the service time: the wait before it would make
    /// the next estimates of the wait longer without end.
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
        let verdict = self.verdict.take();
        if let Some(mut verdict) = verdict {
            match verdict.try_recv() {
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
