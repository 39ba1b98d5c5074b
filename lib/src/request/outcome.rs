//! The one typed outcome that each request ends in.

use std::time::Duration;

use derive_more::Display;

/// Why a request was certainly not run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum NotRunReason {
    /// The account is over its limit.
    #[display("over the account's limit")]
    OverLimit,
    /// The queue's wait is longer than the deadline allows.
    #[display("the deadline can't be met")]
    Overloaded,
    /// No target of the service is whole.
    #[display("no target can serve")]
    NoTarget,
    /// The claim that must come first can't be made, since the platform is not reached.
    #[display("the claim can't be recorded")]
    ClaimUnavailable,
    /// The entry is about to stop, or is not ready yet.
    #[display("the entry is not ready")]
    NotReady,
    /// A trusted target refused the request before it started.
    #[display("refused by the target before the start")]
    Refused,
}

/// Why it can't be said whether a request ran.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum UnknownReason {
    /// The connection broke after the request was sent.
    #[display("the connection broke")]
    ConnectionLost,
    /// The deadline passed after the request was sent.
    #[display("the deadline passed")]
    DeadlinePassed,
    /// The answer came from another generation than the request was sent to.
    #[display("the answer came from another generation")]
    WrongGeneration,
    /// The answer does not belong to the attempt, or has no end.
    #[display("the answer is not whole")]
    IncompleteAnswer,
    /// An earlier entry claimed the work and its result was never recorded.
    #[display("an earlier attempt's result was never recorded")]
    ClaimAbandoned,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Outcome {
    /// The caller has its whole answer.
    #[display("complete")]
    Complete,
    /// The request was certainly not run.
    #[display("not run: {reason}")]
    NotRun {
        /// Why not.
        reason: NotRunReason,
        /// When the caller should come back.
        retry_after: Duration,
    },
    /// The request was certainly not run, but an earlier one under its key may have been.
    #[display("unknown: not run now, {reason}, but an earlier request under the key may have run")]
    KeyStateUnknown {
        /// Why the request was not run.
        reason: NotRunReason,
        /// When the caller should come back.
        retry_after: Duration,
    },
    /// The request may have run.
    #[display("unknown: {reason}")]
    Unknown {
        /// Why it can't be said.
        reason: UnknownReason,
    },
    /// The target ran the request and answered with its own error.
    #[display("failed with status {status}")]
    Failed {
        /// The target's HTTP status.
        status: u16,
    },
}
