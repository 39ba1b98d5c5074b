//! Change feeds of platform records: a snapshot, followed by the changes since its revision.

use std::borrow::Cow;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

use super::PlatformError;
use crate::ids::Revision;

/// All records of one kind at one revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot<T> {
    /// The records that could be decoded.
    pub records: Vec<T>,
    /// The keys of records that can't be decoded and that count as changed, see [`Changes::unreadable`].
    pub unreadable: Vec<String>,
    /// The revision of the snapshot, to be passed to [`Feed::changes`].
    pub revision: Revision,
    /// The revision of the last change of a record in it, also of one that can't be decoded; `None` if
    /// there is no record or the source doesn't tell it.
    pub last_change: Option<Revision>,
}

/// A record of a feed.
pub trait FeedRecord {
    /// Returns the key by which the feed names the record when it is removed.
    fn feed_key(&self) -> Cow<'_, str>;

    /// Returns whether this record replaces `known`, an earlier change of the record with the same key.
    fn replaces(&self, _known: &Self) -> bool {
        true
    }

    /// Returns about how many bytes of memory the record takes, with what it refers to.
    fn size_bytes(&self) -> usize {
        std::mem::size_of_val(self)
    }
}

/// The changes of records after a revision, as one state per record: a key is in one of the lists at
/// most. The lists do not tell the order of two changes of a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Changes<T> {
    /// The new or changed records that could be decoded.
    pub changed: Vec<T>,
    /// The keys of records that were removed or can no longer be decoded.
    pub removed: Vec<String>,
    /// The keys of records whose newest state can't be decoded and that don't count as removed. Their
    /// former states stay, and the reader must not take them for the latest ones.
    pub unreadable: Vec<String>,
    /// The revision up to which changes are included, to be passed to the next [`Feed::changes`]. If
    /// there are changes, the platform may have more after it that did not fit in its answer.
    pub revision: Revision,
}

impl<T> Changes<T>
where
    T: FeedRecord,
{
    /// Returns whether a record is both changed and removed, so that its state is not known.
    pub fn is_ambiguous(&self) -> bool {
        let is_removed = |record: &T| {
            let key = record.feed_key();
            self.removed.iter().any(|removed| *removed == key)
        };
        !self.removed.is_empty() && self.changed.iter().any(is_removed)
    }
}

/// The platform's revision of the last write or the removal of a record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordRevision {
    /// The feed key of the record.
    pub key: String,
    /// The revision.
    pub revision: Revision,
}

/// The revisions of the records in an answer. Those that can't be decoded are included.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordRevisions {
    /// The records that exist, with the revisions of their last writes in the answer.
    pub written: Vec<RecordRevision>,
    /// The records that were removed, with the revisions of their removals.
    pub removed: Vec<RecordRevision>,
}

impl RecordRevisions {
    /// Returns the revision of the last write or removal; `None` if there is none.
    pub fn newest(&self) -> Option<Revision> {
        let all = self.written.iter().chain(&self.removed);
        all.map(|record| record.revision).max()
    }
}

/// The content of an answer of a feed, and the size of the answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FeedAnswer<A> {
    /// The decoded snapshot or changes.
    pub content: A,
    /// The revisions of its records, as far as the source tells them.
    pub revisions: RecordRevisions,
    /// The size of all bodies that were read for it.
    pub size_bytes: usize,
    /// The number of rows or records that were read, with those that do not count.
    pub row_count: usize,
    /// The time from the start of the last body to its end. What the answer says is older by this
    /// time when it has been read.
    pub body_time: Duration,
}

impl<A> FeedAnswer<A> {
    /// Converts the content and keeps the size.
    pub fn map<B, F>(self, convert: F) -> FeedAnswer<B>
    where
        F: FnOnce(A) -> B,
    {
        FeedAnswer {
            content: convert(self.content),
            revisions: self.revisions,
            size_bytes: self.size_bytes,
            row_count: self.row_count,
            body_time: self.body_time,
        }
    }
}

/// Where records were read.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RecordSource {
    /// At the platform.
    #[display("platform")]
    Platform,
    /// At another entry, by its address for entries.
    #[display("{_0}")]
    Entry(SocketAddr),
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
    /// The changes since the revision are larger than the reader wants; read a snapshot instead.
    #[display(
        "the changes since revision {since} have more than {limit_bytes} bytes. Hint: read all records again"
    )]
    TooLarge {
        /// The revision that the caller asked for.
        since: Revision,
        /// The limit that the caller gave.
        limit_bytes: usize,
    },
    /// A snapshot was read from a copy of the platform that lags behind what is known.
    #[display(
        "all records were read from a copy that has only reached revision {revision}. Hint: read changes instead"
    )]
    Lagging {
        /// The revision of the snapshot.
        revision: Revision,
    },
    /// The call to the platform failed.
    #[from]
    Platform(PlatformError),
}

/// What a reader asks a feed for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChangesRequest {
    /// The revision up to which the reader knows all changes.
    pub since: Revision,
    /// The longest time to wait for a change.
    pub wait: Duration,
    /// The size above which the answer is not read, see [`FeedError::TooLarge`].
    pub limit_bytes: usize,
}

/// The platform's records of one kind.
pub trait Feed<T>: Clone + Send + Sync + 'static {
    /// Returns all records and their revision.
    fn snapshot(&self) -> impl Future<Output = Result<FeedAnswer<Snapshot<T>>, FeedError>> + Send;

    /// Returns the changes after a revision, as soon as there are any, or none after a wait (long
    /// poll). The answer may lack changes after its revision, see [`Changes::revision`].
    fn changes(
        &self,
        request: ChangesRequest,
    ) -> impl Future<Output = Result<FeedAnswer<Changes<T>>, FeedError>> + Send;

    /// Returns the newest revision of the platform, of any record, as its feed tells it. `since` is a
    /// revision that the platform has reached. Fails with [`FeedError::HistoryLost`] if the history doesn't
    /// go back that far.
    fn newest_revision(
        &self,
        since: Revision,
    ) -> impl Future<Output = Result<Revision, FeedError>> + Send;

    /// Returns the present states of the records with these feed keys, and a revision that the platform had
    /// reached then: a linearizable read, which no copy of the platform that lags answers. Those without a
    /// record are in [`Changes::removed`].
    ///
    /// It costs the platform as much as a write. Records with other keys are not read.
    fn linearizable_read(
        &self,
        keys: Vec<String>,
    ) -> impl Future<Output = Result<FeedAnswer<Changes<T>>, FeedError>> + Send;
}
