//! What goes into the machine of claims and what comes out.

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

/// The name of one piece of non-idempotent work: the caller's account and its key.
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{account}/{key}")]
pub struct WorkKey {
    /// The caller's account.
    pub account: AccountId,
    /// The key that the caller chose.
    pub key: IdempotencyKey,
}

/// Who makes the claims.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimOwner {
    /// The environment.
    pub environment: EnvironmentId,
    /// The entry.
    pub entry: EntryId,
    /// The life of the entry's process.
    pub incarnation: Incarnation,
}

/// The number that the driver gives a request for a claim, to find its caller again.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct ClaimTicket(pub u64);

/// The number of a batch of claims and marks that share a transaction.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct BatchNumber(pub u64);

/// An answer that is given again under the same key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub content_type: String,
    /// The body.
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

/// What a request with a key is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimDecision {
    /// The claim is durable, and the request may be sent once under the attempt.
    Granted {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The work ran before, and this is its answer.
    Replay {
        /// The answer.
        answer: RecordedAnswer,
    },
    /// The work is in flight under another request.
    InProgress {
        /// When to ask again.
        retry_after: Duration,
    },
    /// The key belongs to another request body.
    OtherBody,
    /// The work was claimed before and its result was never recorded: it may have run.
    Abandoned,
    /// The claim was not made, and the work was not run for this request.
    NotRun {
        /// When to come back.
        retry_after: Duration,
    },
}

/// How a call reaches the platform's table.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum TableRoute {
    /// From this process.
    #[display("direct")]
    Direct,
    /// By a peer entry in another data centre.
    #[display("peer")]
    Peer,
}

/// What the machine wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimAction {
    /// Tell a request its decision.
    Decide {
        /// The ticket of the request.
        ticket: ClaimTicket,
        /// The decision.
        decision: ClaimDecision,
    },
    /// Commit a batch.
    Commit {
        /// The batch.
        batch: BatchNumber,
        /// How to reach the table.
        route: TableRoute,
        /// The transaction.
        transaction: Transaction,
    },
    /// Read a batch's rows back, since the answer to its commit was lost.
    Read {
        /// The batch.
        batch: BatchNumber,
        /// How to reach the table.
        route: TableRoute,
        /// The keys of the rows.
        keys: Vec<String>,
    },
    /// Log that what became of some work could not be recorded.
    ReportUnrecorded {
        /// The work.
        work: WorkKey,
    },
}

/// An entry that the exchange between entries hears.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LiveEntry {
    /// The entry.
    pub entry: EntryId,
    /// The life of its process.
    pub incarnation: Incarnation,
}

impl Keyed for LiveEntry {
    type Key = EntryId;

    fn key(&self) -> &EntryId {
        &self.entry
    }
}

/// Settings of the machine.
#[derive(Clone, Debug)]
pub struct ClaimSettings {
    /// How long a first claim waits for others to share its transaction.
    pub batch_delay: Duration,
    /// The most claims and marks in a transaction.
    pub batch_limit: usize,
    /// The most transactions in flight.
    pub batches_in_flight_limit: usize,
    /// The most pieces of work that this process holds at once.
    pub held_limit: usize,
    /// How long a request waits for its claim before it is told that it was not run.
    pub claim_timeout: Duration,
    /// How long a route that failed is left alone.
    pub route_retry_delay: Duration,
    /// How long what became of some work is tried to be recorded.
    pub record_timeout: Duration,
    /// How long a claim of an entry that is not heard counts as in flight.
    pub abandon_after: Duration,
    /// When a request is told to come back.
    pub retry_after: Duration,
    /// Whether a peer entry in another data centre can reach the table in this process's stead.
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
