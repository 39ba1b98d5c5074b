//! The typed outcome of a request.

use std::time::Duration;

use derive_more::Display;

/// Why a request was definitely not run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum NotRunReason {
    /// The account exceeds its rate limit.
    #[display("over the account's limit")]
    OverLimit,
    /// The request can't be admitted or sent in time for its deadline.
    #[display("the deadline can't be met")]
    Overloaded,
    /// No target of the service can serve.
    #[display("no target can serve")]
    NoTarget,
    /// The claim on the idempotency key can't be recorded, since the platform is unreachable.
    #[display("the claim can't be recorded")]
    ClaimUnavailable,
    /// The entry is starting or shutting down.
    #[display("the entry is not ready")]
    NotReady,
    /// A part of the prompt is quarantined, because targets crash at requests with it.
    #[display("a part of the prompt crashes the targets")]
    PromptQuarantined,
    /// The request is quarantined, because targets crash each time that it comes.
    #[display("the request crashes the targets")]
    RequestQuarantined,
    /// A target whose refusals are trusted refused the request before starting it.
    #[display("refused by the target before the start")]
    Refused,
}

/// Why it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum UnknownReason {
    /// The connection broke after the request was sent.
    #[display("the connection broke")]
    ConnectionLost,
    /// The deadline passed after the request was sent.
    #[display("the deadline passed")]
    DeadlinePassed,
    /// The process shut down before the target answered.
    #[display("the process shut down")]
    ShutDown,
    /// The answer came from a different generation of the group than the request was sent to.
    #[display("the answer came from another generation")]
    WrongGeneration,
    /// The answer does not belong to the attempt, is malformed or lacks its end marker.
    #[display("the answer is not whole")]
    IncompleteAnswer,
    /// The target refused the request, but did not attest that it was not run.
    #[display("the target refused it without attesting that it was not run")]
    UnattestedRefusal,
    /// An earlier attempt claimed the idempotency key and its result was never recorded.
    #[display("an earlier attempt's result was never recorded")]
    ClaimAbandoned,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Outcome {
    /// The complete answer was passed on to the caller.
    #[display("complete")]
    Complete,
    /// The request was definitely not run.
    #[display("not run: {reason}")]
    NotRun {
        /// Why the request was not run.
        reason: NotRunReason,
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
    /// This request was definitely not run, but an earlier one with the same idempotency key may
    /// have run.
    #[display("unknown: not run now, {reason}, but an earlier request under the key may have run")]
    KeyStateUnknown {
        /// Why the request was not run.
        reason: NotRunReason,
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
    /// The request may have run.
    #[display("unknown: {reason}")]
    Unknown {
        /// Why it is unknown whether the request ran.
        reason: UnknownReason,
    },
    /// The target processed the request and answered with an error status.
    #[display("failed with status {status}")]
    Failed {
        /// HTTP status of the target's answer.
        status: u16,
    },
}
