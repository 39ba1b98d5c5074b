//! Non-idempotent work: claimed before it is sent, and recorded after.

use std::sync::Arc;
use std::time::Duration;

use super::answer::WholeAnswer;
use super::buffered::run_buffered;
use super::claim::ActiveClaim;
use super::claim::RecordedAnswer;
use super::claim::WorkKey;
use super::claim::store::Claimed;
use super::context::RequestContext;
use super::dispatch::Ending;
use super::dispatch::Tries;
use super::entry_context::EntryContext;
use super::entry_context::ServicePool;
use super::outcome::NotRunReason;
use super::outcome::Outcome;
use super::outcome::UnknownReason;
use crate::ids::IdempotencyKey;

/// How a request with a key ends.
#[derive(Debug)]
pub enum KeyedEnding {
    /// The work ran, now or before, and this is its answer.
    Answer(WholeAnswer),
    /// The request ends without a result.
    Ended(Ending),
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
) -> KeyedEnding
where
    E: EntryContext,
{
    let work = state
        .keyed_work()
        .spawn(claim_and_run(Arc::clone(state), Arc::clone(context), key));
    let ended = work.await;
    ended.unwrap_or_else(|_| KeyedEnding::Ended(UnknownReason::ClaimAbandoned.into()))
}

async fn claim_and_run<E>(
    state: Arc<E>,
    context: Arc<RequestContext>,
    key: IdempotencyKey,
) -> KeyedEnding
where
    E: EntryContext,
{
    let account = context.account.name.clone();
    let work = WorkKey { account, key };
    let digest = context.request.digest.clone();
    match state.claims().claim(work, digest).await {
        Claimed::Granted(grant) => {
            let expected_time = state.services().expected_time(&context.request.service);
            let tries = Tries::new(&context, grant.attempt().clone(), expected_time);
            let claim = grant.begin_send();
            let ended = run_buffered(state.as_ref(), &context, tries).await;
            record(claim, &ended);
            match ended {
                Ok(answer) => KeyedEnding::Answer(answer),
                Err(ending) => KeyedEnding::Ended(ending),
            }
        }
        Claimed::Replay { answer } => KeyedEnding::Answer(answer.into()),
        Claimed::InProgress { retry_after } => KeyedEnding::InProgress { retry_after },
        Claimed::OtherBody => KeyedEnding::KeyReused,
        Claimed::Abandoned => KeyedEnding::Ended(UnknownReason::ClaimAbandoned.into()),
        Claimed::NotRun { retry_after } => {
            let outcome = context.unclaimed(NotRunReason::ClaimUnavailable, retry_after);
            KeyedEnding::Ended(outcome.into())
        }
    }
}

/// Records what became of the work; without a record, its drop says that the result is unknown.
fn record(claim: ActiveClaim, ended: &Result<WholeAnswer, Ending>) {
    let answer = match ended {
        Ok(answer) => Some(answer),
        Err(Ending {
            outcome: Outcome::NotRun { .. },
            ..
        }) => return claim.record_not_run(),
        Err(ending) => ending.answer.as_ref(),
    };
    if let Some(recorded) = answer.and_then(recorded_answer) {
        claim.record_done(recorded);
    }
}

fn recorded_answer(answer: &WholeAnswer) -> Option<RecordedAnswer> {
    let body = String::from_utf8(answer.body.to_vec()).ok()?;
    Some(RecordedAnswer {
        status: answer.status,
        content_type: answer.content_type.clone(),
        body,
    })
}

impl From<RecordedAnswer> for WholeAnswer {
    fn from(recorded: RecordedAnswer) -> Self {
        Self {
            status: recorded.status,
            content_type: recorded.content_type,
            body: recorded.body.into(),
        }
    }
}
