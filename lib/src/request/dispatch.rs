//! Sends a request to targets until one answers or no retry is allowed.

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

/// The time after which a caller should retry if no target could serve.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(2);
/// The time after which a caller should retry if all targets were at their limit.
const AT_LIMIT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The maximum number of tries of a request, including the first, if the last one failed before
/// the request was run.
const NOT_RUN_TRIES_MAX: u32 = 3;

/// Why a request has no result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestFailure {
    /// The outcome that is reported to the caller.
    pub outcome: Outcome,
    /// The target's error answer, which is passed to the caller; `None` unless a target
    /// answered with an error.
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

/// Tracks the tries of one request, the identifier of its next attempt and the target to avoid.
#[derive(Clone, Debug)]
pub struct AttemptTracker {
    /// The input to the decision on a retry.
    pub state: TryState,
    /// The identifier of the next attempt to send.
    pub attempt: AttemptId,
    avoid: Option<TargetId>,
    was_any_sent: bool,
}

impl AttemptTracker {
    /// Creates a tracker for a request whose first attempt has the identifier `attempt`.
    ///
    /// `expected_time` is the usual time of a complete answer. A retry of work that may have run is
    /// not allowed if less time is left until the deadline.
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
            was_any_sent: false,
        }
    }

    /// Prepares a retry on another target than `failed`.
    ///
    /// An attempt that was not sent keeps its identifier, since the work may be claimed under it.
    pub fn prepare_retry(&mut self, failed: TargetId, was_sent: bool) {
        self.avoid = Some(failed);
        if was_sent {
            self.attempt = new_attempt_id();
            self.was_any_sent = true;
        }
    }

    /// Replaces a failure without a run by an unknown result if an earlier attempt was sent.
    ///
    /// A sent attempt may have run, even if the tries after it did not.
    fn account_for_sent_attempts(&self, failure: RequestFailure) -> RequestFailure {
        let is_not_run = matches!(failure.outcome, Outcome::NotRun { .. });
        if self.was_any_sent && is_not_run {
            return UnknownReason::ConnectionLost.into();
        }
        failure
    }
}

/// An attempt whose answer has started.
#[derive(Debug)]
pub struct Dispatched<A> {
    /// The identifier that the target repeated in the head of its answer.
    pub attempt: AttemptId,
    /// The target that answers.
    pub target: ChosenTarget,
    /// The answer, read up to the end of its head.
    pub answer: A,
}

/// Tries targets until one answers successfully or no retry is allowed.
pub async fn dispatch<E>(
    state: &E,
    context: &RequestContext,
    tracker: &mut AttemptTracker,
) -> Result<Dispatched<EntryAnswer<E>>, RequestFailure>
where
    E: EntryContext,
{
    let dispatched = try_targets(state, context, tracker).await;
    dispatched.map_err(|failure| tracker.account_for_sent_attempts(failure))
}

async fn try_targets<E>(
    state: &E,
    context: &RequestContext,
    tracker: &mut AttemptTracker,
) -> Result<Dispatched<EntryAnswer<E>>, RequestFailure>
where
    E: EntryContext,
{
    let mut target = choose_target(state, context, tracker.avoid.as_ref())?;
    loop {
        tracker.state.tries += 1;
        let plan = plan_attempt(state, context, tracker.attempt.clone(), target.clone());
        let mut replacement = None;
        let on_silence = || {
            replacement = replace_silent(state, context, tracker, &target);
            let left = context.silence_bound(state.clock().now());
            (replacement.is_none() && !left.is_zero()).then_some(left)
        };
        let started = start_attempt(state, &context.request, &plan, on_silence);
        let failure = match started.await {
            Ok(answer) => {
                return Ok(Dispatched {
                    attempt: tracker.attempt.clone(),
                    target,
                    answer,
                });
            }
            Err(failure) => failure,
        };
        record_failure(state, context, &target, &failure);
        let was_sent = !failure.is_not_run();
        if replacement.is_none()
            && let Err(reason) = allow_retry(state, context, tracker, &failure)
        {
            log::debug!(request:% = context.request.id; "no further try: {reason}");
            return Err(request_failure(state, context, failure));
        }
        tracker.prepare_retry(target.choice.target, was_sent);
        target = match replacement {
            Some(replacement) => replacement,
            None => choose_target(state, context, tracker.avoid.as_ref())?,
        };
    }
}

/// Returns the target that replaces a silent one, or `None` if the request has to wait for it,
/// because no other target is open or no retry is allowed.
fn replace_silent<E>(
    state: &E,
    context: &RequestContext,
    tracker: &AttemptTracker,
    silent: &ChosenTarget,
) -> Option<ChosenTarget>
where
    E: EntryContext,
{
    let replacement = choose_target(state, context, Some(&silent.choice.target)).ok()?;
    let target = &replacement.choice.target;
    let is_other = *target != silent.choice.target;
    if is_other && allow_retry(state, context, tracker, &AttemptFailure::Silent).is_ok() {
        return Some(replacement);
    }
    let now = state.clock().now();
    let service = &context.request.service;
    state.services().on_finished(service, target, None, now);
    None
}

/// Returns the failure of a request; a target that did not answer until the deadline is reported as
/// a passed deadline.
fn request_failure<E>(
    state: &E,
    context: &RequestContext,
    failure: AttemptFailure,
) -> RequestFailure
where
    E: EntryContext,
{
    let is_late = context.remaining(state.clock().now()).is_zero();
    if failure == AttemptFailure::Silent && is_late {
        return UnknownReason::DeadlinePassed.into();
    }
    failure.into()
}

/// Decides on a retry after `failure`, and spends the retry budget if it is allowed.
///
/// A request that was certainly not run has cost no target any work, so a retry needs no budget and
/// is allowed for non-idempotent work too.
pub fn allow_retry<E>(
    state: &E,
    context: &RequestContext,
    tracker: &AttemptTracker,
    failure: &AttemptFailure,
) -> Result<(), NoRetryReason>
where
    E: EntryContext,
{
    let now = state.clock().now();
    if failure.is_not_run() {
        let has_try_left = tracker.state.tries < NOT_RUN_TRIES_MAX && now < context.deadline_at;
        return has_try_left.then_some(()).ok_or(NoRetryReason::NoTryLeft);
    }
    if !failure.is_retryable() {
        return Err(NoRetryReason::NoTryLeft);
    }
    let service = &context.request.service;
    let decided = state
        .services()
        .with_retry_budget(service, |budget| decide_retry(&tracker.state, budget, now));
    decided.unwrap_or(Err(NoRetryReason::BudgetSpent))
}

fn choose_target<E>(
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
            Err(route_error_outcome(&error).into())
        }
    }
}

fn route_error_outcome(error: &RouteError) -> Outcome {
    match error {
        RouteError::NoOpenTarget { .. } => Outcome::NotRun {
            reason: NotRunReason::NoTarget,
            retry_after: NO_TARGET_RETRY_AFTER,
        },
        RouteError::AllTargetsAtLimit { .. } => Outcome::NotRun {
            reason: NotRunReason::Overloaded,
            retry_after: AT_LIMIT_RETRY_AFTER,
        },
    }
}

fn plan_attempt<E>(
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

/// Reports a failed attempt to the router, the metrics and the log.
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
