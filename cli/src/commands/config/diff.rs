//! `beryltray config diff`: compares a file or a version with another version.

use std::path::PathBuf;
use std::process::ExitCode;

use beryltray_lib::ids::DocumentVersion;
use beryltray_lib::version::change::conflict::unified_diff;
use clap::Args;
use serde::Serialize;

use super::ConfigError;
use super::options::EnvironmentOptions;
use super::options::read_file;
use super::report::print_json;
use super::report::resolve_version;
use crate::commands::load::OutputFormat;

/// Compares a file or a version with another version, as a unified diff.
///
/// `config diff FILE` shows what applying FILE would change; `config diff --from 3 --to 4` shows
/// what version 4 changed.
///
/// Exit codes: 0 compared, whether equal or not; 1 the platform failed; 2 no such file or version.
#[derive(Args, Debug)]
pub(crate) struct DiffArgs {
    /// The document to compare with the version.
    #[arg(
        value_name = "FILE",
        conflicts_with = "to",
        required_unless_present = "to"
    )]
    file: Option<PathBuf>,
    #[command(flatten)]
    environment: EnvironmentOptions,
    /// The version to compare with; defaults to the latest one.
    #[arg(long, value_name = "NUMBER")]
    from: Option<DocumentVersion>,
    /// The version to compare, instead of a file.
    #[arg(long, value_name = "NUMBER")]
    to: Option<DocumentVersion>,
    /// The output format.
    #[arg(long, value_enum, default_value_t)]
    format: OutputFormat,
}

/// The labels of the compared texts and their unified diff.
#[derive(Debug, Serialize)]
struct Difference {
    old: String,
    new: String,
    diff: String,
}

impl DiffArgs {
    /// Prints the difference.
    pub(crate) async fn run(self) -> Result<ExitCode, ConfigError> {
        let versions = self.environment.versions();
        let row = resolve_version(&versions, self.from).await?;
        let old_text = versions.text(&row.digest).await?;
        let old = format!("version {}", row.version);
        let (new, new_text) = match &self.file {
            Some(path) => (path.display().to_string(), read_file(path)?),
            None => {
                let row = resolve_version(&versions, self.to).await?;
                let text = versions.text(&row.digest).await?;
                (format!("version {}", row.version), text)
            }
        };
        let diff = unified_diff(&old, &old_text, &new, &new_text);
        match self.format {
            OutputFormat::Json => print_json(&Difference { old, new, diff })?,
            OutputFormat::Table if diff.is_empty() => println!("{old} and {new} are equal"),
            OutputFormat::Table => print!("{diff}"),
        }
        Ok(ExitCode::SUCCESS)
    }
}
