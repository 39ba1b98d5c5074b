//! Diffs of the conflicting changes of two operators.

use similar::TextDiff;

use crate::ids::DocumentVersion;
use crate::platform::rows::HeadRow;

const CONTEXT_LINES: usize = 3;

/// Returns the unified diff of two texts, which is empty if they are equal.
pub fn unified_diff(old_name: &str, old: &str, new_name: &str, new: &str) -> String {
    let diff = TextDiff::from_lines(old, new);
    let mut unified = diff.unified_diff();
    unified.context_radius(CONTEXT_LINES);
    unified.header(old_name, new_name).to_string()
}

/// Both sides of a conflict, each as a unified diff against their common base version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConflictReport {
    /// The version that the refused change was made on.
    pub base: DocumentVersion,
    /// The head at the time of the refusal.
    pub current: HeadRow,
    /// The diff from the base to the head.
    pub theirs: String,
    /// The diff from the base to the refused text.
    pub yours: String,
}

/// The document texts that a conflict report compares.
#[derive(Clone, Copy, Debug)]
pub struct ConflictTexts<'a> {
    /// The text that both changes were made on.
    pub base: &'a str,
    /// The text of the head.
    pub current: &'a str,
    /// The text of the refused change.
    pub refused: &'a str,
}

impl ConflictReport {
    /// Diffs the head and the refused text against the base.
    pub fn new(base: DocumentVersion, current: HeadRow, texts: ConflictTexts<'_>) -> Self {
        let base_name = format!("version {base}");
        let current_name = format!("version {}", current.version);
        Self {
            base,
            theirs: unified_diff(&base_name, texts.base, &current_name, texts.current),
            yours: unified_diff(&base_name, texts.base, "your change", texts.refused),
            current,
        }
    }
}
