//! What the stand-ins record about what they received and did, in the form that checkers read.
//!
//! Times are microseconds of the wall clock, which all processes of a trial on one machine share.

use std::time::SystemTime;

use beryltray_lib::ids::AttemptId;
use beryltray_lib::ids::Epoch;
use beryltray_lib::ids::Generation;
use beryltray_lib::ids::GroupId;
use beryltray_lib::ids::HostId;
use beryltray_lib::ids::OperationId;
use beryltray_lib::ids::Revision;
use beryltray_lib::platform::CommitOutcome;
use beryltray_lib::platform::Transaction;
use serde::Deserialize;
use serde::Serialize;

/// Returns the wall-clock time in microseconds since the Unix epoch.
pub fn now_unix_us() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let micros = since_epoch.unwrap_or_default().as_micros();
    u64::try_from(micros).unwrap_or(u64::MAX)
}

/// How a piece of work at a target ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkEnd {
    /// It has not ended yet.
    Running,
    /// The answer was sent to its end.
    Whole,
    /// The answer was refused before the work started.
    Refused,
    /// The work was cancelled.
    Cancelled,
    /// The reader went away, or a fault broke the answer off.
    BrokenOff,
}

/// A request that an engine's leader received.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineWork {
    /// When it was received.
    pub received_unix_us: u64,
    /// When it ended, or zero.
    pub ended_unix_us: u64,
    /// The attempt.
    pub attempt: Option<AttemptId>,
    /// The marker of the request.
    pub marker: String,
    /// The group and generation that the request was sent to.
    pub sent_to: Option<(GroupId, Generation)>,
    /// The group and generation that the host was in.
    pub own: Option<(GroupId, Generation)>,
    /// The members that did not confirm the group when the request came.
    pub missing_members: Vec<HostId>,
    /// How long at least one member had been missing, in milliseconds.
    pub missing_for_ms: u64,
    /// For how long the host had been marked as leaving, in milliseconds, if it was.
    pub leaving_for_ms: Option<u64>,
    /// The tokens that the caller already had.
    pub resumed_from_tokens: u64,
    /// The tokens that were sent.
    pub sent_tokens: u64,
    /// How it ended.
    pub end: WorkEnd,
}

/// A host's change of group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MembershipChange {
    /// When it happened.
    pub at_unix_us: u64,
    /// The group and generation after the change.
    pub membership: Option<(GroupId, Generation)>,
    /// The fencing number of the order, or `None` for a loss by fault.
    pub epoch: Option<Epoch>,
    /// Whether the order carried an older fencing number than one seen before.
    pub is_stale: bool,
}

/// What an engine host received and did.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineTruth {
    /// The host.
    pub host: HostId,
    /// The requests, in the order of their arrival.
    pub works: Vec<EngineWork>,
    /// The changes of group, in order.
    pub memberships: Vec<MembershipChange>,
}

/// A request that a plain service received.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlainWork {
    /// When it was received.
    pub received_unix_us: u64,
    /// The operation.
    pub operation: OperationId,
    /// The attempt.
    pub attempt: Option<AttemptId>,
    /// The marker of the request.
    pub marker: String,
    /// For how long the host had been marked as leaving, in milliseconds, if it was.
    pub leaving_for_ms: Option<u64>,
    /// Whether the operation was run.
    pub is_run: bool,
    /// How it ended.
    pub end: WorkEnd,
}

/// What a plain service received and ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlainTruth {
    /// The host.
    pub host: HostId,
    /// The requests, in the order of their arrival.
    pub works: Vec<PlainWork>,
}

/// A transaction that the platform decided.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableCommit {
    /// When it was decided.
    pub at_unix_us: u64,
    /// The transaction.
    pub transaction: Transaction,
    /// The result.
    pub outcome: CommitOutcome,
    /// Whether the answer was lost on purpose.
    pub is_answer_lost: bool,
}

/// A return of the table to an older state.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableRestore {
    /// When it happened.
    pub at_unix_us: u64,
    /// The last revision that was kept.
    pub revision: Revision,
}

/// A host that the list shows as leaving.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingMark {
    /// The host.
    pub host: HostId,
    /// When the list shows it, its lag included.
    pub visible_unix_us: u64,
}

/// What the platform decided.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlatformTruth {
    /// The transactions that took effect, in order.
    pub commits: Vec<TableCommit>,
    /// The number of transactions that were refused.
    pub refused_commits: u64,
    /// The returns to an older state, in order.
    pub restores: Vec<TableRestore>,
    /// The hosts that were marked as leaving.
    pub leaving_marks: Vec<LeavingMark>,
}
