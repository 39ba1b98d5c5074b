//! What a request asks of the process that serves it.
//!
//! The process implements these traits; the request's modules know it by nothing else, so they
//! can be embedded in another process and tested without one.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use prometheus::IntGauge;
use tokio::sync::oneshot;
use tokio_util::task::TaskTracker;

use super::admission::Ticket;
use super::admission_controller::AdmissionDecision;
use super::claim::store::ClaimStore;
use super::fair_queue::QueueKey;
use super::outcome::Outcome;
use super::retry::RetryBudget;
use super::route::ChosenTarget;
use super::route::FinishedAnswer;
use super::route::RouteError;
use super::route::TargetQuery;
use super::spill::NoSpillReason;
use super::spill::SpillQuery;
use crate::clock::Clock;
use crate::connection::relay::client::RelayConnection;
use crate::ids::AccountId;
use crate::ids::DataCentreId;
use crate::ids::EntryId;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::target::Targets;
use crate::units::ByteCount;
use crate::version::document::Priority;
use crate::version::head::HeadVersion;

/// The services of an entry as a request uses them: admission, the choice of a target, the retry
/// budget, and what other data centres tell of each.
///
/// Clones share one state.
pub trait ServicePool: Clone + Send + Sync + 'static {
    /// Asks for a place among the requests in flight; `None` without such a service.
    fn request_admission(
        &self,
        service: &ServiceId,
        key: QueueKey,
        deadline: Instant,
        now: Instant,
    ) -> Option<(Ticket, oneshot::Receiver<AdmissionDecision>)>;

    /// Gives a place back; `service_time` is there after a whole answer.
    fn release(&self, service: &ServiceId, service_time: Option<Duration>, now: Instant);

    /// Takes back a request for a place.
    fn cancel(&self, service: &ServiceId, ticket: Ticket);

    /// Chooses a target for an attempt and counts the attempt as sent.
    fn choose(
        &self,
        service: &ServiceId,
        query: TargetQuery<'_>,
        draw: u64,
        now: Instant,
    ) -> Result<ChosenTarget, RouteError>;

    /// Returns whether a chosen target may still be sent work.
    fn is_open(&self, service: &ServiceId, chosen: &ChosenTarget, now: Instant) -> bool;

    /// Takes in that an attempt ended.
    fn on_finished(
        &self,
        service: &ServiceId,
        target: &TargetId,
        answer: Option<FinishedAnswer>,
        now: Instant,
    );

    /// Takes in that an attempt failed through the target's fault.
    fn on_failed(&self, service: &ServiceId, target: &TargetId, now: Instant);

    /// Calls `spend` with the service's retry budget; `None` without such a service.
    fn with_retry_budget<F, R>(&self, service: &ServiceId, spend: F) -> Option<R>
    where
        F: FnOnce(&mut RetryBudget) -> R;

    /// Returns the time that a whole answer of the service takes as a rule.
    fn expected_time(&self, service: &ServiceId) -> Duration;

    /// Returns the wait of a new request here; `None` if no target can serve.
    fn own_wait(&self, service: &ServiceId, now: Instant) -> Option<Duration>;

    /// Chooses the data centre to relay a request to and counts it as relayed.
    fn choose_spill(
        &self,
        service: &ServiceId,
        query: SpillQuery,
        now: Instant,
    ) -> Result<DataCentreId, NoSpillReason>;

    /// Takes in that a data centre refused a request or was not reached.
    fn on_spill_refused(&self, service: &ServiceId, data_centre: &DataCentreId);
}

/// The bounds on the body of a caller's request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyBounds {
    /// The longest body.
    pub limit: ByteCount,
    /// The longest time that a body may take.
    pub timeout: Duration,
}

/// An entry as its requests see it.
pub trait EntryContext: Send + Sync + 'static {
    /// The clock.
    type Clock: Clock;
    /// The targets' interface.
    type Targets: Targets;
    /// The services.
    type Services: ServicePool;

    /// Returns the clock.
    fn clock(&self) -> &Self::Clock;

    /// Returns the targets' interface.
    fn targets(&self) -> &Self::Targets;

    /// Returns the services.
    fn services(&self) -> &Self::Services;

    /// Returns the version of the document in force, or `None` before the first one.
    fn document_in_force(&self) -> Option<Arc<HeadVersion>>;

    /// Returns the bounds on a request's body.
    fn body_bounds(&self) -> BodyBounds;

    /// Takes a request from its account's limit, or says when to come back.
    fn take_rate_limit_token(
        &self,
        account: &AccountId,
        priority: Priority,
        now: Instant,
    ) -> Result<(), Duration>;

    /// Returns the claims on non-idempotent work.
    fn claims(&self) -> &ClaimStore;

    /// Returns the non-idempotent work in flight, which goes on when its callers go away.
    fn keyed_work(&self) -> &TaskTracker;

    /// Returns a connection to some entry of `data_centre`, or `None` if none is reached.
    fn connect_relay(
        &self,
        data_centre: &DataCentreId,
        draw: u64,
    ) -> impl Future<Output = Option<(EntryId, RelayConnection)>> + Send;

    /// Forgets the connection to an entry, since it failed.
    fn forget_relay(&self, entry: &EntryId);

    /// Returns the gauge of the requests in flight.
    fn in_flight(&self) -> &IntGauge;

    /// Counts a request's outcome.
    fn count_outcome(&self, service: &ServiceId, outcome: &Outcome);

    /// Counts a request that was refused for its form.
    fn count_refusal(&self, status: u16);

    /// Counts an attempt at a target, by how it went.
    fn count_attempt(&self, service: &ServiceId, result: &str);

    /// Records the time to a request's first token.
    fn observe_first_token(&self, service: &ServiceId, wait: Duration);
}

/// The answers of an entry's targets.
pub type EntryAnswer<E> = <<E as EntryContext>::Targets as Targets>::Answer;
