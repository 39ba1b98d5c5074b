//! The records of what the stand-ins received and did, in the form that checkers read.
//!
//! Times are in microseconds since the Unix epoch, by the wall clock, which all processes of a
//! trial on one host share.

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

/// The state of a request at a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkEnd {
    /// The request has not ended yet.
    Running,
    /// The complete answer was sent.
    Whole,
    /// The request was refused before execution.
    Refused,
    /// The request was cancelled.
    Cancelled,
    /// The answer ended early: the client disconnected, the group changed, or a fault was injected.
    BrokenOff,
}

/// A chat request that an engine host received.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineWork {
    /// When the request was received.
    pub received_unix_us: u64,
    /// When it ended; 0 while it runs.
    pub ended_unix_us: u64,
    /// The attempt identifier; `None` if the header is absent or invalid.
    pub attempt: Option<AttemptId>,
    /// The marker of the request, see [`crate::answer`].
    pub marker: String,
    /// The group and generation in the request headers, if any.
    pub sent_to: Option<(GroupId, Generation)>,
    /// The group and generation that the host was in when the request arrived, if any.
    pub own: Option<(GroupId, Generation)>,
    /// The members that had not confirmed the group when the request arrived.
    pub missing_members: Vec<HostId>,
    /// How long at least one member had been missing when the request arrived, in milliseconds;
    /// 0 if none was.
    pub missing_for_ms: u64,
    /// How long the host had been leaving when the request arrived, in milliseconds; `None` if it
    /// was not.
    pub leaving_for_ms: Option<u64>,
    /// The number of tokens that the caller already had, from the resume header.
    pub resumed_from_tokens: u64,
    /// The number of tokens that were generated for this request.
    pub sent_tokens: u64,
    /// The state of the request.
    pub end: WorkEnd,
}

/// A change of the group that a host is in.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MembershipChange {
    /// When the membership changed.
    pub at_unix_us: u64,
    /// The group and generation after the change; `None` for no group.
    pub membership: Option<(GroupId, Generation)>,
    /// The fencing token (epoch) of the order; `None` if a fault caused the change.
    pub epoch: Option<Epoch>,
    /// Whether an earlier order had a higher epoch.
    pub is_stale: bool,
}

/// The requests and membership changes of an engine host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineTruth {
    /// The name of the host.
    pub host: HostId,
    /// The requests, in the order of their arrival.
    pub works: Vec<EngineWork>,
    /// The membership changes, in the order of their occurrence.
    pub memberships: Vec<MembershipChange>,
}

/// A request that a plain service received.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlainWork {
    /// When the request was received.
    pub received_unix_us: u64,
    /// The name of the operation.
    pub operation: OperationId,
    /// The attempt identifier; `None` if the header is absent or invalid.
    pub attempt: Option<AttemptId>,
    /// The marker of the request, see [`crate::answer`].
    pub marker: String,
    /// How long the host had been leaving when the request arrived, in milliseconds; `None` if it
    /// was not.
    pub leaving_for_ms: Option<u64>,
    /// Whether the operation was executed.
    pub is_run: bool,
    /// The state of the request.
    pub end: WorkEnd,
}

/// The requests that a host of a plain service received.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlainTruth {
    /// The name of the host.
    pub host: HostId,
    /// The requests, in the order of their arrival.
    pub works: Vec<PlainWork>,
}

/// A transaction that the table committed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableCommit {
    /// When the transaction was committed.
    pub at_unix_us: u64,
    /// The transaction, as received.
    pub transaction: Transaction,
    /// The outcome, which has the revision.
    pub outcome: CommitOutcome,
    /// Whether an injected fault dropped the response.
    pub is_answer_lost: bool,
}

/// A restore of the table to an older state.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableRestore {
    /// When the table was restored.
    pub at_unix_us: u64,
    /// The last revision that the restored state contains.
    pub revision: Revision,
}

/// A host that was marked as leaving in the list of hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingMark {
    /// The name of the host.
    pub host: HostId,
    /// When the list shows the host as leaving, including the lag of the list.
    pub visible_unix_us: u64,
}

/// The changes of the platform: committed transactions, restores and leaving hosts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlatformTruth {
    /// The committed transactions, in order.
    pub commits: Vec<TableCommit>,
    /// The number of transactions that were refused because a check failed.
    pub refused_commits: u64,
    /// The restores of the table, in order.
    pub restores: Vec<TableRestore>,
    /// The hosts that were marked as leaving, in order.
    pub leaving_marks: Vec<LeavingMark>,
}
