//! The interface between forwarded requests and the process that they run in.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;

use super::plan::SendFailure;
use super::protocol::AnswerLoad;
use super::protocol::CallerProtocol;
use super::protocol::StatedLimit;
use crate::connection::body_budget::BodyBudget;
use crate::connection::body_memory::BodyMemory;
use crate::ids::AccountId;
use crate::ids::DocumentVersion;
use crate::ids::EntryId;
use crate::ids::HostId;
use crate::ids::RequestFeature;
use crate::ids::Revision;
use crate::ids::ServiceId;
use crate::ids::WeightsId;
use crate::platform::feed::RecordSource;
use crate::request::overload::admission::WaitLimit;
use crate::request::overload::returns::Promise;
use crate::request::overload::urgency::Urgency;
use crate::units::RequestRate;
use crate::version::routes::RouteDocument;

/// What a request requires of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetRequirements {
    /// The service that the target must serve.
    pub service: ServiceId,
    /// The version of the configuration by which the request was accepted.
    pub version: DocumentVersion,
    /// The weights that the target must have loaded; `None` for services without models.
    pub weights: Option<WeightsId>,
    /// The length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Targets not to be chosen, because an earlier send or connection of the request failed there.
    pub excluded: Vec<HostId>,
    /// The route's latency target: the time from arrival to the response or, for a stream, to its
    /// first event.
    pub latency_target: Duration,
    /// The time that remains until the request's deadline.
    pub time_left: Duration,
    /// Whether the request was not sent yet and its caller has no part of the answer. A new request
    /// may wait in a queue for a limited time, see [`WaitLimit`], any other one for all of
    /// `time_left`.
    pub is_new: bool,
    /// The priority of the account or, if it has none, of the route; 0 is the highest.
    pub priority: u8,
    /// The caller's account, or `None` if the request needs no API key.
    pub account: Option<AccountId>,
    /// The route's limit on the time until the response.
    pub route_timeout: Duration,
    /// The time that the caller allowed when the request arrived, at most `route_timeout`.
    pub caller_timeout: Duration,
    /// What the request may have in common with others that crash targets: the parts of its prompt
    /// that others may share, and its content.
    pub features: Vec<RequestFeature>,
}

/// Why a request was refused before or while its body was read.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum BodyRefusal {
    /// The budget for bodies is used up.
    #[display("budget")]
    Budget,
    /// The body stopped, or came too slowly.
    #[display("slow")]
    Slow,
    /// The body is longer than the limit.
    #[display("too_long")]
    TooLong,
    /// The connection broke before the end of the body.
    #[display("broken")]
    Broken,
}

/// A quarantine that a request is under.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ActiveQuarantine {
    /// The quarantined feature of the request.
    pub feature: RequestFeature,
    /// The time until the end of the quarantine.
    pub time_left: Duration,
}

/// Why no target could be reserved.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NoTarget {
    /// A feature of the request crashes targets, so the request is not sent to any.
    Quarantined(ActiveQuarantine),
    /// No target that meets the requirements is serving at present.
    Absent,
    /// All targets that are listed leave, so none takes new requests until others are listed.
    Leaving {
        /// The number of targets that leave.
        targets: usize,
    },
    /// All targets that are listed are in data centres that the operator has evacuated.
    Evacuated {
        /// The number of these targets.
        targets: usize,
    },
    /// Another entry has handled a request of this process by a newer configuration than this request
    /// was accepted by.
    Outdated,
    /// The targets that meet the requirements take no more requests for now, by the limits that
    /// they name or the backoff that they request.
    Limited {
        /// The time until this process may send a request to one of them.
        available_in: Duration,
        /// How long the caller should wait before a retry.
        retry_after: Duration,
        /// The number of targets considered.
        candidates: usize,
        /// The number of those that are backed off.
        backed_off: usize,
    },
    /// The expected queue wait is too long, and no target has enough free slots.
    Busy {
        /// The time until the request would be admitted, if no other one came.
        room_in: Duration,
        /// The expected queue wait at the target that was drawn.
        queue_wait: Duration,
        /// The longest wait with which the request would have been admitted.
        limit: WaitLimit,
        /// The number of targets considered.
        candidates: usize,
    },
}

/// The data behind the choice of a target, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChoiceInfo {
    /// The number of targets considered.
    pub candidates: usize,
    /// The number of those that are suspected.
    pub suspects: usize,
    /// The estimated number of requests running or queued at the chosen target.
    pub in_flight: f64,
    /// The age of the target's last load report, or `None` without a recent one.
    pub load_age: Option<Duration>,
    /// The limit on the rate of requests that the chosen target names, if it is known.
    pub limit: Option<RequestRate>,
    /// The time since the platform confirmed the records of targets by which the target was chosen.
    pub records_age: Option<Duration>,
}

/// A request's reserved slot at a target; dropping it releases the slot.
pub trait TargetReservation: Send + Sync + 'static {
    /// Returns the reserved target.
    fn host(&self) -> &HostId;

    /// Returns the address to connect to.
    fn address(&self) -> SocketAddr;

    /// Returns the name of this entry if the request is passed on to another entry, which sends it
    /// to a target; `None` if it goes to the target itself.
    fn passed_on_by(&self) -> Option<&EntryId>;

    /// Returns the time to the first answer that was expected when the target was chosen.
    fn expected_wait(&self) -> Duration;

    /// Returns the urgency that the target is told; `None` if it is told none.
    fn urgency(&self) -> Option<Urgency>;

    /// Returns the data behind the choice of this target.
    fn choice_info(&self) -> ChoiceInfo;

    /// Returns whether new requests may still be sent to the target.
    fn is_still_usable(&self) -> bool;

    /// Records what an answer of the target, which may be a refusal, says about its limit.
    fn on_stated_limit(&mut self, limit: StatedLimit);

    /// Records that the target says in an answer, which may be a refusal, that it leaves.
    fn on_leaving_stated(&mut self);

    /// Records that the target wants no more requests from this entry for a time, by an answer that
    /// may be a refusal.
    fn on_backoff_requested(&mut self, backoff: Duration);

    /// Records that the head of the answer arrived, with the load that it reports.
    fn on_first_answer(&mut self, load: Option<AnswerLoad>);

    /// Records that data of the answer's stream arrived.
    fn on_progress(&mut self);

    /// Records that a complete event of a stream, or a complete successful answer, arrived.
    fn on_event(&mut self);

    /// Returns the time since the last progress of any of this process's streams at the target; at
    /// most the time since the reservation.
    fn time_since_own_progress(&self) -> Duration;

    /// Returns the time since the last progress of any stream at the target, including those that
    /// other processes report; at most the time since the reservation.
    fn time_since_progress(&self) -> Duration;

    /// Records that the target has been silent for too long, so that others are preferred. Returns
    /// false if that is already recorded and no data has arrived since.
    fn on_silence(&mut self) -> bool;

    /// Records how the send ended; `None` means with a complete answer.
    fn on_end(&mut self, end: Option<SendFailure>);
}

/// What forwarded requests need from the process: clock, configuration, targets, retry budgets and
/// metrics.
pub trait ForwardContext: Clone + Send + Sync + 'static {
    /// The wire format of requests and answers.
    type Protocol: CallerProtocol;
    /// A reserved slot at a target.
    type Reservation: TargetReservation;

    /// Returns the wire format of requests and answers.
    fn protocol(&self) -> &Self::Protocol;

    /// Returns the current time of the process's clock.
    fn now(&self) -> Instant;

    /// Returns the configuration in force, or `None` before the first one is loaded.
    fn document(&self) -> Option<Arc<RouteDocument>>;

    /// Returns the time since the platform confirmed that the configuration is the latest; `None`
    /// if it has not done so yet.
    fn document_age(&self) -> Option<Duration>;

    /// Returns whether the platform confirmed the configuration within the time in which a change must
    /// be in force, and this process has not shown a newer one. Otherwise a route or a key that the
    /// configuration lacks may exist.
    fn is_document_current(&self) -> bool;

    /// Returns the oldest version of the configuration by which other entries may handle requests of this
    /// process: it has shown no newer one. `None` if any will do.
    fn required_version(&self) -> Option<DocumentVersion>;

    /// Records that another entry has handled a request of this process by `version`.
    fn on_version_shown(&self, version: DocumentVersion);

    /// Returns where the configuration was read last; `None` before the first read.
    fn document_source(&self) -> Option<RecordSource>;

    /// Returns the revision up to which the records of the operator have been read; `None` before the first
    /// read.
    fn document_revision(&self) -> Option<Revision>;

    /// Returns whether the process is shutting down; answers then ask callers to close connections.
    fn is_draining(&self) -> bool;

    /// Returns whether the requests were passed on by another entry, which decides on further sends.
    /// They are sent once, and are not passed on again.
    fn is_behind_hop(&self) -> bool;

    /// Waits until the time for requests in flight is over at the end of a shutdown.
    fn stop_limit_reached(&self) -> impl Future<Output = ()> + Send;

    /// Returns the process's limit on the memory of answers that are read completely.
    fn body_memory(&self) -> &BodyMemory;

    /// Returns the process's budget for the bodies of requests.
    fn body_budget(&self) -> &BodyBudget;

    /// Counts a request that was refused before or while its body was read. Returns whether that is
    /// logged, see [`LogSampler`](super::sampling::LogSampler).
    fn on_body_refusal(&self, reason: BodyRefusal, request_id: &str) -> bool;

    /// Returns the quarantine for which a request with these features, and maybe others, is refused now;
    /// `None` if it may be sent.
    fn refusing_quarantine(
        &self,
        service: &ServiceId,
        features: &[RequestFeature],
    ) -> Option<ActiveQuarantine>;

    /// Counts a request for the service's retry budget and for the sampling of log lines. Returns
    /// whether its lines are written, see [`LogSampler`](super::sampling::LogSampler).
    fn on_request(&self, service: &ServiceId, request_id: &str) -> bool;

    /// Counts the work that a request brings, whether it is admitted or refused. `priority` is that of
    /// the account or else of the route; 0 is the most urgent.
    fn on_work(&self, requirements: &TargetRequirements, priority: u8);

    /// Records the time from a request's arrival to the first event of its stream.
    fn on_first_event(&self, service: &ServiceId, waited: Duration);

    /// Chooses a target and reserves a slot there.
    fn reserve_target(
        &self,
        requirements: &TargetRequirements,
    ) -> Result<Self::Reservation, NoTarget>;

    /// Waits until the serving targets may have changed.
    fn targets_changed(&self) -> impl Future<Output = ()> + Send;

    /// Takes one retry from the service's retry budget; returns false if the budget is exhausted.
    fn try_spend_retry(&self, service: &ServiceId) -> bool;

    /// Returns how long the caller of a request that was refused should wait before a retry, if no
    /// target that meets the requirements takes requests now, whether the request was sent there or
    /// not; otherwise `None`.
    fn retry_after(&self, requirements: &TargetRequirements) -> Option<Duration>;

    /// Returns when the caller of a refused request should return, at the earliest after `not_before`.
    /// Room is kept for it then if it can wait so long.
    fn promise_return(&self, requirements: &TargetRequirements, not_before: Duration) -> Promise;

    /// Returns the quarantine of one of these features, or `None` if a request with them may be sent.
    fn quarantine(&self, features: &[RequestFeature]) -> Option<ActiveQuarantine>;

    /// Counts a request in the metrics, with `outcome` as label and the time since its arrival.
    fn on_outcome(&self, service: &ServiceId, outcome: &'static str, waited: Duration);
}
