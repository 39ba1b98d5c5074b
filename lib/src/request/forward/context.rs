//! What a forwarded request needs from the process that it runs in.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::plan::SendFailure;
use super::protocol::AnswerLoad;
use super::protocol::CallerProtocol;
use crate::ids::HostId;
use crate::ids::ServiceId;
use crate::ids::WeightsId;
use crate::version::routes::RouteDocument;

/// What a request asks of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetRequirements {
    /// The service.
    pub service: ServiceId,
    /// The weights, for services that run models.
    pub weights: Option<WeightsId>,
    /// The tokens of the prompt.
    pub prompt_tokens: u32,
    /// Targets that the request was sent to before.
    pub excluded: Vec<HostId>,
    /// The time within which the first answer is worth most.
    pub latency_target: Duration,
    /// The time that is left for the answer.
    pub time_left: Duration,
    /// Whether the request was not sent yet, nor a part of its answer received. One that was goes on
    /// as long as it can be answered at all.
    pub is_new: bool,
}

/// Why no target was found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoTarget {
    /// There is none that serves, for the time being.
    Absent,
    /// All are so busy that the answer would come late.
    Busy {
        /// When there will be room.
        retry_after: Duration,
        /// How long the request would wait for its turn at the one that was drawn.
        queue_wait: Duration,
        /// The targets that there were to choose from.
        candidates: usize,
    },
}

/// What a target was chosen by, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChoiceInfo {
    /// The targets that there were to choose from.
    pub candidates: usize,
    /// Those of them under suspicion.
    pub suspects: usize,
    /// The requests that were believed to run or wait at the chosen one.
    pub in_flight: f64,
    /// The age of the load that it told itself, if that was used.
    pub load_age: Option<Duration>,
}

/// A request's place at a target, given back when it is dropped.
pub trait TargetReservation: Send + Sync + 'static {
    /// Returns the target.
    fn host(&self) -> &HostId;

    /// Returns the target's address.
    fn address(&self) -> SocketAddr;

    /// Returns how long the first answer was expected to take when the target was chosen.
    fn expected_wait(&self) -> Duration;

    /// Returns what the target was chosen by.
    fn choice_info(&self) -> ChoiceInfo;

    /// Returns whether the target may still be sent new work.
    fn is_still_usable(&self) -> bool;

    /// Takes note that the target's answer has begun.
    fn on_first_answer(&mut self, load: Option<AnswerLoad>);

    /// Takes note of an event of the target's stream.
    fn on_progress(&mut self);

    /// Returns for how long none of this process's streams at the target has moved.
    fn time_since_own_progress(&self) -> Duration;

    /// Returns for how long no stream at the target has moved, of this process or of others that
    /// tell it of theirs; at most the time since this place was taken.
    fn time_since_progress(&self) -> Duration;

    /// Takes note of how the send ended; `None` is a whole answer.
    fn on_end(&mut self, end: Option<SendFailure>);
}

/// The process's side of forwarded requests.
pub trait ForwardContext: Clone + Send + Sync + 'static {
    /// The wire format of requests.
    type Protocol: CallerProtocol;
    /// A place at a target.
    type Reservation: TargetReservation;

    /// Returns the wire format.
    fn protocol(&self) -> &Self::Protocol;

    /// Returns the current time.
    fn now(&self) -> Instant;

    /// Returns the configuration in force, if there is one.
    fn document(&self) -> Option<Arc<RouteDocument>>;

    /// Returns whether callers are told to close their connections.
    fn is_draining(&self) -> bool;

    /// Counts a request of a service and returns whether its lines are logged.
    fn on_request(&self, service: &ServiceId, request_id: &str) -> bool;

    /// Takes note of the first event of a stream.
    fn on_first_event(&self, service: &ServiceId, waited: Duration);

    /// Takes a place at the best target.
    fn reserve_target(&self, need: &TargetRequirements) -> Result<Self::Reservation, NoTarget>;

    /// Waits until a target may have come or become free.
    fn targets_changed(&self) -> impl Future<Output = ()> + Send;

    /// Takes one further send out of a service's budget.
    fn try_spend_retry(&self, service: &ServiceId) -> bool;

    /// Counts how a request ended, for the metrics.
    fn on_outcome(&self, service: &ServiceId, outcome: &'static str, waited: Duration);
}
