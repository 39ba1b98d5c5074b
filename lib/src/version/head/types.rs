//! Versions as they are told, fetched and checked.

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

/// A version and its digest, as peers tell them to each other.
///
/// The digest orders two documents that got the same number, which happens only after the platform
/// was restored to an older state: all entries then settle on the same one of the two.
#[derive(Clone, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[display("version {version} with digest {digest}")]
pub struct HeadMark {
    /// The version.
    pub version: DocumentVersion,
    /// The digest of its text.
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

/// A version as the platform or a peer hands it over, not checked yet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FetchedVersion {
    /// The row of the version.
    pub row: HeadRow,
    /// The document's text.
    pub text: String,
}

impl FetchedVersion {
    /// Checks the text against its digest and reads it.
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

/// A version that can be in force.
#[derive(Clone, Debug, PartialEq)]
pub struct HeadVersion {
    /// The row of the version.
    pub row: HeadRow,
    /// The document's text, as the operator applied it.
    pub text: String,
    /// What the text says.
    pub document: Document,
}

impl HeadVersion {
    /// Returns the version and its digest.
    pub fn mark(&self) -> HeadMark {
        HeadMark::from(&self.row)
    }
}

/// The head as the table has it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredHead {
    /// The row.
    pub row: HeadRow,
    /// The revision of the row.
    pub revision: Revision,
}

/// Where the text of a version comes from.
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum TextSource {
    /// The platform's object store.
    #[display("the platform")]
    Platform,
    /// A peer that holds the version.
    #[display("peer {_0}")]
    Peer(EntryId),
}

/// A version that could not be put in force.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum VersionError {
    /// The text is not the one that the digest names.
    #[display("the text from {from} does not have the digest. Hint: look at the object store")]
    DigestMismatch {
        /// Where the text came from.
        from: TextSource,
    },
    /// The text is not a document to this program.
    #[display("{errors}. Hint: this program may be older than the one that applied the document")]
    InvalidDocument {
        /// The faults.
        errors: DocumentErrors,
    },
}

/// Whether a process has a document to serve by.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum HeadReadiness {
    /// A version is in force.
    #[display("version {version} is in force")]
    InForce {
        /// The version.
        version: DocumentVersion,
    },
    /// Neither the platform nor a peer has given a document yet.
    #[display(
        "no document: the platform {}, and {reported_peers} peers were heard. \
         Hint: apply a document, or check the addresses of the platform and the seeds",
        if *has_table_answered { "has no head" } else { "was not heard" }
    )]
    NoDocument {
        /// Whether the table answered.
        has_table_answered: bool,
        /// The number of peers that told their head.
        reported_peers: usize,
    },
    /// A version is known, but its text did not arrive or can't be read.
    #[display("{mark} is known but not in force{}", reason(error))]
    Waiting {
        /// The version.
        mark: HeadMark,
        /// Why its text was refused, if it arrived.
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
