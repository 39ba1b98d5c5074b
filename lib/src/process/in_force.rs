//! The configuration document in force, shared by all requests of the process.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

use crate::version::head::HeadVersion;

/// Holds the document version in force; clones share it.
///
/// A request reads the version once and uses it until it ends.
#[derive(Clone, Debug, Default)]
pub struct InForceCell {
    current: Arc<RwLock<Option<Arc<HeadVersion>>>>,
}

impl InForceCell {
    /// Returns the version in force, or `None` before the first one.
    pub fn get(&self) -> Option<Arc<HeadVersion>> {
        let current = self.current.read().unwrap_or_else(PoisonError::into_inner);
        current.clone()
    }

    /// Puts `candidate` in force if it is newer than the current version, and returns whether it
    /// did.
    pub fn advance(&self, candidate: Arc<HeadVersion>) -> bool {
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        let is_newer = current
            .as_ref()
            .is_none_or(|current| candidate.mark() > current.mark());
        if is_newer {
            *current = Some(candidate);
        }
        is_newer
    }
}
