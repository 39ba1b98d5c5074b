//! The version of the configuration whose effect a process has shown to its callers by way of other
//! entries.
//!
//! An entry that passes requests on may get answers that another entry gave by a newer version than its
//! own. If it went on with its own version, or passed the next request on to an entry that is behind, the
//! change would be undone for its callers until the entry has read it, too.

use crate::ids::DocumentVersion;

/// Remembers the newest version by which other entries have handled requests of this process, and
/// decides by which versions later requests may be handled.
///
/// ```
/// use beryltray_lib::ids::DocumentVersion;
/// use beryltray_lib::version::shown::ShownVersion;
///
/// let mut shown = ShownVersion::new();
/// assert!(shown.allows(DocumentVersion(5)));
/// assert!(shown.on_shown(DocumentVersion(7)));
/// assert!(!shown.allows(DocumentVersion(5)));
/// let in_force = Some(DocumentVersion(5));
/// assert_eq!(shown.required_with(in_force), Some(DocumentVersion(7)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ShownVersion {
    newest: Option<DocumentVersion>,
}

impl ShownVersion {
    /// Creates the state of a process without answers of other entries.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that another entry handled a request of this process by `version`. Returns whether that
    /// is newer than what was known.
    pub fn on_shown(&mut self, version: DocumentVersion) -> bool {
        let is_newer = self.newest < Some(version);
        self.newest = self.newest.max(Some(version));
        is_newer
    }

    /// Returns whether a request may be handled by `version`.
    pub fn allows(&self, version: DocumentVersion) -> bool {
        self.newest <= Some(version)
    }

    /// Returns the oldest version by which another entry may handle a request of this process, whose own
    /// version is `in_force`; `None` if any will do.
    pub fn required_with(&self, in_force: Option<DocumentVersion>) -> Option<DocumentVersion> {
        self.newest.max(in_force)
    }
}
