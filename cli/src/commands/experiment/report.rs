//! The result of an experiment, printed as tables or JSON.

use clap::ValueEnum;
use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use serde::Serialize;

/// Output format of a report.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, ValueEnum)]
pub(crate) enum Format {
    /// Markdown tables.
    #[default]
    Table,
    /// Indented JSON.
    Json,
}

/// A measured value: one cell of a table.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Figure {
    /// Column heading, with the unit of the value.
    pub(crate) name: String,
    pub(crate) value: f64,
}

/// The results of one case: one row of a table.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Row {
    /// Label of the row, such as the policy's name.
    pub(crate) case: String,
    /// Figures in column order; all rows of a section have the same columns.
    pub(crate) figures: Vec<Figure>,
}

impl Row {
    /// Creates a row without figures; `case` is its label.
    pub(crate) fn new<S>(case: S) -> Self
    where
        S: Into<String>,
    {
        Self {
            case: case.into(),
            figures: Vec::new(),
        }
    }

    /// Appends a figure; `name` is the column heading with the unit.
    #[must_use]
    pub(crate) fn with(mut self, name: &str, value: f64) -> Self {
        let name = name.to_owned();
        self.figures.push(Figure { name, value });
        self
    }
}

/// The cases measured under the same conditions: one table.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Section {
    /// The conditions, printed above the table.
    pub(crate) title: String,
    /// One row per case.
    pub(crate) rows: Vec<Row>,
}

/// The results of an experiment.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Report {
    /// Name of the experiment, as on the command line.
    pub(crate) experiment: String,
    /// Seed of the generated load.
    pub(crate) seed: u64,
    /// One section per set of conditions.
    pub(crate) sections: Vec<Section>,
}

impl Report {
    /// Returns the report as text in `format`, without a final newline.
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
