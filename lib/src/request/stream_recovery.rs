//! The recovery of a streamed answer whose connection or target failed.
//!
//! The stream goes on at its last token where the same target still runs it and its engine
//! resumes; else it starts anew on another target if the caller has seen nothing yet; else it ends
//! so that the caller can see it is broken. A truncated answer never looks whole.

use std::time::Instant;

use derive_more::Display;

use super::retry::NoRetryReason;
use super::retry::RetryBudget;
use super::retry::TryState;
use super::retry::decide_retry;

/// How a stream failed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum StreamFailure {
    /// The connection broke or went silent, and the target answers on a new one.
    #[display("the connection was lost, the target is alive")]
    ConnectionLost,
    /// The target does not answer.
    #[display("the target does not answer")]
    TargetLost,
    /// The answer came from another group or generation, or doesn't fit the attempt.
    #[display("the answer belongs to another attempt or generation")]
    WrongAnswer,
}

/// What becomes of a failed stream.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum StreamRecovery {
    /// Ask the same target for the rest of the same attempt.
    #[display("resume after {from_tokens} tokens")]
    Resume {
        /// The tokens that the caller has.
        from_tokens: u64,
    },
    /// Send the request to another target under a new attempt.
    #[display("retry on another target")]
    Retry,
    /// End the answer without its end marker.
    #[display("end broken: {reason}")]
    EndBroken {
        /// Why it is not tried again.
        reason: NoRetryReason,
    },
}

/// The stream of one attempt.
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

/// The most times that one attempt is resumed.
const RESUMES_MAX: u32 = 3;

impl StreamRecoveryState {
    /// Creates the stream of an attempt; `is_resumable` tells whether its target resumes.
    pub fn new(state: TryState, is_resumable: bool) -> Self {
        Self {
            state,
            is_resumable,
            resumes: 0,
        }
    }

    /// Takes in that `tokens` more tokens were passed on to the caller.
    pub fn on_tokens(&mut self, tokens: u64) {
        self.state.delivered_tokens += tokens;
    }

    /// Returns the number of tokens that were passed on to the caller.
    pub fn delivered_tokens(&self) -> u64 {
        self.state.delivered_tokens
    }

    /// Decides what becomes of the stream.
    ///
    /// A resume runs no work again, so it costs no budget and is open to all work.
    pub fn on_failure(
        &mut self,
        failure: StreamFailure,
        budget: &mut RetryBudget,
        now: Instant,
    ) -> StreamRecovery {
        let may_resume = self.is_resumable && self.resumes < RESUMES_MAX;
        let is_in_time = now < self.state.deadline;
        if failure == StreamFailure::ConnectionLost && may_resume && is_in_time {
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
