//! Decides whether to retry after a send that brought no complete answer.

use std::time::Duration;
use std::time::Instant;

use derive_more::Display;

use super::protocol::Failure;
use crate::request::outcome::NotRunReason;
use crate::request::outcome::UnknownReason;
use crate::version::routes::RouteKind;

/// How long all streams of a target may make no progress before it counts as stalled. It covers
/// several steps of full batches with the prefill of long prompts in between.
pub(super) const STALL_LIMIT: Duration = Duration::from_millis(350);

/// The number of failed connections after which a request ends. They do not count as sends.
const CONNECT_FAILURES_MAX: u32 = 4;
/// The minimum time to the deadline for another send.
const SEND_TIME_MIN: Duration = Duration::from_millis(30);

/// Why a send brought no complete answer.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum SendFailure {
    /// No byte of the request was sent.
    #[display("not sent")]
    NotSent,
    /// The target attests that the request was not run.
    #[display("refused by the target")]
    NotRun,
    /// The target attests that the request was not run because it no longer serves such requests.
    #[display("misdirected")]
    NotServing,
    /// The target answered with an error status; the request may have run.
    #[display("failed by the target")]
    TargetFailed,
    /// The connection broke, or the answer is incomplete, unsigned or of another request.
    #[display("broken")]
    Broken,
    /// The target sent nothing for too long.
    #[display("silent")]
    Silent,
}

/// What to do after a failed send.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum NextStep {
    /// Send the request to another target.
    #[display("send again")]
    SendAgain,
    /// Return the target's failure answer to the caller.
    #[display("pass on")]
    ReturnTargetFailure,
    /// End the request with a failure of this process.
    #[display("end: {_0}")]
    End(Failure),
}

/// The sends of one request so far, and the limits on further ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendPlan {
    kind: RouteKind,
    sends_max: u32,
    sends: u32,
    connect_failures: u32,
    may_have_run: bool,
    deadline: Instant,
    retry_after: Duration,
}

impl SendPlan {
    /// Creates the plan of a request that was not sent yet. `retry_after` is the retry delay that
    /// callers get with a failure of the kind "not run".
    pub fn new(kind: RouteKind, sends_max: u32, deadline: Instant, retry_after: Duration) -> Self {
        Self {
            kind,
            sends_max,
            sends: 0,
            connect_failures: 0,
            may_have_run: false,
            deadline,
            retry_after,
        }
    }

    /// Returns the time by which the answer must be complete.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns the number of sends, without failed connections.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Returns whether the limit on sends allows another one. The retry budget is checked
    /// separately.
    pub fn has_sends_left(&self) -> bool {
        self.sends < self.sends_max
    }

    /// Records the start of a send.
    pub fn on_send(&mut self) {
        self.sends += 1;
    }

    /// Decides what to do after a failed send; `spend_retry` takes one retry from the retry budget
    /// and returns whether it had one.
    pub fn on_send_failure<F>(
        &mut self,
        send_failure: SendFailure,
        now: Instant,
        spend_retry: F,
    ) -> NextStep
    where
        F: FnOnce() -> bool,
    {
        match send_failure {
            SendFailure::NotSent => {
                self.sends = self.sends.saturating_sub(1);
                self.connect_failures += 1;
                let must_end = self.connect_failures >= CONNECT_FAILURES_MAX || !self.has_time(now);
                // A send that replaces a failed first connection is not a retry.
                if must_end || (self.sends > 0 && !spend_retry()) {
                    return NextStep::End(self.failure(NotRunReason::NoTarget));
                }
                return NextStep::SendAgain;
            }
            SendFailure::NotRun | SendFailure::NotServing => {}
            SendFailure::TargetFailed | SendFailure::Broken | SendFailure::Silent => {
                self.may_have_run = true
            }
        }
        let was_not_run = matches!(send_failure, SendFailure::NotRun | SendFailure::NotServing);
        let is_repeatable = was_not_run || self.kind.is_repeatable();
        if is_repeatable && self.has_sends_left() && self.has_time(now) && spend_retry() {
            return NextStep::SendAgain;
        }
        match send_failure {
            SendFailure::TargetFailed => NextStep::ReturnTargetFailure,
            _ => NextStep::End(self.failure(NotRunReason::Refused)),
        }
    }

    /// Returns whether the request may be sent to another target while a silent send stays in
    /// progress. The retry budget is checked separately.
    pub fn may_send_beside(&self, now: Instant) -> bool {
        self.kind.is_repeatable() && self.has_sends_left() && self.has_time(now)
    }

    /// Returns how the request ends if it is not sent again. `reason` applies if it was not run.
    pub fn failure(&self, reason: NotRunReason) -> Failure {
        if self.may_have_run {
            Failure::Unknown(UnknownReason::ConnectionLost)
        } else {
            Failure::NotRun {
                reason,
                retry_after: self.retry_after,
            }
        }
    }

    /// Returns how the request ends when its deadline passes.
    pub fn timeout_failure(&self) -> Failure {
        if self.sends > 0 {
            Failure::Unknown(UnknownReason::DeadlinePassed)
        } else {
            self.failure(NotRunReason::Overloaded)
        }
    }

    fn has_time(&self, now: Instant) -> bool {
        now + SEND_TIME_MIN < self.deadline
    }
}

/// How long a target may take for the start of its answer before it counts as silent, measured from
/// the send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerTimeout {
    /// The time for a target that is stalled, see [`AnswerTimeout::is_expired`].
    pub if_stalled: Duration,
    /// The time for any target.
    pub max: Duration,
}

impl AnswerTimeout {
    /// Returns a timeout that does not depend on whether the target is stalled.
    pub fn fixed(limit: Duration) -> Self {
        Self {
            if_stalled: limit,
            max: limit,
        }
    }

    /// Returns whether the timeout has expired after `waited`, if the target's last progress on any
    /// stream was `since_progress` ago.
    ///
    /// A target that makes progress is busy, and the others usually are too. A request that left
    /// its queue would wait longer elsewhere and add to the load.
    pub fn is_expired(&self, waited: Duration, since_progress: Duration) -> bool {
        waited >= self.max || (waited >= self.if_stalled && since_progress >= STALL_LIMIT)
    }
}
