//! The platform's services: its transactional table, its object store and its list of hosts.
//!
//! The traits are what the rest of the library uses; [`http`] is their only adapter.

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
    /// The call was not carried out, and a repetition is harmless.
    #[display("the platform can't be reached: {reason}. Hint: check its address and its health")]
    Unavailable {
        /// What the connection or the platform said.
        reason: String,
    },
    /// The call may have been carried out; only reading its rows back tells.
    #[display("the platform's answer was lost: {reason}. Hint: read the row back by attempt id")]
    Ambiguous {
        /// What became of the answer.
        reason: String,
    },
    /// The platform's answer does not follow its protocol.
    #[display("the platform's answer can't be read: {reason}. Hint: compare the two versions")]
    Protocol {
        /// What was wrong with the answer.
        reason: String,
    },
}

/// A row of the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// The row's value, a JSON text.
    pub value: String,
    /// The revision, which changes at every write to the row and never repeats.
    pub revision: Revision,
    /// The attempt of the transaction that wrote the row last.
    pub attempt: AttemptId,
}

/// What a transaction demands of a row before it writes anything.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// There is no row with the key.
    Absent,
    /// The row has exactly this revision.
    Revision(Revision),
}

/// A condition on one row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Check {
    /// The row's key.
    pub key: String,
    /// What must hold.
    pub condition: Condition,
}

/// A write of one row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Put {
    /// The row's key.
    pub key: String,
    /// The new value, a JSON text.
    pub value: String,
}

/// Writes that take effect together, if all checks hold.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Transaction {
    /// The unique identifier by which a lost answer is settled.
    pub attempt: AttemptId,
    /// What must hold of the rows.
    pub checks: Vec<Check>,
    /// The rows to write.
    pub puts: Vec<Put>,
    /// The keys of the rows to remove.
    pub deletes: Vec<String>,
}

/// The result of a transaction whose answer arrived.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitOutcome {
    /// All writes took effect.
    Committed {
        /// The revision of every row that the transaction wrote.
        revision: Revision,
    },
    /// A check failed and nothing was written.
    Refused {
        /// The current rows, in the order of the checks.
        current: Vec<Option<Row>>,
    },
}

/// The platform's transactional table.
pub trait Table: Clone + Send + Sync + 'static {
    /// Returns the rows with `keys`, in that order, as of one moment.
    fn read(
        &self,
        keys: Vec<String>,
    ) -> impl Future<Output = Result<Vec<Option<Row>>, PlatformError>> + Send;

    /// Returns the rows whose keys start with `prefix`, in ascending order of the keys.
    fn scan(&self, prefix: String) -> impl Future<Output = Result<Vec<Row>, PlatformError>> + Send;

    /// Carries out a transaction.
    ///
    /// After [`PlatformError::Ambiguous`] the caller reads the rows back and compares attempts; it
    /// never sends the transaction again under the same attempt.
    fn commit(
        &self,
        transaction: Transaction,
    ) -> impl Future<Output = Result<CommitOutcome, PlatformError>> + Send;
}

/// The platform's object store, for values that never change under their key.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Returns the object with `key`, or `None` if there is none.
    fn get_object(
        &self,
        key: String,
    ) -> impl Future<Output = Result<Option<Vec<u8>>, PlatformError>> + Send;

    /// Stores an object; a repetition with the same bytes is harmless.
    fn put_object(
        &self,
        key: String,
        bytes: Vec<u8>,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;
}

/// What the platform's list says of a host.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// The host is there to be used.
    #[display("live")]
    Live,
    /// The host is going away and gets no new work.
    #[display("leaving")]
    Leaving,
}

/// A host in the platform's list, which lags behind the truth.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedHost {
    /// The host's name.
    pub host: HostId,
    /// The service that the host is reserved for.
    pub service: ServiceId,
    /// The address of the host's target interface.
    pub address: std::net::SocketAddr,
    /// The host's data centre.
    pub data_centre: DataCentreId,
    /// The host's fabric domain.
    pub domain: FabricDomainId,
    /// What the platform says of the host.
    pub state: ListedState,
}

/// The platform's list of live and leaving hosts.
pub trait HostList: Clone + Send + Sync + 'static {
    /// Returns the list, which may be some seconds old.
    fn hosts(&self) -> impl Future<Output = Result<Vec<ListedHost>, PlatformError>> + Send;
}

impl crate::sorted::Keyed for ListedHost {
    type Key = HostId;

    fn key(&self) -> &HostId {
        &self.host
    }
}
