//! A request that was checked against the document, with the data that it needs until it ends.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::caller::AnswerShape;
use super::caller::CallerError;
use super::caller::CallerRequest;
use super::outcome::NotRunReason;
use super::outcome::Outcome;
use crate::ids::AccountId;
use crate::version::document::Account;
use crate::version::document::Service;
use crate::version::document::ServiceKind;
use crate::version::head::HeadVersion;

/// A request with the version of the document that it started under.
#[derive(Clone, Debug)]
pub struct RequestContext {
    /// The parsed request.
    pub request: CallerRequest,
    /// The version that was in force when the request was read; later versions do not affect it.
    pub in_force: Arc<HeadVersion>,
    /// A copy of the requested service's section in the document.
    pub service: Service,
    /// The client account, by credential or as named by the relaying data centre.
    pub account: Account,
    /// The time at which the head of the request arrived.
    pub received_at: Instant,
    /// The time by which the caller needs the complete answer.
    pub deadline_at: Instant,
    /// Whether the operation may run twice without harm.
    pub is_idempotent: bool,
    /// Whether another data centre relayed the request to this one.
    pub was_relayed: bool,
}

impl RequestContext {
    /// Checks a request against the document: account, service, operation, priority and
    /// idempotency key.
    pub fn new(
        request: CallerRequest,
        in_force: Arc<HeadVersion>,
        received_at: Instant,
    ) -> Result<Self, CallerError> {
        let account = find_account(&request, &in_force)?;
        Self::with_account(request, account, in_force, received_at)
    }

    /// Checks a request that another data centre relayed for the account `name`.
    pub fn from_relay(
        request: CallerRequest,
        name: &AccountId,
        in_force: Arc<HeadVersion>,
        received_at: Instant,
    ) -> Result<Self, CallerError> {
        let account = in_force.document.accounts.get(name).cloned();
        let account = account.ok_or(CallerError::UnknownCredential)?;
        let context = Self::with_account(request, account, in_force, received_at)?;
        Ok(Self {
            was_relayed: true,
            ..context
        })
    }

    fn with_account(
        request: CallerRequest,
        account: Account,
        in_force: Arc<HeadVersion>,
        received_at: Instant,
    ) -> Result<Self, CallerError> {
        let service = find_service(&request, &in_force)?;
        check_priority(&request, &account)?;
        let is_idempotent = service.is_idempotent(&request.operation);
        if !is_idempotent && request.idempotency_key.is_none() {
            return Err(CallerError::NoIdempotencyKey);
        }
        let deadline = request.deadline.unwrap_or(service.default_deadline);
        Ok(Self {
            request,
            in_force,
            service,
            account,
            received_at,
            deadline_at: received_at + deadline,
            is_idempotent,
            was_relayed: false,
        })
    }

    /// Returns the outcome of a request that was not run and whose claim was not read.
    ///
    /// Whether an earlier request with the same key ran is then unknown. A caller that gets
    /// [`Outcome::NotRun`] may do the work by other means, so a non-idempotent request gets it only
    /// if the caller states that the key was never used.
    pub fn unclaimed_outcome(&self, reason: NotRunReason, retry_after: Duration) -> Outcome {
        if self.is_idempotent || self.request.is_first_try {
            return Outcome::NotRun {
                reason,
                retry_after,
            };
        }
        Outcome::KeyStateUnknown {
            reason,
            retry_after,
        }
    }

    /// Returns the time left until the deadline; zero after it.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline_at.saturating_duration_since(now)
    }

    /// Returns the time without a byte after which a target counts as unresponsive; at most the
    /// time left until the deadline.
    pub fn silence_bound(&self, now: Instant) -> Duration {
        let remaining = self.remaining(now);
        match self.service.kind {
            ServiceKind::Model { .. } => {
                remaining.min(self.in_force.document.routing.silence_bound)
            }
            // A plain service sends nothing until its answer is ready.
            ServiceKind::Plain => remaining,
        }
    }
}

fn find_account(request: &CallerRequest, in_force: &HeadVersion) -> Result<Account, CallerError> {
    let mut accounts = in_force.document.accounts.iter();
    let account = accounts.find(|account| account.credential_digest == request.credential_digest);
    account.cloned().ok_or(CallerError::UnknownCredential)
}

fn find_service(request: &CallerRequest, in_force: &HeadVersion) -> Result<Service, CallerError> {
    let name = request.service.clone();
    let service = in_force.document.services.get(&name);
    let Some(service) = service else {
        return Err(CallerError::UnknownService { service: name });
    };
    let is_plain = matches!(service.kind, ServiceKind::Plain);
    if is_plain != (request.shape == AnswerShape::Plain) {
        return Err(CallerError::WrongKind { service: name });
    }
    if is_plain && !service.operations.contains_key(&request.operation) {
        let operation = request.operation.clone();
        return Err(CallerError::UnknownOperation {
            service: name,
            operation,
        });
    }
    Ok(service.clone())
}

fn check_priority(request: &CallerRequest, account: &Account) -> Result<(), CallerError> {
    let (priority, highest) = (request.priority, account.highest_priority);
    // A lower value is a higher priority.
    if priority < highest {
        return Err(CallerError::PriorityNotAllowed { priority, highest });
    }
    Ok(())
}
