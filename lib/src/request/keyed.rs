//! Non-idempotent work: claimed before it is sent, and recorded after.

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

/// How a request with a key ends.
#[derive(Debug)]
pub enum KeyedOutcome {
    /// The work ran, now or before, and this is its answer.
    Answer(BufferedAnswer),
    /// The request ends without a result.
    Failed(RequestFailure),
    /// The work under the key is still in flight.
    InProgress {
        /// When to ask again.
        retry_after: Duration,
    },
    /// The key was used for other work.
    KeyReused,
}

/// Claims the work and runs it, or says what became of it before.
///
/// The work goes on when its caller goes away: its result is recorded, and the same key gets it.
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
    let ended = work.await;
    ended.unwrap_or_else(|_| KeyedOutcome::Failed(UnknownReason::ClaimAbandoned.into()))
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
            let tries = AttemptTracker::new(&context, grant.attempt().clone(), expected_time);
            let claim = grant.begin_send();
            let ended = run_buffered(state.as_ref(), &context, tries).await;
            record(claim, &ended);
            match ended {
                Ok(answer) => KeyedOutcome::Answer(answer),
                Err(ending) => KeyedOutcome::Failed(ending),
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

/// Records what became of the work; without a record, its drop says that the result is unknown.
fn record(claim: ActiveClaim, ended: &Result<BufferedAnswer, RequestFailure>) {
    let answer = match ended {
        Ok(answer) => Some(answer),
        Err(RequestFailure {
            outcome: Outcome::NotRun { .. },
            ..
        }) => return claim.record_not_run(),
        Err(ending) => ending.answer.as_ref(),
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
