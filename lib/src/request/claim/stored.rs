//! Evaluates the stored row of a key before a claim or a result is written there.

use crate::ids::Digest;
use crate::ids::Revision;
use crate::platform::Condition;
use crate::platform::Row;
use crate::platform::rows::ClaimRow;
use crate::platform::rows::ClaimState;

use super::types::RecordedAnswer;

/// A claim's row as read from the table.
#[derive(Clone, Debug)]
pub(super) struct StoredClaim {
    pub claim: ClaimRow,
    pub revision: Revision,
}

/// The content of the table under a claim's key.
#[derive(Clone, Debug)]
pub(super) enum StoredRow {
    /// There is no row.
    Absent,
    /// The row of a claim.
    Claim(StoredClaim),
    /// A row that can't be parsed.
    Unreadable,
}

impl StoredRow {
    /// Parses a row; `row` is `None` if the key has none.
    pub(super) fn parse(row: Option<&Row>) -> Self {
        let Some(row) = row else {
            return Self::Absent;
        };
        match serde_json::from_str(&row.value) {
            Ok(claim) => Self::Claim(StoredClaim {
                claim,
                revision: row.revision,
            }),
            Err(_) => Self::Unreadable,
        }
    }

    /// Returns the condition for writing a new claim or a result under the key.
    ///
    /// Returns `None` unless there is no row or the row's state is "not run"; any other row must
    /// not be overwritten.
    pub(super) fn overwrite_condition(&self) -> Option<Condition> {
        match self {
            Self::Absent => Some(Condition::Absent),
            Self::Claim(stored) if stored.claim.state == ClaimState::NotRun => {
                Some(Condition::Revision(stored.revision))
            }
            Self::Claim(_) | Self::Unreadable => None,
        }
    }
}

/// The meaning of an existing claim for a request with the same key.
#[derive(Clone, Debug)]
pub(super) enum ExistingClaim {
    /// The claim is for another request body.
    OtherBody,
    /// The work ran, and its answer was recorded.
    Answered(RecordedAnswer),
    /// The work was not run; the key can be claimed again.
    NotRun,
    /// The work was claimed, and its result is not recorded.
    Started,
    /// The work may have run; its result was recorded as unknown.
    Unknown,
}

/// Evaluates an existing claim for a request whose body has `digest`.
pub(super) fn evaluate_existing(claim: &ClaimRow, digest: &Digest) -> ExistingClaim {
    if claim.request_digest != *digest {
        return ExistingClaim::OtherBody;
    }
    match &claim.state {
        ClaimState::Started => ExistingClaim::Started,
        ClaimState::NotRun => ExistingClaim::NotRun,
        ClaimState::Unknown => ExistingClaim::Unknown,
        ClaimState::Done {
            status,
            content_type,
            body,
        } => ExistingClaim::Answered(RecordedAnswer {
            status: *status,
            content_type: content_type.clone(),
            body: body.clone(),
        }),
    }
}
