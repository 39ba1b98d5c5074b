//! The result of an experiment, as tables or JSON.

use clap::ValueEnum;
use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use serde::Serialize;

/// How a report is printed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, ValueEnum)]
pub(crate) enum Format {
    /// Tables for people.
    #[default]
    Table,
    /// JSON for programs.
    Json,
}

/// A measured quantity of a row.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Figure {
    /// The quantity's name with its unit.
    pub(crate) name: String,
    /// The value.
    pub(crate) value: f64,
}

/// One case that was measured.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Row {
    /// What was measured, such as the policy's name.
    pub(crate) case: String,
    /// The figures, the same ones in each row of a section.
    pub(crate) figures: Vec<Figure>,
}

impl Row {
    /// Creates a row without figures.
    pub(crate) fn new<S>(case: S) -> Self
    where
        S: Into<String>,
    {
        Self {
            case: case.into(),
            figures: Vec::new(),
        }
    }

    /// Adds a figure.
    #[must_use]
    pub(crate) fn with(mut self, name: &str, value: f64) -> Self {
        let name = name.to_owned();
        self.figures.push(Figure { name, value });
        self
    }
}

/// Rows under the same circumstances.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Section {
    /// The circumstances.
    pub(crate) title: String,
    /// The rows.
    pub(crate) rows: Vec<Row>,
}

/// All that an experiment measured.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Report {
    /// The experiment's name.
    pub(crate) experiment: String,
    /// The seed of the generated load.
    pub(crate) seed: u64,
    /// The sections.
    pub(crate) sections: Vec<Section>,
}

impl Report {
    /// Returns the report as text.
    pub(crate) fn render(&self, format: Format) -> String {
        match format {
            Format::Table => self.render_tables(),
            Format::Json => serde_json::to_string_pretty(self).unwrap_or_default(),
        }
    }

    fn render_tables(&self) -> String {
        let header = format!("experiment {}, seed {}", self.experiment, self.seed);
        let sections = self.sections.iter().map(Section::render);
        std::iter::once(header)
            .chain(sections)
            .collect::<Vec<_>>()
            .join("\n\n")
    }
}

impl Section {
    fn render(&self) -> String {
        let mut table = Table::new();
        table.load_preset(ASCII_MARKDOWN);
        if let Some(first) = self.rows.first() {
            let names = first.figures.iter().map(|figure| figure.name.as_str());
            table.set_header(std::iter::once("case").chain(names));
        }
        for row in &self.rows {
            let values = row.figures.iter().map(|figure| format_value(figure.value));
            table.add_row(std::iter::once(row.case.clone()).chain(values));
        }
        format!("{}\n\n{table}", self.title)
    }
}

fn format_value(value: f64) -> String {
    if value.fract() == 0.0 || value.abs() >= 100.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.2}")
    }
}
