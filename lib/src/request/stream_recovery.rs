//! Recovery of a streamed answer whose connection or target failed.
//!
//! If the target still runs the request and its engine can resume, the stream continues after its
//! last token. Otherwise the request is retried on another target, provided that no token was
//! passed on to the caller. Otherwise the stream ends visibly broken: a truncated answer must never
//! look complete.

use std::time::Instant;

use derive_more::Display;

use super::retry::NoRetryReason;
use super::retry::RetryBudget;
use super::retry::TryState;
use super::retry::decide_retry;

/// Cause of a stream failure.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum StreamFailure {
    /// The connection broke or stalled, but the target answers on a new one.
    #[display("the connection was lost, the target is alive")]
    ConnectionLost,
    /// The target does not answer, or its presence gate is closed.
    #[display("the target does not answer")]
    TargetLost,
    /// The answer came from another group or generation, or belongs to another attempt.
    #[display("the answer belongs to another attempt or generation")]
    WrongAnswer,
}

/// Decision on a failed stream.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum StreamRecovery {
    /// Request the rest of the same attempt from the same target.
    #[display("resume after {from_tokens} tokens")]
    Resume {
        /// Tokens that were already passed on to the caller.
        from_tokens: u64,
    },
    /// Send the request to another target under a new attempt.
    #[display("retry on another target")]
    Retry,
    /// End the answer without its end marker.
    #[display("end broken: {reason}")]
    EndBroken {
        /// Why the request is not retried.
        reason: NoRetryReason,
    },
}

/// State of one stream across its attempts, from which its recovery is decided.
///
/// ```
/// use std::time::Duration;
/// use std::time::Instant;
///
/// use beryltray_lib::request::retry::RetryBudget;
/// use beryltray_lib::request::retry::TryState;
/// use beryltray_lib::request::stream_recovery::StreamRecoveryState;
/// use beryltray_lib::request::stream_recovery::StreamFailure;
/// use beryltray_lib::request::stream_recovery::StreamRecovery;
///
/// let now = Instant::now();
/// let mut budget = RetryBudget::new(Default::default(), now);
/// let state = TryState {
///     is_idempotent: true,
///     tries: 1,
///     delivered_tokens: 0,
///     deadline: now + Duration::from_secs(30),
///     expected_time: Duration::from_secs(4),
/// };
/// let mut stream = StreamRecoveryState::new(state, true);
/// stream.on_tokens(12);
/// let recovery = stream.on_failure(StreamFailure::ConnectionLost, &mut budget, now);
/// assert_eq!(recovery, StreamRecovery::Resume { from_tokens: 12 });
/// ```
#[derive(Clone, Debug)]
pub struct StreamRecoveryState {
    state: TryState,
    is_resumable: bool,
    resumes: u32,
}

/// Limit on the resumes of one attempt.
const RESUMES_MAX: u32 = 3;

impl StreamRecoveryState {
    /// Creates the state of a new stream; `is_resumable` is whether its targets can resume answers.
    pub fn new(state: TryState, is_resumable: bool) -> Self {
        Self {
            state,
            is_resumable,
            resumes: 0,
        }
    }

    /// Records that `tokens` more tokens were passed on to the caller.
    pub fn on_tokens(&mut self, tokens: u64) {
        self.state.delivered_tokens += tokens;
    }

    /// Returns the number of tokens that were passed on to the caller.
    pub fn delivered_tokens(&self) -> u64 {
        self.state.delivered_tokens
    }

    /// Decides how to recover from `failure`.
    ///
    /// A resume runs no work twice, so it needs no retry budget and is allowed for requests that
    /// are not idempotent.
    pub fn on_failure(
        &mut self,
        failure: StreamFailure,
        budget: &mut RetryBudget,
        now: Instant,
    ) -> StreamRecovery {
        let can_resume = self.is_resumable && self.resumes < RESUMES_MAX;
        let is_before_deadline = now < self.state.deadline;
        if failure == StreamFailure::ConnectionLost && can_resume && is_before_deadline {
            self.resumes += 1;
            let from_tokens = self.state.delivered_tokens;
            return StreamRecovery::Resume { from_tokens };
        }
        match decide_retry(&self.state, budget, now) {
            Ok(()) => {
                self.state.tries += 1;
                self.resumes = 0;
                StreamRecovery::Retry
            }
            Err(reason) => StreamRecovery::EndBroken { reason },
        }
    }
}
