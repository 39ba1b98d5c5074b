//! The platform's services: the transactional table, the object store and the host list.
//!
//! The rest of the library uses the traits. [`http`] is their implementation in this crate.

pub mod feed;
pub mod http;
pub mod rows;
pub mod wire;

use std::future::Future;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::AttemptId;
use crate::ids::DataCentreId;
use crate::ids::FabricDomainId;
use crate::ids::HostId;
use crate::ids::Revision;
use crate::ids::ServiceId;

/// Why a call to the platform failed.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum PlatformError {
    /// The call was not executed, so a retry is safe.
    #[display("the platform can't be reached: {reason}. Hint: check its address and its health")]
    Unavailable {
        /// The message of the connection error or of the platform.
        reason: String,
    },
    /// The call may have been executed. The caller must read its rows to find out.
    #[display("the platform's answer was lost: {reason}. Hint: read the row back by attempt id")]
    Ambiguous {
        /// Why the answer was lost.
        reason: String,
    },
    /// The platform's answer violates its protocol.
    #[display(
        "the platform's answer can't be read: {reason}. Hint: compare the versions of entry and platform"
    )]
    Protocol {
        /// The protocol violation or the decoding error.
        reason: String,
    },
}

/// A row of the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// The row's value, as JSON text.
    pub value: String,
    /// The revision, which changes with every write to the row. It is reused only by a platform that is restored
    /// from a copy, see [`crate::process::platform_history`].
    pub revision: Revision,
    /// The attempt ID of the transaction that last wrote the row.
    pub attempt: AttemptId,
}

/// A precondition on a row.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// No row has the key.
    Absent,
    /// The row has exactly this revision.
    Revision(Revision),
}

/// A precondition of a transaction on one row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Check {
    /// The key of the row, which may be absent.
    pub key: String,
    /// The condition on the current row.
    pub condition: Condition,
}

/// A write of one row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Put {
    /// The row's key.
    pub key: String,
    /// The new value, as JSON text.
    pub value: String,
}

/// Writes that are applied atomically if all checks pass.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Transaction {
    /// The unique attempt ID, which is stored in the written rows. If the answer is lost, it shows
    /// whether the transaction was committed.
    pub attempt: AttemptId,
    /// The preconditions; all must pass.
    pub checks: Vec<Check>,
    /// The rows to write.
    pub puts: Vec<Put>,
    /// The keys of the rows to remove.
    pub deletes: Vec<String>,
}

/// The result of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitOutcome {
    /// All writes were applied.
    Committed {
        /// The new revision, the same for all rows that the transaction wrote.
        revision: Revision,
    },
    /// A check failed and no write was applied.
    Refused {
        /// The current rows in the order of the checks; `None` for an absent row.
        current: Vec<Option<Row>>,
    },
}

/// The platform's transactional table.
pub trait Table: Clone + Send + Sync + 'static {
    /// Returns a consistent read of the rows with `keys`, in that order; `None` for an absent row.
    fn read(
        &self,
        keys: Vec<String>,
    ) -> impl Future<Output = Result<Vec<Option<Row>>, PlatformError>> + Send;

    /// Returns the rows whose keys start with `prefix`, in ascending order of their keys.
    fn scan(&self, prefix: String) -> impl Future<Output = Result<Vec<Row>, PlatformError>> + Send;

    /// Commits a transaction.
    ///
    /// After [`PlatformError::Ambiguous`], the caller must read the rows and compare their attempt
    /// IDs. It must not resend the transaction with the same attempt ID.
    fn commit(
        &self,
        transaction: Transaction,
    ) -> impl Future<Output = Result<CommitOutcome, PlatformError>> + Send;
}

/// The platform's object store for immutable objects.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Returns the object with `key`, or `None` if it does not exist.
    fn get_object(
        &self,
        key: String,
    ) -> impl Future<Output = Result<Option<Vec<u8>>, PlatformError>> + Send;

    /// Stores an object. Storing the same bytes again is idempotent.
    fn put_object(
        &self,
        key: String,
        bytes: Vec<u8>,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;
}

/// A host's state in the platform's host list.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// The host is available.
    #[display("live")]
    Live,
    /// The host is about to be removed and gets no new requests.
    #[display("leaving")]
    Leaving,
}

/// A host in the platform's host list, which may be out of date.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedHost {
    /// The host's unique name.
    pub host: HostId,
    /// The service that the host is reserved for.
    pub service: ServiceId,
    /// The address of the host's target interface.
    pub address: std::net::SocketAddr,
    /// The data centre that the host is in.
    pub data_centre: DataCentreId,
    /// The fabric domain that the host is in.
    pub domain: FabricDomainId,
    /// Whether the host is available or about to be removed.
    pub state: ListedState,
}

/// The platform's host list.
pub trait HostList: Clone + Send + Sync + 'static {
    /// Returns all live and leaving hosts. The list may be several seconds old.
    fn hosts(&self) -> impl Future<Output = Result<Vec<ListedHost>, PlatformError>> + Send;
}

impl crate::sorted::Keyed for ListedHost {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.host
    }
}
