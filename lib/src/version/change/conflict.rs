//! What two operators changed, shown to the one who came second.

use similar::TextDiff;

use crate::ids::DocumentVersion;
use crate::platform::rows::HeadRow;

/// The lines around a change that a diff shows.
const CONTEXT_LINES: usize = 3;

/// Returns the unified diff of two texts; the empty text if they are alike.
pub fn unified_diff(old_name: &str, old: &str, new_name: &str, new: &str) -> String {
    let diff = TextDiff::from_lines(old, new);
    let mut unified = diff.unified_diff();
    unified.context_radius(CONTEXT_LINES);
    unified.header(old_name, new_name).to_string()
}

/// Both changes of a conflict, each as a diff against the version that both were made on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConflictReport {
    /// The version that the refused change was made on.
    pub base: DocumentVersion,
    /// The head that stands.
    pub current: HeadRow,
    /// What the accepted changes did.
    pub theirs: String,
    /// What the refused change would do.
    pub yours: String,
}

/// The three texts of a conflict.
#[derive(Clone, Copy, Debug)]
pub struct ConflictTexts<'a> {
    /// The text that both changes were made on.
    pub base: &'a str,
    /// The text of the head.
    pub current: &'a str,
    /// The text that was refused.
    pub refused: &'a str,
}

impl ConflictReport {
    /// Compares the three texts of a conflict.
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
