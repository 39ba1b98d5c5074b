//! What follows a send that did not bring a whole answer.

use std::time::Duration;
use std::time::Instant;

use derive_more::Display;

use super::protocol::Failure;
use crate::request::outcome::NotRunReason;
use crate::request::outcome::UnknownReason;
use crate::version::routes::RouteKind;

/// How long all streams of a target may stand still before it counts as stalled: several passes
/// over full batches with long prompts between.
pub(super) const STALL_LIMIT: Duration = Duration::from_millis(350);

/// The connections that fail before a request is given up; none of them counts as a send.
const UNCONNECTED_MAX: u32 = 4;
/// The least time that makes another send worth while.
const SEND_TIME_MIN: Duration = Duration::from_millis(30);

/// How a send ended without a whole answer.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum SendFailure {
    /// No byte of the request left.
    #[display("not sent")]
    NotSent,
    /// The target vouches that the request was not run.
    #[display("refused by the target")]
    NotRun,
    /// The target vouches that it was not run, since it serves no such requests any more.
    #[display("misdirected")]
    NotServing,
    /// The target answered with a failure of its own; the request ran.
    #[display("failed by the target")]
    TargetFailed,
    /// The connection broke, or the answer is not whole or not of this request.
    #[display("broken")]
    Broken,
    /// The target went silent.
    #[display("silent")]
    Silent,
}

/// What is done next.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum NextStep {
    /// Send the request to another target.
    #[display("send again")]
    SendAgain,
    /// Pass the target's failure on.
    #[display("pass on")]
    PassOn,
    /// End the request.
    #[display("end: {_0}")]
    End(Failure),
}

/// The sends of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendPlan {
    kind: RouteKind,
    sends_max: u32,
    sends: u32,
    unconnected: u32,
    may_have_run: bool,
    deadline: Instant,
    retry_after: Duration,
}

impl SendPlan {
    /// Creates the plan of a request that was not sent yet.
    pub fn new(kind: RouteKind, sends_max: u32, deadline: Instant, retry_after: Duration) -> Self {
        Self {
            kind,
            sends_max,
            sends: 0,
            unconnected: 0,
            may_have_run: false,
            deadline,
            retry_after,
        }
    }

    /// Returns when the request must have its final answer.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns how often the request was sent.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Returns whether another send is allowed at all, whatever the budget says.
    pub fn has_sends_left(&self) -> bool {
        self.sends < self.sends_max
    }

    /// Takes note that the request is being sent.
    pub fn on_send(&mut self) {
        self.sends += 1;
    }

    /// Decides what follows a send; `spend` takes one further send out of the shared budget.
    pub fn on_end<F>(&mut self, end: SendFailure, now: Instant, spend: F) -> NextStep
    where
        F: FnOnce() -> bool,
    {
        match end {
            SendFailure::NotSent => {
                self.sends = self.sends.saturating_sub(1);
                self.unconnected += 1;
                let is_hopeless = self.unconnected >= UNCONNECTED_MAX || !self.has_time(now);
                // A first send that never left is not a further one.
                if is_hopeless || (self.sends > 0 && !spend()) {
                    return NextStep::End(self.failure(NotRunReason::NoTarget));
                }
                return NextStep::SendAgain;
            }
            SendFailure::NotRun | SendFailure::NotServing => {}
            SendFailure::TargetFailed | SendFailure::Broken | SendFailure::Silent => {
                self.may_have_run = true
            }
        }
        let was_not_run = matches!(end, SendFailure::NotRun | SendFailure::NotServing);
        let is_repeatable = was_not_run || self.kind.is_repeatable();
        if is_repeatable && self.has_sends_left() && self.has_time(now) && spend() {
            return NextStep::SendAgain;
        }
        match end {
            SendFailure::TargetFailed => NextStep::PassOn,
            _ => NextStep::End(self.failure(NotRunReason::Refused)),
        }
    }

    /// Returns how the request ends if it is given up now.
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

    /// Returns how the request ends when its time is up during a send.
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

/// How long a target may take until its answer begins.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerTimeout {
    /// The wait after which a target that stands still is given up.
    pub if_stalled: Duration,
    /// The wait after which any target is given up.
    pub max: Duration,
}

impl AnswerTimeout {
    /// Returns a limit that is the same whether the target stands still or not.
    pub fn fixed(limit: Duration) -> Self {
        Self {
            if_stalled: limit,
            max: limit,
        }
    }

    /// Returns whether a target is given up after `waited`, when nobody has seen it move
    /// for `still`.
    ///
    /// A target that moves is busy, and so are the others as a rule: a request that leaves its
    /// place in the queue there waits longer, and adds to the load.
    pub fn is_expired(&self, waited: Duration, still: Duration) -> bool {
        waited >= self.max || (waited >= self.if_stalled && still >= STALL_LIMIT)
    }
}
