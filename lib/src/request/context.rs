//! A request that was accepted for its form, with what it keeps to its end.

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
    /// The request.
    pub request: CallerRequest,
    /// The version of the document.
    pub in_force: Arc<HeadVersion>,
    /// The service.
    pub service: Service,
    /// The caller's account.
    pub account: Account,
    /// When the request arrived.
    pub received_at: Instant,
    /// When its answer must be there.
    pub deadline_at: Instant,
    /// Whether running it twice does no harm.
    pub is_idempotent: bool,
    /// Whether another data centre relayed it here.
    pub was_relayed: bool,
}

impl RequestContext {
    /// Checks a request against the document.
    pub fn new(
        request: CallerRequest,
        in_force: Arc<HeadVersion>,
        received_at: Instant,
    ) -> Result<Self, CallerError> {
        let account = find_account(&request, &in_force)?;
        Self::with_account(request, account, in_force, received_at)
    }

    /// Checks a request that another data centre relayed for the account with `name`.
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

    /// Returns how a request ends that was not run and whose claim was not read.
    ///
    /// What came of earlier requests under its key is not known then. A caller that hears "not run"
    /// may do the work by other means, so the word is kept for a key that was never used.
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

    /// Returns the time left until the deadline.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline_at.saturating_duration_since(now)
    }

    /// Returns the time without a byte after which a target is taken for silent.
    pub fn silence_bound(&self, now: Instant) -> Duration {
        let remaining = self.remaining(now);
        match self.service.kind {
            ServiceKind::Model { .. } => {
                remaining.min(self.in_force.document.routing.silence_bound)
            }
            // A plain service sends nothing until its answer is there.
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
    // The classes are in order of urgency, so a smaller one is more urgent.
    if priority < highest {
        return Err(CallerError::PriorityNotAllowed { priority, highest });
    }
    Ok(())
}
