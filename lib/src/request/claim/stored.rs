//! What a row of the table means for a claim or mark that wants to be written there.

use crate::ids::Digest;
use crate::ids::Revision;
use crate::platform::Condition;
use crate::platform::Row;
use crate::platform::rows::ClaimRow;
use crate::platform::rows::ClaimState;

use super::types::RecordedAnswer;

/// A claim's row as it stands in the table.
#[derive(Clone, Debug)]
pub(super) struct StoredClaim {
    pub claim: ClaimRow,
    pub revision: Revision,
}

/// What stands under a key.
#[derive(Clone, Debug)]
pub(super) enum Standing {
    /// Nothing.
    Absent,
    /// A claim.
    Claim(StoredClaim),
    /// A row that this program can't read.
    Unreadable,
}

impl Standing {
    /// Reads a row.
    pub(super) fn read(row: Option<&Row>) -> Self {
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

    /// Returns the condition under which the row may be overwritten by a claim or a mark of work
    /// that was not run: there is no row, or one that says "not run".
    pub(super) fn free_condition(&self) -> Option<Condition> {
        match self {
            Self::Absent => Some(Condition::Absent),
            Self::Claim(stored) if stored.claim.state == ClaimState::NotRun => {
                Some(Condition::Revision(stored.revision))
            }
            Self::Claim(_) | Self::Unreadable => None,
        }
    }
}

/// What a claim that stands already means for a request with the same key.
#[derive(Clone, Debug)]
pub(super) enum EarlierClaim {
    /// The key belongs to another body.
    OtherBody,
    /// The work ran, and this is its answer.
    Answered(RecordedAnswer),
    /// The work was not run.
    NotRun,
    /// The work was started.
    Started,
    /// The work may have run.
    Unknown,
}

/// Returns what a claim that stands already means for a request with `digest`.
pub(super) fn earlier_claim(claim: &ClaimRow, digest: &Digest) -> EarlierClaim {
    if claim.request_digest != *digest {
        return EarlierClaim::OtherBody;
    }
    match &claim.state {
        ClaimState::Started => EarlierClaim::Started,
        ClaimState::NotRun => EarlierClaim::NotRun,
        ClaimState::Unknown => EarlierClaim::Unknown,
        ClaimState::Done {
            status,
            content_type,
            body,
        } => EarlierClaim::Answered(RecordedAnswer {
            status: *status,
            content_type: content_type.clone(),
            body: body.clone(),
        }),
    }
}
