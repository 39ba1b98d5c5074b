//! The interface between request handling and the process that serves requests.
//!
//! The process implements these traits. Request handling depends on nothing else of it, so it can
//! be embedded in another process and tested without one.

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
use crate::target::TargetClient;
use crate::units::ByteCount;
use crate::version::document::Priority;
use crate::version::head::HeadVersion;

/// The state of an entry's services that requests use: admission, choice of a target, retry budget
/// and the load that other data centres report.
///
/// Clones share one state.
pub trait ServicePool: Clone + Send + Sync + 'static {
    /// Asks for a slot among the requests in flight; `None` if the service is unknown.
    fn request_admission(
        &self,
        service: &ServiceId,
        key: QueueKey,
        deadline: Instant,
        now: Instant,
    ) -> Option<(Ticket, oneshot::Receiver<AdmissionDecision>)>;

    /// Releases a slot; `service_time` is `None` unless the answer was complete.
    fn release(&self, service: &ServiceId, service_time: Option<Duration>, now: Instant);

    /// Withdraws an undecided request for a slot.
    fn cancel(&self, service: &ServiceId, ticket: Ticket);

    /// Chooses a target for an attempt and counts the attempt as in flight there; `draw` is a
    /// random number.
    fn choose(
        &self,
        service: &ServiceId,
        query: TargetQuery<'_>,
        draw: u64,
        now: Instant,
    ) -> Result<ChosenTarget, RouteError>;

    /// Returns whether the gate of a chosen target is still open.
    fn is_open(&self, service: &ServiceId, chosen: &ChosenTarget, now: Instant) -> bool;

    /// Records that an attempt ended without a fault of the target; `answer` is `None` unless the
    /// answer was complete.
    fn on_finished(
        &self,
        service: &ServiceId,
        target: &TargetId,
        answer: Option<FinishedAnswer>,
        now: Instant,
    );

    /// Records that an attempt failed through a fault of the target, which counts towards its
    /// ejection.
    fn on_failed(&self, service: &ServiceId, target: &TargetId, now: Instant);

    /// Calls `spend` with the service's retry budget; `None` if the service is unknown.
    fn with_retry_budget<F, R>(&self, service: &ServiceId, spend: F) -> Option<R>
    where
        F: FnOnce(&mut RetryBudget) -> R;

    /// Returns the moving average of the time of a complete answer; zero if the service is unknown.
    fn expected_time(&self, service: &ServiceId) -> Duration;

    /// Returns the estimated queue wait of a new request at this entry; `None` if no target can
    /// serve.
    fn local_wait(&self, service: &ServiceId, now: Instant) -> Option<Duration>;

    /// Chooses the data centre to relay a request to and counts the request as relayed there.
    fn choose_spill(
        &self,
        service: &ServiceId,
        query: SpillQuery,
        now: Instant,
    ) -> Result<DataCentreId, NoSpillReason>;

    /// Records that a data centre refused a relayed request or was not reachable.
    fn on_spill_refused(&self, service: &ServiceId, data_centre: &DataCentreId);
}

/// The limits on the body of a caller's request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyBounds {
    /// The maximum length.
    pub limit: ByteCount,
    /// The maximum time until the body is complete.
    pub timeout: Duration,
}

/// The parts of an entry that request handling uses.
pub trait EntryContext: Send + Sync + 'static {
    /// The source of time for deadlines and limits.
    type Clock: Clock;
    /// The connections to targets.
    type Targets: TargetClient;
    /// The shared state of the services.
    type Services: ServicePool;

    /// Returns the clock that deadlines are measured with.
    fn clock(&self) -> &Self::Clock;

    /// Returns the interface that attempts are sent through.
    fn targets(&self) -> &Self::Targets;

    /// Returns the shared state of the services.
    fn services(&self) -> &Self::Services;

    /// Returns the version of the document in force, or `None` before the first one is known.
    fn document_in_force(&self) -> Option<Arc<HeadVersion>>;

    /// Returns the limits on a request's body, from the entry's settings.
    fn body_bounds(&self) -> BodyBounds;

    /// Takes one request from the rate limit of an account, or returns the time after which the
    /// caller should retry.
    fn take_rate_limit_token(
        &self,
        account: &AccountId,
        priority: Priority,
        now: Instant,
    ) -> Result<(), Duration>;

    /// Returns the store of claims on non-idempotent work.
    fn claims(&self) -> &ClaimStore;

    /// Returns the tracker of the tasks that run non-idempotent work, which continue when their
    /// callers disconnect.
    fn keyed_work(&self) -> &TaskTracker;

    /// Returns a connection to an entry of `data_centre`, or `None` if none is reachable; `draw` is
    /// a random number.
    fn connect_relay(
        &self,
        data_centre: &DataCentreId,
        draw: u64,
    ) -> impl Future<Output = Option<(EntryId, RelayConnection)>> + Send;

    /// Discards the connection to an entry after it failed.
    fn forget_relay(&self, entry: &EntryId);

    /// Returns the metric of the number of requests in flight.
    fn in_flight(&self) -> &IntGauge;

    /// Counts an outcome in the metrics.
    fn count_outcome(&self, service: &ServiceId, outcome: &Outcome);

    /// Counts an invalid request in the metrics, by HTTP status.
    fn count_refusal(&self, status: u16);

    /// Counts an attempt in the metrics; `result` is a label such as `complete` or
    /// [`AttemptFailure::label`](super::attempt::AttemptFailure::label).
    fn count_attempt(&self, service: &ServiceId, result: &str);

    /// Records the time to the first token of an answer in the metrics.
    fn observe_first_token(&self, service: &ServiceId, wait: Duration);
}

/// The type of the answers of an entry's targets.
pub type EntryAnswer<E> = <<E as EntryContext>::Targets as TargetClient>::Answer;
