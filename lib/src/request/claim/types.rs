//! Inputs, outputs and settings of the claim state machine.

use std::time::Duration;

use derive_more::Display;

use crate::ids::AccountId;
use crate::ids::AttemptId;
use crate::ids::EntryId;
use crate::ids::EnvironmentId;
use crate::ids::IdempotencyKey;
use crate::ids::Incarnation;
use crate::platform::Transaction;
use crate::platform::rows::ClaimState;
use crate::sorted::Keyed;

/// Identifies a piece of non-idempotent work by the caller's account and idempotency key.
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{account}/{key}")]
pub struct WorkKey {
    /// The caller's account.
    pub account: AccountId,
    /// The idempotency key that the caller chose.
    pub key: IdempotencyKey,
}

/// The entry process that makes the claims.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimOwner {
    /// The environment; part of the keys of the claims' rows.
    pub environment: EnvironmentId,
    /// The entry's identifier.
    pub entry: EntryId,
    /// The incarnation of the entry's process; higher after each restart.
    pub incarnation: Incarnation,
}

/// Identifies a request for a claim. The driver assigns it to match the decision to the caller.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct ClaimTicket(pub u64);

/// Identifies a batch of rows that are written in one transaction.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct BatchNumber(pub u64);

/// A recorded answer, returned to later requests with the same key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordedAnswer {
    /// The HTTP status code.
    pub status: u16,
    /// The media type of the body.
    pub content_type: String,
    /// The body as text; only UTF-8 answers are recorded.
    pub body: String,
}

impl From<RecordedAnswer> for ClaimState {
    fn from(answer: RecordedAnswer) -> Self {
        Self::Done {
            status: answer.status,
            content_type: answer.content_type,
            body: answer.body,
        }
    }
}

/// The decision on a request for a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimDecision {
    /// The claim is durable, and the work may be sent once.
    Granted {
        /// The attempt identifier to send the work with.
        attempt: AttemptId,
    },
    /// The work ran before and its answer was recorded.
    Replay {
        /// The recorded answer.
        answer: RecordedAnswer,
    },
    /// Another request with the same key is in flight.
    InProgress {
        /// How long the caller should wait before a retry.
        retry_after: Duration,
    },
    /// The key was used with another request body.
    OtherBody,
    /// The work was claimed before, but its result is not known: it may have run.
    Abandoned,
    /// No claim was made, and the work was not run for this request.
    NotRun {
        /// How long the caller should wait before a retry.
        retry_after: Duration,
    },
}

/// The route by which a call reaches the platform's table.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum TableRoute {
    /// This process calls the platform.
    #[display("direct")]
    Direct,
    /// A peer entry in another data centre makes the call.
    #[display("peer")]
    Peer,
}

/// An action that the driver must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimAction {
    /// Return a decision to a request.
    Decide {
        /// The ticket of the request.
        ticket: ClaimTicket,
        /// The decision to return to the caller.
        decision: ClaimDecision,
    },
    /// Commit a batch and report the result to `ClaimMachine::on_commit`.
    Commit {
        /// The batch's number.
        batch: BatchNumber,
        /// The route to the table.
        route: TableRoute,
        /// The transaction that writes the batch's rows.
        transaction: Transaction,
    },
    /// Read a batch's rows back because the result of its commit is unknown, and report them to
    /// `ClaimMachine::on_read`.
    Read {
        /// The batch's number.
        batch: BatchNumber,
        /// The route to the table.
        route: TableRoute,
        /// The keys of the batch's rows, in the order of its writes.
        keys: Vec<String>,
    },
    /// Log that the result of some work could not be recorded.
    ReportUnrecorded {
        /// The key of the work.
        work: WorkKey,
    },
}

/// An entry that the exchange between entries reports as alive.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LiveEntry {
    /// The entry's identifier.
    pub entry: EntryId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
}

impl Keyed for LiveEntry {
    type Key = EntryId;

    fn key(&self) -> &EntryId {
        &self.entry
    }
}

/// Settings of [`ClaimMachine`](super::ClaimMachine).
#[derive(Clone, Debug)]
pub struct ClaimSettings {
    /// How long the first claim of a batch waits for others to share its transaction.
    pub batch_delay: Duration,
    /// The maximum number of rows in a transaction.
    pub batch_limit: usize,
    /// The maximum number of transactions and read-backs in flight.
    pub batches_in_flight_limit: usize,
    /// The maximum number of claims that this process holds; further requests are refused.
    pub held_limit: usize,
    /// How long a request waits for its claim before it is refused as not run.
    pub claim_timeout: Duration,
    /// How long a route is not used after it failed.
    pub route_retry_delay: Duration,
    /// How long the recording of a result is retried.
    pub record_timeout: Duration,
    /// How long the claim of an entry that is not known to be alive counts as in flight, from the
    /// time at which this process first read it.
    pub abandon_after: Duration,
    /// The retry delay that refused requests get.
    pub retry_after: Duration,
    /// Whether [`TableRoute::Peer`] is available as a fallback.
    pub has_peer_route: bool,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            batch_delay: Duration::from_millis(3),
            batch_limit: 64,
            batches_in_flight_limit: 4,
            held_limit: 10_000,
            claim_timeout: Duration::from_secs(2),
            route_retry_delay: Duration::from_secs(1),
            record_timeout: Duration::from_secs(600),
            abandon_after: Duration::from_secs(60),
            retry_after: Duration::from_secs(1),
            has_peer_route: false,
        }
    }
}
