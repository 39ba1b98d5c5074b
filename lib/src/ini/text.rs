//! Splitting of an INI text into sections and keys with line numbers.

use ini::Ini;
use ini::ParseOption;

use super::error::IniError;
use super::error::Location;

/// A key and its value, with its line counted from 1.
#[derive(Clone, Debug)]
pub(super) struct Property {
    pub key: String,
    pub value: String,
    pub line: usize,
}

/// A section and its keys in the order of the text, with its line counted from 1.
#[derive(Clone, Debug)]
pub(super) struct Section {
    pub name: String,
    pub line: usize,
    pub properties: Vec<Property>,
}

/// The sections of a text and its syntax errors.
#[derive(Debug)]
pub(super) struct ParsedText {
    pub sections: Vec<Section>,
    pub errors: Vec<IniError>,
    pub last_line: usize,
}

/// Splits a text into sections.
///
/// The parser of `ini` returns no line numbers, so each line is parsed separately. For this reason,
/// a value can't span several lines.
pub(super) fn split_sections(file: &str, text: &str) -> ParsedText {
    let mut parsed_text = ParsedText {
        sections: Vec::new(),
        errors: Vec::new(),
        last_line: 1,
    };
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    for (index, line_text) in text.lines().enumerate() {
        let location = Location {
            file: file.to_owned(),
            line: index + 1,
        };
        parsed_text.last_line = location.line;
        parsed_text.add_line(location, line_text.trim());
    }
    parsed_text
}

impl ParsedText {
    fn add_line(&mut self, location: Location, line_text: &str) {
        let options = ParseOption {
            enabled_escape: false,
            ..ParseOption::default()
        };
        let Ok(parsed) = Ini::load_from_str_opt(line_text, options) else {
            let found = line_text.to_owned();
            self.errors.push(IniError::Syntax { location, found });
            return;
        };
        for (section, properties) in parsed.iter() {
            if let Some(name) = section {
                self.open_section(&location, name);
            }
            for (key, value) in properties.iter() {
                self.add_property(&location, key, value);
            }
        }
    }

    fn open_section(&mut self, location: &Location, name: &str) {
        let first = self.sections.iter().find(|section| section.name == name);
        if let Some(first) = first {
            self.errors.push(IniError::DuplicateSection {
                location: location.clone(),
                section: name.to_owned(),
                first_line: first.line,
            });
        }
        // A repeated section is added too, so that its keys do not count as keys of the section
        // before it. The reader drops it.
        self.sections.push(Section {
            name: name.to_owned(),
            line: location.line,
            properties: Vec::new(),
        });
    }

    fn add_property(&mut self, location: &Location, key: &str, value: &str) {
        let Some(section) = self.sections.last_mut() else {
            self.errors.push(IniError::KeyOutsideSection {
                location: location.clone(),
                key: key.to_owned(),
            });
            return;
        };
        let first = section
            .properties
            .iter()
            .find(|property| property.key == key);
        if let Some(first) = first {
            self.errors.push(IniError::DuplicateKey {
                location: location.clone(),
                section: section.name.clone(),
                key: key.to_owned(),
                first_line: first.line,
            });
            return;
        }
        section.properties.push(Property {
            key: key.to_owned(),
            value: value.to_owned(),
            line: location.line,
        });
    }
}
