//! Access to the versions in the platform's table and object store.

use derive_more::Display;
use derive_more::Error;
use derive_more::From;

use crate::ids::AttemptId;
use crate::ids::Digest;
use crate::ids::DocumentVersion;
use crate::ids::EnvironmentId;
use crate::ids::Revision;
use crate::platform::Check;
use crate::platform::CommitOutcome;
use crate::platform::Condition;
use crate::platform::ObjectStore;
use crate::platform::PlatformError;
use crate::platform::Put;
use crate::platform::Row;
use crate::platform::Table;
use crate::platform::Transaction;
use crate::platform::rows::HeadRow;
use crate::platform::rows::document_key;
use crate::platform::rows::head_key;
use crate::platform::rows::history_key;

use super::head::FetchedVersion;
use super::head::HeadMark;
use super::head::HeadVersion;
use super::head::StoredHead;

/// Why a version could not be read or written.
#[derive(Clone, Debug, Display, Eq, Error, From, PartialEq)]
pub enum VersionStoreError {
    /// A call to the platform failed.
    #[display("{_0}")]
    Platform(PlatformError),
    /// A row or object was read, but its value can't be decoded.
    #[display(
        "`{key}` can't be read: {reason}. \
         Hint: check whether this program is older than the one that wrote it"
    )]
    Unreadable {
        /// The key of the row or object.
        key: String,
        /// The error of the decoder.
        reason: String,
    },
    /// The platform has no such version or document.
    #[display("the platform has no {what}. Hint: `beryltray config history` lists the versions")]
    Missing {
        /// The description of what is missing.
        what: String,
    },
}

/// The stored versions of one environment.
#[derive(Clone, Debug)]
pub struct VersionStore<T> {
    platform: T,
    environment: EnvironmentId,
}

impl<T> VersionStore<T>
where
    T: Table + ObjectStore,
{
    /// Creates the store of the versions of `environment`; does not call the platform.
    pub fn new(platform: T, environment: EnvironmentId) -> Self {
        Self {
            platform,
            environment,
        }
    }

    /// Returns the environment whose versions are accessed.
    pub fn environment(&self) -> &EnvironmentId {
        &self.environment
    }

    /// Reads the head; `None` before the first version.
    pub async fn head(&self) -> Result<Option<StoredHead>, VersionStoreError> {
        let keys = vec![head_key(&self.environment)];
        let row = self.platform.read(keys).await?.into_iter().flatten().next();
        row.map(|row| read_head(&row)).transpose()
    }

    /// Reads the history row of a version and the attempt that wrote it; `None` if it has no row.
    pub async fn history_version(
        &self,
        version: DocumentVersion,
    ) -> Result<Option<HistoryVersion>, VersionStoreError> {
        let keys = vec![history_key(&self.environment, version)];
        let row = self.platform.read(keys).await?.into_iter().flatten().next();
        row.map(|row| read_history_version(&row)).transpose()
    }

    /// Returns the latest versions in ascending order, at most `limit`; a limit of 0 counts as 1.
    ///
    /// The rows are read by key, so that the cost does not grow with the history.
    pub async fn latest_versions(
        &self,
        limit: u64,
    ) -> Result<Vec<HistoryVersion>, VersionStoreError> {
        let Some(head) = self.head().await? else {
            return Ok(Vec::new());
        };
        let last = head.row.version.0;
        let first = last.saturating_sub(limit.max(1) - 1).max(1);
        let versions = (first..=last).map(DocumentVersion);
        let keys = versions.map(|version| history_key(&self.environment, version));
        let rows = self.platform.read(keys.collect()).await?;
        rows.iter().flatten().map(read_history_version).collect()
    }

    /// Reads the text of the document with `digest`, without checking the digest.
    pub async fn text(&self, digest: &Digest) -> Result<String, VersionStoreError> {
        let key = document_key(digest);
        let found = self.platform.get_object(key.clone()).await?;
        let bytes = found.ok_or_else(|| VersionStoreError::Missing {
            what: format!("document with digest {digest}"),
        })?;
        String::from_utf8(bytes).map_err(|error| VersionStoreError::Unreadable {
            key,
            reason: error.to_string(),
        })
    }

    /// Stores the text of the document with `digest`; idempotent.
    pub async fn put_text(&self, digest: &Digest, text: &str) -> Result<(), VersionStoreError> {
        let bytes = text.as_bytes().to_vec();
        let stored = self.platform.put_object(document_key(digest), bytes).await;
        stored.map_err(VersionStoreError::from)
    }

    /// Reads a version with its row and text.
    ///
    /// A restored table may lack the row. It is then derived from the mark, with an unknown author.
    pub async fn fetch(&self, mark: &HeadMark) -> Result<FetchedVersion, VersionStoreError> {
        let text = self.text(&mark.digest).await?;
        let recorded = self.history_version(mark.version).await?;
        let row = recorded.map(|recorded| recorded.row);
        let row = row.filter(|row| HeadMark::from(row) == *mark);
        let row = row.unwrap_or_else(|| row_from_mark(mark));
        Ok(FetchedVersion { row, text })
    }

    /// Commits a head and its history row in one transaction, on condition that the head has the
    /// revision `observed`, or is absent for `None`.
    pub async fn commit_head(
        &self,
        attempt: AttemptId,
        row: &HeadRow,
        observed: Option<Revision>,
    ) -> Result<CommitOutcome, VersionStoreError> {
        let transaction = self.head_transaction(attempt, row, observed)?;
        Ok(self.platform.commit(transaction).await?)
    }

    /// Writes a version and its text back to a platform that has lost them, on the condition of
    /// [`VersionStore::commit_head`].
    pub async fn write_back(
        &self,
        attempt: AttemptId,
        version: &HeadVersion,
        observed: Option<Revision>,
    ) -> Result<CommitOutcome, VersionStoreError> {
        self.put_text(&version.row.digest, &version.text).await?;
        self.commit_head(attempt, &version.row, observed).await
    }

    fn head_transaction(
        &self,
        attempt: AttemptId,
        row: &HeadRow,
        observed: Option<Revision>,
    ) -> Result<Transaction, VersionStoreError> {
        let key = head_key(&self.environment);
        let value = serde_json::to_string(row).map_err(|error| unreadable(&key, &error))?;
        let condition = observed.map_or(Condition::Absent, Condition::Revision);
        let history = Put {
            key: history_key(&self.environment, row.version),
            value: value.clone(),
        };
        let check = Check {
            key: key.clone(),
            condition,
        };
        Ok(Transaction {
            attempt,
            checks: vec![check],
            puts: vec![Put { key, value }, history],
            deletes: Vec::new(),
        })
    }
}

/// The history row of a version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HistoryVersion {
    /// The decoded value of the row.
    pub row: HeadRow,
    /// The attempt that wrote the row.
    pub attempt: AttemptId,
}

/// Decodes a head row.
pub fn read_head(row: &Row) -> Result<StoredHead, VersionStoreError> {
    let revision = row.revision;
    parse_row(row).map(|row| StoredHead { row, revision })
}

fn read_history_version(row: &Row) -> Result<HistoryVersion, VersionStoreError> {
    let attempt = row.attempt.clone();
    parse_row(row).map(|row| HistoryVersion { row, attempt })
}

fn parse_row(row: &Row) -> Result<HeadRow, VersionStoreError> {
    let parsed = serde_json::from_str(&row.value);
    parsed.map_err(|error| unreadable(&row.key, &error))
}

fn unreadable(key: &str, error: &serde_json::Error) -> VersionStoreError {
    VersionStoreError::Unreadable {
        key: key.to_owned(),
        reason: error.to_string(),
    }
}

/// The author of a version whose history row the table has lost.
const UNKNOWN_AUTHOR: &str = "unknown";

fn row_from_mark(mark: &HeadMark) -> HeadRow {
    HeadRow {
        version: mark.version,
        digest: mark.digest.clone(),
        base: DocumentVersion(mark.version.0.saturating_sub(1)),
        author: String::from(UNKNOWN_AUTHOR),
        accepted_unix_s: 0,
    }
}
