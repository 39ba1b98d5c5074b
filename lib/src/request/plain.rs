//! Runs requests of plain services: buffers the complete answer and retries if allowed.

use std::time::Duration;

use super::answer::BufferedAnswer;
use super::attempt::AttemptFailure;
use super::attempt::read_plain;
use super::context::RequestContext;
use super::dispatch::AttemptTracker;
use super::dispatch::Dispatched;
use super::dispatch::RequestFailure;
use super::dispatch::allow_retry;
use super::dispatch::dispatch;
use super::dispatch::record_failure;
use super::entry_context::EntryContext;
use super::entry_context::ServicePool;
use super::outcome::UnknownReason;
use super::route::FinishedAnswer;
use crate::clock::Clock;
use crate::target::TargetAnswer;
use crate::units::TokenCount;

/// Runs a request of a plain service until its answer is complete or no retry is allowed.
pub async fn run_plain<E>(
    state: &E,
    context: &RequestContext,
    mut tracker: AttemptTracker,
) -> Result<BufferedAnswer, RequestFailure>
where
    E: EntryContext,
{
    loop {
        let dispatched = dispatch(state, context, &mut tracker).await?;
        let Dispatched { target, answer, .. } = dispatched;
        let failure = match read_before_deadline(state, context, answer).await {
            Ok(complete) => {
                let now = state.clock().now();
                let service = &context.request.service;
                let target = &target.choice.target;
                let finished = FinishedAnswer {
                    tokens: TokenCount(0),
                    generation_time: Duration::ZERO,
                };
                state
                    .services()
                    .on_finished(service, target, Some(finished), now);
                if tracker.state.tries == 1 {
                    state
                        .services()
                        .with_retry_budget(service, |budget| budget.on_success(now));
                }
                state.count_attempt(service, "complete");
                return Ok(complete);
            }
            Err(failure) => failure,
        };
        record_failure(state, context, &target, &failure);
        if let Err(reason) = allow_retry(state, context, &tracker, &failure) {
            log::debug!(request:% = context.request.id; "no further try: {reason}");
            return Err(failure.into());
        }
        tracker.prepare_retry(target.choice.target, true);
    }
}

async fn read_before_deadline<A, E>(
    state: &E,
    context: &RequestContext,
    answer: A,
) -> Result<BufferedAnswer, AttemptFailure>
where
    A: TargetAnswer,
    E: EntryContext,
{
    let remaining = context.remaining(state.clock().now());
    let read = tokio::time::timeout(remaining, read_plain(answer)).await;
    read.unwrap_or(Err(AttemptFailure::Unknown {
        reason: UnknownReason::DeadlinePassed,
    }))
}
