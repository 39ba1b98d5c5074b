//! The tries at one request, until a target answers or the request is given up on.

use std::time::Duration;

use super::answer::WholeAnswer;
use super::attempt::AttemptFailure;
use super::attempt::AttemptPlan;
use super::attempt::start_attempt;
use super::context::RequestContext;
use super::outcome::NotRunReason;
use super::outcome::Outcome;
use super::outcome::UnknownReason;
use super::route::RouteError;
use crate::clock::Clock;
use crate::ids::AttemptId;
use crate::ids::new_attempt_id;
use crate::process::entry::EntryState;
use crate::process::entry::Platform;
use crate::process::services::ChosenTarget;
use crate::process::services::TargetQuery;
use crate::target::ConnectionChoice;
use crate::target::Targets;

/// When a caller whose request found no target should come back.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(2);
/// When a caller whose request found all targets full should come back.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The most tries at one request.
const TRIES_MAX: u32 = 2;

/// How a request ended without a result, with the target's own answer if it gave one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ending {
    /// How the request ended.
    pub outcome: Outcome,
    /// The target's own error answer.
    pub answer: Option<WholeAnswer>,
}

impl From<Outcome> for Ending {
    fn from(outcome: Outcome) -> Self {
        Self {
            outcome,
            answer: None,
        }
    }
}

impl Ending {
    /// Returns how a request ends whose last attempt failed so.
    pub fn from_failure(failure: AttemptFailure) -> Self {
        let not_run = |reason| Outcome::NotRun {
            reason,
            retry_after: NO_TARGET_RETRY_AFTER,
        };
        match failure {
            AttemptFailure::NotSent { .. } | AttemptFailure::GateClosed => {
                not_run(NotRunReason::NoTarget).into()
            }
            AttemptFailure::Refused { .. } => not_run(NotRunReason::Refused).into(),
            AttemptFailure::Unknown { reason } => Outcome::Unknown { reason }.into(),
            AttemptFailure::Silent => Outcome::Unknown {
                reason: UnknownReason::ConnectionLost,
            }
            .into(),
            AttemptFailure::Failed { answer } => Self {
                outcome: Outcome::Failed {
                    status: answer.status,
                },
                answer: Some(answer),
            },
        }
    }
}

/// An attempt whose answer has begun.
#[derive(Debug)]
pub struct Dispatched<A> {
    /// The attempt.
    pub attempt: AttemptId,
    /// The target.
    pub target: ChosenTarget,
    /// The answer.
    pub answer: A,
}

/// Tries targets until one answers.
pub async fn dispatch<C, P, T>(
    state: &EntryState<C, P, T>,
    context: &RequestContext,
    attempt: &AttemptId,
) -> Result<Dispatched<T::Answer>, Ending>
where
    C: Clock,
    P: Platform,
    T: Targets,
{
    let mut attempt = attempt.clone();
    let mut avoid = None;
    let mut tries = 0;
    loop {
        tries += 1;
        let target = choose(state, context, avoid.as_ref())?;
        let plan = plan(state, context, attempt.clone(), target.clone());
        let started = start_attempt(
            &state.clock,
            &state.targets,
            &state.shards,
            &context.request,
            &plan,
        );
        let failure = match started.await {
            Ok(answer) => {
                return Ok(Dispatched {
                    attempt,
                    target,
                    answer,
                });
            }
            Err(failure) => failure,
        };
        note_failure(state, context, &target, &failure);
        let is_final =
            matches!(failure, AttemptFailure::Failed { ref answer } if answer.status < 500);
        let may_repeat = context.is_idempotent || failure.is_not_run();
        let has_time = !context.remaining(state.clock.now()).is_zero();
        if is_final || !may_repeat || !has_time || tries == TRIES_MAX {
            return Err(Ending::from_failure(failure));
        }
        avoid = Some(target.choice.target);
        attempt = new_attempt_id();
    }
}

fn choose<C, P, T>(
    state: &EntryState<C, P, T>,
    context: &RequestContext,
    avoid: Option<&crate::ids::TargetId>,
) -> Result<ChosenTarget, Ending>
where
    C: Clock,
    P: Platform,
    T: Targets,
{
    let request = &context.request;
    let query = TargetQuery {
        prefix: None,
        avoid,
    };
    let draw = rand::random();
    let chosen = state
        .shards
        .choose(&request.service, query, draw, state.clock.now());
    match chosen {
        Ok(chosen) => {
            log::debug!(
                request:% = request.id,
                service:% = request.service,
                candidates = chosen.candidate_count,
                chosen:% = chosen.choice.target,
                why:% = chosen.choice.reason;
                "route"
            );
            Ok(chosen)
        }
        Err(error) => {
            log::debug!(request:% = request.id, service:% = request.service; "no route: {error}");
            Err(no_route(&error).into())
        }
    }
}

fn no_route(error: &RouteError) -> Outcome {
    match error {
        RouteError::NoneOpen { .. } => Outcome::NotRun {
            reason: NotRunReason::NoTarget,
            retry_after: NO_TARGET_RETRY_AFTER,
        },
        RouteError::AllFull { .. } => Outcome::NotRun {
            reason: NotRunReason::Overloaded,
            retry_after: FULL_RETRY_AFTER,
        },
    }
}

fn plan<C, P, T>(
    state: &EntryState<C, P, T>,
    context: &RequestContext,
    attempt: AttemptId,
    target: ChosenTarget,
) -> AttemptPlan
where
    C: Clock,
    P: Platform,
    T: Targets,
{
    let connection = if context.is_idempotent {
        ConnectionChoice::Reused
    } else {
        ConnectionChoice::New
    };
    AttemptPlan {
        attempt,
        target,
        resume_from_tokens: 0,
        connection,
        head_timeout: context.silence_bound(state.clock.now()),
        has_trusted_refusals: context.service.has_trusted_refusals,
    }
}

fn note_failure<C, P, T>(
    state: &EntryState<C, P, T>,
    context: &RequestContext,
    target: &ChosenTarget,
    failure: &AttemptFailure,
) where
    C: Clock,
    P: Platform,
    T: Targets,
{
    let service = &context.request.service;
    let now = state.clock.now();
    state
        .shards
        .on_finished(service, &target.choice.target, None, now);
    state.metrics.count_attempt(service, failure.word());
    log::debug!(
        request:% = context.request.id, target:% = target.choice.target;
        "attempt failed: {failure}"
    );
}
