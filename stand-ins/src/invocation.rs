//! The record that a caller of a trial writes for each request.

use beryltray_lib::ids::AccountId;
use beryltray_lib::ids::IdempotencyKey;
use beryltray_lib::ids::OperationId;
use beryltray_lib::ids::ServiceId;
use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// The outcome of a request, as its caller observed it.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum CallerOutcome {
    /// The caller received an answer that is marked as complete.
    #[display("complete")]
    Complete,
    /// The entry answered that the request was not run.
    #[display("not-run")]
    NotRun,
    /// The entry answered that the request may have run.
    #[display("unknown")]
    Unknown,
    /// The target answered with an error.
    #[display("failed")]
    Failed,
    /// Earlier work with the same idempotency key is still in flight.
    #[display("in-progress")]
    InProgress,
    /// The entry refused the request as invalid.
    #[display("invalid")]
    Invalid,
    /// A streamed answer ended without its end marker.
    #[display("broken")]
    Broken,
    /// The connection broke, or the timeout passed, before the head of an answer arrived.
    #[display("no-answer")]
    NoAnswer,
    /// No entry accepted a connection, so nothing was sent.
    #[display("not-sent")]
    NotSent,
}

impl CallerOutcome {
    /// All outcomes, in the order of their declaration.
    pub const ALL: [Self; 9] = [
        Self::Complete,
        Self::NotRun,
        Self::Unknown,
        Self::Failed,
        Self::InProgress,
        Self::Invalid,
        Self::Broken,
        Self::NoAnswer,
        Self::NotSent,
    ];

    /// Parses the value of an answer's outcome header. Returns `None` for an unknown one.
    pub fn from_label(label: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|outcome| outcome.to_string() == label)
    }
}

/// One attempt at a request, as its caller observed it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Invocation {
    /// The marker, which is unique for each request; retries with the same key repeat it.
    pub marker: String,
    /// The client account that the request was sent for.
    pub account: AccountId,
    /// The service that the request was sent to.
    pub service: ServiceId,
    /// The operation; `None` for a model service.
    pub operation: Option<OperationId>,
    /// The idempotency key; `None` for idempotent work.
    pub key: Option<IdempotencyKey>,
    /// The number of tokens of the complete answer of a model service.
    pub expected_tokens: u64,
    /// The scheduled send time, in microseconds since the Unix epoch.
    pub intended_unix_us: u64,
    /// The actual send time, in microseconds since the Unix epoch.
    pub sent_unix_us: u64,
    /// When the outcome was known, in microseconds since the Unix epoch.
    pub ended_unix_us: u64,
    /// The outcome of this attempt.
    pub outcome: CallerOutcome,
    /// The received part of the answer: the text of the tokens, or the body of a plain answer.
    pub answer: String,
}
