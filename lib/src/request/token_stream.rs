//! Reads a model's answer token by token and recovers it if the stream breaks.

use std::time::Instant;

use super::attempt::AttemptPlan;
use super::attempt::StreamStep;
use super::attempt::next_step;
use super::attempt::start_attempt;
use super::context::RequestContext;
use super::dispatch::AttemptTracker;
use super::dispatch::Dispatched;
use super::dispatch::RequestFailure;
use super::dispatch::dispatch;
use super::entry_context::EntryContext;
use super::entry_context::ServicePool;
use super::outcome::UnknownReason;
use super::route::ChosenTarget;
use super::route::FinishedAnswer;
use super::stream_recovery::StreamFailure;
use super::stream_recovery::StreamRecovery;
use super::stream_recovery::StreamRecoveryState;
use crate::clock::Clock;
use crate::ids::AttemptId;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::target::AnswerError;
use crate::target::ConnectionChoice;
use crate::target::TargetAnswer;
use crate::target::TargetClient;
use crate::units::TokenCount;

/// A model's answer while it is received, possibly from several targets in turn.
#[derive(Debug)]
pub struct TokenStream<A> {
    /// The attempt that is read; `None` after a failure that was not recovered.
    current: Option<Dispatched<A>>,
    tracker: AttemptTracker,
    recovery: StreamRecoveryState,
    next_index: u64,
    first_token_at: Option<Instant>,
}

/// The next part of a model's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamPart {
    /// A chunk with one token.
    Token {
        /// Position of the token in the answer, from 0.
        index: u64,
        /// Chunk as received from the target.
        data: String,
    },
    /// A chunk without a token.
    Note {
        /// Chunk as received from the target.
        data: String,
    },
    /// End of the complete answer.
    End,
}

impl<A> TokenStream<A>
where
    A: TargetAnswer,
{
    /// Sends the request and returns its answer once it has begun.
    pub async fn start<E>(
        state: &E,
        context: &RequestContext,
        mut tracker: AttemptTracker,
    ) -> Result<Self, RequestFailure>
    where
        E: EntryContext,
        E::Targets: TargetClient<Answer = A>,
    {
        let dispatched = dispatch(state, context, &mut tracker).await?;
        Ok(Self {
            current: Some(dispatched),
            recovery: StreamRecoveryState::new(tracker.state, true),
            tracker,
            next_index: 0,
            first_token_at: None,
        })
    }

    /// Returns the next part, or the failure of the request if the stream can't be recovered.
    pub async fn next<E>(
        &mut self,
        state: &E,
        context: &RequestContext,
    ) -> Result<StreamPart, RequestFailure>
    where
        E: EntryContext,
        E::Targets: TargetClient<Answer = A>,
    {
        loop {
            let silence_bound = context.silence_bound(state.clock().now());
            let Some(current) = self.current.as_mut() else {
                return Err(UnknownReason::ConnectionLost.into());
            };
            let step = next_step(&mut current.answer, self.next_index, silence_bound).await;
            let is_silent = step == StreamStep::Silent;
            let failure = match step {
                StreamStep::Token { data } => return Ok(self.on_token(state, context, data)),
                StreamStep::Note { data } => return Ok(StreamPart::Note { data }),
                StreamStep::End => return Ok(StreamPart::End),
                StreamStep::Silent => UnknownReason::ConnectionLost,
                StreamStep::Broken { source } => {
                    log::debug!(request:% = context.request.id; "stream broke: {source}");
                    unknown_reason(&source)
                }
            };
            if context.remaining(state.clock().now()).is_zero() {
                return Err(UnknownReason::DeadlinePassed.into());
            }
            let Some(broken) = self.current.take() else {
                return Err(failure.into());
            };
            let (attempt, target) = (broken.attempt.clone(), broken.target.clone());
            let recovered = self.recover(state, context, attempt, target, failure, is_silent);
            match recovered.await {
                Ok(next) => self.current = Some(next),
                // The target may go on: silence by itself ends no answer before its deadline.
                Err(_) if is_silent => self.current = Some(broken),
                Err(failure) => return Err(failure),
            }
        }
    }

    /// Resumes a broken or silent attempt or retries the request. Returns the answer to go on with,
    /// or the failure of the request.
    ///
    /// The attempt is reported to the router unless it is silent and not replaced.
    async fn recover<E>(
        &mut self,
        state: &E,
        context: &RequestContext,
        attempt: AttemptId,
        target: ChosenTarget,
        reason: UnknownReason,
        is_silent: bool,
    ) -> Result<Dispatched<A>, RequestFailure>
    where
        E: EntryContext,
        E::Targets: TargetClient<Answer = A>,
    {
        let failure = classify_failure(state, context, &target, reason).await;
        let now = state.clock().now();
        let service = &context.request.service;
        let recovery = &mut self.recovery;
        let decided = state
            .services()
            .with_retry_budget(service, |budget| recovery.on_failure(failure, budget, now));
        log::info!(
            request:% = context.request.id,
            target:% = target.choice.target,
            failure:% = failure,
            decision:? = decided;
            "stream recovery"
        );
        match decided {
            Some(StreamRecovery::Resume { .. }) => {
                let plan = AttemptPlan {
                    attempt,
                    target,
                    resume_from_tokens: self.next_index,
                    connection: ConnectionChoice::New,
                    head_timeout: context.silence_bound(now),
                    has_trusted_refusals: false,
                };
                let resumed = start_attempt(state, &context.request, &plan, || None).await;
                match resumed {
                    Ok(answer) => Ok(Dispatched {
                        attempt: plan.attempt,
                        target: plan.target,
                        answer,
                    }),
                    Err(failure) => {
                        if !is_silent {
                            super::dispatch::record_failure(state, context, &plan.target, &failure);
                        }
                        Err(UnknownReason::ConnectionLost.into())
                    }
                }
            }
            Some(StreamRecovery::Retry) => {
                let mut tracker = self.tracker.clone();
                tracker.prepare_retry(target.choice.target.clone(), true);
                let retried = dispatch(state, context, &mut tracker).await;
                if retried.is_ok() || !is_silent {
                    record_stream_failure(state, service, &target.choice.target, failure, now);
                    self.tracker = tracker;
                }
                retried
            }
            Some(StreamRecovery::EndBroken { .. }) | None => {
                if !is_silent {
                    record_stream_failure(state, service, &target.choice.target, failure, now);
                }
                Err(reason.into())
            }
        }
    }

    fn on_token<E>(&mut self, state: &E, context: &RequestContext, data: String) -> StreamPart
    where
        E: EntryContext,
    {
        if self.first_token_at.is_none() {
            let now = state.clock().now();
            self.first_token_at = Some(now);
            let wait = now.saturating_duration_since(context.received_at);
            let service = &context.request.service;
            state.observe_first_token(service, wait);
        }
        let index = self.next_index;
        self.next_index += 1;
        self.recovery.on_tokens(1);
        StreamPart::Token { index, data }
    }

    /// Reports the end of the answer to the router.
    ///
    /// An incomplete answer is cancelled at its target.
    pub async fn finish<E>(mut self, state: &E, context: &RequestContext, is_complete: bool)
    where
        E: EntryContext,
        E::Targets: TargetClient<Answer = A>,
    {
        let Some(current) = self.current.take() else {
            return;
        };
        let now = state.clock().now();
        let service = &context.request.service;
        let target = &current.target.choice.target;
        let finished = self.first_token_at.filter(|_| is_complete);
        let finished = finished.map(|first_token_at| FinishedAnswer {
            tokens: TokenCount(self.next_index),
            generation_time: now.saturating_duration_since(first_token_at),
        });
        state.services().on_finished(service, target, finished, now);
        if is_complete {
            state.count_attempt(service, "complete");
            let is_first_try = self.tracker.state.tries == 1;
            if is_first_try {
                state
                    .services()
                    .with_retry_budget(service, |budget| budget.on_success(now));
            }
            current.answer.keep_connection().await;
            return;
        }
        state.count_attempt(service, "broken");
        let (address, attempt) = (current.target.address, current.attempt.clone());
        drop(current);
        if let Err(error) = state.targets().cancel(address, attempt).await {
            log::debug!(
                request:% = context.request.id;
                "attempt not cancelled at its target: {error}"
            );
        }
    }
}

fn unknown_reason(source: &AnswerError) -> UnknownReason {
    match source {
        AnswerError::Broken { .. } => UnknownReason::ConnectionLost,
        AnswerError::MissingEndMarker | AnswerError::Malformed { .. } => {
            UnknownReason::IncompleteAnswer
        }
    }
}

/// Determines the cause of a failure by polling the target over a new connection.
///
/// Idle connections are dropped first, since they may be dead without an error.
async fn classify_failure<E>(
    state: &E,
    context: &RequestContext,
    target: &ChosenTarget,
    reason: UnknownReason,
) -> StreamFailure
where
    E: EntryContext,
{
    if reason == UnknownReason::WrongGeneration {
        return StreamFailure::WrongAnswer;
    }
    state.targets().drop_idle(target.address);
    let is_alive = state.targets().report(target.address).await.is_ok();
    let now = state.clock().now();
    if is_alive
        && state
            .services()
            .is_open(&context.request.service, target, now)
    {
        StreamFailure::ConnectionLost
    } else {
        StreamFailure::TargetLost
    }
}

/// Reports a broken stream to the router; a lost connection doesn't count against its target.
fn record_stream_failure<E>(
    state: &E,
    service: &ServiceId,
    target: &TargetId,
    failure: StreamFailure,
    now: Instant,
) where
    E: EntryContext,
{
    match failure {
        StreamFailure::ConnectionLost => state.services().on_finished(service, target, None, now),
        StreamFailure::TargetLost | StreamFailure::WrongAnswer => {
            state.services().on_failed(service, target, now);
        }
    }
}
