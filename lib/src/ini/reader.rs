//! Typed access to the sections of a text.

use super::error::IniError;
use super::error::IniErrors;
use super::error::Location;
use super::error::join_names;
use super::error::nearest_hint;
use super::section::SectionReader;
use super::text::Section;
use super::text::split_sections;

/// The sections of a text, taken out one after another.
#[derive(Debug)]
pub struct IniReader {
    file: String,
    sections: Vec<Section>,
    known: Vec<String>,
    last_line: usize,
    errors: Vec<IniError>,
}

impl IniReader {
    /// Reads a text; its faults come out of [`IniReader::finish`].
    pub fn parse(file: &str, text: &str) -> Self {
        let contents = split_sections(file, text);
        Self {
            file: file.to_owned(),
            sections: contents.sections,
            known: Vec::new(),
            last_line: contents.last_line,
            errors: contents.errors,
        }
    }

    /// Takes out the section with `name`; an absent one has no keys.
    pub fn take_section(&mut self, name: &str) -> SectionReader {
        self.known.push(name.to_owned());
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

    /// Takes out the sections whose names start with `prefix`, in the order of the text.
    pub fn take_sections(&mut self, prefix: &str) -> Vec<SectionReader> {
        self.known.push(format!("{prefix}NAME"));
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

    /// Takes over the errors of a section and reports its unknown keys.
    pub fn finish_section(&mut self, section: SectionReader) {
        self.errors.extend(section.into_errors());
    }

    /// Collects an error that the caller found.
    pub fn report(&mut self, error: IniError) {
        self.errors.push(error);
    }

    /// Reports the unknown sections and returns whether the text has no fault.
    pub fn finish(mut self) -> Result<(), IniErrors> {
        let sections = std::mem::take(&mut self.sections);
        for section in sections {
            let error = self.unknown_section(section);
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

    fn unknown_section(&self, section: Section) -> IniError {
        let location = Location {
            file: self.file.clone(),
            line: section.line,
        };
        IniError::UnknownSection {
            location,
            known: join_names(&self.known),
            hint: nearest_hint(&section.name, &self.known),
            section: section.name,
        }
    }
}
