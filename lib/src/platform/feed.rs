//! Change feeds of platform records: a snapshot, followed by the changes since its revision.

use std::future::Future;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;

use super::PlatformError;
use crate::ids::Revision;

/// All records of one kind at one revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot<T> {
    /// The records that could be decoded.
    pub records: Vec<T>,
    /// The revision of the snapshot, to be passed to [`Feed::changes`].
    pub revision: Revision,
}

/// The changes of records after a revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Changes<T> {
    /// The new or changed records that could be decoded.
    pub changed: Vec<T>,
    /// The keys of records that were removed or can no longer be decoded.
    pub removed: Vec<String>,
    /// The revision up to which changes are included, to be passed to the next [`Feed::changes`].
    pub revision: Revision,
}

/// Why a snapshot or changes can't be read.
#[derive(Clone, Debug, Display, Error, From)]
pub enum FeedError {
    /// The platform no longer keeps the changes since the revision; read a new snapshot.
    #[display(
        "the platform no longer keeps the changes since revision {since}. Hint: read all records again"
    )]
    HistoryLost {
        /// The revision that the caller asked for.
        since: Revision,
    },
    /// The call to the platform failed.
    Platform(PlatformError),
}

/// The platform's records of one kind.
pub trait Feed<T>: Clone + Send + Sync + 'static {
    /// Returns all records and their revision.
    fn snapshot(&self) -> impl Future<Output = Result<Snapshot<T>, FeedError>> + Send;

    /// Returns the changes after `since`, as soon as there are any, or none after `wait` (long poll).
    fn changes(
        &self,
        since: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes<T>, FeedError>> + Send;
}
