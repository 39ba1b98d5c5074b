//! The sends of one request: chooses their targets and runs them until one brings an answer.
//!
//! A send whose target falls silent stays in progress, because a sound target may pause and go on.
//! If the request may be repeated, it is sent to another target beside it, and the first answer of
//! either is used.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use tokio::sync::Notify;

use super::context::ActiveQuarantine;
use super::context::ForwardContext;
use super::context::NoTarget;
use super::context::TargetRequirements;
use super::context::TargetReservation as _;
use super::plan::NextStep;
use super::plan::SendFailure;
use super::plan::SendPlan;
use super::protocol::Failure;
use super::send::ForwardedRequest;
use super::send::OrNone;
use super::send::PlannedSend;
use super::send::log_request;
use crate::request::outcome::NotRunReason;
use crate::request::overload::returns::MODEL_RETRY_AFTER_MIN;

/// The divisor of the latency target that gives the maximum wait for a target to become available.
const TARGET_WAIT_DIVISOR: u32 = 9;

/// The retry delay for callers while all targets leave. A planned replacement of a target is listed
/// when the target ends, some seconds after it begins to leave.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(2_000);
/// The retry delay for callers while all targets are in evacuated data centres. When the operator ends
/// that is not known; a change of the operator's orders is in force everywhere within this time.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_millis(5_000);

/// How a send ended.
pub(super) enum SendEnd<T> {
    /// The answer to return.
    Answer(T),
    /// The target failed. This is how the request ends if no other send brings an answer: with the
    /// target's answer or with a failure of this process.
    TargetFailed(Result<T, Failure>),
    /// No complete answer.
    Failed(SendFailure),
}

impl<T> SendEnd<T> {
    /// Converts the target's answer, if there is one.
    pub(super) fn map_answer<F, U>(self, convert: F) -> SendEnd<U>
    where
        F: FnOnce(T) -> U,
    {
        match self {
            Self::Answer(answer) => SendEnd::Answer(convert(answer)),
            Self::TargetFailed(end) => SendEnd::TargetFailed(end.map(convert)),
            Self::Failed(send_failure) => SendEnd::Failed(send_failure),
        }
    }
}

/// The state of a request's sends.
#[derive(Debug)]
pub(super) struct RequestSends<X> {
    pub(super) request: Arc<ForwardedRequest<X>>,
    pub(super) plan: SendPlan,
    pub(super) requirements: TargetRequirements,
    /// Notified when the target of a send has been silent for too long.
    silence: Arc<Notify>,
}

impl<X> RequestSends<X>
where
    X: ForwardContext,
{
    /// Creates the state of a request that was not sent yet.
    pub(super) fn new(
        request: ForwardedRequest<X>,
        plan: SendPlan,
        requirements: TargetRequirements,
    ) -> Self {
        Self {
            request: Arc::new(request),
            plan,
            requirements,
            silence: Arc::new(Notify::new()),
        }
    }

    /// Plans a send; if no target serves such requests or takes one now, waits for one for a short
    /// time.
    pub(super) async fn next_send(&mut self) -> Result<PlannedSend<X>, Failure> {
        let wait_max = self.requirements.latency_target / TARGET_WAIT_DIVISOR;
        let wait_until = tokio::time::Instant::now() + wait_max;
        let request = Arc::clone(&self.request);
        loop {
            let changed = request.context.targets_changed();
            match self.reserve_target() {
                Ok(target) => return Ok(self.planned(target)),
                Err(NoTarget::Quarantined(quarantine)) => {
                    return Err(self.quarantine_failure(quarantine));
                }
                Err(NoTarget::Busy { room_in, .. }) => {
                    let failure = self.plan.failure(NotRunReason::Overloaded);
                    return Err(self.with_promise(failure, room_in));
                }
                Err(NoTarget::Limited {
                    available_in,
                    retry_after,
                    ..
                }) => {
                    let available_at = tokio::time::Instant::now() + available_in;
                    if available_at > wait_until {
                        let failure = self.plan.failure(NotRunReason::Overloaded);
                        let retry_after = retry_after.max(MODEL_RETRY_AFTER_MIN);
                        return Err(with_retry_after(failure, retry_after));
                    }
                    tokio::time::sleep_until(available_at).await;
                }
                Err(NoTarget::Outdated) => {
                    return Err(self.plan.failure(NotRunReason::NotReady));
                }
                Err(NoTarget::Leaving { .. }) => {
                    let failure = self.plan.failure(NotRunReason::NoTarget);
                    return Err(with_retry_after(failure, LEAVING_RETRY_AFTER));
                }
                Err(NoTarget::Evacuated { .. }) => {
                    let failure = self.plan.failure(NotRunReason::NoTarget);
                    return Err(with_retry_after(failure, EVACUATED_RETRY_AFTER));
                }
                Err(NoTarget::Absent) => {
                    let waited = tokio::time::timeout_at(wait_until, changed).await;
                    if waited.is_err() {
                        return Err(self.plan.failure(NotRunReason::NoTarget));
                    }
                }
            }
        }
    }

    /// Plans a send beside those in progress. Returns `None` if the plan, the targets or the retry
    /// budget don't allow it now.
    pub(super) fn next_send_beside(&mut self) -> Option<PlannedSend<X>> {
        if !self.plan.may_send_beside(self.request.context.now()) {
            return None;
        }
        let target = self.reserve_target().ok()?;
        let is_granted = self.request.context.try_spend_retry(&self.request.service);
        is_granted.then(|| self.planned(target))
    }

    fn planned(&mut self, target: X::Reservation) -> PlannedSend<X> {
        self.log_choice(&target);
        self.requirements.excluded.push(target.host().clone());
        self.plan.on_send();
        PlannedSend {
            request: Arc::clone(&self.request),
            target,
            number: self.plan.sends(),
            is_last: !self.plan.has_sends_left(),
            silence: Arc::clone(&self.silence),
        }
    }

    fn reserve_target(&mut self) -> Result<X::Reservation, NoTarget> {
        let request = &self.request;
        self.requirements.time_left = request.time_left();
        self.requirements.is_new &= self.plan.sends() == 0;
        let reserved = request.context.reserve_target(&self.requirements);
        if let Err(NoTarget::Busy {
            room_in,
            queue_wait,
            limit,
            candidates,
        }) = &reserved
        {
            log_request!(
                request, route = request.route.name.as_str(), service:% = request.service,
                weights:% = OrNone(self.requirements.weights.as_ref()),
                options = *candidates,
                turn_wait_ms = queue_wait.as_millis() as u64,
                wait_max_ms = limit.wait_max.as_millis() as u64, limit:% = limit.basis,
                priority = self.requirements.priority,
                room_in_ms = room_in.as_millis() as u64,
                is_new = self.requirements.is_new;
                "request is not sent: the queue is too long and no target is free"
            );
        }
        if let Err(NoTarget::Outdated) = &reserved {
            log_request!(
                request, route = request.route.name.as_str(), service:% = request.service,
                version = self.requirements.version.0,
                required_version:% = OrNone(request.context.required_version().map(|version| version.0));
                "request is not sent: this entry has shown a newer configuration"
            );
        }
        if let Err(NoTarget::Leaving { targets }) = &reserved {
            log_request!(
                request, route = request.route.name.as_str(), service:% = request.service,
                leaving = *targets, is_new = self.requirements.is_new;
                "request is not sent: all targets leave"
            );
        }
        if let Err(NoTarget::Evacuated { targets }) = &reserved {
            log_request!(
                request, route = request.route.name.as_str(), service:% = request.service,
                evacuated = *targets, is_new = self.requirements.is_new;
                "request is not sent: all targets are in evacuated data centres"
            );
        }
        if let Err(NoTarget::Limited {
            available_in,
            candidates,
            backed_off,
            ..
        }) = &reserved
        {
            let reason = if *backed_off > 0 {
                "all targets are backed off or have used up their limits"
            } else {
                "the limits of all targets are used up"
            };
            log_request!(
                request, route = request.route.name.as_str(), service:% = request.service,
                weights:% = OrNone(self.requirements.weights.as_ref()),
                options = *candidates, backed_off = *backed_off,
                room_in_ms = available_in.as_millis() as u64,
                is_new = self.requirements.is_new;
                "request is not sent: {reason}"
            );
        }
        reserved
    }

    fn log_choice(&self, target: &X::Reservation) {
        let request = &self.request;
        let choice = target.choice_info();
        let version = request
            .context
            .document()
            .map(|document| document.version.0);
        log_request!(
            request, route = request.route.name.as_str(), service:% = request.service,
            weights:% = OrNone(self.requirements.weights.as_ref()),
            account:% = OrNone(request.account.as_ref()),
            target:% = target.host(), options = choice.candidates, suspects = choice.suspects,
            in_flight = choice.in_flight,
            load_age_ms:% = OrNone(choice.load_age.map(|age| age.as_millis())),
            limit_per_s:% = OrNone(choice.limit.map(|limit| limit.0)),
            records_age_ms:% = OrNone(choice.records_age.map(|age| age.as_millis())),
            expected_ms = target.expected_wait().as_millis() as u64,
            excluded = self.requirements.excluded.len(), version:% = OrNone(version),
            is_entry = target.passed_on_by().is_some(),
            urgency:% = OrNone(target.urgency()),
            time_left_ms = request.time_left().as_millis() as u64;
            "target is chosen"
        );
    }

    /// Decides what to do after a failed send, when no other is in progress.
    pub(super) fn next_step(&mut self, send_failure: SendFailure) -> NextStep {
        let request = &self.request;
        let now = request.context.now();
        let features = &self.requirements.features;
        let quarantine = request.context.quarantine(features);
        let spend_retry =
            || quarantine.is_none() && request.context.try_spend_retry(&request.service);
        let step = self.plan.on_send_failure(send_failure, now, spend_retry);
        match (step, quarantine) {
            (NextStep::End(_), Some(quarantine)) => {
                NextStep::End(self.quarantine_failure(quarantine))
            }
            (NextStep::End(failure), None) => {
                let available_in = request.context.retry_after(&self.requirements);
                let is_refused = send_failure == SendFailure::NotRun;
                NextStep::End(match available_in {
                    // The targets say themselves when they take requests again.
                    Some(available_in) => {
                        with_retry_after(failure, available_in.max(MODEL_RETRY_AFTER_MIN))
                    }
                    // The targets had no room.
                    None if is_refused => self.with_promise(failure, Duration::ZERO),
                    None => failure,
                })
            }
            (step, None | Some(_)) => step,
        }
    }

    /// Returns the failure with the time at which the caller should return, if it was not run.
    fn with_promise(&self, failure: Failure, not_before: Duration) -> Failure {
        if !matches!(failure, Failure::NotRun { .. }) {
            return failure;
        }
        let request = &self.request;
        let requirements = TargetRequirements {
            time_left: request.time_left(),
            ..self.requirements.clone()
        };
        let promise = request.context.promise_return(&requirements, not_before);
        log_request!(
            request, route = request.route.name.as_str(), service:% = request.service,
            priority = requirements.priority, return_in_ms = promise.delay.as_millis() as u64,
            is_kept = promise.is_kept, time_left_ms = requirements.time_left.as_millis() as u64;
            "caller is told when to return"
        );
        with_retry_after(failure, promise.delay)
    }

    fn quarantine_failure(&self, quarantine: ActiveQuarantine) -> Failure {
        let reason = if quarantine.feature.is_content() {
            NotRunReason::RequestQuarantined
        } else {
            NotRunReason::PromptQuarantined
        };
        with_retry_after(self.plan.failure(reason), quarantine.time_left)
    }

    /// Records a failed send while others are in progress.
    fn on_failure_beside(&mut self, send_failure: SendFailure) {
        let now = self.request.context.now();
        // Without a retry the plan only records the failure.
        self.plan.on_send_failure(send_failure, now, || false);
    }
}

fn with_retry_after(failure: Failure, retry_after: Duration) -> Failure {
    match failure {
        Failure::NotRun { reason, .. } => Failure::NotRun {
            reason,
            retry_after,
        },
        other => other,
    }
}

/// Runs `first` and further sends until one brings an answer, no further one is possible, or the
/// deadline passes. `start` runs a send to its end.
///
/// Without an answer, the request ends as the last failure of a target says, if there is one.
pub(super) async fn first_answer<X, S, F, T>(
    sends: &mut RequestSends<X>,
    mut first: PlannedSend<X>,
    start: S,
) -> Result<T, Failure>
where
    X: ForwardContext,
    S: Fn(PlannedSend<X>) -> F,
    F: Future<Output = SendEnd<T>>,
{
    // Only the silence of these sends starts another one, not that of a stream which they resume.
    let silence = Arc::new(Notify::new());
    sends.silence = Arc::clone(&silence);
    first.silence = Arc::clone(&silence);
    let mut deadline = std::pin::pin!(tokio::time::sleep(sends.request.time_left()));
    let mut in_progress = FuturesUnordered::new();
    in_progress.push(start(first));
    let mut target_failure = None;
    loop {
        let end = tokio::select! {
            Some(end) = in_progress.next() => end,
            () = silence.notified() => {
                in_progress.extend(sends.next_send_beside().map(&start));
                continue;
            }
            () = &mut deadline => {
                return target_failure.unwrap_or(Err(sends.plan.timeout_failure()));
            }
        };
        let send_failure = match end {
            SendEnd::Answer(answer) => return Ok(answer),
            SendEnd::TargetFailed(end) => {
                target_failure = Some(end);
                SendFailure::TargetFailed
            }
            SendEnd::Failed(send_failure) => send_failure,
        };
        if !in_progress.is_empty() {
            sends.on_failure_beside(send_failure);
            in_progress.extend(sends.next_send_beside().map(&start));
            continue;
        }
        if sends.request.time_left().is_zero() {
            return target_failure.unwrap_or(Err(sends.plan.timeout_failure()));
        }
        match sends.next_step(send_failure) {
            NextStep::SendAgain => match sends.next_send().await {
                Ok(send) => in_progress.push(start(send)),
                Err(failure) => return target_failure.unwrap_or(Err(failure)),
            },
            NextStep::ReturnTargetFailure => {
                return target_failure.unwrap_or(Err(sends.plan.timeout_failure()));
            }
            NextStep::End(failure) => return target_failure.unwrap_or(Err(failure)),
        }
    }
}
