//! The tries at one request, until a target answers or the request is given up on.

use std::time::Duration;

use super::answer::BufferedAnswer;
use super::attempt::AttemptFailure;
use super::attempt::AttemptPlan;
use super::attempt::start_attempt;
use super::context::RequestContext;
use super::entry_context::EntryAnswer;
use super::entry_context::EntryContext;
use super::entry_context::ServicePool;
use super::outcome::NotRunReason;
use super::outcome::Outcome;
use super::outcome::UnknownReason;
use super::retry::NoRetryReason;
use super::retry::TryState;
use super::retry::decide_retry;
use super::route::RouteError;
use crate::clock::Clock;
use crate::ids::AttemptId;
use crate::ids::TargetId;
use crate::ids::new_attempt_id;
use crate::request::route::ChosenTarget;
use crate::request::route::TargetQuery;
use crate::target::ConnectionChoice;

/// When a caller whose request found no target should come back.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(2);
/// When a caller whose request found all targets full should come back.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The most tries of a request that was not sent, the first included.
const UNSENT_TRIES_MAX: u32 = 3;

/// How a request ended without a result, with the target's own answer if it gave one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestFailure {
    /// How the request ended.
    pub outcome: Outcome,
    /// The target's own error answer.
    pub answer: Option<BufferedAnswer>,
}

impl From<Outcome> for RequestFailure {
    fn from(outcome: Outcome) -> Self {
        Self {
            outcome,
            answer: None,
        }
    }
}

impl From<UnknownReason> for RequestFailure {
    fn from(reason: UnknownReason) -> Self {
        Outcome::Unknown { reason }.into()
    }
}

impl From<AttemptFailure> for RequestFailure {
    fn from(failure: AttemptFailure) -> Self {
        let not_run = |reason| Outcome::NotRun {
            reason,
            retry_after: NO_TARGET_RETRY_AFTER,
        };
        match failure {
            AttemptFailure::NotSent { .. } | AttemptFailure::GateClosed => {
                not_run(NotRunReason::NoTarget).into()
            }
            AttemptFailure::Refused { .. } => not_run(NotRunReason::Refused).into(),
            AttemptFailure::Unknown { reason } => reason.into(),
            AttemptFailure::Silent => UnknownReason::ConnectionLost.into(),
            AttemptFailure::Failed { answer, .. } => Self {
                outcome: Outcome::Failed {
                    status: answer.status,
                },
                answer: Some(answer),
            },
        }
    }
}

/// What a request has used of its tries.
#[derive(Clone, Debug)]
pub struct AttemptTracker {
    /// What the decision on a further try depends on.
    pub state: TryState,
    /// The attempt to send next.
    pub attempt: AttemptId,
    avoid: Option<TargetId>,
    has_sent: bool,
}

impl AttemptTracker {
    /// Creates the tries of a request whose first attempt has the name `attempt`.
    pub fn new(context: &RequestContext, attempt: AttemptId, expected_time: Duration) -> Self {
        Self {
            state: TryState {
                is_idempotent: context.is_idempotent,
                tries: 0,
                delivered_tokens: 0,
                deadline: context.deadline_at,
                expected_time,
            },
            attempt,
            avoid: None,
            has_sent: false,
        }
    }

    /// Moves on to another target than `failed`.
    ///
    /// An attempt that was never sent keeps its name, under which the work may be claimed.
    pub fn prepare_retry(&mut self, failed: TargetId, was_sent: bool) {
        self.avoid = Some(failed);
        if was_sent {
            self.attempt = new_attempt_id();
            self.has_sent = true;
        }
    }

    /// Returns how the request ends, in the light of its earlier tries.
    ///
    /// Once an attempt was sent, it may have run, whatever became of the tries after it.
    fn settle(&self, ending: RequestFailure) -> RequestFailure {
        let is_not_run = matches!(ending.outcome, Outcome::NotRun { .. });
        if self.has_sent && is_not_run {
            return UnknownReason::ConnectionLost.into();
        }
        ending
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

/// AttemptTracker targets until one answers.
pub async fn dispatch<E>(
    state: &E,
    context: &RequestContext,
    tries: &mut AttemptTracker,
) -> Result<Dispatched<EntryAnswer<E>>, RequestFailure>
where
    E: EntryContext,
{
    let dispatched = try_targets(state, context, tries).await;
    dispatched.map_err(|ending| tries.settle(ending))
}

async fn try_targets<E>(
    state: &E,
    context: &RequestContext,
    tries: &mut AttemptTracker,
) -> Result<Dispatched<EntryAnswer<E>>, RequestFailure>
where
    E: EntryContext,
{
    loop {
        tries.state.tries += 1;
        let target = choose(state, context, tries.avoid.as_ref())?;
        let plan = plan(state, context, tries.attempt.clone(), target.clone());
        let started = start_attempt(state, &context.request, &plan);
        let failure = match started.await {
            Ok(answer) => {
                return Ok(Dispatched {
                    attempt: tries.attempt.clone(),
                    target,
                    answer,
                });
            }
            Err(failure) => failure,
        };
        record_failure(state, context, &target, &failure);
        if let Err(reason) = allow_retry(state, context, tries, &failure) {
            log::debug!(request:% = context.request.id; "no further try: {reason}");
            return Err(failure_ending(state, context, failure));
        }
        tries.prepare_retry(target.choice.target, !failure.is_not_run());
    }
}

/// Returns how a request ends; a target that fell silent until the deadline is said so.
fn failure_ending<E>(state: &E, context: &RequestContext, failure: AttemptFailure) -> RequestFailure
where
    E: EntryContext,
{
    let is_late = context.remaining(state.clock().now()).is_zero();
    if failure == AttemptFailure::Silent && is_late {
        return UnknownReason::DeadlinePassed.into();
    }
    failure.into()
}

/// Decides on a further try after `failure`, and spends the retry budget if one is made.
///
/// What was not sent has cost no target anything, so it needs no budget and is open to all work.
pub fn allow_retry<E>(
    state: &E,
    context: &RequestContext,
    tries: &AttemptTracker,
    failure: &AttemptFailure,
) -> Result<(), NoRetryReason>
where
    E: EntryContext,
{
    let now = state.clock().now();
    if failure.is_not_run() {
        let is_left = tries.state.tries < UNSENT_TRIES_MAX && now < context.deadline_at;
        return is_left.then_some(()).ok_or(NoRetryReason::NoTryLeft);
    }
    if !failure.is_retryable() {
        return Err(NoRetryReason::NoTryLeft);
    }
    let service = &context.request.service;
    let decided = state
        .services()
        .with_retry_budget(service, |budget| decide_retry(&tries.state, budget, now));
    decided.unwrap_or(Err(NoRetryReason::BudgetSpent))
}

fn choose<E>(
    state: &E,
    context: &RequestContext,
    avoid: Option<&TargetId>,
) -> Result<ChosenTarget, RequestFailure>
where
    E: EntryContext,
{
    let request = &context.request;
    let query = TargetQuery {
        prefix: request.prefix.as_deref(),
        avoid,
    };
    let draw = rand::random();
    let now = state.clock().now();
    let chosen = state.services().choose(&request.service, query, draw, now);
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
        RouteError::NoOpenTarget { .. } => Outcome::NotRun {
            reason: NotRunReason::NoTarget,
            retry_after: NO_TARGET_RETRY_AFTER,
        },
        RouteError::AllTargetsAtLimit { .. } => Outcome::NotRun {
            reason: NotRunReason::Overloaded,
            retry_after: FULL_RETRY_AFTER,
        },
    }
}

fn plan<E>(
    state: &E,
    context: &RequestContext,
    attempt: AttemptId,
    target: ChosenTarget,
) -> AttemptPlan
where
    E: EntryContext,
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
        head_timeout: context.silence_bound(state.clock().now()),
        has_trusted_refusals: context.service.has_trusted_refusals,
    }
}

/// Records that an attempt failed.
pub fn record_failure<E>(
    state: &E,
    context: &RequestContext,
    target: &ChosenTarget,
    failure: &AttemptFailure,
) where
    E: EntryContext,
{
    let service = &context.request.service;
    let now = state.clock().now();
    let target = &target.choice.target;
    if failure.is_target_fault() {
        state.services().on_failed(service, target, now);
    } else {
        state.services().on_finished(service, target, None, now);
    }
    state.count_attempt(service, failure.label());
    log::debug!(
        request:% = context.request.id, target:% = target;
        "attempt failed: {failure}"
    );
}
