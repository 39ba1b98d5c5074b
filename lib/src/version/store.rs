//! Versions in the platform's table and object store.

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
    /// The platform failed.
    #[display("{_0}")]
    Platform(PlatformError),
    /// A row or a text of the platform can't be read.
    #[display("`{key}` can't be read: {reason}. Hint: compare this program's version with others")]
    Unreadable {
        /// The key of the row or object.
        key: String,
        /// What was wrong.
        reason: String,
    },
    /// The platform has no such version.
    #[display("the platform has no {what}. Hint: `beryltray config history` lists the versions")]
    Missing {
        /// What is missing.
        what: String,
    },
}

/// The versions of one environment.
#[derive(Clone, Debug)]
pub struct VersionStore<T> {
    platform: T,
    environment: EnvironmentId,
}

impl<T> VersionStore<T>
where
    T: Table + ObjectStore,
{
    /// Creates a view of the versions of `environment`.
    pub fn new(platform: T, environment: EnvironmentId) -> Self {
        Self {
            platform,
            environment,
        }
    }

    /// Returns the environment.
    pub fn environment(&self) -> &EnvironmentId {
        &self.environment
    }

    /// Reads the head.
    pub async fn head(&self) -> Result<Option<StoredHead>, VersionStoreError> {
        let keys = vec![head_key(&self.environment)];
        let row = self.platform.read(keys).await?.into_iter().flatten().next();
        row.map(|row| read_head(&row)).transpose()
    }

    /// Reads the row of a past version together with the attempt that wrote it.
    pub async fn history_version(
        &self,
        version: DocumentVersion,
    ) -> Result<Option<HistoryVersion>, VersionStoreError> {
        let keys = vec![history_key(&self.environment, version)];
        let row = self.platform.read(keys).await?.into_iter().flatten().next();
        row.map(|row| read_history_version(&row)).transpose()
    }

    /// Lists the latest versions, at most `limit` of them, in ascending order.
    ///
    /// The rows are read by their keys, so that a long history costs no more than a short one.
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

    /// Reads a document's text.
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

    /// Stores a document's text; a repetition is harmless.
    pub async fn put_text(&self, digest: &Digest, text: &str) -> Result<(), VersionStoreError> {
        let bytes = text.as_bytes().to_vec();
        let stored = self.platform.put_object(document_key(digest), bytes).await;
        stored.map_err(VersionStoreError::from)
    }

    /// Fetches a version with its row and text.
    ///
    /// A restored table may lack the row; the mark then stands for it.
    pub async fn fetch(&self, mark: &HeadMark) -> Result<FetchedVersion, VersionStoreError> {
        let text = self.text(&mark.digest).await?;
        let past = self.history_version(mark.version).await?;
        let row = past.map(|past| past.row);
        let row = row.filter(|row| HeadMark::from(row) == *mark);
        let row = row.unwrap_or_else(|| row_from_mark(mark));
        Ok(FetchedVersion { row, text })
    }

    /// Commits a head and its history row, if the head still has the revision.
    pub async fn commit_head(
        &self,
        attempt: AttemptId,
        row: &HeadRow,
        observed: Option<Revision>,
    ) -> Result<CommitOutcome, VersionStoreError> {
        let transaction = self.head_transaction(attempt, row, observed)?;
        Ok(self.platform.commit(transaction).await?)
    }

    /// Writes a version back to a table that has lost it, with its text.
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

/// A version in the history.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HistoryVersion {
    /// The row of the version.
    pub row: HeadRow,
    /// The attempt that wrote it.
    pub attempt: AttemptId,
}

/// Reads the row of a head.
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

/// The author of a version whose row was lost with the table.
const LOST_AUTHOR: &str = "unknown";

fn row_from_mark(mark: &HeadMark) -> HeadRow {
    HeadRow {
        version: mark.version,
        digest: mark.digest.clone(),
        base: DocumentVersion(mark.version.0.saturating_sub(1)),
        author: String::from(LOST_AUTHOR),
        accepted_unix_s: 0,
    }
}
