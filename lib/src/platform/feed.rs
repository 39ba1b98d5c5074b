//! Records of the platform that are followed: read once, then kept up to date by their changes.

use std::future::Future;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;

use super::PlatformError;
use crate::ids::Revision;

/// All records of a kind, as of one moment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot<T> {
    /// The records that can be read.
    pub records: Vec<T>,
    /// The revision from which changes follow.
    pub revision: Revision,
}

/// What has changed since a revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Changes<T> {
    /// The records that are new or changed and can be read.
    pub changed: Vec<T>,
    /// The keys of records that were removed or can no longer be read.
    pub removed: Vec<String>,
    /// The revision from which changes follow.
    pub revision: Revision,
}

/// Why changes can't be followed.
#[derive(Clone, Debug, Display, Error, From)]
pub enum FeedError {
    /// The platform no longer has the changes since the revision.
    #[display("the changes since revision {since} are gone. Hint: read all records again")]
    HistoryLost {
        /// The revision.
        since: Revision,
    },
    /// The call failed.
    Platform(PlatformError),
}

/// Records of one kind in the platform.
pub trait Feed<T>: Clone + Send + Sync + 'static {
    /// Returns all records.
    fn snapshot(&self) -> impl Future<Output = Result<Snapshot<T>, FeedError>> + Send;

    /// Returns what changed after `since`, as soon as there is something or after `wait`.
    fn changes(
        &self,
        since: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes<T>, FeedError>> + Send;
}
