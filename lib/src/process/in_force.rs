//! The document in force, shared by all requests of the process.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

use crate::version::head::HeadVersion;

/// The cell that holds the version in force.
///
/// A request takes the version once and keeps it to its end.
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

    /// Puts `candidate` in force unless the present version is the same or a greater one.
    ///
    /// Returns whether it was put in force.
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
