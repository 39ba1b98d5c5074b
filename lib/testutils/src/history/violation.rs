//! What can break a promise.

use beryltray_lib::ids::DocumentVersion;
use beryltray_lib::ids::EntryId;
use beryltray_lib::ids::Epoch;
use beryltray_lib::ids::GroupId;
use beryltray_lib::ids::HostId;
use beryltray_stand_ins::invocation::CallerOutcome;
use derive_more::Display;

/// One breach of a promise.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Violation {
    /// Keyed work ran more than once.
    #[display("{marker} ran {runs} times")]
    RanMoreThanOnce {
        /// The work's marker.
        marker: String,
        /// How often it ran.
        runs: usize,
    },
    /// Work ran that every caller was told was not run.
    #[display("{marker} ran, and its caller was told that it was not run")]
    RanDespiteNotRun {
        /// The work's marker.
        marker: String,
    },
    /// No order of the tries under one key explains their outcomes.
    #[display("the tries of {marker} have no order that explains {outcomes:?}")]
    NotLinearizable {
        /// The work's marker.
        marker: String,
        /// The outcomes in the order of the tries' sending.
        outcomes: Vec<CallerOutcome>,
    },
    /// An answer that was called complete is not the one that the request demands.
    #[display("{marker} got {answer:?} as its whole answer")]
    WrongAnswer {
        /// The request's marker.
        marker: String,
        /// What the caller got.
        answer: String,
    },
    /// A broken answer starts with something that is not the request's own.
    #[display("{marker} got {answer:?} before its answer broke off")]
    ForeignContent {
        /// The request's marker.
        marker: String,
        /// What the caller got.
        answer: String,
    },
    /// A request was sent to a group whose member had been missing for too long.
    #[display(
        "{marker} was sent to {host} while {missing} had been missing for {missing_for_ms} ms"
    )]
    MemberMissing {
        /// The request's marker.
        marker: String,
        /// The group's leader.
        host: HostId,
        /// A member that was missing.
        missing: HostId,
        /// For how long.
        missing_for_ms: u64,
    },
    /// A host is in two groups of the table at once.
    #[display("{host} is in {first} and {second}")]
    HostInTwoGroups {
        /// The host.
        host: HostId,
        /// One group.
        first: GroupId,
        /// The other group.
        second: GroupId,
    },
    /// A row of the placement was written under an old lease.
    #[display("{key} was written under {written}, and the lease is at {current}")]
    StaleWrite {
        /// The row's key.
        key: String,
        /// The epoch of the write.
        written: Epoch,
        /// The epoch of the lease.
        current: Epoch,
    },
    /// A lease's epoch did not grow by one at a change of its holder.
    #[display("{key} went from {from} to {to} at a change of its holder")]
    InvalidEpochChange {
        /// The lease's key.
        key: String,
        /// The epoch before.
        from: Epoch,
        /// The epoch after.
        to: Epoch,
    },
    /// A target got new work too long after it was marked as leaving.
    #[display("{marker} was sent to {host}, which had been leaving for {leaving_for_ms} ms")]
    SentToLeavingTarget {
        /// The request's marker.
        marker: String,
        /// The target.
        host: HostId,
        /// For how long.
        leaving_for_ms: u64,
    },
    /// The head of an environment went back.
    #[display("{key} went from version {from} to version {to}")]
    HeadReverted {
        /// The head's key.
        key: String,
        /// The version before.
        from: DocumentVersion,
        /// The version after.
        to: DocumentVersion,
    },
    /// An entry went back to an older version.
    #[display("{entry} went from version {from} to version {to}")]
    InForceReverted {
        /// The entry.
        entry: EntryId,
        /// The version before.
        from: DocumentVersion,
        /// The version after.
        to: DocumentVersion,
    },
}
