//! Errors in an INI text, with their locations.

use std::fmt;

use derive_more::Display;
use derive_more::Error;

/// A line of a file, displayed as `file:line`.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{file}:{line}")]
pub struct Location {
    /// The file's name, as the operator gave it.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
}

/// An error in an INI text.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum IniError {
    /// A line is neither a section, a key with a value, nor a comment.
    #[display(
        "{location}: expected `[section]`, `key = value` or a comment, but found {found:?}. \
         Hint: start a comment on a line of its own with '#' or ';', and close brackets and quotes"
    )]
    Syntax {
        /// The location of the line.
        location: Location,
        /// The text of the line.
        found: String,
    },
    /// A key precedes the first section.
    #[display(
        "{location}: key `{key}` stands outside any section. Hint: put it below its `[section]`"
    )]
    KeyOutsideSection {
        /// The location of the key.
        location: Location,
        /// The key as written in the text.
        key: String,
    },
    /// A section name is repeated.
    #[display(
        "{location}: section [{section}] stands a second time, first on line {first_line}. \
         Hint: move its keys to the first one"
    )]
    DuplicateSection {
        /// The location of the repeated section.
        location: Location,
        /// The section name without brackets.
        section: String,
        /// The line of the first section with this name, counted from 1.
        first_line: usize,
    },
    /// A key is repeated in a section.
    #[display(
        "{location}: key `{key}` of [{section}] stands a second time, first on line {first_line}. \
         Hint: keep one of the two"
    )]
    DuplicateKey {
        /// The location of the repeated key.
        location: Location,
        /// The section name without brackets.
        section: String,
        /// The key as written in the text.
        key: String,
        /// The line of the first occurrence of the key, counted from 1.
        first_line: usize,
    },
    /// A section name is not one of the known sections.
    #[display("{location}: unknown section [{section}], expected one of {known}. Hint: {hint}")]
    UnknownSection {
        /// The location of the section.
        location: Location,
        /// The section name without brackets.
        section: String,
        /// The known section names, comma-separated.
        known: String,
        /// The most similar known name, or a generic hint.
        hint: String,
    },
    /// A key is not one of the known keys of its section.
    #[display(
        "{location}: unknown key `{key}` in [{section}], expected one of {known}. Hint: {hint}"
    )]
    UnknownKey {
        /// The location of the key.
        location: Location,
        /// The section name without brackets.
        section: String,
        /// The key as written in the text.
        key: String,
        /// The known keys of the section, comma-separated.
        known: String,
        /// The most similar known name, or a generic hint.
        hint: String,
    },
    /// A required key is absent.
    #[display(
        "{location}: section [{section}] lacks key `{key}`, expected {expected}. \
         Hint: add a line `{key} = ...`"
    )]
    MissingKey {
        /// The location of the section, or the last line of the file if the section is absent too.
        location: Location,
        /// The section name without brackets.
        section: String,
        /// The required key.
        key: String,
        /// A description of valid values.
        expected: String,
    },
    /// A value is not valid for its key's type.
    #[display(
        "{location}: key `{key}` of [{section}] is {found:?}, expected {expected}. \
         Hint: write such a value, without a comment behind it"
    )]
    InvalidValue {
        /// The location of the key.
        location: Location,
        /// The section name without brackets.
        section: String,
        /// The key as written in the text.
        key: String,
        /// The value as written in the text.
        found: String,
        /// A description of valid values.
        expected: String,
    },
    /// A value is outside the allowed range.
    #[display(
        "{location}: key `{key}` of [{section}] is {found}, expected a value from {min} to {max}. \
         Hint: choose a value in this range"
    )]
    OutOfRange {
        /// The location of the key.
        location: Location,
        /// The section name without brackets.
        section: String,
        /// The key as written in the text.
        key: String,
        /// The value, formatted like the limits.
        found: String,
        /// The minimum value.
        min: String,
        /// The maximum value.
        max: String,
    },
    /// The part of a section name after its prefix is invalid.
    #[display(
        "{location}: section [{section}] needs {expected} after `{prefix}`. \
         Hint: write such a name without spaces"
    )]
    InvalidSectionName {
        /// The location of the section.
        location: Location,
        /// The section name without brackets.
        section: String,
        /// The prefix of the section name.
        prefix: String,
        /// The description of a valid name after the prefix.
        expected: String,
    },
    /// A valid value conflicts with another part of the text.
    #[display("{location}: key `{key}` of [{section}]: expected {expected}. Hint: {hint}")]
    Conflict {
        /// The location of the key.
        location: Location,
        /// The section name without brackets.
        section: String,
        /// The key as written in the text.
        key: String,
        /// The condition that must hold.
        expected: String,
        /// How to resolve the conflict.
        hint: String,
    },
}

impl IniError {
    /// Returns the location of the error.
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

/// The errors of an INI text, displayed one per line.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub struct IniErrors {
    /// At least one error, in the order of their lines.
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

/// Returns a hint that suggests the known name most similar to `found`, or a generic hint if there is
/// none.
pub(super) fn nearest_hint(found: &str, known: &[String]) -> String {
    /// The minimum similarity ratio for a suggestion, from 0 to 1.
    const SIMILARITY_MIN: f32 = 0.6;
    let candidates = known.iter().map(String::as_str).collect::<Vec<_>>();
    let nearest = similar::get_close_matches(found, &candidates, 1, SIMILARITY_MIN);
    match nearest.first() {
        Some(name) => format!("did you mean `{name}`?"),
        None => String::from("remove the line, or look the name up in the configuration's page"),
    }
}

/// Joins names with commas for an error message.
pub(super) fn join_names(names: &[String]) -> String {
    names.join(", ")
}
