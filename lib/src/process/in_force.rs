//! The document in force, shared by all requests of the process.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

use crate::ids::Digest;
use crate::ids::DocumentVersion;
use crate::version::document::Document;

/// A version of the environment's document.
#[derive(Clone, Debug, PartialEq)]
pub struct InForce {
    /// The version.
    pub version: DocumentVersion,
    /// The digest of the text.
    pub digest: Digest,
    /// The text, as the operator applied it.
    pub text: String,
    /// What the text says.
    pub document: Document,
}

/// The cell that holds the document in force.
///
/// A request takes the document once and keeps that version to its end.
#[derive(Clone, Debug, Default)]
pub struct InForceCell {
    current: Arc<RwLock<Option<Arc<InForce>>>>,
}

impl InForceCell {
    /// Returns the document in force, or `None` before the first one.
    pub fn get(&self) -> Option<Arc<InForce>> {
        let current = self.current.read().unwrap_or_else(PoisonError::into_inner);
        current.clone()
    }

    /// Puts `candidate` in force if its version is greater than the present one.
    ///
    /// Returns whether it was put in force.
    pub fn advance(&self, candidate: Arc<InForce>) -> bool {
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        let is_newer = current
            .as_ref()
            .is_none_or(|current| candidate.version > current.version);
        if is_newer {
            *current = Some(candidate);
        }
        is_newer
    }
}
