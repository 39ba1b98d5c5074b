//! The HTTP handler for callers: each request gets exactly one outcome.

use std::sync::Arc;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use prometheus::IntGauge;

use super::answer::BufferedAnswer;
use super::answer::broken_stream_event;
use super::answer::buffered_answer;
use super::answer::in_progress_answer;
use super::answer::outcome_answer;
use super::answer::refusal_answer;
use super::answer::stream_answer;
use super::buffered::run_buffered;
use super::caller::AnswerShape;
use super::caller::CallerError;
use super::caller::CallerHead;
use super::chat::end_event;
use super::chat::note_event;
use super::chat::token_event;
use super::context::RequestContext;
use super::dispatch::AttemptTracker;
use super::dispatch::RequestFailure;
use super::entry_context::EntryAnswer;
use super::entry_context::EntryContext;
use super::entry_context::ServicePool;
use super::fair_queue::QueueKey;
use super::keyed::KeyedOutcome;
use super::keyed::run_keyed;
use super::outcome::NotRunReason;
use super::outcome::Outcome;
use super::outcome::UnknownReason;
use super::permit::AdmissionPermit;
use super::relay::RelayOutcome;
use super::relay::answer_from_relay;
use super::relay::choose_relay_data_centre;
use super::relay::relay_request;
use super::token_stream::StreamPart;
use super::token_stream::TokenStream;
use crate::clock::Clock;
use crate::connection::body::BodySender;
use crate::connection::body::ResponseBody;
use crate::connection::body::read_body;
use crate::connection::body::streamed_body;
use crate::connection::relay::OutboundRequest;
use crate::connection::server::HttpHandler;
use crate::ids::IdempotencyKey;
use crate::ids::new_attempt_id;

/// The time after which a caller should retry if the entry has no document or service state yet.
const NOT_READY_RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);

/// The admission permit of a request at the entry `E`.
type EntryPermit<E> = AdmissionPermit<<E as EntryContext>::Clock, <E as EntryContext>::Services>;

/// Handles callers' HTTP requests at an entry.
#[derive(Debug)]
pub struct CallerHandler<E> {
    state: Arc<E>,
}

impl<E> CallerHandler<E> {
    /// Creates a handler; clones share `state`.
    pub fn new(state: Arc<E>) -> Self {
        Self { state }
    }
}

impl<E> Clone for CallerHandler<E> {
    fn clone(&self) -> Self {
        Self::new(Arc::clone(&self.state))
    }
}

impl<E> HttpHandler for CallerHandler<E>
where
    E: EntryContext,
{
    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        match self.accept(request).await {
            Ok(context) => self.answer(context).await,
            Err(refusal) => refusal,
        }
    }
}

impl<E> CallerHandler<E>
where
    E: EntryContext,
{
    /// Reads and checks a request, or returns the error answer for an invalid one.
    async fn accept(
        &self,
        request: Request<Incoming>,
    ) -> Result<RequestContext, Response<ResponseBody>> {
        let refuse = |error: CallerError| {
            self.state.count_refusal(error.status());
            refusal_answer(&error)
        };
        let received_at = self.state.clock().now();
        let (parts, body) = request.into_parts();
        let head = CallerHead::parse(&parts).map_err(refuse)?;
        let Some(in_force) = self.state.document_in_force() else {
            let outcome = Outcome::NotRun {
                reason: NotRunReason::NotReady,
                retry_after: NOT_READY_RETRY_AFTER,
            };
            return Err(outcome_answer(&head.id, &outcome));
        };
        let bounds = self.state.body_bounds();
        let body = read_body(body, bounds.limit.0 as usize, bounds.timeout).await;
        let body = body.map_err(|source| refuse(CallerError::Body { source }))?;
        let request = head.with_body(body).map_err(refuse)?;
        RequestContext::new(request, in_force, received_at).map_err(refuse)
    }

    /// Answers a request that another data centre relayed.
    pub(super) async fn answer_relayed(&self, relayed: OutboundRequest) -> Response<ResponseBody> {
        let received_at = self.state.clock().now();
        let Some(in_force) = self.state.document_in_force() else {
            let outcome = Outcome::NotRun {
                reason: NotRunReason::NotReady,
                retry_after: NOT_READY_RETRY_AFTER,
            };
            return outcome_answer(&relayed.request, &outcome);
        };
        let head = CallerHead::from_relay(&relayed);
        let request = head.with_body(relayed.body);
        let account = &relayed.account;
        let context = request.and_then(|request| {
            RequestContext::from_relay(request, account, in_force, received_at)
        });
        match context {
            Ok(context) => self.answer(context).await,
            Err(error) => refusal_answer(&error),
        }
    }

    /// Relays a request if another data centre is expected to answer sooner; `None` if the request
    /// is to be served here.
    async fn try_relay(&self, context: &RequestContext) -> Option<Response<ResponseBody>> {
        let data_centre = choose_relay_data_centre(self.state.as_ref(), context)?;
        match relay_request(self.state.as_ref(), context, &data_centre).await {
            RelayOutcome::Answered { head, answer } => {
                let service = &context.request.service;
                self.state.count_attempt(service, "relayed");
                Some(answer_from_relay(context, head, answer))
            }
            RelayOutcome::NotRun => None,
            RelayOutcome::Unknown => {
                let reason = UnknownReason::ConnectionLost;
                Some(self.finish_failed(context, reason.into()))
            }
        }
    }

    async fn answer(&self, context: RequestContext) -> Response<ResponseBody> {
        let in_flight = InFlightGuard::new(self.state.in_flight());
        if let Some(answer) = self.try_relay(&context).await {
            return answer;
        }
        let permit = match self.admit(&context).await {
            Ok(permit) => permit,
            Err(Outcome::NotRun {
                reason,
                retry_after,
            }) => {
                return self.finish_failed(
                    &context,
                    context.unclaimed_outcome(reason, retry_after).into(),
                );
            }
            Err(outcome) => return self.finish_failed(&context, outcome.into()),
        };
        if context.request.shape == AnswerShape::Stream && context.is_idempotent {
            return self.answer_stream(context, permit, in_flight).await;
        }
        match context
            .request
            .idempotency_key
            .clone()
            .filter(|_| !context.is_idempotent)
        {
            Some(key) => self.answer_keyed(context, key, permit).await,
            None => self.answer_buffered(context, permit).await,
        }
    }

    async fn answer_buffered(
        &self,
        context: RequestContext,
        permit: EntryPermit<E>,
    ) -> Response<ResponseBody> {
        let tracker = self.new_tracker(&context);
        match run_buffered(self.state.as_ref(), &context, tracker).await {
            Ok(answer) => self.finish_complete(&context, permit, answer),
            Err(failure) => self.finish_failed(&context, failure),
        }
    }

    async fn answer_keyed(
        &self,
        context: RequestContext,
        key: IdempotencyKey,
        permit: EntryPermit<E>,
    ) -> Response<ResponseBody> {
        let context = Arc::new(context);
        let id = &context.request.id;
        match run_keyed(&self.state, &context, key).await {
            KeyedOutcome::Answer(answer) if answer.status < 400 => {
                self.finish_complete(&context, permit, answer)
            }
            KeyedOutcome::Answer(answer) => {
                let status = answer.status;
                let outcome = Outcome::Failed { status };
                let answer = Some(answer);
                self.finish_failed(&context, RequestFailure { outcome, answer })
            }
            KeyedOutcome::Failed(failure) => self.finish_failed(&context, failure),
            KeyedOutcome::InProgress { retry_after } => in_progress_answer(id, retry_after),
            KeyedOutcome::KeyReused => {
                let error = CallerError::KeyReused;
                self.state.count_refusal(error.status());
                refusal_answer(&error)
            }
        }
    }

    fn finish_complete(
        &self,
        context: &RequestContext,
        permit: EntryPermit<E>,
        answer: BufferedAnswer,
    ) -> Response<ResponseBody> {
        permit.finish();
        self.record_outcome(context, &Outcome::Complete);
        buffered_answer(&context.request.id, &Outcome::Complete, answer)
    }

    /// Checks the account's rate limit and waits for a slot in the service's queue.
    async fn admit(&self, context: &RequestContext) -> Result<EntryPermit<E>, Outcome> {
        let state = &self.state;
        let now = state.clock().now();
        let priority = context.request.priority;
        let taken = state.take_rate_limit_token(&context.account.name, priority, now);
        taken.map_err(|retry_after| Outcome::NotRun {
            reason: NotRunReason::OverLimit,
            retry_after,
        })?;
        let key = QueueKey {
            account: context.account.name.clone(),
            weight: context.account.weight,
            priority,
            cost: 1.0,
        };
        let service = &context.request.service;
        let requested = state
            .services()
            .request_admission(service, key, context.deadline_at, now);
        let Some((ticket, decision)) = requested else {
            return Err(Outcome::NotRun {
                reason: NotRunReason::NoTarget,
                retry_after: NOT_READY_RETRY_AFTER,
            });
        };
        let clock = state.clock().clone();
        let services = state.services().clone();
        let mut permit = AdmissionPermit::new(clock, services, service.clone(), ticket, decision);
        permit.wait_until_admitted().await?;
        Ok(permit)
    }

    fn new_tracker(&self, context: &RequestContext) -> AttemptTracker {
        let expected_time = self
            .state
            .services()
            .expected_time(&context.request.service);
        AttemptTracker::new(context, new_attempt_id(), expected_time)
    }

    /// Runs a request whose answer is streamed to the caller token by token.
    async fn answer_stream(
        &self,
        context: RequestContext,
        permit: EntryPermit<E>,
        in_flight: InFlightGuard,
    ) -> Response<ResponseBody> {
        let tracker = self.new_tracker(&context);
        let mut stream = match TokenStream::start(self.state.as_ref(), &context, tracker).await {
            Ok(stream) => stream,
            Err(failure) => return self.finish_failed(&context, failure),
        };
        let first = match stream.next(self.state.as_ref(), &context).await {
            Ok(first) => first,
            Err(failure) => {
                stream.finish(self.state.as_ref(), &context, false).await;
                return self.finish_failed(&context, failure);
            }
        };
        let id = context.request.id.clone();
        let (sender, body) = streamed_body();
        let handler = self.clone();
        tokio::spawn(async move {
            handler
                .send_stream(context, stream, first, sender, permit)
                .await;
            drop(in_flight);
        });
        stream_answer(&id, body)
    }

    /// Records the outcome of a request without a result and returns its answer.
    fn finish_failed(
        &self,
        context: &RequestContext,
        failure: RequestFailure,
    ) -> Response<ResponseBody> {
        self.record_outcome(context, &failure.outcome);
        let id = &context.request.id;
        match failure.answer {
            Some(answer) => buffered_answer(id, &failure.outcome, answer),
            None => outcome_answer(id, &failure.outcome),
        }
    }

    /// Sends tokens to the caller until the answer is complete, the stream breaks or the caller
    /// disconnects.
    async fn send_stream(
        &self,
        context: RequestContext,
        mut stream: TokenStream<EntryAnswer<E>>,
        first: StreamPart,
        sender: BodySender,
        permit: EntryPermit<E>,
    ) {
        let mut part = Ok(first);
        let ended = loop {
            let event = match part {
                Ok(StreamPart::Token { index, data }) => token_event(index, &data),
                Ok(StreamPart::Note { data }) => note_event(&data),
                Ok(StreamPart::End) => break Ok(()),
                Err(failure) => break Err(Some(failure)),
            };
            if sender.send(event).await.is_err() {
                break Err(None);
            }
            part = tokio::select! {
                part = stream.next(self.state.as_ref(), &context) => part,
                () = sender.closed() => break Err(None),
            };
        };
        match ended {
            Ok(()) => {
                if sender.send(end_event()).await.is_ok() {
                    sender.finish();
                }
                permit.finish();
                stream.finish(self.state.as_ref(), &context, true).await;
                self.record_outcome(&context, &Outcome::Complete);
            }
            Err(None) => {
                log::debug!(
                    request:% = context.request.id;
                    "caller disconnected before the end of the stream"
                );
                stream.finish(self.state.as_ref(), &context, false).await;
            }
            Err(Some(failure)) => {
                // Sending fails only if the caller disconnected, so there is nobody to notify.
                let _ = sender.send(broken_stream_event(&failure.outcome)).await;
                drop(sender);
                stream.finish(self.state.as_ref(), &context, false).await;
                self.record_outcome(&context, &failure.outcome);
            }
        }
    }

    fn record_outcome(&self, context: &RequestContext, outcome: &Outcome) {
        let request = &context.request;
        self.state.count_outcome(&request.service, outcome);
        log::debug!(
            request:% = request.id, service:% = request.service, outcome:% = outcome;
            "request ended"
        );
    }
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
struct InFlightGuard(IntGauge);

impl InFlightGuard {
    fn new(gauge: &IntGauge) -> Self {
        gauge.inc();
        Self(gauge.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}
