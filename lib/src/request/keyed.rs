//! Non-idempotent requests: the work is claimed before it is sent, and its result is recorded.

use std::sync::Arc;
use std::time::Duration;

use super::answer::BufferedAnswer;
use super::buffered::run_buffered;
use super::claim::ActiveClaim;
use super::claim::RecordedAnswer;
use super::claim::WorkKey;
use super::claim::store::ClaimOutcome;
use super::context::RequestContext;
use super::dispatch::AttemptTracker;
use super::dispatch::RequestFailure;
use super::entry_context::EntryContext;
use super::entry_context::ServicePool;
use super::outcome::NotRunReason;
use super::outcome::Outcome;
use super::outcome::UnknownReason;
use crate::ids::IdempotencyKey;

/// How a non-idempotent request with an idempotency key ended.
#[derive(Debug)]
pub enum KeyedOutcome {
    /// The answer of the work, which ran for this or an earlier request with the key.
    Answer(BufferedAnswer),
    /// The request has no result.
    Failed(RequestFailure),
    /// Another request with the key is still in flight.
    InProgress {
        /// The time after which the caller should retry.
        retry_after: Duration,
    },
    /// The key was used for a request with another digest.
    KeyReused,
}

/// Claims the work and runs it, or returns the result of an earlier request with the key.
///
/// The work continues if the caller disconnects: its result is recorded and is returned to a later
/// request with the same key.
pub async fn run_keyed<E>(
    state: &Arc<E>,
    context: &Arc<RequestContext>,
    key: IdempotencyKey,
) -> KeyedOutcome
where
    E: EntryContext,
{
    let work = state
        .keyed_work()
        .spawn(claim_and_run(Arc::clone(state), Arc::clone(context), key));
    let result = work.await;
    result.unwrap_or_else(|_| KeyedOutcome::Failed(UnknownReason::ClaimAbandoned.into()))
}

async fn claim_and_run<E>(
    state: Arc<E>,
    context: Arc<RequestContext>,
    key: IdempotencyKey,
) -> KeyedOutcome
where
    E: EntryContext,
{
    let account = context.account.name.clone();
    let work = WorkKey { account, key };
    let digest = context.request.digest.clone();
    match state.claims().claim(work, digest).await {
        ClaimOutcome::Granted(grant) => {
            let expected_time = state.services().expected_time(&context.request.service);
            let tracker = AttemptTracker::new(&context, grant.attempt().clone(), expected_time);
            let claim = grant.begin_send();
            let result = run_buffered(state.as_ref(), &context, tracker).await;
            record_result(claim, &result);
            match result {
                Ok(answer) => KeyedOutcome::Answer(answer),
                Err(failure) => KeyedOutcome::Failed(failure),
            }
        }
        ClaimOutcome::Replay { answer } => KeyedOutcome::Answer(answer.into()),
        ClaimOutcome::InProgress { retry_after } => KeyedOutcome::InProgress { retry_after },
        ClaimOutcome::OtherBody => KeyedOutcome::KeyReused,
        ClaimOutcome::Abandoned => KeyedOutcome::Failed(UnknownReason::ClaimAbandoned.into()),
        ClaimOutcome::NotRun { retry_after } => {
            let outcome = context.unclaimed_outcome(NotRunReason::ClaimUnavailable, retry_after);
            KeyedOutcome::Failed(outcome.into())
        }
    }
}

/// Records the result of the work. If nothing is recorded, dropping `claim` marks the result as
/// unknown.
fn record_result(claim: ActiveClaim, result: &Result<BufferedAnswer, RequestFailure>) {
    let answer = match result {
        Ok(answer) => Some(answer),
        Err(RequestFailure {
            outcome: Outcome::NotRun { .. },
            ..
        }) => return claim.record_not_run(),
        Err(failure) => failure.answer.as_ref(),
    };
    if let Some(recorded) = answer.and_then(recorded_answer) {
        claim.record_done(recorded);
    }
}

fn recorded_answer(answer: &BufferedAnswer) -> Option<RecordedAnswer> {
    let body = String::from_utf8(answer.body.to_vec()).ok()?;
    Some(RecordedAnswer {
        status: answer.status,
        content_type: answer.content_type.clone(),
        body,
    })
}

impl From<RecordedAnswer> for BufferedAnswer {
    fn from(recorded: RecordedAnswer) -> Self {
        Self {
            status: recorded.status,
            content_type: recorded.content_type,
            body: recorded.body.into(),
        }
    }
}
