//! What a caller of a trial records about each request.

use beryltray_lib::ids::AccountId;
use beryltray_lib::ids::IdempotencyKey;
use beryltray_lib::ids::OperationId;
use beryltray_lib::ids::ServiceId;
use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// How a request ended for its caller.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum CallerOutcome {
    /// The caller has an answer that says it is whole.
    #[display("complete")]
    Complete,
    /// The entry says that the request was not run.
    #[display("not-run")]
    NotRun,
    /// The entry says that the request may have run.
    #[display("unknown")]
    Unknown,
    /// The target answered with its own error.
    #[display("failed")]
    Failed,
    /// The work under the key is still in flight.
    #[display("in-progress")]
    InProgress,
    /// The request was refused for its form.
    #[display("invalid")]
    Invalid,
    /// A streamed answer ended without its end marker.
    #[display("broken")]
    Broken,
    /// The connection broke or the time passed before an answer's head.
    #[display("no-answer")]
    NoAnswer,
    /// No entry took the connection, so that nothing was sent.
    #[display("not-sent")]
    NotSent,
}

impl CallerOutcome {
    /// All outcomes, in order.
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

    /// Reads the word of the answer's outcome header.
    pub fn from_label(word: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|outcome| outcome.to_string() == word)
    }
}

/// One try at a request, as its caller saw it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Invocation {
    /// The marker, unique for a piece of work; further tries under one key repeat it.
    pub marker: String,
    /// The account.
    pub account: AccountId,
    /// The service.
    pub service: ServiceId,
    /// The operation, for a plain service.
    pub operation: Option<OperationId>,
    /// The key of non-idempotent work.
    pub key: Option<IdempotencyKey>,
    /// The number of tokens of the whole answer, for a model service.
    pub expected_tokens: u64,
    /// When the request was meant to be sent, in microseconds since the Unix epoch.
    pub intended_unix_us: u64,
    /// When it was sent.
    pub sent_unix_us: u64,
    /// When its outcome was known.
    pub ended_unix_us: u64,
    /// The outcome.
    pub outcome: CallerOutcome,
    /// What arrived of the answer: the tokens' text, or a plain answer's body.
    pub answer: String,
}
