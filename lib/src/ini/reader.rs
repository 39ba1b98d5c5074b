//! Access to the sections of an INI text.

use super::error::IniError;
use super::error::IniErrors;
use super::error::Location;
use super::error::join_names;
use super::error::nearest_hint;
use super::section::SectionReader;
use super::text::Section;
use super::text::split_sections;

/// The sections of an INI text, which the caller takes one by one.
///
/// Sections that are never taken are reported as unknown by [`IniReader::finish`].
#[derive(Debug)]
pub struct IniReader {
    file: String,
    sections: Vec<Section>,
    known_sections: Vec<String>,
    last_line: usize,
    errors: Vec<IniError>,
}

impl IniReader {
    /// Parses a text. `file` is the name to use in errors, which [`IniReader::finish`] returns.
    pub fn parse(file: &str, text: &str) -> Self {
        let parsed_text = split_sections(file, text);
        Self {
            file: file.to_owned(),
            sections: parsed_text.sections,
            known_sections: Vec::new(),
            last_line: parsed_text.last_line,
            errors: parsed_text.errors,
        }
    }

    /// Takes the section with `name`. An absent section is returned as one without keys.
    pub fn take_section(&mut self, name: &str) -> SectionReader {
        self.known_sections.push(name.to_owned());
        let position = self
            .sections
            .iter()
            .position(|section| section.name == name);
        let Some(index) = position else {
            return SectionReader::absent(&self.file, name, self.last_line);
        };
        let section = self.sections.remove(index);
        self.sections.retain(|other| other.name != name);
        SectionReader::present(&self.file, section)
    }

    /// Takes the sections whose names start with `prefix`, in the order of the text.
    pub fn take_sections(&mut self, prefix: &str) -> Vec<SectionReader> {
        self.known_sections.push(format!("{prefix}NAME"));
        let has_prefix = |section: &Section| section.name.starts_with(prefix);
        let names = self.sections.iter().filter(|section| has_prefix(section));
        let mut names = names
            .map(|section| section.name.clone())
            .collect::<Vec<_>>();
        names.dedup();
        let mut readers = Vec::new();
        for name in names {
            let index = self
                .sections
                .iter()
                .position(|section| section.name == name);
            let Some(index) = index else { continue };
            let section = self.sections.remove(index);
            self.sections.retain(|other| other.name != name);
            readers.push(SectionReader::present(&self.file, section));
        }
        readers
    }

    /// Adds the errors of a section, including an error for each key that was never read.
    pub fn finish_section(&mut self, section: SectionReader) {
        self.errors.extend(section.into_errors());
    }

    /// Adds an error that the caller detected.
    pub fn report(&mut self, error: IniError) {
        self.errors.push(error);
    }

    /// Reports the sections that were never taken, and returns all collected errors, if any.
    pub fn finish(mut self) -> Result<(), IniErrors> {
        let sections = std::mem::take(&mut self.sections);
        for section in sections {
            let error = self.unknown_section_error(section);
            self.errors.push(error);
        }
        if self.errors.is_empty() {
            return Ok(());
        }
        self.errors.sort_by_key(|error| error.location().line);
        Err(IniErrors {
            errors: self.errors,
        })
    }

    fn unknown_section_error(&self, section: Section) -> IniError {
        let location = Location {
            file: self.file.clone(),
            line: section.line,
        };
        IniError::UnknownSection {
            location,
            known: join_names(&self.known_sections),
            hint: nearest_hint(&section.name, &self.known_sections),
            section: section.name,
        }
    }
}
