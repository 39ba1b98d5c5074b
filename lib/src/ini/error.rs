//! What can be wrong with an INI text, and where.

use std::fmt;

use derive_more::Display;
use derive_more::Error;

/// A line of a file.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{file}:{line}")]
pub struct Location {
    /// The file's name, as the operator gave it.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
}

/// One fault of an INI text.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum IniError {
    /// A line is neither a section, a key with its value, nor a comment.
    #[display(
        "{location}: expected `[section]`, `key = value` or a comment, but found {found:?}. \
         Hint: start a comment on a line of its own with '#' or ';', and close brackets and quotes"
    )]
    Syntax {
        /// Where the line is.
        location: Location,
        /// The line's text.
        found: String,
    },
    /// A key stands before the first section.
    #[display(
        "{location}: key `{key}` stands outside any section. Hint: put it below its `[section]`"
    )]
    KeyOutsideSection {
        /// Where the key is.
        location: Location,
        /// The key.
        key: String,
    },
    /// A section stands twice.
    #[display(
        "{location}: section [{section}] stands a second time, first on line {first_line}. \
         Hint: move its keys to the first one"
    )]
    DuplicateSection {
        /// Where the second section is.
        location: Location,
        /// The section.
        section: String,
        /// The line of the first section with the name.
        first_line: usize,
    },
    /// A key stands twice in a section.
    #[display(
        "{location}: key `{key}` of [{section}] stands a second time, first on line {first_line}. \
         Hint: keep one of the two"
    )]
    DuplicateKey {
        /// Where the second key is.
        location: Location,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The line of the first key with the name.
        first_line: usize,
    },
    /// No such section is known.
    #[display("{location}: unknown section [{section}], expected one of {known}. Hint: {hint}")]
    UnknownSection {
        /// Where the section is.
        location: Location,
        /// The section.
        section: String,
        /// The sections that are known.
        known: String,
        /// What to write in its place.
        hint: String,
    },
    /// No such key is known in the section.
    #[display(
        "{location}: unknown key `{key}` in [{section}], expected one of {known}. Hint: {hint}"
    )]
    UnknownKey {
        /// Where the key is.
        location: Location,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The keys that are known.
        known: String,
        /// What to write in its place.
        hint: String,
    },
    /// A key that must be there is not.
    #[display(
        "{location}: section [{section}] lacks key `{key}`, expected {expected}. \
         Hint: add a line `{key} = ...`"
    )]
    MissingKey {
        /// Where the section is, or the file's last line if the section is absent too.
        location: Location,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// What the value has to be.
        expected: String,
    },
    /// A value is not of the key's type.
    #[display(
        "{location}: key `{key}` of [{section}] is {found:?}, expected {expected}. \
         Hint: write such a value, without a comment behind it"
    )]
    InvalidValue {
        /// Where the key is.
        location: Location,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The value's text.
        found: String,
        /// What the value has to be.
        expected: String,
    },
    /// A value is outside its range.
    #[display(
        "{location}: key `{key}` of [{section}] is {found}, expected a value from {least} to {most}. \
         Hint: choose a value in this range"
    )]
    OutOfRange {
        /// Where the key is.
        location: Location,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The value's text.
        found: String,
        /// The least value that is accepted.
        least: String,
        /// The greatest value that is accepted.
        most: String,
    },
    /// What follows the prefix of a section's name is not of the expected type.
    #[display(
        "{location}: section [{section}] needs {expected} after `{prefix}`. \
         Hint: write such a name without spaces"
    )]
    InvalidSectionName {
        /// Where the section is.
        location: Location,
        /// The section.
        section: String,
        /// The prefix.
        prefix: String,
        /// What has to follow the prefix.
        expected: String,
    },
    /// A value that is well formed contradicts another part of the text.
    #[display("{location}: key `{key}` of [{section}]: expected {expected}. Hint: {hint}")]
    Conflict {
        /// Where the key is.
        location: Location,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// What has to hold.
        expected: String,
        /// What to do.
        hint: String,
    },
}

impl IniError {
    /// Returns where the fault is.
    pub fn location(&self) -> &Location {
        match self {
            IniError::Syntax { location, .. }
            | IniError::KeyOutsideSection { location, .. }
            | IniError::DuplicateSection { location, .. }
            | IniError::DuplicateKey { location, .. }
            | IniError::UnknownSection { location, .. }
            | IniError::UnknownKey { location, .. }
            | IniError::MissingKey { location, .. }
            | IniError::InvalidValue { location, .. }
            | IniError::OutOfRange { location, .. }
            | IniError::InvalidSectionName { location, .. }
            | IniError::Conflict { location, .. } => location,
        }
    }
}

/// All faults of an INI text, in the order of their lines; there is at least one.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub struct IniErrors {
    /// The faults.
    pub errors: Vec<IniError>,
}

impl fmt::Display for IniErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.errors.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

/// Returns a hint that names the known name nearest to `found`, or else where to look.
pub(super) fn nearest_hint(found: &str, known: &[String]) -> String {
    /// How alike two names are before one is offered for the other, from 0 to 1.
    const SIMILARITY_LEAST: f32 = 0.6;
    let candidates = known.iter().map(String::as_str).collect::<Vec<_>>();
    let nearest = similar::get_close_matches(found, &candidates, 1, SIMILARITY_LEAST);
    match nearest.first() {
        Some(name) => format!("did you mean `{name}`?"),
        None => String::from("remove the line, or look the name up in the configuration's page"),
    }
}

/// Joins names for a message.
pub(super) fn join_names(names: &[String]) -> String {
    names.join(", ")
}
