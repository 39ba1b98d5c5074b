//! Typed access to the keys of one section.

use std::ops::RangeInclusive;

use super::error::IniError;
use super::error::Location;
use super::error::join_names;
use super::error::nearest_hint;
use super::text::Entry;
use super::text::Section;
use super::value::IniValue;

/// The keys of one section, taken out one after another.
///
/// Wrong values are collected as errors; [`super::IniReader::finish_section`] hands them over and
/// reports the keys that nobody asked for.
#[derive(Debug)]
pub struct SectionReader {
    file: String,
    name: String,
    line: usize,
    is_present: bool,
    entries: Vec<Entry>,
    taken: Vec<Entry>,
    known: Vec<String>,
    errors: Vec<IniError>,
}

impl SectionReader {
    pub(super) fn present(file: &str, section: Section) -> Self {
        Self {
            file: file.to_owned(),
            name: section.name,
            line: section.line,
            is_present: true,
            entries: section.entries,
            taken: Vec::new(),
            known: Vec::new(),
            errors: Vec::new(),
        }
    }

    pub(super) fn absent(file: &str, name: &str, last_line: usize) -> Self {
        let section = Section {
            name: name.to_owned(),
            line: last_line,
            entries: Vec::new(),
        };
        Self {
            is_present: false,
            ..Self::present(file, section)
        }
    }

    /// Returns the section's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the section's line, or the last line of the file if the section is absent.
    pub fn line(&self) -> usize {
        self.line
    }

    /// Returns whether the text has the section.
    pub fn is_present(&self) -> bool {
        self.is_present
    }

    /// Returns whether the text has `key` in this section.
    pub fn has_key(&self, key: &str) -> bool {
        let mut entries = self.entries.iter().chain(&self.taken);
        entries.any(|entry| entry.key == key)
    }

    /// Returns the value of a key that must be there.
    ///
    /// `None` means that an error was collected.
    pub fn required<T>(&mut self, key: &str) -> Option<T>
    where
        T: IniValue,
    {
        match self.take(key) {
            Some(entry) => self.read(&entry),
            None => {
                self.report_missing::<T>(key);
                None
            }
        }
    }

    /// Returns the value of a key that must be there, within a range.
    pub fn required_in_range<T>(&mut self, key: &str, range: RangeInclusive<T>) -> Option<T>
    where
        T: IniValue + PartialOrd,
    {
        let value = self.required(key)?;
        self.check_range(key, value, &range)
    }

    /// Returns the value of a key, or `None` if it is absent or wrong.
    pub fn optional<T>(&mut self, key: &str) -> Option<T>
    where
        T: IniValue,
    {
        let entry = self.take(key)?;
        self.read(&entry)
    }

    /// Returns the value of a key, or `default` if it is absent.
    pub fn optional_or<T>(&mut self, key: &str, default: T) -> T
    where
        T: IniValue,
    {
        self.optional(key).unwrap_or(default)
    }

    /// Returns the value of a key within a range, or `default` if it is absent.
    pub fn optional_in_range_or<T>(&mut self, key: &str, default: T, range: RangeInclusive<T>) -> T
    where
        T: IniValue + PartialOrd,
    {
        self.optional_in_range(key, range).unwrap_or(default)
    }

    /// Returns the value of a key within a range, or `None` if it is absent or wrong.
    pub fn optional_in_range<T>(&mut self, key: &str, range: RangeInclusive<T>) -> Option<T>
    where
        T: IniValue + PartialOrd,
    {
        let value = self.optional(key)?;
        self.check_range(key, value, &range)
    }

    /// Returns what follows `prefix` in the section's name.
    ///
    /// `None` means that an error was collected.
    pub fn parse_name_suffix<T>(&mut self, prefix: &str) -> Option<T>
    where
        T: IniValue,
    {
        let name = self.name.strip_prefix(prefix).unwrap_or(&self.name);
        let value = T::parse_value(name);
        if value.is_none() {
            self.errors.push(IniError::InvalidSectionName {
                location: self.location(self.line),
                section: self.name.clone(),
                prefix: prefix.to_owned(),
                expected: T::expected(),
            });
        }
        value
    }

    /// Collects an error about a key whose value contradicts another part of the text.
    pub fn report_conflict(&mut self, key: &str, expected: &str, hint: &str) {
        let error = IniError::Conflict {
            location: self.location_of(key),
            section: self.name.clone(),
            key: key.to_owned(),
            expected: expected.to_owned(),
            hint: hint.to_owned(),
        };
        self.errors.push(error);
    }

    pub(super) fn into_errors(mut self) -> Vec<IniError> {
        let entries = std::mem::take(&mut self.entries);
        for entry in entries {
            let error = self.unknown_key(&entry);
            self.errors.push(error);
        }
        self.errors
    }

    fn unknown_key(&self, entry: &Entry) -> IniError {
        IniError::UnknownKey {
            location: self.location(entry.line),
            section: self.name.clone(),
            key: entry.key.clone(),
            known: join_names(&self.known),
            hint: nearest_hint(&entry.key, &self.known),
        }
    }

    fn take(&mut self, key: &str) -> Option<Entry> {
        self.known.push(key.to_owned());
        let index = self.entries.iter().position(|entry| entry.key == key)?;
        let entry = self.entries.remove(index);
        self.taken.push(entry.clone());
        Some(entry)
    }

    fn read<T>(&mut self, entry: &Entry) -> Option<T>
    where
        T: IniValue,
    {
        let value = T::parse_value(&entry.value);
        if value.is_none() {
            self.errors.push(IniError::InvalidValue {
                location: self.location(entry.line),
                section: self.name.clone(),
                key: entry.key.clone(),
                found: entry.value.clone(),
                expected: T::expected(),
            });
        }
        value
    }

    fn report_missing<T>(&mut self, key: &str)
    where
        T: IniValue,
    {
        self.errors.push(IniError::MissingKey {
            location: self.location(self.line),
            section: self.name.clone(),
            key: key.to_owned(),
            expected: T::expected(),
        });
    }

    fn check_range<T>(&mut self, key: &str, value: T, range: &RangeInclusive<T>) -> Option<T>
    where
        T: IniValue + PartialOrd,
    {
        if range.contains(&value) {
            return Some(value);
        }
        self.errors.push(IniError::OutOfRange {
            location: self.location_of(key),
            section: self.name.clone(),
            key: key.to_owned(),
            found: value.format_value(),
            least: range.start().format_value(),
            most: range.end().format_value(),
        });
        None
    }

    fn location_of(&self, key: &str) -> Location {
        let entry = self.taken.iter().find(|entry| entry.key == key);
        self.location(entry.map_or(self.line, |entry| entry.line))
    }

    fn location(&self, line: usize) -> Location {
        Location {
            file: self.file.clone(),
            line,
        }
    }
}
