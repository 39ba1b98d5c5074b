//! Sends a request to a reserved target once.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::request;
use http::response;
use tokio::sync::Notify;

use super::answer_gate::AnswerUse;
use super::answer_gate::judge_answer;
use super::context::ForwardContext;
use super::context::TargetReservation;
use super::hop::add_hop;
use super::hop::take_handled_by;
use super::plan::AnswerTimeout;
use super::plan::SendFailure;
use super::protocol::AnswerHead;
use super::protocol::CallerProtocol as _;
use super::protocol::CallerRequest;
use super::protocol::HopFields;
use super::protocol::SendFields;
use super::sends::SendEnd;
use crate::connection::body::RequestBody;
use crate::connection::body::ResponseBody;
use crate::connection::body::full_body;
use crate::connection::client::ClientConnection;
use crate::connection::client::SendError;
use crate::connection::receive_limit::ReceivedBody;
use crate::ids::AccountId;
use crate::ids::EventId;
use crate::ids::ServiceId;
use crate::version::routes::Route;

/// The connect timeout: several round trips between data centres, but shorter than the delay before
/// a lost SYN packet is retransmitted.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The interval of checks whether a target that sends nothing is stalled.
pub(super) const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The shortest time without data that counts as silence.
pub(super) const SILENCE_MIN: Duration = STALL_CHECK_INTERVAL;

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

/// A request that is being forwarded.
#[derive(Debug)]
pub(super) struct ForwardedRequest<X> {
    pub(super) context: X,
    pub(super) head: request::Parts,
    pub(super) body: Bytes,
    pub(super) caller_request: CallerRequest,
    pub(super) route: Route,
    pub(super) service: ServiceId,
    pub(super) account: Option<AccountId>,
    pub(super) deadline: Instant,
    pub(super) started_at: Instant,
    pub(super) is_logged: bool,
}

/// A send whose target is reserved.
pub(super) struct PlannedSend<X>
where
    X: ForwardContext,
{
    pub(super) request: Arc<ForwardedRequest<X>>,
    pub(super) target: X::Reservation,
    /// The number of the send within the request, from 1.
    pub(super) number: u32,
    /// Whether the request may not be sent again after this send.
    pub(super) is_last: bool,
    /// Notified each time that the target has been silent for too long. The send goes on.
    pub(super) silence: Arc<Notify>,
}

/// A target's answer whose head has arrived.
pub(super) struct AnswerStart<X>
where
    X: ForwardContext,
{
    pub(super) send: PlannedSend<X>,
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
        self.deadline.saturating_duration_since(now)
    }

    pub(super) fn elapsed_ms(&self) -> u64 {
        let now = self.context.now();
        now.saturating_duration_since(self.started_at).as_millis() as u64
    }
}

impl<X> PlannedSend<X>
where
    X: ForwardContext,
{
    /// Sends the request once and returns the start of the answer.
    ///
    /// A target that exceeds `timeout` is reported as silent. The send ends only with the answer, a
    /// failure or the request's deadline.
    pub(super) async fn send(
        mut self,
        last_event: Option<EventId>,
        timeout: Option<AnswerTimeout>,
    ) -> Result<AnswerStart<X>, SendFailure> {
        let sent = self.exchange_heads(last_event, timeout).await;
        let (connection, mut head, body) = match sent {
            Ok(sent) => sent,
            Err(send_failure) => {
                self.target.on_end(Some(send_failure));
                return Err(send_failure);
            }
        };
        if self.target.passed_on_by().is_some()
            && let Some(version) = take_handled_by(&mut head.headers)
        {
            self.request.context.on_version_shown(version);
        }
        let answer = self.request.context.protocol().read_answer(&head);
        let checked = self.check_answer(&head, &answer);
        // A misdirected request may have reached another target, at an address that is used again. Any
        // other answer is the target's own, since the connection is new, even if it is discarded.
        if !answer.is_misdirected {
            self.target.on_stated_limit(answer.limit);
            if answer.is_leaving {
                self.target.on_leaving_stated();
            }
            if let Some(backoff) = answer.backoff {
                self.target.on_backoff_requested(backoff);
            }
        }
        if let Err(send_failure) = checked {
            self.target.on_end(Some(send_failure));
            return Err(send_failure);
        }
        self.target.on_first_answer(answer.load);
        Ok(AnswerStart {
            send: self,
            connection,
            head,
            answer,
            body,
        })
    }

    fn check_answer(&self, head: &response::Parts, answer: &AnswerHead) -> Result<(), SendFailure> {
        let request = &self.request;
        let answered_id = answer.request_id.as_ref();
        let is_of_other = answered_id.is_some_and(|id| *id != request.caller_request.request_id);
        // A refusal may come without an ID, but that of another request says nothing about this one.
        if answer.is_not_run && !is_of_other {
            log_request!(
                request, route = request.route.name.as_str(), target:% = self.target.host(),
                send = self.number, status = head.status.as_u16(),
                faulty_host:% = OrNone(answer.faulty_host.as_ref()),
                backoff_ms:% = OrNone(answer.backoff.map(|backoff| backoff.as_millis())),
                elapsed_ms = request.elapsed_ms();
                "refused by the target"
            );
            return Err(if answer.is_misdirected {
                SendFailure::NotServing
            } else {
                SendFailure::NotRun
            });
        }
        if answered_id.is_none() || is_of_other || answer.is_encoded {
            self.log("answer is not of this request", head.status.as_u16());
            return Err(SendFailure::Broken);
        }
        Ok(())
    }

    /// Decides what becomes of the target's answer.
    pub(super) fn judge_answer(&self, head: &response::Parts, answer: &AnswerHead) -> AnswerUse {
        judge_answer(self.request.route.kind, head.status, answer)
    }

    /// Ends the send with an answer that may not be returned.
    pub(super) fn discard_answer(&mut self, head: &response::Parts) -> SendFailure {
        self.log("answer is not signed", head.status.as_u16());
        self.target.on_end(Some(SendFailure::Broken));
        SendFailure::Broken
    }

    /// Ends the send with the target's whole answer, and decides what the caller gets of it.
    pub(super) fn end_with_answer(
        mut self,
        head: &response::Parts,
        answer: &AnswerHead,
        body: Bytes,
    ) -> SendEnd<Response<ResponseBody>> {
        let status = head.status.as_u16();
        let answer_use = self.judge_answer(head, answer);
        if answer_use == AnswerUse::Discard {
            return SendEnd::Failed(self.discard_answer(head));
        }
        let is_failure = answer_use != AnswerUse::Return;
        if head.status.is_success() {
            self.target.on_event();
        }
        self.target
            .on_end(is_failure.then_some(SendFailure::TargetFailed));
        if let AnswerUse::Replace(failure) = answer_use {
            self.log(
                "target refused without attesting that the request was not run",
                status,
            );
            return SendEnd::TargetFailed(Err(failure));
        }
        let mut response = Response::new(full_body(body));
        *response.status_mut() = head.status;
        let protocol = self.request.context.protocol();
        *response.headers_mut() = protocol.caller_headers(&head.headers);
        if is_failure {
            self.log("target answered with an error status", status);
            SendEnd::TargetFailed(Ok(response))
        } else {
            SendEnd::Answer(response)
        }
    }

    async fn exchange_heads(
        &mut self,
        last_event: Option<EventId>,
        timeout: Option<AnswerTimeout>,
    ) -> Result<(ClientConnection, response::Parts, ReceivedBody), SendFailure> {
        let connect_timeout = CONNECT_TIMEOUT.min(self.request.time_left());
        let opened = ClientConnection::open(self.target.address(), connect_timeout).await;
        let mut connection = opened.map_err(|error| {
            self.log_error(&error);
            SendFailure::NotSent
        })?;
        // The target may have become unusable while the connection was opened.
        if !self.target.is_still_usable() {
            return Err(SendFailure::NotSent);
        }
        let request = self.target_request(last_event);
        let response = self
            .wait_for_head(connection.send(request), timeout)
            .await?;
        let (head, body) = response.into_parts();
        Ok((connection, head, body))
    }

    async fn wait_for_head<F>(
        &mut self,
        sent: F,
        timeout: Option<AnswerTimeout>,
    ) -> Result<Response<ReceivedBody>, SendFailure>
    where
        F: Future<Output = Result<Response<ReceivedBody>, SendError>>,
    {
        let mut sent = std::pin::pin!(sent);
        let mut deadline = std::pin::pin!(tokio::time::sleep(self.request.time_left()));
        loop {
            tokio::select! {
                sent = &mut sent => return sent.map_err(|error| {
                    self.log_error(&error);
                    match error {
                        SendError::NotSent { .. } => SendFailure::NotSent,
                        SendError::MaybeSent { .. } => SendFailure::Broken,
                    }
                }),
                () = &mut deadline => {
                    self.log("no answer in time", 0);
                    return Err(SendFailure::Silent);
                }
                () = self.exceed_timeout(timeout) => self.on_silence(),
            }
        }
    }

    /// Reports that the target has been silent for too long.
    pub(super) fn on_silence(&mut self) {
        if self.target.on_silence() {
            self.log("target is silent", 0);
        }
        self.silence.notify_one();
    }

    /// Waits until the target exceeds the timeout for the start of its answer, counted from now.
    async fn exceed_timeout(&self, timeout: Option<AnswerTimeout>) {
        let Some(timeout) = timeout else {
            return std::future::pending().await;
        };
        let started_at = self.request.context.now();
        let mut waited = Duration::ZERO;
        loop {
            let next = if waited < timeout.if_stalled {
                timeout.if_stalled - waited
            } else {
                STALL_CHECK_INTERVAL.min(timeout.max.saturating_sub(waited))
            };
            // Callers repeat the wait, so it must not end at once, whatever the timeout is.
            tokio::time::sleep(next.max(SILENCE_MIN)).await;
            let now = self.request.context.now();
            waited = now.saturating_duration_since(started_at);
            if timeout.is_expired(waited, self.target.time_since_progress()) {
                return;
            }
        }
    }

    fn target_request(&self, last_event: Option<EventId>) -> Request<RequestBody> {
        let forwarded = &self.request;
        let protocol = forwarded.context.protocol();
        let time_left = forwarded.time_left();
        let headers = match self.target.passed_on_by() {
            Some(entry) => {
                let fields = HopFields {
                    time_left,
                    last_event,
                };
                let mut headers = protocol.hop_headers(&forwarded.head.headers, &fields);
                add_hop(&mut headers, entry, forwarded.context.required_version());
                headers
            }
            None => {
                let fields = SendFields {
                    target: self.target.host().clone(),
                    account: forwarded.account.clone(),
                    time_left,
                    last_event,
                    urgency: self.target.urgency(),
                };
                protocol.target_headers(&forwarded.head.headers, &fields)
            }
        };
        let mut request = Request::new(RequestBody::new(forwarded.body.clone()));
        *request.method_mut() = forwarded.head.method.clone();
        *request.uri_mut() = forwarded.head.uri.clone();
        *request.headers_mut() = headers;
        request
    }

    pub(super) fn log(&self, message: &str, status: u16) {
        let request = &self.request;
        log_request!(request, route = request.route.name.as_str(),
            target:% = self.target.host(), send = self.number, status = status,
            elapsed_ms = request.elapsed_ms(),
            time_left_ms = request.time_left().as_millis() as u64;
            "{message}"
        );
    }

    fn log_error(&self, error: &SendError) {
        let request = &self.request;
        log_request!(request, route = request.route.name.as_str(),
            target:% = self.target.host(), send = self.number,
            elapsed_ms = request.elapsed_ms();
            "send failed: {error}"
        );
    }
}
