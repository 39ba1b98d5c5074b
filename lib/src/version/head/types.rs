//! Versions of the document as entries announce, fetch and check them.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::Digest;
use crate::ids::DocumentVersion;
use crate::ids::EntryId;
use crate::ids::Revision;
use crate::ids::digest_of;
use crate::platform::rows::HeadRow;
use crate::version::document::Document;
use crate::version::parse::DocumentErrors;
use crate::version::parse::parse_document;

/// A version number with the digest of its text, as entries announce it to each other.
///
/// Marks are ordered by version, then by digest. Two documents get the same number only after the
/// platform was restored to an older state; ordering them by digest makes all entries choose the
/// same one.
#[derive(Clone, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[display("version {version} with digest {digest}")]
pub struct HeadMark {
    /// The number of the version.
    pub version: DocumentVersion,
    /// The digest of the document's text.
    pub digest: Digest,
}

impl From<&HeadRow> for HeadMark {
    fn from(row: &HeadRow) -> Self {
        Self {
            version: row.version,
            digest: row.digest.clone(),
        }
    }
}

/// A version as received from the platform or a peer, not checked yet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FetchedVersion {
    /// The history row, or a row derived from the requested mark if the table has lost it.
    pub row: HeadRow,
    /// The document's text.
    pub text: String,
}

impl FetchedVersion {
    /// Checks the text against its digest and parses it. `source` is named in errors.
    pub fn check(self, source: &TextSource) -> Result<HeadVersion, VersionError> {
        if digest_of(self.text.as_bytes()) != self.row.digest {
            let from = source.clone();
            return Err(VersionError::DigestMismatch { from });
        }
        let parsed = parse_document(&self.text);
        let document = parsed.map_err(|errors| VersionError::InvalidDocument { errors })?;
        Ok(HeadVersion {
            row: self.row,
            text: self.text,
            document,
        })
    }
}

/// A checked and parsed version.
#[derive(Clone, Debug, PartialEq)]
pub struct HeadVersion {
    /// The row as fetched, whose digest matches `text`.
    pub row: HeadRow,
    /// The document's text, as the operator applied it.
    pub text: String,
    /// The document that was parsed from the text.
    pub document: Document,
}

impl HeadVersion {
    /// Returns the version and its digest.
    pub fn mark(&self) -> HeadMark {
        HeadMark::from(&self.row)
    }
}

/// The head row of the platform's table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredHead {
    /// The decoded value of the row.
    pub row: HeadRow,
    /// The revision of the row, the condition of the next write.
    pub revision: Revision,
}

/// A source of a version's text.
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum TextSource {
    /// The platform's object store.
    #[display("the platform")]
    Platform,
    /// A peer that has the version or a later one in force.
    #[display("peer {_0}")]
    Peer(EntryId),
}

/// Why a fetched version can't be put in force.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum VersionError {
    /// The digest of the text differs from the version's digest.
    #[display("the text from {from} does not have the digest. Hint: look at the object store")]
    DigestMismatch {
        /// The source of the text.
        from: TextSource,
    },
    /// This program can't parse the text.
    #[display("{errors}. Hint: this program may be older than the one that applied the document")]
    InvalidDocument {
        /// The parse errors.
        errors: DocumentErrors,
    },
}

/// Whether the process has a document in force, which it needs to serve requests.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum HeadReadiness {
    /// A version is in force.
    #[display("version {version} is in force")]
    InForce {
        /// The number of the version.
        version: DocumentVersion,
    },
    /// Neither the platform nor a peer has announced a version yet.
    #[display(
        "no document: the platform {}, and {reported_peers} peers were heard. \
         Hint: apply a document, or check the addresses of the platform and the seeds",
        if *has_table_answered { "has no head" } else { "was not heard" }
    )]
    NoDocument {
        /// Whether the table was read at least once.
        has_table_answered: bool,
        /// The number of peers that reported their head.
        reported_peers: usize,
    },
    /// A version is known, but its text was not fetched yet or was rejected.
    #[display("{mark} is known but not in force{}", reason(error))]
    Waiting {
        /// The highest known version.
        mark: HeadMark,
        /// Why its text was rejected; `None` if no text was received.
        error: Option<VersionError>,
    },
}

impl HeadReadiness {
    /// Returns whether a version is in force.
    pub fn is_ready(&self) -> bool {
        matches!(self, Self::InForce { .. })
    }
}

fn reason(error: &Option<VersionError>) -> String {
    let reason = error.as_ref().map(|error| format!(": {error}"));
    reason.unwrap_or_default()
}
