//! `beryltray config show`: prints a version of the document.

use std::process::ExitCode;

use beryltray_lib::ids::DocumentVersion;
use beryltray_lib::platform::rows::HeadRow;
use beryltray_lib::version::parse::parse_document;
use beryltray_lib::version::write::write_document;
use clap::Args;
use serde::Serialize;

use super::ConfigError;
use super::options::EnvironmentOptions;
use super::report::print_json;
use super::report::resolve_version;
use crate::commands::load::OutputFormat;

/// Prints a version of the document.
///
/// The document is printed to standard output exactly as it was applied, including comments, so that
/// it can be saved, edited and applied. Its version, author and digest are printed to standard error.
///
/// Exit codes: 0 printed; 1 the platform failed; 2 no such version.
#[derive(Args, Debug)]
pub(crate) struct ShowArgs {
    #[command(flatten)]
    environment: EnvironmentOptions,
    /// The version to print; defaults to the latest one.
    #[arg(long, value_name = "NUMBER")]
    version: Option<DocumentVersion>,
    /// Print every key with its effective value, including defaults, instead of the text as applied.
    #[arg(long)]
    canonical: bool,
    /// The output format.
    #[arg(long, value_enum, default_value_t)]
    format: OutputFormat,
}

/// A version with its text, in the JSON output.
#[derive(Debug, Serialize)]
struct ShownVersion {
    #[serde(flatten)]
    row: HeadRow,
    text: String,
}

impl ShowArgs {
    /// Prints the version.
    pub(crate) async fn run(self) -> Result<ExitCode, ConfigError> {
        let versions = self.environment.versions();
        let row = resolve_version(&versions, self.version).await?;
        let mut text = versions.text(&row.digest).await?;
        if self.canonical {
            text = write_document(&parse_document(&text)?);
        }
        match self.format {
            OutputFormat::Json => print_json(&ShownVersion { row, text })?,
            OutputFormat::Table => {
                eprintln!(
                    "version {} by {}, digest {}",
                    row.version, row.author, row.digest
                );
                print!("{text}");
            }
        }
        Ok(ExitCode::SUCCESS)
    }
}
