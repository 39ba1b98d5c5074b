//! Violations of the guarantees.

use beryltray_lib::ids::DocumentVersion;
use beryltray_lib::ids::EntryId;
use beryltray_lib::ids::Epoch;
use beryltray_lib::ids::GroupId;
use beryltray_lib::ids::HostId;
use beryltray_stand_ins::invocation::CallerOutcome;
use derive_more::Display;

/// A violation of a [`Guarantee`](super::Guarantee).
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
    /// Work ran although all attempts sent before the run were reported as not run.
    #[display("{marker} ran although it was reported as not run")]
    RanDespiteNotRun {
        /// The work's marker.
        marker: String,
    },
    /// The outcomes of the attempts under one key are not linearizable.
    #[display("the outcomes of the attempts of {marker} are not linearizable: {outcomes:?}")]
    NotLinearizable {
        /// The work's marker.
        marker: String,
        /// The outcomes, in the order in which the attempts were sent.
        outcomes: Vec<CallerOutcome>,
    },
    /// An answer that was reported as complete is not the expected one.
    #[display("{marker} got the wrong complete answer {answer:?}")]
    WrongAnswer {
        /// The request's marker.
        marker: String,
        /// What the caller got.
        answer: String,
    },
    /// A broken answer is not a prefix of the expected answer.
    #[display("{marker} got a broken answer that is not its own: {answer:?}")]
    ForeignContent {
        /// The request's marker.
        marker: String,
        /// What the caller got.
        answer: String,
    },
    /// A request was sent to a group one of whose members had been missing for too long.
    #[display(
        "{marker} was sent to {host} while {missing} had been missing for {missing_for_ms} ms"
    )]
    MemberMissing {
        /// The request's marker.
        marker: String,
        /// The group's leader.
        host: HostId,
        /// The first missing member.
        missing: HostId,
        /// For how long at least one member had been missing, in milliseconds.
        missing_for_ms: u64,
    },
    /// A host is in two groups of the table at the same time.
    #[display("{host} is in {first} and {second}")]
    HostInTwoGroups {
        /// The host.
        host: HostId,
        /// One group.
        first: GroupId,
        /// The other group.
        second: GroupId,
    },
    /// A placement row was written under an epoch below that of the lease.
    #[display("{key} was written under {written}, and the lease is at {current}")]
    StaleWrite {
        /// The row's key.
        key: String,
        /// The epoch of the write.
        written: Epoch,
        /// The epoch of the lease.
        current: Epoch,
    },
    /// A lease was written with an epoch that is neither a renewal by its holder nor the next one.
    #[display("{key} went from {from} to {to} at a change of its holder")]
    InvalidEpochChange {
        /// The lease's key.
        key: String,
        /// The epoch before.
        from: Epoch,
        /// The epoch after.
        to: Epoch,
    },
    /// A target received a request too long after it was marked as leaving.
    #[display("{marker} was sent to {host}, which had been leaving for {leaving_for_ms} ms")]
    SentToLeavingTarget {
        /// The request's marker.
        marker: String,
        /// The target.
        host: HostId,
        /// For how long it had been leaving, in milliseconds.
        leaving_for_ms: u64,
    },
    /// The head of an environment was reverted to a lower version, or to another document of the
    /// same version.
    #[display("{key} went from version {from} to version {to}")]
    HeadReverted {
        /// The head's key.
        key: String,
        /// The version before.
        from: DocumentVersion,
        /// The version after.
        to: DocumentVersion,
    },
    /// The version in force at an entry decreased.
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
