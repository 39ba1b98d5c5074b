//! Reserves a target for a request and sends the request there once.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::request;
use http::response;

use super::context::ForwardContext;
use super::context::NoTarget;
use super::context::TargetRequirements;
use super::context::TargetReservation;
use super::plan::AnswerTimeout;
use super::plan::SendFailure;
use super::plan::SendPlan;
use super::protocol::AnswerHead;
use super::protocol::CallerProtocol as _;
use super::protocol::CallerRequest;
use super::protocol::Failure;
use super::protocol::SendFields;
use crate::connection::body::RequestBody;
use crate::connection::client::ClientConnection;
use crate::connection::client::SendError;
use crate::connection::receive_limit::ReceivedBody;
use crate::ids::AccountId;
use crate::ids::ServiceId;
use crate::request::outcome::NotRunReason;
use crate::version::routes::Route;

/// The connect timeout: several round trips between data centres, but shorter than the delay before
/// a lost SYN packet is retransmitted.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The interval of checks whether a target that sends nothing is stalled.
pub(super) const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The divisor of the latency target that gives the maximum wait for a target to become available.
const TARGET_WAIT_DIVISOR: u32 = 9;

/// Logs a line about a request if the request is sampled for logging.
macro_rules! log_request {
    ($request:expr, $($line:tt)+) => {
        if $request.is_logged {
            log::info!(request = $request.caller_request.request_id.as_str(), $($line)+);
        }
    };
}
pub(super) use log_request;

/// Displays an optional value in a log line, or "none".
pub(super) struct OrNone<T>(pub(super) Option<T>);

impl<T> std::fmt::Display for OrNone<T>
where
    T: std::fmt::Display,
{
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.0 {
            Some(value) => value.fmt(formatter),
            None => formatter.write_str("none"),
        }
    }
}

/// A request that is being forwarded, with the state of its sends.
#[derive(Debug)]
pub(super) struct ForwardedRequest<X> {
    pub(super) context: X,
    pub(super) head: request::Parts,
    pub(super) body: Bytes,
    pub(super) caller_request: CallerRequest,
    pub(super) route: Route,
    pub(super) service: ServiceId,
    pub(super) account: Option<AccountId>,
    pub(super) plan: SendPlan,
    pub(super) requirements: TargetRequirements,
    pub(super) started_at: std::time::Instant,
    pub(super) is_logged: bool,
}

/// A target's answer whose head has arrived.
#[derive(Debug)]
pub(super) struct AnswerStart<U> {
    pub(super) target: U,
    /// Kept while the body is read; dropping it closes the connection, so that the target can stop.
    pub(super) connection: ClientConnection,
    pub(super) head: response::Parts,
    pub(super) answer: AnswerHead,
    pub(super) body: ReceivedBody,
}

impl<X> ForwardedRequest<X>
where
    X: ForwardContext,
{
    /// Returns the time until the request's deadline.
    pub(super) fn time_left(&self) -> Duration {
        let now = self.context.now();
        self.plan.deadline().saturating_duration_since(now)
    }

    /// Reserves a target; if none serves such requests, waits for one for a short time.
    pub(super) async fn reserve_target(&mut self) -> Result<X::Reservation, Failure> {
        let wait_max = self.requirements.latency_target / TARGET_WAIT_DIVISOR;
        let wait_until = tokio::time::Instant::now() + wait_max;
        loop {
            self.requirements.time_left = self.time_left();
            self.requirements.is_new &= self.plan.sends() == 0;
            let changed = self.context.targets_changed();
            let no_target = match self.context.reserve_target(&self.requirements) {
                Ok(target) => {
                    self.log_choice(&target);
                    return Ok(target);
                }
                Err(no_target) => no_target,
            };
            match no_target {
                NoTarget::Busy {
                    retry_after,
                    queue_wait,
                    candidates,
                } => {
                    log_request!(
                        self, route = self.route.name.as_str(), service:% = self.service,
                        weights:% = OrNone(self.requirements.weights.as_ref()),
                        options = candidates,
                        turn_wait_ms = queue_wait.as_millis() as u64,
                        room_in_ms = retry_after.as_millis() as u64,
                        is_new = self.requirements.is_new;
                        "request is not sent: the queue is too long and no target is free"
                    );
                    let reason = NotRunReason::Overloaded;
                    return Err(with_retry_after(self.plan.failure(reason), retry_after));
                }
                NoTarget::Absent => {
                    let waited = tokio::time::timeout_at(wait_until, changed).await;
                    if waited.is_err() {
                        return Err(self.plan.failure(NotRunReason::NoTarget));
                    }
                }
            }
        }
    }

    fn log_choice(&self, target: &X::Reservation) {
        let choice = target.choice_info();
        let version = self.context.document().map(|document| document.version.0);
        log_request!(
            self, route = self.route.name.as_str(), service:% = self.service,
            weights:% = OrNone(self.requirements.weights.as_ref()),
            account:% = OrNone(self.account.as_ref()),
            target:% = target.host(), options = choice.candidates, suspects = choice.suspects,
            in_flight = choice.in_flight,
            load_age_ms:% = OrNone(choice.load_age.map(|age| age.as_millis())),
            expected_ms = target.expected_wait().as_millis() as u64,
            excluded = self.requirements.excluded.len(), version:% = OrNone(version),
            time_left_ms = self.time_left().as_millis() as u64;
            "target is chosen"
        );
    }

    /// Sends the request once and returns the start of the answer.
    pub(super) async fn send_once(
        &mut self,
        mut target: X::Reservation,
        last_event: Option<u64>,
        timeout: AnswerTimeout,
    ) -> Result<AnswerStart<X::Reservation>, SendFailure> {
        self.plan.on_send();
        let sent = self.exchange_heads(&target, last_event, timeout).await;
        match sent {
            Ok((connection, head, body)) => {
                let answer = self.context.protocol().read_answer(&head);
                if answer.is_not_run {
                    let send_failure = if answer.is_misdirected {
                        SendFailure::NotServing
                    } else {
                        SendFailure::NotRun
                    };
                    target.on_end(Some(send_failure));
                    log_request!(
                        self, route = self.route.name.as_str(), target:% = target.host(),
                        send = self.plan.sends(), status = head.status.as_u16(),
                        faulty_host:% = OrNone(answer.faulty_host.as_ref()),
                        elapsed_ms = self.elapsed_ms();
                        "refused by the target"
                    );
                    return Err(send_failure);
                }
                let is_matching =
                    answer.request_id.as_ref() == Some(&self.caller_request.request_id);
                if !is_matching || answer.is_encoded {
                    target.on_end(Some(SendFailure::Broken));
                    self.log_send(
                        &target,
                        "answer is not of this request",
                        head.status.as_u16(),
                    );
                    return Err(SendFailure::Broken);
                }
                target.on_first_answer(answer.load);
                Ok(AnswerStart {
                    target,
                    connection,
                    head,
                    answer,
                    body,
                })
            }
            Err(send_failure) => {
                target.on_end(Some(send_failure));
                Err(send_failure)
            }
        }
    }

    async fn exchange_heads(
        &self,
        target: &X::Reservation,
        last_event: Option<u64>,
        timeout: AnswerTimeout,
    ) -> Result<(ClientConnection, response::Parts, ReceivedBody), SendFailure> {
        let connect_timeout = CONNECT_TIMEOUT.min(self.time_left());
        let opened = ClientConnection::open(target.address(), connect_timeout).await;
        let mut connection = opened.map_err(|error| {
            self.log_error(target, &error);
            SendFailure::NotSent
        })?;
        // The target may have become unusable while the connection was opened.
        if !target.is_still_usable() {
            return Err(SendFailure::NotSent);
        }
        let request = self.target_request(target, last_event);
        let sent = tokio::select! {
            sent = connection.send(request) => sent,
            () = self.answer_timeout(target, timeout) => {
                self.log_send(target, "no answer in time", 0);
                return Err(SendFailure::Silent);
            }
        };
        let response = sent.map_err(|error| {
            self.log_error(target, &error);
            match error {
                SendError::NotSent { .. } => SendFailure::NotSent,
                SendError::MaybeSent { .. } => SendFailure::Broken,
            }
        })?;
        let (head, body) = response.into_parts();
        Ok((connection, head, body))
    }

    /// Waits until the timeout for the start of the target's answer expires.
    async fn answer_timeout(&self, target: &X::Reservation, timeout: AnswerTimeout) {
        let started_at = self.context.now();
        loop {
            let waited = self.context.now().saturating_duration_since(started_at);
            if timeout.is_expired(waited, target.time_since_progress()) {
                return;
            }
            let next = if waited < timeout.if_stalled {
                timeout.if_stalled - waited
            } else {
                STALL_CHECK_INTERVAL.min(timeout.max.saturating_sub(waited))
            };
            tokio::time::sleep(next).await;
        }
    }

    fn target_request(
        &self,
        target: &X::Reservation,
        last_event: Option<u64>,
    ) -> Request<RequestBody> {
        let fields = SendFields {
            target: target.host().clone(),
            account: self.account.clone(),
            time_left: self.time_left(),
            last_event,
        };
        let protocol = self.context.protocol();
        let mut request = Request::new(RequestBody::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = protocol.target_headers(&self.head.headers, &fields);
        request
    }

    pub(super) fn log_send(&self, target: &X::Reservation, message: &str, status: u16) {
        log_request!(self, route = self.route.name.as_str(),
            target:% = target.host(), send = self.plan.sends(), status = status,
            elapsed_ms = self.elapsed_ms(), time_left_ms = self.time_left().as_millis() as u64;
            "{message}"
        );
    }

    fn log_error(&self, target: &X::Reservation, error: &SendError) {
        log_request!(self, route = self.route.name.as_str(),
            target:% = target.host(), send = self.plan.sends(), elapsed_ms = self.elapsed_ms();
            "send failed: {error}"
        );
    }

    pub(super) fn elapsed_ms(&self) -> u64 {
        let now = self.context.now();
        now.saturating_duration_since(self.started_at).as_millis() as u64
    }

    /// Excludes a target from the further sends of the request.
    pub(super) fn exclude(&mut self, target: &crate::ids::HostId) {
        if !self.requirements.excluded.contains(target) {
            self.requirements.excluded.push(target.clone());
        }
    }

    /// Decides what to do after a failed send.
    pub(super) fn next_step(&mut self, send_failure: SendFailure) -> super::plan::NextStep {
        let now = self.context.now();
        let context = self.context.clone();
        let service = self.service.clone();
        self.plan
            .on_send_failure(send_failure, now, || context.try_spend_retry(&service))
    }
}

fn with_retry_after(failure: Failure, retry_after: Duration) -> Failure {
    match failure {
        Failure::NotRun { reason, .. } => Failure::NotRun {
            reason,
            retry_after,
        },
        other => other,
    }
}
