//! Typed access to the keys of a section.

use std::ops::RangeInclusive;

use super::error::IniError;
use super::error::Location;
use super::error::join_names;
use super::error::nearest_hint;
use super::text::Property;
use super::text::Section;
use super::value::IniValue;

/// The keys of a section, which the caller reads one by one.
///
/// Invalid values are collected as errors. [`super::IniReader::finish_section`] adds them to the
/// errors of the text, together with an error for each key that was never read.
#[derive(Debug)]
pub struct SectionReader {
    file: String,
    name: String,
    line: usize,
    is_present: bool,
    remaining: Vec<Property>,
    consumed: Vec<Property>,
    known_keys: Vec<String>,
    errors: Vec<IniError>,
}

impl SectionReader {
    pub(super) fn present(file: &str, section: Section) -> Self {
        Self {
            file: file.to_owned(),
            name: section.name,
            line: section.line,
            is_present: true,
            remaining: section.properties,
            consumed: Vec::new(),
            known_keys: Vec::new(),
            errors: Vec::new(),
        }
    }

    pub(super) fn absent(file: &str, name: &str, last_line: usize) -> Self {
        let section = Section {
            name: name.to_owned(),
            line: last_line,
            properties: Vec::new(),
        };
        Self {
            is_present: false,
            ..Self::present(file, section)
        }
    }

    /// Returns the section's name, including any prefix.
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
        let mut properties = self.remaining.iter().chain(&self.consumed);
        properties.any(|property| property.key == key)
    }

    /// Returns the value of a required key.
    ///
    /// Returns `None` if the key is absent or its value invalid; the error is collected.
    pub fn required<T>(&mut self, key: &str) -> Option<T>
    where
        T: IniValue,
    {
        match self.take_property(key) {
            Some(property) => self.parse_property(&property),
            None => {
                self.report_missing::<T>(key);
                None
            }
        }
    }

    /// Returns the value of a required key, which must be within `range`.
    ///
    /// Returns `None` if the key is absent or its value invalid; the error is collected.
    pub fn required_in_range<T>(&mut self, key: &str, range: RangeInclusive<T>) -> Option<T>
    where
        T: IniValue + PartialOrd,
    {
        let value = self.required(key)?;
        self.check_range(key, value, &range)
    }

    /// Returns the value of an optional key, or `None` if it is absent or invalid.
    ///
    /// The error of an invalid value is collected.
    pub fn optional<T>(&mut self, key: &str) -> Option<T>
    where
        T: IniValue,
    {
        let property = self.take_property(key)?;
        self.parse_property(&property)
    }

    /// Returns the value of an optional key, or `default` if it is absent or invalid.
    ///
    /// The error of an invalid value is collected.
    pub fn optional_or<T>(&mut self, key: &str, default: T) -> T
    where
        T: IniValue,
    {
        self.optional(key).unwrap_or(default)
    }

    /// Returns the value of an optional key, or `default` if it is absent, invalid or not within
    /// `range`.
    ///
    /// The error of an invalid value is collected.
    pub fn optional_in_range_or<T>(&mut self, key: &str, default: T, range: RangeInclusive<T>) -> T
    where
        T: IniValue + PartialOrd,
    {
        self.optional_in_range(key, range).unwrap_or(default)
    }

    /// Returns the value of an optional key, or `None` if it is absent, invalid or not within
    /// `range`.
    ///
    /// The error of an invalid value is collected.
    pub fn optional_in_range<T>(&mut self, key: &str, range: RangeInclusive<T>) -> Option<T>
    where
        T: IniValue + PartialOrd,
    {
        let value = self.optional(key)?;
        self.check_range(key, value, &range)
    }

    /// Parses the part of the section's name that follows `prefix`.
    ///
    /// Returns `None` if it is not a valid value; the error is collected.
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

    /// Collects an error for a key whose value conflicts with another part of the text.
    ///
    /// `expected` says what must hold, `hint` how to fix it.
    pub fn report_conflict(&mut self, key: &str, expected: &str, hint: &str) {
        let error = IniError::Conflict {
            location: self.key_location(key),
            section: self.name.clone(),
            key: key.to_owned(),
            expected: expected.to_owned(),
            hint: hint.to_owned(),
        };
        self.errors.push(error);
    }

    pub(super) fn into_errors(mut self) -> Vec<IniError> {
        let properties = std::mem::take(&mut self.remaining);
        for property in properties {
            let error = self.unknown_key_error(&property);
            self.errors.push(error);
        }
        self.errors
    }

    fn unknown_key_error(&self, property: &Property) -> IniError {
        IniError::UnknownKey {
            location: self.location(property.line),
            section: self.name.clone(),
            key: property.key.clone(),
            known: join_names(&self.known_keys),
            hint: nearest_hint(&property.key, &self.known_keys),
        }
    }

    fn take_property(&mut self, key: &str) -> Option<Property> {
        self.known_keys.push(key.to_owned());
        let index = self
            .remaining
            .iter()
            .position(|property| property.key == key)?;
        let property = self.remaining.remove(index);
        self.consumed.push(property.clone());
        Some(property)
    }

    fn parse_property<T>(&mut self, property: &Property) -> Option<T>
    where
        T: IniValue,
    {
        let value = T::parse_value(&property.value);
        if value.is_none() {
            self.errors.push(IniError::InvalidValue {
                location: self.location(property.line),
                section: self.name.clone(),
                key: property.key.clone(),
                found: property.value.clone(),
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
            location: self.key_location(key),
            section: self.name.clone(),
            key: key.to_owned(),
            found: value.format_value(),
            min: range.start().format_value(),
            max: range.end().format_value(),
        });
        None
    }

    fn key_location(&self, key: &str) -> Location {
        let property = self.consumed.iter().find(|property| property.key == key);
        self.location(property.map_or(self.line, |property| property.line))
    }

    fn location(&self, line: usize) -> Location {
        Location {
            file: self.file.clone(),
            line,
        }
    }
}
